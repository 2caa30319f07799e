//! The roster: newest description of each daemon, alerts against them, and digests.
//!
//! Descriptions and alerts merge in any order and any number of times: a description is replaced
//! only by one with a higher `(incarnation, seq)`, and an alert counts only against the exact
//! description that it names. So an old rumour can never bury a daemon that is alive, and a daemon
//! refutes an alert by describing itself anew.
//!
//! A forgotten daemon leaves a tombstone with its last version, so that gossip from those who have
//! not forgotten it yet does not bring it back.
//!
//! The digest is the exclusive or of the hashes of all descriptions and alerts, kept in buckets by
//! daemon. Two rosters that differ are repaired one bucket at a time.

use rf_base::ids::hash_key;
use rf_base::{Incarnation, InstanceId, Millis, ZoneName};
use rf_protocol::{Alert, Member};
use std::collections::BTreeMap;

/// Number of parts into which the digest is divided.
pub const BUCKETS: usize = 64;
/// Observers that must agree before a daemon counts as unreachable at once.
const QUORUM: usize = 2;
/// Age at which the alert of a single observer counts.
const LONE_ALERT: Millis = Millis(5000);
/// Time for which a tombstone is kept.
const TOMBSTONE: Millis = Millis::from_secs(3600);

/// Whether a daemon answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Nothing speaks against it.
    Reachable,
    /// Its observers say that it does not answer.
    Unreachable,
}

/// One daemon with the alerts against its current description.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    alerts: BTreeMap<InstanceId, Millis>,
    unreachable: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    version: (Incarnation, u64),
    at: Millis,
}

/// Everything known about the daemons of the mesh.
#[derive(Clone, Debug)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    tombstones: BTreeMap<InstanceId, Tombstone>,
    buckets: [u64; BUCKETS],
    revision: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            buckets: [0; BUCKETS],
            revision: 0,
        }
    }
}

impl Roster {
    /// Returns a number that rises with each change of descriptions or reachability.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the description of a daemon.
    pub fn get(&self, id: InstanceId) -> Option<&Member> {
        self.entries.get(&id).map(|e| &e.member)
    }

    /// Returns all descriptions, unreachable daemons included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|e| &e.member)
    }

    /// Returns the descriptions of reachable daemons.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.entries
            .values()
            .filter(|e| e.unreachable.is_none())
            .map(|e| &e.member)
    }

    /// Returns the ids of unreachable daemons.
    pub fn unreachable(&self) -> impl Iterator<Item = InstanceId> {
        self.entries
            .iter()
            .filter(|(_, e)| e.unreachable.is_some())
            .map(|(id, _)| *id)
    }

    /// Returns whether a daemon answers, as far as known.
    pub fn reachability(&self, id: InstanceId) -> Reachability {
        match self.entries.get(&id) {
            Some(entry) if entry.unreachable.is_none() => Reachability::Reachable,
            _ => Reachability::Unreachable,
        }
    }

    /// Returns the number of known daemons.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether a daemon is in `zone`, or in none that is known.
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

    /// Returns the digests of the parts.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Takes in a description; returns whether it is news.
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
        self.remove_entry(member.id);
        self.toggle(member.id, hash_member(member));
        let entry = Entry {
            member: member.clone(),
            alerts: BTreeMap::new(),
            unreachable: None,
        };
        self.entries.insert(member.id, entry);
        self.revision += 1;
        true
    }

    /// Takes in an alert; returns whether it is news.
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
        self.toggle(alert.subject, hash_alert(alert));
        self.judge(now, alert.subject);
        true
    }

    /// Returns the alert that `observer` would raise against the current description of `subject`.
    pub fn make_alert(&self, subject: InstanceId, observer: InstanceId) -> Option<Alert> {
        let member = self.get(subject)?;
        Some(Alert {
            subject,
            incarnation: member.incarnation,
            seq: member.seq,
            observer,
        })
    }

    /// Returns the alerts that stand against a daemon.
    ///
    /// A forgotten daemon's tombstone counts as an alert by `observer`, so that a daemon that lives
    /// after all describes itself anew.
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

    /// Returns the ids whose bucket differs from `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<InstanceId> {
        let differs = |id: &InstanceId| {
            let bucket = bucket_of(*id);
            theirs.get(bucket) != Some(&self.buckets[bucket])
        };
        self.entries.keys().copied().filter(differs).collect()
    }

    /// Lets time pass: lone alerts come to count, and unreachable daemons are forgotten.
    pub fn advance(&mut self, now: Millis, forget: Millis, forget_zone: Millis) {
        let alerted: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(_, e)| !e.alerts.is_empty() && e.unreachable.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in alerted {
            self.judge(now, id);
        }
        self.forget(now, forget, forget_zone);
        self.tombstones.retain(|_, t| now.since(t.at) < TOMBSTONE);
    }

    fn forget(&mut self, now: Millis, forget: Millis, forget_zone: Millis) {
        let overdue: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|e| {
                let Some(since) = e.unreachable else {
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
        for id in overdue {
            let version = self.entries[&id].member.version();
            self.remove_entry(id);
            self.tombstones.insert(id, Tombstone { version, at: now });
            self.revision += 1;
        }
    }

    /// Returns whether most of a zone with at least two daemons is unreachable.
    pub fn is_zone_unreachable(&self, zone: &ZoneName) -> bool {
        let in_zone = || self.entries.values().filter(|e| e.member.zone == *zone);
        let silent = in_zone().filter(|e| e.unreachable.is_some()).count();
        let total = in_zone().count();
        total >= 2 && silent * 2 > total
    }

    fn judge(&mut self, now: Millis, id: InstanceId) {
        let others = self.entries.len().saturating_sub(1);
        let quorum = QUORUM.min(others.max(1));
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let is_agreed = entry.alerts.len() >= quorum;
        let is_old = entry.alerts.values().any(|t| now.since(*t) >= LONE_ALERT);
        let is_leaving = entry.member.leaving && !entry.alerts.is_empty();
        if (is_agreed || is_old || is_leaving) && entry.unreachable.is_none() {
            entry.unreachable = Some(now);
            self.revision += 1;
        }
    }

    fn remove_entry(&mut self, id: InstanceId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.toggle(id, hash_member(&entry.member));
        for observer in entry.alerts.keys() {
            self.toggle(id, hash_alert(&entry.alert(*observer)));
        }
    }

    fn toggle(&mut self, id: InstanceId, hash: u64) {
        self.buckets[bucket_of(id)] ^= hash;
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

fn bucket_of(id: InstanceId) -> usize {
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
