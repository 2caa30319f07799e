//! Settings file of a daemon.

use rf_base::{Millis, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Settings {
    /// Name of the mesh; messages from daemons of other meshes are refused.
    pub mesh: String,
    /// Secret key shared by the daemons of the mesh; at least 16 characters.
    pub key: String,
    /// Name of this instance; must be unique in the mesh.
    pub instance: String,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: String,
    /// Addresses on which the daemon listens.
    pub listen: Listen,
    /// Addresses advertised to other daemons, if they differ from those listened on.
    pub advertise: Advertise,
    /// Address of the object API of the platform.
    pub platform: SocketAddr,
    /// Peer addresses of daemons through which this daemon joins the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Format and level of the log.
    pub log: Log,
    /// Timing of the control plane.
    pub control: Control,
    /// Limits of the data plane.
    pub traffic: Traffic,
    /// Whether a violated invariant terminates the process. Violations are counted in any case.
    pub fatal_invariants: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            mesh: "mesh".to_owned(),
            key: String::new(),
            instance: String::new(),
            zone: ZoneName::default(),
            region: "region-1".to_owned(),
            listen: Listen::default(),
            advertise: Advertise::default(),
            platform: SocketAddr::from(([127, 0, 0, 1], 7100)),
            seeds: Vec::new(),
            log: Log::default(),
            control: Control::default(),
            traffic: Traffic::default(),
            fatal_invariants: false,
        }
    }
}

/// Addresses on which a daemon listens, one port for each kind of client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Listen {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for attempts that other daemons relay to the backend server of this instance.
    pub relay: SocketAddr,
    /// Address for control messages of other daemons.
    pub peers: SocketAddr,
    /// Address for operators, announcements of the backend server, metrics and health checks.
    pub operators: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Listen {
            callers: local(7001),
            relay: local(7002),
            peers: local(7003),
            operators: local(7004),
        }
    }
}

/// Addresses advertised to other daemons, if they differ from those listened on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Advertise {
    /// Address for attempts, in place of [`Listen::relay`].
    pub relay: Option<SocketAddr>,
    /// Address for control messages, in place of [`Listen::peers`].
    pub peers: Option<SocketAddr>,
}

/// Format and level of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Log {
    /// Log filter, for example `info` or `rf_daemon=debug,warn`.
    pub level: String,
    /// Whether log lines are written as JSON.
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            level: "info".to_owned(),
            json: false,
        }
    }
}

/// Timing of the control plane; all times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Control {
    /// Interval between two message exchanges with the same neighbour.
    pub heartbeat: Millis,
    /// Number of consecutive failed exchanges after which a neighbour is considered unreachable.
    pub misses: u32,
    /// Timeout for a response of another daemon.
    pub peer_timeout: Millis,
    /// Timeout for a response of the platform.
    pub platform_timeout: Millis,
    /// Maximum number of calls to the platform per second.
    pub platform_rate: u32,
    /// Time after which a lease that is not renewed expires.
    pub lease: Millis,
    /// Mean interval at which a daemon without a watch reads the configuration; each interval is
    /// drawn at random between half and one and a half times this value.
    pub poll: Millis,
    /// Maximum duration of one watch request.
    pub watch: Millis,
    /// Assumed maximum difference between the clocks of two daemons.
    pub clock_error: Millis,
    /// Time within which an accepted configuration is expected to be in force at all daemons.
    pub spread: Millis,
    /// Time after which an unreachable daemon is removed from the member list.
    pub forget: Millis,
    /// Time after which a daemon is removed if its whole availability zone is unreachable.
    pub forget_zone: Millis,
}

impl Default for Control {
    fn default() -> Self {
        Control {
            heartbeat: Millis(1000),
            misses: 3,
            peer_timeout: Millis(1000),
            platform_timeout: Millis(2000),
            platform_rate: 20,
            lease: Millis(6000),
            poll: Millis(60_000),
            watch: Millis(20_000),
            clock_error: Millis(500),
            spread: Millis(4000),
            forget: Millis(60_000),
            forget_zone: Millis(1_800_000),
        }
    }
}

/// Limits of the data plane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Traffic {
    /// Maximum size of a body that is buffered, in bytes. A larger body is streamed, and its
    /// request is not retried.
    pub buffer: usize,
    /// Maximum size of a body that is accepted, in bytes.
    pub max_body: u64,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Maximum number of idle connections kept open to one backend server.
    pub backend_connections: usize,
    /// Whether a call is cancelled when its caller closes the connection before the answer.
    pub cancel_on_close: bool,
    /// Timeout for a complete request head, in milliseconds.
    pub head_timeout: Millis,
    /// Timeout for the next bytes of a caller's body, in milliseconds.
    pub body_timeout: Millis,
    /// Time without an answer after which the ledger of the target daemon is queried, in
    /// milliseconds.
    pub silence: Millis,
    /// Timeout for establishing a connection, in milliseconds.
    pub connect: Millis,
    /// Maximum number of attempts of one call.
    pub attempts: u32,
    /// Maximum retries, as a percentage of calls.
    pub retry_percent: u32,
    /// Maximum number of records in the ledger.
    pub ledger: usize,
    /// Maximum total size of the answers kept in the ledger, in bytes.
    pub ledger_bytes: usize,
    /// Time for which the ledger keeps the answer of a finished attempt, in milliseconds.
    pub keep_answer: Millis,
    /// Maximum number of slots of one backend server, even if it announces more.
    pub max_slots: u32,
    /// Time that a graceful shutdown waits for running calls, in milliseconds.
    pub drain: Millis,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            buffer: 64 * 1024,
            max_body: 64 * 1024 * 1024,
            connections: 4096,
            backend_connections: 64,
            cancel_on_close: true,
            head_timeout: Millis(10_000),
            body_timeout: Millis(10_000),
            silence: Millis(1000),
            connect: Millis(500),
            attempts: 3,
            retry_percent: 10,
            ledger: 65_536,
            ledger_bytes: 32 * 1024 * 1024,
            keep_answer: Millis(5000),
            max_slots: 1024,
            drain: Millis(20_000),
        }
    }
}
