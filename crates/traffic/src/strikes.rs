//! Detection of requests that crash backend servers.
//!
//! When a backend server crashes, every request that it was running gets a strike: a record of the
//! request fingerprint, the instance and the time. [`StrikeTable::suspicion`] blocks a fingerprint
//! with strikes from two instances, since a harmless request that ran beside the cause of one crash
//! is unlikely to be there at a second one. [`StrikeTable::count`] also counts repeated crashes of
//! the same instance. Daemons exchange strikes and merge them in any order; a strike expires after
//! ten minutes.
//!
//! A request that is sent often in the same form runs on many servers that crash for other reasons.
//! A successful answer therefore clears its strikes, because a request that crashes backend servers
//! never gets an answer.
//!
//! A record holds one strike and whether it was cleared since. Only the daemon beside a backend
//! server creates strikes for that server, one per crash, so tables that exchange their records in
//! any order converge. The digest of a table shows whether they have.

use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis};
use rf_protocol::Strike;
use std::collections::{BTreeMap, BTreeSet};

/// Number of instances with a strike at which a request is blocked.
const BLOCK_LIMIT: usize = 2;
/// Time within which strikes from one instance belong to the same crash. A crashed server takes
/// longer than this to restart.
const SAME_CRASH_WINDOW: Millis = Millis(800);
/// Time after which a strike expires.
const STRIKE_TTL: Millis = Millis::from_secs(600);
/// Maximum number of fingerprints with records.
const CAPACITY: usize = 4096;

/// Suspicion that a request crashes backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No backend server crashed while the request ran.
    None,
    /// The backend server of one instance crashed while the request ran.
    Suspect,
    /// Backend servers of several instances crashed while the request ran; it is refused.
    Blocked,
}

/// Strikes of one request, by instance and time of the crash; the value says whether the strike was
/// cleared since.
type Records = BTreeMap<(InstanceId, Millis), bool>;

/// Strikes of all requests, by request fingerprint.
#[derive(Clone, Debug, Default)]
pub struct StrikeTable {
    strikes: BTreeMap<u64, Records>,
    /// XOR of the hashes of all records.
    digest: u64,
}

impl StrikeTable {
    /// Adds a strike and returns whether it was new.
    ///
    /// A strike for a crash that is already recorded, even as cleared, is not new.
    pub fn merge(&mut self, now: Millis, strike: &Strike) -> bool {
        let records = self.strikes.get(&strike.fingerprint).into_iter().flatten();
        let is_same = |(instance, at): &(InstanceId, Millis)| {
            *instance == strike.instance && at.0.abs_diff(strike.at.0) < SAME_CRASH_WINDOW.0
        };
        let is_known = records.map(|(key, _)| key).any(is_same);
        !is_known && self.insert(now, strike, false)
    }

    /// Adds a cleared strike, or clears a recorded one, and returns whether this was new.
    pub fn merge_cleared(&mut self, now: Millis, strike: &Strike) -> bool {
        let records = self.strikes.get(&strike.fingerprint);
        let known = records.and_then(|r| r.get(&(strike.instance, strike.at)));
        known != Some(&true) && self.insert(now, strike, true)
    }

    /// Inserts a record; returns `false` if the strike has expired or the table is full.
    fn insert(&mut self, now: Millis, strike: &Strike, is_cleared: bool) -> bool {
        self.prune(now);
        if now.since(strike.at) >= STRIKE_TTL || self.strikes.len() >= CAPACITY {
            return false;
        }
        let (fingerprint, key) = (strike.fingerprint, (strike.instance, strike.at));
        let records = self.strikes.entry(fingerprint).or_default();
        if let Some(old) = records.insert(key, is_cleared) {
            self.digest ^= hash_record(fingerprint, key, old);
        }
        self.digest ^= hash_record(fingerprint, key, is_cleared);
        true
    }

    /// Clears the strikes of a request that was answered successfully; returns whether it had any.
    pub fn mark_cleared(&mut self, fingerprint: u64) -> bool {
        let before = self.digest;
        let records = self.strikes.get_mut(&fingerprint).into_iter().flatten();
        for (key, is_cleared) in records.filter(|(_, is_cleared)| !**is_cleared) {
            self.digest ^= hash_record(fingerprint, *key, false);
            self.digest ^= hash_record(fingerprint, *key, true);
            *is_cleared = true;
        }
        before != self.digest
    }

    /// Returns the suspicion level of a request.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        let active = self.active(fingerprint);
        let instances: BTreeSet<InstanceId> = active.map(|s| s.instance).collect();
        match instances.len() {
            0 => Suspicion::None,
            n if n < BLOCK_LIMIT => Suspicion::Suspect,
            _ => Suspicion::Blocked,
        }
    }

    /// Returns the number of crashes during runs of the request, on the same or different
    /// instances, that were not cleared.
    pub fn count(&self, fingerprint: u64) -> usize {
        self.active(fingerprint).count()
    }

    /// Returns the strikes of a request, each with whether it was cleared.
    pub fn records(&self, fingerprint: u64) -> impl Iterator<Item = (Strike, bool)> {
        let records = self.strikes.get(&fingerprint).into_iter().flatten();
        records.map(move |((instance, at), is_cleared)| {
            let strike = Strike {
                fingerprint,
                instance: *instance,
                at: *at,
            };
            (strike, *is_cleared)
        })
    }

    fn active(&self, fingerprint: u64) -> impl Iterator<Item = Strike> {
        let records = self.records(fingerprint);
        records
            .filter(|(_, is_cleared)| !is_cleared)
            .map(|(s, _)| s)
    }

    /// Returns the fingerprints of all requests with records, those with the newest record first.
    pub fn fingerprints(&self) -> Vec<u64> {
        let newest = |records: &Records| records.keys().map(|(_, at)| *at).max();
        let mut all: Vec<_> = self.strikes.iter().map(|(f, r)| (newest(r), *f)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter()
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    /// Returns a digest that is equal for tables with equal records; zero for an empty table.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all strikes that were not cleared, to send to other daemons.
    pub fn all(&self) -> Vec<Strike> {
        let requests = self.strikes.keys();
        requests.flat_map(|f| self.active(*f)).collect()
    }

    /// Removes expired strikes and returns whether there were any.
    pub fn prune(&mut self, now: Millis) -> bool {
        let before = self.digest;
        for (fingerprint, records) in &mut self.strikes {
            records.retain(|key, is_cleared| {
                let is_kept = now.since(key.1) < STRIKE_TTL;
                if !is_kept {
                    self.digest ^= hash_record(*fingerprint, *key, *is_cleared);
                }
                is_kept
            });
        }
        self.strikes.retain(|_, r| !r.is_empty());
        before != self.digest
    }
}

fn hash_record(fingerprint: u64, key: (InstanceId, Millis), is_cleared: bool) -> u64 {
    let numbers = [fingerprint, key.0.0, key.1.0, u64::from(is_cleared)];
    hash_key(&numbers.map(u64::to_le_bytes).concat())
}
