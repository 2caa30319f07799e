//! The mesh configuration, the daemon's settings, and their verifiers.
//!
//! The mesh configuration is one document: services, routes, versions, weights and moves. Changing
//! it whole is what makes a dangling route impossible to publish. Data ([`mesh`], [`moves`],
//! [`settings`]) is kept apart from the passes over it ([`weights`], [`verify`]).

pub mod mesh;
pub mod moves;
pub mod parse;
pub mod patch;
pub mod proxy;
pub mod routes;
pub mod settings;
pub mod verify;
pub mod weights;

pub use mesh::{MeshConfig, Policy, Route, Service, VersionSpec};
pub use moves::{Intent, Move, MoveState, Outcome, Plan, Step};
pub use parse::{ParseError, from_json};
pub use patch::{TableDigest, TablePatch};
pub use proxy::{Mechanisms, ProxySettings};
pub use routes::{
    CallerLimits, PathRoute, RepeatPolicy, Revision, Rollout, RolloutState, RouteTable,
    WeightedService,
};
pub use settings::Settings;
pub use verify::{VerifyError, VerifyErrors, verify_mesh, verify_settings};
