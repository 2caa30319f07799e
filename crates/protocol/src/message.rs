//! Control messages between daemons: gossip, configurations, and statistics about moves.

use crate::evidence::Evidence;
use crate::member::{Alert, Member};
use rf_base::{ConfigVersion, Epoch, InstanceId, Millis, MoveId};
use rf_config::MeshConfig;
use serde::{Deserialize, Serialize};

/// Control request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Heartbeat with digests and changes; answered by [`Reply::Exchange`].
    Exchange(Box<Exchange>),
    /// Complete configuration, adopted by the receiver if newer; answered by [`Reply::Ack`].
    Deliver(Box<MeshConfig>),
    /// Asks for the configuration if it is newer than this counter; answered by [`Reply::Config`].
    Fetch(ConfigVersion),
    /// Call statistics, sent to the judges of a move.
    Evidence(Box<Evidence>),
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Request::Exchange`].
    Exchange(Box<ExchangeReply>),
    /// Reply to [`Request::Fetch`]; `None` if the replier has no newer configuration.
    Config(Option<Box<MeshConfig>>),
    /// Acknowledges a request, with the counter of the configuration in force at the replier.
    Ack(ConfigVersion),
}

/// Heartbeat of one daemon, with digests of its state and the changes the receiver may lack.
///
/// An exchange and its reply bring the rosters, alerts, stop orders and acknowledgements of two
/// daemons closer together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Daemon that sends the exchange.
    pub from: InstanceId,
    /// Counter of the configuration in force at the sender.
    pub config: ConfigVersion,
    /// Digest of the sender's whole roster.
    pub digest: u64,
    /// Digest of each bucket of the roster; empty unless the whole digests differed before.
    pub buckets: Vec<u64>,
    /// Descriptions of daemons that the receiver may lack.
    pub members: Vec<Member>,
    /// Alerts that the receiver may lack.
    pub alerts: Vec<Alert>,
    /// All stop orders that the sender knows for moves that have not ended.
    #[serde(rename = "brakes")]
    pub stop_orders: Vec<StopOrder>,
    /// Crashes of backend servers, with the requests that ran during them.
    pub strikes: Vec<Strike>,
    /// Latest known holder of the moves lease.
    #[serde(rename = "owner")]
    pub lease_holder: Option<LeaseHolder>,
    /// Daemons known to run the configuration named by `config`, without those that the receiver
    /// was told already.
    pub applied: Vec<InstanceId>,
    /// Digest of all daemons that the sender knows to run that configuration.
    pub coverage: u64,
}

/// Reply to an [`Exchange`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Digests and changes of the replier, in the form of an exchange of its own.
    #[serde(rename = "news")]
    pub exchange: Exchange,
    /// Whether the rosters still differ, so that the next exchange should carry bucket digests.
    pub differs: bool,
}

/// Holder of the moves lease, which one daemon of the mesh holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Epoch of the lease; of two known holders, the one with the higher epoch is current.
    pub epoch: Epoch,
    /// Daemon that holds the lease.
    pub instance: InstanceId,
}

/// Order to send no more traffic to the new version of a move.
///
/// A stop order is never withdrawn: it applies until the configuration says that the move ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StopOrder {
    /// Move that is stopped.
    #[serde(rename = "target")]
    pub move_id: MoveId,
    /// Time at which the order was issued.
    pub at: Millis,
    /// Daemon that judged the new version to be bad.
    pub judge: InstanceId,
    /// Findings of the judge, as text for operators.
    pub reason: String,
}

/// Crash of a backend server while a request was running on it.
///
/// Requests with strikes on several instances are suspected of crashing backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Instance whose backend server crashed.
    pub instance: InstanceId,
    /// Time of the crash.
    pub at: Millis,
}
