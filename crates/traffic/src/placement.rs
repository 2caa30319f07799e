//! Selects the backend server that a request is offered to.
//!
//! Each candidate's score is the expected time until its answer: the wait for a slot, estimated
//! from the last load report and the requests sent since, plus the typical run time at that server.
//! A server in the local availability zone is taken as long as its answer is expected safely in
//! time. Otherwise the lowest score wins, where servers of other zones are charged for the bytes
//! that cross.
//!
//! Load patterns handled here:
//!
//! - Servers of unequal speed: run times are measured per server, so faster servers get more
//!   requests.
//! - Free servers in every availability zone: no request leaves its zone to save a few
//!   milliseconds.
//! - A zone whose servers are full or gone: its requests go to other zones, small ones first.
//! - Routes with different run times on the same servers: the run time is estimated per route.
//! - Several daemons that choose at the same time: random jitter on the scores keeps them from
//!   choosing the same server. A full gate refuses within one round trip and sends a fresh load
//!   report for the next choice.
//! - A server that was not used for a while: its load report decays, so that it is tried again.
//! - A server that fails some of its requests: failures raise its score but never exclude it, so
//!   that the load is not concentrated on a few servers.
//! - A server behind a slow link or on an overloaded instance: the time that offers spend outside
//!   its gate is added to its score.
//! - A server whose runs take longer than it reported: a request that knowingly waits there for a
//!   slot moves on to a server with a free one ([`Placement::max_wait`]).
//! - A server that names a limit on its requests per second: its gate reports the wait for the limit,
//!   which the score includes, so that requests go to servers with room.
//! - A server that states that work takes longer than usual: its run times are multiplied by the
//!   figure, which decays with its age ([`crate::slowness`]).
//! - A server that rejects requests while in good health: a rejected request is tried next on the
//!   server that has rejected least lately ([`crate::shed_rate`]).
//! - An unreachable server: it is ejected for a time that doubles with each failure, unless every
//!   candidate is ejected.

use crate::shed_rate::ShedRate;
use crate::slowness::decayed_factor;
use rf_base::{InstanceId, Millis, SeededRandom};
use rf_protocol::relay::LoadReport;
use std::collections::{BTreeMap, BTreeSet};

/// Half-life of a load report, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// Half-life of a reported wait for a rate limit, in milliseconds. A server at its limit stays there
/// while other proxies send it requests.
const RATE_HALF_LIFE_MS: f64 = 2000.0;
/// Assumed run time before any measurement, in milliseconds.
const INITIAL_RUN_MS: f64 = 60.0;
/// Weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Reciprocal of the weight of the newest offer in the moving average of transit times.
const TRANSIT_SMOOTHING: f64 = 8.0;
/// Score penalty for failures: the expected time at a server that always fails is multiplied by one
/// plus this value.
const FAILURE_COST: f64 = 8.0;
/// Run time of an unmeasured server relative to the mean of the measured ones. It is below 1 so
/// that a new server is tried soon, a few requests at a time.
const UNMEASURED_FACTOR: f64 = 0.8;
/// Reciprocal of the weight of the newest run in the run time factor of a route.
const ROUTE_SMOOTHING: f64 = 16.0;
/// Maximum number of routes with a run time factor; the map is cleared when it is full.
const MAX_ROUTES: usize = 256;
/// Number of random candidates compared per offer, in each of the two groups: the local zone and
/// all other zones.
const SAMPLE_SIZE: usize = 2;
/// Longest time assumed between two runs at a server that names a low limit, in milliseconds.
const MAX_INTERVAL_MS: f64 = 2000.0;
/// Maximum random increase of a score, as a fraction of the score.
const MAX_JITTER: f64 = 0.1;
/// Duration of the first ejection of an unreachable server.
const BASE_EJECTION: Millis = Millis(300);
/// Maximum duration of an ejection.
const MAX_EJECTION: Millis = Millis(5000);

/// A backend server that can be chosen for an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Instance that the server runs on.
    pub instance: InstanceId,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in the availability zone of this daemon.
    pub is_near: bool,
}

/// Properties of a request that affect the choice of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Fingerprint of the route name.
    pub route: u64,
    /// Cost of sending the request to another availability zone, expressed as time.
    pub zone_cost: Millis,
    /// Expected time to the answer up to which a server in the local zone is taken without
    /// considering other zones.
    pub safe_time: Millis,
}

/// Load report received at the end of an offer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferReport {
    /// Fingerprint of the name of the requested route.
    pub route: u64,
    /// Load of the server at the end of the offer.
    pub load: LoadReport,
    /// Time that the offer spent outside the gate: on network links and waiting for a CPU.
    pub transit: Millis,
}

/// Outcome of an offer with respect to the health of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferEnd {
    /// The server answered without a failure.
    Succeeded,
    /// The server answered with a failure, broke the connection or timed out.
    Failed,
    /// The server rejected the request although its gate had a slot for it.
    Shed,
    /// The gate refused the offer because it was full.
    Full,
    /// The server no longer runs on this instance.
    Absent,
    /// The server or its daemon could not be reached.
    Unreachable,
    /// The offer was withdrawn, which says nothing about the server.
    Withdrawn,
}

#[derive(Clone, Debug, Default)]
struct ServerLoad {
    in_flight: u32,
    /// Last load report.
    report: LoadReport,
    reported_at: Millis,
    /// Number of requests sent since the last report.
    sent_since: u32,
    /// Moving average of the time outside the gate, in milliseconds.
    transit: f64,
    /// Moving average of failures, from 0 to 1.
    failures: f64,
    sheds: ShedRate,
    /// Number of consecutive ejections.
    ejections: u32,
    ejected_until: Millis,
}

/// Load of every backend server as known to this daemon, and the choice among them.
#[derive(Clone, Debug)]
pub struct Placement {
    loads: BTreeMap<InstanceId, ServerLoad>,
    /// Run time of each route relative to the mean of all runs at the same server.
    routes: BTreeMap<u64, f64>,
    random: SeededRandom,
    settings: PlacementSettings,
}

/// Switches for the parts of the scoring; all are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Whether servers in the local zone are taken while their answer is expected safely in time.
    pub prefer_near: bool,
    /// Whether load reports decay with age.
    pub decay_reports: bool,
    /// Whether scores get random jitter.
    pub jitter_scores: bool,
    /// Whether run times are estimated per route.
    pub route_times: bool,
    /// Whether run times are multiplied by the slowness that servers state.
    pub use_slowness: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            prefer_near: true,
            decay_reports: true,
            jitter_scores: true,
            route_times: true,
            use_slowness: true,
        }
    }
}

impl Placement {
    /// Creates a placement without load data, with the default settings.
    pub fn new(random: SeededRandom) -> Placement {
        Placement::with_settings(random, PlacementSettings::default())
    }

    /// Creates a placement without load data, with the given settings.
    pub fn with_settings(random: SeededRandom, settings: PlacementSettings) -> Placement {
        Placement {
            settings,
            loads: BTreeMap::new(),
            routes: BTreeMap::new(),
            random,
        }
    }

    /// Chooses a server and counts the request as in flight there.
    ///
    /// Returns `None` if `tried` contains every candidate.
    pub fn choose(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
        request: &PlacementRequest,
    ) -> Option<InstanceId> {
        let usable = self.find_usable(now, candidates, tried);
        let mean_time = self.mean_run_time(candidates);
        let (near, far): (Vec<_>, Vec<_>) = usable.into_iter().partition(|c| c.is_near);
        let near = self.best_of(now, near, mean_time, request);
        let is_safe = |(score, _): &(f64, InstanceId)| *score <= request.safe_time.0 as f64;
        let instance = match near {
            Some(near) if self.settings.prefer_near && is_safe(&near) => near.1,
            near => {
                let far = self.best_of(now, far, mean_time, request);
                let far = far.map(|(score, id)| (score + request.zone_cost.0 as f64, id));
                let both = [near, far].into_iter().flatten();
                both.min_by(|(a, _), (b, _)| a.total_cmp(b))?.1
            }
        };
        Some(self.count_sent(instance))
    }

    /// Chooses the server that has rejected least lately, for a request that another one has
    /// rejected, and counts the request as in flight there.
    ///
    /// Returns `None` if `tried` contains every candidate.
    pub fn choose_after_shed(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
        request: &PlacementRequest,
    ) -> Option<InstanceId> {
        let mean_time = self.mean_run_time(candidates);
        let rank = |candidate: &Candidate| {
            let load = self.loads.get(&candidate.instance);
            let sheds = load.map(|l| l.sheds).unwrap_or_default();
            let score = self.score(now, candidate, mean_time, request.route);
            (sheds.rate(now), score)
        };
        let usable = self.find_usable(now, candidates, tried).into_iter();
        let ranked = usable.map(|c| (rank(c), c.instance));
        let ((..), instance) =
            ranked.min_by(|((shed_a, score_a), _), ((shed_b, score_b), _)| {
                shed_a.total_cmp(shed_b).then(score_a.total_cmp(score_b))
            })?;
        Some(self.count_sent(instance))
    }

    /// Returns how long a request may wait for a slot at `chosen`, where it is counted as in flight.
    ///
    /// A full server is chosen if waiting there is expected to be faster than a free slot elsewhere.
    /// That expectation may be wrong, so the wait ends once the other server could have answered.
    /// Returns `None` if a slot is expected to be free at `chosen`, or at no other untried server.
    pub fn max_wait(
        &self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
        chosen: InstanceId,
        request: &PlacementRequest,
    ) -> Option<Millis> {
        let full = candidates.iter().find(|c| c.instance == chosen)?;
        if self.occupancy(now, chosen) <= f64::from(full.slots) {
            return None;
        }
        let mean_time = self.mean_run_time(candidates);
        let others = self.find_usable(now, candidates, tried).into_iter();
        let free = others.filter(|c| c.instance != chosen && self.is_free(now, c));
        let times = free.map(|c| {
            let zone_cost = match c.is_near {
                true => Millis::ZERO,
                false => request.zone_cost,
            };
            self.score(now, c, mean_time, request.route) + zone_cost.0 as f64
        });
        times.min_by(f64::total_cmp).map(|time| Millis(time as u64))
    }

    /// Returns whether a candidate that is not in `tried` is expected to have a free slot.
    pub fn has_free_slot(
        &self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> bool {
        let untried = candidates.iter().filter(|c| !tried.contains(&c.instance));
        let mut usable = untried.filter(|c| !self.is_ejected(now, c.instance));
        usable.any(|c| self.is_free(now, c))
    }

    /// Returns whether a candidate is expected to have a free slot and no wait for its rate limit.
    fn is_free(&self, now: Millis, candidate: &Candidate) -> bool {
        self.excess(now, candidate) <= 0.0 && self.rate_wait(now, candidate.instance) == 0.0
    }

    /// Returns by how much one more request would exceed the slots of a candidate; negative if slots
    /// stay free.
    fn excess(&self, now: Millis, candidate: &Candidate) -> f64 {
        self.occupancy(now, candidate.instance) + 1.0 - f64::from(candidate.slots.max(1))
    }

    /// Returns the untried candidates that are not ejected, or all untried ones if all are.
    fn find_usable<'a>(
        &self,
        now: Millis,
        candidates: &'a [Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> Vec<&'a Candidate> {
        let untried: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.instance))
            .collect();
        let usable: Vec<&Candidate> = untried
            .iter()
            .copied()
            .filter(|c| !self.is_ejected(now, c.instance))
            .collect();
        if usable.is_empty() { untried } else { usable }
    }

    fn count_sent(&mut self, instance: InstanceId) -> InstanceId {
        let load = self.loads.entry(instance).or_default();
        load.in_flight += 1;
        load.sent_since += 1;
        instance
    }

    fn sample<'a>(&mut self, mut candidates: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
        let mut sample = Vec::with_capacity(SAMPLE_SIZE);
        for _ in 0..SAMPLE_SIZE.min(candidates.len()) {
            let index = self.random.below(candidates.len() as u64) as usize;
            sample.push(candidates.swap_remove(index));
        }
        sample
    }

    /// Returns the candidate with the lowest score in a random sample of `candidates`.
    fn best_of(
        &mut self,
        now: Millis,
        candidates: Vec<&Candidate>,
        mean_time: f64,
        request: &PlacementRequest,
    ) -> Option<(f64, InstanceId)> {
        let mut best: Option<(f64, InstanceId)> = None;
        for candidate in self.sample(candidates) {
            let jitter = match self.settings.jitter_scores {
                true => 1.0 + MAX_JITTER * self.random.fraction(),
                false => 1.0,
            };
            let score = self.score(now, candidate, mean_time, request.route) * jitter;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate.instance));
            }
        }
        best
    }

    /// Returns the shortest expected time until one of the candidates has a free slot.
    ///
    /// Returns `None` if all of them are ejected.
    pub fn slot_wait(&self, now: Millis, candidates: &[Candidate]) -> Option<Millis> {
        let mean_time = self.mean_run_time(candidates);
        let waits = candidates
            .iter()
            .filter(|c| !self.is_ejected(now, c.instance))
            .map(|c| self.expected_wait(now, c, self.current_run_time(now, c, mean_time)));
        waits.min_by(f64::total_cmp).map(|w| Millis(w as u64))
    }

    /// Returns the typical run time of `route` at a candidate, at the usual speed of the server.
    pub fn run_time(&self, candidate: &Candidate, route: u64) -> Millis {
        Millis((self.server_run_time(candidate, INITIAL_RUN_MS) * self.route_factor(route)) as u64)
    }

    /// Returns the expected run time of `route` at a candidate now.
    pub fn run_time_at(&self, now: Millis, candidate: &Candidate, route: u64) -> Millis {
        let run_time = self.current_run_time(now, candidate, INITIAL_RUN_MS);
        Millis((run_time * self.route_factor(route)) as u64)
    }

    fn score(&self, now: Millis, candidate: &Candidate, mean_time: f64, route: u64) -> f64 {
        let run_time = self.current_run_time(now, candidate, mean_time);
        let wait = self.expected_wait(now, candidate, run_time);
        let load = self.loads.get(&candidate.instance);
        let (failures, transit) = load.map_or((0.0, 0.0), |l| (l.failures, l.transit));
        (wait + run_time * self.route_factor(route)) * (1.0 + FAILURE_COST * failures) + transit
    }

    /// Returns the run time of a route relative to the mean of all runs at the same server.
    fn route_factor(&self, route: u64) -> f64 {
        let known = self
            .routes
            .get(&route)
            .filter(|_| self.settings.route_times);
        known.copied().unwrap_or(1.0)
    }

    fn learn_route_factor(&mut self, route: u64, load: &LoadReport) {
        if load.mean_run == Millis::ZERO {
            return;
        }
        if !self.routes.contains_key(&route) && self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let factor = load.route_run.0 as f64 / load.mean_run.0 as f64;
        let known = self.routes.entry(route).or_insert(factor);
        *known += (factor - *known) / ROUTE_SMOOTHING;
    }

    /// Returns the expected run time at a candidate now, in milliseconds.
    fn current_run_time(&self, now: Millis, candidate: &Candidate, mean_time: f64) -> f64 {
        let load = self.loads.get(&candidate.instance);
        let load = load.filter(|_| self.settings.use_slowness);
        let stated = load.and_then(|l| Some((l.report.slowness?, l.reported_at)));
        let factor = stated.map_or(1.0, |(slowness, at)| {
            decayed_factor(slowness.percent, slowness.age + now.since(at))
        });
        self.server_run_time(candidate, mean_time) * factor
    }

    /// Returns the typical run time at a candidate, in milliseconds.
    fn server_run_time(&self, candidate: &Candidate, mean_time: f64) -> f64 {
        match self.loads.get(&candidate.instance) {
            Some(load) if load.report.mean_run > Millis::ZERO => load.report.mean_run.0 as f64,
            _ => mean_time * UNMEASURED_FACTOR,
        }
    }

    /// Returns the mean run time, in milliseconds, of the candidates that have been measured.
    fn mean_run_time(&self, candidates: &[Candidate]) -> f64 {
        let known: Vec<u64> = candidates
            .iter()
            .filter_map(|c| self.loads.get(&c.instance))
            .map(|l| l.report.mean_run.0)
            .filter(|t| *t > 0)
            .collect();
        match known.len() {
            0 => INITIAL_RUN_MS,
            n => known.iter().sum::<u64>() as f64 / n as f64,
        }
    }

    /// Returns the expected wait for a slot and for the rate limit, in milliseconds.
    fn expected_wait(&self, now: Millis, candidate: &Candidate, run_time: f64) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let slot_wait = self.excess(now, candidate).max(0.0) * run_time / slots;
        slot_wait.max(self.rate_wait(now, candidate.instance))
    }

    /// Returns the expected wait for the rate limit that a server has named, in milliseconds.
    fn rate_wait(&self, now: Millis, instance: InstanceId) -> f64 {
        let load = self.loads.get(&instance);
        let limit = load.and_then(|l| Some((l, l.report.condition?.limit?)));
        let Some((load, limit)) = limit else {
            return 0.0;
        };
        let age = now.since(load.reported_at).0 as f64;
        let reported = load.report.rate_wait.0 as f64 * 0.5f64.powf(age / RATE_HALF_LIFE_MS);
        let sent_since = load.sent_since.min(load.in_flight);
        let interval = limit.interval_ms().min(MAX_INTERVAL_MS);
        reported + f64::from(sent_since) * interval
    }

    /// Returns the estimated number of requests that run or wait at a server.
    fn occupancy(&self, now: Millis, instance: InstanceId) -> f64 {
        let Some(load) = self.loads.get(&instance) else {
            return 0.0;
        };
        let age = now.since(load.reported_at).0 as f64;
        let decay = match self.settings.decay_reports {
            true => 0.5f64.powf(age / REPORT_HALF_LIFE_MS),
            false => 1.0,
        };
        let reported = f64::from(load.report.running + load.report.waiting) * decay;
        let known = reported + f64::from(load.sent_since.min(load.in_flight));
        known.max(f64::from(load.in_flight))
    }

    fn is_ejected(&self, now: Millis, instance: InstanceId) -> bool {
        self.loads
            .get(&instance)
            .is_some_and(|l| now < l.ejected_until)
    }

    /// Records the end of an offer to a server that [`Placement::choose`] returned, with the load
    /// reported at that time.
    pub fn finish(
        &mut self,
        now: Millis,
        instance: InstanceId,
        end: OfferEnd,
        report: Option<OfferReport>,
    ) {
        if let Some(report) = report.as_ref() {
            self.learn_route_factor(report.route, &report.load);
        }
        let Some(load) = self.loads.get_mut(&instance) else {
            return;
        };
        debug_assert!(load.in_flight > 0);
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(report) = report {
            load.report = report.load;
            load.transit += (report.transit.0 as f64 - load.transit) / TRANSIT_SMOOTHING;
            load.reported_at = now;
            load.sent_since = 0;
        }
        if matches!(end, OfferEnd::Succeeded | OfferEnd::Failed | OfferEnd::Shed) {
            load.sheds.observe(now, end == OfferEnd::Shed);
        }
        match end {
            OfferEnd::Succeeded => load.recover(0.0),
            OfferEnd::Failed | OfferEnd::Shed => load.recover(1.0),
            OfferEnd::Absent | OfferEnd::Unreachable => load.eject(now),
            OfferEnd::Full | OfferEnd::Withdrawn => {}
        }
    }

    /// Drops the load of servers that are not in `known` and have no request in flight.
    pub fn retain(&mut self, known: &BTreeSet<InstanceId>) {
        self.loads
            .retain(|id, l| l.in_flight > 0 || known.contains(id));
    }

    /// Ends the ejection of a server, because it has announced itself again.
    pub fn readmit(&mut self, instance: InstanceId) {
        if let Some(load) = self.loads.get_mut(&instance) {
            load.ejections = 0;
            load.ejected_until = Millis::ZERO;
        }
    }
}

impl ServerLoad {
    fn recover(&mut self, failure: f64) {
        self.failures += (failure - self.failures) * FAILURE_WEIGHT;
        self.ejections = 0;
        self.ejected_until = Millis::ZERO;
    }

    fn eject(&mut self, now: Millis) {
        let factor = 1u64 << self.ejections.min(10);
        let span = Millis((BASE_EJECTION.0 * factor).min(MAX_EJECTION.0));
        self.ejections += 1;
        self.ejected_until = now + span;
        self.report = LoadReport::default();
    }
}
