//! Limits the log lines about refused requests of organisations at their quota.

use rf_base::{Millis, OrganisationId};
use std::collections::BTreeMap;

/// Shortest time between two lines about one organisation.
const LINE_INTERVAL: Millis = Millis(1000);

/// Counts refused requests between the log lines of each organisation.
#[derive(Debug, Default)]
pub(super) struct RefusalLog(BTreeMap<OrganisationId, (Millis, u64)>);

impl RefusalLog {
    /// Counts a refused request. Returns the number of requests refused since the last line if
    /// another one is due.
    pub(super) fn count(&mut self, now: Millis, organisation: OrganisationId) -> Option<u64> {
        let due = (Millis::ZERO, 0);
        let (next, refused) = self.0.entry(organisation).or_insert(due);
        *refused += 1;
        if now < *next {
            return None;
        }
        *next = now + LINE_INTERVAL;
        Some(std::mem::take(refused))
    }

    /// Removes organisations that need not be remembered: their next line is due and would count
    /// nothing.
    pub(super) fn prune(&mut self, now: Millis) {
        self.0
            .retain(|_, (next, refused)| now < *next || *refused > 0);
    }
}
