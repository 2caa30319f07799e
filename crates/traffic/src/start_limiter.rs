//! Rate limit on the runs of one backend server.
//!
//! The limiter is a generic cell rate algorithm: each run moves a theoretical arrival time by the
//! interval between two runs, and a run may start while that time is at most [`BURST_TIME`] ahead.
//! With a rate of `r` requests per second, any window of `t` seconds therefore contains at most
//! `r * (t + BURST_TIME) + 1` runs.
//!
//! A server states its limit only in answers. At a very low rate it would get no request for a long
//! time and could not end the limit, so one run may start every [`PROBE_INTERVAL`] at any rate.

use rf_base::{Millis, RequestRate};

/// Time worth of runs that may start at once after an idle time.
const BURST_TIME: Millis = Millis(500);
/// Longest time between two runs while there are requests.
const PROBE_INTERVAL: Millis = Millis(2000);

/// Limits how many runs start in a time.
#[derive(Clone, Debug, Default)]
pub struct StartLimiter {
    rate: Option<RequestRate>,
    /// Theoretical arrival time of the next run, in milliseconds since the Unix epoch.
    next: f64,
}

impl StartLimiter {
    /// Changes the rate; `None` removes the limit.
    ///
    /// A new limit begins without the allowance for a burst.
    pub fn set_rate(&mut self, now: Millis, rate: Option<RequestRate>) {
        let is_new = self.rate.is_none();
        self.rate = rate;
        let earliest_burst_end = now.0 as f64 + BURST_TIME.0 as f64;
        self.next = match is_new {
            true => earliest_burst_end,
            false => self.next.min(earliest_burst_end + self.interval()),
        };
    }

    /// Returns the limit.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the time until a run may start after `ahead` others; zero if it may start now.
    pub fn wait(&self, now: Millis, ahead: u32) -> Millis {
        if self.rate.is_none() {
            return Millis::ZERO;
        }
        let base = self.next.max(now.0 as f64);
        let earliest = base + f64::from(ahead) * self.interval() - BURST_TIME.0 as f64;
        Millis((earliest - now.0 as f64).max(0.0).ceil() as u64)
    }

    /// Records the start of a run.
    pub fn begin(&mut self, now: Millis) {
        if self.rate.is_some() {
            self.next = self.next.max(now.0 as f64) + self.interval();
        }
    }

    /// Returns the time between two runs, in milliseconds.
    fn interval(&self) -> f64 {
        let interval = self.rate.map_or(0.0, RequestRate::interval_ms);
        interval.min(PROBE_INTERVAL.0 as f64)
    }
}
