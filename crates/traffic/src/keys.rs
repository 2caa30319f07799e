//! Records of calls with an idempotency key.
//!
//! Before a keyed call runs, the daemon that took it in claims the key on two daemons in different
//! availability zones. A claim is granted only where no record stands, so of two sends of one call
//! at most one runs, whichever daemons they reach, as long as one of the two records survives. A
//! record says whether its call runs, is done with its answer, or has an unknown end.
//!
//! Kept answers have a budget of bytes; where it is used up, a call that ran is recorded as one that
//! may have run, which is less than is known but never wrong.
//!
//! Invariant: after [`Claim::Granted`] no other claim of the key is granted until it is settled as
//! not run, or forgotten after its time.

use crate::ledger::ByteSize;
use rf_base::{AttemptId, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// The key is claimed for the asker.
    Granted,
    /// A call with the key is running.
    Running,
    /// A call with the key is done; here is its answer.
    Done(A),
    /// A call with the key may have run; its answer is not known.
    Doubtful,
    /// The key belongs to a request with another fingerprint.
    Reused,
    /// There is no room for the record.
    Full,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement<A> {
    /// It did not run; the key is free again.
    Released,
    /// It ran; the answer is kept.
    Done(A),
    /// It may have run.
    Doubtful,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running { until: Millis },
    Done(A),
    Doubtful,
}

#[derive(Clone, Debug)]
struct Record<A> {
    owner: AttemptId,
    fingerprint: u64,
    state: State<A>,
    due: Millis,
}

/// What a claim is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Hash of the service and the key.
    pub key: u64,
    /// Call that claims.
    pub owner: AttemptId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time after which the call cannot be running any more.
    pub until: Millis,
}

/// Records by key; `A` is an answer.
#[derive(Clone, Debug)]
pub struct KeyTable<A> {
    records: BTreeMap<u64, Record<A>>,
    due: BTreeSet<(Millis, u64)>,
    settings: KeySettings,
    bytes: usize,
}

/// Settings of a [`KeyTable`].
#[derive(Clone, Debug)]
pub struct KeySettings {
    /// Most records.
    pub capacity: usize,
    /// Most bytes of kept answers.
    pub answer_bytes: usize,
    /// Time for which a record is kept after its call must have ended.
    pub keep: Millis,
}

impl Default for KeySettings {
    fn default() -> Self {
        KeySettings {
            capacity: 65_536,
            answer_bytes: 32 * 1024 * 1024,
            keep: Millis::from_secs(600),
        }
    }
}

impl<A: Clone + ByteSize> KeyTable<A> {
    /// Makes an empty table.
    pub fn new(settings: KeySettings) -> KeyTable<A> {
        KeyTable {
            records: BTreeMap::new(),
            due: BTreeSet::new(),
            settings,
            bytes: 0,
        }
    }

    /// Claims a key.
    pub fn claim(&mut self, now: Millis, request: &ClaimRequest) -> Claim<A> {
        self.prune(now);
        if let Some(record) = self.records.get(&request.key) {
            if record.owner == request.owner {
                return Claim::Granted;
            }
            return record.answer(now, request);
        }
        if self.records.len() >= self.settings.capacity {
            return Claim::Full;
        }
        let record = Record {
            owner: request.owner,
            fingerprint: request.fingerprint,
            state: State::Running {
                until: request.until,
            },
            due: request.until + self.settings.keep,
        };
        self.due.insert((record.due, request.key));
        self.records.insert(request.key, record);
        Claim::Granted
    }

    /// Settles a claim; one that `owner` does not hold is left alone.
    pub fn settle(&mut self, key: u64, owner: AttemptId, settlement: Settlement<A>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if record.owner != owner {
            return;
        }
        match settlement {
            Settlement::Released => {
                let due = record.due;
                self.records.remove(&key);
                self.due.remove(&(due, key));
            }
            Settlement::Done(answer) => {
                let bytes = answer.bytes();
                if matches!(record.state, State::Done(_)) {
                    return;
                }
                record.state = match self.bytes + bytes > self.settings.answer_bytes {
                    true => State::Doubtful,
                    false => {
                        self.bytes += bytes;
                        State::Done(answer)
                    }
                };
            }
            Settlement::Doubtful => record.state = State::Doubtful,
        }
    }

    /// Returns the bytes of kept answers.
    pub fn kept_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn prune(&mut self, now: Millis) {
        while let Some((due, key)) = self.due.first().copied() {
            if due > now {
                break;
            }
            self.due.pop_first();
            if let Some(Record {
                state: State::Done(answer),
                ..
            }) = self.records.remove(&key)
            {
                self.bytes -= answer.bytes();
            }
        }
    }
}

impl<A: Clone> Record<A> {
    fn answer(&self, now: Millis, request: &ClaimRequest) -> Claim<A> {
        if self.fingerprint != request.fingerprint {
            return Claim::Reused;
        }
        match &self.state {
            State::Running { until } if now < *until => Claim::Running,
            State::Running { .. } | State::Doubtful => Claim::Doubtful,
            State::Done(answer) => Claim::Done(answer.clone()),
        }
    }
}
