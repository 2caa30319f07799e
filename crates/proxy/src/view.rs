//! What the traffic half knows: an immutable view that the control half replaces whole.

use rf_base::{Incarnation, InstanceId, Millis, ServiceName, VersionName};
use rf_config::{RouteTable, TableDigest};
use rf_traffic::Candidate;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A backend server that requests may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Instance.
    pub instance: InstanceId,
    /// Life of the proxy beside it.
    pub incarnation: Incarnation,
    /// Address of that proxy for attempts.
    pub relay: SocketAddr,
    /// Version that it runs.
    pub version: VersionName,
    /// What placement needs to know of it.
    pub candidate: Candidate,
}

/// An unproven version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialView {
    /// Number of the order.
    pub order: u64,
    /// Time at which the order was first seen.
    pub since: Millis,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// Servers that run the version; empty once it was found bad, or while everything goes there.
    pub targets: Vec<Target>,
}

/// Backend servers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceView {
    /// Servers of the version in force.
    pub targets: Vec<Target>,
    /// Version that is being tried.
    pub trial: Option<TrialView>,
}

/// Everything that decides where a request goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Routes; of version 0 while none is known.
    pub table: Arc<RouteTable>,
    /// Digest of the routes.
    pub digest: Arc<TableDigest>,
    /// Backend servers by service.
    pub services: BTreeMap<ServiceName, ServiceView>,
    /// Addresses of the reachable proxies in this availability zone.
    pub zone_peers: BTreeSet<SocketAddr>,
    /// Proxies that are reachable, this one included.
    pub proxies: usize,
}

impl View {
    /// Returns whether a route table is known.
    pub fn is_known(&self) -> bool {
        self.table.version.0 > 0
    }
}
