//! Messages of the control half.

use crate::evidence::Evidence;
use crate::member::{Alert, Member};
use rf_base::{Counter, Epoch, InstanceId, Millis, MoveId};
use rf_config::MeshConfig;
use serde::{Deserialize, Serialize};

/// Request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Heartbeat, digests and news.
    Exchange(Box<Exchange>),
    /// A whole configuration.
    Deliver(Box<MeshConfig>),
    /// Ask for the configuration, where it is newer than the counter.
    Fetch(Counter),
    /// Observations of a move, for those who judge it.
    Evidence(Box<Evidence>),
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to [`Request::Exchange`].
    Exchange(Box<ExchangeReply>),
    /// Answer to [`Request::Fetch`].
    Config(Option<Box<MeshConfig>>),
    /// Taken in; carries the counter of the configuration in force here.
    Ack(Counter),
}

/// Heartbeat, digests and news of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Sender.
    pub from: InstanceId,
    /// Counter of the configuration in force at the sender.
    pub config: Counter,
    /// Digest over the sender's whole roster.
    pub digest: u64,
    /// Digests of parts of the roster, where the whole differed last time.
    pub buckets: Vec<u64>,
    /// Descriptions the receiver may lack.
    pub members: Vec<Member>,
    /// Alerts the receiver may lack.
    pub alerts: Vec<Alert>,
    /// Brakes of running moves.
    #[serde(rename = "brakes")]
    pub stop_orders: Vec<StopOrder>,
    /// Crashes of backend servers, by request.
    pub strikes: Vec<Strike>,
    /// Holder of the moves lease, as far as known.
    #[serde(rename = "owner")]
    pub lease_holder: Option<LeaseHolder>,
    /// Daemons that run the configuration named by `config`, where news.
    pub applied: Vec<InstanceId>,
    /// Digest over all daemons that the sender knows to run that configuration.
    pub coverage: u64,
}

/// Answer to [`Exchange`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The replier's own digests and news.
    pub news: Exchange,
    /// Whether the rosters still differ, so that the next exchange should carry buckets.
    pub differs: bool,
}

/// Holder of the moves lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Epoch of the lease; the highest wins.
    pub epoch: Epoch,
    /// Holder.
    pub instance: InstanceId,
}

/// Order to send no more traffic to the new version of a move.
///
/// Brakes only grow: a braked move stays braked until the configuration says that it ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StopOrder {
    /// Move that is braked.
    #[serde(rename = "target")]
    pub move_id: MoveId,
    /// Time of the order.
    pub at: Millis,
    /// Daemon that judged.
    pub judge: InstanceId,
    /// What it saw.
    pub reason: String,
}

/// One crash of one backend server while a request ran on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Instance whose backend server died.
    pub instance: InstanceId,
    /// Time of the crash.
    pub at: Millis,
}
