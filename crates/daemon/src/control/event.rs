//! Events that the control machine takes in and actions that it asks for.

use rf_base::{Millis, MoveId, PlanId};
use rf_config::{Intent, MeshConfig, Plan};
use rf_membership::ExchangeTarget;
use rf_protocol::{Reply, Request, Strike};
use rf_rollout::change::Document;
use rf_store::{LeaseRecord, Object, ObjectVersion, StoreError};
use rf_traffic::RoutingTable;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

use super::status::{MoveView, StatusView};
use rf_base::{Counter, ServiceName, VersionName};

/// Names a requester that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Requester(pub u64);

/// Which lease a platform call is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseKind {
    /// The lease to watch the configuration for one availability zone.
    Watch,
    /// The lease to conduct moves.
    Moves,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformCall {
    /// Read the configuration.
    Read,
    /// Wait for a configuration newer than a version.
    Watch(ObjectVersion),
    /// Read a lease.
    LeaseGet(LeaseKind),
    /// Write a lease.
    LeasePut(LeaseKind, LeaseRecord, ObjectVersion),
    /// Read the configuration in order to change it.
    WriterGet,
    /// Write the configuration.
    WriterPut(Box<MeshConfig>, ObjectVersion),
    /// Store a plan.
    PlanPut(Requester, Box<Plan>),
    /// Read a plan.
    PlanGet(Requester, PlanId),
    /// Delete a plan.
    PlanDelete(PlanId),
}

/// Answer to a [`PlatformCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformAnswer {
    /// To [`PlatformCall::Read`].
    Read(Result<Object, StoreError>),
    /// To [`PlatformCall::Watch`].
    Watch(Result<Option<Object>, StoreError>),
    /// To [`PlatformCall::LeaseGet`].
    LeaseGet(LeaseKind, Result<Object, StoreError>),
    /// To [`PlatformCall::LeasePut`].
    LeasePut(LeaseKind, Result<ObjectVersion, StoreError>),
    /// To [`PlatformCall::WriterGet`].
    WriterGet(Result<Object, StoreError>),
    /// To [`PlatformCall::WriterPut`].
    WriterPut(Result<ObjectVersion, StoreError>),
    /// To [`PlatformCall::PlanPut`].
    PlanPut(Requester, Box<Plan>, Result<ObjectVersion, StoreError>),
    /// To [`PlatformCall::PlanGet`].
    PlanGet(Requester, PlanId, Result<Object, StoreError>),
    /// To [`PlatformCall::PlanDelete`].
    PlanDelete,
}

/// Announcement of the backend server beside the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Announcement {
    /// Service it serves.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls it can run at a time.
    pub slots: u32,
    /// Time for which the announcement holds, in milliseconds.
    pub ttl: Millis,
}

/// Request of an operator or of the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// The backend server is there.
    Announce(Announcement),
    /// The backend server is stopping.
    Withdraw,
    /// Replace services and routes.
    Apply(Document),
    /// State an intent.
    Plan(Intent),
    /// Confirm a plan.
    Confirm(PlanId),
    /// List moves.
    Moves,
    /// Show the mesh as this daemon sees it.
    Status,
    /// Show the configuration in force.
    Config,
}

/// Answer to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperatorAnswer {
    /// A plan.
    Plan(Box<Plan>),
    /// Moves.
    Moves(Vec<MoveView>),
    /// The mesh as this daemon sees it.
    Status(Box<StatusView>),
    /// The configuration in force.
    Config(Box<MeshConfig>),
    /// A move was confirmed.
    Confirmed(Confirmed),
    /// A configuration was accepted.
    Accepted(Accepted),
}

/// A confirmed move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmed {
    /// Move that the plan became.
    pub confirmed: MoveId,
    /// Configuration that carries it.
    pub counter: Counter,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Counter of the configuration.
    pub counter: Counter,
}

/// Why an operator's request was not met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorError {
    /// The request is wrong.
    Invalid(String),
    /// The request conflicts with the present state.
    Conflict(String),
    /// There is no such thing.
    NotFound(String),
    /// The platform does not answer; nothing was written.
    Unavailable(String),
    /// The platform does not answer; the write may have taken effect.
    Unknown(String),
}

/// Result of an operator's request.
pub type OperatorResult = Result<OperatorAnswer, OperatorError>;

/// One call that ended at the backend server of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Fingerprint of the route.
    pub route: u64,
    /// Whether the call failed.
    pub is_failure: bool,
    /// Time it took.
    pub latency: Millis,
}

/// Event that the control machine takes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick {
        /// Calls running at the backend server of this instance.
        running: usize,
    },
    /// Another daemon asks.
    PeerRequest(Requester, Request),
    /// Another daemon answered, or did not.
    PeerReply(ExchangeTarget, PeerCall, Option<Reply>),
    /// The platform answered.
    Platform(PlatformAnswer),
    /// An operator asks.
    Operator(Requester, OperatorRequest),
    /// A call ended here.
    Observed(Observation),
    /// A backend server crashed while a request ran on it.
    Crashed(Strike),
    /// The daemon is to stop.
    Stop,
}

/// Which kind of request an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerCall {
    /// [`Request::Exchange`].
    Exchange,
    /// [`Request::Deliver`].
    Deliver,
    /// [`Request::Fetch`].
    Fetch,
    /// [`Request::Evidence`].
    Evidence,
}

impl PeerCall {
    /// Returns the kind of `request`.
    pub fn of(request: &Request) -> PeerCall {
        match request {
            Request::Exchange(_) => PeerCall::Exchange,
            Request::Deliver(_) => PeerCall::Deliver,
            Request::Fetch(_) => PeerCall::Fetch,
            Request::Evidence(_) => PeerCall::Evidence,
        }
    }
}

/// Action that the control machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to another daemon.
    SendPeer(ExchangeTarget, Request),
    /// Answer another daemon.
    AnswerPeer(Requester, Reply),
    /// Call the platform.
    Platform(PlatformCall),
    /// Answer an operator.
    AnswerOperator(Requester, OperatorResult),
    /// Put a routing table in force.
    Publish(Arc<RoutingTable>),
    /// Put the limits of the backend server of this instance in force.
    Gate(GateState),
    /// Put the strikes in force.
    Strikes(Vec<Strike>),
}

/// What the gate before the backend server of this instance lets through.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GateState {
    /// Announcement in force, if any.
    pub server: Option<Announcement>,
    /// Calls that may wait.
    pub queue: u32,
    /// Whether new work is refused.
    pub is_leaving: bool,
    /// Status codes that promise that a request did not run.
    pub shed_status: std::collections::BTreeSet<u16>,
}
