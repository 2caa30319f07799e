//! What other proxies were told by the backend servers beside them.
//!
//! Each reply to an attempt carries it, and each attempt repeats it, so that a proxy that has
//! restarted learns it with the first attempt of any proxy that knows.

use rf_base::{InstanceId, Millis};
use rf_protocol::relay::ServerCondition;
use std::collections::BTreeMap;

/// Number of entries above which old ones are dropped.
const MAX_FRESH: usize = 256;
/// Age at which an entry may be dropped. A heartbeat of a process that has left arrives sooner.
const MAX_AGE: Millis = Millis::from_secs(60);

/// Last known condition of the backend servers that have stated one.
#[derive(Clone, Debug, Default)]
pub struct ToldConditions {
    entries: BTreeMap<InstanceId, (ServerCondition, Millis)>,
}

impl ToldConditions {
    /// Records the condition in a reply of `instance`; `None` if its proxy knows nothing.
    ///
    /// A proxy that has restarted knows nothing at first, so that doesn't end a limit that was told
    /// lately. That a process leaves is kept until another process is known there.
    pub fn observe(&mut self, now: Millis, instance: InstanceId, told: Option<ServerCondition>) {
        let known = self.entries.get(&instance);
        let Some(mut told) = told else {
            if known.is_some_and(|(k, at)| !k.is_leaving && now.since(*at) >= MAX_AGE) {
                self.entries.remove(&instance);
            }
            return;
        };
        told.is_leaving |= known.is_some_and(|(k, _)| k.process == told.process && k.is_leaving);
        if told.limit.is_none() && !told.is_leaving {
            self.entries.remove(&instance);
            return;
        }
        if self.entries.len() > MAX_FRESH {
            self.entries.retain(|_, (_, at)| now.since(*at) < MAX_AGE);
        }
        self.entries.insert(instance, (told, now));
    }

    /// Returns what the server beside `instance` has last stated.
    pub fn get(&self, instance: InstanceId) -> Option<ServerCondition> {
        self.entries.get(&instance).map(|(told, _)| *told)
    }
}
