//! The local backend server: its announcements, and what it says about itself in its answers.

use crate::control::Event;
use crate::gate::SlotPermit;
use crate::shared::Shared;
use rf_base::RequestRate;
use rf_protocol::Departure;
use rf_protocol::relay::AttemptRequest;
use rf_traffic::local_server::{Change, LocalServerState};
use rf_traffic::{ConditionChange, StatedLimit, StatedLoad, Statement};
use tracing::{debug, info, warn};

/// Opens or closes the gate after a change of the announced state.
///
/// Runs before the announcement is acknowledged, so a server that reported its departure gets no
/// new requests once it has the acknowledgement.
pub fn apply<D>(shared: &Shared<D>, state: &LocalServerState, change: Change) {
    let name = match change {
        Change::Same => "same",
        Change::Opened => "opened",
        Change::Closed => "closed",
        Change::Departed => "departed",
        Change::Ignored(_) => "ignored",
    };
    let announcements = &shared.metrics.announcements;
    announcements.with_label_values(&[name]).inc();
    let uptime = shared.now().since(shared.started).0;
    match (change, state.server()) {
        (Change::Opened, Some(server)) => {
            shared.gate.open(server);
            let (id, process) = (&server.id, server.process());
            info!(event = "gate.opened", id, process, uptime);
        }
        (Change::Closed, _) => {
            shared.gate.close();
            let process = state.departed().map(|d| d.process);
            info!(event = "gate.closed", process, uptime);
        }
        (Change::Departed, _) => {}
        _ => return,
    }
    shared
        .metrics
        .gate_open
        .set(state.server().is_some().into());
    let server = state.server().cloned();
    shared.send_event(Event::ServerChanged(server, state.departed()));
}

/// Applies a departure that the store or another proxy remembers (`from`), and that this proxy may
/// have forgotten in a restart.
pub fn adopt_departure<D>(shared: &Shared<D>, departure: &Departure, from: &str) {
    let mut state = shared.local_server();
    let change = state.adopt(shared.now(), departure);
    let process = departure.process;
    match change {
        Change::Same => debug!(event = "server.departed", process, from),
        change => info!(event = "server.departed", process, from, ?change),
    }
    apply(shared, &state, change);
}

/// Lets the backend server be used, because the departures that this proxy may have forgotten in a
/// restart are known from the store or another proxy (`from`).
pub fn confirm_departures<D>(shared: &Shared<D>, from: &str) {
    let mut state = shared.local_server();
    if state.is_held() {
        state.confirm();
        let uptime = shared.now().since(shared.started).0;
        info!(event = "departures.known", from, uptime);
    }
}

/// Applies what the backend server says about itself in the answer to `attempt`.
pub fn observe_statement<D>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    attempt: &AttemptRequest,
    statement: &Statement,
) {
    let request = &attempt.request;
    let instance = &permit.server().id;
    if let StatedLimit::Unreadable(error) = &statement.limit {
        warn!(event = "server.limit-unreadable", request, instance, error);
        shared.metrics.count_statement("unreadable");
    }
    if let StatedLoad::Unreadable(error) = &statement.load {
        warn!(event = "server.load-unreadable", request, instance, error);
        shared.metrics.count_statement("unreadable-load");
    }
    let observation = permit.observe_statement(statement);
    if let Some(started) = observation.started {
        let limit = per_second(observation.limit);
        let span = observation.span.0;
        info!(
            event = "server.started-runs",
            instance, limit, started, span
        );
    }
    let process = permit.server().process();
    report(shared, request, process, observation.change, "answer");
}

/// Adopts what the sender of `attempt` was told about the backend server, which an earlier process
/// of this proxy may have known.
pub fn adopt_condition<D>(shared: &Shared<D>, attempt: &AttemptRequest) {
    if let Some(told) = &attempt.terms.condition {
        let change = shared.gate.adopt_condition(told);
        report(shared, &attempt.request, told.process, change, "proxy");
    }
}

/// Logs and counts a change of what is known; takes a backend server that leaves out of use.
fn report<D>(shared: &Shared<D>, request: &str, process: u64, change: ConditionChange, from: &str) {
    if let Some((before, limit)) = change.limit {
        let (before, limit) = (per_second(before), per_second(limit));
        info!(
            event = "server.limit",
            request, process, before, limit, from
        );
        shared.metrics.count_statement("limit");
        shared.metrics.server_limit.set(limit.unwrap_or(-1.0));
    }
    if change.is_leaving {
        let mut state = shared.local_server();
        let closed = state.leave(shared.now(), process);
        info!(event = "server.leaving", request, process, from, change = ?closed);
        shared.metrics.count_statement("leaving");
        apply(shared, &state, closed);
        if let Some(departure) = state.departed().filter(|d| d.process == process) {
            shared.departures.copy_later(departure);
        }
    }
}

fn per_second(limit: Option<RequestRate>) -> Option<f64> {
    limit.map(RequestRate::as_per_second)
}
