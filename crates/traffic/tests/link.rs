//! A thin link as a limit of admission.

use rf_base::Millis;
use rf_traffic::Link;

/// Makes a link that sends 900 usable bytes a millisecond.
fn thin() -> Link {
    Link::new(8.0)
}

#[test]
fn downloads_beyond_the_patience_are_refused_with_the_time_of_room() {
    let link = thin();
    let first = link.admit(90_000, Millis(50)).expect("the link is idle");
    assert_eq!(link.backlog(), Millis(100));
    assert_eq!(link.admit(90_000, Millis(50)).err(), Some(Millis(50)));
    drop(first);
    assert!(link.admit(90_000, Millis(50)).is_ok());
}

#[test]
fn a_request_that_can_wait_longer_is_admitted_behind_others() {
    let link = thin();
    let _first = link.commit(90_000);
    assert!(link.admit(400, Millis(100)).is_ok());
}

#[test]
fn a_fast_link_never_refuses_what_its_slots_can_run() {
    let link = Link::new(1000.0);
    let _held: Vec<_> = (0..12).map(|_| link.commit(540_000)).collect();
    assert!(link.admit(540_000, Millis(80)).is_ok());
}
