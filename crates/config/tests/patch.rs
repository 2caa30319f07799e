//! Tests of digests and patches of route tables.

use proptest::prelude::*;
use rf_base::{ConfigVersion, Millis, OrganisationName};
use rf_config::patch::{PatchError, TableDigest, TablePatch};
use rf_config::{
    KeyHash, Organisation, PathRoute, Quota, RepeatPolicy, RouteTable, WeightedService,
};
use std::collections::{BTreeMap, BTreeSet};

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

fn organisation(keys: &[u32], priority: u8) -> Organisation {
    let keys = keys.iter().map(|k| KeyHash::of(&k.to_string()));
    Organisation {
        keys: keys.collect(),
        priority,
        quota: None,
    }
}

/// Builds a table of organisations given as (name, first key, priority), with three keys each.
fn with_organisations(version: u64, organisations: &[(u16, u32, u8)]) -> RouteTable {
    let mut table = table(version, &[(1, 1, 1, 900)]);
    for (name, key, priority) in organisations {
        let keys = [*key, key + 1, key + 2];
        let name = format!("o{name}").as_str().into();
        let organisation = organisation(&keys, *priority);
        table.organisations.insert(name, organisation);
    }
    table
}

#[test]
fn patch_for_one_changed_organisation_contains_few_others() {
    let organisations: Vec<_> = (0..2000u16).map(|n| (n, u32::from(n) * 3, 1)).collect();
    let old = with_organisations(1, &organisations);
    let mut changed = organisations;
    changed[700].1 = 9_000_000;
    let new = with_organisations(2, &changed);
    let patch = patch(&new, &TableDigest::of(&old));
    assert!(patch.routes.is_empty());
    let sent = patch.organisations.len();
    assert!((1..50).contains(&sent), "{sent} of 2000 were sent");
    assert_eq!(patch.apply(&old).expect("the base matches"), new);
}

#[test]
fn each_field_of_an_organisation_and_of_a_public_route_changes_the_digest() {
    let base = with_organisations(1, &[(1, 1, 1)]);
    let name: OrganisationName = "o1".into();
    let changes: [fn(&mut Organisation); 4] = [
        |o| o.priority = 2,
        |o| o.quota = Some(Quota::default()),
        |o| o.keys = [KeyHash::of("other")].into(),
        |o| o.keys.clear(),
    ];
    for change in changes {
        let mut table = base.clone();
        change(table.organisations.get_mut(&name).expect("it is known"));
        assert_ne!(TableDigest::of(&table), TableDigest::of(&base));
    }
    let mut public = base.clone();
    let routes = public.hosts.values_mut().next().expect("a host");
    routes[0].is_public = true;
    assert_ne!(TableDigest::of(&public), TableDigest::of(&base));
}

/// Guards against messages that proxies without organisations in their code would not read.
#[test]
fn patch_without_organisations_has_the_same_bytes_as_before() {
    #[derive(serde::Serialize)]
    struct EarlierPatch<'a> {
        version: ConfigVersion,
        digest: &'a TableDigest,
        limits: rf_config::CallerLimits,
        services: &'a BTreeMap<rf_base::ServiceName, u32>,
        cold_paces: &'a BTreeMap<rf_base::ServiceName, u32>,
        buckets: &'a BTreeSet<u8>,
        routes: &'a BTreeMap<String, Vec<PathRoute>>,
    }
    let patch = patch(&table(3, &[(1, 1, 2, 900)]), &TableDigest::default());
    let earlier = EarlierPatch {
        version: patch.version,
        digest: &patch.digest,
        limits: patch.limits,
        services: &patch.services,
        cold_paces: &patch.cold_rates,
        buckets: &patch.buckets,
        routes: &patch.routes,
    };
    assert_eq!(patch.buckets.len(), 64);
    let bytes = rmp_serde::to_vec(&patch).expect("it is encoded");
    assert_eq!(bytes, rmp_serde::to_vec(&earlier).expect("it is encoded"));
    let read: TablePatch = rmp_serde::from_slice(&bytes).expect("it is decoded");
    assert_eq!(read, patch);
}

#[test]
fn patch_with_100_000_keys_takes_about_the_size_of_their_hashes() {
    let names = 0..10_000u32;
    let organisations = names.map(|n| {
        let keys: Vec<u32> = (n * 10..n * 10 + 10).collect();
        let name: OrganisationName = format!("o{n}").as_str().into();
        (name, organisation(&keys, 1))
    });
    let new = RouteTable {
        version: ConfigVersion(1),
        organisations: organisations.collect(),
        ..RouteTable::default()
    };
    let patch = patch(&new, &TableDigest::default());
    let bytes = rmp_serde::to_vec(&patch).expect("it is encoded").len();
    assert!(bytes < 3_600_000, "{bytes} bytes");
    assert_eq!(patch.apply(&RouteTable::default()).as_ref(), Ok(&new));
    let mut newer = new.clone();
    newer.version = ConfigVersion(2);
    let changed = newer.organisations.values_mut().next().expect("one");
    changed.keys = [KeyHash::of("new")].into();
    let digest = TableDigest::of(&newer);
    let change = TablePatch::new(&newer, &digest, &TableDigest::of(&new));
    let change = rmp_serde::to_vec(&change).expect("it is encoded").len();
    println!("the table takes {bytes} bytes, a change of one organisation {change}");
    assert!(change < 40_000, "{change} bytes");
}

proptest! {
    #[test]
    fn applying_a_patch_yields_the_newer_organisations(
        old in prop::collection::vec((0u16..300, 0u32..500, 0u8..4), 0..150),
        new in prop::collection::vec((0u16..300, 0u32..500, 0u8..4), 0..150),
    ) {
        let old = with_organisations(1, &old);
        let new = with_organisations(2, &new);
        let patch = patch(&new, &TableDigest::of(&old));
        prop_assert_eq!(patch.apply(&old).expect("the base matches"), new);
    }
}
