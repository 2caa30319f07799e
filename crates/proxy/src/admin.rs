//! Serves the platform's probes and the announcements of the local backend server.

use crate::dialect::{AdminCall, Dialect};
use crate::listener::accept;
use crate::local;
use crate::shared::Shared;
use async_std::net::TcpListener;
use rf_protocol::Departure;
use rf_traffic::local_server::Change;
use rf_traffic::{Announcement, LocalServerState};
use rf_transport::h1::{Connection, ReadLimits, ResponseHead, frame_request};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// Maximum concurrent connections; the only clients are the probe and one backend server.
const MAX_CONNECTIONS: usize = 64;
/// Maximum body length of a call, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Serves admin calls until the task is dropped.
pub async fn serve<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    accept(listener, MAX_CONNECTIONS, move |connection| {
        serve_connection(shared.clone(), connection)
    })
    .await;
}

async fn serve_connection<D: Dialect>(shared: Arc<Shared<D>>, mut connection: Connection) {
    let limits = ReadLimits {
        body: MAX_BODY,
        ..ReadLimits::default()
    };
    loop {
        let Ok(head) = connection.read_request(&limits).await else {
            return;
        };
        let Ok(framing) = frame_request(&head) else {
            return;
        };
        let Ok(body) = connection.read_body(framing, &limits).await else {
            return;
        };
        let call = shared.dialect.read_admin_call(&head, &body);
        let (status, body) = answer(&shared, call).await;
        let mut response = ResponseHead::new(status);
        if !body.is_empty() {
            response.headers.add("Content-Type", "text/plain");
        }
        let mut bytes = response.encode(Some(body.len()));
        bytes.extend_from_slice(&body);
        if connection.write(&bytes).await.is_err() || !head.is_keep_alive() {
            return;
        }
    }
}

async fn answer<D: Dialect>(shared: &Shared<D>, call: AdminCall) -> (u16, Vec<u8>) {
    match call {
        AdminCall::Readiness => (readiness(shared), Vec::new()),
        AdminCall::Metrics => {
            shared.metrics.set_fair_yields(shared.gate.fair_yields());
            (200, shared.metrics.encode())
        }
        AdminCall::Announce(announcement) => {
            let departure = announce(shared, &announcement);
            (acknowledge(shared, departure).await, Vec::new())
        }
        AdminCall::Withdraw { id, started_at } => {
            let departure = withdraw(shared, &id, started_at);
            (acknowledge(shared, departure).await, Vec::new())
        }
        AdminCall::Malformed(message) => {
            count_announcement(shared, "malformed");
            warn!(event = "server.unreadable", message);
            (400, Vec::new())
        }
        AdminCall::Unknown => (404, Vec::new()),
    }
}

/// Applies an announcement; returns the departure of the server if it says that it drains.
fn announce<D>(shared: &Shared<D>, announcement: &Announcement) -> Option<Departure> {
    let mut server_state = shared.local_server();
    let change = server_state.announce(shared.now(), announcement);
    local::apply(shared, &server_state, change);
    let (id, seq, started_ms) = (&announcement.id, announcement.seq, announcement.started_ms);
    let is_ready = announcement.is_ready;
    match change {
        Change::Same => debug!(event = "server.announced", id, seq),
        change => info!(
            event = "server.announced",
            id,
            seq,
            born = started_ms,
            is_ready,
            ?change
        ),
    }
    match is_ready {
        true => None,
        false => report_departure(shared, &server_state, "draining", id, change),
    }
}

/// Applies a withdrawal; returns the departure of the server.
fn withdraw<D>(shared: &Shared<D>, id: &str, started_at: Option<u64>) -> Option<Departure> {
    let mut server_state = shared.local_server();
    let change = server_state.withdraw(shared.now(), id, started_at);
    local::apply(shared, &server_state, change);
    info!(event = "server.withdrawn", id, born = started_at, ?change);
    report_departure(shared, &server_state, "withdrawal", id, change)
}

/// Counts a call by which the server `id` says that it leaves, and warns if the gate stays open for
/// that id. Returns the departure that is to be kept.
fn report_departure<D>(
    shared: &Shared<D>,
    server_state: &LocalServerState,
    call: &str,
    id: &str,
    change: Change,
) -> Option<Departure> {
    let in_use = server_state.server().filter(|s| s.id == id);
    let result = match (in_use, change) {
        (Some(_), _) => "not-applied",
        (None, Change::Ignored(_)) => "ignored",
        (None, _) => "applied",
    };
    let departures = &shared.metrics.departures;
    departures.with_label_values(&[call, result]).inc();
    if let Some(server) = in_use {
        let (process, born) = (server.process(), server.started_ms);
        warn!(
            event = "departure.not-applied",
            call,
            id,
            process,
            born,
            ?change
        );
    }
    let is_applied = result == "applied";
    server_state.departure(id).filter(|_| is_applied)
}

/// Returns the status of the answer to a call of the backend server. A departure is acknowledged once
/// it is known outside this process.
async fn acknowledge<D>(shared: &Shared<D>, departure: Option<Departure>) -> u16 {
    let Some(departure) = departure else {
        return 200;
    };
    let _guard = shared.count_call();
    match shared.departures.copy(departure).await {
        true => 200,
        false => 503,
    }
}

fn readiness<D>(shared: &Shared<D>) -> u16 {
    let is_ready = shared.view.load().is_known() && !shared.is_stopping();
    if is_ready { 200 } else { 503 }
}

fn count_announcement<D>(shared: &Shared<D>, change: &str) {
    let announcements = &shared.metrics.announcements;
    announcements.with_label_values(&[change]).inc();
}
