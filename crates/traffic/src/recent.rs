//! Bounded map of per-route state that evicts the least recently used route.

use rf_base::Millis;
use std::collections::BTreeMap;

/// State per route, keyed by the fingerprint of the route name.
///
/// A new route replaces the least recently used one when the map is full.
#[derive(Clone, Debug)]
pub(crate) struct RecentRoutes<T> {
    capacity: usize,
    entries: BTreeMap<u64, (T, Millis)>,
}

impl<T: Default> RecentRoutes<T> {
    /// Creates an empty map of at most `capacity` routes.
    pub(crate) fn new(capacity: usize) -> RecentRoutes<T> {
        RecentRoutes {
            capacity,
            entries: BTreeMap::new(),
        }
    }

    /// Returns the state of a route without marking the route as used.
    pub(crate) fn get(&self, route: u64) -> Option<&T> {
        self.entries.get(&route).map(|(value, _)| value)
    }

    /// Returns the state of a route and marks the route as used at `now`; a new route starts with
    /// the default state.
    pub(crate) fn touch(&mut self, now: Millis, route: u64) -> &mut T {
        if !self.entries.contains_key(&route) && self.entries.len() >= self.capacity {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, (_, last_used))| *last_used);
            if let Some(oldest) = oldest.map(|(route, _)| *route) {
                self.entries.remove(&oldest);
            }
        }
        let (value, last_used) = self.entries.entry(route).or_default();
        *last_used = now;
        value
    }
}
