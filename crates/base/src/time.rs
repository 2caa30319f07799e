//! The clock used throughout the system.
//!
//! A [`Clock`] reads the wall clock once, when it is created, and then advances with the monotonic
//! clock. Time therefore never goes backwards within a process, and a step of the wall clock cannot
//! expire a lease or end a move. State machines take `now` as a parameter and never hold a clock.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time, in milliseconds since the Unix epoch, or a duration in milliseconds.
///
/// Addition and subtraction saturate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Millis = Millis(0);

    /// Creates a duration of `seconds`.
    pub const fn from_secs(seconds: u64) -> Millis {
        Millis(seconds * 1000)
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts this duration to the type of the standard library, for use with timers.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Source of the current time; cheap to clone.
///
/// Clones of a manual clock share its time.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    System { wall: Millis, start: Instant },
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time and advances monotonically.
    pub fn system() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock(Source::System {
            wall: Millis(wall.as_millis() as u64),
            start: Instant::now(),
        })
    }

    /// Creates a clock, for tests and simulations, that only [`Clock::advance`] moves.
    pub fn manual(start: Millis) -> Clock {
        Clock(Source::Manual(Arc::new(AtomicU64::new(start.0))))
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        match &self.0 {
            Source::System { wall, start } => Millis(wall.0 + start.elapsed().as_millis() as u64),
            Source::Manual(now) => Millis(now.load(Ordering::Relaxed)),
        }
    }

    /// Advances a manual clock; has no effect on a system clock.
    pub fn advance(&self, span: Millis) {
        if let Source::Manual(now) = &self.0 {
            now.fetch_add(span.0, Ordering::Relaxed);
        }
    }
}
