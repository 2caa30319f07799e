//! Records of the attempts sent to one backend server.
//!
//! An attempt is unseen, running, done or revoked. A sender whose connection stopped responding
//! queries the state of its attempt over a new connection. A query for an unseen attempt revokes it
//! in the same step, which makes the reply "not run" final: if the attempt arrives later, it is
//! refused.
//!
//! Memory is bounded because every attempt states the time after which it must not start. A record
//! may be dropped after that time, since [`Ledger::begin`] then refuses the attempt anyway; both
//! checks use only the clock of this daemon. A record may be dropped earlier if the sender has
//! received the answer, because a sender sends an attempt once and queries it only while it has no
//! answer. Answers are stored for a short time and within a byte budget; the oldest are dropped
//! first.
//!
//! Invariant: an attempt begins at most once, and never after it was reported as not run.

use rf_base::{AttemptId, Incarnation, InstanceId, Millis};
use rf_protocol::AttemptHeader;
use rf_protocol::relay::AttemptEnd;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Type whose values count against a byte budget.
pub trait ByteSize {
    /// Returns the number of bytes to count.
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
    /// Instance of this daemon; attempts to other instances are refused.
    pub instance: InstanceId,
    /// Incarnation of this daemon; attempts to other incarnations are refused.
    pub incarnation: Incarnation,
    /// Maximum number of records.
    pub capacity: usize,
    /// Maximum size of all stored answers, in bytes.
    pub answer_bytes: usize,
    /// Minimum time for which the record of a finished attempt is kept, unless the sender
    /// acknowledges its answer earlier.
    pub answer_retention: Millis,
}

/// Result of [`Ledger::begin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The attempt may run and is recorded as running.
    Run,
    /// The time by which the attempt had to start has passed.
    Expired,
    /// The attempt was revoked, or is already recorded.
    Revoked,
    /// The attempt is addressed to another daemon or another incarnation of this one.
    WrongIncarnation,
    /// The ledger has reached its maximum number of records.
    Full,
}

/// Result of [`Ledger::query`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus<A> {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt ran; carries its answer.
    Done(A),
    /// The attempt ran at least in part, and its answer is not available.
    Gone,
    /// The ledger cannot tell whether the attempt ran: only an earlier incarnation of this daemon
    /// may know, the attempt has expired, or the ledger is full.
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

/// Ledger of attempts; `A` is the type of an answer.
#[derive(Clone, Debug)]
pub struct Ledger<A> {
    settings: LedgerSettings,
    records: BTreeMap<AttemptId, Record<A>>,
    /// Expiry times of the records of attempts that are not running, in order.
    due: BTreeSet<(Millis, AttemptId)>,
    running: usize,
    /// Attempts whose answers were stored, oldest first.
    kept: VecDeque<AttemptId>,
    kept_bytes: usize,
}

impl<A: Clone + ByteSize> Ledger<A> {
    /// Creates an empty ledger.
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

    /// Checks whether an attempt may run, and records it as running if so.
    pub fn begin(&mut self, now: Millis, header: &AttemptHeader) -> BeginResult {
        self.prune(now);
        if !self.is_addressed_here(header) {
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

    /// Records the end of an attempt, with its answer unless there is none to store.
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
        let due = record.expires.max(now + self.settings.answer_retention);
        record.expires = due;
        self.running -= 1;
        self.due.insert((due, id));
        self.drop_old_answers();
    }

    /// Drops the record of a finished attempt whose sender has received the answer.
    pub fn acknowledge(&mut self, id: AttemptId) {
        let Some(record) = self.records.get(&id) else {
            return;
        };
        if matches!(record.state, State::Done(_)) {
            self.due.remove(&(record.expires, id));
            self.remove(id);
        }
    }

    /// Returns the size of all stored answers, in bytes.
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

    /// Marks a running attempt as revoked, because it turned out not to have run.
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

    /// Returns the status of an attempt; an unseen one is revoked in the same step.
    pub fn query(&mut self, now: Millis, header: &AttemptHeader) -> AttemptStatus<A> {
        self.prune(now);
        if !self.is_addressed_here(header) {
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

    /// Returns the number of records, expired ones included until the next begin or query.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the ledger has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_addressed_here(&self, header: &AttemptHeader) -> bool {
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
