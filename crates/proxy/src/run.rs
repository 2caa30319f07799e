//! Runs one attempt at the local backend server.
//!
//! A faulty backend server may send bytes that do not belong to the current request: a second
//! answer to an earlier request, an answer without an end, or no HTTP at all. An answer is accepted
//! only if it names the request, is complete, and is signed if it reports success; complete answers
//! to earlier requests are skipped, and after anything else the connection is closed. Reading is
//! bounded in bytes, by one memory budget for all slots, and in time.
//!
//! A request may be sent to the backend server again after the server has rejected it. Both sends
//! have one request id, so the second one uses a connection that has not carried the request: there
//! a second copy of the first rejection can't pass for the answer to the second send. A rejection
//! without a request id is accepted only on a connection that has carried no other request.

use crate::control::Event;
use crate::dialect::Dialect;
use crate::dispatch::describe;
use crate::gate::SlotPermit;
use crate::local;
use crate::shared::Shared;
use async_std::future::timeout;
use rf_base::Millis;
use rf_base::ids::hash_key;
use rf_config::RepeatPolicy;
use rf_protocol::Strike;
use rf_protocol::relay::{AttemptEnd, AttemptRequest, Loss, Rejection, ServerAnswer};
use rf_transport::h1::{
    Connection, Framing, Headers, ReadError, ReadLimits, RequestHead, ResponseHead, frame_response,
};
use std::net::SocketAddr;
use tracing::{info, warn};

/// Longest idle time after which a connection is reused for a request that must not be repeated. A
/// backend server may drop an idle connection unannounced, and a request sent on it is lost.
const MAX_IDLE_ONCE: Millis = Millis(500);
/// Longest idle time after which a connection is reused for an idempotent request.
const MAX_IDLE_IDEMPOTENT: Millis = Millis(5000);
/// Minimum time left for an attempt to be started.
const MIN_TIME_LEFT: Millis = Millis(5);
/// Time added to the deadline given to the backend server, so that an answer sent at the deadline
/// is still accepted.
const ANSWER_GRACE: Millis = Millis(20);
/// Answers to earlier requests that are skipped before the connection is closed.
const MAX_STRAY_ANSWERS: usize = 4;
/// HTTP status code of a process that is not the expected one.
const MISDIRECTED: u16 = 421;
/// Time within which a backend server that has not crashed accepts a connection.
const CRASH_CHECK_TIMEOUT: Millis = Millis(100);

/// Runs `attempt` in the slot of `permit` and returns how it ended. `waited` is the time since the
/// attempt arrived.
pub async fn run<D: Dialect>(
    shared: &Shared<D>,
    permit: SlotPermit,
    attempt: &AttemptRequest,
    waited: Millis,
) -> AttemptEnd {
    let left = attempt.terms.time_left.since(waited);
    let end = match left < MIN_TIME_LEFT {
        true => AttemptEnd::NotRun(Rejection::Expired),
        false => match timeout(
            (left + ANSWER_GRACE).duration(),
            send(shared, &permit, attempt, left),
        )
        .await
        {
            Ok(end) => end,
            Err(_) => AttemptEnd::MayHaveRun(Loss::Late),
        },
    };
    let span = permit.age();
    let instance = permit.server().id.clone();
    let end = permit.finish(end);
    report(shared, attempt, &end, &instance, span);
    end
}

/// Counts the end of a run, and logs it if it brought no answer.
fn report<D>(
    shared: &Shared<D>,
    attempt: &AttemptRequest,
    end: &AttemptEnd,
    instance: &str,
    span: Millis,
) {
    let (verdict, reason) = describe(end);
    shared.metrics.runs.with_label_values(&[reason]).inc();
    if !matches!(end, AttemptEnd::Answered(_)) {
        info!(
            event = "run.ended",
            request = attempt.request,
            attempt = %attempt.key.id,
            instance,
            verdict,
            reason,
            after = span.0,
            left = attempt.terms.time_left.0,
        );
    }
}

async fn send<D: Dialect>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    attempt: &AttemptRequest,
    left: Millis,
) -> AttemptEnd {
    let address = permit.server().address;
    let connection = match checkout(shared, attempt, address).await {
        Ok(connection) => connection,
        Err(error) => {
            shared.server_pool.evict(address);
            warn!(event = "server.unreachable", request = attempt.request, %address, %error);
            return AttemptEnd::NotRun(Rejection::Unconnected);
        }
    };
    let bytes = encode(shared, permit, attempt, left);
    match exchange(shared, permit, connection, attempt, bytes).await {
        Ok((end, connection)) => {
            if let Some(connection) = connection {
                shared.server_pool.put_back(address, connection);
            }
            end
        }
        Err(error) => {
            warn!(event = "server.broke", request = attempt.request, %address, %error);
            AttemptEnd::MayHaveRun(classify_loss(shared, permit, attempt, &error).await)
        }
    }
}

/// Returns a connection to the backend server on which an answer can be matched to `attempt`.
async fn checkout<D>(
    shared: &Shared<D>,
    attempt: &AttemptRequest,
    address: SocketAddr,
) -> std::io::Result<Connection> {
    let max_idle = match attempt.terms.repeat {
        RepeatPolicy::Once => MAX_IDLE_ONCE,
        RepeatPolicy::Idempotent => MAX_IDLE_IDEMPOTENT,
    };
    let request = hash_key(attempt.request.as_bytes());
    let has_id = !attempt.request.is_empty();
    let admits = |kept: &Connection| has_id && kept.history().admits(request);
    let pool = &shared.server_pool;
    let mut connection = pool.checkout_where(address, max_idle, admits).await?;
    connection.record_request(request);
    Ok(connection)
}

/// Encodes the HTTP request of an attempt, with the headers for the backend server.
fn encode<D: Dialect>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    attempt: &AttemptRequest,
    left: Millis,
) -> Vec<u8> {
    let payload = &attempt.payload;
    let mut headers = Headers::from_fields(payload.headers.clone());
    let server = permit.server();
    shared
        .dialect
        .set_attempt_headers(&mut headers, left, &server.id);
    let head = RequestHead {
        method: payload.method.clone(),
        target: payload.target.clone(),
        minor: 1,
        headers,
    };
    let mut bytes = head.encode(payload.body.len());
    bytes.extend_from_slice(&payload.body);
    bytes
}

/// Sends the request and reads its answer; returns the connection if it can be reused.
async fn exchange<D: Dialect>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    mut connection: Connection,
    attempt: &AttemptRequest,
    bytes: Vec<u8>,
) -> Result<(AttemptEnd, Option<Connection>), ReadError> {
    connection.begin_write(bytes);
    let (end, is_reusable) = read_answer(shared, permit, &mut connection, attempt).await?;
    let is_reusable = is_reusable && connection.is_sent();
    Ok((end, is_reusable.then_some(connection)))
}

/// Reads the answer to `attempt`; returns it, and whether the connection may be reused.
async fn read_answer<D: Dialect>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    connection: &mut Connection,
    attempt: &AttemptRequest,
) -> Result<(AttemptEnd, bool), ReadError> {
    let limits = ReadLimits::default();
    let memory = shared.answer_memory.empty_reservation();
    let discarded = &shared.metrics.discarded_answers;
    for _ in 0..=MAX_STRAY_ANSWERS {
        let head = connection.read_response(&limits).await?;
        let metadata = shared.dialect.read_answer(&head);
        let framing =
            frame_response(&head, &attempt.payload.method).map_err(|e| ReadError::Malformed {
                message: e.to_string(),
            })?;
        let is_stray = metadata
            .request_id
            .as_ref()
            .is_some_and(|id| *id != attempt.request);
        if is_stray {
            let stray = metadata.request_id.unwrap_or_default();
            warn!(event = "answer.stray", request = attempt.request, stray);
            discarded.with_label_values(&["stray"]).inc();
            if framing == Framing::UntilClose {
                return Err(unusable("stray answer without a length"));
            }
            connection.read_budgeted(framing, &limits, &memory).await?;
            continue;
        }
        let is_named = metadata.request_id.is_some();
        let carried = connection.history().len();
        let is_only_request = carried == 1;
        let is_matched = is_named || (metadata.is_not_run && is_only_request);
        if !is_matched {
            let (request, status) = (&attempt.request, head.status);
            warn!(event = "answer.unnamed", request, status, carried);
            discarded.with_label_values(&["unnamed"]).inc();
            return Err(unusable("answer without a request id"));
        }
        if is_named && head.status != MISDIRECTED {
            local::observe_statement(shared, permit, attempt, &metadata.statement);
        }
        let body = connection.read_budgeted(framing, &limits, &memory).await?;
        let is_reusable = is_named && head.is_keep_alive() && framing != Framing::UntilClose;
        if metadata.is_not_run {
            let rejection = match head.status {
                MISDIRECTED => Rejection::NotHere,
                _ => Rejection::Shed,
            };
            return Ok((AttemptEnd::NotRun(rejection), is_reusable));
        }
        if (200..300).contains(&head.status) && !metadata.is_signed {
            discarded.with_label_values(&["unsigned"]).inc();
            return Err(unusable("unsigned success answer"));
        }
        return Ok((AttemptEnd::Answered(to_answer(head, body)), is_reusable));
    }
    Err(unusable("too many stray answers"))
}

fn unusable(message: &str) -> ReadError {
    ReadError::Malformed {
        message: message.to_owned(),
    }
}

fn to_answer(head: ResponseHead, body: Vec<u8>) -> ServerAnswer {
    let mut headers = head.headers;
    headers.strip_hop_by_hop();
    ServerAnswer {
        status: head.status,
        headers: headers.into_fields(),
        body,
        is_starved: false,
    }
}

/// Distinguishes a backend server that crashed from one that only broke a connection, by trying to
/// connect again. Reports a crash to the control plane.
async fn classify_loss<D>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    attempt: &AttemptRequest,
    error: &ReadError,
) -> Loss {
    let is_disconnect = matches!(
        error,
        ReadError::Closed | ReadError::Failed { .. } | ReadError::Truncated
    );
    if !is_disconnect {
        return Loss::Broken;
    }
    let address = permit.server().address;
    match Connection::open(address, CRASH_CHECK_TIMEOUT).await {
        Ok(connection) => {
            shared.server_pool.put_back(address, connection);
            Loss::Broken
        }
        Err(_) => {
            shared.server_pool.evict(address);
            shared.send_event(Event::ServerCrashed(Strike {
                fingerprint: attempt.fingerprint,
                instance: shared.instance_id,
                at: shared.now(),
            }));
            Loss::Crashed
        }
    }
}
