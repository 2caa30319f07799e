//! Admission of requests whose runs call other services.
//!
//! A run whose later call is refused has wasted a slot, and a retry of it wastes another. The proxy
//! beside a backend server therefore tracks which services the runs of a route call, and which
//! share of those calls is served in time at each priority. While a service refuses some calls,
//! only as many runs are started as it can serve through to their last call. The other requests are
//! refused before they run.
//!
//! The admitted share follows the adaptive throttling of "Handling Overload" (Site Reliability
//! Engineering, 2016): calls served over calls in demand ([`AcceptanceRate`]), where the calls of
//! refused runs count as demand. It is computed per priority, so a shortage affects the least
//! urgent priority first.
//!
//! Load patterns handled here:
//!
//! - A downstream service is overloaded: runs are started at the rate at which their last calls are
//!   served.
//! - Requests of different priority depend on one service that cannot serve all of them: runs of
//!   the less urgent priority are admitted with about the share of the more urgent requests that is
//!   served. This rule alone never reduces the share below a quarter.
//! - Requests that will miss their target: they are admitted only while the services that their
//!   runs call serve nearly all calls. When refused, they do not count as demand.
//! - Single slow runs of a downstream service: up to a tenth of its calls may be late without any
//!   run being refused.
//! - The end of a burst: the share recovers within two seconds once no call is refused.

use crate::acceptance::AcceptanceRate;
use crate::recent::RecentRoutes;
use rf_base::{Millis, ServiceName};
use std::collections::BTreeMap;

/// Admitted share from which late requests are admitted too.
const LATE_MIN_SHARE: f64 = 0.9;
/// Admitted share below which [`ChainSettings::fair_bound`] never goes, however few of the more
/// urgent requests are served.
const FAIR_MIN_SHARE: f64 = 0.25;
/// Share of the calls to a service that may be late without any run being refused. Single slow runs
/// make a few calls late at any load, and refusing runs for them helps nobody.
const TOLERATED_LATE: f64 = 0.1;
/// Lower bound of the served share of a service: the runs that it lets through detect when the
/// service has capacity again.
const MIN_SERVED: f64 = 0.1;
/// Average calls per run below which a route counts as not calling a service.
const MIN_CALLS: f64 = 0.05;
/// Inverse weight of the newest run in the average calls of a route.
const SMOOTHING: f64 = 32.0;
/// Number of runs of a route below which the averages of all routes together are used for it.
const MIN_RUNS: f64 = 8.0;
/// Maximum number of tracked routes; the least recently used one is evicted.
const MAX_ROUTES: usize = 64;

/// Calls to other services that the runs of one route make.
#[derive(Clone, Debug, Default)]
struct Route {
    /// Average calls per run, by service.
    calls: BTreeMap<ServiceName, f64>,
    runs: f64,
}

impl Route {
    fn record(&mut self, made: &BTreeMap<ServiceName, u32>) {
        self.runs = (self.runs + 1.0).min(SMOOTHING);
        for service in made.keys() {
            self.calls.entry(service.clone()).or_default();
        }
        for (service, average) in &mut self.calls {
            let count = f64::from(made.get(service).copied().unwrap_or_default());
            *average += (count - *average) / self.runs;
        }
    }
}

/// Recent ends of the calls to one service at one priority.
#[derive(Clone, Copy, Debug, Default)]
struct CallEnds {
    /// Share of the calls that were served, late or not.
    served: AcceptanceRate,
    /// Share of the calls that were served in time.
    timely: AcceptanceRate,
}

impl CallEnds {
    fn observe(&mut self, now: Millis, is_served: bool, is_timely: bool) {
        self.served.observe(now, is_served);
        self.timely.observe(now, is_timely);
    }

    fn record_withheld(&mut self, now: Millis, count: f64) {
        self.served.record_withheld(now, count);
        self.timely.record_withheld(now, count);
    }

    /// Returns the share of the calls that is expected to be served, at most a few of them late.
    fn rate(&self, now: Millis) -> f64 {
        let timely = self.timely.rate(now) / (1.0 - TOLERATED_LATE);
        self.served.rate(now).min(timely)
    }

    fn recovery_time(&self, now: Millis) -> Millis {
        let timely = self.timely.recovery_time(now);
        self.served.recovery_time(now).max(timely)
    }
}

/// Request for a run, to be admitted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// Fingerprint of the route's name.
    pub route: u64,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Whether the run cannot end by the target time of the request.
    pub is_late: bool,
}

/// Settings of [`ChainAdmission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainSettings {
    /// Whether requests are refused at all on account of the services that their runs call.
    pub is_enabled: bool,
    /// Whether the admitted share is bounded by the share of more urgent requests that is served.
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

/// Admission control of one backend server, based on the calls that its runs make.
#[derive(Clone, Debug)]
pub struct ChainAdmission {
    settings: ChainSettings,
    routes: RecentRoutes<Route>,
    /// All routes together.
    all: Route,
    calls: BTreeMap<(ServiceName, u8), CallEnds>,
}

impl Default for ChainAdmission {
    fn default() -> Self {
        ChainAdmission::new(ChainSettings::default())
    }
}

impl ChainAdmission {
    /// Creates the state of a backend server that has not run anything yet.
    pub fn new(settings: ChainSettings) -> ChainAdmission {
        ChainAdmission {
            settings,
            routes: RecentRoutes::new(MAX_ROUTES),
            all: Route::default(),
            calls: BTreeMap::new(),
        }
    }

    /// Returns whether a run is admitted.
    ///
    /// `draw` is a random number from 0 to below 1. `urgent` returns the share of the more urgent
    /// requests that a service serves.
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
        let known = known.filter(|r| r.runs >= MIN_RUNS).unwrap_or(&self.all);
        let callees = known.calls.iter().filter(|(_, count)| **count >= MIN_CALLS);
        let shares = callees.clone().map(|(service, _)| {
            let served = self.served_share(now, service, start.priority);
            served.min(self.fair_share(urgent(service)))
        });
        let share: f64 = shares.product();
        if start.is_late {
            return share >= LATE_MIN_SHARE;
        }
        if draw < share {
            return true;
        }
        for (service, count) in callees {
            let calls = self.calls.entry((service.clone(), start.priority));
            calls.or_default().record_withheld(now, *count);
        }
        false
    }

    /// Returns the upper bound of the admitted share if the share `urgent` of the more urgent
    /// requests is served.
    fn fair_share(&self, urgent: f64) -> f64 {
        match self.settings.fair_bound {
            true => urgent.max(FAIR_MIN_SHARE),
            false => 1.0,
        }
    }

    /// Returns the share of the calls at `priority` that `service` is expected to serve, bounded
    /// from below so that some runs always test the service.
    pub fn served_share(&self, now: Millis, service: &ServiceName, priority: u8) -> f64 {
        let calls = self.calls.get(&(service.clone(), priority));
        calls.map_or(1.0, |c| c.rate(now).max(MIN_SERVED))
    }

    /// Records the end of a call at `priority`, and whether it was served in time.
    pub fn observe(&mut self, now: Millis, service: &ServiceName, priority: u8, is_served: bool) {
        let calls = self.calls.entry((service.clone(), priority)).or_default();
        calls.observe(now, is_served, is_served);
    }

    /// Records the end of a call at `priority` that was served after its target.
    pub fn observe_late(&mut self, now: Millis, service: &ServiceName, priority: u8) {
        let calls = self.calls.entry((service.clone(), priority)).or_default();
        calls.observe(now, true, false);
    }

    /// Records the end of a run of `route`, with the number of calls that it made to each service.
    pub fn record_run(&mut self, now: Millis, route: u64, made: &BTreeMap<ServiceName, u32>) {
        self.all.record(made);
        self.routes.touch(now, route).record(made);
    }

    /// Returns the time until every run at `priority` is admitted again, if no further call is
    /// refused.
    pub fn recovery_time(&self, now: Millis, priority: u8) -> Millis {
        let ranked = self.calls.iter().filter(|((_, p), _)| *p == priority);
        let times = ranked.map(|(_, calls)| calls.recovery_time(now));
        times.max().unwrap_or_default()
    }
}
