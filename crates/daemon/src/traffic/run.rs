//! Runs one attempt on the backend server of this instance.
//!
//! The attempt first acquires a slot from the gate. A short answer is buffered and stored in the
//! ledger; a longer one is streamed, and keeps the slot and the connection until it ends.

use super::answer::Answer;
use super::body::{CheckedReader, EndNotifier, OnEnd, Payload};
use super::gate::SlotPermit;
use super::headers;
use super::shared::Shared;
use super::trace::TraceContext;
use crate::control::Event;
use crate::control::event::Observation;
use async_std::task;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Method, Request, Response};
use rf_base::{Millis, Verdict};
use rf_protocol::{AttemptHeader, Strike};
use rf_traffic::RefusalReason;
use rf_transport::client::wants_close;
use rf_transport::timer::timeout;
use rf_transport::{Connection, SendError};
use std::sync::Arc;
use tracing::debug;

/// Attempt to be run on the backend server of this instance.
#[derive(Debug)]
pub struct Attempt {
    /// Id, target and expiry time of the attempt, and fingerprint of its request.
    pub header: AttemptHeader,
    /// Fingerprint of the route, to which observations of the attempt are attributed.
    pub route: u64,
    /// Time after which the attempt is given up.
    pub deadline: Millis,
    /// Request without its body and its hop-by-hop headers.
    pub head: Request,
    /// Request body.
    pub payload: Payload,
    /// Trace context received from the sender, if any.
    pub trace: Option<TraceContext>,
}

/// Outcome of an attempt at the backend server.
#[derive(Debug)]
pub enum RunEnd {
    /// The backend server answered.
    Answered(Response),
    /// The attempt was refused and did not run.
    Refused(RefusalReason),
    /// The attempt may have run, but there is no answer.
    Failed(RunFailure),
}

/// Description of an attempt that may have run but has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunFailure {
    /// Description of the failure, sent to the daemon that sent the attempt.
    pub message: String,
    /// Whether the backend server crashed during the attempt.
    pub is_crash: bool,
    /// Whether the deadline passed before the answer was complete.
    pub is_timeout: bool,
}

impl RunFailure {
    fn new(message: impl Into<String>) -> RunFailure {
        RunFailure {
            message: message.into(),
            is_crash: false,
            is_timeout: false,
        }
    }
}

/// Runs `attempt` once the gate admits it, and returns how it ended.
pub async fn run(shared: Arc<Shared>, attempt: Attempt) -> RunEnd {
    let (permit, cancelled) = match shared.gate.acquire(&attempt.header, attempt.deadline).await {
        Ok(acquired) => acquired,
        Err(reason) => {
            let label = [reason.as_str()];
            shared.metrics.refusals.with_label_values(&label).inc();
            return RunEnd::Refused(reason);
        }
    };
    let route = attempt.route;
    let fingerprint = attempt.header.fingerprint;
    let limit = attempt.deadline.since(shared.now());
    let exchange = async { Some(exchange(&shared, &permit, attempt).await) };
    let cancelled = async {
        cancelled.wait().await;
        None
    };
    match timeout(limit, exchange.or(cancelled)).await {
        Ok(None) => RunEnd::Failed(RunFailure::new("cancelled by its caller")),
        Ok(Some(Ok((response, connection)))) => {
            handle_response(&shared, permit, route, response, connection, limit).await
        }
        Ok(Some(Err(error))) if error.verdict() == Verdict::NotRun => {
            permit.revoke();
            RunEnd::Refused(RefusalReason::Unconnected)
        }
        Ok(Some(Err(error))) => handle_error(&shared, permit, route, fingerprint, &error).await,
        Err(_) => {
            let observation = build_observation(&permit, route, true);
            shared.observe(observation);
            RunEnd::Failed(RunFailure {
                message: format!("backend server did not answer within {limit}"),
                is_crash: false,
                is_timeout: true,
            })
        }
    }
}

async fn exchange(
    shared: &Shared,
    permit: &SlotPermit,
    attempt: Attempt,
) -> Result<(Response, Connection), SendError> {
    let connection = shared
        .backend_client
        .checkout(permit.server().address)
        .await?;
    let request = build_request(shared, attempt);
    let response = connection.exchange(request).await?;
    Ok((response, connection))
}

fn build_request(shared: &Shared, attempt: Attempt) -> Request {
    let mut request = attempt.head;
    let remaining = attempt.deadline.since(shared.now());
    request.insert_header(headers::DEADLINE, remaining.0.to_string());
    if let Some(trace) = attempt.trace {
        let span = trace.child(shared.random_bits());
        debug!(trace = %span, "sending the attempt to the backend server");
        request.insert_header(headers::TRACEPARENT, span.to_string());
    }
    set_payload(&mut request, attempt.payload);
    request
}

/// Sets the body of `request` without changing its content type.
pub fn set_payload(request: &mut Request, payload: Payload) {
    let content_type = request.remove_header("content-type");
    match payload {
        Payload::Buffered(bytes) => request.set_body(bytes),
        Payload::Streamed(body) => request.set_body(body),
    }
    request.remove_header("content-type");
    if let Some(content_type) = content_type {
        request.insert_header("content-type", &content_type);
    }
}

fn build_observation(permit: &SlotPermit, route: u64, is_failure: bool) -> Observation {
    Observation {
        route,
        is_failure,
        latency: permit.age(),
    }
}

async fn handle_response(
    shared: &Arc<Shared>,
    permit: SlotPermit,
    route: u64,
    response: Response,
    connection: Connection,
    limit: Millis,
) -> RunEnd {
    let status = response.status() as u16;
    let is_shed = shared.gate.is_shed_status(status);
    if is_shed {
        permit.revoke();
        return RunEnd::Refused(RefusalReason::Shed);
    }
    shared.observe(build_observation(&permit, route, status >= 500));
    match timeout(limit, buffer_answer(shared, response)).await {
        Ok(AnswerBody::Buffered(answer, is_closing)) => {
            if !is_closing {
                shared.backend_client.put_back(connection);
            }
            let answer = Arc::new(answer);
            let response = answer.to_response();
            permit.finish(Some(answer));
            RunEnd::Answered(response)
        }
        Ok(AnswerBody::Streamed(response, is_closing)) => {
            RunEnd::Answered(stream(shared, permit, response, connection, is_closing))
        }
        Ok(AnswerBody::Failed(message)) => RunEnd::Failed(RunFailure::new(message)),
        Err(_) => RunEnd::Failed(RunFailure {
            message: "answer did not end in time".to_owned(),
            is_crash: false,
            is_timeout: true,
        }),
    }
}

/// Answer of the backend server, by how its body is handled. The flag states whether the connection
/// must be closed afterwards.
enum AnswerBody {
    /// The complete answer, held in memory.
    Buffered(Answer, bool),
    /// A response whose body exceeds the buffer limit and must be streamed.
    Streamed(Response, bool),
    /// The body failed or ended early; carries a description.
    Failed(String),
}

/// Reads the body of an answer into memory, up to the limit beyond which it is streamed.
async fn buffer_answer(shared: &Shared, mut response: Response) -> AnswerBody {
    let is_closing = wants_close(&response);
    let buffer = shared.settings.traffic.buffer;
    let declared = response.len();
    if declared.is_some_and(|n| n > buffer) {
        let body = CheckedReader::new(response.take_body(), declared, u64::MAX);
        set_response_body(&mut response, Body::from_reader(body, declared));
        return AnswerBody::Streamed(response, is_closing);
    }
    let mut body = response.take_body();
    let mut read = Vec::new();
    let mut limited = (&mut body).take(buffer as u64 + 1);
    if let Err(error) = limited.read_to_end(&mut read).await {
        return AnswerBody::Failed(format!("answer broke off: {error}"));
    }
    if read.len() > buffer {
        let chained = futures_lite::io::Cursor::new(read).chain(body);
        let reader = futures_lite::io::BufReader::new(chained);
        set_response_body(&mut response, Body::from_reader(reader, None));
        return AnswerBody::Streamed(response, is_closing);
    }
    match declared {
        Some(n) if n != read.len() => {
            AnswerBody::Failed(format!("answer ended after {} of {n} bytes", read.len()))
        }
        _ => AnswerBody::Buffered(Answer::new(&response, read), is_closing),
    }
}

/// Sets the body of `response` without changing its content type.
pub fn set_response_body(response: &mut Response, body: Body) {
    let content_type = response.remove_header("content-type");
    response.set_body(body);
    response.remove_header("content-type");
    if let Some(content_type) = content_type {
        response.insert_header("content-type", &content_type);
    }
}

/// Holds the slot and the connection until a streamed answer has ended.
struct StreamGuard {
    shared: Arc<Shared>,
    resources: Option<(SlotPermit, Connection)>,
    is_closing: bool,
}

impl OnEnd for StreamGuard {
    fn end(&mut self, is_complete: bool) {
        let Some((permit, connection)) = self.resources.take() else {
            return;
        };
        if is_complete && !self.is_closing {
            self.shared.backend_client.put_back(connection);
        }
        permit.finish(None);
    }
}

fn stream(
    shared: &Arc<Shared>,
    permit: SlotPermit,
    mut response: Response,
    connection: Connection,
    is_closing: bool,
) -> Response {
    let declared = response.len();
    let on_end = StreamGuard {
        shared: shared.clone(),
        resources: Some((permit, connection)),
        is_closing,
    };
    let body = EndNotifier::new(response.take_body(), on_end);
    set_response_body(&mut response, Body::from_reader(body, declared));
    headers::strip_response(&mut response);
    response
}

async fn handle_error(
    shared: &Shared,
    permit: SlotPermit,
    route: u64,
    fingerprint: u64,
    error: &SendError,
) -> RunEnd {
    shared.observe(build_observation(&permit, route, true));
    let is_crash = refuses_connections(shared, &permit).await;
    if is_crash {
        shared.send_event(Event::ServerCrashed(Strike {
            fingerprint,
            instance: shared.me,
            at: shared.now(),
        }));
    }
    RunEnd::Failed(RunFailure {
        message: error.to_string(),
        is_crash,
        is_timeout: false,
    })
}

/// Delay between a failed exchange and the check whether the backend server still accepts
/// connections.
const CRASH_CHECK_DELAY: Millis = Millis(20);

/// Returns whether the backend server no longer accepts connections, which is taken for a crash.
async fn refuses_connections(shared: &Shared, permit: &SlotPermit) -> bool {
    task::sleep(CRASH_CHECK_DELAY.duration()).await;
    let address = permit.server().address;
    shared.backend_client.connect(address).await.is_err()
}

/// Returns whether HTTP defines the method as idempotent, so that its requests may run repeatedly.
pub fn is_idempotent(method: Method) -> bool {
    matches!(
        method,
        Method::Get | Method::Head | Method::Options | Method::Trace | Method::Put | Method::Delete
    )
}
