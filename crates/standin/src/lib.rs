//! Stand-ins for everything outside the system, and the harness that runs real processes; for
//! tests and measurements only.
//!
//! [`platform`] takes the place of the object API, [`server`] that of a backend server, [`proxy`]
//! sits between two processes and injects faults, [`load`] calls like callers do. [`cluster`]
//! starts and stops processes; [`model`] plays load on a virtual clock.

pub mod cluster;
pub mod instance;
pub mod load;
pub mod measure;
pub mod model;
pub mod network;
pub mod operator;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod quickstart;
pub mod server;
pub mod simulation;
pub mod users;
