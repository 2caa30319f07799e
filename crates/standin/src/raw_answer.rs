//! Answers of a backend server that are sent as raw bytes, to break the protocol, and answers that
//! never end.

use async_std::net::TcpStream;
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rf_base::Millis;
use socket2::SockRef;
use std::net::Shutdown;
use std::time::Duration;

/// Text in a [`RawAnswer`] that stands for the id of the request.
pub const ID_PLACEHOLDER: &str = "{id}";
/// Time between the last byte of an answer and the end of its connection, in which the peer reads
/// the answer.
const END_DELAY: Millis = Millis(50);

/// When a [`RawAnswer`] is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerStart {
    /// After the whole request has been read.
    #[default]
    AfterBody,
    /// After the head of the request has been read.
    BeforeBody,
}

/// What becomes of the connection after a [`RawAnswer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is closed.
    #[default]
    Closed,
    /// The direction to the peer is closed, and the rest of the request is read.
    HalfClosed,
    /// It is reset.
    Reset,
    /// It stays open until the peer closes it.
    Open,
}

/// An answer as raw bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawAnswer {
    /// Bytes, with [`ID_PLACEHOLDER`] for the id of the request.
    pub text: String,
    /// When it is sent.
    pub start: AnswerStart,
    /// What becomes of its connection.
    pub end: ConnectionEnd,
}

impl RawAnswer {
    /// Creates an answer that is sent after the request and ends with its connection.
    pub fn new(text: &str) -> RawAnswer {
        RawAnswer {
            text: text.to_owned(),
            ..RawAnswer::default()
        }
    }

    /// Sends the answer to `request` and ends the connection.
    pub async fn send(&self, stream: &mut TcpStream, request: &str) {
        let bytes = self.text.replace(ID_PLACEHOLDER, request);
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        match self.end {
            ConnectionEnd::Closed => {
                stream.shutdown(Shutdown::Both).ok();
            }
            ConnectionEnd::HalfClosed => {
                task::sleep(END_DELAY.duration()).await;
                stream.shutdown(Shutdown::Write).ok();
                read_to_end(stream).await;
            }
            ConnectionEnd::Reset => {
                task::sleep(END_DELAY.duration()).await;
                SockRef::from(&*stream)
                    .set_linger(Some(Duration::ZERO))
                    .ok();
            }
            ConnectionEnd::Open => read_to_end(stream).await,
        }
    }
}

async fn read_to_end(stream: &mut TcpStream) {
    let mut chunk = vec![0; 64 * 1024];
    while stream.read(&mut chunk).await.is_ok_and(|n| n > 0) {}
}

/// Part of a response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Blank lines before the status line.
    BlankLines,
    /// The status line.
    StatusLine,
    /// A header line.
    Line,
    /// The header section.
    Fields,
    /// Interim (1xx) responses before the final one.
    Interim,
    /// A body without a length, which would end with the connection.
    Body,
    /// A body with the greatest length that can be declared.
    Length,
    /// The chunks of a chunked body.
    Chunks,
    /// One chunk with the greatest length that can be declared.
    Chunk,
    /// The extension of one chunk.
    Extension,
    /// The trailers of a chunked body.
    Trailers,
    /// A response without a length that belongs to another request.
    Stray,
}

impl Endless {
    /// All parts.
    pub const ALL: [Endless; 12] = [
        Endless::BlankLines,
        Endless::StatusLine,
        Endless::Line,
        Endless::Fields,
        Endless::Interim,
        Endless::Body,
        Endless::Length,
        Endless::Chunks,
        Endless::Chunk,
        Endless::Extension,
        Endless::Trailers,
        Endless::Stray,
    ];

    /// Sends the part in answer to `request` until the peer closes the connection.
    pub async fn send(self, stream: &mut TcpStream, request: &str) {
        let (first, again) = self.bytes(request);
        let mut is_open = stream.write_all(first.as_bytes()).await.is_ok();
        while is_open {
            is_open = stream.write_all(&again).await.is_ok();
        }
    }

    /// Returns the bytes that are sent first and those that are then sent repeatedly.
    fn bytes(self, request: &str) -> (String, Vec<u8>) {
        let named = format!(
            "HTTP/1.1 200 OK\r\nX-Rosemaryfork-Request-Id: {request}\r\n\
             X-Rosemaryfork-Response-Signature: s.1\r\n"
        );
        let chunked = format!("{named}Transfer-Encoding: chunked\r\n\r\n");
        let filler = vec![b'x'; 16 * 1024];
        match self {
            Endless::BlankLines => (String::new(), b"\r\n".repeat(8 * 1024)),
            Endless::StatusLine => ("HTTP/1.1 200 ".to_owned(), filler),
            Endless::Line => (format!("{named}X-Line: "), filler),
            Endless::Fields => (named, b"X-Field: x\r\n".repeat(1000)),
            Endless::Interim => (
                String::new(),
                b"HTTP/1.1 102 Processing\r\n\r\n".repeat(500),
            ),
            Endless::Body => (format!("{named}\r\n"), filler),
            Endless::Length => (
                format!("{named}Content-Length: {}\r\n\r\n", u64::MAX),
                filler,
            ),
            Endless::Chunks => (chunked, b"1\r\nx\r\n".repeat(2000)),
            Endless::Chunk => (format!("{chunked}ffffffffffffffff\r\n"), filler),
            Endless::Extension => (format!("{chunked}1;"), filler),
            Endless::Trailers => (format!("{chunked}0\r\n"), b"X-Field: x\r\n".repeat(1000)),
            Endless::Stray => (
                "HTTP/1.1 200 OK\r\nX-Rosemaryfork-Request-Id: other\r\n\r\n".to_owned(),
                filler,
            ),
        }
    }
}
