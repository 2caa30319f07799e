//! Sidecar proxy of a backend server. The platform starts the proxy, probes it and hosts the
//! configuration store.
//!
//! Data plane: [`ingress`] accepts requests, [`dispatch`] routes and retries them, [`relay`] and
//! [`peers`] carry attempts between proxies, and [`gate`] and [`run`] pass them to the backend
//! server. Control plane: [`control`]. They communicate through [`shared`]: the control plane
//! publishes an immutable [`view`], and the data plane sends observations over a bounded channel.
//!
//! A [`dialect`] defines the header names and paths on the wire; a [`source`] provides the
//! configuration and the rollouts.

pub mod admin;
pub mod authentication;
pub mod compression;
pub mod control;
pub mod departures;
pub mod dialect;
pub mod dispatch;
pub mod gate;
pub mod ingress;
pub mod listener;
pub mod local;
pub mod metrics;
pub mod peers;
pub mod pipeline;
pub mod process;
pub mod quota;
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
