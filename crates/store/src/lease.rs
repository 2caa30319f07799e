//! Leases kept as platform objects.
//!
//! A lease is one object with its holder and an epoch. A contender takes a lease over only after
//! it has seen the same object version for the whole term plus the clock margin, by its own clock;
//! clocks of different processes are never compared. The holder counts its term from the moment it
//! *sent* the renewal that succeeded, less the margin, so it stops before anyone can take over.
//! A holder that was paused finds its term passed before it acts. What still slips through is
//! stopped by the epoch, which every object written under the lease carries.
//!
//! Invariant: `is_held` at `now` implies that no other process can have taken the lease over.

use crate::store::{Object, ObjectVersion, StoreError};
use rf_base::{Epoch, Incarnation, InstanceId, Millis, OperationId, SeededRandom};
use serde::{Deserialize, Serialize};

/// Content of a lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Life of the holder.
    pub incarnation: Incarnation,
    /// Fencing token.
    pub epoch: Epoch,
    /// Operation of the last write.
    pub operation: OperationId,
    /// Whether the holder gave the lease up.
    pub released: bool,
}

/// Settings of a lease.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// Key of the object.
    pub key: String,
    /// Time after which a lease that is not renewed lapses.
    pub term: Millis,
    /// Margin for the difference in speed between two clocks.
    pub clock_margin: Millis,
    /// This instance.
    pub holder: InstanceId,
    /// This life of the instance.
    pub incarnation: Incarnation,
}

/// A call that the lease wants made.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseCall {
    /// Read the object.
    Get,
    /// Write the object on a condition.
    Put(LeaseRecord, ObjectVersion),
}

/// State of one lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: LeaseSettings,
    seen: Option<Seen>,
    held: Option<Held>,
    pending: Option<Pending>,
    next: Millis,
    random: SeededRandom,
}

#[derive(Clone, Debug)]
struct Seen {
    version: ObjectVersion,
    record: Option<LeaseRecord>,
    first: Millis,
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
    /// Makes a lease that nobody is known to hold.
    pub fn new(settings: LeaseSettings, random: SeededRandom) -> Lease {
        Lease {
            settings,
            seen: None,
            held: None,
            pending: None,
            next: Millis::ZERO,
            random,
        }
    }

    /// Returns the key of the object.
    pub fn key(&self) -> &str {
        &self.settings.key
    }

    /// Returns the epoch under which this process holds the lease at `now`.
    pub fn held_epoch(&self, now: Millis) -> Option<Epoch> {
        self.held.filter(|h| now < h.until).map(|h| h.epoch)
    }

    /// Returns the next call to make, if one is due; `is_candidate` says whether to contend.
    pub fn poll(&mut self, now: Millis, is_candidate: bool) -> Option<LeaseCall> {
        if self.pending.is_some() || now < self.next {
            return None;
        }
        if !is_candidate && self.held_epoch(now).is_none() {
            self.seen = None;
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
        let Some(seen) = &self.seen else {
            return LeaseCall::Get;
        };
        let version = seen.version;
        let epoch = match &seen.record {
            None => Epoch(1),
            Some(record) if self.is_mine(record) && self.held_epoch(now).is_some() => record.epoch,
            Some(record) if record.released => Epoch(record.epoch.0 + 1),
            Some(record) if self.is_lapsed(seen, now) => Epoch(record.epoch.0 + 1),
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

    fn is_lapsed(&self, seen: &Seen, now: Millis) -> bool {
        now.since(seen.first) >= self.settings.term + self.settings.clock_margin
    }

    /// Takes in the answer to [`LeaseCall::Get`].
    pub fn handle_get(&mut self, now: Millis, result: &Result<Object, StoreError>) {
        self.pending = None;
        match result {
            Ok(object) => self.observe(now, object),
            Err(StoreError::NotFound) => self.see(now, ObjectVersion(0), None),
            Err(_) => self.back_off(now),
        }
    }

    /// Takes in the answer to [`LeaseCall::Put`].
    pub fn handle_put(&mut self, now: Millis, result: &Result<ObjectVersion, StoreError>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match (result, pending.put) {
            (Ok(version), Some(record)) => {
                let epoch = record.epoch;
                self.see(now, *version, Some(record));
                self.hold(epoch, pending.sent);
                self.next = now + Millis(self.settings.term.0 / 3);
            }
            (Err(StoreError::Conflict), _) => {
                self.held = None;
                self.seen = None;
                self.next = now;
            }
            _ => {
                // The write may have taken effect: only reading back tells.
                self.seen = None;
                self.back_off(now);
            }
        }
    }

    fn observe(&mut self, now: Millis, object: &Object) {
        let record: Option<LeaseRecord> = serde_json::from_slice(&object.value).ok();
        self.see(now, object.version, record);
        let mine = self.seen.as_ref().and_then(|s| s.record.as_ref());
        let is_mine = mine.is_some_and(|r| self.is_mine(r) && !r.released);
        self.next = match is_mine && self.held_epoch(now).is_some() {
            true => now,
            false => {
                self.held = None;
                now + self.random.jitter(Millis(self.settings.term.0 / 2))
            }
        };
    }

    fn see(&mut self, now: Millis, version: ObjectVersion, record: Option<LeaseRecord>) {
        if self.seen.as_ref().is_none_or(|s| s.version != version) {
            self.seen = Some(Seen {
                version,
                record,
                first: now,
            });
        }
    }

    fn hold(&mut self, epoch: Epoch, sent: Millis) {
        let until = sent + self.settings.term - self.settings.clock_margin;
        self.held = Some(Held { epoch, until });
    }

    fn back_off(&mut self, now: Millis) {
        self.next = now + self.random.jitter(Millis(self.settings.term.0 / 4));
    }

    /// Gives the lease up; returns the write that tells the others, where it was held.
    pub fn release(&mut self, now: Millis) -> Option<LeaseCall> {
        let epoch = self.held_epoch(now)?;
        let version = self.seen.as_ref()?.version;
        self.held = None;
        self.pending = None;
        let operation = OperationId(self.random.bits());
        Some(LeaseCall::Put(self.record(epoch, operation, true), version))
    }
}
