//! Decoding of message bodies.
//!
//! [`BodyDecoder`] is the only code that determines how a body continues and that it has ended. A
//! body that is held whole and one that is streamed are both read through it.

use super::connection::{Connection, ReadError, Result, malformed};
use super::framing::Framing;
use futures_lite::ready;
use std::task::{Context, Poll};

/// Length above which a chunk header or trailer line without an end is malformed.
pub(super) const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of trailer fields after a chunked body.
const MAX_TRAILERS: usize = 64;

/// Position in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of a body with a length follow.
    Length(usize),
    /// The header of a chunk follows.
    ChunkHeader,
    /// This many bytes of a chunk follow.
    Chunk(usize),
    /// The line end after a chunk follows.
    ChunkEnd,
    /// Trailer fields follow, after this many others.
    Trailers(usize),
    /// The body continues until the connection ends.
    UntilClose,
    /// The peer has ended the connection, without failure as far as is known yet.
    CleanEnd,
    /// The body has ended.
    End,
    /// The body is broken.
    Failed,
}

/// Decoder of one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    /// Number of bytes that the body may still have.
    allowance: usize,
    limit: usize,
}

impl BodyDecoder {
    /// Creates a decoder of a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::BodyTooLarge`] if the declared length exceeds the limit.
    pub fn new(framing: Framing, limit: usize) -> Result<BodyDecoder> {
        let mut decoder = BodyDecoder {
            state: State::End,
            allowance: limit,
            limit,
        };
        decoder.state = match framing {
            Framing::Empty => State::End,
            Framing::Length(length) => State::Length(decoder.allow(length)?),
            Framing::Chunked => State::ChunkHeader,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(decoder)
    }

    /// Takes `length` bytes from those that the body may still have.
    fn allow(&mut self, length: u64) -> Result<usize> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let left = self.allowance.checked_sub(length);
        self.allowance = left.ok_or(ReadError::BodyTooLarge { limit: self.limit })?;
        Ok(length)
    }

    /// Waits for bytes of the body in the buffer of `connection`; returns their number, which is 0
    /// if and only if the body has ended and is whole.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the body is truncated, malformed or too long.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
        connection: &mut Connection,
    ) -> Poll<Result<usize>> {
        let result = ready!(self.poll_state(cx, connection));
        if result.is_err() {
            self.state = State::Failed;
        }
        Poll::Ready(result)
    }

    /// Returns whether the body has ended and is whole.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::End | State::Length(0))
    }

    fn poll_state(
        &mut self,
        cx: &mut Context<'_>,
        connection: &mut Connection,
    ) -> Poll<Result<usize>> {
        loop {
            match self.state {
                State::End | State::Length(0) => return Poll::Ready(Ok(0)),
                State::Failed => return Poll::Ready(Err(malformed("broken body"))),
                State::Length(left) | State::Chunk(left) => {
                    if !connection.has_buffered_bytes() && ready!(connection.poll_fill(cx))? == 0 {
                        return Poll::Ready(Err(ReadError::Truncated));
                    }
                    return Poll::Ready(Ok(connection.buffered().len().min(left)));
                }
                State::UntilClose => {
                    if !connection.has_buffered_bytes() && ready!(connection.poll_fill(cx))? == 0 {
                        self.state = State::CleanEnd;
                        continue;
                    }
                    let length = connection.buffered().len();
                    return match length <= self.allowance {
                        true => Poll::Ready(Ok(length)),
                        false => Poll::Ready(Err(ReadError::BodyTooLarge { limit: self.limit })),
                    };
                }
                State::CleanEnd => {
                    ready!(connection.poll_clean_end(cx))?;
                    self.state = State::End;
                }
                State::ChunkHeader => {
                    let line = ready!(connection.poll_line(cx))?;
                    self.state = match parse_chunk_length(&line)? {
                        0 => State::Trailers(0),
                        length => State::Chunk(self.allow(length)?),
                    };
                }
                State::ChunkEnd => {
                    if !ready!(connection.poll_line(cx))?.is_empty() {
                        return Poll::Ready(Err(malformed("chunk longer than its length")));
                    }
                    self.state = State::ChunkHeader;
                }
                State::Trailers(count) => {
                    let line = ready!(connection.poll_line(cx))?;
                    if line.is_empty() {
                        self.state = State::End;
                        continue;
                    }
                    if count == MAX_TRAILERS {
                        return Poll::Ready(Err(malformed("too many trailer fields")));
                    }
                    check_trailer(&line)?;
                    self.state = State::Trailers(count + 1);
                }
            }
        }
    }

    /// Removes `length` of the bytes that [`BodyDecoder::poll_next`] returned from the buffer of
    /// `connection`.
    pub fn consume(&mut self, connection: &mut Connection, length: usize) {
        connection.consume(length);
        match &mut self.state {
            State::Length(left) => *left -= length,
            State::Chunk(left) => {
                *left -= length;
                if *left == 0 {
                    self.state = State::ChunkEnd;
                }
            }
            State::UntilClose => self.allowance -= length,
            _ => {}
        }
    }
}

/// Parses the length of a chunk, which an extension may follow.
fn parse_chunk_length(line: &[u8]) -> Result<u64> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let (length, extension) = line.split_at(end);
    let is_text = |b: &u8| *b == b'\t' || !b.is_ascii_control();
    if !extension.iter().all(is_text) {
        return Err(malformed("control byte in a chunk extension"));
    }
    let digits = std::str::from_utf8(length).map_err(malformed)?;
    let digits = digits.trim_end_matches([' ', '\t']);
    let is_hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    match is_hex {
        true => u64::from_str_radix(digits, 16).map_err(malformed),
        false => Err(malformed("chunk without a valid length")),
    }
}

/// Checks that a line is a field by the same grammar as in heads.
fn check_trailer(line: &[u8]) -> Result<()> {
    let section = [line, b"\r\n\r\n"].concat();
    let mut fields = [httparse::EMPTY_HEADER; 1];
    match httparse::parse_headers(&section, &mut fields) {
        Ok(httparse::Status::Complete((length, _))) if length == section.len() => Ok(()),
        Err(error) => Err(malformed(error)),
        Ok(_) => Err(malformed("trailer that is not one line")),
    }
}
