//! Property tests of the rate limit on the runs of a backend server, on a virtual clock.

use proptest::prelude::*;
use rf_base::{Millis, RequestRate};
use rf_traffic::StartLimiter;

/// Length of the simulation.
const SPAN: Millis = Millis(12_000);

/// Starts runs as often as the limiter allows, and every `gap` at most; returns their times.
fn run(limiter: &mut StartLimiter, from: Millis, gap: u64) -> Vec<Millis> {
    let mut started = Vec::new();
    let mut now = from;
    while now < from + SPAN {
        if limiter.wait(now, 0) == Millis::ZERO {
            limiter.begin(now);
            started.push(now);
        }
        now = now + Millis(gap);
    }
    started
}

fn most_in(started: &[Millis], window: Millis) -> usize {
    let in_window = |from: &Millis| {
        let is_inside = |at: &&Millis| **at >= *from && **at < *from + window;
        started.iter().filter(is_inside).count()
    };
    started.iter().map(in_window).max().unwrap_or_default()
}

proptest! {
    #[test]
    fn no_window_has_more_runs_than_the_stated_bound(
        rate in 1u32..400, window in 1u64..6000, gap in 1u64..40,
    ) {
        let mut limiter = StartLimiter::default();
        limiter.set_rate(Millis(1000), Some(RequestRate::per_second(rate)));
        let started = run(&mut limiter, Millis(1000), gap);
        let bound = f64::from(rate) * (window as f64 + 500.0) / 1000.0 + 1.0;
        prop_assert!(most_in(&started, Millis(window)) as f64 <= bound);
    }

    #[test]
    fn a_server_with_enough_requests_gets_what_it_takes(rate in 1u32..400) {
        let mut limiter = StartLimiter::default();
        limiter.set_rate(Millis(1000), Some(RequestRate::per_second(rate)));
        let started = run(&mut limiter, Millis(1000), 1);
        let takes = f64::from(rate) * SPAN.0 as f64 / 1000.0;
        prop_assert!(started.len() as f64 >= takes - 1.0, "{} of {takes}", started.len());
    }

    #[test]
    fn the_wait_is_the_time_of_the_next_run(rate in 1u32..400, ahead in 0u32..5) {
        let mut limiter = StartLimiter::default();
        limiter.set_rate(Millis(1000), Some(RequestRate::per_second(rate)));
        run(&mut limiter, Millis(1000), 1);
        let now = Millis(1000) + SPAN;
        let wait = limiter.wait(now, ahead);
        for _ in 0..ahead {
            limiter.begin(now);
        }
        prop_assert_eq!(limiter.wait(now + wait, 0), Millis::ZERO);
        prop_assert!(wait == Millis::ZERO || limiter.wait(now + wait - Millis(1), 0) > Millis::ZERO);
    }

    #[test]
    fn changed_limits_never_let_more_pass_than_the_highest(
        rates in proptest::collection::vec(0u32..100, 1..8),
    ) {
        let mut limiter = StartLimiter::default();
        let mut started = Vec::new();
        let mut now = Millis(1000);
        for rate in &rates {
            limiter.set_rate(now, Some(RequestRate::per_second(*rate)));
            started.extend(run(&mut limiter, now, 7));
            now = now + SPAN;
        }
        let highest = rates.iter().max().copied().unwrap_or_default();
        let bound = f64::from(highest).max(0.5) * 4.5 + 1.0;
        prop_assert!(most_in(&started, Millis(4000)) as f64 <= bound);
    }
}

#[test]
fn a_limit_of_zero_lets_a_run_pass_every_two_seconds() {
    let mut limiter = StartLimiter::default();
    limiter.set_rate(Millis(1000), Some(RequestRate::default()));
    let started = run(&mut limiter, Millis(1000), 1);
    assert!((5..=7).contains(&started.len()), "{}", started.len());
    assert!(most_in(&started, Millis(4000)) <= 5);
}

#[test]
fn a_raised_limit_holds_at_once() {
    let mut limiter = StartLimiter::default();
    limiter.set_rate(Millis(1000), Some(RequestRate::default()));
    limiter.begin(Millis(1000));
    limiter.set_rate(Millis(1100), Some(RequestRate::per_second(100)));
    assert!(limiter.wait(Millis(1100), 0) <= Millis(20));
}
