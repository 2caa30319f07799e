//! The ledger of attempts at one backend server.
//!
//! An attempt is unseen, running, done or revoked. A sender whose connection went silent asks on a
//! new connection. Asking about an unseen attempt revokes it in the same step, so "not run" is a
//! fact from then on: should the attempt still arrive, it is refused.
//!
//! Memory is bounded because every attempt names the time after which it must not start. A record
//! may be dropped once that time has passed, as [`Ledger::begin`] refuses the attempt anyway; both
//! are measured by this daemon's clock alone. It may be dropped earlier once the sender has the
//! answer, because the sender sends an attempt once and asks only while it has none. Answers are
//! kept for a short time and within a budget of bytes; the oldest go first.
//!
//! Invariant: an attempt begins at most once, and never after it was reported as not run.

use rf_base::{AttemptId, Incarnation, InstanceId, Millis};
use rf_protocol::AttemptHeader;
use rf_protocol::relay::AttemptEnd;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Something whose size counts against a budget.
pub trait ByteSize {
    /// Returns the size in bytes.
    fn bytes(&self) -> usize;
}

impl<T: ByteSize> ByteSize for Arc<T> {
    fn bytes(&self) -> usize {
        T::bytes(self)
    }
}

impl ByteSize for AttemptEnd {
    fn bytes(&self) -> usize {
        match self {
            AttemptEnd::Answered(answer) => answer.body.len(),
            _ => 0,
        }
    }
}

/// Settings of a [`Ledger`].
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// This instance.
    pub instance: InstanceId,
    /// This life of the daemon.
    pub incarnation: Incarnation,
    /// Most records.
    pub capacity: usize,
    /// Most bytes of kept answers.
    pub answer_bytes: usize,
    /// Time for which an answer is kept.
    pub keep_answer: Millis,
}

/// Whether an attempt may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// It is recorded as running.
    Run,
    /// Its time has passed.
    Expired,
    /// It was revoked, or has been seen before.
    Revoked,
    /// It was meant for another daemon or another life of this one.
    WrongIncarnation,
    /// There is no room for its record.
    Full,
}

/// What the ledger knows about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus<A> {
    /// It did not run and will not.
    NotRun,
    /// It is running.
    Running,
    /// It ran; here is its answer.
    Done(A),
    /// It ran, or broke off while it ran; its answer is gone.
    Gone,
    /// Only an earlier life of this daemon would know.
    Unknown,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    Done(Option<A>),
    Revoked,
}

#[derive(Clone, Debug)]
struct Record<A> {
    state: State<A>,
    expires: Millis,
}

/// State of the ledger; `A` is an answer.
#[derive(Clone, Debug)]
pub struct Ledger<A> {
    settings: LedgerSettings,
    records: BTreeMap<AttemptId, Record<A>>,
    due: BTreeSet<(Millis, AttemptId)>,
    running: usize,
    kept: VecDeque<AttemptId>,
    kept_bytes: usize,
}

impl<A: Clone + ByteSize> Ledger<A> {
    /// Makes an empty ledger.
    pub fn new(settings: LedgerSettings) -> Ledger<A> {
        Ledger {
            settings,
            records: BTreeMap::new(),
            due: BTreeSet::new(),
            running: 0,
            kept: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Records an attempt as running, if it may run.
    pub fn begin(&mut self, now: Millis, header: &AttemptHeader) -> BeginResult {
        self.prune(now);
        if !self.is_mine(header) {
            return BeginResult::WrongIncarnation;
        }
        if now >= header.expires {
            return BeginResult::Expired;
        }
        if self.records.contains_key(&header.id) {
            return BeginResult::Revoked;
        }
        if self.records.len() >= self.settings.capacity {
            return BeginResult::Full;
        }
        self.insert(header, State::Running);
        self.running += 1;
        BeginResult::Run
    }

    /// Records the end of an attempt; `None` where there is no answer to keep.
    pub fn finish(&mut self, now: Millis, id: AttemptId, answer: Option<A>) {
        let Some(record) = self.records.get_mut(&id) else {
            debug_assert!(false, "finished attempt {id} is not in the ledger");
            return;
        };
        debug_assert!(matches!(record.state, State::Running));
        if let Some(answer) = &answer {
            self.kept.push_back(id);
            self.kept_bytes += answer.bytes();
        }
        record.state = State::Done(answer);
        let due = record.expires.max(now + self.settings.keep_answer);
        record.expires = due;
        self.running -= 1;
        self.due.insert((due, id));
        self.drop_old_answers();
    }

    /// Drops the record of an attempt whose sender has its answer.
    pub fn acknowledge(&mut self, id: AttemptId) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        if matches!(record.state, State::Done(_)) {
            self.due.remove(&(record.expires, id));
            self.remove(id);
        }
    }

    /// Returns the bytes of kept answers.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn drop_old_answers(&mut self) {
        while self.kept_bytes > self.settings.answer_bytes || self.kept.len() > self.records.len() {
            let Some(id) = self.kept.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            if let State::Done(answer) = &mut record.state {
                let bytes = answer.take().map_or(0, |a| a.bytes());
                self.kept_bytes -= bytes;
            }
        }
    }

    fn remove(&mut self, id: AttemptId) {
        if let Some(Record {
            state: State::Done(Some(answer)),
            ..
        }) = self.records.remove(&id)
        {
            self.kept_bytes -= answer.bytes();
        }
    }

    /// Takes back the record of an attempt that turned out not to have run.
    pub fn revoke(&mut self, id: AttemptId) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if matches!(record.state, State::Running) {
            record.state = State::Revoked;
            self.running -= 1;
            self.due.insert((record.expires, id));
        }
    }

    /// Says what is known about an attempt; an unseen one is revoked in the same step.
    pub fn query(&mut self, now: Millis, header: &AttemptHeader) -> AttemptStatus<A> {
        self.prune(now);
        if !self.is_mine(header) {
            return AttemptStatus::Unknown;
        }
        match self.records.get(&header.id).map(|r| &r.state) {
            Some(State::Running) => AttemptStatus::Running,
            Some(State::Done(Some(answer))) => AttemptStatus::Done(answer.clone()),
            Some(State::Done(None)) => AttemptStatus::Gone,
            Some(State::Revoked) => AttemptStatus::NotRun,
            None if now >= header.expires => AttemptStatus::Unknown,
            None if self.records.len() >= self.settings.capacity => AttemptStatus::Unknown,
            None => {
                self.insert(header, State::Revoked);
                self.due.insert((header.expires, header.id));
                AttemptStatus::NotRun
            }
        }
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_mine(&self, header: &AttemptHeader) -> bool {
        header.target == self.settings.instance && header.incarnation == self.settings.incarnation
    }

    fn insert(&mut self, header: &AttemptHeader, state: State<A>) {
        let record = Record {
            state,
            expires: header.expires,
        };
        self.records.insert(header.id, record);
    }

    fn prune(&mut self, now: Millis) {
        while let Some((due, id)) = self.due.first().copied() {
            if due > now {
                break;
            }
            self.due.pop_first();
            self.remove(id);
        }
    }
}
