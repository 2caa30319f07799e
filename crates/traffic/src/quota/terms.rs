//! Figures of a quota that the owner and the borrowers work with.

use rf_base::Millis;
use rf_config::Quota;
use rf_config::proxy::{Bounds, QUOTA_OVER, QUOTA_SLACK, QUOTA_WINDOW};

/// Time worth of tokens that a bucket holds at least, in seconds. With a smaller bucket, tokens would
/// be lost between the claims of borrowers that were refused, which come every 50 ms or later.
const MIN_CAPACITY_SECONDS: f64 = 0.1;
/// Longest wait that is named, also for a rate of zero.
const MAX_WAIT: Millis = Millis::from_secs(60);

/// Part of the burst that a bucket holds, unless the margin allows more of it.
const KEPT_BURST: f64 = 0.25;
/// Part of the rest of the burst by which the bucket refills faster. With all of it, the sides of a
/// partition together exceed what a window permits while they learn of each other.
const SPREAD_BURST: f64 = 0.5;

/// Permitted excess over a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Window in which requests are counted.
    pub window: Millis,
    /// Permitted excess as a fraction of what the quota allows in a window.
    pub over: f64,
    /// Requests permitted in a window in addition.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            window: QUOTA_WINDOW,
            over: QUOTA_OVER,
            slack: QUOTA_SLACK,
        }
    }
}

impl From<&Bounds> for QuotaSettings {
    fn from(bounds: &Bounds) -> QuotaSettings {
        QuotaSettings {
            window: bounds.quota_window,
            over: bounds.quota_over,
            slack: bounds.quota_slack,
        }
    }
}

/// Quota of one organisation, or the part of it that one side of a network partition may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be spent at once after a time of less use.
    pub burst: f64,
    /// Requests by which a window may exceed the quota.
    pub margin: f64,
}

impl QuotaTerms {
    /// Creates the terms of a quota.
    pub fn new(quota: &Quota, settings: &QuotaSettings) -> QuotaTerms {
        let rate = quota.rate.as_per_second();
        let burst = f64::from(quota.burst);
        let allowed = rate * settings.window.0 as f64 / 1000.0 + burst;
        QuotaTerms {
            rate,
            burst,
            margin: settings.over * allowed + settings.slack,
        }
    }

    /// Creates the terms of a quota that is counted over windows.
    ///
    /// In each window the quota allows `rate` times the window and the burst. A bucket that holds
    /// only a part of the burst may refill faster and still allows no more in any window. An
    /// organisation that asks for somewhat more than its rate for several seconds is then refused
    /// less, and one whose requests come at once still has a burst.
    pub fn spread(quota: &Quota, settings: &QuotaSettings) -> QuotaTerms {
        let terms = QuotaTerms::new(quota, settings);
        let kept = (terms.burst * KEPT_BURST).max(terms.burst.min(terms.margin / 4.0));
        let window = settings.window.0 as f64 / 1000.0;
        QuotaTerms {
            rate: terms.rate + SPREAD_BURST * (terms.burst - kept) / window,
            burst: kept,
            ..terms
        }
    }

    /// Returns the part of the quota for `reachable` of `known` proxies, so that the parts of all
    /// sides of a partition add up to the quota.
    ///
    /// A small burst is kept whole as far as a quarter of the margin allows: with a burst of one
    /// token, an organisation of two requests per second loses requests that come close together.
    pub fn scaled(self, reachable: usize, known: usize) -> QuotaTerms {
        let fraction = reachable.min(known) as f64 / known.max(1) as f64;
        let margin = self.margin * fraction;
        QuotaTerms {
            rate: self.rate * fraction,
            burst: (self.burst * fraction).max(self.burst.min(margin / 4.0)),
            margin,
        }
    }

    /// Returns the size of the bucket in tokens. It is at least one token, since none could be lent
    /// otherwise.
    pub fn capacity(&self) -> f64 {
        let least = (self.rate * MIN_CAPACITY_SECONDS).min(self.margin / 8.0);
        self.burst.max(least).max(1.0)
    }

    /// Returns the tokens of a bucket whose owner does not know what was lent before.
    pub fn start(&self) -> f64 {
        self.burst.min(self.margin / 4.0)
    }

    /// Returns the number of lent and unspent tokens beyond which only single tokens are lent.
    pub fn max_lent(&self) -> f64 {
        self.margin / 2.0
    }

    /// Returns the tokens with which the fallback starts at each of `known` proxies.
    ///
    /// It is limited to a quarter of the margin: half the burst alone would exceed the margin if an
    /// owner dies after it has lent its whole burst.
    pub fn fallback_start(&self, known: usize) -> f64 {
        (self.burst / 2.0).min(self.margin / 4.0) / known.max(1) as f64
    }

    /// Returns the tokens that accrue in a time.
    pub fn accrued(&self, span: Millis) -> f64 {
        self.rate * span.0 as f64 / 1000.0
    }

    /// Returns the time in which `tokens` accrue, at most a minute.
    pub fn time_for(&self, tokens: f64) -> Millis {
        let millis = tokens.max(0.0) / self.rate * 1000.0;
        match millis.is_finite() {
            true => Millis(millis.ceil() as u64).min(MAX_WAIT),
            false => MAX_WAIT,
        }
    }
}
