//! Tests of admission and pacing on a slow link.

use rf_base::Millis;
use rf_traffic::Link;
use rf_traffic::link::Pacer;

/// Returns a link of 8 megabits per second, with 850 usable bytes per millisecond.
fn slow_link() -> Link {
    Link::new(8.0)
}

#[test]
fn a_download_behind_a_long_backlog_is_refused_with_the_time_to_wait() {
    let link = slow_link();
    let first = link.admit(85_000, Millis(50)).expect("the link is idle");
    assert_eq!(link.backlog(), Millis(100));
    assert_eq!(link.admit(85_000, Millis(50)).err(), Some(Millis(50)));
    drop(first);
    assert!(link.admit(85_000, Millis(50)).is_ok());
}

#[test]
fn parallel_connections_saturate_the_link() {
    assert_eq!(slow_link().parallel_connections(), 2);
    assert_eq!(Link::new(200.0).parallel_connections(), 7);
    assert_eq!(slow_link().transfer_time(85_000), Millis(100));
}

#[test]
fn a_request_that_can_wait_for_the_backlog_is_admitted() {
    let link = slow_link();
    let _first = link.reserve(85_000);
    assert!(link.admit(400, Millis(100)).is_ok());
}

#[test]
fn a_fast_link_admits_the_answers_of_all_slots() {
    let link = Link::new(1000.0);
    let _held: Vec<_> = (0..12).map(|_| link.reserve(540_000)).collect();
    assert!(link.admit(540_000, Millis(80)).is_ok());
}

/// Simulates one second of a link on which downloads are always ready and a small answer of 1,000
/// bytes is sent every 20 ms.
///
/// Returns the bytes of downloads and the longest queue that a small answer found, in milliseconds.
fn simulate(pacer: &mut Pacer, rate: f64) -> (u64, f64) {
    let (mut downloaded, mut queue, mut longest) = (0, 0.0f64, 0.0f64);
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
            downloaded += 16_000;
        }
    }
    (downloaded, longest)
}

#[test]
fn paced_downloads_use_the_spare_capacity_without_delaying_small_answers() {
    let link = slow_link();
    let (downloaded, queue) = simulate(&mut Pacer::new(&link), 1000.0);
    assert!(queue < 30.0, "a small answer waited for {queue} ms");
    assert!(
        downloaded > 700_000,
        "{downloaded} bytes of downloads in a second"
    );
}
