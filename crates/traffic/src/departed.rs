//! Processes of a backend server that have left.

use rf_base::Millis;
use rf_base::ids::hash_key;
use rf_protocol::Departure;

/// Time after a departure within which heartbeats that were sent before it may still arrive. The
/// network partitions that users see last about ten seconds.
const LATE_HEARTBEAT: Millis = Millis::from_secs(60);
/// Maximum number of departures that are remembered.
const MAX_DEPARTURES: usize = 8;

/// Returns the fingerprint of the process with the given id and start time.
pub(crate) fn process_of(id: &str, started_ms: u64) -> u64 {
    hash_key(format!("{id} {started_ms}").as_bytes())
}

/// Returns the departure at `now` of the process with the given id that started at `started_ms`.
pub(crate) fn departure_of(now: Millis, id: &str, started_ms: u64) -> Departure {
    Departure {
        process: process_of(id, started_ms),
        server: hash_key(id.as_bytes()),
        started_ms,
        at: now,
    }
}

/// The latest departures of processes of one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departed {
    /// Oldest first.
    departures: Vec<Departure>,
    /// The one that others are told.
    last: Option<Departure>,
}

impl Departed {
    /// Creates a record of one departure.
    pub(crate) fn of(departure: Departure) -> Departed {
        Departed {
            departures: vec![departure],
            last: Some(departure),
        }
    }

    /// Returns the departure that others are told.
    pub(crate) fn last(&self) -> Option<Departure> {
        self.last
    }

    /// Returns the last departure of a process with the given id.
    pub(crate) fn find(&self, id: &str) -> Option<Departure> {
        let server = hash_key(id.as_bytes());
        let known = self.departures.iter().rev();
        known.copied().find(|d| d.server == server)
    }

    /// Returns whether a process has left. A heartbeat of an earlier process with the same id counts
    /// as late for a while.
    pub(crate) fn covers(&self, now: Millis, id: &str, started_ms: u64) -> bool {
        let process = process_of(id, started_ms);
        let server = hash_key(id.as_bytes());
        self.departures.iter().any(|d| {
            let is_earlier = d.server == server && started_ms <= d.started_ms;
            d.process == process || (is_earlier && now.since(d.at) < LATE_HEARTBEAT)
        })
    }

    /// Records a departure that others are told from now on. Returns whether it is news.
    pub(crate) fn record(&mut self, departure: Departure) -> bool {
        let departure = self.remember(departure);
        let is_same = |last: Departure| {
            last.process == departure.process && last.started_ms == departure.started_ms
        };
        if self.last.is_some_and(is_same) {
            return false;
        }
        self.last = Some(departure);
        true
    }

    /// Records a departure that others need not know, and returns it together with what was known.
    pub(crate) fn remember(&mut self, departure: Departure) -> Departure {
        let known = self.departures.iter_mut();
        if let Some(known) = known.into_iter().find(|d| d.process == departure.process) {
            known.started_ms = known.started_ms.max(departure.started_ms);
            return *known;
        }
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.remove(0);
        }
        self.departures.push(departure);
        departure
    }
}
