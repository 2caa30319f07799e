//! Runs one attempt at the backend server beside this proxy.
//!
//! A connection to a backend server may carry bytes that belong to no request of ours: a second
//! answer to an earlier request, an answer without an end, or no HTTP at all. An answer counts only
//! if it names the request, is signed where it reports success, and has ended; whatever else comes
//! closes the connection. What is read is bounded in bytes, by one budget for all slots, and in time.

use crate::control::Event;
use crate::dialect::Dialect;
use crate::dispatch::describe;
use crate::gate::SlotPermit;
use crate::shared::Shared;
use async_std::future::timeout;
use futures_lite::{AsyncWriteExt, FutureExt, future};
use rf_base::Millis;
use rf_config::Repeat;
use rf_protocol::Strike;
use rf_protocol::relay::{AttemptEnd, AttemptRequest, Loss, Rejection, ServerAnswer};
use rf_transport::h1::{
    Checkout, Connection, Framing, Headers, ReadError, ReadLimits, RequestHead, ResponseHead,
    frame_response,
};
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{info, warn};

/// Idle time up to which a connection is used for a request that must not be repeated. A backend
/// server may drop an idle connection unannounced, and what is sent then is lost.
const FRESH: Millis = Millis(500);
/// Idle time up to which it is used for other requests.
const REUSABLE: Millis = Millis(5000);
/// Time left below which a request is not begun.
const MIN_LEFT: Millis = Millis(5);
/// Time added to the backend server's own bound, so that its answer at the bound still counts.
const ANSWER_GRACE: Millis = Millis(20);
/// Answers to earlier requests that are skipped before a connection is given up.
const MAX_STRAYS: usize = 4;
/// Time within which a backend server that lives accepts a connection.
const CRASH_CHECK: Millis = Millis(100);

/// Runs `order`, for which `permit` was given; `waited` is the time since the order came.
pub async fn run<D: Dialect>(
    shared: &Shared<D>,
    permit: SlotPermit,
    order: &AttemptRequest,
    waited: Millis,
) -> AttemptEnd {
    let left = order.terms.time_left.since(waited);
    let end = match left < MIN_LEFT {
        true => AttemptEnd::NotRun(Rejection::Expired),
        false => match timeout(
            (left + ANSWER_GRACE).duration(),
            send(shared, &permit, order, left),
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
    report(shared, order, &end, &instance, span);
    end
}

fn report<D>(
    shared: &Shared<D>,
    order: &AttemptRequest,
    end: &AttemptEnd,
    instance: &str,
    span: Millis,
) {
    let (verdict, reason) = describe(end);
    shared.metrics.runs.with_label_values(&[reason]).inc();
    if !matches!(end, AttemptEnd::Answered(_)) {
        info!(
            event = "run.ended",
            request = order.request,
            attempt = %order.key.id,
            instance,
            verdict,
            reason,
            after = span.0,
            left = order.terms.time_left.0,
        );
    }
}

async fn send<D: Dialect>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    order: &AttemptRequest,
    left: Millis,
) -> AttemptEnd {
    let address = permit.server().address;
    let max_idle = match order.terms.repeat {
        Repeat::Once => FRESH,
        Repeat::Idempotent => REUSABLE,
    };
    let checkout = match shared.server_pool.checkout(address, max_idle).await {
        Ok(checkout) => checkout,
        Err(error) => {
            shared.server_pool.forget(address);
            warn!(event = "server.unreachable", request = order.request, %address, %error);
            return AttemptEnd::NotRun(Rejection::Unconnected);
        }
    };
    let bytes = encode(shared, permit, order, left);
    match exchange(shared, checkout, order, &bytes).await {
        Ok((end, connection)) => {
            if let Some(connection) = connection {
                shared.server_pool.put_back(address, connection);
            }
            end
        }
        Err(error) => {
            warn!(event = "server.broke", request = order.request, %address, %error);
            AttemptEnd::MayHaveRun(classify(shared, permit, order, &error).await)
        }
    }
}

fn encode<D: Dialect>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    order: &AttemptRequest,
    left: Millis,
) -> Vec<u8> {
    let payload = &order.payload;
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

/// Sends the request and reads its answer; returns the connection where it can be used again.
async fn exchange<D: Dialect>(
    shared: &Shared<D>,
    checkout: Checkout,
    order: &AttemptRequest,
    bytes: &[u8],
) -> Result<(AttemptEnd, Option<Connection>), ReadError> {
    let mut connection = checkout.connection;
    let is_sent = AtomicBool::new(false);
    let mut writer = connection.writer();
    let writing = async {
        // Where the write fails the read fails too, and says more.
        if writer.write_all(bytes).await.is_ok() {
            is_sent.store(true, Ordering::Relaxed);
        }
        future::pending().await
    };
    let reading = read_answer(shared, &mut connection, order);
    let (end, is_reusable) = writing.or(reading).await?;
    let is_reusable = is_reusable && is_sent.load(Ordering::Relaxed);
    Ok((end, is_reusable.then_some(connection)))
}

async fn read_answer<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    order: &AttemptRequest,
) -> Result<(AttemptEnd, bool), ReadError> {
    let limits = ReadLimits::default();
    let hold = shared.answer_memory.empty_reservation();
    for _ in 0..=MAX_STRAYS {
        let head = connection.read_response(&limits).await?;
        let tags = shared.dialect.read_answer(&head);
        let framing =
            frame_response(&head, &order.payload.method).map_err(|e| ReadError::Malformed {
                message: e.to_string(),
            })?;
        let is_stray = tags
            .request_id
            .as_ref()
            .is_some_and(|id| *id != order.request);
        if is_stray {
            let stray = tags.request_id.unwrap_or_default();
            warn!(event = "answer.stray", request = order.request, stray);
            if framing == Framing::UntilClose {
                return Err(unusable("stray answer without an end"));
            }
            connection.read_metered(framing, &limits, &hold).await?;
            continue;
        }
        if tags.request_id.is_none() && !tags.is_not_run {
            return Err(unusable("answer that names no request"));
        }
        let body = connection.read_metered(framing, &limits, &hold).await?;
        let is_reusable = head.keeps_open() && framing != Framing::UntilClose;
        if tags.is_not_run {
            let rejection = match head.status {
                421 => Rejection::NotHere,
                _ => Rejection::Shed,
            };
            return Ok((AttemptEnd::NotRun(rejection), is_reusable));
        }
        if (200..300).contains(&head.status) && !tags.is_signed {
            return Err(unusable("success without a signature"));
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
    headers.strip_hop();
    ServerAnswer {
        status: head.status,
        headers: headers.into_fields(),
        body,
        is_starved: false,
    }
}

/// Tells a backend server that went down from one that broke a connection.
async fn classify<D>(
    shared: &Shared<D>,
    permit: &SlotPermit,
    order: &AttemptRequest,
    error: &ReadError,
) -> Loss {
    let is_cut = matches!(
        error,
        ReadError::Closed | ReadError::Failed { .. } | ReadError::Truncated
    );
    if !is_cut {
        return Loss::Broken;
    }
    let address = permit.server().address;
    match Connection::open(address, CRASH_CHECK).await {
        Ok(connection) => {
            shared.server_pool.put_back(address, connection);
            Loss::Broken
        }
        Err(_) => {
            shared.server_pool.forget(address);
            shared.send_event(Event::ServerCrashed(Strike {
                fingerprint: order.fingerprint,
                instance: shared.instance_id,
                at: shared.now(),
            }));
            Loss::Crashed
        }
    }
}
