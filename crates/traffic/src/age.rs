//! Estimates how long ago the caller of a request made its first attempt.
//!
//! A caller that was refused retries with the rest of its timeout, and the latency target of its
//! answer counts from its first attempt. A proxy sees only the retry. But the callers of one route
//! use similar timeouts on their first attempts, so the difference between the mean timeout of
//! first attempts and the time left of a request is its age, unless it is within the usual
//! variation between callers.
//!
//! Where only few requests come with nearly the longest timeout, the callers' timeouts differ too
//! much, and the age is taken as zero.
//!
//! Load pattern handled here: sustained overload in which refused callers retry. Without their age,
//! each retry looks like a new request that can still meet its target.

use crate::recent::RecentRoutes;
use rf_base::Millis;

/// Fraction of the longest timeout from which a request counts as a first attempt; the rest allows
/// for callers with different timeouts.
const FIRST_FRACTION: f64 = 0.85;
/// The longest timeout is trusted if at least one request in this many is a first attempt.
const FIRST_DIVISOR: u32 = 4;
/// Inverse weight of the newest first attempt in the mean.
const SMOOTHING: u32 = 64;
/// Number of requests of a route below which ages are taken as zero.
const MIN_REQUESTS: u32 = 8;
/// Number of requests after which the counts are halved.
const MAX_REQUESTS: u32 = 256;
/// Maximum number of tracked routes; the least recently used one is evicted.
const MAX_ROUTES: usize = 256;

/// Timeouts of the requests of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Timeouts {
    longest: Millis,
    /// Requests whose time left was near `longest`.
    first: u32,
    /// Mean time left of these requests, in milliseconds.
    mean: f64,
    total: u32,
}

impl Timeouts {
    fn observe(&mut self, left: Millis) {
        let is_stale = self.total >= MAX_REQUESTS && self.first == 0;
        if is_stale {
            *self = Timeouts::default();
        }
        if self.total >= MAX_REQUESTS {
            self.first /= 2;
            self.total /= 2;
        }
        if left.0 as f64 * FIRST_FRACTION > self.longest.0 as f64 {
            // The requests that counted as first attempts so far were retries.
            self.first = 0;
        }
        self.longest = self.longest.max(left);
        self.total += 1;
        if left >= self.first_threshold() {
            self.first += 1;
            let weight = f64::from(self.first.min(SMOOTHING));
            self.mean += (left.0 as f64 - self.mean) / weight;
        }
    }

    /// Returns the shortest time left with which a request counts as a first attempt.
    fn first_threshold(&self) -> Millis {
        Millis((self.longest.0 as f64 * FIRST_FRACTION) as u64)
    }

    fn age(&self, left: Millis) -> Millis {
        let is_known = self.total >= MIN_REQUESTS && self.first >= self.total / FIRST_DIVISOR;
        match is_known && left < self.first_threshold() {
            true => Millis(self.mean as u64).since(left),
            false => Millis::ZERO,
        }
    }
}

/// Estimator of request ages, by route.
#[derive(Clone, Debug)]
pub struct CallerAges {
    routes: RecentRoutes<Timeouts>,
}

impl Default for CallerAges {
    fn default() -> Self {
        CallerAges {
            routes: RecentRoutes::new(MAX_ROUTES),
        }
    }
}

impl CallerAges {
    /// Records a request of `route` whose caller waits for another `left`; returns the estimated
    /// time since its first attempt, or zero if there is no estimate.
    pub fn observe(&mut self, now: Millis, route: u64, left: Millis) -> Millis {
        let timeouts = self.routes.touch(now, route);
        timeouts.observe(left);
        timeouts.age(left)
    }
}
