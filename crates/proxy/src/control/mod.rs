//! The control half: who is there, which configuration is in force, and version changes.
//!
//! [`machine`] decides without I/O; [`driver`] runs it on a thread of its own and carries its
//! actions out; [`sync`] follows the store.

pub mod driver;
pub mod event;
pub mod fetch;
pub mod machine;
pub mod rollouts;
pub mod select;
pub mod sync;

pub use event::{Action, Event};
pub use machine::Control;
