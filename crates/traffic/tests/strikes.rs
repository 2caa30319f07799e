//! Requests that crash backend servers, and those that only ran beside.

use rf_base::{InstanceId, Millis};
use rf_protocol::Strike;
use rf_traffic::StrikeBook;

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
    let mut book = StrikeBook::default();
    for instance in 1..=3 {
        let at = instance * 1000;
        assert!(book.merge(Millis(at), &strike(instance, at)));
        assert_eq!(book.count(REQUEST), 1);
        assert!(book.absolve(REQUEST));
        assert_eq!(book.count(REQUEST), 0);
    }
}

#[test]
fn strikes_that_were_absolved_do_not_come_back_with_late_news() {
    let mut book = StrikeBook::default();
    book.merge(Millis(1000), &strike(1, 1000));
    book.absolve(REQUEST);
    assert!(!book.merge(Millis(1500), &strike(1, 1000)));
    assert_eq!(book.count(REQUEST), 0);
    assert!(book.all().is_empty());
    assert!(
        book.merge(Millis(2000), &strike(1, 1900)),
        "a new death counts"
    );
    assert_eq!(book.count(REQUEST), 1);
}

#[test]
fn a_request_that_is_never_answered_collects_its_strikes() {
    let mut book = StrikeBook::default();
    for instance in 1..=3 {
        book.merge(Millis(1000), &strike(instance, 900));
        book.merge(Millis(1100), &strike(instance, 900));
    }
    assert_eq!(book.count(REQUEST), 3);
    assert!(!book.absolve(REQUEST + 1));
}
