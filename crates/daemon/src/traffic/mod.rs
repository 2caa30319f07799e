//! The traffic half: callers' requests, attempts between daemons, the backend server.
//!
//! [`ingress`] takes a call in, [`attempt`] sends one attempt of it to the daemon beside the chosen
//! backend server, [`relay`] takes that attempt in there, and [`run`] runs it behind the [`gate`].
//! [`keyed`] wraps calls with an idempotency key. Decisions are those of the `rf-traffic` crate.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod gate;
pub mod headers;
pub mod idempotency;
pub mod ingress;
pub mod relay;
pub mod run;
pub mod shared;
pub mod trace;

pub use shared::Shared;
