//! Planning, control and evaluation of version rollouts.
//!
//! An operator states an intent, which is turned into a plan; a confirmed plan is a move. The crate
//! consists of pure functions on the mesh configuration ([`plan`], [`change`], [`trial`]) and of
//! state machines that do no I/O: the [`Judge`] tests whether a new version is worse than the old
//! one, the [`MoveController`] computes the next change of each move, and the [`Writer`] writes
//! changes to the platform one at a time.

pub mod change;
pub mod controller;
pub mod judge;
pub mod odds;
pub mod plan;
pub mod trial;
pub mod writer;

pub use change::{Change, ChangeError, apply_change};
pub use controller::{ControllerInput, MoveController};
pub use judge::{Assessment, Judge, JudgeSettings};
pub use plan::{PlanError, PlanSettings, ServerView, compute_plan};
pub use trial::{TrialAction, TrialAssessment};
pub use writer::{Job, JobId, JobOutcome, Writer, WriterCall};
