//! Sequential test of whether the new version of a move is worse than the old one.
//!
//! Evidence arrives in windows of time. Each window updates, per route and over all routes, one
//! test for failures and one for slow calls, each of them for every odds ratio in [`ODDS_RATIOS`].
//! A test is a Shiryaev-Roberts statistic: `M <- (M + w) * L`, where `L` is the likelihood ratio of
//! the window from [`crate::odds`] and `w` is the prior weight of the version turning bad in just
//! this window. The statistic sums over all possible change points, so a version that turns bad
//! late is detected about as fast as one that was bad from the start. Half of the total weight is
//! assigned to the first windows of the steps, because that is when most bad versions show; the
//! other half is spread evenly over all windows.
//!
//! False alarms: if both versions are equally good, each `L` has mean 1 given the past, so the mean
//! of `M` never exceeds the sum of the weights, which is 1. The average over all tests is then a
//! nonnegative supermartingale, up to that sum, and by Ville's inequality the probability that it
//! ever reaches `1 / alpha` is at most `alpha`, however often it is checked.
//!
//! A window without bad calls carries no information about the odds. After a stall of a good
//! version the statistic could therefore stay for ever between the threshold at which the move
//! holds and the one at which it is stopped. To prevent this, the statistic is lowered to half the
//! hold threshold once the new version has had so many consecutive good calls that its own share of
//! bad calls would make such a run unlikely (`MAX_RUN_PROBABILITY`). Lowering the statistic only
//! makes false alarms rarer.
//!
//! A call is slow if it took at least twice as long as the 90th percentile of the old version's
//! earlier calls. The limit is computed from earlier windows only, so it does not depend on the
//! window that is being judged. Latencies of a backend server in its cold start are excluded.
//!
//! A window is judged `EVIDENCE_DELAY` after its end; evidence that arrives later is dropped and
//! counted.

use crate::odds::{ContingencyTable, log_likelihood_ratio};
use rf_base::{InstanceId, Millis};
use rf_config::Policy;
use rf_protocol::evidence::{LATENCY_BUCKETS, WINDOW};
use rf_protocol::{Evidence, RouteCounts, Side};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Odds ratios, of the new version to the old one, that are tested as alternatives to equal odds.
pub const ODDS_RATIOS: [f64; 3] = [2.0, 5.0, 20.0];
/// Time after the end of a window during which its evidence is accepted.
const EVIDENCE_DELAY: Millis = Millis(600);
/// Minimum number of calls of the old version from which the limit for slow calls is computed.
const MIN_BASELINE_CALLS: u64 = 30;
/// Fraction of the stop threshold above which a move holds at its current step.
const HOLD_FRACTION: f64 = 0.02;

/// Maximum probability of a run of good calls, given the version's observed share of bad ones, at
/// which the run ends a hold.
const MAX_RUN_PROBABILITY: f64 = 0.01;

/// Statistic below which the counts that explain a verdict start again from zero.
const RECENT_RESET_LEVEL: f64 = 0.1;

/// Returns the share of moves of good versions that a policy allows to be stopped by mistake.
pub fn false_alarm_rate(policy: Policy) -> f64 {
    match policy {
        Policy::Certainty => 0.02,
        Policy::Deadline => 0.005,
    }
}

/// Parameters of the tests of a [`Judge`].
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// Upper bound on the probability that a move of a good version is ever stopped.
    pub alpha: f64,
    /// Maximum duration of the move.
    pub horizon: Millis,
    /// Number of steps of the move.
    pub steps: usize,
    /// Number of routes of the service.
    pub routes: usize,
}

impl Default for JudgeSettings {
    fn default() -> Self {
        JudgeSettings {
            alpha: 0.01,
            horizon: Millis::from_secs(3600),
            steps: 1,
            routes: 1,
        }
    }
}

/// Result of testing the new version against the old one.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// There is no significant evidence against the new version.
    Clean,
    /// The evidence is enough to hold the move, but not to stop it.
    Suspect,
    /// The new version is worse; the text says by which test.
    Bad(String),
}

/// Identifies one test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TestKey {
    /// Fingerprint of the route; `None` for the test over all routes.
    route: Option<u64>,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Failure,
    Slowness,
}

impl TestKey {
    fn new(route: Option<u64>, kind: Kind) -> TestKey {
        TestKey { route, kind }
    }
}

impl fmt::Display for TestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Failure => "fails more",
            Kind::Slowness => "is slower",
        };
        match self.route {
            Some(route) => write!(f, "{kind} on route {route:x}"),
            None => write!(f, "{kind} over all routes"),
        }
    }
}

/// A Shiryaev-Roberts statistic for each odds ratio.
#[derive(Clone, Debug, Default)]
struct Test {
    statistics: [f64; ODDS_RATIOS.len()],
    /// Counts since the statistics were last low or lowered. They explain a verdict and give the
    /// share of bad calls.
    recent: ContingencyTable,
    /// Number of consecutive good calls on the new version up to now.
    good_run: u64,
}

/// Counts of the old and the new version in one window.
#[derive(Clone, Debug, Default)]
struct VersionPair {
    old: Counts,
    new: Counts,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    calls: u64,
    failures: u64,
    /// Number of calls by latency bucket, without those of servers in a cold start.
    latency: [u64; LATENCY_BUCKETS],
}

/// Sequential tests of one move and the evidence that they have not processed yet.
#[derive(Clone, Debug)]
pub struct Judge {
    /// Statistic at which the move is stopped.
    threshold: f64,
    /// Prior weight of the version turning bad in any one window.
    window_weight: f64,
    /// Additional prior weight of the first window of a step.
    step_weight: f64,
    /// Prior weight that the next window adds to each statistic.
    next_weight: f64,
    /// Slots and observers of the windows received, to ignore duplicates.
    received: BTreeSet<(u64, InstanceId)>,
    /// Windows that are not judged yet, by slot and route.
    windows: BTreeMap<u64, BTreeMap<u64, VersionPair>>,
    /// Slot of the latest window judged.
    last_judged: u64,
    tests: BTreeMap<TestKey, Test>,
    /// Latencies of the old version in earlier windows, by route.
    baseline: BTreeMap<Option<u64>, [u64; LATENCY_BUCKETS]>,
    new_calls: u64,
    old_calls: u64,
    late_windows: u64,
    /// Explanation of the first test that exceeded the threshold.
    verdict: Option<String>,
}

impl Judge {
    /// Creates a judge without evidence.
    pub fn new(settings: &JudgeSettings) -> Judge {
        let windows = (settings.horizon.0 / WINDOW.0).max(1) as f64;
        let tests = ((settings.routes + 1) * 2 * ODDS_RATIOS.len()) as f64;
        Judge {
            threshold: tests / settings.alpha,
            window_weight: 0.5 / windows,
            step_weight: 0.5 / settings.steps.max(1) as f64,
            next_weight: 0.5 / settings.steps.max(1) as f64,
            received: BTreeSet::new(),
            windows: BTreeMap::new(),
            last_judged: 0,
            tests: BTreeMap::new(),
            baseline: BTreeMap::new(),
            new_calls: 0,
            old_calls: 0,
            late_windows: 0,
            verdict: None,
        }
    }

    /// Returns the numbers of calls judged so far, on the old version and on the new one.
    pub fn calls(&self) -> (u64, u64) {
        (self.old_calls, self.new_calls)
    }

    /// Returns the number of windows that were dropped because they arrived too late.
    pub fn late_windows(&self) -> u64 {
        self.late_windows
    }

    /// Notes that the move entered a new step, which makes it more likely that a bad version shows
    /// in the next window.
    pub fn enter_step(&mut self) {
        self.next_weight += self.step_weight;
    }

    /// Adds the evidence of one observer, ignoring windows that it has already sent.
    pub fn add_evidence(&mut self, evidence: &Evidence) {
        for window in &evidence.windows {
            if !self.received.insert((window.slot, evidence.observer)) {
                continue;
            }
            if window.slot <= self.last_judged {
                self.late_windows += 1;
                continue;
            }
            let routes = self.windows.entry(window.slot).or_default();
            for cell in &window.routes {
                let pair = routes.entry(cell.route).or_default();
                match evidence.side {
                    Side::Old => pair.old.add(cell),
                    Side::New => pair.new.add(cell),
                }
            }
        }
    }

    /// Judges every window whose evidence is complete at `now` and returns the assessment so far.
    pub fn advance(&mut self, now: Millis) -> Assessment {
        while let Some(entry) = self.windows.first_entry() {
            let slot = *entry.key();
            let end = Millis((slot + 1) * WINDOW.0);
            if now < end + EVIDENCE_DELAY {
                break;
            }
            let routes = entry.remove();
            self.last_judged = slot;
            self.judge_window(&routes);
        }
        let oldest = self.last_judged.saturating_sub(1000);
        self.received.retain(|(slot, _)| *slot >= oldest);
        self.assessment()
    }

    fn assessment(&self) -> Assessment {
        if let Some(reason) = &self.verdict {
            return Assessment::Bad(reason.clone());
        }
        let max_statistic = self
            .tests
            .values()
            .map(Test::max_statistic)
            .fold(0.0, f64::max);
        match max_statistic > self.threshold * HOLD_FRACTION {
            true => Assessment::Suspect,
            false => Assessment::Clean,
        }
    }

    fn judge_window(&mut self, routes: &BTreeMap<u64, VersionPair>) {
        self.next_weight += self.window_weight;
        let weight = std::mem::take(&mut self.next_weight);
        let mut total = VersionPair::default();
        for (route, pair) in routes {
            self.judge_pair(Some(*route), pair, weight);
            total.old.merge(&pair.old);
            total.new.merge(&pair.new);
        }
        self.judge_pair(None, &total, weight);
        self.old_calls += total.old.calls;
        self.new_calls += total.new.calls;
    }

    fn judge_pair(&mut self, route: Option<u64>, pair: &VersionPair, weight: f64) {
        let failures = ContingencyTable {
            old_calls: pair.old.calls,
            old_bad: pair.old.failures,
            new_calls: pair.new.calls,
            new_bad: pair.new.failures,
        };
        self.update(TestKey::new(route, Kind::Failure), failures, weight);
        let baseline = self.baseline.entry(route).or_default();
        let limit = first_slow_bucket(baseline);
        for (sum, n) in baseline.iter_mut().zip(pair.old.latency) {
            *sum += n;
        }
        if let Some(limit) = limit {
            let slowness = ContingencyTable {
                old_calls: pair.old.timed_calls(),
                old_bad: pair.old.slow_calls(limit),
                new_calls: pair.new.timed_calls(),
                new_bad: pair.new.slow_calls(limit),
            };
            self.update(TestKey::new(route, Kind::Slowness), slowness, weight);
        }
    }

    fn update(&mut self, key: TestKey, table: ContingencyTable, weight: f64) {
        let test = self.tests.entry(key).or_default();
        test.update(&table, weight);
        test.lower_after_good_run(self.threshold * HOLD_FRACTION);
        if test.max_statistic() > self.threshold && self.verdict.is_none() {
            self.verdict = Some(format!("{key}: {}", test.describe()));
        }
    }
}

impl Test {
    fn update(&mut self, table: &ContingencyTable, weight: f64) {
        for (statistic, ratio) in self.statistics.iter_mut().zip(ODDS_RATIOS) {
            let likelihood = log_likelihood_ratio(table, ratio).exp();
            *statistic = (*statistic + weight) * likelihood;
        }
        self.recent.merge(table);
        self.good_run = match table.new_bad {
            0 => self.good_run + table.new_calls,
            _ => 0,
        };
        if self.max_statistic() < RECENT_RESET_LEVEL {
            self.recent = ContingencyTable::default();
        }
    }

    /// Lowers the statistics to half of `hold_threshold` after a run of good calls that would be
    /// too unlikely for a version with the observed share of bad ones.
    fn lower_after_good_run(&mut self, hold_threshold: f64) {
        let bad_share = self.recent.new_bad as f64 / self.recent.new_calls.max(1) as f64;
        let run_probability = (1.0 - bad_share).powf(self.good_run as f64);
        if self.max_statistic() <= hold_threshold || run_probability > MAX_RUN_PROBABILITY {
            return;
        }
        for statistic in &mut self.statistics {
            *statistic = statistic.min(hold_threshold / 2.0);
        }
        self.recent = ContingencyTable::default();
    }

    fn max_statistic(&self) -> f64 {
        self.statistics.iter().copied().fold(0.0, f64::max)
    }

    fn describe(&self) -> String {
        let m = &self.recent;
        format!(
            "{} of {} calls on the new version, {} of {} on the old one",
            m.new_bad, m.new_calls, m.old_bad, m.old_calls
        )
    }
}

impl Counts {
    fn add(&mut self, cell: &RouteCounts) {
        self.calls += u64::from(cell.calls);
        self.failures += u64::from(cell.failures.min(cell.calls));
        if cell.is_cold {
            return;
        }
        for (sum, n) in self.latency.iter_mut().zip(cell.latency) {
            *sum += u64::from(n);
        }
    }

    fn merge(&mut self, other: &Counts) {
        self.calls += other.calls;
        self.failures += other.failures;
        for (sum, n) in self.latency.iter_mut().zip(other.latency) {
            *sum += n;
        }
    }

    fn timed_calls(&self) -> u64 {
        self.latency.iter().sum()
    }

    fn slow_calls(&self, limit: usize) -> u64 {
        self.latency[limit..].iter().sum()
    }
}

/// Returns the first bucket whose calls took at least twice as long as the 90th percentile of
/// `baseline`, or `None` if there is too little data or no such bucket.
fn first_slow_bucket(baseline: &[u64; LATENCY_BUCKETS]) -> Option<usize> {
    let total: u64 = baseline.iter().sum();
    if total < MIN_BASELINE_CALLS {
        return None;
    }
    let mut below = 0;
    let percentile = baseline.iter().position(|n| {
        below += n;
        below * 10 >= total * 9
    })?;
    let limit = percentile + 2;
    (limit < LATENCY_BUCKETS).then_some(limit)
}
