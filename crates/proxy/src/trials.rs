//! Statistics of version trials, and the choice of the requests that go to the new version.
//!
//! A trial compares the new version of a service with the old one by failed and slow requests,
//! route by route. An answer counts as slow by comparison with the usual time of the old version.

use rf_base::Millis;
use rf_protocol::relay::{RouteVersionCounts, VersionCount};
use std::collections::BTreeMap;

/// Divisor that gives the weight of the newest answer in the smoothed time of a route.
const USUAL_TIME_SMOOTHING: f64 = 16.0;
/// Number of answers of the old version from which its usual time is used for comparison.
const MIN_ANSWERS: u64 = 10;
/// Multiple of the usual time above which an answer counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Version of a trial that a request is assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialSide {
    /// The current version.
    Old,
    /// The version on trial.
    New,
}

#[derive(Clone, Debug, Default)]
struct RouteStats {
    old: VersionCount,
    new: VersionCount,
    /// Smoothed time of the successful answers of the old version, in milliseconds.
    usual: f64,
}

/// State of one trial.
#[derive(Clone, Debug, Default)]
struct TrialState {
    /// Accumulated share of requests due to the new version; one request costs 1.
    credit: f64,
    routes: BTreeMap<u64, RouteStats>,
}

/// Statistics of all trials, by the number of the rollout.
#[derive(Clone, Debug, Default)]
pub struct TrialStats {
    trials: BTreeMap<u64, TrialState>,
}

impl TrialStats {
    /// Assigns the next request to a version, so that the new one gets `share` of all requests.
    pub fn assign(&mut self, order: u64, share: f64) -> TrialSide {
        let trial = self.trials.entry(order).or_default();
        trial.credit += share;
        match trial.credit >= 1.0 {
            true => {
                trial.credit -= 1.0;
                TrialSide::New
            }
            false => TrialSide::Old,
        }
    }

    /// Records the end of a request that took `span`.
    pub fn observe(
        &mut self,
        order: u64,
        route: u64,
        side: TrialSide,
        is_failure: bool,
        span: Millis,
    ) {
        let trial = self.trials.entry(order).or_default();
        let route = trial.routes.entry(route).or_default();
        let is_known = route.old.total >= MIN_ANSWERS;
        let is_slow = is_known && span.0 as f64 > SLOW_FACTOR * route.usual;
        let count = match side {
            TrialSide::Old => &mut route.old,
            TrialSide::New => &mut route.new,
        };
        count.total += 1;
        count.failed += u64::from(is_failure);
        count.slow += u64::from(is_slow);
        if side == TrialSide::Old && !is_failure {
            let weight = match route.old.total {
                1 => 1.0,
                _ => 1.0 / USUAL_TIME_SMOOTHING,
            };
            route.usual += (span.0 as f64 - route.usual) * weight;
        }
    }

    /// Returns the counts of a trial, by route and version.
    pub fn cells(&self, order: u64) -> Vec<RouteVersionCounts> {
        let Some(trial) = self.trials.get(&order) else {
            return Vec::new();
        };
        let cell = |(route, counts): (&u64, &RouteStats)| RouteVersionCounts {
            route: *route,
            old: counts.old,
            new: counts.new,
        };
        trial.routes.iter().map(cell).collect()
    }

    /// Removes the trials of all rollouts except those with the numbers `orders`.
    pub fn retain(&mut self, orders: &[u64]) {
        self.trials.retain(|order, _| orders.contains(order));
    }
}
