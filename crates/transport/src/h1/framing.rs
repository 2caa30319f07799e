//! How the end of a body is told (RFC 9112, section 6).
//!
//! A message whose length can be read in two ways is refused, because two proxies that read it
//! differently would disagree on where the next message begins.

use super::head::{RequestHead, ResponseHead};
use snafu::Snafu;

/// End of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Error for a message whose end cannot be told for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FramingError {
    /// A length that is no number, or several that differ.
    #[snafu(display("malformed or conflicting content-length"))]
    Length,
    /// A length beside chunks.
    #[snafu(display("content-length beside transfer-encoding"))]
    Both,
    /// A transfer coding other than chunked.
    #[snafu(display("unsupported transfer-encoding"))]
    Coding,
    /// No host, or several.
    #[snafu(display("request without exactly one host"))]
    Host,
}

/// Result of reading the framing.
pub type Result<T> = std::result::Result<T, FramingError>;

/// Returns how the body of a request ends.
///
/// # Errors
///
/// Returns a [`FramingError`] where the end is ambiguous, or the request names no single host.
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

/// Returns how the body of the response to a request with `method` ends.
///
/// # Errors
///
/// Returns a [`FramingError`] where the end is ambiguous.
pub fn frame_response(head: &ResponseHead, method: &str) -> Result<Framing> {
    let is_bodiless = matches!(head.status, 100..=199 | 204 | 304);
    if is_bodiless || method == "HEAD" {
        return Ok(Framing::Empty);
    }
    let is_chunked = is_chunked(head.headers.all("transfer-encoding"))?;
    let length = content_length(head.headers.all("content-length"))?;
    match (is_chunked, length) {
        (true, Some(_)) => Err(FramingError::Both),
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
