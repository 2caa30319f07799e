//! Leases of several processes on one fake platform, with pauses, outages and lost answers.

use proptest::prelude::*;
use rf_base::{Epoch, Incarnation, InstanceId, Millis, SeededRandom};
use rf_platform::{Lease, LeaseCall, LeaseSettings, Object, ObjectVersion, RateBudget, StoreError};

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
        margin: Millis(200),
        holder: InstanceId(holder),
        incarnation: Incarnation(1),
    };
    Lease::new(settings, SeededRandom::new(seed))
}

fn serve(store: &mut Store, lease: &mut Lease, sent: Millis, answered: Millis) {
    let Some(call) = lease.poll(sent, true) else {
        return;
    };
    match call {
        LeaseCall::Get => lease.handle_get(answered, &store.get()),
        LeaseCall::Put(record, version) => {
            let value = serde_json::to_vec(&record).expect("encodes");
            let result = store.put(value, version);
            lease.handle_put(answered, &result);
        }
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
    while budget.has(Millis(0), false) {
        budget.take();
        ordinary += 1;
    }
    assert_eq!(ordinary, 5);
    assert!(
        budget.has(Millis(0), true),
        "urgent calls may draw on the reserve"
    );
    assert!(budget.has(Millis(1000), false), "refilled");
}

#[derive(Clone, Debug)]
enum Op {
    Run(usize, u64),
    Pause(usize, u64),
    Down(bool),
    Lose(bool),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        12 => (0..3usize, 1..300u64).prop_map(|(p, d)| Op::Run(p, d)),
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
        let mut now = Millis(10_000);
        let mut highest = Epoch(0);
        for op in ops {
            match op {
                Op::Run(process, delay) => {
                    now = now + Millis(delay);
                    if now >= asleep[process] {
                        // The answer takes a while; the term counts from the sending.
                        serve(&mut store, &mut leases[process], now, now + Millis(delay / 2));
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
