//! The link of this instance as a limit of admission.
//!
//! On a thin link long answers queue behind each other and short ones behind them. The bytes that
//! are still to be sent, those of running requests included, give the time until an answer that is
//! admitted now would be through; beyond its patience a request is refused and goes elsewhere.
//!
//! Load pattern this answers: large downloads on an instance whose link is slower than its slots,
//! beside short requests that are worth more.

use rf_base::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes a millisecond of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 125.0;
/// Part of the link that answers may plan with; the rest carries requests and news.
const USABLE: f64 = 0.9;

/// Bytes that are still to be sent over this instance's link.
#[derive(Clone, Debug)]
pub struct Link {
    rate: f64,
    committed: Arc<AtomicU64>,
}

/// Bytes that count as still to be sent until this is dropped.
#[derive(Debug)]
pub struct Commitment {
    committed: Arc<AtomicU64>,
    bytes: u64,
}

impl Link {
    /// Makes a link of `megabits` a second.
    pub fn new(megabits: f64) -> Link {
        Link {
            rate: (megabits * BYTES_PER_MEGABIT * USABLE).max(1.0),
            committed: Arc::default(),
        }
    }

    /// Returns the time until everything that is committed is sent.
    pub fn backlog(&self) -> Millis {
        let committed = self.committed.load(Ordering::Relaxed) as f64;
        Millis((committed / self.rate) as u64)
    }

    /// Commits `bytes` whatever the backlog.
    pub fn commit(&self, bytes: u64) -> Commitment {
        self.committed.fetch_add(bytes, Ordering::Relaxed);
        Commitment {
            committed: self.committed.clone(),
            bytes,
        }
    }

    /// Commits `bytes` if the backlog is at most `patience`.
    ///
    /// # Errors
    ///
    /// Returns the time until the backlog is short enough.
    pub fn admit(&self, bytes: u64, patience: Millis) -> Result<Commitment, Millis> {
        let backlog = self.backlog();
        match backlog <= patience {
            true => Ok(self.commit(bytes)),
            false => Err(backlog.since(patience)),
        }
    }
}

impl Drop for Commitment {
    fn drop(&mut self) {
        self.committed.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
