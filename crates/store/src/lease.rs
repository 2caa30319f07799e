//! Leases stored as platform objects.
//!
//! A lease is an object that names its holder and an epoch. A contender takes over a lease only
//! after it has observed the same object version for the whole term plus the clock margin, measured
//! by its own clock; clocks of different processes are never compared. The holder's term, less the
//! margin, starts when it *sent* the renewal that succeeded, so its term ends before anyone else
//! can take over. A holder that was paused finds its term expired before it acts. An action that
//! was already under way when the term expired is fenced by the epoch, which is part of every
//! object written under the lease.
//!
//! Invariant: if [`Lease::held_epoch`] returns an epoch for the current time, no other process can
//! have taken over the lease.

use crate::store::{Object, ObjectVersion, StoreError};
use rf_base::{Epoch, Incarnation, InstanceId, Millis, OperationId, SeededRandom};
use serde::{Deserialize, Serialize};

/// Content of a lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Instance that wrote the record, which holds the lease unless it was released.
    pub holder: InstanceId,
    /// Incarnation of the holder: a restarted process does not resume the lease of the former one.
    pub incarnation: Incarnation,
    /// Fencing token, which increases each time the lease is acquired.
    pub epoch: Epoch,
    /// Unique id of the write.
    pub operation: OperationId,
    /// Whether the holder released the lease, so that others can acquire it without waiting.
    pub released: bool,
}

/// Identity of a lease and of this process, and the times of the lease.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// Key of the lease object.
    pub key: String,
    /// Time after which a lease that is not renewed expires.
    pub term: Millis,
    /// Maximum difference that two clocks can accumulate during a term.
    pub clock_margin: Millis,
    /// Instance of this process.
    pub holder: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
}

/// A platform call that a lease requests.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseCall {
    /// Reads the lease object.
    Get,
    /// Writes the lease object if it still has the given version.
    Put(LeaseRecord, ObjectVersion),
}

/// State of a lease as observed by one process.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    /// Newest version of the object; `None` if it has to be read.
    observed: Option<Observed>,
    /// Term of this process; may have expired.
    held: Option<Held>,
    /// Call whose result is outstanding.
    pending: Option<Pending>,
    /// Earliest time of the next call.
    next_call_time: Millis,
    random: SeededRandom,
}

#[derive(Clone, Debug)]
struct Observed {
    version: ObjectVersion,
    record: Option<LeaseRecord>,
    /// Time at which this version was first observed.
    since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: Epoch,
    until: Millis,
}

#[derive(Clone, Debug)]
struct Pending {
    sent: Millis,
    put: Option<LeaseRecord>,
}

impl Lease {
    /// Creates a lease whose object has not been read yet.
    pub fn new(settings: LeaseSettings, random: SeededRandom) -> Lease {
        Lease {
            settings,
            observed: None,
            held: None,
            pending: None,
            next_call_time: Millis::ZERO,
            random,
        }
    }

    /// Returns the key of the lease object.
    pub fn key(&self) -> &str {
        &self.settings.key
    }

    /// Returns the epoch of the lease if this process holds it at `now`.
    pub fn held_epoch(&self, now: Millis) -> Option<Epoch> {
        self.held.filter(|h| now < h.until).map(|h| h.epoch)
    }

    /// Returns the next call to make, if one is due at `now`. A process that does not hold the
    /// lease tries to acquire it only if `is_candidate` is set.
    pub fn poll(&mut self, now: Millis, is_candidate: bool) -> Option<LeaseCall> {
        if self.pending.is_some() || now < self.next_call_time {
            return None;
        }
        if !is_candidate && self.held_epoch(now).is_none() {
            self.observed = None;
            return None;
        }
        let call = self.next_call(now);
        let put = match &call {
            LeaseCall::Get => None,
            LeaseCall::Put(record, _) => Some(record.clone()),
        };
        self.pending = Some(Pending { sent: now, put });
        Some(call)
    }

    fn next_call(&mut self, now: Millis) -> LeaseCall {
        let Some(observed) = &self.observed else {
            return LeaseCall::Get;
        };
        let version = observed.version;
        let epoch = match &observed.record {
            None => Epoch(1),
            Some(record) if self.is_mine(record) && self.held_epoch(now).is_some() => record.epoch,
            Some(record) if record.released => Epoch(record.epoch.0 + 1),
            Some(record) if self.is_expired(observed, now) => Epoch(record.epoch.0 + 1),
            Some(_) => return LeaseCall::Get,
        };
        let operation = OperationId(self.random.bits());
        LeaseCall::Put(self.record(epoch, operation, false), version)
    }

    fn record(&self, epoch: Epoch, operation: OperationId, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.settings.holder,
            incarnation: self.settings.incarnation,
            epoch,
            operation,
            released,
        }
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder == self.settings.holder && record.incarnation == self.settings.incarnation
    }

    fn is_expired(&self, observed: &Observed, now: Millis) -> bool {
        now.since(observed.since) >= self.settings.term + self.settings.clock_margin
    }

    /// Handles the result of [`LeaseCall::Get`].
    pub fn handle_get(&mut self, now: Millis, result: &Result<Object, StoreError>) {
        self.pending = None;
        match result {
            Ok(object) => self.handle_object(now, object),
            Err(StoreError::NotFound) => self.set_observed(now, ObjectVersion(0), None),
            Err(_) => self.back_off(now),
        }
    }

    /// Handles the result of [`LeaseCall::Put`].
    pub fn handle_put(&mut self, now: Millis, result: &Result<ObjectVersion, StoreError>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match (result, pending.put) {
            (Ok(version), Some(record)) => {
                let epoch = record.epoch;
                self.set_observed(now, *version, Some(record));
                self.start_term(epoch, pending.sent);
                self.next_call_time = now + Millis(self.settings.term.0 / 3);
            }
            (Err(StoreError::Conflict), _) => {
                self.held = None;
                self.observed = None;
                self.next_call_time = now;
            }
            _ => {
                // The write may have taken effect, which only reading the object back can tell.
                self.observed = None;
                self.back_off(now);
            }
        }
    }

    fn handle_object(&mut self, now: Millis, object: &Object) {
        let record: Option<LeaseRecord> = serde_json::from_slice(&object.value).ok();
        self.set_observed(now, object.version, record);
        let current = self.observed.as_ref().and_then(|s| s.record.as_ref());
        let is_mine = current.is_some_and(|r| self.is_mine(r) && !r.released);
        self.next_call_time = match is_mine && self.held_epoch(now).is_some() {
            true => now,
            false => {
                self.held = None;
                now + self.random.jitter(Millis(self.settings.term.0 / 2))
            }
        };
    }

    fn set_observed(&mut self, now: Millis, version: ObjectVersion, record: Option<LeaseRecord>) {
        if self.observed.as_ref().is_none_or(|s| s.version != version) {
            self.observed = Some(Observed {
                version,
                record,
                since: now,
            });
        }
    }

    fn start_term(&mut self, epoch: Epoch, sent: Millis) {
        let until = sent + self.settings.term - self.settings.clock_margin;
        self.held = Some(Held { epoch, until });
    }

    fn back_off(&mut self, now: Millis) {
        self.next_call_time = now + self.random.jitter(Millis(self.settings.term.0 / 4));
    }

    /// Releases the lease; returns the write that records the release, if the lease was held.
    pub fn release(&mut self, now: Millis) -> Option<LeaseCall> {
        let epoch = self.held_epoch(now)?;
        let version = self.observed.as_ref()?.version;
        self.held = None;
        self.pending = None;
        let operation = OperationId(self.random.bits());
        Some(LeaseCall::Put(self.record(epoch, operation, true), version))
    }
}
