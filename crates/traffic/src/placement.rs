//! Which backend server a request is offered to.
//!
//! Each candidate is scored by the time until its answer is expected: the wait for a slot, from the
//! load that came back with answers and what was sent since, plus the usual time of a run there.
//! A server in this availability zone is taken as long as its answer is expected safely in time.
//! Beyond that the least score wins, where leaving the zone costs what its bytes do.
//!
//! Load patterns this answers:
//!
//! - Servers of unequal speed: the faster ones fill first and hold more, since the usual time is
//!   measured at each server.
//! - Free servers in every availability zone: no request leaves its zone for a few milliseconds.
//! - A zone whose servers are full, or gone: its requests cross, those with few bytes first.
//! - Routes of different work on the same servers: the time of a run is that of the route.
//! - Several daemons that choose at once: each adds a little noise to its scores, and a gate that is
//!   full refuses in one round trip with a fresh report, so that the next choice is better informed.
//! - A server that nobody used for a while: its report fades, so it is tried again.
//! - A server that fails part of its requests: the failures weigh on its score and do not exclude
//!   it, so that the load never falls on a few servers only.
//! - A server behind a thin link or on a slow instance: the time that offers spend outside its gate
//!   counts like its own.
//! - A server that cannot be reached: it is left out for a time that doubles, unless every server
//!   is in that state.

use rf_base::{InstanceId, Millis, SeededRandom};
use rf_protocol::relay::LoadReport;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a load report counts half.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// Usual time of a run where nothing is known yet.
const INITIAL_RUN_MS: f64 = 60.0;
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of the newest offer in the usual time of transit, as a divisor.
const TRANSIT_SMOOTHING: f64 = 8.0;
/// Weight of failures on the score: a server that always fails looks this many times slower.
const FAILURE_COST: f64 = 8.0;
/// Factor on the usual time of a server that has not been measured, so that a new server is tried
/// soon, a few requests at a time.
const UNMEASURED_FACTOR: f64 = 0.8;
/// Weight of the newest run in the time of a route, as a divisor.
const ROUTE_SMOOTHING: f64 = 16.0;
/// Routes whose time is kept.
const MAX_ROUTES: usize = 256;
/// Candidates of either group, near and far, that are compared for one offer.
const SAMPLE_SIZE: usize = 2;
/// Greatest noise, as a share of the score.
const MAX_JITTER: f64 = 0.1;
/// First time for which an unreachable server is left out.
const EJECTION: Millis = Millis(300);
/// Longest time for which it is left out.
const MAX_EJECTION: Millis = Millis(5000);

/// A backend server that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Instance.
    pub instance: InstanceId,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Whether it is in this daemon's availability zone.
    pub is_near: bool,
}

/// What a request asks of the server that it is offered to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Route, by the fingerprint of its name.
    pub route: u64,
    /// What it costs to leave the availability zone, as time.
    pub zone_cost: Millis,
    /// Time within which an answer is safely in time.
    pub safe_time: Millis,
}

/// What came back with the end of an offer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferReport {
    /// Route that was asked for, by the fingerprint of its name.
    pub route: u64,
    /// Load of the server.
    pub load: LoadReport,
    /// Time that the offer spent outside the gate: on the links, and waiting for a processor.
    pub transit: Millis,
}

/// How an offer ended, as far as the server's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferEnd {
    /// The server answered well.
    Succeeded,
    /// The server answered with a failure, broke off, or took too long.
    Failed,
    /// The gate was full.
    Full,
    /// The server is not there any more.
    Absent,
    /// The server or its daemon could not be reached.
    Unreachable,
    /// The offer was withdrawn; nothing was learnt.
    Withdrawn,
}

#[derive(Clone, Debug, Default)]
struct ServerLoad {
    in_flight: u32,
    report: LoadReport,
    reported_at: Millis,
    sent_since: u32,
    transit: f64,
    failures: f64,
    ejections: u32,
    ejected_until: Millis,
}

/// What this daemon knows of every server's load.
#[derive(Clone, Debug)]
pub struct Placement {
    loads: BTreeMap<InstanceId, ServerLoad>,
    /// Time of a run of each route, as a factor on the usual time of all runs at the same server.
    routes: BTreeMap<u64, f64>,
    random: SeededRandom,
    settings: PlacementSettings,
}

/// Settings of a [`Placement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Whether near servers are taken while they are safely in time.
    pub prefer_near: bool,
    /// Whether reports of load fade with their age.
    pub decay_reports: bool,
    /// Whether scores carry noise.
    pub jitter_scores: bool,
    /// Whether the time of a run is known by route.
    pub route_times: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            prefer_near: true,
            decay_reports: true,
            jitter_scores: true,
            route_times: true,
        }
    }
}

impl Placement {
    /// Makes a placement that knows nothing yet.
    pub fn new(random: SeededRandom) -> Placement {
        Placement::with_settings(random, PlacementSettings::default())
    }

    /// Makes a placement that knows nothing yet.
    pub fn with_settings(random: SeededRandom, settings: PlacementSettings) -> Placement {
        Placement {
            settings,
            loads: BTreeMap::new(),
            routes: BTreeMap::new(),
            random,
        }
    }

    /// Chooses a server and counts the request as in flight there; `None` where every candidate was
    /// tried already.
    pub fn choose(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
        request: &PlacementRequest,
    ) -> Option<InstanceId> {
        let fresh: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.instance))
            .collect();
        let usable: Vec<&Candidate> = fresh
            .iter()
            .copied()
            .filter(|c| !self.is_ejected(now, c.instance))
            .collect();
        let usable = if usable.is_empty() { fresh } else { usable };
        let common = self.common_time(candidates);
        let (near, far): (Vec<_>, Vec<_>) = usable.into_iter().partition(|c| c.is_near);
        let near = self.best_of(now, near, common, request);
        let is_safe = |(score, _): &(f64, InstanceId)| *score <= request.safe_time.0 as f64;
        let instance = match near {
            Some(near) if self.settings.prefer_near && is_safe(&near) => near.1,
            near => {
                let far = self.best_of(now, far, common, request);
                let far = far.map(|(score, id)| (score + request.zone_cost.0 as f64, id));
                let both = [near, far].into_iter().flatten();
                both.min_by(|(a, _), (b, _)| a.total_cmp(b))?.1
            }
        };
        let load = self.loads.entry(instance).or_default();
        load.in_flight += 1;
        load.sent_since += 1;
        Some(instance)
    }

    fn sample<'a>(&mut self, mut candidates: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
        let mut sample = Vec::with_capacity(SAMPLE_SIZE);
        for _ in 0..SAMPLE_SIZE.min(candidates.len()) {
            let index = self.random.below(candidates.len() as u64) as usize;
            sample.push(candidates.swap_remove(index));
        }
        sample
    }

    /// Draws a few of `candidates` and returns the one with the least score.
    fn best_of(
        &mut self,
        now: Millis,
        candidates: Vec<&Candidate>,
        common: f64,
        request: &PlacementRequest,
    ) -> Option<(f64, InstanceId)> {
        let mut best: Option<(f64, InstanceId)> = None;
        for candidate in self.sample(candidates) {
            let noise = match self.settings.jitter_scores {
                true => 1.0 + MAX_JITTER * self.random.fraction(),
                false => 1.0,
            };
            let score = self.score(now, candidate, common, request.route) * noise;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate.instance));
            }
        }
        best
    }

    /// Returns the shortest time until one of the candidates is expected to have a slot free.
    pub fn slot_wait(&self, now: Millis, candidates: &[Candidate]) -> Option<Millis> {
        let common = self.common_time(candidates);
        let waits = candidates
            .iter()
            .filter(|c| !self.is_ejected(now, c.instance))
            .map(|c| self.expected_wait(now, c, self.usual(c, common)));
        waits.min_by(f64::total_cmp).map(|w| Millis(w as u64))
    }

    /// Returns the usual time of a run of `route` at a candidate.
    pub fn usual_time(&self, candidate: &Candidate, route: u64) -> Millis {
        Millis((self.usual(candidate, INITIAL_RUN_MS) * self.factor(route)) as u64)
    }

    fn score(&self, now: Millis, candidate: &Candidate, common: f64, route: u64) -> f64 {
        let usual = self.usual(candidate, common);
        let wait = self.expected_wait(now, candidate, usual);
        let load = self.loads.get(&candidate.instance);
        let (failures, transit) = load.map_or((0.0, 0.0), |l| (l.failures, l.transit));
        (wait + usual * self.factor(route)) * (1.0 + FAILURE_COST * failures) + transit
    }

    fn factor(&self, route: u64) -> f64 {
        let known = self
            .routes
            .get(&route)
            .filter(|_| self.settings.route_times);
        known.copied().unwrap_or(1.0)
    }

    fn learn_factor(&mut self, route: u64, load: &LoadReport) {
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

    fn usual(&self, candidate: &Candidate, common: f64) -> f64 {
        match self.loads.get(&candidate.instance) {
            Some(load) if load.report.mean_run > Millis::ZERO => load.report.mean_run.0 as f64,
            _ => common * UNMEASURED_FACTOR,
        }
    }

    /// Mean usual time over those candidates that have been measured.
    fn common_time(&self, candidates: &[Candidate]) -> f64 {
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

    fn expected_wait(&self, now: Millis, candidate: &Candidate, usual: f64) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let ahead = self.busy(now, candidate.instance) + 1.0 - slots;
        ahead.max(0.0) * usual / slots
    }

    /// Requests that run or wait at a server, as far as known.
    fn busy(&self, now: Millis, instance: InstanceId) -> f64 {
        let Some(load) = self.loads.get(&instance) else {
            return 0.0;
        };
        let age = now.since(load.reported_at).0 as f64;
        let fade = match self.settings.decay_reports {
            true => 0.5f64.powf(age / REPORT_HALF_LIFE_MS),
            false => 1.0,
        };
        let reported = f64::from(load.report.running + load.report.waiting) * fade;
        let known = reported + f64::from(load.sent_since.min(load.in_flight));
        known.max(f64::from(load.in_flight))
    }

    fn is_ejected(&self, now: Millis, instance: InstanceId) -> bool {
        self.loads
            .get(&instance)
            .is_some_and(|l| now < l.ejected_until)
    }

    /// Takes in the end of an offer that [`Placement::choose`] made, with the load reported then.
    pub fn finish(
        &mut self,
        now: Millis,
        instance: InstanceId,
        end: OfferEnd,
        report: Option<OfferReport>,
    ) {
        if let Some(report) = report.as_ref() {
            self.learn_factor(report.route, &report.load);
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
        match end {
            OfferEnd::Succeeded => load.recover(0.0),
            OfferEnd::Failed => load.recover(1.0),
            OfferEnd::Absent | OfferEnd::Unreachable => load.eject(now),
            OfferEnd::Full | OfferEnd::Withdrawn => {}
        }
    }

    /// Forgets servers that are not in `known`.
    pub fn retain(&mut self, known: &BTreeSet<InstanceId>) {
        self.loads
            .retain(|id, l| l.in_flight > 0 || known.contains(id));
    }

    /// Lets a server be chosen again at once, as it has described itself anew.
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
        let span = Millis((EJECTION.0 * factor).min(MAX_EJECTION.0));
        self.ejections += 1;
        self.ejected_until = now + span;
        self.report = LoadReport::default();
    }
}
