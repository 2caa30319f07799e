//! Whether an unproven version is good, on the evidence of a few requests.
//!
//! The operators cap the share of requests that an unproven version may get, so the evidence is
//! small. A trial has four phases, at times that are shares of the order's duration:
//!
//! 1. a trickle, which shows versions that fail at once or on one route;
//! 2. a short probe that sends most requests, because some versions fail only under load;
//! 3. a trickle again, which shows versions that turn bad late;
//! 4. promotion: everything goes to the new version, and once the old one is idle the change is
//!    recorded as completed, well before the deadline.
//!
//! The new version is compared with the old one on the same routes over the same time, so a failing
//! dependency of both convicts neither.

use rf_base::Millis;
use rf_protocol::relay::{RouteVersionCounts, VersionCount};

/// Part of the cap that the trickle uses.
const TRICKLE_PART: f64 = 0.5;
/// Share of requests in the probe, or the cap where that is higher.
const PROBE: f64 = 0.6;
/// Part of the cap that the probe uses. With the trickle it leaves a tenth for requests that were
/// counted late.
const PROBE_PART: f64 = 0.4;
/// Part of the duration at which the probe begins.
const PROBE_START: f64 = 0.42;
/// Part of the duration at which a version without blame is promoted.
const PROMOTION: f64 = 0.62;
/// Part of the duration at which a version is taken back if it was not promoted.
const LAST_CALL: f64 = 0.8;
/// Time from promotion until the old version counts as idle.
const SETTLING: Millis = Millis(2000);
/// Answers of the new version without which it is not promoted.
const MIN_ANSWERS: u64 = 12;
/// Failures, or slow answers, without which nothing is bad.
const MIN_BLAME: u64 = 4;
/// Share of failures above which a version is bad.
const BAD_SHARE: f64 = 0.12;
/// Share of slow answers above which a version is bad.
const SLOW_SHARE: f64 = 0.25;
/// Factor by which the new version's share must exceed the old one's.
const EXCESS: f64 = 3.0;

/// What is thought of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialAssessment {
    /// There is too little evidence.
    Unknown,
    /// Nothing speaks against it.
    Good,
    /// It fails more often than the old version.
    Failing,
    /// It is slow more often than the old version.
    Slow,
}

impl TrialAssessment {
    /// Returns whether the version must get nothing more.
    pub fn is_bad(self) -> bool {
        matches!(self, TrialAssessment::Failing | TrialAssessment::Slow)
    }
}

/// Next step of a version change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialAction {
    /// Go on trying.
    Wait,
    /// Send everything to the new version.
    Promote,
    /// Record that the new version runs everything.
    Complete,
    /// Send nothing to the new version, and record that.
    RollBack,
}

/// Returns the share of requests that the new version gets `age` after the order, where it may get
/// `cap` of those of the whole duration.
pub fn share_at(age: Millis, duration: Millis, cap: f64) -> f64 {
    let share = PROBE.max(cap);
    let probe = part_of(duration, PROBE_PART * cap / share);
    let start = part_of(duration, PROBE_START);
    match age >= start && age < start + probe {
        true => share,
        false => TRICKLE_PART * cap,
    }
}

fn part_of(duration: Millis, part: f64) -> Millis {
    Millis((duration.0 as f64 * part) as u64)
}

/// Judges the new version by the counts of every route.
pub fn assess(cells: &[RouteVersionCounts]) -> TrialAssessment {
    let mut old = VersionCount::default();
    let mut new = VersionCount::default();
    for cell in cells {
        let opinion = compare(&cell.old, &cell.new);
        if opinion.is_bad() {
            return opinion;
        }
        add(&mut old, &cell.old);
        add(&mut new, &cell.new);
    }
    match compare(&old, &new) {
        TrialAssessment::Good if new.total < MIN_ANSWERS => TrialAssessment::Unknown,
        opinion => opinion,
    }
}

fn add(sum: &mut VersionCount, count: &VersionCount) {
    sum.total += count.total;
    sum.failed += count.failed;
    sum.slow += count.slow;
}

fn compare(old: &VersionCount, new: &VersionCount) -> TrialAssessment {
    let is_worse = |old_bad: u64, new_bad: u64, limit: f64| {
        let share = new_bad as f64 / new.total.max(1) as f64;
        let usual = old_bad as f64 / old.total.max(1) as f64;
        new_bad >= MIN_BLAME && share > limit && share > EXCESS * usual
    };
    if is_worse(old.failed, new.failed, BAD_SHARE) {
        TrialAssessment::Failing
    } else if is_worse(old.slow, new.slow, SLOW_SHARE) {
        TrialAssessment::Slow
    } else {
        TrialAssessment::Good
    }
}

/// Decides the next step `age` after the order; `promoted` is the time since everything goes to the
/// new version.
pub fn next_action(
    opinion: TrialAssessment,
    age: Millis,
    duration: Millis,
    promoted: Option<Millis>,
) -> TrialAction {
    if opinion.is_bad() {
        return TrialAction::RollBack;
    }
    if let Some(since) = promoted {
        return match since >= SETTLING {
            true => TrialAction::Complete,
            false => TrialAction::Wait,
        };
    }
    let is_due = age >= part_of(duration, PROMOTION);
    let is_late = age >= part_of(duration, LAST_CALL);
    match opinion {
        TrialAssessment::Good if is_late => TrialAction::RollBack,
        TrialAssessment::Good if is_due => TrialAction::Promote,
        TrialAssessment::Unknown if is_late => TrialAction::RollBack,
        _ => TrialAction::Wait,
    }
}
