//! Tests of the control state machine on a virtual clock: route tables, rollouts, and the selection
//! of the proxies that follow the store.

use rf_base::{ConfigVersion, Incarnation, InstanceId, Millis, SeededRandom, ServiceName};
use rf_config::{Revision, Rollout, RolloutState, RouteTable};
use rf_membership::ExchangeTarget;
use rf_protocol::relay::{GossipUpdate, RelayReply, RolloutUpdate};
use rf_protocol::{Departure, Exchange, ExchangeReply, Member, Strike};
use rf_proxy::control::event::MessageKind;
use rf_proxy::control::machine::ControlSettings;
use rf_proxy::control::rollouts::{RolloutTracker, VersionRule};
use rf_proxy::control::{Action, Control, Event};
use rf_proxy::source::{Snapshot, Topic};

const START: Millis = Millis(1_000_000);

fn at(offset: u64) -> Millis {
    START + Millis(offset)
}

fn control() -> Control {
    control_of("a")
}

fn control_of(name: &str) -> Control {
    let settings = ControlSettings {
        name: name.to_owned(),
        zone: "z".into(),
        region: "r".to_owned(),
        relay: "10.0.0.1:1".parse().expect("an address"),
        incarnation: Incarnation(START.0),
        started: START,
    };
    Control::new(settings, SeededRandom::new(1))
}

fn read_table(version: u64) -> Event {
    let table = RouteTable {
        version: ConfigVersion(version),
        ..RouteTable::default()
    };
    Event::SnapshotRead(Box::new(Snapshot {
        table: Some(table),
        ..Snapshot::default()
    }))
}

fn adopted_versions(actions: &[Action]) -> Vec<u64> {
    let version = |action: &Action| match action {
        Action::TableAdopted(table) => Some(table.version.0),
        _ => None,
    };
    actions.iter().filter_map(version).collect()
}

fn topic_changes(actions: &[Action]) -> Vec<(Topic, bool)> {
    let change = |action: &Action| match action {
        Action::Follow(topic, is_followed) => Some((*topic, *is_followed)),
        _ => None,
    };
    actions.iter().filter_map(change).collect()
}

#[test]
fn a_table_is_never_replaced_by_an_older_one() {
    let mut control = control();
    assert_eq!(adopted_versions(&control.handle(at(0), read_table(5))), [5]);
    assert_eq!(
        adopted_versions(&control.handle(at(1), read_table(4))),
        [0u64; 0]
    );
    assert_eq!(
        adopted_versions(&control.handle(at(2), read_table(5))),
        [0u64; 0]
    );
    assert_eq!(adopted_versions(&control.handle(at(3), read_table(9))), [9]);
}

#[test]
fn a_new_proxy_waits_for_its_neighbours_before_it_reads_the_store() {
    let mut control = control();
    let early = control.handle(at(100), Event::Tick(Vec::new()));
    assert_eq!(topic_changes(&early), []);
    let later = control.handle(at(400), Event::Tick(Vec::new()));
    assert_eq!(
        topic_changes(&later),
        [(Topic::Table, true), (Topic::Rollouts, true)]
    );
}

fn rollout(order: u64, revision: u64, state: RolloutState) -> Rollout {
    Rollout {
        service: "a".into(),
        version: "v2".into(),
        duration: Millis(12_000),
        state,
        order,
        revision: Revision {
            era: 0,
            number: revision,
        },
    }
}

fn rule(tracker: &RolloutTracker) -> VersionRule {
    tracker.rule(&ServiceName::from("a"))
}

#[test]
fn a_rollout_stopped_by_one_proxy_is_stopped_on_all() {
    let mut tracker = RolloutTracker::default();
    assert!(tracker.merge_stored(at(0), &rollout(3, 3, RolloutState::Running)));
    assert!(matches!(rule(&tracker), VersionRule::Trial { .. }));
    let gossip = RolloutUpdate {
        rollout: rollout(3, 3, RolloutState::Running),
        age: Millis(500),
        is_stopped: true,
        promoted: None,
    };
    assert!(tracker.merge_gossip(at(100), &gossip));
    assert_eq!(rule(&tracker), VersionRule::Except("v2".into()));
    assert!(
        !tracker.merge_gossip(at(200), &gossip),
        "repeated gossip must not change anything"
    );
}

#[test]
fn outdated_gossip_does_not_revert_a_final_state() {
    let mut tracker = RolloutTracker::default();
    tracker.merge_stored(at(0), &rollout(3, 3, RolloutState::Running));
    tracker.merge_stored(at(10), &rollout(3, 8, RolloutState::RolledBack));
    let late = RolloutUpdate {
        rollout: rollout(3, 3, RolloutState::Running),
        age: Millis(50),
        is_stopped: false,
        promoted: Some(Millis(10)),
    };
    tracker.merge_gossip(at(20), &late);
    assert_eq!(rule(&tracker), VersionRule::Except("v2".into()));
}

#[test]
fn the_age_of_a_rollout_is_the_maximum_known_to_any_proxy() {
    let mut tracker = RolloutTracker::default();
    tracker.merge_stored(at(5000), &rollout(3, 3, RolloutState::Running));
    let gossip = RolloutUpdate {
        rollout: rollout(3, 3, RolloutState::Running),
        age: Millis(4000),
        is_stopped: false,
        promoted: None,
    };
    tracker.merge_gossip(at(5100), &gossip);
    let VersionRule::Trial { since, .. } = rule(&tracker) else {
        panic!("expected a trial");
    };
    assert_eq!(since, at(1100));
}

fn member(number: u8) -> Member {
    let address = neighbour(number).address;
    Member {
        id: InstanceId(u64::from(number)),
        name: format!("n{number}"),
        zone: "z".into(),
        region: "r".to_owned(),
        incarnation: Incarnation(1),
        seq: 1,
        peers: address,
        relay: address,
        server: None,
        departed: None,
        leaving: false,
    }
}

fn neighbour(number: u8) -> ExchangeTarget {
    let address = format!("10.0.0.{number}:1");
    ExchangeTarget {
        id: Some(InstanceId(u64::from(number))),
        address: address.parse().expect("an address"),
    }
}

/// Returns the event of a neighbour's reply to an exchange, which advertises table `version`.
fn table_advertised(number: u8, version: u64) -> Event {
    let reply = ExchangeReply::default();
    let gossip = GossipUpdate {
        table: ConfigVersion(version),
        ..GossipUpdate::default()
    };
    let reply = RelayReply::Exchange(Box::new(reply), Box::new(gossip));
    Event::Replied(neighbour(number), MessageKind::Exchange, Some(reply))
}

fn fetch_targets(actions: &[Action]) -> Vec<ExchangeTarget> {
    let target = |action: &Action| match action {
        Action::Send(target, MessageKind::Fetch, _) => Some(*target),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

#[test]
fn a_failed_or_slow_table_fetch_moves_to_the_next_neighbour() {
    let mut control = control();
    control.handle(at(0), read_table(5));
    let first = control.handle(at(10), table_advertised(2, 7));
    assert_eq!(fetch_targets(&first), [neighbour(2)]);
    assert_eq!(
        fetch_targets(&control.handle(at(20), table_advertised(3, 7))),
        []
    );
    let failed = Event::Replied(neighbour(2), MessageKind::Fetch, None);
    let next = control.handle(at(300), failed);
    assert_eq!(fetch_targets(&next), [neighbour(3)]);
    let while_pending = control.handle(at(320), table_advertised(4, 7));
    assert_eq!(fetch_targets(&while_pending), []);
    let after_timeout = control.handle(at(950), Event::Tick(Vec::new()));
    assert_eq!(fetch_targets(&after_timeout), [neighbour(4)]);
}

/// Returns the gossip that the proxy answers to a neighbour that sends `gossip`.
fn exchange_gossip(control: &mut Control, now: Millis, gossip: GossipUpdate) -> GossipUpdate {
    let (sender, receiver) = async_channel::bounded(1);
    let exchange = Box::new(Exchange::default());
    let event = Event::Exchange(exchange, Box::new(gossip), sender);
    let answer = |action| match action {
        Action::Answer(_, answer) => Some(answer.1),
        _ => None,
    };
    let actions = control.handle(now, event);
    drop(receiver);
    actions.into_iter().find_map(answer).expect("an answer")
}

/// Guards against a proxy that never learns of a crash, because it is new or was partitioned while
/// the others gossiped about it.
#[test]
fn a_crash_is_gossiped_until_every_neighbour_knows_it() {
    let strike = Strike {
        fingerprint: 7,
        instance: InstanceId(3),
        at: at(0),
    };
    let mut first = control();
    first.handle(at(0), Event::ServerCrashed(strike));
    for tick in 1..50 {
        first.handle(at(tick * 100), Event::Tick(Vec::new()));
    }
    let told = exchange_gossip(&mut first, at(5000), GossipUpdate::default());
    assert_eq!(told.strikes, [strike]);
    let mut second = control();
    let known = exchange_gossip(&mut second, at(5000), told);
    for tick in 50..80 {
        first.handle(at(tick * 100), Event::Tick(Vec::new()));
    }
    let quiet = exchange_gossip(&mut first, at(8000), known);
    assert_eq!(
        quiet.strikes,
        [],
        "both proxies know the crash, so it is no longer gossiped"
    );
}

#[test]
fn a_cleared_crash_is_gossiped_until_every_neighbour_knows_it() {
    let strike = Strike {
        fingerprint: 7,
        instance: InstanceId(3),
        at: at(0),
    };
    let (mut first, mut second) = (control(), control());
    first.handle(at(0), Event::ServerCrashed(strike));
    second.handle(at(0), Event::ServerCrashed(strike));
    first.handle(at(100), Event::StrikesCleared(7));
    for tick in 1..50 {
        first.handle(at(tick * 100), Event::Tick(Vec::new()));
        second.handle(at(tick * 100), Event::Tick(Vec::new()));
    }
    let suspected = exchange_gossip(&mut second, at(5000), GossipUpdate::default());
    let told = exchange_gossip(&mut first, at(5000), suspected);
    exchange_gossip(&mut second, at(5010), told);
    let quiet = exchange_gossip(&mut second, at(8000), GossipUpdate::default());
    assert_eq!(quiet.strikes, [], "the request succeeded at another proxy");
}

#[test]
fn a_proxy_with_an_outdated_table_reads_the_store_itself() {
    let mut control = control();
    control.handle(at(0), read_table(5));
    control.handle(at(0), Event::StoreAnswered(0));
    let mut changes = Vec::new();
    for other in 2..40 {
        control.handle(at(5), Event::MemberDescribed(Box::new(member(other))));
    }
    changes.extend(topic_changes(
        &control.handle(at(10), Event::Tick(Vec::new())),
    ));
    control.handle(at(20), table_advertised(2, 7));
    changes.extend(topic_changes(
        &control.handle(at(500), Event::Tick(Vec::new())),
    ));
    assert!(
        !changes.contains(&(Topic::Table, true)),
        "other proxies follow the table"
    );
    let late = control.handle(at(1000), Event::Tick(Vec::new()));
    assert_eq!(topic_changes(&late), [(Topic::Table, true)]);
    control.handle(at(1100), read_table(7));
    let up_to_date = control.handle(at(1200), Event::Tick(Vec::new()));
    assert_eq!(topic_changes(&up_to_date), [(Topic::Table, false)]);
}

/// Returns how many of 40 proxies follow the route table `silence` milliseconds after the store
/// answered last.
fn followers_after(silence: u64) -> usize {
    let names: Vec<String> = (0..40).map(|i| format!("p{i}")).collect();
    let others = |name: &str| {
        let described = |other: &String| Member {
            id: InstanceId::of(other),
            ..member(1)
        };
        let others = names.iter().filter(|o| *o != name);
        others.map(described).collect::<Vec<_>>()
    };
    let mut count = 0;
    for name in &names {
        let mut control = control_of(name);
        control.handle(at(0), read_table(5));
        control.handle(at(0), Event::StoreAnswered(0));
        for other in others(name) {
            control.handle(at(0), Event::MemberDescribed(Box::new(other)));
        }
        let mut follows = false;
        for time in (0..=silence).step_by(100) {
            for (topic, is_followed) in
                topic_changes(&control.handle(at(time), Event::Tick(Vec::new())))
            {
                if topic == Topic::Table {
                    follows = is_followed;
                }
            }
        }
        count += usize::from(follows);
    }
    count
}

/// Most outages are short, and every call during one is wasted, so few proxies follow the store at
/// first. If it is unreachable only for some proxies, the additional followers reach it.
#[test]
fn the_number_of_followers_doubles_while_the_store_is_unavailable() {
    assert_eq!(followers_after(5000), 5);
    assert_eq!(followers_after(6500), 10);
    assert_eq!(followers_after(8000), 20);
    assert_eq!(followers_after(11_000), 40);
}

/// Creates the rollout of [`rollout`] as a store of the given era holds it.
fn rollout_of(era: u64, order: u64, number: u64, state: RolloutState) -> Rollout {
    Rollout {
        revision: Revision { era, number },
        ..rollout(order, 0, state)
    }
}

#[test]
fn a_final_state_lost_by_a_restored_store_is_recorded_again() {
    let mut tracker = RolloutTracker::default();
    tracker.merge_stored(at(0), &rollout_of(0, 3, 9, RolloutState::RolledBack));
    assert!(tracker.unrecorded().is_empty());
    let lost = rollout_of(1, 3, 5, RolloutState::Running);
    tracker.merge_stored(at(10), &lost);
    let service = lost.service.clone();
    assert_eq!(
        tracker.rule(&service),
        VersionRule::Except(lost.version.clone()),
        "a version that was rolled back is not tried again"
    );
    assert_eq!(tracker.unrecorded(), [3]);
    let (_, records) = tracker.advance(at(20), |_| true);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].0.revision, Revision { era: 1, number: 5 });
    assert_eq!(records[0].1, RolloutState::RolledBack);
    tracker.merge_stored(at(30), &rollout_of(1, 3, 6, RolloutState::RolledBack));
    assert!(tracker.unrecorded().is_empty());
}

#[test]
fn a_rollout_rewritten_after_a_restore_continues() {
    let mut tracker = RolloutTracker::default();
    let first = rollout_of(0, 20, 20, RolloutState::Running);
    tracker.merge_stored(at(0), &first);
    let rule = tracker.rule(&first.service);
    let mut again = rollout_of(1, 7, 7, RolloutState::Running);
    tracker.merge_stored(at(4000), &again);
    let VersionRule::Trial { since, .. } = tracker.rule(&first.service) else {
        panic!("expected a running rollout");
    };
    assert!(matches!(rule, VersionRule::Trial { since: s, .. } if s == since));
    // An outdated reading from the old era changes nothing.
    assert!(!tracker.merge_stored(at(4100), &first));
    // A rollout with another number in the same era is a new one.
    again.order = 9;
    again.revision.number = 9;
    tracker.merge_stored(at(5000), &again);
    assert!(matches!(
        tracker.rule(&first.service),
        VersionRule::Trial { since, .. } if since == at(5000)
    ));
}

#[test]
fn a_new_store_era_is_reported_once() {
    let mut control = control();
    let restored_eras = |actions: Vec<Action>| {
        let restored = actions.into_iter().filter_map(|action| match action {
            Action::StoreRestored(era) => Some(era),
            _ => None,
        });
        restored.collect::<Vec<_>>()
    };
    assert!(restored_eras(control.handle(at(0), Event::StoreAnswered(0))).is_empty());
    assert_eq!(
        restored_eras(control.handle(at(1), Event::StoreAnswered(2))),
        [2]
    );
    assert!(restored_eras(control.handle(at(2), Event::StoreAnswered(1))).is_empty());
    assert!(restored_eras(control.handle(at(3), Event::StoreAnswered(2))).is_empty());
}

fn departure(process: u64) -> Departure {
    Departure {
        process,
        server: 7,
        started_ms: 1000,
        at: Millis(5000),
    }
}

/// Returns the departure that the proxy tells `receiver` to have left the server beside it.
fn departure_told(control: &mut Control, now: Millis, receiver: &Member) -> Option<Departure> {
    let (sender, receiver_end) = async_channel::bounded(1);
    let exchange = Exchange {
        from: receiver.id,
        members: vec![receiver.clone()],
        ..Exchange::default()
    };
    let event = Event::Exchange(Box::new(exchange), Box::default(), sender);
    let told = |action| match action {
        Action::Answer(_, answer) => Some(answer.1.departed),
        _ => None,
    };
    let actions = control.handle(now, event);
    drop(receiver_end);
    actions.into_iter().find_map(told).expect("an answer")
}

// Guards against a withdrawal that only the proxy beside the server knows: when that proxy restarts,
// a late heartbeat would bring requests to a server that has left.
#[test]
fn a_restarted_proxy_is_told_that_its_server_left() {
    let left = departure(77);
    let mut control = control();
    let departed = Member {
        departed: Some(left),
        ..member(2)
    };
    control.handle(at(0), Event::MemberDescribed(Box::new(departed.clone())));
    assert_eq!(
        departure_told(&mut control, at(10), &departed),
        None,
        "it knows"
    );
    let restarted = Member {
        incarnation: Incarnation(2),
        ..member(2)
    };
    assert_eq!(departure_told(&mut control, at(20), &restarted), Some(left));
    let informed = Member {
        departed: Some(left),
        seq: 2,
        ..restarted
    };
    assert_eq!(departure_told(&mut control, at(30), &informed), None);
    assert_eq!(departure_told(&mut control, at(40), &member(3)), None);
}

// Guards against a restarted proxy that doesn't use what it is told about its server.
#[test]
fn a_departure_told_by_a_neighbour_reaches_the_local_server() {
    let mut control = control();
    let gossip = GossipUpdate {
        departed: Some(departure(77)),
        ..GossipUpdate::default()
    };
    let reply = RelayReply::Exchange(Box::default(), Box::new(gossip));
    let replied = Event::Replied(neighbour(2), MessageKind::Exchange, Some(reply));
    let actions = control.handle(at(0), replied);
    let is_told = |action: &Action| matches!(action, Action::ServerDeparted(d) if d.process == 77);
    assert!(actions.iter().any(is_told));
}
