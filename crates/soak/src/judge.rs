//! Holds what callers, backend servers and the store see against the promises.

use crate::world::World;
use rf_base::Millis;
use rf_standin::users::server::response_body;
use rf_transport::h1::ResponseHead;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Header that proves that a backend server answered.
const SIGNATURE: &str = "X-Rosemaryfork-Response-Signature";
/// Answers below which a run has shown nothing.
const MIN_ANSWERS: u64 = 150;
/// Part of a request's time up to which an answer of the proxy's own has no excuse during planned
/// work.
const EARLY: f64 = 0.7;
/// Violations that are kept.
const MAX_KEPT: usize = 40;

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
pub enum Seen {
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
    pub is_once: bool,
    /// Proxy that took it.
    pub instance: usize,
    /// Time for which its caller waits.
    pub left: Millis,
    /// Time from sending to the end.
    pub took: Millis,
    /// How it ended.
    pub seen: Seen,
}

#[derive(Debug, Default)]
struct State {
    violations: Vec<Violation>,
    counts: BTreeMap<Promise, u64>,
    answers: BTreeMap<String, u64>,
    served: BTreeSet<usize>,
    /// Refused requests that must not run.
    refused: BTreeSet<String>,
    once: BTreeSet<String>,
    /// Requests that ended without an answer.
    unanswered: BTreeSet<String>,
    /// Runs of the requests that may run once.
    runs: BTreeMap<String, u32>,
    arrived: BTreeSet<String>,
    /// Requests of which something was seen since the last look at runs.
    touched: BTreeSet<String>,
    /// Arrivals that were looked at, by instance.
    read: BTreeMap<usize, usize>,
}

/// Collects what is seen.
#[derive(Debug)]
pub struct Judge {
    start: Instant,
    is_planned: bool,
    state: Mutex<State>,
}

impl Judge {
    /// Makes a judge of a run that begins now.
    pub fn new(is_planned: bool) -> Judge {
        Judge {
            start: Instant::now(),
            is_planned,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start.
    pub fn age(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Counts a check of a promise, and keeps what was seen where it does not hold.
    pub fn check(&self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        let at = self.age();
        let mut state = self.lock();
        state.check(at, promise, holds, detail);
    }

    /// Takes in how a request ended.
    pub fn take(&self, exchange: &Exchange) {
        let at = self.age();
        let mut state = self.lock();
        state.touched.insert(exchange.request.clone());
        if exchange.is_once {
            state.once.insert(exchange.request.clone());
        }
        match &exchange.seen {
            Seen::Answer(head, body) => {
                let status = format!("{}", head.status);
                *state.answers.entry(status).or_default() += 1;
                self.take_answer(at, &mut state, exchange, head, body);
            }
            Seen::Closed | Seen::Silence => {
                let name = format!("{:?}", exchange.seen).to_lowercase();
                *state.answers.entry(name).or_default() += 1;
                state.unanswered.insert(exchange.request.clone());
            }
        }
    }

    fn take_answer(
        &self,
        at: Millis,
        state: &mut State,
        exchange: &Exchange,
        head: &ResponseHead,
        body: &[u8],
    ) {
        let request = &exchange.request;
        let is_signed = head.headers.get(SIGNATURE).is_some();
        match head.status {
            200..300 => {
                let named = head.headers.get("X-Rosemaryfork-Request-Id");
                let is_own = named == Some(request) && body == response_body(request).as_bytes();
                state.check(at, Promise::WholeAnswer, is_signed && is_own, || {
                    format!(
                        "{request} got {} with {named:?}, {} bytes",
                        head.status,
                        body.len()
                    )
                });
                state.served.insert(exchange.instance);
            }
            429 | 503 | 408 | 421 => {
                state.refused.insert(request.clone());
                let is_told = head.headers.get("Retry-After").is_some();
                state.check(at, Promise::TrueRefusal, is_told, || {
                    format!("{request} was refused without a time to come back")
                });
            }
            status if self.is_planned && !is_signed => {
                let early = exchange.left.0 as f64 * EARLY;
                let is_late = exchange.took.0 as f64 >= early;
                state.check(at, Promise::NoLoss, is_late, || {
                    let took = exchange.took;
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
    pub fn sweep(&self, world: &World) {
        let at = self.age();
        let mut state = self.lock();
        for (number, instance) in world.instances.iter().enumerate() {
            let first = state.read.get(&number).copied().unwrap_or_default();
            let arrivals = instance.server.arrivals_from(first);
            state.read.insert(number, first + arrivals.len());
            for arrival in &arrivals {
                state.arrived.insert(arrival.request_id.clone());
                if !arrival.has_run {
                    continue;
                }
                let over = instance.drained_before(&arrival.process, arrival.at);
                state.check(at, Promise::Drain, over.is_none(), || {
                    let late = over.unwrap_or_default();
                    format!(
                        "{} reached {} {late} late",
                        arrival.request_id, arrival.process
                    )
                });
                state.touched.insert(arrival.request_id.clone());
                *state.runs.entry(arrival.request_id.clone()).or_default() += 1;
            }
        }
        state.check_runs(at);
    }

    /// Checks what can be told only at the end, and whether enough was seen.
    pub fn finish(&self, world: &World, faults: usize) {
        self.sweep(world);
        let at = self.age();
        let mut state = self.lock();
        if self.is_planned {
            let lost: Vec<String> = state
                .unanswered
                .intersection(&state.arrived)
                .cloned()
                .collect();
            let detail = || format!("without an answer though passed on: {lost:?}");
            state.check(at, Promise::NoLoss, lost.is_empty(), detail);
        }
        let answered: u64 = state.answers.values().sum();
        let all: BTreeSet<usize> = (0..world.instances.len()).collect();
        let idle: Vec<usize> = all.difference(&state.served).copied().collect();
        let is_enough = faults > 0 && answered >= MIN_ANSWERS && idle.is_empty();
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
            state.counts.clone(),
            state.answers.clone(),
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
        *self.counts.entry(promise).or_default() += 1;
        if !holds && self.violations.len() < MAX_KEPT {
            self.violations.push(Violation {
                promise,
                at,
                detail: detail(),
            });
        }
    }

    /// Checks the runs of the requests of which something was seen since the last time.
    fn check_runs(&mut self, at: Millis) {
        let touched = std::mem::take(&mut self.touched);
        for request in &touched {
            if !self.once.contains(request) {
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
