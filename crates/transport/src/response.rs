//! Responses that the client receives.
//!
//! Heads and bodies are read by [`h1`](crate::h1), so that one set of rules determines what counts as
//! a response. This module only converts them to the types of the HTTP library.

use crate::h1::connection::{Result, malformed};
use crate::h1::{BodyDecoder, Connection, Framing, ReadError, ReadLimits, ResponseHead};
use crate::h1::{Headers, frame_response};
use async_std::net::TcpStream;
use futures_lite::{AsyncBufRead, AsyncRead, ready};
use http_types::{Body, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// Reads the head of the response to a request with `method`; its body streams from `stream`.
///
/// Sets `is_reusable` once the response is whole, if the stream may carry another request.
///
/// # Errors
///
/// Returns a [`ReadError`] if the head is not whole or malformed, if the end of the body is not
/// declared, or if the HTTP library cannot represent the head.
pub(crate) async fn read(
    stream: TcpStream,
    method: &str,
    is_reusable: Arc<AtomicBool>,
) -> Result<Response> {
    let mut connection = Connection::with_options_unchanged(stream);
    let head = connection.read_response(&ReadLimits::default()).await?;
    let framing = frame_response(&head, method).map_err(malformed)?;
    let mut response = convert(&head)?;
    let declared = match framing {
        Framing::Empty => Some(0),
        Framing::Length(length) => Some(usize::try_from(length).map_err(malformed)?),
        Framing::Chunked => None,
        Framing::UntilClose => return Err(malformed("neither length nor chunks")),
    };
    let reader = BodyReader {
        decoder: BodyDecoder::new(framing, usize::MAX)?,
        connection,
        is_keep_alive: head.is_keep_alive(),
        is_reusable,
    };
    reader.note_end();
    if declared != Some(0) {
        response.set_body(Body::from_reader(reader, declared));
    }
    Ok(response)
}

fn convert(head: &ResponseHead) -> Result<Response> {
    let status = StatusCode::try_from(head.status).map_err(malformed)?;
    let mut response = Response::new(status);
    copy_fields(&head.headers, &mut response)?;
    Ok(response)
}

/// The library panics when it is given a value that is not ASCII.
fn copy_fields(headers: &Headers, response: &mut Response) -> Result<()> {
    for (name, value) in headers.iter() {
        if !value.is_ascii() {
            return Err(malformed(format!("value of {name} is not ASCII")));
        }
        response.append_header(name, value);
    }
    Ok(())
}

/// Body that is read from its connection.
#[derive(Debug)]
struct BodyReader {
    connection: Connection,
    decoder: BodyDecoder,
    is_keep_alive: bool,
    is_reusable: Arc<AtomicBool>,
}

impl BodyReader {
    fn note_end(&self) {
        let is_clean = self.decoder.is_ended() && !self.connection.has_buffered_bytes();
        if is_clean && self.is_keep_alive {
            self.is_reusable.store(true, Ordering::Relaxed);
        }
    }
}

impl AsyncBufRead for BodyReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let polled = ready!(this.decoder.poll_next(cx, &mut this.connection));
        let length = polled.map_err(into_io_error)?;
        if length == 0 {
            this.note_end();
        }
        Poll::Ready(Ok(&this.connection.buffered()[..length]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        let this = &mut *self;
        this.decoder.consume(&mut this.connection, amount);
        this.note_end();
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let length = available.len().min(buf.len());
        buf[..length].copy_from_slice(&available[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}

fn into_io_error(error: ReadError) -> io::Error {
    let kind = match error {
        ReadError::Closed | ReadError::Truncated => io::ErrorKind::UnexpectedEof,
        ReadError::Failed { source } => return source,
        _ => io::ErrorKind::InvalidData,
    };
    io::Error::new(kind, error)
}
