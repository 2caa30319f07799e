//! Which part of what is wanted of a service it accepts, lately.
//!
//! The part is what was accepted over what was wanted, where older events count less. It grows with
//! each event that is accepted, and by itself where nothing is refused for long, so that free room is
//! noticed though little is asked for.

use rf_base::Millis;

/// Time in which what was counted comes to count half.
const HALF_LIFE: f64 = 1000.0;
/// Events wanted lately below which nothing is concluded.
const MIN_EVENTS: f64 = 4.0;
/// Events accepted in a row that make the part grow from nothing to all.
const STREAK: f64 = 160.0;
/// Time without a refusal after which the part grows by itself.
const CALM: f64 = 1000.0;
/// Time in which it then grows from nothing to all.
const GROWTH: f64 = 1000.0;

/// A count in which what is older counts less.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    value: f64,
    at: Millis,
}

impl Recent {
    fn at(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64;
        self.value * 0.5f64.powf(age / HALF_LIFE)
    }

    fn add(&mut self, now: Millis, count: f64) {
        self.value = self.at(now) + count;
        self.at = now;
    }
}

/// What was wanted and accepted lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptanceRate {
    wanted: Recent,
    accepted: Recent,
    refused_at: Option<Millis>,
    /// Events accepted since.
    streak: f64,
}

impl AcceptanceRate {
    /// Takes in that `count` were wanted and not asked for, as they would have been refused.
    pub fn record_withheld(&mut self, now: Millis, count: f64) {
        self.wanted.add(now, count);
    }

    /// Takes in one that was asked for.
    pub fn observe(&mut self, now: Millis, is_accepted: bool) {
        self.wanted.add(now, 1.0);
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

    /// Returns the part that is expected to be accepted, between 0 and 1.
    pub fn rate(&self, now: Millis) -> f64 {
        let Some(refused_at) = self.refused_at else {
            return 1.0;
        };
        let wanted = self.wanted.at(now);
        if wanted < MIN_EVENTS {
            return 1.0;
        }
        let calm = (now.since(refused_at).0 as f64 - CALM).max(0.0);
        let growth = calm / GROWTH + self.streak / STREAK;
        let part = self.accepted.at(now) / wanted + growth;
        part.clamp(0.0, 1.0)
    }

    /// Returns the time until all is expected to be accepted if nothing more is refused.
    pub fn recovery_time(&self, now: Millis) -> Millis {
        Millis(((1.0 - self.rate(now)) * GROWTH) as u64)
    }
}
