//! Rollouts of service versions as this proxy knows them.
//!
//! A rollout is identified by the store's revision at its creation. The state that proxies gossip
//! about it is monotonic: its age, whether it was stopped, whether it was promoted, and a final
//! state. So gossip can be merged in any order, and one proxy that finds a version bad stops it
//! everywhere.
//!
//! If the store was restored from a backup, the proxies' knowledge takes precedence over the
//! store's: a rollout to the same version that reappears in the store is the known one, and a final
//! state that the store has lost is recorded again.

use rf_base::{InstanceId, Millis, ServiceName, VersionName};
use rf_config::{Rollout, RolloutState};
use rf_protocol::relay::{RolloutUpdate, RouteVersionCounts, TrialReport, VersionCount};
use rf_rollout::trial::{TrialAction, TrialAssessment, assess, next_action};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// Pause before the state of a rollout is written again.
const RECORD_INTERVAL: Millis = Millis(1000);

#[derive(Clone, Debug)]
struct TrackedRollout {
    rollout: Rollout,
    /// State in the store when the rollout was last read.
    recorded: RolloutState,
    first_seen: Millis,
    is_stopped: bool,
    promoted: Option<Millis>,
    next_record: Millis,
}

/// Latest rollout of each service, with the observations of the running ones.
#[derive(Clone, Debug, Default)]
pub struct RolloutTracker {
    rollouts: BTreeMap<ServiceName, TrackedRollout>,
    trials: BTreeMap<(u64, InstanceId), TrialReport>,
    revision: u64,
}

/// Versions of a service that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// No rollout is known; see [`select`](super::select::select) for the version that is used.
    Any,
    /// Only this version, which was promoted or completed.
    Only(VersionName),
    /// Every version except this one, which was stopped or rolled back.
    Except(VersionName),
    /// This version is under trial and receives a share of the requests.
    Trial {
        /// Number of the rollout.
        order: u64,
        /// Version under trial.
        version: VersionName,
        /// Time at which any proxy first saw the rollout.
        since: Millis,
        /// Time from that moment to the deadline of the rollout.
        duration: Millis,
    },
}

impl RolloutTracker {
    /// Returns a counter that increases whenever the result of [`RolloutTracker::rule`] may have
    /// changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges a rollout that was read from the store; returns whether anything changed.
    pub fn merge_stored(&mut self, now: Millis, rollout: &Rollout) -> bool {
        self.merge(now, rollout, now)
    }

    /// Merges gossip about a rollout; returns whether anything changed.
    pub fn merge_gossip(&mut self, now: Millis, gossip: &RolloutUpdate) -> bool {
        let seen = Millis(now.0.saturating_sub(gossip.age.0));
        let mut changed = self.merge(now, &gossip.rollout, seen);
        let Some(tracked) = self.rollouts.get_mut(&gossip.rollout.service) else {
            return changed;
        };
        if !is_same(&tracked.rollout, &gossip.rollout) {
            return changed;
        }
        if gossip.is_stopped && !tracked.is_stopped {
            tracked.is_stopped = true;
            changed = true;
        }
        if let Some(span) = gossip.promoted
            && tracked.promoted.is_none()
        {
            tracked.promoted = Some(Millis(now.0.saturating_sub(span.0)));
            changed = true;
        }
        self.revision += u64::from(changed);
        changed
    }

    fn merge(&mut self, now: Millis, rollout: &Rollout, seen: Millis) -> bool {
        let known = self.rollouts.get_mut(&rollout.service);
        if let Some(tracked) = known
            && is_same(&tracked.rollout, rollout)
        {
            self.revision += u64::from(seen < tracked.first_seen);
            tracked.first_seen = tracked.first_seen.min(seen);
            if rollout.revision <= tracked.rollout.revision {
                return false;
            }
            // A final state is never reverted by an outdated reading.
            let is_final = tracked.rollout.state != RolloutState::Running;
            let state = if is_final {
                tracked.rollout.state
            } else {
                rollout.state
            };
            tracked.recorded = rollout.state;
            tracked.rollout = Rollout {
                state,
                ..rollout.clone()
            };
            self.revision += 1;
            return true;
        }
        let is_older = self
            .rollouts
            .get(&rollout.service)
            .is_some_and(|t| t.rollout.revision >= rollout.revision);
        if is_older {
            return false;
        }
        info!(
            event = "rollout.known",
            service = %rollout.service,
            version = %rollout.version,
            order = rollout.order,
            revision = rollout.revision.number,
            era = rollout.revision.era,
            state = ?rollout.state,
        );
        let tracked = TrackedRollout {
            rollout: rollout.clone(),
            recorded: rollout.state,
            first_seen: seen,
            is_stopped: false,
            promoted: None,
            next_record: now,
        };
        self.rollouts.insert(rollout.service.clone(), tracked);
        self.revision += 1;
        true
    }

    /// Records the observations of a proxy, unless newer ones are known.
    pub fn observe(&mut self, trial: &TrialReport) {
        let key = (trial.order, trial.observer);
        let is_newer = self
            .trials
            .get(&key)
            .is_none_or(|t| (t.incarnation, t.total()) < (trial.incarnation, trial.total()));
        if is_newer && self.is_running(trial.order) {
            self.trials.insert(key, trial.clone());
        }
    }

    fn is_running(&self, number: u64) -> bool {
        self.rollouts
            .values()
            .any(|t| t.rollout.order == number && t.is_running())
    }

    /// Returns the numbers of the running rollouts.
    pub fn running(&self) -> Vec<u64> {
        let running = self.rollouts.values().filter(|t| t.is_running());
        running.map(|t| t.rollout.order).collect()
    }

    /// Returns the numbers of the rollouts whose final state was lost when the store was restored.
    pub fn unrecorded(&self) -> Vec<u64> {
        let lost = self.rollouts.values().filter(|t| t.is_record_lost());
        lost.map(|t| t.rollout.order).collect()
    }

    /// Returns what to gossip to other proxies.
    pub fn gossip(&self, now: Millis) -> Vec<RolloutUpdate> {
        let gossip = |t: &TrackedRollout| RolloutUpdate {
            rollout: t.rollout.clone(),
            age: now.since(t.first_seen),
            is_stopped: t.is_stopped,
            promoted: t.promoted.map(|at| now.since(at)),
        };
        self.rollouts.values().map(gossip).collect()
    }

    /// Returns which versions of a service may receive requests.
    pub fn rule(&self, service: &ServiceName) -> VersionRule {
        let Some(tracked) = self.rollouts.get(service) else {
            return VersionRule::Any;
        };
        let version = tracked.rollout.version.clone();
        match tracked.rollout.state {
            RolloutState::Completed => VersionRule::Only(version),
            RolloutState::RolledBack => VersionRule::Except(version),
            RolloutState::Running if tracked.is_stopped => VersionRule::Except(version),
            RolloutState::Running if tracked.promoted.is_some() => VersionRule::Only(version),
            RolloutState::Running => VersionRule::Trial {
                order: tracked.rollout.order,
                version,
                since: tracked.first_seen,
                duration: tracked.rollout.duration,
            },
        }
    }

    /// Evaluates the running rollouts; returns whether anything changed, and the states to record.
    ///
    /// Any proxy may stop a bad version; `is_owner` tells whether this proxy is the one that
    /// promotes the version of a rollout and records its state.
    pub fn advance(
        &mut self,
        now: Millis,
        is_owner: impl Fn(u64) -> bool,
    ) -> (bool, Vec<(Rollout, RolloutState)>) {
        let mut changed = false;
        let mut records = Vec::new();
        for tracked in self.rollouts.values_mut().filter(|t| t.is_running()) {
            let cells = sum_cells(&self.trials, tracked.rollout.order);
            let assessment = assess(&cells);
            changed |= tracked.stop_if_bad(assessment, &cells);
            if is_owner(tracked.rollout.order) {
                let state = tracked.next_state(now, assessment, &mut changed);
                if let Some(state) = state
                    && now >= tracked.next_record
                {
                    tracked.next_record = now + RECORD_INTERVAL;
                    records.push((tracked.rollout.clone(), state));
                }
            }
        }
        for tracked in self.rollouts.values_mut().filter(|t| t.is_record_lost()) {
            if is_owner(tracked.rollout.order) && now >= tracked.next_record {
                tracked.next_record = now + RECORD_INTERVAL;
                records.push((tracked.rollout.clone(), tracked.rollout.state));
            }
        }
        let running: BTreeSet<u64> = self.running().into_iter().collect();
        self.trials.retain(|(order, _), _| running.contains(order));
        self.revision += u64::from(changed);
        (changed, records)
    }
}

/// Returns whether two readings are of the same rollout: the same object requests the same version,
/// and the rollout was not restarted after a final state.
fn is_same(known: &Rollout, read: &Rollout) -> bool {
    if known.version != read.version || known.duration != read.duration {
        return false;
    }
    if known.revision.era != read.revision.era {
        // After a restore, the operator wrote the rollout again, or the backup held it without its
        // state.
        return true;
    }
    let is_reopened = known.state != RolloutState::Running
        && read.state == RolloutState::Running
        && read.revision > known.revision;
    known.order == read.order && !is_reopened
}

impl TrackedRollout {
    fn is_running(&self) -> bool {
        self.rollout.state == RolloutState::Running
    }

    /// Returns whether the store has lost the final state of the rollout.
    fn is_record_lost(&self) -> bool {
        !self.is_running() && self.recorded == RolloutState::Running
    }

    fn stop_if_bad(&mut self, assessment: TrialAssessment, cells: &[RouteVersionCounts]) -> bool {
        if !assessment.is_bad() || self.is_stopped {
            return false;
        }
        self.is_stopped = true;
        let new = cells
            .iter()
            .fold(VersionCount::default(), |sum, cell| VersionCount {
                total: sum.total + cell.new.total,
                failed: sum.failed + cell.new.failed,
                slow: sum.slow + cell.new.slow,
            });
        warn!(
            event = "rollout.stopped",
            service = %self.rollout.service,
            version = %self.rollout.version,
            order = self.rollout.order,
            opinion = ?assessment,
            answers = new.total,
            failed = new.failed,
            slow = new.slow,
        );
        true
    }

    /// Returns the state to record now, if any; promotes the new version if that is due.
    fn next_state(
        &mut self,
        now: Millis,
        assessment: TrialAssessment,
        changed: &mut bool,
    ) -> Option<RolloutState> {
        if self.is_stopped {
            return Some(RolloutState::RolledBack);
        }
        let age = now.since(self.first_seen);
        let promoted = self.promoted.map(|at| now.since(at));
        match next_action(assessment, age, self.rollout.duration, promoted) {
            TrialAction::Wait => None,
            TrialAction::Complete => Some(RolloutState::Completed),
            TrialAction::Promote => {
                info!(
                    event = "rollout.promoted",
                    service = %self.rollout.service,
                    version = %self.rollout.version,
                    order = self.rollout.order,
                    age = age.0,
                );
                self.promoted = Some(now);
                *changed = true;
                None
            }
            TrialAction::RollBack => {
                self.is_stopped = true;
                *changed = true;
                Some(RolloutState::RolledBack)
            }
        }
    }
}

/// Sums up the observations of all proxies for a rollout, by route.
fn sum_cells(
    trials: &BTreeMap<(u64, InstanceId), TrialReport>,
    order: u64,
) -> Vec<RouteVersionCounts> {
    let mut sums: BTreeMap<u64, RouteVersionCounts> = BTreeMap::new();
    let of_order = trials.iter().filter(|((number, _), _)| *number == order);
    for cell in of_order.flat_map(|(_, trial)| &trial.routes) {
        let sum = sums.entry(cell.route).or_default();
        sum.route = cell.route;
        for (sum, count) in [(&mut sum.old, &cell.old), (&mut sum.new, &cell.new)] {
            sum.total += count.total;
            sum.failed += count.failed;
            sum.slow += count.slow;
        }
    }
    sums.into_values().collect()
}
