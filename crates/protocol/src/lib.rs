//! The protocol between daemons: typed messages, their encoding, and their authentication.
//!
//! Every message is one HTTP POST with an [`envelope`] around a MessagePack body. Messages are
//! idempotent and may be lost, repeated or reordered; the state machines above rely on nothing else.

pub mod attempt;
pub mod envelope;
pub mod evidence;
pub mod member;
pub mod message;
pub mod relay;

pub use attempt::{AttemptHeader, AttemptHeaderError, SettledHeader};
pub use envelope::{EnvelopeError, MeshKey, open, seal};
pub use evidence::{Evidence, RouteCounts, Side, Window};
pub use member::{Alert, Member, ServerInfo};
pub use message::{Exchange, ExchangeReply, LeaseHolder, Reply, Request, StopOrder, Strike};
