//! The route table of a mesh whose operators publish it whole.
//!
//! A table is decoded and verified once, shared read-only, and replaced by one with a higher
//! version. Lookup takes the longest prefix among the routes of a host.

use rf_base::{ConfigVersion, Millis, ServiceName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    Once,
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Service that runs them.
    pub service: ServiceName,
    /// Share, relative to the sum over the route's parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathRoute {
    /// Name, for logs.
    pub name: String,
    /// Beginning of the paths that belong to it.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub repeat: RepeatPolicy,
    /// Backend servers to which one request may be sent.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Millis,
    /// Time within which an answer is worth most.
    pub target: Millis,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services that run its requests; never empty.
    pub parts: Vec<WeightedService>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest time for a head to arrive once it began.
    pub head_time: Millis,
    /// Longest time between two requests on one connection.
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

/// Everything that decides where a request goes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version; a proxy never goes back to a lower one.
    pub version: ConfigVersion,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Services with the connections that one of their backend servers accepts.
    pub services: BTreeMap<ServiceName, u32>,
    /// Requests that a cold backend server bears in a second, of those services that name it.
    #[serde(default)]
    #[serde(rename = "cold_paces")]
    pub cold_rates: BTreeMap<ServiceName, u32>,
    /// Routes by host, longest prefix first.
    pub hosts: BTreeMap<String, Vec<PathRoute>>,
}

impl RouteTable {
    /// Returns the route for a host and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&PathRoute> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Brings the routes of each host into the order that [`RouteTable::find`] needs.
    pub fn sort(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// Returns every error of the table.
    pub fn verify(&self) -> Vec<String> {
        let mut errors = Vec::new();
        for (host, routes) in &self.hosts {
            for route in routes {
                self.verify_route(host, route, &mut errors);
            }
        }
        errors
    }

    fn verify_route(&self, host: &str, route: &PathRoute, errors: &mut Vec<String>) {
        let place = format!("route {} of host {host}", route.name);
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            errors.push(format!("{place}: prefix {} has no slash", route.prefix));
        }
        if route.attempts == 0 {
            errors.push(format!("{place}: no attempt is allowed"));
        }
        if route.timeout == Millis::ZERO {
            errors.push(format!("{place}: timeout is zero"));
        }
        if route.parts.iter().all(|p| p.weight == 0) {
            errors.push(format!("{place}: no part has a weight"));
        }
        for part in &route.parts {
            if !self.services.contains_key(&part.service) {
                errors.push(format!("{place}: service {} is unknown", part.service));
            }
        }
    }
}

/// State of the store at one moment.
///
/// A store that comes back from a copy has lost the writes since, and gives their numbers out again.
/// Each time it does so a new era begins, so revisions of all eras have one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Times that the store has come back from a copy.
    pub era: u64,
    /// Number of the state within its era; rises with each change.
    pub number: u64,
}

/// Bits of [`Revision::id`] that hold the number.
const NUMBER_BITS: u32 = 48;

impl Revision {
    /// Returns a number that no other revision has, in whichever era.
    pub fn id(self) -> u64 {
        self.era << NUMBER_BITS | self.number
    }
}

/// State of a version change that an operator ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version is being tried.
    Running,
    /// The new version runs everything.
    Completed,
    /// The old version runs everything.
    RolledBack,
}

/// An order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service.
    pub service: ServiceName,
    /// Version that shall run it.
    pub version: VersionName,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// State as recorded in the store.
    pub state: RolloutState,
    /// Number of the order: the id of the store's revision at which the order was written. It tells
    /// a new order for the same service from an old one.
    pub order: u64,
    /// Store revision of the record, which a conditional write of the state names.
    pub revision: Revision,
}
