//! Version changes as this proxy knows them.
//!
//! Where the store came back from a copy, what proxies know goes before what it holds: an order that
//! stands there again, for the same version, is the one that was known, and a final state that the
//! store has lost is recorded again.
//!
//! An order is known by the store's revision at its creation. What proxies tell each other about it
//! only grows: its age, whether it was stopped, whether it was promoted, and a final state. So news
//! merge in any order, and one proxy that finds a version bad stops it everywhere.

use rf_base::{InstanceId, Millis, ServiceName, VersionName};
use rf_config::{Rollout, RolloutState};
use rf_protocol::relay::{RolloutUpdate, RouteVersionCounts, TrialReport, VersionCount};
use rf_rollout::trial::{TrialAction, TrialAssessment, assess, next_action};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// Pause before the state of an order is recorded again.
const RECORD_PAUSE: Millis = Millis(1000);

#[derive(Clone, Debug)]
struct Order {
    rollout: Rollout,
    /// State that the store held when it was last read.
    recorded: RolloutState,
    first_seen: Millis,
    is_stopped: bool,
    promoted: Option<Millis>,
    next_record: Millis,
}

/// Version changes by service.
#[derive(Clone, Debug, Default)]
pub struct RolloutTracker {
    orders: BTreeMap<ServiceName, Order>,
    trials: BTreeMap<(u64, InstanceId), TrialReport>,
    revision: u64,
}

/// Which versions of a service may get requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// No order is known.
    Any,
    /// Only this version.
    Only(VersionName),
    /// Any version but this one.
    Except(VersionName),
    /// This version is tried beside the others.
    Try {
        /// Number of the order.
        order: u64,
        /// The version.
        version: VersionName,
        /// Time at which the order was first seen.
        since: Millis,
        /// Time from the order to its deadline.
        duration: Millis,
    },
}

impl RolloutTracker {
    /// Returns a number that rises with each change of what [`RolloutTracker::rule`] returns.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in an order as the store has it; returns whether anything changed.
    pub fn merge_stored(&mut self, now: Millis, rollout: &Rollout) -> bool {
        self.merge(now, rollout, now)
    }

    /// Takes in what another proxy knows; returns whether anything changed.
    pub fn merge_news(&mut self, now: Millis, news: &RolloutUpdate) -> bool {
        let seen = Millis(now.0.saturating_sub(news.age.0));
        let mut changed = self.merge(now, &news.rollout, seen);
        let Some(order) = self.orders.get_mut(&news.rollout.service) else {
            return changed;
        };
        if !is_same(&order.rollout, &news.rollout) {
            return changed;
        }
        if news.is_stopped && !order.is_stopped {
            order.is_stopped = true;
            changed = true;
        }
        if let Some(span) = news.promoted
            && order.promoted.is_none()
        {
            order.promoted = Some(Millis(now.0.saturating_sub(span.0)));
            changed = true;
        }
        self.revision += u64::from(changed);
        changed
    }

    fn merge(&mut self, now: Millis, rollout: &Rollout, seen: Millis) -> bool {
        let known = self.orders.get_mut(&rollout.service);
        if let Some(order) = known
            && is_same(&order.rollout, rollout)
        {
            self.revision += u64::from(seen < order.first_seen);
            order.first_seen = order.first_seen.min(seen);
            if rollout.revision <= order.rollout.revision {
                return false;
            }
            // A final state is never left, whatever a late reader says.
            let is_final = order.rollout.state != RolloutState::Running;
            let state = if is_final {
                order.rollout.state
            } else {
                rollout.state
            };
            order.recorded = rollout.state;
            order.rollout = Rollout {
                state,
                ..rollout.clone()
            };
            self.revision += 1;
            return true;
        }
        let is_older = self
            .orders
            .get(&rollout.service)
            .is_some_and(|o| o.rollout.revision >= rollout.revision);
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
        let order = Order {
            rollout: rollout.clone(),
            recorded: rollout.state,
            first_seen: seen,
            is_stopped: false,
            promoted: None,
            next_record: now,
        };
        self.orders.insert(rollout.service.clone(), order);
        self.revision += 1;
        true
    }

    /// Takes in what a proxy observed.
    pub fn observe(&mut self, trial: &TrialReport) {
        let key = (trial.order, trial.observer);
        let is_news = self
            .trials
            .get(&key)
            .is_none_or(|t| (t.incarnation, t.total()) < (trial.incarnation, trial.total()));
        if is_news && self.is_running(trial.order) {
            self.trials.insert(key, trial.clone());
        }
    }

    fn is_running(&self, number: u64) -> bool {
        self.orders
            .values()
            .any(|o| o.rollout.order == number && o.is_running())
    }

    /// Returns the numbers of the running orders.
    pub fn running(&self) -> Vec<u64> {
        let running = self.orders.values().filter(|o| o.is_running());
        running.map(|o| o.rollout.order).collect()
    }

    /// Returns the numbers of the orders whose state the store does not hold.
    pub fn unrecorded(&self) -> Vec<u64> {
        let lost = self.orders.values().filter(|o| o.is_record_lost());
        lost.map(|o| o.rollout.order).collect()
    }

    /// Returns what to tell other proxies.
    pub fn news(&self, now: Millis) -> Vec<RolloutUpdate> {
        let news = |o: &Order| RolloutUpdate {
            rollout: o.rollout.clone(),
            age: now.since(o.first_seen),
            is_stopped: o.is_stopped,
            promoted: o.promoted.map(|at| now.since(at)),
        };
        self.orders.values().map(news).collect()
    }

    /// Returns which versions of a service may get requests.
    pub fn rule(&self, service: &ServiceName) -> VersionRule {
        let Some(order) = self.orders.get(service) else {
            return VersionRule::Any;
        };
        let version = order.rollout.version.clone();
        match order.rollout.state {
            RolloutState::Completed => VersionRule::Only(version),
            RolloutState::RolledBack => VersionRule::Except(version),
            RolloutState::Running if order.is_stopped => VersionRule::Except(version),
            RolloutState::Running if order.promoted.is_some() => VersionRule::Only(version),
            RolloutState::Running => VersionRule::Try {
                order: order.rollout.order,
                version,
                since: order.first_seen,
                duration: order.rollout.duration,
            },
        }
    }

    /// Judges the running orders; returns whether anything changed, and what to record.
    ///
    /// `is_owner` says whether this proxy is the one that promotes and records.
    pub fn advance(
        &mut self,
        now: Millis,
        is_owner: impl Fn(u64) -> bool,
    ) -> (bool, Vec<(Rollout, RolloutState)>) {
        let mut changed = false;
        let mut records = Vec::new();
        for order in self.orders.values_mut().filter(|o| o.is_running()) {
            let cells = sum_cells(&self.trials, order.rollout.order);
            let opinion = assess(&cells);
            changed |= order.stop_if_bad(opinion, &cells);
            if is_owner(order.rollout.order) {
                let state = order.next_state(now, opinion, &mut changed);
                if let Some(state) = state
                    && now >= order.next_record
                {
                    order.next_record = now + RECORD_PAUSE;
                    records.push((order.rollout.clone(), state));
                }
            }
        }
        for order in self.orders.values_mut().filter(|o| o.is_record_lost()) {
            if is_owner(order.rollout.order) && now >= order.next_record {
                order.next_record = now + RECORD_PAUSE;
                records.push((order.rollout.clone(), order.rollout.state));
            }
        }
        let running: BTreeSet<u64> = self.running().into_iter().collect();
        self.trials.retain(|(order, _), _| running.contains(order));
        self.revision += u64::from(changed);
        (changed, records)
    }
}

/// Whether two readings are of one order: the same object asking for the same version, where no
/// final state has been reached and left.
fn is_same(known: &Rollout, read: &Rollout) -> bool {
    if known.version != read.version || known.duration != read.duration {
        return false;
    }
    if known.revision.era != read.revision.era {
        // The operator has written the order again, or the copy held it without its state.
        return true;
    }
    let is_reopened = known.state != RolloutState::Running
        && read.state == RolloutState::Running
        && read.revision > known.revision;
    known.order == read.order && !is_reopened
}

impl Order {
    fn is_running(&self) -> bool {
        self.rollout.state == RolloutState::Running
    }

    /// Returns whether the store has lost the final state.
    fn is_record_lost(&self) -> bool {
        !self.is_running() && self.recorded == RolloutState::Running
    }

    fn stop_if_bad(&mut self, opinion: TrialAssessment, cells: &[RouteVersionCounts]) -> bool {
        if !opinion.is_bad() || self.is_stopped {
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
            ?opinion,
            answers = new.total,
            failed = new.failed,
            slow = new.slow,
        );
        true
    }

    /// Returns the state to record now; promotes the new version where that is due.
    fn next_state(
        &mut self,
        now: Millis,
        opinion: TrialAssessment,
        changed: &mut bool,
    ) -> Option<RolloutState> {
        if self.is_stopped {
            return Some(RolloutState::RolledBack);
        }
        let age = now.since(self.first_seen);
        let promoted = self.promoted.map(|at| now.since(at));
        match next_action(opinion, age, self.rollout.duration, promoted) {
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

/// Adds up what all proxies observed of an order, by route.
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
