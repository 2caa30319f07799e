//! Protocol between daemons: message types, their encoding, and their authentication.
//!
//! Every message is the body of an HTTP POST: MessagePack sealed in an [`envelope`]. Messages are
//! idempotent and may be lost, repeated or reordered. The state machines built on the protocol
//! assume no other delivery guarantee.

pub mod attempt;
pub mod envelope;
pub mod evidence;
pub mod member;
pub mod message;
pub mod relay;

pub use attempt::{AcknowledgedHeader, AttemptHeader, AttemptHeaderError};
pub use envelope::{EnvelopeError, MeshKey, open, seal};
pub use evidence::{Evidence, RouteCounts, Side, Window};
pub use member::{Alert, Member, ServerInfo};
pub use message::{Exchange, ExchangeReply, LeaseHolder, Reply, Request, StopOrder, Strike};
