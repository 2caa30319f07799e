//! Accepts HTTP requests from callers and from the local backend server, and answers them.

use crate::dialect::{CallerMetadata, Dialect};
use crate::dispatch::{Call, FinalOutcome, Progress, RefusalReason, dispatch};
use crate::gate::{CallEnd, Parent};
use crate::listener::accept;
use crate::quota::{self, QuotaDecision};
use crate::shared::{MemoryReservation, Shared};
use crate::view::{ServiceView, View};
use async_std::future::timeout;
use async_std::net::TcpListener;
use futures_lite::FutureExt;
use rf_base::ids::hash_key;
use rf_base::{Millis, ServiceName, Verdict};
use rf_config::{CallerLimits, PathRoute};
use rf_protocol::relay::{Payload, ServerAnswer};
use rf_transport::h1::{
    Connection, Framing, Headers, ReadError, ReadLimits, RequestHead, ResponseHead, frame_request,
};
use std::sync::Arc;
use tracing::{Instrument, debug_span, info};

/// Time after the deadline within which the final answer may still be produced, so that an answer
/// that comes at the deadline, or the response that there is none, still reaches the caller.
const ANSWER_GRACE: Millis = Millis(80);
/// Maximum number of bytes that a caller may send ahead while its request runs.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Time added to the idle time that callers are promised before their connection is closed.
const IDLE_GRACE: Millis = Millis(1000);
/// Retry delay given to a caller while no route table or service is known, or after its request
/// ran out of time without being run.
const DEFAULT_RETRY: Millis = Millis(300);
/// Retry delay given to a caller whose request could not finish before the process stops.
const STOPPING_RETRY: Millis = Millis(100);
/// Retry delay given to a caller while the memory budget for requests is exhausted.
const MEMORY_RETRY: Millis = Millis(200);

/// Accepts connections and serves callers until the task is dropped.
pub async fn serve<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    let connections = shared.settings.load().limits.max_connections();
    accept(listener, connections, move |connection| {
        serve_connection(shared.clone(), connection)
    })
    .await;
}

async fn serve_connection<D: Dialect>(shared: Arc<Shared<D>>, mut connection: Connection) {
    loop {
        let limits = shared.view.load().table.limits;
        let idle = limits.idle_time + IDLE_GRACE;
        match timeout(idle.duration(), connection.wait_readable()).await {
            Ok(Ok(())) => {}
            _ => return,
        }
        let next_step = serve_request(&shared, &mut connection, &limits).await;
        if next_step != NextStep::KeepOpen {
            return;
        }
    }
}

/// What to do with a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    KeepOpen,
    Close,
}

/// A request that was read completely.
struct Received {
    head: RequestHead,
    body: Vec<u8>,
    metadata: CallerMetadata,
    start: Millis,
    /// What it inherits if the local backend server sent it while running another request.
    parent: Option<Parent>,
    _memory: MemoryReservation,
}

impl Received {
    /// Returns the time by which the request must be answered.
    fn deadline(&self, route: &PathRoute) -> Millis {
        let left = self.metadata.time_left.unwrap_or(route.timeout);
        self.start + left.min(route.timeout)
    }
}

async fn serve_request<D: Dialect>(
    shared: &Arc<Shared<D>>,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> NextStep {
    let _guard = shared.count_call();
    let reading = read_request(shared, connection, limits);
    let received = match timeout(limits.head_time.duration(), reading).await {
        Ok(Ok(received)) => received,
        Ok(Err(refusal)) => return refuse(shared, connection, refusal).await,
        Err(_) => return refuse(shared, connection, Refusal::status(408)).await,
    };
    let keeps_open = received.head.is_keep_alive();
    let is_head = received.head.method == "HEAD";
    let answering = async { Some(answer(shared, received).await) };
    let disconnecting = async {
        connection.wait_closed(MAX_READ_AHEAD).await;
        None
    };
    let Some(response) = answering.or(disconnecting).await else {
        return NextStep::Close;
    };
    let should_close = !keeps_open || shared.is_stopping();
    let _reservation = shared.link.reserve(response.body.len() as u64);
    write_response(shared, connection, response, should_close, is_head).await
}

/// A request that is refused while it is being read.
struct Refusal {
    status: u16,
    retry: Option<Millis>,
}

impl Refusal {
    fn status(status: u16) -> Refusal {
        Refusal {
            status,
            retry: None,
        }
    }
}

async fn read_request<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Result<Received, Refusal> {
    let limits = ReadLimits {
        head: limits.head,
        body: limits.body,
    };
    let head = connection.read_request(&limits).await;
    let head = head.map_err(|e| Refusal::status(status_of(&e)))?;
    let start = shared.now();
    let framing = frame_request(&head).map_err(|_| Refusal::status(400))?;
    let expected = match framing {
        Framing::Length(n) => n,
        _ => 0,
    };
    let memory = shared.request_memory.reserve(expected).ok_or(Refusal {
        status: 503,
        retry: Some(MEMORY_RETRY),
    })?;
    if head.headers.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        let sent = connection.write(interim).await;
        sent.map_err(|_| Refusal::status(400))?;
    }
    let body = connection.read_body(framing, &limits).await;
    let body = body.map_err(|e| Refusal::status(status_of(&e)))?;
    let metadata = shared.dialect.read_caller(&head.headers);
    let parent = shared.dialect.parent_request_id(&metadata.request_id);
    let parent = parent.and_then(|id| shared.gate.parent(id));
    Ok(Received {
        head,
        body,
        metadata,
        start,
        parent,
        _memory: memory,
    })
}

fn status_of(error: &ReadError) -> u16 {
    match error {
        ReadError::HeadTooLarge { .. } => 431,
        ReadError::BodyTooLarge { .. } => 413,
        _ => 400,
    }
}

/// Answers a request that was not read completely. Its connection can't be reused, as the rest of
/// the request may still arrive on it.
async fn refuse<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    refusal: Refusal,
) -> NextStep {
    let status = refusal.status;
    info!(event = "request.unread", status);
    let mut head = ResponseHead::new(status);
    if let Some(wait) = refusal.retry {
        shared.dialect.set_retry_after(&mut head.headers, wait);
    }
    let response = Response {
        head,
        body: Vec::new(),
    };
    write_response(shared, connection, response, true, false).await
}

/// A response to a caller.
struct Response {
    head: ResponseHead,
    body: Vec<u8>,
}

async fn write_response<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    mut response: Response,
    should_close: bool,
    is_head: bool,
) -> NextStep {
    if should_close {
        response.head.headers.add("Connection", "close");
    }
    let has_body = !matches!(response.head.status, 204 | 304);
    let mut bytes = response
        .head
        .encode(has_body.then_some(response.body.len()));
    if !is_head {
        bytes.append(&mut response.body);
    }
    let result = shared.send_scheduler.write(connection, &bytes).await;
    match result.is_ok() && !should_close {
        true => NextStep::KeepOpen,
        false => NextStep::Close,
    }
}

async fn answer<D: Dialect>(shared: &Arc<Shared<D>>, received: Received) -> Response {
    let view = shared.view.load_full();
    let host = received.head.headers.get("host").unwrap_or_default();
    if !view.is_known() {
        let request = &received.metadata.request_id;
        info!(event = "request.refused", request, reason = "no-table");
        return service_unavailable(shared, DEFAULT_RETRY);
    }
    let Some(route) = view.table.find(host, received.head.path()) else {
        let request = &received.metadata.request_id;
        let table = view.table.version.0;
        info!(event = "request.unrouted", request, host, table);
        return empty_response(404);
    };
    let deadline = received.deadline(route);
    // Callers are not authenticated yet, so no request has an organisation.
    let token = match quota::admit(shared, &view, None, shared.now(), deadline).await {
        QuotaDecision::Admitted(token) => token,
        QuotaDecision::Refused(wait) => return refused_response(shared, 429, wait),
    };
    let service = shared.shares().pick(route).cloned();
    let Some(service) = service else {
        return service_unavailable(shared, DEFAULT_RETRY);
    };
    let request = received.metadata.request_id.clone();
    let start = received.start;
    let is_nested = received.parent.is_some();
    let span = debug_span!("request", request, route = route.name);
    let ended = run_request(shared, &view, route, &service, received);
    let (response, verdict, reason) = ended.instrument(span).await;
    if verdict == Verdict::NotRun {
        quota::put_back(shared, &view, token);
    }
    let status = response.head.status;
    let took = shared.now().since(start);
    let class = format!("{}xx", status / 100);
    let labels = [service.as_str(), class.as_str(), verdict.as_str()];
    shared.metrics.requests.with_label_values(&labels).inc();
    let seconds = shared
        .metrics
        .request_seconds
        .with_label_values(&[service.as_str()]);
    seconds.observe(took.0 as f64 / 1000.0);
    if status >= 500 {
        info!(
            event = "request.failed",
            request,
            route = route.name,
            service = service.as_str(),
            status,
            verdict = verdict.as_str(),
            reason,
            is_nested,
            table = view.table.version.0,
            took = took.0,
        );
    }
    response
}

/// Runs a request until it has a final outcome. Returns the response, whether the request ran, and
/// the reason for the log.
async fn run_request<D: Dialect>(
    shared: &Arc<Shared<D>>,
    view: &View,
    route: &PathRoute,
    service: &ServiceName,
    received: Received,
) -> (Response, Verdict, &'static str) {
    let none = ServiceView::default();
    let start = received.start;
    let deadline = received.deadline(route);
    if shared.ends_before(deadline + ANSWER_GRACE) {
        return (
            service_unavailable(shared, STOPPING_RETRY),
            Verdict::NotRun,
            "stopping",
        );
    }
    let age = match (received.parent, received.metadata.time_left) {
        (None, Some(left)) => shared.caller_age(hash_key(route.name.as_bytes()), left),
        _ => Millis::ZERO,
    };
    let progress = Progress::default();
    let fingerprint = compute_fingerprint(shared, &received);
    let request = received.metadata.request_id.clone();
    let call = Call {
        route,
        service,
        table: view.table.version,
        servers: view.services.get(service).unwrap_or(&none),
        request: &request,
        fingerprint,
        start,
        age,
        deadline,
        parent: received.parent,
        payload: make_payload(shared, received),
        progress: &progress,
    };
    let limit = deadline.since(shared.now()) + ANSWER_GRACE;
    let end = timeout(limit.duration(), dispatch(shared, call)).await;
    let call_end = match &end {
        Ok(FinalOutcome::Refused(RefusalReason::Shed, _)) => CallEnd::Shed,
        Ok(FinalOutcome::Refused(reason, _)) if *reason != RefusalReason::Crashing => {
            CallEnd::Refused
        }
        Err(_) if !progress.may_have_run() => CallEnd::Refused,
        _ if shared.now().since(start) > route.target => CallEnd::Late,
        _ => CallEnd::Served,
    };
    match shared.dialect.parent_request_id(&request) {
        Some(parent) => shared.gate.observe_call(parent, service, call_end),
        // A request that arrived past its latency target says nothing about those that could still
        // meet theirs.
        None if age >= route.target => {}
        None => shared.observe_request_end(service, route.priority, call_end),
    }
    match end {
        Ok(FinalOutcome::Answer(answer)) => (forward_answer(answer), Verdict::Ran, "answered"),
        Ok(FinalOutcome::Refused(RefusalReason::Crashing, _)) => (
            empty_response(502),
            Verdict::MayHaveRun,
            RefusalReason::Crashing.as_str(),
        ),
        Ok(FinalOutcome::Refused(reason, wait)) => (
            service_unavailable(shared, wait),
            Verdict::NotRun,
            reason.as_str(),
        ),
        Ok(FinalOutcome::Lost(loss)) => {
            let status = match loss {
                rf_protocol::relay::Loss::Late => 504,
                _ => 502,
            };
            (empty_response(status), Verdict::MayHaveRun, loss.as_str())
        }
        Err(_) if progress.may_have_run() => (empty_response(504), Verdict::MayHaveRun, "late"),
        Err(_) => (
            service_unavailable(shared, DEFAULT_RETRY),
            Verdict::NotRun,
            "late",
        ),
    }
}

fn compute_fingerprint<D>(shared: &Shared<D>, received: &Received) -> u64 {
    let service = &shared.settings.load().server.service;
    let head = &received.head;
    let host = head.headers.get("host").unwrap_or_default();
    let body = hash_key(&received.body);
    let text = format!("{} {host} {} {service} {body:x}", head.method, head.target);
    hash_key(text.as_bytes())
}

fn make_payload<D: Dialect>(shared: &Shared<D>, received: Received) -> Payload {
    let mut headers: Headers = received.head.headers;
    headers.strip_hop_by_hop();
    headers.remove("expect");
    let settings = shared.settings.load();
    shared
        .dialect
        .set_origin_service(&mut headers, &settings.server.service);
    Payload {
        method: received.head.method,
        target: received.head.target,
        headers: headers.into_fields(),
        body: received.body,
    }
}

fn forward_answer(answer: ServerAnswer) -> Response {
    Response {
        head: ResponseHead {
            status: answer.status,
            minor: 1,
            headers: Headers::from_fields(answer.headers),
        },
        body: answer.body,
    }
}

fn empty_response(status: u16) -> Response {
    Response {
        head: ResponseHead::new(status),
        body: Vec::new(),
    }
}

fn service_unavailable<D: Dialect>(shared: &Shared<D>, wait: Millis) -> Response {
    refused_response(shared, 503, wait)
}

fn refused_response<D: Dialect>(shared: &Shared<D>, status: u16, wait: Millis) -> Response {
    let mut response = empty_response(status);
    shared
        .dialect
        .set_retry_after(&mut response.head.headers, wait);
    response
}
