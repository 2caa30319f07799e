//! HTTP accept loop.
//!
//! Each connection is a task. Connections beyond the limit are answered 503 and closed, requests
//! that do not parse are answered 400 and closed; in both cases nothing of the request has run, and
//! the answer says so.

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

/// Limits of one listener.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Most connections at a time.
    pub max_connections: usize,
    /// Longest wait for the first byte of a request.
    pub idle_timeout: Millis,
    /// Longest wait for the rest of a request's head.
    pub head_timeout: Millis,
    /// Whether a request is given up when its peer closes the connection before the answer.
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

/// Longest head of a request, with what of its body arrives in the same reads.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time for an answer that closes the connection to be sent.
const CLOSE_GRACE: Millis = Millis(1000);
/// Time between two looks whether a request is to be given up.
const CHECK: Millis = Millis(100);
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Accepts connections until the task is dropped, answering each request with `handler`.
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
        let guard = OpenGuard::new(&open);
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
    let progress = Arc::new(HeadProgress::default());
    let marked = {
        let progress = progress.clone();
        move |request| {
            progress.is_whole.store(true, Ordering::Relaxed);
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
    let guarded = GuardedStream {
        stream: stream.clone(),
        progress: progress.clone(),
    };
    let mut server = Server::new(guarded, marked);
    let mut byte = [0];
    loop {
        progress.reset();
        match timeout(settings.idle_timeout, stream.peek(&mut byte)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => break,
        }
        let request = async { Some(server.accept_one().await) };
        let outcome = request.or(progress.give_up(settings, &stream)).await;
        match outcome {
            None if progress.is_whole.load(Ordering::Relaxed) => {
                trace!("request cancelled, or rest of its body not waited for");
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
            Some(Err(error)) if progress.is_whole.load(Ordering::Relaxed) => {
                // The answer has begun: closing without its end is what tells the peer.
                trace!(%error, "answer cut short");
                break;
            }
            Some(Err(error)) => {
                trace!(%error, "request refused");
                refuse(stream.clone(), progress.refusal(&error), &error.to_string()).await;
                break;
            }
        }
    }
    stream.shutdown(Shutdown::Both).ok();
}

/// How far the head of the current request is.
#[derive(Debug, Default)]
struct HeadProgress {
    bytes: AtomicUsize,
    is_whole: AtomicBool,
    is_closing: AtomicBool,
}

impl HeadProgress {
    fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.is_whole.store(false, Ordering::Relaxed);
        self.is_closing.store(false, Ordering::Relaxed);
    }

    /// Resolves when the request is to be given up, and never otherwise: its head was not whole in
    /// time, its answer closes the connection and had [`CLOSE_GRACE`] to be sent, or its peer closed
    /// the connection first and the settings say that this cancels it.
    ///
    /// The library reads the rest of a request's body before it closes, however slowly it comes.
    async fn give_up<T>(&self, settings: &ServerSettings, stream: &TcpStream) -> Option<T> {
        let start = Instant::now();
        loop {
            sleep(CHECK).await;
            let is_whole = self.is_whole.load(Ordering::Relaxed);
            if !is_whole && start.elapsed() >= settings.head_timeout.duration() {
                return None;
            }
            if self.is_closing.load(Ordering::Relaxed) {
                sleep(CLOSE_GRACE).await;
                return None;
            }
            if is_whole && settings.cancel_on_close && is_closed(stream).await {
                return None;
            }
        }
    }

    fn refusal(&self, error: &http_types::Error) -> StatusCode {
        if self.bytes.load(Ordering::Relaxed) > MAX_HEAD_BYTES {
            return StatusCode::RequestHeaderFieldsTooLarge;
        }
        match error.status() {
            StatusCode::InternalServerError => StatusCode::BadRequest,
            status => status,
        }
    }
}

/// A connection that fails to read on when the head of a request grows too long.
#[derive(Clone, Debug)]
struct GuardedStream {
    stream: TcpStream,
    progress: Arc<HeadProgress>,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.progress.is_whole.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(n));
        }
        let bytes = self.progress.bytes.fetch_add(n, Ordering::Relaxed) + n;
        match bytes > MAX_HEAD_BYTES {
            true => Poll::Ready(Err(io::Error::other("request head is too long"))),
            false => Poll::Ready(Ok(n)),
        }
    }
}

impl AsyncWrite for GuardedStream {
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

/// Returns whether the peer closed the connection.
///
/// Bytes that wait to be read, of a body or a next request, hide a close until they are read.
async fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = future::poll_once(stream.peek(&mut byte)).await;
    matches!(peeked, Some(Ok(0) | Err(_)))
}

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

struct OpenGuard {
    open: Arc<AtomicUsize>,
    count: usize,
}

impl OpenGuard {
    fn new(open: &Arc<AtomicUsize>) -> OpenGuard {
        OpenGuard {
            count: open.fetch_add(1, Ordering::Relaxed) + 1,
            open: open.clone(),
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
