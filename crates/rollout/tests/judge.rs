//! Tests of the judge: a stall of a good version ends in no lasting hold, and bad versions are
//! found.

use rf_base::{InstanceId, Millis, MoveId};
use rf_protocol::evidence::{WINDOW, latency_bucket};
use rf_protocol::{Evidence, RouteCounts, Side, Window};
use rf_rollout::judge::{Assessment, Judge, JudgeSettings};

/// Number of calls of each version in a window.
const CALLS: u32 = 20;
/// Latencies of a normal and of a slow call, in milliseconds.
const LATENCIES_MS: [u64; 2] = [10, 300];
/// Slot of the first window.
const FIRST_SLOT: u64 = 1000;

fn window(slot: u64, failures: u32, slow: u32) -> Window {
    let mut cell = RouteCounts {
        route: 1,
        calls: CALLS,
        failures,
        ..RouteCounts::default()
    };
    cell.latency[latency_bucket(LATENCIES_MS[0])] = CALLS - slow;
    cell.latency[latency_bucket(LATENCIES_MS[1])] = slow;
    Window {
        slot,
        routes: vec![cell],
    }
}

/// Gives the judge one window of both versions, of which the old one has no bad calls.
fn judge_window(judge: &mut Judge, slot: u64, failures: u32, slow: u32) -> Assessment {
    for (side, window) in [
        (Side::Old, window(slot, 0, 0)),
        (Side::New, window(slot, failures, slow)),
    ] {
        judge.add_evidence(&Evidence {
            move_id: MoveId(1),
            observer: InstanceId(side as u64 + 1),
            side,
            windows: vec![window],
        });
    }
    judge.advance(Millis((slot + 4) * WINDOW.0))
}

fn judge() -> Judge {
    let mut judge = Judge::new(&JudgeSettings {
        alpha: 0.005,
        horizon: Millis(30_000),
        steps: 3,
        routes: 1,
    });
    judge.enter_step();
    judge
}

/// Guards against a good version that is held until the deadline after a stall: one process of the
/// new version stalls for 700 ms, so that some calls in two windows are slow. Later windows have no
/// bad calls, which say nothing about the odds, so the statistic must be lowered by another rule.
#[test]
fn a_stall_of_a_good_version_does_not_hold_its_move_for_ever() {
    for slow in 1..=CALLS {
        let mut judge = judge();
        let mut assessments = Vec::new();
        for step in 0..30 {
            let slow = if (8..10).contains(&step) { slow } else { 0 };
            assessments.push(judge_window(&mut judge, FIRST_SLOT + step, 0, slow));
        }
        if assessments.iter().any(|o| matches!(o, Assessment::Bad(_))) {
            continue;
        }
        let after = &assessments[18..];
        assert!(
            after.iter().all(|o| *o == Assessment::Clean),
            "{slow} slow calls in each of two windows: {assessments:?}"
        );
    }
}

/// Returns the index of the window after which a version with these failures is found bad, within
/// the first `windows`.
fn find_bad(windows: u64, failures: impl Fn(u64) -> u32) -> Option<usize> {
    let mut judge = judge();
    (0..windows).position(|step| {
        let assessment = judge_window(&mut judge, FIRST_SLOT + step, failures(step), 0);
        matches!(assessment, Assessment::Bad(_))
    })
}

/// Guards against a lenient judge: a version that fails in one of forty calls, while the old
/// version has no failures, must be found within 40 windows.
#[test]
fn a_version_that_fails_in_one_of_40_calls_is_found() {
    let found = find_bad(60, |step| u32::from(step % 2 == 0));
    let windows = found.expect("the version is found bad");
    assert!(windows < 40, "found only after {windows} windows");
}

/// Guards against runs of good calls that outweigh rare failures: a version that fails in one of
/// two hundred calls must be found in spite of the gaps between its failures.
#[test]
fn a_version_that_fails_in_one_of_200_calls_is_found() {
    let found = find_bad(400, |step| u32::from(step % 10 == 0));
    assert!(found.is_some());
}
