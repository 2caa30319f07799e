//! Number of tokens that a borrower spent in the last second.

use rf_base::Millis;

/// Length of a slot.
const SLOT: Millis = Millis(1000);

/// Sliding count over one second, interpolated between two slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spending {
    slot: u64,
    current: u32,
    previous: u32,
}

impl Spending {
    /// Counts a token.
    pub(super) fn record(&mut self, now: Millis) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the estimated number of tokens spent in the second before `now`.
    pub(super) fn in_last_second(&mut self, now: Millis) -> u32 {
        self.advance(now);
        let left = 1.0 - (now.0 % SLOT.0) as f64 / SLOT.0 as f64;
        self.current + (f64::from(self.previous) * left).round() as u32
    }

    fn advance(&mut self, now: Millis) {
        let slot = now.0 / SLOT.0;
        if slot == self.slot {
            return;
        }
        self.previous = match slot == self.slot + 1 {
            true => self.current,
            false => 0,
        };
        self.current = 0;
        self.slot = slot;
    }
}
