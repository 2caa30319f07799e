//! Tests of the admission of runs that call other services, on a virtual clock.

use rf_base::{Millis, SeededRandom, ServiceName};
use rf_traffic::{ChainAdmission, RunStart};
use std::collections::BTreeMap;

const ROUTE: u64 = 1;
const URGENT: u8 = 1;
const PLAIN: u8 = 2;
/// Calls that the downstream service can absorb in a burst before it refuses one.
const MAX_BURST: f64 = 20.0;

/// Returns a run that can still meet its target.
fn run_start(route: u64, priority: u8) -> RunStart {
    RunStart {
        route,
        priority,
        is_late: false,
    }
}

fn downstream() -> ServiceName {
    ServiceName("desk".to_owned())
}

/// Returns the state of a backend server whose runs call the downstream service twice.
fn new_chains() -> ChainAdmission {
    let mut chains = ChainAdmission::default();
    for _ in 0..40 {
        chains.record_run(Millis(0), ROUTE, &BTreeMap::from([(downstream(), 2)]));
    }
    chains
}

/// Results of a number of requests.
#[derive(Default)]
struct Tally {
    /// Runs that were admitted.
    started: u32,
    /// Admitted runs with a refused call.
    wasted: u32,
    /// Requests that were not admitted.
    refused: u32,
}

/// Simulates one request at `priority` every 10 ms for `seconds`; the downstream service can serve
/// the share `capacity` of their calls.
fn simulate(
    chains: &mut ChainAdmission,
    from: u64,
    priority: u8,
    capacity: f64,
    seconds: u64,
) -> Tally {
    let mut random = SeededRandom::new(from);
    let mut tally = Tally::default();
    let mut free = 0.0;
    for step in 0..seconds * 100 {
        let now = Millis(from + step * 10);
        free = f64::min(free + 2.0 * capacity, MAX_BURST);
        if !chains.admit(now, run_start(ROUTE, priority), |_| 1.0, random.fraction()) {
            tally.refused += 1;
            continue;
        }
        tally.started += 1;
        for _ in 0..2 {
            let is_accepted = free >= 1.0;
            free -= f64::from(u8::from(is_accepted));
            chains.observe(now, &downstream(), priority, is_accepted);
            if !is_accepted {
                tally.wasted += 1;
                break;
            }
        }
    }
    tally
}

#[test]
fn runs_are_admitted_at_the_rate_of_their_last_calls() {
    let mut chains = new_chains();
    simulate(&mut chains, 0, PLAIN, 0.5, 3);
    let tally = simulate(&mut chains, 3000, PLAIN, 0.5, 10);
    let served = tally.started - tally.wasted;
    assert!(
        served >= 400,
        "served {served} of 500 that the downstream service can serve"
    );
    assert!(
        tally.wasted * 4 <= tally.started,
        "wasted {} of {} runs",
        tally.wasted,
        tally.started
    );
}

/// Returns how many of 1000 requests are refused while every call is served and the share `late` of
/// the calls after its target.
fn count_refused(late: f64) -> u32 {
    let mut chains = new_chains();
    let mut random = SeededRandom::new(3);
    let mut refused = 0;
    for step in 0..1000 {
        let now = Millis(step * 10);
        if !chains.admit(now, run_start(ROUTE, PLAIN), |_| 1.0, random.fraction()) {
            refused += 1;
            continue;
        }
        for _ in 0..2 {
            match random.fraction() < late {
                true => chains.observe_late(now, &downstream(), PLAIN),
                false => chains.observe(now, &downstream(), PLAIN, true),
            }
        }
    }
    refused
}

/// Guards against runs that are refused for single slow calls while the downstream service has
/// capacity for all.
#[test]
fn a_few_late_calls_refuse_no_run() {
    let refused = [0.03, 0.06].map(count_refused);
    println!("refused of 1000: {refused:?}");
    assert!(refused.iter().all(|r| *r <= 20), "{refused:?}");
}

/// Guards against runs that are begun although most of their calls come too late.
#[test]
fn runs_are_refused_while_half_of_their_calls_are_late() {
    let refused = count_refused(0.5);
    assert!(refused >= 400, "{refused}");
}

#[test]
fn no_run_is_refused_while_every_call_is_served() {
    let mut chains = new_chains();
    let tally = simulate(&mut chains, 0, PLAIN, 1.0, 5);
    assert_eq!((tally.refused, tally.wasted), (0, 0));
}

#[test]
fn a_shortage_at_one_priority_does_not_refuse_more_urgent_runs() {
    let mut chains = new_chains();
    simulate(&mut chains, 0, PLAIN, 0.2, 3);
    assert!(chains.served_share(Millis(3000), &downstream(), PLAIN) < 0.6);
    let tally = simulate(&mut chains, 3000, URGENT, 1.0, 1);
    assert_eq!(tally.refused, 0);
}

#[test]
fn admission_recovers_within_two_seconds_after_a_burst() {
    let mut chains = new_chains();
    simulate(&mut chains, 0, PLAIN, 0.2, 4);
    simulate(&mut chains, 4000, PLAIN, 1.0, 2);
    let tally = simulate(&mut chains, 6000, PLAIN, 1.0, 1);
    assert_eq!(tally.refused, 0, "two seconds after the burst");
}

#[test]
fn a_service_that_serves_nothing_still_gets_some_calls() {
    let mut chains = new_chains();
    simulate(&mut chains, 0, PLAIN, 0.0, 2);
    let tally = simulate(&mut chains, 2000, PLAIN, 0.0, 5);
    assert!(
        tally.started > 0 && tally.started < 150,
        "{}",
        tally.started
    );
}

#[test]
fn a_new_route_uses_the_averages_of_all_routes() {
    let mut chains = new_chains();
    simulate(&mut chains, 0, PLAIN, 0.0, 2);
    let share = chains.served_share(Millis(2000), &downstream(), PLAIN);
    assert!(share < 0.5, "{share}");
    assert!(!chains.admit(Millis(2000), run_start(ROUTE + 1, PLAIN), |_| 1.0, 0.9));
}

#[test]
fn a_route_without_calls_is_always_admitted() {
    let mut chains = new_chains();
    for _ in 0..40 {
        chains.record_run(Millis(0), ROUTE + 1, &BTreeMap::new());
    }
    simulate(&mut chains, 0, PLAIN, 0.0, 2);
    assert!(chains.admit(Millis(2000), run_start(ROUTE + 1, PLAIN), |_| 0.0, 0.99));
}

#[test]
fn runs_are_refused_while_more_urgent_requests_are_not_served() {
    let mut chains = new_chains();
    let mut started = |served: f64| {
        let mut random = SeededRandom::new(5);
        let draws = (0..1000).map(|_| random.fraction());
        let admit = |draw| chains.admit(Millis(0), run_start(ROUTE, PLAIN), |_| served, draw);
        draws.map(admit).filter(|is_admitted| *is_admitted).count()
    };
    assert_eq!(started(1.0), 1000);
    let share = started(0.8);
    assert!((760..840).contains(&share), "{share} of 1000 at 80 %");
    let least = started(0.0);
    assert!(
        (200..300).contains(&least),
        "{least} of 1000 despite the lower bound of a quarter"
    );
}
