//! Weighted split of the requests of a route over its parts.
//!
//! Requests are assigned by smooth weighted round-robin: any sequence of requests follows the
//! weights as closely as whole requests allow, so a daemon with few requests keeps the split as
//! well as one with many. Each daemon starts at a random position, so that many daemons with one
//! request each do not all choose the same part.

use rf_base::{SeededRandom, ServiceName};
use rf_config::PathRoute;
use std::collections::BTreeMap;

/// Smooth weighted round-robin over the parts of each route.
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    /// Current weight of each part, by route name.
    routes: BTreeMap<String, Vec<f64>>,
    random: SeededRandom,
}

impl WeightedSplit {
    /// Creates a split without state; `random` sets the start position of each route.
    pub fn new(random: SeededRandom) -> WeightedSplit {
        WeightedSplit {
            routes: BTreeMap::new(),
            random,
        }
    }

    /// Returns the service that gets the next request of `route`.
    ///
    /// Returns `None` if all weights are zero. The weight of a single part is ignored.
    pub fn pick<'a>(&mut self, route: &'a PathRoute) -> Option<&'a ServiceName> {
        if route.parts.len() == 1 {
            return route.parts.first().map(|p| &p.service);
        }
        let total: u32 = route.parts.iter().map(|p| p.weight).sum();
        if total == 0 {
            return None;
        }
        let weights = self.current_weights(route, total);
        for (current, part) in weights.iter_mut().zip(&route.parts) {
            *current += f64::from(part.weight);
        }
        let heaviest = weights
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.total_cmp(b.1))?
            .0;
        weights[heaviest] -= f64::from(total);
        route.parts.get(heaviest).map(|p| &p.service)
    }

    fn current_weights(&mut self, route: &PathRoute, total: u32) -> &mut Vec<f64> {
        let random = &mut self.random;
        let weights = self.routes.entry(route.name.clone()).or_default();
        if weights.len() != route.parts.len() {
            let start = |_| random.fraction() * f64::from(total);
            *weights = (0..route.parts.len()).map(start).collect();
        }
        weights
    }

    /// Discards the state of all routes; called when the weights have changed.
    pub fn reset(&mut self) {
        self.routes.clear();
    }
}
