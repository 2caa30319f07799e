//! Seeded randomness for jitter and choice.
//!
//! State machines take a [`SeededRandom`] at construction, so that a run is repeated by its seed.

use crate::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A repeatable source of random numbers.
#[derive(Clone, Debug)]
pub struct SeededRandom(ChaCha8Rng);

impl SeededRandom {
    /// Makes a source from `seed`.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number in `0..bound`, or 0 where `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.0.random_range(0..bound)
    }

    /// Returns a number in `0.0..1.0`.
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns a random 64-bit number.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Returns a span with full jitter: uniform in `1..=limit`.
    pub fn jitter(&mut self, limit: Millis) -> Millis {
        Millis(1 + self.below(limit.0.max(1)))
    }
}
