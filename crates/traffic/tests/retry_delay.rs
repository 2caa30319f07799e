//! Load patterns of callers that come back after a refusal, on a virtual clock.

use rf_base::{Millis, SeededRandom, ServiceName};
use rf_traffic::{DelayTimes, RetryDelays};

const URGENT: u8 = 1;
const PLAIN: u8 = 2;
const LEFT: Millis = Millis(2400);
/// What a caller is willing to wait: a third of its time left.
const WILLING: Millis = Millis(800);

fn desk() -> ServiceName {
    ServiceName("desk".to_owned())
}

/// Plays requests, one every 10 ms, of which `served` in ten are served.
fn play(delays: &mut RetryDelays, from: u64, priority: u8, served: u64, span: u64) {
    for step in 0..span / 10 {
        let now = Millis(from + step * 10);
        delays.observe(now, &desk(), priority, step % 10 < served);
    }
}

fn pauses(delays: &RetryDelays, now: u64, priority: u8) -> Vec<Millis> {
    let times = DelayTimes {
        slot_wait: Millis(80),
        usual: Millis(100),
        left: LEFT,
    };
    let mut random = SeededRandom::new(3);
    let mut pauses: Vec<Millis> = (0..200)
        .map(|_| delays.delay(Millis(now), &desk(), priority, times, &mut random))
        .collect();
    pauses.sort();
    pauses
}

#[test]
fn while_nearly_all_are_served_callers_return_as_soon_as_room_is_expected() {
    let mut delays = RetryDelays::default();
    play(&mut delays, 0, PLAIN, 10, 2000);
    delays.observe(Millis(2000), &desk(), PLAIN, false);
    let pauses = pauses(&delays, 2000, PLAIN);
    assert!(pauses[0] >= Millis(80));
    assert!(pauses[199] <= Millis(200), "{:?}", pauses[199]);
}

#[test]
fn the_returns_after_a_burst_are_spread_over_what_callers_are_willing_to_wait() {
    let mut delays = RetryDelays::default();
    play(&mut delays, 0, PLAIN, 6, 2000);
    let pauses = pauses(&delays, 2000, PLAIN);
    let spread = pauses[180].since(pauses[20]);
    assert!(spread >= Millis(200), "{spread:?}");
    assert!(pauses[100] <= WILLING, "{:?}", pauses[100]);
}

#[test]
fn under_lasting_overload_most_callers_do_not_return() {
    let mut delays = RetryDelays::default();
    play(&mut delays, 0, PLAIN, 2, 3000);
    let pauses = pauses(&delays, 3000, PLAIN);
    let returning = pauses.iter().filter(|p| **p <= WILLING).count();
    assert!(returning * 4 <= pauses.len(), "{returning} return");
}

#[test]
fn a_rank_that_is_served_returns_at_once_beside_one_that_is_not() {
    let mut delays = RetryDelays::default();
    play(&mut delays, 0, PLAIN, 2, 2000);
    play(&mut delays, 0, URGENT, 10, 2000);
    assert!(pauses(&delays, 2000, URGENT)[199] <= Millis(200));
}

#[test]
fn a_second_without_refusals_after_an_overload_ends_its_pauses() {
    let mut delays = RetryDelays::default();
    play(&mut delays, 0, PLAIN, 2, 2000);
    play(&mut delays, 2000, PLAIN, 10, 1400);
    assert!(pauses(&delays, 3400, PLAIN)[199] <= Millis(200));
}
