//! The daemon: threads, listeners and telemetry around the control machine and the request path.

pub mod control;
pub mod daemon;
pub mod driver;
pub mod listeners;
pub mod metrics;
pub mod telemetry;
pub mod traffic;

pub use daemon::{Daemon, StartError};
