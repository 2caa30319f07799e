//! Tokens that an owner has lent and that may still be unspent.

use rf_base::{InstanceId, Millis};
use std::collections::{BTreeMap, VecDeque};

/// Tokens lent to one borrower.
#[derive(Clone, Copy, Debug)]
struct Lease {
    tokens: u32,
    expires: Millis,
}

/// Leases of one organisation, by borrower. All leases have the same lifetime.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    by_borrower: BTreeMap<InstanceId, Lease>,
    /// Ends of leases in the order in which they were given, so that expiry does not visit all.
    ends: VecDeque<(Millis, InstanceId)>,
    total: u32,
}

impl Leases {
    /// Returns the number of tokens that are lent and not known to be spent.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// Removes leases that have expired.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some((end, borrower)) = self.ends.front().copied() {
            if end > now {
                return;
            }
            self.ends.pop_front();
            if self
                .by_borrower
                .get(&borrower)
                .is_some_and(|l| l.expires == end)
            {
                self.remove(borrower);
            }
        }
    }

    /// Removes the lease of a borrower and returns its tokens.
    pub(super) fn remove(&mut self, borrower: InstanceId) -> u32 {
        let lease = self.by_borrower.remove(&borrower);
        let tokens = lease.map_or(0, |l| l.tokens);
        self.total -= tokens;
        tokens
    }

    /// Records a lease; the borrower must have none.
    pub(super) fn insert(&mut self, borrower: InstanceId, tokens: u32, expires: Millis) {
        if tokens == 0 {
            return;
        }
        self.by_borrower.insert(borrower, Lease { tokens, expires });
        self.ends.push_back((expires, borrower));
        self.total += tokens;
    }
}
