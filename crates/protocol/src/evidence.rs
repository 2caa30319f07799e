//! Call statistics from which the judges of a move decide whether its new version is bad.
//!
//! Each daemon beside a backend server of the service being moved counts calls by route and time
//! window. A window is sent several times and is identified by `(observer, slot)`, so lost and
//! repeated messages do not distort the counts.

use rf_base::{InstanceId, Millis, MoveId};
use serde::{Deserialize, Serialize};

/// Number of latency buckets.
///
/// Bucket `i` counts calls that took less than `2^i` milliseconds and fit no lower bucket; the
/// last bucket counts all slower calls too.
pub const LATENCY_BUCKETS: usize = 16;

/// One of the two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// Version that traffic is moved away from.
    Old,
    /// Version that traffic is moved to.
    New,
}

/// Call statistics of one daemon for one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Move that the statistics are about.
    #[serde(rename = "target")]
    pub move_id: MoveId,
    /// Daemon that counted the calls.
    pub observer: InstanceId,
    /// Version that the backend server beside the observer runs.
    pub side: Side,
    /// Complete windows, whose counts no longer change.
    pub windows: Vec<Window>,
}

/// Length of one [`Window`].
pub const WINDOW: Millis = Millis(500);

/// Call statistics of one time window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Number of the window, counted in units of [`WINDOW`] since the Unix epoch.
    pub slot: u64,
    /// Counts of each route that had calls in the window.
    #[serde(rename = "cells")]
    pub routes: Vec<RouteCounts>,
}

/// Call counts of one route in one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Fingerprint of the host and path prefix of the route.
    pub route: u64,
    /// Calls that ended within the window, failed ones included.
    pub calls: u32,
    /// Calls among them that failed.
    pub failures: u32,
    /// Whether the backend server was still warming up, so that latencies must not be compared.
    pub is_cold: bool,
    /// Calls by latency bucket; see [`LATENCY_BUCKETS`].
    pub latency: [u32; LATENCY_BUCKETS],
}

/// Returns the index of the latency bucket of a call that took `millis` milliseconds.
pub fn latency_bucket(millis: u64) -> usize {
    let bits = (u64::BITS - millis.leading_zeros()) as usize;
    bits.min(LATENCY_BUCKETS - 1)
}
