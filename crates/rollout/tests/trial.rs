//! Trials of a version: bad ones are stopped early, good ones complete in time, few are exposed.

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
fn a_failing_version_is_bad_after_few_requests() {
    let cells = [cell(1, count(200, 1, 0), count(8, 4, 0))];
    assert_eq!(assess(&cells), TrialAssessment::Failing);
}

#[test]
fn a_version_that_fails_on_one_route_is_bad() {
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
fn a_failing_dependency_convicts_nobody() {
    let cells = [cell(1, count(300, 120, 90), count(30, 14, 10))];
    assert_eq!(assess(&cells), TrialAssessment::Good);
}

#[test]
fn too_few_answers_prove_nothing() {
    let cells = [cell(1, count(300, 0, 0), count(5, 0, 0))];
    assert_eq!(assess(&cells), TrialAssessment::Unknown);
}

#[test]
fn the_whole_trial_exposes_less_than_its_cap() {
    let steps = 1000;
    let step = DURATION.0 / steps;
    for cap in [0.02, 0.05, 0.1, 0.3, 0.8, 1.0] {
        let shares = (0..steps).map(|i| share_at(Millis(i * step), DURATION, cap));
        let exposed: f64 = shares.sum::<f64>() / steps as f64;
        assert!(exposed < cap, "{exposed} of all requests, the cap is {cap}");
        assert!(
            exposed > cap * 0.6,
            "{exposed} of all requests, the cap is {cap}"
        );
    }
}

#[test]
fn a_good_version_is_promoted_and_then_completed_in_time() {
    let step = next_action(TrialAssessment::Good, Millis(9_000), DURATION, None);
    assert_eq!(step, TrialAction::Wait);
    let step = next_action(TrialAssessment::Good, Millis(10_000), DURATION, None);
    assert_eq!(step, TrialAction::Promote);
    let since = Some(Millis(500));
    let step = next_action(TrialAssessment::Good, Millis(10_500), DURATION, since);
    assert_eq!(step, TrialAction::Wait);
    let since = Some(Millis(2_000));
    let step = next_action(TrialAssessment::Good, Millis(12_000), DURATION, since);
    assert_eq!(step, TrialAction::Complete);
}

#[test]
fn a_version_nobody_could_try_is_taken_back_before_the_deadline() {
    let step = next_action(TrialAssessment::Unknown, Millis(12_000), DURATION, None);
    assert_eq!(step, TrialAction::Wait);
    let step = next_action(TrialAssessment::Unknown, Millis(13_000), DURATION, None);
    assert_eq!(step, TrialAction::RollBack);
}

#[test]
fn a_version_that_turns_bad_after_promotion_is_taken_back() {
    let since = Some(Millis(1_000));
    let step = next_action(TrialAssessment::Failing, Millis(11_000), DURATION, since);
    assert_eq!(step, TrialAction::RollBack);
}
