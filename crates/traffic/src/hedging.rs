//! Hedged requests: when to send a second copy of a request whose response is slow.
//!
//! A few slow responses dominate the tail of the response times. A request that may be repeated is
//! sent to a second backend server once its response takes longer than nearly all recent responses
//! of its route, and the first complete response is used ("The Tail at Scale", 2013).
//!
//! Load patterns handled here:
//!
//! - Single slow runs, or a slow server among fast ones: the delay is a high quantile of the
//!   observed response times of the route, so only a few requests are hedged.
//! - All responses become slower: the quantile follows, so the number of hedged requests stays.
//! - Overload: a hedged request only gets a slot that no other request wants. The gate decides
//!   that, and a refused one does not count against the budget.
//! - Many origins that hedge at once: the budget of the operators is divided between the proxies,
//!   and each hedged request also needs a token of the retry budget of its service.
//! - Retries and hedged requests compete for the retry budget: hedged requests leave a part of it
//!   to retries.

use crate::recent::RecentRoutes;
use crate::retry::RetryBudget;
use rf_base::{Millis, ServiceName};
use std::collections::BTreeMap;

/// Quantile of the response times after which a request is hedged.
const DELAY_QUANTILE: f64 = 0.95;
/// Responses of a route below which its quantile is not used.
const MIN_RESPONSES: f64 = 20.0;
/// Number of responses at which all counts of a route are halved, so that old ones fade.
const MAX_RESPONSES: f64 = 1000.0;
/// Time allowed for the run of a copy before the target, relative to the typical run time.
const RUN_ALLOWANCE: f64 = 1.3;
/// Shortest delay.
const MIN_DELAY: Millis = Millis(20);
/// Upper bound of the first bucket of response times, in milliseconds.
const FIRST_BOUND_MS: f64 = 10.0;
/// Ratio between the upper bounds of two consecutive buckets.
const BOUND_RATIO: f64 = 1.15;
/// Number of buckets; the last one has no upper bound.
const BUCKETS: usize = 56;
/// Maximum number of routes with a histogram; the least recently used one is evicted.
const MAX_ROUTES: usize = 64;
/// Fraction of the burst of the retry budget that hedged requests leave to retries.
const RETRY_RESERVE: f64 = 0.25;

/// Histogram of response times in which old responses fade.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [f64; BUCKETS],
    total: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl Histogram {
    fn observe(&mut self, time: Millis) {
        if self.total >= MAX_RESPONSES {
            self.counts.iter_mut().for_each(|c| *c /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket_of(time)] += 1.0;
        self.total += 1.0;
    }

    /// Returns the response time at `quantile`, interpolated within its bucket.
    fn quantile(&self, quantile: f64) -> Millis {
        let mut missing = self.total * quantile;
        for (index, count) in self.counts.iter().enumerate() {
            if *count > 0.0 && missing <= *count {
                let lower = lower_bound(index);
                let width = upper_bound(index) - lower;
                return Millis((lower + width * missing / count) as u64);
            }
            missing -= count;
        }
        Millis(upper_bound(BUCKETS - 1) as u64)
    }
}

fn bucket_of(time: Millis) -> usize {
    let ratio = (time.0 as f64 / FIRST_BOUND_MS).max(1.0);
    let index = (ratio.ln() / BOUND_RATIO.ln()).ceil() as usize;
    index.min(BUCKETS - 1)
}

fn lower_bound(index: usize) -> f64 {
    index.checked_sub(1).map_or(0.0, upper_bound)
}

fn upper_bound(index: usize) -> f64 {
    FIRST_BOUND_MS * BOUND_RATIO.powi(index as i32)
}

/// Limit on hedged requests, set by the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeLimit {
    /// Hedged requests as a fraction of the requests of a service; zero switches hedging off.
    pub share: f64,
    /// Hedged requests that this proxy may send together.
    pub burst: f64,
}

/// Times of a request that is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTimes {
    /// Latency target of the route.
    pub target: Millis,
    /// Typical run time of the route.
    pub run_time: Millis,
    /// Time left until the deadline of the request.
    pub left: Millis,
}

/// Observed response times and budgets of hedged requests.
#[derive(Clone, Debug)]
pub struct Hedging {
    responses: RecentRoutes<Histogram>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

impl Default for Hedging {
    fn default() -> Self {
        Hedging {
            responses: RecentRoutes::new(MAX_ROUTES),
            budgets: BTreeMap::new(),
        }
    }
}

impl Hedging {
    /// Records the time from an attempt to the first complete response of its request.
    pub fn observe(&mut self, now: Millis, route: u64, time: Millis) {
        self.responses.touch(now, route).observe(time);
    }

    /// Returns the time without a response after which a request on `route` is hedged: the high
    /// quantile, or earlier so that the copy can still be answered by the target. Returns `None`
    /// if too few responses are known or a hedged request would have no time for its run.
    pub fn delay(&self, route: u64, times: HedgeTimes) -> Option<Millis> {
        let known = self.responses.get(route);
        let known = known.filter(|h| h.total >= MIN_RESPONSES)?;
        let delay = known.quantile(DELAY_QUANTILE);
        // A copy that is sent later could not be answered by the target.
        let run_time = Millis((times.run_time.0 as f64 * RUN_ALLOWANCE) as u64);
        let latest = times.target.since(run_time);
        let delay = delay.min(latest).max(MIN_DELAY);
        (delay + times.run_time < times.left).then_some(delay)
    }

    /// Counts a request of a service and adds its share of a hedged request to the budget.
    pub fn deposit(&mut self, service: &ServiceName, limit: HedgeLimit) {
        self.budget(service, limit).deposit();
    }

    /// Takes the tokens of a hedged request from the budget of the operators and from the retry
    /// budget of the service. Returns whether both had one; if not, neither is charged.
    pub fn withdraw(
        &mut self,
        service: &ServiceName,
        limit: HedgeLimit,
        retries: &mut RetryBudget,
    ) -> bool {
        let budget = self.budget(service, limit);
        if !budget.withdraw() {
            return false;
        }
        let is_granted = retries.with_reserve(RETRY_RESERVE).withdraw();
        if !is_granted {
            budget.refund();
        }
        is_granted
    }

    /// Returns the tokens of a hedged request that did not reach a backend server.
    pub fn refund(&mut self, service: &ServiceName, limit: HedgeLimit, retries: &mut RetryBudget) {
        self.budget(service, limit).refund();
        retries.refund();
    }

    fn budget(&mut self, service: &ServiceName, limit: HedgeLimit) -> &mut RetryBudget {
        let HedgeLimit { share, burst } = limit;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_burst(share, burst));
        // With many proxies the part of one is less than a token, which it must be able to save up.
        budget.adjust(share, burst.max(1.0));
        budget
    }
}
