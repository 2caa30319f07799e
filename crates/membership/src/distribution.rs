//! The distribution machine: one configuration, forwards only, whole or not at all.
//!
//! A daemon learns from every exchange which counter the other side runs. Where the other side is
//! ahead it fetches, where it is behind it delivers; a daemon that takes in a new configuration
//! exchanges with all neighbours at once, so the change floods the overlay.
//!
//! Acknowledgements are a set of daemons per counter that only grows. Each link carries only the
//! ids that its other end has not been sent, so an id crosses each edge at most twice per change,
//! and no daemon receives a message from every other.
//!
//! Invariants: the counter in force never falls, and what is in force has passed the verifier.

use rf_base::{Counter, InstanceId};
use rf_config::{MeshConfig, verify_mesh};
use rf_protocol::Exchange;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::warn;

/// What to do about the other side of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// Both sides run the same configuration.
    Nothing,
    /// The other side is ahead.
    Fetch,
    /// The other side is behind.
    Deliver,
}

/// What became of a configuration that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is in force now.
    InForce,
    /// It is not newer than the one in force.
    Stale,
    /// The verifier refused it; the last one stays in force.
    Refused(String),
}

/// A configuration that the verifier refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedConfig {
    /// Its counter.
    pub counter: Counter,
    /// Every error found.
    pub errors: String,
}

/// State of the distribution machine.
#[derive(Clone, Debug)]
pub struct Distribution {
    me: InstanceId,
    config: Arc<MeshConfig>,
    applied: BTreeSet<InstanceId>,
    sent: BTreeMap<InstanceId, BTreeSet<InstanceId>>,
    refused: Option<RefusedConfig>,
}

impl Distribution {
    /// Makes the machine of daemon `me` with the empty configuration.
    pub fn new(me: InstanceId) -> Distribution {
        Distribution {
            me,
            config: Arc::default(),
            applied: BTreeSet::from([me]),
            sent: BTreeMap::new(),
            refused: None,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<MeshConfig> {
        &self.config
    }

    /// Returns the daemons known to run the configuration in force.
    pub fn applied(&self) -> &BTreeSet<InstanceId> {
        &self.applied
    }

    /// Returns the newest configuration that was refused, if any.
    pub fn refused(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Takes in a configuration from the platform or another daemon.
    pub fn adopt(&mut self, config: MeshConfig) -> AdoptOutcome {
        if config.counter <= self.config.counter {
            return AdoptOutcome::Stale;
        }
        if let Err(errors) = verify_mesh(&config) {
            warn!(counter = %config.counter, %errors, "configuration refused");
            self.refused = Some(RefusedConfig {
                counter: config.counter,
                errors: errors.to_string(),
            });
            return AdoptOutcome::Refused(errors.to_string());
        }
        debug_assert!(config.counter > self.config.counter);
        self.config = Arc::new(config);
        self.applied = BTreeSet::from([self.me]);
        self.sent.clear();
        AdoptOutcome::InForce
    }

    /// Takes in what another daemon's exchange says of its configuration; returns what to do.
    pub fn handle_exchange(&mut self, theirs: &Exchange) -> SyncAction {
        let mine = self.config.counter;
        if theirs.config < mine {
            self.sent.remove(&theirs.from);
            return SyncAction::Deliver;
        }
        if theirs.config > mine {
            let is_refused = |r: &RefusedConfig| r.counter >= theirs.config;
            let skip = self.refused.as_ref().is_some_and(is_refused);
            return if skip {
                SyncAction::Nothing
            } else {
                SyncAction::Fetch
            };
        }
        self.acknowledge(theirs);
        SyncAction::Nothing
    }

    fn acknowledge(&mut self, theirs: &Exchange) {
        self.applied.insert(theirs.from);
        self.applied.extend(&theirs.applied);
        let sent = self.sent.entry(theirs.from).or_default();
        sent.insert(theirs.from);
        sent.extend(&theirs.applied);
        let is_settled = theirs.applied.is_empty() && self.applied.is_subset(sent);
        if is_settled && theirs.coverage != self.coverage() {
            // A message with acknowledgements was lost.
            self.sent.remove(&theirs.from);
        }
    }

    /// Fills in what an exchange with `to` says of the configuration.
    pub fn fill_exchange(&mut self, to: Option<InstanceId>, exchange: &mut Exchange) {
        exchange.config = self.config.counter;
        exchange.coverage = self.coverage();
        if let Some(to) = to {
            exchange.applied = self.take_news(to);
        }
    }

    fn take_news(&mut self, to: InstanceId) -> Vec<InstanceId> {
        let sent = self.sent.entry(to).or_default();
        let news: Vec<InstanceId> = self.applied.difference(sent).copied().collect();
        sent.extend(&news);
        news
    }

    fn coverage(&self) -> u64 {
        let salt = self.config.counter.0;
        self.applied.iter().fold(0, |sum, id| sum ^ id.rank(salt))
    }

    /// Forgets what was sent to `to`, so that it is sent again after a lost message.
    pub fn forget_sent(&mut self, to: InstanceId) {
        self.sent.remove(&to);
    }
}
