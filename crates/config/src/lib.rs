//! The mesh configuration, the settings of a daemon, and their verification.
//!
//! The mesh configuration is a single document of services, routes, versions, weights and moves. It
//! is always replaced as a whole, so a route to a service that does not exist cannot be published.
//! Data types ([`mesh`], [`moves`], [`settings`]) are separate from the functions that process them
//! ([`weights`], [`verify`]).
//!
//! The route table ([`routes`]) and its patches ([`patch`]) serve the meshes whose configuration is
//! published by a platform; their proxies are configured by [`proxy`].

pub mod authentication;
pub mod mesh;
pub mod moves;
pub mod organisations;
pub mod parse;
pub mod patch;
pub mod proxy;
pub mod routes;
pub mod settings;
pub mod verify;
pub mod weights;

pub use authentication::{
    Admittance, Caller, Credential, KeyFault, KeyIndex, KnownOrganisation, Lineage, authenticate,
};
pub use mesh::{MeshConfig, Policy, Route, Service, VersionSpec};
pub use moves::{Intent, Move, MoveState, Outcome, Plan, Step};
pub use organisations::{KeyHash, Organisation, Quota};
pub use parse::{ParseError, from_json};
pub use patch::{TableDigest, TablePatch};
pub use proxy::{HedgingPolicy, Mechanisms, ProxySettings};
pub use routes::{
    CallerLimits, PathRoute, RepeatPolicy, Revision, Rollout, RolloutState, RouteTable,
    WeightedService,
};
pub use settings::Settings;
pub use verify::{VerifyError, VerifyErrors, verify_mesh, verify_settings};
