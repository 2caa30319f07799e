//! Requests that crash backend servers.
//!
//! When a backend server dies, each call that it ran gets a strike under its fingerprint, with the
//! instance that died. A fingerprint with strikes from two instances is refused everywhere: an
//! innocent call that ran beside the guilty one is unlikely to be there a second time. Strikes
//! spread between daemons, merge in any order, and are forgotten after a while.
//!
//! A request that comes again and again in the same form runs at many servers that die of other
//! causes. So a success absolves it: what kills backend servers is never answered.

use rf_base::{InstanceId, Millis};
use rf_protocol::Strike;
use std::collections::BTreeMap;

/// Strikes from different instances that make a request refused.
const LIMIT: usize = 2;
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

/// Strikes by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct StrikeBook {
    strikes: BTreeMap<u64, BTreeMap<InstanceId, Mark>>,
}

/// The newest strike of a request by one instance.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Millis,
    /// Whether the request was answered since.
    is_absolved: bool,
}

impl StrikeBook {
    /// Takes in a strike; returns whether it is news.
    pub fn merge(&mut self, now: Millis, strike: &Strike) -> bool {
        self.prune(now);
        if now.since(strike.at) >= KEEP || self.strikes.len() >= CAPACITY {
            return false;
        }
        let by_instance = self.strikes.entry(strike.fingerprint).or_default();
        let known = by_instance.get(&strike.instance);
        // The strike that was absolved may still be told by others.
        let is_news = known.is_none_or(|m| m.is_absolved && m.at < strike.at);
        if is_news || known.is_some_and(|m| m.at < strike.at) {
            let mark = Mark {
                at: strike.at,
                is_absolved: false,
            };
            by_instance.insert(strike.instance, mark);
        }
        is_news
    }

    /// Takes in that a request was answered with success; returns whether it had strikes.
    pub fn absolve(&mut self, fingerprint: u64) -> bool {
        let Some(by_instance) = self.strikes.get_mut(&fingerprint) else {
            return false;
        };
        let mut had_strikes = false;
        for mark in by_instance.values_mut() {
            had_strikes |= !mark.is_absolved;
            mark.is_absolved = true;
        }
        had_strikes
    }

    /// Returns how suspicious a request is.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        match self.count(fingerprint) {
            0 => Suspicion::None,
            n if n < LIMIT => Suspicion::Suspect,
            _ => Suspicion::Guilty,
        }
    }

    /// Returns the number of instances whose backend server died while the request ran.
    pub fn count(&self, fingerprint: u64) -> usize {
        let marks = self.strikes.get(&fingerprint);
        marks.map_or(0, |m| m.values().filter(|m| !m.is_absolved).count())
    }

    /// Returns every strike, to tell others.
    pub fn all(&self) -> Vec<Strike> {
        let each = |(fingerprint, by_instance): (&u64, &BTreeMap<InstanceId, Mark>)| {
            let fingerprint = *fingerprint;
            let standing = by_instance.iter().filter(|(_, mark)| !mark.is_absolved);
            let strikes = standing.map(move |(instance, mark)| Strike {
                fingerprint,
                instance: *instance,
                at: mark.at,
            });
            strikes.collect::<Vec<_>>()
        };
        self.strikes.iter().flat_map(each).collect()
    }

    fn prune(&mut self, now: Millis) {
        for by_instance in self.strikes.values_mut() {
            by_instance.retain(|_, mark| now.since(mark.at) < KEEP);
        }
        self.strikes.retain(|_, s| !s.is_empty());
    }
}
