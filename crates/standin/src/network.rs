//! Membership and distribution machines wired together by a lossy fake network on a virtual clock.
//!
//! Messages take no time; a step of the clock is 100 ms. Bytes are counted as sealed messages.

use rf_base::{ConfigVersion, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::{MeshConfig, Service, VersionSpec};
use rf_membership::{
    AdoptOutcome, Distribution, ExchangeTarget, Membership, MembershipSettings, Reachability,
    SyncAction,
};
use rf_protocol::{Exchange, ExchangeReply, Member, MeshKey, Reply, Request, seal};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Step of the virtual clock.
pub const STEP: Millis = Millis(100);

/// One daemon's machines.
#[derive(Debug)]
pub struct Node {
    /// Membership.
    pub membership: Membership,
    /// Distribution.
    pub distribution: Distribution,
    /// Whether it runs.
    pub is_up: bool,
    highest: ConfigVersion,
}

/// Messages that the network carried.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Requests and answers.
    pub messages: u64,
    /// Bytes of sealed messages.
    pub bytes: u64,
    /// Bytes of news of daemons that crossed from one zone to another.
    pub news_between: u64,
}

/// What the network does to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Requests that are lost, in percent.
    pub lost_requests: u64,
    /// Answers that are lost, in percent.
    pub lost_replies: u64,
    /// Requests that arrive twice, in percent.
    pub repeated: u64,
}

/// The fake network.
#[derive(Debug)]
pub struct Network {
    /// Daemons.
    pub nodes: Vec<Node>,
    /// Current time.
    pub now: Millis,
    /// What goes wrong.
    pub weather: Weather,
    /// Pairs that cannot reach each other.
    pub cut: BTreeSet<(usize, usize)>,
    /// What was carried, while bytes are counted.
    pub traffic: Traffic,
    /// Whether bytes are counted, which costs their encoding.
    pub counts_bytes: bool,
    addresses: BTreeMap<SocketAddr, usize>,
    random: SeededRandom,
    key: MeshKey,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7003))
}

/// Returns the name of daemon `i`.
pub fn name(i: usize) -> String {
    format!("instance-{i}")
}

/// Makes the machines of daemon `i` in its life `life`.
pub fn make_node(i: usize, zones: usize, life: u64, now: Millis) -> Node {
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
        highest: ConfigVersion(0),
    }
}

/// Makes a small configuration.
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
    /// Makes `count` daemons in `zones` zones.
    pub fn new(count: usize, zones: usize, seed: u64) -> Network {
        let now = Millis(1_000_000);
        Network {
            nodes: (0..count).map(|i| make_node(i, zones, 1, now)).collect(),
            now,
            random: SeededRandom::new(seed),
            weather: Weather::default(),
            cut: BTreeSet::new(),
            traffic: Traffic::default(),
            counts_bytes: false,
            addresses: (0..count).map(|i| (address(i), i)).collect(),
            key: MeshKey::new("mesh", "a key for fakes only"),
        }
    }

    fn count(&mut self, encode: impl FnOnce(&MeshKey) -> usize) {
        if self.counts_bytes {
            self.traffic.messages += 1;
            self.traffic.bytes += encode(&self.key) as u64;
        }
    }

    /// Counts what an exchange or its answer tells of daemons.
    fn count_news(&mut self, from: usize, to: usize, news: &Exchange) {
        let zone = |i: usize| &self.nodes[i].membership.me().zone;
        if self.counts_bytes && zone(from) != zone(to) {
            let news = (&news.members, &news.alerts, &news.buckets);
            let bytes = rmp_serde::to_vec(&news).map_or(0, |b| b.len());
            self.traffic.news_between += bytes as u64;
        }
    }

    /// Lets one step of the clock pass.
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
            SyncAction::Fetch => self.copy(to, from),
            SyncAction::Deliver => self.copy(from, to),
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        target: ExchangeTarget,
        exchange: &Exchange,
    ) -> Option<(usize, ExchangeReply)> {
        let request = || Request::Exchange(Box::new(exchange.clone()));
        self.count(|key| seal(key, &request()).map_or(0, |b| b.len()));
        let to = self.addresses.get(&target.address).copied()?;
        self.count_news(from, to, exchange);
        let is_cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        if !self.nodes[to].is_up || is_cut || self.random.below(100) < self.weather.lost_requests {
            return None;
        }
        let times = 1 + u64::from(self.random.below(100) < self.weather.repeated);
        let mut reply = None;
        for _ in 0..times {
            let node = &mut self.nodes[to];
            let mut answer = node.membership.handle_exchange(self.now, exchange);
            node.distribution.handle_exchange(exchange);
            node.distribution
                .fill_exchange(Some(exchange.from), &mut answer.exchange);
            reply = Some((to, answer));
        }
        if self.random.below(100) < self.weather.lost_replies {
            return None;
        }
        if let Some((to, reply)) = &reply {
            let answer = || Reply::Exchange(Box::new(reply.clone()));
            self.count(|key| seal(key, &answer()).map_or(0, |b| b.len()));
            self.count_news(*to, from, &reply.exchange);
        }
        reply
    }

    fn copy(&mut self, from: usize, to: usize) {
        let config = MeshConfig::clone(self.nodes[from].distribution.config());
        let request = || Request::Deliver(Box::new(config.clone()));
        self.count(|key| seal(key, &request()).map_or(0, |b| b.len()));
        self.adopt(to, config);
    }

    /// Offers a configuration to daemon `i`.
    ///
    /// # Panics
    ///
    /// Panics where the daemon's configuration goes back.
    pub fn adopt(&mut self, i: usize, config: MeshConfig) {
        let now = self.now;
        let node = &mut self.nodes[i];
        if node.distribution.adopt(config) == AdoptOutcome::InForce {
            node.membership.schedule_exchanges(now);
        }
        let counter = node.distribution.config().counter;
        assert!(counter >= node.highest, "configuration went back");
        node.highest = counter;
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until `condition` holds; returns how long it took.
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

    /// Returns whether every daemon knows `id` in the given life.
    pub fn all_know_life(&self, id: InstanceId, life: u64) -> bool {
        self.up().all(|node| {
            let member = node.membership.roster().get(id);
            member.is_some_and(|m| m.incarnation == Incarnation(life))
        })
    }

    /// Returns the daemons that run.
    pub fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.is_up)
    }

    /// Returns whether every running daemon sees every other.
    pub fn all_know_each_other(&self) -> bool {
        let count = self.up().count();
        self.up()
            .all(|n| n.membership.roster().reachable().count() == count)
    }

    /// Returns whether every running daemon runs configuration `counter`.
    pub fn all_run(&self, counter: u64) -> bool {
        self.up()
            .all(|n| n.distribution.config().counter == ConfigVersion(counter))
    }

    /// Returns whether every running daemon knows that every other runs its configuration.
    pub fn all_acknowledged(&self) -> bool {
        let count = self.up().count();
        self.up().all(|n| n.distribution.applied().len() == count)
    }

    /// Returns whether daemon `seen_by` thinks that daemon `of` answers.
    pub fn reachability(&self, seen_by: usize, of: usize) -> Reachability {
        let id = InstanceId::of(&name(of));
        self.nodes[seen_by].membership.roster().reachability(id)
    }
}
