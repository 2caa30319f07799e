//! The proxy beside a backend server, on a platform that starts it, probes it and keeps its store.
//!
//! Traffic half: [`ingress`] takes requests in, [`dispatch`] offers them to backend servers, [`relay`]
//! and [`peers`] carry attempts between proxies, [`gate`] and [`run`] hand them to the backend
//! server. Control half: [`control`]. The two meet in [`shared`]: the control half publishes an
//! immutable [`view`], the traffic half sends observations over a bounded channel.
//!
//! Names on the wire come from a [`dialect`], configuration and orders from a [`source`].

pub mod admin;
pub mod compression;
pub mod control;
pub mod dialect;
pub mod dispatch;
pub mod gate;
pub mod ingress;
pub mod listener;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod receiving;
pub mod relay;
pub mod run;
pub mod sending;
pub mod shared;
pub mod source;
pub mod telemetry;
pub mod trials;
pub mod view;

pub use process::{Proxy, StartError};
