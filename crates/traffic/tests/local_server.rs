//! Tests of announcements that arrive late, twice, out of order or from another server.

use rf_base::{Millis, ServiceName};
use rf_traffic::local_server::{Announcement, Change, Ignored, LocalServerState};

/// Default arrival time of announcements and withdrawals.
const NOW: Millis = Millis(1000);

fn announcement(id: &str, started_ms: u64, seq: u64, is_ready: bool) -> Announcement {
    Announcement {
        id: id.to_owned(),
        started_ms,
        seq,
        address: "10.0.0.1:80".parse().expect("an address"),
        service: ServiceName::from("payments"),
        version: "v1".into(),
        slots: 6,
        is_ready,
        warmup_left: Millis::ZERO,
    }
}

fn new_state() -> LocalServerState {
    let address = "10.0.0.1:80".parse().expect("an address");
    LocalServerState::new(ServiceName::from("payments"), address)
}

fn announce(state: &mut LocalServerState, announcement: &Announcement) -> Change {
    state.announce(NOW, announcement)
}

#[test]
fn a_ready_announcement_opens_and_a_repeat_changes_nothing() {
    let mut state = new_state();
    assert_eq!(
        announce(&mut state, &announcement("a", 1, 1, true)),
        Change::Opened
    );
    assert_eq!(
        announce(&mut state, &announcement("a", 1, 2, true)),
        Change::Same
    );
    assert_eq!(state.server().map(|r| r.id.as_str()), Some("a"));
}

#[test]
fn a_late_announcement_does_not_reopen_a_closed_server() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 1, 1, true));
    assert_eq!(
        announce(&mut state, &announcement("a", 1, 5, false)),
        Change::Closed
    );
    let late = announce(&mut state, &announcement("a", 1, 4, true));
    assert_eq!(late, Change::Ignored(Ignored::Stale));
    let after_end = announce(&mut state, &announcement("a", 1, 6, true));
    assert_eq!(after_end, Change::Ignored(Ignored::Departed));
    assert!(state.server().is_none());
}

#[test]
fn an_earlier_process_does_not_replace_a_later_one() {
    let mut state = new_state();
    announce(&mut state, &announcement("b", 20, 1, true));
    let old = announce(&mut state, &announcement("a", 10, 99, true));
    assert_eq!(old, Change::Ignored(Ignored::Stale));
    let gone = state.withdraw(NOW, "a", Some(10));
    assert_eq!(gone, Change::Ignored(Ignored::Stale));
    assert_eq!(state.server().map(|r| r.id.as_str()), Some("b"));
}

#[test]
fn a_restarted_process_with_the_same_id_is_accepted() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 10, 50, true));
    assert_eq!(state.withdraw(NOW, "a", None), Change::Closed);
    assert_eq!(
        announce(&mut state, &announcement("a", 11, 1, true)),
        Change::Opened
    );
}

#[test]
fn a_withdrawal_closes_without_an_unready_announcement_before() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 10, 1, true));
    assert_eq!(state.withdraw(NOW, "a", Some(10)), Change::Closed);
    let late = announce(&mut state, &announcement("a", 10, 2, true));
    assert!(matches!(late, Change::Ignored(_)));
}

#[test]
fn announcements_of_another_service_or_address_are_ignored() {
    let mut state = new_state();
    let mut other = announcement("a", 1, 1, true);
    other.service = ServiceName::from("records");
    assert_eq!(
        announce(&mut state, &other),
        Change::Ignored(Ignored::Foreign)
    );
    let mut other = announcement("a", 1, 1, true);
    other.address = "10.0.0.2:80".parse().expect("an address");
    assert_eq!(
        announce(&mut state, &other),
        Change::Ignored(Ignored::Foreign)
    );
    assert!(state.server().is_none());
}

/// Guards against a closed server that opens again: the daemon restarted and knows the process only
/// by its withdrawal when a heartbeat from before the withdrawal arrives seconds later.
#[test]
fn late_heartbeats_do_not_undo_a_withdrawal_without_a_start_time() {
    let mut state = new_state();
    assert_eq!(state.withdraw(NOW, "a", None), Change::Departed);
    let late = state.announce(NOW + Millis(2300), &announcement("a", 10, 18, true));
    assert_eq!(late, Change::Ignored(Ignored::Departed));
    assert!(state.server().is_none());
    let later_process = state.announce(NOW + Millis(5000), &announcement("a", 4000, 1, true));
    assert_eq!(later_process, Change::Opened);
}

#[test]
fn a_withdrawal_does_not_block_a_successor_process() {
    let mut state = new_state();
    state.withdraw(NOW, "a", None);
    let successor = state.announce(NOW + Millis(100), &announcement("b", 900, 1, true));
    assert_eq!(successor, Change::Opened);
}

#[test]
fn a_new_cold_start_updates_the_server() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 1, 1, true));
    let warming = Announcement {
        warmup_left: Millis(3000),
        ..announcement("a", 1, 2, true)
    };
    assert_eq!(announce(&mut state, &warming), Change::Opened);
    let warm_at = state.server().map(|r| r.warm_at);
    assert_eq!(warm_at, Some(NOW + Millis(3000)));
    // The same end of the cold start, announced one second later.
    let later = Announcement {
        warmup_left: Millis(2000),
        seq: 3,
        ..warming
    };
    let change = state.announce(NOW + Millis(1000), &later);
    assert_eq!(change, Change::Same);
}

// Guards against a server that is never used again because an odd heartbeat outranks all its own.
#[test]
fn a_start_time_far_in_the_future_outranks_no_other() {
    for started_ms in [u64::MAX, 1 << 50] {
        let odd = announcement("odd", started_ms, 1, true);
        let mut state = new_state();
        announce(&mut state, &odd);
        let own = announce(&mut state, &announcement("a", 1, 1, true));
        assert_eq!(own, Change::Opened);
        assert_eq!(announce(&mut state, &odd), Change::Ignored(Ignored::Stale));
        let gone = state.withdraw(NOW, "odd", Some(started_ms));
        assert_eq!(gone, Change::Ignored(Ignored::Stale));
        assert_eq!(state.server().map(|r| r.id.as_str()), Some("a"));
        // A withdrawal of the known process is obeyed, whatever start time it names.
        assert_eq!(state.withdraw(NOW, "a", Some(started_ms)), Change::Closed);
    }
}

// Guards against a proxy that restarts after a withdrawal and opens its gate on a late heartbeat.
#[test]
fn a_departure_that_others_remember_outlives_a_restart() {
    let mut before = new_state();
    announce(&mut before, &announcement("a", 10, 5, true));
    assert_eq!(before.withdraw(NOW, "a", None), Change::Closed);
    let departed = before.departed().expect("the process is known");
    let mut restarted = new_state();
    assert_eq!(restarted.adopt(NOW, &departed), Change::Departed);
    assert_eq!(restarted.adopt(NOW, &departed), Change::Same);
    let late = announce(&mut restarted, &announcement("a", 10, 4, true));
    assert_eq!(late, Change::Ignored(Ignored::Departed));
    assert!(restarted.server().is_none());
    let next = announce(&mut restarted, &announcement("a", 11, 1, true));
    assert_eq!(next, Change::Opened);
}

// Guards against the same after a late heartbeat that came before the news, and against a server in
// use that closes because an earlier process left.
#[test]
fn a_departure_closes_the_process_that_it_names_and_no_other() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 10, 4, true));
    let used = state.server().expect("it is in use").process();
    assert_eq!(state.leave(NOW, used), Change::Closed);
    let departed = state.departed().expect("it is known");
    assert_eq!(departed.process, used);
    let mut told = new_state();
    announce(&mut told, &announcement("a", 10, 4, true));
    assert_eq!(told.adopt(NOW, &departed), Change::Closed);
    let mut replaced = new_state();
    announce(&mut replaced, &announcement("b", 20, 1, true));
    assert_eq!(replaced.adopt(NOW, &departed), Change::Departed);
    assert!(replaced.server().is_some());
}

// Guards against a departure that is known only from a draining heartbeat or a withdrawal that
// arrived after a restart, and is forgotten by the next restart.
#[test]
fn a_departure_without_a_server_in_use_is_told_too() {
    let mut drained = new_state();
    let change = announce(&mut drained, &announcement("a", 10, 6, false));
    assert_eq!(change, Change::Departed);
    let mut withdrawn = new_state();
    assert_eq!(withdrawn.withdraw(NOW, "a", Some(10)), Change::Departed);
    assert!(drained.departed().is_some());
    assert_eq!(drained.departed(), withdrawn.departed());
}

// Guards against a departure that is ignored because the clock was set back before the server was
// started again under its id.
#[test]
fn a_departure_with_an_earlier_start_time_closes_the_server() {
    let depart: [fn(&mut LocalServerState) -> Change; 2] = [
        |state| announce(state, &announcement("a", 4, 3, false)),
        |state| state.withdraw(NOW, "a", Some(4)),
    ];
    for depart in depart {
        let mut state = new_state();
        announce(&mut state, &announcement("a", 10, 50, true));
        announce(&mut state, &announcement("a", 4, 1, true));
        assert_eq!(depart(&mut state), Change::Closed);
        // One late heartbeat of either process opens nothing.
        let late = announce(&mut state, &announcement("a", 10, 51, true));
        assert!(matches!(late, Change::Ignored(_)));
        let late = announce(&mut state, &announcement("a", 4, 2, true));
        assert!(matches!(late, Change::Ignored(_)));
        assert!(state.server().is_none());
    }
}

// Guards against a server that is not used again because a message of an earlier process was late.
#[test]
fn a_server_that_goes_on_announcing_itself_is_used_after_a_late_departure() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 10, 5, true));
    assert_eq!(state.withdraw(NOW, "a", Some(4)), Change::Closed);
    announce(&mut state, &announcement("a", 10, 6, true));
    let second = announce(&mut state, &announcement("a", 10, 7, true));
    assert_eq!(second, Change::Opened);
}

// Guards against a server that is never used because the clock was set back before its start.
#[test]
fn a_process_with_an_earlier_start_time_replaces_a_silent_one() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 10, 50, true));
    for (after, seq, change) in [
        (500, 1, Change::Ignored(Ignored::Stale)),
        (1400, 2, Change::Ignored(Ignored::Stale)),
        (2900, 3, Change::Ignored(Ignored::Stale)),
        (3100, 4, Change::Opened),
    ] {
        let later = announcement("b", 4, seq, true);
        assert_eq!(state.announce(NOW + Millis(after), &later), change);
    }
    // The one before can't return with a single late heartbeat.
    let late = state.announce(NOW + Millis(3200), &announcement("a", 10, 51, true));
    assert_eq!(late, Change::Ignored(Ignored::Stale));
    assert_eq!(state.server().map(|s| s.id.as_str()), Some("b"));
}

// Guards against late heartbeats of an earlier process that replace the one in use.
#[test]
fn late_announcements_do_not_replace_a_process_that_goes_on() {
    let mut state = new_state();
    for round in 0..8 {
        let now = NOW + Millis(900 * round);
        let own = state.announce(now, &announcement("a", 10, 10 + round, true));
        assert!(matches!(own, Change::Opened | Change::Same));
        for seq in [2 * round, 2 * round + 1] {
            let late = announcement("b", 4, seq, true);
            let late = state.announce(now + Millis(10), &late);
            assert_eq!(late, Change::Ignored(Ignored::Stale));
        }
    }
}

// Guards against a late heartbeat that opens a gate of which it is not known yet who has left.
#[test]
fn no_server_is_used_before_it_is_known_which_process_has_left() {
    let mut state = new_state();
    state.hold();
    let early = announce(&mut state, &announcement("a", 10, 4, true));
    assert_eq!(early, Change::Ignored(Ignored::Unconfirmed));
    state.confirm();
    let next = announce(&mut state, &announcement("a", 10, 5, true));
    assert_eq!(next, Change::Opened);
}

// Guards against an earlier process under the same id whose heartbeat arrives after a restart.
#[test]
fn a_departure_covers_the_earlier_processes_of_its_id() {
    let mut before = new_state();
    announce(&mut before, &announcement("a", 10, 5, true));
    before.withdraw(NOW, "a", None);
    let departed = before.departed().expect("the process is known");
    let mut restarted = new_state();
    restarted.adopt(NOW, &departed);
    let late = announce(&mut restarted, &announcement("a", 7, 90, true));
    assert_eq!(late, Change::Ignored(Ignored::Departed));
}

// Guards against a server that leaves and whose announcements name another service or address.
#[test]
fn a_departure_is_obeyed_whatever_else_it_names() {
    let mut state = new_state();
    announce(&mut state, &announcement("a", 1, 1, true));
    let mut leaving = announcement("a", 1, 2, false);
    leaving.service = ServiceName::from("records");
    assert_eq!(announce(&mut state, &leaving), Change::Closed);
}
