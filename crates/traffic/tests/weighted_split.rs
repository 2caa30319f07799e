//! Tests of the weighted split of a route over its parts.

use rf_base::{Millis, SeededRandom};
use rf_config::{PathRoute, RepeatPolicy, WeightedService};
use rf_traffic::WeightedSplit;
use std::collections::BTreeMap;

fn route(weights: &[(&str, u32)]) -> PathRoute {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    PathRoute {
        name: "r".to_owned(),
        prefix: "/".to_owned(),
        repeat: RepeatPolicy::Idempotent,
        attempts: 2,
        timeout: Millis(1000),
        target: Millis(500),
        priority: 1,
        parts: weights.iter().map(part).collect(),
        is_public: false,
    }
}

fn count_picks(
    split: &mut WeightedSplit,
    route: &PathRoute,
    count: usize,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let service = split.pick(route).expect("a part has a weight");
        *counts.entry(service.0.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn any_sequence_of_requests_follows_the_weights() {
    let route = route(&[("a", 90), ("b", 10)]);
    let mut split = WeightedSplit::new(SeededRandom::new(3));
    for _ in 0..10 {
        let counts = count_picks(&mut split, &route, 100);
        assert!((89..=91).contains(&counts["a"]), "{counts:?}");
    }
}

#[test]
fn many_daemons_with_few_requests_follow_the_weights_together() {
    let route = route(&[("a", 75), ("b", 25)]);
    let mut sum = 0;
    for seed in 0..200 {
        let mut split = WeightedSplit::new(SeededRandom::new(seed));
        sum += count_picks(&mut split, &route, 2)
            .get("a")
            .copied()
            .unwrap_or(0);
    }
    assert!((270..=330).contains(&sum), "{sum} of 400 went to a");
}

#[test]
fn a_part_with_zero_weight_gets_no_requests() {
    let route = route(&[("a", 0), ("b", 5)]);
    let mut split = WeightedSplit::new(SeededRandom::new(1));
    assert_eq!(count_picks(&mut split, &route, 50)["b"], 50);
}
