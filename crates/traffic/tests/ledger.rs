//! Tests of the attempt ledger, including a comparison with a model under random operations.

use proptest::prelude::*;
use rf_base::{AttemptId, Incarnation, InstanceId, Millis};
use rf_protocol::AttemptHeader;
use rf_traffic::{AttemptStatus, BeginResult, ByteSize, Ledger, LedgerSettings};
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Answer(u64);

impl ByteSize for Answer {
    fn bytes(&self) -> usize {
        100
    }
}

const INSTANCE: InstanceId = InstanceId(7);
const INCARNATION: Incarnation = Incarnation(3);

fn settings() -> LedgerSettings {
    LedgerSettings {
        instance: INSTANCE,
        incarnation: INCARNATION,
        capacity: 8,
        answer_bytes: 300,
        answer_retention: Millis(50),
    }
}

fn header(id: u64, expires: Millis) -> AttemptHeader {
    AttemptHeader {
        id: AttemptId(id),
        target: INSTANCE,
        incarnation: INCARNATION,
        expires,
        fingerprint: 0,
    }
}

#[test]
fn querying_an_unseen_attempt_revokes_it() {
    let mut ledger: Ledger<Answer> = Ledger::new(settings());
    let attempt = header(1, Millis(1000));
    assert_eq!(ledger.query(Millis(0), &attempt), AttemptStatus::NotRun);
    assert_eq!(ledger.begin(Millis(1), &attempt), BeginResult::Revoked);
}

#[test]
fn a_query_returns_the_stored_answer() {
    let mut ledger = Ledger::new(settings());
    let attempt = header(1, Millis(1000));
    assert_eq!(ledger.begin(Millis(0), &attempt), BeginResult::Run);
    assert_eq!(ledger.query(Millis(1), &attempt), AttemptStatus::Running);
    ledger.finish(Millis(2), attempt.id, Some(Answer(5)));
    assert_eq!(
        ledger.query(Millis(3), &attempt),
        AttemptStatus::Done(Answer(5))
    );
}

#[test]
fn attempts_to_an_earlier_incarnation_are_refused_with_unknown_status() {
    let mut ledger: Ledger<Answer> = Ledger::new(settings());
    let attempt = AttemptHeader {
        incarnation: Incarnation(2),
        ..header(1, Millis(1000))
    };
    assert_eq!(ledger.query(Millis(0), &attempt), AttemptStatus::Unknown);
    assert_eq!(
        ledger.begin(Millis(0), &attempt),
        BeginResult::WrongIncarnation
    );
}

#[test]
fn the_oldest_answers_are_dropped_beyond_the_byte_budget() {
    let mut ledger = Ledger::new(settings());
    for id in 0..6 {
        let attempt = header(id, Millis(1000));
        assert_eq!(ledger.begin(Millis(0), &attempt), BeginResult::Run);
        ledger.finish(Millis(0), attempt.id, Some(Answer(id)));
        assert!(ledger.kept_bytes() <= 300);
    }
    assert_eq!(
        ledger.query(Millis(1), &header(0, Millis(1000))),
        AttemptStatus::Gone
    );
    let newest = ledger.query(Millis(1), &header(5, Millis(1000)));
    assert_eq!(newest, AttemptStatus::Done(Answer(5)));
}

#[test]
fn acknowledged_records_free_their_capacity() {
    let mut ledger = Ledger::new(settings());
    for id in 0..100 {
        let attempt = header(id, Millis(1000));
        assert_eq!(ledger.begin(Millis(0), &attempt), BeginResult::Run);
        ledger.finish(Millis(0), attempt.id, Some(Answer(id)));
        ledger.acknowledge(attempt.id);
    }
    assert!(ledger.is_empty());
    assert_eq!(ledger.kept_bytes(), 0);
}

#[derive(Clone, Debug)]
enum Op {
    Begin(u64),
    Finish(u64),
    Revoke(u64),
    Query(u64),
    Wait(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        (0..12u64).prop_map(Op::Begin),
        (0..12u64).prop_map(Op::Finish),
        (0..12u64).prop_map(Op::Revoke),
        (0..12u64).prop_map(Op::Query),
        (1..40u64).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against duplicate execution: an attempt begins at most once and never after
    /// it was reported as not run, and an attempt that began is reported as not run only if it was
    /// revoked before it ran.
    #[test]
    fn reported_status_agrees_with_what_ran(ops in ops()) {
        let mut ledger = Ledger::new(settings());
        let mut now = Millis(0);
        let mut running = BTreeSet::new();
        let mut ran = BTreeSet::new();
        let mut revoked = BTreeSet::new();
        for op in ops {
            match op {
                Op::Begin(id) => {
                    // An attempt has a fixed expiry, so each delivery of it carries the same one.
                    if ledger.begin(now, &header(id, Millis(100 + id * 20))) == BeginResult::Run {
                        prop_assert!(!ran.contains(&id), "attempt {id} began twice");
                        prop_assert!(!revoked.contains(&id), "attempt {id} began after revocation");
                        running.insert(id);
                        ran.insert(id);
                    }
                }
                Op::Finish(id) => {
                    if running.remove(&id) {
                        ledger.finish(now, AttemptId(id), Some(Answer(id)));
                    }
                }
                Op::Revoke(id) => {
                    if running.remove(&id) {
                        ledger.revoke(AttemptId(id));
                        ran.remove(&id);
                        revoked.insert(id);
                    }
                }
                Op::Query(id) => match ledger.query(now, &header(id, Millis(100 + id * 20))) {
                    AttemptStatus::NotRun => {
                        prop_assert!(!ran.contains(&id), "attempt {id} ran but got NotRun");
                        revoked.insert(id);
                    }
                    AttemptStatus::Running => prop_assert!(running.contains(&id)),
                    AttemptStatus::Done(answer) => prop_assert_eq!(answer, Answer(id)),
                    AttemptStatus::Gone | AttemptStatus::Unknown => {}
                },
                Op::Wait(span) => now = now + Millis(span),
            }
            prop_assert_eq!(ledger.running(), running.len());
            prop_assert!(ledger.len() <= 8);
            prop_assert!(ledger.kept_bytes() <= 300);
        }
    }
}
