//! The control machine on a virtual clock: tables, orders, and who follows the store.

use rf_base::{Counter, Incarnation, InstanceId, Millis, SeededRandom, ServiceName};
use rf_config::{Revision, Rollout, RolloutState, RouteTable};
use rf_membership::ExchangeTarget;
use rf_protocol::relay::{GossipUpdate, RelayReply, RolloutUpdate};
use rf_protocol::{Exchange, ExchangeReply, Member, Strike};
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

fn stored(version: u64) -> Event {
    let table = RouteTable {
        version: Counter(version),
        ..RouteTable::default()
    };
    Event::SnapshotRead(Box::new(Snapshot {
        table: Some(table),
        ..Snapshot::default()
    }))
}

fn adopted(actions: &[Action]) -> Vec<u64> {
    let version = |action: &Action| match action {
        Action::TableAdopted(table) => Some(table.version.0),
        _ => None,
    };
    actions.iter().filter_map(version).collect()
}

fn followed(actions: &[Action]) -> Vec<(Topic, bool)> {
    let duty = |action: &Action| match action {
        Action::Follow(topic, is_mine) => Some((*topic, *is_mine)),
        _ => None,
    };
    actions.iter().filter_map(duty).collect()
}

#[test]
fn a_table_is_never_replaced_by_an_older_one() {
    let mut control = control();
    assert_eq!(adopted(&control.handle(at(0), stored(5))), [5]);
    assert_eq!(adopted(&control.handle(at(1), stored(4))), [0u64; 0]);
    assert_eq!(adopted(&control.handle(at(2), stored(5))), [0u64; 0]);
    assert_eq!(adopted(&control.handle(at(3), stored(9))), [9]);
}

#[test]
fn a_new_proxy_waits_for_its_neighbours_before_it_reads_the_store() {
    let mut control = control();
    let early = control.handle(at(100), Event::Tick(Vec::new()));
    assert_eq!(followed(&early), []);
    let later = control.handle(at(400), Event::Tick(Vec::new()));
    assert_eq!(
        followed(&later),
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

fn rule(orders: &RolloutTracker) -> VersionRule {
    orders.rule(&ServiceName::from("a"))
}

#[test]
fn one_proxy_that_stops_an_order_stops_it_everywhere() {
    let mut orders = RolloutTracker::default();
    assert!(orders.merge_stored(at(0), &rollout(3, 3, RolloutState::Running)));
    assert!(matches!(rule(&orders), VersionRule::Try { .. }));
    let news = RolloutUpdate {
        rollout: rollout(3, 3, RolloutState::Running),
        age: Millis(500),
        is_stopped: true,
        promoted: None,
    };
    assert!(orders.merge_news(at(100), &news));
    assert_eq!(rule(&orders), VersionRule::Except("v2".into()));
    assert!(
        !orders.merge_news(at(200), &news),
        "the same news change nothing"
    );
}

#[test]
fn a_final_state_is_not_left_for_late_news() {
    let mut orders = RolloutTracker::default();
    orders.merge_stored(at(0), &rollout(3, 3, RolloutState::Running));
    orders.merge_stored(at(10), &rollout(3, 8, RolloutState::RolledBack));
    let late = RolloutUpdate {
        rollout: rollout(3, 3, RolloutState::Running),
        age: Millis(50),
        is_stopped: false,
        promoted: Some(Millis(10)),
    };
    orders.merge_news(at(20), &late);
    assert_eq!(rule(&orders), VersionRule::Except("v2".into()));
}

#[test]
fn the_age_of_an_order_is_the_greatest_that_anyone_knows() {
    let mut orders = RolloutTracker::default();
    orders.merge_stored(at(5000), &rollout(3, 3, RolloutState::Running));
    let news = RolloutUpdate {
        rollout: rollout(3, 3, RolloutState::Running),
        age: Millis(4000),
        is_stopped: false,
        promoted: None,
    };
    orders.merge_news(at(5100), &news);
    let VersionRule::Try { since, .. } = rule(&orders) else {
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

/// The reply of a neighbour to an exchange, which tells that it has `version`.
fn told(number: u8, version: u64) -> Event {
    let reply = ExchangeReply::default();
    let news = GossipUpdate {
        table: Counter(version),
        ..GossipUpdate::default()
    };
    let reply = RelayReply::Exchange(Box::new(reply), Box::new(news));
    Event::Replied(neighbour(number), MessageKind::Exchange, Some(reply))
}

fn fetched(actions: &[Action]) -> Vec<ExchangeTarget> {
    let target = |action: &Action| match action {
        Action::Send(target, MessageKind::Fetch, _) => Some(*target),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

#[test]
fn a_table_that_one_neighbour_does_not_send_is_had_from_the_next() {
    let mut control = control();
    control.handle(at(0), stored(5));
    let first = control.handle(at(10), told(2, 7));
    assert_eq!(fetched(&first), [neighbour(2)]);
    assert_eq!(fetched(&control.handle(at(20), told(3, 7))), []);
    let failed = Event::Replied(neighbour(2), MessageKind::Fetch, None);
    let next = control.handle(at(300), failed);
    assert_eq!(fetched(&next), [neighbour(3)]);
    let slow = control.handle(at(320), told(4, 7));
    assert_eq!(fetched(&slow), []);
    let beside = control.handle(at(950), Event::Tick(Vec::new()));
    assert_eq!(fetched(&beside), [neighbour(4)]);
}

/// What the proxy answers to a neighbour that tells `news`.
fn exchanged(control: &mut Control, now: Millis, news: GossipUpdate) -> GossipUpdate {
    let (sender, receiver) = async_channel::bounded(1);
    let exchange = Box::new(Exchange::default());
    let event = Event::Exchange(exchange, Box::new(news), sender);
    let answer = |action| match action {
        Action::Answer(_, answer) => Some(answer.1),
        _ => None,
    };
    let actions = control.handle(now, event);
    drop(receiver);
    actions.into_iter().find_map(answer).expect("an answer")
}

/// A proxy that was away while the others told each other of a crash, or that is new.
#[test]
fn a_crash_is_told_until_every_neighbour_knows_it() {
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
    let told = exchanged(&mut first, at(5000), GossipUpdate::default());
    assert_eq!(told.strikes, [strike]);
    let mut second = control();
    let known = exchanged(&mut second, at(5000), told);
    for tick in 50..80 {
        first.handle(at(tick * 100), Event::Tick(Vec::new()));
    }
    let quiet = exchanged(&mut first, at(8000), known);
    assert_eq!(quiet.strikes, [], "both know it");
}

#[test]
fn an_absolution_is_told_until_every_neighbour_knows_it() {
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
    let guilty = exchanged(&mut second, at(5000), GossipUpdate::default());
    let told = exchanged(&mut first, at(5000), guilty);
    exchanged(&mut second, at(5010), told);
    let quiet = exchanged(&mut second, at(8000), GossipUpdate::default());
    assert_eq!(quiet.strikes, [], "it was answered elsewhere");
}

#[test]
fn a_proxy_that_stays_behind_reads_the_store_itself() {
    let mut control = control();
    control.handle(at(0), stored(5));
    control.handle(at(0), Event::StoreAnswered(0));
    let mut duties = Vec::new();
    for other in 2..40 {
        control.handle(at(5), Event::MemberDescribed(Box::new(member(other))));
    }
    duties.extend(followed(&control.handle(at(10), Event::Tick(Vec::new()))));
    control.handle(at(20), told(2, 7));
    duties.extend(followed(&control.handle(at(500), Event::Tick(Vec::new()))));
    assert!(!duties.contains(&(Topic::Table, true)), "others follow it");
    let late = control.handle(at(1000), Event::Tick(Vec::new()));
    assert_eq!(followed(&late), [(Topic::Table, true)]);
    control.handle(at(1100), stored(7));
    let level = control.handle(at(1200), Event::Tick(Vec::new()));
    assert_eq!(followed(&level), [(Topic::Table, false)]);
}

/// How many of forty proxies follow the store, the given time after it answered last.
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
        control.handle(at(0), stored(5));
        control.handle(at(0), Event::StoreAnswered(0));
        for other in others(name) {
            control.handle(at(0), Event::MemberDescribed(Box::new(other)));
        }
        let mut follows = false;
        for time in (0..=silence).step_by(100) {
            for (topic, is_mine) in followed(&control.handle(at(time), Event::Tick(Vec::new()))) {
                if topic == Topic::Table {
                    follows = is_mine;
                }
            }
        }
        count += usize::from(follows);
    }
    count
}

/// Most outages are short, and each call while one lasts is wasted; where the store refuses only
/// some, the next ones reach it.
#[test]
fn more_and_more_proxies_follow_a_store_that_stays_away() {
    assert_eq!(followers_after(5000), 5);
    assert_eq!(followers_after(6500), 10);
    assert_eq!(followers_after(8000), 20);
    assert_eq!(followers_after(11_000), 40);
}

/// Makes the order of [`rollout`] as a store of another era holds it.
fn rollout_of(era: u64, order: u64, number: u64, state: RolloutState) -> Rollout {
    Rollout {
        revision: Revision { era, number },
        ..rollout(order, 0, state)
    }
}

#[test]
fn a_final_state_that_a_restored_store_has_lost_is_recorded_again() {
    let mut orders = RolloutTracker::default();
    orders.merge_stored(at(0), &rollout_of(0, 3, 9, RolloutState::RolledBack));
    assert!(orders.unrecorded().is_empty());
    let lost = rollout_of(1, 3, 5, RolloutState::Running);
    orders.merge_stored(at(10), &lost);
    let service = lost.service.clone();
    assert_eq!(
        orders.rule(&service),
        VersionRule::Except(lost.version.clone()),
        "a judged version is not tried again"
    );
    assert_eq!(orders.unrecorded(), [3]);
    let (_, records) = orders.advance(at(20), |_| true);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].0.revision, Revision { era: 1, number: 5 });
    assert_eq!(records[0].1, RolloutState::RolledBack);
    orders.merge_stored(at(30), &rollout_of(1, 3, 6, RolloutState::RolledBack));
    assert!(orders.unrecorded().is_empty());
}

#[test]
fn an_order_that_the_operator_writes_again_after_a_restore_goes_on() {
    let mut orders = RolloutTracker::default();
    let first = rollout_of(0, 20, 20, RolloutState::Running);
    orders.merge_stored(at(0), &first);
    let rule = orders.rule(&first.service);
    let mut again = rollout_of(1, 7, 7, RolloutState::Running);
    orders.merge_stored(at(4000), &again);
    let VersionRule::Try { since, .. } = orders.rule(&first.service) else {
        panic!("the order runs");
    };
    assert!(matches!(rule, VersionRule::Try { since: s, .. } if s == since));
    // A late reading of the old era changes nothing.
    assert!(!orders.merge_stored(at(4100), &first));
    // Another order for the same service in the same era is a new one.
    again.order = 9;
    again.revision.number = 9;
    orders.merge_stored(at(5000), &again);
    assert!(matches!(
        orders.rule(&first.service),
        VersionRule::Try { since, .. } if since == at(5000)
    ));
}

#[test]
fn the_era_of_the_store_spreads_and_is_told_once() {
    let mut control = control();
    let told = |actions: Vec<Action>| {
        let restored = actions.into_iter().filter_map(|action| match action {
            Action::StoreRestored(era) => Some(era),
            _ => None,
        });
        restored.collect::<Vec<_>>()
    };
    assert!(told(control.handle(at(0), Event::StoreAnswered(0))).is_empty());
    assert_eq!(told(control.handle(at(1), Event::StoreAnswered(2))), [2]);
    assert!(told(control.handle(at(2), Event::StoreAnswered(1))).is_empty());
    assert!(told(control.handle(at(3), Event::StoreAnswered(2))).is_empty());
}
