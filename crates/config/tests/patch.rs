//! Tests of digests and patches of route tables.

use proptest::prelude::*;
use rf_base::{ConfigVersion, Millis};
use rf_config::patch::{PatchError, TableDigest, TablePatch};
use rf_config::{PathRoute, RepeatPolicy, RouteTable, WeightedService};

fn route(prefix: &str, service: &str, timeout: u64) -> PathRoute {
    PathRoute {
        name: format!("route {prefix}"),
        prefix: prefix.to_owned(),
        repeat: RepeatPolicy::Idempotent,
        attempts: 2,
        timeout: Millis(timeout),
        target: Millis(500),
        priority: 1,
        parts: vec![WeightedService {
            service: service.into(),
            weight: 1,
        }],
        is_public: false,
    }
}

/// Builds a table from routes given as (host, prefix, service, timeout). Of several routes with the
/// same host and prefix, the last one is kept.
fn table(version: u64, routes: &[(u8, u16, u8, u16)]) -> RouteTable {
    let mut table = RouteTable {
        version: ConfigVersion(version),
        ..RouteTable::default()
    };
    for (host, prefix, service, timeout) in routes {
        let prefix = format!("/p{prefix}/");
        let all = table.hosts.entry(format!("h{host}.example")).or_default();
        all.retain(|r| r.prefix != prefix);
        all.push(route(&prefix, &format!("s{service}"), u64::from(*timeout)));
    }
    for routes in table.hosts.values_mut() {
        routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    }
    table.sort();
    table
}

/// Returns the table with its routes in an order that depends only on their prefixes.
fn canonical(table: &RouteTable) -> RouteTable {
    let mut table = table.clone();
    for routes in table.hosts.values_mut() {
        routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    }
    table
}

fn patch(newer: &RouteTable, base: &TableDigest) -> TablePatch {
    TablePatch::new(newer, &TableDigest::of(newer), base)
}

#[test]
fn patch_for_one_changed_route_contains_one_bucket() {
    let routes: Vec<(u8, u16, u8, u16)> = (0..1000).map(|n| (1, n, 1, 900)).collect();
    let old = table(1, &routes);
    let mut changed = routes;
    changed[500].3 = 1200;
    let new = table(2, &changed);
    let patch = patch(&new, &TableDigest::of(&old));
    assert_eq!(patch.buckets.len(), 1);
    let sent: usize = patch.routes.values().map(Vec::len).sum();
    assert!(sent < 50, "{sent} of 1000 routes were sent");
    assert_eq!(
        canonical(&patch.apply(&old).expect("the base matches")),
        canonical(&new)
    );
}

#[test]
fn patch_computed_for_another_base_is_refused() {
    let old = table(1, &[(1, 1, 1, 900), (1, 2, 1, 900), (1, 3, 1, 900)]);
    let new = table(3, &[(1, 1, 2, 900), (1, 2, 1, 900), (1, 3, 1, 900)]);
    let other = table(2, &[(1, 1, 1, 900), (1, 2, 1, 700), (1, 3, 1, 900)]);
    let patch = patch(&new, &TableDigest::of(&old));
    assert_eq!(patch.apply(&other), Err(PatchError::BaseMismatch));
}

#[test]
fn patch_for_an_empty_digest_contains_the_whole_table() {
    let new = table(3, &[(1, 1, 2, 900), (2, 2, 1, 900)]);
    let patch = patch(&new, &TableDigest::default());
    let built = patch
        .apply(&RouteTable::default())
        .expect("the base matches");
    assert_eq!(canonical(&built), canonical(&new));
}

proptest! {
    #[test]
    fn applying_a_patch_yields_the_newer_table(
        old in prop::collection::vec((0u8..3, 0u16..200, 0u8..4, 100u16..3000), 0..150),
        new in prop::collection::vec((0u8..3, 0u16..200, 0u8..4, 100u16..3000), 0..150),
    ) {
        let old = table(1, &old);
        let new = table(2, &new);
        let patch = patch(&new, &TableDigest::of(&old));
        let built = patch.apply(&old).expect("the base matches");
        prop_assert_eq!(canonical(&built), canonical(&new));
    }
}
