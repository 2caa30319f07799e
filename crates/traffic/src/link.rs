//! The link of this instance as a limit of admission.
//!
//! On a thin link long answers queue behind each other and short ones behind them. The bytes that
//! are still to be sent, those of running requests included, give the time until an answer that is
//! admitted now would be through; beyond its patience a request is refused and goes elsewhere.
//!
//! A pacer keeps the queue in front of the link short.
//!
//! Load pattern this answers: large downloads on an instance whose link is slower than its slots,
//! beside short requests that are worth more.

use rf_base::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes a millisecond of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 125.0;
/// Part of the link that answers may plan with; the rest carries requests and news.
const USABLE: f64 = 0.85;
/// Bytes a millisecond that one connection can carry: a window of 64 KB for each round trip to a
/// caller of 16 ms.
const CONNECTION_RATE: f64 = 4096.0;

/// Bytes that are still to be sent over this instance's link.
#[derive(Clone, Debug)]
pub struct Link {
    rate: f64,
    reserved: Arc<AtomicU64>,
}

/// Bytes that count as still to be sent until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    reserved: Arc<AtomicU64>,
    bytes: u64,
}

impl Link {
    /// Makes a link of `megabits` a second.
    pub fn new(megabits: f64) -> Link {
        Link {
            rate: (megabits * BYTES_PER_MEGABIT * USABLE).max(1.0),
            reserved: Arc::default(),
        }
    }

    /// Returns the time until everything that is committed is sent.
    pub fn backlog(&self) -> Millis {
        self.transfer_time(self.reserved.load(Ordering::Relaxed))
    }

    /// Returns the time that `bytes` take on the idle link.
    pub fn transfer_time(&self, bytes: u64) -> Millis {
        Millis((bytes as f64 / self.rate) as u64)
    }

    /// Returns the fewest connections that fill the link, and one more, so that it stays full from
    /// one message to the next.
    pub fn parallel_connections(&self) -> usize {
        (self.rate / CONNECTION_RATE).ceil() as usize + 1
    }

    /// Commits `bytes` whatever the backlog.
    pub fn reserve(&self, bytes: u64) -> Reservation {
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
        Reservation {
            reserved: self.reserved.clone(),
            bytes,
        }
    }

    /// Commits `bytes` if the backlog is at most `patience`.
    ///
    /// # Errors
    ///
    /// Returns the time until the backlog is short enough.
    pub fn admit(&self, bytes: u64, patience: Millis) -> Result<Reservation, Millis> {
        let backlog = self.backlog();
        match backlog <= patience {
            true => Ok(self.reserve(bytes)),
            false => Err(backlog.since(patience)),
        }
    }
}

/// Backlog up to which the next piece of a long answer is sent, so that the link is not idle between
/// two looks at the clock.
const PACE_SLACK: f64 = 4.0;

/// Paces long answers by what is already under way on the link.
///
/// Every byte that is sent is counted. Short answers never wait; the pieces of long ones are held
/// back until what was sent before is through, so they take what the short ones leave and no queue
/// builds up in front of those.
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: f64,
    /// Time at which all that was sent is through, in milliseconds.
    free_at: f64,
}

impl Pacer {
    /// Makes the pacer of an idle link.
    pub fn new(link: &Link) -> Pacer {
        Pacer {
            rate: link.rate,
            free_at: 0.0,
        }
    }

    /// Takes in that `bytes` are sent now.
    pub fn record_sent(&mut self, now: Millis, bytes: u64) {
        self.free_at = self.free_at.max(now.0 as f64) + bytes as f64 / self.rate;
    }

    /// Returns how long the next piece of a long answer is to be held back.
    pub fn wait(&self, now: Millis) -> Millis {
        let backlog = self.free_at - now.0 as f64 - PACE_SLACK;
        Millis(backlog.max(0.0).ceil() as u64)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
