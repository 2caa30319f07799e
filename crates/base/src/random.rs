//! Seeded random numbers for jitter and random selection.
//!
//! State machines take a [`SeededRandom`] at construction, so that a run can be reproduced from its
//! seed.

use crate::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deterministic random number generator (ChaCha8).
#[derive(Clone, Debug)]
pub struct SeededRandom(ChaCha8Rng);

impl SeededRandom {
    /// Creates a generator from `seed`; equal seeds give equal sequences.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a uniform number in `0..bound`, or 0 if `bound` is 0, which draws no number.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.0.random_range(0..bound)
    }

    /// Returns a uniform number in `0.0..1.0`.
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Returns a duration with full jitter: uniform in `1..=limit` milliseconds.
    pub fn jitter(&mut self, limit: Millis) -> Millis {
        Millis(1 + self.below(limit.0.max(1)))
    }
}
