//! Soak test that runs the real program under injected faults.
//!
//! Each proxy runs as its own process beside a simulated backend server. Every network path between
//! them goes through a loopback proxy that can inject faults. A seed determines the schedule of
//! faults ([`schedule`]), which are injected from outside the processes ([`child`], [`link`],
//! [`testbed`]) while callers keep sending requests ([`callers`]). What callers, backend servers
//! and the store observe is checked against the promises of the system ([`checker`]) during the
//! run. A run with too few faults or outcomes fails as well, because it shows nothing.

pub mod callers;
pub mod checker;
pub mod child;
pub mod link;
pub mod run;
pub mod schedule;
pub mod shorten;
pub mod testbed;

pub use run::{Report, SoakSettings, run_soak};
pub use schedule::{Fault, Schedule, Topology};
