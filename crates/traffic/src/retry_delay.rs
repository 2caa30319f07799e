//! Delay after which a refused caller may retry.
//!
//! A caller that retries and is refused again has waited for nothing and has displaced a
//! request that could have been served. The delay therefore follows from how far a service is over
//! its capacity. While nearly all requests are served, callers retry as soon as a free slot is
//! expected. The smaller the served fraction, the longer and the more widely spread the delays. If
//! most requests are refused, most callers get a delay longer than they are willing to wait.
//!
//! Load patterns handled here:
//!
//! - A short burst: the retries of refused callers are spread over the time after it.
//! - Lasting overload: retries do not add to the load.
//! - A service that refuses only one priority: the delays of other priorities do not change.

use crate::acceptance::AcceptanceRate;
use rf_base::{Millis, SeededRandom, ServiceName};
use std::collections::BTreeMap;

/// Minimum delay.
const MIN_DELAY: Millis = Millis(50);
/// Fraction of its remaining time that a caller is assumed to wait before a retry.
const WILLING_FRACTION: f64 = 1.0 / 3.0;
/// Maximum delay as a multiple of the time that a caller is willing to wait.
const MAX_DELAY_FACTOR: f64 = 2.5;

/// Times that determine a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelayTimes {
    /// Expected time until a slot is free.
    pub slot_wait: Millis,
    /// Typical run time.
    pub run_time: Millis,
    /// Time left until the deadline of the request.
    pub left: Millis,
}

/// Delays for refused callers, from the fraction of requests that this proxy sees served for each
/// service and priority.
#[derive(Clone, Debug, Default)]
pub struct RetryDelays {
    /// Whether delays ignore the served fraction.
    ignores_history: bool,
    served: BTreeMap<(ServiceName, u8), AcceptanceRate>,
}

impl RetryDelays {
    /// Creates delays that depend only on the [`DelayTimes`] and not on the served fraction.
    pub fn without_history() -> RetryDelays {
        RetryDelays {
            ignores_history: true,
            ..RetryDelays::default()
        }
    }

    /// Records the end of a request; `is_served` is false if it was refused for lack of a slot.
    pub fn observe(&mut self, now: Millis, service: &ServiceName, priority: u8, is_served: bool) {
        let key = (service.clone(), priority);
        self.served.entry(key).or_default().observe(now, is_served);
    }

    /// Returns the lowest served fraction of `service` over all priorities more urgent than
    /// `priority`, or 1 if there are none.
    pub fn urgent_acceptance(&self, now: Millis, service: &ServiceName, priority: u8) -> f64 {
        let urgent = (service.clone(), 0)..(service.clone(), priority);
        let fractions = self.served.range(urgent).map(|(_, a)| a.rate(now));
        fractions.fold(1.0, f64::min)
    }

    /// Returns the delay that a refused caller is asked to wait before it retries.
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
        let fraction = served.map_or(1.0, |a| a.rate(now));
        let willing = times.left.0 as f64 * WILLING_FRACTION;
        let half = Millis((willing * MAX_DELAY_FACTOR * (1.0 - fraction) / 2.0) as u64);
        let least = MIN_DELAY.max(times.slot_wait).max(half);
        least + random.jitter(times.run_time.max(MIN_DELAY).max(half))
    }
}
