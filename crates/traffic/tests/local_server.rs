//! Announcements of a backend server that come late, twice, out of order or from strangers.

use rf_base::{Millis, ServiceName};
use rf_traffic::local_server::{Announcement, Change, Ignored, LocalServerState};

/// Time of every announcement and withdrawal that says no other.
const NOW: Millis = Millis(1000);

fn news(id: &str, born: u64, seq: u64, is_ready: bool) -> Announcement {
    Announcement {
        id: id.to_owned(),
        started_ms: born,
        seq,
        address: "10.0.0.1:80".parse().expect("an address"),
        service: ServiceName::from("payments"),
        version: "v1".into(),
        slots: 6,
        is_ready,
        warmup_left: Millis::ZERO,
    }
}

fn residence() -> LocalServerState {
    let address = "10.0.0.1:80".parse().expect("an address");
    LocalServerState::new(ServiceName::from("payments"), address)
}

fn announce(residence: &mut LocalServerState, news: &Announcement) -> Change {
    residence.announce(NOW, news)
}

#[test]
fn a_ready_announcement_opens_and_a_repeat_changes_nothing() {
    let mut residence = residence();
    assert_eq!(
        announce(&mut residence, &news("a", 1, 1, true)),
        Change::Opened
    );
    assert_eq!(
        announce(&mut residence, &news("a", 1, 2, true)),
        Change::Same
    );
    assert_eq!(residence.server().map(|r| r.id.as_str()), Some("a"));
}

#[test]
fn a_late_announcement_does_not_open_a_closed_gate() {
    let mut residence = residence();
    announce(&mut residence, &news("a", 1, 1, true));
    assert_eq!(
        announce(&mut residence, &news("a", 1, 5, false)),
        Change::Closed
    );
    let late = announce(&mut residence, &news("a", 1, 4, true));
    assert_eq!(late, Change::Ignored(Ignored::Stale));
    let forged = announce(&mut residence, &news("a", 1, 6, true));
    assert_eq!(forged, Change::Ignored(Ignored::Departed));
    assert!(residence.server().is_none());
}

#[test]
fn an_earlier_process_does_not_replace_a_later_one() {
    let mut residence = residence();
    announce(&mut residence, &news("b", 20, 1, true));
    let old = announce(&mut residence, &news("a", 10, 99, true));
    assert_eq!(old, Change::Ignored(Ignored::Stale));
    let gone = residence.withdraw(NOW, "a", Some(10));
    assert_eq!(gone, Change::Ignored(Ignored::Stale));
    assert_eq!(residence.server().map(|r| r.id.as_str()), Some("b"));
}

#[test]
fn a_process_that_starts_again_under_its_id_counts_anew() {
    let mut residence = residence();
    announce(&mut residence, &news("a", 10, 50, true));
    assert_eq!(residence.withdraw(NOW, "a", None), Change::Closed);
    assert_eq!(
        announce(&mut residence, &news("a", 11, 1, true)),
        Change::Opened
    );
}

#[test]
fn a_withdrawal_closes_without_a_word_before() {
    let mut residence = residence();
    announce(&mut residence, &news("a", 10, 1, true));
    assert_eq!(residence.withdraw(NOW, "a", Some(10)), Change::Closed);
    let late = announce(&mut residence, &news("a", 10, 2, true));
    assert!(matches!(late, Change::Ignored(_)));
}

#[test]
fn another_service_or_address_names_no_server_here() {
    let mut residence = residence();
    let mut other = news("a", 1, 1, true);
    other.service = ServiceName::from("records");
    assert_eq!(
        announce(&mut residence, &other),
        Change::Ignored(Ignored::Foreign)
    );
    let mut other = news("a", 1, 1, true);
    other.address = "10.0.0.2:80".parse().expect("an address");
    assert_eq!(
        announce(&mut residence, &other),
        Change::Ignored(Ignored::Foreign)
    );
    assert!(residence.server().is_none());
}

/// The process beside it restarted, so it knows the backend server by its withdrawal alone; a
/// heartbeat from before arrives seconds later.
#[test]
fn a_withdrawal_that_names_no_start_outlasts_late_heartbeats() {
    let mut residence = residence();
    assert_eq!(residence.withdraw(NOW, "a", None), Change::Same);
    let late = residence.announce(NOW + Millis(2300), &news("a", 10, 18, true));
    assert_eq!(late, Change::Ignored(Ignored::Departed));
    assert!(residence.server().is_none());
    let later_life = residence.announce(NOW + Millis(5000), &news("a", 4000, 1, true));
    assert_eq!(later_life, Change::Opened);
}

#[test]
fn a_withdrawal_does_not_stop_the_process_that_takes_the_place() {
    let mut residence = residence();
    residence.withdraw(NOW, "a", None);
    let successor = residence.announce(NOW + Millis(100), &news("b", 900, 1, true));
    assert_eq!(successor, Change::Opened);
}

#[test]
fn a_server_that_turns_cold_again_is_described_anew() {
    let mut residence = residence();
    announce(&mut residence, &news("a", 1, 1, true));
    let cold = Announcement {
        warmup_left: Millis(3000),
        ..news("a", 1, 2, true)
    };
    assert_eq!(announce(&mut residence, &cold), Change::Opened);
    let warm_at = residence.server().map(|r| r.warm_at);
    assert_eq!(warm_at, Some(NOW + Millis(3000)));
    // The same end of the cold, told a moment later.
    let later = Announcement {
        warmup_left: Millis(2000),
        seq: 3,
        ..cold
    };
    let change = residence.announce(NOW + Millis(1000), &later);
    assert_eq!(change, Change::Same);
}
