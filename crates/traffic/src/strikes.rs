//! Requests that crash backend servers.
//!
//! When a backend server dies, each call that it ran gets a strike under its fingerprint, with the
//! instance that died. A fingerprint with strikes from two instances is suspected of guilt: an
//! innocent call that ran beside the guilty one is unlikely to be there a second time. A server that
//! comes back and dies of the same call counts again for those who count deaths. Strikes
//! spread between daemons, merge in any order, and are forgotten after a while.
//!
//! A request that comes again and again in the same form runs at many servers that die of other
//! causes. So a success absolves it: what kills backend servers is never answered.
//!
//! A mark is one strike and whether it was absolved since. Only the daemon beside a backend server
//! makes strikes of it, one for each death, so books that tell each other their records in any order
//! end alike. The digest of a book tells whether they do.

use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis};
use rf_protocol::Strike;
use std::collections::{BTreeMap, BTreeSet};

/// Strikes from different instances that make a request refused.
const BLOCK_LIMIT: usize = 2;
/// Time within which calls that end at one backend server died of one cause. A server that died
/// needs longer to come back.
const SAME_CRASH_WINDOW: Millis = Millis(800);
/// Time for which a strike counts.
const STRIKE_TTL: Millis = Millis::from_secs(600);
/// Fingerprints remembered at most.
const CAPACITY: usize = 4096;

/// How suspicious a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No backend server died of it.
    None,
    /// One backend server died while it ran.
    Suspect,
    /// Several did; it is refused.
    Blocked,
}

/// Deaths of one request: when which instance's backend server died, and whether the request was
/// answered since.
type Records = BTreeMap<(InstanceId, Millis), bool>;

/// Strikes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct StrikeTable {
    strikes: BTreeMap<u64, Records>,
    /// Exclusive or of the hashes of all records.
    digest: u64,
}

impl StrikeTable {
    /// Takes in a strike; returns whether it is news.
    pub fn merge(&mut self, now: Millis, strike: &Strike) -> bool {
        let records = self.strikes.get(&strike.fingerprint).into_iter().flatten();
        let is_same = |(instance, at): &(InstanceId, Millis)| {
            *instance == strike.instance && at.0.abs_diff(strike.at.0) < SAME_CRASH_WINDOW.0
        };
        let is_known = records.map(|(key, _)| key).any(is_same);
        !is_known && self.insert(now, strike, false)
    }

    /// Takes in an absolved strike; returns whether it is news.
    pub fn merge_cleared(&mut self, now: Millis, strike: &Strike) -> bool {
        let records = self.strikes.get(&strike.fingerprint);
        let known = records.and_then(|m| m.get(&(strike.instance, strike.at)));
        known != Some(&true) && self.insert(now, strike, true)
    }

    /// Puts a mark in; returns whether there is room and time for it.
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

    /// Takes in that a request was answered with success; returns whether it had strikes.
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

    /// Returns how suspicious a request is.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        let active = self.active(fingerprint);
        let instances: BTreeSet<InstanceId> = active.map(|s| s.instance).collect();
        match instances.len() {
            0 => Suspicion::None,
            n if n < BLOCK_LIMIT => Suspicion::Suspect,
            _ => Suspicion::Blocked,
        }
    }

    /// Returns how often a backend server died while the request ran, the same one or another.
    pub fn count(&self, fingerprint: u64) -> usize {
        self.active(fingerprint).count()
    }

    /// Returns the strikes of a request, each with whether it was absolved.
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

    /// Returns the requests with records, the one with the newest mark first.
    pub fn fingerprints(&self) -> Vec<u64> {
        let newest = |records: &Records| records.keys().map(|(_, at)| *at).max();
        let mut all: Vec<_> = self.strikes.iter().map(|(f, m)| (newest(m), *f)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter()
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    /// Returns a number that is equal for books with equal records; zero for an empty one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns every strike, to tell others.
    pub fn all(&self) -> Vec<Strike> {
        let requests = self.strikes.keys();
        requests.flat_map(|f| self.active(*f)).collect()
    }

    /// Forgets old strikes; returns whether there were any.
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
        self.strikes.retain(|_, m| !m.is_empty());
        before != self.digest
    }
}

fn hash_record(fingerprint: u64, key: (InstanceId, Millis), is_cleared: bool) -> u64 {
    let numbers = [fingerprint, key.0.0, key.1.0, u64::from(is_cleared)];
    hash_key(&numbers.map(u64::to_le_bytes).concat())
}
