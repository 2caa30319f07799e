//! State of the backend server beside a daemon, as the server announces it.
//!
//! Announcements can arrive late, twice, out of order, or from a process that has ended. They are
//! ordered by the start time of the process and then by sequence number. A withdrawal is final for
//! its process: no announcement with the same start time makes the daemon send requests again. The
//! same holds for a process that says in its answers that it leaves.
//!
//! A daemon that restarts has forgotten that a process left, so the other daemons tell it
//! ([`LocalServerState::leave`]).

use rf_base::ids::hash_key;
use rf_base::{Millis, ServiceName, VersionName};
use std::net::SocketAddr;

/// Announcement that a backend server sends about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the process.
    pub id: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the announcement within its process.
    pub seq: u64,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Version of the service.
    pub version: VersionName,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub is_ready: bool,
    /// Remaining time of the cold start; zero for a server at full speed.
    pub warmup_left: Millis,
}

/// Local backend server that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// Id of the process.
    pub id: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Version of the service.
    pub version: VersionName,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Time at which the cold start ends and the server runs at full speed.
    pub warm_at: Millis,
}

impl LocalServer {
    /// Returns the fingerprint of the process. A process that is started again under its old id has
    /// another one.
    pub fn process(&self) -> u64 {
        process_of(&self.id, self.started_ms)
    }
}

fn process_of(id: &str, started_ms: u64) -> u64 {
    hash_key(format!("{id} {started_ms}").as_bytes())
}

/// Reason why an announcement or a withdrawal was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// It names an address or a service other than that of the server beside this daemon.
    Foreign,
    /// It is older than the newest known announcement.
    Stale,
    /// Its process has withdrawn.
    Departed,
}

/// Time after a withdrawal within which heartbeats that were sent before it may still arrive. The
/// network partitions that users see last about ten seconds.
const LATE_HEARTBEAT: Millis = Millis::from_secs(60);

/// Longest time by which the clock may have been set back since a backend server started. A start
/// time further in the future is implausible.
const MAX_CLOCK_STEP: Millis = Millis::from_secs(24 * 3600);

/// Minimum time by which the announced end of the cold start must be later than the known one to
/// count as a new cold start.
const COLD_START_INCREASE: Millis = Millis(500);

/// Effect of an announcement or a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The local server is unchanged.
    Same,
    /// A backend server accepts requests, or its description changed.
    Opened,
    /// The backend server no longer accepts requests.
    Closed,
    /// A process that is not in use has left.
    Departed,
    /// The announcement or the withdrawal was ignored.
    Ignored(Ignored),
}

/// Tracks the backend server beside a daemon.
#[derive(Clone, Debug)]
pub struct LocalServerState {
    address: SocketAddr,
    service: ServiceName,
    /// Start time, sequence number and process id of the newest announcement.
    newest: Option<(u64, u64, String)>,
    has_departed: bool,
    /// Fingerprint of the last process that left.
    departed: Option<u64>,
    /// Process that withdrew without a known start time, with the time of the withdrawal.
    withdrawn: Option<(String, Millis)>,
    server: Option<LocalServer>,
}

impl LocalServerState {
    /// Creates the state of a daemon beside the server of `service` at `address`.
    pub fn new(service: ServiceName, address: SocketAddr) -> LocalServerState {
        LocalServerState {
            address,
            service,
            newest: None,
            has_departed: false,
            departed: None,
            withdrawn: None,
            server: None,
        }
    }

    /// Returns the local backend server while it accepts requests.
    pub fn server(&self) -> Option<&LocalServer> {
        self.server.as_ref()
    }

    /// Returns the fingerprint of the last process that left, if it is known.
    pub fn departed(&self) -> Option<u64> {
        self.departed
    }

    /// Applies an announcement that arrived at `now`.
    pub fn announce(&mut self, now: Millis, announcement: &Announcement) -> Change {
        if announcement.address != self.address || announcement.service != self.service {
            return Change::Ignored(Ignored::Foreign);
        }
        let process = process_of(&announcement.id, announcement.started_ms);
        if self.is_withdrawn(now, announcement) {
            return Change::Ignored(Ignored::Departed);
        }
        let started = rank(now, announcement.started_ms);
        if let Some((started_ms, seq, id)) = &self.newest {
            let is_same = *id == announcement.id && *started_ms == started;
            if started < *started_ms || (is_same && announcement.seq <= *seq) {
                return Change::Ignored(Ignored::Stale);
            }
            if is_same && self.has_departed {
                return Change::Ignored(Ignored::Departed);
            }
            if !is_same {
                self.has_departed = false;
            }
        }
        if self.departed == Some(process) {
            return Change::Ignored(Ignored::Departed);
        }
        self.newest = Some((started, announcement.seq, announcement.id.clone()));
        match announcement.is_ready {
            true => self.open(now, announcement),
            false => self.close(Some(process)),
        }
    }

    fn open(&mut self, now: Millis, announcement: &Announcement) -> Change {
        let warm_at = now + announcement.warmup_left;
        let opened = LocalServer {
            id: announcement.id.clone(),
            started_ms: announcement.started_ms,
            address: announcement.address,
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots: announcement.slots,
            warm_at,
        };
        if let Some(server) = &mut self.server {
            let is_same = LocalServer {
                warm_at: server.warm_at,
                ..opened.clone()
            } == *server;
            let is_new_cold_start = warm_at > server.warm_at + COLD_START_INCREASE;
            if is_same && !(is_new_cold_start && announcement.warmup_left > Millis::ZERO) {
                return Change::Same;
            }
        }
        self.server = Some(opened);
        Change::Opened
    }

    /// Applies the withdrawal of the process `id`; `started_ms` is the start time of the process if
    /// the withdrawal names it.
    pub fn withdraw(&mut self, now: Millis, id: &str, started_ms: Option<u64>) -> Change {
        let started_ms = started_ms.filter(|started| is_plausible(now, *started));
        match &self.newest {
            Some((newest, _, known)) if known == id => {
                if started_ms.is_some_and(|started| started < *newest) {
                    return Change::Ignored(Ignored::Stale);
                }
                self.close(None)
            }
            Some((newest, ..)) if started_ms.is_none_or(|started| started <= *newest) => {
                Change::Ignored(Ignored::Stale)
            }
            _ => {
                if started_ms.is_none() {
                    self.withdrawn = Some((id.to_owned(), now));
                }
                self.newest = Some((started_ms.unwrap_or(0), u64::MAX, id.to_owned()));
                self.close(started_ms.map(|started| process_of(id, started)))
            }
        }
    }

    /// Applies that `process` says in its answers that it leaves, or that another daemon knows it
    /// has left.
    pub fn leave(&mut self, process: u64) -> Change {
        match &self.server {
            Some(server) if server.process() == process => self.close(Some(process)),
            _ if self.departed.is_none() => self.record_departure(Some(process)),
            _ => Change::Same,
        }
    }

    /// Returns whether an announcement was sent before its process withdrew.
    ///
    /// A daemon that started in between knows the process only by its withdrawal. A late heartbeat
    /// of that process would look like a new process with the same id, so only a process that
    /// started after the withdrawal is accepted.
    fn is_withdrawn(&self, now: Millis, announcement: &Announcement) -> bool {
        let withdrawn = self.withdrawn.as_ref();
        withdrawn.is_some_and(|(id, at)| {
            *id == announcement.id
                && announcement.started_ms <= at.0
                && now.since(*at) < LATE_HEARTBEAT
        })
    }

    /// Takes the server out of use; `process` is the one that left, if it is not that server.
    fn close(&mut self, process: Option<u64>) -> Change {
        self.has_departed = true;
        let server = self.server.take();
        let used = server.as_ref().map(LocalServer::process);
        let change = self.record_departure(process.or(used));
        match server {
            Some(_) => Change::Closed,
            None => change,
        }
    }

    fn record_departure(&mut self, process: Option<u64>) -> Change {
        if process.is_none() || process == self.departed {
            return Change::Same;
        }
        self.departed = process;
        Change::Departed
    }
}

/// Returns the start time by which announcements are ordered. An implausible one counts as the
/// earliest, so that it doesn't outrank the announcements to come.
fn rank(now: Millis, started_ms: u64) -> u64 {
    match is_plausible(now, started_ms) {
        true => started_ms,
        false => 0,
    }
}

fn is_plausible(now: Millis, started_ms: u64) -> bool {
    started_ms <= (now + MAX_CLOCK_STEP).0
}
