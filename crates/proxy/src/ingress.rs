//! Accepts HTTP requests from callers and from the local backend server, and answers them.
//!
//! [`connection`] reads requests and writes responses; [`pipelined`] does so while several requests
//! of one connection run.

mod connection;
mod pipelined;

use crate::authentication::{self, Denial};
use crate::dialect::{CallerMetadata, Dialect};
use crate::dispatch::{Call, FinalOutcome, Progress, RefusalReason, dispatch};
use crate::gate::{CallEnd, Parent};
use crate::listener::accept;
use crate::quota::{self, QuotaDecision};
use crate::shared::Shared;
use crate::view::{ServiceView, View};
use async_std::future::timeout;
use async_std::net::TcpListener;
use rf_base::ids::hash_key;
use rf_base::{Millis, ServiceName, Verdict};
use rf_config::{Caller, PathRoute};
use rf_protocol::relay::{Payload, ServerAnswer};
use rf_transport::h1::{Headers, MemoryReservation, RequestHead, ResponseHead};
use std::sync::Arc;
use tracing::{Instrument, debug_span, info};

/// Time after the deadline within which the final answer may still be produced, so that an answer
/// that comes at the deadline, or the response that there is none, still reaches the caller.
const ANSWER_GRACE: Millis = Millis(80);
/// Retry delay given to a caller while no route table or service is known, or after its request
/// ran out of time without being run.
const DEFAULT_RETRY: Millis = Millis(300);
/// Retry delay given to a caller whose request could not finish before the process stops.
const STOPPING_RETRY: Millis = Millis(100);
/// Accepts connections and serves callers until the task is dropped.
pub async fn serve<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    let connections = shared.settings.load().limits.max_connections();
    accept(listener, connections, move |connection| {
        connection::serve_connection(shared.clone(), connection)
    })
    .await;
}

/// A request that was read completely.
struct Received {
    head: RequestHead,
    body: Vec<u8>,
    metadata: CallerMetadata,
    start: Millis,
    /// What it inherits if the local backend server sent it while running another request.
    parent: Option<Parent>,
    /// Who sent it; set once the request is authenticated.
    caller: Caller,
    _memory: MemoryReservation,
}

impl Received {
    /// Returns the time by which the request must be answered.
    fn deadline(&self, route: &PathRoute) -> Millis {
        let left = self.metadata.time_left.unwrap_or(route.timeout);
        self.start + left.min(route.timeout)
    }
}

/// A response to a caller.
struct Response {
    head: ResponseHead,
    body: Vec<u8>,
}

async fn answer<D: Dialect>(shared: &Arc<Shared<D>>, mut received: Received) -> Response {
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
    received.caller = match authenticate(shared, &view, route, &received) {
        Ok(caller) => caller,
        Err(response) => return response,
    };
    let caller = received.caller.clone();
    let deadline = received.deadline(route);
    let organisation = caller.organisation_id();
    let token = match quota::admit(shared, &view, organisation, shared.now(), deadline).await {
        QuotaDecision::Admitted(token) => token,
        QuotaDecision::Refused(wait) => {
            authentication::count_request(shared, &caller, 429, Verdict::NotRun);
            return refused_response(shared, 429, wait);
        }
    };
    let service = shared.shares().pick(route).cloned();
    let Some(service) = service else {
        quota::put_back(shared, &view, token);
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
    authentication::count_request(shared, &caller, status, verdict);
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
            organisation = caller.name(),
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

/// Returns who sent a request, or the response to a request that must not be run.
fn authenticate<D: Dialect>(
    shared: &Shared<D>,
    view: &View,
    route: &PathRoute,
    received: &Received,
) -> Result<Caller, Response> {
    let request = &received.metadata.request_id;
    let is_nested = received.parent.is_some();
    let headers = &received.head.headers;
    let admitted = authentication::admit(shared, view, route, request, is_nested, headers);
    admitted.map_err(|denial| match denial {
        Denial::Unauthorised => {
            let mut response = empty_response(401);
            shared.dialect.set_challenge(&mut response.head.headers);
            response
        }
        Denial::Later(wait) => service_unavailable(shared, wait),
    })
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
    let class = received.caller.class;
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
        caller: received.caller.clone(),
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
        None => shared.observe_request_end(service, class, call_end),
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
    // After the fields that `Connection` lists are removed, so that a caller can't have the name of
    // its organisation removed.
    authentication::rewrite_headers(&shared.dialect, &received.caller, &mut headers);
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
