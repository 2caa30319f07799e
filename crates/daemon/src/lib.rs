//! The daemon beside a backend server.
//!
//! [`control`] is a state machine without I/O, which the [`driver`] runs on its own thread.
//! [`traffic`] handles calls on the threads of the async runtime. [`listeners`] accept the
//! connections of both, and [`daemon`] starts and stops the whole.

pub mod control;
pub mod daemon;
pub mod driver;
pub mod listeners;
pub mod metrics;
pub mod telemetry;
pub mod traffic;

pub use daemon::{Daemon, StartError};
