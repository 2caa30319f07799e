//! Cost of the quota decision on the request path.

// The macros of criterion create functions without documentation.
#![allow(missing_docs)]

use criterion::{Criterion, criterion_group, criterion_main};
use rf_base::{InstanceId, Millis, OrganisationId, RequestRate, SeededRandom};
use rf_config::Quota;
use rf_protocol::relay::{QuotaClaim, QuotaGrant};
use rf_traffic::quota::{Lender, QuotaBorrower, QuotaOwner, QuotaSettings, QuotaTerms};
use std::hint::black_box;

/// Numbers of organisations with requests.
const ACTIVE: [u64; 3] = [1, 50, 10_000];
const NOW: Millis = Millis(100_000);

fn terms() -> QuotaTerms {
    let quota = Quota {
        rate: RequestRate::per_second(1000),
        burst: 1000,
    };
    QuotaTerms::new(&quota, &QuotaSettings::default())
}

fn lender() -> Lender {
    Lender {
        owner: InstanceId(1),
        terms: terms(),
        known: 82,
    }
}

/// Creates a borrower that holds tokens of each organisation.
fn borrower(organisations: u64) -> QuotaBorrower {
    let mut borrower = QuotaBorrower::new(SeededRandom::new(1));
    for number in 0..organisations {
        let organisation = OrganisationId(number);
        borrower.request(NOW, organisation, &lender());
        borrower.ask(NOW, organisation, InstanceId(1));
        let grant = QuotaGrant {
            organisation,
            tokens: u32::MAX,
            lifetime: Millis(1000),
            wait: Millis::ZERO,
            is_owner: true,
        };
        borrower.receive(NOW, &grant, &lender());
    }
    borrower
}

fn bench(c: &mut Criterion) {
    for organisations in ACTIVE {
        let mut borrower = borrower(organisations);
        let lender = lender();
        let mut number = 0;
        c.bench_function(&format!("borrower with tokens, {organisations}"), |b| {
            b.iter(|| {
                number = (number + 1) % organisations;
                black_box(borrower.request(NOW, OrganisationId(number), &lender))
            });
        });
    }
    let mut owner = QuotaOwner::new(Millis::ZERO);
    let mut number = 0;
    c.bench_function("owner answers a claim, 1100 borrowers", |b| {
        b.iter(|| {
            number += 1;
            let borrower = InstanceId(number % 1100);
            let now = NOW + Millis(number / 3);
            let claim = QuotaClaim {
                organisation: OrganisationId(1),
                wanted: 4,
                unspent: 1,
            };
            black_box(owner.claim(now, borrower, &claim, &terms()))
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
