//! Holds what callers, backend servers and the store see against the promises.

use crate::testbed::Testbed;
use rf_base::Millis;
use rf_standin::users::server::body_of;
use rf_transport::h1::ResponseHead;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Header that proves that a backend server answered.
const SIGNATURE_HEADER: &str = "X-Rosemaryfork-Response-Signature";
/// Answers below which a run has shown nothing.
const MIN_OUTCOMES: u64 = 150;
/// Part of a request's time up to which an answer of the proxy's own has no excuse during planned
/// work.
const EARLY_FRACTION: f64 = 0.7;
/// Violations that are kept.
const MAX_VIOLATIONS: usize = 40;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A success is the whole, signed answer to this very request.
    WholeAnswer,
    /// A request that must run once runs once at most.
    Once,
    /// A refused request has not run and does not run later.
    TrueRefusal,
    /// A backend server that leaves gets nothing after its time to drain.
    Drain,
    /// A process never goes back to an older configuration.
    NoRegress,
    /// Planned work loses no request.
    NoLoss,
    /// A process that is told to stop is gone in time, and none ends by itself.
    Ends,
    /// An unproven version gets few requests, and a bad one is taken back.
    Exposure,
    /// Once all is calm every proxy serves, with the newest configuration.
    Recovery,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// Time since the start of the faults.
    pub at: Millis,
    /// What was seen.
    pub detail: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Answer(ResponseHead, Vec<u8>),
    /// Its connection ended without one.
    Closed,
    /// There was none in time.
    Silence,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Id.
    pub request: String,
    /// Whether it may run once at most.
    pub is_unsafe: bool,
    /// Proxy that took it.
    pub instance: usize,
    /// Time for which its caller waits.
    pub timeout: Millis,
    /// Time from sending to the end.
    pub elapsed: Millis,
    /// How it ended.
    pub outcome: Outcome,
}

#[derive(Debug, Default)]
struct State {
    violations: Vec<Violation>,
    checks: BTreeMap<Promise, u64>,
    outcomes: BTreeMap<String, u64>,
    served: BTreeSet<usize>,
    /// Refused requests that must not run.
    refused: BTreeSet<String>,
    unsafe_requests: BTreeSet<String>,
    /// Requests that ended without an answer.
    unanswered: BTreeSet<String>,
    /// Runs of the requests that may run once.
    runs: BTreeMap<String, u32>,
    arrived: BTreeSet<String>,
    /// Requests of which something was seen since the last look at runs.
    unchecked: BTreeSet<String>,
    /// Arrivals that were looked at, by instance.
    cursors: BTreeMap<usize, usize>,
}

/// Collects what is seen.
#[derive(Debug)]
pub struct Checker {
    start: Instant,
    planned_only: bool,
    state: Mutex<State>,
}

impl Checker {
    /// Makes a judge of a run that begins now.
    pub fn new(planned_only: bool) -> Checker {
        Checker {
            start: Instant::now(),
            planned_only,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Counts a check of a promise, and keeps what was seen where it does not hold.
    pub fn check(&self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        let at = self.elapsed();
        let mut state = self.lock();
        state.check(at, promise, holds, detail);
    }

    /// Takes in how a request ended.
    pub fn record(&self, exchange: &Exchange) {
        let at = self.elapsed();
        let mut state = self.lock();
        state.unchecked.insert(exchange.request.clone());
        if exchange.is_unsafe {
            state.unsafe_requests.insert(exchange.request.clone());
        }
        match &exchange.outcome {
            Outcome::Answer(head, body) => {
                let status = format!("{}", head.status);
                *state.outcomes.entry(status).or_default() += 1;
                self.record_answer(at, &mut state, exchange, head, body);
            }
            Outcome::Closed | Outcome::Silence => {
                let name = format!("{:?}", exchange.outcome).to_lowercase();
                *state.outcomes.entry(name).or_default() += 1;
                state.unanswered.insert(exchange.request.clone());
            }
        }
    }

    fn record_answer(
        &self,
        at: Millis,
        state: &mut State,
        exchange: &Exchange,
        head: &ResponseHead,
        body: &[u8],
    ) {
        let request = &exchange.request;
        let is_signed = head.headers.get(SIGNATURE_HEADER).is_some();
        match head.status {
            200..300 => {
                let echoed_id = head.headers.get("X-Rosemaryfork-Request-Id");
                let is_echoed = echoed_id == Some(request) && body == body_of(request).as_bytes();
                state.check(at, Promise::WholeAnswer, is_signed && is_echoed, || {
                    format!(
                        "{request} got {} with {echoed_id:?}, {} bytes",
                        head.status,
                        body.len()
                    )
                });
                state.served.insert(exchange.instance);
            }
            429 | 503 | 408 | 421 => {
                state.refused.insert(request.clone());
                let has_retry_after = head.headers.get("Retry-After").is_some();
                state.check(at, Promise::TrueRefusal, has_retry_after, || {
                    format!("{request} was refused without a time to come back")
                });
            }
            status if self.planned_only && !is_signed => {
                let early = exchange.timeout.0 as f64 * EARLY_FRACTION;
                let is_late = exchange.elapsed.0 as f64 >= early;
                state.check(at, Promise::NoLoss, is_late, || {
                    let took = exchange.elapsed;
                    format!(
                        "{request} got {status} from proxy {} after {took}",
                        exchange.instance
                    )
                });
            }
            _ => {}
        }
    }

    /// Looks at what reached the backend servers since the last look.
    pub fn check_arrivals(&self, testbed: &Testbed) {
        let at = self.elapsed();
        let mut state = self.lock();
        for (number, instance) in testbed.instances.iter().enumerate() {
            let first = state.cursors.get(&number).copied().unwrap_or_default();
            let arrivals = instance.server.arrivals_from(first);
            state.cursors.insert(number, first + arrivals.len());
            for arrival in &arrivals {
                state.arrived.insert(arrival.request.clone());
                if !arrival.has_run {
                    continue;
                }
                let overrun = instance.drain_overrun(&arrival.process, arrival.at);
                state.check(at, Promise::Drain, overrun.is_none(), || {
                    let late = overrun.unwrap_or_default();
                    format!(
                        "{} reached {} {late} late",
                        arrival.request, arrival.process
                    )
                });
                state.unchecked.insert(arrival.request.clone());
                *state.runs.entry(arrival.request.clone()).or_default() += 1;
            }
        }
        state.check_runs(at);
    }

    /// Checks what can be told only at the end, and whether enough was seen.
    pub fn finish(&self, testbed: &Testbed, faults: usize) {
        self.check_arrivals(testbed);
        let at = self.elapsed();
        let mut state = self.lock();
        if self.planned_only {
            let lost: Vec<String> = state
                .unanswered
                .intersection(&state.arrived)
                .cloned()
                .collect();
            let detail = || format!("without an answer though passed on: {lost:?}");
            state.check(at, Promise::NoLoss, lost.is_empty(), detail);
        }
        let answered: u64 = state.outcomes.values().sum();
        let all: BTreeSet<usize> = (0..testbed.instances.len()).collect();
        let idle: Vec<usize> = all.difference(&state.served).copied().collect();
        let is_enough = faults > 0 && answered >= MIN_OUTCOMES && idle.is_empty();
        state.check(at, Promise::Recovery, is_enough, || {
            format!(
                "too little was tried: {faults} faults, {answered} ends, never served: {idle:?}"
            )
        });
    }

    /// Returns the broken promises, the checks of each promise, and the ends of requests.
    pub fn results(
        &self,
    ) -> (
        Vec<Violation>,
        BTreeMap<Promise, u64>,
        BTreeMap<String, u64>,
    ) {
        let state = self.lock();
        (
            state.violations.clone(),
            state.checks.clone(),
            state.outcomes.clone(),
        )
    }
}

impl State {
    fn check(
        &mut self,
        at: Millis,
        promise: Promise,
        holds: bool,
        detail: impl FnOnce() -> String,
    ) {
        *self.checks.entry(promise).or_default() += 1;
        if !holds && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                promise,
                at,
                detail: detail(),
            });
        }
    }

    /// Checks the runs of the requests of which something was seen since the last time.
    fn check_runs(&mut self, at: Millis) {
        let unchecked = std::mem::take(&mut self.unchecked);
        for request in &unchecked {
            if !self.unsafe_requests.contains(request) {
                continue;
            }
            let runs = self.runs.get(request).copied().unwrap_or_default();
            let is_refused = self.refused.contains(request);
            self.check(at, Promise::Once, runs <= 1, || {
                format!("{request} ran {runs} times")
            });
            if is_refused {
                self.check(at, Promise::TrueRefusal, runs == 0, || {
                    format!("{request} was refused and ran {runs} times")
                });
            }
        }
    }
}
