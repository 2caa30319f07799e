//! Routing state of the data plane: an immutable view that the control plane replaces as a whole.

use crate::control::quotas::{Peers, QuotaIndex};
use rf_base::{Incarnation, InstanceId, Millis, ServiceName, VersionName};
use rf_config::{KeyIndex, RouteTable, TableDigest};
use rf_traffic::Candidate;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Backend server that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Instance that runs the backend server.
    pub instance: InstanceId,
    /// Incarnation of the proxy on that instance.
    pub incarnation: Incarnation,
    /// Process that left the server there, if that proxy does not seem to know it.
    pub departed: Option<u64>,
    /// Address at which that proxy accepts attempts.
    pub relay: SocketAddr,
    /// Version of the backend server.
    pub version: VersionName,
    /// Input to the placement of requests.
    pub candidate: Candidate,
}

/// Version of a service that is being rolled out and not yet proven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialView {
    /// Number of the rollout.
    pub order: u64,
    /// Time at which any proxy first saw the rollout.
    pub since: Millis,
    /// Time from that moment to the deadline of the rollout.
    pub duration: Millis,
    /// Servers that run the version; empty while there is none.
    pub targets: Vec<Target>,
}

/// Backend servers of one service that may receive requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceView {
    /// Servers of the active version.
    pub targets: Vec<Target>,
    /// Version under trial; `None` if no rollout is running, or once the version was found bad or
    /// receives all requests.
    pub trial: Option<TrialView>,
}

/// Everything that determines where a request is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Route table; version 0 while none is known.
    pub table: Arc<RouteTable>,
    /// Digest of the route table.
    pub digest: Arc<TableDigest>,
    /// Organisations of the route table by key.
    pub keys: Arc<KeyIndex>,
    /// Backend servers, by service.
    pub services: BTreeMap<ServiceName, ServiceView>,
    /// Addresses of the reachable proxies in this availability zone, including this one.
    pub zone_peers: BTreeSet<SocketAddr>,
    /// Number of reachable proxies, including this one.
    pub proxies: usize,
    /// Number of known proxies, including unreachable ones that may be on the other side of a network
    /// partition.
    pub known_proxies: usize,
    /// Relay addresses of the proxies that may own the quota of an organisation.
    pub peers: Arc<Peers>,
    /// Organisations of the route table that have a quota.
    pub quotas: Arc<QuotaIndex>,
}

impl View {
    /// Returns whether a route table is known.
    pub fn is_known(&self) -> bool {
        self.table.version.0 > 0
    }
}
