//! Message bodies, buffered up to a limit and streamed beyond it.
//!
//! A body that ends before its declared length produces an error, so a truncated body is never
//! taken for a complete one.

use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, ready};
use http_types::Body;
use rf_base::Millis;
use rf_transport::timer::timeout;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body that a daemon forwards.
#[derive(Debug)]
pub enum Payload {
    /// The complete body, held in memory; it can be sent more than once.
    Buffered(Vec<u8>),
    /// A body longer than the buffer limit, including the bytes read so far; it can be sent once.
    Streamed(Body),
}

/// Reason for which a body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// No data arrived for longer than the maximum pause.
    Slow,
    /// The declared length exceeds the size limit.
    TooLarge,
    /// The body ended early, its length differs from the declared one, or its chunks are invalid.
    Malformed,
}

/// Limits on a body that is read.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size of a body that is buffered, in bytes; a longer one is streamed.
    pub buffer_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_bytes: u64,
    /// Maximum time without new data while the body is buffered.
    pub max_pause: Millis,
}

/// Reads a body into memory, or only its start if it exceeds the buffer limit and is streamed.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body stalls, declares too great a length, or is malformed. A
/// streamed body that exceeds `max_bytes` or ends early fails later, when it is read.
pub async fn read_payload(body: Body, limits: BodyLimits) -> Result<Payload, BodyError> {
    let declared = body.len();
    if declared.is_some_and(|n| n as u64 > limits.max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut body = body;
    if declared.is_some_and(|n| n > limits.buffer_bytes) {
        let reader = CheckedReader::new(body, declared, limits.max_bytes);
        return Ok(Payload::Streamed(Body::from_reader(reader, declared)));
    }
    let mut read = Vec::new();
    let mut chunk = vec![0; limits.buffer_bytes.min(16 * 1024)];
    while read.len() <= limits.buffer_bytes {
        let n = timeout(limits.max_pause, body.read(&mut chunk))
            .await
            .map_err(|_| BodyError::Slow)?
            .map_err(|_| BodyError::Malformed)?;
        if n == 0 {
            return match declared {
                Some(d) if d != read.len() => Err(BodyError::Malformed),
                _ => Ok(Payload::Buffered(read)),
            };
        }
        read.extend_from_slice(&chunk[..n]);
    }
    let rest = CheckedReader::new(
        body,
        None,
        limits.max_bytes.saturating_sub(read.len() as u64),
    );
    let chained = futures_lite::io::BufReader::new(futures_lite::io::Cursor::new(read).chain(rest));
    Ok(Payload::Streamed(Body::from_reader(chained, None)))
}

/// Reader that fails if its source ends before the declared length or exceeds a size limit.
#[derive(Debug)]
pub struct CheckedReader<R> {
    source: R,
    declared: Option<u64>,
    read: u64,
    max_bytes: u64,
}

impl<R> CheckedReader<R> {
    /// Creates a reader that expects at least `declared` bytes, if given, and at most `max_bytes`.
    pub fn new(source: R, declared: Option<usize>, max_bytes: u64) -> CheckedReader<R> {
        CheckedReader {
            source,
            declared: declared.map(|n| n as u64),
            read: 0,
            max_bytes,
        }
    }

    fn check(&self, n: usize) -> io::Result<()> {
        if n == 0 && self.declared.is_some_and(|d| self.read < d) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if self.read + n as u64 > self.max_bytes {
            return Err(io::Error::other("body exceeds its limit"));
        }
        Ok(())
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for CheckedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.source).poll_read(cx, buf))?;
        if !buf.is_empty() {
            self.check(n)?;
        }
        self.read += n as u64;
        Poll::Ready(Ok(n))
    }
}

impl<R: AsyncBufRead + Unpin> AsyncBufRead for CheckedReader<R> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let (declared, read, max_bytes) = (this.declared, this.read, this.max_bytes);
        let buf = ready!(Pin::new(&mut this.source).poll_fill_buf(cx))?;
        if buf.is_empty() && declared.is_some_and(|d| read < d) {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        if read + buf.len() as u64 > max_bytes {
            return Poll::Ready(Err(io::Error::other("body exceeds its limit")));
        }
        Poll::Ready(Ok(buf))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.read += amount as u64;
        Pin::new(&mut self.source).consume(amount);
    }
}

/// Callback for the end of a streamed body.
pub trait OnEnd: Unpin + Send + Sync + 'static {
    /// Called once at the end of the body; `is_complete` is false if the body failed or its reader
    /// was dropped before the end.
    fn end(&mut self, is_complete: bool);
}

/// Reader that calls an [`OnEnd`] once, at the end of its source or when it is dropped before that.
#[derive(Debug)]
pub struct EndNotifier<R, E: OnEnd> {
    source: R,
    on_end: Option<E>,
}

impl<R, E: OnEnd> EndNotifier<R, E> {
    /// Creates a reader of `source` that reports the end to `on_end`.
    pub fn new(source: R, on_end: E) -> EndNotifier<R, E> {
        EndNotifier {
            source,
            on_end: Some(on_end),
        }
    }

    fn report(&mut self, is_complete: bool) {
        if let Some(mut on_end) = self.on_end.take() {
            on_end.end(is_complete);
        }
    }
}

impl<R: AsyncBufRead + Unpin, E: OnEnd> AsyncBufRead for EndNotifier<R, E> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        match Pin::new(&mut this.source).poll_fill_buf(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => {
                if let Some(mut on_end) = this.on_end.take() {
                    on_end.end(false);
                }
                Poll::Ready(Err(error))
            }
            Poll::Ready(Ok(buf)) => {
                if buf.is_empty()
                    && let Some(mut on_end) = this.on_end.take()
                {
                    on_end.end(true);
                }
                Poll::Ready(Ok(buf))
            }
        }
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.source).consume(amount);
    }
}

impl<R: AsyncBufRead + Unpin, E: OnEnd> AsyncRead for EndNotifier<R, E> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let n = available.len().min(buf.len());
        buf[..n].copy_from_slice(&available[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}

impl<R, E: OnEnd> Drop for EndNotifier<R, E> {
    fn drop(&mut self) {
        self.report(false);
    }
}
