//! HTTP/1.1 messages with exact bytes.
//!
//! The proxy passes on methods, targets and bodies as they came, has to recognise an answer that
//! belongs to an earlier request, and must tell an answer that ended from one that broke off. Heads
//! are parsed by `httparse`; framing of bodies is decided in [`framing`] and nowhere else.

pub mod connection;
pub mod framing;
pub mod head;
pub mod pool;

pub use connection::{ByteBudget, Connection, ReadError, ReadLimits, UnlimitedBytes};
pub use framing::{Framing, FramingError, frame_request, frame_response};
pub use head::{Headers, RequestHead, ResponseHead};
pub use pool::{Checkout, Pool, PoolSettings};
