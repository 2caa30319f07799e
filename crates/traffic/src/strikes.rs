//! Requests that crash backend servers.
//!
//! When a backend server dies, each call that it ran gets a strike under its fingerprint, with the
//! instance that died. A fingerprint with strikes from two instances is refused everywhere: an
//! innocent call that ran beside the guilty one is unlikely to be there a second time. Strikes
//! spread between daemons, merge in any order, and are forgotten after a while.

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
    strikes: BTreeMap<u64, BTreeMap<InstanceId, Millis>>,
}

impl StrikeBook {
    /// Takes in a strike; returns whether it is news.
    pub fn merge(&mut self, now: Millis, strike: &Strike) -> bool {
        self.prune(now);
        if now.since(strike.at) >= KEEP || self.strikes.len() >= CAPACITY {
            return false;
        }
        let by_instance = self.strikes.entry(strike.fingerprint).or_default();
        by_instance.insert(strike.instance, strike.at).is_none()
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
        self.strikes.get(&fingerprint).map_or(0, BTreeMap::len)
    }

    /// Returns every strike, to tell others.
    pub fn all(&self) -> Vec<Strike> {
        let each = |(fingerprint, by_instance): (&u64, &BTreeMap<InstanceId, Millis>)| {
            let fingerprint = *fingerprint;
            let strikes = by_instance.iter().map(move |(instance, at)| Strike {
                fingerprint,
                instance: *instance,
                at: *at,
            });
            strikes.collect::<Vec<_>>()
        };
        self.strikes.iter().flat_map(each).collect()
    }

    fn prune(&mut self, now: Millis) {
        for by_instance in self.strikes.values_mut() {
            by_instance.retain(|_, at| now.since(*at) < KEEP);
        }
        self.strikes.retain(|_, s| !s.is_empty());
    }
}
