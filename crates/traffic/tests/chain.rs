//! Load patterns of runs that call other services, on a virtual clock.

use rf_base::{Millis, SeededRandom, ServiceName};
use rf_traffic::{ChainAdmission, RunStart};
use std::collections::BTreeMap;

const ROUTE: u64 = 1;
const URGENT: u8 = 1;
const PLAIN: u8 = 2;
/// Calls that the desk holds in its queue before it refuses one.
const QUEUE: f64 = 20.0;

/// Makes a run that can still be in time.
fn start(route: u64, priority: u8) -> RunStart {
    RunStart {
        route,
        priority,
        is_late: false,
    }
}

fn desk() -> ServiceName {
    ServiceName("desk".to_owned())
}

/// Makes the state of a gate whose runs call the desk twice.
fn new_chains() -> ChainAdmission {
    let mut chains = ChainAdmission::default();
    for _ in 0..40 {
        chains.record_run(Millis(0), ROUTE, &BTreeMap::from([(desk(), 2)]));
    }
    chains
}

/// What came of a span of requests.
#[derive(Default)]
struct Tally {
    begun: u32,
    wasted: u32,
    refused: u32,
}

/// Plays requests at rank `priority`, one every 10 ms, for each second in `capacity`, which is the
/// part of their calls that the desk can take.
fn play(
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
        free = f64::min(free + 2.0 * capacity, QUEUE);
        if !chains.admit(now, start(ROUTE, priority), |_| 1.0, random.fraction()) {
            tally.refused += 1;
            continue;
        }
        tally.begun += 1;
        for _ in 0..2 {
            let is_accepted = free >= 1.0;
            free -= f64::from(u8::from(is_accepted));
            chains.observe(now, &desk(), priority, is_accepted);
            if !is_accepted {
                tally.wasted += 1;
                break;
            }
        }
    }
    tally
}

#[test]
fn runs_are_begun_at_the_rate_of_their_last_calls() {
    let mut chains = new_chains();
    play(&mut chains, 0, PLAIN, 0.5, 3);
    let tally = play(&mut chains, 3000, PLAIN, 0.5, 10);
    let served = tally.begun - tally.wasted;
    assert!(served >= 400, "served {served} of 500 that the desk can");
    assert!(
        tally.wasted * 4 <= tally.begun,
        "wasted {} of {} runs",
        tally.wasted,
        tally.begun
    );
}

#[test]
fn nothing_is_refused_while_every_call_is_served() {
    let mut chains = new_chains();
    let tally = play(&mut chains, 0, PLAIN, 1.0, 5);
    assert_eq!((tally.refused, tally.wasted), (0, 0));
}

#[test]
fn a_shortage_of_one_rank_leaves_a_more_urgent_one_alone() {
    let mut chains = new_chains();
    play(&mut chains, 0, PLAIN, 0.2, 3);
    assert!(chains.served_share(Millis(3000), &desk(), PLAIN) < 0.6);
    let tally = play(&mut chains, 3000, URGENT, 1.0, 1);
    assert_eq!(tally.refused, 0);
}

#[test]
fn the_level_does_not_outlast_a_burst() {
    let mut chains = new_chains();
    play(&mut chains, 0, PLAIN, 0.2, 4);
    play(&mut chains, 4000, PLAIN, 1.0, 2);
    let tally = play(&mut chains, 6000, PLAIN, 1.0, 1);
    assert_eq!(tally.refused, 0, "two seconds after the burst");
}

#[test]
fn a_service_that_serves_nothing_is_asked_now_and_then() {
    let mut chains = new_chains();
    play(&mut chains, 0, PLAIN, 0.0, 2);
    let tally = play(&mut chains, 2000, PLAIN, 0.0, 5);
    assert!(tally.begun > 0 && tally.begun < 150, "{}", tally.begun);
}

#[test]
fn a_new_route_has_the_figures_of_the_others() {
    let mut chains = new_chains();
    play(&mut chains, 0, PLAIN, 0.0, 2);
    let part = chains.served_share(Millis(2000), &desk(), PLAIN);
    assert!(part < 0.5, "{part}");
    assert!(!chains.admit(Millis(2000), start(ROUTE + 1, PLAIN), |_| 1.0, 0.9));
}

#[test]
fn a_route_that_calls_nothing_is_begun_whatever_else_is_refused() {
    let mut chains = new_chains();
    for _ in 0..40 {
        chains.record_run(Millis(0), ROUTE + 1, &BTreeMap::new());
    }
    play(&mut chains, 0, PLAIN, 0.0, 2);
    assert!(chains.admit(Millis(2000), start(ROUTE + 1, PLAIN), |_| 0.0, 0.99));
}

#[test]
fn runs_are_held_back_while_more_urgent_requests_are_not_served() {
    let mut chains = new_chains();
    let mut begun = |served: f64| {
        let mut random = SeededRandom::new(5);
        let draws = (0..1000).map(|_| random.fraction());
        let admit = |draw| chains.admit(Millis(0), start(ROUTE, PLAIN), |_| served, draw);
        draws.map(admit).filter(|is_begun| *is_begun).count()
    };
    assert_eq!(begun(1.0), 1000);
    let share = begun(0.8);
    assert!((760..840).contains(&share), "{share} of 1000 at 80 %");
    let least = begun(0.0);
    assert!(
        (200..300).contains(&least),
        "{least} of 1000 keep the floor"
    );
}
