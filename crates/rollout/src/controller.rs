//! Controller that computes the next change of each running move.
//!
//! It runs in the daemon that holds the moves lease. It is stateless: each decision is a function
//! of the configuration, the stop orders, the judges' reports and the time, so the next lease
//! holder continues where the last one left off. All changes that it requests are idempotent.

use crate::change::Change;
use crate::judge::Assessment;
use rf_base::{Epoch, InstanceId, Millis, MoveId};
use rf_config::{Intent, MeshConfig, Move, MoveState, Outcome, Policy};
use rf_protocol::StopOrder;
use std::collections::{BTreeMap, BTreeSet};

/// Number of calls on each version that the certainty policy requires in a step before the next
/// one.
const MIN_STEP_CALLS: u64 = 30;

/// Result of judging one move so far.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgeReport {
    /// Assessment of the new version by the evidence so far.
    pub assessment: Assessment,
    /// Number of calls on the old version since the current step began.
    pub old_calls: u64,
    /// Number of calls on the new version since the current step began.
    pub new_calls: u64,
}

/// Inputs of [`MoveController::compute_changes`].
#[derive(Clone, Copy, Debug)]
pub struct ControllerInput<'a> {
    /// Configuration in force.
    pub config: &'a MeshConfig,
    /// Known orders to stop sending traffic to the new version of a move.
    pub stop_orders: &'a BTreeMap<MoveId, StopOrder>,
    /// Reports of this daemon's judges, by move; absent while a move has no evidence.
    pub reports: &'a BTreeMap<MoveId, JudgeReport>,
    /// Instances being retired that have no running calls, or that have left the mesh.
    pub drained: &'a BTreeSet<InstanceId>,
    /// Retired instances that have been removed from the membership.
    pub removed: &'a BTreeSet<InstanceId>,
    /// Fencing token of the moves lease, attached to every change.
    pub epoch: Epoch,
    /// Current time.
    pub now: Millis,
}

/// Computes the changes that advance or end running moves.
#[derive(Clone, Copy, Debug, Default)]
pub struct MoveController;

impl MoveController {
    /// Returns the changes that are due at `now`: at most one per running move, and the releases of
    /// retired instances that were removed.
    pub fn compute_changes(input: &ControllerInput<'_>) -> Vec<Change> {
        let moves = input
            .config
            .running_moves()
            .filter_map(|m| input.next_change(m));
        let releases = input.removed.iter().map(|instance| Change::Release {
            instance: *instance,
            epoch: input.epoch,
        });
        moves.chain(releases).collect()
    }
}

impl ControllerInput<'_> {
    fn next_change(&self, m: &Move) -> Option<Change> {
        if let Some(order) = self.stop_orders.get(&m.id()) {
            return Some(self.finish(m, Outcome::TakenBack, &order.reason));
        }
        if self.now >= m.plan.latest {
            return Some(self.finish(m, Outcome::TakenBack, &self.describe_timeout(m)));
        }
        match m.plan.intent {
            Intent::Shift { .. } => self.next_step(m),
            Intent::Retire { instance, .. } => self.next_retirement(m, instance),
            Intent::TakeBack { .. } => None,
        }
    }

    fn next_step(&self, m: &Move) -> Option<Change> {
        let MoveState::Running { step } = m.state else {
            return None;
        };
        if !self.can_advance(m) {
            return None;
        }
        match m.plan.steps.get(step + 1) {
            Some(next) if self.now >= next.at => Some(Change::Advance {
                target: m.id(),
                step: step + 1,
                epoch: self.epoch,
            }),
            Some(_) => None,
            None if self.now >= m.plan.finish => {
                Some(self.finish(m, Outcome::Done, "every step passed"))
            }
            None => None,
        }
    }

    fn can_advance(&self, m: &Move) -> bool {
        let report = self.reports.get(&m.id());
        let policy = self
            .config
            .services
            .get(&m.plan.service)
            .map_or(Policy::Certainty, |s| s.policy);
        match (policy, report) {
            (Policy::Certainty, None) => false,
            (Policy::Certainty, Some(report)) => {
                report.assessment == Assessment::Clean
                    && report.new_calls >= MIN_STEP_CALLS
                    && report.old_calls >= MIN_STEP_CALLS
            }
            (Policy::Deadline, None) => true,
            (Policy::Deadline, Some(report)) => report.assessment == Assessment::Clean,
        }
    }

    fn next_retirement(&self, m: &Move, instance: InstanceId) -> Option<Change> {
        self.drained
            .contains(&instance)
            .then(|| self.finish(m, Outcome::Done, "no call runs on it"))
    }

    fn describe_timeout(&self, m: &Move) -> String {
        let step = match m.state {
            MoveState::Running { step } => step + 1,
            MoveState::Ended { .. } => 0,
        };
        let steps = m.plan.steps.len().max(1);
        match self.reports.get(&m.id()) {
            Some(report) => format!(
                "deadline reached at step {step} of {steps}, with {} calls on the new version \
                 and {} on the old one since it began",
                report.new_calls, report.old_calls
            ),
            None => format!("deadline reached at step {step} of {steps}"),
        }
    }

    fn finish(&self, m: &Move, outcome: Outcome, reason: &str) -> Change {
        Change::Finish {
            target: m.id(),
            outcome,
            reason: reason.to_owned(),
            epoch: self.epoch,
        }
    }
}
