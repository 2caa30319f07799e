//! Where configuration, orders and the addresses of other proxies come from.

use rf_base::{Incarnation, InstanceId, Millis, ZoneName};
pub use rf_config::Revision;
use rf_config::{Rollout, RolloutState, RouteTable};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::future::Future;
use std::net::SocketAddr;

/// Error of one call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SourceError {
    /// The store refused the call; nothing was done.
    #[snafu(display("store refuses: status {status}"))]
    Refused {
        /// Status code.
        status: u16,
    },
    /// There is no answer; a write may take effect.
    #[snafu(display("no answer from the store: {message}"))]
    Lost {
        /// What happened.
        message: String,
    },
    /// The answer cannot be read.
    #[snafu(display("answer of the store not understood: {message}"))]
    Malformed {
        /// What was expected.
        message: String,
    },
    /// The object changed meanwhile.
    #[snafu(display("object changed meanwhile"))]
    Conflict,
    /// The object does not exist.
    #[snafu(display("no such object"))]
    NotFound,
    /// The changes since the revision are not kept any more.
    #[snafu(display("history since the revision is gone"))]
    HistoryGone,
    /// The answer is of another era than the call; a write may have been lost with its era.
    #[snafu(display("store came back from a copy meanwhile"))]
    Restored,
}

/// Result of one call.
pub type Result<T> = std::result::Result<T, SourceError>;

/// Which objects are read or watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The route table.
    Table,
    /// Orders of version changes.
    Rollouts,
}

/// Objects as they stand, or that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Newest route table among them.
    pub table: Option<RouteTable>,
    /// Orders among them.
    pub rollouts: Vec<Rollout>,
    /// Revision up to which they were read.
    pub revision: Revision,
}

/// Entry by which proxies find each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyEntry {
    /// Instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for attempts and messages.
    pub relay: SocketAddr,
    /// Life of the process.
    pub life: Incarnation,
}

/// A store that operators write to and proxies meet in.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all objects of a topic.
    fn read(&self, topic: Topic) -> impl Future<Output = Result<Snapshot>> + Send;

    /// Waits up to `limit` for changes after `revision`.
    fn watch(
        &self,
        topic: Topic,
        revision: Revision,
        limit: Millis,
    ) -> impl Future<Output = Result<Snapshot>> + Send;

    /// Writes this proxy's entry; `is_recorded` tells whether there probably is one to replace.
    fn register(
        &self,
        entry: &ProxyEntry,
        is_recorded: bool,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Removes the entry of a proxy that is gone.
    fn unregister(&self, instance: InstanceId) -> impl Future<Output = Result<()>> + Send;

    /// Returns the newest era of the store that was seen.
    fn era(&self) -> u64;

    /// Reads the entries of all proxies.
    fn entries(&self) -> impl Future<Output = Result<Vec<ProxyEntry>>> + Send;

    /// Records the state of a version change, unless its record changed since it was read.
    fn record(
        &self,
        rollout: &Rollout,
        state: RolloutState,
    ) -> impl Future<Output = Result<()>> + Send;
}
