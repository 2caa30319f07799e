//! How long ago the caller of a request asked for the first time.
//!
//! A caller that was refused comes back with what is left of its time, and its answer is worth most
//! within the target counted from its first try. A proxy sees only the new request. But the callers
//! of a route give about the same time at their first try: what a request lacks of the mean of first
//! tries, beyond what callers differ by, has passed already.
//!
//! Where few requests come with about the longest time, callers differ more, and nothing is
//! concluded.
//!
//! Load pattern this answers: lasting overload in which refused callers come back. Without their age
//! each of them looks like a fresh request that can still be in time.

use crate::recent::RecentRoutes;
use rf_base::Millis;

/// Part of the longest time from which a request counts as a first try: callers are not equally
/// patient.
const FIRST_PART: f64 = 0.85;
/// First tries, as a divisor of all requests, from which the longest time is believed.
const USUAL_PART: u32 = 4;
/// Weight of the newest first try in their mean, as a divisor.
const SMOOTHING: u32 = 64;
/// Requests below which nothing is concluded.
const FEW_REQUESTS: u32 = 8;
/// Requests after which older ones count half.
const MANY_REQUESTS: u32 = 256;
/// Routes that are kept; the one that was asked for least lately is forgotten.
const MAX_ROUTES: usize = 256;

/// Times that the requests of one route came with.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    longest: Millis,
    /// Requests that came with about that time, and their mean.
    first: u32,
    mean: f64,
    total: u32,
}

impl Times {
    fn observe(&mut self, left: Millis) {
        let is_rare = self.total >= MANY_REQUESTS && self.first == 0;
        if is_rare {
            *self = Times::default();
        }
        if self.total >= MANY_REQUESTS {
            self.first /= 2;
            self.total /= 2;
        }
        if left.0 as f64 * FIRST_PART > self.longest.0 as f64 {
            // What came before was no first try.
            self.first = 0;
        }
        self.longest = self.longest.max(left);
        self.total += 1;
        if left >= self.least() {
            self.first += 1;
            let weight = f64::from(self.first.min(SMOOTHING));
            self.mean += (left.0 as f64 - self.mean) / weight;
        }
    }

    /// Returns the least time that a first try comes with.
    fn least(&self) -> Millis {
        Millis((self.longest.0 as f64 * FIRST_PART) as u64)
    }

    fn age(&self, left: Millis) -> Millis {
        let is_known = self.total >= FEW_REQUESTS && self.first >= self.total / USUAL_PART;
        match is_known && left < self.least() {
            true => Millis(self.mean as u64).since(left),
            false => Millis::ZERO,
        }
    }
}

/// Ages of the requests of each route.
#[derive(Clone, Debug)]
pub struct CallerAges {
    routes: RecentRoutes<Times>,
}

impl Default for CallerAges {
    fn default() -> Self {
        CallerAges {
            routes: RecentRoutes::new(MAX_ROUTES),
        }
    }
}

impl CallerAges {
    /// Takes in a request of `route` whose caller waits for `left`; returns the time since its first
    /// try, zero where that is not known.
    pub fn observe(&mut self, now: Millis, route: u64, left: Millis) -> Millis {
        let times = self.routes.touch(now, route);
        times.observe(left);
        times.age(left)
    }
}
