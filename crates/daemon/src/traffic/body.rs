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
    Whole(Vec<u8>),
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
    Broken,
}

/// Limits on a caller's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Bytes that are held whole.
    pub buffer: usize,
    /// Bytes that are taken at all.
    pub max: u64,
    /// Longest pause.
    pub pause: Millis,
}

/// Reads a body whole, or up to the limit beyond which it is streamed.
///
/// # Errors
///
/// Returns a [`BodyError`] for a body that is slow, too long, or broken.
pub async fn read_payload(body: Body, limits: BodyLimits) -> Result<Payload, BodyError> {
    let declared = body.len();
    if declared.is_some_and(|n| n as u64 > limits.max) {
        return Err(BodyError::TooLarge);
    }
    let mut body = body;
    if declared.is_some_and(|n| n > limits.buffer) {
        let reader = ExactReader::new(body, declared, limits.max);
        return Ok(Payload::Streamed(Body::from_reader(reader, declared)));
    }
    let mut read = Vec::new();
    let mut chunk = vec![0; limits.buffer.min(16 * 1024)];
    while read.len() <= limits.buffer {
        let n = timeout(limits.pause, body.read(&mut chunk))
            .await
            .map_err(|_| BodyError::Slow)?
            .map_err(|_| BodyError::Broken)?;
        if n == 0 {
            return match declared {
                Some(d) if d != read.len() => Err(BodyError::Broken),
                _ => Ok(Payload::Whole(read)),
            };
        }
        read.extend_from_slice(&chunk[..n]);
    }
    let rest = ExactReader::new(body, None, limits.max.saturating_sub(read.len() as u64));
    let whole = futures_lite::io::BufReader::new(futures_lite::io::Cursor::new(read).chain(rest));
    Ok(Payload::Streamed(Body::from_reader(whole, None)))
}

/// A reader that fails where its source ends before the declared length, or exceeds a limit.
#[derive(Debug)]
pub struct ExactReader<R> {
    source: R,
    declared: Option<u64>,
    read: u64,
    max: u64,
}

impl<R> ExactReader<R> {
    /// Makes a reader of `declared` bytes, or of any number up to `max`.
    pub fn new(source: R, declared: Option<usize>, max: u64) -> ExactReader<R> {
        ExactReader {
            source,
            declared: declared.map(|n| n as u64),
            read: 0,
            max,
        }
    }

    fn check(&self, n: usize) -> io::Result<()> {
        if n == 0 && self.declared.is_some_and(|d| self.read < d) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if self.read + n as u64 > self.max {
            return Err(io::Error::other("body exceeds its limit"));
        }
        Ok(())
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for ExactReader<R> {
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

impl<R: AsyncBufRead + Unpin> AsyncBufRead for ExactReader<R> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let (declared, read, max) = (this.declared, this.read, this.max);
        let buf = ready!(Pin::new(&mut this.source).poll_fill_buf(cx))?;
        if buf.is_empty() && declared.is_some_and(|d| read < d) {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        if read + buf.len() as u64 > max {
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
    fn end(&mut self, is_whole: bool);
}

/// A reader that reports the end of its source, also when it is dropped before.
#[derive(Debug)]
pub struct EndingReader<R, E: OnEnd> {
    source: R,
    on_end: Option<E>,
}

impl<R, E: OnEnd> EndingReader<R, E> {
    /// Makes a reader that calls `on_end` once.
    pub fn new(source: R, on_end: E) -> EndingReader<R, E> {
        EndingReader {
            source,
            on_end: Some(on_end),
        }
    }

    fn report(&mut self, is_whole: bool) {
        if let Some(mut on_end) = self.on_end.take() {
            on_end.end(is_whole);
        }
    }
}

impl<R: AsyncBufRead + Unpin, E: OnEnd> AsyncBufRead for EndingReader<R, E> {
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

impl<R: AsyncBufRead + Unpin, E: OnEnd> AsyncRead for EndingReader<R, E> {
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

impl<R, E: OnEnd> Drop for EndingReader<R, E> {
    fn drop(&mut self) {
        self.report(false);
    }
}
