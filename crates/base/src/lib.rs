//! Types shared by all other crates: ids, time, verdicts and seeded randomness.
//!
//! The crate performs no I/O. Every other crate depends on it, so it contains only what more than
//! one layer needs.

pub mod ids;
pub mod random;
pub mod rate;
pub mod time;
pub mod units;
pub mod verdict;

pub use ids::{
    AttemptId, ConfigVersion, Epoch, Incarnation, InstanceId, MoveId, OperationId, OrganisationId,
    OrganisationName, PlanId, ServiceName, VersionName, ZoneName,
};
pub use random::SeededRandom;
pub use rate::RequestRate;
pub use time::{Clock, Millis};
pub use verdict::Verdict;
