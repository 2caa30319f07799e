//! A soak of the real program under injected faults.
//!
//! Proxies run as processes of their own, each beside a stand-in of a backend server, with loopback
//! proxies on every path between them. A seed gives the schedule of faults ([`schedule`]); the faults
//! come from outside ([`child`], [`link`], [`testbed`]) while callers keep sending ([`callers`]).
//! What callers, backend servers and the store see is held against the promises ([`checker`]) while
//! the run goes on, and a run in which little was injected or checked fails as well.

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
