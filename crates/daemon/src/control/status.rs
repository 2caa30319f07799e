//! Views of the mesh and its moves that are returned to operators.

use rf_base::{
    ConfigVersion, Epoch, InstanceId, Millis, MoveId, ServiceName, VersionName, ZoneName,
};
use rf_config::{Move, MoveState, Plan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of the mesh as known to one daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusView {
    /// Name of the answering instance.
    pub instance: String,
    /// Counter of the configuration in force at the answering daemon.
    pub counter: ConfigVersion,
    /// Number of known daemons, including the answering one.
    pub known: usize,
    /// Number of known daemons that are reachable.
    pub reachable: usize,
    /// Number of reachable daemons that are known to run this configuration.
    pub in_force: usize,
    /// Names of reachable daemons that are not known to run this configuration.
    pub missing: Vec<String>,
    /// Names of the known daemons that are unreachable.
    pub unreachable: Vec<String>,
    /// Newest configuration that the answering daemon refused, if any.
    pub refused: Option<RefusedView>,
    /// Epoch of the moves lease, if the answering daemon holds it.
    pub conducts: Option<Epoch>,
    /// Whether the answering daemon holds the watch lease of its availability zone.
    pub watches: bool,
    /// Whether the last platform call was answered.
    pub is_platform_up: bool,
    /// Current weight of each version by service, in parts per million.
    pub weights: BTreeMap<ServiceName, BTreeMap<VersionName, u64>>,
    /// Announced backend servers of all known daemons.
    pub servers: Vec<ServerStatus>,
}

/// Configuration that failed verification and was not put in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedView {
    /// Counter of the refused configuration.
    pub counter: ConfigVersion,
    /// All errors that the verifier found.
    pub errors: String,
}

/// State of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerStatus {
    /// Name of the instance.
    pub instance: String,
    /// Id of the instance, derived from its name.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Service that the backend server implements.
    pub service: ServiceName,
    /// Version of the service that it runs.
    pub version: VersionName,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether it accepts new calls: reachable, not leaving and not retired.
    pub is_available: bool,
}

/// State of one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveView {
    /// Id of the move, equal to that of its plan.
    pub id: MoveId,
    /// The confirmed plan.
    pub plan: Plan,
    /// Time of the confirmation, in milliseconds since the Unix epoch.
    pub confirmed: Millis,
    /// State recorded in the configuration.
    pub state: MoveState,
    /// Progress that the answering daemon applies, in thousandths; 0 after a stop order.
    pub progress: u32,
    /// Description of the state that the answering daemon applies.
    pub summary: String,
}

impl MoveView {
    /// Describes a move as applied at `now`; `stop_reason` is the reason of its stop order, if any.
    pub fn new(m: &Move, stop_reason: Option<&str>, now: Millis) -> MoveView {
        let progress = match stop_reason {
            Some(_) => 0,
            None => m.progress(now),
        };
        MoveView {
            id: m.id(),
            plan: m.plan.clone(),
            confirmed: m.confirmed,
            state: m.state.clone(),
            progress,
            summary: summarize(m, stop_reason, now),
        }
    }
}

fn summarize(m: &Move, stop_reason: Option<&str>, now: Millis) -> String {
    match (&m.state, stop_reason) {
        (
            MoveState::Ended {
                outcome, reason, ..
            },
            _,
        ) => format!("{outcome}: {reason}"),
        (MoveState::Running { .. }, Some(reason)) => {
            format!("braked, record pending: {reason}")
        }
        (MoveState::Running { .. }, None) if now >= m.plan.deadline => {
            "taken back at its deadline, record pending".to_owned()
        }
        (MoveState::Running { step }, None) => {
            let steps = m.plan.steps.len().max(1);
            format!("running, step {} of {steps}", step + 1)
        }
    }
}
