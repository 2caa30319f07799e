//! The route table of a mesh, which its operators publish as a whole.
//!
//! A table is decoded and verified once, shared read-only, and replaced by a table with a higher
//! version. Lookup returns the route of the host with the longest matching prefix.

use crate::organisations::{Organisation, verify_organisations};
use rf_base::{ConfigVersion, Millis, OrganisationName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
}

/// Service that receives a share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// Route that matches requests by path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathRoute {
    /// Name of the route, used in logs. Its hash identifies the route in statistics and in messages
    /// between proxies.
    pub name: String,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// Maximum number of times that a request may reach a backend server. Attempts that
    /// certainly did not run do not count.
    pub attempts: u32,
    /// Maximum time until the final answer.
    pub timeout: Millis,
    /// Latency target: an answer within this time is worth most.
    pub target: Millis,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests; never empty.
    pub parts: Vec<WeightedService>,
    /// Whether requests need no API key although the table has organisations.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time from the first byte of a head to its last byte.
    pub head_time: Millis,
    /// Maximum idle time of a connection between two requests.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            head: 16 * 1024,
            body: 64 * 1024 * 1024,
            head_time: Millis(3000),
            idle_time: Millis(15_000),
        }
    }
}

/// Routing configuration of a mesh.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version of the table; a proxy never replaces its table by one with a lower version.
    pub version: ConfigVersion,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Services, with the number of connections that one of their backend servers accepts.
    pub services: BTreeMap<ServiceName, u32>,
    /// Requests per second that a cold backend server can handle, for services that set a limit.
    #[serde(default)]
    #[serde(rename = "cold_paces")]
    pub cold_rates: BTreeMap<ServiceName, u32>,
    /// Routes by host, sorted by decreasing length of the prefix.
    pub hosts: BTreeMap<String, Vec<PathRoute>>,
    /// Organisations by name; empty if callers need no API key.
    #[serde(default)]
    pub organisations: BTreeMap<OrganisationName, Organisation>,
}

impl RouteTable {
    /// Returns the route for a host, with or without a port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&PathRoute> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Sorts the routes of each host by decreasing length of the prefix, as [`RouteTable::find`]
    /// requires.
    pub fn sort(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// Checks the table and returns a message for each error; empty if it is valid.
    pub fn verify(&self) -> Vec<String> {
        let mut errors = Vec::new();
        for (host, routes) in &self.hosts {
            for route in routes {
                self.verify_route(host, route, &mut errors);
            }
        }
        errors.extend(verify_organisations(&self.organisations));
        errors
    }

    fn verify_route(&self, host: &str, route: &PathRoute, errors: &mut Vec<String>) {
        let context = format!("route {} of host {host}", route.name);
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            errors.push(format!("{context}: prefix {} has no slash", route.prefix));
        }
        if route.attempts == 0 {
            errors.push(format!("{context}: no attempt is allowed"));
        }
        if route.timeout == Millis::ZERO {
            errors.push(format!("{context}: timeout is zero"));
        }
        if route.parts.iter().all(|p| p.weight == 0) {
            errors.push(format!("{context}: no part has a weight"));
        }
        for part in &route.parts {
            if !self.services.contains_key(&part.service) {
                errors.push(format!("{context}: service {} is unknown", part.service));
            }
        }
    }
}

/// Revision of the store.
///
/// A store that is restored from a backup has lost the writes made since the backup and assigns
/// their numbers again. Each restore begins a new era, so that the revisions of all eras are
/// totally ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Number of times that the store has been restored from a backup.
    pub era: u64,
    /// Number of the revision within its era; increases with each change.
    pub number: u64,
}

/// Number of low bits of [`Revision::id`] that contain the number of the revision.
const NUMBER_BITS: u32 = 48;

impl Revision {
    /// Returns an id that is unique among the revisions of all eras.
    pub fn id(self) -> u64 {
        self.era << NUMBER_BITS | self.number
    }
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version receives part of the requests on trial.
    Running,
    /// The new version receives all requests.
    Completed,
    /// The old version receives all requests again.
    RolledBack,
}

/// A change of a service to another version, ordered by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service that changes its version.
    pub service: ServiceName,
    /// Target version.
    pub version: VersionName,
    /// Time from the order until its deadline.
    pub duration: Millis,
    /// State recorded in the store.
    pub state: RolloutState,
    /// Id of the store revision at which the order was written. It distinguishes a new order for
    /// the same service from an older one.
    pub order: u64,
    /// Store revision of the record, used for conditional writes of the state.
    pub revision: Revision,
}
