//! Sends attempts and messages to other proxies.
//!
//! Where the connection of an attempt breaks, or nothing came for a while, the ledger at the other
//! end is asked on a new connection. An attempt that it has not seen is revoked by the question, so
//! "not run" is a fact; one that runs is waited for. The first connection stays open meanwhile,
//! since closing it would cancel the attempt, and its answer is taken if it comes after all.

use crate::compression;
use crate::receiving::needs_continue;
use crate::shared::Shared;
use crate::view::Target;
use async_std::task;
use futures_lite::FutureExt;
use rf_base::Millis;
use rf_protocol::relay::{
    AttemptEnd, AttemptKey, AttemptRequest, LedgerAnswer, Loss, Rejection, RelayReply, RelayRequest,
};
use rf_traffic::placement::OfferReport;
use rf_transport::h1::{Connection, Pool, ReadLimits, RequestHead, frame_response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Path of every message.
pub const PATH: &str = "/relay";
/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 80 * 1024 * 1024;
/// Silence after which the ledger is asked. Most answers come sooner.
const ASK_AFTER: Millis = Millis(700);
/// Time between two questions.
const ASK_PAUSE: Millis = Millis(500);
/// Pause after a question that could not be asked.
const RETRY_PAUSE: Millis = Millis(100);
/// Longest wait for the answer to a question.
const ASK_TIME: Millis = Millis(1000);
/// Questions in a row without an answer after which the other proxy counts as gone.
const MAX_MISSES: u32 = 3;
/// Idle time up to which a connection to another proxy is used again.
const REUSABLE: Millis = Millis(15_000);

/// Error of a message.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// No connection was made; the other proxy has not seen the message.
    #[snafu(display("cannot connect: {source}"))]
    Unconnected {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection failed; the other proxy may have seen the message.
    #[snafu(display("no reply: {message}"))]
    Lost {
        /// What happened.
        message: String,
    },
    /// The reply cannot be read.
    #[snafu(display("malformed reply: {message}"))]
    Malformed {
        /// What was expected.
        message: String,
    },
}

/// Result of a message.
pub type Result<T> = std::result::Result<T, RelayError>;

/// An attempt's end, with the load reported with it.
pub type AttemptResult = (AttemptEnd, Option<OfferReport>);

/// Encodes a message.
///
/// # Errors
///
/// Returns [`RelayError::Malformed`] where it cannot be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(malformed)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`RelayError::Malformed`] for anything else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> RelayError {
    RelayError::Malformed {
        message: error.to_string(),
    }
}

fn lost(error: impl std::fmt::Display) -> RelayError {
    RelayError::Lost {
        message: error.to_string(),
    }
}

/// Sends a message and waits for its reply; returns it with the bytes of both on the wire.
///
/// # Errors
///
/// Returns a [`RelayError`] that says whether the other proxy may have seen the message.
pub async fn send(
    pool: &Pool,
    address: SocketAddr,
    message: &RelayRequest,
) -> Result<(RelayReply, u64)> {
    let body = encode(message)?;
    let checkout = pool.checkout(address, REUSABLE).await;
    let checkout = checkout.map_err(|source| RelayError::Unconnected { source })?;
    let mut connection = checkout.connection;
    write(&mut connection, address, &body).await?;
    let (reply, length) = read(&mut connection).await?;
    pool.put_back(address, connection);
    Ok((reply, body.len() as u64 + length))
}

/// Returns the limits of a message between proxies.
pub fn message_limits() -> ReadLimits {
    ReadLimits {
        body: MAX_MESSAGE_BYTES,
        ..ReadLimits::default()
    }
}

/// Puts the head of a message before its body.
fn frame(address: SocketAddr, body: &[u8]) -> Vec<u8> {
    let head = RequestHead::new("POST", PATH, &address.to_string());
    let mut bytes = head.encode(body.len());
    bytes.extend_from_slice(body);
    bytes
}

async fn write(connection: &mut Connection, address: SocketAddr, body: &[u8]) -> Result<()> {
    let bytes = frame(address, body);
    connection.write(&bytes).await.map_err(lost)
}

/// Takes a long body out of an order: it is sent once it is asked for.
fn detach_body(order: &mut AttemptRequest, is_near: bool) -> Option<Vec<u8>> {
    if !needs_continue(order.payload.body.len(), is_near) {
        return None;
    }
    order.terms.body_bytes = order.payload.body.len() as u64;
    Some(std::mem::take(&mut order.payload.body))
}

async fn write_paced<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    address: SocketAddr,
    body: &[u8],
) -> Result<()> {
    let bytes = frame(address, body);
    shared
        .send_scheduler
        .write(connection, &bytes)
        .await
        .map_err(lost)
}

/// Reads a reply; returns it with its length on the wire.
async fn read(connection: &mut Connection) -> Result<(RelayReply, u64)> {
    let limits = message_limits();
    let head = connection.read_response(&limits).await.map_err(lost)?;
    let framing = frame_response(&head, "POST").map_err(malformed)?;
    let body = connection.read_body(framing, &limits).await.map_err(lost)?;
    let length = body.len() as u64;
    let body =
        compression::decompress(body, &head.headers, MAX_MESSAGE_BYTES).map_err(malformed)?;
    match head.status {
        200 => Ok((decode(&body)?, length)),
        status => Err(malformed(format!("status {status}"))),
    }
}

/// Sends an attempt of a request on `route` to `target` and finds out how it ended.
///
/// The caller bounds the time; an attempt that is dropped is cancelled at the other end.
pub async fn send_attempt<D>(
    shared: &Shared<D>,
    target: &Target,
    route: &str,
    mut order: Box<AttemptRequest>,
) -> AttemptResult {
    let start = shared.now();
    let key = order.key;
    let request = order.request.clone();
    let route_id = order.terms.route;
    let is_near = target.candidate.is_near;
    let long_body = detach_body(&mut order, is_near);
    let body = match encode(&RelayRequest::Attempt(order)) {
        Ok(body) => body,
        Err(error) => {
            warn!(event = "attempt.unsendable", request, %error);
            return (AttemptEnd::NotRun(Rejection::Unconnected), None);
        }
    };
    let checkout = match shared.peer_pool.checkout(target.relay, REUSABLE).await {
        Ok(checkout) => checkout,
        Err(error) => {
            info!(event = "proxy.unreachable", request, target = %target.instance, %error);
            shared.peer_pool.forget(target.relay);
            return (AttemptEnd::NotRun(Rejection::Unconnected), None);
        }
    };
    let mut connection = checkout.connection;
    let count = |kind: &str, bytes: u64| shared.metrics.count_bytes(kind, is_near, bytes);
    count("request", body.len() as u64);
    let exchange = async {
        write(&mut connection, target.relay, &body).await?;
        let reply = read(&mut connection).await?;
        match (&reply, long_body) {
            ((RelayReply::Continue, _), Some(long_body)) => {
                count("request", long_body.len() as u64);
                let message = encode(&RelayRequest::Body(long_body))?;
                write_paced(shared, &mut connection, target.relay, &message).await?;
                read(&mut connection).await
            }
            _ => Ok(reply),
        }
    };
    let exchange = async {
        match exchange.await {
            Ok(reply) => Some(reply),
            Err(error) => {
                info!(event = "attempt.broke", request, target = %target.instance, %error);
                None
            }
        }
    };
    let outcome = watch(shared, target, &key, exchange).await;
    match outcome {
        Outcome::Replied((RelayReply::Attempt(end, load, spent), length)) => {
            shared.peer_pool.put_back(target.relay, connection);
            count("answer", length);
            if matches!(end, AttemptEnd::Answered(_)) {
                shared.observe_answer_size(route, length);
            }
            let transit = shared.now().since(start).since(spent);
            let report = OfferReport {
                route: route_id,
                load,
                transit,
            };
            (end, Some(report))
        }
        Outcome::Replied(_) => (AttemptEnd::MayHaveRun(Loss::Broken), None),
        Outcome::Asked(end) => (end, None),
    }
}

enum Outcome {
    /// The other proxy replied on the attempt's own connection, with so many bytes.
    Replied((RelayReply, u64)),
    /// Its ledger said so, or it is gone.
    Asked(AttemptEnd),
}

/// Waits for the reply, and asks the ledger while there is none.
async fn watch<D>(
    shared: &Shared<D>,
    target: &Target,
    key: &AttemptKey,
    exchange: impl Future<Output = Option<(RelayReply, u64)>>,
) -> Outcome {
    let mut exchange = Box::pin(exchange);
    let early = async_std::future::timeout(ASK_AFTER.duration(), &mut exchange).await;
    if let Ok(Some(reply)) = early {
        return Outcome::Replied(reply);
    }
    let is_broken = early.is_ok();
    let asking = async { Outcome::Asked(ask_until_known(shared, target, key).await) };
    if is_broken {
        return asking.await;
    }
    let waiting = async {
        match exchange.await {
            Some(reply) => Outcome::Replied(reply),
            None => futures_lite::future::pending().await,
        }
    };
    waiting.or(asking).await
}

async fn ask_until_known<D>(shared: &Shared<D>, target: &Target, key: &AttemptKey) -> AttemptEnd {
    let mut misses = 0;
    loop {
        match ask(target.relay, key).await {
            Ok(LedgerAnswer::Ended(end)) => {
                count_ask(shared, "ended");
                return end;
            }
            Ok(LedgerAnswer::Pending) => {
                count_ask(shared, "pending");
                misses = 0;
                task::sleep(ASK_PAUSE.duration()).await;
            }
            Err(error) => {
                count_ask(shared, "unanswered");
                misses += 1;
                if is_refused(&error) {
                    // Nothing listens there: the life that took the attempt is over.
                    return AttemptEnd::MayHaveRun(Loss::EarlierIncarnation);
                }
                if misses >= MAX_MISSES {
                    return AttemptEnd::MayHaveRun(Loss::Unreachable);
                }
                task::sleep(RETRY_PAUSE.duration()).await;
            }
        }
    }
}

fn count_ask<D>(shared: &Shared<D>, answer: &str) {
    shared
        .metrics
        .ledger_queries
        .with_label_values(&[answer])
        .inc();
}

fn is_refused(error: &RelayError) -> bool {
    match error {
        RelayError::Unconnected { source } => source.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Asks on a connection of its own, since those in the pool may be silent as well.
async fn ask(address: SocketAddr, key: &AttemptKey) -> Result<LedgerAnswer> {
    let asking = async {
        let connection = Connection::open(address, ASK_TIME).await;
        let mut connection = connection.map_err(|source| RelayError::Unconnected { source })?;
        let body = encode(&RelayRequest::Ask(*key))?;
        write(&mut connection, address, &body).await?;
        read(&mut connection).await
    };
    match async_std::future::timeout(ASK_TIME.duration(), asking).await {
        Ok(Ok((RelayReply::Ask(answer), _))) => Ok(answer),
        Ok(Ok(_)) => Err(malformed("reply to another message")),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(lost("nothing in time")),
    }
}
