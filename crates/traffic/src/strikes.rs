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
//! makes strikes of it, one for each death, so books that tell each other their marks in any order
//! end alike. The digest of a book tells whether they do.

use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis};
use rf_protocol::Strike;
use std::collections::{BTreeMap, BTreeSet};

/// Strikes from different instances that make a request refused.
const LIMIT: usize = 2;
/// Time within which calls that end at one backend server died of one cause. A server that died
/// needs longer to come back.
const ONE_DEATH: Millis = Millis(800);
/// Time for which a strike counts.
const KEEP: Millis = Millis::from_secs(600);
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
    Guilty,
}

/// Deaths of one request: when which instance's backend server died, and whether the request was
/// answered since.
type Marks = BTreeMap<(InstanceId, Millis), bool>;

/// Strikes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct StrikeBook {
    strikes: BTreeMap<u64, Marks>,
    /// Exclusive or of the hashes of all marks.
    digest: u64,
}

impl StrikeBook {
    /// Takes in a strike; returns whether it is news.
    pub fn merge(&mut self, now: Millis, strike: &Strike) -> bool {
        let marks = self.strikes.get(&strike.fingerprint).into_iter().flatten();
        let is_same = |(instance, at): &(InstanceId, Millis)| {
            *instance == strike.instance && at.0.abs_diff(strike.at.0) < ONE_DEATH.0
        };
        let is_known = marks.map(|(key, _)| key).any(is_same);
        !is_known && self.insert(now, strike, false)
    }

    /// Takes in an absolved strike; returns whether it is news.
    pub fn merge_absolved(&mut self, now: Millis, strike: &Strike) -> bool {
        let marks = self.strikes.get(&strike.fingerprint);
        let known = marks.and_then(|m| m.get(&(strike.instance, strike.at)));
        known != Some(&true) && self.insert(now, strike, true)
    }

    /// Puts a mark in; returns whether there is room and time for it.
    fn insert(&mut self, now: Millis, strike: &Strike, is_absolved: bool) -> bool {
        self.prune(now);
        if now.since(strike.at) >= KEEP || self.strikes.len() >= CAPACITY {
            return false;
        }
        let (fingerprint, key) = (strike.fingerprint, (strike.instance, strike.at));
        let marks = self.strikes.entry(fingerprint).or_default();
        if let Some(old) = marks.insert(key, is_absolved) {
            self.digest ^= hash_mark(fingerprint, key, old);
        }
        self.digest ^= hash_mark(fingerprint, key, is_absolved);
        true
    }

    /// Takes in that a request was answered with success; returns whether it had strikes.
    pub fn absolve(&mut self, fingerprint: u64) -> bool {
        let before = self.digest;
        let marks = self.strikes.get_mut(&fingerprint).into_iter().flatten();
        for (key, is_absolved) in marks.filter(|(_, absolved)| !**absolved) {
            self.digest ^= hash_mark(fingerprint, *key, false);
            self.digest ^= hash_mark(fingerprint, *key, true);
            *is_absolved = true;
        }
        before != self.digest
    }

    /// Returns how suspicious a request is.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        let standing = self.standing(fingerprint);
        let instances: BTreeSet<InstanceId> = standing.map(|s| s.instance).collect();
        match instances.len() {
            0 => Suspicion::None,
            n if n < LIMIT => Suspicion::Suspect,
            _ => Suspicion::Guilty,
        }
    }

    /// Returns how often a backend server died while the request ran, the same one or another.
    pub fn count(&self, fingerprint: u64) -> usize {
        self.standing(fingerprint).count()
    }

    /// Returns the strikes of a request, each with whether it was absolved.
    pub fn marks(&self, fingerprint: u64) -> impl Iterator<Item = (Strike, bool)> {
        let marks = self.strikes.get(&fingerprint).into_iter().flatten();
        marks.map(move |((instance, at), is_absolved)| {
            let strike = Strike {
                fingerprint,
                instance: *instance,
                at: *at,
            };
            (strike, *is_absolved)
        })
    }

    fn standing(&self, fingerprint: u64) -> impl Iterator<Item = Strike> {
        let marks = self.marks(fingerprint);
        marks.filter(|(_, absolved)| !absolved).map(|(s, _)| s)
    }

    /// Returns the requests with marks, the one with the newest mark first.
    pub fn fingerprints(&self) -> Vec<u64> {
        let newest = |marks: &Marks| marks.keys().map(|(_, at)| *at).max();
        let mut all: Vec<_> = self.strikes.iter().map(|(f, m)| (newest(m), *f)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter()
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    /// Returns a number that is equal for books with equal marks; zero for an empty one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns every strike, to tell others.
    pub fn all(&self) -> Vec<Strike> {
        let requests = self.strikes.keys();
        requests.flat_map(|f| self.standing(*f)).collect()
    }

    /// Forgets old strikes; returns whether there were any.
    pub fn prune(&mut self, now: Millis) -> bool {
        let before = self.digest;
        for (fingerprint, marks) in &mut self.strikes {
            marks.retain(|key, is_absolved| {
                let is_kept = now.since(key.1) < KEEP;
                if !is_kept {
                    self.digest ^= hash_mark(*fingerprint, *key, *is_absolved);
                }
                is_kept
            });
        }
        self.strikes.retain(|_, m| !m.is_empty());
        before != self.digest
    }
}

fn hash_mark(fingerprint: u64, key: (InstanceId, Millis), is_absolved: bool) -> u64 {
    let numbers = [fingerprint, key.0.0, key.1.0, u64::from(is_absolved)];
    hash_key(&numbers.map(u64::to_le_bytes).concat())
}
