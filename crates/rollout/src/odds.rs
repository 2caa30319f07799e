//! Likelihood of how bad events divide between two versions.
//!
//! In one window the old version ended `n0` calls and the new one `n1`; together `bad` of them were
//! bad, `x` on the new version. Given these margins, `x` follows Fisher's noncentral hypergeometric
//! distribution, whose only parameter is the odds ratio of the two versions. The rate of bad events
//! that both share, such as a failing dependency, drops out. The ratio of the likelihoods under odds
//! `r` and under equal odds has mean 1 if the versions are equally good, which is what makes the
//! sequential test of [`crate::judge`] hold at any time.

/// Counts of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContingencyTable {
    /// Calls on the old version.
    pub old_calls: u64,
    /// Bad ones among them.
    pub old_bad: u64,
    /// Calls on the new version.
    pub new_calls: u64,
    /// Bad ones among them.
    pub new_bad: u64,
}

impl ContingencyTable {
    /// Adds the counts of another window.
    pub fn merge(&mut self, other: &ContingencyTable) {
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
    }

    /// Returns whether the window says anything about the odds.
    pub fn is_informative(&self) -> bool {
        let bad = self.old_bad + self.new_bad;
        let calls = self.old_calls + self.new_calls;
        self.old_calls > 0 && self.new_calls > 0 && bad > 0 && bad < calls
    }
}

/// Computes the logarithm of the likelihood ratio of odds `ratio` against equal odds.
///
/// # Panics
///
/// Panics in debug builds where more calls are bad than there are.
pub fn log_likelihood_ratio(margins: &ContingencyTable, ratio: f64) -> f64 {
    debug_assert!(margins.old_bad <= margins.old_calls);
    debug_assert!(margins.new_bad <= margins.new_calls);
    if !margins.is_informative() {
        return 0.0;
    }
    let bad = margins.old_bad + margins.new_bad;
    let all = margins.old_calls + margins.new_calls;
    let low = bad.saturating_sub(margins.old_calls);
    let high = bad.min(margins.new_calls);
    let terms: Vec<f64> = (low..=high)
        .map(|x| {
            ln_choose(margins.new_calls, x)
                + ln_choose(margins.old_calls, bad - x)
                + x as f64 * ratio.ln()
        })
        .collect();
    margins.new_bad as f64 * ratio.ln() + ln_choose(all, bad) - log_sum_exp(&terms)
}

fn log_sum_exp(terms: &[f64]) -> f64 {
    let top = terms.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = terms.iter().map(|t| (t - top).exp()).sum();
    top + sum.ln()
}

fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

fn ln_factorial(n: u64) -> f64 {
    libm::lgamma(n as f64 + 1.0)
}
