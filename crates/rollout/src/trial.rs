//! Trial of a new version on a small, capped share of the requests.
//!
//! Operators cap the share of requests that an unproven version may receive, so there is little
//! evidence. A trial has four phases, which start at fixed fractions of its duration, the time from
//! the operator's order to its deadline:
//!
//! 1. a low share, which reveals versions that fail at once or on one route;
//! 2. a short probe that sends most requests to the new version, because some versions fail only
//!    under load;
//! 3. the low share again, which reveals versions that turn bad late;
//! 4. promotion: all requests go to the new version, and once the old one is idle the change is
//!    recorded as completed, well before the deadline.
//!
//! The new version is compared with the old one on the same routes over the same time, so a failing
//! dependency that both versions share does not count against either.

use rf_base::Millis;
use rf_protocol::relay::{RouteVersionCounts, VersionCount};

/// Fraction of the cap that is sent to the new version outside the probe.
const LOW_SHARE_FRACTION: f64 = 0.5;
/// Share of requests sent to the new version in the probe, unless the cap is higher.
const PROBE_SHARE: f64 = 0.6;
/// Fraction of the cap, averaged over the whole duration, that the probe uses. Together with the
/// low share this leaves a tenth of the cap for requests that are counted late.
const PROBE_FRACTION: f64 = 0.4;
/// Fraction of the duration at which the probe begins.
const PROBE_START: f64 = 0.42;
/// Fraction of the duration at which a version without evidence against it is promoted.
const PROMOTION_START: f64 = 0.62;
/// Fraction of the duration at which a version that was not promoted is rolled back.
const ROLLBACK_START: f64 = 0.8;
/// Time after promotion until the old version is considered idle.
const IDLE_DELAY: Millis = Millis(2000);
/// Minimum number of answers of the new version for its promotion.
const MIN_ANSWERS: u64 = 12;
/// Minimum number of failures, or of slow answers, for a version to be bad.
const MIN_BAD_ANSWERS: u64 = 4;
/// Share of failures above which a version can be bad.
const MAX_FAILED_SHARE: f64 = 0.12;
/// Share of slow answers above which a version can be bad.
const MAX_SLOW_SHARE: f64 = 0.25;
/// Factor by which the new version's share must exceed the old one's for the new one to be bad.
const EXCESS_FACTOR: f64 = 3.0;

/// Assessment of the new version in a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialAssessment {
    /// There are too few answers to promote the version.
    Unknown,
    /// There are enough answers, and no evidence against the version.
    Good,
    /// The new version fails more often than the old one.
    Failing,
    /// The new version is slow more often than the old one.
    Slow,
}

impl TrialAssessment {
    /// Returns whether the version must receive no more requests.
    pub fn is_bad(self) -> bool {
        matches!(self, TrialAssessment::Failing | TrialAssessment::Slow)
    }
}

/// Next action of a version change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialAction {
    /// Continue the current phase.
    Wait,
    /// Send all requests to the new version.
    Promote,
    /// Record that the new version serves all requests.
    Complete,
    /// Send no requests to the new version, and record the rollback.
    RollBack,
}

/// Returns the share of requests to send to the new version `age` after the order. Over the whole
/// `duration`, the share averages to less than `cap`.
pub fn share_at(age: Millis, duration: Millis, cap: f64) -> f64 {
    let share = PROBE_SHARE.max(cap);
    let probe = fraction_of(duration, PROBE_FRACTION * cap / share);
    let start = fraction_of(duration, PROBE_START);
    match age >= start && age < start + probe {
        true => share,
        false => LOW_SHARE_FRACTION * cap,
    }
}

fn fraction_of(duration: Millis, fraction: f64) -> Millis {
    Millis((duration.0 as f64 * fraction) as u64)
}

/// Assesses the new version by its counts on each route and over all routes.
pub fn assess(cells: &[RouteVersionCounts]) -> TrialAssessment {
    let mut old = VersionCount::default();
    let mut new = VersionCount::default();
    for cell in cells {
        let assessment = compare(&cell.old, &cell.new);
        if assessment.is_bad() {
            return assessment;
        }
        add(&mut old, &cell.old);
        add(&mut new, &cell.new);
    }
    match compare(&old, &new) {
        TrialAssessment::Good if new.total < MIN_ANSWERS => TrialAssessment::Unknown,
        assessment => assessment,
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
        let old_share = old_bad as f64 / old.total.max(1) as f64;
        new_bad >= MIN_BAD_ANSWERS && share > limit && share > EXCESS_FACTOR * old_share
    };
    if is_worse(old.failed, new.failed, MAX_FAILED_SHARE) {
        TrialAssessment::Failing
    } else if is_worse(old.slow, new.slow, MAX_SLOW_SHARE) {
        TrialAssessment::Slow
    } else {
        TrialAssessment::Good
    }
}

/// Returns the next action `age` after the order. `promoted` is the time since the promotion, if
/// the version has been promoted.
pub fn next_action(
    assessment: TrialAssessment,
    age: Millis,
    duration: Millis,
    promoted: Option<Millis>,
) -> TrialAction {
    if assessment.is_bad() {
        return TrialAction::RollBack;
    }
    if let Some(since) = promoted {
        return match since >= IDLE_DELAY {
            true => TrialAction::Complete,
            false => TrialAction::Wait,
        };
    }
    let is_due = age >= fraction_of(duration, PROMOTION_START);
    let is_late = age >= fraction_of(duration, ROLLBACK_START);
    match assessment {
        TrialAssessment::Good if is_late => TrialAction::RollBack,
        TrialAssessment::Good if is_due => TrialAction::Promote,
        TrialAssessment::Unknown if is_late => TrialAction::RollBack,
        _ => TrialAction::Wait,
    }
}
