//! What operators are shown.

use rf_base::{
    ConfigVersion, Epoch, InstanceId, Millis, MoveId, ServiceName, VersionName, ZoneName,
};
use rf_config::{Move, MoveState, Plan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The mesh as one daemon sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusView {
    /// Name of the answering instance.
    pub instance: String,
    /// Configuration in force here.
    pub counter: ConfigVersion,
    /// Daemons known.
    pub known: usize,
    /// Daemons that answer.
    pub reachable: usize,
    /// Daemons that run this configuration.
    pub in_force: usize,
    /// Names of reachable daemons that are not known to run it.
    pub missing: Vec<String>,
    /// Names of daemons that do not answer.
    pub unreachable: Vec<String>,
    /// Newest configuration that was refused here, with its errors.
    pub refused: Option<RefusedView>,
    /// Epoch under which this daemon conducts moves, if it does.
    pub conducts: Option<Epoch>,
    /// Whether this daemon watches the platform for its zone.
    pub watches: bool,
    /// Whether the platform answered the last call.
    pub is_platform_up: bool,
    /// Share of each version by service, in parts of a million.
    pub weights: BTreeMap<ServiceName, BTreeMap<VersionName, u64>>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
}

/// A configuration that was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedView {
    /// Its counter.
    pub counter: ConfigVersion,
    /// Every error found.
    pub errors: String,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerStatus {
    /// Name of its instance.
    pub instance: String,
    /// Id of its instance.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Slots.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_available: bool,
}

/// One move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveView {
    /// Id.
    pub id: MoveId,
    /// The plan it follows.
    pub plan: Plan,
    /// Time of the confirmation.
    pub confirmed: Millis,
    /// State as recorded.
    pub state: MoveState,
    /// Progress in force at the answering daemon, in thousandths.
    pub progress: u32,
    /// What is in force, in words.
    pub summary: String,
}

impl MoveView {
    /// Describes a move as in force at `now`; `brake` is the reason of a brake, if any.
    pub fn new(m: &Move, brake: Option<&str>, now: Millis) -> MoveView {
        let progress = match brake {
            Some(_) => 0,
            None => m.progress(now),
        };
        MoveView {
            id: m.id(),
            plan: m.plan.clone(),
            confirmed: m.confirmed,
            state: m.state.clone(),
            progress,
            summary: summarize(m, brake, now),
        }
    }
}

fn summarize(m: &Move, brake: Option<&str>, now: Millis) -> String {
    match (&m.state, brake) {
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
