//! The relay port: attempts and questions of other daemons.
//!
//! The listener does not watch a connection while its request is handled, so an attempt goes on, and
//! its answer is kept, when the connection it came on is lost. Its sender finds the answer in the
//! ledger.

use super::attempt::{AskReply, ClaimReply, SettleRequest};
use super::body::{BodyLimits, read_payload};
use super::headers;
use super::run::{Attempt, RunEnd, run};
use super::shared::Shared;
use super::trace::TraceContext;
use http_types::{Request, Response, StatusCode};
use rf_base::{AttemptId, Millis};
use rf_protocol::attempt::{ATTEMPT_HEADER, SETTLED_HEADER};
use rf_protocol::{AttemptHeader, SettledHeader, open, seal};
use rf_traffic::keys::ClaimRequest;
use rf_traffic::{AttemptStatus, Claim, RefusalReason, Settlement};
use std::sync::Arc;
use tracing::warn;

/// Longest pause inside an attempt's body.
const BODY_PAUSE: Millis = Millis(10_000);
/// Longest body of an operation.
const OPERATION_BYTES: usize = 256 * 1024;

/// Operation on the relay port other than running an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Ask the ledger about an attempt.
    Ask,
    /// Cancel an attempt.
    Cancel,
    /// Claim an idempotency key.
    Claim,
    /// Settle a claim.
    Settle,
}

impl Operation {
    /// Returns the header form.
    pub fn as_str(self) -> &'static str {
        match self {
            Operation::Ask => "ask",
            Operation::Cancel => "cancel",
            Operation::Claim => "claim",
            Operation::Settle => "settle",
        }
    }

    fn parse(text: &str) -> Option<Operation> {
        [
            Operation::Ask,
            Operation::Cancel,
            Operation::Claim,
            Operation::Settle,
        ]
        .into_iter()
        .find(|o| o.as_str() == text)
    }
}

/// Answers one request on the relay port.
///
/// # Errors
///
/// Returns no error; the type is that of an HTTP endpoint.
pub async fn handle(shared: Arc<Shared>, request: Request) -> http_types::Result<Response> {
    if headers::check_framing(&request).is_err() {
        return Ok(refuse_peer(&shared, "framing"));
    }
    match headers::get(&request, headers::OPERATION).map(Operation::parse) {
        None => Ok(handle_attempt(shared, request).await),
        Some(Some(operation)) => Ok(handle_operation(&shared, operation, request).await),
        Some(None) => Ok(refuse_peer(&shared, "operation")),
    }
}

async fn handle_attempt(shared: Arc<Shared>, mut request: Request) -> Response {
    let Some(header) = read_header(&shared, &request) else {
        return refuse_peer(&shared, "attempt-header");
    };
    let Some(left) = headers::get_deadline(&request) else {
        return refuse_peer(&shared, "deadline");
    };
    if let Some(settled) = headers::get(&request, SETTLED_HEADER)
        && let Ok(settled) = SettledHeader::decode(settled, &shared.key)
    {
        shared.gate.settle(&settled.0);
    }
    let route = headers::get(&request, headers::ROUTE)
        .and_then(|v| u64::from_str_radix(v, 16).ok())
        .unwrap_or(0);
    let trace = headers::get(&request, headers::TRACEPARENT).and_then(TraceContext::parse);
    let limits = BodyLimits {
        buffer: shared.settings.traffic.buffer,
        max: shared.settings.traffic.max_body,
        pause: BODY_PAUSE,
    };
    let deadline = shared.now() + left;
    let Ok(payload) = read_payload(request.take_body(), limits).await else {
        return describe(&shared, header, RunEnd::Refused(RefusalReason::Unconnected));
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
    describe(&shared, header, end)
}

fn read_header(shared: &Shared, request: &Request) -> Option<AttemptHeader> {
    let text = headers::get(request, ATTEMPT_HEADER)?;
    AttemptHeader::decode(text, &shared.key).ok()
}

/// Makes the answer to the daemon that sent an attempt.
fn describe(shared: &Shared, header: AttemptHeader, end: RunEnd) -> Response {
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
        RunEnd::Broken(broken) => {
            let mut response = Response::new(StatusCode::BadGateway);
            let outcome = if broken.is_late { "late" } else { "broken" };
            response.insert_header(headers::OUTCOME, outcome);
            response.insert_header(headers::CRASH, u8::from(broken.is_crash).to_string());
            response.set_body(broken.message);
            response
        }
    };
    response.insert_header(headers::ANSWERS, header.id.to_string());
    response.insert_header(headers::LOAD, shared.gate.load_percent().to_string());
    response
}

async fn handle_operation(shared: &Shared, operation: Operation, mut request: Request) -> Response {
    if matches!(operation, Operation::Ask | Operation::Cancel) {
        let Some(header) = read_header(shared, &request) else {
            return refuse_peer(shared, "attempt-header");
        };
        if operation == Operation::Cancel {
            shared.gate.cancel(&header);
        }
        return answer_with(shared, &ask(shared, &header));
    }
    let too_long = request.len().is_none_or(|n| n > OPERATION_BYTES);
    let body = match too_long {
        true => return refuse_peer(shared, "oversized"),
        false => request.body_bytes().await.unwrap_or_default(),
    };
    match operation {
        Operation::Claim => match open::<WireClaim>(&shared.key, &body) {
            Ok(claim) => answer_with(shared, &take_claim(shared, &claim.into())),
            Err(error) => refuse_message(shared, &error),
        },
        _ => match open::<SettleRequest>(&shared.key, &body) {
            Ok(settle) => {
                take_settlement(shared, settle);
                answer_with(shared, &true)
            }
            Err(error) => refuse_message(shared, &error),
        },
    }
}

/// A [`ClaimRequest`] on the wire.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct WireClaim {
    key: u64,
    owner: AttemptId,
    fingerprint: u64,
    left: Millis,
    sent: Millis,
}

impl WireClaim {
    /// Makes the wire form of a claim sent at `now`.
    pub fn new(claim: &ClaimRequest, now: Millis) -> WireClaim {
        WireClaim {
            key: claim.key,
            owner: claim.owner,
            fingerprint: claim.fingerprint,
            left: claim.until.since(now),
            sent: now,
        }
    }
}

impl From<WireClaim> for ClaimRequest {
    fn from(wire: WireClaim) -> ClaimRequest {
        ClaimRequest {
            key: wire.key,
            owner: wire.owner,
            fingerprint: wire.fingerprint,
            until: wire.sent + wire.left,
        }
    }
}

/// Asks the ledger of this instance.
pub fn ask(shared: &Shared, header: &AttemptHeader) -> AskReply {
    match shared.gate.ask(header) {
        AttemptStatus::NotRun => AskReply::NotRun,
        AttemptStatus::Running => AskReply::Running,
        AttemptStatus::Done(answer) => AskReply::Done(Box::new((*answer).clone())),
        AttemptStatus::Gone => AskReply::Gone,
        AttemptStatus::Unknown => AskReply::Unknown,
    }
}

/// Claims a key in the records of this daemon.
pub fn take_claim(shared: &Shared, claim: &ClaimRequest) -> ClaimReply {
    match shared.keys().claim(shared.now(), claim) {
        Claim::Granted => ClaimReply::Granted,
        Claim::Running => ClaimReply::Running,
        Claim::Done(answer) => ClaimReply::Done(Box::new((*answer).clone())),
        Claim::Doubtful => ClaimReply::Doubtful,
        Claim::Reused => ClaimReply::Reused,
        Claim::Full => ClaimReply::Full,
    }
}

/// Settles a claim in the records of this daemon.
pub fn take_settlement(shared: &Shared, settle: SettleRequest) {
    let settlement = match settle.settlement {
        Settlement::Released => Settlement::Released,
        Settlement::Done(answer) => Settlement::Done(Arc::new(*answer)),
        Settlement::Doubtful => Settlement::Doubtful,
    };
    shared.keys().settle(settle.key, settle.owner, settlement);
}

fn answer_with<T: serde::Serialize>(shared: &Shared, reply: &T) -> Response {
    match seal(&shared.key, reply) {
        Ok(bytes) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(bytes);
            response
        }
        Err(error) => {
            warn!(%error, "answer to a daemon was not sealed");
            Response::new(StatusCode::InternalServerError)
        }
    }
}

fn refuse_message(shared: &Shared, error: &rf_protocol::EnvelopeError) -> Response {
    warn!(%error, "message on the relay port refused");
    refuse_peer(shared, "envelope")
}

fn refuse_peer(shared: &Shared, reason: &str) -> Response {
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
