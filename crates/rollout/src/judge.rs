//! The judge: is the new version worse than the old one?
//!
//! Each window of evidence updates, per route and over all routes, one test for failures and one
//! for slow calls, each for every odds ratio in [`ODDS_RATIOS`]. A test is a Shiryaev-Roberts statistic:
//! `M <- (M + w) * L`, where `L` is the likelihood ratio of the window from [`crate::odds`] and `w`
//! the weight given to the version turning bad in just this window. It weighs all starting points
//! at once, so a version that turns bad late is found about as fast as one that was bad from the
//! start. Half of the weight lies on the first windows of the steps, because that is when most bad
//! versions show; the other half is spread evenly.
//!
//! False alarms: if both versions are equally good, each `L` has mean 1 given the past, so the mean
//! of `M` never exceeds the sum of the weights, which is 1. The average over all tests is then a
//! nonnegative supermartingale, up to that sum, and by Ville's inequality it ever reaches
//! `1 / alpha` with probability at most `alpha`, whatever the number of looks.
//!
//! A window without a bad call says nothing about odds, so after a stall of a good version the
//! statistic would stand between the lines of holding and of braking for ever. Once the new version
//! has run so many calls without a bad one that its own share of bad ones would make that unlikely
//! ([`CALM_CHANCE`]), the statistic goes back to half the line of holding. Lowering it only makes false
//! alarms rarer.
//!
//! A call is slow if it took at least twice the time below which nine in ten of the old version's
//! earlier calls stayed; the limit comes from earlier windows only, so it does not depend on the
//! window that it judges. Latencies of a backend server in its cold start do not count.
//!
//! A window is judged [`SETTLE`] after its end; what arrives later is dropped and counted.

use crate::odds::{ContingencyTable, log_likelihood_ratio};
use rf_base::{InstanceId, Millis};
use rf_config::Policy;
use rf_protocol::evidence::{LATENCY_BUCKETS, WINDOW};
use rf_protocol::{Evidence, RouteCounts, Side};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Odds ratios that are tested against.
pub const ODDS_RATIOS: [f64; 3] = [2.0, 5.0, 20.0];
/// Wait for evidence after the end of a window.
const SETTLE: Millis = Millis(600);
/// Calls of the old version that fix the limit of a slow call.
const LIMIT_CALLS: u64 = 30;
/// Part of the threshold at which a move holds instead of advancing.
const SUSPECT_PART: f64 = 0.02;

/// Chance that a version that is as bad as it seems makes a run of good calls that ends a hold.
const CALM_CHANCE: f64 = 0.01;

/// Statistic below which the calls counted so far are no grounds for a verdict.
const FORGET: f64 = 0.1;

/// Returns the share of moves of good versions that a policy accepts to be braked.
pub fn false_alarm_rate(policy: Policy) -> f64 {
    match policy {
        Policy::Certainty => 0.02,
        Policy::Deadline => 0.005,
    }
}

/// Settings of a [`Judge`].
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// Greatest probability that a move of a good version is ever braked.
    pub alpha: f64,
    /// Longest time that the move can take.
    pub horizon: Millis,
    /// Steps of the move.
    pub steps: usize,
    /// Routes of the service.
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

/// What the judge thinks of the new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// Nothing speaks against it.
    Clean,
    /// Some evidence speaks against it, not enough to brake.
    Suspect,
    /// It is worse.
    Bad(String),
}

/// What a test is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TestKey {
    /// Fingerprint of the route; all routes where absent.
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
    recent: ContingencyTable,
    /// Calls on the new version since its last bad one.
    clean_calls: u64,
}

/// Counts of both versions in one window.
#[derive(Clone, Debug, Default)]
struct Pair {
    old: Counts,
    new: Counts,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    calls: u64,
    failures: u64,
    /// Calls outside a cold start, by latency.
    latency: [u64; LATENCY_BUCKETS],
}

/// State of the judge of one move.
#[derive(Clone, Debug)]
pub struct Judge {
    threshold: f64,
    window_weight: f64,
    step_weight: f64,
    weight: f64,
    seen: BTreeSet<(u64, InstanceId)>,
    windows: BTreeMap<u64, BTreeMap<u64, Pair>>,
    judged: u64,
    tests: BTreeMap<TestKey, Test>,
    baseline: BTreeMap<Option<u64>, [u64; LATENCY_BUCKETS]>,
    new_calls: u64,
    old_calls: u64,
    dropped: u64,
    verdict: Option<String>,
}

impl Judge {
    /// Makes a judge without evidence.
    pub fn new(settings: &JudgeSettings) -> Judge {
        let windows = (settings.horizon.0 / WINDOW.0).max(1) as f64;
        let tests = ((settings.routes + 1) * 2 * ODDS_RATIOS.len()) as f64;
        Judge {
            threshold: tests / settings.alpha,
            window_weight: 0.5 / windows,
            step_weight: 0.5 / settings.steps.max(1) as f64,
            weight: 0.5 / settings.steps.max(1) as f64,
            seen: BTreeSet::new(),
            windows: BTreeMap::new(),
            judged: 0,
            tests: BTreeMap::new(),
            baseline: BTreeMap::new(),
            new_calls: 0,
            old_calls: 0,
            dropped: 0,
            verdict: None,
        }
    }

    /// Returns the calls judged so far, on the old version and on the new one.
    pub fn calls(&self) -> (u64, u64) {
        (self.old_calls, self.new_calls)
    }

    /// Returns the number of windows that arrived too late.
    pub fn late_windows(&self) -> u64 {
        self.dropped
    }

    /// Takes in that the move took a step, from which a bad version may show.
    pub fn enter_step(&mut self) {
        self.weight += self.step_weight;
    }

    /// Takes in evidence; what is known already changes nothing.
    pub fn add_evidence(&mut self, evidence: &Evidence) {
        for window in &evidence.windows {
            if !self.seen.insert((window.slot, evidence.observer)) {
                continue;
            }
            if window.slot <= self.judged {
                self.dropped += 1;
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

    /// Judges every window that has settled; returns the opinion so far.
    pub fn advance(&mut self, now: Millis) -> Assessment {
        while let Some(entry) = self.windows.first_entry() {
            let slot = *entry.key();
            let end = Millis((slot + 1) * WINDOW.0);
            if now < end + SETTLE {
                break;
            }
            let routes = entry.remove();
            self.judged = slot;
            self.judge_window(&routes);
        }
        let oldest = self.judged.saturating_sub(1000);
        self.seen.retain(|(slot, _)| *slot >= oldest);
        self.opinion()
    }

    fn opinion(&self) -> Assessment {
        if let Some(reason) = &self.verdict {
            return Assessment::Bad(reason.clone());
        }
        let top = self.tests.values().map(Test::top).fold(0.0, f64::max);
        match top > self.threshold * SUSPECT_PART {
            true => Assessment::Suspect,
            false => Assessment::Clean,
        }
    }

    fn judge_window(&mut self, routes: &BTreeMap<u64, Pair>) {
        self.weight += self.window_weight;
        let weight = std::mem::take(&mut self.weight);
        let mut total = Pair::default();
        for (route, pair) in routes {
            self.judge_pair(Some(*route), pair, weight);
            total.old.merge(&pair.old);
            total.new.merge(&pair.new);
        }
        self.judge_pair(None, &total, weight);
        self.old_calls += total.old.calls;
        self.new_calls += total.new.calls;
    }

    fn judge_pair(&mut self, route: Option<u64>, pair: &Pair, weight: f64) {
        let failures = ContingencyTable {
            old_calls: pair.old.calls,
            old_bad: pair.old.failures,
            new_calls: pair.new.calls,
            new_bad: pair.new.failures,
        };
        self.update(TestKey::new(route, Kind::Failure), failures, weight);
        let baseline = self.baseline.entry(route).or_default();
        let limit = slow_bucket(baseline);
        for (sum, n) in baseline.iter_mut().zip(pair.old.latency) {
            *sum += n;
        }
        if let Some(limit) = limit {
            let slowness = ContingencyTable {
                old_calls: pair.old.timed(),
                old_bad: pair.old.slow(limit),
                new_calls: pair.new.timed(),
                new_bad: pair.new.slow(limit),
            };
            self.update(TestKey::new(route, Kind::Slowness), slowness, weight);
        }
    }

    fn update(&mut self, key: TestKey, margins: ContingencyTable, weight: f64) {
        let test = self.tests.entry(key).or_default();
        test.update(&margins, weight);
        test.calm(self.threshold * SUSPECT_PART);
        if test.top() > self.threshold && self.verdict.is_none() {
            self.verdict = Some(format!("{key}: {}", test.describe()));
        }
    }
}

impl Test {
    fn update(&mut self, margins: &ContingencyTable, weight: f64) {
        for (statistic, ratio) in self.statistics.iter_mut().zip(ODDS_RATIOS) {
            let likelihood = log_likelihood_ratio(margins, ratio).exp();
            *statistic = (*statistic + weight) * likelihood;
        }
        self.recent.merge(margins);
        self.clean_calls = match margins.new_bad {
            0 => self.clean_calls + margins.new_calls,
            _ => 0,
        };
        if self.top() < FORGET {
            self.recent = ContingencyTable::default();
        }
    }

    /// Lowers the statistics to half of `line` after a run of good calls that is too long for a version
    /// as bad as this one seemed.
    fn calm(&mut self, line: f64) {
        let bad_share = self.recent.new_bad as f64 / self.recent.new_calls.max(1) as f64;
        let run_chance = (1.0 - bad_share).powf(self.clean_calls as f64);
        if self.top() <= line || run_chance > CALM_CHANCE {
            return;
        }
        for statistic in &mut self.statistics {
            *statistic = statistic.min(line / 2.0);
        }
        self.recent = ContingencyTable::default();
    }

    fn top(&self) -> f64 {
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

    fn timed(&self) -> u64 {
        self.latency.iter().sum()
    }

    fn slow(&self, limit: usize) -> u64 {
        self.latency[limit..].iter().sum()
    }
}

/// Returns the first bucket whose calls took at least twice as long as nine in ten of `baseline`.
fn slow_bucket(baseline: &[u64; LATENCY_BUCKETS]) -> Option<usize> {
    let total: u64 = baseline.iter().sum();
    if total < LIMIT_CALLS {
        return None;
    }
    let mut below = 0;
    let usual = baseline.iter().position(|n| {
        below += n;
        below * 10 >= total * 9
    })?;
    let limit = usual + 2;
    (limit < LATENCY_BUCKETS).then_some(limit)
}
