//! Kept HTTP/1.1 connections: the client side and the accept loop.
//!
//! Everything that speaks HTTP goes through here, so that every connection has Nagle's algorithm
//! off, every wait has a bound, and an idle connection with bytes on it is never used again.

pub mod client;
pub mod h1;
pub mod server;
pub mod timer;

pub use client::{BufferedResponse, Client, ClientSettings, Connection, SendError};
pub use server::{ServerSettings, serve};
