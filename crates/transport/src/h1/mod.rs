//! HTTP/1.1 messages whose bytes are preserved.
//!
//! The proxy forwards methods, targets and bodies unchanged, must recognise an answer that belongs
//! to an earlier request, and must distinguish a complete answer from a truncated one. Heads are
//! parsed by `httparse`; only [`framing`] and [`body`] determine where a body ends.

pub mod body;
pub mod budget;
pub mod connection;
pub mod framing;
pub mod head;
pub mod history;
pub mod pool;

pub use body::BodyDecoder;
pub use budget::{ByteBudget, MemoryBudget, MemoryReservation, UnlimitedBytes};
pub use connection::{Connection, ReadError, ReadLimits};
pub use framing::{Framing, FramingError, frame_request, frame_response};
pub use head::{HeadError, Headers, RequestHead, ResponseHead};
pub use history::RequestHistory;
pub use pool::{Pool, PoolSettings};
