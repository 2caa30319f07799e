//! The daemon beside a backend server.
//!
//! The control plane, [`control`], is a state machine without I/O, which the [`driver`] runs on its
//! own thread. The data plane, [`traffic`], handles calls on the threads of the async runtime.
//! [`listeners`] accept the connections of both, and [`daemon`] starts and stops them all.

pub mod control;
pub mod daemon;
pub mod driver;
pub mod listeners;
pub mod metrics;
pub mod telemetry;
pub mod traffic;

pub use daemon::{Daemon, StartError};
