//! Body framing: how the end of a body is determined (RFC 9112, section 6).
//!
//! A message with ambiguous framing is refused. Two proxies that interpret it differently would
//! disagree on where the next message begins (request smuggling).

use super::head::{RequestHead, ResponseHead};
use snafu::Snafu;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has the given length, in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Error for a message whose framing is invalid or ambiguous, or whose host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FramingError {
    /// A content length is not a number, or several content lengths differ.
    #[snafu(display("malformed or conflicting content-length"))]
    Length,
    /// The message has both a content length and a transfer coding.
    #[snafu(display("content-length beside transfer-encoding"))]
    Both,
    /// A response that has no body by definition declares one.
    #[snafu(display("body declared by a response without one"))]
    Bodiless,
    /// The transfer coding is not exactly `chunked`, or HTTP/1.0 is used, which has none.
    #[snafu(display("unsupported transfer-encoding"))]
    Coding,
    /// The request has no host header or several.
    #[snafu(display("request without exactly one host"))]
    Host,
}

/// Result of determining the framing.
pub type Result<T> = std::result::Result<T, FramingError>;

/// Returns the framing of the body of a request.
///
/// # Errors
///
/// Returns a [`FramingError`] if the framing is invalid or ambiguous, or if the request does not
/// have exactly one host header.
pub fn frame_request(head: &RequestHead) -> Result<Framing> {
    if head.headers.all("host").count() != 1 {
        return Err(FramingError::Host);
    }
    let is_chunked = is_chunked(head.headers.all("transfer-encoding"))?;
    let length = content_length(head.headers.all("content-length"))?;
    match (is_chunked, length) {
        (true, Some(_)) => Err(FramingError::Both),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0)) | (false, None) => Ok(Framing::Empty),
        (false, Some(n)) => Ok(Framing::Length(n)),
    }
}

/// Returns the framing of the body of the response to a request with `method`.
///
/// # Errors
///
/// Returns a [`FramingError`] if the framing is invalid or ambiguous.
pub fn frame_response(head: &ResponseHead, method: &str) -> Result<Framing> {
    let is_chunked = is_chunked(head.headers.all("transfer-encoding"))?;
    let length = content_length(head.headers.all("content-length"))?;
    match (is_chunked, length) {
        (true, Some(_)) => Err(FramingError::Both),
        (true, None) if head.minor == 0 => Err(FramingError::Coding),
        // These fields may describe the response to GET or one that is not 304.
        _ if method == "HEAD" || head.status == 304 => Ok(Framing::Empty),
        (is_chunked, length) if head.is_bodiless() => {
            match is_chunked || length.is_some_and(|n| n > 0) {
                true => Err(FramingError::Bodiless),
                false => Ok(Framing::Empty),
            }
        }
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0)) => Ok(Framing::Empty),
        (false, Some(n)) => Ok(Framing::Length(n)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn is_chunked<'a>(mut codings: impl Iterator<Item = &'a str>) -> Result<bool> {
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(c), None) if c.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(FramingError::Coding),
    }
}

fn content_length<'a>(lengths: impl Iterator<Item = &'a str>) -> Result<Option<u64>> {
    let mut found = None;
    for text in lengths {
        let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length: u64 = match is_number {
            true => text.parse().map_err(|_| FramingError::Length)?,
            false => return Err(FramingError::Length),
        };
        if found.is_some_and(|f| f != length) {
            return Err(FramingError::Length);
        }
        found = Some(length);
    }
    Ok(found)
}
