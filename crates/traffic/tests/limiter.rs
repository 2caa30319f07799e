//! Tests of the limiter, including a comparison with a model under random operations.

use proptest::prelude::*;
use rf_base::Millis;
use rf_traffic::{Admission, Limiter, Ticket};

#[test]
fn grants_slots_in_order_of_deadlines() {
    let mut limiter = Limiter::new(1, 3);
    assert_eq!(limiter.request(Millis(0), Millis(100)), Admission::Run);
    let Admission::Wait(late) = limiter.request(Millis(0), Millis(900)) else {
        panic!("expected to wait");
    };
    let Admission::Wait(early) = limiter.request(Millis(0), Millis(300)) else {
        panic!("expected to wait");
    };
    assert_eq!(limiter.release(Millis(10), Millis(10)).granted, [early]);
    assert_eq!(limiter.release(Millis(20), Millis(10)).granted, [late]);
}

#[test]
fn refuses_at_once_if_the_expected_wait_exceeds_the_deadline() {
    let mut limiter = Limiter::new(1, 100);
    for _ in 0..100 {
        limiter.request(Millis(0), Millis(10_000));
        limiter.release(Millis(0), Millis(1000));
    }
    limiter.request(Millis(0), Millis(10_000));
    assert_eq!(limiter.request(Millis(0), Millis(500)), Admission::Refuse);
}

#[test]
fn a_call_whose_deadline_passed_in_the_queue_gets_no_slot() {
    let mut limiter = Limiter::new(1, 3);
    limiter.request(Millis(0), Millis(1000));
    let Admission::Wait(ticket) = limiter.request(Millis(0), Millis(50)) else {
        panic!("expected to wait");
    };
    let dequeued = limiter.release(Millis(60), Millis(60));
    assert_eq!(dequeued.expired, [ticket]);
    assert_eq!(limiter.running(), 0);
}

#[derive(Clone, Debug)]
enum Op {
    Request(u64),
    Release,
    Cancel,
    Resize(u32, u32),
    Wait(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (1..500u64).prop_map(Op::Request),
        3 => Just(Op::Release),
        1 => Just(Op::Cancel),
        1 => (0..5u32, 0..6u32).prop_map(|(s, q)| Op::Resize(s, q)),
        1 => (1..100u64).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against overcommitted and unused slots: admission never raises the number of running
    /// calls above the slots, no call waits while a slot is free, and every waiting call is
    /// granted, expired or cancelled exactly once.
    #[test]
    fn never_exceeds_its_slots_and_never_leaves_one_unused(ops in ops()) {
        let mut limiter = Limiter::new(3, 4);
        let (mut slots, mut queue) = (3, 4);
        let mut now = Millis(0);
        let mut running = 0u32;
        let mut waiting: Vec<Ticket> = Vec::new();
        for op in ops {
            let dequeued = match op {
                Op::Request(span) => {
                    match limiter.request(now, now + Millis(span)) {
                        Admission::Run => {
                            running += 1;
                            prop_assert!(running <= slots);
                        }
                        Admission::Wait(ticket) => {
                            prop_assert!(waiting.len() < queue as usize);
                            waiting.push(ticket);
                        }
                        Admission::Refuse => prop_assert!(running >= slots),
                    }
                    continue;
                }
                Op::Release if running > 0 => {
                    running -= 1;
                    limiter.release(now, Millis(5))
                }
                Op::Release => continue,
                Op::Cancel => {
                    if let Some(ticket) = waiting.pop() {
                        prop_assert!(limiter.cancel(ticket));
                    }
                    continue;
                }
                Op::Resize(s, q) => {
                    (slots, queue) = (s, q);
                    limiter.resize(now, s, q)
                }
                Op::Wait(span) => {
                    now = now + Millis(span);
                    continue;
                }
            };
            running += dequeued.granted.len() as u32;
            for ticket in dequeued.granted.iter().chain(&dequeued.expired) {
                let position = waiting.iter().position(|t| t == ticket);
                prop_assert!(position.is_some(), "ticket granted or expired twice");
                waiting.remove(position.unwrap_or(0));
            }
            prop_assert!(dequeued.granted.iter().all(|t| t.deadline > now));
            prop_assert_eq!(limiter.running(), running);
            prop_assert_eq!(limiter.waiting(), waiting.len());
            prop_assert!(waiting.is_empty() || running >= slots);
        }
    }
}
