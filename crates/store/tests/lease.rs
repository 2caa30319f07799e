//! Tests of the rate limit, and of leases that several processes contend for on a fake platform
//! with pauses, outages and lost responses.

use proptest::prelude::*;
use rf_base::{Epoch, Incarnation, InstanceId, Millis, SeededRandom};
use rf_store::{Lease, LeaseCall, LeaseSettings, Object, ObjectVersion, RateBudget, StoreError};

/// A fake platform with a single object.
#[derive(Default)]
struct FakePlatform {
    object: Option<Object>,
    is_down: bool,
    loses_responses: bool,
}

impl FakePlatform {
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
        match self.loses_responses {
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

/// A result that has not reached its process yet.
enum CallResult {
    Get(Result<Object, StoreError>),
    Put(Result<ObjectVersion, StoreError>),
}

/// Makes the next call of a lease, which takes effect at once, and returns its result.
fn send(platform: &mut FakePlatform, lease: &mut Lease, now: Millis) -> Option<CallResult> {
    match lease.poll(now, true)? {
        LeaseCall::Get => Some(CallResult::Get(platform.get())),
        LeaseCall::Put(record, version) => {
            let value = serde_json::to_vec(&record).expect("the record is serializable");
            Some(CallResult::Put(platform.put(value, version)))
        }
    }
}

fn receive(lease: &mut Lease, now: Millis, result: &CallResult) {
    match result {
        CallResult::Get(result) => lease.handle_get(now, result),
        CallResult::Put(result) => lease.handle_put(now, result),
    }
}

fn make_call(platform: &mut FakePlatform, lease: &mut Lease, sent: Millis, received: Millis) {
    if let Some(result) = send(platform, lease, sent) {
        receive(lease, received, &result);
    }
}

#[test]
fn a_released_lease_is_acquired_before_its_term_ends() {
    let mut platform = FakePlatform::default();
    let (mut first, mut second) = (lease(1, 1), lease(2, 2));
    for now in (0..500).step_by(50) {
        make_call(&mut platform, &mut first, Millis(now), Millis(now + 1));
    }
    assert_eq!(first.held_epoch(Millis(500)), Some(Epoch(1)));
    let Some(LeaseCall::Put(record, version)) = first.release(Millis(500)) else {
        panic!("the release requests no write");
    };
    let value = serde_json::to_vec(&record).expect("the record is serializable");
    platform
        .put(value, version)
        .expect("the release is written");
    for now in (500..2600).step_by(50) {
        make_call(&mut platform, &mut second, Millis(now), Millis(now + 1));
    }
    assert_eq!(second.held_epoch(Millis(2600)), Some(Epoch(2)));
}

#[test]
fn ordinary_calls_leave_a_reserve_for_urgent_ones() {
    let mut budget = RateBudget::new(5, Millis(0));
    let mut ordinary = 0;
    while budget.allows(Millis(0), false) {
        budget.take();
        ordinary += 1;
    }
    assert_eq!(ordinary, 5);
    assert!(
        budget.allows(Millis(0), true),
        "an urgent call was not allowed to use the reserve"
    );
    assert!(
        budget.allows(Millis(1000), false),
        "the bucket was not refilled"
    );
}

#[derive(Clone, Debug)]
enum Action {
    /// Process, time before its next call, and delay of the result.
    Run(usize, u64, u64),
    /// Process and duration of the pause.
    Pause(usize, u64),
    SetDown(bool),
    SetLosing(bool),
}

fn result_delay() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0..50u64, 1 => 500..2900u64]
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        12 => (0..3usize, 1..300u64, result_delay()).prop_map(|(p, d, a)| Action::Run(p, d, a)),
        2 => (0..3usize, 500..9000u64).prop_map(|(p, d)| Action::Pause(p, d)),
        1 => any::<bool>().prop_map(Action::SetDown),
        1 => any::<bool>().prop_map(Action::SetLosing),
    ];
    prop::collection::vec(action, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against two processes that hold the lease at the same time, and against an epoch that
    /// decreases, whatever pauses, outages, and late or lost responses occur.
    #[test]
    fn at_most_one_process_holds_a_lease(actions in actions()) {
        let mut platform = FakePlatform::default();
        let mut leases: Vec<Lease> = (0..3).map(|i| lease(i, i)).collect();
        let mut paused_until = [Millis(0); 3];
        let mut results: [Option<(Millis, CallResult)>; 3] = [None, None, None];
        let mut now = Millis(10_000);
        let mut highest = Epoch(0);
        for action in actions {
            match action {
                Action::Run(process, delay, result_delay) => {
                    now = now + Millis(delay);
                    if now < paused_until[process] {
                        continue;
                    }
                    // A late result is handled late, but the term starts when the call was sent.
                    if let Some((due, result)) = results[process].take() {
                        match due <= now {
                            true => receive(&mut leases[process], now, &result),
                            false => results[process] = Some((due, result)),
                        }
                    }
                    if let Some(result) = send(&mut platform, &mut leases[process], now) {
                        results[process] = Some((now + Millis(result_delay), result));
                    }
                }
                Action::Pause(process, span) => paused_until[process] = now + Millis(span),
                Action::SetDown(is_down) => platform.is_down = is_down,
                Action::SetLosing(is_losing) => platform.loses_responses = is_losing,
            }
            let epochs: Vec<Epoch> = leases.iter().filter_map(|l| l.held_epoch(now)).collect();
            prop_assert!(epochs.len() <= 1, "held under several epochs: {epochs:?}");
            for epoch in epochs {
                prop_assert!(epoch >= highest, "the epoch decreased");
                highest = epoch;
            }
        }
    }
}
