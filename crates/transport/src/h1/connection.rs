//! A TCP connection that carries HTTP/1.1 messages.

use super::body::{BodyDecoder, MAX_CHUNK_LINE_BYTES};
use super::budget::{ByteBudget, UnlimitedBytes};
use super::framing::Framing;
use super::head::{Headers, RequestHead, ResponseHead};
use super::history::RequestHistory;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::{poll_fn, poll_once};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ready};
use rf_base::Millis;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

/// Maximum number of header fields in one head.
const MAX_HEADERS: usize = 128;
/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// Maximum size of one segment of a body that is being read. A single growing buffer is copied as it
/// grows, and the allocator keeps the blocks it outgrows: bodies of 32 MiB in total then hold up to
/// 207 MiB.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Number of reads after which the reader yields to other tasks, even if more bytes are available.
const READS_PER_YIELD: u32 = 16;
/// Maximum number of interim (1xx) responses that are skipped before the final response.
const MAX_INTERIM: usize = 16;
/// Time without acknowledgement of sent data after which the kernel closes a connection.
const TCP_USER_TIMEOUT: Millis = Millis(1500);
/// Idle time before the first keep-alive probe, and interval between probes. The kernel counts
/// whole seconds only.
const KEEPALIVE_INTERVAL: Millis = Millis(1000);
/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Size limits of a message.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Maximum size of the head, in bytes.
    pub head: usize,
    /// Maximum size of the body, in bytes.
    pub body: usize,
}

impl Default for ReadLimits {
    fn default() -> Self {
        ReadLimits {
            head: 64 * 1024,
            body: 64 * 1024 * 1024,
        }
    }
}

/// Destination of a body, which takes its bytes from a budget.
struct Sink<'a, B> {
    /// Segments that are full, in order.
    full: Vec<Vec<u8>>,
    /// Segment that is being filled.
    last: Vec<u8>,
    budget: &'a B,
}

impl<B: ByteBudget> Sink<'_, B> {
    fn extend(&mut self, bytes: &[u8]) -> Result<()> {
        if !self.budget.try_take(bytes.len()) {
            return Err(ReadError::OutOfMemory);
        }
        if !self.last.is_empty() && self.last.len() + bytes.len() > SEGMENT_BYTES {
            let next = Vec::with_capacity(SEGMENT_BYTES);
            self.full.push(std::mem::replace(&mut self.last, next));
        }
        self.last.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the whole body; a body of one segment is not copied.
    fn into_body(mut self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        self.full.push(self.last);
        self.full.concat()
    }
}

/// Error of reading a message.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The peer closed the connection between messages.
    #[snafu(display("connection closed"))]
    Closed,
    /// The connection was closed within a message.
    #[snafu(display("connection ended inside a message"))]
    Truncated,
    /// The operating system reported an error of the connection.
    #[snafu(display("connection failed: {source}"))]
    Failed {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The bytes are not a valid message.
    #[snafu(display("malformed message: {message}"))]
    Malformed {
        /// Description of the error.
        message: String,
    },
    /// The head exceeds its limit.
    #[snafu(display("head exceeds {limit} bytes"))]
    HeadTooLarge {
        /// Size limit, in bytes.
        limit: usize,
    },
    /// The message exceeds the memory budget that it shares with others.
    #[snafu(display("the memory budget for messages is used up"))]
    OutOfMemory,
    /// The body exceeds its limit.
    #[snafu(display("body exceeds {limit} bytes"))]
    BodyTooLarge {
        /// Size limit, in bytes.
        limit: usize,
    },
}

/// Result of reading from a connection.
pub type Result<T> = std::result::Result<T, ReadError>;

/// Message that is written while the connection is read.
#[derive(Debug, Default)]
struct Outgoing {
    bytes: Vec<u8>,
    written: usize,
    error: Option<std::io::Error>,
}

/// A TCP connection with a buffer of bytes that have been read but not consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been consumed.
    consumed: usize,
    /// Number of reads since the reader last yielded.
    reads: u32,
    idle_since: Instant,
    /// Message that is written while the connection is read.
    outgoing: Outgoing,
    /// Requests sent on the connection, if its user records them.
    history: RequestHistory,
}

impl Connection {
    /// Wraps an established connection and sets its socket options.
    pub fn new(stream: TcpStream) -> Connection {
        set_options(&stream);
        Connection::with_options_unchanged(stream)
    }

    /// Wraps an established connection whose socket options are set already.
    pub(crate) fn with_options_unchanged(stream: TcpStream) -> Connection {
        Connection {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            reads: 0,
            idle_since: Instant::now(),
            outgoing: Outgoing::default(),
            history: RequestHistory::default(),
        }
    }

    /// Establishes a connection to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or an error of kind `TimedOut` after `limit`.
    pub async fn open(address: SocketAddr, limit: Millis) -> std::io::Result<Connection> {
        let stream = timeout(limit.duration(), TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| std::io::ErrorKind::TimedOut)??;
        Ok(Connection::new(stream))
    }

    /// Returns the time since the connection was created or last marked as idle.
    pub fn idle_time(&self) -> Millis {
        Millis(self.idle_since.elapsed().as_millis() as u64)
    }

    /// Marks the connection as idle from now on.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns the requests that were recorded as sent on the connection.
    pub fn history(&self) -> &RequestHistory {
        &self.history
    }

    /// Records that the request whose id has the hash `request` is about to be sent.
    pub fn record_request(&mut self, request: u64) {
        self.history.record(request);
    }

    /// Returns whether bytes have been read that are not part of a message read so far.
    pub fn has_buffered_bytes(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// Returns whether an idle connection is open and nothing has arrived on it.
    pub async fn is_reusable(&mut self) -> bool {
        if self.has_buffered_bytes() {
            return false;
        }
        let mut byte = [0];
        poll_once(self.stream.read(&mut byte)).await.is_none()
    }

    /// Returns another handle to the stream, to write while a message is being read.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Begins to write `bytes`. The rest is written while the connection is read, because the peer
    /// may answer before it has read everything.
    pub fn begin_write(&mut self, bytes: Vec<u8>) {
        self.outgoing = Outgoing {
            bytes,
            ..Outgoing::default()
        };
    }

    /// Returns whether everything passed to [`Connection::begin_write`] has been written.
    pub fn is_sent(&self) -> bool {
        self.outgoing.bytes.is_empty() && self.outgoing.error.is_none()
    }

    /// Continues to write what [`Connection::begin_write`] began.
    fn poll_outgoing(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let outgoing = &mut self.outgoing;
        while outgoing.written < outgoing.bytes.len() {
            let rest = &outgoing.bytes[outgoing.written..];
            match ready!(Pin::new(&mut self.stream).poll_write(cx, rest)) {
                Ok(written) if written > 0 => outgoing.written += written,
                result => {
                    let closed = std::io::ErrorKind::WriteZero.into();
                    outgoing.error = Some(result.err().unwrap_or(closed));
                    break;
                }
            }
        }
        outgoing.bytes = Vec::new();
        outgoing.written = 0;
        Poll::Ready(())
    }

    /// Waits until the outgoing message has been written, after the peer has ended its direction.
    ///
    /// The end of the stream alone does not prove that the peer sent all that it meant to: a write
    /// that fails takes the error of the socket with it, and the read after it sees an ordinary end.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Failed`] if the connection has failed in either direction.
    pub(super) fn poll_clean_end(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_outgoing(cx));
        let pending = SockRef::from(&self.stream)
            .take_error()
            .unwrap_or_else(Some);
        let error = self.outgoing.error.take().or(pending);
        Poll::Ready(match error {
            Some(source) => Err(ReadError::Failed { source }),
            None => Ok(()),
        })
    }

    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Closed`] if the peer has closed the connection, or
    /// [`ReadError::Failed`].
    pub async fn wait_readable(&mut self) -> Result<()> {
        match self.has_buffered_bytes() {
            true => Ok(()),
            false => match self.fill().await? {
                0 => Err(ReadError::Closed),
                _ => Ok(()),
            },
        }
    }

    /// Waits until the peer has closed the connection or the connection has failed.
    ///
    /// Bytes that arrive in the meantime are buffered for the next message. Once `limit` bytes are
    /// buffered, nothing more is read and the future stays pending.
    pub async fn wait_closed(&mut self, limit: usize) {
        loop {
            if self.buffer.len() - self.consumed >= limit {
                futures_lite::future::pending::<()>().await;
            }
            match self.fill().await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`]; [`ReadError::Closed`] if the peer closed the connection before the
    /// first byte.
    pub async fn read_request(&mut self, limits: &ReadLimits) -> Result<RequestHead> {
        loop {
            if self.has_buffered_bytes()
                && let Some((head, length)) = parse_request(self.buffered())?
            {
                self.consume(length);
                return Ok(head);
            }
            self.fill_head(limits).await?;
        }
    }

    /// Reads the head of the final response; interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`]; [`ReadError::Closed`] if the peer closed the connection before the
    /// first byte.
    pub async fn read_response(&mut self, limits: &ReadLimits) -> Result<ResponseHead> {
        self.read_response_budgeted(limits, &UnlimitedBytes).await
    }

    /// Reads a head like [`Connection::read_response`] and takes the bytes that arrive meanwhile from
    /// `budget`.
    ///
    /// # Errors
    ///
    /// Returns the same errors, and [`ReadError::OutOfMemory`] if the budget is exhausted.
    pub async fn read_response_budgeted<B: ByteBudget>(
        &mut self,
        limits: &ReadLimits,
        budget: &B,
    ) -> Result<ResponseHead> {
        let mut interim = 0;
        loop {
            if self.has_buffered_bytes()
                && let Some((head, length)) = parse_response(self.buffered())?
            {
                self.consume(length);
                head.verify().map_err(malformed)?;
                if !head.is_interim() {
                    return Ok(head);
                }
                interim += 1;
                if interim > MAX_INTERIM {
                    return Err(malformed("too many interim responses"));
                }
                continue;
            }
            let read = self.fill_head(limits).await?;
            if !budget.try_take(read) {
                return Err(ReadError::OutOfMemory);
            }
        }
    }

    /// Reads more of a head and returns the number of bytes.
    async fn fill_head(&mut self, limits: &ReadLimits) -> Result<usize> {
        if self.buffered().len() >= limits.head {
            return Err(ReadError::HeadTooLarge { limit: limits.head });
        }
        let is_start = !self.has_buffered_bytes();
        match self.fill().await? {
            0 if is_start => Err(ReadError::Closed),
            0 => Err(ReadError::Truncated),
            read => Ok(read),
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the body is truncated, malformed or too long.
    pub async fn read_body(&mut self, framing: Framing, limits: &ReadLimits) -> Result<Vec<u8>> {
        self.read_budgeted(framing, limits, &UnlimitedBytes).await
    }

    /// Reads a complete body and takes its bytes from `budget` as they arrive.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the body is truncated, malformed or too long, or if the budget is
    /// exhausted.
    pub async fn read_budgeted<B: ByteBudget>(
        &mut self,
        framing: Framing,
        limits: &ReadLimits,
        budget: &B,
    ) -> Result<Vec<u8>> {
        let mut decoder = BodyDecoder::new(framing, limits.body)?;
        let mut sink = Sink {
            full: Vec::new(),
            last: Vec::new(),
            budget,
        };
        if let Framing::Length(length) = framing {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            sink.last.reserve(length.min(SEGMENT_BYTES));
        }
        loop {
            let length = poll_fn(|cx| decoder.poll_next(cx, self)).await?;
            if length == 0 {
                return Ok(sink.into_body());
            }
            sink.extend(&self.buffered()[..length])?;
            decoder.consume(self, length);
        }
    }

    /// Reads a line of a chunked body; returns it without its line end.
    pub(super) fn poll_line(&mut self, cx: &mut Context<'_>) -> Poll<Result<Vec<u8>>> {
        loop {
            let buffered = self.buffered();
            if let Some(end) = buffered.windows(2).position(|w| w == b"\r\n") {
                let line = buffered[..end].to_vec();
                self.consume(end + 2);
                return Poll::Ready(Ok(line));
            }
            if buffered.len() > MAX_CHUNK_LINE_BYTES {
                return Poll::Ready(Err(malformed("line of a chunked body is too long")));
            }
            if ready!(self.poll_fill(cx))? == 0 {
                return Poll::Ready(Err(ReadError::Truncated));
            }
        }
    }

    /// Returns the bytes that have been read but not consumed.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    pub(super) fn consume(&mut self, length: usize) {
        self.consumed += length;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads more bytes into the buffer and returns their number; 0 means the end of the stream.
    async fn fill(&mut self) -> Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Polls like [`Connection::fill`].
    pub(super) fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize>> {
        // Without yielding, a peer that sends continuously could keep the reader's own timeout from
        // being polled.
        if self.reads >= READS_PER_YIELD {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // A message that can't be written may have been answered all the same.
        let _ = self.poll_outgoing(cx);
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut self.buffer[length..]);
        let read = match &polled {
            Poll::Ready(Ok(read)) => *read,
            _ => 0,
        };
        self.buffer.truncate(length + read);
        let result = ready!(polled);
        self.reads += 1;
        Poll::Ready(result.map_err(|source| ReadError::Failed { source }))
    }
}

/// Sets the socket options: no delay, and detection of an unresponsive peer.
fn set_options(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL.duration())
        .with_interval(KEEPALIVE_INTERVAL.duration())
        .with_retries(KEEPALIVE_PROBES);
    // If the kernel does not support an option, only the timeouts of the caller detect such a peer.
    socket.set_tcp_keepalive(&keepalive).ok();
    socket
        .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.duration()))
        .ok();
}

pub(crate) fn malformed(message: impl ToString) -> ReadError {
    ReadError::Malformed {
        message: message.to_string(),
    }
}

fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = request.parse(bytes).map_err(malformed)? else {
        return Ok(None);
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        minor: request.version.unwrap_or(1),
        headers: copy_fields(request.headers),
    };
    Ok(Some((head, length)))
}

fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>> {
    // The parser skips blank lines, which are permitted before requests only.
    if matches!(bytes.first(), Some(b'\r' | b'\n')) {
        return Err(malformed("blank line before a response"));
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = response.parse(bytes).map_err(malformed)? else {
        return Ok(None);
    };
    let head = ResponseHead {
        status: response.code.unwrap_or_default(),
        minor: response.version.unwrap_or(1),
        headers: copy_fields(response.headers),
    };
    Ok(Some((head, length)))
}

fn copy_fields(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::new();
    for field in fields {
        headers.add_bytes(field.name, field.value);
    }
    headers
}
