//! State machine of the control plane.
//!
//! [`Control::handle`] dispatches each event to the part that it concerns, and then publishes what
//! has changed of the state that the traffic threads use: the routing table, the state of the gate
//! and the crash records. Some parts have modules of their own: [`super::platform`] makes the
//! platform calls, [`super::judging`] collects evidence and judges moves, and
//! [`super::operators`] answers requests of operators.

use super::event::{Action, Announcement, Event, GateState, MessageKind, RequestId};
use super::judging::MoveJudges;
use super::platform::PlatformState;
use super::recorder::CallRecorder;
use rf_base::{ConfigVersion, Incarnation, InstanceId, Millis, MoveId, PlanId, SeededRandom};
use rf_config::weights::compute_retiring;
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

/// Time without running calls after which a leaving backend server counts as drained.
const DRAIN_IDLE_TIME: Millis = Millis(1000);

/// State machine of the control plane of one daemon.
#[derive(Debug)]
pub struct Control {
    pub(super) settings: Settings,
    pub(super) membership: Membership,
    pub(super) distribution: Distribution,
    pub(super) platform: PlatformState,
    pub(super) writer: Writer,
    pub(super) judging: MoveJudges,
    pub(super) recorder: CallRecorder,
    /// Orders to stop a move, by move; kept until the configuration says that the move ended.
    pub(super) stop_orders: BTreeMap<MoveId, StopOrder>,
    /// Holder of the moves lease with the highest known epoch.
    pub(super) moves_holder: Option<LeaseHolder>,
    /// Requests that wait for a job of the writer, with the move to report on success.
    pub(super) jobs: BTreeMap<JobId, (RequestId, Option<MoveId>)>,
    pub(super) random: SeededRandom,
    /// Announcement of the local backend server and the time at which it expires.
    pub(super) announcement: Option<(Announcement, Millis)>,
    /// Plans that this daemon stored, by the time at which to delete them.
    pub(super) plan_deletions: BTreeSet<(Millis, PlanId)>,
    strikes: StrikeTable,
    strikes_changed: bool,
    /// Time since which the leaving backend server has run no calls.
    idle_since: Option<Millis>,
    is_stopping: bool,
    published: Published,
}

/// State that was published last; only changes are published again.
#[derive(Debug, Default)]
struct Published {
    inputs: TableInputs,
    table: Arc<RoutingTable>,
    gate: GateState,
}

/// Versions of all inputs of a routing table, by which an unchanged table is not computed again.
#[derive(Debug, Default, PartialEq)]
struct TableInputs {
    counter: ConfigVersion,
    roster: u64,
    stop_orders: usize,
    /// Number of running moves that are past their deadline.
    overdue: usize,
}

/// Numbers of known daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonCounts {
    /// Reachable daemons, including this one.
    pub reachable: usize,
    /// Daemons that do not answer and are not forgotten yet.
    pub unreachable: usize,
}

impl Control {
    /// Creates the state machine of a daemon with the empty configuration.
    ///
    /// `incarnation` is the start time of the process in milliseconds since the Unix epoch, and
    /// `seed` determines all random choices.
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
            departed: None,
            leaving: false,
        };
        let membership_settings = MembershipSettings {
            heartbeat: settings.control.heartbeat,
            max_misses: settings.control.misses,
            forget_after: settings.control.forget,
            forget_zone_after: settings.control.forget_zone,
            seeds: settings.seeds.clone(),
        };
        let derive = |random: &mut SeededRandom| SeededRandom::new(random.bits());
        Control {
            membership: Membership::new(membership_settings, me, derive(&mut random)),
            distribution: Distribution::new(id),
            platform: PlatformState::new(&settings, id, incarnation, &mut random),
            writer: Writer::new(derive(&mut random)),
            judging: MoveJudges::new(id),
            recorder: CallRecorder::default(),
            stop_orders: BTreeMap::new(),
            moves_holder: None,
            jobs: BTreeMap::new(),
            announcement: None,
            plan_deletions: BTreeSet::new(),
            strikes: StrikeTable::default(),
            strikes_changed: false,
            idle_since: None,
            is_stopping: false,
            published: Published::default(),
            random,
            settings,
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick { running } => self.tick(now, running, &mut actions),
            Event::PeerRequest(request_id, request) => {
                let reply = self.answer_peer(now, request);
                actions.push(Action::AnswerPeer(request_id, reply));
            }
            Event::PeerReply(target, kind, reply) => {
                self.handle_reply(now, target, kind, reply, &mut actions);
            }
            Event::Platform(answer) => self.handle_platform(now, answer, &mut actions),
            Event::Operator(request_id, request) => {
                self.handle_operator(now, request_id, request, &mut actions);
            }
            Event::CallEnded(observation) => {
                let is_cold = self.is_cold(now);
                self.recorder.record(now, &observation, is_cold);
                return actions;
            }
            Event::ServerCrashed(strike) => {
                self.strikes_changed |= self.strikes.merge(now, &strike);
            }
            Event::Stop => self.stop(now),
        }
        self.publish_changes(now, &mut actions);
        // What an answer acknowledges is in force before the answer is sent.
        actions.sort_by_key(|action| matches!(action, Action::AnswerOperator(..)));
        actions
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<MeshConfig> {
        self.distribution.config()
    }

    /// Returns the id of this instance.
    pub fn id(&self) -> InstanceId {
        self.membership.me().id
    }

    /// Counts the known daemons by reachability.
    pub fn count_daemons(&self) -> DaemonCounts {
        let roster = self.membership.roster();
        DaemonCounts {
            reachable: roster.reachable().count(),
            unreachable: roster.unreachable().count(),
        }
    }

    /// Returns the moves that were ordered to stop and are not known to have ended.
    pub fn stopped_moves(&self) -> BTreeSet<MoveId> {
        self.stop_orders.keys().copied().collect()
    }

    fn tick(&mut self, now: Millis, running: usize, actions: &mut Vec<Action>) {
        self.expire_announcement(now);
        self.update_drained(now, running);
        self.judge(now, actions);
        self.advance_moves(now);
        self.poll_platform(now, actions);
        self.send_exchanges(now, actions);
    }

    fn send_exchanges(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for (target, mut exchange) in self.membership.tick(now) {
            self.add_control_state(target.id, &mut exchange);
            let request = Request::Exchange(Box::new(exchange));
            actions.push(Action::SendPeer(target, request));
        }
    }

    /// Adds the parts of an exchange that do not come from the membership.
    fn add_control_state(&mut self, to: Option<InstanceId>, exchange: &mut Exchange) {
        self.distribution.fill_exchange(to, exchange);
        exchange.stop_orders = self.stop_orders.values().cloned().collect();
        exchange.strikes = self.strikes.all();
        exchange.lease_holder = self.moves_holder;
    }

    fn answer_peer(&mut self, now: Millis, request: Request) -> Reply {
        match request {
            Request::Exchange(exchange) => {
                let mut reply = self.membership.handle_exchange(now, &exchange);
                self.merge_control_state(now, &exchange);
                self.distribution.handle_exchange(&exchange);
                self.add_control_state(Some(exchange.from), &mut reply.exchange);
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
                self.judging.add_evidence(&config, &evidence);
                Reply::Ack(config.counter)
            }
        }
    }

    fn handle_reply(
        &mut self,
        now: Millis,
        target: ExchangeTarget,
        kind: MessageKind,
        reply: Option<Reply>,
        actions: &mut Vec<Action>,
    ) {
        match (kind, reply) {
            (MessageKind::Exchange, Some(Reply::Exchange(reply))) => {
                self.handle_exchange_reply(now, target, &reply, actions);
            }
            (MessageKind::Exchange, _) => {
                self.membership.handle_failure(now, target);
                if let Some(id) = target.id {
                    self.distribution.forget_sent(id);
                }
            }
            (MessageKind::Fetch, Some(Reply::Config(Some(config)))) => {
                self.adopt(now, *config);
            }
            (MessageKind::Deliver, _) => {
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
        self.merge_control_state(now, &reply.exchange);
        let counter = self.config().counter;
        match self.distribution.handle_exchange(&reply.exchange) {
            SyncAction::Nothing => {}
            SyncAction::Fetch => actions.push(Action::SendPeer(target, Request::Fetch(counter))),
            SyncAction::Deliver => {
                let config = Box::new(MeshConfig::clone(self.config()));
                actions.push(Action::SendPeer(target, Request::Deliver(config)));
            }
        }
    }

    /// Merges the parts of an exchange that do not belong to the membership.
    fn merge_control_state(&mut self, now: Millis, exchange: &Exchange) {
        for order in &exchange.stop_orders {
            self.apply_stop_order(now, order.clone());
        }
        for strike in &exchange.strikes {
            if self.strikes.merge(now, strike) {
                self.strikes_changed = true;
                self.membership.schedule_exchanges(now);
            }
        }
        self.moves_holder = self.moves_holder.max(exchange.lease_holder);
    }

    /// Stops sending traffic to the new version of a move, and passes the order on to the
    /// neighbours at once. Has no effect if the move ended or was already stopped.
    pub(super) fn apply_stop_order(&mut self, now: Millis, order: StopOrder) {
        let config = self.distribution.config();
        let ended = config
            .moves
            .get(&order.move_id)
            .is_some_and(|m| !m.state.is_running());
        if ended || self.stop_orders.contains_key(&order.move_id) {
            return;
        }
        warn!(
            target_move = %order.move_id,
            reason = %order.reason,
            "new version of a move stopped"
        );
        self.stop_orders.insert(order.move_id, order);
        self.membership.schedule_exchanges(now);
    }

    /// Puts a configuration in force if it is newer than the current one and passes verification.
    pub(super) fn adopt(&mut self, now: Millis, config: MeshConfig) {
        let counter = config.counter;
        let is_first = self.config().counter == ConfigVersion(0);
        if self.distribution.adopt(config) != AdoptOutcome::InForce {
            return;
        }
        info!(%counter, "configuration in force");
        if is_first {
            self.schedule_read(now);
        }
        let config = self.distribution.config();
        self.stop_orders.retain(|id, _| {
            let m = config.moves.get(id);
            m.is_none_or(|m| m.state.is_running())
        });
        self.judging.retain(config);
        self.membership.schedule_exchanges(now);
    }

    /// Records an announcement of the local backend server. A renewal for the same service and
    /// version keeps the time from which the cold start is counted.
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
            info!("announcement of the backend server expired");
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
        self.is_stopping || compute_retiring(self.config(), now).contains(&self.id())
    }

    fn is_drained(&self, now: Millis) -> bool {
        self.is_leaving(now)
            && self
                .idle_since
                .is_some_and(|t| now.since(t) >= DRAIN_IDLE_TIME)
    }

    /// Updates whether the backend server is drained: it is leaving, its gate refuses new calls,
    /// and it has run no calls for [`DRAIN_IDLE_TIME`].
    fn update_drained(&mut self, now: Millis, running: usize) {
        let is_idle = running == 0 && self.is_leaving(now) && self.published.gate.is_leaving;
        self.idle_since = match is_idle {
            true => self.idle_since.or(Some(now)),
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

    /// Returns the instances being retired that run no more calls or have left the mesh.
    pub(super) fn drained(&self, now: Millis) -> BTreeSet<InstanceId> {
        let retiring = self
            .config()
            .running_moves()
            .filter_map(|m| match m.plan.intent {
                Intent::Retire { instance, .. } => Some(instance),
                _ => None,
            });
        let is_drained = |id: &InstanceId| match self.membership.roster().get(*id) {
            None => self.is_roster_complete(now),
            Some(member) => member.server.as_ref().is_none_or(|s| s.drained),
        };
        retiring.filter(is_drained).collect()
    }

    /// Returns whether this daemon has run long enough that an instance that is missing from the
    /// roster has left the mesh: for the time after which an unreachable daemon is forgotten.
    pub(super) fn is_roster_complete(&self, now: Millis) -> bool {
        let start = Millis(self.membership.me().incarnation.0);
        now.since(start) >= self.settings.control.forget
    }

    /// Publishes the parts of the state that have changed.
    fn publish_changes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.publish_table(now, actions);
        self.publish_gate(now, actions);
        if std::mem::take(&mut self.strikes_changed) {
            self.membership.schedule_exchanges(now);
            actions.push(Action::PublishStrikes(self.strikes.all()));
        }
    }

    fn publish_table(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let inputs = self.table_inputs(now);
        if self.published.inputs == inputs {
            return;
        }
        self.published.inputs = inputs;
        let roster = self.membership.roster();
        let members: Vec<&Member> = roster.reachable().collect();
        let stopped = self.stopped_moves();
        let table = RoutingTable::compute(TableContext {
            config: self.distribution.config(),
            members: &members,
            local: self.membership.me(),
            stopped: &stopped,
            now,
        });
        if table == *self.published.table {
            return;
        }
        debug_assert!(table.counter >= self.published.table.counter);
        let table = Arc::new(table);
        self.published.table = table.clone();
        actions.push(Action::PublishTable(table));
    }

    fn table_inputs(&self, now: Millis) -> TableInputs {
        let config = self.config();
        let overdue = config.running_moves().filter(|m| now >= m.plan.deadline);
        TableInputs {
            counter: config.counter,
            roster: self.membership.roster().revision(),
            stop_orders: self.stop_orders.len(),
            overdue: overdue.count(),
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
            actions.push(Action::PublishGate(gate));
        }
    }
}
