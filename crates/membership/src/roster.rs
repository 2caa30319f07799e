//! Roster of the mesh: the newest description of each daemon, alerts against it, and digests.
//!
//! Descriptions and alerts can be merged in any order and any number of times. A description is
//! replaced only by one with a higher `(incarnation, seq)`, and an alert applies only to the exact
//! description that it names. Outdated gossip therefore cannot make a live daemon count as
//! unreachable, and a daemon refutes an alert by issuing a new description of itself.
//!
//! A daemon that is removed after a long time out of reach leaves a tombstone with the version of
//! its last description, so that gossip from daemons that still list it does not add it again.
//!
//! The digest is the exclusive or of the hashes of all descriptions and alerts. It is kept in
//! buckets by daemon id, so that two rosters that differ only exchange the buckets that differ.

use rf_base::ids::hash_key;
use rf_base::{Incarnation, InstanceId, Millis, ZoneName};
use rf_protocol::{Alert, Departure, Member};
use std::collections::BTreeMap;
use tracing::info;

/// Number of buckets of the digest.
pub const BUCKETS: usize = 64;
/// Number of observers whose alerts make a daemon count as unreachable at once.
const ALERT_QUORUM: usize = 2;
/// Age at which the alert of a single observer suffices.
const SINGLE_ALERT_AGE: Millis = Millis(5000);
/// Time for which the tombstone of a forgotten daemon is kept.
const TOMBSTONE_LIFETIME: Millis = Millis::from_secs(3600);

/// Whether a daemon is believed to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Too few alerts are known against the current description.
    Reachable,
    /// Observers reported that the daemon does not answer, or it is not known at all.
    Unreachable,
}

/// Daemon with the alerts against its current description.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// Time at which the alert of each observer was received.
    alerts: BTreeMap<InstanceId, Millis>,
    unreachable_since: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    version: (Incarnation, u64),
    at: Millis,
}

/// Descriptions, alerts and tombstones of the daemons of the mesh.
#[derive(Clone, Debug)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    tombstones: BTreeMap<InstanceId, Tombstone>,
    /// Last departure from the backend server beside each daemon. A daemon forgets its own when it
    /// restarts.
    departures: BTreeMap<InstanceId, Departure>,
    buckets: [u64; BUCKETS],
    revision: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            departures: BTreeMap::new(),
            buckets: [0; BUCKETS],
            revision: 0,
        }
    }
}

impl Roster {
    /// Returns a number that increases with every change of a description or of reachability.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the description of a daemon, if it is known.
    pub fn get(&self, id: InstanceId) -> Option<&Member> {
        self.entries.get(&id).map(|e| &e.member)
    }

    /// Returns the last known departure from the backend server beside a daemon.
    pub fn departed(&self, id: InstanceId) -> Option<Departure> {
        self.departures.get(&id).copied()
    }

    /// Remembers a departure from the backend server beside a daemon, unless a later one is known.
    pub fn remember_departure(&mut self, id: InstanceId, departure: Departure) {
        let known = self.departed(id);
        if known.is_some_and(|k| k == departure || k.at > departure.at) {
            return;
        }
        info!(event = "departure.known", instance = %id, process = departure.process);
        self.departures.insert(id, departure);
        self.revision += 1;
    }

    /// Returns all descriptions, unreachable daemons included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|e| &e.member)
    }

    /// Returns the descriptions of reachable daemons.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.entries
            .values()
            .filter(|e| e.unreachable_since.is_none())
            .map(|e| &e.member)
    }

    /// Returns the ids of unreachable daemons.
    pub fn unreachable(&self) -> impl Iterator<Item = InstanceId> {
        self.entries
            .iter()
            .filter(|(_, e)| e.unreachable_since.is_some())
            .map(|(id, _)| *id)
    }

    /// Returns whether a daemon is believed to answer; unknown daemons are unreachable.
    pub fn reachability(&self, id: InstanceId) -> Reachability {
        match self.entries.get(&id) {
            Some(entry) if entry.unreachable_since.is_none() => Reachability::Reachable,
            _ => Reachability::Unreachable,
        }
    }

    /// Returns the number of known daemons, unreachable ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether a daemon is in `zone` or its zone is not known.
    pub fn may_be_in(&self, id: InstanceId, zone: &ZoneName) -> bool {
        self.get(id).is_none_or(|m| m.zone == *zone)
    }

    /// Returns whether no daemon is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the digest of the whole roster.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, b| sum ^ b)
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Adds a description and returns whether it is newer than the known one.
    pub fn merge(&mut self, member: &Member) -> bool {
        if let Some(tombstone) = self.tombstones.get(&member.id) {
            if member.version() <= tombstone.version {
                return false;
            }
            self.tombstones.remove(&member.id);
        }
        if let Some(old) = self.entries.get(&member.id)
            && member.version() <= old.member.version()
        {
            return false;
        }
        if let Some(departure) = member.departed {
            self.remember_departure(member.id, departure);
        }
        self.remove_entry(member.id);
        self.toggle_hash(member.id, hash_member(member));
        let entry = Entry {
            member: member.clone(),
            alerts: BTreeMap::new(),
            unreachable_since: None,
        };
        self.entries.insert(member.id, entry);
        self.revision += 1;
        true
    }

    /// Adds an alert and returns whether it is new and applies to the current description.
    pub fn merge_alert(&mut self, now: Millis, alert: &Alert) -> bool {
        let Some(entry) = self.entries.get_mut(&alert.subject) else {
            return false;
        };
        if entry.member.version() != (alert.incarnation, alert.seq) {
            return false;
        }
        if entry.alerts.contains_key(&alert.observer) {
            return false;
        }
        entry.alerts.insert(alert.observer, now);
        self.toggle_hash(alert.subject, hash_alert(alert));
        self.update_reachability(now, alert.subject);
        true
    }

    /// Returns an alert by `observer` against the current description of `subject`.
    pub fn make_alert(&self, subject: InstanceId, observer: InstanceId) -> Option<Alert> {
        let member = self.get(subject)?;
        Some(Alert {
            subject,
            incarnation: member.incarnation,
            seq: member.seq,
            observer,
        })
    }

    /// Returns the alerts against the current description of a daemon.
    ///
    /// The tombstone of a forgotten daemon is returned as an alert by `observer`, so that a daemon
    /// that is alive after all issues a new description.
    pub fn alerts(&self, subject: InstanceId, observer: InstanceId) -> Vec<Alert> {
        if let Some(entry) = self.entries.get(&subject) {
            return entry.alerts.keys().map(|o| entry.alert(*o)).collect();
        }
        let Some(tombstone) = self.tombstones.get(&subject) else {
            return Vec::new();
        };
        let (incarnation, seq) = tombstone.version;
        vec![Alert {
            subject,
            incarnation,
            seq,
            observer,
        }]
    }

    /// Returns the daemons in buckets whose digest differs from that in `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<InstanceId> {
        let differs = |id: &InstanceId| {
            let bucket = bucket_index(*id);
            theirs.get(bucket) != Some(&self.buckets[bucket])
        };
        self.entries.keys().copied().filter(differs).collect()
    }

    /// Advances the time: applies single alerts that have become old enough, removes daemons that
    /// have been unreachable for `forget`, and drops old tombstones.
    ///
    /// Daemons in a zone that is mostly unreachable are removed after `forget_zone` instead.
    pub fn advance(&mut self, now: Millis, forget: Millis, forget_zone: Millis) {
        let alerted: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(_, e)| !e.alerts.is_empty() && e.unreachable_since.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in alerted {
            self.update_reachability(now, id);
        }
        self.forget(now, forget, forget_zone);
        self.tombstones
            .retain(|_, t| now.since(t.at) < TOMBSTONE_LIFETIME);
        let entries = &self.entries;
        self.departures
            .retain(|id, d| entries.contains_key(id) || now.since(d.at) < TOMBSTONE_LIFETIME);
    }

    fn forget(&mut self, now: Millis, forget: Millis, forget_zone: Millis) {
        let expired: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|e| {
                let Some(since) = e.unreachable_since else {
                    return false;
                };
                let limit = match self.is_zone_unreachable(&e.member.zone) {
                    true => forget_zone,
                    false => forget,
                };
                now.since(since) >= limit
            })
            .map(|e| e.member.id)
            .collect();
        for id in expired {
            let version = self.entries[&id].member.version();
            self.remove_entry(id);
            self.tombstones.insert(id, Tombstone { version, at: now });
            self.revision += 1;
        }
    }

    /// Returns whether `zone` has at least two daemons and more than half are unreachable.
    pub fn is_zone_unreachable(&self, zone: &ZoneName) -> bool {
        let in_zone = || self.entries.values().filter(|e| e.member.zone == *zone);
        let unreachable = in_zone().filter(|e| e.unreachable_since.is_some()).count();
        let total = in_zone().count();
        total >= 2 && unreachable * 2 > total
    }

    fn update_reachability(&mut self, now: Millis, id: InstanceId) {
        let others = self.entries.len().saturating_sub(1);
        let quorum = ALERT_QUORUM.min(others.max(1));
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let is_agreed = entry.alerts.len() >= quorum;
        let is_aged = entry
            .alerts
            .values()
            .any(|t| now.since(*t) >= SINGLE_ALERT_AGE);
        let is_leaving = entry.member.leaving && !entry.alerts.is_empty();
        if (is_agreed || is_aged || is_leaving) && entry.unreachable_since.is_none() {
            entry.unreachable_since = Some(now);
            self.revision += 1;
        }
    }

    fn remove_entry(&mut self, id: InstanceId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.toggle_hash(id, hash_member(&entry.member));
        for observer in entry.alerts.keys() {
            self.toggle_hash(id, hash_alert(&entry.alert(*observer)));
        }
    }

    fn toggle_hash(&mut self, id: InstanceId, hash: u64) {
        self.buckets[bucket_index(id)] ^= hash;
    }
}

impl Entry {
    fn alert(&self, observer: InstanceId) -> Alert {
        Alert {
            subject: self.member.id,
            incarnation: self.member.incarnation,
            seq: self.member.seq,
            observer,
        }
    }
}

fn bucket_index(id: InstanceId) -> usize {
    (id.0 % BUCKETS as u64) as usize
}

fn hash_member(member: &Member) -> u64 {
    hash_numbers(&[member.id.0, member.incarnation.0, member.seq])
}

fn hash_alert(alert: &Alert) -> u64 {
    hash_numbers(&[
        alert.subject.0,
        alert.incarnation.0,
        alert.seq,
        alert.observer.0,
    ])
}

fn hash_numbers(numbers: &[u64]) -> u64 {
    let bytes: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
    hash_key(&bytes)
}
