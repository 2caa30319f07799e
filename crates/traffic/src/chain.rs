//! Whether a request is begun whose run calls other services.
//!
//! A run whose later call is refused has wasted a slot, and a repeat of it wastes another. So the
//! proxy beside a backend server learns which services the runs of a route call, and which part of
//! those calls is served in time at each rank. While a service refuses some, only as many runs are
//! begun as it can serve to their last call; the others are refused before they run.
//!
//! The part that is begun follows adaptive throttling as in "Handling Overload" (Site Reliability
//! Engineering, 2016): calls served over calls wanted ([`AcceptanceRate`]), where the calls of runs that
//! were not begun count as wanted. It is worked out by rank, so a shortage meets the least urgent
//! rank first.
//!
//! Load patterns this answers:
//!
//! - A service behind another one is overloaded: runs are begun at the rate of their last calls.
//! - Requests of different rank depend on one service, which can't serve all: the runs of the less
//!   urgent rank are begun about as often as the requests of the more urgent one are served, and no
//!   less than a quarter of the time because of them.
//! - Requests that can't be in time any more: they are begun only while the services that their runs
//!   call serve nearly all, and they count neither as wanted nor as withheld.
//! - The end of a burst: the part grows by itself once no call is refused, within two seconds.

use crate::acceptance::AcceptanceRate;
use crate::recent::RecentRoutes;
use rf_base::{Millis, ServiceName};
use std::collections::BTreeMap;

/// Part of the calls of a service that is served at least where late runs that call it are begun.
const LATE_PART: f64 = 0.9;
/// Part that is begun at least, however many of a more urgent rank are not served.
const FAIR_PART: f64 = 0.25;
/// Part that is begun at least, whatever is refused: it finds out when room is back.
const MIN_PART: f64 = 0.1;
/// Calls of one service for each run below which a route counts as not calling it.
const MIN_SHARE: f64 = 0.05;
/// Weight of the newest run in the calls of a route, as a divisor.
const RUNS: f64 = 32.0;
/// Runs below which the figures of all routes together are taken for those of a route.
const FEW_RUNS: f64 = 8.0;
/// Routes that are kept; the one that ran least lately is forgotten.
const MAX_ROUTES: usize = 64;

/// What the runs of one route call.
#[derive(Clone, Debug, Default)]
struct Route {
    /// Calls of each service for a run.
    calls: BTreeMap<ServiceName, f64>,
    runs: f64,
}

impl Route {
    fn learn(&mut self, made: &BTreeMap<ServiceName, u32>) {
        self.runs = (self.runs + 1.0).min(RUNS);
        for service in made.keys() {
            self.calls.entry(service.clone()).or_default();
        }
        for (service, share) in &mut self.calls {
            let count = f64::from(made.get(service).copied().unwrap_or_default());
            *share += (count - *share) / self.runs;
        }
    }
}

/// A run that may be begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// Route, by the fingerprint of its name.
    pub route: u64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether it can't end by its target.
    pub is_late: bool,
}

/// Settings of [`ChainAdmission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainSettings {
    /// Whether runs are held back at all.
    pub is_enabled: bool,
    /// Whether they are held back by what more urgent requests get.
    pub fair_bound: bool,
}

impl Default for ChainSettings {
    fn default() -> Self {
        ChainSettings {
            is_enabled: true,
            fair_bound: true,
        }
    }
}

/// Calls that the runs of one backend server make.
#[derive(Clone, Debug)]
pub struct ChainAdmission {
    settings: ChainSettings,
    routes: RecentRoutes<Route>,
    /// All routes together.
    all: Route,
    calls: BTreeMap<(ServiceName, u8), AcceptanceRate>,
}

impl Default for ChainAdmission {
    fn default() -> Self {
        ChainAdmission::new(ChainSettings::default())
    }
}

impl ChainAdmission {
    /// Makes the state of a backend server none of whose runs is known.
    pub fn new(settings: ChainSettings) -> ChainAdmission {
        ChainAdmission {
            settings,
            routes: RecentRoutes::new(MAX_ROUTES),
            all: Route::default(),
            calls: BTreeMap::new(),
        }
    }

    /// Returns whether a run is to be begun; `draw` is a random number below 1, `urgent` tells which
    /// part of the more urgent requests a service serves.
    pub fn admit(
        &mut self,
        now: Millis,
        start: RunStart,
        urgent: impl Fn(&ServiceName) -> f64,
        draw: f64,
    ) -> bool {
        if !self.settings.is_enabled {
            return true;
        }
        let known = self.routes.get(start.route);
        let known = known.filter(|r| r.runs >= FEW_RUNS).unwrap_or(&self.all);
        let callees = known.calls.iter().filter(|(_, share)| **share >= MIN_SHARE);
        let parts = callees.clone().map(|(service, _)| {
            let part = self.served_part(now, service, start.priority);
            part.min(self.fair_part(urgent(service)))
        });
        let part: f64 = parts.product();
        if start.is_late {
            return part >= LATE_PART;
        }
        if draw < part {
            return true;
        }
        for (service, share) in callees {
            let calls = self.calls.entry((service.clone(), start.priority));
            calls.or_default().record_withheld(now, *share);
        }
        false
    }

    /// Returns the part that is begun at most where `urgent` of the more urgent requests are served.
    fn fair_part(&self, urgent: f64) -> f64 {
        match self.settings.fair_bound {
            true => urgent.max(FAIR_PART),
            false => 1.0,
        }
    }

    /// Returns the part of the runs at rank `priority` whose calls `service` is expected to serve.
    pub fn served_part(&self, now: Millis, service: &ServiceName, priority: u8) -> f64 {
        let calls = self.calls.get(&(service.clone(), priority));
        calls.map_or(1.0, |c| c.rate(now).max(MIN_PART))
    }

    /// Takes in the end of a call at rank `priority`: whether it was served in time.
    pub fn observe(&mut self, now: Millis, service: &ServiceName, priority: u8, is_served: bool) {
        let calls = self.calls.entry((service.clone(), priority)).or_default();
        calls.observe(now, is_served);
    }

    /// Takes in a run of `route` that ended, with the calls of each service that it made.
    pub fn record_run(&mut self, now: Millis, route: u64, made: &BTreeMap<ServiceName, u32>) {
        self.all.learn(made);
        self.routes.touch(now, route).learn(made);
    }

    /// Returns the time until every run is begun again, if no further call is refused.
    pub fn recovery_time(&self, now: Millis, priority: u8) -> Millis {
        let ranked = self.calls.iter().filter(|((_, p), _)| *p == priority);
        let times = ranked.map(|(_, calls)| calls.recovery_time(now));
        times.max().unwrap_or_default()
    }
}
