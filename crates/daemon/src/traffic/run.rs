//! Runs one attempt at the backend server of this instance.

use super::answer::Answer;
use super::body::{EndingReader, ExactReader, OnEnd, Payload};
use super::gate::Pass;
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

/// One attempt as the daemon beside the backend server sees it.
#[derive(Debug)]
pub struct Attempt {
    /// Identity and bounds.
    pub header: AttemptHeader,
    /// Fingerprint of the route.
    pub route: u64,
    /// Time by which the answer must be there.
    pub deadline: Millis,
    /// Head of the request, without hop-by-hop headers.
    pub head: Request,
    /// Body of the request.
    pub payload: Payload,
    /// Trace context of the sender.
    pub trace: Option<TraceContext>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum RunEnd {
    /// The backend server answered.
    Answered(Response),
    /// It did not run.
    Refused(RefusalReason),
    /// It may have run; there is no answer.
    Broken(Broken),
}

/// An attempt that may have run without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// What happened.
    pub message: String,
    /// Whether the backend server crashed.
    pub is_crash: bool,
    /// Whether the deadline passed.
    pub is_late: bool,
}

impl Broken {
    fn new(message: impl Into<String>) -> Broken {
        Broken {
            message: message.into(),
            is_crash: false,
            is_late: false,
        }
    }
}

/// Runs `attempt` behind the gate.
pub async fn run(shared: Arc<Shared>, attempt: Attempt) -> RunEnd {
    let (pass, cancelled) = match shared.gate.enter(&attempt.header, attempt.deadline).await {
        Ok(entered) => entered,
        Err(reason) => {
            let label = [reason.as_str()];
            shared.metrics.refusals.with_label_values(&label).inc();
            return RunEnd::Refused(reason);
        }
    };
    let route = attempt.route;
    let fingerprint = attempt.header.fingerprint;
    let limit = attempt.deadline.since(shared.now());
    let exchange = async { Some(exchange(&shared, &pass, attempt).await) };
    let cancelled = async {
        cancelled.wait().await;
        None
    };
    match timeout(limit, exchange.or(cancelled)).await {
        Ok(None) => RunEnd::Broken(Broken::new("cancelled by its caller")),
        Ok(Some(Ok((response, connection)))) => {
            answer(&shared, pass, route, response, connection, limit).await
        }
        Ok(Some(Err(error))) if error.verdict() == Verdict::NotRun => {
            pass.revoke();
            RunEnd::Refused(RefusalReason::Unconnected)
        }
        Ok(Some(Err(error))) => fail(&shared, pass, route, fingerprint, &error).await,
        Err(_) => {
            let observation = observe(&pass, route, true);
            shared.observe(observation);
            RunEnd::Broken(Broken {
                message: format!("backend server did not answer within {limit}"),
                is_crash: false,
                is_late: true,
            })
        }
    }
}

async fn exchange(
    shared: &Shared,
    pass: &Pass,
    attempt: Attempt,
) -> Result<(Response, Connection), SendError> {
    let connection = shared.backend.checkout(pass.server().address).await?;
    let request = build_request(shared, attempt);
    let response = connection.exchange(request).await?;
    Ok((response, connection))
}

fn build_request(shared: &Shared, attempt: Attempt) -> Request {
    let mut request = attempt.head;
    let left = attempt.deadline.since(shared.now());
    request.insert_header(headers::DEADLINE, left.0.to_string());
    if let Some(trace) = attempt.trace {
        let span = trace.child(shared.bits());
        debug!(trace = %span, "run");
        request.insert_header(headers::TRACEPARENT, span.to_string());
    }
    set_payload(&mut request, attempt.payload);
    request
}

/// Sets the body of `request` and leaves its content type alone.
pub fn set_payload(request: &mut Request, payload: Payload) {
    let content_type = request.remove_header("content-type");
    match payload {
        Payload::Whole(bytes) => request.set_body(bytes),
        Payload::Streamed(body) => request.set_body(body),
    }
    request.remove_header("content-type");
    if let Some(content_type) = content_type {
        request.insert_header("content-type", &content_type);
    }
}

fn observe(pass: &Pass, route: u64, is_failure: bool) -> Observation {
    Observation {
        route,
        is_failure,
        latency: pass.age(),
    }
}

async fn answer(
    shared: &Arc<Shared>,
    pass: Pass,
    route: u64,
    response: Response,
    connection: Connection,
    limit: Millis,
) -> RunEnd {
    let status = response.status() as u16;
    let is_shed = shared.gate.is_shed(status);
    if is_shed {
        pass.revoke();
        return RunEnd::Refused(RefusalReason::Shed);
    }
    shared.observe(observe(&pass, route, status >= 500));
    match timeout(limit, hold(shared, response)).await {
        Ok(Held::Whole(answer, is_closing)) => {
            if !is_closing {
                shared.backend.put_back(connection);
            }
            let answer = Arc::new(answer);
            let response = answer.to_response();
            pass.finish(Some(answer));
            RunEnd::Answered(response)
        }
        Ok(Held::Long(response, is_closing)) => {
            RunEnd::Answered(stream(shared, pass, response, connection, is_closing))
        }
        Ok(Held::Broken(message)) => RunEnd::Broken(Broken::new(message)),
        Err(_) => RunEnd::Broken(Broken {
            message: "answer did not end in time".to_owned(),
            is_crash: false,
            is_late: true,
        }),
    }
}

/// What became of an answer's body.
enum Held {
    /// All of it is here.
    Whole(Answer, bool),
    /// It is longer than the limit and must be streamed.
    Long(Response, bool),
    /// It broke off.
    Broken(String),
}

/// Reads an answer's body up to the limit beyond which it is streamed.
async fn hold(shared: &Shared, mut response: Response) -> Held {
    let is_closing = wants_close(&response);
    let buffer = shared.settings.traffic.buffer;
    let declared = response.len();
    if declared.is_some_and(|n| n > buffer) {
        let body = ExactReader::new(response.take_body(), declared, u64::MAX);
        put_body(&mut response, Body::from_reader(body, declared));
        return Held::Long(response, is_closing);
    }
    let mut body = response.take_body();
    let mut read = Vec::new();
    let mut limited = (&mut body).take(buffer as u64 + 1);
    if let Err(error) = limited.read_to_end(&mut read).await {
        return Held::Broken(format!("answer broke off: {error}"));
    }
    if read.len() > buffer {
        let whole = futures_lite::io::Cursor::new(read).chain(body);
        let reader = futures_lite::io::BufReader::new(whole);
        put_body(&mut response, Body::from_reader(reader, None));
        return Held::Long(response, is_closing);
    }
    match declared {
        Some(n) if n != read.len() => {
            Held::Broken(format!("answer ended after {} of {n} bytes", read.len()))
        }
        _ => Held::Whole(Answer::new(&response, read), is_closing),
    }
}

/// Sets the body of `response` and leaves its content type alone.
pub fn put_body(response: &mut Response, body: Body) {
    let content_type = response.remove_header("content-type");
    response.set_body(body);
    response.remove_header("content-type");
    if let Some(content_type) = content_type {
        response.insert_header("content-type", &content_type);
    }
}

/// Holds the slot and the connection until a streamed answer ended.
struct Streaming {
    shared: Arc<Shared>,
    held: Option<(Pass, Connection)>,
    is_closing: bool,
}

impl OnEnd for Streaming {
    fn end(&mut self, is_whole: bool) {
        let Some((pass, connection)) = self.held.take() else {
            return;
        };
        if is_whole && !self.is_closing {
            self.shared.backend.put_back(connection);
        }
        pass.finish(None);
    }
}

fn stream(
    shared: &Arc<Shared>,
    pass: Pass,
    mut response: Response,
    connection: Connection,
    is_closing: bool,
) -> Response {
    let declared = response.len();
    let on_end = Streaming {
        shared: shared.clone(),
        held: Some((pass, connection)),
        is_closing,
    };
    let body = EndingReader::new(response.take_body(), on_end);
    put_body(&mut response, Body::from_reader(body, declared));
    headers::strip_response(&mut response);
    response
}

async fn fail(
    shared: &Shared,
    pass: Pass,
    route: u64,
    fingerprint: u64,
    error: &SendError,
) -> RunEnd {
    shared.observe(observe(&pass, route, true));
    let is_crash = is_down(shared, &pass).await;
    if is_crash {
        shared.tell(Event::ServerCrashed(Strike {
            fingerprint,
            instance: shared.me,
            at: shared.now(),
        }));
    }
    RunEnd::Broken(Broken {
        message: error.to_string(),
        is_crash,
        is_late: false,
    })
}

/// Pause before a backend server that closed a connection is tried again.
const CRASH_PAUSE: Millis = Millis(20);

/// Returns whether the backend server takes no connections any more.
async fn is_down(shared: &Shared, pass: &Pass) -> bool {
    task::sleep(CRASH_PAUSE.duration()).await;
    let address = pass.server().address;
    shared.backend.connect(address).await.is_err()
}

/// Returns whether a request of this method may run more than once.
pub fn is_idempotent(method: Method) -> bool {
    matches!(
        method,
        Method::Get | Method::Head | Method::Options | Method::Trace | Method::Put | Method::Delete
    )
}
