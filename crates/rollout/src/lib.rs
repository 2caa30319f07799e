//! Intents, plans, moves and their judge.
//!
//! Pure passes over the mesh configuration ([`plan`], [`change`]) and sans-I/O state machines: the
//! [`Judge`] decides from evidence whether a new version is worse than the old one, the
//! [`MoveController`] decides the next step of each move, and the [`Writer`] carries one change after
//! another into the platform.

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
