//! Rates of requests.

use crate::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;

/// Largest rate that is accepted, in requests per second.
const MAX_PER_SECOND: f64 = 1e6;
/// Maximum length of the text that an error quotes, in characters.
const MAX_QUOTE: usize = 40;

/// Number of requests in a time, with a resolution of one request in 1000 seconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

/// Error for text that is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected a number of requests per second, found \"{text}\""))]
pub struct ParseRateError {
    text: String,
}

/// Result of parsing a rate.
pub type Result<T> = std::result::Result<T, ParseRateError>;

impl RequestRate {
    /// Creates a rate of `count` requests per second.
    pub const fn per_second(count: u32) -> RequestRate {
        RequestRate(count as u64 * 1000)
    }

    /// Parses a decimal number of requests per second. Rates below the resolution become zero.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseRateError`] for any other text, and for a number that is negative, infinite,
    /// not a number, or more than a million.
    pub fn parse(text: &str) -> Result<RequestRate> {
        let number = text.trim().parse().ok();
        number
            .and_then(RequestRate::from_per_second)
            .ok_or_else(|| ParseRateError {
                text: text.chars().take(MAX_QUOTE).collect(),
            })
    }

    /// Creates a rate of `rate` requests per second, or `None` if it is negative, infinite, not a
    /// number, or more than a million. Rates below the resolution become zero.
    pub fn from_per_second(rate: f64) -> Option<RequestRate> {
        let is_valid = (0.0..=MAX_PER_SECOND).contains(&rate);
        is_valid.then_some(RequestRate((rate * 1000.0) as u64))
    }

    /// Returns the number of requests in a second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the mean time between two requests in milliseconds; infinite for a rate of zero.
    pub fn interval_ms(self) -> f64 {
        1e6 / self.0 as f64
    }

    /// Returns the time that `count` requests take at this rate, or `None` for a rate of zero.
    pub fn time_for(self, count: f64) -> Option<Millis> {
        (self.0 > 0).then(|| Millis((self.interval_ms() * count).ceil() as u64))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_per_second())
    }
}
