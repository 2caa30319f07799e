//! Serves the relay port: attempts from other daemons, and operations on attempts and keys.
//!
//! The listener does not watch a connection while its request is handled. If the connection of an
//! attempt is lost, the attempt therefore runs to its end, its answer is stored in the ledger, and
//! the sender obtains it with a query.

use super::attempt::{ClaimReply, QueryReply, SettleRequest};
use super::body::{BodyLimits, read_payload};
use super::headers;
use super::run::{Attempt, RunEnd, run};
use super::shared::Shared;
use super::trace::TraceContext;
use http_types::{Request, Response, StatusCode};
use rf_base::{AttemptId, Millis};
use rf_protocol::attempt::{ACKNOWLEDGED_HEADER, ATTEMPT_HEADER};
use rf_protocol::{AcknowledgedHeader, AttemptHeader, open, seal};
use rf_traffic::keys::ClaimRequest;
use rf_traffic::{AttemptStatus, Claim, RefusalReason, Settlement};
use std::sync::Arc;
use tracing::warn;

/// Maximum time without new data while the body of an attempt is buffered.
const MAX_BODY_PAUSE: Millis = Millis(10_000);
/// Maximum size of the body of an operation, in bytes.
const MAX_OPERATION_BYTES: usize = 256 * 1024;

/// Operation on the relay port, other than running an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Query the status of an attempt in the ledger, which revokes an unseen one.
    Query,
    /// Cancel an attempt, or revoke it if it has not begun.
    Cancel,
    /// Claim an idempotency key for a call.
    Claim,
    /// Settle a claim once the call has ended.
    Settle,
}

impl Operation {
    /// Returns the value of the [`headers::OPERATION`] header.
    pub fn as_str(self) -> &'static str {
        match self {
            Operation::Query => "ask",
            Operation::Cancel => "cancel",
            Operation::Claim => "claim",
            Operation::Settle => "settle",
        }
    }

    fn parse(text: &str) -> Option<Operation> {
        [
            Operation::Query,
            Operation::Cancel,
            Operation::Claim,
            Operation::Settle,
        ]
        .into_iter()
        .find(|o| o.as_str() == text)
    }
}

/// Handles one request on the relay port.
///
/// # Errors
///
/// Never returns an error; the result type is that of an HTTP endpoint.
pub async fn handle(shared: Arc<Shared>, request: Request) -> http_types::Result<Response> {
    if headers::check_framing(&request).is_err() {
        return Ok(refuse_request(&shared, "framing"));
    }
    match headers::get(&request, headers::OPERATION).map(Operation::parse) {
        None => Ok(handle_attempt(shared, request).await),
        Some(Some(operation)) => Ok(handle_operation(&shared, operation, request).await),
        Some(None) => Ok(refuse_request(&shared, "operation")),
    }
}

async fn handle_attempt(shared: Arc<Shared>, mut request: Request) -> Response {
    let Some(header) = read_header(&shared, &request) else {
        return refuse_request(&shared, "attempt-header");
    };
    let Some(remaining) = headers::get_deadline(&request) else {
        return refuse_request(&shared, "deadline");
    };
    if let Some(acknowledged) = headers::get(&request, ACKNOWLEDGED_HEADER)
        && let Ok(acknowledged) = AcknowledgedHeader::decode(acknowledged, &shared.key)
    {
        shared.gate.acknowledge(&acknowledged.0);
    }
    let route = headers::get(&request, headers::ROUTE)
        .and_then(|v| u64::from_str_radix(v, 16).ok())
        .unwrap_or(0);
    let trace = headers::get(&request, headers::TRACEPARENT).and_then(TraceContext::parse);
    let limits = BodyLimits {
        buffer_bytes: shared.settings.traffic.buffer,
        max_bytes: shared.settings.traffic.max_body,
        max_pause: MAX_BODY_PAUSE,
    };
    let deadline = shared.now() + remaining;
    let Ok(payload) = read_payload(request.take_body(), limits).await else {
        return build_response(&shared, header, RunEnd::Refused(RefusalReason::Unconnected));
    };
    headers::strip_request(&mut request);
    let attempt = Attempt {
        header,
        route,
        deadline,
        head: request,
        payload,
        trace,
    };
    let end = run(shared.clone(), attempt).await;
    build_response(&shared, header, end)
}

fn read_header(shared: &Shared, request: &Request) -> Option<AttemptHeader> {
    let text = headers::get(request, ATTEMPT_HEADER)?;
    AttemptHeader::decode(text, &shared.key).ok()
}

/// Builds the response to the daemon that sent an attempt.
fn build_response(shared: &Shared, header: AttemptHeader, end: RunEnd) -> Response {
    let mut response = match end {
        RunEnd::Answered(mut response) => {
            response.insert_header(headers::OUTCOME, "answered");
            response
        }
        RunEnd::Refused(reason) => {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header(headers::OUTCOME, "refused");
            response.insert_header(headers::REASON, reason.as_str());
            response
        }
        RunEnd::Failed(failure) => {
            let mut response = Response::new(StatusCode::BadGateway);
            let outcome = if failure.is_timeout { "late" } else { "broken" };
            response.insert_header(headers::OUTCOME, outcome);
            response.insert_header(headers::CRASH, u8::from(failure.is_crash).to_string());
            response.set_body(failure.message);
            response
        }
    };
    response.insert_header(headers::ANSWERED_ATTEMPT, header.id.to_string());
    response.insert_header(headers::LOAD, shared.gate.load_percent().to_string());
    response
}

async fn handle_operation(shared: &Shared, operation: Operation, mut request: Request) -> Response {
    if matches!(operation, Operation::Query | Operation::Cancel) {
        let Some(header) = read_header(shared, &request) else {
            return refuse_request(shared, "attempt-header");
        };
        if operation == Operation::Cancel {
            shared.gate.cancel(&header);
        }
        return seal_reply(shared, &query_attempt(shared, &header));
    }
    let is_oversized = request.len().is_none_or(|n| n > MAX_OPERATION_BYTES);
    let body = match is_oversized {
        true => return refuse_request(shared, "oversized"),
        false => request.body_bytes().await.unwrap_or_default(),
    };
    match operation {
        Operation::Claim => match open::<ClaimMessage>(&shared.key, &body) {
            Ok(claim) => seal_reply(shared, &handle_claim(shared, &claim.into())),
            Err(error) => refuse_envelope(shared, &error),
        },
        _ => match open::<SettleRequest>(&shared.key, &body) {
            Ok(settle) => {
                handle_settlement(shared, settle);
                seal_reply(shared, &true)
            }
            Err(error) => refuse_envelope(shared, &error),
        },
    }
}

/// Serialised form of a [`ClaimRequest`].
///
/// States the time until the claim ends and the time of sending, rather than the end itself.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct ClaimMessage {
    key: u64,
    owner: AttemptId,
    fingerprint: u64,
    left: Millis,
    sent: Millis,
}

impl ClaimMessage {
    /// Creates the message for a claim that is sent at `now`.
    pub fn new(claim: &ClaimRequest, now: Millis) -> ClaimMessage {
        ClaimMessage {
            key: claim.key,
            owner: claim.owner,
            fingerprint: claim.fingerprint,
            left: claim.until.since(now),
            sent: now,
        }
    }
}

impl From<ClaimMessage> for ClaimRequest {
    fn from(message: ClaimMessage) -> ClaimRequest {
        ClaimRequest {
            key: message.key,
            owner: message.owner,
            fingerprint: message.fingerprint,
            until: message.sent + message.left,
        }
    }
}

/// Returns the status of an attempt from the ledger of this instance; an unseen attempt is revoked.
pub fn query_attempt(shared: &Shared, header: &AttemptHeader) -> QueryReply {
    match shared.gate.query(header) {
        AttemptStatus::NotRun => QueryReply::NotRun,
        AttemptStatus::Running => QueryReply::Running,
        AttemptStatus::Done(answer) => QueryReply::Done(Box::new((*answer).clone())),
        AttemptStatus::Gone => QueryReply::Gone,
        AttemptStatus::Unknown => QueryReply::Unknown,
    }
}

/// Claims a key in the table of this daemon.
pub fn handle_claim(shared: &Shared, claim: &ClaimRequest) -> ClaimReply {
    match shared.key_records().claim(shared.now(), claim) {
        Claim::Granted => ClaimReply::Granted,
        Claim::Running => ClaimReply::Running,
        Claim::Done(answer) => ClaimReply::Done(Box::new((*answer).clone())),
        Claim::Doubtful => ClaimReply::Doubtful,
        Claim::Reused => ClaimReply::Reused,
        Claim::Full => ClaimReply::Full,
    }
}

/// Settles a claim in the table of this daemon.
pub fn handle_settlement(shared: &Shared, settle: SettleRequest) {
    let settlement = match settle.settlement {
        Settlement::Released => Settlement::Released,
        Settlement::Done(answer) => Settlement::Done(Arc::new(*answer)),
        Settlement::Doubtful => Settlement::Doubtful,
    };
    shared
        .key_records()
        .settle(settle.key, settle.owner, settlement);
}

fn seal_reply<T: serde::Serialize>(shared: &Shared, reply: &T) -> Response {
    match seal(&shared.key, reply) {
        Ok(bytes) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(bytes);
            response
        }
        Err(error) => {
            warn!(%error, "cannot seal the reply to another daemon");
            Response::new(StatusCode::InternalServerError)
        }
    }
}

fn refuse_envelope(shared: &Shared, error: &rf_protocol::EnvelopeError) -> Response {
    warn!(%error, "refused a message on the relay port that cannot be opened");
    refuse_request(shared, "envelope")
}

fn refuse_request(shared: &Shared, reason: &str) -> Response {
    let labels = [reason];
    shared
        .metrics
        .peer_refusals
        .with_label_values(&labels)
        .inc();
    let mut response = Response::new(StatusCode::BadRequest);
    response.insert_header("connection", "close");
    response.set_body(format!("request refused: {reason}"));
    response
}
