//! Descriptions of daemons and alerts about unreachable ones, as exchanged by gossip.

use rf_base::{Incarnation, InstanceId, Millis, ServiceName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Description of one daemon.
///
/// Only the daemon itself issues new descriptions. The description with the highest
/// `(incarnation, seq)` replaces all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Id, derived from `name`.
    pub id: InstanceId,
    /// Name of the instance on which the daemon runs.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the instance.
    pub region: String,
    /// Incarnation of the daemon; each start of the process gets a higher one.
    pub incarnation: Incarnation,
    /// Sequence number of the description within the incarnation.
    pub seq: u64,
    /// Address to which other daemons send control messages.
    pub peers: SocketAddr,
    /// Address to which other daemons send attempts.
    pub relay: SocketAddr,
    /// Backend server beside the daemon; `None` if none is announced.
    pub server: Option<ServerInfo>,
    /// Whether the daemon is shutting down and accepts no new work.
    pub leaving: bool,
    /// Last process of the backend server that withdrew, drained or left, if the daemon knows one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departed: Option<Departure>,
}

impl Member {
    /// Returns the version by which descriptions of the same daemon are ordered.
    pub fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.seq)
    }
}

/// Departure of a process of a backend server, which must get no more requests.
///
/// It also covers the earlier processes with the same id, whose heartbeats may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Fingerprint of the process, or of its id and `at` if its start time is not known.
    pub process: u64,
    /// Hash of the id of the process.
    pub server: u64,
    /// Start time of the latest process that is covered, in milliseconds since the Unix epoch.
    #[serde(rename = "started")]
    pub started_ms: u64,
    /// Time at which the daemon learnt of the departure.
    pub at: Millis,
}

/// Announced backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Service to which the backend server belongs.
    pub service: ServiceName,
    /// Version of the service that it runs.
    pub version: VersionName,
    /// Number of calls that it can run at the same time.
    pub slots: u32,
    /// Time at which it was first announced.
    pub since: Millis,
    /// Whether it has no running call and accepts no new one.
    pub drained: bool,
}

/// Report by one observer that a daemon does not answer.
///
/// An alert applies only to the description that it names. A daemon that receives an alert about
/// itself refutes it by issuing a newer description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Alert {
    /// Daemon that does not answer.
    pub subject: InstanceId,
    /// Incarnation in the description that the alert names.
    pub incarnation: Incarnation,
    /// Sequence number of that description.
    pub seq: u64,
    /// Daemon that raised the alert.
    pub observer: InstanceId,
}
