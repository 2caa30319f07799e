//! What daemons tell each other about themselves and each other.

use rf_base::{Incarnation, InstanceId, Millis, ServiceName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One daemon as it describes itself.
///
/// Only the daemon itself makes new descriptions; the one with the highest `(incarnation, seq)`
/// replaces the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Id, derived from the name.
    pub id: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: String,
    /// Life of the daemon.
    pub incarnation: Incarnation,
    /// Number of the description within that life.
    pub seq: u64,
    /// Address for control messages.
    pub peers: SocketAddr,
    /// Address for attempts.
    pub relay: SocketAddr,
    /// The backend server beside the daemon, while it is announced.
    pub server: Option<ServerInfo>,
    /// Whether the daemon is stopping and takes no new work.
    pub leaving: bool,
}

impl Member {
    /// Returns the order among descriptions of one daemon.
    pub fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.seq)
    }
}

/// A backend server as it was announced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Service it serves.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Calls it can run at a time.
    pub slots: u32,
    /// Time of the first announcement.
    pub since: Millis,
    /// Whether no call is running and none is taken any more.
    pub drained: bool,
}

/// One observer's report that a daemon does not answer.
///
/// It counts only against the description it names; a daemon that hears of it refutes it with a
/// newer description.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Alert {
    /// Daemon that does not answer.
    pub subject: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the description.
    pub seq: u64,
    /// Daemon that reports.
    pub observer: InstanceId,
}
