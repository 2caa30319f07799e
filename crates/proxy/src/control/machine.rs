//! The control machine.
//!
//! It owns what this proxy believes about the mesh and decides without I/O. Beliefs merge from two
//! sides: the store, and the news of other proxies, which also reach a proxy that is cut off from
//! the store. Whatever changes them leads to a new [`View`] for the traffic half.

use super::event::{Action, Event, ExchangeSender, Kind};
use super::orders::{Orders, VersionRule};
use crate::source::{ProxyEntry, Snapshot};
use crate::view::{ServiceView, Target as ServerTarget, TrialView, View};
use rf_base::{Incarnation, InstanceId, Millis, SeededRandom, ServiceName, VersionName, ZoneName};
use rf_config::RouteTable;
use rf_membership::{Membership, MembershipSettings, Target};
use rf_protocol::relay::{News, RelayReply, RelayRequest, Trial};
use rf_protocol::{Exchange, Member, ServerInfo, Strike};
use rf_traffic::{Candidate, Resident, StrikeBook};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{info, warn};

/// Time between two exchanges with one neighbour.
const HEARTBEAT: Millis = Millis(500);
/// Failed exchanges in a row after which a neighbour is reported.
const MISSES: u32 = 3;
/// Proxies to which a new one introduces itself at once.
const INTRODUCTIONS: usize = 3;
/// Time after which a table that was asked for is asked for again.
const FETCH_TIME: Millis = Millis(500);

/// What the machine is told at its start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this instance.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: String,
    /// Address for attempts and messages.
    pub relay: SocketAddr,
    /// This life of the process.
    pub life: Incarnation,
}

/// State of the control machine.
#[derive(Debug)]
pub struct Control {
    membership: Membership,
    table: Arc<RouteTable>,
    orders: Orders,
    strikes: StrikeBook,
    fetch_until: Millis,
    is_stopping: bool,
    published: View,
    random: SeededRandom,
}

impl Control {
    /// Makes the machine of a proxy that knows nothing yet.
    pub fn new(settings: ControlSettings, mut random: SeededRandom) -> Control {
        let me = Member {
            id: InstanceId::of(&settings.name),
            name: settings.name,
            zone: settings.zone,
            region: settings.region,
            incarnation: settings.life,
            seq: 1,
            peers: settings.relay,
            relay: settings.relay,
            server: None,
            leaving: false,
        };
        let membership_settings = MembershipSettings {
            heartbeat: HEARTBEAT,
            misses: MISSES,
            ..MembershipSettings::default()
        };
        let membership = Membership::new(membership_settings, me, SeededRandom::new(random.bits()));
        Control {
            membership,
            table: Arc::default(),
            orders: Orders::default(),
            strikes: StrikeBook::default(),
            fetch_until: Millis::ZERO,
            is_stopping: false,
            published: View::default(),
            random,
        }
    }

    /// Returns the numbers of the running version changes.
    pub fn running_orders(&self) -> Vec<u64> {
        self.orders.running()
    }

    /// Returns this instance.
    pub fn id(&self) -> InstanceId {
        self.membership.me().id
    }

    /// Returns this life of the process.
    pub fn life(&self) -> Incarnation {
        self.membership.me().incarnation
    }

    /// Takes an event in; returns what to do.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick(trials) => self.tick(now, &trials, &mut actions),
            Event::Exchange(exchange, news, sender) => {
                self.answer_exchange(now, &exchange, &news, sender, &mut actions);
            }
            Event::Told(member) => self.membership.handle_description(now, &member),
            Event::Replied(target, kind, reply) => {
                self.handle_reply(now, target, kind, reply, &mut actions);
            }
            Event::Resident(resident) => {
                self.describe_server(now, resident.as_ref(), &mut actions);
            }
            Event::Crashed(strike) => self.take_strike(now, &strike, &mut actions),
            Event::Stored(snapshot) => self.take_snapshot(now, *snapshot, &mut actions),
            Event::Entries(entries) => self.take_entries(&entries, &mut actions),
            Event::Stop => self.stop(now, &mut actions),
        }
        self.publish(&mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, trials: &[Trial], actions: &mut Vec<Action>) {
        for trial in trials {
            self.orders.observe(trial);
        }
        let owners = self.rank_owners();
        let me = self.id();
        let (changed, records) = self.orders.advance(now, |order| owners(order) == Some(me));
        if changed {
            self.membership.kick(now);
        }
        for (rollout, state) in records {
            actions.push(Action::Record(Box::new(rollout), state));
        }
        for (target, exchange) in self.membership.tick(now) {
            self.send_exchange(now, target, exchange, actions);
        }
    }

    /// Returns which proxy owns an order: the highest ranked of those that are reachable.
    fn rank_owners(&self) -> impl Fn(u64) -> Option<InstanceId> + use<> {
        let roster = self.membership.roster();
        let members = roster.reachable().filter(|m| !m.leaving);
        let ids: Vec<InstanceId> = members.map(|m| m.id).collect();
        move |order| ids.iter().copied().max_by_key(|id| id.rank(order))
    }

    fn send_exchange(
        &self,
        now: Millis,
        target: Target,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        let news = Box::new(self.news(now));
        let request = RelayRequest::Exchange(Box::new(exchange), news);
        actions.push(Action::Send(target, Kind::Exchange, Box::new(request)));
    }

    fn news(&self, now: Millis) -> News {
        let (orders, trials) = self.orders.news(now);
        News {
            table: self.table.version,
            orders,
            trials,
            strikes: self.strikes.all(),
        }
    }

    fn answer_exchange(
        &mut self,
        now: Millis,
        exchange: &Exchange,
        news: &News,
        sender: ExchangeSender,
        actions: &mut Vec<Action>,
    ) {
        let reply = self.membership.handle_exchange(now, exchange);
        let target = self.membership.target(exchange.from);
        self.take_news(now, target, news, actions);
        let answer = (reply, self.news(now));
        actions.push(Action::Answer(sender, Box::new(answer)));
    }

    fn handle_reply(
        &mut self,
        now: Millis,
        target: Target,
        kind: Kind,
        reply: Option<RelayReply>,
        actions: &mut Vec<Action>,
    ) {
        match (kind, reply) {
            (Kind::Exchange, Some(RelayReply::Exchange(reply, news))) => {
                self.membership.handle_reply(now, target, &reply);
                self.take_news(now, Some(target), &news, actions);
            }
            (Kind::Exchange, _) => self.membership.handle_failure(now, target),
            (Kind::Fetch, Some(RelayReply::Table(Some(table)))) => {
                self.fetch_until = Millis::ZERO;
                self.adopt(now, *table, "proxy", actions);
            }
            (Kind::Fetch, _) => self.fetch_until = Millis::ZERO,
            (Kind::Tell, _) => {}
        }
    }

    fn take_news(
        &mut self,
        now: Millis,
        from: Option<Target>,
        news: &News,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for order in &news.orders {
            changed |= self.orders.hear(now, order);
        }
        for trial in &news.trials {
            self.orders.observe(trial);
        }
        if changed {
            self.membership.kick(now);
        }
        for strike in &news.strikes {
            self.take_strike(now, strike, actions);
        }
        if news.table > self.table.version
            && now >= self.fetch_until
            && let Some(target) = from
        {
            self.fetch_until = now + FETCH_TIME;
            let request = RelayRequest::Fetch(self.table.version);
            actions.push(Action::Send(target, Kind::Fetch, Box::new(request)));
        }
    }

    fn take_strike(&mut self, now: Millis, strike: &Strike, actions: &mut Vec<Action>) {
        if !self.strikes.merge(now, strike) {
            return;
        }
        warn!(
            event = "request.crashed-server",
            fingerprint = strike.fingerprint,
            instance = %strike.instance,
            crashes = self.strikes.count(strike.fingerprint),
        );
        self.membership.kick(now);
        actions.push(Action::Strikes(Box::new(self.strikes.clone())));
    }

    fn take_snapshot(&mut self, now: Millis, snapshot: Snapshot, actions: &mut Vec<Action>) {
        if let Some(table) = snapshot.table {
            self.adopt(now, table, "store", actions);
        }
        let mut changed = false;
        for rollout in &snapshot.rollouts {
            changed |= self.orders.store(now, rollout);
        }
        if changed {
            self.membership.kick(now);
        }
    }

    /// Puts a route table in force if it is newer.
    fn adopt(&mut self, now: Millis, table: RouteTable, from: &str, actions: &mut Vec<Action>) {
        if table.version <= self.table.version {
            return;
        }
        let before = self.table.version.0;
        let routes: usize = table.hosts.values().map(Vec::len).sum();
        info!(
            event = "table.adopted",
            version = table.version.0,
            before,
            from,
            routes
        );
        self.table = Arc::new(table);
        self.membership.kick(now);
        actions.push(Action::Adopted(self.table.clone()));
    }

    fn take_entries(&mut self, entries: &[ProxyEntry], actions: &mut Vec<Action>) {
        let me = self.id();
        let others = entries.iter().filter(|e| e.instance != me);
        let mut seeds: Vec<SocketAddr> = others.map(|e| e.relay).collect();
        self.membership.set_seeds(seeds.clone());
        for _ in 0..INTRODUCTIONS.min(seeds.len()) {
            let index = self.random.below(seeds.len() as u64) as usize;
            let (target, exchange) = self.membership.introduce_to(seeds.swap_remove(index));
            self.send_exchange(Millis::ZERO, target, exchange, actions);
        }
    }

    fn describe_server(
        &mut self,
        now: Millis,
        resident: Option<&Resident>,
        actions: &mut Vec<Action>,
    ) {
        let server = resident.map(|r| ServerInfo {
            service: r.service.clone(),
            version: r.version.clone(),
            slots: r.slots,
            since: now,
            drained: false,
        });
        let leaves = server.is_none();
        self.membership.update_me(now, |me| me.server = server);
        if leaves {
            self.tell_all(actions);
        }
    }

    fn stop(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.is_stopping = true;
        self.membership.update_me(now, |me| me.leaving = true);
        self.tell_all(actions);
    }

    /// Tells every proxy of this one's description without waiting for the news to spread.
    fn tell_all(&self, actions: &mut Vec<Action>) {
        let me = self.membership.me();
        let roster = self.membership.roster();
        for member in roster.reachable().filter(|m| m.id != me.id) {
            let target = Target {
                id: Some(member.id),
                address: member.peers,
            };
            let request = RelayRequest::Tell(Box::new(me.clone()));
            actions.push(Action::Send(target, Kind::Tell, Box::new(request)));
        }
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        let view = self.compute_view();
        if view == self.published {
            return;
        }
        for instance in new_lives(&self.published, &view) {
            actions.push(Action::Readmit(instance));
        }
        self.published = view.clone();
        actions.push(Action::Publish(Box::new(view)));
    }

    fn compute_view(&self) -> View {
        let me = self.membership.me();
        let roster = self.membership.roster();
        let mut by_service: BTreeMap<&ServiceName, Vec<ServerTarget>> = BTreeMap::new();
        for member in roster.reachable().filter(|m| !m.leaving) {
            if let Some(server) = &member.server {
                let target = to_target(member, server, member.zone == me.zone);
                by_service.entry(&server.service).or_default().push(target);
            }
        }
        let services = by_service
            .into_iter()
            .map(|(service, targets)| {
                let view = select(&self.orders.rule(service), targets);
                (service.clone(), view)
            })
            .collect();
        View {
            table: self.table.clone(),
            services,
            proxies: roster.reachable().count(),
        }
    }
}

fn to_target(member: &Member, server: &ServerInfo, is_near: bool) -> ServerTarget {
    ServerTarget {
        instance: member.id,
        life: member.incarnation,
        relay: member.relay,
        version: server.version.clone(),
        candidate: Candidate {
            instance: member.id,
            slots: server.slots,
            is_near,
        },
    }
}

/// Selects the servers that a rule allows.
fn select(rule: &VersionRule, targets: Vec<ServerTarget>) -> ServiceView {
    let (targets, trial) = match rule {
        VersionRule::Any => {
            let common = common_version(&targets);
            let chosen = targets
                .into_iter()
                .filter(|t| Some(&t.version) == common.as_ref());
            (chosen.collect(), None)
        }
        VersionRule::Only(version) => {
            let chosen = targets.into_iter().filter(|t| t.version == *version);
            (chosen.collect(), None)
        }
        VersionRule::Except(version) => {
            let chosen = targets.into_iter().filter(|t| t.version != *version);
            (chosen.collect(), None)
        }
        VersionRule::Try {
            order,
            version,
            since,
            duration,
        } => {
            let (new, old): (Vec<_>, Vec<_>) =
                targets.into_iter().partition(|t| t.version == *version);
            let trial = TrialView {
                order: *order,
                since: *since,
                duration: *duration,
                targets: new,
            };
            (old, Some(trial))
        }
    };
    ServiceView { targets, trial }
}

/// Returns the version that most servers run; a version that was never ordered gets nothing.
fn common_version(targets: &[ServerTarget]) -> Option<VersionName> {
    let mut counts: BTreeMap<&VersionName, usize> = BTreeMap::new();
    for target in targets {
        *counts.entry(&target.version).or_default() += 1;
    }
    let most = counts.values().copied().max()?;
    let first = counts.into_iter().find(|(_, count)| *count == most);
    first.map(|(version, _)| version.clone())
}

/// Returns the instances that `after` shows in another life, or for the first time.
fn new_lives(before: &View, after: &View) -> Vec<InstanceId> {
    let lives = |view: &View| -> BTreeMap<InstanceId, Incarnation> {
        let targets = view.services.values().flat_map(|s| &s.targets);
        targets.map(|t| (t.instance, t.life)).collect()
    };
    let known = lives(before);
    lives(after)
        .into_iter()
        .filter(|(instance, life)| known.get(instance) != Some(life))
        .map(|(instance, _)| instance)
        .collect()
}
