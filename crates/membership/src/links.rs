//! State of the link to one other daemon: unsent changes and failed exchanges.

use rf_base::{InstanceId, Millis};
use rf_protocol::Alert;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of queued descriptions sent in one message.
pub const MAX_MEMBERS: usize = 128;

/// Difference between the rosters of two daemons, as seen by one of them.
#[derive(Clone, Copy, Debug)]
pub struct RosterDifference {
    /// Time at which the rosters began to differ, or were last compared bucket by bucket.
    pub since: Millis,
    /// Time since which both digests have stayed the same.
    pub stable_since: Millis,
    /// Digests of the local and the remote roster.
    pub digests: (u64, u64),
}

impl RosterDifference {
    /// Returns the difference observed at `now`, continuing the one observed `before`.
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

/// State of the link to one other daemon.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Daemons whose descriptions are still to be sent.
    pub members: BTreeSet<InstanceId>,
    /// Alerts that are still to be sent.
    pub alerts: BTreeSet<Alert>,
    /// Number of consecutive exchanges that failed.
    pub misses: u32,
    /// Time at which the next exchange is due.
    pub next_exchange: Millis,
    /// Whether an exchange was sent that has neither been answered nor failed.
    pub in_flight: bool,
    /// Difference of the rosters at the last exchange; `None` if they were equal.
    pub difference: Option<RosterDifference>,
    /// Time at which the last exchange or reply was received.
    pub last_heard: Millis,
}

impl Link {
    /// Removes and returns up to [`MAX_MEMBERS`] daemons whose descriptions are to be sent.
    pub fn take_members(&mut self) -> Vec<InstanceId> {
        let taken: Vec<InstanceId> = self.members.iter().copied().take(MAX_MEMBERS).collect();
        for id in &taken {
            self.members.remove(id);
        }
        taken
    }

    /// Removes and returns all alerts that are to be sent.
    pub fn take_alerts(&mut self) -> Vec<Alert> {
        std::mem::take(&mut self.alerts).into_iter().collect()
    }
}

/// Links by the daemon at the other end.
pub type Links = BTreeMap<InstanceId, Link>;
