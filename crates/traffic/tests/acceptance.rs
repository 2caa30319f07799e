//! Tests of the acceptance rate of a service, on a virtual clock.

use rf_base::{Millis, SeededRandom};
use rf_traffic::AcceptanceRate;

const SECONDS: u64 = 60;
/// Requests per thousand milliseconds, at random times.
const REQUESTS: u64 = 62;
/// Time in which requests are either all accepted or all refused.
const PHASE_MS: u64 = 100;

/// Returns the accepted share of the requests, and the mean of the rate between them, for a service
/// that refuses everything in three of ten phases.
fn shares(seed: u64) -> (f64, f64) {
    let mut random = SeededRandom::new(seed);
    let mut rate = AcceptanceRate::default();
    let (mut requests, mut accepted, mut readings) = (0.0, 0.0, 0.0);
    let mut is_accepting = true;
    for step in 0..SECONDS * 1000 {
        let now = Millis(step);
        if step % PHASE_MS == 0 {
            is_accepting = random.below(10) < 7;
        }
        if random.below(1000) < REQUESTS {
            rate.observe(now, is_accepting);
            requests += 1.0;
            accepted += f64::from(u8::from(is_accepting));
        }
        readings += rate.rate(now);
    }
    (accepted / requests, readings / (SECONDS * 1000) as f64)
}

/// Guards against a rate that counts a few acceptances in a row as free capacity while requests are
/// being refused.
#[test]
fn the_rate_follows_the_accepted_share_while_nothing_is_withheld() {
    for seed in 0..10 {
        let (accepted, rate) = shares(seed);
        assert!(
            (rate - accepted).abs() < 0.03,
            "seed {seed}: {rate:.3} of {accepted:.3}"
        );
    }
}

/// Guards against an admission that stays low after a shortage: withheld requests count as demand,
/// so the accepted share alone never reaches 1.
#[test]
fn the_rate_rises_with_acceptances_while_requests_are_withheld() {
    let mut rate = AcceptanceRate::default();
    for step in 0..200 {
        rate.observe(Millis(step * 10), false);
    }
    for step in 200..300 {
        let now = Millis(step * 10);
        rate.observe(now, true);
        rate.record_withheld(now, 1.0);
    }
    let reading = rate.rate(Millis(2900));
    assert!(reading > 0.7, "{reading}");
}
