//! Serves attempts and messages from other proxies.

use crate::control::Event;
use crate::dialect::Dialect;
use crate::gate::PendingReply;
use crate::listener::accept;
use crate::relay::{self, message_limits};
use crate::sending::LONG_ANSWER;
use crate::shared::Shared;
use crate::{compression, local, quota, run};
use async_channel::bounded;
use async_std::future::timeout;
use async_std::net::TcpListener;
use futures_lite::FutureExt;
use rf_base::{AttemptId, ConfigVersion, Millis};
use rf_config::{RepeatPolicy, TableDigest, TablePatch};
use rf_protocol::relay::{AttemptEnd, AttemptRequest, Rejection, RelayReply, RelayRequest};
use rf_traffic::Reservation;
use rf_transport::h1::{Connection, ReadError, ReadLimits, ResponseHead, frame_request};
use std::sync::Arc;
use tracing::{debug, warn};

/// Maximum bytes that are read ahead from a proxy while its attempt runs.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Serves other proxies until the task is dropped.
pub async fn serve<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    let connections = shared.settings.load().limits.max_connections();
    accept(listener, connections, move |connection| {
        serve_connection(shared.clone(), connection)
    })
    .await;
}

async fn serve_connection<D: Dialect>(shared: Arc<Shared<D>>, mut connection: Connection) {
    let limits = message_limits();
    loop {
        let message = match read_message(&mut connection, &limits).await {
            Ok(message) => message,
            Err(ReadError::Closed) => return,
            Err(error) => {
                debug!(event = "message.refused", %error);
                return;
            }
        };
        let Some(answer) = answer(&shared, &mut connection, message).await else {
            return;
        };
        let written = write_reply(&shared, &mut connection, &answer.reply, answer.attempt);
        if written.await.is_err() {
            return;
        }
    }
}

async fn read_message(
    connection: &mut Connection,
    limits: &ReadLimits,
) -> Result<RelayRequest, ReadError> {
    let malformed = |message: String| ReadError::Malformed { message };
    let head = connection.read_request(limits).await?;
    let framing = frame_request(&head).map_err(|e| malformed(e.to_string()))?;
    let body = connection.read_body(framing, limits).await?;
    relay::decode(&body).map_err(|e| malformed(e.to_string()))
}

async fn write_reply<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    reply: &RelayReply,
    attempt: Option<AttemptId>,
) -> std::io::Result<()> {
    let body = relay::encode(reply).map_err(std::io::Error::other)?;
    let mut head = ResponseHead::new(200);
    if let Some(attempt) = attempt {
        head.headers.add(relay::ATTEMPT, &attempt.to_string());
    }
    let body = compression::compress(body, &mut head.headers);
    let mut bytes = head.encode(Some(body.len()));
    bytes.extend_from_slice(&body);
    shared.send_scheduler.write(connection, &bytes).await
}

/// Reply together with the guards that are held until it is written.
struct Answer {
    reply: RelayReply,
    /// Attempt that is answered, unless the message was another one.
    attempt: Option<AttemptId>,
    /// Capacity for the answer that is reserved on this instance's link.
    _reservation: Option<Reservation>,
    _unsent: Option<PendingReply>,
}

/// Handles a message; returns `None` if its sender closed the connection.
async fn answer<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    message: RelayRequest,
) -> Option<Answer> {
    let reply = match message {
        RelayRequest::Attempt(attempt) => {
            return answer_attempt(shared, connection, *attempt).await;
        }
        // The body of an attempt is read in `receive_body`; here it is a protocol error.
        RelayRequest::Body(_) => return None,
        RelayRequest::Query(key) => RelayReply::Query(shared.gate.query_attempt(&key)),
        RelayRequest::Exchange(exchange, gossip) => {
            let (sender, receiver) = bounded(1);
            shared.send_event(Event::Exchange(exchange, gossip, sender));
            let (reply, gossip) = receiver.recv().await.ok()?;
            RelayReply::Exchange(Box::new(reply), Box::new(gossip))
        }
        RelayRequest::Member(member) => {
            shared.send_event(Event::MemberDescribed(member));
            RelayReply::Done
        }
        RelayRequest::Departure(instance, departure) => {
            let (sender, receiver) = bounded(1);
            shared.send_event(Event::DepartureTold(instance, departure, sender));
            receiver.recv().await.ok()?;
            RelayReply::Done
        }
        RelayRequest::Observe(trial) => {
            shared.send_event(Event::TrialObserved(trial));
            RelayReply::Done
        }
        RelayRequest::Fetch(version, digest) => {
            RelayReply::Table(create_patch(shared, version, &digest))
        }
        RelayRequest::Quota(request) => {
            RelayReply::Quota(Box::new(quota::answer(shared, &request)))
        }
    };
    Some(Answer {
        reply,
        attempt: None,
        _reservation: None,
        _unsent: None,
    })
}

/// Fraction of the time left to its latency target that a long answer may wait for other answers
/// on the link. The rest is needed for the execution, its own transfer and the way to the caller.
const MAX_LINK_SHARE: f64 = 0.5;
/// Link backlog up to which a long answer is admitted even if it is late already.
const MIN_BACKLOG: Millis = Millis(250);

/// Reserves link capacity for an answer. A long answer is rejected if the backlog of the link would
/// make it late. That also applies to best-effort requests: answers cannot overtake each other on
/// the link, so admitting one would delay all later answers.
fn admit<D>(shared: &Shared<D>, attempt: &AttemptRequest) -> Result<Reservation, Rejection> {
    let expected = attempt.terms.answer_bytes;
    if expected < LONG_ANSWER {
        return Ok(shared.link.reserve(expected));
    }
    let admitted = shared.link.admit(expected, max_link_wait(attempt));
    admitted.map_err(|wait| reject_link_full(shared, wait))
}

fn max_link_wait(attempt: &AttemptRequest) -> Millis {
    Millis((attempt.terms.target_left.0 as f64 * MAX_LINK_SHARE) as u64).max(MIN_BACKLOG)
}

fn reject_link_full<D>(shared: &Shared<D>, wait: Millis) -> Rejection {
    let runs = &shared.metrics.runs;
    runs.with_label_values(&["link-full"]).inc();
    Rejection::Busy(wait)
}

/// Requests the body of an attempt that was sent without it. Returns `None` if its sender closed
/// the connection or sent no usable body in time.
async fn receive_body<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    attempt: &mut AttemptRequest,
) -> Option<Result<(), Rejection>> {
    let length = attempt.terms.body_bytes;
    if length == 0 {
        return Some(Ok(()));
    }
    let admitted = shared
        .receive_scheduler
        .admit(length, max_link_wait(attempt));
    let _link_reservation = match admitted {
        Ok(reservation) => reservation,
        Err(wait) => return Some(Err(reject_link_full(shared, wait))),
    };
    let _pending = shared.gate.mark_pending(attempt.key.id);
    let permit = async { Some(shared.receive_scheduler.acquire_permit().await) };
    let _permit = permit.or(wait_disconnected(connection)).await?;
    let _body_reservation = match shared.gate.reserve(attempt) {
        Ok(reservation) => reservation,
        Err(rejection) => return Some(Err(rejection)),
    };
    let attempt_id = Some(attempt.key.id);
    write_reply(shared, connection, &RelayReply::Continue, attempt_id)
        .await
        .ok()?;
    let limits = message_limits();
    let limit = shared.receive_scheduler.transfer_timeout(length);
    let reading = read_message(connection, &limits);
    match timeout(limit.duration(), reading).await {
        Ok(Ok(RelayRequest::Body(body))) if body.len() as u64 == length => {
            attempt.payload.body = body;
            Some(Ok(()))
        }
        Ok(Ok(_)) => {
            warn!(event = "body.unusable", request = attempt.request, length);
            None
        }
        Ok(Err(error)) => {
            debug!(event = "body.lost", request = attempt.request, %error);
            None
        }
        Err(_) => {
            debug!(
                event = "body.late",
                request = attempt.request,
                limit = limit.0
            );
            None
        }
    }
}

async fn answer_attempt<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    mut attempt: AttemptRequest,
) -> Option<Answer> {
    let start = shared.now();
    local::adopt_condition(shared, &attempt);
    let unsent = shared.gate.begin_reply(attempt.key.id);
    let admitted = match admit(shared, &attempt) {
        Ok(reservation) => {
            let received = receive_body(shared, connection, &mut attempt).await?;
            received.map(|()| reservation)
        }
        Err(rejection) => Err(rejection),
    };
    let (end, reservation) = match admitted {
        Ok(reservation) => {
            attempt.terms.elapse(shared.now().since(start));
            let end = run_attempt(shared, connection, &attempt).await?;
            (end, Some(reservation))
        }
        Err(rejection) => (AttemptEnd::NotRun(rejection), None),
    };
    let elapsed = shared.now().since(start);
    let reply = RelayReply::Attempt(end, shared.gate.load(attempt.terms.route), elapsed);
    Some(Answer {
        reply,
        attempt: Some(attempt.key.id),
        _reservation: reservation,
        _unsent: Some(unsent),
    })
}

/// Creates the patch from the table with the given version and digest to this proxy's table, if the
/// latter is newer.
fn create_patch<D>(
    shared: &Shared<D>,
    version: ConfigVersion,
    digest: &TableDigest,
) -> Option<Box<TablePatch>> {
    let view = shared.view.load();
    let is_newer = view.table.version > version;
    is_newer.then(|| Box::new(TablePatch::new(&view.table, &view.digest, digest)))
}

/// Runs an attempt. While it waits, or if it may be repeated, it is cancelled when its sender
/// closes the connection.
async fn run_attempt<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    attempt: &AttemptRequest,
) -> Option<AttemptEnd> {
    let start = shared.now();
    let acquiring = async { Some(shared.gate.acquire(attempt).await) };
    let acquired = acquiring.or(wait_disconnected(connection)).await?;
    let permit = match acquired {
        Ok(permit) => permit,
        Err(rejection) => {
            let name = rejection.as_str();
            shared.metrics.runs.with_label_values(&[name]).inc();
            return Some(AttemptEnd::NotRun(rejection));
        }
    };
    let waited = shared.now().since(start);
    let running = async { Some(run::run(shared, permit, attempt, waited).await) };
    match attempt.terms.repeat {
        // The network may have reset the connection; the sender will query the ledger for the
        // outcome.
        RepeatPolicy::Once => running.await,
        RepeatPolicy::Idempotent => {
            let end = running.or(wait_disconnected(connection)).await;
            if end.is_none() {
                warn!(event = "run.cancelled", request = attempt.request, attempt = %attempt.key.id);
            }
            end
        }
    }
}

async fn wait_disconnected<T>(connection: &mut Connection) -> Option<T> {
    connection.wait_closed(READ_AHEAD_BYTES).await;
    None
}
