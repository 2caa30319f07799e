//! State machine for membership: joining, heartbeats, gossip, and failure detection.
//!
//! Once per heartbeat interval, the daemon exchanges digests and changes with each neighbour.
//! New changes trigger an exchange at once instead of waiting for the next heartbeat. A neighbour
//! that misses several exchanges in a row is reported by an alert, which is gossiped like any other
//! change. Unreachable daemons are probed one at a time, so that either side notices when a network
//! partition heals. A daemon that knows no other daemon contacts its seeds; all other daemons
//! contact a seed from time to time as well.

use crate::links::{Link, Links, RosterDifference};
use crate::overlay::{compute_neighbours, is_forwarder};
use crate::roster::{Reachability, Roster};
use rf_base::{Incarnation, InstanceId, Millis, SeededRandom};
use rf_protocol::{Alert, Departure, Exchange, ExchangeReply, Member};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tracing::info;

/// Idle time after which the link to a daemon that is not a neighbour is dropped.
const LINK_IDLE_TIMEOUT: Millis = Millis(15_000);
/// Mean time between two contacts of a seed by a daemon that has neighbours.
const SEED_INTERVAL: Millis = Millis(60_000);
/// Heartbeats for which the digests of two daemons in different zones must differ without changing
/// before their buckets are compared. Changes that are still spreading through the zones make the
/// digests differ too, and need no comparison.
const STABLE_HEARTBEATS: u64 = 2;
/// Heartbeats after which the buckets are compared even if the digests keep changing.
const MAX_DIFFERENCE_HEARTBEATS: u64 = 10;
/// Mean time between two contacts of a seed by a daemon that has no neighbours, or that has started
/// recently and does not know all seeds.
const JOIN_INTERVAL: Millis = Millis(500);
/// Time after its start within which a daemon contacts seeds that it does not know. Daemons that
/// start together can find each other in groups that do not know of each other.
const JOIN_TIME: Millis = Millis(20_000);

/// Settings of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two exchanges with one neighbour.
    pub heartbeat: Millis,
    /// Number of consecutive failed exchanges after which an alert is raised.
    pub max_misses: u32,
    /// Time after which an unreachable daemon is removed from the roster.
    pub forget_after: Millis,
    /// Time after which it is removed if most of its zone is unreachable.
    pub forget_zone_after: Millis,
    /// Control addresses of daemons through which to join the mesh.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            heartbeat: Millis(1000),
            max_misses: 3,
            forget_after: Millis(60_000),
            forget_zone_after: Millis(1_800_000),
            seeds: Vec::new(),
        }
    }
}

/// Destination of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeTarget {
    /// Id of the daemon; `None` if only its address is known, as for a seed.
    pub id: Option<InstanceId>,
    /// Address for control messages.
    pub address: SocketAddr,
}

/// State machine for membership of one daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    me: Member,
    roster: Roster,
    links: Links,
    neighbours: BTreeSet<InstanceId>,
    /// Revision of the roster from which `neighbours` was computed.
    neighbours_revision: u64,
    next_seed: Millis,
    next_probe: Millis,
    /// Time of the first tick.
    started: Option<Millis>,
    random: SeededRandom,
}

impl Membership {
    /// Creates the state machine of the daemon with the description `me`.
    pub fn new(settings: MembershipSettings, me: Member, random: SeededRandom) -> Membership {
        let mut roster = Roster::default();
        roster.merge(&me);
        Membership {
            settings,
            me,
            roster,
            links: Links::new(),
            neighbours: BTreeSet::new(),
            neighbours_revision: 0,
            next_seed: Millis::ZERO,
            next_probe: Millis::ZERO,
            started: None,
            random,
        }
    }

    /// Returns the roster, which includes this daemon.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns this daemon's own description.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the neighbours with which this daemon initiates exchanges.
    pub fn neighbours(&self) -> &BTreeSet<InstanceId> {
        &self.neighbours
    }

    /// Returns the destination of exchanges with a known daemon.
    pub fn target(&self, id: InstanceId) -> Option<ExchangeTarget> {
        let member = self.roster.get(id)?;
        Some(ExchangeTarget {
            id: Some(id),
            address: member.peers,
        })
    }

    /// Remembers a departure from the backend server beside a daemon, which may forget it itself.
    pub fn remember_departure(&mut self, id: InstanceId, departure: Departure) {
        self.roster.remember_departure(id, departure);
    }

    /// Applies `change` to this daemon's own description and gossips the result if it differs.
    pub fn update_local(&mut self, now: Millis, change: impl FnOnce(&mut Member)) {
        let before = self.me.clone();
        change(&mut self.me);
        if self.me != before {
            self.reissue_description(now);
        }
    }

    fn reissue_description(&mut self, now: Millis) {
        self.me.seq += 1;
        let me = self.me.clone();
        self.roster.merge(&me);
        self.spread_member(now, me.id, None);
    }

    /// Replaces the addresses of daemons through which to join the mesh.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
    }

    /// Returns the exchange by which this daemon introduces itself to the daemon at `address`.
    pub fn join_exchange(&self, address: SocketAddr) -> (ExchangeTarget, Exchange) {
        (
            ExchangeTarget { id: None, address },
            self.make_introduction(),
        )
    }

    /// Handles a description that its subject sent outside of an exchange.
    pub fn handle_member(&mut self, now: Millis, member: &Member) {
        self.learn_member(now, member, member.id);
    }

    /// Schedules an exchange with every neighbour at the next [`Membership::tick`].
    pub fn schedule_exchanges(&mut self, now: Millis) {
        for id in &self.neighbours {
            self.links.entry(*id).or_default().next_exchange = now;
        }
    }

    /// Advances the time to `now` and returns the exchanges to send.
    pub fn tick(&mut self, now: Millis) -> Vec<(ExchangeTarget, Exchange)> {
        self.roster.advance(
            now,
            self.settings.forget_after,
            self.settings.forget_zone_after,
        );
        self.refresh_neighbours(now);
        let mut sends = Vec::new();
        for id in self.neighbours.clone() {
            sends.extend(self.exchange_with(now, id));
        }
        sends.extend(self.probe_unreachable(now));
        sends.extend(self.contact_seed(now));
        sends
    }

    fn refresh_neighbours(&mut self, now: Millis) {
        if self.neighbours_revision == self.roster.revision() {
            return;
        }
        self.neighbours_revision = self.roster.revision();
        let reachable: Vec<&Member> = self.roster.reachable().collect();
        self.neighbours = compute_neighbours(&self.me, &reachable);
        let neighbours = &self.neighbours;
        self.links
            .retain(|id, l| neighbours.contains(id) || now.since(l.last_heard) < LINK_IDLE_TIMEOUT);
    }

    fn exchange_with(&mut self, now: Millis, id: InstanceId) -> Option<(ExchangeTarget, Exchange)> {
        let target = self.target(id)?;
        let link = self.links.entry(id).or_default();
        if link.in_flight || now < link.next_exchange {
            return None;
        }
        link.in_flight = true;
        link.next_exchange = now + self.settings.heartbeat;
        let buckets = self.take_bucket_digests(now, id);
        let exchange = Exchange {
            buckets,
            ..self.make_exchange(id)
        };
        Some((target, exchange))
    }

    fn make_exchange(&mut self, to: InstanceId) -> Exchange {
        let link = self.links.entry(to).or_default();
        let members = link.take_members();
        let alerts = link.take_alerts();
        Exchange {
            from: self.me.id,
            digest: self.roster.digest(),
            members: self.collect_descriptions(&members),
            alerts,
            ..Exchange::default()
        }
    }

    /// Returns the bucket digests if it is time to compare the rosters with `to`, or else nothing.
    ///
    /// Rosters within a zone are compared as soon as their digests differ.
    fn take_bucket_digests(&mut self, now: Millis, to: InstanceId) -> Vec<u64> {
        let is_same_zone = self.roster.may_be_in(to, &self.me.zone);
        let heartbeat = self.settings.heartbeat.0;
        let link = self.links.entry(to).or_default();
        let Some(difference) = &mut link.difference else {
            return Vec::new();
        };
        let is_stable = now.since(difference.stable_since) >= Millis(STABLE_HEARTBEATS * heartbeat);
        let is_overdue =
            now.since(difference.since) >= Millis(MAX_DIFFERENCE_HEARTBEATS * heartbeat);
        if !is_same_zone && !is_stable && !is_overdue {
            return Vec::new();
        }
        difference.since = now;
        difference.stable_since = now;
        self.roster.buckets().to_vec()
    }

    fn collect_descriptions(&self, ids: &[InstanceId]) -> Vec<Member> {
        ids.iter()
            .filter_map(|id| self.roster.get(*id))
            .cloned()
            .collect()
    }

    fn probe_unreachable(&mut self, now: Millis) -> Option<(ExchangeTarget, Exchange)> {
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + self.random.jitter(Millis(2 * self.settings.heartbeat.0));
        let unreachable: Vec<InstanceId> = self.roster.unreachable().collect();
        let id = *unreachable.get(self.random.below(unreachable.len() as u64) as usize)?;
        let target = self.target(id)?;
        Some((target, self.make_introduction()))
    }

    fn contact_seed(&mut self, now: Millis) -> Option<(ExchangeTarget, Exchange)> {
        if now < self.next_seed || self.settings.seeds.is_empty() {
            return None;
        }
        let started = *self.started.get_or_insert(now);
        let unknown = match now.since(started) < JOIN_TIME {
            true => self.unknown_seeds(),
            false => Vec::new(),
        };
        let is_joining = self.neighbours.is_empty() || !unknown.is_empty();
        let interval = if is_joining {
            JOIN_INTERVAL
        } else {
            SEED_INTERVAL
        };
        self.next_seed = now + Millis(interval.0 / 2) + self.random.jitter(interval);
        let seeds = match unknown.is_empty() {
            true => &self.settings.seeds,
            false => &unknown,
        };
        let address = seeds[self.random.below(seeds.len() as u64) as usize];
        if address == self.me.peers {
            return None;
        }
        let target = ExchangeTarget { id: None, address };
        Some((target, self.make_introduction()))
    }

    /// Returns the seeds at which no reachable daemon is known.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let known: BTreeSet<SocketAddr> = self.roster.reachable().map(|m| m.peers).collect();
        let seeds = self.settings.seeds.iter().copied();
        seeds.filter(|seed| !known.contains(seed)).collect()
    }

    /// Returns an exchange that introduces this daemon to one that may not know it.
    fn make_introduction(&self) -> Exchange {
        Exchange {
            from: self.me.id,
            digest: self.roster.digest(),
            buckets: self.roster.buckets().to_vec(),
            members: vec![self.me.clone()],
            ..Exchange::default()
        }
    }

    /// Handles an exchange from another daemon and returns the reply.
    pub fn handle_exchange(&mut self, now: Millis, theirs: &Exchange) -> ExchangeReply {
        let from = theirs.from;
        self.merge_exchange(now, from, theirs);
        self.links.entry(from).or_default().last_heard = now;
        let mut exchange = self.make_exchange(from);
        exchange.alerts.extend(self.roster.alerts(from, self.me.id));
        let differs = theirs.digest != exchange.digest;
        if differs && !theirs.buckets.is_empty() {
            self.add_differing(theirs, &mut exchange);
        }
        ExchangeReply { exchange, differs }
    }

    fn add_differing(&self, theirs: &Exchange, exchange: &mut Exchange) {
        for id in self.roster.differing(&theirs.buckets) {
            exchange.alerts.extend(self.roster.alerts(id, self.me.id));
            if let Some(member) = self.roster.get(id) {
                exchange.members.push(member.clone());
            }
        }
        exchange.buckets = self.roster.buckets().to_vec();
    }

    /// Handles the reply to an exchange sent to `target`.
    pub fn handle_reply(&mut self, now: Millis, target: ExchangeTarget, reply: &ExchangeReply) {
        let from = reply.exchange.from;
        self.merge_exchange(now, from, &reply.exchange);
        let digest = self.roster.digest();
        let differing = match reply.exchange.buckets.is_empty() {
            true => Vec::new(),
            false => self.roster.differing(&reply.exchange.buckets),
        };
        let alerts: Vec<Alert> = differing
            .iter()
            .flat_map(|id| self.roster.alerts(*id, self.me.id))
            .collect();
        let link = self.links.entry(from).or_default();
        link.last_heard = now;
        link.misses = 0;
        let theirs = reply.exchange.digest;
        let before = link.difference.take();
        if reply.differs && theirs != digest {
            link.difference = Some(RosterDifference::new(now, (digest, theirs), before));
        }
        link.members.extend(differing);
        link.alerts.extend(alerts);
        if target.id.is_some() {
            link.in_flight = false;
        }
    }

    /// Handles the failure of an exchange sent to `target`.
    pub fn handle_failure(&mut self, now: Millis, target: ExchangeTarget) {
        let Some(id) = target.id else {
            return;
        };
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.in_flight = false;
        // The changes sent may be lost, so the next exchange compares the buckets.
        let digests = (self.roster.digest(), 0);
        let difference = RosterDifference::new(Millis::ZERO, digests, None);
        link.difference = Some(difference);
        link.misses += 1;
        if link.misses < self.settings.max_misses || !self.neighbours.contains(&id) {
            return;
        }
        if let Some(alert) = self.roster.make_alert(id, self.me.id) {
            self.learn_alert(now, &alert, None);
        }
    }

    fn merge_exchange(&mut self, now: Millis, from: InstanceId, exchange: &Exchange) {
        for member in &exchange.members {
            self.learn_member(now, member, from);
        }
        for alert in &exchange.alerts {
            self.learn_alert(now, alert, Some(from));
        }
    }

    fn learn_member(&mut self, now: Millis, member: &Member, from: InstanceId) {
        if member.id == self.me.id {
            self.refute(now, member.incarnation, member.seq);
            return;
        }
        if self.roster.merge(member) {
            self.spread_member(now, member.id, Some(from));
        }
    }

    fn learn_alert(&mut self, now: Millis, alert: &Alert, from: Option<InstanceId>) {
        if alert.subject == self.me.id {
            self.refute(now, alert.incarnation, alert.seq + 1);
            return;
        }
        let was_reachable = self.roster.reachability(alert.subject) == Reachability::Reachable;
        if !self.roster.merge_alert(now, alert) {
            return;
        }
        let is_reachable = self.roster.reachability(alert.subject) == Reachability::Reachable;
        if was_reachable && !is_reachable {
            info!(subject = %alert.subject, "daemon is unreachable");
        }
        let subject = alert.subject;
        for link in self.forwarding_links(subject, from) {
            link.alerts.insert(*alert);
            link.next_exchange = now;
        }
    }

    /// Reissues this daemon's description if `(incarnation, seq)` is newer and would replace it.
    fn refute(&mut self, now: Millis, incarnation: Incarnation, seq: u64) {
        if (incarnation, seq) <= self.me.version() {
            return;
        }
        if incarnation > self.me.incarnation {
            // A later incarnation of the same instance exists: this process was replaced.
            return;
        }
        self.me.seq = seq;
        self.reissue_description(now);
    }

    fn spread_member(&mut self, now: Millis, id: InstanceId, from: Option<InstanceId>) {
        for link in self.forwarding_links(id, from) {
            link.members.insert(id);
            link.next_exchange = now;
        }
    }

    /// Returns the links on which a change about `subject` is forwarded.
    ///
    /// `from` is the daemon that sent the change, or `None` if this daemon made it.
    fn forwarding_links(
        &mut self,
        subject: InstanceId,
        from: Option<InstanceId>,
    ) -> impl Iterator<Item = &mut Link> {
        // A change that originates here has not reached a forwarder of this zone yet.
        let forwards = from.is_none() || is_forwarder(&self.me, subject, self.roster.reachable());
        let (roster, zone) = (&self.roster, &self.me.zone);
        let links = self.links.iter_mut();
        links
            .filter(move |(to, _)| Some(**to) != from && **to != subject)
            .filter(move |(to, _)| forwards || roster.may_be_in(**to, zone))
            .map(|(_, link)| link)
    }
}
