//! Data types of intents, plans and moves.
//!
//! The rule for the outcome of a move is fixed when the move is confirmed: unless the configuration
//! records it as done by its deadline, every daemon takes the move back according to its own clock.
//! The configuration then records which of the two happened. Every write is conditional on the
//! version that it was computed from, so exactly one outcome is ever recorded.

use rf_base::{
    ConfigVersion, InstanceId, Millis, MoveId, OperationId, PlanId, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Request of an operator from which a plan is computed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Intent {
    /// Move a share of a service's traffic to one version.
    Shift {
        /// Service to change.
        service: ServiceName,
        /// Version to which the share is moved.
        version: VersionName,
        /// Share of the service's traffic, in percent.
        share: u32,
        /// Deadline of the move.
        by: Millis,
    },
    /// Stop sending new work to one backend server.
    Retire {
        /// Instance of the backend server.
        instance: InstanceId,
        /// Deadline of the move.
        by: Millis,
    },
    /// Revert a running move.
    TakeBack {
        /// Move to revert.
        target: MoveId,
    },
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Intent::Shift {
                service,
                version,
                share,
                ..
            } => write!(f, "shift {share}% of {service} to {version}"),
            Intent::Retire { instance, .. } => write!(f, "retire {instance}"),
            Intent::TakeBack { target } => write!(f, "take back {target}"),
        }
    }
}

/// One step of a move.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Earliest time at which the step may begin.
    pub at: Millis,
    /// Progress from the old to the new weights, in thousandths; see [`FULL_PROGRESS`].
    pub progress: u32,
}

/// Progress, in thousandths, at which the new weights are fully in force.
pub const FULL_PROGRESS: u32 = 1000;

/// A plan computed from an intent. It has no effect until an operator confirms it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id by which the plan is confirmed.
    pub id: PlanId,
    /// Intent that the plan implements.
    pub intent: Intent,
    /// Version of the configuration that the plan was computed from.
    pub base: ConfigVersion,
    /// Fingerprint of the part of the configuration that the plan depends on. If it has changed,
    /// the plan is stale.
    pub basis: u64,
    /// Readable form of that part of the configuration, to explain why a plan is stale.
    pub summary: String,
    /// Steps, in the order in which they are taken.
    pub steps: Vec<Step>,
    /// Earliest time at which the move can be recorded as done.
    pub finish: Millis,
    /// Latest time at which the move can be recorded as done.
    pub latest: Millis,
    /// Time at which the move has ended, either done or taken back.
    pub deadline: Millis,
    /// Time after which the plan can no longer be confirmed.
    pub expires: Millis,
    /// Service of which only one move can run at a time, this one included.
    pub service: ServiceName,
    /// Conditions of each step, as text for the operator.
    pub needs: Vec<String>,
    /// Conditions that would stop the move, as text for the operator.
    pub stops: Vec<String>,
}

/// A confirmed move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Plan that was confirmed.
    pub plan: Plan,
    /// Operation that confirmed the plan.
    pub operation: OperationId,
    /// Time at which the plan was confirmed.
    pub confirmed: Millis,
    /// Whether the move is running or has ended.
    pub state: MoveState,
    /// Weights of the service's versions before the move.
    pub before: BTreeMap<VersionName, u32>,
}

/// State of a move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum MoveState {
    /// The move is in progress.
    Running {
        /// Index of the current step in the plan.
        step: usize,
    },
    /// The move has ended.
    Ended {
        /// Which of the two outcomes applies.
        outcome: Outcome,
        /// Time at which the move ended.
        at: Millis,
        /// Reason for this outcome.
        reason: String,
    },
}

impl MoveState {
    /// Returns whether the move has not ended.
    pub fn is_running(&self) -> bool {
        matches!(self, MoveState::Running { .. })
    }
}

/// Outcome of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The move succeeded; the intended state remains in force.
    Done,
    /// The move was reverted; the state before it is in force again.
    TakenBack,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Done => "done",
            Outcome::TakenBack => "taken back",
        })
    }
}

impl Move {
    /// Returns the progress in force at `now`, in thousandths.
    ///
    /// A move that is still running at its deadline counts as taken back from then on: its progress
    /// is zero.
    pub fn progress(&self, now: Millis) -> u32 {
        match self.state {
            MoveState::Running { step } if now < self.plan.deadline => {
                self.plan.steps.get(step).map_or(0, |s| s.progress)
            }
            MoveState::Running { .. } => 0,
            MoveState::Ended {
                outcome: Outcome::Done,
                ..
            } => FULL_PROGRESS,
            MoveState::Ended { .. } => 0,
        }
    }

    /// Returns the id of the move. It equals the id of the plan, so a plan yields at most one move.
    pub fn id(&self) -> MoveId {
        MoveId(self.plan.id.0)
    }
}
