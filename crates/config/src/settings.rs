//! The daemon's settings file.

use rf_base::{Millis, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Everything a daemon is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Settings {
    /// Name of the mesh; daemons of other meshes are refused.
    pub mesh: String,
    /// Key shared by the daemons of the mesh; at least 16 characters.
    pub key: String,
    /// Name of this instance, unique in the mesh.
    pub instance: String,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses that other daemons are told, where they differ from those listened on.
    pub advertise: Advertise,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses of some daemons of the mesh, to join through.
    pub seeds: Vec<SocketAddr>,
    /// Logging.
    pub log: Log,
    /// Timing of the control half.
    pub control: Control,
    /// Limits of the traffic half.
    pub traffic: Traffic,
    /// Whether a broken invariant ends the process; it is counted either way.
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

/// Addresses to listen on, one port for each kind of peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Attempts that other daemons send to the backend server of this instance.
    pub relay: SocketAddr,
    /// Control messages of other daemons.
    pub peers: SocketAddr,
    /// Operators, announcements of the backend server, metrics and health.
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

/// Addresses that other daemons are told, where they differ from those listened on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Advertise {
    /// For attempts.
    pub relay: Option<SocketAddr>,
    /// For control messages.
    pub peers: Option<SocketAddr>,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Log {
    /// Filter, as in `info` or `rf_daemon=debug,warn`.
    pub level: String,
    /// Whether lines are JSON.
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

/// Timing of the control half, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Control {
    /// Time between two exchanges with one neighbour.
    pub heartbeat: Millis,
    /// Failed exchanges in a row after which a neighbour is unreachable.
    pub misses: u32,
    /// Longest wait for an answer of another daemon.
    pub peer_timeout: Millis,
    /// Longest wait for an answer of the platform.
    pub platform_timeout: Millis,
    /// Most calls to the platform in a second.
    pub platform_rate: u32,
    /// Time after which a lease that is not renewed lapses.
    pub lease: Millis,
    /// Time between two reads of the configuration by a daemon that holds no watch.
    pub poll: Millis,
    /// Longest wait of one watch.
    pub watch: Millis,
    /// Greatest difference between two daemons' clocks.
    pub clock_error: Millis,
    /// Time an accepted configuration takes to be in force everywhere.
    pub spread: Millis,
    /// Time after which an unreachable daemon is forgotten.
    pub forget: Millis,
    /// Time after which a daemon is forgotten whose whole zone is unreachable.
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

/// Limits of the traffic half.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Traffic {
    /// Longest body that is held whole, in bytes; a longer one is streamed and not retried.
    pub buffer: usize,
    /// Longest body that is taken at all, in bytes.
    pub max_body: u64,
    /// Most connections of callers.
    pub connections: usize,
    /// Most connections kept to one backend server.
    pub backend_connections: usize,
    /// Whether a call is cancelled when its caller closes the connection before the answer.
    pub cancel_on_close: bool,
    /// Longest wait for a whole request head, in milliseconds.
    pub head_timeout: Millis,
    /// Longest pause inside a caller's body, in milliseconds.
    pub body_timeout: Millis,
    /// Time without an answer after which the ledger is asked, in milliseconds.
    pub silence: Millis,
    /// Longest wait for a connection, in milliseconds.
    pub connect: Millis,
    /// Most attempts of one call.
    pub attempts: u32,
    /// Retries, as a share of calls, in percent.
    pub retry_percent: u32,
    /// Records that the ledger holds at most.
    pub ledger: usize,
    /// Most bytes of answers that the ledger keeps.
    pub ledger_bytes: usize,
    /// Time for which the answer of a finished attempt is kept, in milliseconds.
    pub keep_answer: Millis,
    /// Most slots of one backend server, whatever it announces.
    pub max_slots: u32,
    /// Time that a planned stop waits for running calls, in milliseconds.
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
