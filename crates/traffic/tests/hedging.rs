//! Tests of when a request is hedged, and of the budgets of hedged requests.

use proptest::prelude::*;
use rf_base::{InstanceId, Millis, SeededRandom, ServiceName, Verdict};
use rf_config::RepeatPolicy;
use rf_traffic::{HedgeLimit, HedgeTimes, Hedging, RetryBudget, RetryState};
use std::collections::BinaryHeap;

const ROUTE: u64 = 7;
const TIMES: HedgeTimes = HedgeTimes {
    target: Millis(600),
    run_time: Millis(190),
    left: Millis(2500),
};

fn service() -> ServiceName {
    "desk".into()
}

fn observe(hedging: &mut Hedging, times: impl IntoIterator<Item = u64>) {
    for time in times {
        hedging.observe(Millis(1), ROUTE, Millis(time));
    }
}

/// Guards against hedging on a guess, which would copy ordinary requests.
#[test]
fn a_route_with_few_responses_is_not_hedged() {
    let mut hedging = Hedging::default();
    observe(&mut hedging, std::iter::repeat_n(100, 19));
    assert_eq!(hedging.delay(ROUTE, TIMES), None);
    observe(&mut hedging, [100]);
    assert!(hedging.delay(ROUTE, TIMES).is_some());
}

/// Guards against a delay that copies many requests, or so few that the tail stays.
#[test]
fn the_delay_exceeds_nearly_all_responses_and_follows_them() {
    let mut hedging = Hedging::default();
    observe(&mut hedging, (0..1000).map(|n| 100 + n % 100));
    let delay = hedging.delay(ROUTE, TIMES).expect("enough responses");
    assert!((190..=240).contains(&delay.0), "{delay:?}");
    observe(&mut hedging, (0..4000).map(|n| 250 + n % 100));
    let slower = hedging.delay(ROUTE, TIMES).expect("enough responses");
    assert!((330..=353).contains(&slower.0), "{slower:?}");
}

/// Guards against copies that come too late to be answered by the target.
#[test]
fn the_delay_leaves_time_for_a_run_before_the_target() {
    let mut hedging = Hedging::default();
    observe(&mut hedging, std::iter::repeat_n(900, 100));
    assert_eq!(hedging.delay(ROUTE, TIMES), Some(Millis(600 - 247)));
}

/// Guards against a copy that could not be answered before the deadline.
#[test]
fn a_request_without_time_for_another_run_is_not_hedged() {
    let mut hedging = Hedging::default();
    observe(&mut hedging, std::iter::repeat_n(200, 200));
    let short = HedgeTimes {
        left: Millis(350),
        ..TIMES
    };
    assert_eq!(hedging.delay(ROUTE, short), None);
}

/// Guards against the limit of the operators being exceeded in the sum over all proxies.
#[test]
fn the_share_and_the_burst_hold_over_all_proxies() {
    const PROXIES: usize = 82;
    const REQUESTS: usize = 400;
    let limit = HedgeLimit {
        share: 0.03,
        burst: 60.0 / PROXIES as f64,
    };
    let mut sent = 0;
    for _ in 0..PROXIES {
        let mut hedging = Hedging::default();
        let mut retries = RetryBudget::with_burst(0.2, 1000.0);
        for _ in 0..REQUESTS {
            retries.deposit();
            hedging.deposit(&service(), limit);
            sent += u32::from(hedging.withdraw(&service(), limit, &mut retries));
        }
    }
    let allowed = 0.03 * (PROXIES * REQUESTS) as f64 + 60.0;
    assert!(f64::from(sent) <= allowed, "{sent} of {allowed}");
    assert!(
        f64::from(sent) >= 0.8 * 0.03 * (PROXIES * REQUESTS) as f64,
        "{sent}"
    );
}

/// Guards against hedged requests that use up the retries of failed requests.
#[test]
fn hedged_requests_give_way_to_retries() {
    let limit = HedgeLimit {
        share: 1.0,
        burst: 100.0,
    };
    let mut hedging = Hedging::default();
    let mut retries = RetryBudget::with_burst(0.2, 20.0);
    let mut sent = 0;
    while hedging.withdraw(&service(), limit, &mut retries) {
        sent += 1;
    }
    assert_eq!(sent, 15);
    let retried = (0..10).filter(|_| retries.withdraw()).count();
    assert_eq!(retried, 5);
}

/// Guards against losing the operators' budget to copies that no gate had a slot for.
#[test]
fn a_refused_copy_is_not_charged() {
    let limit = HedgeLimit {
        share: 0.1,
        burst: 1.0,
    };
    let mut hedging = Hedging::default();
    let mut retries = RetryBudget::with_burst(0.2, 2.0);
    for _ in 0..50 {
        assert!(hedging.withdraw(&service(), limit, &mut retries));
        hedging.refund(&service(), limit, &mut retries);
    }
}

/// Guards against running a request twice that must not repeat, and against more servers than the
/// route allows.
#[test]
fn only_repeatable_requests_within_their_attempt_limit_are_hedged() {
    assert!(!RetryState::new(RepeatPolicy::Once, 5).may_hedge());
    assert!(!RetryState::new(RepeatPolicy::Idempotent, 1).may_hedge());
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 2);
    assert!(state.may_hedge());
    state.record_hedge(InstanceId(1), Verdict::MayHaveRun);
    assert!(!state.may_hedge());
    assert_eq!(state.verdict(), Verdict::MayHaveRun);
}

/// Guards against a client being told "not run" on account of the first attempt alone.
#[test]
fn a_refused_copy_leaves_the_verdict_as_it_is() {
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 3);
    state.record_hedge(InstanceId(1), Verdict::NotRun);
    assert_eq!(state.verdict(), Verdict::NotRun);
    assert_eq!(state.reached(), 0);
}

/// Response times with and without hedging, where 3 in 100 runs take seven times as long and the
/// copy's run is independent of the first.
#[test]
fn hedging_cuts_the_tail_of_independent_slow_runs() {
    const RUNS: usize = 20_000;
    let mut random = SeededRandom::new(5);
    let mut run = || {
        let base = 90.0 + 200.0 * random.fraction();
        let factor = if random.fraction() < 0.03 { 7.0 } else { 1.0 };
        (base * factor) as u64
    };
    let limit = HedgeLimit {
        share: 0.05,
        burst: 10.0,
    };
    let mut hedging = Hedging::default();
    let mut retries = RetryBudget::with_burst(0.2, 10.0);
    let (mut plain, mut hedged) = (BinaryHeap::new(), BinaryHeap::new());
    let mut copies = 0;
    for _ in 0..RUNS {
        retries.deposit();
        hedging.deposit(&service(), limit);
        let first = run();
        let delay = hedging.delay(ROUTE, TIMES).filter(|d| d.0 < first);
        let is_copied = delay.is_some() && hedging.withdraw(&service(), limit, &mut retries);
        let time = match delay.filter(|_| is_copied) {
            Some(delay) => first.min(delay.0 + run()),
            None => first,
        };
        copies += usize::from(is_copied);
        observe(&mut hedging, [time]);
        plain.push(first);
        hedged.push(time);
    }
    let late =
        |times: &BinaryHeap<u64>| times.iter().filter(|t| **t > 600).count() as f64 / RUNS as f64;
    println!(
        "late {:.4} and {:.4}, copies {:.4}",
        late(&plain),
        late(&hedged),
        copies as f64 / RUNS as f64
    );
    assert!(late(&hedged) < late(&plain) / 4.0);
    assert!(copies as f64 <= 0.05 * RUNS as f64 + 10.0);
}

proptest! {
    /// Guards against a delay outside its bounds, whatever the observed times.
    #[test]
    fn delays_stay_within_their_bounds(times in prop::collection::vec(0..u64::MAX / 4, 100..400)) {
        let mut hedging = Hedging::default();
        observe(&mut hedging, times);
        let delay = hedging.delay(ROUTE, TIMES);
        prop_assert!(delay.is_none_or(|d| (20..=600).contains(&d.0)));
    }
}
