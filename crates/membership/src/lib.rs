//! Gossip membership, failure detection, and distribution of the configuration.
//!
//! The crate consists of state machines without I/O. [`Membership`] maintains the roster of daemons
//! and detects daemons that do not answer. [`Distribution`] spreads the configuration and its
//! acknowledgements along the same overlay. Both take the time as a parameter and return the
//! messages to send.

pub mod distribution;
pub mod links;
pub mod membership;
pub mod overlay;
pub mod roster;

pub use distribution::{AdoptOutcome, Distribution, SyncAction};
pub use membership::{ExchangeTarget, Membership, MembershipSettings};
pub use roster::{Reachability, Roster};
