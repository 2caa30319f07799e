//! The daemon's listeners.
//!
//! Four ports: callers, relay and peers each with its own limits, and the operators' port, which
//! also carries announcements, metrics and health, so that load from callers cannot starve it.

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

/// Most connections of other daemons, on each of their ports.
const PEER_CONNECTIONS: usize = 4096;
/// Most connections of operators.
const OPERATOR_CONNECTIONS: usize = 256;
/// Longest body of an operator's request.
const OPERATOR_BYTES: usize = 1024 * 1024;

/// Error of a listener that cannot be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen for {name} on {address}: {source}"))]
pub struct ListenError {
    name: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// Result of opening listeners.
pub type Result<T> = std::result::Result<T, ListenError>;

/// State of the operators' and peers' applications.
#[derive(Clone)]
struct AppState {
    shared: Arc<Shared>,
    control: ControlHandle,
}

/// Opens all listeners and starts serving them.
///
/// # Errors
///
/// Returns a [`ListenError`] for the first address that cannot be listened on.
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
        connections: shared.settings.traffic.connections,
        head: shared.settings.traffic.head_timeout,
        cancels: shared.settings.traffic.cancel_on_close,
        ..ServerSettings::default()
    };
    let shared = shared.clone();
    let handler = move |request| ingress::handle(shared.clone(), request);
    task::spawn(serve(listener, settings, handler));
}

fn start_relay(listener: TcpListener, shared: &Arc<Shared>) {
    let settings = ServerSettings {
        connections: PEER_CONNECTIONS,
        ..ServerSettings::default()
    };
    let shared = shared.clone();
    let handler = move |request| relay::handle(shared.clone(), request);
    task::spawn(serve(listener, settings, handler));
}

fn start_app(listener: TcpListener, app: tide::Server<AppState>, connections: usize) {
    let settings = ServerSettings {
        connections,
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
    app.at("/").post(answer_peer);
    app
}

async fn answer_peer(mut request: Request<AppState>) -> tide::Result {
    let state = request.state().clone();
    if request.len().is_none_or(|n| n > MAX_MESSAGE_BYTES) {
        return Ok(refuse_peer(&state, "oversized"));
    }
    let bytes = request.body_bytes().await?;
    let traffic = &state.shared.metrics.peer_bytes;
    traffic
        .with_label_values(&["received"])
        .inc_by(bytes.len() as u64);
    let message = match open(&state.shared.key, &bytes) {
        Ok(message) => message,
        Err(error) => return Ok(refuse_peer(&state, &error.to_string())),
    };
    let Some(reply) = state.control.ask_peer(message).await else {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    };
    let bytes = seal(&state.shared.key, &reply)?;
    traffic
        .with_label_values(&["sent"])
        .inc_by(bytes.len() as u64);
    Ok(Response::builder(StatusCode::Ok).body(bytes).build())
}

fn refuse_peer(state: &AppState, message: &str) -> Response {
    let reason = match message.split_whitespace().next() {
        Some("malformed") => "malformed",
        Some("oversized") => "oversized",
        _ => "foreign",
    };
    let refusals = &state.shared.metrics.peer_refusals;
    refusals.with_label_values(&[reason]).inc();
    tracing::warn!(message, "message of a peer refused");
    Response::builder(StatusCode::BadRequest)
        .header("connection", "close")
        .body(format!("{message}\n"))
        .build()
}

fn operator_app(state: AppState) -> tide::Server<AppState> {
    let mut app = tide::with_state(state);
    app.at("/healthz").get(|_| async { Ok("ok\n") });
    app.at("/readyz").get(answer_ready);
    app.at("/metrics").get(answer_metrics);
    app.at("/v1/announce").put(announce).delete(withdraw);
    app.at("/v1/apply").post(apply);
    app.at("/v1/plans").post(plan);
    app.at("/v1/plans/:id/confirm").post(confirm);
    app.at("/v1/moves").get(|r| ask(r, OperatorRequest::Moves));
    app.at("/v1/status")
        .get(|r| ask(r, OperatorRequest::Status));
    app.at("/v1/config")
        .get(|r| ask(r, OperatorRequest::Config));
    app
}

async fn answer_ready(request: Request<AppState>) -> tide::Result {
    let shared = &request.state().shared;
    let is_ready = shared.table.load().counter.0 > 0 && !shared.is_stopping();
    let (status, text) = match is_ready {
        true => (StatusCode::Ok, "ready\n"),
        false => (StatusCode::ServiceUnavailable, "no configuration yet\n"),
    };
    Ok(Response::builder(status).body(text).build())
}

async fn answer_metrics(request: Request<AppState>) -> tide::Result {
    let shared = &request.state().shared;
    shared.metrics.running.set(shared.gate.in_flight() as i64);
    let body = shared.metrics.render();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain; version=0.0.4")
        .body(body)
        .build())
}

async fn announce(mut request: Request<AppState>) -> tide::Result {
    match read_json::<Announcement>(&mut request).await {
        Ok(announcement) => ask(request, OperatorRequest::Announce(announcement)).await,
        Err(response) => Ok(response),
    }
}

async fn withdraw(request: Request<AppState>) -> tide::Result {
    ask(request, OperatorRequest::Withdraw).await
}

async fn apply(mut request: Request<AppState>) -> tide::Result {
    match read_json(&mut request).await {
        Ok(document) => ask(request, OperatorRequest::Apply(document)).await,
        Err(response) => Ok(response),
    }
}

async fn plan(mut request: Request<AppState>) -> tide::Result {
    match read_json(&mut request).await {
        Ok(intent) => ask(request, OperatorRequest::Plan(intent)).await,
        Err(response) => Ok(response),
    }
}

async fn confirm(request: Request<AppState>) -> tide::Result {
    match request.param("id")?.parse::<PlanId>() {
        Ok(id) => ask(request, OperatorRequest::Confirm(id)).await,
        Err(_) => Ok(explain(&OperatorError::Invalid(
            "expected a plan id like p-1f".to_owned(),
        ))),
    }
}

async fn read_json<T: DeserializeOwned>(
    request: &mut Request<AppState>,
) -> std::result::Result<T, Response> {
    let invalid = |message: String| explain(&OperatorError::Invalid(message));
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

/// Asks the control thread, if the request carries the mesh's key.
async fn ask(request: Request<AppState>, question: OperatorRequest) -> tide::Result {
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
    let Some(result) = state.control.ask_operator(question).await else {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    };
    match result {
        Ok(answer) => describe(&answer),
        Err(error) => Ok(explain(&error)),
    }
}

fn is_authorized(shared: &Shared, token: Option<&HeaderValue>) -> bool {
    let Some(token) = token.and_then(|t| t.as_str().strip_prefix("Bearer ")) else {
        return false;
    };
    // Comparing keyed hashes takes the same time for every wrong token.
    let expected = shared.key.sign(&shared.settings.key);
    shared.key.is_signed(token, &expected)
}

fn describe(answer: &OperatorAnswer) -> tide::Result {
    let body = serde_json::to_vec(answer)?;
    Ok(Response::builder(StatusCode::Ok)
        .content_type("application/json")
        .body(body)
        .build())
}

fn explain(error: &OperatorError) -> Response {
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
