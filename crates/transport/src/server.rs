//! HTTP accept loop.
//!
//! Each connection is served by its own task. A connection beyond the limit gets a 503 response,
//! and a request that cannot be parsed a 4xx response (usually 400); the connection is then closed.
//! In both cases the request has not run, which the verdict header of the response states.

use crate::client::wants_close;
use crate::timer::{sleep, timeout};
use async_h1::server::{ConnectionStatus, Server};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, FutureExt, future, ready};
use http_types::{Request, Response, StatusCode};
use rf_base::Millis;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;
use tracing::{debug, trace};

/// Limits of a listener.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for the first byte of a request.
    pub idle_timeout: Millis,
    /// Timeout for the rest of the request head.
    pub head_timeout: Millis,
    /// Whether a request is cancelled when its peer closes the connection before the response.
    pub cancel_on_close: bool,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings {
            max_connections: 4096,
            idle_timeout: Millis::from_secs(60),
            head_timeout: Millis::from_secs(10),
            cancel_on_close: false,
        }
    }
}

/// Maximum size of a request head, including the part of the body that arrives in the same reads.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time within which a response that closes the connection must be sent.
const CLOSE_GRACE: Millis = Millis(1000);
/// Interval at which a running request is checked for timeout and cancellation.
const ABORT_CHECK_INTERVAL: Millis = Millis(100);
/// Delay after a failed accept, which prevents a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Accepts connections until the task is dropped, and handles each request with `handler`.
pub async fn serve<H, F>(listener: TcpListener, settings: ServerSettings, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(%error, "accept failed");
                task::sleep(ACCEPT_PAUSE.duration()).await;
                continue;
            }
        };
        stream.set_nodelay(true).ok();
        let guard = ConnectionGuard::new(&open);
        if guard.count > settings.max_connections {
            task::spawn(refuse(
                stream,
                StatusCode::ServiceUnavailable,
                "connection limit",
            ));
            continue;
        }
        let handler = handler.clone();
        let settings = settings.clone();
        task::spawn(async move {
            serve_connection(stream, &settings, handler).await;
            drop(guard);
        });
    }
}

async fn serve_connection<H, F>(stream: TcpStream, settings: &ServerSettings, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let progress = Arc::new(RequestProgress::default());
    let tracked = {
        let progress = progress.clone();
        move |request| {
            progress.is_head_complete.store(true, Ordering::Relaxed);
            let answer = handler(request);
            let progress = progress.clone();
            async move {
                let answer = answer.await;
                let closes = answer.as_ref().is_ok_and(wants_close);
                progress.is_closing.store(closes, Ordering::Relaxed);
                answer
            }
        }
    };
    let limited = LimitedStream {
        stream: stream.clone(),
        progress: progress.clone(),
    };
    let mut server = Server::new(limited, tracked);
    let mut byte = [0];
    loop {
        progress.reset();
        match timeout(settings.idle_timeout, stream.peek(&mut byte)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => break,
        }
        let request = async { Some(server.accept_one().await) };
        let outcome = request.or(progress.wait_aborted(settings, &stream)).await;
        match outcome {
            None if progress.is_head_complete.load(Ordering::Relaxed) => {
                trace!(
                    "request cancelled, or connection closed before the rest of its body arrived"
                );
                break;
            }
            None => {
                refuse(
                    stream.clone(),
                    StatusCode::RequestTimeout,
                    "slow request head",
                )
                .await;
                break;
            }
            Some(Ok(ConnectionStatus::KeepAlive)) => {}
            Some(Ok(ConnectionStatus::Close)) => break,
            Some(Err(error)) if progress.is_head_complete.load(Ordering::Relaxed) => {
                // The response has begun, so the peer can detect the failure only by the missing
                // end.
                trace!(%error, "connection failed before the end of the response");
                break;
            }
            Some(Err(error)) => {
                trace!(%error, "request refused");
                refuse(
                    stream.clone(),
                    progress.refusal_status(&error),
                    &error.to_string(),
                )
                .await;
                break;
            }
        }
    }
    stream.shutdown(Shutdown::Both).ok();
}

/// Progress of the current request of a connection.
#[derive(Debug, Default)]
struct RequestProgress {
    /// Bytes read before the head was complete.
    bytes: AtomicUsize,
    /// Whether the head is complete.
    is_head_complete: AtomicBool,
    /// Whether the response announces that the connection is closed after it.
    is_closing: AtomicBool,
}

impl RequestProgress {
    fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.is_head_complete.store(false, Ordering::Relaxed);
        self.is_closing.store(false, Ordering::Relaxed);
    }

    /// Resolves once the request must be aborted; otherwise it stays pending.
    ///
    /// A request is aborted if its head is not complete in time, [`CLOSE_GRACE`] after the handler
    /// has returned a response that closes the connection, or if its peer closes the connection and
    /// the settings cancel requests in this case.
    ///
    /// The bound of [`CLOSE_GRACE`] is needed because the HTTP library reads the rest of the
    /// request body before it closes the connection, however slowly the body arrives.
    async fn wait_aborted<T>(&self, settings: &ServerSettings, stream: &TcpStream) -> Option<T> {
        let start = Instant::now();
        loop {
            sleep(ABORT_CHECK_INTERVAL).await;
            let is_head_complete = self.is_head_complete.load(Ordering::Relaxed);
            if !is_head_complete && start.elapsed() >= settings.head_timeout.duration() {
                return None;
            }
            if self.is_closing.load(Ordering::Relaxed) {
                sleep(CLOSE_GRACE).await;
                return None;
            }
            if is_head_complete && settings.cancel_on_close && is_closed(stream).await {
                return None;
            }
        }
    }

    fn refusal_status(&self, error: &http_types::Error) -> StatusCode {
        if self.bytes.load(Ordering::Relaxed) > MAX_HEAD_BYTES {
            return StatusCode::RequestHeaderFieldsTooLarge;
        }
        match error.status() {
            StatusCode::InternalServerError => StatusCode::BadRequest,
            status => status,
        }
    }
}

/// Stream that returns an error on reads once the head of a request exceeds [`MAX_HEAD_BYTES`].
#[derive(Clone, Debug)]
struct LimitedStream {
    stream: TcpStream,
    progress: Arc<RequestProgress>,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.progress.is_head_complete.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(n));
        }
        let bytes = self.progress.bytes.fetch_add(n, Ordering::Relaxed) + n;
        match bytes > MAX_HEAD_BYTES {
            true => Poll::Ready(Err(io::Error::other("request head is too long"))),
            false => Poll::Ready(Ok(n)),
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Returns whether the peer has closed the connection.
///
/// A close is not visible while bytes of a body or of the next request are waiting to be read.
async fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = future::poll_once(stream.peek(&mut byte)).await;
    matches!(peeked, Some(Ok(0) | Err(_)))
}

/// Sends a response that states that the request has not run, and closes the connection.
async fn refuse(mut stream: TcpStream, status: StatusCode, reason: &str) {
    let code = status as u16;
    let phrase = status.canonical_reason();
    let body: String = reason.chars().filter(|c| !c.is_control()).collect();
    let answer = format!(
        "HTTP/1.1 {code} {phrase}\r\nconnection: close\r\nrosemaryfork-verdict: not-run\r\n\
         retry-after: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await.ok();
    stream.shutdown(Shutdown::Write).ok();
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    open: Arc<AtomicUsize>,
    /// Number of open connections, including this one, when it was accepted.
    count: usize,
}

impl ConnectionGuard {
    fn new(open: &Arc<AtomicUsize>) -> ConnectionGuard {
        ConnectionGuard {
            count: open.fetch_add(1, Ordering::Relaxed) + 1,
            open: open.clone(),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
