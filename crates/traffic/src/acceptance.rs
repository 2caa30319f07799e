//! Recent acceptance rate of a service.
//!
//! The rate is the number of accepted requests over the number of requests in demand. Both counts
//! decay exponentially, so older requests weigh less. The rate also rises over time while nothing
//! is refused, so that free capacity is noticed under low demand too.
//!
//! Requests that were withheld count as demand, but might have been accepted. The rate therefore
//! also rises with each accepted request, by up to the withheld share of the demand. Where nothing
//! is withheld, the two counts are the whole evidence. A few acceptances in a row are then usual
//! and raise nothing: at 62 requests a second, 0.71 of them accepted, they overstated the rate by
//! 0.04.

use rf_base::Millis;

/// Half-life of the decaying counts, in milliseconds.
const HALF_LIFE_MS: f64 = 1000.0;
/// Recent demand, in requests, below which the rate is assumed to be 1.
const MIN_DEMAND: f64 = 4.0;
/// Consecutive accepted requests that raise the rate from 0 to 1 while all others are withheld.
const FULL_STREAK: f64 = 160.0;
/// Time since the last refusal after which the rate starts to rise with time, in milliseconds.
const QUIET_MS: f64 = 1000.0;
/// Time in which the rate then rises from 0 to 1, in milliseconds.
const RECOVERY_MS: f64 = 1000.0;

/// An exponentially decaying count.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f64,
    at: Millis,
}

impl DecayingCount {
    fn at(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64;
        self.value * 0.5f64.powf(age / HALF_LIFE_MS)
    }

    fn add(&mut self, now: Millis, count: f64) {
        self.value = self.at(now) + count;
        self.at = now;
    }
}

/// Decaying counts of the demand on a service and of the requests that it accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptanceRate {
    demand: DecayingCount,
    accepted: DecayingCount,
    /// The part of the demand that was not sent.
    withheld: DecayingCount,
    refused_at: Option<Millis>,
    /// Requests accepted since the last refusal.
    streak: f64,
}

impl AcceptanceRate {
    /// Adds `count` requests to the demand that were not sent because they would probably have been
    /// refused.
    pub fn record_withheld(&mut self, now: Millis, count: f64) {
        self.demand.add(now, count);
        self.withheld.add(now, count);
    }

    /// Records the result of one request that was sent.
    pub fn observe(&mut self, now: Millis, is_accepted: bool) {
        self.demand.add(now, 1.0);
        match is_accepted {
            true => {
                self.accepted.add(now, 1.0);
                self.streak += 1.0;
            }
            false => {
                self.refused_at = Some(now);
                self.streak = 0.0;
            }
        }
    }

    /// Returns the share of requests that is expected to be accepted, between 0 and 1.
    pub fn rate(&self, now: Millis) -> f64 {
        let Some(refused_at) = self.refused_at else {
            return 1.0;
        };
        let demand = self.demand.at(now);
        if demand < MIN_DEMAND {
            return 1.0;
        }
        let quiet = (now.since(refused_at).0 as f64 - QUIET_MS).max(0.0);
        let withheld = self.withheld.at(now) / demand;
        let growth = quiet / RECOVERY_MS + (self.streak / FULL_STREAK).min(withheld);
        let rate = self.accepted.at(now) / demand + growth;
        rate.clamp(0.0, 1.0)
    }

    /// Returns the time until all requests are expected to be accepted if none is refused
    /// meanwhile.
    pub fn recovery_time(&self, now: Millis) -> Millis {
        Millis(((1.0 - self.rate(now)) * RECOVERY_MS) as u64)
    }
}
