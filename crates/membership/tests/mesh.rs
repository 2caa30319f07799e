//! Membership and distribution machines wired together by a lossy fake network.

use proptest::prelude::*;
use rf_base::{Counter, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::{MeshConfig, Service, VersionSpec};
use rf_membership::{
    Adopted, Distribution, Membership, MembershipSettings, Pull, Reachability, Target,
};
use rf_protocol::{Exchange, ExchangeReply, Member};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const STEP: Millis = Millis(100);

struct Node {
    membership: Membership,
    distribution: Distribution,
    is_up: bool,
    highest: Counter,
}

/// What the network does to messages.
#[derive(Clone, Copy, Debug, Default)]
struct Weather {
    lost_requests: u64,
    lost_replies: u64,
    repeated: u64,
}

struct Network {
    nodes: Vec<Node>,
    now: Millis,
    random: SeededRandom,
    weather: Weather,
    cut: BTreeSet<(usize, usize)>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7003))
}

fn name(i: usize) -> String {
    format!("instance-{i}")
}

fn make_node(i: usize, zones: usize, life: u64, now: Millis) -> Node {
    let id = InstanceId::of(&name(i));
    let me = Member {
        id,
        name: name(i),
        zone: format!("zone-{}", i % zones).as_str().into(),
        region: "region".to_owned(),
        incarnation: Incarnation(life),
        seq: 1,
        peers: address(i),
        relay: address(i),
        server: None,
        leaving: false,
    };
    let settings = MembershipSettings {
        seeds: vec![address(0), address(1)],
        ..MembershipSettings::default()
    };
    let random = SeededRandom::new(i as u64 ^ (life << 8) ^ now.0);
    Node {
        membership: Membership::new(settings, me, random),
        distribution: Distribution::new(id),
        is_up: true,
        highest: Counter(0),
    }
}

fn config(counter: u64) -> MeshConfig {
    let mut service = Service::default();
    service
        .versions
        .insert("v1".into(), VersionSpec { weight: 1 });
    let mut config = MeshConfig {
        counter: Counter(counter),
        ..MeshConfig::default()
    };
    config.services.insert("s".into(), service);
    config
}

impl Network {
    fn new(count: usize, zones: usize, seed: u64) -> Network {
        let now = Millis(1_000_000);
        Network {
            nodes: (0..count).map(|i| make_node(i, zones, 1, now)).collect(),
            now,
            random: SeededRandom::new(seed),
            weather: Weather::default(),
            cut: BTreeSet::new(),
        }
    }

    fn find(&self, address: SocketAddr) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.membership.me().peers == address)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for i in 0..self.nodes.len() {
            if !self.nodes[i].is_up {
                continue;
            }
            let sends = self.nodes[i].membership.tick(self.now);
            for (target, mut exchange) in sends {
                let node = &mut self.nodes[i];
                node.distribution.describe(target.id, &mut exchange);
                self.exchange(i, target, &exchange);
            }
        }
    }

    fn exchange(&mut self, from: usize, target: Target, exchange: &Exchange) {
        let reply = self.deliver(from, target, exchange);
        let now = self.now;
        let Some((to, reply)) = reply else {
            let node = &mut self.nodes[from];
            node.membership.handle_failure(now, target);
            if let Some(id) = target.id {
                node.distribution.forget_sent(id);
            }
            return;
        };
        let node = &mut self.nodes[from];
        node.membership.handle_reply(now, target, &reply);
        match node.distribution.observe(&reply.news) {
            Pull::Nothing => {}
            Pull::Fetch => self.copy(to, from),
            Pull::Deliver => self.copy(from, to),
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        target: Target,
        exchange: &Exchange,
    ) -> Option<(usize, ExchangeReply)> {
        let to = self.find(target.address)?;
        let is_cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        if !self.nodes[to].is_up || is_cut || self.random.below(100) < self.weather.lost_requests {
            return None;
        }
        let times = 1 + u64::from(self.random.below(100) < self.weather.repeated);
        let mut reply = None;
        for _ in 0..times {
            let node = &mut self.nodes[to];
            let mut answer = node.membership.handle_exchange(self.now, exchange);
            node.distribution.observe(exchange);
            node.distribution
                .describe(Some(exchange.from), &mut answer.news);
            reply = Some((to, answer));
        }
        if self.random.below(100) < self.weather.lost_replies {
            return None;
        }
        reply
    }

    fn copy(&mut self, from: usize, to: usize) {
        let config = MeshConfig::clone(self.nodes[from].distribution.config());
        self.adopt(to, config);
    }

    fn adopt(&mut self, i: usize, config: MeshConfig) {
        let now = self.now;
        let node = &mut self.nodes[i];
        if node.distribution.adopt(config) == Adopted::InForce {
            node.membership.kick(now);
        }
        let counter = node.distribution.config().counter;
        assert!(counter >= node.highest, "configuration went back");
        node.highest = counter;
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn run_until(&mut self, limit: Millis, condition: impl Fn(&Network) -> bool) -> Option<Millis> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.is_up)
    }

    fn all_know_each_other(&self) -> bool {
        let count = self.up().count();
        self.up()
            .all(|n| n.membership.roster().reachable().count() == count)
    }

    fn all_run(&self, counter: u64) -> bool {
        self.up()
            .all(|n| n.distribution.config().counter == Counter(counter))
    }

    fn all_acknowledged(&self) -> bool {
        let count = self.up().count();
        self.up().all(|n| n.distribution.applied().len() == count)
    }

    fn reachability(&self, seen_by: usize, of: usize) -> Reachability {
        let id = InstanceId::of(&name(of));
        self.nodes[seen_by].membership.roster().reachability(id)
    }
}

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
    for node in network.up() {
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
    let is_replaced = |n: &Network| {
        n.up().all(|node| {
            let member = node.membership.roster().get(id);
            member.is_some_and(|m| m.incarnation == Incarnation(2))
        })
    };
    let back = network.run_until(Millis(15_000), |n| {
        n.all_know_each_other() && n.all_run(3) && is_replaced(n)
    });
    assert!(back.is_some(), "not back");
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
                network.cut.insert((a, b));
            }
        }
    }
    network.adopt(1, config(1));
    network.run(Millis(150_000));
    let roster = network.nodes[1].membership.roster();
    assert_eq!(roster.len(), 24, "nothing forgotten");
    assert_eq!(roster.reachable().count(), 16);
    assert_eq!(network.nodes[0].distribution.config().counter, Counter(0));
    network.cut.clear();
    let healed = network.run_until(Millis(20_000), |n| n.all_know_each_other() && n.all_run(1));
    assert!(healed.is_some(), "not healed");
}

#[test]
fn a_bad_configuration_leaves_the_last_one_in_force() {
    let mut distribution = Distribution::new(InstanceId(1));
    assert_eq!(distribution.adopt(config(1)), Adopted::InForce);
    let mut bad = config(2);
    bad.routes.push(rf_config::Route {
        host: "*".to_owned(),
        prefix: "/".to_owned(),
        service: "missing".into(),
        ..rf_config::Route::default()
    });
    let refused = distribution.adopt(bad);
    assert!(matches!(refused, Adopted::Refused(_)));
    assert_eq!(distribution.config().counter, Counter(1));
    assert_eq!(distribution.refused().map(|r| r.counter), Some(Counter(2)));
    assert_eq!(distribution.adopt(config(1)), Adopted::Stale);
    assert_eq!(distribution.adopt(config(3)), Adopted::InForce);
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
        network.weather = Weather { lost_requests, lost_replies, repeated };
        network.run(Millis(5000));
        let mut counter = 0;
        for (place, skip) in changes {
            counter += 1 + skip;
            network.adopt(place % count, config(counter));
            // A stale copy turns up as well.
            network.adopt((place + 1) % count, config(counter.saturating_sub(1)));
            network.run(Millis(700));
        }
        network.weather = Weather::default();
        let settled = network.run_until(Millis(60_000), |n| {
            n.all_know_each_other() && n.all_run(counter) && n.all_acknowledged()
        });
        prop_assert!(settled.is_some(), "not settled after the weather cleared");
    }
}
