//! The judge of a move: what a stall of a good version does, and what a bad version does.

use rf_base::{InstanceId, Millis, MoveId};
use rf_protocol::evidence::{WINDOW, latency_bucket};
use rf_protocol::{Evidence, RouteCounts, Side, Window};
use rf_rollout::judge::{Assessment, Judge, JudgeSettings};

/// Calls of one version in a window.
const CALLS: u32 = 20;
/// Time of a usual call, and of a slow one, in milliseconds.
const TIMES: [u64; 2] = [10, 300];
/// Slot from which the replays begin.
const START: u64 = 1000;

fn window(slot: u64, failures: u32, slow: u32) -> Window {
    let mut cell = RouteCounts {
        route: 1,
        calls: CALLS,
        failures,
        ..RouteCounts::default()
    };
    cell.latency[latency_bucket(TIMES[0])] = CALLS - slow;
    cell.latency[latency_bucket(TIMES[1])] = slow;
    Window {
        slot,
        routes: vec![cell],
    }
}

/// Gives the judge one window of both versions, of which the old one is faultless.
fn observe(judge: &mut Judge, slot: u64, failures: u32, slow: u32) -> Assessment {
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

/// A process of the new version stood still for 700 ms, and was well before and after.
#[test]
fn a_stall_holds_a_move_only_while_it_is_news() {
    for slow in 1..=CALLS {
        let mut judge = judge();
        let mut opinions = Vec::new();
        for step in 0..30 {
            let slow = if (8..10).contains(&step) { slow } else { 0 };
            opinions.push(observe(&mut judge, START + step, 0, slow));
        }
        if opinions.iter().any(|o| matches!(o, Assessment::Bad(_))) {
            continue;
        }
        let after = &opinions[18..];
        assert!(
            after.iter().all(|o| *o == Assessment::Clean),
            "{slow} slow calls in each of two windows: {opinions:?}"
        );
    }
}

/// Returns the window of at most `windows` after which a version with these failures is found bad.
fn find_bad(windows: u64, failures: impl Fn(u64) -> u32) -> Option<usize> {
    let mut judge = judge();
    (0..windows).position(|step| {
        let opinion = observe(&mut judge, START + step, failures(step), 0);
        matches!(opinion, Assessment::Bad(_))
    })
}

/// One call in forty fails, and none on the old version.
#[test]
fn a_version_that_fails_now_and_then_is_found() {
    let found = find_bad(60, |step| u32::from(step % 2 == 0));
    let windows = found.expect("it is found");
    assert!(windows < 40, "after {windows} windows");
}

/// One call in two hundred fails: gaps between its failures are no proof of health.
#[test]
fn a_version_that_fails_seldom_is_found() {
    let found = find_bad(400, |step| u32::from(step % 10 == 0));
    assert!(found.is_some());
}
