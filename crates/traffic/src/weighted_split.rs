//! Shares of a route's requests.
//!
//! Requests are dealt to the parts of a route in a smooth weighted order: any stretch of requests
//! has the shares of the weights as closely as whole requests allow, so a daemon that sees few
//! requests keeps them as well as one that sees many. Each daemon starts at a random point, so that
//! many daemons with one request each do not all deal it to the same part.

use rf_base::{SeededRandom, ServiceName};
use rf_config::PathRoute;
use std::collections::BTreeMap;

/// Standing of the parts of each route.
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    routes: BTreeMap<String, Vec<f64>>,
    random: SeededRandom,
}

impl WeightedSplit {
    /// Makes shares that nothing has been dealt from.
    pub fn new(random: SeededRandom) -> WeightedSplit {
        WeightedSplit {
            routes: BTreeMap::new(),
            random,
        }
    }

    /// Deals the next request of `route` to one of its parts.
    pub fn pick<'a>(&mut self, route: &'a PathRoute) -> Option<&'a ServiceName> {
        if route.parts.len() == 1 {
            return route.parts.first().map(|p| &p.service);
        }
        let total: u32 = route.parts.iter().map(|p| p.weight).sum();
        if total == 0 {
            return None;
        }
        let standing = self.standing(route, total);
        for (standing, part) in standing.iter_mut().zip(&route.parts) {
            *standing += f64::from(part.weight);
        }
        let first = standing
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.total_cmp(b.1))?
            .0;
        standing[first] -= f64::from(total);
        route.parts.get(first).map(|p| &p.service)
    }

    fn standing(&mut self, route: &PathRoute, total: u32) -> &mut Vec<f64> {
        let random = &mut self.random;
        let standing = self.routes.entry(route.name.clone()).or_default();
        if standing.len() != route.parts.len() {
            let start = |_| random.fraction() * f64::from(total);
            *standing = (0..route.parts.len()).map(start).collect();
        }
        standing
    }

    /// Starts anew, as the weights have changed.
    pub fn reset(&mut self) {
        self.routes.clear();
    }
}
