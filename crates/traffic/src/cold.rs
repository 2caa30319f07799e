//! How many requests a cold backend server gets.
//!
//! A server that has just started may crash at a rate that it bears when warm. Its gate, which all
//! requests pass, lets no more of them begin in any second than it bears while it is cold.
//!
//! Load pattern this answers: servers that come back together, cold, under full load, as after the
//! loss of an availability zone. Without the bound they crash and come back cold again.

use rf_base::Millis;
use std::collections::VecDeque;

/// Span over which requests are counted.
const WINDOW: Millis = Millis(1000);

/// Requests that a backend server has begun of late.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    /// Requests in any second while the server is cold; `None` where it bears as many as when warm.
    limit: Option<u32>,
    begun: VecDeque<Millis>,
}

impl ColdLimiter {
    /// Changes the number of requests in any second.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
        if limit.is_none() {
            self.begun.clear();
        }
    }

    /// Returns the time until a cold server may begin another request; `None` where it may now.
    pub fn wait(&mut self, now: Millis) -> Option<Millis> {
        let limit = self.limit? as usize;
        while self
            .begun
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.begun.pop_front();
        }
        let excess = self.begun.len().checked_sub(limit)?;
        let next = self.begun.get(excess).copied().unwrap_or(now);
        Some((next + WINDOW).since(now))
    }

    /// Takes in that a request begins; also while the server is warm, since it may turn cold.
    pub fn begin(&mut self, now: Millis) {
        let Some(limit) = self.limit else {
            return;
        };
        self.begun.push_back(now);
        while self.begun.len() > limit as usize {
            self.begun.pop_front();
        }
    }
}
