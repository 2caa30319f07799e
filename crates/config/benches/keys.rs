//! Time to authenticate a request: the hash of its key, and the look-up among 10 to 100,000 keys.

use criterion::{BenchmarkId, Criterion, criterion_main};
use rf_base::Millis;
use rf_config::{
    Credential, KeyHash, KeyIndex, Lineage, Organisation, PathRoute, RepeatPolicy, RouteTable,
    authenticate,
};
use std::collections::BTreeSet;
use std::hint::black_box;

/// Keys of each organisation.
const KEYS_EACH: usize = 10;

fn key(number: usize) -> String {
    format!("rf_live_{number:032x}")
}

fn table(keys: usize) -> RouteTable {
    let organisations = (0..keys / KEYS_EACH).map(|number| {
        let own = number * KEYS_EACH..(number + 1) * KEYS_EACH;
        let organisation = Organisation {
            keys: own.map(|n| KeyHash::of(&key(n))).collect::<BTreeSet<_>>(),
            ..Organisation::default()
        };
        (
            format!("organisation-{number}").as_str().into(),
            organisation,
        )
    });
    RouteTable {
        organisations: organisations.collect(),
        ..RouteTable::default()
    }
}

fn route() -> PathRoute {
    PathRoute {
        name: "read".to_owned(),
        prefix: "/".to_owned(),
        repeat: RepeatPolicy::Idempotent,
        attempts: 2,
        timeout: Millis(1000),
        target: Millis(300),
        priority: 1,
        parts: Vec::new(),
        is_public: false,
    }
}

fn authenticate_requests(criterion: &mut Criterion) {
    let route = route();
    let mut group = criterion.benchmark_group("authenticate");
    for count in [10, 1000, 100_000] {
        let table = table(count);
        let index = KeyIndex::new(&table.organisations);
        let known: Vec<String> = (0..count).map(key).collect();
        let mut number = 0;
        group.bench_function(BenchmarkId::new("known", count), |b| {
            b.iter(|| {
                number = (number + 7919) % count;
                let credential = || Credential::Key(KeyHash::of(black_box(&known[number])));
                authenticate(&table, &index, &route, Lineage::Caller, credential)
            });
        });
        group.bench_function(BenchmarkId::new("unknown", count), |b| {
            let unknown = key(count + 1);
            b.iter(|| {
                let credential = || Credential::Key(KeyHash::of(black_box(&unknown)));
                authenticate(&table, &index, &route, Lineage::Caller, credential)
            });
        });
        group.bench_function(BenchmarkId::new("build", count), |b| {
            b.iter(|| KeyIndex::new(black_box(&table.organisations)));
        });
    }
    group.finish();
}

/// A private module, since the macro defines a public function without documentation.
mod groups {
    criterion::criterion_group!(benches, super::authenticate_requests);
}
use groups::benches;
criterion_main!(benches);
