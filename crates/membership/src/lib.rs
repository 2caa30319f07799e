//! Who is in the mesh, and how news reaches everyone.
//!
//! Sans-I/O state machines: [`Membership`] keeps the roster of daemons and finds out which of them
//! do not answer; [`Distribution`] carries the configuration and its acknowledgements along the
//! same overlay. Both take the time as a parameter and return what to send.

pub mod distribution;
pub mod links;
pub mod membership;
pub mod overlay;
pub mod roster;

pub use distribution::{AdoptOutcome, Distribution, SyncAction};
pub use membership::{ExchangeTarget, Membership, MembershipSettings};
pub use roster::{Reachability, Roster};
