//! Settings of a proxy whose backend servers, configuration and orders come from a platform.

use rf_base::units::SpanText;
use rf_base::{Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::SocketAddr;

/// Everything a proxy is told at its start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxySettings {
    /// Name of this instance, unique in the mesh.
    pub instance: String,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: String,
    /// Addresses to listen on.
    pub listen: ProxyListen,
    /// The backend server beside this proxy.
    pub server: LocalServer,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of this process.
    pub limits: ProcessLimits,
    /// Bounds that the operators demand.
    pub bounds: Bounds,
    /// How load is placed and bounded.
    #[serde(default)]
    pub policy: LoadPolicy,
    /// Filter of the log, as in `info`.
    #[serde(default = "default_level")]
    pub log: String,
}

fn default_level() -> String {
    "info".to_owned()
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxyListen {
    /// Requests of callers and of the backend server beside this proxy.
    pub callers: SocketAddr,
    /// Attempts and messages of other proxies.
    pub relay: SocketAddr,
    /// Address at which other proxies reach `relay`, where it is another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay_public: Option<SocketAddr>,
    /// Readiness and metrics.
    pub readiness: SocketAddr,
    /// Announcements of the backend server.
    pub announcements: SocketAddr,
}

/// The backend server beside a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct LocalServer {
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
}

/// How load is placed and bounded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct LoadPolicy {
    /// Part of the time to spare before its target that a request may wait at a server in this
    /// availability zone.
    pub near_wait: f64,
    /// The same at a server in another one.
    #[serde(rename = "firstWait")]
    pub far_wait: f64,
    /// Part of the time left that a request may wait once no server had room in time.
    pub late_wait: f64,
    /// Part of the retry budget that is kept for calls of running requests.
    pub nested_reserve: f64,
    /// What a kilobyte that leaves the availability zone costs, as time in milliseconds.
    #[serde(rename = "distance")]
    pub transfer_cost: f64,
    /// Mechanisms that may be switched off to see what they are worth; read at the start.
    pub mechanisms: Mechanisms,
}

/// Mechanisms of load control, each of which may be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Mechanisms {
    /// The target of a request that comes back counts from its first try.
    pub caller_age: bool,
    /// Work that can't be in time any more takes only slots that would stay idle.
    pub idle_late: bool,
    /// Runs are begun only as often as their calls are served.
    #[serde(rename = "chainDoor")]
    pub chain_admission: bool,
    /// Runs are begun no more often than more urgent requests of the callee are served.
    pub fair_bound: bool,
    /// Pauses of refused callers follow from the part of the requests that is served.
    #[serde(rename = "returns")]
    pub adaptive_pauses: bool,
    /// Servers in the same availability zone are taken while they are safely in time.
    #[serde(rename = "nearFirst")]
    pub prefer_near: bool,
    /// Reports of load fade with their age.
    #[serde(rename = "fading")]
    pub decay_reports: bool,
    /// Scores of servers carry noise.
    #[serde(rename = "noise")]
    pub jitter_scores: bool,
    /// The time of a run is known by route.
    pub route_time: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            caller_age: true,
            idle_late: true,
            chain_admission: true,
            fair_bound: true,
            adaptive_pauses: true,
            prefer_near: true,
            decay_reports: true,
            jitter_scores: true,
            route_time: true,
        }
    }
}

impl ProxyListen {
    /// Returns the address at which other proxies reach this one.
    pub fn advertised_relay(&self) -> SocketAddr {
        self.relay_public.unwrap_or(self.relay)
    }
}

impl Default for LoadPolicy {
    fn default() -> Self {
        LoadPolicy {
            near_wait: 0.7,
            far_wait: 0.4,
            late_wait: 0.3,
            nested_reserve: 0.5,
            transfer_cost: 30.0,
            mechanisms: Mechanisms::default(),
        }
    }
}

impl LoadPolicy {
    fn parts(&self) -> [(&'static str, f64); 4] {
        [
            ("policy.nearWait", self.near_wait),
            ("policy.firstWait", self.far_wait),
            ("policy.lateWait", self.late_wait),
            ("policy.nestedReserve", self.nested_reserve),
        ]
    }
}

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProcessLimits {
    /// Memory, in megabytes.
    pub memory: u64,
    /// Descriptors.
    pub descriptors: u64,
    /// Link of the instance, in megabits a second.
    pub link: f64,
}

impl ProcessLimits {
    /// Bytes of requests that may be held at a time: a quarter of the memory, since each
    /// may be copied once.
    pub fn max_request_bytes(&self) -> u64 {
        self.memory * 1024 * 1024 / 4
    }

    /// Bytes of answers that may be read from the backend server at a time: an eighth of the memory,
    /// since a growing buffer may be copied.
    pub fn max_answer_bytes(&self) -> u64 {
        self.memory * 1024 * 1024 / 8
    }

    /// Connections of callers that may be open at a time: half of the descriptors, as each may need
    /// one to another proxy.
    pub fn max_connections(&self) -> usize {
        (self.descriptors / 2) as usize
    }
}

/// Bounds that the operators demand.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    #[serde_as(as = "SpanText")]
    pub grace: Millis,
    /// Repeats allowed as a share of the requests, over the whole mesh.
    pub repeat_share: f64,
    /// Repeats allowed besides, in each window, over the whole mesh.
    pub repeat_slack: f64,
    /// Share of a service's requests that an unproven version may get.
    pub trial_share: f64,
}

impl ProxySettings {
    /// Returns every error of the settings.
    pub fn verify(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut demand = |holds: bool, message: &str| {
            if !holds {
                errors.push(message.to_owned());
            }
        };
        demand(!self.instance.is_empty(), "instance: is empty");
        demand(!self.zone.0.is_empty(), "zone: is empty");
        demand(
            !self.server.service.0.is_empty(),
            "server.service: is empty",
        );
        demand(self.limits.memory >= 32, "limits.memory: below 32 MB");
        demand(
            self.limits.descriptors >= 64,
            "limits.descriptors: below 64",
        );
        demand(self.limits.link > 0.0, "limits.link: is not positive");
        let bounds = &self.bounds;
        demand(
            (0.0..=1.0).contains(&bounds.repeat_share),
            "bounds.repeatShare: not between 0 and 1",
        );
        demand(
            bounds.repeat_slack >= 0.0,
            "bounds.repeatSlack: is negative",
        );
        demand(
            (0.0..=1.0).contains(&bounds.trial_share),
            "bounds.trialShare: not between 0 and 1",
        );
        demand(bounds.grace > Millis::ZERO, "bounds.grace: is zero");
        for (name, part) in self.policy.parts() {
            demand(
                (0.0..=1.0).contains(&part),
                &format!("{name}: not between 0 and 1"),
            );
        }
        demand(
            self.policy.transfer_cost >= 0.0,
            "policy.transfer_cost: is negative",
        );
        errors
    }
}
