//! Tests that requests which crash backend servers are told apart from requests that ran beside
//! them.

use rf_base::{InstanceId, Millis};
use rf_protocol::Strike;
use rf_traffic::StrikeTable;

const REQUEST: u64 = 7;

fn strike(instance: u64, at: u64) -> Strike {
    Strike {
        fingerprint: REQUEST,
        instance: InstanceId(instance),
        at: Millis(at),
    }
}

/// Guards against blocking a frequent request that is answered between the crashes of three servers
/// that crash for other reasons.
#[test]
fn a_request_that_is_answered_between_crashes_is_not_blocked() {
    let mut table = StrikeTable::default();
    for instance in 1..=3 {
        let at = instance * 1000;
        assert!(table.merge(Millis(at), &strike(instance, at)));
        assert_eq!(table.count(REQUEST), 1);
        assert!(table.mark_cleared(REQUEST));
        assert_eq!(table.count(REQUEST), 0);
    }
}

#[test]
fn late_copies_of_cleared_strikes_do_not_count() {
    let mut table = StrikeTable::default();
    table.merge(Millis(1000), &strike(1, 1000));
    table.mark_cleared(REQUEST);
    assert!(!table.merge(Millis(1500), &strike(1, 1000)));
    assert_eq!(table.count(REQUEST), 0);
    assert!(table.all().is_empty());
    assert!(
        table.merge(Millis(2000), &strike(1, 1900)),
        "a new crash counts"
    );
    assert_eq!(table.count(REQUEST), 1);
}

#[test]
fn strikes_of_a_request_that_is_never_answered_add_up() {
    let mut table = StrikeTable::default();
    for instance in 1..=3 {
        table.merge(Millis(1000), &strike(instance, 900));
        table.merge(Millis(1100), &strike(instance, 900));
    }
    assert_eq!(table.count(REQUEST), 3);
    assert!(!table.mark_cleared(REQUEST + 1));
}

#[test]
fn tables_that_exchange_records_in_any_order_converge() {
    let now = Millis(2000);
    let send = |from: &StrikeTable, to: &mut StrikeTable| {
        for (strike, is_cleared) in from.records(REQUEST) {
            match is_cleared {
                true => to.merge_cleared(now, &strike),
                false => to.merge(now, &strike),
            };
        }
    };
    let (mut one, mut other) = (StrikeTable::default(), StrikeTable::default());
    one.merge(now, &strike(1, 1000));
    one.mark_cleared(REQUEST);
    one.merge(now, &strike(2, 1500));
    other.merge(now, &strike(1, 1000));
    other.merge(now, &strike(1, 1950));
    other.merge(now, &strike(3, 1700));
    assert_ne!(one.digest(), other.digest());
    let before = one.clone();
    send(&other, &mut one);
    send(&before, &mut other);
    assert_eq!(one.digest(), other.digest());
    assert_eq!((one.count(REQUEST), other.count(REQUEST)), (3, 3));
    one.prune(Millis(900_000));
    assert_eq!(one.digest(), 0);
}

/// Attempts of two callers can run on the same server again after it has restarted.
#[test]
fn each_crash_of_the_same_server_counts_once() {
    let mut table = StrikeTable::default();
    let now = Millis(9000);
    assert!(table.merge(now, &strike(4, 1000)));
    assert!(
        !table.merge(now, &strike(4, 1012)),
        "another strike of the same crash"
    );
    assert!(table.merge(now, &strike(4, 4000)));
    assert!(table.merge(now, &strike(5, 4010)));
    assert_eq!(table.count(REQUEST), 3);
}
