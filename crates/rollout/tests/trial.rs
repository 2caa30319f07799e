//! Tests of trials: bad versions are stopped early, good ones complete in time, and the share of
//! requests that reach a new version stays below its cap.

use rf_base::Millis;
use rf_protocol::relay::{RouteVersionCounts, VersionCount};
use rf_rollout::trial::{TrialAction, TrialAssessment, assess, next_action, share_at};

const DURATION: Millis = Millis(16_000);

fn count(total: u64, failed: u64, slow: u64) -> VersionCount {
    VersionCount {
        total,
        failed,
        slow,
    }
}

fn cell(route: u64, old: VersionCount, new: VersionCount) -> RouteVersionCounts {
    RouteVersionCounts { route, old, new }
}

#[test]
fn a_version_that_fails_half_of_its_calls_is_bad_after_eight() {
    let cells = [cell(1, count(200, 1, 0), count(8, 4, 0))];
    assert_eq!(assess(&cells), TrialAssessment::Failing);
}

#[test]
fn failures_on_one_route_make_a_version_bad() {
    let cells = [
        cell(1, count(500, 0, 0), count(60, 0, 0)),
        cell(2, count(40, 0, 0), count(8, 4, 0)),
    ];
    assert_eq!(assess(&cells), TrialAssessment::Failing);
}

#[test]
fn a_slow_version_is_bad() {
    let cells = [cell(1, count(300, 0, 6), count(12, 0, 9))];
    assert_eq!(assess(&cells), TrialAssessment::Slow);
}

#[test]
fn failures_of_both_versions_do_not_make_the_new_one_bad() {
    let cells = [cell(1, count(300, 120, 90), count(30, 14, 10))];
    assert_eq!(assess(&cells), TrialAssessment::Good);
}

#[test]
fn a_version_with_too_few_answers_is_not_good() {
    let cells = [cell(1, count(300, 0, 0), count(5, 0, 0))];
    assert_eq!(assess(&cells), TrialAssessment::Unknown);
}

#[test]
fn the_average_share_over_a_trial_stays_below_the_cap() {
    let steps = 1000;
    let step = DURATION.0 / steps;
    for cap in [0.02, 0.05, 0.1, 0.3, 0.8, 1.0] {
        let shares = (0..steps).map(|i| share_at(Millis(i * step), DURATION, cap));
        let average: f64 = shares.sum::<f64>() / steps as f64;
        assert!(
            average < cap,
            "the average share is {average}, the cap is {cap}"
        );
        assert!(
            average > cap * 0.6,
            "the average share is {average}, the cap is {cap}"
        );
    }
}

#[test]
fn a_good_version_is_promoted_and_then_completed_in_time() {
    let action = next_action(TrialAssessment::Good, Millis(9_000), DURATION, None);
    assert_eq!(action, TrialAction::Wait);
    let action = next_action(TrialAssessment::Good, Millis(10_000), DURATION, None);
    assert_eq!(action, TrialAction::Promote);
    let since = Some(Millis(500));
    let action = next_action(TrialAssessment::Good, Millis(10_500), DURATION, since);
    assert_eq!(action, TrialAction::Wait);
    let since = Some(Millis(2_000));
    let action = next_action(TrialAssessment::Good, Millis(12_000), DURATION, since);
    assert_eq!(action, TrialAction::Complete);
}

#[test]
fn a_version_with_too_little_evidence_is_rolled_back_before_the_deadline() {
    let action = next_action(TrialAssessment::Unknown, Millis(12_000), DURATION, None);
    assert_eq!(action, TrialAction::Wait);
    let action = next_action(TrialAssessment::Unknown, Millis(13_000), DURATION, None);
    assert_eq!(action, TrialAction::RollBack);
}

#[test]
fn a_version_that_turns_bad_after_promotion_is_rolled_back() {
    let since = Some(Millis(1_000));
    let action = next_action(TrialAssessment::Failing, Millis(11_000), DURATION, since);
    assert_eq!(action, TrialAction::RollBack);
}
