//! The membership machine: heartbeats, news, alerts, joining.
//!
//! Every heartbeat interval the daemon exchanges digests and news with each neighbour. Changes are
//! told to neighbours at once rather than at the next heartbeat. A neighbour that misses several
//! exchanges in a row is reported by an alert, which spreads like any other news. Daemons that are
//! unreachable are probed one at a time, so that a healed partition is found from either side; a
//! daemon that knows nobody turns to its seeds, and everyone does so once in a while.

use crate::links::{Link, Links, RosterDifference};
use crate::overlay::{compute_neighbours, is_forwarder};
use crate::roster::{Reachability, Roster};
use rf_base::{Incarnation, InstanceId, Millis, SeededRandom};
use rf_protocol::{Alert, Exchange, ExchangeReply, Member};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tracing::info;

/// Time after which the link to a daemon that is no neighbour is dropped.
const LINK_IDLE: Millis = Millis(15_000);
/// Mean time between two contacts of a seed by a daemon that knows others.
const SEED_CONTACT: Millis = Millis(60_000);
/// Heartbeats for which the rosters of daemons in two zones differ in the same way before they are
/// compared; news that are still on their way through the zones make them differ too.
const STEADY_BETWEEN: u64 = 2;
/// The same where the rosters go on changing.
const LONG_BETWEEN: u64 = 10;
/// Longest pause before a joining daemon turns to the next seed.
const JOIN_PAUSE: Millis = Millis(500);

/// Settings of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two exchanges with one neighbour.
    pub heartbeat: Millis,
    /// Failed exchanges in a row after which an alert is raised.
    pub max_misses: u32,
    /// Time after which an unreachable daemon is forgotten.
    pub forget_after: Millis,
    /// The same where its whole zone is unreachable.
    pub forget_zone_after: Millis,
    /// Addresses to join through.
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

/// Where an exchange goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeTarget {
    /// Daemon, where its id is known.
    pub id: Option<InstanceId>,
    /// Address for control messages.
    pub address: SocketAddr,
}

/// State of the membership machine.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    me: Member,
    roster: Roster,
    links: Links,
    neighbours: BTreeSet<InstanceId>,
    neighbours_revision: u64,
    next_seed: Millis,
    next_probe: Millis,
    random: SeededRandom,
}

impl Membership {
    /// Makes the machine of the daemon that describes itself as `me`.
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
            random,
        }
    }

    /// Returns the roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns this daemon's own description.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the neighbours to which this daemon opens exchanges.
    pub fn neighbours(&self) -> &BTreeSet<InstanceId> {
        &self.neighbours
    }

    /// Returns how to reach a known daemon.
    pub fn target(&self, id: InstanceId) -> Option<ExchangeTarget> {
        let member = self.roster.get(id)?;
        Some(ExchangeTarget {
            id: Some(id),
            address: member.peers,
        })
    }

    /// Changes this daemon's own description and spreads it where `change` altered it.
    pub fn update_local(&mut self, now: Millis, change: impl FnOnce(&mut Member)) {
        let before = self.me.clone();
        change(&mut self.me);
        if self.me != before {
            self.describe_anew(now);
        }
    }

    fn describe_anew(&mut self, now: Millis) {
        self.me.seq += 1;
        let me = self.me.clone();
        self.roster.merge(&me);
        self.spread_member(now, me.id, None);
    }

    /// Replaces the addresses to join through.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
    }

    /// Makes the exchange by which this daemon introduces itself at `address`.
    pub fn join_exchange(&self, address: SocketAddr) -> (ExchangeTarget, Exchange) {
        (ExchangeTarget { id: None, address }, self.introduce())
    }

    /// Takes in a description that a daemon sent by itself.
    pub fn handle_member(&mut self, now: Millis, member: &Member) {
        self.take_member(now, member, member.id);
    }

    /// Makes every neighbour due for an exchange now.
    pub fn schedule_exchanges(&mut self, now: Millis) {
        for id in &self.neighbours {
            self.links.entry(*id).or_default().next_exchange = now;
        }
    }

    /// Lets time pass; returns the exchanges to send.
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
        sends.extend(self.probe(now));
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
            .retain(|id, l| neighbours.contains(id) || now.since(l.last_heard) < LINK_IDLE);
    }

    fn exchange_with(&mut self, now: Millis, id: InstanceId) -> Option<(ExchangeTarget, Exchange)> {
        let target = self.target(id)?;
        let link = self.links.entry(id).or_default();
        if link.in_flight || now < link.next_exchange {
            return None;
        }
        link.in_flight = true;
        link.next_exchange = now + self.settings.heartbeat;
        let buckets = self.compare(now, id);
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
            members: self.describe(&members),
            alerts,
            ..Exchange::default()
        }
    }

    /// Returns the digests of the parts, where it is time to compare the rosters with `to`.
    fn compare(&mut self, now: Millis, to: InstanceId) -> Vec<u64> {
        let is_near = self.roster.may_be_in(to, &self.me.zone);
        let heartbeat = self.settings.heartbeat.0;
        let link = self.links.entry(to).or_default();
        let Some(difference) = &mut link.difference else {
            return Vec::new();
        };
        let is_steady = now.since(difference.stable_since) >= Millis(STEADY_BETWEEN * heartbeat);
        let is_long = now.since(difference.since) >= Millis(LONG_BETWEEN * heartbeat);
        if !is_near && !is_steady && !is_long {
            return Vec::new();
        }
        difference.since = now;
        difference.stable_since = now;
        self.roster.buckets().to_vec()
    }

    fn describe(&self, ids: &[InstanceId]) -> Vec<Member> {
        ids.iter()
            .filter_map(|id| self.roster.get(*id))
            .cloned()
            .collect()
    }

    fn probe(&mut self, now: Millis) -> Option<(ExchangeTarget, Exchange)> {
        if now < self.next_probe {
            return None;
        }
        self.next_probe = now + self.random.jitter(Millis(2 * self.settings.heartbeat.0));
        let lost: Vec<InstanceId> = self.roster.unreachable().collect();
        let id = *lost.get(self.random.below(lost.len() as u64) as usize)?;
        let target = self.target(id)?;
        Some((target, self.introduce()))
    }

    fn contact_seed(&mut self, now: Millis) -> Option<(ExchangeTarget, Exchange)> {
        if now < self.next_seed || self.settings.seeds.is_empty() {
            return None;
        }
        let is_alone = self.neighbours.is_empty();
        let pause = if is_alone { JOIN_PAUSE } else { SEED_CONTACT };
        self.next_seed = now + Millis(pause.0 / 2) + self.random.jitter(pause);
        let index = self.random.below(self.settings.seeds.len() as u64) as usize;
        let address = self.settings.seeds[index];
        if address == self.me.peers {
            return None;
        }
        let target = ExchangeTarget { id: None, address };
        Some((target, self.introduce()))
    }

    /// Makes the exchange by which a daemon introduces itself to one that may not know it.
    fn introduce(&self) -> Exchange {
        Exchange {
            from: self.me.id,
            digest: self.roster.digest(),
            buckets: self.roster.buckets().to_vec(),
            members: vec![self.me.clone()],
            ..Exchange::default()
        }
    }

    /// Takes in another daemon's exchange and answers it.
    pub fn handle_exchange(&mut self, now: Millis, exchange: &Exchange) -> ExchangeReply {
        let from = exchange.from;
        self.merge_news(now, from, exchange);
        self.links.entry(from).or_default().last_heard = now;
        let mut news = self.make_exchange(from);
        news.alerts.extend(self.roster.alerts(from, self.me.id));
        let differs = exchange.digest != news.digest;
        if differs && !exchange.buckets.is_empty() {
            self.add_differing(exchange, &mut news);
        }
        ExchangeReply { news, differs }
    }

    fn add_differing(&self, theirs: &Exchange, news: &mut Exchange) {
        for id in self.roster.differing(&theirs.buckets) {
            news.alerts.extend(self.roster.alerts(id, self.me.id));
            if let Some(member) = self.roster.get(id) {
                news.members.push(member.clone());
            }
        }
        news.buckets = self.roster.buckets().to_vec();
    }

    /// Takes in the answer to an exchange.
    pub fn handle_reply(&mut self, now: Millis, target: ExchangeTarget, reply: &ExchangeReply) {
        let from = reply.news.from;
        self.merge_news(now, from, &reply.news);
        let digest = self.roster.digest();
        let differing = match reply.news.buckets.is_empty() {
            true => Vec::new(),
            false => self.roster.differing(&reply.news.buckets),
        };
        let alerts: Vec<Alert> = differing
            .iter()
            .flat_map(|id| self.roster.alerts(*id, self.me.id))
            .collect();
        let link = self.links.entry(from).or_default();
        link.last_heard = now;
        link.misses = 0;
        let theirs = reply.news.digest;
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

    /// Takes in that an exchange was not answered.
    pub fn handle_failure(&mut self, now: Millis, target: ExchangeTarget) {
        let Some(id) = target.id else {
            return;
        };
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.in_flight = false;
        // What was sent may not have arrived.
        let digests = (self.roster.digest(), 0);
        let long_ago = RosterDifference::new(Millis::ZERO, digests, None);
        link.difference = Some(long_ago);
        link.misses += 1;
        if link.misses < self.settings.max_misses || !self.neighbours.contains(&id) {
            return;
        }
        if let Some(alert) = self.roster.make_alert(id, self.me.id) {
            self.take_alert(now, &alert, None);
        }
    }

    fn merge_news(&mut self, now: Millis, from: InstanceId, news: &Exchange) {
        for member in &news.members {
            self.take_member(now, member, from);
        }
        for alert in &news.alerts {
            self.take_alert(now, alert, Some(from));
        }
    }

    fn take_member(&mut self, now: Millis, member: &Member, from: InstanceId) {
        if member.id == self.me.id {
            self.refute(now, member.incarnation, member.seq);
            return;
        }
        if self.roster.merge(member) {
            self.spread_member(now, member.id, Some(from));
        }
    }

    fn take_alert(&mut self, now: Millis, alert: &Alert, from: Option<InstanceId>) {
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
        for link in self.passing(subject, from) {
            link.alerts.insert(*alert);
            link.next_exchange = now;
        }
    }

    /// Describes this daemon anew where `(incarnation, seq)` would hide its description.
    fn refute(&mut self, now: Millis, incarnation: Incarnation, seq: u64) {
        if (incarnation, seq) <= self.me.version() {
            return;
        }
        if incarnation > self.me.incarnation {
            // A later life of the same name exists: this process was replaced.
            return;
        }
        self.me.seq = seq;
        self.describe_anew(now);
    }

    fn spread_member(&mut self, now: Millis, id: InstanceId, from: Option<InstanceId>) {
        for link in self.passing(id, from) {
            link.members.insert(id);
            link.next_exchange = now;
        }
    }

    /// Returns the links on which news of `subject` that came from `from` go on.
    fn passing(
        &mut self,
        subject: InstanceId,
        from: Option<InstanceId>,
    ) -> impl Iterator<Item = &mut Link> {
        // What this daemon itself found out has not reached a carrier yet.
        let carries = from.is_none() || is_forwarder(&self.me, subject, self.roster.reachable());
        let (roster, zone) = (&self.roster, &self.me.zone);
        let links = self.links.iter_mut();
        links
            .filter(move |(to, _)| Some(**to) != from && **to != subject)
            .filter(move |(to, _)| carries || roster.may_be_in(**to, zone))
            .map(|(_, link)| link)
    }
}
