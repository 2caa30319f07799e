//! Inputs (events) and outputs (actions) of the control state machine.

use crate::source::{ProxyEntry, Snapshot, Topic};
use crate::view::View;
use async_channel::Sender;
use rf_base::InstanceId;
use rf_config::{Rollout, RolloutState, RouteTable};
use rf_membership::ExchangeTarget;
use rf_protocol::relay::{GossipUpdate, RelayReply, RelayRequest, TrialReport};
use rf_protocol::{Departure, Exchange, ExchangeReply, Member, Strike};
use rf_traffic::{LocalServer, StrikeTable};

/// Channel for the answer to a gossip exchange.
pub type ExchangeSender = Sender<(ExchangeReply, GossipUpdate)>;

/// Input of the control state machine.
#[derive(Debug)]
pub enum Event {
    /// Periodic tick; carries this proxy's observations of the running rollouts.
    Tick(Vec<TrialReport>),
    /// Gossip exchange that another proxy started, with the channel for the answer.
    Exchange(Box<Exchange>, Box<GossipUpdate>, ExchangeSender),
    /// Another proxy sent its updated description directly, because its backend server leaves.
    MemberDescribed(Box<Member>),
    /// Another proxy sent its observations of a rollout.
    TrialObserved(Box<TrialReport>),
    /// The store answered a call of this proxy; carries the era of the store.
    StoreAnswered(u64),
    /// A message was answered, or failed (`None`).
    Replied(ExchangeTarget, MessageKind, Option<RelayReply>),
    /// The local backend server became available, changed, or left (`None`); carries the last
    /// departure as well.
    ServerChanged(Option<LocalServer>, Option<Departure>),
    /// Another proxy asks to remember the departure from the backend server beside an instance;
    /// carries the channel for the confirmation.
    DepartureTold(InstanceId, Departure, Sender<()>),
    /// The local backend server crashed while it ran a request.
    ServerCrashed(Strike),
    /// A request that was suspected of crashing backend servers succeeded; carries its fingerprint.
    StrikesCleared(u64),
    /// A topic was read from the store, or a watch reported changes.
    SnapshotRead(Box<Snapshot>),
    /// The entries of all proxies were read from the store.
    EntriesRead(Vec<ProxyEntry>),
    /// The process is shutting down.
    Stop,
}

/// Kind of a message to another proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Heartbeat with gossip.
    Exchange,
    /// Request for a newer route table.
    Fetch,
    /// This proxy's own description, sent directly rather than by gossip.
    Tell,
    /// Observations of a rollout.
    Observe,
}

/// Output of the control state machine, executed by the driver.
#[derive(Debug)]
pub enum Action {
    /// Send a message to another proxy.
    Send(ExchangeTarget, MessageKind, Box<RelayRequest>),
    /// Answer a gossip exchange.
    Answer(ExchangeSender, Box<(ExchangeReply, GossipUpdate)>),
    /// Replace the data plane's view.
    PublishView(Box<View>),
    /// Replace the data plane's records of requests that crash backend servers.
    PublishStrikes(Box<StrikeTable>),
    /// Write the state of a rollout to the store.
    RecordState(Box<Rollout>, RolloutState),
    /// Lift the ejection of an instance's backend server, so that it may be chosen again at once.
    Readmit(InstanceId),
    /// Start (`true`) or stop (`false`) following a topic of the store.
    Follow(Topic, bool),
    /// The store was restored from a backup; carries its new era.
    StoreRestored(u64),
    /// Another proxy knows of this departure from the local backend server.
    ServerDeparted(Departure),
    /// Confirm that a departure from another backend server is remembered.
    Remembered(Sender<()>),
    /// A newer route table became active.
    TableAdopted(std::sync::Arc<RouteTable>),
}
