//! The backend server beside a daemon, as it announces itself.
//!
//! Announcements may come late, twice, out of order, or from a process that is gone. They are
//! ordered by the start of the process first and by their number after that. A departure is final
//! for its process: no announcement of the same start opens the gate again.

use rf_base::{Millis, ServiceName, VersionName};
use std::net::SocketAddr;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the process.
    pub id: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the announcement.
    pub seq: u64,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Time for which it will still be slow after its start.
    pub warmup_left: Millis,
}

/// A backend server that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalServer {
    /// Id of the process.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Time from which it runs at full speed.
    pub warm_at: Millis,
}

/// Why an announcement changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// It speaks of another address or service than the one beside this daemon.
    Foreign,
    /// A newer one is known.
    Stale,
    /// Its process has said that it leaves.
    Departed,
}

/// Time after a withdrawal within which heartbeats sent before it may still arrive; the partitions
/// of the users' days last some ten seconds.
const LATE_HEARTBEAT: Millis = Millis::from_secs(60);

/// Time by which a server must stay cold for longer than was known to count as cold again.
const COLD_INCREASE: Millis = Millis(500);

/// What an announcement led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing but the time of the last news.
    Same,
    /// A backend server takes requests, or differs from before.
    Opened,
    /// It takes no new requests any more.
    Closed,
    /// The announcement was ignored.
    Ignored(Ignored),
}

/// State of the backend server beside a daemon.
#[derive(Clone, Debug)]
pub struct LocalServerState {
    address: SocketAddr,
    service: ServiceName,
    /// Start and number of the newest announcement, with the process it came from.
    newest: Option<(u64, u64, String)>,
    has_departed: bool,
    /// Process whose start was never told when it withdrew, with the time of the withdrawal.
    withdrawn: Option<(String, Millis)>,
    server: Option<LocalServer>,
}

impl LocalServerState {
    /// Makes the state of a daemon that stands beside `service` at `address`.
    pub fn new(service: ServiceName, address: SocketAddr) -> LocalServerState {
        LocalServerState {
            address,
            service,
            newest: None,
            has_departed: false,
            withdrawn: None,
            server: None,
        }
    }

    /// Returns the backend server that takes requests, if there is one.
    pub fn server(&self) -> Option<&LocalServer> {
        self.server.as_ref()
    }

    /// Takes an announcement in.
    pub fn announce(&mut self, now: Millis, news: &Announcement) -> Change {
        if news.address != self.address || news.service != self.service {
            return Change::Ignored(Ignored::Foreign);
        }
        if self.is_withdrawn(now, news) {
            return Change::Ignored(Ignored::Departed);
        }
        if let Some((born, seq, id)) = &self.newest {
            let is_same = *id == news.id && *born == news.started_ms;
            if news.started_ms < *born || (is_same && news.seq <= *seq) {
                return Change::Ignored(Ignored::Stale);
            }
            if is_same && self.has_departed {
                return Change::Ignored(Ignored::Departed);
            }
            if !is_same {
                self.has_departed = false;
            }
        }
        self.newest = Some((news.started_ms, news.seq, news.id.clone()));
        match news.is_ready {
            true => self.open(now, news),
            false => self.close(),
        }
    }

    fn open(&mut self, now: Millis, news: &Announcement) -> Change {
        let warm_at = now + news.warmup_left;
        let opened = LocalServer {
            id: news.id.clone(),
            address: news.address,
            service: news.service.clone(),
            version: news.version.clone(),
            slots: news.slots,
            warm_at,
        };
        if let Some(resident) = &mut self.server {
            let is_same = LocalServer {
                warm_at: resident.warm_at,
                ..opened.clone()
            } == *resident;
            let is_colder = warm_at > resident.warm_at + COLD_INCREASE;
            if is_same && !(is_colder && news.warmup_left > Millis::ZERO) {
                return Change::Same;
            }
        }
        self.server = Some(opened);
        Change::Opened
    }

    /// Takes in that the process `id` leaves; `born` is its start where it said so.
    pub fn withdraw(&mut self, now: Millis, id: &str, born: Option<u64>) -> Change {
        match &self.newest {
            Some((newest, _, known)) if known == id => {
                if born.is_some_and(|b| b < *newest) {
                    return Change::Ignored(Ignored::Stale);
                }
                self.close()
            }
            Some((newest, ..)) if born.is_none_or(|b| b <= *newest) => {
                Change::Ignored(Ignored::Stale)
            }
            _ => {
                if born.is_none() {
                    self.withdrawn = Some((id.to_owned(), now));
                }
                self.newest = Some((born.unwrap_or(0), u64::MAX, id.to_owned()));
                self.close()
            }
        }
    }

    /// Returns whether an announcement was sent before its process withdrew.
    ///
    /// A daemon that started in between knows the process by its withdrawal alone, and takes a
    /// late heartbeat for news of another life unless that life began after the withdrawal.
    fn is_withdrawn(&self, now: Millis, news: &Announcement) -> bool {
        let withdrawn = self.withdrawn.as_ref();
        withdrawn.is_some_and(|(id, at)| {
            *id == news.id && news.started_ms <= at.0 && now.since(*at) < LATE_HEARTBEAT
        })
    }

    fn close(&mut self) -> Change {
        self.has_departed = true;
        match self.server.take() {
            Some(_) => Change::Closed,
            None => Change::Same,
        }
    }
}
