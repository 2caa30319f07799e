//! Events that the control machine handles, and actions that it requests from the driver.

use super::status::{MoveView, StatusView};
use rf_base::{ConfigVersion, Millis, MoveId, PlanId, ServiceName, VersionName};
use rf_config::{Intent, MeshConfig, Plan};
use rf_membership::ExchangeTarget;
use rf_protocol::{Reply, Request, Strike};
use rf_rollout::change::Document;
use rf_store::{LeaseRecord, Object, ObjectVersion, StoreError};
use rf_traffic::RoutingTable;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a request whose sender waits for an answer; unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A lease stored in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseKind {
    /// Lease of the daemon that watches the configuration on behalf of one availability zone.
    Watch,
    /// Lease of the daemon that advances and ends the moves of the mesh.
    Moves,
}

/// A call to the object store of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformCall {
    /// Reads the configuration.
    Read,
    /// Waits until the configuration is newer than the given version (long poll).
    Watch(ObjectVersion),
    /// Reads the record of a lease.
    LeaseGet(LeaseKind),
    /// Writes the record of a lease if the object still has the given version.
    LeasePut(LeaseKind, LeaseRecord, ObjectVersion),
    /// Reads the configuration for the writer, which is about to change it.
    WriterGet,
    /// Writes the configuration if the object still has the given version.
    WriterPut(Box<MeshConfig>, ObjectVersion),
    /// Stores a new plan.
    PlanPut(RequestId, Box<Plan>),
    /// Reads a plan in order to confirm it.
    PlanGet(RequestId, PlanId),
    /// Deletes a plan that can no longer be confirmed.
    PlanDelete(PlanId),
}

/// Result of a [`PlatformCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformAnswer {
    /// Result of [`PlatformCall::Read`].
    Read(Result<Object, StoreError>),
    /// Result of [`PlatformCall::Watch`]; `None` if nothing changed during the wait.
    Watch(Result<Option<Object>, StoreError>),
    /// Result of [`PlatformCall::LeaseGet`].
    LeaseGet(LeaseKind, Result<Object, StoreError>),
    /// Result of [`PlatformCall::LeasePut`], with the new version of the object.
    LeasePut(LeaseKind, Result<ObjectVersion, StoreError>),
    /// Result of [`PlatformCall::WriterGet`].
    WriterGet(Result<Object, StoreError>),
    /// Result of [`PlatformCall::WriterPut`], with the new version of the object.
    WriterPut(Result<ObjectVersion, StoreError>),
    /// Result of [`PlatformCall::PlanPut`].
    PlanPut(RequestId, Box<Plan>, Result<ObjectVersion, StoreError>),
    /// Result of [`PlatformCall::PlanGet`].
    PlanGet(RequestId, PlanId, Result<Object, StoreError>),
    /// [`PlatformCall::PlanDelete`] has ended; a failure is ignored.
    PlanDelete,
}

/// Registration of the backend server of this instance; it expires unless it is renewed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Announcement {
    /// Service that the backend server implements.
    pub service: ServiceName,
    /// Version of the service that it runs.
    pub version: VersionName,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Maximum number of concurrent calls; at least 1.
    pub slots: u32,
    /// Time to live in milliseconds, counted from the arrival of the announcement.
    pub ttl: Millis,
}

/// Request on the operators' port, from an operator or from the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Registers the backend server or renews its registration.
    Announce(Announcement),
    /// Removes the registration of the backend server, which is stopping.
    Withdraw,
    /// Replaces the services and routes of the configuration.
    Apply(Document),
    /// Requests a plan for an intent.
    Plan(Intent),
    /// Confirms a plan, which starts or takes back a move.
    Confirm(PlanId),
    /// Lists all moves in the configuration.
    Moves,
    /// Shows the state of the mesh as known to this daemon.
    Status,
    /// Shows the configuration in force at this daemon.
    Config,
}

/// Answer to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OperatorAnswer {
    /// The computed plan, which has been stored but not confirmed.
    Plan(Box<Plan>),
    /// All moves, ordered by the time of their confirmation.
    Moves(Vec<MoveView>),
    /// The state of the mesh as known to this daemon.
    Status(Box<StatusView>),
    /// The configuration in force at this daemon.
    Config(Box<MeshConfig>),
    /// The plan was confirmed.
    Confirmed(Confirmed),
    /// An announcement, withdrawal or new configuration was accepted.
    Accepted(Accepted),
}

/// Answer to the confirmation of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmed {
    /// Move that the plan started, or that it takes back.
    pub confirmed: MoveId,
    /// Counter of the configuration in which the confirmation took effect.
    pub counter: ConfigVersion,
}

/// Answer to an accepted announcement, withdrawal or configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Counter of the written configuration, or of the one in force if none was written.
    pub counter: ConfigVersion,
}

/// Reason why an operator's request failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorError {
    /// The request is malformed or violates a rule of the configuration.
    Invalid(String),
    /// The request conflicts with the current state of the mesh.
    Conflict(String),
    /// The named plan or move does not exist.
    NotFound(String),
    /// A platform call failed; the configuration was not changed.
    Unavailable(String),
    /// The response to a write was lost; the write may have taken effect.
    Unknown(String),
}

/// Result of an operator's request.
pub type OperatorResult = Result<OperatorAnswer, OperatorError>;

/// Result of one call to the backend server of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Fingerprint of the route's host and prefix.
    pub route: u64,
    /// Whether the call counts as failed.
    pub is_failure: bool,
    /// Duration of the call.
    pub latency: Millis,
}

/// Event that the control machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Sent at regular intervals, to run what is due.
    Tick {
        /// Number of attempts that run or wait at the backend server of this instance.
        running: usize,
    },
    /// Another daemon sent a request.
    PeerRequest(RequestId, Request),
    /// A request to another daemon ended; `None` if it was not answered.
    PeerReply(ExchangeTarget, MessageKind, Option<Reply>),
    /// A platform call ended.
    Platform(PlatformAnswer),
    /// A request arrived on the operators' port.
    Operator(RequestId, OperatorRequest),
    /// A call to the backend server of this instance ended.
    CallEnded(Observation),
    /// The backend server of this instance crashed while it ran a request.
    ServerCrashed(Strike),
    /// The process is about to stop.
    Stop,
}

/// Kind of a [`Request`], by which its reply is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// [`Request::Exchange`].
    Exchange,
    /// [`Request::Deliver`].
    Deliver,
    /// [`Request::Fetch`].
    Fetch,
    /// [`Request::Evidence`].
    Evidence,
}

impl MessageKind {
    /// Returns the kind of `request`.
    pub fn of(request: &Request) -> MessageKind {
        match request {
            Request::Exchange(_) => MessageKind::Exchange,
            Request::Deliver(_) => MessageKind::Deliver,
            Request::Fetch(_) => MessageKind::Fetch,
            Request::Evidence(_) => MessageKind::Evidence,
        }
    }
}

/// Action that the control machine requests from the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to another daemon.
    SendPeer(ExchangeTarget, Request),
    /// Answers a request of another daemon.
    AnswerPeer(RequestId, Reply),
    /// Makes a platform call.
    CallPlatform(PlatformCall),
    /// Answers a request on the operators' port.
    AnswerOperator(RequestId, OperatorResult),
    /// Replaces the routing table of the traffic threads.
    PublishTable(Arc<RoutingTable>),
    /// Replaces the admission state of the gate in front of the backend server.
    PublishGate(GateState),
    /// Replaces the record of requests that crashed backend servers.
    PublishStrikes(Vec<Strike>),
}

/// Admission state of the gate in front of the backend server of this instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GateState {
    /// Valid announcement of the backend server; without one, every call is refused.
    pub server: Option<Announcement>,
    /// Maximum number of calls that wait for a free slot.
    pub queue: u32,
    /// Whether new calls are refused because the daemon is stopping or the instance is retired, or
    /// is being retired.
    pub is_leaving: bool,
    /// Status codes by which the backend server states that it did not run a request.
    pub shed_status: std::collections::BTreeSet<u16>,
}
