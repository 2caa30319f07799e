//! The ledger against a model, under random operations.

use proptest::prelude::*;
use rf_base::{AttemptId, Incarnation, InstanceId, Millis};
use rf_protocol::AttemptHeader;
use rf_traffic::{AttemptStatus, BeginResult, ByteSize, Ledger, LedgerSettings};
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Text(u64);

impl ByteSize for Text {
    fn bytes(&self) -> usize {
        100
    }
}

const ME: InstanceId = InstanceId(7);
const LIFE: Incarnation = Incarnation(3);

fn settings() -> LedgerSettings {
    LedgerSettings {
        instance: ME,
        incarnation: LIFE,
        capacity: 8,
        answer_bytes: 300,
        answer_retention: Millis(50),
    }
}

fn header(id: u64, expires: Millis) -> AttemptHeader {
    AttemptHeader {
        id: AttemptId(id),
        target: ME,
        incarnation: LIFE,
        expires,
        fingerprint: 0,
    }
}

#[test]
fn asking_about_an_unseen_attempt_revokes_it() {
    let mut ledger: Ledger<Text> = Ledger::new(settings());
    let attempt = header(1, Millis(1000));
    assert_eq!(ledger.query(Millis(0), &attempt), AttemptStatus::NotRun);
    assert_eq!(ledger.begin(Millis(1), &attempt), BeginResult::Revoked);
}

#[test]
fn an_answer_is_recovered() {
    let mut ledger = Ledger::new(settings());
    let attempt = header(1, Millis(1000));
    assert_eq!(ledger.begin(Millis(0), &attempt), BeginResult::Run);
    assert_eq!(ledger.query(Millis(1), &attempt), AttemptStatus::Running);
    ledger.finish(Millis(2), attempt.id, Some(Text(5)));
    assert_eq!(
        ledger.query(Millis(3), &attempt),
        AttemptStatus::Done(Text(5))
    );
}

#[test]
fn another_life_knows_nothing() {
    let mut ledger: Ledger<Text> = Ledger::new(settings());
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
fn answers_stay_within_their_bytes() {
    let mut ledger = Ledger::new(settings());
    for id in 0..6 {
        let attempt = header(id, Millis(1000));
        assert_eq!(ledger.begin(Millis(0), &attempt), BeginResult::Run);
        ledger.finish(Millis(0), attempt.id, Some(Text(id)));
        assert!(ledger.kept_bytes() <= 300);
    }
    assert_eq!(
        ledger.query(Millis(1), &header(0, Millis(1000))),
        AttemptStatus::Gone
    );
    let newest = ledger.query(Millis(1), &header(5, Millis(1000)));
    assert_eq!(newest, AttemptStatus::Done(Text(5)));
}

#[test]
fn settled_records_make_room() {
    let mut ledger = Ledger::new(settings());
    for id in 0..100 {
        let attempt = header(id, Millis(1000));
        assert_eq!(ledger.begin(Millis(0), &attempt), BeginResult::Run);
        ledger.finish(Millis(0), attempt.id, Some(Text(id)));
        ledger.acknowledge(attempt.id);
    }
    assert!(ledger.is_empty());
    assert_eq!(ledger.kept_bytes(), 0);
}

#[derive(Clone, Debug)]
enum Op {
    BeginResult(u64),
    Finish(u64),
    Revoke(u64),
    Ask(u64),
    Wait(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        (0..12u64).prop_map(Op::BeginResult),
        (0..12u64).prop_map(Op::Finish),
        (0..12u64).prop_map(Op::Revoke),
        (0..12u64).prop_map(Op::Ask),
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

    /// Each attempt begins at most once, never after it was reported as not run, and an attempt
    /// that began is never reported as not run unless it was revoked before it ran.
    #[test]
    fn reports_agree_with_what_ran(ops in ops()) {
        let mut ledger = Ledger::new(settings());
        let mut now = Millis(0);
        let mut running = BTreeSet::new();
        let mut ran = BTreeSet::new();
        let mut denied = BTreeSet::new();
        for op in ops {
            match op {
                Op::BeginResult(id) => {
                    // The expiry is part of the attempt, so it is the same each time it arrives.
                    if ledger.begin(now, &header(id, Millis(100 + id * 20))) == BeginResult::Run {
                        prop_assert!(!ran.contains(&id), "attempt {id} began twice");
                        prop_assert!(!denied.contains(&id), "attempt {id} began after denial");
                        running.insert(id);
                        ran.insert(id);
                    }
                }
                Op::Finish(id) => {
                    if running.remove(&id) {
                        ledger.finish(now, AttemptId(id), Some(Text(id)));
                    }
                }
                Op::Revoke(id) => {
                    if running.remove(&id) {
                        ledger.revoke(AttemptId(id));
                        ran.remove(&id);
                        denied.insert(id);
                    }
                }
                Op::Ask(id) => match ledger.query(now, &header(id, Millis(100 + id * 20))) {
                    AttemptStatus::NotRun => {
                        prop_assert!(!ran.contains(&id), "attempt {id} ran but was denied");
                        denied.insert(id);
                    }
                    AttemptStatus::Running => prop_assert!(running.contains(&id)),
                    AttemptStatus::Done(answer) => prop_assert_eq!(answer, Text(id)),
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
