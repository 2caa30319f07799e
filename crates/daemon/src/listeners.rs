//! Listeners of the daemon.
//!
//! There are four, each with its own connection limit: for callers, for attempts that other daemons
//! relay to the backend server, for control messages of other daemons (peers), and for operators.
//! The operators' port also serves announcements of the backend server, metrics and health checks,
//! so that load from callers cannot starve them.

use crate::control::event::{Announcement, OperatorError};
use crate::control::{OperatorAnswer, OperatorRequest};
use crate::driver::ControlHandle;
use crate::traffic::{Shared, ingress, relay};
use async_std::net::TcpListener;
use async_std::task;
use http_types::headers::{HeaderValue, HeaderValues};
use rf_base::PlanId;
use rf_config::from_json;
use rf_protocol::envelope::MAX_MESSAGE_BYTES;
use rf_protocol::{open, seal};
use rf_transport::{ServerSettings, serve};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use tide::{Request, Response, StatusCode};

/// Maximum number of connections of other daemons, on each of the two ports for them.
const PEER_CONNECTIONS: usize = 4096;
/// Maximum number of connections on the operators' port.
const OPERATOR_CONNECTIONS: usize = 256;
/// Maximum body size of an operator's request, in bytes.
const OPERATOR_BYTES: usize = 1024 * 1024;

/// Error of a listener that cannot be bound to its address.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen for {name} on {address}: {source}"))]
pub struct ListenError {
    name: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Result of [`start`].
pub type Result<T> = std::result::Result<T, ListenError>;

/// State of the HTTP applications for operators and peers.
#[derive(Clone)]
struct AppState {
    shared: Arc<Shared>,
    control: ControlHandle,
}

/// Opens all listeners and starts serving them.
///
/// # Errors
///
/// Returns a [`ListenError`] for the first address that cannot be bound.
pub async fn start(shared: Arc<Shared>, control: ControlHandle) -> Result<()> {
    let listen = shared.settings.listen.clone();
    let callers = bind("callers", listen.callers).await?;
    let relays = bind("relay", listen.relay).await?;
    let peers = bind("peers", listen.peers).await?;
    let operators = bind("operators", listen.operators).await?;
    let state = AppState {
        shared: shared.clone(),
        control,
    };
    start_callers(callers, &shared);
    start_relay(relays, &shared);
    start_app(peers, peer_app(state.clone()), PEER_CONNECTIONS);
    start_app(operators, operator_app(state), OPERATOR_CONNECTIONS);
    Ok(())
}

async fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { name, address })
}

fn start_callers(listener: TcpListener, shared: &Arc<Shared>) {
    let settings = ServerSettings {
        max_connections: shared.settings.traffic.connections,
        head_timeout: shared.settings.traffic.head_timeout,
        cancel_on_close: shared.settings.traffic.cancel_on_close,
        ..ServerSettings::default()
    };
    let shared = shared.clone();
    let handler = move |request| ingress::handle(shared.clone(), request);
    task::spawn(serve(listener, settings, handler));
}

fn start_relay(listener: TcpListener, shared: &Arc<Shared>) {
    let settings = ServerSettings {
        max_connections: PEER_CONNECTIONS,
        ..ServerSettings::default()
    };
    let shared = shared.clone();
    let handler = move |request| relay::handle(shared.clone(), request);
    task::spawn(serve(listener, settings, handler));
}

fn start_app(listener: TcpListener, app: tide::Server<AppState>, connections: usize) {
    let settings = ServerSettings {
        max_connections: connections,
        ..ServerSettings::default()
    };
    let handler = move |request: http_types::Request| {
        let app = app.clone();
        async move { app.respond::<_, http_types::Response>(request).await }
    };
    task::spawn(serve(listener, settings, handler));
}

fn peer_app(state: AppState) -> tide::Server<AppState> {
    let mut app = tide::with_state(state);
    app.at("/").post(handle_peer_message);
    app
}

async fn handle_peer_message(mut request: Request<AppState>) -> tide::Result {
    let state = request.state().clone();
    if request.len().is_none_or(|n| n > MAX_MESSAGE_BYTES) {
        return Ok(refuse_message(&state, "oversized"));
    }
    let bytes = request.body_bytes().await?;
    let peer_bytes = &state.shared.metrics.peer_bytes;
    peer_bytes
        .with_label_values(&["received"])
        .inc_by(bytes.len() as u64);
    let message = match open(&state.shared.key, &bytes) {
        Ok(message) => message,
        Err(error) => return Ok(refuse_message(&state, &error.to_string())),
    };
    let Some(reply) = state.control.submit_peer_request(message).await else {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    };
    let bytes = seal(&state.shared.key, &reply)?;
    peer_bytes
        .with_label_values(&["sent"])
        .inc_by(bytes.len() as u64);
    Ok(Response::builder(StatusCode::Ok).body(bytes).build())
}

fn refuse_message(state: &AppState, message: &str) -> Response {
    let reason = match message.split_whitespace().next() {
        Some("malformed") => "malformed",
        Some("oversized") => "oversized",
        _ => "foreign",
    };
    let refusals = &state.shared.metrics.peer_refusals;
    refusals.with_label_values(&[reason]).inc();
    tracing::warn!(message, "refused a message from another daemon");
    Response::builder(StatusCode::BadRequest)
        .header("connection", "close")
        .body(format!("{message}\n"))
        .build()
}

fn operator_app(state: AppState) -> tide::Server<AppState> {
    let mut app = tide::with_state(state);
    app.at("/healthz").get(|_| async { Ok("ok\n") });
    app.at("/readyz").get(get_readiness);
    app.at("/metrics").get(get_metrics);
    app.at("/v1/announce")
        .put(put_announcement)
        .delete(delete_announcement);
    app.at("/v1/apply").post(post_document);
    app.at("/v1/plans").post(post_intent);
    app.at("/v1/plans/:id/confirm").post(confirm_plan);
    app.at("/v1/moves")
        .get(|r| submit(r, OperatorRequest::Moves));
    app.at("/v1/status")
        .get(|r| submit(r, OperatorRequest::Status));
    app.at("/v1/config")
        .get(|r| submit(r, OperatorRequest::Config));
    app
}

async fn get_readiness(request: Request<AppState>) -> tide::Result {
    let shared = &request.state().shared;
    let is_ready = shared.table.load().counter.0 > 0 && !shared.is_stopping();
    let (status, text) = match is_ready {
        true => (StatusCode::Ok, "ready\n"),
        false => (StatusCode::ServiceUnavailable, "no configuration yet\n"),
    };
    Ok(Response::builder(status).body(text).build())
}

async fn get_metrics(request: Request<AppState>) -> tide::Result {
    let shared = &request.state().shared;
    shared
        .metrics
        .running_attempts
        .set(shared.gate.in_flight() as i64);
    let body = shared.metrics.render();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain; version=0.0.4")
        .body(body)
        .build())
}

async fn put_announcement(mut request: Request<AppState>) -> tide::Result {
    match read_json::<Announcement>(&mut request).await {
        Ok(announcement) => submit(request, OperatorRequest::Announce(announcement)).await,
        Err(response) => Ok(response),
    }
}

async fn delete_announcement(request: Request<AppState>) -> tide::Result {
    submit(request, OperatorRequest::Withdraw).await
}

async fn post_document(mut request: Request<AppState>) -> tide::Result {
    match read_json(&mut request).await {
        Ok(document) => submit(request, OperatorRequest::Apply(document)).await,
        Err(response) => Ok(response),
    }
}

async fn post_intent(mut request: Request<AppState>) -> tide::Result {
    match read_json(&mut request).await {
        Ok(intent) => submit(request, OperatorRequest::Plan(intent)).await,
        Err(response) => Ok(response),
    }
}

async fn confirm_plan(request: Request<AppState>) -> tide::Result {
    match request.param("id")?.parse::<PlanId>() {
        Ok(id) => submit(request, OperatorRequest::Confirm(id)).await,
        Err(_) => Ok(error_response(&OperatorError::Invalid(
            "expected a plan id like p-1f".to_owned(),
        ))),
    }
}

async fn read_json<T: DeserializeOwned>(
    request: &mut Request<AppState>,
) -> std::result::Result<T, Response> {
    let shared = request.state().shared.clone();
    let invalid = |message: String| refuse_operator(&shared, &OperatorError::Invalid(message));
    if request.len().is_none_or(|n| n > OPERATOR_BYTES) {
        return Err(invalid(format!(
            "expected a body of at most {OPERATOR_BYTES} bytes with its length"
        )));
    }
    let text = request
        .body_string()
        .await
        .map_err(|e| invalid(e.to_string()))?;
    from_json(&text).map_err(|e| invalid(e.to_string()))
}

/// Submits a request to the control thread and returns its answer, if the HTTP request carries the
/// key of the mesh.
async fn submit(request: Request<AppState>, operator_request: OperatorRequest) -> tide::Result {
    let state = request.state();
    let token = request.header("authorization").map(HeaderValues::last);
    if !is_authorized(&state.shared, token) {
        let refusals = &state.shared.metrics.peer_refusals;
        refusals.with_label_values(&["operator-key"]).inc();
        return Ok(Response::builder(StatusCode::Unauthorized)
            .header("www-authenticate", "Bearer")
            .body("expected the mesh's key as bearer token\n")
            .build());
    }
    let Some(result) = state
        .control
        .submit_operator_request(operator_request)
        .await
    else {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    };
    match result {
        Ok(answer) => answer_response(&answer),
        Err(error) => Ok(refuse_operator(&state.shared, &error)),
    }
}

/// Returns the response for a request on the operators' port that failed; an invalid one is logged
/// and counted.
fn refuse_operator(shared: &Shared, error: &OperatorError) -> Response {
    if let OperatorError::Invalid(message) = error {
        let refusals = &shared.metrics.peer_refusals;
        refusals.with_label_values(&["operator-invalid"]).inc();
        tracing::warn!(message, "refused an invalid request on the operators' port");
    }
    error_response(error)
}

fn is_authorized(shared: &Shared, token: Option<&HeaderValue>) -> bool {
    let Some(token) = token.and_then(|t| t.as_str().strip_prefix("Bearer ")) else {
        return false;
    };
    // Compares keyed hashes, so that the time does not reveal how much of a wrong token is right.
    let expected = shared.key.sign(&shared.settings.key);
    shared.key.is_signed(token, &expected)
}

fn answer_response(answer: &OperatorAnswer) -> tide::Result {
    let body = serde_json::to_vec(answer)?;
    Ok(Response::builder(StatusCode::Ok)
        .content_type("application/json")
        .body(body)
        .build())
}

fn error_response(error: &OperatorError) -> Response {
    let status = match error {
        OperatorError::Invalid(_) => StatusCode::UnprocessableEntity,
        OperatorError::Conflict(_) => StatusCode::Conflict,
        OperatorError::NotFound(_) => StatusCode::NotFound,
        OperatorError::Unavailable(_) => StatusCode::ServiceUnavailable,
        OperatorError::Unknown(_) => StatusCode::GatewayTimeout,
    };
    let body = serde_json::to_vec(error).unwrap_or_default();
    Response::builder(status)
        .content_type("application/json")
        .body(body)
        .build()
}
