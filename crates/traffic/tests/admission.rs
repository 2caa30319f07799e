//! Tests of the admission queue of a backend server under load patterns, on a virtual clock.

use rf_base::{Millis, RequestRate};
use rf_traffic::admission::{Queue, SlotDecision, SlotRequest, WaitId};

/// Maximum wait that is never exceeded in these tests.
const LONG_WAIT: Millis = Millis(100_000);
const ROUTE: u64 = 1;

fn slot_request(priority: u8, target: u64, expires: u64) -> SlotRequest {
    SlotRequest {
        route: ROUTE,
        priority,
        is_nested: false,
        is_best_effort: false,
        target: Millis(target),
        expires: Millis(expires),
        organisation: None,
    }
}

/// Returns a queue of `slots` slots, all taken, with an average run time of `run` milliseconds.
fn busy_queue(slots: u32, run: u64) -> Queue {
    let mut queue = Queue::new(slots);
    for _ in 0..slots {
        assert_eq!(
            queue.request(Millis(0), slot_request(1, 1000, 9000), LONG_WAIT),
            SlotDecision::Run
        );
    }
    queue.release(Millis(0), Some((ROUTE, Millis(run))));
    assert_eq!(
        queue.request(Millis(0), slot_request(1, 1000, 9000), LONG_WAIT),
        SlotDecision::Run
    );
    queue
}

/// Requests a slot that is not free; returns the identifier of the waiting request.
fn wait(queue: &mut Queue, now: u64, request: SlotRequest) -> WaitId {
    match queue.request(Millis(now), request, LONG_WAIT) {
        SlotDecision::Wait(id) => id,
        other => panic!("expected to wait, got {other:?}"),
    }
}

#[test]
fn running_requests_never_exceed_the_slots() {
    let mut queue = busy_queue(3, 100);
    wait(&mut queue, 0, slot_request(1, 1000, 9000));
    assert_eq!(queue.running(), 3);
    assert_eq!(queue.waiting(), 1);
}

#[test]
fn a_wait_above_its_maximum_is_refused_with_the_time_to_a_slot() {
    let mut queue = busy_queue(2, 100);
    // A slot is released every 50 ms, so the first waiting request waits 50 ms.
    let decision = queue.request(Millis(0), slot_request(1, 1000, 9000), Millis(40));
    assert_eq!(decision, SlotDecision::Refuse(Millis(50)));
    wait(&mut queue, 0, slot_request(1, 1000, 9000));
    let decision = queue.request(Millis(0), slot_request(1, 1000, 9000), Millis(60));
    assert_eq!(decision, SlotDecision::Refuse(Millis(100)));
}

#[test]
fn a_request_that_would_get_its_slot_after_it_expires_is_refused_at_once() {
    let mut queue = busy_queue(1, 300);
    let decision = queue.request(Millis(0), slot_request(1, 1000, 200), LONG_WAIT);
    assert_eq!(decision, SlotDecision::Refuse(Millis(300)));
}

#[test]
fn a_more_urgent_request_overtakes_a_burst() {
    let mut queue = busy_queue(1, 10);
    let burst: Vec<WaitId> = (0..20)
        .map(|_| wait(&mut queue, 0, slot_request(2, 5000, 9000)))
        .collect();
    let urgent = wait(&mut queue, 1, slot_request(1, 5000, 9000));
    let wakeups = queue.release(Millis(10), Some((ROUTE, Millis(10))));
    assert_eq!(wakeups.granted, [urgent]);
    let wakeups = queue.release(Millis(20), Some((ROUTE, Millis(10))));
    assert_eq!(wakeups.granted, [burst[0]]);
}

#[test]
fn under_overload_requests_that_can_meet_their_target_go_first() {
    let mut queue = busy_queue(1, 100);
    let late = wait(&mut queue, 0, slot_request(1, 150, 9000));
    let timely = wait(&mut queue, 60, slot_request(1, 600, 9000));
    // At 100 ms, the first can no longer end by 150 ms, and the second can end by 600 ms.
    let wakeups = queue.release(Millis(100), Some((ROUTE, Millis(100))));
    assert_eq!(wakeups.granted, [timely]);
    let wakeups = queue.release(Millis(200), Some((ROUTE, Millis(100))));
    assert_eq!(wakeups.granted, [late]);
}

#[test]
fn a_best_effort_request_only_gets_a_slot_that_no_other_wants() {
    let mut queue = busy_queue(1, 10);
    let best_effort = SlotRequest {
        is_best_effort: true,
        ..slot_request(0, 5000, 9000)
    };
    let best_effort = wait(&mut queue, 0, best_effort);
    let plain = wait(&mut queue, 5, slot_request(3, 5000, 9000));
    assert_eq!(queue.release(Millis(10), None).granted, [plain]);
    assert_eq!(queue.release(Millis(20), None).granted, [best_effort]);
}

#[test]
fn a_request_that_expires_while_it_waits_is_reported() {
    let mut queue = busy_queue(1, 10);
    let expired = wait(&mut queue, 0, slot_request(1, 50, 60));
    let wakeups = queue.release(Millis(60), Some((ROUTE, Millis(60))));
    assert_eq!(wakeups.expired, [expired]);
    assert!(wakeups.granted.is_empty());
}

#[test]
fn a_cancelled_request_gets_no_slot() {
    let mut queue = busy_queue(1, 10);
    let first = wait(&mut queue, 0, slot_request(1, 500, 9000));
    let second = wait(&mut queue, 0, slot_request(1, 600, 9000));
    assert!(queue.cancel(first));
    assert!(!queue.cancel(first));
    assert_eq!(queue.release(Millis(10), None).granted, [second]);
}

#[test]
fn added_slots_are_granted_at_once() {
    let mut queue = Queue::new(0);
    let decision = queue.request(Millis(0), slot_request(1, 500, 9000), LONG_WAIT);
    assert!(
        matches!(decision, SlotDecision::Refuse(_)),
        "without slots, requests are refused instead of queued"
    );
    queue.resize(Millis(0), 1);
    assert_eq!(
        queue.request(Millis(0), slot_request(1, 500, 9000), LONG_WAIT),
        SlotDecision::Run
    );
    let waiting = wait(&mut queue, 0, slot_request(1, 500, 9000));
    assert_eq!(queue.resize(Millis(0), 2).granted, [waiting]);
}

#[test]
fn the_first_run_sets_the_average_run_time() {
    let mut queue = Queue::new(1);
    assert_eq!(queue.average_run(), Millis::ZERO);
    queue.request(Millis(0), slot_request(1, 500, 9000), LONG_WAIT);
    queue.release(Millis(320), Some((ROUTE, Millis(320))));
    assert_eq!(queue.average_run(), Millis(320));
}

#[test]
fn nested_calls_go_before_new_requests_in_order_of_priority() {
    let mut queue = busy_queue(1, 100);
    let nested = |priority| SlotRequest {
        is_nested: true,
        // The target has almost passed, so the call is late.
        ..slot_request(priority, 10, 9000)
    };
    let urgent = wait(&mut queue, 0, slot_request(0, 5000, 9000));
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
fn the_run_time_of_long_requests_does_not_count_for_short_calls() {
    const LONG: u64 = 2;
    let mut queue = Queue::new(1);
    for _ in 0..64 {
        for (route, span) in [(ROUTE, 40), (LONG, 210)] {
            queue.request(Millis(0), slot_request(1, 1000, 9000), LONG_WAIT);
            queue.release(Millis(0), Some((route, Millis(span))));
        }
    }
    assert_eq!(queue.average_run_of(ROUTE), Millis(40));
    assert_eq!(queue.average_run_of(LONG), Millis(210));
    queue.request(Millis(0), slot_request(1, 1000, 9000), LONG_WAIT);
    let first_wait = queue.time_to_slot(Millis(0));
    for _ in 0..5 {
        wait(&mut queue, 0, slot_request(1, 1000, 9000));
    }
    // Five short calls of 40 ms are waiting; the long runs do not count.
    assert_eq!(queue.time_to_slot(Millis(0)), first_wait + Millis(200));
}

/// Returns a queue of idle slots under a limit of 10 runs per second, whose first run has begun.
fn limited_queue() -> Queue {
    let mut queue = Queue::new(4);
    queue.set_rate(Millis(0), Some(RequestRate::per_second(10)));
    let first = queue.request(Millis(0), slot_request(1, 1000, 9000), LONG_WAIT);
    assert_eq!(first, SlotDecision::Run);
    queue
}

#[test]
fn requests_wait_for_the_rate_limit_in_the_order_of_their_priority() {
    let mut queue = limited_queue();
    let plain = wait(&mut queue, 0, slot_request(2, 1000, 9000));
    let urgent = wait(&mut queue, 0, slot_request(0, 1000, 9000));
    assert_eq!(queue.next_start(Millis(0)), Some(Millis(100)));
    assert!(queue.poll(Millis(99)).granted.is_empty());
    assert_eq!(queue.poll(Millis(100)).granted, [urgent]);
    assert_eq!(queue.poll(Millis(200)).granted, [plain]);
    assert_eq!(queue.next_start(Millis(200)), None);
}

#[test]
fn a_wait_for_the_rate_limit_above_its_maximum_is_refused_with_the_time_to_room() {
    let mut queue = limited_queue();
    wait(&mut queue, 0, slot_request(1, 1000, 9000));
    let decision = queue.request(Millis(0), slot_request(1, 1000, 9000), Millis(150));
    assert_eq!(decision, SlotDecision::Refuse(Millis(200)));
    assert_eq!(queue.rate_wait(Millis(0)), Millis(200));
}

#[test]
fn requests_that_wait_for_the_rate_limit_are_granted_when_it_ends() {
    let mut queue = limited_queue();
    let ids = [
        wait(&mut queue, 0, slot_request(1, 1000, 9000)),
        wait(&mut queue, 0, slot_request(1, 1000, 9000)),
    ];
    assert_eq!(queue.set_rate(Millis(10), None).granted, ids);
    assert_eq!(queue.rate_wait(Millis(10)), Millis::ZERO);
}
