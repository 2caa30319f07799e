//! Rate budget of one process towards the platform.
//!
//! A token bucket that refills with time. A share of it is reserved: ordinary calls stop when only
//! the reserve is left, so a burst of reads never keeps a lease from being renewed.

use rf_base::Millis;

/// Tokens that only urgent calls may take.
const RESERVE: f64 = 2.0;

/// A token bucket with a reserve.
#[derive(Clone, Debug)]
pub struct RateBudget {
    rate: f64,
    tokens: f64,
    updated: Millis,
}

impl RateBudget {
    /// Makes a full budget of `rate` calls a second.
    pub fn new(rate: u32, now: Millis) -> RateBudget {
        let rate = f64::from(rate);
        RateBudget {
            rate,
            tokens: rate + RESERVE,
            updated: now,
        }
    }

    /// Returns whether a call may be made.
    pub fn allows(&mut self, now: Millis, is_urgent: bool) -> bool {
        let gained = now.since(self.updated).0 as f64 / 1000.0 * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate + RESERVE);
        self.updated = now;
        let floor = if is_urgent { 0.0 } else { RESERVE };
        self.tokens >= floor + 1.0
    }

    /// Takes one call from the budget.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
