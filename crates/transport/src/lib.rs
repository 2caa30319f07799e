//! HTTP/1.1 transport: clients with persistent connections, and the accept loop.
//!
//! All HTTP traffic uses this crate. It disables Nagle's algorithm on every connection, provides
//! the timeouts that bound waits, and never reuses an idle connection on which bytes have arrived.

pub mod client;
pub mod h1;
pub mod server;
pub mod timer;

pub use client::{BufferedResponse, Client, ClientSettings, Connection, SendError};
pub use server::{ServerSettings, serve};
