//! Takes attempts and messages of other proxies.

use crate::control::Event;
use crate::dialect::Dialect;
use crate::gate::PendingReply;
use crate::listener::accept;
use crate::relay::{self, message_limits};
use crate::sending::LONG_ANSWER;
use crate::shared::Shared;
use crate::{compression, run};
use async_channel::bounded;
use async_std::future::timeout;
use async_std::net::TcpListener;
use futures_lite::FutureExt;
use rf_base::{Counter, Millis};
use rf_config::{Repeat, TableDigest, TablePatch};
use rf_protocol::relay::{AttemptEnd, AttemptRequest, Rejection, RelayReply, RelayRequest};
use rf_traffic::Reservation;
use rf_transport::h1::{Connection, ReadError, ReadLimits, ResponseHead, frame_request};
use std::sync::Arc;
use tracing::{debug, warn};

/// Bytes that a proxy may send ahead while its attempt runs.
const AHEAD: usize = 64 * 1024;

/// Serves other proxies until the task is dropped.
pub async fn serve<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    let connections = shared.settings.load().limits.connections();
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
        if write_reply(&shared, &mut connection, &answer.reply)
            .await
            .is_err()
        {
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
) -> std::io::Result<()> {
    let body = relay::encode(reply).map_err(std::io::Error::other)?;
    let mut head = ResponseHead::new(200);
    let body = compression::compress(body, &mut head.headers);
    let mut bytes = head.encode(Some(body.len()));
    bytes.extend_from_slice(&body);
    shared.send_scheduler.write(connection, &bytes).await
}

/// A reply, and what is held until it is written.
struct Answer {
    reply: RelayReply,
    /// Its bytes on this instance's link.
    _commitment: Option<Reservation>,
    _unsent: Option<PendingReply>,
}

/// Answers a message; `None` where its sender went away.
async fn answer<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    message: RelayRequest,
) -> Option<Answer> {
    let reply = match message {
        RelayRequest::Attempt(order) => {
            return answer_attempt(shared, connection, *order).await;
        }
        // The body of an attempt is read where it was asked for.
        RelayRequest::Body(_) => return None,
        RelayRequest::Ask(key) => RelayReply::Ask(shared.gate.query_attempt(&key)),
        RelayRequest::Exchange(exchange, news) => {
            let (sender, receiver) = bounded(1);
            shared.send_event(Event::Exchange(exchange, news, sender));
            let (reply, news) = receiver.recv().await.ok()?;
            RelayReply::Exchange(Box::new(reply), Box::new(news))
        }
        RelayRequest::Tell(member) => {
            shared.send_event(Event::MemberDescribed(member));
            RelayReply::Done
        }
        RelayRequest::Observe(trial) => {
            shared.send_event(Event::TrialObserved(trial));
            RelayReply::Done
        }
        RelayRequest::Fetch(version, digest) => {
            RelayReply::Table(make_patch(shared, version, &digest))
        }
    };
    Some(Answer {
        reply,
        _commitment: None,
        _unsent: None,
    })
}

/// Part of the time to its target that a long answer may spend behind others on the link; its run,
/// its own bytes and the way on to the caller take the rest.
const LINK_PART: f64 = 0.5;
/// Backlog up to which a long answer is admitted however late it is.
const MIN_BACKLOG: Millis = Millis(250);

/// Commits the link to an answer. A long one is refused where the bytes before it would make it
/// late. That holds for spare requests as well: what they wait for cannot be overtaken, so their
/// wait would make later answers late.
fn admit<D>(shared: &Shared<D>, order: &AttemptRequest) -> Result<Reservation, Rejection> {
    let expected = order.terms.answer_bytes;
    if expected < LONG_ANSWER {
        return Ok(shared.link.reserve(expected));
    }
    let admitted = shared.link.admit(expected, link_patience(order));
    admitted.map_err(|room| refuse_for_link(shared, room))
}

fn link_patience(order: &AttemptRequest) -> Millis {
    Millis((order.terms.target_left.0 as f64 * LINK_PART) as u64).max(MIN_BACKLOG)
}

fn refuse_for_link<D>(shared: &Shared<D>, room: Millis) -> Rejection {
    let runs = &shared.metrics.runs;
    runs.with_label_values(&["link-full"]).inc();
    Rejection::Busy(room)
}

/// Asks for the body of an attempt that comes without it; `None` where its sender went away.
async fn take_body<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    order: &mut AttemptRequest,
) -> Option<Result<(), Rejection>> {
    let length = order.terms.body_bytes;
    if length == 0 {
        return Some(Ok(()));
    }
    let admitted = shared.receive_scheduler.admit(length, link_patience(order));
    let _commitment = match admitted {
        Ok(commitment) => commitment,
        Err(room) => return Some(Err(refuse_for_link(shared, room))),
    };
    let _expected = shared.gate.mark_pending(order.key.id);
    let turn = async { Some(shared.receive_scheduler.acquire_permit().await) };
    let _turn = turn.or(wait_gone(connection)).await?;
    let _coming = match shared.gate.reserve(order) {
        Ok(coming) => coming,
        Err(rejection) => return Some(Err(rejection)),
    };
    write_reply(shared, connection, &RelayReply::Continue)
        .await
        .ok()?;
    let limits = message_limits();
    let limit = shared.receive_scheduler.transfer_timeout(length);
    let reading = read_message(connection, &limits);
    match timeout(limit.duration(), reading).await {
        Ok(Ok(RelayRequest::Body(body))) if body.len() as u64 == length => {
            order.payload.body = body;
            Some(Ok(()))
        }
        Ok(Ok(_)) => {
            warn!(event = "body.unusable", request = order.request, length);
            None
        }
        Ok(Err(error)) => {
            debug!(event = "body.lost", request = order.request, %error);
            None
        }
        Err(_) => {
            debug!(
                event = "body.late",
                request = order.request,
                limit = limit.0
            );
            None
        }
    }
}

async fn answer_attempt<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    mut order: AttemptRequest,
) -> Option<Answer> {
    let start = shared.now();
    let unsent = shared.gate.begin_reply(order.key.id);
    let admitted = match admit(shared, &order) {
        Ok(commitment) => {
            let taken = take_body(shared, connection, &mut order).await?;
            taken.map(|()| commitment)
        }
        Err(rejection) => Err(rejection),
    };
    let (end, commitment) = match admitted {
        Ok(commitment) => {
            order.terms.elapse(shared.now().since(start));
            let end = run_attempt(shared, connection, &order).await?;
            (end, Some(commitment))
        }
        Err(rejection) => (AttemptEnd::NotRun(rejection), None),
    };
    let spent = shared.now().since(start);
    let reply = RelayReply::Attempt(end, shared.gate.load(order.terms.route), spent);
    Some(Answer {
        reply,
        _commitment: commitment,
        _unsent: Some(unsent),
    })
}

/// Makes the patch from the table of the given version and digest to this proxy's, if that is newer.
fn make_patch<D>(
    shared: &Shared<D>,
    version: Counter,
    base: &TableDigest,
) -> Option<Box<TablePatch>> {
    let view = shared.view.load();
    let is_newer = view.table.version > version;
    is_newer.then(|| Box::new(TablePatch::new(&view.table, &view.digest, base)))
}

/// Runs an attempt; one that waits, or may be repeated, ends when its sender goes away.
async fn run_attempt<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    order: &AttemptRequest,
) -> Option<AttemptEnd> {
    let start = shared.now();
    let entering = async { Some(shared.gate.acquire(order).await) };
    let entered = entering.or(wait_gone(connection)).await?;
    let pass = match entered {
        Ok(pass) => pass,
        Err(rejection) => {
            let name = rejection.as_str();
            shared.metrics.runs.with_label_values(&[name]).inc();
            return Some(AttemptEnd::NotRun(rejection));
        }
    };
    let waited = shared.now().since(start);
    let running = async { Some(run::run(shared, pass, order, waited).await) };
    match order.terms.repeat {
        // The connection may have been reset on the way; the sender will ask for the end.
        Repeat::Once => running.await,
        Repeat::Idempotent => {
            let end = running.or(wait_gone(connection)).await;
            if end.is_none() {
                warn!(event = "run.cancelled", request = order.request, attempt = %order.key.id);
            }
            end
        }
    }
}

async fn wait_gone<T>(connection: &mut Connection) -> Option<T> {
    connection.wait_closed(AHEAD).await;
    None
}
