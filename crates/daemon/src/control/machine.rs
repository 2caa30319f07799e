//! The control machine.
//!
//! Each event is handled by the part it belongs to, and afterwards [`Control::settle`] brings what
//! depends on the new state up to date: the routing table, the gate, the strikes. Parts live in
//! modules of their own: [`super::platform`] calls the platform, [`super::judging`] collects
//! evidence and judges, [`super::operators`] answers operators.

use super::event::{Action, Announcement, Event, GateState, PeerCall, Requester};
use super::judging::Judging;
use super::platform::Platform;
use super::recorder::Recorder;
use rf_base::{Counter, Incarnation, InstanceId, Millis, MoveId, PlanId, SeededRandom};
use rf_config::weights::compute_leaving;
use rf_config::{Intent, MeshConfig, Settings};
use rf_membership::{
    AdoptOutcome, Distribution, ExchangeTarget, Membership, MembershipSettings, SyncAction,
};
use rf_protocol::{
    Exchange, ExchangeReply, LeaseHolder, Member, Reply, Request, ServerInfo, StopOrder,
};
use rf_rollout::{JobId, Writer};
use rf_traffic::{RoutingTable, StrikeTable, TableContext};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::{info, warn};

/// Time without a running call after which a leaving backend server counts as drained.
const DRAIN_QUIET: Millis = Millis(1000);

/// All control state of one daemon.
#[derive(Debug)]
pub struct Control {
    pub(super) settings: Settings,
    pub(super) membership: Membership,
    pub(super) distribution: Distribution,
    pub(super) platform: Platform,
    pub(super) writer: Writer,
    pub(super) judging: Judging,
    pub(super) recorder: Recorder,
    pub(super) brakes: BTreeMap<MoveId, StopOrder>,
    pub(super) owner: Option<LeaseHolder>,
    pub(super) jobs: BTreeMap<JobId, (Requester, Option<MoveId>)>,
    pub(super) random: SeededRandom,
    pub(super) announcement: Option<(Announcement, Millis)>,
    pub(super) plans: BTreeSet<(Millis, PlanId)>,
    strikes: StrikeTable,
    strikes_changed: bool,
    quiet_since: Option<Millis>,
    is_stopping: bool,
    published: Published,
}

/// What was published last, to publish only changes.
#[derive(Debug, Default)]
struct Published {
    basis: TableBasis,
    table: Arc<RoutingTable>,
    gate: GateState,
}

/// Versions of everything a routing table is compiled from.
#[derive(Debug, Default, PartialEq)]
struct TableBasis {
    counter: Counter,
    roster: u64,
    brakes: usize,
    lapsed: usize,
}

/// Number of known daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonCount {
    /// Those that answer.
    pub reachable: usize,
    /// Those that do not.
    pub unreachable: usize,
}

impl Control {
    /// Makes the machine of a daemon in its life `incarnation`.
    pub fn new(settings: Settings, incarnation: Incarnation, seed: u64) -> Control {
        let mut random = SeededRandom::new(seed);
        let id = InstanceId::of(&settings.instance);
        let me = Member {
            id,
            name: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation,
            seq: 1,
            peers: settings.advertise.peers.unwrap_or(settings.listen.peers),
            relay: settings.advertise.relay.unwrap_or(settings.listen.relay),
            server: None,
            leaving: false,
        };
        let membership_settings = MembershipSettings {
            heartbeat: settings.control.heartbeat,
            max_misses: settings.control.misses,
            forget_after: settings.control.forget,
            forget_zone_after: settings.control.forget_zone,
            seeds: settings.seeds.clone(),
        };
        let fork = |random: &mut SeededRandom| SeededRandom::new(random.bits());
        Control {
            membership: Membership::new(membership_settings, me, fork(&mut random)),
            distribution: Distribution::new(id),
            platform: Platform::new(&settings, id, incarnation, &mut random),
            writer: Writer::new(fork(&mut random)),
            judging: Judging::new(id),
            recorder: Recorder::default(),
            brakes: BTreeMap::new(),
            owner: None,
            jobs: BTreeMap::new(),
            announcement: None,
            plans: BTreeSet::new(),
            strikes: StrikeTable::default(),
            strikes_changed: false,
            quiet_since: None,
            is_stopping: false,
            published: Published::default(),
            random,
            settings,
        }
    }

    /// Takes in an event; returns what to do.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick { running } => self.tick(now, running, &mut actions),
            Event::PeerRequest(from, request) => {
                let reply = self.answer_peer(now, request);
                actions.push(Action::AnswerPeer(from, reply));
            }
            Event::PeerReply(target, call, reply) => {
                self.handle_reply(now, target, call, reply, &mut actions);
            }
            Event::Platform(answer) => self.handle_platform(now, answer, &mut actions),
            Event::Operator(from, request) => {
                self.handle_operator(now, from, request, &mut actions);
            }
            Event::Observed(observation) => {
                let is_cold = self.is_cold(now);
                self.recorder.record(now, &observation, is_cold);
                return actions;
            }
            Event::Crashed(strike) => {
                self.strikes_changed |= self.strikes.merge(now, &strike);
            }
            Event::Stop => self.stop(now),
        }
        self.settle(now, &mut actions);
        actions
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<MeshConfig> {
        self.distribution.config()
    }

    /// Returns this instance.
    pub fn id(&self) -> InstanceId {
        self.membership.me().id
    }

    /// Returns how many daemons are known.
    pub fn count_daemons(&self) -> DaemonCount {
        let roster = self.membership.roster();
        DaemonCount {
            reachable: roster.reachable().count(),
            unreachable: roster.unreachable().count(),
        }
    }

    /// Returns the moves that are braked.
    pub fn braked(&self) -> BTreeSet<MoveId> {
        self.brakes.keys().copied().collect()
    }

    fn tick(&mut self, now: Millis, running: usize, actions: &mut Vec<Action>) {
        self.expire_announcement(now);
        self.update_drained(now, running);
        self.judge(now, actions);
        self.conduct(now);
        self.poll_platform(now, actions);
        self.send_exchanges(now, actions);
    }

    fn send_exchanges(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for (target, mut exchange) in self.membership.tick(now) {
            self.fill(target.id, &mut exchange);
            let request = Request::Exchange(Box::new(exchange));
            actions.push(Action::SendPeer(target, request));
        }
    }

    /// Adds to an exchange what is not the membership's.
    fn fill(&mut self, to: Option<InstanceId>, exchange: &mut Exchange) {
        self.distribution.fill_exchange(to, exchange);
        exchange.stop_orders = self.brakes.values().cloned().collect();
        exchange.strikes = self.strikes.all();
        exchange.lease_holder = self.owner;
    }

    fn answer_peer(&mut self, now: Millis, request: Request) -> Reply {
        match request {
            Request::Exchange(exchange) => {
                let mut reply = self.membership.handle_exchange(now, &exchange);
                self.take_news(now, &exchange);
                self.distribution.handle_exchange(&exchange);
                self.fill(Some(exchange.from), &mut reply.news);
                Reply::Exchange(Box::new(reply))
            }
            Request::Deliver(config) => {
                self.adopt(now, *config);
                Reply::Ack(self.config().counter)
            }
            Request::Fetch(counter) => {
                let config = self.config();
                let newer = config.counter > counter;
                Reply::Config(newer.then(|| Box::new(MeshConfig::clone(config))))
            }
            Request::Evidence(evidence) => {
                let config = self.distribution.config().clone();
                self.judging.absorb(&config, &evidence);
                Reply::Ack(config.counter)
            }
        }
    }

    fn handle_reply(
        &mut self,
        now: Millis,
        target: ExchangeTarget,
        call: PeerCall,
        reply: Option<Reply>,
        actions: &mut Vec<Action>,
    ) {
        match (call, reply) {
            (PeerCall::Exchange, Some(Reply::Exchange(reply))) => {
                self.handle_exchange_reply(now, target, &reply, actions);
            }
            (PeerCall::Exchange, _) => {
                self.membership.handle_failure(now, target);
                if let Some(id) = target.id {
                    self.distribution.forget_sent(id);
                }
            }
            (PeerCall::Fetch, Some(Reply::Config(Some(config)))) => {
                self.adopt(now, *config);
            }
            (PeerCall::Deliver, _) => {
                if let Some(id) = target.id {
                    self.distribution.forget_sent(id);
                }
            }
            _ => {}
        }
    }

    fn handle_exchange_reply(
        &mut self,
        now: Millis,
        target: ExchangeTarget,
        reply: &ExchangeReply,
        actions: &mut Vec<Action>,
    ) {
        self.membership.handle_reply(now, target, reply);
        self.take_news(now, &reply.news);
        let counter = self.config().counter;
        match self.distribution.handle_exchange(&reply.news) {
            SyncAction::Nothing => {}
            SyncAction::Fetch => actions.push(Action::SendPeer(target, Request::Fetch(counter))),
            SyncAction::Deliver => {
                let config = Box::new(MeshConfig::clone(self.config()));
                actions.push(Action::SendPeer(target, Request::Deliver(config)));
            }
        }
    }

    /// Takes in the parts of an exchange that are not the membership's.
    fn take_news(&mut self, now: Millis, news: &Exchange) {
        for brake in &news.stop_orders {
            self.brake(now, brake.clone());
        }
        for strike in &news.strikes {
            if self.strikes.merge(now, strike) {
                self.strikes_changed = true;
                self.membership.schedule_exchanges(now);
            }
        }
        self.owner = self.owner.max(news.lease_holder);
    }

    /// Stops a move's new version here, and tells the neighbours at once.
    pub(super) fn brake(&mut self, now: Millis, brake: StopOrder) {
        let config = self.distribution.config();
        let ended = config
            .moves
            .get(&brake.move_id)
            .is_some_and(|m| !m.state.is_running());
        if ended || self.brakes.contains_key(&brake.move_id) {
            return;
        }
        warn!(target_move = %brake.move_id, reason = %brake.reason, "move braked");
        self.brakes.insert(brake.move_id, brake);
        self.membership.schedule_exchanges(now);
    }

    /// Puts a configuration in force, if it is newer and passes the verifier.
    pub(super) fn adopt(&mut self, now: Millis, config: MeshConfig) {
        let counter = config.counter;
        let is_first = self.config().counter == Counter(0);
        if self.distribution.adopt(config) != AdoptOutcome::InForce {
            return;
        }
        info!(%counter, "configuration in force");
        if is_first {
            self.postpone_read(now);
        }
        let config = self.distribution.config();
        self.brakes.retain(|id, _| {
            let m = config.moves.get(id);
            m.is_none_or(|m| m.state.is_running())
        });
        self.judging.retain(config);
        self.membership.schedule_exchanges(now);
    }

    pub(super) fn announce(&mut self, now: Millis, announcement: Announcement) {
        let known = self.membership.me().server.clone();
        let is_same = known.as_ref().is_some_and(|s| {
            s.service == announcement.service && s.version == announcement.version
        });
        let since = match known {
            Some(server) if is_same => server.since,
            _ => now,
        };
        let server = ServerInfo {
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots: announcement.slots.min(self.settings.traffic.max_slots),
            since,
            drained: self.is_drained(now),
        };
        self.membership
            .update_local(now, |me| me.server = Some(server));
        let until = now + announcement.ttl;
        self.announcement = Some((announcement, until));
    }

    pub(super) fn withdraw(&mut self, now: Millis) {
        self.announcement = None;
        self.membership.update_local(now, |me| me.server = None);
    }

    fn expire_announcement(&mut self, now: Millis) {
        if self
            .announcement
            .as_ref()
            .is_some_and(|(_, until)| now >= *until)
        {
            info!("announcement of the backend server lapsed");
            self.withdraw(now);
        }
    }

    fn is_cold(&self, now: Millis) -> bool {
        let Some(server) = &self.membership.me().server else {
            return false;
        };
        let service = self.config().services.get(&server.service);
        service.is_some_and(|s| now.since(server.since) < s.cold_start)
    }

    fn is_leaving(&self, now: Millis) -> bool {
        self.is_stopping || compute_leaving(self.config(), now).contains(&self.id())
    }

    fn is_drained(&self, now: Millis) -> bool {
        self.is_leaving(now)
            && self
                .quiet_since
                .is_some_and(|t| now.since(t) >= DRAIN_QUIET)
    }

    /// Keeps track of whether a leaving backend server runs no call any more.
    fn update_drained(&mut self, now: Millis, running: usize) {
        let is_quiet = running == 0 && self.is_leaving(now) && self.published.gate.is_leaving;
        self.quiet_since = match is_quiet {
            true => self.quiet_since.or(Some(now)),
            false => None,
        };
        let drained = self.is_drained(now);
        self.membership.update_local(now, |me| {
            if let Some(server) = &mut me.server {
                server.drained = drained;
            }
        });
    }

    fn stop(&mut self, now: Millis) {
        self.is_stopping = true;
        self.membership.update_local(now, |me| me.leaving = true);
        self.membership.schedule_exchanges(now);
    }

    /// Returns the retiring instances that run no call any more or are gone.
    pub(super) fn drained(&self, now: Millis) -> BTreeSet<InstanceId> {
        let retiring = self
            .config()
            .running_moves()
            .filter_map(|m| match m.plan.intent {
                Intent::Retire { instance, .. } => Some(instance),
                _ => None,
            });
        let is_drained = |id: &InstanceId| match self.membership.roster().get(*id) {
            None => self.knows_roster(now),
            Some(member) => member.server.as_ref().is_none_or(|s| s.drained),
        };
        retiring.filter(is_drained).collect()
    }

    /// Returns whether this daemon has been up long enough that a missing member is gone.
    pub(super) fn knows_roster(&self, now: Millis) -> bool {
        let start = Millis(self.membership.me().incarnation.0);
        now.since(start) >= self.settings.control.forget
    }

    /// Publishes what changed.
    fn settle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.publish_table(now, actions);
        self.publish_gate(now, actions);
        if std::mem::take(&mut self.strikes_changed) {
            self.membership.schedule_exchanges(now);
            actions.push(Action::Strikes(self.strikes.all()));
        }
    }

    fn publish_table(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let basis = self.table_basis(now);
        if self.published.basis == basis {
            return;
        }
        self.published.basis = basis;
        let roster = self.membership.roster();
        let members: Vec<&Member> = roster.reachable().collect();
        let braked = self.braked();
        let table = RoutingTable::compute(TableContext {
            config: self.distribution.config(),
            members: &members,
            local: self.membership.me(),
            braked: &braked,
            now,
        });
        if table == *self.published.table {
            return;
        }
        debug_assert!(table.counter >= self.published.table.counter);
        let table = Arc::new(table);
        self.published.table = table.clone();
        actions.push(Action::Publish(table));
    }

    fn table_basis(&self, now: Millis) -> TableBasis {
        let config = self.config();
        let lapsed = config.running_moves().filter(|m| now >= m.plan.deadline);
        TableBasis {
            counter: config.counter,
            roster: self.membership.roster().revision(),
            brakes: self.brakes.len(),
            lapsed: lapsed.count(),
        }
    }

    fn publish_gate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let server = self.announcement.as_ref().map(|(a, _)| a.clone());
        let service = server
            .as_ref()
            .and_then(|a| self.config().services.get(&a.service));
        let gate = GateState {
            queue: service.map_or(0, |s| s.queue),
            shed_status: service.map(|s| s.shed_status.clone()).unwrap_or_default(),
            is_leaving: self.is_leaving(now),
            server,
        };
        if gate != self.published.gate {
            self.published.gate = gate.clone();
            actions.push(Action::Gate(gate));
        }
    }
}
