//! Admission limit and pacing for the network link of this instance.
//!
//! On a slow link, large answers queue behind each other, and small answers queue behind the large
//! ones. The number of bytes that are still to be sent, including the expected answers of running
//! requests, gives the time until the link can send another answer. A request that may not wait
//! that long is refused, so that it can be sent to another instance.
//!
//! A [`Pacer`] keeps the send queue of the link short.
//!
//! Load pattern handled here: large downloads from an instance whose link saturates before its
//! slots do, next to small requests of higher value.

use rf_base::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes per millisecond in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125.0;
/// Share of the link rate that is available to answers; the rest carries requests and control
/// messages.
const USABLE_SHARE: f64 = 0.85;
/// Throughput of one connection in bytes per millisecond: a 64 KB window per round trip of 16 ms to
/// the caller.
const CONNECTION_RATE: f64 = 4096.0;

/// Network link of this instance, with the number of bytes that are still to be sent over it.
#[derive(Clone, Debug)]
pub struct Link {
    /// Usable rate in bytes per millisecond.
    rate: f64,
    /// Bytes that are still to be sent.
    reserved: Arc<AtomicU64>,
}

/// Guard of a number of bytes that count as still to be sent until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    reserved: Arc<AtomicU64>,
    bytes: u64,
}

impl Link {
    /// Creates an idle link with a rate of `megabits` per second.
    pub fn new(megabits: f64) -> Link {
        Link {
            rate: (megabits * BYTES_PER_MEGABIT * USABLE_SHARE).max(1.0),
            reserved: Arc::default(),
        }
    }

    /// Returns the time until all reserved bytes are sent.
    pub fn backlog(&self) -> Millis {
        self.transfer_time(self.reserved.load(Ordering::Relaxed))
    }

    /// Returns the time that sending `bytes` takes on the idle link.
    pub fn transfer_time(&self, bytes: u64) -> Millis {
        Millis((bytes as f64 / self.rate) as u64)
    }

    /// Returns the smallest number of connections that saturate the link, plus one, so that the
    /// link stays saturated between one message and the next.
    pub fn parallel_connections(&self) -> usize {
        (self.rate / CONNECTION_RATE).ceil() as usize + 1
    }

    /// Reserves `bytes` regardless of the backlog.
    pub fn reserve(&self, bytes: u64) -> Reservation {
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
        Reservation {
            reserved: self.reserved.clone(),
            bytes,
        }
    }

    /// Reserves `bytes` if the backlog is at most `max_backlog`.
    ///
    /// # Errors
    ///
    /// Returns the time until the backlog is short enough.
    pub fn admit(&self, bytes: u64, max_backlog: Millis) -> Result<Reservation, Millis> {
        let backlog = self.backlog();
        match backlog <= max_backlog {
            true => Ok(self.reserve(bytes)),
            false => Err(backlog.since(max_backlog)),
        }
    }
}

/// Backlog in milliseconds up to which the next chunk of a large answer is sent, so that the link
/// does not idle until the next check.
const PACE_SLACK_MS: f64 = 4.0;

/// Pacer that delays large answers while earlier bytes are still in transit on the link.
///
/// Every byte that is sent is counted. Small answers are never delayed. Each chunk of a large
/// answer waits until the bytes sent before it have left the link, so large answers use the
/// capacity that small ones leave, and small ones find no queue.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// Usable rate of the link in bytes per millisecond.
    rate: f64,
    /// Time in milliseconds at which all bytes sent so far have left the link.
    free_at: f64,
}

impl Pacer {
    /// Creates a pacer for a link on which nothing is in transit.
    pub fn new(link: &Link) -> Pacer {
        Pacer {
            rate: link.rate,
            free_at: 0.0,
        }
    }

    /// Records that `bytes` are sent now.
    pub fn record_sent(&mut self, now: Millis, bytes: u64) {
        self.free_at = self.free_at.max(now.0 as f64) + bytes as f64 / self.rate;
    }

    /// Returns the time to wait before sending the next chunk of a large answer.
    pub fn wait(&self, now: Millis) -> Millis {
        let backlog = self.free_at - now.0 as f64 - PACE_SLACK_MS;
        Millis(backlog.max(0.0).ceil() as u64)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
