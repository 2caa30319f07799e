//! Data plane of the daemon: calls from callers, attempts between daemons, and exchanges with the
//! backend server.
//!
//! [`ingress`] accepts a call, [`attempt`] sends one attempt of it to the daemon beside the chosen
//! backend server, [`relay`] receives that attempt there, and [`run`] runs it once the [`gate`]
//! admits it. [`idempotency`] handles calls with an idempotency key. These modules do the I/O; the
//! routing, retry and admission decisions are made by the `rf-traffic` crate.

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
