//! Tests of the retry decision after each kind of attempt end, and of the rounds of offers.

use rf_base::Millis;
use rf_base::{InstanceId, Verdict};
use rf_config::RepeatPolicy;
use rf_protocol::relay::{AttemptEnd, Loss, Rejection, ServerAnswer};
use rf_traffic::{RetryBudget, RetryDecision, RetryState};

fn answered(status: u16) -> AttemptEnd {
    AttemptEnd::Answered(ServerAnswer {
        status,
        ..ServerAnswer::default()
    })
}

fn handle(
    state: &mut RetryState,
    id: u64,
    end: AttemptEnd,
    budget: &mut RetryBudget,
) -> RetryDecision {
    state.handle(InstanceId(id), end, &mut budget.with_reserve(0.0))
}

#[test]
fn a_request_that_may_have_run_is_not_repeated_if_it_must_run_once() {
    for loss in [
        Loss::Broken,
        Loss::Crashed,
        Loss::EarlierIncarnation,
        Loss::Unreachable,
    ] {
        let mut budget = RetryBudget::with_burst(0.0, 10.0);
        let mut state = RetryState::new(RepeatPolicy::Once, 3);
        let next = handle(&mut state, 1, AttemptEnd::MayHaveRun(loss), &mut budget);
        assert_eq!(next, RetryDecision::GiveUp, "{loss:?}");
        assert_eq!(state.verdict(), Verdict::MayHaveRun);
    }
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let mut state = RetryState::new(RepeatPolicy::Once, 3);
    let next = handle(&mut state, 1, answered(500), &mut budget);
    assert_eq!(next, RetryDecision::GiveUp);
}

#[test]
fn a_refusal_of_a_gate_costs_no_budget_and_no_attempt() {
    let mut budget = RetryBudget::with_burst(0.0, 0.0);
    let mut state = RetryState::new(RepeatPolicy::Once, 1);
    for id in 0..5 {
        let end = AttemptEnd::NotRun(Rejection::Busy(Millis(10)));
        assert_eq!(
            handle(&mut state, id, end, &mut budget),
            RetryDecision::Retry
        );
    }
    assert_eq!(state.reached(), 0);
    assert_eq!(state.verdict(), Verdict::NotRun);
}

#[test]
fn a_refusal_of_the_backend_server_draws_on_the_budget() {
    let mut budget = RetryBudget::with_burst(0.0, 1.0);
    let mut state = RetryState::new(RepeatPolicy::Once, 1);
    let shed = || AttemptEnd::NotRun(Rejection::Shed);
    assert_eq!(
        handle(&mut state, 1, shed(), &mut budget),
        RetryDecision::Retry
    );
    assert_eq!(
        handle(&mut state, 2, shed(), &mut budget),
        RetryDecision::GiveUp
    );
    assert_eq!(state.verdict(), Verdict::NotRun);
}

#[test]
fn a_failure_is_repeated_up_to_the_limit_and_then_passed_on() {
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 2);
    assert_eq!(
        handle(&mut state, 1, answered(500), &mut budget),
        RetryDecision::Retry
    );
    assert_eq!(
        handle(&mut state, 2, answered(502), &mut budget),
        RetryDecision::GiveUp
    );
    let failure = state.take_failure().expect("the last failure is kept");
    assert_eq!(failure.status, 502);
}

#[test]
fn a_run_that_ran_out_of_time_is_not_repeated() {
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 3);
    assert_eq!(
        handle(&mut state, 1, answered(504), &mut budget),
        RetryDecision::GiveUp
    );
}

#[test]
fn a_request_that_crashes_two_servers_is_given_up() {
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 9);
    let crash = || AttemptEnd::MayHaveRun(Loss::Crashed);
    assert_eq!(
        handle(&mut state, 1, crash(), &mut budget),
        RetryDecision::Retry
    );
    assert_eq!(
        handle(&mut state, 2, crash(), &mut budget),
        RetryDecision::GiveUp
    );
}

#[test]
fn retries_leave_the_reserve_of_the_budget_untouched() {
    let mut budget = RetryBudget::with_burst(0.0, 4.0);
    assert!(budget.with_reserve(0.5).withdraw());
    assert!(budget.with_reserve(0.5).withdraw());
    assert!(
        !budget.with_reserve(0.5).withdraw(),
        "half of the burst stays in reserve"
    );
    assert!(budget.with_reserve(0.0).withdraw());
}

fn busy(wait: u64) -> AttemptEnd {
    AttemptEnd::NotRun(Rejection::Busy(Millis(wait)))
}

#[test]
fn a_request_that_busy_servers_refuse_is_given_up_after_two_rounds() {
    let target = Millis(1000);
    let mut budget = RetryBudget::with_burst(0.0, 0.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 2);
    let mut offers = 0;
    loop {
        while !state.is_round_over(Millis(10), target) {
            handle(&mut state, offers, busy(40 + offers), &mut budget);
            offers += 1;
        }
        if !state.begin_round() {
            break;
        }
    }
    assert!(offers < 12, "{offers} offers for a refused request");
    assert_eq!(state.slot_wait(), Some(Millis(40)));
}

#[test]
fn slow_refusals_end_the_offers_while_the_caller_can_still_come_back() {
    let target = Millis(1000);
    let mut budget = RetryBudget::with_burst(0.0, 0.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 2);
    let mut age = Millis::ZERO;
    for id in 0.. {
        if state.is_round_over(age, target) && !state.begin_round() {
            break;
        }
        age = age + Millis(200);
        handle(&mut state, id, busy(50), &mut budget);
    }
    assert!(age <= Millis(700), "refused only after {age}");
}

#[test]
fn a_run_that_failed_late_is_still_repeated() {
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 2);
    assert_eq!(
        handle(&mut state, 1, busy(10), &mut budget),
        RetryDecision::Retry
    );
    assert_eq!(
        handle(&mut state, 2, answered(500), &mut budget),
        RetryDecision::Retry
    );
    assert!(!state.is_round_over(Millis(900), Millis(1000)));
}

#[test]
fn a_run_that_failed_because_its_call_was_refused_is_not_repeated() {
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let starved = AttemptEnd::Answered(ServerAnswer {
        status: 500,
        is_starved: true,
        ..ServerAnswer::default()
    });
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 3);
    assert_eq!(
        handle(&mut state, 1, starved, &mut budget),
        RetryDecision::GiveUp
    );
    assert_eq!(state.take_failure().map(|a| a.status), Some(500));
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 3);
    let next = handle(&mut state, 1, answered(500), &mut budget);
    assert_eq!(
        next,
        RetryDecision::Retry,
        "a failure of another kind is repeated"
    );
}

#[test]
fn a_starved_request_is_refused_without_a_further_offer() {
    let mut budget = RetryBudget::with_burst(0.0, 10.0);
    let mut state = RetryState::new(RepeatPolicy::Idempotent, 3);
    let end = AttemptEnd::NotRun(Rejection::Starved(Millis(300)));
    assert_eq!(
        handle(&mut state, 1, end, &mut budget),
        RetryDecision::GiveUp
    );
    assert_eq!(state.verdict(), Verdict::NotRun);
    assert_eq!(state.slot_wait(), Some(Millis(300)));
}
