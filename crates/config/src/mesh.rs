//! Data of the mesh configuration.

use crate::moves::Move;
use rf_base::{
    ConfigVersion, Epoch, InstanceId, Millis, MoveId, OperationId, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Everything every proxy must agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct MeshConfig {
    /// Version of this document; set by the system, never by an operator.
    pub counter: ConfigVersion,
    /// Operation that wrote this document.
    pub operation: OperationId,
    /// Latest operations, newest last, to settle writes whose answer was lost.
    pub recent: Vec<OperationId>,
    /// Highest lease epoch that has written this document.
    pub epoch: Epoch,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes; the longest matching prefix of the most specific host wins.
    pub routes: Vec<Route>,
    /// Moves, running and ended.
    pub moves: BTreeMap<MoveId, Move>,
    /// Instances whose backend server is retired.
    pub retired: BTreeSet<InstanceId>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Service {
    /// Versions with their weights.
    pub versions: BTreeMap<VersionName, VersionSpec>,
    /// How moves of this service weigh certainty against time.
    pub policy: Policy,
    /// Calls that may wait for a slot at one backend server.
    pub queue: u32,
    /// Longest time a call may take where its caller sets no deadline, in milliseconds.
    pub deadline: Millis,
    /// Time over which a new backend server ramps up to its full share, in milliseconds.
    pub cold_start: Millis,
    /// Status codes by which the backend servers promise that a request did not run.
    pub shed_status: BTreeSet<u16>,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            versions: BTreeMap::new(),
            policy: Policy::Certainty,
            queue: 16,
            deadline: Millis::from_secs(10),
            cold_start: Millis::from_secs(5),
            shed_status: BTreeSet::new(),
        }
    }
}

/// One version of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct VersionSpec {
    /// Share of the service's traffic, relative to the sum over its versions.
    pub weight: u32,
}

/// How moves of a service weigh certainty against time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Takes back bad versions first; moves on only with enough evidence.
    #[default]
    Certainty,
    /// Ends good moves early; moves on unless there is evidence against it.
    Deadline,
}

/// One route: which requests belong to which service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Route {
    /// Host name to match, or `*` for any.
    pub host: String,
    /// Path prefix to match.
    pub prefix: String,
    /// Service that answers.
    pub service: ServiceName,
    /// Whether requests may run more than once; by method where absent.
    pub idempotent: Option<bool>,
    /// Longest time a call may take, in milliseconds; the service's where absent.
    pub deadline: Option<Millis>,
}

impl MeshConfig {
    /// Returns the moves that have not ended.
    pub fn running_moves(&self) -> impl Iterator<Item = &Move> {
        self.moves.values().filter(|m| m.state.is_running())
    }
}
