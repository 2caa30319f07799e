//! Tests of the load patterns that placement handles, on a virtual clock.

use rf_base::{InstanceId, Millis, RequestRate, SeededRandom};
use rf_protocol::relay::{LoadReport, ServerCondition, Slowness};
use rf_traffic::placement::OfferReport;
use rf_traffic::{Candidate, OfferEnd, Placement, PlacementRequest};
use std::collections::{BTreeMap, BTreeSet};

const ROUTE: u64 = 1;

fn request(zone_cost: u64) -> PlacementRequest {
    PlacementRequest {
        route: ROUTE,
        zone_cost: Millis(zone_cost),
        safe_time: Millis::ZERO,
    }
}

fn candidate(id: u64, is_near: bool) -> Candidate {
    Candidate {
        instance: InstanceId(id),
        slots: 4,
        is_near,
    }
}

fn report(running: u32, run_time: u64) -> Option<OfferReport> {
    let load = LoadReport {
        running,
        waiting: 0,
        slots: 4,
        mean_run: Millis(run_time),
        route_run: Millis(run_time),
        ..LoadReport::default()
    };
    Some(OfferReport {
        route: ROUTE,
        load,
        transit: Millis::ZERO,
    })
}

#[test]
fn a_server_behind_a_slow_link_gets_fewer_requests() {
    let mut placement = new_placement();
    for _ in 0..20 {
        let slow_link = report(0, 100).map(|r| OfferReport {
            transit: Millis(150),
            ..r
        });
        record_offer(&mut placement, 1, OfferEnd::Succeeded, slow_link);
        record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 140));
    }
    let candidates = [candidate(1, true), candidate(2, true)];
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(2));
}

fn choose_at(placement: &mut Placement, now: u64, candidates: &[Candidate]) -> InstanceId {
    let tried = BTreeSet::new();
    placement
        .choose(Millis(now), candidates, &tried, &request(20))
        .expect("a candidate is left")
}

/// Makes one offer to `id` that ends with `end`.
fn record_offer(placement: &mut Placement, id: u64, end: OfferEnd, load: Option<OfferReport>) {
    let only = [candidate(id, true)];
    let chosen = choose_at(placement, 0, &only);
    placement.finish(Millis(0), chosen, end, load);
}

fn new_placement() -> Placement {
    Placement::new(SeededRandom::new(7))
}

#[test]
fn faster_servers_get_more_requests_under_load() {
    let mut placement = new_placement();
    let candidates = [candidate(1, true), candidate(2, true)];
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(0, 100));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 300));
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for _ in 0..12 {
        *counts
            .entry(choose_at(&mut placement, 1, &candidates))
            .or_default() += 1;
    }
    assert!(
        counts[&InstanceId(1)] >= 8,
        "requests by server: {counts:?}"
    );
}

// An unmeasured server wins only in samples that contain it, so it gets a share of the first offers
// and not necessarily the first one.
#[test]
fn a_new_server_gets_its_share_of_the_first_offers() {
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(0, 100));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 100));
    let candidates = [candidate(1, true), candidate(2, true), candidate(3, true)];
    let chosen: Vec<InstanceId> = (0..9)
        .map(|_| choose_at(&mut placement, 1, &candidates))
        .collect();
    let share = chosen.iter().filter(|id| **id == InstanceId(3)).count();
    assert!(share >= 3, "{chosen:?}");
}

#[test]
fn proxies_that_choose_at_the_same_time_do_not_choose_the_same_server() {
    let candidates: Vec<Candidate> = (1..=12).map(|id| candidate(id, true)).collect();
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for seed in 0..60 {
        let mut placement = Placement::new(SeededRandom::new(seed));
        for id in 1..=12 {
            // All placements know the same server as slightly faster.
            let run_time = if id == 7 { 80 } else { 100 };
            record_offer(&mut placement, id, OfferEnd::Succeeded, report(0, run_time));
        }
        let chosen = choose_at(&mut placement, 1, &candidates);
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(counts.values().all(|n| *n <= 20), "{counts:?}");
}

#[test]
fn requests_leave_the_zone_only_if_that_is_faster() {
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(0, 100));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 95));
    let candidates = [candidate(1, true), candidate(2, false)];
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(1));
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(8, 100));
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(2));
}

#[test]
fn an_unreachable_server_is_ejected_for_longer_each_time() {
    let mut placement = new_placement();
    let candidates = [candidate(1, true), candidate(2, true)];
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(3, 400));
    record_offer(&mut placement, 1, OfferEnd::Unreachable, None);
    assert_eq!(choose_at(&mut placement, 299, &candidates), InstanceId(2));
    assert_eq!(choose_at(&mut placement, 301, &candidates), InstanceId(1));
    placement.finish(Millis(301), InstanceId(1), OfferEnd::Unreachable, None);
    assert_eq!(
        choose_at(&mut placement, 301 + 599, &candidates),
        InstanceId(2)
    );
    assert_eq!(
        choose_at(&mut placement, 301 + 601, &candidates),
        InstanceId(1)
    );
}

#[test]
fn an_ejected_server_is_tried_if_all_are_ejected() {
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Unreachable, None);
    assert_eq!(
        choose_at(&mut placement, 1, &[candidate(1, true)]),
        InstanceId(1)
    );
}

#[test]
fn failures_raise_the_score_without_excluding_a_server() {
    let mut placement = new_placement();
    let candidates = [candidate(1, true), candidate(2, true)];
    for _ in 0..10 {
        record_offer(&mut placement, 1, OfferEnd::Failed, report(0, 100));
        record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 100));
    }
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(2));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(40, 100));
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(1));
}

#[test]
fn old_load_reports_decay() {
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(40, 100));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(2, 300));
    let candidates = [candidate(1, true), candidate(2, true)];
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(2));
    assert_eq!(choose_at(&mut placement, 4000, &candidates), InstanceId(1));
}

#[test]
fn a_tried_server_gets_no_second_offer() {
    let mut placement = new_placement();
    let candidates = [candidate(1, true)];
    let tried = BTreeSet::from([InstanceId(1)]);
    let chosen = placement.choose(Millis(0), &candidates, &tried, &request(0));
    assert_eq!(chosen, None);
}

#[test]
fn the_slot_wait_is_that_of_the_least_loaded_server() {
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(11, 100));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(7, 100));
    let candidates = [candidate(1, true), candidate(2, true)];
    // Seven requests on four slots: four must end before the next one starts, one every 25 ms.
    let wait = placement.slot_wait(Millis(0), &candidates);
    assert_eq!(wait, Some(Millis(100)));
}

fn choose(
    placement: &mut Placement,
    candidates: &[Candidate],
    request: PlacementRequest,
) -> InstanceId {
    let tried = BTreeSet::new();
    let chosen = placement.choose(Millis(1), candidates, &tried, &request);
    chosen.expect("a candidate is left")
}

/// Returns a placement with a server of the given load in the local zone and an idle server in
/// another zone.
fn near_and_far(running: u32, run_time: u64) -> (Placement, [Candidate; 2]) {
    let mut placement = new_placement();
    record_offer(
        &mut placement,
        1,
        OfferEnd::Succeeded,
        report(running, run_time),
    );
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 100));
    (placement, [candidate(1, true), candidate(2, false)])
}

#[test]
fn no_request_leaves_its_zone_while_it_is_safely_in_time_there() {
    let (mut placement, candidates) = near_and_far(4, 150);
    let safe = PlacementRequest {
        safe_time: Millis(400),
        ..request(10)
    };
    assert_eq!(choose(&mut placement, &candidates, safe), InstanceId(1));
    let tight = PlacementRequest {
        safe_time: Millis(150),
        ..request(10)
    };
    assert_eq!(choose(&mut placement, &candidates, tight), InstanceId(2));
}

#[test]
fn of_two_late_requests_only_the_small_one_leaves_its_zone() {
    let (mut placement, candidates) = near_and_far(4, 300);
    assert_eq!(
        choose(&mut placement, &candidates, request(30)),
        InstanceId(2)
    );
    assert_eq!(
        choose(&mut placement, &candidates, request(1800)),
        InstanceId(1)
    );
}

#[test]
fn requests_of_a_zone_without_servers_go_to_other_zones() {
    let (mut placement, candidates) = near_and_far(0, 100);
    let far = [candidates[1]];
    assert_eq!(choose(&mut placement, &far, request(1800)), InstanceId(2));
}

#[test]
fn run_times_are_estimated_per_route() {
    const LONG: u64 = 2;
    let mut placement = new_placement();
    // Calls of 40 ms and requests of 210 ms on the same server.
    for _ in 0..40 {
        for (route, run) in [(ROUTE, 40), (LONG, 210)] {
            let mixed = report(0, 80).map(|r| OfferReport {
                route,
                load: LoadReport {
                    route_run: Millis(run),
                    ..r.load
                },
                ..r
            });
            record_offer(&mut placement, 1, OfferEnd::Succeeded, mixed);
        }
    }
    let server = candidate(1, true);
    assert_eq!(placement.run_time(&server, ROUTE), Millis(40));
    assert_eq!(placement.run_time(&server, LONG), Millis(210));
}

#[test]
fn a_server_at_its_limit_gets_no_request_while_another_has_room() {
    let limited = report(0, 100).map(|r| OfferReport {
        load: LoadReport {
            rate_wait: Millis(300),
            condition: Some(ServerCondition {
                process: 1,
                limit: Some(RequestRate::per_second(5)),
                is_leaving: false,
            }),
            ..r.load
        },
        ..r
    });
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Succeeded, limited);
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(2, 160));
    let candidates = [candidate(1, true), candidate(2, true)];
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(2));
    let wait = placement.slot_wait(Millis(1), &candidates[..1]);
    assert_eq!(wait, Some(Millis(299)));
    // Its limit allows another run by then, which other proxies send.
    assert_eq!(choose_at(&mut placement, 400, &candidates), InstanceId(2));
    assert_eq!(choose_at(&mut placement, 9000, &candidates), InstanceId(1));
}

// Guards against spending the retry budget at the server that has just rejected most requests.
#[test]
fn a_rejected_request_goes_to_the_server_that_rejected_least() {
    let mut placement = new_placement();
    for id in 1..=3 {
        record_offer(&mut placement, id, OfferEnd::Succeeded, report(0, 100));
    }
    record_offer(&mut placement, 1, OfferEnd::Shed, report(0, 100));
    record_offer(&mut placement, 2, OfferEnd::Shed, report(0, 10));
    let candidates: Vec<Candidate> = (1..=3).map(|id| candidate(id, id != 3)).collect();
    let tried = BTreeSet::from([InstanceId(1)]);
    let chosen = placement.choose_after_shed(Millis(1), &candidates, &tried, &request(20));
    assert_eq!(chosen, Some(InstanceId(3)));
    let all = candidates.iter().map(|c| c.instance).collect();
    let chosen = placement.choose_after_shed(Millis(1), &candidates, &all, &request(20));
    assert_eq!(chosen, None);
}

// Guards against a stated slowness that placement ignores, or keeps after it has become old.
#[test]
fn a_server_that_states_to_be_slow_is_avoided_for_a_while() {
    let mut placement = new_placement();
    let slow = report(0, 100).map(|mut r| {
        r.load.slowness = Some(Slowness {
            percent: 300,
            age: Millis(100),
        });
        r
    });
    record_offer(&mut placement, 1, OfferEnd::Succeeded, slow);
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 150));
    let candidates = [candidate(1, true), candidate(2, true)];
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(2));
    assert_eq!(choose_at(&mut placement, 3000, &candidates), InstanceId(1));
}

// Guards against a long wait at a full server, whose runs take longer than it reported, while another
// one has a free slot.
#[test]
fn the_wait_at_a_full_server_is_limited_by_the_time_at_a_free_one() {
    let mut placement = new_placement();
    record_offer(&mut placement, 1, OfferEnd::Succeeded, report(0, 10));
    record_offer(&mut placement, 2, OfferEnd::Succeeded, report(0, 50));
    let candidates = [candidate(1, true), candidate(2, true)];
    let none = BTreeSet::new();
    let max_wait = |placement: &Placement, tried: &BTreeSet<InstanceId>| {
        placement.max_wait(Millis(1), &candidates, tried, InstanceId(1), &request(20))
    };
    for _ in 0..4 {
        assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(1));
        assert_eq!(max_wait(&placement, &none), None, "it has a slot");
    }
    assert_eq!(choose_at(&mut placement, 1, &candidates), InstanceId(1));
    assert_eq!(max_wait(&placement, &none), Some(Millis(50)));
    let tried = BTreeSet::from([InstanceId(2)]);
    assert_eq!(max_wait(&placement, &tried), None, "no other is left");
    for _ in 0..4 {
        choose_at(&mut placement, 1, &candidates[1..]);
    }
    assert_eq!(max_wait(&placement, &none), None, "both are full");
}
