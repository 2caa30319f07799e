//! Data of intents, plans and moves.
//!
//! A move's outcome is fixed at confirmation: a move that carries no recorded `done` at its
//! deadline is taken back by every daemon's own clock. The record in the configuration says which
//! of the two happened; because every write is conditional on the version it was computed from,
//! exactly one outcome is ever recorded.

use rf_base::{
    ConfigVersion, InstanceId, Millis, MoveId, OperationId, PlanId, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Intent {
    /// Move a share of a service's traffic to one version.
    Shift {
        /// Service to change.
        service: ServiceName,
        /// Version that receives the share.
        version: VersionName,
        /// Share of the service's traffic, in percent.
        share: u32,
        /// Time by which the move must have ended.
        by: Millis,
    },
    /// Retire one backend server.
    Retire {
        /// Instance of the backend server.
        instance: InstanceId,
        /// Time by which the move must have ended.
        by: Millis,
    },
    /// Take a running move back.
    TakeBack {
        /// Move to take back.
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
    /// Earliest time of the step.
    pub at: Millis,
    /// Part of the way from the old to the new weights, in thousandths.
    pub progress: u32,
}

/// Progress of the last step: all of the way.
pub const FULL_PROGRESS: u32 = 1000;

/// The system's answer to an intent; nothing happens before it is confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id to confirm.
    pub id: PlanId,
    /// What was asked for.
    pub intent: Intent,
    /// Configuration the plan was computed from.
    pub base: ConfigVersion,
    /// Fingerprint of the part of the configuration that the plan depends on.
    pub basis: u64,
    /// Readable form of that part, to explain a stale plan.
    pub summary: String,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// Earliest time at which "done" can be recorded.
    pub finish: Millis,
    /// Latest time at which "done" can still be recorded.
    pub latest: Millis,
    /// Time at which the move ends, done or taken back.
    pub deadline: Millis,
    /// Time after which the plan can no longer be confirmed.
    pub expires: Millis,
    /// Service whose moves exclude this one.
    pub service: ServiceName,
    /// What each step needs.
    pub needs: Vec<String>,
    /// What would stop the move.
    pub stops: Vec<String>,
}

/// One confirmed move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Plan that was confirmed.
    pub plan: Plan,
    /// Operation that confirmed it.
    pub operation: OperationId,
    /// Time of the confirmation.
    pub confirmed: Millis,
    /// How far the move is.
    pub state: MoveState,
    /// The service's weights before the move.
    pub before: BTreeMap<VersionName, u32>,
}

/// How far a move is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum MoveState {
    /// The move is at a step of its plan.
    Running {
        /// Index into the plan's steps.
        step: usize,
    },
    /// The move has ended.
    Ended {
        /// Done or taken back.
        outcome: Outcome,
        /// Time of the end.
        at: Millis,
        /// Why it ended so.
        reason: String,
    },
}

impl MoveState {
    /// Returns whether the move has not ended.
    pub fn is_running(&self) -> bool {
        matches!(self, MoveState::Running { .. })
    }
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The intended state is in force.
    Done,
    /// The state before the move is in force.
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
    /// Returns the progress in force at `now`, in thousandths: zero from the deadline on.
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

    /// Returns the id, which is the plan's: one plan makes at most one move.
    pub fn id(&self) -> MoveId {
        MoveId(self.plan.id.0)
    }
}
