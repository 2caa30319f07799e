//! The conductor: the next change of each running move.
//!
//! It runs in the daemon that holds the moves lease and keeps no state of its own: each decision
//! follows from the configuration, the brakes, the judges' opinions and the time, so the next
//! holder goes on where the last one stopped. Every change it asks for may be repeated.

use crate::change::Change;
use crate::judge::Assessment;
use rf_base::{Epoch, InstanceId, Millis, MoveId};
use rf_config::{Intent, MeshConfig, Move, MoveState, Outcome, Policy};
use rf_protocol::StopOrder;
use std::collections::{BTreeMap, BTreeSet};

/// Calls on each version since the step began that the certainty policy wants before the next.
const STEP_CALLS: u64 = 30;

/// What a move's judge says.
#[derive(Clone, Debug, PartialEq)]
pub struct JudgeReport {
    /// Assessment so far.
    pub assessment: Assessment,
    /// Calls on the old version since the step began.
    pub old_calls: u64,
    /// Calls on the new version since the step began.
    pub new_calls: u64,
}

/// Everything the conductor decides from.
#[derive(Clone, Copy, Debug)]
pub struct ControllerInput<'a> {
    /// Configuration in force.
    pub config: &'a MeshConfig,
    /// Brakes heard of.
    pub brakes: &'a BTreeMap<MoveId, StopOrder>,
    /// Judges' opinions.
    pub reports: &'a BTreeMap<MoveId, JudgeReport>,
    /// Retiring instances that run no call any more, or are removed.
    pub drained: &'a BTreeSet<InstanceId>,
    /// Retired instances that have been forgotten.
    pub removed: &'a BTreeSet<InstanceId>,
    /// Epoch of the held lease.
    pub epoch: Epoch,
    /// Current time.
    pub now: Millis,
}

/// Decides the changes that move the mesh on.
#[derive(Clone, Copy, Debug, Default)]
pub struct MoveController;

impl MoveController {
    /// Computes the changes that are due.
    pub fn compute_changes(view: &ControllerInput<'_>) -> Vec<Change> {
        let moves = view
            .config
            .running_moves()
            .filter_map(|m| view.next_change(m));
        let releases = view.removed.iter().map(|instance| Change::Release {
            instance: *instance,
            epoch: view.epoch,
        });
        moves.chain(releases).collect()
    }
}

impl ControllerInput<'_> {
    fn next_change(&self, m: &Move) -> Option<Change> {
        if let Some(brake) = self.brakes.get(&m.id()) {
            return Some(self.finish(m, Outcome::TakenBack, &brake.reason));
        }
        if self.now >= m.plan.latest {
            return Some(self.finish(m, Outcome::TakenBack, &self.explain_late(m)));
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
        if !self.may_advance(m) {
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

    fn may_advance(&self, m: &Move) -> bool {
        let reports = self.reports.get(&m.id());
        let policy = self
            .config
            .services
            .get(&m.plan.service)
            .map_or(Policy::Certainty, |s| s.policy);
        match (policy, reports) {
            (Policy::Certainty, None) => false,
            (Policy::Certainty, Some(t)) => {
                t.assessment == Assessment::Clean
                    && t.new_calls >= STEP_CALLS
                    && t.old_calls >= STEP_CALLS
            }
            (Policy::Deadline, None) => true,
            (Policy::Deadline, Some(t)) => t.assessment == Assessment::Clean,
        }
    }

    fn next_retirement(&self, m: &Move, instance: InstanceId) -> Option<Change> {
        self.drained
            .contains(&instance)
            .then(|| self.finish(m, Outcome::Done, "no call runs on it"))
    }

    fn explain_late(&self, m: &Move) -> String {
        let step = match m.state {
            MoveState::Running { step } => step + 1,
            MoveState::Ended { .. } => 0,
        };
        let steps = m.plan.steps.len().max(1);
        match self.reports.get(&m.id()) {
            Some(t) => format!(
                "deadline reached at step {step} of {steps}, with {} calls on the new version \
                 and {} on the old one since it began",
                t.new_calls, t.old_calls
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
