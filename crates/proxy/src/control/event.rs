//! What the control machine is told, and what it wants done.

use crate::source::{ProxyEntry, Snapshot, Topic};
use crate::view::View;
use async_channel::Sender;
use rf_base::InstanceId;
use rf_config::{Rollout, RolloutState, RouteTable};
use rf_membership::ExchangeTarget;
use rf_protocol::relay::{GossipUpdate, RelayReply, RelayRequest, TrialReport};
use rf_protocol::{Exchange, ExchangeReply, Member, Strike};
use rf_traffic::{LocalServer, StrikeTable};

/// Where the answer to an exchange goes.
pub type ExchangeSender = Sender<(ExchangeReply, GossipUpdate)>;

/// What the control machine is told.
#[derive(Debug)]
pub enum Event {
    /// Time passes; carries what this proxy observed of running version changes.
    Tick(Vec<TrialReport>),
    /// Another proxy exchanges news.
    Exchange(Box<Exchange>, Box<GossipUpdate>, ExchangeSender),
    /// Another proxy describes itself, because its backend server leaves.
    MemberDescribed(Box<Member>),
    /// Another proxy tells what it observed of a version change.
    TrialObserved(Box<TrialReport>),
    /// The store answered this proxy, in this era.
    StoreAnswered(u64),
    /// A message was answered, or not.
    Replied(ExchangeTarget, MessageKind, Option<RelayReply>),
    /// The backend server beside this proxy came, changed or left.
    ServerChanged(Option<LocalServer>),
    /// A backend server died while it ran a request.
    ServerCrashed(Strike),
    /// A request with strikes was answered with success.
    StrikesCleared(u64),
    /// Objects were read from the store.
    SnapshotRead(Box<Snapshot>),
    /// Entries of proxies were read from the store.
    EntriesRead(Vec<ProxyEntry>),
    /// The process is about to end.
    Stop,
}

/// MessageKind of a message whose reply matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Heartbeat and news.
    Exchange,
    /// Request for a route table.
    Fetch,
    /// Description that must be known at once.
    Tell,
    /// Observations of a version change.
    Observe,
}

/// What the control machine wants done.
#[derive(Debug)]
pub enum Action {
    /// Send a message.
    Send(ExchangeTarget, MessageKind, Box<RelayRequest>),
    /// Answer an exchange.
    Answer(ExchangeSender, Box<(ExchangeReply, GossipUpdate)>),
    /// Put a view in force.
    PublishView(Box<View>),
    /// Put what is known of crashing requests in force.
    PublishStrikes(Box<StrikeTable>),
    /// Record the state of a version change.
    RecordState(Box<Rollout>, RolloutState),
    /// Let a backend server be chosen again at once.
    Readmit(InstanceId),
    /// Follow the store, or leave that to others.
    Follow(Topic, bool),
    /// The store came back from a copy; it is in this era now.
    StoreRestored(u64),
    /// A newer route table is in force.
    TableAdopted(std::sync::Arc<RouteTable>),
}
