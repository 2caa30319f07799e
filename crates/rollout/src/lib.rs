//! Intents, plans, moves and their judge.
//!
//! Pure passes over the mesh configuration ([`plan`], [`change`]) and sans-I/O state machines: the
//! [`Judge`] decides from evidence whether a new version is worse than the old one, the
//! [`Conductor`] decides the next step of each move, and the [`Writer`] carries one change after
//! another into the platform.

pub mod change;
pub mod conductor;
pub mod judge;
pub mod odds;
pub mod plan;
pub mod trial;
pub mod writer;

pub use change::{Change, ChangeError, apply_change};
pub use conductor::{Conductor, View};
pub use judge::{Judge, JudgeSettings, Opinion};
pub use plan::{PlanSettings, Refusal, ServerView, compute_plan};
pub use trial::{TrialOpinion, TrialStep};
pub use writer::{Job, JobId, Writer, WriterCall, WriterEnd};
