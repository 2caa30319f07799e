//! Membership and distribution under loss, cuts and restarts, on a virtual clock.

use proptest::prelude::*;
use rf_base::{ConfigVersion, InstanceId, Millis};
use rf_membership::overlay::is_forwarder;
use rf_membership::{AdoptOutcome, Distribution, Reachability};
use rf_protocol::Exchange;
use rf_standin::network::{Network, NetworkFaults, config, make_node, name};

#[test]
fn daemons_find_each_other_through_seeds() {
    let mut network = Network::new(40, 4, 1);
    let took = network.run_until(Millis(15_000), Network::all_know_each_other);
    assert!(took.is_some(), "not joined");
}

#[test]
fn a_change_reaches_everyone_and_is_acknowledged() {
    let mut network = Network::new(60, 6, 2);
    network
        .run_until(Millis(20_000), Network::all_know_each_other)
        .expect("joined");
    network.adopt(17, config(1));
    let took = network.run_until(Millis(4000), |n| n.all_run(1));
    assert!(took.is_some(), "not in force within 4 s");
    let acknowledged = network.run_until(Millis(10_000), Network::all_acknowledged);
    assert!(acknowledged.is_some(), "not acknowledged");
}

#[test]
fn degree_is_bounded() {
    let mut network = Network::new(200, 6, 3);
    network
        .run_until(Millis(30_000), Network::all_know_each_other)
        .expect("joined");
    for node in network.running() {
        assert!(node.membership.neighbours().len() <= 6);
    }
}

#[test]
fn a_dead_daemon_is_found_and_a_living_one_refutes() {
    let mut network = Network::new(30, 3, 4);
    network
        .run_until(Millis(15_000), Network::all_know_each_other)
        .expect("joined");
    network.nodes[5].is_up = false;
    let found = network.run_until(Millis(12_000), |n| {
        (0..30)
            .filter(|i| *i != 5)
            .all(|i| n.reachability(i, 5) == Reachability::Unreachable)
    });
    assert!(found.is_some(), "not found");
    // A rumour about a daemon that lives is refuted.
    let id = InstanceId::of(&name(7));
    let alert = network.nodes[8]
        .membership
        .roster()
        .make_alert(id, InstanceId(1));
    let other = network.nodes[8]
        .membership
        .roster()
        .make_alert(id, InstanceId(2));
    let rumour = Exchange {
        from: InstanceId::of(&name(9)),
        alerts: alert.into_iter().chain(other).collect(),
        ..Exchange::default()
    };
    let now = network.now;
    network.nodes[8].membership.handle_exchange(now, &rumour);
    assert_eq!(network.reachability(8, 7), Reachability::Unreachable);
    network.run(Millis(8000));
    for i in (0..30).filter(|i| *i != 5) {
        assert_eq!(
            network.reachability(i, 7),
            Reachability::Reachable,
            "seen by {i}"
        );
    }
}

#[test]
fn scattered_misses_raise_no_alert() {
    let mut network = Network::new(12, 1, 7);
    network
        .run_until(Millis(10_000), Network::all_know_each_other)
        .expect("joined");
    for _ in 0..6 {
        // Two exchanges in a row are lost, one fewer than an alert takes.
        for i in 1..12 {
            network.cut_links.insert((0, i));
        }
        network.run(Millis(1900));
        for node in network.running() {
            for i in 0..12 {
                let id = InstanceId::of(&name(i));
                let alerts = node.membership.roster().alerts(id, id);
                assert!(alerts.is_empty(), "{alerts:?}");
            }
        }
        network.cut_links.clear();
        network.run(Millis(2500));
    }
}

#[test]
fn a_restarted_daemon_replaces_its_former_life() {
    let mut network = Network::new(10, 2, 5);
    network
        .run_until(Millis(10_000), Network::all_know_each_other)
        .expect("joined");
    network.adopt(0, config(3));
    network.run(Millis(3000));
    let now = network.now;
    network.nodes[4] = make_node(4, 2, 2, now);
    let id = InstanceId::of(&name(4));
    let back = network.run_until(Millis(15_000), |n| {
        n.all_know_each_other() && n.all_run(3) && n.all_know_incarnation(id, 2)
    });
    assert!(back.is_some(), "not back");
}

/// Restarts a tenth of `count` daemons in four zones, one a second; returns what crossed between
/// zones for each, beyond what does at rest and the roster that a new daemon needs once, and the
/// longest time that such a change took.
fn restart_some(count: usize) -> (u64, Millis) {
    let mut network = Network::new(count, 4, 11);
    network
        .run_until(Millis(30_000), Network::all_know_each_other)
        .expect("joined");
    network.run(Millis(5000));
    network.counts_bytes = true;
    let restarts = count / 10;
    network.run(Millis(1000));
    let at_rest = network.traffic.cross_zone_bytes;
    network.traffic.cross_zone_bytes = 0;
    let mut longest = Millis(0);
    for i in 0..restarts {
        let now = network.now;
        network.nodes[i * 10] = make_node(i * 10, 4, 2, now);
        let id = InstanceId::of(&name(i * 10));
        let took = network.run_until(Millis(10_000), |n| n.all_know_incarnation(id, 2));
        let took = took.expect("known");
        longest = longest.max(took);
        network.run(Millis(1000) - took);
    }
    let restarts = restarts as u64;
    let members: Vec<_> = network.nodes[0].membership.roster().members().collect();
    let roster = rmp_serde::to_vec(&members).expect("encoded").len() as u64;
    let needed = restarts * (at_rest + roster);
    let beyond = network.traffic.cross_zone_bytes.saturating_sub(needed);
    (beyond / restarts, longest)
}

#[test]
fn what_a_restart_sends_between_zones_hardly_grows_with_the_mesh() {
    let (small, small_took) = restart_some(80);
    let (large, large_took) = restart_some(320);
    println!("{small} and {large} bytes, {small_took} and {large_took}");
    assert!(large < 2 * small, "{small} and {large} bytes");
    assert!(large_took <= Millis(1500), "known after {large_took}");
}

/// Neither the daemon that changed nor any carrier of its zone reaches another zone.
#[test]
fn news_cross_without_carriers_once_rosters_are_compared() {
    let mut network = Network::new(60, 4, 13);
    network
        .run_until(Millis(20_000), Network::all_know_each_other)
        .expect("joined");
    network.run(Millis(5000));
    let subject = 8;
    let id = InstanceId::of(&name(subject));
    let zone = |n: &Network, i: usize| n.nodes[i].membership.me().zone.clone();
    let home = zone(&network, subject);
    let carries = |n: &Network, i: usize| {
        let membership = &n.nodes[i].membership;
        is_forwarder(membership.me(), id, membership.roster().reachable())
    };
    let (near, far): (Vec<_>, Vec<_>) = (0..60).partition(|i| zone(&network, *i) == home);
    let mute = near.into_iter().filter(|i| carries(&network, *i));
    let mute: Vec<usize> = mute.collect();
    assert!(mute.contains(&subject) && mute.len() <= 5, "{mute:?}");
    for i in &mute {
        network.cut_links.extend(far.iter().map(|f| (*i, *f)));
    }
    let now = network.now;
    network.nodes[subject] = make_node(subject, 4, 2, now);
    let took = network.run_until(Millis(15_000), |n| n.all_know_incarnation(id, 2));
    assert!(took.is_some(), "not known in other zones");
}

#[test]
fn a_zone_cut_off_is_unreachable_but_not_forgotten() {
    let mut network = Network::new(24, 3, 6);
    network
        .run_until(Millis(15_000), Network::all_know_each_other)
        .expect("joined");
    for a in 0..24 {
        for b in 0..24 {
            if (a % 3 == 0) != (b % 3 == 0) {
                network.cut_links.insert((a, b));
            }
        }
    }
    network.adopt(1, config(1));
    network.run(Millis(150_000));
    let roster = network.nodes[1].membership.roster();
    assert_eq!(roster.len(), 24, "nothing forgotten");
    assert_eq!(roster.reachable().count(), 16);
    assert_eq!(
        network.nodes[0].distribution.config().counter,
        ConfigVersion(0)
    );
    network.cut_links.clear();
    let healed = network.run_until(Millis(20_000), |n| n.all_know_each_other() && n.all_run(1));
    assert!(healed.is_some(), "not healed");
}

#[test]
fn a_bad_configuration_leaves_the_last_one_in_force() {
    let mut distribution = Distribution::new(InstanceId(1));
    assert_eq!(distribution.adopt(config(1)), AdoptOutcome::InForce);
    let mut bad = config(2);
    bad.routes.push(rf_config::Route {
        host: "*".to_owned(),
        prefix: "/".to_owned(),
        service: "missing".into(),
        ..rf_config::Route::default()
    });
    let refused = distribution.adopt(bad);
    assert!(matches!(refused, AdoptOutcome::Refused(_)));
    assert_eq!(distribution.config().counter, ConfigVersion(1));
    assert_eq!(
        distribution.refused().map(|r| r.counter),
        Some(ConfigVersion(2))
    );
    assert_eq!(distribution.adopt(config(1)), AdoptOutcome::Stale);
    assert_eq!(distribution.adopt(config(3)), AdoptOutcome::InForce);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever is lost or repeated for a while, no daemon goes back, and afterwards all agree.
    #[test]
    fn loss_and_repetition_only_delay(
        seed in 0..u64::MAX,
        count in 2..24usize,
        zones in 1..5usize,
        lost_requests in 0..60u64,
        lost_replies in 0..60u64,
        repeated in 0..60u64,
        changes in prop::collection::vec((0..24usize, 0..8u64), 1..6),
    ) {
        let mut network = Network::new(count, zones, seed);
        network.faults = NetworkFaults { lost_requests, lost_replies, repeated };
        network.run(Millis(5000));
        let mut counter = 0;
        for (place, skip) in changes {
            counter += 1 + skip;
            network.adopt(place % count, config(counter));
            // A stale copy turns up as well.
            network.adopt((place + 1) % count, config(counter.saturating_sub(1)));
            network.run(Millis(700));
        }
        network.faults = NetworkFaults::default();
        let settled = network.run_until(Millis(60_000), |n| {
            n.all_know_each_other() && n.all_run(counter) && n.all_acknowledged()
        });
        prop_assert!(settled.is_some(), "not settled after the weather cleared");
    }
}
