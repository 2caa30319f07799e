//! Control plane: membership, the active configuration, and rollouts.
//!
//! [`machine`] is a state machine without I/O. [`driver`] runs it on a dedicated thread and
//! executes its actions. [`sync`] reads and watches the store.

pub mod driver;
pub mod event;
pub mod fetch;
pub mod machine;
pub mod quotas;
pub mod rollouts;
pub mod select;
pub mod sync;

pub use event::{Action, Event};
pub use machine::Control;
