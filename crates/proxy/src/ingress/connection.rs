//! Connections of callers: reads requests and writes the responses to them.

use super::pipelined::{Exchange, serve_pipelined};
use super::{Received, Response, answer};
use crate::dialect::Dialect;
use crate::pipeline;
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::FutureExt;
use rf_base::Millis;
use rf_config::{Caller, CallerLimits};
use rf_transport::h1::{
    Connection, Framing, ReadError, ReadLimits, RequestHead, ResponseHead, frame_request,
};
use std::pin::pin;
use std::sync::Arc;
use tracing::info;

/// Maximum number of bytes that a caller may send ahead while its request runs.
pub(super) const MAX_READ_AHEAD: usize = 64 * 1024;
/// Time added to the idle time that callers are promised before their connection is closed.
const IDLE_GRACE: Millis = Millis(1000);
/// Retry delay given to a caller while the memory budget for requests is exhausted.
const MEMORY_RETRY: Millis = Millis(200);

/// What to do with a connection after a request.
#[derive(Debug)]
pub(super) enum NextStep {
    KeepOpen,
    /// Serves a request whose head was read while earlier ones ran, or refuses it.
    Serve(Result<UnreadBody, Refusal>),
    Close,
}

/// A request whose head was read.
#[derive(Debug)]
pub(super) struct UnreadBody {
    head: RequestHead,
    framing: Framing,
    start: Millis,
}

/// A request that is refused while it is being read.
#[derive(Debug)]
pub(super) struct Refusal {
    status: u16,
    retry: Option<Millis>,
    /// Whether the caller has closed the connection.
    pub(super) is_caller_gone: bool,
}

impl Refusal {
    pub(super) fn status(status: u16) -> Refusal {
        Refusal {
            status,
            retry: None,
            is_caller_gone: false,
        }
    }

    fn out_of_memory() -> Refusal {
        Refusal {
            retry: Some(MEMORY_RETRY),
            ..Refusal::status(503)
        }
    }

    fn unreadable(error: &ReadError) -> Refusal {
        let status = match error {
            ReadError::OutOfMemory => return Refusal::out_of_memory(),
            ReadError::HeadTooLarge { .. } => 431,
            ReadError::BodyTooLarge { .. } => 413,
            _ => 400,
        };
        let is_caller_gone = matches!(
            error,
            ReadError::Closed | ReadError::Truncated | ReadError::Failed { .. }
        );
        Refusal {
            is_caller_gone,
            ..Refusal::status(status)
        }
    }
}

pub(super) async fn serve_connection<D: Dialect>(
    shared: Arc<Shared<D>>,
    mut connection: Connection,
) {
    let mut next_step = NextStep::KeepOpen;
    loop {
        let limits = shared.view.load().table.limits;
        let unread = match next_step {
            NextStep::Close => return,
            NextStep::Serve(unread) => Some(unread),
            NextStep::KeepOpen => {
                let idle = limits.idle_time + IDLE_GRACE;
                match timeout(idle.duration(), connection.wait_readable()).await {
                    Ok(Ok(())) => None,
                    _ => return,
                }
            }
        };
        next_step = serve_request(&shared, &mut connection, &limits, unread).await;
    }
}

/// What happens first while a request runs that others may run beside.
enum Progress {
    Answered(Response),
    /// The next request begins to arrive.
    Readable,
    Closed,
}

/// Serves a request; `unread` is its head or the refusal, if it has been read already.
async fn serve_request<D: Dialect>(
    shared: &Arc<Shared<D>>,
    connection: &mut Connection,
    limits: &CallerLimits,
    unread: Option<Result<UnreadBody, Refusal>>,
) -> NextStep {
    let _guard = shared.count_call();
    let reading = async {
        let unread = match unread {
            Some(unread) => unread?,
            None => read_head(shared, connection, limits).await?,
        };
        let is_concurrent = is_concurrent(shared, &unread);
        let received = read_rest(shared, connection, limits, unread).await?;
        Ok((received, is_concurrent))
    };
    let (received, is_concurrent) = match timeout(limits.head_time.duration(), reading).await {
        Ok(Ok(read)) => read,
        Ok(Err(refusal)) => return refuse(shared, connection, refusal).await,
        Err(_) => return refuse(shared, connection, Refusal::status(408)).await,
    };
    let keeps_open = received.head.is_keep_alive();
    let is_head = received.head.method == "HEAD";
    let start = |received| answer(shared, received);
    let mut answering = pin!(start(received));
    let answered = async { Progress::Answered(answering.as_mut().await) };
    let watching = async {
        if is_concurrent && connection.wait_readable().await.is_ok() {
            return Progress::Readable;
        }
        if !is_concurrent {
            connection.wait_closed(MAX_READ_AHEAD).await;
        }
        Progress::Closed
    };
    let progress = answered.or(watching).await;
    let response = match progress {
        Progress::Answered(response) => response,
        Progress::Closed => return NextStep::Close,
        Progress::Readable => {
            let first = Exchange::first(answering, is_head);
            // Boxed, so that a connection on which nothing is pipelined has no memory for this.
            return Box::pin(serve_pipelined(shared, connection, limits, first, start)).await;
        }
    };
    let should_close = !keeps_open || shared.is_stopping();
    let mut stream = connection.writer();
    write_response(shared, &mut stream, response, should_close, is_head).await
}

/// Returns whether a request may run beside others of its connection.
pub(super) fn is_concurrent<D>(shared: &Shared<D>, unread: &UnreadBody) -> bool {
    let view = shared.view.load();
    let head = &unread.head;
    let host = head.headers.get("host").unwrap_or_default();
    let route = view.table.find(host, head.path());
    pipeline::is_concurrent(head, unread.framing, route)
}

/// Returns the expected length of the response to a request, in bytes; zero if it is not known.
pub(super) fn expected_bytes<D>(shared: &Shared<D>, unread: &UnreadBody) -> u64 {
    let view = shared.view.load();
    let host = unread.head.headers.get("host").unwrap_or_default();
    let route = view.table.find(host, unread.head.path());
    route.map_or(0, |r| shared.usual_answer_bytes(&r.name) as u64)
}

fn read_limits(limits: &CallerLimits) -> ReadLimits {
    ReadLimits {
        head: limits.head,
        body: limits.body,
    }
}

/// Reads the head of a request.
pub(super) async fn read_head<D>(
    shared: &Shared<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Result<UnreadBody, Refusal> {
    let head = connection.read_request(&read_limits(limits)).await;
    let head = head.map_err(|e| Refusal::unreadable(&e))?;
    let start = shared.now();
    let framing = frame_request(&head).map_err(|_| Refusal::status(400))?;
    Ok(UnreadBody {
        head,
        framing,
        start,
    })
}

/// Reads the body of a request.
pub(super) async fn read_rest<D: Dialect>(
    shared: &Shared<D>,
    connection: &mut Connection,
    limits: &CallerLimits,
    unread: UnreadBody,
) -> Result<Received, Refusal> {
    let UnreadBody {
        head,
        framing,
        start,
    } = unread;
    let memory = match framing {
        Framing::Length(length) => shared.request_memory.reserve(length),
        _ => Some(shared.request_memory.empty_reservation()),
    };
    let memory = memory.ok_or_else(Refusal::out_of_memory)?;
    if head.headers.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        let sent = connection.write(interim).await;
        sent.map_err(|_| Refusal::status(400))?;
    }
    // The length of a body in chunks is not known before, so its memory is reserved as it arrives.
    let limits = read_limits(limits);
    let body = match framing {
        Framing::Chunked => connection.read_budgeted(framing, &limits, &memory).await,
        _ => connection.read_body(framing, &limits).await,
    };
    let body = body.map_err(|e| Refusal::unreadable(&e))?;
    let metadata = shared.dialect.read_caller(&head.headers);
    let parent = shared.dialect.parent_request_id(&metadata.request_id);
    let parent = parent.and_then(|id| shared.gate.parent(id));
    Ok(Received {
        head,
        body,
        metadata,
        start,
        parent,
        caller: Caller::default(),
        _memory: memory,
    })
}

/// Answers a request that was not read completely. Its connection can't be reused, as the rest of
/// the request may still arrive on it.
async fn refuse<D: Dialect>(
    shared: &Shared<D>,
    connection: &Connection,
    refusal: Refusal,
) -> NextStep {
    let status = refusal.status;
    info!(event = "request.unread", status);
    let mut head = ResponseHead::new(status);
    if let Some(wait) = refusal.retry {
        shared.dialect.set_retry_after(&mut head.headers, wait);
    }
    let response = Response {
        head,
        body: Vec::new(),
    };
    let mut stream = connection.writer();
    write_response(shared, &mut stream, response, true, false).await
}

/// Writes a response. The connection may be read meanwhile.
pub(super) async fn write_response<D>(
    shared: &Shared<D>,
    stream: &mut TcpStream,
    mut response: Response,
    should_close: bool,
    is_head: bool,
) -> NextStep {
    let _reservation = shared.link.reserve(response.body.len() as u64);
    if should_close {
        response.head.headers.add("Connection", "close");
    }
    let has_body = !matches!(response.head.status, 204 | 304);
    let mut bytes = response
        .head
        .encode(has_body.then_some(response.body.len()));
    if !is_head {
        bytes.append(&mut response.body);
    }
    let result = shared.send_scheduler.write_stream(stream, &bytes).await;
    match result.is_ok() && !should_close {
        true => NextStep::KeepOpen,
        false => NextStep::Close,
    }
}
