//! Observations from which a move is judged.
//!
//! Each daemon beside a backend server of a moving service counts calls per route and window. A
//! window is sent several times and identified by `(observer, slot)`, so a lost or repeated
//! message changes nothing.

use rf_base::{InstanceId, Millis, MoveId};
use serde::{Deserialize, Serialize};

/// Number of latency buckets; bucket `i` holds calls below `2^i` milliseconds, the last the rest.
pub const LATENCY_BUCKETS: usize = 16;

/// Which of a move's two versions a call ran on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// Version that traffic moves away from.
    Old,
    /// Version that traffic moves to.
    New,
}

/// Observations of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Move they belong to.
    #[serde(rename = "target")]
    pub move_id: MoveId,
    /// Daemon that observed.
    pub observer: InstanceId,
    /// Version that the observer's backend server runs.
    pub side: Side,
    /// Whole windows, each final.
    pub windows: Vec<Window>,
}

/// Length of one window.
pub const WINDOW: Millis = Millis(500);

/// One window of observations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Number of the window since the Unix epoch.
    pub slot: u64,
    /// Counts by route.
    #[serde(rename = "cells")]
    pub routes: Vec<RouteCounts>,
}

/// Counts of one route in one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Fingerprint of the route's host and prefix.
    pub route: u64,
    /// Calls that ended.
    pub calls: u32,
    /// Calls that failed.
    pub failures: u32,
    /// Whether the backend server was in its cold start, so that latencies do not count.
    pub is_cold: bool,
    /// Calls by latency.
    pub latency: [u32; LATENCY_BUCKETS],
}

/// Returns the latency bucket of `millis`.
pub fn latency_bucket(millis: u64) -> usize {
    let bits = (u64::BITS - millis.leading_zeros()) as usize;
    bits.min(LATENCY_BUCKETS - 1)
}
