//! Load patterns of cold backend servers, on a virtual clock.

use rf_base::Millis;
use rf_traffic::ColdLimiter;
use std::collections::BTreeSet;

const PACE: u32 = 13;

/// Returns the greatest number of times in any second.
fn most_in_a_second(begun: &BTreeSet<Millis>) -> usize {
    let in_second = |from: &Millis| begun.range(*from..*from + Millis(1000)).count();
    begun.iter().map(in_second).max().unwrap_or_default()
}

#[test]
fn no_second_holds_more_requests_than_a_cold_server_bears() {
    let mut pace = ColdLimiter::default();
    pace.set_limit(Some(PACE));
    let mut begun = BTreeSet::new();
    for step in 0..5000 {
        let now = Millis(step);
        if pace.wait(now).is_none() {
            pace.begin(now);
            begun.insert(now);
        }
    }
    assert_eq!(most_in_a_second(&begun), PACE as usize);
    assert!(begun.len() >= 60, "{} in five seconds", begun.len());
}

#[test]
fn what_a_server_began_while_it_was_warm_counts_when_it_turns_cold() {
    let mut pace = ColdLimiter::default();
    pace.set_limit(Some(PACE));
    for step in 0..100 {
        pace.begin(Millis(step));
    }
    assert!(pace.wait(Millis(100)).is_some());
    let wait = pace.wait(Millis(500)).expect("the second is not over");
    assert!((500..=600).contains(&wait.0), "{wait}");
    assert_eq!(pace.wait(Millis(1100)), None);
}

#[test]
fn a_service_without_a_pace_is_not_held_back() {
    let mut pace = ColdLimiter::default();
    for step in 0..100 {
        pace.begin(Millis(step));
        assert_eq!(pace.wait(Millis(step)), None);
    }
}
