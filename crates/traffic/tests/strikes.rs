//! Requests that crash backend servers, and those that only ran beside.

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

/// A request that came all the time while three servers died one after the other, of other causes.
#[test]
fn a_request_that_is_answered_in_between_is_not_held_guilty() {
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
fn strikes_that_were_absolved_do_not_come_back_with_late_news() {
    let mut table = StrikeTable::default();
    table.merge(Millis(1000), &strike(1, 1000));
    table.mark_cleared(REQUEST);
    assert!(!table.merge(Millis(1500), &strike(1, 1000)));
    assert_eq!(table.count(REQUEST), 0);
    assert!(table.all().is_empty());
    assert!(
        table.merge(Millis(2000), &strike(1, 1900)),
        "a new death counts"
    );
    assert_eq!(table.count(REQUEST), 1);
}

#[test]
fn a_request_that_is_never_answered_collects_its_strikes() {
    let mut table = StrikeTable::default();
    for instance in 1..=3 {
        table.merge(Millis(1000), &strike(instance, 900));
        table.merge(Millis(1100), &strike(instance, 900));
    }
    assert_eq!(table.count(REQUEST), 3);
    assert!(!table.mark_cleared(REQUEST + 1));
}

#[test]
fn books_that_tell_each_other_their_marks_in_any_order_end_alike() {
    let now = Millis(2000);
    let tell = |from: &StrikeTable, to: &mut StrikeTable| {
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
    tell(&other, &mut one);
    tell(&before, &mut other);
    assert_eq!(one.digest(), other.digest());
    assert_eq!((one.count(REQUEST), other.count(REQUEST)), (3, 3));
    one.prune(Millis(900_000));
    assert_eq!(one.digest(), 0);
}

/// Two callers' attempts may meet the same server again once it is back.
#[test]
fn each_death_of_the_same_server_counts_but_one_death_only_once() {
    let mut table = StrikeTable::default();
    let now = Millis(9000);
    assert!(table.merge(now, &strike(4, 1000)));
    assert!(!table.merge(now, &strike(4, 1012)), "another call of it");
    assert!(table.merge(now, &strike(4, 4000)));
    assert!(table.merge(now, &strike(5, 4010)));
    assert_eq!(table.count(REQUEST), 3);
}
