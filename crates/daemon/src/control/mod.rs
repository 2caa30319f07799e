//! Control plane of the daemon: a state machine that owns all control state.
//!
//! [`Control`] does no I/O: it handles events, each with the current time, and returns actions. The
//! [driver](crate::driver) runs it on one thread and executes the actions.

pub mod event;
pub mod judging;
pub mod machine;
pub mod operators;
pub mod platform;
pub mod recorder;
pub mod status;

pub use event::{Action, Event, OperatorAnswer, OperatorError, OperatorRequest, RequestId};
pub use machine::Control;
