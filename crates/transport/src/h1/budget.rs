//! Memory budgets that several messages share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Length up to which a message is short, in bytes. It covers heads of the maximum size.
const SHORT_BYTES: u64 = 128 * 1024;

/// Budget that the bytes of a message are taken from.
pub trait ByteBudget {
    /// Takes `bytes` from the budget; returns `false` if this exceeds it.
    fn try_take(&self, bytes: usize) -> bool;
}

/// Unlimited budget, for readers whose [`ReadLimits`](super::ReadLimits) suffice.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedBytes;

impl ByteBudget for UnlimitedBytes {
    fn try_take(&self, _bytes: usize) -> bool {
        true
    }
}

/// Budget for the bytes of messages that are held in memory.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    /// Limit for messages of more than [`SHORT_BYTES`].
    long_limit: u64,
    held: Arc<AtomicU64>,
}

/// Bytes of a [`MemoryBudget`] that are reserved until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    held: Arc<AtomicU64>,
    limit: u64,
    long_limit: u64,
    bytes: AtomicU64,
}

impl ByteBudget for MemoryReservation {
    fn try_take(&self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let own = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let limit = match own > SHORT_BYTES {
            true => self.long_limit,
            false => self.limit,
        };
        self.held.fetch_add(bytes, Ordering::Relaxed) + bytes <= limit
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> MemoryBudget {
        MemoryBudget {
            limit,
            long_limit: limit,
            held: Arc::default(),
        }
    }

    /// Creates a budget of `limit` bytes, a quarter of which is left to short messages. Long ones,
    /// which may come without end, then do not keep short ones from being read.
    pub fn with_reserve(limit: u64) -> MemoryBudget {
        MemoryBudget {
            long_limit: limit - limit / 4,
            ..MemoryBudget::new(limit)
        }
    }

    /// Reserves `bytes`; returns `None` if that would exceed the budget.
    pub fn reserve(&self, bytes: u64) -> Option<MemoryReservation> {
        let reservation = self.empty_reservation();
        reservation.try_take(bytes as usize).then_some(reservation)
    }

    /// Returns a reservation of zero bytes that grows as bytes are read.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            held: self.held.clone(),
            limit: self.limit,
            long_limit: self.long_limit,
            bytes: AtomicU64::new(0),
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let bytes = self.bytes.load(Ordering::Relaxed);
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
