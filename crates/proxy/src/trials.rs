//! What this proxy observed of version changes, and which requests go to the new version.

use rf_base::Millis;
use rf_protocol::relay::{RouteVersionCounts, VersionCount};
use std::collections::BTreeMap;

/// Weight of the newest answer in the usual time of a route, as a divisor.
const SMOOTHING: f64 = 16.0;
/// Answers of the old version before its usual time means something.
const MIN_ANSWERS: u64 = 10;
/// Factor on the usual time above which an answer is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Which version ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialSide {
    /// The version in force.
    Old,
    /// The version that is tried.
    New,
}

#[derive(Clone, Debug, Default)]
struct RouteTrial {
    old: VersionCount,
    new: VersionCount,
    usual: f64,
}

/// Observations of one version change.
#[derive(Clone, Debug, Default)]
struct TrialState {
    credit: f64,
    routes: BTreeMap<u64, RouteTrial>,
}

/// Observations by order.
#[derive(Clone, Debug, Default)]
pub struct TrialStats {
    trials: BTreeMap<u64, TrialState>,
}

impl TrialStats {
    /// Decides whether the next request goes to the new version, which is to get `share` of them.
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

    /// Takes in the end of a request that took `span`.
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
                _ => 1.0 / SMOOTHING,
            };
            route.usual += (span.0 as f64 - route.usual) * weight;
        }
    }

    /// Returns the counts of an order by route.
    pub fn cells(&self, order: u64) -> Vec<RouteVersionCounts> {
        let Some(trial) = self.trials.get(&order) else {
            return Vec::new();
        };
        let cell = |(route, counts): (&u64, &RouteTrial)| RouteVersionCounts {
            route: *route,
            old: counts.old,
            new: counts.new,
        };
        trial.routes.iter().map(cell).collect()
    }

    /// Forgets orders that are not in `orders`.
    pub fn retain(&mut self, orders: &[u64]) {
        self.trials.retain(|order, _| orders.contains(order));
    }
}
