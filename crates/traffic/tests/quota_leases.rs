//! Leases between the owner of a quota and its borrowers.

use rf_base::{InstanceId, Millis, OrganisationId, RequestRate, SeededRandom};
use rf_config::Quota;
use rf_protocol::relay::{QuotaClaim, QuotaGrant};
use rf_traffic::quota::{Decision, Lender, QuotaBorrower, QuotaOwner, QuotaSettings, QuotaTerms};

const ORGANISATION: OrganisationId = OrganisationId(5);
const OWNER: InstanceId = InstanceId(1);
/// Time at which the owner has owned the organisation for long.
const NOW: Millis = Millis(100_000);

fn terms(rate: u32, burst: u32) -> QuotaTerms {
    let rate = RequestRate::per_second(rate);
    QuotaTerms::new(&Quota { rate, burst }, &QuotaSettings::default())
}

fn lender(terms: QuotaTerms) -> Lender {
    Lender {
        owner: OWNER,
        terms,
        known: 10,
    }
}

fn claim(wanted: u32, unspent: u32) -> QuotaClaim {
    QuotaClaim {
        organisation: ORGANISATION,
        wanted,
        unspent,
    }
}

fn grant(tokens: u32, wait: u64) -> QuotaGrant {
    QuotaGrant {
        organisation: ORGANISATION,
        tokens,
        lifetime: Millis(1000),
        wait: Millis(wait),
        is_owner: true,
    }
}

/// More tokens lent and unspent could all be spent in the window after they were lent.
#[test]
fn no_more_than_half_the_margin_is_lent_beyond_single_tokens() {
    let terms = terms(1000, 1000);
    let mut owner = QuotaOwner::new(Millis::ZERO);
    let mut lent = Vec::new();
    for borrower in 0..40 {
        let grant = owner.claim(NOW, InstanceId(borrower), &claim(64, 0), &terms);
        lent.push(grant.tokens);
    }
    let beyond: u32 = lent.iter().filter(|t| **t > 1).sum();
    assert!(f64::from(beyond) <= terms.margin / 2.0, "{beyond}");
    assert!(lent.iter().all(|t| *t >= 1), "{lent:?}");
}

#[test]
fn returned_tokens_go_back_only_within_the_lifetime() {
    let terms = terms(0, 20);
    let mut owner = QuotaOwner::new(Millis::ZERO);
    let lent = owner.claim(NOW, InstanceId(2), &claim(5, 0), &terms).tokens;
    assert_eq!(lent, 5);
    owner.claim(NOW + Millis(900), InstanceId(2), &claim(0, 5), &terms);
    // A second return of the same tokens has no effect.
    owner.claim(NOW + Millis(900), InstanceId(2), &claim(0, 5), &terms);
    let again = owner.claim(NOW + Millis(950), InstanceId(3), &claim(5, 0), &terms);
    assert_eq!(again.tokens, 5);
    owner.claim(NOW + Millis(2000), InstanceId(3), &claim(0, 5), &terms);
    let left = owner.claim(NOW + Millis(2001), InstanceId(4), &claim(5, 0), &terms);
    assert_eq!(left.tokens, 0, "void tokens came back");
}

#[test]
fn a_new_owner_starts_with_a_quarter_of_the_margin() {
    let terms = terms(200, 200);
    let mut owner = QuotaOwner::new(NOW);
    let served = (0..300)
        .filter(|_| owner.take(NOW, ORGANISATION, &terms).is_ok())
        .count();
    assert_eq!(served, 35);
    owner.change_members(NOW, |_| false);
    assert!(owner.is_empty());
}

#[test]
fn a_lowered_burst_cuts_the_bucket_at_once() {
    let mut owner = QuotaOwner::new(Millis::ZERO);
    assert!(owner.take(NOW, ORGANISATION, &terms(100, 100)).is_ok());
    let lowered = terms(1, 3);
    let served = (0..100)
        .filter(|_| owner.take(NOW, ORGANISATION, &lowered).is_ok())
        .count();
    assert_eq!(served, 3);
}

/// A caller that waits as told must find a token that no other told caller was promised.
#[test]
fn the_told_time_is_never_before_there_is_room() {
    let terms = terms(10, 1);
    let mut owner = QuotaOwner::new(Millis::ZERO);
    let mut told = Vec::new();
    for _ in 0..12 {
        if let Err(wait) = owner.take(NOW, ORGANISATION, &terms) {
            told.push(NOW + wait);
        }
    }
    assert_eq!(told.len(), 11);
    for at in told {
        assert!(owner.take(at, ORGANISATION, &terms).is_ok(), "at {at}");
    }
}

#[test]
fn requests_that_wait_share_one_claim() {
    let lender = lender(terms(100, 100));
    let mut borrower = QuotaBorrower::new(SeededRandom::new(1));
    for _ in 0..5 {
        let request = borrower.request(NOW, ORGANISATION, &lender);
        assert_eq!(request.decision, Decision::Waits);
    }
    let claim = borrower.ask(NOW, ORGANISATION, OWNER).expect("a claim");
    assert_eq!(claim.wanted, 5);
    assert_eq!(borrower.ask(NOW, ORGANISATION, OWNER), None);
    let settlement = borrower.receive(NOW, &grant(3, 20), &lender);
    let granted = settlement.decisions.iter();
    let granted = granted.filter(|d| **d == Decision::Granted).count();
    assert_eq!((granted, settlement.decisions.len()), (3, 5));
    assert!(matches!(settlement.decisions[4], Decision::Refused(wait) if wait >= Millis(20)));
}

#[test]
fn tokens_are_void_once_their_lifetime_has_passed_since_the_claim() {
    let lender = lender(terms(100, 100));
    let mut borrower = QuotaBorrower::new(SeededRandom::new(1));
    borrower.request(NOW, ORGANISATION, &lender);
    borrower.ask(NOW, ORGANISATION, OWNER);
    borrower.receive(NOW + Millis(200), &grant(3, 0), &lender);
    let in_time = borrower.request(NOW + Millis(999), ORGANISATION, &lender);
    assert_eq!(in_time.decision, Decision::Granted);
    let late = borrower.request(NOW + Millis(1000), ORGANISATION, &lender);
    assert_eq!(late.decision, Decision::Waits);
}

/// A token spent while its renewal is under way must not be counted as held again.
#[test]
fn tokens_spent_during_a_renewal_are_not_granted_twice() {
    let lender = lender(terms(100, 100));
    let mut borrower = QuotaBorrower::new(SeededRandom::new(1));
    borrower.request(NOW, ORGANISATION, &lender);
    borrower.ask(NOW, ORGANISATION, OWNER);
    borrower.receive(NOW, &grant(11, 0), &lender);
    let asked: Vec<bool> = (0..5)
        .map(|_| borrower.request(NOW, ORGANISATION, &lender).should_ask)
        .collect();
    assert_eq!(asked, [false, false, false, false, true]);
    let renewal = borrower.ask(NOW, ORGANISATION, OWNER).expect("a claim");
    assert_eq!(renewal.unspent, 5);
    borrower.request(NOW, ORGANISATION, &lender);
    borrower.request(NOW, ORGANISATION, &lender);
    borrower.receive(NOW, &grant(5, 0), &lender);
    let held = (0..5)
        .filter(|_| borrower.request(NOW, ORGANISATION, &lender).decision == Decision::Granted)
        .count();
    assert_eq!(held, 3);
}

#[test]
fn a_token_whose_request_did_not_run_serves_the_next_one() {
    let lender = lender(terms(1, 1));
    let mut borrower = QuotaBorrower::new(SeededRandom::new(1));
    borrower.put_back(NOW, ORGANISATION);
    let next = borrower.request(NOW + Millis(100), ORGANISATION, &lender);
    assert_eq!(next.decision, Decision::Granted);
    borrower.put_back(NOW, ORGANISATION);
    let late = borrower.request(NOW + Millis(400), ORGANISATION, &lender);
    assert_eq!(late.decision, Decision::Waits);
}
