//! One connection that carries messages.

use super::framing::Framing;
use super::head::{Headers, RequestHead, ResponseHead};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::poll_once;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rf_base::Millis;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Instant;

/// Header fields in one head at most.
const MAX_FIELDS: usize = 96;
/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;
/// Reads after which a reader lets other tasks run, though more bytes wait.
const FILLS: u32 = 16;
/// Longest line that announces a chunk.
const MAX_CHUNK_LINE: usize = 256;
/// Interim responses that are skipped before the final one.
const MAX_INTERIM: usize = 16;
/// Trailer fields after a chunked body at most.
const MAX_TRAILERS: usize = 64;
/// Unacknowledged time after which the kernel gives a connection up.
const USER_TIMEOUT: Millis = Millis(1500);
/// Idle time before, and between, keep-alive probes; the kernel counts in whole seconds.
const PROBE_INTERVAL: Millis = Millis(1000);
/// Unanswered probes after which the kernel gives a connection up.
const PROBES: u32 = 2;

/// Bounds on what is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
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

/// Budget of bytes that messages may take together.
pub trait ByteBudget {
    /// Takes `bytes` more; returns `false` where that is too much.
    fn try_take(&self, bytes: usize) -> bool;
}

/// A budget without end, for readers whose other limits suffice.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedBytes;

impl ByteBudget for UnlimitedBytes {
    fn try_take(&self, _bytes: usize) -> bool {
        true
    }
}

/// A body as it is read.
struct Sink<'a, M> {
    body: Vec<u8>,
    limit: usize,
    budget: &'a M,
}

impl<M: ByteBudget> Sink<'_, M> {
    fn extend(&mut self, bytes: &[u8]) -> Result<()> {
        let fits = self.body.len().saturating_add(bytes.len()) <= self.limit;
        if !fits || !self.budget.try_take(bytes.len()) {
            return Err(ReadError::BodyTooLarge { limit: self.limit });
        }
        self.body.extend_from_slice(bytes);
        Ok(())
    }
}

/// Error of a read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The peer closed the connection between messages.
    #[snafu(display("connection closed"))]
    Closed,
    /// The connection ended inside a message.
    #[snafu(display("connection ended inside a message"))]
    Truncated,
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Failed {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The bytes are no message.
    #[snafu(display("malformed message: {message}"))]
    Malformed {
        /// What was expected.
        message: String,
    },
    /// The head exceeds the limit.
    #[snafu(display("head exceeds {limit} bytes"))]
    HeadTooLarge {
        /// The limit.
        limit: usize,
    },
    /// The body exceeds the limit.
    #[snafu(display("body exceeds {limit} bytes"))]
    BodyTooLarge {
        /// The limit.
        limit: usize,
    },
}

/// Result of a read.
pub type Result<T> = std::result::Result<T, ReadError>;

/// A TCP connection with the bytes that were read and not yet used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    used: usize,
    fills: u32,
    idle_since: Instant,
}

impl Connection {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Connection {
        prepare(&stream);
        Connection {
            stream,
            buffer: Vec::new(),
            used: 0,
            fills: 0,
            idle_since: Instant::now(),
        }
    }

    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or one of kind `TimedOut`.
    pub async fn open(address: SocketAddr, limit: Millis) -> std::io::Result<Connection> {
        let stream = timeout(limit.duration(), TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| std::io::ErrorKind::TimedOut)??;
        Ok(Connection::new(stream))
    }

    /// Returns the time for which the connection has carried nothing.
    pub fn idle_time(&self) -> Millis {
        Millis(self.idle_since.elapsed().as_millis() as u64)
    }

    /// Marks the connection as idle from now on.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether bytes wait that no message has used.
    pub fn has_buffered_bytes(&self) -> bool {
        self.used < self.buffer.len()
    }

    /// Returns whether the connection is open and nothing arrived on it while it was idle.
    pub async fn is_reusable(&mut self) -> bool {
        if self.has_buffered_bytes() {
            return false;
        }
        let mut byte = [0];
        poll_once(self.stream.read(&mut byte)).await.is_none()
    }

    /// Returns a second handle to the stream, to write while an answer is read.
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

    /// Waits for the first byte of the next message.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Closed`] where the peer closed, or the failure of the connection.
    pub async fn wait_readable(&mut self) -> Result<()> {
        match self.has_buffered_bytes() {
            true => Ok(()),
            false => match self.fill().await? {
                0 => Err(ReadError::Closed),
                _ => Ok(()),
            },
        }
    }

    /// Resolves when the peer has closed the connection or it failed.
    ///
    /// Bytes that arrive meanwhile are kept for the next message, up to `limit`; a peer that sends
    /// more is not read any further.
    pub async fn wait_closed(&mut self, limit: usize) {
        loop {
            if self.buffer.len() - self.used >= limit {
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
    /// Returns a [`ReadError`]; [`ReadError::Closed`] where the peer closed before the first byte.
    pub async fn read_request(&mut self, limits: &ReadLimits) -> Result<RequestHead> {
        loop {
            if self.has_buffered_bytes()
                && let Some((head, length)) = parse_request(self.unused())?
            {
                self.advance(length);
                return Ok(head);
            }
            self.fill_head(limits).await?;
        }
    }

    /// Reads the head of a response; interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`]; [`ReadError::Closed`] where the peer closed before the first byte.
    pub async fn read_response(&mut self, limits: &ReadLimits) -> Result<ResponseHead> {
        let mut interim = 0;
        loop {
            if self.has_buffered_bytes()
                && let Some((head, length)) = parse_response(self.unused())?
            {
                self.advance(length);
                if !(100..200).contains(&head.status) {
                    return Ok(head);
                }
                interim += 1;
                if interim > MAX_INTERIM {
                    return Err(malformed("interim responses without end"));
                }
                continue;
            }
            self.fill_head(limits).await?;
        }
    }

    async fn fill_head(&mut self, limits: &ReadLimits) -> Result<()> {
        if self.unused().len() >= limits.head {
            return Err(ReadError::HeadTooLarge { limit: limits.head });
        }
        let is_start = !self.has_buffered_bytes();
        match self.fill().await? {
            0 if is_start => Err(ReadError::Closed),
            0 => Err(ReadError::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] where the body breaks off, is malformed or too long.
    pub async fn read_body(&mut self, framing: Framing, limits: &ReadLimits) -> Result<Vec<u8>> {
        self.read_budgeted(framing, limits, &UnlimitedBytes).await
    }

    /// Reads a whole body whose bytes are taken from a budget as they come.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] where the body breaks off, is malformed or too long, or where the
    /// budget is used up.
    pub async fn read_budgeted<M: ByteBudget>(
        &mut self,
        framing: Framing,
        limits: &ReadLimits,
        budget: &M,
    ) -> Result<Vec<u8>> {
        let mut sink = Sink {
            body: Vec::new(),
            limit: limits.body,
            budget,
        };
        match framing {
            Framing::Empty => {}
            Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                if length > sink.limit {
                    return Err(ReadError::BodyTooLarge { limit: sink.limit });
                }
                sink.body.reserve(length.min(READ_BYTES * 8));
                self.read_into(&mut sink, length).await?;
            }
            Framing::Chunked => self.read_chunks(&mut sink).await?,
            Framing::UntilClose => self.read_rest(&mut sink).await?,
        }
        Ok(sink.body)
    }

    /// Moves `length` bytes to the end of `sink`.
    async fn read_into<M: ByteBudget>(
        &mut self,
        sink: &mut Sink<'_, M>,
        length: usize,
    ) -> Result<()> {
        let mut missing = length;
        while missing > 0 {
            if !self.has_buffered_bytes() && self.fill().await? == 0 {
                return Err(ReadError::Truncated);
            }
            let unused = self.unused();
            let taken = unused.len().min(missing);
            sink.extend(&unused[..taken])?;
            self.advance(taken);
            missing -= taken;
        }
        Ok(())
    }

    async fn read_rest<M: ByteBudget>(&mut self, sink: &mut Sink<'_, M>) -> Result<()> {
        loop {
            sink.extend(self.unused())?;
            self.advance(self.unused().len());
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    async fn read_chunks<M: ByteBudget>(&mut self, sink: &mut Sink<'_, M>) -> Result<()> {
        loop {
            let length = parse_chunk_length(&self.read_line().await?)?;
            if length == 0 {
                break;
            }
            if sink.body.len().saturating_add(length) > sink.limit {
                return Err(ReadError::BodyTooLarge { limit: sink.limit });
            }
            self.read_into(sink, length).await?;
            if !self.read_line().await?.is_empty() {
                return Err(malformed("chunk longer than announced"));
            }
        }
        for _ in 0..=MAX_TRAILERS {
            if self.read_line().await?.is_empty() {
                return Ok(());
            }
        }
        Err(malformed("trailers without end"))
    }

    async fn read_line(&mut self) -> Result<Vec<u8>> {
        loop {
            let unused = self.unused();
            if let Some(end) = unused.windows(2).position(|w| w == b"\r\n") {
                let line = unused[..end].to_vec();
                self.advance(end + 2);
                return Ok(line);
            }
            if unused.len() > MAX_CHUNK_LINE {
                return Err(malformed("endless line in a chunked body"));
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    fn unused(&self) -> &[u8] {
        &self.buffer[self.used..]
    }

    fn advance(&mut self, length: usize) {
        self.used += length;
        if self.used == self.buffer.len() {
            self.buffer.clear();
            self.used = 0;
        }
    }

    /// Reads more bytes; returns how many.
    async fn fill(&mut self) -> Result<usize> {
        // A peer that sends without pause must not keep the reader from its own time limit.
        self.fills = self.fills.wrapping_add(1);
        if self.fills.is_multiple_of(FILLS) {
            task::yield_now().await;
        }
        if self.used > 0 {
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let result = Filling {
            connection: self,
            length,
        }
        .read()
        .await;
        result.map_err(|source| ReadError::Failed { source })
    }
}

/// A read under way; leaves the buffer as long as the bytes in it, also when it is dropped.
struct Filling<'a> {
    connection: &'a mut Connection,
    length: usize,
}

impl Filling<'_> {
    async fn read(mut self) -> std::io::Result<usize> {
        let length = self.length;
        let connection = &mut *self.connection;
        let read = connection
            .stream
            .read(&mut connection.buffer[length..])
            .await?;
        self.length += read;
        Ok(read)
    }
}

impl Drop for Filling<'_> {
    fn drop(&mut self) {
        self.connection.buffer.truncate(self.length);
    }
}

/// Sets the options that show a peer which went silent.
fn prepare(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL.duration())
        .with_interval(PROBE_INTERVAL.duration())
        .with_retries(PROBES);
    // A kernel that lacks an option leaves detection to the caller's own bounds.
    socket.set_tcp_keepalive(&keepalive).ok();
    socket
        .set_tcp_user_timeout(Some(USER_TIMEOUT.duration()))
        .ok();
}

fn malformed(message: impl ToString) -> ReadError {
    ReadError::Malformed {
        message: message.to_string(),
    }
}

fn parse_chunk_length(line: &[u8]) -> Result<usize> {
    let text = std::str::from_utf8(line).map_err(malformed)?;
    let digits = text.split(';').next().unwrap_or("").trim();
    let is_hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    match is_hex {
        true => usize::from_str_radix(digits, 16).map_err(malformed),
        false => Err(malformed("chunk without a length")),
    }
}

fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
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
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
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
