//! Selection of the neighbour from which a newer route table is fetched.
//!
//! Neighbours advertise their table version. One of those with a newer version is asked. If its
//! answer is slow, the next one is asked concurrently; if it fails, the next one is asked at once.
//! Without this, one slow answer would delay all following versions when several versions are
//! published in quick succession while the links are saturated.

use rf_base::{ConfigVersion, Millis};
use rf_membership::ExchangeTarget;

/// Time after which another neighbour is asked concurrently. It is several times the transfer time
/// of a patch on an idle link.
const NEXT_SOURCE_DELAY: Millis = Millis(600);
/// Time after which a proxy with an outdated table also reads the store. It is less than the time
/// within which a configuration must be active, minus two store calls.
const BEHIND_TIME: Millis = Millis(900);
/// Maximum number of neighbours kept as sources.
const MAX_SOURCES: usize = 4;

/// Neighbours from which a newer route table can be fetched.
#[derive(Clone, Debug, Default)]
pub struct TableFetch {
    /// Neighbours with a newer table and their table version; the next one to ask comes first.
    sources: Vec<(ExchangeTarget, ConfigVersion)>,
    pause_until: Millis,
    behind_since: Option<Millis>,
    wants_full_table: bool,
}

impl TableFetch {
    /// Records that `target` has `version`, which is newer than this proxy's table.
    pub fn add_source(&mut self, now: Millis, target: ExchangeTarget, version: ConfigVersion) {
        self.behind_since.get_or_insert(now);
        if let Some((_, known)) = self.sources.iter_mut().find(|(t, _)| *t == target) {
            *known = version.max(*known);
        } else if self.sources.len() < MAX_SOURCES {
            self.sources.insert(0, (target, version));
        }
    }

    /// Records that `version` became active; drops neighbours that have no newer one.
    pub fn adopt(&mut self, now: Millis, version: ConfigVersion) {
        self.sources.retain(|(_, known)| *known > version);
        self.pause_until = Millis::ZERO;
        self.wants_full_table = false;
        self.behind_since = match self.sources.is_empty() {
            true => None,
            false => Some(now),
        };
    }

    /// Removes `target`, which did not provide a table.
    pub fn remove_source(&mut self, target: ExchangeTarget) {
        self.sources.retain(|(t, _)| *t != target);
        self.pause_until = Millis::ZERO;
    }

    /// Requests full tables until one becomes active, because a patch could not be applied.
    pub fn request_full_table(&mut self) {
        self.wants_full_table = true;
        self.pause_until = Millis::ZERO;
    }

    /// Returns whether the next request must ask for a full table instead of a patch.
    pub fn wants_full_table(&self) -> bool {
        self.wants_full_table
    }

    /// Returns whether this proxy has known of a newer table for so long that it should read the
    /// store.
    pub fn is_behind(&self, now: Millis) -> bool {
        self.behind_since
            .is_some_and(|t| now.since(t) >= BEHIND_TIME)
    }

    /// Returns the neighbour to ask now, if one is due.
    pub fn next_source(&mut self, now: Millis) -> Option<ExchangeTarget> {
        if now < self.pause_until || self.sources.is_empty() {
            return None;
        }
        self.pause_until = now + NEXT_SOURCE_DELAY;
        self.sources.rotate_left(1);
        self.sources.last().map(|(target, _)| *target)
    }
}
