//! State of the backend server beside a daemon, as the server announces it.
//!
//! Announcements can arrive late, twice, out of order, or from a process that has ended. They are
//! ordered by the start time of the process and then by sequence number. Start times can mislead,
//! because the clock of an instance can be set back: a process that keeps announcing itself while
//! the one in use is silent replaces it, whatever their start times.
//!
//! That a server drains, withdraws or says in its answers that it leaves is obeyed in any order. It
//! is final for its process: no announcement with the same id and start time makes the daemon send
//! requests again. A daemon that restarts has forgotten that a process left, so it learns that from
//! the store or the other daemons ([`LocalServerState::adopt`]) before it uses a server.

use crate::departed::{Departed, departure_of, process_of};
use rf_base::{Millis, ServiceName, VersionName};
use rf_protocol::Departure;
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

/// Reason why an announcement or a withdrawal was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// It names an address or a service other than that of the server beside this daemon.
    Foreign,
    /// It is older than the newest known announcement.
    Stale,
    /// Its process has left.
    Departed,
    /// It is not known yet whether its process has left.
    Unconfirmed,
}

/// Time without an announcement after which another process may replace the one in use, though it
/// seems to have started earlier. It is some times the interval of the announcements.
const MAX_SILENCE: Millis = Millis(3000);
/// Announcements that such a process must have made meanwhile.
const MIN_CHALLENGES: u32 = 2;

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

/// Process that has announced itself.
#[derive(Clone, Debug)]
struct Known {
    id: String,
    /// Start time by which it is ordered.
    started_ms: u64,
    process: u64,
    /// Highest sequence number.
    seq: u64,
    /// Time of the last announcement.
    at: Millis,
}

/// Process that is not in use and announces itself while the one in use is silent.
#[derive(Clone, Copy, Debug)]
struct Challenger {
    process: u64,
    seq: u64,
    announcements: u32,
}

/// Tracks the backend server beside a daemon.
#[derive(Clone, Debug)]
pub struct LocalServerState {
    address: SocketAddr,
    service: ServiceName,
    newest: Option<Known>,
    challenger: Option<Challenger>,
    /// Process that was the newest until one replaced it that seems to have started earlier.
    displaced: Option<Known>,
    departed: Departed,
    /// Whether it is unknown which process has left.
    is_unconfirmed: bool,
    server: Option<LocalServer>,
}

impl LocalServerState {
    /// Creates the state of a daemon beside the server of `service` at `address`.
    pub fn new(service: ServiceName, address: SocketAddr) -> LocalServerState {
        LocalServerState {
            address,
            service,
            newest: None,
            challenger: None,
            displaced: None,
            departed: Departed::default(),
            is_unconfirmed: false,
            server: None,
        }
    }

    /// Returns the local backend server while it accepts requests.
    pub fn server(&self) -> Option<&LocalServer> {
        self.server.as_ref()
    }

    /// Returns the last departure, if there was one.
    pub fn departed(&self) -> Option<Departure> {
        self.departed.last()
    }

    /// Returns the last departure of a process with the given id, if it is known.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        self.departed.find(id)
    }

    /// Uses no server until [`LocalServerState::confirm`], because an earlier daemon may have known
    /// that it has left.
    pub fn hold(&mut self) {
        self.is_unconfirmed = true;
    }

    /// Returns whether no server is used, because it is unknown which process has left.
    pub fn is_held(&self) -> bool {
        self.is_unconfirmed
    }

    /// Ends the effect of [`LocalServerState::hold`]: all is known that is to be known.
    pub fn confirm(&mut self) {
        self.is_unconfirmed = false;
    }

    /// Applies an announcement that arrived at `now`.
    pub fn announce(&mut self, now: Millis, announcement: &Announcement) -> Change {
        let Announcement {
            id,
            started_ms,
            seq,
            ..
        } = announcement;
        let is_foreign =
            announcement.address != self.address || announcement.service != self.service;
        if is_foreign && (announcement.is_ready || !self.knows(id)) {
            return Change::Ignored(Ignored::Foreign);
        }
        if !announcement.is_ready {
            return self.depart(now, id, Some(*started_ms), Some(*seq));
        }
        let process = process_of(id, *started_ms);
        let is_late = |newest: &Known| newest.process == process && *seq <= newest.seq;
        if self.newest.as_ref().is_some_and(is_late) {
            return Change::Ignored(Ignored::Stale);
        }
        if self.departed.covers(now, id, *started_ms) {
            return Change::Ignored(Ignored::Departed);
        }
        if self.is_unconfirmed {
            return Change::Ignored(Ignored::Unconfirmed);
        }
        let known = Known {
            id: id.clone(),
            started_ms: rank(now, *started_ms),
            process,
            seq: *seq,
            at: now,
        };
        if !self.replaces_newest(&known) {
            return Change::Ignored(Ignored::Stale);
        }
        self.challenger = None;
        self.newest = Some(known);
        self.open(now, announcement)
    }

    /// Returns whether the newest process or the one in use has the given id.
    fn knows(&self, id: &str) -> bool {
        let is_newest = self.newest.as_ref().is_some_and(|n| n.id == id);
        is_newest || self.server.as_ref().is_some_and(|s| s.id == id)
    }

    /// Returns whether the process that announced itself is the newest one.
    fn replaces_newest(&mut self, known: &Known) -> bool {
        let was_displaced = self
            .displaced
            .as_ref()
            .is_some_and(|d| d.process == known.process);
        let Some(newest) = &self.newest else {
            let challenges = self.count_challenge(known.process, known.seq);
            return !was_displaced || challenges >= MIN_CHALLENGES;
        };
        let is_later = known.started_ms >= newest.started_ms;
        if newest.process == known.process || (is_later && !was_displaced) {
            return true;
        }
        let is_silent = known.at.since(newest.at) >= MAX_SILENCE;
        let challenges = self.count_challenge(known.process, known.seq);
        let replaces = is_silent && challenges >= MIN_CHALLENGES;
        if replaces {
            self.displaced = self.newest.take();
        }
        replaces
    }

    /// Counts the announcements of `process` since the last one of the newest process.
    fn count_challenge(&mut self, process: u64, seq: u64) -> u32 {
        let before = self.challenger.filter(|c| c.process == process);
        let challenger = match before {
            Some(known) if seq <= known.seq => known,
            known => Challenger {
                process,
                seq,
                announcements: known.map_or(0, |k| k.announcements) + 1,
            },
        };
        self.challenger = Some(challenger);
        challenger.announcements
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
        self.depart(now, id, started_ms, None)
    }

    /// Applies that the process `id` drains or withdraws. `seq` is the sequence number of the
    /// announcement that says so.
    fn depart(
        &mut self,
        now: Millis,
        id: &str,
        started_ms: Option<u64>,
        seq: Option<u64>,
    ) -> Change {
        let started_ms = started_ms.filter(|started| is_plausible(now, *started));
        let process = started_ms.map(|started| process_of(id, started));
        let seems_earlier = |newest: &Known| match started_ms {
            Some(started) => started < newest.started_ms,
            None => newest.id != id,
        };
        let is_earlier = self.newest.as_ref().is_some_and(seems_earlier);
        let newest = match self.newest.take() {
            Some(other) if is_earlier && other.id != id => {
                self.newest = Some(other);
                let departure = departure_of(now, id, started_ms.unwrap_or(now.0));
                self.departed.remember(departure);
                return Change::Ignored(Ignored::Stale);
            }
            newest => newest.filter(|n| n.id == id),
        };
        let challenges = match (process, seq) {
            (Some(process), Some(seq)) => self.count_challenge(process, seq),
            _ => 0,
        };
        let known = newest.as_ref().map(|n| (n.process, n.started_ms));
        let seq = seq.or(newest.as_ref().map(|n| n.seq));
        let mut covered = started_ms;
        if is_earlier {
            // Either a message of an earlier process is late, or a later process has an earlier
            // start time. The newest one must announce itself anew.
            self.displaced = newest;
        } else {
            covered = covered.max(known.map(|(_, started)| started));
            self.newest = Some(Known {
                id: id.to_owned(),
                started_ms: covered.unwrap_or(0),
                process: process.or(known.map(|(process, _)| process)).unwrap_or(0),
                seq: seq.unwrap_or(u64::MAX),
                at: now,
            });
        }
        let has_replaced = process.is_some() && process == known.map(|(process, _)| process);
        let is_alone = has_replaced || challenges >= MIN_CHALLENGES;
        if let Some(displaced) = self.displaced.as_ref().filter(|d| d.id == id && is_alone) {
            covered = covered.max(Some(displaced.started_ms));
        }
        let departure = departure_of(now, id, covered.unwrap_or(now.0));
        let process = process.or(known.map(|(process, _)| process));
        self.close(Departure {
            process: process.unwrap_or(departure.process),
            ..departure
        })
    }

    /// Applies that `process` says in its answers that it leaves.
    pub fn leave(&mut self, now: Millis, process: u64) -> Change {
        let used = self.server.as_ref().filter(|s| s.process() == process);
        match used.map(|server| (server.id.clone(), server.started_ms)) {
            Some((id, started_ms)) => self.depart(now, &id, Some(started_ms), None),
            None => Change::Same,
        }
    }

    /// Applies a departure that the store or another daemon remembers.
    pub fn adopt(&mut self, now: Millis, departure: &Departure) -> Change {
        let is_used = self.server.as_ref().is_some_and(|server| {
            let departed = Departed::of(*departure);
            departed.covers(now, &server.id, server.started_ms)
        });
        if is_used {
            return self.close(*departure);
        }
        let is_later = |last: Departure| last.at < departure.at;
        if self.departed.last().is_none_or(is_later) {
            return self.record(*departure);
        }
        self.departed.remember(*departure);
        Change::Same
    }

    /// Records a departure and takes the server out of use.
    fn close(&mut self, departure: Departure) -> Change {
        let change = self.record(departure);
        match self.server.take() {
            Some(_) => Change::Closed,
            None => change,
        }
    }

    fn record(&mut self, departure: Departure) -> Change {
        match self.departed.record(departure) {
            true => Change::Departed,
            false => Change::Same,
        }
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
