//! Settings of a proxy that runs on a platform, which starts its backend server and provides its
//! configuration and rollouts.

use rf_base::units::SpanText;
use rf_base::{Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::SocketAddr;

/// Settings of a proxy.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxySettings {
    /// Name of this instance; must be unique in the mesh.
    pub instance: String,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: String,
    /// Addresses on which the proxy listens.
    pub listen: ProxyListen,
    /// Backend server of this instance.
    pub server: LocalServer,
    /// Address of the configuration store of the platform.
    pub store: SocketAddr,
    /// Resource limits of this process.
    pub limits: ProcessLimits,
    /// Bounds set by the operators.
    pub bounds: Bounds,
    /// Parameters of load balancing and admission.
    #[serde(default)]
    pub policy: LoadPolicy,
    /// Log filter, for example `info`.
    #[serde(default = "default_level")]
    pub log: String,
}

fn default_level() -> String {
    "info".to_owned()
}

/// Addresses on which a proxy listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxyListen {
    /// Address for requests of callers and of the local backend server.
    pub callers: SocketAddr,
    /// Address for attempts and control messages of other proxies.
    pub relay: SocketAddr,
    /// Address at which other proxies reach `relay`, if it differs from the address listened on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay_public: Option<SocketAddr>,
    /// Address for readiness probes and metrics.
    pub readiness: SocketAddr,
    /// Address for announcements of the local backend server.
    pub announcements: SocketAddr,
}

/// Backend server of the instance to which a proxy belongs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct LocalServer {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
}

/// Parameters of load balancing and admission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct LoadPolicy {
    /// Fraction, from 0 to 1, of the spare time before its latency target that a request may wait
    /// for a slot of a backend server in this availability zone.
    pub near_wait: f64,
    /// The same fraction for a backend server in another availability zone.
    #[serde(rename = "firstWait")]
    pub far_wait: f64,
    /// Fraction, from 0 to 1, of the spare time before its deadline that a request may wait for a
    /// slot in its last round, after no backend server had a free slot in time. Nested calls may
    /// wait for all of that time.
    pub late_wait: f64,
    /// Fraction, from 0 to 1, of the retry budget that is reserved for nested calls, which running
    /// requests make.
    pub nested_reserve: f64,
    /// Cost of a kilobyte that leaves the availability zone, expressed as time in milliseconds.
    #[serde(rename = "distance")]
    pub transfer_cost: f64,
    /// Limit on hedged requests; off by default.
    pub hedging: HedgingPolicy,
    /// Load control mechanisms, which can be disabled to measure their effect. They are read once,
    /// when the process starts.
    pub mechanisms: Mechanisms,
}

/// Limit on hedged requests: second copies of slow requests that may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct HedgingPolicy {
    /// Maximum number of hedged requests as a fraction, from 0 to 1, of the requests of a service;
    /// 0 switches hedging off.
    pub share: f64,
    /// Number of additional hedged requests to a service that may come together in the whole mesh.
    pub burst: f64,
}

impl HedgingPolicy {
    /// Returns whether requests are hedged at all.
    pub fn is_enabled(&self) -> bool {
        self.share > 0.0
    }
}

/// Mechanisms of load control. Each can be disabled; all are enabled by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Mechanisms {
    /// Whether the latency target of a retried request counts from when the caller first sent it.
    pub caller_age: bool,
    /// Whether requests that will miss their target use only slots that would otherwise stay idle.
    pub idle_late: bool,
    /// Whether runs are started only at the rate at which the calls that they make are served.
    #[serde(rename = "chainDoor")]
    pub chain_admission: bool,
    /// Whether the admitted share of runs is bounded by the share of the more urgent requests that
    /// the called service serves.
    pub fair_bound: bool,
    /// Whether the retry delay of refused callers depends on the fraction of requests served.
    #[serde(rename = "returns")]
    pub adaptive_delays: bool,
    /// Whether servers in the local availability zone are preferred while their answer is expected
    /// safely in time.
    #[serde(rename = "nearFirst")]
    pub prefer_near: bool,
    /// Whether load reports decay with age.
    #[serde(rename = "fading")]
    pub decay_reports: bool,
    /// Whether the scores of servers get random jitter.
    #[serde(rename = "noise")]
    pub jitter_scores: bool,
    /// Whether run times are estimated per route instead of for all routes together.
    pub route_time: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            caller_age: true,
            idle_late: true,
            chain_admission: true,
            fair_bound: true,
            adaptive_delays: true,
            prefer_near: true,
            decay_reports: true,
            jitter_scores: true,
            route_time: true,
        }
    }
}

impl ProxyListen {
    /// Returns the address at which other proxies reach this proxy.
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
            hedging: HedgingPolicy::default(),
            mechanisms: Mechanisms::default(),
        }
    }
}

impl LoadPolicy {
    /// Returns the fractions with their names in the settings.
    fn fractions(&self) -> [(&'static str, f64); 5] {
        [
            ("policy.nearWait", self.near_wait),
            ("policy.firstWait", self.far_wait),
            ("policy.lateWait", self.late_wait),
            ("policy.nestedReserve", self.nested_reserve),
            ("policy.hedging.share", self.hedging.share),
        ]
    }
}

/// Resource limits of a process, from which it derives the limits of its buffers and connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProcessLimits {
    /// Memory of the process, in MiB.
    pub memory: u64,
    /// Number of file descriptors that the process may open.
    pub descriptors: u64,
    /// Network bandwidth of the instance, in megabits per second.
    pub link: f64,
}

impl ProcessLimits {
    /// Returns the maximum total size of buffered requests, in bytes.
    ///
    /// This is a quarter of the memory, because each request may be copied once.
    pub fn max_request_bytes(&self) -> u64 {
        self.memory * 1024 * 1024 / 4
    }

    /// Returns the maximum total size of buffered answers of the backend server, in bytes.
    ///
    /// This is an eighth of the memory, because a growing buffer may be copied.
    pub fn max_answer_bytes(&self) -> u64 {
        self.memory * 1024 * 1024 / 8
    }

    /// Returns the maximum total size of replies of other proxies that are being read, in bytes.
    ///
    /// This is a quarter of the memory, like that for requests, since every request may have a reply.
    pub fn max_reply_bytes(&self) -> u64 {
        self.memory * 1024 * 1024 / 4
    }

    /// Returns the maximum total size of answers of the store that are being read, in bytes.
    ///
    /// This is a quarter of the memory. With the bounds above, an eighth is left to everything else
    /// even if the store, the backend server and other proxies all send without end.
    pub fn max_store_bytes(&self) -> u64 {
        self.memory * 1024 * 1024 / 4
    }

    /// Returns the maximum number of open connections of callers.
    ///
    /// This is half of the file descriptors, because each such connection may need another one to
    /// another proxy.
    pub fn max_connections(&self) -> usize {
        (self.descriptors / 2) as usize
    }
}

/// Bounds set by the operators.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Bounds {
    /// Time between the stop signal and the forced termination of the process.
    #[serde_as(as = "SpanText")]
    pub grace: Millis,
    /// Maximum retries in the whole mesh, as a fraction of the requests, from 0 to 1.
    pub repeat_share: f64,
    /// Number of additional retries allowed in each window in the whole mesh.
    pub repeat_slack: f64,
    /// Maximum fraction of a service's requests, from 0 to 1, that an unproven version may get.
    pub trial_share: f64,
    /// Window in which the requests of an organisation are counted against its quota.
    #[serde_as(as = "SpanText")]
    #[serde(default = "default_quota_window")]
    pub quota_window: Millis,
    /// Permitted excess over a quota in a window, as a fraction from 0 to 1 of what it allows.
    #[serde(default = "default_quota_over")]
    pub quota_over: f64,
    /// Number of additional requests of an organisation permitted in a window.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
}

/// Largest number of additional requests that is accepted.
const MAX_QUOTA_SLACK: f64 = 1e6;
/// Default window in which requests are counted against a quota.
pub const QUOTA_WINDOW: Millis = Millis(5000);
/// Default excess over a quota as a fraction.
pub const QUOTA_OVER: f64 = 0.1;
/// Default number of additional requests in a window.
pub const QUOTA_SLACK: f64 = 20.0;

fn default_quota_window() -> Millis {
    QUOTA_WINDOW
}

fn default_quota_over() -> f64 {
    QUOTA_OVER
}

fn default_quota_slack() -> f64 {
    QUOTA_SLACK
}

impl ProxySettings {
    /// Checks the settings and returns a message for each error; empty if they are valid.
    pub fn verify(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |holds: bool, message: &str| {
            if !holds {
                errors.push(message.to_owned());
            }
        };
        require(!self.instance.is_empty(), "instance: is empty");
        require(!self.zone.0.is_empty(), "zone: is empty");
        require(
            !self.server.service.0.is_empty(),
            "server.service: is empty",
        );
        require(self.limits.memory >= 32, "limits.memory: below 32 MB");
        require(
            self.limits.descriptors >= 64,
            "limits.descriptors: below 64",
        );
        require(self.limits.link > 0.0, "limits.link: is not positive");
        let bounds = &self.bounds;
        require(
            (0.0..=1.0).contains(&bounds.repeat_share),
            "bounds.repeatShare: not between 0 and 1",
        );
        require(
            bounds.repeat_slack >= 0.0,
            "bounds.repeatSlack: is negative",
        );
        require(
            (0.0..=1.0).contains(&bounds.trial_share),
            "bounds.trialShare: not between 0 and 1",
        );
        require(bounds.grace > Millis::ZERO, "bounds.grace: is zero");
        require(
            bounds.quota_window > Millis::ZERO,
            "bounds.quotaWindow: is zero",
        );
        require(
            (0.0..=1.0).contains(&bounds.quota_over),
            "bounds.quotaOver: not between 0 and 1",
        );
        require(
            (0.0..=MAX_QUOTA_SLACK).contains(&bounds.quota_slack),
            "bounds.quotaSlack: not between 0 and 1000000",
        );
        for (name, fraction) in self.policy.fractions() {
            require(
                (0.0..=1.0).contains(&fraction),
                &format!("{name}: not between 0 and 1"),
            );
        }
        require(
            self.policy.transfer_cost >= 0.0,
            "policy.distance: is negative",
        );
        require(
            self.policy.hedging.burst >= 0.0 && self.policy.hedging.burst.is_finite(),
            "policy.hedging.burst: is negative or infinite",
        );
        errors
    }
}
