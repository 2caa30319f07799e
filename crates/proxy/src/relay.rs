//! Sends attempts and messages to other proxies.
//!
//! If the connection of an attempt breaks, or no reply comes for a while, the sender queries the
//! ledger of the other proxy on a new connection. The query revokes an attempt that the ledger has
//! not seen, so that "not run" is certain from then on; a running attempt is waited for. The first
//! connection stays open meanwhile, because closing it would cancel the attempt, and a reply that
//! still arrives on it is used.

use crate::compression;
use crate::receiving::needs_continue;
use crate::shared::Shared;
use crate::view::Target;
use async_std::task;
use futures_lite::FutureExt;
use rf_base::{AttemptId, Millis};
use rf_protocol::relay::{
    AttemptEnd, AttemptKey, AttemptRequest, LedgerAnswer, Loss, Rejection, RelayReply,
    RelayRequest, ServerAnswer,
};
use rf_traffic::placement::OfferReport;
use rf_transport::h1::{
    Connection, Headers, MemoryReservation, ReadLimits, RequestHead, ResponseHead, frame_response,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{info, warn};

/// HTTP path of every message between proxies.
pub const PATH: &str = "/relay";
/// Header of a reply to an attempt that names the attempt.
pub const ATTEMPT: &str = "Attempt";
/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 80 * 1024 * 1024;
/// Time without a reply after which the ledger is queried. Most replies come sooner.
const QUERY_DELAY: Millis = Millis(700);
/// Time between two queries of a pending attempt.
const QUERY_INTERVAL: Millis = Millis(500);
/// Delay before the next query after one that failed.
const QUERY_RETRY_DELAY: Millis = Millis(100);
/// Timeout of a query.
const QUERY_TIMEOUT: Millis = Millis(1000);
/// Consecutive failed queries after which the other proxy counts as unreachable.
const MAX_FAILED_QUERIES: u32 = 3;
/// Longest idle time after which a connection to another proxy is reused.
const MAX_REUSE_IDLE: Millis = Millis(15_000);

/// Why a message got no usable reply.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// No connection was established; the other proxy has not seen the message.
    #[snafu(display("cannot connect: {source}"))]
    Unconnected {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The connection failed; the other proxy may have seen the message.
    #[snafu(display("no reply: {message}"))]
    Lost {
        /// Description of the failure.
        message: String,
    },
    /// The reply can't be decoded, or the message can't be encoded.
    #[snafu(display("malformed reply: {message}"))]
    Malformed {
        /// Description of the defect.
        message: String,
    },
}

/// Result of sending, encoding or decoding a message.
pub type Result<T> = std::result::Result<T, RelayError>;

/// End of an attempt, with the load that the other proxy reported.
pub type AttemptResult = (AttemptEnd, Option<OfferReport>);

/// Encodes a message as MessagePack.
///
/// # Errors
///
/// Returns [`RelayError::Malformed`] if the message can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(malformed)
}

/// Decodes a message from MessagePack.
///
/// # Errors
///
/// Returns [`RelayError::Malformed`] if the bytes are not a message of this type.
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

/// Sends a message and waits for its reply. Returns the reply and the encoded size of the message
/// and the reply together, in bytes.
///
/// # Errors
///
/// Returns a [`RelayError`] that says whether the other proxy may have seen the message.
pub async fn send<D>(
    shared: &Shared<D>,
    address: SocketAddr,
    message: &RelayRequest,
) -> Result<(RelayReply, u64)> {
    let body = encode(message)?;
    let connection = shared.peer_pool.checkout(address, MAX_REUSE_IDLE).await;
    let mut connection = connection.map_err(|source| RelayError::Unconnected { source })?;
    write(&mut connection, address, &body).await?;
    let (reply, length) = read(shared, &mut connection).await?;
    shared.peer_pool.put_back(address, connection);
    Ok((reply, body.len() as u64 + length))
}

/// Returns the read limits for messages between proxies.
pub fn message_limits() -> ReadLimits {
    ReadLimits {
        body: MAX_MESSAGE_BYTES,
        ..ReadLimits::default()
    }
}

/// Builds the HTTP request that carries a message.
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

/// Removes a long body from an attempt; it is sent separately once the other proxy requests it.
fn detach_body(attempt: &mut AttemptRequest, is_near: bool) -> Option<Vec<u8>> {
    if !needs_continue(attempt.payload.body.len(), is_near) {
        return None;
    }
    attempt.terms.body_bytes = attempt.payload.body.len() as u64;
    Some(std::mem::take(&mut attempt.payload.body))
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

/// Reads the reply to `attempt`, so that a reply to an earlier message on the connection is not
/// taken for it. Replies of proxies of earlier releases name no attempt.
async fn read_attempt_reply<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    attempt: AttemptId,
) -> Result<(RelayReply, u64)> {
    let memory = shared.reply_memory.empty_reservation();
    let head = read_head(connection, &memory).await?;
    let named = head.headers.get(ATTEMPT);
    if let Some(named) = named.filter(|named| *named != attempt.to_string()) {
        let message = format!("reply to attempt {named} instead of {attempt}");
        return Err(malformed(message));
    }
    let reply = read_content(connection, head, &memory).await?;
    match reply.0 {
        RelayReply::Attempt(..) | RelayReply::Continue => Ok(reply),
        _ => Err(malformed("reply of an unexpected kind")),
    }
}

/// Reads a reply; returns it with its encoded size in bytes.
async fn read<D>(shared: &Shared<D>, connection: &mut Connection) -> Result<(RelayReply, u64)> {
    let memory = shared.reply_memory.empty_reservation();
    let head = read_head(connection, &memory).await?;
    read_content(connection, head, &memory).await
}

async fn read_head(
    connection: &mut Connection,
    memory: &MemoryReservation,
) -> Result<ResponseHead> {
    let limits = message_limits();
    let reading = connection.read_response_budgeted(&limits, memory);
    reading.await.map_err(lost)
}

async fn read_content(
    connection: &mut Connection,
    head: ResponseHead,
    memory: &MemoryReservation,
) -> Result<(RelayReply, u64)> {
    let limits = message_limits();
    let framing = frame_response(&head, "POST").map_err(malformed)?;
    let reading = connection.read_budgeted(framing, &limits, memory);
    let body = reading.await.map_err(lost)?;
    let length = body.len() as u64;
    let body = compression::decompress(body, &head.headers, MAX_MESSAGE_BYTES, memory)
        .map_err(malformed)?;
    match head.status {
        200 => Ok((decode(&body)?, length)),
        status => Err(malformed(format!("status {status}"))),
    }
}

/// Sends an attempt of a request on `route` to `target` and returns how it ended.
///
/// The caller must bound the time. Dropping the future closes the connection, which cancels the
/// attempt at the other proxy unless it is running already and must not be repeated.
pub async fn send_attempt<D>(
    shared: &Shared<D>,
    target: &Target,
    route: &str,
    mut attempt: Box<AttemptRequest>,
) -> AttemptResult {
    let start = shared.now();
    let key = attempt.key;
    let request = attempt.request.clone();
    let route_id = attempt.terms.route;
    let is_near = target.candidate.is_near;
    let long_body = detach_body(&mut attempt, is_near);
    let body = match encode(&RelayRequest::Attempt(attempt)) {
        Ok(body) => body,
        Err(error) => {
            warn!(event = "attempt.unsendable", request, %error);
            return (AttemptEnd::NotRun(Rejection::Unconnected), None);
        }
    };
    let mut connection = match shared
        .peer_pool
        .checkout(target.relay, MAX_REUSE_IDLE)
        .await
    {
        Ok(connection) => connection,
        Err(error) => {
            info!(event = "proxy.unreachable", request, target = %target.instance, %error);
            shared.peer_pool.evict(target.relay);
            return (AttemptEnd::NotRun(Rejection::Unconnected), None);
        }
    };
    let count = |kind: &str, bytes: u64| shared.metrics.count_bytes(kind, is_near, bytes);
    count("request", body.len() as u64);
    let exchange = async {
        write(&mut connection, target.relay, &body).await?;
        let reply = read_attempt_reply(shared, &mut connection, key.id).await?;
        match (&reply, long_body) {
            ((RelayReply::Continue, _), Some(long_body)) => {
                count("request", long_body.len() as u64);
                let message = encode(&RelayRequest::Body(long_body))?;
                write_paced(shared, &mut connection, target.relay, &message).await?;
                read_attempt_reply(shared, &mut connection, key.id).await
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
    let outcome = await_outcome(shared, target, &key, exchange).await;
    match outcome {
        Outcome::Replied((RelayReply::Attempt(end, load, spent), length)) => {
            shared.peer_pool.put_back(target.relay, connection);
            count("answer", length);
            let end = check_end(&request, end);
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
        Outcome::Queried(end) => (check_end(&request, end), None),
    }
}

/// Returns `end`, unless it is an answer that no message can have had. The proxy that read the
/// answer may check less, so it is not passed on unchecked.
fn check_end(request: &str, end: AttemptEnd) -> AttemptEnd {
    match end {
        AttemptEnd::Answered(answer) => check_answer(answer).unwrap_or_else(|defect| {
            warn!(event = "answer.malformed", request, defect);
            AttemptEnd::MayHaveRun(Loss::Broken)
        }),
        other => other,
    }
}

fn check_answer(mut answer: ServerAnswer) -> std::result::Result<AttemptEnd, String> {
    let mut head = ResponseHead {
        headers: Headers::from_fields(std::mem::take(&mut answer.headers)),
        ..ResponseHead::new(answer.status)
    };
    head.verify().map_err(|e| e.to_string())?;
    if head.is_interim() {
        return Err("interim response".to_owned());
    }
    if head.is_bodiless() && !answer.body.is_empty() {
        return Err(format!("body of a response with status {}", head.status));
    }
    // The length of the body is written with it.
    head.headers.strip_hop_by_hop();
    answer.headers = head.headers.into_fields();
    Ok(AttemptEnd::Answered(answer))
}

enum Outcome {
    /// The other proxy replied on the attempt's own connection, with this many bytes.
    Replied((RelayReply, u64)),
    /// The ledger of the other proxy gave the end, or that proxy can't be reached.
    Queried(AttemptEnd),
}

/// Waits for the reply, and queries the ledger of the other proxy while there is none.
async fn await_outcome<D>(
    shared: &Shared<D>,
    target: &Target,
    key: &AttemptKey,
    exchange: impl Future<Output = Option<(RelayReply, u64)>>,
) -> Outcome {
    let mut exchange = Box::pin(exchange);
    let first_wait = async_std::future::timeout(QUERY_DELAY.duration(), &mut exchange).await;
    if let Ok(Some(reply)) = first_wait {
        return Outcome::Replied(reply);
    }
    let is_broken = first_wait.is_ok();
    let querying = async { Outcome::Queried(query_until_known(shared, target, key).await) };
    if is_broken {
        return querying.await;
    }
    let waiting = async {
        match exchange.await {
            Some(reply) => Outcome::Replied(reply),
            None => futures_lite::future::pending().await,
        }
    };
    waiting.or(querying).await
}

async fn query_until_known<D>(shared: &Shared<D>, target: &Target, key: &AttemptKey) -> AttemptEnd {
    let mut failed_queries = 0;
    loop {
        match query_ledger(shared, target.relay, key).await {
            Ok(LedgerAnswer::Ended(end)) => {
                count_query(shared, "ended");
                return end;
            }
            Ok(LedgerAnswer::Pending) => {
                count_query(shared, "pending");
                failed_queries = 0;
                task::sleep(QUERY_INTERVAL.duration()).await;
            }
            Err(error) => {
                count_query(shared, "unanswered");
                failed_queries += 1;
                if is_refused(&error) {
                    // Nothing listens at the address: the process that received the attempt has
                    // ended.
                    return AttemptEnd::MayHaveRun(Loss::EarlierIncarnation);
                }
                if failed_queries >= MAX_FAILED_QUERIES {
                    return AttemptEnd::MayHaveRun(Loss::Unreachable);
                }
                task::sleep(QUERY_RETRY_DELAY.duration()).await;
            }
        }
    }
}

fn count_query<D>(shared: &Shared<D>, answer: &str) {
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

/// Queries the ledger on a new connection, since those in the pool may have stalled as well.
async fn query_ledger<D>(
    shared: &Shared<D>,
    address: SocketAddr,
    key: &AttemptKey,
) -> Result<LedgerAnswer> {
    let querying = async {
        let connection = Connection::open(address, QUERY_TIMEOUT).await;
        let mut connection = connection.map_err(|source| RelayError::Unconnected { source })?;
        let body = encode(&RelayRequest::Query(*key))?;
        write(&mut connection, address, &body).await?;
        read(shared, &mut connection).await
    };
    match async_std::future::timeout(QUERY_TIMEOUT.duration(), querying).await {
        Ok(Ok((RelayReply::Query(answer), _))) => Ok(answer),
        Ok(Ok(_)) => Err(malformed("reply of an unexpected kind")),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(lost("the ledger query timed out")),
    }
}
