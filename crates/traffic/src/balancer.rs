//! Load balancing across backend servers.
//!
//! The balancer draws two random candidates and picks the less loaded one. The load combines the
//! calls that this daemon has in flight to a server with the load that the server's answers report.
//! The health endpoint is not used, because it lags. The nearest servers are preferred while one of
//! them has free capacity. A new server is offered a growing share of its slots during its cold
//! start.
//!
//! A server with several consecutive failed calls is ejected for a time that doubles with each
//! ejection, and returns with its failure count reset. At most half of the servers of a version are
//! ejected at a time, so that a failing dependency does not leave a call without candidates.

use crate::table::{Proximity, ServerTarget, ServiceEntry, VersionEntry};
use rf_base::{InstanceId, Millis, SeededRandom};
use std::collections::{BTreeMap, BTreeSet};

/// Share of its slots that a server is offered at the beginning of its cold start.
const COLD_SHARE: f64 = 0.1;
/// Load, as a share of the slots, from which a server counts as full.
const FULL_LOAD: f64 = 0.9;
/// Time for which a reported load is used.
const REPORT_TTL: Millis = Millis(1000);

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Consecutive failures after which a server is ejected.
    pub failures: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub base_ejection: Millis,
    /// Maximum duration of an ejection.
    pub max_ejection: Millis,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            failures: 5,
            base_ejection: Millis(1000),
            max_ejection: Millis(30_000),
        }
    }
}

/// Outcome of an attempt, as far as it concerns the health of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server answered; carries the load reported with the answer, as a share of its slots.
    Answered(Option<f64>),
    /// The server refused the attempt because it is busy.
    Busy,
    /// The server is shutting down.
    Leaving,
    /// The attempt failed.
    Failed,
    /// No connection to the server could be made.
    Unreachable,
}

#[derive(Clone, Debug, Default)]
struct Load {
    in_flight: u32,
    reported: f64,
    reported_at: Millis,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
}

/// Load balancer, with the load and health of each server as observed by this daemon.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    loads: BTreeMap<InstanceId, Load>,
    random: SeededRandom,
}

impl Balancer {
    /// Creates a balancer without observations.
    pub fn new(settings: BalancerSettings, random: SeededRandom) -> Balancer {
        Balancer {
            settings,
            loads: BTreeMap::new(),
            random,
        }
    }

    /// Picks a server of `service` for a call, and counts the call as in flight there.
    ///
    /// Servers in `tried` are not picked again. Returns `None` if no other server is left.
    pub fn pick<'a>(
        &mut self,
        now: Millis,
        service: &'a ServiceEntry,
        tried: &BTreeSet<InstanceId>,
    ) -> Option<&'a ServerTarget> {
        let version = self.pick_version(service, tried)?;
        let candidates = self.candidates(now, version, tried);
        let near = self.nearest_with_capacity(now, service, candidates);
        let picked = self.pick_of_two(now, service, &near)?;
        self.loads.entry(picked.instance).or_default().in_flight += 1;
        Some(picked)
    }

    /// Draws a version by weight from those with a server that was not tried.
    fn pick_version<'a>(
        &mut self,
        service: &'a ServiceEntry,
        tried: &BTreeSet<InstanceId>,
    ) -> Option<&'a VersionEntry> {
        let is_usable = |v: &&VersionEntry| {
            v.weight > 0 && v.servers.iter().any(|s| !tried.contains(&s.instance))
        };
        let usable = || service.versions.iter().filter(is_usable);
        let total: u64 = usable().map(|v| v.weight).sum();
        let mut point = self.random.below(total);
        for version in usable() {
            if point < version.weight {
                return Some(version);
            }
            point -= version.weight;
        }
        None
    }

    fn candidates<'a>(
        &self,
        now: Millis,
        version: &'a VersionEntry,
        tried: &BTreeSet<InstanceId>,
    ) -> Vec<&'a ServerTarget> {
        let untried: Vec<&ServerTarget> = version
            .servers
            .iter()
            .filter(|s| !tried.contains(&s.instance))
            .collect();
        let healthy: Vec<&ServerTarget> = untried
            .iter()
            .copied()
            .filter(|s| !self.is_ejected(now, s.instance))
            .collect();
        match healthy.len() * 2 >= untried.len() {
            true => healthy,
            false => untried,
        }
    }

    fn nearest_with_capacity<'a>(
        &self,
        now: Millis,
        service: &ServiceEntry,
        candidates: Vec<&'a ServerTarget>,
    ) -> Vec<&'a ServerTarget> {
        for proximity in [Proximity::Zone, Proximity::Region] {
            let near: Vec<&ServerTarget> = candidates
                .iter()
                .copied()
                .filter(|s| s.proximity <= proximity)
                .filter(|s| self.load(now, service, s) < FULL_LOAD)
                .collect();
            if !near.is_empty() {
                return near;
            }
        }
        candidates
    }

    fn pick_of_two<'a>(
        &mut self,
        now: Millis,
        service: &ServiceEntry,
        candidates: &[&'a ServerTarget],
    ) -> Option<&'a ServerTarget> {
        let count = candidates.len() as u64;
        let first = *candidates.get(self.random.below(count) as usize)?;
        if count == 1 {
            return Some(first);
        }
        let other = (self.random.below(count - 1) + 1) as usize;
        let start = candidates
            .iter()
            .position(|s| s.instance == first.instance)?;
        let second = candidates[(start + other) % candidates.len()];
        match self.load(now, service, second) < self.load(now, service, first) {
            true => Some(second),
            false => Some(first),
        }
    }

    fn load(&self, now: Millis, service: &ServiceEntry, server: &ServerTarget) -> f64 {
        let ramp = compute_ramp(now.since(server.since), service.cold_start);
        let slots = f64::from(server.slots) * ramp;
        let Some(load) = self.loads.get(&server.instance) else {
            return 0.0;
        };
        let own = f64::from(load.in_flight) / slots.max(1.0);
        let is_recent = now.since(load.reported_at) < REPORT_TTL;
        let reported = if is_recent { load.reported } else { 0.0 };
        own.max(reported)
    }

    fn is_ejected(&self, now: Millis, instance: InstanceId) -> bool {
        self.loads
            .get(&instance)
            .is_some_and(|l| now < l.ejected_until)
    }

    /// Records the outcome of an attempt at a server returned by [`Balancer::pick`].
    pub fn finish(&mut self, now: Millis, instance: InstanceId, outcome: Outcome) {
        let Some(load) = self.loads.get_mut(&instance) else {
            return;
        };
        debug_assert!(load.in_flight > 0);
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered(reported) => {
                load.failures = 0;
                load.ejections = 0;
                load.report(now, reported);
            }
            Outcome::Busy => load.report(now, Some(1.0)),
            Outcome::Leaving => load.eject(now, self.settings.base_ejection),
            Outcome::Unreachable => load.eject_longer(now, &self.settings),
            Outcome::Failed => {
                load.failures += 1;
                if load.failures >= self.settings.failures {
                    load.eject_longer(now, &self.settings);
                }
            }
        }
    }

    /// Drops the state of servers that are not in `known` and have no call in flight.
    pub fn retain(&mut self, known: &BTreeSet<InstanceId>) {
        self.loads
            .retain(|id, l| l.in_flight > 0 || known.contains(id));
    }
}

impl Load {
    fn report(&mut self, now: Millis, reported: Option<f64>) {
        if let Some(reported) = reported {
            self.reported = reported;
            self.reported_at = now;
        }
    }

    fn eject(&mut self, now: Millis, span: Millis) {
        self.ejected_until = now + span;
        self.failures = 0;
    }

    fn eject_longer(&mut self, now: Millis, settings: &BalancerSettings) {
        let factor = 1u64 << self.ejections.min(10);
        let span = Millis((settings.base_ejection.0 * factor).min(settings.max_ejection.0));
        self.ejections += 1;
        self.eject(now, span);
    }
}

fn compute_ramp(age: Millis, cold_start: Millis) -> f64 {
    if age >= cold_start {
        return 1.0;
    }
    let progress = age.0 as f64 / cold_start.0 as f64;
    COLD_SHARE + (1.0 - COLD_SHARE) * progress
}
