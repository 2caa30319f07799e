//! Counts the calls that end at the backend server of this instance, by time window and route.
//!
//! A window is complete once its time has passed. The windows before the newest complete one are
//! sent again with it, so that the loss of a single message loses no counts.

use super::event::Observation;
use rf_base::Millis;
use rf_protocol::evidence::{WINDOW, latency_bucket};
use rf_protocol::{RouteCounts, Window};
use std::collections::BTreeMap;

/// Number of most recent complete windows that are sent in one message.
const WINDOWS_PER_MESSAGE: u64 = 2;

/// Call counts by window and route, until their last transmission.
#[derive(Clone, Debug, Default)]
pub struct CallRecorder {
    /// Counts by [`Window::slot`] and by fingerprint of the route.
    windows: BTreeMap<u64, BTreeMap<u64, RouteCounts>>,
    /// [`Window::slot`] of the newest complete window at the last transmission.
    last_sent: u64,
}

impl CallRecorder {
    /// Counts a call that ended at `now`; `is_cold` marks the counts as part of a cold start.
    pub fn record(&mut self, now: Millis, observation: &Observation, is_cold: bool) {
        let slot = now.0 / WINDOW.0;
        let routes = self.windows.entry(slot).or_default();
        let counts = routes
            .entry(observation.route)
            .or_insert_with(|| RouteCounts {
                route: observation.route,
                ..RouteCounts::default()
            });
        counts.calls += 1;
        counts.failures += u32::from(observation.is_failure);
        counts.is_cold |= is_cold;
        counts.latency[latency_bucket(observation.latency.0)] += 1;
    }

    /// Returns the most recent complete windows; `None` if no window has been completed since the
    /// last call, or if none of them contains calls.
    pub fn take_complete(&mut self, now: Millis) -> Option<Vec<Window>> {
        let current = now.0 / WINDOW.0;
        let last = current.saturating_sub(1);
        if last <= self.last_sent {
            return None;
        }
        self.last_sent = last;
        let oldest = current.saturating_sub(WINDOWS_PER_MESSAGE);
        self.windows.retain(|slot, _| *slot >= oldest);
        let windows: Vec<Window> = self
            .windows
            .range(..current)
            .map(|(slot, routes)| Window {
                slot: *slot,
                routes: routes.values().cloned().collect(),
            })
            .collect();
        (!windows.is_empty()).then_some(windows)
    }
}
