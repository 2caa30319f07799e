//! Share of its requests that a backend server rejected recently, as seen by one proxy.
//!
//! Load pattern handled here: servers that reject requests while they are in good health. A
//! rejected request has not run, and its repeat costs a part of the retry budget, so it goes to the
//! server that is least likely to reject it as well.

use rf_base::Millis;

/// Half-life of the counts, in milliseconds.
const HALF_LIFE_MS: f64 = 2000.0;
/// Number of requests that are assumed beside those counted. It keeps a server with a single
/// accepted request from being preferred to one with many.
const PRIOR_REQUESTS: f64 = 1.0;
/// Share of the assumed requests that was rejected.
const PRIOR_RATE: f64 = 0.5;

/// Decaying counts of the requests that reached a server and of those that it rejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedRate {
    sheds: f64,
    requests: f64,
    at: Millis,
}

impl ShedRate {
    /// Records a request that reached the server.
    pub fn observe(&mut self, now: Millis, is_shed: bool) {
        let kept = self.kept(now);
        self.sheds = self.sheds * kept + f64::from(u8::from(is_shed));
        self.requests = self.requests * kept + 1.0;
        self.at = now;
    }

    /// Returns the expected share of rejected requests, from 0 to 1.
    pub fn rate(&self, now: Millis) -> f64 {
        let kept = self.kept(now);
        let sheds = self.sheds * kept + PRIOR_RATE * PRIOR_REQUESTS;
        sheds / (self.requests * kept + PRIOR_REQUESTS)
    }

    /// Returns the fraction of the counts that is left at `now`.
    fn kept(&self, now: Millis) -> f64 {
        0.5f64.powf(now.since(self.at).0 as f64 / HALF_LIFE_MS)
    }
}
