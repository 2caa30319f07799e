//! Sends one attempt to the daemon beside the chosen backend server and determines its outcome.
//!
//! The connection may become silent or break before the answer arrives. The sender then queries the
//! ledger of the other daemon over a new connection, and repeats this until the ledger knows the
//! outcome or the deadline has passed. A query for an attempt that the ledger has not seen revokes
//! that attempt, so a reply of "not run" is final. If the ledger has stored the answer, the sender
//! takes it from there. The outcome is "may have run" if the other daemon is unreachable or
//! restarted, if the answer is no longer stored, or if the deadline passes first.
//!
//! A silent connection stays open during the queries, because closing it could be taken for a
//! cancellation, and an answer that still arrives on it is used. If the sender is dropped because
//! its caller disconnected, it cancels the attempt.

use super::answer::Answer;
use super::body::{CheckedReader, EndNotifier, OnEnd, Payload};
use super::headers;
use super::relay::Operation;
use super::run::{Attempt, RunEnd, run, set_payload, set_response_body};
use super::shared::{CallGuard, Shared};
use super::trace::TraceContext;
use async_std::task;
use futures_lite::FutureExt;
use http_types::{Body, Method, Request, Response, Url};
use rf_base::{AttemptId, Millis, Verdict};
use rf_protocol::attempt::{ACKNOWLEDGED_HEADER, ATTEMPT_HEADER};
use rf_protocol::{AcknowledgedHeader, AttemptHeader, open};
use rf_traffic::table::ServerTarget;
use rf_traffic::{RefusalReason, Settlement};
use rf_transport::client::{read_body, wants_close};
use rf_transport::timer::timeout;
use rf_transport::{Connection, SendError};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use tracing::debug;

/// Initial delay between two queries of an attempt. Also the delay after each failed query, and
/// between queries once the connection of the attempt is lost.
const MIN_QUERY_INTERVAL: Millis = Millis(100);
/// Maximum delay between two queries of a running attempt whose connection is open.
const MAX_QUERY_INTERVAL: Millis = Millis(1000);
/// Timeout of one query or cancellation.
const QUERY_TIMEOUT: Millis = Millis(500);
/// Consecutive failed queries after which the other daemon counts as unreachable, if the connection
/// of the attempt is lost too.
const MAX_FAILED_QUERIES: u32 = 5;
/// Maximum size of the reply to one query or cancellation, in bytes.
const MAX_QUERY_REPLY_BYTES: usize = 1024 * 1024;

/// Reply of a ledger to a query of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QueryReply {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt is running.
    Running,
    /// The attempt ran; carries its answer.
    Done(Box<Answer>),
    /// The attempt ran at least in part, and its answer is not available.
    Gone,
    /// The ledger cannot tell whether the attempt ran: only an earlier incarnation of the daemon
    /// may know, the attempt has expired, or the ledger is full.
    Unknown,
}

/// Reply to a claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key is claimed for the call, which may run.
    Granted,
    /// Another call with the key is running.
    Running,
    /// A call with the key has finished; carries its answer.
    Done(Box<Answer>),
    /// A call with the key may have run, and its answer is not available.
    Doubtful,
    /// The key was used before for a request with another fingerprint.
    Reused,
    /// The table of keys is full.
    Full,
}

/// Message that settles a claim: states how the call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Hash of the service name and the idempotency key.
    pub key: u64,
    /// Call that made the claim.
    pub owner: AttemptId,
    /// How the call ended.
    #[serde(with = "SettlementDef")]
    pub settlement: Settlement<Box<Answer>>,
}

/// Serialised form of [`Settlement`].
#[derive(Serialize, Deserialize)]
#[serde(remote = "Settlement<Box<Answer>>")]
enum SettlementDef {
    Released,
    Done(Box<Answer>),
    Doubtful,
}

/// Attempt to be sent to a daemon.
#[derive(Debug)]
pub struct OutgoingAttempt<'a> {
    /// Backend server to run the attempt.
    pub target: &'a ServerTarget,
    /// Hash of the request; the same for every attempt of a call and for a repeated request.
    pub fingerprint: u64,
    /// Fingerprint of the route, to which the other daemon attributes its observations.
    pub route: u64,
    /// Request without its body and its hop-by-hop headers.
    pub head: Request,
    /// Request body.
    pub payload: Payload,
    /// Time after which the sender stops waiting for the answer.
    pub deadline: Millis,
    /// Trace context passed on with the attempt.
    pub trace: TraceContext,
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The backend server answered; carries its load as a share of its slots, if known.
    Answered(Response, Option<f64>),
    /// No answer was received.
    Failed(Failure),
}

/// Description of an attempt that got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Reason for the refusal, if the attempt was refused.
    pub refusal: Option<RefusalReason>,
    /// Whether the backend server crashed during the attempt.
    pub is_crash: bool,
    /// Whether the deadline passed before an answer arrived.
    pub is_timeout: bool,
    /// Whether no connection to the daemon beside the backend server could be made.
    pub is_unreachable: bool,
    /// Description of the failure, for logs and for the error that the caller gets.
    pub message: String,
}

impl Failure {
    fn new(verdict: Verdict, message: impl Into<String>) -> Failure {
        Failure {
            verdict,
            refusal: None,
            is_crash: false,
            is_timeout: false,
            is_unreachable: false,
            message: message.into(),
        }
    }

    fn refused(reason: RefusalReason) -> Failure {
        Failure {
            refusal: Some(reason),
            ..Failure::new(Verdict::NotRun, reason.as_str())
        }
    }

    fn timed_out(verdict: Verdict) -> Failure {
        Failure {
            is_timeout: true,
            ..Failure::new(verdict, "deadline passed")
        }
    }
}

/// Sends an attempt and waits for its outcome.
///
/// Dropping the future cancels the attempt.
pub async fn send(shared: &Arc<Shared>, outgoing: OutgoingAttempt<'_>) -> AttemptResult {
    let header = AttemptHeader {
        id: shared.new_attempt_id(),
        target: outgoing.target.instance,
        incarnation: outgoing.target.incarnation,
        expires: outgoing.deadline + shared.settings.control.clock_error,
        fingerprint: outgoing.fingerprint,
    };
    let mut guard = CancelGuard {
        shared,
        header,
        relay: outgoing.target.relay,
        is_finished: false,
    };
    let result = match outgoing.target.instance == shared.me {
        true => send_local(shared, header, outgoing).await,
        false => send_remote(shared, header, outgoing).await,
    };
    guard.is_finished = true;
    let verdict = match &result {
        AttemptResult::Answered(..) => Verdict::Ran,
        AttemptResult::Failed(failure) => failure.verdict,
    };
    let labels = [verdict.as_str()];
    shared.metrics.attempts.with_label_values(&labels).inc();
    result
}

/// Cancels an attempt if its sender is dropped before the outcome is known, which happens when the
/// caller disconnects.
struct CancelGuard<'a> {
    shared: &'a Arc<Shared>,
    header: AttemptHeader,
    relay: SocketAddr,
    is_finished: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        if self.header.target == self.shared.me {
            self.shared.gate.cancel(&self.header);
            return;
        }
        let shared = self.shared.clone();
        let (header, relay) = (self.header, self.relay);
        task::spawn(async move {
            if let Some(request) = build_operation(&shared, &header, relay, Operation::Cancel) {
                let reply =
                    shared
                        .relay_client
                        .send(relay, request, QUERY_TIMEOUT, MAX_QUERY_REPLY_BYTES);
                reply.await.ok();
            }
        });
    }
}

/// Builds the request for an operation on an attempt.
fn build_operation(
    shared: &Shared,
    header: &AttemptHeader,
    relay: SocketAddr,
    operation: Operation,
) -> Option<Request> {
    let url = Url::parse(&format!("http://{relay}/")).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header(ATTEMPT_HEADER, header.encode(&shared.key));
    request.insert_header(headers::OPERATION, operation.as_str());
    Some(request)
}

async fn send_local(
    shared: &Arc<Shared>,
    header: AttemptHeader,
    outgoing: OutgoingAttempt<'_>,
) -> AttemptResult {
    let attempt = Attempt {
        header,
        route: outgoing.route,
        deadline: outgoing.deadline,
        head: outgoing.head,
        payload: outgoing.payload,
        trace: Some(outgoing.trace),
    };
    match run(shared.clone(), attempt).await {
        RunEnd::Answered(response) => {
            shared.gate.acknowledge(&[header.id]);
            let load = f64::from(shared.gate.load_percent()) / 100.0;
            AttemptResult::Answered(response, Some(load))
        }
        RunEnd::Refused(reason) => AttemptResult::Failed(Failure::refused(reason)),
        RunEnd::Failed(failure) => AttemptResult::Failed(Failure {
            is_crash: failure.is_crash,
            is_timeout: failure.is_timeout,
            ..Failure::new(Verdict::MayHaveRun, failure.message)
        }),
    }
}

async fn send_remote(
    shared: &Arc<Shared>,
    header: AttemptHeader,
    outgoing: OutgoingAttempt<'_>,
) -> AttemptResult {
    let relay = outgoing.target.relay;
    let target = outgoing.target.instance;
    let deadline = outgoing.deadline;
    let connection = match shared.relay_client.checkout(relay).await {
        Ok(connection) => connection,
        Err(error) => {
            return AttemptResult::Failed(Failure {
                is_unreachable: true,
                ..Failure::new(Verdict::NotRun, error.to_string())
            });
        }
    };
    let request = build_request(shared, &header, outgoing);
    let silence = shared.settings.traffic.silence;
    let mut exchange = pin!(receive(shared, connection, request, header.id));
    let remaining = deadline.since(shared.now()).min(silence);
    let first_result = timeout(remaining, exchange.as_mut()).await;
    let resolver = OutcomeResolver {
        shared,
        header,
        relay,
        deadline,
    };
    let result = match first_result {
        Ok(Ok(received)) => received.into_result(),
        Ok(Err(error)) => resolver.resolve(exchange, false, &error.to_string()).await,
        Err(_) => {
            resolver
                .resolve(exchange, true, "connection is silent")
                .await
        }
    };
    if matches!(result, AttemptResult::Answered(..)) {
        shared.add_acknowledged(target, header.id);
    }
    result
}

fn build_request(
    shared: &Shared,
    header: &AttemptHeader,
    outgoing: OutgoingAttempt<'_>,
) -> Request {
    let mut request = outgoing.head;
    let remaining = outgoing.deadline.since(shared.now());
    request.insert_header(ATTEMPT_HEADER, header.encode(&shared.key));
    request.insert_header(headers::DEADLINE, remaining.0.to_string());
    request.insert_header(headers::ROUTE, format!("{:x}", outgoing.route));
    request.insert_header(headers::TRACEPARENT, outgoing.trace.to_string());
    let acknowledged = shared.take_acknowledged(outgoing.target.instance);
    if !acknowledged.is_empty() {
        let acknowledged = AcknowledgedHeader(acknowledged).encode(&shared.key);
        request.insert_header(ACKNOWLEDGED_HEADER, acknowledged);
    }
    set_payload(&mut request, outgoing.payload);
    request
}

/// Response received over the connection of an attempt.
struct Received {
    response: Response,
}

impl Received {
    /// Determines the outcome of the attempt from the headers that the other daemon set.
    fn into_result(self) -> AttemptResult {
        let mut response = self.response;
        let load = headers::get_response(&response, headers::LOAD)
            .and_then(|v| v.parse::<f64>().ok())
            .map(|percent| percent / 100.0);
        let outcome = headers::get_response(&response, headers::OUTCOME).unwrap_or("");
        let failure = match outcome {
            "answered" => {
                headers::strip_response(&mut response);
                return AttemptResult::Answered(response, load);
            }
            "refused" => {
                let reason = headers::get_response(&response, headers::REASON)
                    .and_then(RefusalReason::parse);
                Failure::refused(reason.unwrap_or(RefusalReason::Busy))
            }
            "late" => Failure::timed_out(Verdict::MayHaveRun),
            "broken" => {
                let crash_header = headers::get_response(&response, headers::CRASH);
                Failure {
                    is_crash: crash_header == Some("1"),
                    ..Failure::new(Verdict::MayHaveRun, "backend server did not answer")
                }
            }
            _ => Failure::new(Verdict::NotRun, "attempt was refused as malformed"),
        };
        AttemptResult::Failed(failure)
    }
}

/// Sends the request and receives its answer, which is buffered if its declared length is within
/// the buffer limit and streamed otherwise.
async fn receive(
    shared: &Arc<Shared>,
    connection: Connection,
    request: Request,
    id: AttemptId,
) -> Result<Received, SendError> {
    let address = connection.address();
    let mut response = connection.exchange(request).await?;
    let answered = headers::get_response(&response, headers::ANSWERED_ATTEMPT);
    let is_foreign = match answered {
        Some(answered) => answered != id.to_string(),
        // A refusal of the listener names no attempt. On a reused connection it may be the answer
        // to an earlier message.
        None => connection.is_reused(),
    };
    if is_foreign {
        let named = answered.unwrap_or("no attempt");
        let message = format!("answer to {named} instead of {id}");
        return Err(SendError::Broken { address, message });
    }
    let is_closing = wants_close(&response);
    let declared = response.len();
    let buffer = shared.settings.traffic.buffer;
    if declared.is_some_and(|n| n <= buffer) {
        let body = read_body(&mut response, address, buffer).await?;
        if !is_closing {
            shared.relay_client.put_back(connection);
        }
        set_response_body(&mut response, Body::from_bytes(body));
        return Ok(Received { response });
    }
    let on_end = ReturnOnEnd {
        shared: shared.clone(),
        _call: shared.track_call(),
        connection: (!is_closing).then_some(connection),
    };
    let checked = CheckedReader::new(response.take_body(), declared, u64::MAX);
    let body = EndNotifier::new(checked, on_end);
    set_response_body(&mut response, Body::from_reader(body, declared));
    Ok(Received { response })
}

/// Returns a connection to its pool after the answer streamed over it is complete, and counts the
/// call as in flight until then.
struct ReturnOnEnd {
    shared: Arc<Shared>,
    _call: CallGuard,
    connection: Option<Connection>,
}

impl OnEnd for ReturnOnEnd {
    fn end(&mut self, is_complete: bool) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| is_complete) {
            self.shared.relay_client.put_back(connection);
        }
    }
}

/// Determines the outcome of an attempt whose connection is silent or broken.
struct OutcomeResolver<'a> {
    shared: &'a Arc<Shared>,
    header: AttemptHeader,
    relay: SocketAddr,
    deadline: Millis,
}

/// New information about an attempt.
enum StatusUpdate {
    /// The answer arrived on the connection of the attempt.
    Received(Box<Received>),
    /// The connection of the attempt broke.
    ConnectionLost,
    /// The ledger replied to a query.
    Ledger(QueryReply),
    /// A query got no valid reply.
    QueryFailed,
}

impl OutcomeResolver<'_> {
    /// Queries the ledger until the outcome is known or the deadline has passed.
    ///
    /// `exchange` is the pending exchange on the connection of the attempt; it is polled only while
    /// `is_open`. `cause` states why the ledger is queried.
    async fn resolve<F>(
        &self,
        mut exchange: Pin<&mut F>,
        mut is_open: bool,
        cause: &str,
    ) -> AttemptResult
    where
        F: Future<Output = Result<Received, SendError>>,
    {
        debug!(attempt = %self.header.id, cause, "querying the ledger of the other daemon");
        let mut failed_queries = 0;
        let mut pause = MIN_QUERY_INTERVAL;
        loop {
            if self.shared.now() >= self.deadline {
                return AttemptResult::Failed(Failure::timed_out(Verdict::MayHaveRun));
            }
            let update = match is_open {
                true => wait_for(exchange.as_mut()).or(self.query_ledger()).await,
                false => self.query_ledger().await,
            };
            match update {
                StatusUpdate::Received(received) => return received.into_result(),
                StatusUpdate::ConnectionLost => is_open = false,
                StatusUpdate::Ledger(reply) => {
                    failed_queries = 0;
                    if let Some(result) = self.interpret(reply) {
                        return result;
                    }
                    if !is_open {
                        self.pause(MIN_QUERY_INTERVAL).await;
                        continue;
                    }
                    match wait_for(exchange.as_mut())
                        .or(self.pause_while_running(pause))
                        .await
                    {
                        StatusUpdate::Received(received) => return received.into_result(),
                        StatusUpdate::ConnectionLost => is_open = false,
                        _ => pause = Millis(2 * pause.0).min(MAX_QUERY_INTERVAL),
                    }
                }
                StatusUpdate::QueryFailed => {
                    failed_queries += 1;
                    if failed_queries >= MAX_FAILED_QUERIES && !is_open {
                        let message = format!("{cause}, and its daemon is gone");
                        let failure = Failure::new(Verdict::MayHaveRun, message);
                        return AttemptResult::Failed(failure);
                    }
                    self.pause(MIN_QUERY_INTERVAL).await;
                }
            }
        }
    }

    async fn pause(&self, span: Millis) {
        let remaining = self.deadline.since(self.shared.now());
        task::sleep(span.min(remaining).duration()).await;
    }

    /// Pauses, then reports the attempt as still running.
    async fn pause_while_running(&self, span: Millis) -> StatusUpdate {
        self.pause(span).await;
        StatusUpdate::Ledger(QueryReply::Running)
    }

    async fn query_ledger(&self) -> StatusUpdate {
        let header = &self.header;
        let Some(request) = build_operation(self.shared, header, self.relay, Operation::Query)
        else {
            return StatusUpdate::QueryFailed;
        };
        let remaining = self.deadline.since(self.shared.now()).max(Millis(1));
        let limit = QUERY_TIMEOUT.min(remaining);
        let relay_client = &self.shared.relay_client;
        let reply = relay_client.send_fresh(self.relay, request, limit, MAX_QUERY_REPLY_BYTES);
        let Ok(reply) = reply.await else {
            return StatusUpdate::QueryFailed;
        };
        match open(&self.shared.key, &reply.body) {
            Ok(reply) => StatusUpdate::Ledger(reply),
            Err(_) => StatusUpdate::QueryFailed,
        }
    }

    /// Derives the outcome of the attempt from a reply of the ledger; `None` while it is running.
    fn interpret(&self, reply: QueryReply) -> Option<AttemptResult> {
        let label = match &reply {
            QueryReply::NotRun => "not-run",
            QueryReply::Running => "running",
            QueryReply::Done(_) => "done",
            QueryReply::Gone => "gone",
            QueryReply::Unknown => "unknown",
        };
        let queries = &self.shared.metrics.ledger_queries;
        queries.with_label_values(&[label]).inc();
        let failure = match reply {
            QueryReply::Running => return None,
            QueryReply::Done(answer) => {
                return Some(AttemptResult::Answered(answer.to_response(), None));
            }
            QueryReply::NotRun => Failure::new(Verdict::NotRun, "attempt never arrived"),
            QueryReply::Gone => Failure::new(Verdict::MayHaveRun, "answer is gone"),
            QueryReply::Unknown => Failure::new(
                Verdict::MayHaveRun,
                "daemon was replaced while the call ran",
            ),
        };
        Some(AttemptResult::Failed(failure))
    }
}

async fn wait_for<F>(exchange: Pin<&mut F>) -> StatusUpdate
where
    F: Future<Output = Result<Received, SendError>>,
{
    match exchange.await {
        Ok(received) => StatusUpdate::Received(Box::new(received)),
        Err(_) => StatusUpdate::ConnectionLost,
    }
}
