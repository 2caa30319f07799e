//! Messages on relay connections: attempts sent to the proxy beside a backend server, and gossip.
//!
//! Durations and ages are sent instead of points in time wherever the receiver would compare them
//! with its own clock, because the clocks of two instances may differ. The receiver counts from
//! the moment of receipt.

use crate::member::{Departure, Member};
use crate::message::{Exchange, ExchangeReply, Strike};
use rf_base::{
    AttemptId, ConfigVersion, Incarnation, InstanceId, Millis, OrganisationId, RequestRate,
    ServiceName, VersionName,
};
use rf_config::{RepeatPolicy, Rollout, TableDigest, TablePatch};
use serde::{Deserialize, Serialize};

/// Identity of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptKey {
    /// Identifies the attempt across all proxies.
    pub id: AttemptId,
    /// Proxy that is to run the attempt.
    pub target: InstanceId,
    /// Incarnation of that proxy; other incarnations refuse the attempt.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Time limits, priority and sizes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTerms {
    /// Whether the request may run more than once.
    pub repeat: RepeatPolicy,
    /// Fingerprint of the name of the route.
    pub route: u64,
    /// Priority; 0 is the most urgent. A call made by a running request inherits the priority of
    /// that request.
    pub priority: u8,
    /// Whether the attempt belongs to a call made by a running request.
    pub is_nested: bool,
    /// Whether the attempt only gets slots that no other request wants, because no server had a
    /// free slot for it in time.
    #[serde(rename = "is_spare")]
    pub is_best_effort: bool,
    /// Time left until the latency target of the route; a later answer is worth less.
    #[serde(rename = "target")]
    pub target_left: Millis,
    /// Time left until the sender gives up the request.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Longest time for which the attempt may wait for a slot.
    #[serde(rename = "patience")]
    pub max_wait: Millis,
    /// Expected length of the answer, in bytes: the average of the route.
    #[serde(rename = "expected")]
    pub answer_bytes: u64,
    /// Length of the request body, in bytes, if it follows in a [`RelayRequest::Body`] once the
    /// receiver asks for it; zero if the payload holds the body.
    #[serde(rename = "body")]
    pub body_bytes: u64,
    /// What the sender was last told that the backend server has said about itself. The receiver
    /// may have restarted since.
    #[serde(default)]
    pub condition: Option<ServerCondition>,
    /// Properties for scheduling that most attempts lack. It stays the last field, since it is left
    /// out of the message while it is `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<AttemptClass>,
}

/// Properties of an attempt for its scheduling at the gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptClass {
    /// Organisation whose caller sent the request, if it is known.
    pub organisation: Option<OrganisationId>,
    /// Whether this is a hedged request, whose first attempt is running. It only gets a free slot
    /// for which no other request waits.
    pub is_hedge: bool,
}

impl AttemptTerms {
    /// Returns the organisation whose caller sent the request, if it is known.
    pub fn organisation(&self) -> Option<OrganisationId> {
        self.class.and_then(|c| c.organisation)
    }

    /// Returns whether the attempt is a hedged request.
    pub fn is_hedge(&self) -> bool {
        self.class.is_some_and(|c| c.is_hedge)
    }

    /// Subtracts `span`, the time since the terms were received, from the remaining times.
    pub fn elapse(&mut self, span: Millis) {
        self.target_left = self.target_left.since(span);
        self.time_left = self.time_left.since(span);
        self.max_wait = self.max_wait.since(span);
    }
}

/// HTTP request for a backend server, without the header fields that concern one connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// HTTP method.
    pub method: String,
    /// Request target, as sent by the caller.
    pub target: String,
    /// Names and values of the header fields, in the order of the message.
    pub headers: Vec<(String, String)>,
    /// Message body, without transfer coding.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Request to run one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Identity of the attempt.
    pub key: AttemptKey,
    /// Time limits, priority and sizes.
    pub terms: AttemptTerms,
    /// Service to which the backend server must belong.
    pub service: ServiceName,
    /// Version that the backend server must run.
    pub version: VersionName,
    /// Version of the route table by which the sender chose the backend server.
    pub table: ConfigVersion,
    /// Request id of the caller.
    pub request: String,
    /// Fingerprint of the request, by which requests that crash backend servers are recognised.
    pub fingerprint: u64,
    /// HTTP request to run.
    pub payload: Payload,
}

/// What a backend server has said about itself in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCondition {
    /// Fingerprint of the process that said it.
    pub process: u64,
    /// Requests that it takes from all instances together; `None` if it names no limit.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// Load of the backend server beside a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that it is running.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Average time of a run, over all routes; zero before one has ended.
    #[serde(rename = "usual")]
    pub mean_run: Millis,
    /// Average time of a run of the route that the report was made for.
    #[serde(rename = "run")]
    pub route_run: Millis,
    /// Time until its rate limit allows one more run after those that wait; zero without a limit.
    #[serde(default)]
    pub rate_wait: Millis,
    /// What it has said about itself; `None` if nothing.
    #[serde(default)]
    pub condition: Option<ServerCondition>,
    /// How long work takes on it; `None` if it does not say. It stays the last field, since it is
    /// left out of the message while it is `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<Slowness>,
}

/// How long work takes on the instance of a backend server, as the server has stated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slowness {
    /// Duration of work in percent of the usual one: 100 is as usual, 300 three times as long.
    pub percent: u16,
    /// Time since the server stated it.
    pub age: Millis,
}

/// Complete HTTP response of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the header fields, in the order of the message.
    pub headers: Vec<(String, String)>,
    /// Message body, without transfer coding.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether a call made during the run was refused because no slot was free for it.
    pub is_starved: bool,
}

/// Reason for which an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rejection {
    /// No slot is expected to become free within the longest wait; carries the time until one is
    /// expected.
    Busy(Millis),
    /// A service that is called during the run has no free slots; carries the time until some are
    /// expected.
    Starved(Millis),
    /// The backend server is shutting down or gone, or does not run the requested service or
    /// version.
    NotHere,
    /// No connection to the backend server could be opened.
    Unconnected,
    /// The backend server itself refused the request.
    Shed,
    /// The attempt expired while it waited for a slot.
    Expired,
    /// The attempt was revoked before it started, or was received before.
    Revoked,
    /// The attempt was meant for another incarnation of the proxy.
    #[serde(rename = "ForeignLife")]
    WrongIncarnation,
}

impl Rejection {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::Busy(_) => "busy",
            Rejection::Starved(_) => "starved",
            Rejection::NotHere => "not-here",
            Rejection::Unconnected => "unconnected",
            Rejection::Shed => "shed",
            Rejection::Expired => "expired",
            Rejection::Revoked => "revoked",
            Rejection::WrongIncarnation => "foreign-life",
        }
    }
}

/// Reason for which an attempt that may have run has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Loss {
    /// The backend server closed the connection early or sent an invalid answer.
    Broken,
    /// The backend server crashed while it was running the request.
    Crashed,
    /// The time of the attempt ran out.
    Late,
    /// The sender cancelled the request.
    Cancelled,
    /// The ledger has dropped the answer.
    Dropped,
    /// The attempt was sent to an earlier incarnation of the proxy, whose ledger is lost.
    #[serde(rename = "EarlierLife")]
    EarlierIncarnation,
    /// The proxy could not be reached to query the outcome.
    Unreachable,
}

impl Loss {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Loss::Broken => "broken",
            Loss::Crashed => "crashed",
            Loss::Late => "late",
            Loss::Cancelled => "cancelled",
            Loss::Dropped => "dropped",
            Loss::EarlierIncarnation => "earlier-life",
            Loss::Unreachable => "unreachable",
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The backend server answered.
    Answered(ServerAnswer),
    /// The attempt did not run and never will.
    NotRun(Rejection),
    /// The attempt may have run, but there is no answer.
    MayHaveRun(Loss),
}

/// State of an attempt in the ledger of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// The attempt is waiting or running.
    Pending,
    /// The attempt has ended.
    Ended(AttemptEnd),
}

/// Outcomes of the requests of one route on one version of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCount {
    /// Attempts that were answered or lost.
    pub total: u64,
    /// Attempts among them that failed.
    pub failed: u64,
    /// Attempts among them that took unusually long.
    pub slow: u64,
}

/// Outcomes of the requests of one route, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteVersionCounts {
    /// Fingerprint of the name of the route.
    pub route: u64,
    /// Outcomes on the version that was in use before the change.
    pub old: VersionCount,
    /// Outcomes on the version that is being tried.
    pub new: VersionCount,
}

/// Outcomes that one proxy has counted since the start of a version change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Number of the order to change the version; see [`Rollout::order`].
    pub order: u64,
    /// Proxy that counted the outcomes.
    pub observer: InstanceId,
    /// Incarnation of that proxy; its counts start anew with each incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts of each route that had requests.
    #[serde(rename = "cells")]
    pub routes: Vec<RouteVersionCounts>,
}

impl TrialReport {
    /// Returns the number of outcomes counted, which never falls within one incarnation.
    ///
    /// Of two reports by the same incarnation, the one with the higher total is newer.
    pub fn total(&self) -> u64 {
        self.routes.iter().map(|c| c.old.total + c.new.total).sum()
    }
}

/// State of an order to change a version, as known to one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The order, with the state recorded in the store.
    pub rollout: Rollout,
    /// Time since any proxy first saw the order.
    pub age: Millis,
    /// Whether the new version was judged to be bad.
    pub is_stopped: bool,
    /// Time since all requests were switched to the new version; `None` if they were not.
    pub promoted: Option<Millis>,
}

/// Gossip between proxies about everything other than membership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// Version of the route table in force at the sender.
    pub table: ConfigVersion,
    /// Orders to change a version that the sender knows.
    pub orders: Vec<RolloutUpdate>,
    /// Digest of all crashes that the sender knows; zero if it knows none.
    pub crashes: u64,
    /// Strikes that the sender learnt of recently and that are not cleared.
    pub strikes: Vec<Strike>,
    /// Strikes that the sender learnt of recently whose requests have since succeeded.
    #[serde(rename = "absolved")]
    pub cleared: Vec<Strike>,
    /// Time since the store is last known to have answered one of the proxies that watch it.
    pub store_age: Millis,
    /// Newest era of the store that the sender knows; `None` before it heard of the store.
    #[serde(default)]
    pub store_era: Option<u64>,
    /// Last process that left the backend server beside the receiver, if the receiver does not seem
    /// to know that: its proxy may have restarted since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departed: Option<Departure>,
}

/// Request for tokens of the quotas of organisations, sent to the proxy that owns them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Proxy that asks.
    pub from: InstanceId,
    /// One claim for each organisation.
    pub claims: Vec<QuotaClaim>,
}

/// Claim on the quota of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// Organisation whose quota is claimed.
    pub organisation: OrganisationId,
    /// Number of tokens asked for.
    pub wanted: u32,
    /// Number of unspent tokens that are returned.
    pub unspent: u32,
}

/// Reply to a [`QuotaRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// One grant for each claim.
    pub grants: Vec<QuotaGrant>,
}

/// Tokens lent to a proxy, each of which lets one request start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Organisation that the tokens belong to.
    pub organisation: OrganisationId,
    /// Number of tokens.
    pub tokens: u32,
    /// Time after which unspent tokens are void.
    pub lifetime: Millis,
    /// Time until the next token is available, if none was lent.
    pub wait: Millis,
    /// Whether the replier owns the quota of the organisation; if not, it has lent nothing.
    pub is_owner: bool,
}

/// Request from one proxy to another on a relay connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Runs an attempt; answered by [`RelayReply::Attempt`], or first by [`RelayReply::Continue`].
    Attempt(Box<AttemptRequest>),
    /// Body of the preceding attempt, sent after [`RelayReply::Continue`].
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Queries the outcome of an attempt; an attempt that has not arrived yet is revoked.
    #[serde(rename = "Ask")]
    Query(AttemptKey),
    /// Heartbeat, descriptions of proxies, and other gossip.
    Exchange(Box<Exchange>, Box<GossipUpdate>),
    /// Asks for a patch from the route table with this version and digest to the replier's table.
    Fetch(ConfigVersion, TableDigest),
    /// Description of the sender, sent ahead of the next exchange because its backend server is
    /// shutting down.
    #[serde(rename = "Tell")]
    Member(Box<Member>),
    /// Counted outcomes, sent to the judges of a version change.
    Observe(Box<TrialReport>),
    /// Asks for tokens of the quotas that the receiver owns; answered by [`RelayReply::Quota`].
    Quota(Box<QuotaRequest>),
    /// Asks the receiver to remember that a process has left the backend server beside this
    /// instance. The reply says that it does.
    Departure(InstanceId, Departure),
}

/// Reply to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayReply {
    /// Asks for the body of the attempt on the same connection.
    Continue,
    /// Outcome of an attempt, load of the backend server at its end, and time from its receipt to
    /// its end.
    Attempt(AttemptEnd, LoadReport, Millis),
    /// Reply to [`RelayRequest::Query`].
    #[serde(rename = "Ask")]
    Query(LedgerAnswer),
    /// Reply to [`RelayRequest::Exchange`].
    Exchange(Box<ExchangeReply>, Box<GossipUpdate>),
    /// Reply to [`RelayRequest::Fetch`]; `None` if the replier has no newer route table.
    Table(Option<Box<TablePatch>>),
    /// Acknowledges [`RelayRequest::Member`], [`RelayRequest::Observe`] or
    /// [`RelayRequest::Departure`].
    Done,
    /// Reply to [`RelayRequest::Quota`].
    Quota(Box<QuotaReply>),
}
