//! Tests of the delays that refused callers get under various loads, on a virtual clock.

use rf_base::{Millis, SeededRandom, ServiceName};
use rf_traffic::{DelayTimes, RetryDelays};

const URGENT: u8 = 1;
const NORMAL: u8 = 2;
const LEFT: Millis = Millis(2400);
/// Time that a caller is assumed to wait: a third of its remaining time.
const WILLING: Millis = Millis(800);

fn service() -> ServiceName {
    ServiceName("desk".to_owned())
}

/// Records one request every 10 ms for `span` ms, of which `served` in ten are served.
fn record_requests(delays: &mut RetryDelays, from: u64, priority: u8, served: u64, span: u64) {
    for step in 0..span / 10 {
        let now = Millis(from + step * 10);
        delays.observe(now, &service(), priority, step % 10 < served);
    }
}

fn sorted_delays(delays: &RetryDelays, now: u64, priority: u8) -> Vec<Millis> {
    let times = DelayTimes {
        slot_wait: Millis(80),
        run_time: Millis(100),
        left: LEFT,
    };
    let mut random = SeededRandom::new(3);
    let mut sorted: Vec<Millis> = (0..200)
        .map(|_| delays.delay(Millis(now), &service(), priority, times, &mut random))
        .collect();
    sorted.sort();
    sorted
}

#[test]
fn delays_are_short_while_nearly_all_requests_are_served() {
    let mut delays = RetryDelays::default();
    record_requests(&mut delays, 0, NORMAL, 10, 2000);
    delays.observe(Millis(2000), &service(), NORMAL, false);
    let sorted = sorted_delays(&delays, 2000, NORMAL);
    assert!(sorted[0] >= Millis(80));
    assert!(sorted[199] <= Millis(200), "{:?}", sorted[199]);
}

#[test]
fn delays_after_a_burst_are_spread_over_the_time_that_callers_wait() {
    let mut delays = RetryDelays::default();
    record_requests(&mut delays, 0, NORMAL, 6, 2000);
    let sorted = sorted_delays(&delays, 2000, NORMAL);
    let spread = sorted[180].since(sorted[20]);
    assert!(spread >= Millis(200), "{spread:?}");
    assert!(sorted[100] <= WILLING, "{:?}", sorted[100]);
}

#[test]
fn under_lasting_overload_most_delays_are_too_long_for_callers() {
    let mut delays = RetryDelays::default();
    record_requests(&mut delays, 0, NORMAL, 2, 3000);
    let sorted = sorted_delays(&delays, 3000, NORMAL);
    let returning = sorted.iter().filter(|p| **p <= WILLING).count();
    assert!(
        returning * 4 <= sorted.len(),
        "{returning} callers come back"
    );
}

#[test]
fn a_served_priority_keeps_short_delays_beside_a_refused_one() {
    let mut delays = RetryDelays::default();
    record_requests(&mut delays, 0, NORMAL, 2, 2000);
    record_requests(&mut delays, 0, URGENT, 10, 2000);
    assert!(sorted_delays(&delays, 2000, URGENT)[199] <= Millis(200));
}

#[test]
fn a_second_without_refusals_ends_the_long_delays_of_an_overload() {
    let mut delays = RetryDelays::default();
    record_requests(&mut delays, 0, NORMAL, 2, 2000);
    record_requests(&mut delays, 2000, NORMAL, 10, 1400);
    assert!(sorted_delays(&delays, 3400, NORMAL)[199] <= Millis(200));
}
