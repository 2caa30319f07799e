//! Checks what callers and backend servers observe against the promises of the system.
//!
//! Callers record the outcome of each request; the arrivals at the backend servers are read
//! periodically. Both are matched by request id, so that a promise is checked again whenever either
//! side learns something new about a request.

use crate::testbed::Testbed;
use rf_base::Millis;
use rf_standin::users::server::response_body;
use rf_transport::h1::ResponseHead;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Header that only a backend server sets; a response without it comes from the proxy itself.
const SIGNATURE_HEADER: &str = "X-Rosemaryfork-Response-Signature";
/// Fewest recorded outcomes with which a run counts; a run with fewer fails.
const MIN_OUTCOMES: u64 = 150;
/// Fraction of a request's timeout before which an error from the proxy itself counts as a loss
/// during planned work.
const EARLY_FRACTION: f64 = 0.7;
/// Number of violations after which no more are stored.
const MAX_VIOLATIONS: usize = 40;

/// A promise of the system that the soak checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A success is the complete, signed response to exactly this request.
    WholeAnswer,
    /// An unsafe request runs at most once.
    Once,
    /// A refused request has not run, does not run later, and tells when to retry.
    TrueRefusal,
    /// A draining or departed backend server gets no requests after its drain time.
    Drain,
    /// A process never returns to an older configuration.
    NoRegress,
    /// Planned work, such as restarts and drains, loses no request.
    NoLoss,
    /// A process exits in time when told to stop, and none exits by itself.
    Ends,
    /// An unproven version gets few requests, and a bad one is rolled back.
    Exposure,
    /// Once the faults are over every proxy serves with the newest configuration.
    Recovery,
}

/// A check that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Promise that was broken.
    pub promise: Promise,
    /// Time since the checker was created.
    pub at: Millis,
    /// Description of what was observed.
    pub detail: String,
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response, with its body.
    Answer(ResponseHead, Vec<u8>),
    /// A response that is no HTTP, with a description of the defect.
    Malformed(String),
    /// The connection ended without a complete response.
    Closed,
    /// No complete response arrived in time.
    Silence,
}

/// A request of a caller with its outcome.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Id of the request, unique within the run.
    pub request: String,
    /// Whether the request has side effects, so that it may run at most once.
    pub is_unsafe: bool,
    /// Index of the proxy that the request was sent to.
    pub instance: usize,
    /// Time that the caller allows for the request.
    pub timeout: Millis,
    /// Time from sending the request to its outcome.
    pub elapsed: Millis,
    /// What the caller got.
    pub outcome: Outcome,
}

#[derive(Debug, Default)]
struct State {
    violations: Vec<Violation>,
    checks: BTreeMap<Promise, u64>,
    outcomes: BTreeMap<String, u64>,
    /// Instances that answered at least one request with success.
    served: BTreeSet<usize>,
    /// Refused requests, which must not run.
    refused: BTreeSet<String>,
    unsafe_requests: BTreeSet<String>,
    /// Requests that got no response.
    unanswered: BTreeSet<String>,
    /// Number of executions of each request.
    runs: BTreeMap<String, u32>,
    /// Requests that reached a backend server.
    arrived: BTreeSet<String>,
    /// Requests with new observations since the last check of executions.
    unchecked: BTreeSet<String>,
    /// Number of arrivals read so far, by instance.
    cursors: BTreeMap<usize, usize>,
}

/// Collects observations of a run, and checks them against the promises.
#[derive(Debug)]
pub struct Checker {
    start: Instant,
    planned_only: bool,
    state: Mutex<State>,
}

impl Checker {
    /// Creates a checker for a run that begins now.
    ///
    /// `planned_only` enables [`Promise::NoLoss`], which holds during planned work only.
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

    /// Returns the time since the checker was created.
    pub fn elapsed(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Counts a check of a promise, and stores a violation if it does not hold.
    pub fn check(&self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        let at = self.elapsed();
        let mut state = self.lock();
        state.check(at, promise, holds, detail);
    }

    /// Records the outcome of a request, and checks the response if there is one.
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
            Outcome::Malformed(defect) => {
                *state.outcomes.entry("malformed".to_owned()).or_default() += 1;
                state.check(at, Promise::WholeAnswer, false, || {
                    format!("{} got no HTTP: {defect}", exchange.request)
                });
                state.unanswered.insert(exchange.request.clone());
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
                let is_echoed =
                    echoed_id == Some(request) && body == response_body(request).as_bytes();
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
                let early_limit = exchange.timeout.0 as f64 * EARLY_FRACTION;
                let is_late = exchange.elapsed.0 as f64 >= early_limit;
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

    /// Checks the requests that have reached the backend servers since the last call.
    pub fn check_arrivals(&self, testbed: &Testbed) {
        let at = self.elapsed();
        let mut state = self.lock();
        for (number, instance) in testbed.instances.iter().enumerate() {
            let first = state.cursors.get(&number).copied().unwrap_or_default();
            let arrivals = instance.server.arrivals_from(first);
            state.cursors.insert(number, first + arrivals.len());
            for arrival in &arrivals {
                state.arrived.insert(arrival.request_id.clone());
                if !arrival.has_run {
                    continue;
                }
                let overrun = instance.drain_overrun(&arrival.process, arrival.at);
                state.check(at, Promise::Drain, overrun.is_none(), || {
                    let late = overrun.unwrap_or_default();
                    format!(
                        "{} reached {} {late} late",
                        arrival.request_id, arrival.process
                    )
                });
                state.unchecked.insert(arrival.request_id.clone());
                *state.runs.entry(arrival.request_id.clone()).or_default() += 1;
            }
        }
        state.check_runs(at);
    }

    /// Checks what is known only at the end of a run, and whether the run was long enough to count.
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

    /// Returns the violations, the number of checks by promise, and the number of requests by
    /// outcome.
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

    /// Checks how often the requests with new observations were executed.
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
