//! Records of calls with an idempotency key.
//!
//! Before a keyed call runs, the daemon that received it claims the key on two daemons in different
//! availability zones. A claim is granted only if the key has no record yet. When a caller sends
//! one call twice, at most one of the two runs, whichever daemons they reach, as long as one of the
//! two records survives. A record states whether its call is running, is done, with its answer, or
//! has an unknown outcome.
//!
//! Stored answers are limited by a byte budget. Once it is used up, a call that ran is recorded as
//! one that may have run, which is less precise but still correct.
//!
//! Invariant: after [`Claim::Granted`] no other claim of the key is granted until the claim is
//! settled as not run or its record expires.

use crate::ledger::ByteSize;
use rf_base::{AttemptId, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// The key now belongs to the claiming call.
    Granted,
    /// A call with the key is running.
    Running,
    /// A call with the key has completed; carries its answer.
    Done(A),
    /// A call with the key may have run, and its answer is not available.
    Doubtful,
    /// The key was used by a request with another fingerprint.
    Reused,
    /// The table has reached its maximum number of records.
    Full,
}

/// Outcome of a call that claimed its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement<A> {
    /// The call did not run; the key can be claimed again.
    Released,
    /// The call ran; carries the answer to store.
    Done(A),
    /// The call may have run, or its answer is not available.
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
    /// Time at which the record expires.
    due: Millis,
}

/// Claim of a key by a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Hash of the service and the key.
    pub key: u64,
    /// Identifier of the claiming call.
    pub owner: AttemptId,
    /// Fingerprint of the request, to detect a key that is used for two different requests.
    pub fingerprint: u64,
    /// Time after which the call can no longer be running.
    pub until: Millis,
}

/// Table of records by key; `A` is the type of an answer.
#[derive(Clone, Debug)]
pub struct KeyTable<A> {
    records: BTreeMap<u64, Record<A>>,
    /// Expiry times of the records, in order.
    due: BTreeSet<(Millis, u64)>,
    settings: KeySettings,
    /// Size of all stored answers.
    bytes: usize,
}

/// Settings of a [`KeyTable`].
#[derive(Clone, Debug)]
pub struct KeySettings {
    /// Maximum number of records.
    pub capacity: usize,
    /// Maximum size of all stored answers, in bytes.
    pub answer_bytes: usize,
    /// Time for which a record is kept after [`ClaimRequest::until`].
    pub retention: Millis,
}

impl Default for KeySettings {
    fn default() -> Self {
        KeySettings {
            capacity: 65_536,
            answer_bytes: 32 * 1024 * 1024,
            retention: Millis::from_secs(600),
        }
    }
}

impl<A: Clone + ByteSize> KeyTable<A> {
    /// Creates an empty table.
    pub fn new(settings: KeySettings) -> KeyTable<A> {
        KeyTable {
            records: BTreeMap::new(),
            due: BTreeSet::new(),
            settings,
            bytes: 0,
        }
    }

    /// Claims a key; a repeated claim by the same owner is granted again.
    pub fn claim(&mut self, now: Millis, request: &ClaimRequest) -> Claim<A> {
        self.prune(now);
        if let Some(record) = self.records.get(&request.key) {
            if record.owner == request.owner {
                return Claim::Granted;
            }
            return record.claim_result(now, request);
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
            due: request.until + self.settings.retention,
        };
        self.due.insert((record.due, request.key));
        self.records.insert(request.key, record);
        Claim::Granted
    }

    /// Records the outcome of the call that claimed `key`; does nothing if `owner` does not hold
    /// it.
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

    /// Returns the size of all stored answers, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of records, expired ones included until the next claim.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
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
    fn claim_result(&self, now: Millis, request: &ClaimRequest) -> Claim<A> {
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
