//! Leases of several processes on one fake platform, with pauses, outages and lost answers.

use proptest::prelude::*;
use rf_base::{Epoch, Incarnation, InstanceId, Millis, SeededRandom};
use rf_store::{Lease, LeaseCall, LeaseSettings, Object, ObjectVersion, RateBudget, StoreError};

/// A fake platform with one object.
#[derive(Default)]
struct Store {
    object: Option<Object>,
    is_down: bool,
    loses_answer: bool,
}

impl Store {
    fn get(&self) -> Result<Object, StoreError> {
        if self.is_down {
            return Err(StoreError::Unavailable {
                message: "down".to_owned(),
            });
        }
        self.object.clone().ok_or(StoreError::NotFound)
    }

    fn put(
        &mut self,
        value: Vec<u8>,
        expected: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        if self.is_down {
            return Err(StoreError::Unavailable {
                message: "down".to_owned(),
            });
        }
        let current = self.object.as_ref().map_or(ObjectVersion(0), |o| o.version);
        if current != expected {
            return Err(StoreError::Conflict);
        }
        let version = ObjectVersion(current.0 + 1);
        self.object = Some(Object { version, value });
        match self.loses_answer {
            true => Err(StoreError::Lost {
                message: "lost".to_owned(),
            }),
            false => Ok(version),
        }
    }
}

fn lease(holder: u64, seed: u64) -> Lease {
    let settings = LeaseSettings {
        key: "leases/moves".to_owned(),
        term: Millis(3000),
        clock_margin: Millis(200),
        holder: InstanceId(holder),
        incarnation: Incarnation(1),
    };
    Lease::new(settings, SeededRandom::new(seed))
}

/// An answer on its way back.
enum Answer {
    Get(Result<Object, StoreError>),
    Put(Result<ObjectVersion, StoreError>),
}

/// Makes the lease's next call, which takes effect at once.
fn send(store: &mut Store, lease: &mut Lease, now: Millis) -> Option<Answer> {
    match lease.poll(now, true)? {
        LeaseCall::Get => Some(Answer::Get(store.get())),
        LeaseCall::Put(record, version) => {
            let value = serde_json::to_vec(&record).expect("encodes");
            Some(Answer::Put(store.put(value, version)))
        }
    }
}

fn receive(lease: &mut Lease, now: Millis, answer: &Answer) {
    match answer {
        Answer::Get(result) => lease.handle_get(now, result),
        Answer::Put(result) => lease.handle_put(now, result),
    }
}

fn serve(store: &mut Store, lease: &mut Lease, sent: Millis, answered: Millis) {
    if let Some(answer) = send(store, lease, sent) {
        receive(lease, answered, &answer);
    }
}

#[test]
fn a_released_lease_is_taken_over_at_once() {
    let mut store = Store::default();
    let (mut first, mut second) = (lease(1, 1), lease(2, 2));
    for now in (0..500).step_by(50) {
        serve(&mut store, &mut first, Millis(now), Millis(now + 1));
    }
    assert_eq!(first.held_epoch(Millis(500)), Some(Epoch(1)));
    let Some(LeaseCall::Put(record, version)) = first.release(Millis(500)) else {
        panic!("expected a write");
    };
    let value = serde_json::to_vec(&record).expect("encodes");
    store.put(value, version).expect("released");
    for now in (500..2600).step_by(50) {
        serve(&mut store, &mut second, Millis(now), Millis(now + 1));
    }
    assert_eq!(second.held_epoch(Millis(2600)), Some(Epoch(2)));
}

#[test]
fn the_budget_keeps_a_reserve_for_leases() {
    let mut budget = RateBudget::new(5, Millis(0));
    let mut ordinary = 0;
    while budget.allows(Millis(0), false) {
        budget.take();
        ordinary += 1;
    }
    assert_eq!(ordinary, 5);
    assert!(
        budget.allows(Millis(0), true),
        "urgent calls may draw on the reserve"
    );
    assert!(budget.allows(Millis(1000), false), "refilled");
}

#[derive(Clone, Debug)]
enum Op {
    Run(usize, u64, u64),
    Pause(usize, u64),
    Down(bool),
    Lose(bool),
}

fn answer_delay() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..50u64, 1 => 500..2900u64]
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        12 => (0..3usize, 1..300u64, answer_delay()).prop_map(|(p, d, a)| Op::Run(p, d, a)),
        2 => (0..3usize, 500..9000u64).prop_map(|(p, d)| Op::Pause(p, d)),
        1 => any::<bool>().prop_map(Op::Down),
        1 => any::<bool>().prop_map(Op::Lose),
    ];
    prop::collection::vec(op, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Never do two processes hold the lease at one time, and epochs only rise.
    #[test]
    fn one_holder_at_a_time(ops in ops()) {
        let mut store = Store::default();
        let mut leases: Vec<Lease> = (0..3).map(|i| lease(i, i)).collect();
        let mut asleep = [Millis(0); 3];
        let mut answers: [Option<(Millis, Answer)>; 3] = [None, None, None];
        let mut now = Millis(10_000);
        let mut highest = Epoch(0);
        for op in ops {
            match op {
                Op::Run(process, delay, answer_delay) => {
                    now = now + Millis(delay);
                    if now < asleep[process] {
                        continue;
                    }
                    // A late answer is taken in late; the term counts from the sending.
                    if let Some((due, answer)) = answers[process].take() {
                        match due <= now {
                            true => receive(&mut leases[process], now, &answer),
                            false => answers[process] = Some((due, answer)),
                        }
                    }
                    if let Some(answer) = send(&mut store, &mut leases[process], now) {
                        answers[process] = Some((now + Millis(answer_delay), answer));
                    }
                }
                Op::Pause(process, span) => asleep[process] = now + Millis(span),
                Op::Down(is_down) => store.is_down = is_down,
                Op::Lose(loses) => store.loses_answer = loses,
            }
            let epochs: Vec<Epoch> = leases.iter().filter_map(|l| l.held_epoch(now)).collect();
            prop_assert!(epochs.len() <= 1, "held by {epochs:?}");
            for epoch in epochs {
                prop_assert!(epoch >= highest, "epoch fell");
                highest = epoch;
            }
        }
    }
}
