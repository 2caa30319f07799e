//! Likelihood ratio of the odds of bad calls on two versions.
//!
//! In one window the old version ended `n0` calls and the new one `n1`; together `bad` of them were
//! bad, `x` of these on the new version. Given the margins of this contingency table, `x` follows
//! Fisher's noncentral hypergeometric distribution, whose only parameter is the odds ratio of the
//! two versions. The rate of bad calls that both versions share, for example because a dependency
//! fails, cancels out. The ratio of the likelihoods under odds ratio `r` and under equal odds has
//! mean 1 if the versions are equally good. The sequential test of [`crate::judge`] relies on this
//! to be valid at any stopping time.

/// Calls and bad calls of the two versions, for example in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContingencyTable {
    /// Number of calls on the old version.
    pub old_calls: u64,
    /// Number of bad calls on the old version, at most `old_calls`.
    pub old_bad: u64,
    /// Number of calls on the new version.
    pub new_calls: u64,
    /// Number of bad calls on the new version, at most `new_calls`.
    pub new_bad: u64,
}

impl ContingencyTable {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &ContingencyTable) {
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
    }

    /// Returns whether the counts carry any information about the odds ratio: both versions had
    /// calls, and some but not all of the calls were bad.
    pub fn is_informative(&self) -> bool {
        let bad = self.old_bad + self.new_bad;
        let calls = self.old_calls + self.new_calls;
        self.old_calls > 0 && self.new_calls > 0 && bad > 0 && bad < calls
    }
}

/// Returns the natural logarithm of the likelihood ratio of odds ratio `ratio` against equal odds.
///
/// # Panics
///
/// Panics in debug builds if a version has more bad calls than calls.
pub fn log_likelihood_ratio(table: &ContingencyTable, ratio: f64) -> f64 {
    debug_assert!(table.old_bad <= table.old_calls);
    debug_assert!(table.new_bad <= table.new_calls);
    if !table.is_informative() {
        return 0.0;
    }
    let bad = table.old_bad + table.new_bad;
    let all = table.old_calls + table.new_calls;
    let low = bad.saturating_sub(table.old_calls);
    let high = bad.min(table.new_calls);
    let terms: Vec<f64> = (low..=high)
        .map(|x| {
            ln_choose(table.new_calls, x)
                + ln_choose(table.old_calls, bad - x)
                + x as f64 * ratio.ln()
        })
        .collect();
    table.new_bad as f64 * ratio.ln() + ln_choose(all, bad) - log_sum_exp(&terms)
}

fn log_sum_exp(terms: &[f64]) -> f64 {
    let max = terms.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = terms.iter().map(|t| (t - max).exp()).sum();
    max + sum.ln()
}

fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

fn ln_factorial(n: u64) -> f64 {
    libm::lgamma(n as f64 + 1.0)
}
