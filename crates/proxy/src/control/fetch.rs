//! Where a newer route table is had from.
//!
//! Neighbours tell which version they have. One of those with a newer version is asked; if its
//! answer is slow the next one is asked beside it, if it fails the next one at once. Load pattern
//! this answers: several versions in quick succession while links are full, where one slow answer
//! would otherwise hold back every version after it.

use rf_base::{Counter, Millis};
use rf_membership::ExchangeTarget;

/// Time after which another neighbour is asked beside the first. Several times what a patch takes
/// on a link that carries nothing else.
const NEXT_AFTER: Millis = Millis(600);
/// Time of being behind after which the store is read as well. Below the bound within which a
/// configuration must be in force, less two calls of the store.
const BEHIND: Millis = Millis(900);
/// Neighbours that are kept as sources.
const SOURCES: usize = 4;

/// Sources of a newer route table.
#[derive(Clone, Debug, Default)]
pub struct TableFetch {
    /// Neighbours with a newer table, the one to be asked next first.
    sources: Vec<(ExchangeTarget, Counter)>,
    pause_until: Millis,
    behind_since: Option<Millis>,
    wants_full_table: bool,
}

impl TableFetch {
    /// Takes in that `target` has `version`, which is newer than this proxy's.
    pub fn add_source(&mut self, now: Millis, target: ExchangeTarget, version: Counter) {
        self.behind_since.get_or_insert(now);
        if let Some((_, known)) = self.sources.iter_mut().find(|(t, _)| *t == target) {
            *known = version.max(*known);
        } else if self.sources.len() < SOURCES {
            self.sources.insert(0, (target, version));
        }
    }

    /// Takes in that `version` is in force; neighbours that have nothing newer are dropped.
    pub fn adopt(&mut self, now: Millis, version: Counter) {
        self.sources.retain(|(_, known)| *known > version);
        self.pause_until = Millis::ZERO;
        self.wants_full_table = false;
        self.behind_since = match self.sources.is_empty() {
            true => None,
            false => Some(now),
        };
    }

    /// Takes in that `target` gave no table.
    pub fn remove_source(&mut self, target: ExchangeTarget) {
        self.sources.retain(|(t, _)| *t != target);
        self.pause_until = Millis::ZERO;
    }

    /// Asks for whole tables until one is in force, since a patch did not fit.
    pub fn request_full_table(&mut self) {
        self.wants_full_table = true;
        self.pause_until = Millis::ZERO;
    }

    /// Returns whether the next question is for a whole table.
    pub fn wants_full_table(&self) -> bool {
        self.wants_full_table
    }

    /// Returns whether a newer table has been known of for long.
    pub fn is_behind(&self, now: Millis) -> bool {
        self.behind_since.is_some_and(|t| now.since(t) >= BEHIND)
    }

    /// Returns the neighbour to ask now.
    pub fn next_source(&mut self, now: Millis) -> Option<ExchangeTarget> {
        if now < self.pause_until || self.sources.is_empty() {
            return None;
        }
        self.pause_until = now + NEXT_AFTER;
        self.sources.rotate_left(1);
        self.sources.last().map(|(target, _)| *target)
    }
}
