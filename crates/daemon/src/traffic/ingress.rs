//! Accepts calls from callers and answers them.
//!
//! A call is checked and routed, then tried on one backend server after another until one answers,
//! or until the verdict, the retry budget or the deadline rules out another attempt. Every answer
//! carries the verdict in a header, so the caller always learns whether the call may have run.

use super::answer::Answer;
use super::attempt::{AttemptResult, Failure, OutgoingAttempt, send};
use super::body::{BodyError, BodyLimits, Payload, read_payload};
use super::headers;
use super::idempotency::{ClaimResult, KeyClaim, claim};
use super::run::{is_idempotent, set_response_body};
use super::shared::Shared;
use super::trace::TraceContext;
use http_types::{Body, Request, Response, StatusCode};
use rf_base::ids::hash_key;
use rf_base::{Millis, Verdict};
use rf_traffic::retry::AttemptEnd;
use rf_traffic::table::{RouteEntry, RoutingTable, ServerTarget, ServiceEntry};
use rf_traffic::{CallError, CallProgress, NextAttempt, Outcome, RefusalReason, Suspicion};
use std::sync::Arc;
use tracing::{Instrument, debug, debug_span};

/// Result of a step of a call; the error is the one reported to the caller.
pub type Result<T> = std::result::Result<T, CallError>;

/// Handles one call, from its request to its answer.
///
/// # Errors
///
/// Never returns an error; the result type is that of an HTTP endpoint.
pub async fn handle(shared: Arc<Shared>, request: Request) -> http_types::Result<Response> {
    let _call = shared.track_call();
    let start = shared.now();
    let trace = start_trace(&shared, &request);
    let span = debug_span!("call", trace = %trace);
    let result = serve(&shared, request, trace, start).instrument(span).await;
    let (response, verdict) = match result {
        Ok(mut response) => {
            response.insert_header(headers::VERDICT, Verdict::Ran.as_str());
            (response, Verdict::Ran)
        }
        Err(error) => (build_response(&error), error.verdict()),
    };
    let class = format!("{}xx", response.status() as u16 / 100);
    let labels = [class.as_str(), verdict.as_str()];
    shared.metrics.calls.with_label_values(&labels).inc();
    Ok(response)
}

fn start_trace(shared: &Shared, request: &Request) -> TraceContext {
    let parent = headers::get(request, headers::TRACEPARENT).and_then(TraceContext::parse);
    match parent {
        Some(parent) => parent.child(shared.random_bits()),
        None => TraceContext::start(
            shared.random_bits(),
            shared.random_bits(),
            shared.random_bits(),
        ),
    }
}

/// Builds the answer that reports an error to the caller.
fn build_response(error: &CallError) -> Response {
    let status = StatusCode::try_from(error.status()).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.insert_header(headers::VERDICT, error.verdict().as_str());
    if let Some(seconds) = error.retry_after() {
        response.insert_header("retry-after", seconds.to_string());
    }
    if closes_connection(error) {
        response.insert_header("connection", "close");
    }
    response.set_body(format!("{error}\n"));
    response
}

/// Returns whether the connection is closed after the error, because the request may not have been
/// read to its end.
fn closes_connection(error: &CallError) -> bool {
    matches!(
        error,
        CallError::BadRequest { .. }
            | CallError::NoRoute { .. }
            | CallError::BodyTooLarge { .. }
            | CallError::SlowBody { .. }
            | CallError::Stopping
    )
}

async fn serve(
    shared: &Arc<Shared>,
    mut request: Request,
    trace: TraceContext,
    start: Millis,
) -> Result<Response> {
    check_request(shared, &request)?;
    let table = shared.table.load_full();
    let route = find_route(&table, &request)?;
    let service = table.service(route.service);
    let limit = match headers::get_deadline(&request) {
        Some(requested) => requested.min(route.deadline),
        None => route.deadline,
    };
    let payload = read_call_body(shared, &mut request).await?;
    let fingerprint = fingerprint_call(&request, &payload);
    let key = headers::get(&request, headers::IDEMPOTENCY_KEY).map(str::to_owned);
    let idempotent = route
        .idempotent
        .unwrap_or_else(|| is_idempotent(request.method()));
    headers::strip_request(&mut request);
    let call = Call {
        shared,
        service,
        route,
        request,
        fingerprint,
        limit,
        deadline: start + limit,
        trace,
    };
    call.check_suspicion()?;
    let response = match key.filter(|_| !idempotent) {
        Some(key) => call.run_with_key(&key, payload).await?,
        None => call.run(payload, idempotent).await?,
    };
    let seconds = shared.now().since(start).0 as f64 / 1000.0;
    let labels = [service.name.as_str()];
    let histogram = shared.metrics.call_seconds.with_label_values(&labels);
    histogram.observe(seconds);
    Ok(response)
}

fn check_request(shared: &Shared, request: &Request) -> Result<()> {
    if shared.is_stopping() {
        return Err(CallError::Stopping);
    }
    headers::check_framing(request).map_err(|message| CallError::BadRequest {
        message: message.to_owned(),
    })
}

fn find_route<'a>(table: &'a RoutingTable, request: &Request) -> Result<&'a RouteEntry> {
    let host = headers::get(request, "host").unwrap_or("");
    let path = request.url().path();
    table
        .find_route(host, path)
        .ok_or_else(|| CallError::NoRoute {
            host: host.to_owned(),
            path: path.to_owned(),
        })
}

async fn read_call_body(shared: &Shared, request: &mut Request) -> Result<Payload> {
    let traffic = &shared.settings.traffic;
    let limits = BodyLimits {
        buffer_bytes: traffic.buffer,
        max_bytes: traffic.max_body,
        max_pause: traffic.body_timeout,
    };
    read_payload(request.take_body(), limits)
        .await
        .map_err(|error| match error {
            BodyError::Slow => CallError::SlowBody {
                limit: limits.max_pause,
            },
            BodyError::TooLarge => CallError::BodyTooLarge {
                limit: limits.max_bytes,
            },
            BodyError::Malformed => CallError::BadRequest {
                message: "body ended early".to_owned(),
            },
        })
}

fn fingerprint_call(request: &Request, payload: &Payload) -> u64 {
    let body = match payload {
        Payload::Buffered(bytes) => hash_key(bytes),
        Payload::Streamed(_) => 0,
    };
    let path = request.url().path();
    let query = request.url().query().unwrap_or("");
    hash_key(format!("{} {path} {query} {body:x}", request.method()).as_bytes())
}

/// Call that passed the checks and has a route.
struct Call<'a> {
    shared: &'a Arc<Shared>,
    service: &'a ServiceEntry,
    route: &'a RouteEntry,
    request: Request,
    fingerprint: u64,
    limit: Millis,
    deadline: Millis,
    trace: TraceContext,
}

impl Call<'_> {
    fn check_suspicion(&self) -> Result<()> {
        match self.shared.strikes.load().suspicion(self.fingerprint) {
            Suspicion::Blocked => Err(CallError::Crashing),
            _ => Ok(()),
        }
    }

    async fn run_with_key(&self, key: &str, payload: Payload) -> Result<Response> {
        let service = self.service.name.as_str();
        let claimed = claim(self.shared, service, key, self.fingerprint, self.deadline).await?;
        let claim = match claimed {
            ClaimResult::Answered(response) => return Ok(response),
            ClaimResult::Granted(claim) => claim,
        };
        match self.run(payload, false).await {
            Ok(response) => Ok(self.store_answer(claim, response).await),
            Err(error) => {
                claim.finish(error.verdict(), None);
                Err(error)
            }
        }
    }

    /// Stores the answer with the key if it is short enough to be buffered. Without a stored
    /// answer, the call is recorded as one that may have run.
    async fn store_answer(&self, claim: KeyClaim, mut response: Response) -> Response {
        let buffer = self.shared.settings.traffic.buffer;
        if response.len().is_none_or(|n| n > buffer) {
            claim.finish(Verdict::MayHaveRun, None);
            return response;
        }
        let Ok(body) = response.body_bytes().await else {
            claim.finish(Verdict::MayHaveRun, None);
            return response;
        };
        let answer = Answer::new(&response, body.clone());
        claim.finish(Verdict::Ran, Some(answer));
        set_response_body(&mut response, Body::from_bytes(body));
        response
    }

    /// Tries one backend server after another.
    ///
    /// Only one call at a time may retry after its request crashed a backend server. Such a call
    /// waits for the lock, and is then checked again for strikes recorded in the meantime.
    async fn run(&self, payload: Payload, idempotent: bool) -> Result<Response> {
        self.shared.retry_budget().deposit();
        let mut payload = payload;
        let replayable = matches!(payload, Payload::Buffered(_));
        let attempts = self.shared.settings.traffic.attempts;
        let mut progress = CallProgress::new(idempotent, replayable, attempts);
        let mut suspect_guard = None;
        loop {
            if self.shared.now() >= self.deadline {
                return Err(self.timed_out(progress.verdict()));
            }
            let Some(target) = self.pick_server(&progress) else {
                return Err(self.give_up(&progress, None));
            };
            let body = take_body_for_attempt(&mut payload);
            let failure = match self.attempt(target, body).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let next = self.handle_failure(&mut progress, target, &failure);
            match next {
                NextAttempt::GiveUp => return Err(self.give_up(&progress, Some(&failure))),
                NextAttempt::Retry { is_alone: true } if suspect_guard.is_none() => {
                    suspect_guard = Some(self.shared.suspect_lock.lock().await);
                    self.check_suspicion()?;
                }
                NextAttempt::Retry { .. } => {}
            }
        }
    }

    fn pick_server(&self, progress: &CallProgress) -> Option<&ServerTarget> {
        let now = self.shared.now();
        let mut balancer = self.shared.balancer();
        balancer.pick(now, self.service, progress.tried())
    }

    async fn attempt(
        &self,
        target: &ServerTarget,
        payload: Payload,
    ) -> std::result::Result<Response, Failure> {
        let trace = self.trace.child(self.shared.random_bits());
        let span = debug_span!("attempt", trace = %trace, target = %target.instance);
        let guard = AttemptGuard {
            shared: self.shared,
            target,
            outcome: Outcome::Failed,
        };
        let outgoing = OutgoingAttempt {
            target,
            fingerprint: self.fingerprint,
            route: self.route.fingerprint,
            head: self.request.clone(),
            payload,
            deadline: self.deadline,
            trace,
        };
        let result = send(self.shared, outgoing).instrument(span).await;
        guard.finish(result)
    }

    fn handle_failure(
        &self,
        progress: &mut CallProgress,
        target: &ServerTarget,
        failure: &Failure,
    ) -> NextAttempt {
        debug!(target = %target.instance, verdict = %failure.verdict, message = %failure.message,
            "attempt failed");
        let end = AttemptEnd {
            instance: target.instance,
            verdict: failure.verdict,
            refusal: failure.refusal,
            is_crash: failure.is_crash,
        };
        match failure.is_timeout {
            true => {
                let mut no_budget = rf_traffic::RetryBudget::new(0);
                progress.handle(&end, &mut no_budget);
                NextAttempt::GiveUp
            }
            false => progress.handle(&end, &mut self.shared.retry_budget()),
        }
    }

    /// Builds the error of a call for which no further attempt is made.
    fn give_up(&self, progress: &CallProgress, failure: Option<&Failure>) -> CallError {
        let service = self.service.name.to_string();
        let verdict = progress.verdict();
        if failure.is_some_and(|f| f.is_timeout) {
            return self.timed_out(verdict);
        }
        if verdict != Verdict::NotRun {
            let message = failure.map_or("no answer", |f| f.message.as_str());
            return CallError::Lost {
                message: message.to_owned(),
                verdict,
            };
        }
        match progress.refusal() {
            Some(RefusalReason::Busy | RefusalReason::Shed) => CallError::Busy { service },
            Some(RefusalReason::Expired) => self.timed_out(Verdict::NotRun),
            _ => CallError::NoServer { service },
        }
    }

    fn timed_out(&self, verdict: Verdict) -> CallError {
        CallError::Deadline {
            limit: self.limit,
            verdict,
        }
    }
}

/// Returns the body for one attempt; only a buffered body remains available for the next one.
fn take_body_for_attempt(payload: &mut Payload) -> Payload {
    match payload {
        Payload::Buffered(bytes) => Payload::Buffered(bytes.clone()),
        Payload::Streamed(_) => std::mem::replace(payload, Payload::Buffered(Vec::new())),
    }
}

/// Counts an attempt as in flight, and reports its outcome to the balancer when it is dropped.
///
/// An attempt that is dropped before its outcome is known counts as failed.
struct AttemptGuard<'a> {
    shared: &'a Shared,
    target: &'a ServerTarget,
    outcome: Outcome,
}

impl AttemptGuard<'_> {
    fn finish(mut self, result: AttemptResult) -> std::result::Result<Response, Failure> {
        match result {
            AttemptResult::Answered(response, load) => {
                let is_failure = response.status() as u16 >= 500;
                self.outcome = match is_failure {
                    true => Outcome::Failed,
                    false => Outcome::Answered(load),
                };
                Ok(response)
            }
            AttemptResult::Failed(failure) => {
                self.outcome = match failure.refusal {
                    _ if failure.is_unreachable => Outcome::Unreachable,
                    Some(RefusalReason::Leaving | RefusalReason::WrongIncarnation) => {
                        Outcome::Leaving
                    }
                    Some(RefusalReason::Unconnected) => Outcome::Unreachable,
                    Some(_) => Outcome::Busy,
                    None => Outcome::Failed,
                };
                Err(failure)
            }
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut balancer = self.shared.balancer();
        balancer.finish(now, self.target.instance, self.outcome);
    }
}
