//! How long work takes on a backend server now, as the server states it.
//!
//! A server states its slowness in its answers, in percent of its usual run time. The proxy beside
//! it keeps the last figure. The admission queue divides measured run times by the figure and
//! multiplies predicted ones by it, so its averages describe the server at its usual speed.
//!
//! Load patterns handled here:
//!
//! - A server that becomes slow within a fraction of a second: an average over past runs shows this
//!   only after many runs. With the figure, the next prediction includes it, and requests that
//!   would now wait too long are handed back while another server can still answer in time.
//! - A server that has stated nothing for a while: its figure decays to the usual, since an old
//!   figure is worse than none.

use rf_base::Millis;
use rf_protocol::relay::Slowness;

/// Figure of a server at its usual speed, in percent.
const USUAL_PERCENT: u16 = 100;
/// Lowest figure that is used, in percent.
const MIN_PERCENT: u16 = 10;
/// Highest figure that is used, in percent.
const MAX_PERCENT: u16 = 1000;
/// Half-life of the difference between a figure and the usual one, in milliseconds.
const HALF_LIFE_MS: f64 = 400.0;
/// Age from which a figure is no longer reported. Less than a thousandth of it is left by then.
const MAX_AGE: Millis = Millis::from_secs(4);
/// Rise of the figure from which waiting requests are handed back, relative to the figure that was
/// in use.
const HAND_BACK_RISE: f64 = 1.25;

/// Load that an answer of a backend server states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StatedLoad {
    /// The answer states no load.
    #[default]
    Absent,
    /// The answer states the load.
    Stated(ServerLoad),
    /// The answer states something that is not a load; carries the defect.
    Unreadable(String),
}

/// Load of a backend server by its own account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of requests that it is running.
    pub running: u32,
    /// Number of requests that wait in it.
    pub waiting: u32,
    /// Number of requests that it can run at the same time; at least 1.
    pub slots: u32,
    /// Duration of work in percent of the usual one, if it states it.
    pub slowness: Option<u16>,
}

impl StatedLoad {
    /// Returns the stated slowness in percent.
    pub fn slowness(&self) -> Option<u16> {
        match self {
            StatedLoad::Stated(load) => load.slowness,
            StatedLoad::Absent | StatedLoad::Unreadable(_) => None,
        }
    }
}

/// Last figure of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlownessTracker {
    stated: Option<(u16, Millis)>,
}

impl SlownessTracker {
    /// Keeps the figure of an answer read at `now`; returns whether it rose so much that waiting
    /// requests are to be checked again.
    pub fn observe(&mut self, now: Millis, percent: u16) -> bool {
        let before = self.factor(now);
        self.stated = Some((percent.clamp(MIN_PERCENT, MAX_PERCENT), now));
        self.factor(now) >= before * HAND_BACK_RISE
    }

    /// Returns the factor by which work takes longer than usual; 1 without a figure.
    pub fn factor(&self, now: Millis) -> f64 {
        let stated = self.stated;
        stated.map_or(1.0, |(percent, at)| decayed_factor(percent, now.since(at)))
    }

    /// Returns the figure for a load report, unless there is none or it has decayed.
    pub fn report(&self, now: Millis) -> Option<Slowness> {
        let (percent, at) = self.stated?;
        let age = now.since(at);
        (age < MAX_AGE).then_some(Slowness { percent, age })
    }
}

/// Returns the factor that a figure stands for at its age; it decays to 1.
pub fn decayed_factor(percent: u16, age: Millis) -> f64 {
    let percent = percent.clamp(MIN_PERCENT, MAX_PERCENT);
    let stated = f64::from(percent) / f64::from(USUAL_PERCENT);
    1.0 + (stated - 1.0) * 0.5f64.powf(age.0 as f64 / HALF_LIFE_MS)
}

/// Request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRun<T> {
    /// Identifies the request.
    pub id: T,
    /// Expected run time, in milliseconds.
    pub run_ms: f64,
    /// Time for which it may still wait.
    pub wait_left: Millis,
    /// Whether it may be handed back.
    pub may_return: bool,
}

/// Returns the requests whose predicted wait exceeds what they may wait.
///
/// `waiting` is in the order in which slots are granted, the first after `first_ms` milliseconds. A
/// request that is handed back shortens the waits of those behind it.
pub fn find_overdue<T>(
    waiting: impl IntoIterator<Item = WaitingRun<T>>,
    first_ms: f64,
    slots: u32,
) -> Vec<T> {
    let mut overdue = Vec::new();
    let mut wait_ms = first_ms;
    for run in waiting {
        match run.may_return && wait_ms > run.wait_left.0 as f64 {
            true => overdue.push(run.id),
            false => wait_ms += run.run_ms / f64::from(slots.max(1)),
        }
    }
    overdue
}
