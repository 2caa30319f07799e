//! Simulated network that connects the membership and distribution state machines of many daemons
//! on a virtual clock.
//!
//! The clock advances in steps of 100 ms. A message is delivered, lost or delivered twice within
//! the step in which it is sent, that is, without latency. Byte counts are those of sealed
//! (authenticated) messages.

use rf_base::{ConfigVersion, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::{MeshConfig, Service, VersionSpec};
use rf_membership::{
    AdoptOutcome, Distribution, ExchangeTarget, Membership, MembershipSettings, Reachability,
    SyncAction,
};
use rf_protocol::{Exchange, ExchangeReply, Member, MeshKey, Reply, Request, seal};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Length of one step of the virtual clock.
pub const STEP: Millis = Millis(100);

/// State machines of one daemon.
#[derive(Debug)]
pub struct Node {
    /// Membership state machine.
    pub membership: Membership,
    /// State machine that distributes the configuration.
    pub distribution: Distribution,
    /// Whether the daemon runs; a stopped daemon neither sends nor answers.
    pub is_up: bool,
    max_counter: ConfigVersion,
}

/// Messages carried by the network while bytes are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Number of requests, lost ones included, and of replies that were not lost.
    pub messages: u64,
    /// Bytes of these messages as sealed.
    pub bytes: u64,
    /// Bytes of membership data (members, alerts and digests) sent between availability zones,
    /// without the sealed envelope.
    pub cross_zone_bytes: u64,
}

/// Rates at which the network loses or duplicates messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Lost requests, in percent.
    pub lost_requests: u64,
    /// Lost replies to delivered requests, in percent.
    pub lost_replies: u64,
    /// Requests that are delivered twice, in percent.
    pub repeated: u64,
}

/// Simulated network of daemons.
#[derive(Debug)]
pub struct Network {
    /// Daemons by index.
    pub nodes: Vec<Node>,
    /// Current time of the virtual clock.
    pub now: Millis,
    /// Faults of the network.
    pub faults: NetworkFaults,
    /// Pairs of daemons that cannot reach each other, in either direction.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Messages carried so far; only counted while [`Network::counts_bytes`] is set.
    pub traffic: Traffic,
    /// Whether traffic is counted. Counting encodes every message, which slows the simulation down.
    pub counts_bytes: bool,
    addresses: BTreeMap<SocketAddr, usize>,
    random: SeededRandom,
    key: MeshKey,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7003))
}

/// Returns the instance name of daemon `i`.
pub fn name(i: usize) -> String {
    format!("instance-{i}")
}

/// Creates the state machines of daemon `i` with the given incarnation, in one of `zones`
/// availability zones.
pub fn make_node(i: usize, zones: usize, incarnation: u64, now: Millis) -> Node {
    let id = InstanceId::of(&name(i));
    let me = Member {
        id,
        name: name(i),
        zone: format!("zone-{}", i % zones).as_str().into(),
        region: "region".to_owned(),
        incarnation: Incarnation(incarnation),
        seq: 1,
        peers: address(i),
        relay: address(i),
        server: None,
        departed: None,
        leaving: false,
    };
    let settings = MembershipSettings {
        seeds: vec![address(0), address(1)],
        ..MembershipSettings::default()
    };
    let random = SeededRandom::new(i as u64 ^ (incarnation << 8) ^ now.0);
    Node {
        membership: Membership::new(settings, me, random),
        distribution: Distribution::new(id),
        is_up: true,
        max_counter: ConfigVersion(0),
    }
}

/// Creates a configuration with one service and the given counter.
pub fn config(counter: u64) -> MeshConfig {
    let mut service = Service::default();
    service
        .versions
        .insert("v1".into(), VersionSpec { weight: 1 });
    let mut config = MeshConfig {
        counter: ConfigVersion(counter),
        ..MeshConfig::default()
    };
    config.services.insert("s".into(), service);
    config
}

impl Network {
    /// Creates a network of `count` daemons spread over `zones` availability zones.
    pub fn new(count: usize, zones: usize, seed: u64) -> Network {
        let now = Millis(1_000_000);
        Network {
            nodes: (0..count).map(|i| make_node(i, zones, 1, now)).collect(),
            now,
            random: SeededRandom::new(seed),
            faults: NetworkFaults::default(),
            cut_links: BTreeSet::new(),
            traffic: Traffic::default(),
            counts_bytes: false,
            addresses: (0..count).map(|i| (address(i), i)).collect(),
            key: MeshKey::new("mesh", "a key for fakes only"),
        }
    }

    fn count_message(&mut self, encode: impl FnOnce(&MeshKey) -> usize) {
        if self.counts_bytes {
            self.traffic.messages += 1;
            self.traffic.bytes += encode(&self.key) as u64;
        }
    }

    /// Counts the membership data of an exchange or its reply if it crosses availability zones.
    fn count_cross_zone(&mut self, from: usize, to: usize, exchange: &Exchange) {
        let zone = |i: usize| &self.nodes[i].membership.me().zone;
        if self.counts_bytes && zone(from) != zone(to) {
            let data = (&exchange.members, &exchange.alerts, &exchange.buckets);
            let bytes = rmp_serde::to_vec(&data).map_or(0, |b| b.len());
            self.traffic.cross_zone_bytes += bytes as u64;
        }
    }

    /// Advances the clock by one step and exchanges the messages that running daemons send in it.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for i in 0..self.nodes.len() {
            if !self.nodes[i].is_up {
                continue;
            }
            let sends = self.nodes[i].membership.tick(self.now);
            for (target, mut exchange) in sends {
                let node = &mut self.nodes[i];
                node.distribution.fill_exchange(target.id, &mut exchange);
                self.exchange(i, target, &exchange);
            }
        }
    }

    fn exchange(&mut self, from: usize, target: ExchangeTarget, exchange: &Exchange) {
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
        match node.distribution.handle_exchange(&reply.exchange) {
            SyncAction::Nothing => {}
            SyncAction::Fetch => self.transfer_config(to, from),
            SyncAction::Deliver => self.transfer_config(from, to),
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        target: ExchangeTarget,
        exchange: &Exchange,
    ) -> Option<(usize, ExchangeReply)> {
        let request = || Request::Exchange(Box::new(exchange.clone()));
        self.count_message(|key| seal(key, &request()).map_or(0, |b| b.len()));
        let to = self.addresses.get(&target.address).copied()?;
        self.count_cross_zone(from, to, exchange);
        let is_cut = self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from));
        if !self.nodes[to].is_up || is_cut || self.random.below(100) < self.faults.lost_requests {
            return None;
        }
        let times = 1 + u64::from(self.random.below(100) < self.faults.repeated);
        let mut reply = None;
        for _ in 0..times {
            let node = &mut self.nodes[to];
            let mut answer = node.membership.handle_exchange(self.now, exchange);
            node.distribution.handle_exchange(exchange);
            node.distribution
                .fill_exchange(Some(exchange.from), &mut answer.exchange);
            reply = Some((to, answer));
        }
        if self.random.below(100) < self.faults.lost_replies {
            return None;
        }
        if let Some((to, reply)) = &reply {
            let answer = || Reply::Exchange(Box::new(reply.clone()));
            self.count_message(|key| seal(key, &answer()).map_or(0, |b| b.len()));
            self.count_cross_zone(*to, from, &reply.exchange);
        }
        reply
    }

    fn transfer_config(&mut self, from: usize, to: usize) {
        let config = MeshConfig::clone(self.nodes[from].distribution.config());
        let request = || Request::Deliver(Box::new(config.clone()));
        self.count_message(|key| seal(key, &request()).map_or(0, |b| b.len()));
        self.adopt(to, config);
    }

    /// Offers a configuration to daemon `i`, which adopts it if it is newer than its own.
    ///
    /// # Panics
    ///
    /// Panics if the daemon's configuration counter decreases.
    pub fn adopt(&mut self, i: usize, config: MeshConfig) {
        let now = self.now;
        let node = &mut self.nodes[i];
        if node.distribution.adopt(config) == AdoptOutcome::InForce {
            node.membership.schedule_exchanges(now);
        }
        let counter = node.distribution.config().counter;
        assert!(counter >= node.max_counter, "configuration went back");
        node.max_counter = counter;
    }

    /// Advances the clock by `span`.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock until `condition` holds and returns the elapsed time, or `None` after
    /// `limit`.
    pub fn run_until(
        &mut self,
        limit: Millis,
        condition: impl Fn(&Network) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    /// Returns whether every running daemon knows `id` with the given incarnation.
    pub fn all_know_incarnation(&self, id: InstanceId, incarnation: u64) -> bool {
        self.running().all(|node| {
            let member = node.membership.roster().get(id);
            member.is_some_and(|m| m.incarnation == Incarnation(incarnation))
        })
    }

    /// Returns the running daemons.
    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.is_up)
    }

    /// Returns whether every running daemon considers every other one reachable.
    pub fn all_know_each_other(&self) -> bool {
        let count = self.running().count();
        self.running()
            .all(|n| n.membership.roster().reachable().count() == count)
    }

    /// Returns whether every running daemon has exactly configuration `counter`.
    pub fn all_run(&self, counter: u64) -> bool {
        self.running()
            .all(|n| n.distribution.config().counter == ConfigVersion(counter))
    }

    /// Returns whether every running daemon knows that every other one has applied the same
    /// configuration.
    pub fn all_acknowledged(&self) -> bool {
        let count = self.running().count();
        self.running()
            .all(|n| n.distribution.applied().len() == count)
    }

    /// Returns the reachability of daemon `subject` as seen by daemon `observer`.
    pub fn reachability(&self, observer: usize, subject: usize) -> Reachability {
        let id = InstanceId::of(&name(subject));
        self.nodes[observer].membership.roster().reachability(id)
    }
}
