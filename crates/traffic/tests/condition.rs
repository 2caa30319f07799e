//! Tests of what a proxy believes of its backend server's statements.

use proptest::prelude::*;
use rf_base::{InstanceId, Millis, RequestRate};
use rf_protocol::relay::ServerCondition;
use rf_traffic::{ConditionTracker, StatedLimit, Statement, ToldConditions};

const PROCESS: u64 = 7;

fn named(rate: u32) -> Statement {
    Statement {
        limit: StatedLimit::Named(RequestRate::per_second(rate)),
        ..Statement::default()
    }
}

fn tracker() -> ConditionTracker {
    let mut tracker = ConditionTracker::default();
    assert!(tracker.set_process(PROCESS));
    tracker
}

fn told(limit: Option<u32>, is_leaving: bool) -> ServerCondition {
    ServerCondition {
        process: PROCESS,
        limit: limit.map(RequestRate::per_second),
        is_leaving,
    }
}

#[test]
fn an_answer_that_was_overtaken_neither_raises_nor_ends_a_limit() {
    let mut tracker = tracker();
    tracker.observe(Millis(100), PROCESS, Millis(50), &named(10));
    tracker.observe(Millis(110), PROCESS, Millis(40), &Statement::default());
    tracker.observe(Millis(120), PROCESS, Millis(60), &named(30));
    assert_eq!(tracker.limit(), Some(RequestRate::per_second(10)));
    tracker.observe(Millis(130), PROCESS, Millis(101), &named(30));
    assert_eq!(tracker.limit(), Some(RequestRate::per_second(30)));
    tracker.observe(Millis(140), PROCESS, Millis(131), &Statement::default());
    assert_eq!(tracker.limit(), None);
}

#[test]
fn a_lower_limit_holds_at_once() {
    let mut tracker = tracker();
    tracker.observe(Millis(100), PROCESS, Millis(50), &named(10));
    tracker.observe(Millis(110), PROCESS, Millis(10), &named(4));
    assert_eq!(tracker.limit(), Some(RequestRate::per_second(4)));
}

#[test]
fn unreadable_limits_and_other_processes_change_nothing() {
    let mut tracker = tracker();
    tracker.observe(Millis(100), PROCESS, Millis(50), &named(10));
    let unreadable = Statement {
        limit: StatedLimit::Unreadable("no number".to_owned()),
        ..Statement::default()
    };
    tracker.observe(Millis(200), PROCESS, Millis(150), &unreadable);
    tracker.observe(Millis(210), PROCESS + 1, Millis(160), &Statement::default());
    assert_eq!(tracker.limit(), Some(RequestRate::per_second(10)));
    assert!(tracker.set_process(PROCESS + 1));
    assert_eq!(tracker.limit(), None);
}

#[test]
fn what_others_were_told_holds_until_the_first_answer() {
    let mut tracker = tracker();
    tracker.adopt(Millis(100), &told(Some(5), false));
    assert_eq!(tracker.limit(), Some(RequestRate::per_second(5)));
    tracker.observe(Millis(200), PROCESS, Millis(150), &Statement::default());
    assert_eq!(tracker.limit(), None);
    tracker.adopt(Millis(300), &told(Some(5), false));
    assert_eq!(tracker.limit(), None);
    assert!(tracker.adopt(Millis(310), &told(None, true)).is_leaving);
    assert!(!tracker.adopt(Millis(320), &told(None, true)).is_leaving);
}

#[test]
fn a_departure_is_remembered_until_another_process_is_known() {
    let mut conditions = ToldConditions::default();
    let instance = InstanceId(1);
    conditions.observe(Millis(1), instance, Some(told(None, true)));
    conditions.observe(Millis(2), instance, None);
    conditions.observe(Millis(3), instance, Some(told(Some(3), false)));
    assert!(conditions.get(instance).is_some_and(|t| t.is_leaving));
    let next = ServerCondition {
        process: PROCESS + 1,
        ..told(Some(3), false)
    };
    conditions.observe(Millis(4), instance, Some(next));
    assert_eq!(conditions.get(instance), Some(next));
    let unlimited = ServerCondition {
        limit: None,
        ..next
    };
    conditions.observe(Millis(5), instance, Some(unlimited));
    assert_eq!(conditions.get(instance), None);
}

proptest! {
    #[test]
    fn parsing_a_limit_never_panics_and_gives_a_finite_rate(text in ".{0,40}") {
        if let Ok(rate) = RequestRate::parse(&text) {
            prop_assert!((0.0..=1e6).contains(&rate.as_per_second()));
        }
    }

    #[test]
    fn decimal_numbers_are_limits(rate in 0.0f64..1e6) {
        let parsed = RequestRate::parse(&format!("{rate:.3}"));
        prop_assert!(parsed.is_ok_and(|r| (r.as_per_second() - rate).abs() < 0.01));
    }
}

// Guards against a limit that all proxies forget because the proxy beside the server has restarted
// and replies before it has read an answer of the server.
#[test]
fn a_reply_of_a_restarted_proxy_does_not_end_a_limit() {
    let server = InstanceId(3);
    let mut tolds = ToldConditions::default();
    tolds.observe(Millis(0), server, Some(told(Some(1), false)));
    let mut restarted = tracker();
    tolds.observe(Millis(500), server, restarted.told());
    let repeated = tolds.get(server).expect("the limit is known");
    assert_eq!(repeated.limit, Some(RequestRate::per_second(1)));
    restarted.adopt(Millis(510), &repeated);
    assert_eq!(restarted.limit(), repeated.limit);
}

// Guards against a limit that others keep after it has ended, also if the restarted proxy learns of
// it only after it has read an answer without one.
#[test]
fn the_end_of_a_limit_is_told() {
    let server = InstanceId(3);
    let mut tolds = ToldConditions::default();
    tolds.observe(Millis(0), server, Some(told(Some(1), false)));
    let mut restarted = tracker();
    restarted.observe(Millis(100), PROCESS, Millis(50), &Statement::default());
    restarted.adopt(Millis(110), &tolds.get(server).expect("known"));
    assert_eq!(restarted.limit(), None);
    tolds.observe(Millis(120), server, restarted.told());
    assert_eq!(tolds.get(server), None);
    tolds.observe(Millis(200), server, Some(told(Some(1), false)));
    tolds.observe(Millis(70_000), server, None);
    assert_eq!(tolds.get(server), None, "nothing was told for a minute");
}
