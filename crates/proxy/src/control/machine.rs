//! Control state machine.
//!
//! It owns this proxy's knowledge of the mesh and makes decisions without I/O. The knowledge is
//! merged from two sources: the store, and gossip from other proxies, which also reaches a proxy
//! that has no connection to the store. Each change leads to a new [`View`] for the data plane.

mod description;
mod views;

use super::event::{Action, Event, ExchangeSender, MessageKind};
use super::fetch::TableFetch;
use super::rollouts::RolloutTracker;
use crate::source::{ProxyEntry, Snapshot, Topic};
use crate::view::View;
use rf_base::{Incarnation, InstanceId, Millis, SeededRandom, ZoneName};
use rf_config::{KeyIndex, RouteTable, TableDigest, TablePatch};
use rf_membership::overlay::highest_ranked;
use rf_membership::{ExchangeTarget, Membership, MembershipSettings};
use rf_protocol::relay::{GossipUpdate, RelayReply, RelayRequest, TrialReport};
use rf_protocol::{Exchange, Member, Strike};
use rf_traffic::StrikeTable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{info, warn};
use views::ViewInputs;

/// Interval between two gossip exchanges with one neighbour.
const HEARTBEAT_INTERVAL: Millis = Millis(500);
/// Consecutive failed exchanges after which a neighbour is reported as unreachable.
const MAX_MISSES: u32 = 3;
/// Number of proxies to which a new proxy introduces itself at start. One of them is in another
/// availability zone: each answers with its full state, and traffic between zones is expensive.
const INTRODUCTIONS: usize = 3;
/// Time for which a strike is gossiped; covers several exchanges with each neighbour.
const STRIKE_GOSSIP_TIME: Millis = Millis(1600);
/// Maximum number of requests whose strikes are gossiped again when a neighbour has different ones;
/// each takes some tens of bytes.
const MAX_RESENT_STRIKES: usize = 128;
/// Interval at which observations of a rollout are sent.
const OBSERVE_INTERVAL: Millis = Millis(700);
/// Number of proxies that evaluate a rollout: its owner, and the next one in rank.
const EVALUATORS: usize = 2;
/// Number of proxies that follow a topic of the store on behalf of all.
const FOLLOWERS: usize = 5;
/// Time without an answer of the store to any proxy after which more proxies follow it.
const STORE_STALE: Millis = Millis(6000);
/// Interval at which the number of followers doubles from then on. Most outages end before all
/// proxies follow the store, and if only some proxies can reach it, one of them does so soon.
const STORE_DOUBLING_TIME: Millis = Millis(1500);
/// Maximum number of doublings; yields more followers than any mesh has proxies.
const MAX_DOUBLINGS: u64 = 16;
/// Time for which a new proxy waits for its neighbours' route table before it reads the store.
const STORE_READ_DELAY: Millis = Millis(150);

/// Initial settings of the control state machine.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this instance.
    pub name: String,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Region of this instance.
    pub region: String,
    /// Address at which this proxy accepts attempts and messages.
    pub relay: SocketAddr,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time at which the process started.
    pub started: Millis,
}

/// State of the control machine.
#[derive(Debug)]
pub struct Control {
    membership: Membership,
    table: Arc<RouteTable>,
    digest: Arc<TableDigest>,
    keys: Arc<KeyIndex>,
    rollouts: RolloutTracker,
    strikes: StrikeTable,
    /// Fingerprints of the requests whose strikes are being gossiped, with the time since when.
    gossiped_strikes: BTreeMap<u64, Millis>,
    /// Total of this proxy's observations when they were last sent, by rollout.
    sent_trials: BTreeMap<u64, u64>,
    next_observe: Millis,
    store_answered: Millis,
    /// Newest known era of the store; `None` before the first one is known.
    store_era: Option<u64>,
    followed_topics: BTreeSet<Topic>,
    fetch: TableFetch,
    started: Millis,
    published: View,
    inputs: ViewInputs,
    random: SeededRandom,
}

impl Control {
    /// Creates the state machine of a proxy without any knowledge of the mesh.
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
            departed: None,
            leaving: false,
        };
        let membership_settings = MembershipSettings {
            heartbeat: HEARTBEAT_INTERVAL,
            max_misses: MAX_MISSES,
            ..MembershipSettings::default()
        };
        let membership = Membership::new(membership_settings, me, SeededRandom::new(random.bits()));
        Control {
            membership,
            table: Arc::default(),
            digest: Arc::default(),
            keys: Arc::default(),
            rollouts: RolloutTracker::default(),
            strikes: StrikeTable::default(),
            gossiped_strikes: BTreeMap::new(),
            sent_trials: BTreeMap::new(),
            next_observe: Millis::ZERO,
            store_answered: Millis::ZERO,
            store_era: None,
            followed_topics: BTreeSet::new(),
            fetch: TableFetch::default(),
            started: settings.started,
            published: View::default(),
            inputs: ViewInputs::default(),
            random,
        }
    }

    /// Returns the numbers of the running rollouts.
    pub fn running_rollouts(&self) -> Vec<u64> {
        self.rollouts.running()
    }

    /// Returns the id of this instance.
    pub fn id(&self) -> InstanceId {
        self.membership.me().id
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.membership.me().incarnation
    }

    /// Processes an event; returns the actions to execute.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick(trials) => self.tick(now, &trials, &mut actions),
            Event::Exchange(exchange, gossip, sender) => {
                self.answer_exchange(now, &exchange, &gossip, sender, &mut actions);
            }
            Event::TrialObserved(trial) => self.rollouts.observe(&trial),
            Event::StoreAnswered(era) => {
                self.store_answered = now;
                self.update_era(now, Some(era), &mut actions);
            }
            Event::MemberDescribed(member) => self.membership.handle_member(now, &member),
            Event::Replied(target, kind, reply) => {
                self.handle_reply(now, target, kind, reply, &mut actions);
            }
            Event::ServerChanged(server, departed) => {
                self.describe_server(now, server.as_ref(), departed, &mut actions);
            }
            Event::DepartureTold(instance, departure, sender) => {
                self.membership.remember_departure(instance, departure);
                actions.push(Action::Remembered(sender));
            }
            Event::ServerCrashed(strike) => self.merge_strike(now, &strike, &mut actions),
            Event::StrikesCleared(fingerprint) => {
                self.clear_strikes(now, fingerprint, &mut actions)
            }
            Event::SnapshotRead(snapshot) => self.merge_snapshot(now, *snapshot, &mut actions),
            Event::EntriesRead(entries) => self.merge_entries(&entries, &mut actions),
            Event::Stop => self.stop(now, &mut actions),
        }
        self.publish(&mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, trials: &[TrialReport], actions: &mut Vec<Action>) {
        for trial in trials {
            self.rollouts.observe(trial);
        }
        let me = self.id();
        let mut numbers = self.rollouts.running();
        numbers.extend(self.rollouts.unrecorded());
        let owned: Vec<u64> = numbers
            .into_iter()
            .filter(|order| self.rank(*order, 1).contains(&me))
            .collect();
        let (changed, records) = self.rollouts.advance(now, |order| owned.contains(&order));
        if changed {
            self.membership.schedule_exchanges(now);
        }
        for (rollout, state) in records {
            actions.push(Action::RecordState(Box::new(rollout), state));
        }
        self.send_observations(now, trials, actions);
        self.fetch_table(now, actions);
        self.update_topics(now, actions);
        self.gossiped_strikes
            .retain(|_, since| now.since(*since) < STRIKE_GOSSIP_TIME);
        if self.strikes.prune(now) {
            self.publish_strikes(actions);
        }
        for (target, exchange) in self.membership.tick(now) {
            self.send_exchange(now, target, exchange, actions);
        }
    }

    /// Sends this proxy's new observations to the proxies that evaluate each rollout.
    fn send_observations(
        &mut self,
        now: Millis,
        trials: &[TrialReport],
        actions: &mut Vec<Action>,
    ) {
        if now < self.next_observe {
            return;
        }
        self.next_observe = now + OBSERVE_INTERVAL;
        self.sent_trials
            .retain(|order, _| trials.iter().any(|t| t.order == *order));
        for trial in trials {
            let sent = self.sent_trials.insert(trial.order, trial.total());
            if sent.unwrap_or(0) == trial.total() {
                continue;
            }
            for evaluator in self.rank(trial.order, EVALUATORS) {
                let target = self.membership.target(evaluator);
                if let Some(target) = target.filter(|_| evaluator != self.id()) {
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

    /// Returns the `count` proxies that rank highest for `key`. Proxies with the same membership
    /// compute the same ranking.
    fn rank(&self, key: u64, count: usize) -> Vec<InstanceId> {
        let members = self.membership.roster().reachable().filter(|m| !m.leaving);
        highest_ranked(key, members.map(|m| m.id), count)
    }

    /// Starts or stops following the store's topics.
    ///
    /// A few proxies follow each topic on behalf of all. If the store does not seem to answer any
    /// of them, more and more proxies follow it until it is known to answer again.
    fn update_topics(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let store_silence = now.since(self.store_answered).0.checked_sub(STORE_STALE.0);
        let doublings = store_silence.map_or(0, |s| 1 + s / STORE_DOUBLING_TIME.0);
        let count = FOLLOWERS << doublings.min(MAX_DOUBLINGS);
        let is_behind = self.fetch.is_behind(now);
        let is_known = self.table.version.0 > 0;
        let is_early = !is_known && now.since(self.started) < STORE_READ_DELAY;
        for topic in [Topic::Table, Topic::Rollouts] {
            let followers = self.rank(topic as u64 + 1, count);
            let is_late = topic == Topic::Table && is_behind;
            let is_follower = followers.contains(&self.id()) || is_late || !is_known;
            let is_follower = is_follower && !is_early;
            let was_follower = match is_follower {
                true => !self.followed_topics.insert(topic),
                false => self.followed_topics.remove(&topic),
            };
            if is_follower != was_follower {
                actions.push(Action::Follow(topic, is_follower));
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
        let gossip = Box::new(self.gossip(now, target.id));
        let request = RelayRequest::Exchange(Box::new(exchange), gossip);
        actions.push(Action::Send(
            target,
            MessageKind::Exchange,
            Box::new(request),
        ));
    }

    /// Returns the gossip for the proxy `receiver`.
    fn gossip(&self, now: Millis, receiver: Option<InstanceId>) -> GossipUpdate {
        let requests = self.gossiped_strikes.keys();
        let records = requests.flat_map(|f| self.strikes.records(*f));
        let (cleared, strikes): (Vec<_>, Vec<_>) = records.partition(|(_, is_cleared)| *is_cleared);
        let strip = |records: Vec<(Strike, bool)>| records.into_iter().map(|(s, _)| s).collect();
        GossipUpdate {
            table: self.table.version,
            orders: self.rollouts.gossip(now),
            crashes: self.strikes.digest(),
            strikes: strip(strikes),
            cleared: strip(cleared),
            store_age: now.since(self.store_answered),
            store_era: self.store_era,
            departed: receiver.and_then(|id| self.forgotten_departure(id)),
        }
    }

    /// Records that the store is in `era`. A new era means that the store was restored from a
    /// backup; each proxy then writes its own lost objects again.
    fn update_era(&mut self, now: Millis, era: Option<u64>, actions: &mut Vec<Action>) {
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
        gossip: &GossipUpdate,
        sender: ExchangeSender,
        actions: &mut Vec<Action>,
    ) {
        let reply = self.membership.handle_exchange(now, exchange);
        let target = self.membership.target(exchange.from);
        self.merge_gossip(now, target, gossip, actions);
        let answer = (reply, self.gossip(now, Some(exchange.from)));
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
            (MessageKind::Exchange, Some(RelayReply::Exchange(reply, gossip))) => {
                self.membership.handle_reply(now, target, &reply);
                self.merge_gossip(now, Some(target), &gossip, actions);
            }
            (MessageKind::Exchange, _) => self.membership.handle_failure(now, target),
            (MessageKind::Fetch, Some(RelayReply::Table(Some(patch)))) => {
                self.apply_patch(now, target, &patch, actions);
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

    fn merge_gossip(
        &mut self,
        now: Millis,
        from: Option<ExchangeTarget>,
        gossip: &GossipUpdate,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for order in &gossip.orders {
            changed |= self.rollouts.merge_gossip(now, order);
        }
        let last_answer = Millis(now.0.saturating_sub(gossip.store_age.0));
        self.store_answered = self.store_answered.max(last_answer);
        self.update_era(now, gossip.store_era, actions);
        if let Some(departure) = gossip.departed {
            actions.push(Action::ServerDeparted(departure));
        }
        if changed {
            self.membership.schedule_exchanges(now);
        }
        for strike in &gossip.strikes {
            self.merge_strike(now, strike, actions);
        }
        for strike in &gossip.cleared {
            if self.strikes.merge_cleared(now, strike) {
                self.gossip_clearance(now, strike.fingerprint, actions);
            }
        }
        if gossip.crashes != self.strikes.digest() {
            self.resend_strikes(now);
        }
        if gossip.table > self.table.version
            && let Some(target) = from
        {
            self.fetch.add_source(now, target, gossip.table);
            self.fetch_table(now, actions);
        }
    }

    /// Requests a newer table from the next neighbour, if one is due.
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

    fn apply_patch(
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

    fn merge_strike(&mut self, now: Millis, strike: &Strike, actions: &mut Vec<Action>) {
        if !self.strikes.merge(now, strike) {
            return;
        }
        warn!(
            event = "request.crashed-server",
            fingerprint = strike.fingerprint,
            instance = %strike.instance,
            crashes = self.strikes.count(strike.fingerprint),
        );
        self.gossiped_strikes.insert(strike.fingerprint, now);
        self.membership.schedule_exchanges(now);
        self.publish_strikes(actions);
    }

    /// Records that a request with strikes succeeded at this proxy.
    fn clear_strikes(&mut self, now: Millis, fingerprint: u64, actions: &mut Vec<Action>) {
        if self.strikes.mark_cleared(fingerprint) {
            self.gossip_clearance(now, fingerprint, actions);
        }
    }

    fn gossip_clearance(&mut self, now: Millis, fingerprint: u64, actions: &mut Vec<Action>) {
        info!(event = "request.absolved", fingerprint);
        self.gossiped_strikes.insert(fingerprint, now);
        self.membership.schedule_exchanges(now);
        self.publish_strikes(actions);
    }

    /// Gossips the newest strikes again, because a neighbour has different ones.
    ///
    /// So a proxy learns of a crash even if it is new, or was frozen or partitioned while the
    /// others gossiped about it.
    fn resend_strikes(&mut self, now: Millis) {
        let newest = self
            .strikes
            .fingerprints()
            .into_iter()
            .take(MAX_RESENT_STRIKES);
        self.gossiped_strikes.extend(newest.map(|f| (f, now)));
    }

    fn publish_strikes(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::PublishStrikes(Box::new(self.strikes.clone())));
    }

    fn merge_snapshot(&mut self, now: Millis, snapshot: Snapshot, actions: &mut Vec<Action>) {
        if let Some(table) = snapshot.table {
            self.adopt(now, table, "store", actions);
        }
        let mut changed = false;
        for rollout in &snapshot.rollouts {
            changed |= self.rollouts.merge_stored(now, rollout);
        }
        if changed {
            self.membership.schedule_exchanges(now);
        }
    }

    /// Activates a route table if it is newer than the current one.
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
            routes,
            organisations = table.organisations.len(),
        );
        self.digest = Arc::new(TableDigest::of(&table));
        if table.organisations != self.table.organisations {
            self.keys = Arc::new(KeyIndex::new(&table.organisations));
        }
        self.table = Arc::new(table);
        self.fetch.adopt(now, self.table.version);
        self.membership.schedule_exchanges(now);
        actions.push(Action::TableAdopted(self.table.clone()));
    }

    fn merge_entries(&mut self, entries: &[ProxyEntry], actions: &mut Vec<Action>) {
        let me = self.id();
        let others = entries.iter().filter(|e| e.instance != me);
        let seeds = others.clone().map(|e| e.relay).collect();
        self.membership.set_seeds(seeds);
        let zone = self.membership.me().zone.clone();
        let (near, far) = others.partition(|e| e.zone == zone);
        self.introduce(near, INTRODUCTIONS - 1, actions);
        self.introduce(far, 1, actions);
    }

    /// Introduces this proxy to `count` random proxies of `entries`.
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
}
