//! Answers the platform's probes and the backend server beside this proxy.

use crate::control::Event;
use crate::dialect::{AdminCall, Dialect};
use crate::listener::accept;
use crate::shared::Shared;
use async_std::net::TcpListener;
use rf_traffic::local_server::{Change, LocalServerState};
use rf_transport::h1::{Connection, ReadLimits, ResponseHead, frame_request};
use std::sync::{Arc, Mutex, PoisonError};
use tracing::{debug, info, warn};

/// Connections at a time; the callers are a probe and one backend server.
const CONNECTIONS: usize = 64;
/// Longest body of a call.
const MAX_BODY: usize = 64 * 1024;

/// The backend server beside this proxy, as it announced itself.
pub type SharedServerState = Arc<Mutex<LocalServerState>>;

/// Serves until the task is dropped.
pub async fn serve<D: Dialect>(
    shared: Arc<Shared<D>>,
    residence: SharedServerState,
    listener: TcpListener,
) {
    accept(listener, CONNECTIONS, move |connection| {
        serve_connection(shared.clone(), residence.clone(), connection)
    })
    .await;
}

async fn serve_connection<D: Dialect>(
    shared: Arc<Shared<D>>,
    residence: SharedServerState,
    mut connection: Connection,
) {
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
        let (status, body) = answer(&shared, &residence, call);
        let mut response = ResponseHead::new(status);
        if !body.is_empty() {
            response.headers.add("Content-Type", "text/plain");
        }
        let mut bytes = response.encode(Some(body.len()));
        bytes.extend_from_slice(&body);
        if connection.write(&bytes).await.is_err() || !head.keeps_open() {
            return;
        }
    }
}

fn answer<D: Dialect>(
    shared: &Shared<D>,
    residence: &SharedServerState,
    call: AdminCall,
) -> (u16, Vec<u8>) {
    match call {
        AdminCall::Readiness => (readiness(shared), Vec::new()),
        AdminCall::Metrics => (200, shared.metrics.encode()),
        AdminCall::Announce(news) => {
            let mut residence = lock(residence);
            let change = residence.announce(shared.now(), &news);
            apply(shared, &residence, change);
            let (id, seq, born) = (&news.id, news.seq, news.started_ms);
            let is_ready = news.is_ready;
            match change {
                Change::Same => debug!(event = "server.announced", id, seq),
                change => info!(event = "server.announced", id, seq, born, is_ready, ?change),
            }
            (200, Vec::new())
        }
        AdminCall::Withdraw { id, started_at } => {
            let mut residence = lock(residence);
            let change = residence.withdraw(shared.now(), &id, started_at);
            apply(shared, &residence, change);
            info!(event = "server.withdrawn", id, born = started_at, ?change);
            (200, Vec::new())
        }
        AdminCall::Malformed(message) => {
            count(shared, "malformed");
            warn!(event = "server.unreadable", message);
            (400, Vec::new())
        }
        AdminCall::Unknown => (404, Vec::new()),
    }
}

fn readiness<D>(shared: &Shared<D>) -> u16 {
    let is_ready = shared.view.load().is_known() && !shared.is_stopping();
    if is_ready { 200 } else { 503 }
}

/// Opens or closes the gate before the announcement is acknowledged.
fn apply<D>(shared: &Shared<D>, residence: &LocalServerState, change: Change) {
    let name = match change {
        Change::Same => "same",
        Change::Opened => "opened",
        Change::Closed => "closed",
        Change::Ignored(_) => "ignored",
    };
    count(shared, name);
    match (change, residence.server()) {
        (Change::Opened, Some(resident)) => {
            shared.gate.open(resident);
            shared.send_event(Event::ServerChanged(Some(resident.clone())));
        }
        (Change::Closed, _) => {
            shared.gate.close();
            shared.send_event(Event::ServerChanged(None));
        }
        _ => {}
    }
}

fn count<D>(shared: &Shared<D>, change: &str) {
    let announcements = &shared.metrics.announcements;
    announcements.with_label_values(&[change]).inc();
}

fn lock(residence: &SharedServerState) -> std::sync::MutexGuard<'_, LocalServerState> {
    residence.lock().unwrap_or_else(PoisonError::into_inner)
}
