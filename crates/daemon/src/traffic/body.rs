//! Bodies: held whole up to a limit, streamed beyond it, never cut short in silence.

use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, ready};
use http_types::Body;
use rf_base::Millis;
use rf_transport::timer::timeout;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body on its way through a daemon.
#[derive(Debug)]
pub enum Payload {
    /// All of it is here.
    Buffered(Vec<u8>),
    /// It is longer than the limit; what was read comes first.
    Streamed(Body),
}

/// Why a caller's body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It paused for too long.
    Slow,
    /// It is longer than allowed.
    TooLarge,
    /// It ended early, or its chunks make no sense.
    Malformed,
}

/// Limits on a caller's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Bytes that are held whole.
    pub buffer_bytes: usize,
    /// Bytes that are taken at all.
    pub max_bytes: u64,
    /// Longest pause.
    pub max_pause: Millis,
}

/// Reads a body whole, or up to the limit beyond which it is streamed.
///
/// # Errors
///
/// Returns a [`BodyError`] for a body that is slow, too long, or broken.
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

/// A reader that fails where its source ends before the declared length, or exceeds a limit.
#[derive(Debug)]
pub struct CheckedReader<R> {
    source: R,
    declared: Option<u64>,
    read: u64,
    max_bytes: u64,
}

impl<R> CheckedReader<R> {
    /// Makes a reader of `declared` bytes, or of any number up to `max`.
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

/// Something to be done when a streamed body ended.
pub trait OnEnd: Unpin + Send + Sync + 'static {
    /// Called once, with whether the body ended whole.
    fn end(&mut self, is_complete: bool);
}

/// A reader that reports the end of its source, also when it is dropped before.
#[derive(Debug)]
pub struct EndNotifier<R, E: OnEnd> {
    source: R,
    on_end: Option<E>,
}

impl<R, E: OnEnd> EndNotifier<R, E> {
    /// Makes a reader that calls `on_end` once.
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
