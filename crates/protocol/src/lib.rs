//! Protocol between daemons: message types, their encoding, and their authentication.
//!
//! A daemon is the process beside a backend server: the daemon of `rf-daemon` or the proxy of
//! `rf-proxy`. Every message is the body of an HTTP POST, encoded as MessagePack. The daemons of
//! `rf-daemon` seal theirs in an [`envelope`]; the proxies send those of [`relay`] unsealed.
//!
//! Control messages are idempotent and may be lost, repeated or reordered. The state machines built
//! on them assume no other delivery guarantee.

pub mod attempt;
pub mod envelope;
pub mod evidence;
pub mod member;
pub mod message;
pub mod relay;

pub use attempt::{AcknowledgedHeader, AttemptHeader, AttemptHeaderError};
pub use envelope::{EnvelopeError, MeshKey, open, seal};
pub use evidence::{Evidence, RouteCounts, Side, Window};
pub use member::{Alert, Departure, Member, ServerInfo};
pub use message::{Exchange, ExchangeReply, LeaseHolder, Reply, Request, StopOrder, Strike};
