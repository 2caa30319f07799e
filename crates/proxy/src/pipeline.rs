//! Decides which requests of one connection run at the same time, and in which order their
//! responses are written.
//!
//! Load pattern: a caller sends several urgent requests on one connection before it has read the
//! first response. Run one after the other, each of them waits for the run times of all requests
//! before it and is late although servers are free.

use rf_config::{PathRoute, RepeatPolicy};
use rf_transport::h1::{Framing, RequestHead};
use std::collections::VecDeque;

/// Maximum number of requests of one connection that are held at the same time: those that run and
/// those whose responses have not been written.
pub const MAX_HELD: usize = 8;
/// Maximum length of the body of a request that runs beside others, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024;
/// Maximum number of bytes of responses that are held behind the one that is written next.
pub const MAX_BUFFERED_BYTES: u64 = 1024 * 1024;

/// Returns whether a request may run beside others of its connection.
///
/// A request that must not repeat may not, since the caller of a connection that closes early sends
/// the requests without a response again. Neither may one whose body has to be asked for with an
/// interim response, which must not precede the responses to earlier requests.
pub fn is_concurrent(head: &RequestHead, framing: Framing, route: Option<&PathRoute>) -> bool {
    let is_short = match framing {
        Framing::Empty => true,
        Framing::Length(length) => length <= MAX_BODY_BYTES,
        Framing::Chunked | Framing::UntilClose => false,
    };
    let is_idempotent = route.is_some_and(|r| r.repeat == RepeatPolicy::Idempotent);
    is_short && is_idempotent && head.is_keep_alive() && head.headers.get("expect").is_none()
}

/// Stage of a request that has been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Running,
    Ready,
    Writing,
}

/// A request that has been started and whose response has not been written.
#[derive(Clone, Copy, Debug)]
struct Entry {
    stage: Stage,
    /// Length of the response; while the request runs, the expected length.
    bytes: u64,
}

/// Requests of one connection that have been started, in the order in which they were read.
///
/// A request is identified by its position: 0 is the one whose response is written next.
#[derive(Clone, Debug, Default)]
pub struct Pipeline {
    entries: VecDeque<Entry>,
    /// Whether no further request is read until the pipeline is empty.
    is_blocked: bool,
    /// Whether the last entry has a response that closes the connection.
    is_closing: bool,
}

impl Pipeline {
    /// Returns the number of requests that are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether all responses have been written.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of bytes of responses that are held or expected behind the one that is
    /// written next.
    pub fn buffered_bytes(&self) -> u64 {
        self.entries.iter().skip(1).map(|e| e.bytes).sum()
    }

    /// Returns the maximum expected length of the response to a request that is read now and may
    /// be started, in bytes; `None` if no request may be read.
    pub fn room(&self) -> Option<u64> {
        let room = MAX_BUFFERED_BYTES.saturating_sub(self.buffered_bytes());
        let is_open = !self.is_blocked && !self.is_closing;
        (is_open && self.len() < MAX_HELD && room > 0).then_some(room)
    }

    /// Adds a request at the end. `expected` is the expected length of its response, in bytes.
    pub fn start(&mut self, expected: u64) {
        self.entries.push_back(Entry {
            stage: Stage::Running,
            bytes: expected,
        });
    }

    /// Stops reading until the pipeline is empty, because the request read last has to wait for that.
    pub fn block(&mut self) {
        self.is_blocked = true;
    }

    /// Records that a request has a response of `bytes` bytes. If the response closes the
    /// connection, the requests behind it are removed; they are to be cancelled.
    ///
    /// # Panics
    ///
    /// Panics if there is no request at `position`.
    pub fn finish(&mut self, position: usize, bytes: u64, closes: bool) {
        let stage = Stage::Ready;
        self.entries[position] = Entry { stage, bytes };
        if closes {
            self.entries.truncate(position + 1);
            self.is_closing = true;
        }
    }

    /// Returns whether a response closes the connection, so that nothing behind it is answered.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Returns whether the response of the first request is to be written now, and records that its
    /// writing has begun.
    pub fn begin_write(&mut self) -> bool {
        match self.entries.front_mut() {
            Some(first) if first.stage == Stage::Ready => {
                first.stage = Stage::Writing;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the connection closes after the response of the first request.
    /// `is_stopping` tells whether the process is stopping; the last request that was read is then
    /// the last one of the connection.
    pub fn closes_after_first(&self, is_stopping: bool) -> bool {
        let is_last = self.len() == 1;
        is_last && (self.is_closing || is_stopping && !self.is_blocked)
    }

    /// Removes the first request, whose response has been written.
    pub fn end_write(&mut self) {
        self.entries.pop_front();
    }
}
