//! Attempts on their way to the daemon beside a backend server, and the exchange of news.
//!
//! Times are relative, because the clocks of two instances may differ: the receiver counts from the
//! moment of receipt.

use crate::member::Member;
use crate::message::{Exchange, ExchangeReply, Strike};
use rf_base::{AttemptId, Counter, Incarnation, InstanceId, Millis, ServiceName, VersionName};
use rf_config::{Repeat, Rollout, TableDigest, TablePatch};
use serde::{Deserialize, Serialize};

/// Identity of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The attempt.
    pub id: AttemptId,
    /// Daemon it is meant for.
    pub target: InstanceId,
    /// Life of that daemon.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Bounds and rank of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTerms {
    /// Whether the request may run again.
    pub repeat: Repeat,
    /// Fingerprint of the name of its route.
    pub route: u64,
    /// Rank; 0 goes first. A call of a running request has the rank of that request.
    pub priority: u8,
    /// Whether it is a call of a running request.
    pub is_nested: bool,
    /// Whether it takes only what others leave, as no server had room in time.
    #[serde(rename = "is_spare")]
    pub is_best_effort: bool,
    /// Time left until the answer is worth less.
    #[serde(rename = "target")]
    pub target_left: Millis,
    /// Time left until the request is given up.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Longest wait for a slot.
    #[serde(rename = "patience")]
    pub max_wait: Millis,
    /// Usual length of the answers on its route, in bytes.
    #[serde(rename = "expected")]
    pub answer_bytes: u64,
    /// Length of a body that is sent once it is asked for; zero where the payload holds it.
    #[serde(rename = "body")]
    pub body_bytes: u64,
}

impl AttemptTerms {
    /// Takes `span`, which has passed since the terms were received, off their times.
    pub fn elapse(&mut self, span: Millis) {
        self.target_left = self.target_left.since(span);
        self.time_left = self.time_left.since(span);
        self.max_wait = self.max_wait.since(span);
    }
}

/// A request as it is handed to a backend server, without what concerns one connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Method.
    pub method: String,
    /// Target as the caller sent it.
    pub target: String,
    /// Header fields in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Identity.
    pub key: AttemptKey,
    /// Bounds and rank.
    pub terms: AttemptTerms,
    /// Service that is to run it.
    pub service: ServiceName,
    /// Version that is to run it.
    pub version: VersionName,
    /// Version of the route table that decided.
    pub table: Counter,
    /// Id by which the caller knows its request.
    pub request: String,
    /// Fingerprint of the request, to recognise one that crashes backend servers.
    pub fingerprint: u64,
    /// What is sent.
    pub payload: Payload,
}

/// Load of the backend server beside a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Usual time of a run.
    #[serde(rename = "usual")]
    pub mean_run: Millis,
    /// Usual time of a run on the route that was asked for.
    #[serde(rename = "run")]
    pub route_run: Millis,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnswer {
    /// Status code.
    pub status: u16,
    /// Header fields in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether a call that the run made was refused for lack of room.
    pub is_starved: bool,
}

/// Why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rejection {
    /// No slot within the patience; carries the time until one is expected.
    Busy(Millis),
    /// A service that its run calls has no room; carries the time until some is expected.
    Starved(Millis),
    /// The backend server is leaving, gone, or not of the service or version asked for.
    NotHere,
    /// No connection to the backend server was made.
    Unconnected,
    /// The backend server itself refused.
    Shed,
    /// The time of the attempt passed while it waited.
    Expired,
    /// The attempt was revoked, or is known already.
    Revoked,
    /// The attempt was meant for another life of the daemon.
    ForeignLife,
}

impl Rejection {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::Busy(_) => "busy",
            Rejection::Starved(_) => "starved",
            Rejection::NotHere => "not-here",
            Rejection::Unconnected => "unconnected",
            Rejection::Shed => "shed",
            Rejection::Expired => "expired",
            Rejection::Revoked => "revoked",
            Rejection::ForeignLife => "foreign-life",
        }
    }
}

/// Why an attempt that may have run has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LossReason {
    /// The backend server broke the connection or sent something else than the answer.
    Broken,
    /// The backend server went down while it ran the request.
    Crashed,
    /// The time of the attempt passed.
    Late,
    /// The request was given up by its sender.
    Cancelled,
    /// The answer is no longer kept.
    Dropped,
    /// An earlier life of the daemon took the attempt.
    EarlierLife,
    /// The daemon could not be asked.
    Unreachable,
}

impl LossReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LossReason::Broken => "broken",
            LossReason::Crashed => "crashed",
            LossReason::Late => "late",
            LossReason::Cancelled => "cancelled",
            LossReason::Dropped => "dropped",
            LossReason::EarlierLife => "earlier-life",
            LossReason::Unreachable => "unreachable",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The backend server answered.
    Answered(ServerAnswer),
    /// It did not run and never will.
    NotRun(Rejection),
    /// It may have run.
    MayHaveRun(LossReason),
}

/// What a ledger says about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerAnswer {
    /// It waits or runs.
    Pending,
    /// It ended.
    Ended(AttemptEnd),
}

/// What one version of a service did with the requests of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCount {
    /// Answers and losses.
    pub total: u64,
    /// Those that were failures.
    pub failed: u64,
    /// Those that took unusually long.
    pub slow: u64,
}

/// What both versions did with the requests of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteVersionCounts {
    /// Fingerprint of the route.
    pub route: u64,
    /// The version in force.
    pub old: VersionCount,
    /// The version that is tried.
    pub new: VersionCount,
}

/// What one daemon observed of a version change since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Number of the order.
    pub order: u64,
    /// Daemon that observed.
    pub observer: InstanceId,
    /// Life of that daemon.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts by route.
    #[serde(rename = "cells")]
    pub routes: Vec<RouteVersionCounts>,
}

impl TrialReport {
    /// Returns the number of observations, which only grows in one life.
    pub fn total(&self) -> u64 {
        self.routes.iter().map(|c| c.old.total + c.new.total).sum()
    }
}

/// An order to change a version, as one daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The order, with its recorded state.
    pub rollout: Rollout,
    /// Time since the order was first seen by anyone.
    pub age: Millis,
    /// Whether the new version was found bad.
    pub is_stopped: bool,
    /// Time since all requests go to the new version, where they do.
    pub promoted: Option<Millis>,
}

/// What daemons tell each other besides who is there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// Version of the route table in force at the sender.
    pub table: Counter,
    /// Version changes that the sender knows.
    pub orders: Vec<RolloutUpdate>,
    /// Digest of all crashes that the sender knows; zero where it knows none.
    pub crashes: u64,
    /// Crashes of backend servers, by request, that the sender learnt of lately.
    pub strikes: Vec<Strike>,
    /// Those of them whose requests were answered with success since.
    #[serde(rename = "absolved")]
    pub cleared: Vec<Strike>,
    /// Time since the store is known to have answered one of those who follow it.
    pub store_age: Millis,
    /// Newest era of the store that the sender knows.
    #[serde(default)]
    pub store_era: Option<u64>,
}

/// Message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Run this.
    Attempt(Box<AttemptRequest>),
    /// Body of the attempt before, which was asked for.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Tell how an attempt ended; one that is unknown is revoked.
    Ask(AttemptKey),
    /// Heartbeat, descriptions of daemons, and news.
    Exchange(Box<Exchange>, Box<GossipUpdate>),
    /// Send what makes the replier's route table of the one with this version and digest.
    Fetch(Counter, TableDigest),
    /// A description that must be known at once, as a backend server leaves.
    Tell(Box<Member>),
    /// Observations of a version change, for those who judge it.
    Observe(Box<TrialReport>),
}

/// Answer to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayReply {
    /// The body of the attempt is to be sent on this connection.
    Continue,
    /// How an attempt ended, the load at that moment, and the time from its receipt to its end.
    Attempt(AttemptEnd, LoadReport, Millis),
    /// What the ledger says.
    Ask(LedgerAnswer),
    /// The replier's heartbeat and news.
    Exchange(Box<ExchangeReply>, Box<GossipUpdate>),
    /// What makes a newer route table, if the replier has one.
    Table(Option<Box<TablePatch>>),
    /// Taken in.
    Done,
}
