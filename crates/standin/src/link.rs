//! Stand-in for a link between two processes of the mesh that mixes up, cuts or forges replies, or
//! sends replies that never end.
//!
//! It forwards HTTP messages, one connection to the far end for each connection that it accepts.

use crate::raw_answer::Endless;
use async_std::net::TcpListener;
use async_std::task;
use rf_base::Millis;
use rf_protocol::relay::{AttemptEnd, LedgerAnswer, RelayReply};
use rf_transport::h1::{Connection, ReadLimits, frame_request, frame_response};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Timeout for connecting to the far end.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// What a [`Link`] does to replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LinkMode {
    /// Forwards them.
    Forwards,
    /// Sends the last reply of the connection once more before it forwards a message.
    Repeats,
    /// Ends the connection in the middle of the head of a reply.
    Cuts,
    /// Replaces the status in answers of backend servers by 0.
    ForgesStatus,
    /// Adds a field whose name holds a line end to answers of backend servers.
    ForgesName,
    /// Adds a field whose value holds a line end to answers of backend servers.
    ForgesValue,
    /// Adds a second, wrong length to answers of backend servers.
    ForgesLength,
}

/// A link; clones share its mode.
#[derive(Clone, Debug, Default)]
pub struct Link {
    mode: Arc<AtomicU8>,
    endless: Arc<Mutex<Option<Endless>>>,
}

impl Link {
    /// Sets the mode for messages from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Sets what is sent without end in place of each reply from now on.
    pub fn set_endless(&self, endless: Option<Endless>) {
        *self.endless.lock().unwrap_or_else(PoisonError::into_inner) = endless;
    }

    fn endless(&self) -> Option<Endless> {
        *self.endless.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is(&self, mode: LinkMode) -> bool {
        self.mode.load(Ordering::Relaxed) == mode as u8
    }

    /// Forwards messages from `near` to `far` until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it cannot listen on `near`.
    pub async fn start(&self, near: SocketAddr, far: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(near).await?;
        let link = self.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = link.clone();
                task::spawn(async move { link.forward(Connection::new(stream), far).await });
            }
        });
        Ok(())
    }

    /// Returns the body of a reply between proxies, changed according to the mode.
    fn forge(&self, body: Vec<u8>) -> Vec<u8> {
        let Ok(mut reply) = rmp_serde::from_slice::<RelayReply>(&body) else {
            return body;
        };
        let (RelayReply::Attempt(AttemptEnd::Answered(answer), ..)
        | RelayReply::Query(LedgerAnswer::Ended(AttemptEnd::Answered(answer)))) = &mut reply
        else {
            return body;
        };
        let mut add = |name: &str, value: &str| {
            answer.headers.push((name.to_owned(), value.to_owned()));
        };
        match self.mode.load(Ordering::Relaxed) {
            mode if mode == LinkMode::ForgesStatus as u8 => answer.status = 0,
            mode if mode == LinkMode::ForgesName as u8 => add("X: a\r\nX", "b"),
            mode if mode == LinkMode::ForgesValue as u8 => add("X", "a\r\n\r\nb"),
            mode if mode == LinkMode::ForgesLength as u8 => add("Content-Length", "1"),
            _ => return body,
        }
        rmp_serde::to_vec(&reply).unwrap_or(body)
    }

    /// Forwards the messages of one connection until one of its ends closes it.
    async fn forward(&self, mut near: Connection, far: SocketAddr) -> Option<()> {
        let limits = ReadLimits::default();
        let mut far = Connection::open(far, CONNECT_TIMEOUT).await.ok()?;
        let mut last_reply = Vec::new();
        loop {
            let mut head = near.read_request(&limits).await.ok()?;
            let framing = frame_request(&head).ok()?;
            let body = near.read_body(framing, &limits).await.ok()?;
            head.headers.strip_hop_by_hop();
            if let Some(endless) = self.endless() {
                endless.send(&mut near.writer(), "").await;
                return None;
            }
            if self.is(LinkMode::Repeats) {
                near.write(&last_reply).await.ok()?;
            }
            let mut message = head.encode(body.len());
            message.extend_from_slice(&body);
            far.write(&message).await.ok()?;
            let mut head = far.read_response(&limits).await.ok()?;
            let framing = frame_response(&head, "POST").ok()?;
            let body = far.read_body(framing, &limits).await.ok()?;
            head.headers.strip_hop_by_hop();
            let body = self.forge(body);
            last_reply = head.encode(Some(body.len()));
            if self.is(LinkMode::Cuts) {
                let middle = last_reply.len() / 2;
                near.write(&last_reply[..middle]).await.ok()?;
                return None;
            }
            last_reply.extend_from_slice(&body);
            near.write(&last_reply).await.ok()?;
        }
    }
}
