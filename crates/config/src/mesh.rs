//! Data types of the mesh configuration.

use crate::moves::Move;
use rf_base::{
    ConfigVersion, Epoch, InstanceId, Millis, MoveId, OperationId, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The configuration that all proxies of a mesh share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct MeshConfig {
    /// Version of this document; assigned by the system, not by an operator.
    pub counter: ConfigVersion,
    /// Operation that wrote this document.
    pub operation: OperationId,
    /// Ids of the latest operations, newest last. A writer whose response was lost looks for its
    /// operation here to learn whether the write was applied.
    pub recent: Vec<OperationId>,
    /// Highest lease epoch under which this document has been written.
    pub epoch: Epoch,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes. The most specific host takes precedence, then the longest matching prefix.
    pub routes: Vec<Route>,
    /// Moves by id, both running and ended.
    pub moves: BTreeMap<MoveId, Move>,
    /// Instances whose backend server has been retired and receives no new work.
    pub retired: BTreeSet<InstanceId>,
}

/// A service of the mesh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Service {
    /// Versions of the service by name, with their weights.
    pub versions: BTreeMap<VersionName, VersionSpec>,
    /// Trade-off between certainty and time for moves of this service.
    pub policy: Policy,
    /// Maximum number of calls that wait for a slot of one backend server.
    pub queue: u32,
    /// Time limit of a call whose caller sets no deadline, in milliseconds.
    pub deadline: Millis,
    /// Time over which the share of a new backend server increases to its full value, in
    /// milliseconds.
    pub cold_start: Millis,
    /// Status codes with which the backend servers guarantee that a request did not run.
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

/// Configuration of one version of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct VersionSpec {
    /// Share of the service's traffic, relative to the sum of the weights of all its versions.
    pub weight: u32,
}

/// Trade-off between certainty and time for the moves of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Gives priority to taking back bad versions; advances only on sufficient evidence.
    #[default]
    Certainty,
    /// Gives priority to ending good moves early; advances unless there is evidence against it.
    Deadline,
}

/// A route, which assigns matching requests to a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Route {
    /// Host name to match, or `*` for any host.
    pub host: String,
    /// Path prefix to match.
    pub prefix: String,
    /// Service that handles the matching requests.
    pub service: ServiceName,
    /// Whether requests may run more than once; if absent, the HTTP method decides.
    pub idempotent: Option<bool>,
    /// Time limit of a call, in milliseconds; if absent, that of the service applies.
    pub deadline: Option<Millis>,
}

impl MeshConfig {
    /// Returns the moves that have not ended.
    pub fn running_moves(&self) -> impl Iterator<Item = &Move> {
        self.moves.values().filter(|m| m.state.is_running())
    }
}
