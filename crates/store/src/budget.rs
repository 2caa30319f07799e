//! Rate limit for the platform calls of one process.
//!
//! A token bucket with a reserve for urgent calls. Ordinary calls are not allowed once only the
//! reserve is left, so a burst of reads never delays the renewal of a lease.

use rf_base::Millis;

/// Number of tokens that only urgent calls may use.
const URGENT_RESERVE: f64 = 2.0;

/// A token bucket with a reserve for urgent calls.
#[derive(Clone, Debug)]
pub struct RateBudget {
    /// Refill rate in tokens a second; also the capacity without the reserve.
    rate: f64,
    tokens: f64,
    /// Time of the last refill.
    refilled: Millis,
}

impl RateBudget {
    /// Creates a full bucket that allows `rate` calls a second.
    pub fn new(rate: u32, now: Millis) -> RateBudget {
        let rate = f64::from(rate);
        RateBudget {
            rate,
            tokens: rate + URGENT_RESERVE,
            refilled: now,
        }
    }

    /// Refills the bucket and returns whether a call is allowed at `now`, without counting it.
    pub fn allows(&mut self, now: Millis, is_urgent: bool) -> bool {
        let gained = now.since(self.refilled).0 as f64 / 1000.0 * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate + URGENT_RESERVE);
        self.refilled = now;
        let floor = if is_urgent { 0.0 } else { URGENT_RESERVE };
        self.tokens >= floor + 1.0
    }

    /// Counts one call.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
