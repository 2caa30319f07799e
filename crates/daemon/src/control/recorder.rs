//! Counts the calls that end at the backend server of this instance, by window and route.
//!
//! Windows are final once their time has passed. The last few are sent again with each new one, so
//! a lost message costs nothing.

use super::event::Observation;
use rf_base::Millis;
use rf_protocol::evidence::{WINDOW, latency_bucket};
use rf_protocol::{RouteCounts, Window};
use std::collections::BTreeMap;

/// Windows that are sent in one message.
const RESENT: u64 = 2;

/// Counts by window and route.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    windows: BTreeMap<u64, BTreeMap<u64, RouteCounts>>,
    sent: u64,
}

impl Recorder {
    /// Counts a call that ended at `now`.
    pub fn record(&mut self, now: Millis, observation: &Observation, is_cold: bool) {
        let slot = now.0 / WINDOW.0;
        let routes = self.windows.entry(slot).or_default();
        let cell = routes
            .entry(observation.route)
            .or_insert_with(|| RouteCounts {
                route: observation.route,
                ..RouteCounts::default()
            });
        cell.calls += 1;
        cell.failures += u32::from(observation.is_failure);
        cell.is_cold |= is_cold;
        cell.latency[latency_bucket(observation.latency.0)] += 1;
    }

    /// Returns the latest final windows, once for each window that became final.
    pub fn take_final(&mut self, now: Millis) -> Option<Vec<Window>> {
        let current = now.0 / WINDOW.0;
        let last = current.saturating_sub(1);
        if last <= self.sent {
            return None;
        }
        self.sent = last;
        let oldest = current.saturating_sub(RESENT);
        self.windows.retain(|slot, _| *slot >= oldest);
        let windows: Vec<Window> = self
            .windows
            .range(..current)
            .map(|(slot, cells)| Window {
                slot: *slot,
                routes: cells.values().cloned().collect(),
            })
            .collect();
        (!windows.is_empty()).then_some(windows)
    }
}
