//! The control machine.
//!
//! It owns what this proxy believes about the mesh and decides without I/O. Beliefs merge from two
//! sides: the store, and the news of other proxies, which also reach a proxy that is cut off from
//! the store. Whatever changes them leads to a new [`View`] for the traffic half.

use super::event::{Action, Event, ExchangeSender, MessageKind};
use super::fetch::TableFetch;
use super::rollouts::RolloutTracker;
use super::select::{new_incarnations, select, to_target};
use crate::source::{ProxyEntry, Snapshot, Topic};
use crate::view::{Target as ServerTarget, View};
use rf_base::{Counter, Incarnation, InstanceId, Millis, SeededRandom, ServiceName, ZoneName};
use rf_config::{RouteTable, TableDigest, TablePatch};
use rf_membership::overlay::highest_ranked;
use rf_membership::{ExchangeTarget, Membership, MembershipSettings};
use rf_protocol::relay::{GossipUpdate, RelayReply, RelayRequest, TrialReport};
use rf_protocol::{Exchange, Member, ServerInfo, Strike};
use rf_traffic::{LocalServer, StrikeTable};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{info, warn};

/// Time between two exchanges with one neighbour.
const HEARTBEAT: Millis = Millis(500);
/// Failed exchanges in a row after which a neighbour is reported.
const MISSES: u32 = 3;
/// Proxies to which a new one introduces itself at once, one of them in another zone: each answers
/// with all that it knows, and bytes between zones are dear.
const INTRODUCTIONS: usize = 3;
/// Time for which news of a crash are passed on; several exchanges with each neighbour.
const STRIKE_NEWS: Millis = Millis(1600);
/// Requests whose crashes are told again where a neighbour knows others; some tens of bytes each.
const RETOLD: usize = 128;
/// Time between two reports of what was observed of a version change.
const OBSERVE_PAUSE: Millis = Millis(700);
/// Proxies that judge a version change: its owner, and the next in rank.
const JUDGES: usize = 2;
/// Proxies that follow a topic of the store for all.
const FOLLOWERS: usize = 5;
/// Time without a sign of the store after which more proxies follow it.
const STORE_STALE: Millis = Millis(6000);
/// Time after which twice as many do. Most outages end before all do, and whatever reaches only
/// some is reached by one of them soon.
const STORE_SPREAD: Millis = Millis(1500);
/// Doublings at most; more proxies than any mesh has.
const MAX_DOUBLINGS: u64 = 16;
/// Time that a new proxy waits for its neighbours' table before it reads the store.
const PATIENCE: Millis = Millis(150);

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
    pub incarnation: Incarnation,
    /// Time of the start.
    pub started: Millis,
}

/// Versions of everything that a view is computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ViewBasis {
    roster: u64,
    table: Counter,
    orders: u64,
}

/// State of the control machine.
#[derive(Debug)]
pub struct Control {
    membership: Membership,
    table: Arc<RouteTable>,
    digest: Arc<TableDigest>,
    orders: RolloutTracker,
    strikes: StrikeTable,
    /// Requests whose strikes are told to others, with the time since when.
    fresh_strikes: BTreeMap<u64, Millis>,
    /// Own observations as they were last sent, by order.
    sent_trials: BTreeMap<u64, u64>,
    next_observe: Millis,
    store_seen: Millis,
    /// Newest era of the store that is known; none before the store was heard of.
    store_era: Option<u64>,
    duties: BTreeSet<Topic>,
    fetch: TableFetch,
    started: Millis,
    published: View,
    basis: ViewBasis,
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
            incarnation: settings.incarnation,
            seq: 1,
            peers: settings.relay,
            relay: settings.relay,
            server: None,
            leaving: false,
        };
        let membership_settings = MembershipSettings {
            heartbeat: HEARTBEAT,
            max_misses: MISSES,
            ..MembershipSettings::default()
        };
        let membership = Membership::new(membership_settings, me, SeededRandom::new(random.bits()));
        Control {
            membership,
            table: Arc::default(),
            digest: Arc::default(),
            orders: RolloutTracker::default(),
            strikes: StrikeTable::default(),
            fresh_strikes: BTreeMap::new(),
            sent_trials: BTreeMap::new(),
            next_observe: Millis::ZERO,
            store_seen: Millis::ZERO,
            store_era: None,
            duties: BTreeSet::new(),
            fetch: TableFetch::default(),
            started: settings.started,
            published: View::default(),
            basis: ViewBasis::default(),
            random,
        }
    }

    /// Returns the numbers of the running version changes.
    pub fn running_rollouts(&self) -> Vec<u64> {
        self.orders.running()
    }

    /// Returns this instance.
    pub fn id(&self) -> InstanceId {
        self.membership.me().id
    }

    /// Returns this life of the process.
    pub fn incarnation(&self) -> Incarnation {
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
            Event::TrialObserved(trial) => self.orders.observe(&trial),
            Event::StoreAnswered(era) => {
                self.store_seen = now;
                self.take_era(now, Some(era), &mut actions);
            }
            Event::MemberDescribed(member) => self.membership.handle_member(now, &member),
            Event::Replied(target, kind, reply) => {
                self.handle_reply(now, target, kind, reply, &mut actions);
            }
            Event::ServerChanged(resident) => {
                self.describe_server(now, resident.as_ref(), &mut actions);
            }
            Event::ServerCrashed(strike) => self.take_strike(now, &strike, &mut actions),
            Event::StrikesCleared(fingerprint) => self.absolve(now, fingerprint, &mut actions),
            Event::SnapshotRead(snapshot) => self.take_snapshot(now, *snapshot, &mut actions),
            Event::EntriesRead(entries) => self.take_entries(&entries, &mut actions),
            Event::Stop => self.stop(now, &mut actions),
        }
        self.publish(&mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, trials: &[TrialReport], actions: &mut Vec<Action>) {
        for trial in trials {
            self.orders.observe(trial);
        }
        let me = self.id();
        let mut orders = self.orders.running();
        orders.extend(self.orders.unrecorded());
        let owned: Vec<u64> = orders
            .into_iter()
            .filter(|order| self.rank(*order, 1).contains(&me))
            .collect();
        let (changed, records) = self.orders.advance(now, |order| owned.contains(&order));
        if changed {
            self.membership.schedule_exchanges(now);
        }
        for (rollout, state) in records {
            actions.push(Action::RecordState(Box::new(rollout), state));
        }
        self.send_trials(now, trials, actions);
        self.fetch_table(now, actions);
        self.divide_duties(now, actions);
        self.fresh_strikes
            .retain(|_, since| now.since(*since) < STRIKE_NEWS);
        if self.strikes.prune(now) {
            self.publish_strikes(actions);
        }
        for (target, exchange) in self.membership.tick(now) {
            self.send_exchange(now, target, exchange, actions);
        }
    }

    /// Sends this proxy's observations to the proxies that judge each order.
    fn send_trials(&mut self, now: Millis, trials: &[TrialReport], actions: &mut Vec<Action>) {
        if now < self.next_observe {
            return;
        }
        self.next_observe = now + OBSERVE_PAUSE;
        self.sent_trials
            .retain(|order, _| trials.iter().any(|t| t.order == *order));
        for trial in trials {
            let sent = self.sent_trials.insert(trial.order, trial.total());
            if sent.unwrap_or(0) == trial.total() {
                continue;
            }
            for judge in self.rank(trial.order, JUDGES) {
                let target = self.membership.target(judge);
                if let Some(target) = target.filter(|_| judge != self.id()) {
                    let request = RelayRequest::Observe(Box::new(trial.clone()));
                    actions.push(Action::Send(
                        target,
                        MessageKind::Observe,
                        Box::new(request),
                    ));
                }
            }
        }
    }

    /// Returns the proxies that rank highest for `key`.
    fn rank(&self, key: u64, count: usize) -> Vec<InstanceId> {
        let members = self.membership.roster().reachable().filter(|m| !m.leaving);
        highest_ranked(key, members.map(|m| m.id), count)
    }

    /// Takes the store's topics on that are this proxy's to follow.
    ///
    /// A few proxies follow each topic for all; where the store seems to answer none of them, more
    /// and more others do so too until it is known to answer.
    fn divide_duties(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let silence = now.since(self.store_seen).0.checked_sub(STORE_STALE.0);
        let doublings = silence.map_or(0, |s| 1 + s / STORE_SPREAD.0);
        let count = FOLLOWERS << doublings.min(MAX_DOUBLINGS);
        let is_behind = self.fetch.is_behind(now);
        let is_known = self.table.version.0 > 0;
        let is_early = !is_known && now.since(self.started) < PATIENCE;
        for topic in [Topic::Table, Topic::Rollouts] {
            let followers = self.rank(topic as u64 + 1, count);
            let is_late = topic == Topic::Table && is_behind;
            let is_mine = followers.contains(&self.id()) || is_late || !is_known;
            let is_mine = is_mine && !is_early;
            let was_mine = match is_mine {
                true => !self.duties.insert(topic),
                false => self.duties.remove(&topic),
            };
            if is_mine != was_mine {
                actions.push(Action::Follow(topic, is_mine));
            }
        }
    }

    fn send_exchange(
        &self,
        now: Millis,
        target: ExchangeTarget,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        let news = Box::new(self.news(now));
        let request = RelayRequest::Exchange(Box::new(exchange), news);
        actions.push(Action::Send(
            target,
            MessageKind::Exchange,
            Box::new(request),
        ));
    }

    fn news(&self, now: Millis) -> GossipUpdate {
        let requests = self.fresh_strikes.keys();
        let marks = requests.flat_map(|f| self.strikes.records(*f));
        let (absolved, strikes): (Vec<_>, Vec<_>) = marks.partition(|(_, absolved)| *absolved);
        let strip = |marks: Vec<(Strike, bool)>| marks.into_iter().map(|(s, _)| s).collect();
        GossipUpdate {
            table: self.table.version,
            orders: self.orders.news(now),
            crashes: self.strikes.digest(),
            strikes: strip(strikes),
            cleared: strip(absolved),
            store_age: now.since(self.store_seen),
            store_era: self.store_era,
        }
    }

    /// Takes in that the store is in `era`; what it has lost is written again by those it concerns.
    fn take_era(&mut self, now: Millis, era: Option<u64>, actions: &mut Vec<Action>) {
        if era <= self.store_era {
            return;
        }
        if let Some(before) = std::mem::replace(&mut self.store_era, era)
            && let Some(era) = era
        {
            warn!(event = "store.restored", era, before);
            self.membership.schedule_exchanges(now);
            actions.push(Action::StoreRestored(era));
        }
    }

    fn answer_exchange(
        &mut self,
        now: Millis,
        exchange: &Exchange,
        news: &GossipUpdate,
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
        target: ExchangeTarget,
        kind: MessageKind,
        reply: Option<RelayReply>,
        actions: &mut Vec<Action>,
    ) {
        match (kind, reply) {
            (MessageKind::Exchange, Some(RelayReply::Exchange(reply, news))) => {
                self.membership.handle_reply(now, target, &reply);
                self.take_news(now, Some(target), &news, actions);
            }
            (MessageKind::Exchange, _) => self.membership.handle_failure(now, target),
            (MessageKind::Fetch, Some(RelayReply::Table(Some(patch)))) => {
                self.take_patch(now, target, &patch, actions);
            }
            (MessageKind::Fetch, _) => {
                warn!(
                    event = "table.not-fetched",
                    address = %target.address,
                    version = self.table.version.0,
                );
                self.fetch.remove_source(target);
                self.fetch_table(now, actions);
            }
            (MessageKind::Tell | MessageKind::Observe, _) => {}
        }
    }

    fn take_news(
        &mut self,
        now: Millis,
        from: Option<ExchangeTarget>,
        news: &GossipUpdate,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for order in &news.orders {
            changed |= self.orders.merge_news(now, order);
        }
        let seen = Millis(now.0.saturating_sub(news.store_age.0));
        self.store_seen = self.store_seen.max(seen);
        self.take_era(now, news.store_era, actions);
        if changed {
            self.membership.schedule_exchanges(now);
        }
        for strike in &news.strikes {
            self.take_strike(now, strike, actions);
        }
        for strike in &news.cleared {
            if self.strikes.merge_cleared(now, strike) {
                self.spread_absolution(now, strike.fingerprint, actions);
            }
        }
        if news.crashes != self.strikes.digest() {
            self.retell_strikes(now);
        }
        if news.table > self.table.version
            && let Some(target) = from
        {
            self.fetch.add_source(now, target, news.table);
            self.fetch_table(now, actions);
        }
    }

    /// Asks the next neighbour for its newer table, if one is to be asked now.
    fn fetch_table(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(target) = self.fetch.next_source(now) {
            let digest = match self.fetch.wants_full_table() {
                true => TableDigest::default(),
                false => TableDigest::clone(&self.digest),
            };
            let request = RelayRequest::Fetch(self.table.version, digest);
            actions.push(Action::Send(target, MessageKind::Fetch, Box::new(request)));
        }
    }

    fn take_patch(
        &mut self,
        now: Millis,
        target: ExchangeTarget,
        patch: &TablePatch,
        actions: &mut Vec<Action>,
    ) {
        if patch.version <= self.table.version {
            return;
        }
        match patch.apply(&self.table) {
            Ok(table) => self.adopt(now, table, "proxy", actions),
            Err(error) => {
                info!(event = "table.unpatched", address = %target.address, %error);
                self.fetch.request_full_table();
                self.fetch_table(now, actions);
            }
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
        self.fresh_strikes.insert(strike.fingerprint, now);
        self.membership.schedule_exchanges(now);
        self.publish_strikes(actions);
    }

    /// Takes in that a request with strikes was answered here.
    fn absolve(&mut self, now: Millis, fingerprint: u64, actions: &mut Vec<Action>) {
        if self.strikes.mark_cleared(fingerprint) {
            self.spread_absolution(now, fingerprint, actions);
        }
    }

    fn spread_absolution(&mut self, now: Millis, fingerprint: u64, actions: &mut Vec<Action>) {
        info!(event = "request.absolved", fingerprint);
        self.fresh_strikes.insert(fingerprint, now);
        self.membership.schedule_exchanges(now);
        self.publish_strikes(actions);
    }

    /// Tells the newest strikes once more, because a neighbour does not know the same ones.
    ///
    /// A proxy that is new, or that was frozen or cut off while the others told each other of a
    /// crash, learns of it so.
    fn retell_strikes(&mut self, now: Millis) {
        let newest = self.strikes.fingerprints().into_iter().take(RETOLD);
        self.fresh_strikes.extend(newest.map(|f| (f, now)));
    }

    fn publish_strikes(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::PublishStrikes(Box::new(self.strikes.clone())));
    }

    fn take_snapshot(&mut self, now: Millis, snapshot: Snapshot, actions: &mut Vec<Action>) {
        if let Some(table) = snapshot.table {
            self.adopt(now, table, "store", actions);
        }
        let mut changed = false;
        for rollout in &snapshot.rollouts {
            changed |= self.orders.merge_stored(now, rollout);
        }
        if changed {
            self.membership.schedule_exchanges(now);
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
        self.digest = Arc::new(TableDigest::of(&table));
        self.table = Arc::new(table);
        self.fetch.adopt(now, self.table.version);
        self.membership.schedule_exchanges(now);
        actions.push(Action::TableAdopted(self.table.clone()));
    }

    fn take_entries(&mut self, entries: &[ProxyEntry], actions: &mut Vec<Action>) {
        let me = self.id();
        let others = entries.iter().filter(|e| e.instance != me);
        let seeds = others.clone().map(|e| e.relay).collect();
        self.membership.set_seeds(seeds);
        let zone = self.membership.me().zone.clone();
        let (near, far) = others.partition(|e| e.zone == zone);
        self.introduce(near, INTRODUCTIONS - 1, actions);
        self.introduce(far, 1, actions);
    }

    /// Introduces this proxy to `count` of `entries`.
    fn introduce(
        &mut self,
        mut entries: Vec<&ProxyEntry>,
        count: usize,
        actions: &mut Vec<Action>,
    ) {
        for _ in 0..count.min(entries.len()) {
            let index = self.random.below(entries.len() as u64) as usize;
            let entry = entries.swap_remove(index);
            let (target, exchange) = self.membership.join_exchange(entry.relay);
            self.send_exchange(Millis::ZERO, target, exchange, actions);
        }
    }

    fn describe_server(
        &mut self,
        now: Millis,
        resident: Option<&LocalServer>,
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
        self.membership.update_local(now, |me| me.server = server);
        if leaves {
            self.tell_all(actions);
        }
    }

    fn stop(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.membership.update_local(now, |me| me.leaving = true);
        self.tell_all(actions);
    }

    /// Tells every proxy of this one's description without waiting for the news to spread.
    fn tell_all(&self, actions: &mut Vec<Action>) {
        let me = self.membership.me();
        let roster = self.membership.roster();
        for member in roster.reachable().filter(|m| m.id != me.id) {
            let target = ExchangeTarget {
                id: Some(member.id),
                address: member.peers,
            };
            let request = RelayRequest::Tell(Box::new(me.clone()));
            actions.push(Action::Send(target, MessageKind::Tell, Box::new(request)));
        }
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        let basis = ViewBasis {
            roster: self.membership.roster().revision(),
            table: self.table.version,
            orders: self.orders.revision(),
        };
        if basis == self.basis {
            return;
        }
        self.basis = basis;
        let view = self.compute_view();
        if view == self.published {
            return;
        }
        for instance in new_incarnations(&self.published, &view) {
            actions.push(Action::Readmit(instance));
        }
        self.published = view.clone();
        actions.push(Action::PublishView(Box::new(view)));
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
        let near = roster.reachable().filter(|m| m.zone == me.zone);
        View {
            zone_peers: near.map(|m| m.peers).collect(),
            table: self.table.clone(),
            digest: self.digest.clone(),
            services,
            proxies: roster.reachable().count(),
        }
    }
}
