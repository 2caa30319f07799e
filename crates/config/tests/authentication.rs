//! Tests of the decision about requests with and without keys, and of the check of organisations.

use rf_base::{Millis, OrganisationName};
use rf_config::organisations::{KeyError, combined_class};
use rf_config::{
    Admittance, Caller, Credential, KeyFault, KeyHash, KeyIndex, Lineage, Organisation, PathRoute,
    Quota, RepeatPolicy, RouteTable, authenticate,
};

fn route(is_public: bool) -> PathRoute {
    PathRoute {
        name: "read".to_owned(),
        prefix: "/".to_owned(),
        repeat: RepeatPolicy::Idempotent,
        attempts: 2,
        timeout: Millis(1000),
        target: Millis(300),
        priority: 3,
        parts: Vec::new(),
        is_public,
    }
}

fn organisation(keys: &[&str], priority: u8) -> Organisation {
    Organisation {
        keys: keys.iter().map(|k| KeyHash::of(k)).collect(),
        priority,
        quota: None,
    }
}

fn table(organisations: &[(&str, &[&str], u8)]) -> RouteTable {
    let organisations = organisations.iter();
    let organisations =
        organisations.map(|(name, keys, priority)| ((*name).into(), organisation(keys, *priority)));
    RouteTable {
        organisations: organisations.collect(),
        ..RouteTable::default()
    }
}

fn decide(table: &RouteTable, public: bool, lineage: Lineage, sent: Credential) -> Admittance {
    let index = KeyIndex::new(&table.organisations);
    authenticate(table, &index, &route(public), lineage, || sent)
}

fn admitted(admittance: Admittance) -> Caller {
    match admittance {
        Admittance::Admitted(caller) => caller,
        other => panic!("expected an admitted caller, found {other:?}"),
    }
}

#[test]
fn a_key_admits_its_organisation_with_the_combined_class() {
    let table = table(&[("a", &["k1", "k2"], 2), ("b", &["k3"], 0)]);
    for (key, name, class) in [("k1", "a", 35), ("k2", "a", 35), ("k3", "b", 3)] {
        for public in [false, true] {
            let sent = Credential::Key(KeyHash::of(key));
            let caller = admitted(decide(&table, public, Lineage::Caller, sent));
            assert_eq!((caller.name(), caller.class), (Some(name), class));
            assert!(caller.is_checked);
        }
    }
}

#[test]
fn a_request_without_a_valid_key_is_admitted_on_public_routes_only() {
    let table = table(&[("a", &["k1"], 0)]);
    for (sent, fault) in [
        (Credential::Absent, KeyFault::NoKey),
        (Credential::Malformed, KeyFault::MalformedKey),
        (Credential::Several, KeyFault::TwoKeys),
        (Credential::Key(KeyHash::of("k")), KeyFault::UnknownKey),
    ] {
        let refused = decide(&table, false, Lineage::Caller, sent);
        assert_eq!(refused, Admittance::Unauthorised(fault));
        let caller = admitted(decide(&table, true, Lineage::Caller, sent));
        // Organisation priority 1 and route priority 3.
        assert_eq!((caller.name(), caller.class), (None, 19));
    }
}

#[test]
fn a_nested_call_needs_no_key_and_an_orphan_is_never_unauthorised_without_one() {
    let table = table(&[("a", &["k1"], 0)]);
    let key = Credential::Key(KeyHash::of("k1"));
    for sent in [Credential::Absent, Credential::Several, key] {
        let caller = admitted(decide(&table, false, Lineage::Nested, sent));
        assert_eq!(caller.organisation, None);
    }
    let orphan = |public, sent| decide(&table, public, Lineage::Orphan, sent);
    assert_eq!(orphan(false, Credential::Absent), Admittance::Orphaned);
    assert_eq!(admitted(orphan(true, Credential::Absent)).class, 19);
    assert_eq!(admitted(orphan(false, key)).name(), Some("a"));
    let wrong = orphan(false, Credential::Malformed);
    assert_eq!(wrong, Admittance::Unauthorised(KeyFault::MalformedKey));
}

#[test]
fn without_organisations_no_key_is_read_and_the_class_is_that_of_the_route() {
    let table = RouteTable::default();
    let unread = || panic!("the key must not be read");
    for lineage in [Lineage::Caller, Lineage::Nested, Lineage::Orphan] {
        let index = KeyIndex::default();
        let caller = admitted(authenticate(&table, &index, &route(false), lineage, unread));
        assert_eq!((caller.class, caller.is_checked), (3, false));
    }
}

#[test]
fn the_priority_of_the_organisation_precedes_that_of_the_route() {
    assert!(combined_class(Some(0), 255) < combined_class(Some(1), 0));
    assert!(combined_class(Some(14), 15) < combined_class(Some(15), 0));
    assert_eq!(combined_class(Some(200), 200), 255);
    assert_eq!(combined_class(None, 0), combined_class(Some(1), 0));
}

#[test]
fn keys_that_are_no_visible_ascii_are_refused() {
    assert_eq!(KeyHash::parse(""), Err(KeyError::Empty));
    assert_eq!(KeyHash::parse(&"k".repeat(257)), Err(KeyError::TooLong));
    assert!(KeyHash::parse(&"k".repeat(256)).is_ok());
    for text in ["a b", "a\n", "\u{e9}", "a\u{7f}", "\t"] {
        assert_eq!(KeyHash::parse(text), Err(KeyError::Character), "{text:?}");
    }
}

#[test]
fn a_table_with_invalid_organisations_reports_each_error() {
    let mut table = table(&[
        ("", &["k1"], 0),
        ("a\nb", &["k2"], 0),
        (" a", &["k3"], 0),
        ("x", &["k4", "k5", "k6"], 0),
        ("y", &["k4", "k5"], 0),
    ]);
    let name: OrganisationName = "x".into();
    let quota = Quota {
        burst: 1_000_001,
        ..Quota::default()
    };
    table.organisations.entry(name).or_default().quota = Some(quota);
    let errors = table.verify();
    let expected = [
        "organisation \"\": the name is empty",
        "organisation \" a\": the name cannot stand in a header field",
        "organisation \"a\\nb\": the name cannot stand in a header field",
        "organisation x: burst is over 1000000",
        "organisations x and y have one key",
    ];
    assert_eq!(errors, expected);
}
