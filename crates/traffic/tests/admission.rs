//! Load patterns that the queue before a backend server answers, on a virtual clock.

use rf_base::Millis;
use rf_traffic::admission::{Queue, SlotDecision, SlotRequest, WaitId};

const FAR: Millis = Millis(100_000);
const ROUTE: u64 = 1;

fn wish(priority: u8, target: u64, expires: u64) -> SlotRequest {
    SlotRequest {
        route: ROUTE,
        priority,
        is_nested: false,
        is_best_effort: false,
        target: Millis(target),
        expires: Millis(expires),
    }
}

/// Makes a queue of `slots` slots, all taken, whose runs usually take `usual`.
fn busy_queue(slots: u32, usual: u64) -> Queue {
    let mut queue = Queue::new(slots);
    for _ in 0..slots {
        assert_eq!(
            queue.request(Millis(0), wish(1, 1000, 9000), FAR),
            SlotDecision::Run
        );
    }
    queue.release(Millis(0), Some((ROUTE, Millis(usual))));
    assert_eq!(
        queue.request(Millis(0), wish(1, 1000, 9000), FAR),
        SlotDecision::Run
    );
    queue
}

fn wait(queue: &mut Queue, now: u64, wish: SlotRequest) -> WaitId {
    match queue.request(Millis(now), wish, FAR) {
        SlotDecision::Wait(place) => place,
        other => panic!("expected to wait, got {other:?}"),
    }
}

#[test]
fn slots_are_a_hard_limit() {
    let mut queue = busy_queue(3, 100);
    wait(&mut queue, 0, wish(1, 1000, 9000));
    assert_eq!(queue.running(), 3);
    assert_eq!(queue.waiting(), 1);
}

#[test]
fn a_wait_beyond_the_patience_is_refused_with_the_time_of_room() {
    let mut queue = busy_queue(2, 100);
    // One release every 50 ms: the first in line waits 50 ms.
    let entry = queue.request(Millis(0), wish(1, 1000, 9000), Millis(40));
    assert_eq!(entry, SlotDecision::Refuse(Millis(50)));
    wait(&mut queue, 0, wish(1, 1000, 9000));
    let entry = queue.request(Millis(0), wish(1, 1000, 9000), Millis(60));
    assert_eq!(entry, SlotDecision::Refuse(Millis(100)));
}

#[test]
fn a_request_that_would_start_after_its_end_is_refused_at_once() {
    let mut queue = busy_queue(1, 300);
    let entry = queue.request(Millis(0), wish(1, 1000, 200), FAR);
    assert_eq!(entry, SlotDecision::Refuse(Millis(300)));
}

#[test]
fn a_burst_of_one_class_is_overtaken_by_a_more_urgent_one() {
    let mut queue = busy_queue(1, 10);
    let burst: Vec<WaitId> = (0..20)
        .map(|_| wait(&mut queue, 0, wish(2, 5000, 9000)))
        .collect();
    let urgent = wait(&mut queue, 1, wish(1, 5000, 9000));
    let wakeups = queue.release(Millis(10), Some((ROUTE, Millis(10))));
    assert_eq!(wakeups.granted, [urgent]);
    let wakeups = queue.release(Millis(20), Some((ROUTE, Millis(10))));
    assert_eq!(wakeups.granted, [burst[0]]);
}

#[test]
fn under_lasting_overload_what_can_still_be_in_time_goes_first() {
    let mut queue = busy_queue(1, 100);
    let late = wait(&mut queue, 0, wish(1, 150, 9000));
    let timely = wait(&mut queue, 60, wish(1, 600, 9000));
    // At 100 the first can no longer end by 150, the second can by 600.
    let wakeups = queue.release(Millis(100), Some((ROUTE, Millis(100))));
    assert_eq!(wakeups.granted, [timely]);
    let wakeups = queue.release(Millis(200), Some((ROUTE, Millis(100))));
    assert_eq!(wakeups.granted, [late]);
}

#[test]
fn a_spare_request_takes_only_what_others_leave() {
    let mut queue = busy_queue(1, 10);
    let spare = SlotRequest {
        is_best_effort: true,
        ..wish(0, 5000, 9000)
    };
    let spare = wait(&mut queue, 0, spare);
    let plain = wait(&mut queue, 5, wish(3, 5000, 9000));
    assert_eq!(queue.release(Millis(10), None).granted, [plain]);
    assert_eq!(queue.release(Millis(20), None).granted, [spare]);
}

#[test]
fn a_wait_that_outlasts_its_bound_is_told_so() {
    let mut queue = busy_queue(1, 10);
    let place = wait(&mut queue, 0, wish(1, 50, 60));
    let wakeups = queue.release(Millis(60), Some((ROUTE, Millis(60))));
    assert_eq!(wakeups.expired, [place]);
    assert!(wakeups.granted.is_empty());
}

#[test]
fn a_cancelled_wait_leaves_its_turn_to_the_next() {
    let mut queue = busy_queue(1, 10);
    let first = wait(&mut queue, 0, wish(1, 500, 9000));
    let second = wait(&mut queue, 0, wish(1, 600, 9000));
    assert!(queue.cancel(first));
    assert!(!queue.cancel(first));
    assert_eq!(queue.release(Millis(10), None).granted, [second]);
}

#[test]
fn more_slots_are_granted_at_once() {
    let mut queue = Queue::new(0);
    let entry = queue.request(Millis(0), wish(1, 500, 9000), FAR);
    assert!(
        matches!(entry, SlotDecision::Refuse(_)),
        "a closed gate never waits"
    );
    queue.resize(Millis(0), 1);
    assert_eq!(
        queue.request(Millis(0), wish(1, 500, 9000), FAR),
        SlotDecision::Run
    );
    let waiting = wait(&mut queue, 0, wish(1, 500, 9000));
    assert_eq!(queue.resize(Millis(0), 2).granted, [waiting]);
}

#[test]
fn the_first_run_sets_the_usual_time() {
    let mut queue = Queue::new(1);
    assert_eq!(queue.average_run(), Millis::ZERO);
    queue.request(Millis(0), wish(1, 500, 9000), FAR);
    queue.release(Millis(320), Some((ROUTE, Millis(320))));
    assert_eq!(queue.average_run(), Millis(320));
}

#[test]
fn a_call_of_a_running_request_goes_before_new_requests_and_its_rank_decides_among_calls() {
    let mut queue = busy_queue(1, 100);
    let nested = |priority| SlotRequest {
        is_nested: true,
        // The request that makes it is late already.
        ..wish(priority, 10, 9000)
    };
    let urgent = wait(&mut queue, 0, wish(0, 5000, 9000));
    let plain_call = wait(&mut queue, 0, nested(2));
    let urgent_call = wait(&mut queue, 0, nested(1));
    let mut order = Vec::new();
    for now in [100, 200, 300] {
        order.extend(
            queue
                .release(Millis(now), Some((ROUTE, Millis(100))))
                .granted,
        );
    }
    assert_eq!(order, [urgent_call, plain_call, urgent]);
}

#[test]
fn short_calls_are_not_refused_for_the_time_of_long_requests() {
    const LONG: u64 = 2;
    let mut queue = Queue::new(1);
    for _ in 0..64 {
        for (route, span) in [(ROUTE, 40), (LONG, 210)] {
            queue.request(Millis(0), wish(1, 1000, 9000), FAR);
            queue.release(Millis(0), Some((route, Millis(span))));
        }
    }
    assert_eq!(queue.average_run_of(ROUTE), Millis(40));
    assert_eq!(queue.average_run_of(LONG), Millis(210));
    queue.request(Millis(0), wish(1, 1000, 9000), FAR);
    let room = queue.time_to_slot();
    for _ in 0..5 {
        wait(&mut queue, 0, wish(1, 1000, 9000));
    }
    // Five short calls wait, whatever else ran here.
    assert_eq!(queue.time_to_slot(), room + Millis(200));
}
