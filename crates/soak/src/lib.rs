//! A soak of the real program under injected faults.
//!
//! Proxies run as processes of their own, each beside a stand-in of a backend server, with loopback
//! proxies on every path between them. A seed gives the schedule of faults ([`plan`]); the faults
//! come from outside ([`child`], [`link`], [`world`]) while callers keep sending ([`callers`]).
//! What callers, backend servers and the store see is held against the promises ([`judge`]) while
//! the run goes on, and a run in which little was injected or checked fails as well.

pub mod callers;
pub mod child;
pub mod judge;
pub mod link;
pub mod plan;
pub mod run;
pub mod shorten;
pub mod world;

pub use plan::{Fault, Plan, Shape};
pub use run::{Report, SoakSettings, play};
