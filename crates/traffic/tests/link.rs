//! A thin link as a limit of admission.

use rf_base::Millis;
use rf_traffic::Link;
use rf_traffic::link::Pacer;

/// Makes a link that sends 850 usable bytes a millisecond.
fn thin() -> Link {
    Link::new(8.0)
}

#[test]
fn downloads_beyond_the_patience_are_refused_with_the_time_of_room() {
    let link = thin();
    let first = link.admit(85_000, Millis(50)).expect("the link is idle");
    assert_eq!(link.backlog(), Millis(100));
    assert_eq!(link.admit(85_000, Millis(50)).err(), Some(Millis(50)));
    drop(first);
    assert!(link.admit(85_000, Millis(50)).is_ok());
}

#[test]
fn as_many_messages_are_sent_at_a_time_as_fill_the_link() {
    assert_eq!(thin().parallel_connections(), 2);
    assert_eq!(Link::new(200.0).parallel_connections(), 7);
    assert_eq!(thin().transfer_time(85_000), Millis(100));
}

#[test]
fn a_request_that_can_wait_longer_is_admitted_behind_others() {
    let link = thin();
    let _first = link.reserve(85_000);
    assert!(link.admit(400, Millis(100)).is_ok());
}

#[test]
fn a_fast_link_never_refuses_what_its_slots_can_run() {
    let link = Link::new(1000.0);
    let _held: Vec<_> = (0..12).map(|_| link.reserve(540_000)).collect();
    assert!(link.admit(540_000, Millis(80)).is_ok());
}

/// Plays one second of a link on which downloads are always ready and a short answer of 1,000 bytes
/// comes every 20 ms; returns the bytes of downloads and the longest queue, in milliseconds.
fn play(pacer: &mut Pacer, rate: f64) -> (u64, f64) {
    let (mut long, mut queue, mut longest) = (0, 0.0f64, 0.0f64);
    for now in 0..1000 {
        queue = (queue - rate).max(0.0);
        if now % 20 == 0 {
            longest = longest.max(queue / rate);
            pacer.record_sent(Millis(now), 1000);
            queue += 1000.0;
        }
        while pacer.wait(Millis(now)) == Millis::ZERO {
            pacer.record_sent(Millis(now), 16_000);
            queue += 16_000.0;
            long += 16_000;
        }
    }
    (long, longest)
}

#[test]
fn downloads_take_what_short_answers_leave_and_build_no_queue_before_them() {
    let link = thin();
    let (long, queue) = play(&mut Pacer::new(&link), 1000.0);
    assert!(queue < 30.0, "a short answer waited for {queue} ms");
    assert!(long > 700_000, "{long} bytes of downloads in a second");
}
