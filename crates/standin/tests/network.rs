//! Tests of membership and distribution under message loss, network partitions and restarts, on a
//! virtual clock.

use proptest::prelude::*;
use rf_base::{ConfigVersion, InstanceId, Millis};
use rf_membership::overlay::is_forwarder;
use rf_membership::{AdoptOutcome, Distribution, Reachability};
use rf_protocol::Exchange;
use rf_standin::network::{Network, NetworkFaults, config, make_node, name};

#[test]
fn all_daemons_learn_of_each_other_through_the_seeds() {
    let mut network = Network::new(40, 4, 1);
    let took = network.run_until(Millis(15_000), Network::all_know_each_other);
    assert!(took.is_some(), "not joined");
}

#[test]
fn a_change_reaches_all_daemons_and_is_acknowledged() {
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
fn a_daemon_has_at_most_six_neighbours() {
    let mut network = Network::new(200, 6, 3);
    network
        .run_until(Millis(30_000), Network::all_know_each_other)
        .expect("joined");
    for node in network.running() {
        assert!(node.membership.neighbours().len() <= 6);
    }
}

#[test]
fn a_dead_daemon_is_detected_and_a_live_one_refutes_alerts() {
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
    // Two alerts about a live daemon make it unreachable until it refutes them.
    let id = InstanceId::of(&name(7));
    let alert = network.nodes[8]
        .membership
        .roster()
        .make_alert(id, InstanceId(1));
    let other = network.nodes[8]
        .membership
        .roster()
        .make_alert(id, InstanceId(2));
    let exchange = Exchange {
        from: InstanceId::of(&name(9)),
        alerts: alert.into_iter().chain(other).collect(),
        ..Exchange::default()
    };
    let now = network.now;
    network.nodes[8].membership.handle_exchange(now, &exchange);
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
fn two_lost_exchanges_in_a_row_raise_no_alert() {
    let mut network = Network::new(12, 1, 7);
    network
        .run_until(Millis(10_000), Network::all_know_each_other)
        .expect("joined");
    for _ in 0..6 {
        // The cut lasts for two exchanges, one fewer than the number that raises an alert.
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
fn a_restarted_daemon_replaces_its_former_incarnation() {
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

/// Restarts a tenth of `count` daemons in four zones, one per second.
///
/// Returns the bytes sent between zones per restart, and the longest time until all daemons knew of
/// a restart. The bytes exclude the idle traffic and the roster that each new daemon fetches once.
fn measure_restarts(count: usize) -> (u64, Millis) {
    let mut network = Network::new(count, 4, 11);
    network
        .run_until(Millis(30_000), Network::all_know_each_other)
        .expect("joined");
    network.run(Millis(5000));
    network.counts_bytes = true;
    let restarts = count / 10;
    network.run(Millis(1000));
    let idle_bytes = network.traffic.cross_zone_bytes;
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
    let baseline = restarts * (idle_bytes + roster);
    let excess = network.traffic.cross_zone_bytes.saturating_sub(baseline);
    (excess / restarts, longest)
}

#[test]
fn cross_zone_bytes_per_restart_less_than_double_in_a_mesh_of_four_times_the_size() {
    let (small, small_took) = measure_restarts(80);
    let (large, large_took) = measure_restarts(320);
    println!("{small} and {large} bytes, {small_took} and {large_took}");
    assert!(large < 2 * small, "{small} and {large} bytes");
    assert!(large_took <= Millis(1500), "known after {large_took}");
}

/// Guards against a change that never leaves its zone: neither the restarted daemon nor any carrier
/// for it in its zone reaches another zone, so other zones must learn of the restart by comparing
/// rosters.
#[test]
fn a_restart_is_known_in_other_zones_without_carriers() {
    let mut network = Network::new(60, 4, 13);
    network
        .run_until(Millis(20_000), Network::all_know_each_other)
        .expect("joined");
    network.run(Millis(5000));
    let subject = 8;
    let id = InstanceId::of(&name(subject));
    let zone = |n: &Network, i: usize| n.nodes[i].membership.me().zone.clone();
    let home_zone = zone(&network, subject);
    let carries = |n: &Network, i: usize| {
        let membership = &n.nodes[i].membership;
        is_forwarder(membership.me(), id, membership.roster().reachable())
    };
    let (inside, outside): (Vec<_>, Vec<_>) =
        (0..60).partition(|i| zone(&network, *i) == home_zone);
    let carriers = inside.into_iter().filter(|i| carries(&network, *i));
    let carriers: Vec<usize> = carriers.collect();
    assert!(
        carriers.contains(&subject) && carriers.len() <= 5,
        "{carriers:?}"
    );
    for i in &carriers {
        network.cut_links.extend(outside.iter().map(|o| (*i, *o)));
    }
    let now = network.now;
    network.nodes[subject] = make_node(subject, 4, 2, now);
    let took = network.run_until(Millis(15_000), |n| n.all_know_incarnation(id, 2));
    assert!(took.is_some(), "not known in other zones");
}

#[test]
fn a_partitioned_zone_is_unreachable_but_stays_in_the_roster() {
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
fn an_invalid_configuration_leaves_the_previous_one_in_force() {
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

    /// Lost and repeated messages must not make a daemon return to an older configuration, which
    /// [`Network::adopt`] checks, and all daemons must agree once the losses end.
    #[test]
    fn lost_and_repeated_messages_only_delay_convergence(
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
            // Another daemon receives a stale configuration.
            network.adopt((place + 1) % count, config(counter.saturating_sub(1)));
            network.run(Millis(700));
        }
        network.faults = NetworkFaults::default();
        let settled = network.run_until(Millis(60_000), |n| {
            n.all_know_each_other() && n.all_run(counter) && n.all_acknowledged()
        });
        prop_assert!(settled.is_some(), "daemons do not agree after the losses ended");
    }
}
