//! Tests of writers that race on a fake platform with outages, lost responses and delayed writes.

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

/// A fake platform with a single object.
#[derive(Default)]
struct FakePlatform {
    object: Option<Object>,
    /// Writes whose responses were reported as lost and that take effect only later.
    delayed: Vec<(Vec<u8>, ObjectVersion)>,
    /// Every configuration written, oldest first.
    history: Vec<MeshConfig>,
}

/// How the platform handles a call.
#[derive(Clone, Copy, Debug)]
enum Handling {
    Normal,
    Unavailable,
    /// A write takes effect, but its response is lost.
    LostResponse,
    /// The response is lost, and a write takes effect only later.
    DelayedWrite,
}

impl FakePlatform {
    fn get(&self, handling: Handling) -> Result<Object, StoreError> {
        match handling {
            Handling::Unavailable => Err(unavailable()),
            _ => self.object.clone().ok_or(StoreError::NotFound),
        }
    }

    fn put(
        &mut self,
        value: Vec<u8>,
        expected: ObjectVersion,
        handling: Handling,
    ) -> Result<ObjectVersion, StoreError> {
        match handling {
            Handling::Unavailable => Err(unavailable()),
            Handling::DelayedWrite => {
                self.delayed.push((value, expected));
                Err(lost())
            }
            Handling::LostResponse => {
                self.write(value, expected)?;
                Err(lost())
            }
            Handling::Normal => self.write(value, expected),
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
            .push(serde_json::from_slice(&value).expect("the value is a configuration"));
        self.object = Some(Object { version, value });
        Ok(version)
    }

    fn apply_delayed(&mut self) {
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

/// Makes the next read of the writer and the write that follows it, if any; returns the result of
/// the job if it has ended.
fn run_writer(
    platform: &mut FakePlatform,
    writer: &mut Writer,
    now: Millis,
    handling: Handling,
) -> Option<JobResult> {
    let call = writer.poll(now)?;
    assert_eq!(call, WriterCall::Get);
    let (call, ended) = writer.handle_get(now, platform.get(handling));
    let Some(WriterCall::Put(config, version)) = call else {
        return ended;
    };
    let value = serde_json::to_vec(&config).expect("the configuration is serializable");
    let result = platform.put(value, version, handling);
    writer.handle_put(now, &result)
}

/// Guards against a writer that repeats a write which took effect although its response was lost,
/// and so overwrites what another writer wrote in the meantime.
#[test]
fn a_retry_after_a_lost_response_does_not_undo_a_later_write() {
    let mut platform = FakePlatform::default();
    let mut first = Writer::new(SeededRandom::new(1));
    let mut second = Writer::new(SeededRandom::new(2));
    first.submit(Change::Apply(document(1)), Millis(u64::MAX));
    assert!(run_writer(&mut platform, &mut first, START, Handling::LostResponse).is_none());
    second.submit(Change::Apply(document(2)), Millis(u64::MAX));
    let between = run_writer(&mut platform, &mut second, START, Handling::Normal);
    assert!(between.is_some());
    let later = START + Millis(1000);
    let ended =
        run_writer(&mut platform, &mut first, later, Handling::Normal).expect("the job has ended");
    assert!(matches!(ended.outcome, JobOutcome::Written(_)));
    assert_eq!(platform.history.len(), 2, "each document is written once");
    let queue = |c: &MeshConfig| c.services[&"s".into()].queue;
    assert_eq!(platform.history.last().map(queue), Some(2));
}

fn handling() -> impl Strategy<Value = Handling> {
    prop_oneof![
        6 => Just(Handling::Normal),
        1 => Just(Handling::Unavailable),
        2 => Just(Handling::LostResponse),
        2 => Just(Handling::DelayedWrite),
    ]
}

#[derive(Clone, Debug)]
enum Action {
    Apply(usize, u32),
    Plan,
    Confirm(usize),
    Advance(usize, usize),
    Finish(usize, bool),
    TakeBack(usize),
    RunWriter(usize, Handling),
    ApplyDelayed,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        2 => (0..3usize, 1..9u32).prop_map(|(w, q)| Action::Apply(w, q)),
        2 => Just(Action::Plan),
        2 => (0..3usize).prop_map(Action::Confirm),
        2 => (0..3usize, 1..4usize).prop_map(|(w, s)| Action::Advance(w, s)),
        2 => (0..3usize, any::<bool>()).prop_map(|(w, d)| Action::Finish(w, d)),
        1 => (0..3usize).prop_map(Action::TakeBack),
        12 => (0..3usize, handling()).prop_map(|(w, h)| Action::RunWriter(w, h)),
        1 => Just(Action::ApplyDelayed),
    ];
    prop::collection::vec(action, 1..200)
}

/// Checks that each configuration is a valid successor of the one before it.
fn check_history(history: &[MeshConfig]) -> Result<(), TestCaseError> {
    for pair in history.windows(2) {
        let (old, new) = (&pair[0], &pair[1]);
        prop_assert_eq!(new.counter, old.counter.next());
        prop_assert!(new.epoch >= old.epoch);
        prop_assert!(
            !old.recent.contains(&new.operation),
            "an operation took effect twice"
        );
        prop_assert!(
            new.running_moves().count() <= 1,
            "two moves of the service are running"
        );
        for (id, m) in &new.moves {
            if !old.moves.contains_key(id) {
                let basis = compute_basis(old, &m.plan.service);
                prop_assert_eq!(basis, m.plan.basis, "a stale plan was confirmed");
            }
        }
        for (id, m) in &old.moves {
            if let MoveState::Ended { outcome, .. } = m.state {
                let state = new.moves.get(id).map(|m| &m.state);
                let is_kept =
                    matches!(state, Some(MoveState::Ended { outcome: o, .. }) if *o == outcome);
                prop_assert!(is_kept, "the outcome of {id} was changed or lost");
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

    /// Guards against operations that take effect twice, moves whose outcome changes, and jobs that
    /// are reported as written but are not, while three writers race and the platform loses
    /// responses and delays writes.
    #[test]
    fn racing_writers_keep_operations_and_outcomes_unique(actions in actions()) {
        let mut platform = FakePlatform::default();
        let mut writers: Vec<Writer> = (0..3).map(|i| Writer::new(SeededRandom::new(i))).collect();
        writers[0].submit(Change::Apply(document(1)), Millis(u64::MAX));
        prop_assert!(run_writer(&mut platform, &mut writers[0], START, Handling::Normal).is_some());
        let mut now = START;
        let mut plans: Vec<Plan> = Vec::new();
        let mut reported = Vec::new();
        let mut finishes = BTreeMap::new();
        let mut seeds = 0;
        for action in actions {
            now = now + Millis(10);
            let current = platform.history.last().cloned().unwrap_or_default();
            let running: Option<MoveId> = current.running_moves().map(|m| m.id()).next();
            let latest = plans.last().map(|p| MoveId(p.id.0));
            let target = running.or(latest).unwrap_or_default();
            match action {
                Action::Apply(w, queue) => {
                    writers[w].submit(Change::Apply(document(queue)), now + Millis(2000));
                }
                Action::Plan => {
                    seeds += 1;
                    plans.extend(plan(&current, seeds));
                }
                Action::Confirm(w) => {
                    if let Some(plan) = plans.get(w.min(plans.len().saturating_sub(1))) {
                        let change = Change::Confirm(Box::new(plan.clone()));
                        writers[w].submit(change, now + Millis(2000));
                    }
                }
                Action::Advance(w, step) => {
                    let epoch = Epoch(w as u64 + 1);
                    writers[w].submit(Change::Advance { target, step, epoch }, now + Millis(2000));
                }
                Action::Finish(w, done) => {
                    let outcome = if done { Outcome::Done } else { Outcome::TakenBack };
                    let epoch = Epoch(w as u64 + 1);
                    let reason = "test".to_owned();
                    let change = Change::Finish { target, outcome, reason, epoch };
                    let job = writers[w].submit(change, now + Millis(2000));
                    finishes.insert((w, job), (target, outcome));
                }
                Action::TakeBack(w) => {
                    if let Some(mut plan) = plans.last().cloned() {
                        plan.intent = Intent::TakeBack { target };
                        let change = Change::Confirm(Box::new(plan));
                        writers[w].submit(change, now + Millis(2000));
                    }
                }
                Action::RunWriter(w, handling) => {
                    now = now + Millis(400);
                    if let Some(ended) = run_writer(&mut platform, &mut writers[w], now, handling)
                        && let JobOutcome::Written(counter) = ended.outcome
                    {
                        reported.push(counter);
                        if let Some((target, outcome)) = finishes.get(&(w, ended.id)) {
                            let newest = platform.history.last().cloned().unwrap_or_default();
                            let state = newest.moves.get(target).map(|m| m.state.clone());
                            let is_as_requested = matches!(
                                state,
                                Some(MoveState::Ended { outcome: o, .. }) if o == *outcome
                            );
                            prop_assert!(
                                is_as_requested,
                                "{outcome} was reported as written, but the state is {state:?}"
                            );
                        }
                    }
                }
                Action::ApplyDelayed => platform.apply_delayed(),
            }
        }
        platform.apply_delayed();
        check_history(&platform.history)?;
        let newest = platform.history.last().map(|c| c.counter).unwrap_or_default();
        prop_assert!(reported.iter().all(|c| *c <= newest));
    }
}
