//! Stand-ins for everything outside the system and a harness that runs real processes, for tests
//! and measurements only.
//!
//! [`platform`] replaces the object API of the platform, [`server`] replaces a backend server,
//! [`proxy`] is a TCP proxy that injects faults between two processes, [`link`] mixes up their
//! replies, [`raw_answer`] breaks the protocol in answers, and [`load`] generates the calls of
//! callers. [`users`] replaces the store and the
//! backend servers of the users' platform.
//! [`cluster`] starts and stops processes. [`network`] and [`simulation`] run parts of the system
//! on a virtual clock, as does [`model`] for placement and queueing under load.

pub mod cluster;
pub mod instance;
pub mod link;
pub mod load;
pub mod measure;
pub mod model;
pub mod network;
pub mod operator;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod quickstart;
pub mod raw_answer;
pub mod server;
pub mod simulation;
pub mod users;
