//! Answers of a backend server that are sent as raw bytes, to break the protocol.

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
