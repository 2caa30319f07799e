//! Ids, time, verdicts and seeded randomness shared by every other crate.
//!
//! Nothing here does I/O. The crate sits at the bottom of the workspace, so it holds only the
//! vocabulary that more than one layer needs.

pub mod ids;
pub mod random;
pub mod time;
pub mod units;
pub mod verdict;

pub use ids::{
    AttemptId, ConfigVersion, Epoch, Incarnation, InstanceId, MoveId, OperationId, PlanId,
    ServiceName, VersionName, ZoneName,
};
pub use random::SeededRandom;
pub use time::{Clock, Millis};
pub use verdict::Verdict;
