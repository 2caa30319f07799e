//! Interface to the store that holds the configuration, the rollouts and the proxies' addresses.

use rf_base::{Incarnation, InstanceId, Millis, ZoneName};
pub use rf_config::Revision;
use rf_config::{Rollout, RolloutState, RouteTable};
use rf_protocol::Departure;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::future::Future;
use std::net::SocketAddr;

/// Error of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SourceError {
    /// The store rejected the call without executing it.
    #[snafu(display("store rejected the call with status {status}"))]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The store did not answer; a write may still take effect.
    #[snafu(display("no answer from the store: {message}"))]
    Lost {
        /// Cause of the failure.
        message: String,
    },
    /// The answer cannot be parsed.
    #[snafu(display("malformed answer from the store: {message}"))]
    Malformed {
        /// Description of the parse error.
        message: String,
    },
    /// The object was changed since it was read.
    #[snafu(display("object was changed since it was read"))]
    Conflict,
    /// The object does not exist.
    #[snafu(display("no such object"))]
    NotFound,
    /// The store no longer keeps the changes since the requested revision.
    #[snafu(display("the store no longer keeps the history since the revision"))]
    HistoryGone,
    /// The store was restored from a backup during the call, so the answer belongs to another era;
    /// a write of the earlier era may have been lost.
    #[snafu(display("store was restored from a backup during the call"))]
    Restored,
}

/// Result of a store call.
pub type Result<T> = std::result::Result<T, SourceError>;

/// Group of objects that are read or watched together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The route table.
    Table,
    /// Rollouts of service versions.
    Rollouts,
}

/// Result of a read (all objects of a topic) or a watch (the changed ones).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Newest route table, if it was read or changed.
    pub table: Option<RouteTable>,
    /// Rollouts that were read or changed.
    pub rollouts: Vec<Rollout>,
    /// Revision of the store up to which changes are included.
    pub revision: Revision,
    /// Number of objects that could not be decoded and are left out.
    pub unreadable: usize,
}

/// Store entry through which proxies discover each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyEntry {
    /// Instance of the proxy.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address at which the proxy accepts attempts and messages.
    pub relay: SocketAddr,
    /// Incarnation of the proxy process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Entries of all proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyEntries {
    /// Entries that could be decoded.
    pub entries: Vec<ProxyEntry>,
    /// Number of entries that could not be decoded and are left out.
    pub unreadable: usize,
}

/// Store through which operators configure the mesh and proxies discover each other.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all objects of a topic.
    fn read(&self, topic: Topic) -> impl Future<Output = Result<Snapshot>> + Send;

    /// Waits up to `limit` for changes of a topic after `revision`.
    fn watch(
        &self,
        topic: Topic,
        revision: Revision,
        limit: Millis,
    ) -> impl Future<Output = Result<Snapshot>> + Send;

    /// Writes this proxy's entry. `is_recorded` hints that an entry to replace probably exists.
    fn register(
        &self,
        entry: &ProxyEntry,
        is_recorded: bool,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Removes the entry of a proxy that no longer exists.
    fn unregister(&self, instance: InstanceId) -> impl Future<Output = Result<()>> + Send;

    /// Returns the newest era of the store that this process has seen. An era begins when the store
    /// is restored from a backup.
    fn era(&self) -> u64;

    /// Reads the entries of all proxies.
    fn entries(&self) -> impl Future<Output = Result<ProxyEntries>> + Send;

    /// Reads the last recorded departure from the backend server beside `instance`. The result
    /// includes every acknowledged write.
    fn departure(
        &self,
        instance: InstanceId,
    ) -> impl Future<Output = Result<Option<Departure>>> + Send;

    /// Records a departure from the backend server beside `instance`, whose proxy has an entry.
    fn record_departure(
        &self,
        instance: InstanceId,
        departure: &Departure,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Writes the state of a rollout, unless its object was changed since it was read.
    fn record(
        &self,
        rollout: &Rollout,
        state: RolloutState,
    ) -> impl Future<Output = Result<()>> + Send;
}
