//! The limiter against a model, under random operations.

use proptest::prelude::*;
use rf_base::Millis;
use rf_traffic::{Admission, Limiter, Ticket};

#[test]
fn waits_in_the_order_of_deadlines() {
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
fn refuses_at_once_where_the_wait_would_outlast_the_deadline() {
    let mut limiter = Limiter::new(1, 100);
    for _ in 0..100 {
        limiter.request(Millis(0), Millis(10_000));
        limiter.release(Millis(0), Millis(1000));
    }
    limiter.request(Millis(0), Millis(10_000));
    assert_eq!(limiter.request(Millis(0), Millis(500)), Admission::Refuse);
}

#[test]
fn a_waiting_call_whose_deadline_passed_gets_no_slot() {
    let mut limiter = Limiter::new(1, 3);
    limiter.request(Millis(0), Millis(1000));
    let Admission::Wait(ticket) = limiter.request(Millis(0), Millis(50)) else {
        panic!("expected to wait");
    };
    let turn = limiter.release(Millis(60), Millis(60));
    assert_eq!(turn.expired, [ticket]);
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

    /// Calls that hold a slot never exceed the slots at the time of their admission, nobody waits
    /// while a slot is free, and every waiting call is granted, expired or cancelled once.
    #[test]
    fn keeps_its_limits(ops in ops()) {
        let mut limiter = Limiter::new(3, 4);
        let (mut slots, mut queue) = (3, 4);
        let mut now = Millis(0);
        let mut held = 0u32;
        let mut waiting: Vec<Ticket> = Vec::new();
        for op in ops {
            let turn = match op {
                Op::Request(span) => {
                    match limiter.request(now, now + Millis(span)) {
                        Admission::Run => {
                            held += 1;
                            prop_assert!(held <= slots);
                        }
                        Admission::Wait(ticket) => {
                            prop_assert!(waiting.len() < queue as usize);
                            waiting.push(ticket);
                        }
                        Admission::Refuse => prop_assert!(held >= slots),
                    }
                    continue;
                }
                Op::Release if held > 0 => {
                    held -= 1;
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
            held += turn.granted.len() as u32;
            for ticket in turn.granted.iter().chain(&turn.expired) {
                let place = waiting.iter().position(|t| t == ticket);
                prop_assert!(place.is_some(), "ticket answered twice");
                waiting.remove(place.unwrap_or(0));
            }
            prop_assert!(turn.granted.iter().all(|t| t.deadline > now));
            prop_assert_eq!(limiter.running(), held);
            prop_assert_eq!(limiter.waiting(), waiting.len());
            prop_assert!(waiting.is_empty() || held >= slots);
        }
    }
}
