//! Rate limit of a cold backend server.
//!
//! A server that has just started may crash at a request rate that it can handle once it is warm.
//! Its gate, which all requests pass through, starts no more requests in any one-second window than
//! the server can handle while it is cold.
//!
//! Load pattern handled here: servers that restart together, cold and under full load, such as
//! after the loss of an availability zone. Without the limit they crash and restart cold again.

use rf_base::Millis;
use std::collections::VecDeque;

/// Length of the sliding window in which requests are counted.
const WINDOW: Millis = Millis(1000);

/// Sliding-window rate limiter of a cold backend server.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    /// Maximum requests in any window while the server is cold; `None` if a cold server needs no
    /// limit.
    limit: Option<u32>,
    /// Start times of the most recent requests, oldest first.
    started: VecDeque<Millis>,
}

impl ColdLimiter {
    /// Changes the maximum number of requests in any one-second window; `None` removes the limit.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
        if limit.is_none() {
            self.started.clear();
        }
    }

    /// Returns the time until a cold server may start another request, or `None` if it may now.
    pub fn wait(&mut self, now: Millis) -> Option<Millis> {
        let limit = self.limit? as usize;
        while self
            .started
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.started.pop_front();
        }
        let excess = self.started.len().checked_sub(limit)?;
        let next = self.started.get(excess).copied().unwrap_or(now);
        Some((next + WINDOW).since(now))
    }

    /// Records the start of a request.
    ///
    /// Requests to a warm server are recorded too, because a restart can make it cold.
    pub fn begin(&mut self, now: Millis) {
        let Some(limit) = self.limit else {
            return;
        };
        self.started.push_back(now);
        while self.started.len() > limit as usize {
            self.started.pop_front();
        }
    }
}
