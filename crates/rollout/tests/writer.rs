//! Racing writers on one fake platform with lost answers and outages.

use proptest::prelude::*;
use rf_base::{Epoch, Millis, MoveId, SeededRandom};
use rf_config::{Intent, MeshConfig, MoveState, Outcome, Plan, Service, VersionSpec};
use rf_rollout::change::Document;
use rf_rollout::plan::{PlanContext, Servers, compute_basis};
use rf_rollout::writer::JobResult;
use rf_rollout::{Change, JobOutcome, PlanSettings, ServerView, Writer, WriterCall, compute_plan};
use rf_store::{Object, ObjectVersion, StoreError};
use std::collections::BTreeMap;

const START: Millis = Millis(1_000_000);

#[derive(Default)]
struct Store {
    object: Option<Object>,
    /// Writes that were sent, answered as lost, and take effect only later.
    delayed: Vec<(Vec<u8>, ObjectVersion)>,
    history: Vec<MeshConfig>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Fine,
    Refused,
    LostAfter,
    LostDelayed,
}

impl Store {
    fn get(&self, fate: Fate) -> Result<Object, StoreError> {
        match fate {
            Fate::Refused => Err(unavailable()),
            _ => self.object.clone().ok_or(StoreError::NotFound),
        }
    }

    fn put(
        &mut self,
        value: Vec<u8>,
        expected: ObjectVersion,
        fate: Fate,
    ) -> Result<ObjectVersion, StoreError> {
        match fate {
            Fate::Refused => Err(unavailable()),
            Fate::LostDelayed => {
                self.delayed.push((value, expected));
                Err(lost())
            }
            Fate::LostAfter => {
                self.write(value, expected)?;
                Err(lost())
            }
            Fate::Fine => self.write(value, expected),
        }
    }

    fn write(
        &mut self,
        value: Vec<u8>,
        expected: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        let current = self.object.as_ref().map_or(ObjectVersion(0), |o| o.version);
        if current != expected {
            return Err(StoreError::Conflict);
        }
        let version = ObjectVersion(current.0 + 1);
        self.history
            .push(serde_json::from_slice(&value).expect("a configuration"));
        self.object = Some(Object { version, value });
        Ok(version)
    }

    fn flush(&mut self) {
        for (value, expected) in std::mem::take(&mut self.delayed) {
            self.write(value, expected).ok();
        }
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable {
        message: "down".to_owned(),
    }
}

fn lost() -> StoreError {
    StoreError::Lost {
        message: "lost".to_owned(),
    }
}

fn document(queue: u32) -> Document {
    let mut service = Service {
        queue,
        ..Service::default()
    };
    for (version, weight) in [("v1", 1), ("v2", 0)] {
        service
            .versions
            .insert(version.into(), VersionSpec { weight });
    }
    Document {
        services: BTreeMap::from([("s".into(), service)]),
        ..Document::default()
    }
}

fn plan(config: &MeshConfig, seed: u64) -> Option<Plan> {
    let server = |version: &str| ServerView {
        service: "s".into(),
        version: version.into(),
        is_available: true,
    };
    let servers = Servers::from([
        (rf_base::InstanceId(1), server("v1")),
        (rf_base::InstanceId(2), server("v2")),
    ]);
    let context = PlanContext {
        config,
        servers: &servers,
        settings: &PlanSettings::default(),
        now: START,
        seed,
    };
    let intent = Intent::Shift {
        service: "s".into(),
        version: "v2".into(),
        share: 100,
        by: START + Millis(100_000),
    };
    compute_plan(context, &intent).ok()
}

/// Makes the writer's next call; returns a job that ended.
fn turn(store: &mut Store, writer: &mut Writer, now: Millis, fate: Fate) -> Option<JobResult> {
    let call = writer.poll(now)?;
    assert_eq!(call, WriterCall::Get);
    let (call, ended) = writer.handle_get(now, store.get(fate));
    let Some(WriterCall::Put(config, version)) = call else {
        return ended;
    };
    let value = serde_json::to_vec(&config).expect("encodes");
    let result = store.put(value, version, fate);
    writer.handle_put(now, &result)
}

#[test]
fn a_retry_after_a_lost_answer_does_not_undo_what_came_between() {
    let mut store = Store::default();
    let mut first = Writer::new(SeededRandom::new(1));
    let mut second = Writer::new(SeededRandom::new(2));
    first.submit(Change::Apply(document(1)), Millis(u64::MAX));
    assert!(turn(&mut store, &mut first, START, Fate::LostAfter).is_none());
    second.submit(Change::Apply(document(2)), Millis(u64::MAX));
    let between = turn(&mut store, &mut second, START, Fate::Fine);
    assert!(between.is_some());
    let later = START + Millis(1000);
    let ended = turn(&mut store, &mut first, later, Fate::Fine).expect("settled");
    assert!(matches!(ended.outcome, JobOutcome::Written(_)));
    assert_eq!(store.history.len(), 2, "written once each");
    let queue = |c: &MeshConfig| c.services[&"s".into()].queue;
    assert_eq!(store.history.last().map(queue), Some(2));
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Fine),
        1 => Just(Fate::Refused),
        2 => Just(Fate::LostAfter),
        2 => Just(Fate::LostDelayed),
    ]
}

#[derive(Clone, Debug)]
enum Op {
    Apply(usize, u32),
    Plan,
    Confirm(usize),
    Advance(usize, usize),
    Finish(usize, bool),
    TakeBack(usize),
    Turn(usize, Fate),
    Flush,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        2 => (0..3usize, 1..9u32).prop_map(|(w, q)| Op::Apply(w, q)),
        2 => Just(Op::Plan),
        2 => (0..3usize).prop_map(Op::Confirm),
        2 => (0..3usize, 1..4usize).prop_map(|(w, s)| Op::Advance(w, s)),
        2 => (0..3usize, any::<bool>()).prop_map(|(w, d)| Op::Finish(w, d)),
        1 => (0..3usize).prop_map(Op::TakeBack),
        12 => (0..3usize, fate()).prop_map(|(w, f)| Op::Turn(w, f)),
        1 => Just(Op::Flush),
    ];
    prop::collection::vec(op, 1..200)
}

/// Checks that one configuration follows from the one before it.
fn check_history(history: &[MeshConfig]) -> Result<(), TestCaseError> {
    for pair in history.windows(2) {
        let (old, new) = (&pair[0], &pair[1]);
        prop_assert_eq!(new.counter, old.counter.next());
        prop_assert!(new.epoch >= old.epoch);
        prop_assert!(
            !old.recent.contains(&new.operation),
            "an operation took effect twice"
        );
        prop_assert!(new.running_moves().count() <= 1, "two moves of one service");
        for (id, m) in &new.moves {
            if !old.moves.contains_key(id) {
                let basis = compute_basis(old, &m.plan.service);
                prop_assert_eq!(basis, m.plan.basis, "a stale plan was confirmed");
            }
        }
        for (id, m) in &old.moves {
            if let MoveState::Ended { outcome, .. } = m.state {
                let state = new.moves.get(id).map(|m| &m.state);
                let same =
                    matches!(state, Some(MoveState::Ended { outcome: o, .. }) if *o == outcome);
                prop_assert!(same, "{id} ended twice");
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever three racing writers do and the platform loses, each operation takes effect at most
    /// once, ended moves stay as they ended, and what a writer reports as written is there.
    #[test]
    fn every_race_has_one_outcome(ops in ops()) {
        let mut store = Store::default();
        let mut writers: Vec<Writer> = (0..3).map(|i| Writer::new(SeededRandom::new(i))).collect();
        writers[0].submit(Change::Apply(document(1)), Millis(u64::MAX));
        prop_assert!(turn(&mut store, &mut writers[0], START, Fate::Fine).is_some());
        let mut now = START;
        let mut plans: Vec<Plan> = Vec::new();
        let mut reported = Vec::new();
        let mut finishes = BTreeMap::new();
        let mut seeds = 0;
        for op in ops {
            now = now + Millis(10);
            let current = store.history.last().cloned().unwrap_or_default();
            let running: Option<MoveId> = current.running_moves().map(|m| m.id()).next();
            let latest = plans.last().map(|p| MoveId(p.id.0));
            let target = running.or(latest).unwrap_or_default();
            match op {
                Op::Apply(w, queue) => {
                    writers[w].submit(Change::Apply(document(queue)), now + Millis(2000));
                }
                Op::Plan => {
                    seeds += 1;
                    plans.extend(plan(&current, seeds));
                }
                Op::Confirm(w) => {
                    if let Some(plan) = plans.get(w.min(plans.len().saturating_sub(1))) {
                        let change = Change::Confirm(Box::new(plan.clone()));
                        writers[w].submit(change, now + Millis(2000));
                    }
                }
                Op::Advance(w, step) => {
                    let epoch = Epoch(w as u64 + 1);
                    writers[w].submit(Change::Advance { target, step, epoch }, now + Millis(2000));
                }
                Op::Finish(w, done) => {
                    let outcome = if done { Outcome::Done } else { Outcome::TakenBack };
                    let epoch = Epoch(w as u64 + 1);
                    let reason = "test".to_owned();
                    let change = Change::Finish { target, outcome, reason, epoch };
                    let job = writers[w].submit(change, now + Millis(2000));
                    finishes.insert((w, job), (target, outcome));
                }
                Op::TakeBack(w) => {
                    if let Some(mut plan) = plans.last().cloned() {
                        plan.intent = Intent::TakeBack { target };
                        let change = Change::Confirm(Box::new(plan));
                        writers[w].submit(change, now + Millis(2000));
                    }
                }
                Op::Turn(w, fate) => {
                    now = now + Millis(400);
                    if let Some(ended) = turn(&mut store, &mut writers[w], now, fate)
                        && let JobOutcome::Written(counter) = ended.outcome
                    {
                        reported.push(counter);
                        if let Some((target, outcome)) = finishes.get(&(w, ended.id)) {
                            let newest = store.history.last().cloned().unwrap_or_default();
                            let state = newest.moves.get(target).map(|m| m.state.clone());
                            let as_asked = matches!(
                                state,
                                Some(MoveState::Ended { outcome: o, .. }) if o == *outcome
                            );
                            prop_assert!(as_asked, "reported {outcome}, but it is {state:?}");
                        }
                    }
                }
                Op::Flush => store.flush(),
            }
        }
        store.flush();
        check_history(&store.history)?;
        let newest = store.history.last().map(|c| c.counter).unwrap_or_default();
        prop_assert!(reported.iter().all(|c| *c <= newest));
    }
}
