//! HTTP/1.1 transport.
//!
//! All HTTP traffic uses this crate. [`h1`] reads and writes messages itself, for proxies that must
//! forward them unchanged. [`client`] and [`server`] are built on an HTTP library, but responses are
//! read by [`h1`] everywhere, so that one set of rules determines what counts as a response. The
//! crate disables Nagle's algorithm on every connection, provides the timeouts that bound waits, and
//! never reuses an idle connection on which bytes have arrived.

pub mod client;
pub mod h1;
mod response;
pub mod server;
pub mod timer;

pub use client::{BufferedResponse, Client, ClientSettings, Connection, SendError};
pub use server::{ServerSettings, serve};
