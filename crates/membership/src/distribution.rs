//! State machine that distributes the configuration to all daemons.
//!
//! Each exchange carries the counter of the sender's configuration. A daemon fetches the
//! configuration of a peer that is ahead and delivers its own to a peer that is behind. A daemon
//! that adopts a new configuration should exchange with all neighbours at once, so that the change
//! floods the overlay. A configuration is adopted completely or not at all.
//!
//! The acknowledgements of a configuration form a set of daemons that only grows. A link carries
//! only ids that were not sent over it before, so an id crosses each edge of the overlay at most
//! twice per change, and no daemon has to receive a message from every other daemon.
//!
//! Invariants: the counter in force never falls, and the configuration in force has passed the
//! verifier.

use rf_base::{ConfigVersion, InstanceId};
use rf_config::{MeshConfig, verify_mesh};
use rf_protocol::Exchange;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::warn;

/// Action that brings both sides of an exchange to the same configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// Nothing to do: the counters are equal, or the newer configuration was refused here.
    Nothing,
    /// Fetch the configuration of the other side, which is ahead.
    Fetch,
    /// Deliver the local configuration to the other side, which is behind.
    Deliver,
}

/// Outcome of offering a configuration to [`Distribution::adopt`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The configuration is in force now.
    InForce,
    /// The configuration is not newer than the one in force.
    Stale,
    /// The verifier refused the configuration for these errors; the previous one stays in force.
    Refused(String),
}

/// Configuration that the verifier refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedConfig {
    /// Counter of the refused configuration.
    pub counter: ConfigVersion,
    /// All errors that the verifier found, as text.
    pub errors: String,
}

/// State machine that distributes the configuration.
#[derive(Clone, Debug)]
pub struct Distribution {
    me: InstanceId,
    config: Arc<MeshConfig>,
    applied: BTreeSet<InstanceId>,
    /// Acknowledgements of the configuration in force that each peer has been sent or has sent.
    sent: BTreeMap<InstanceId, BTreeSet<InstanceId>>,
    refused: Option<RefusedConfig>,
}

impl Distribution {
    /// Creates the state machine of daemon `me`, with the empty configuration in force.
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

    /// Returns the configuration that was refused last, if any.
    pub fn refused(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Puts a configuration in force if it is newer and the verifier accepts it.
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

    /// Records the configuration state in another daemon's exchange or reply and returns the action
    /// to take.
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
        let is_caught_up = theirs.applied.is_empty() && self.applied.is_subset(sent);
        if is_caught_up && theirs.coverage != self.applied_digest() {
            // Both sides believe that they sent everything, but the sets differ: a message with
            // acknowledgements was lost, so all of them are sent again.
            self.sent.remove(&theirs.from);
        }
    }

    /// Fills in the configuration state of an exchange that is sent to `to`.
    ///
    /// Acknowledgements are only included if the receiver is known.
    pub fn fill_exchange(&mut self, to: Option<InstanceId>, exchange: &mut Exchange) {
        exchange.config = self.config.counter;
        exchange.coverage = self.applied_digest();
        if let Some(to) = to {
            exchange.applied = self.take_unsent(to);
        }
    }

    fn take_unsent(&mut self, to: InstanceId) -> Vec<InstanceId> {
        let sent = self.sent.entry(to).or_default();
        let unsent: Vec<InstanceId> = self.applied.difference(sent).copied().collect();
        sent.extend(&unsent);
        unsent
    }

    fn applied_digest(&self) -> u64 {
        let salt = self.config.counter.0;
        self.applied.iter().fold(0, |sum, id| sum ^ id.rank(salt))
    }

    /// Forgets which acknowledgements were sent to `to`.
    ///
    /// Call this when a message to it failed, so that they are sent again.
    pub fn forget_sent(&mut self, to: InstanceId) {
        self.sent.remove(&to);
    }
}
