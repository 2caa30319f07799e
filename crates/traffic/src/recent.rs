//! What is known of each route, for the routes that were used last.

use rf_base::Millis;
use std::collections::BTreeMap;

/// A bounded map by the fingerprint of a route's name; a new route replaces the one that was used
/// least lately.
#[derive(Clone, Debug)]
pub(crate) struct RecentRoutes<T> {
    capacity: usize,
    entries: BTreeMap<u64, (T, Millis)>,
}

impl<T: Default> RecentRoutes<T> {
    /// Makes an empty map of at most `capacity` routes.
    pub(crate) fn new(capacity: usize) -> RecentRoutes<T> {
        RecentRoutes {
            capacity,
            entries: BTreeMap::new(),
        }
    }

    /// Returns what is known of a route.
    pub(crate) fn get(&self, route: u64) -> Option<&T> {
        self.entries.get(&route).map(|(value, _)| value)
    }

    /// Returns what is known of a route that is used now, nothing yet for a new one.
    pub(crate) fn touch(&mut self, now: Millis, route: u64) -> &mut T {
        if !self.entries.contains_key(&route) && self.entries.len() >= self.capacity {
            let oldest = self.entries.iter().min_by_key(|(_, (_, used))| *used);
            if let Some(oldest) = oldest.map(|(route, _)| *route) {
                self.entries.remove(&oldest);
            }
        }
        let (value, used) = self.entries.entry(route).or_default();
        *used = now;
        value
    }
}
