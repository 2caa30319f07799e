//! Tests of the rate limit of cold backend servers, on a virtual clock.

use rf_base::Millis;
use rf_traffic::ColdLimiter;
use std::collections::BTreeSet;

/// Requests per second that a cold server can handle.
const LIMIT: u32 = 13;

/// Returns the largest number of times within any one-second window.
fn most_in_a_second(started: &BTreeSet<Millis>) -> usize {
    let in_second = |from: &Millis| started.range(*from..*from + Millis(1000)).count();
    started.iter().map(in_second).max().unwrap_or_default()
}

#[test]
fn no_second_has_more_requests_than_the_limit() {
    let mut limiter = ColdLimiter::default();
    limiter.set_limit(Some(LIMIT));
    let mut started = BTreeSet::new();
    for step in 0..5000 {
        let now = Millis(step);
        if limiter.wait(now).is_none() {
            limiter.begin(now);
            started.insert(now);
        }
    }
    assert_eq!(most_in_a_second(&started), LIMIT as usize);
    assert!(started.len() >= 60, "{} in five seconds", started.len());
}

#[test]
fn requests_to_a_warm_server_count_when_it_becomes_cold() {
    let mut limiter = ColdLimiter::default();
    limiter.set_limit(Some(LIMIT));
    for step in 0..100 {
        limiter.begin(Millis(step));
    }
    assert!(limiter.wait(Millis(100)).is_some());
    let wait = limiter.wait(Millis(500)).expect("the second is not over");
    assert!((500..=600).contains(&wait.0), "{wait}");
    assert_eq!(limiter.wait(Millis(1100)), None);
}

#[test]
fn without_a_limit_every_request_may_start() {
    let mut limiter = ColdLimiter::default();
    for step in 0..100 {
        limiter.begin(Millis(step));
        assert_eq!(limiter.wait(Millis(step)), None);
    }
}
