//! Per-neighbour state: what it has not been told yet, and whether it answers.

use rf_base::{InstanceId, Millis};
use rf_protocol::Alert;
use std::collections::{BTreeMap, BTreeSet};

/// Descriptions in one message at most.
pub const MAX_MEMBERS: usize = 128;

/// How two rosters differ.
#[derive(Clone, Copy, Debug)]
pub struct RosterDifference {
    /// Time since when they do, or were last compared.
    pub since: Millis,
    /// Time since when neither roster changed.
    pub stable_since: Millis,
    /// Digests of the two.
    pub digests: (u64, u64),
}

impl RosterDifference {
    /// Returns the difference as seen now, given how it was before.
    pub fn new(
        now: Millis,
        digests: (u64, u64),
        before: Option<RosterDifference>,
    ) -> RosterDifference {
        let known = before.filter(|b| b.digests == digests);
        RosterDifference {
            since: before.map_or(now, |b| b.since),
            stable_since: known.map_or(now, |b| b.stable_since),
            digests,
        }
    }
}

/// State of the link to one daemon.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Daemons whose descriptions are news to it.
    pub members: BTreeSet<InstanceId>,
    /// Alerts that are news to it.
    pub alerts: BTreeSet<Alert>,
    /// Exchanges in a row that failed.
    pub misses: u32,
    /// Time of the next exchange.
    pub next_exchange: Millis,
    /// Whether an exchange is under way.
    pub in_flight: bool,
    /// How the rosters differ, where they did at the last exchange.
    pub difference: Option<RosterDifference>,
    /// Time of the last message either way.
    pub last_heard: Millis,
}

impl Link {
    /// Takes up to [`MAX_MEMBERS`] descriptions off the link's news.
    pub fn take_members(&mut self) -> Vec<InstanceId> {
        let taken: Vec<InstanceId> = self.members.iter().copied().take(MAX_MEMBERS).collect();
        for id in &taken {
            self.members.remove(id);
        }
        taken
    }

    /// Takes the alerts off the link's news.
    pub fn take_alerts(&mut self) -> Vec<Alert> {
        std::mem::take(&mut self.alerts).into_iter().collect()
    }
}

/// Links by daemon.
pub type Links = BTreeMap<InstanceId, Link>;
