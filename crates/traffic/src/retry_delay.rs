//! When callers that were refused may come back.
//!
//! A caller that comes back and is refused again has waited for nothing, and has taken the turn of
//! one that could have been served. So how soon callers return follows from how far their service
//! is over its capacity: while nearly all are served they return as soon as room is expected; the
//! fewer are served, the later they return and the wider they are spread. Where most are refused
//! they are told a time that is longer than they can wait.
//!
//! Load patterns this answers:
//!
//! - A short burst: who was refused returns over the time after it, not all at once.
//! - Lasting overload: returns do not add to it.
//! - A service that refuses one rank only: the returns of another rank are as before.

use crate::acceptance::AcceptanceRate;
use rf_base::{Millis, SeededRandom, ServiceName};
use std::collections::BTreeMap;

/// Shortest pause.
const MIN_DELAY: Millis = Millis(50);
/// Part of its time left that a caller is willing to wait.
const WILLING_FRACTION: f64 = 1.0 / 3.0;
/// Longest pause as a factor on what a caller is willing to wait.
const MAX_DELAY_FACTOR: f64 = 2.5;

/// Times that a pause follows from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelayTimes {
    /// Time until a slot is expected to be free.
    pub slot_wait: Millis,
    /// Usual time of a run.
    pub usual: Millis,
    /// Time left until the request is given up.
    pub left: Millis,
}

/// How many of the requests that this proxy took in were served, by service and rank.
#[derive(Clone, Debug, Default)]
pub struct RetryDelays {
    /// Whether pauses do without what is served.
    ignores_history: bool,
    served: BTreeMap<(ServiceName, u8), AcceptanceRate>,
}

impl RetryDelays {
    /// Makes pauses that follow from room alone.
    pub fn without_history() -> RetryDelays {
        RetryDelays {
            ignores_history: true,
            ..RetryDelays::default()
        }
    }

    /// Takes in the end of a request: whether it was refused for lack of room.
    pub fn observe(&mut self, now: Millis, service: &ServiceName, priority: u8, is_served: bool) {
        let key = (service.clone(), priority);
        self.served.entry(key).or_default().observe(now, is_served);
    }

    /// Returns the part of the requests at ranks more urgent than `priority` that `service` serves;
    /// the least of them.
    pub fn urgent_acceptance(&self, now: Millis, service: &ServiceName, priority: u8) -> f64 {
        let ranks = (service.clone(), 0)..(service.clone(), priority);
        let parts = self.served.range(ranks).map(|(_, a)| a.rate(now));
        parts.fold(1.0, f64::min)
    }

    /// Returns the pause that a refused caller is told.
    pub fn delay(
        &self,
        now: Millis,
        service: &ServiceName,
        priority: u8,
        times: DelayTimes,
        random: &mut SeededRandom,
    ) -> Millis {
        let served = self.served.get(&(service.clone(), priority));
        let served = served.filter(|_| !self.ignores_history);
        let part = served.map_or(1.0, |a| a.rate(now));
        let willing = times.left.0 as f64 * WILLING_FRACTION;
        let half = Millis((willing * MAX_DELAY_FACTOR * (1.0 - part) / 2.0) as u64);
        let least = MIN_DELAY.max(times.slot_wait).max(half);
        least + random.jitter(times.usual.max(MIN_DELAY).max(half))
    }
}
