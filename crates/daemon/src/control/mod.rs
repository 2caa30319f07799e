//! The control half: one machine that owns all control state.
//!
//! [`Control`] is sans-I/O: it takes events with the time and returns actions. The driver runs it on
//! one thread and carries the actions out.

pub mod event;
pub mod judging;
pub mod machine;
pub mod operators;
pub mod platform;
pub mod recorder;
pub mod status;

pub use event::{Action, Event, OperatorAnswer, OperatorError, OperatorRequest, RequestId};
pub use machine::Control;
