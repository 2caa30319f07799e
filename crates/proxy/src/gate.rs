//! Admission gate of the local backend server.
//!
//! Every attempt, from this proxy or from another one, takes a slot from the [`Queue`] and a record
//! in the [`Ledger`] before it runs. Because there is no other path to the backend server, the
//! slots are a hard limit, and an attempt that is reported as not run can never run later. The gate
//! is closed until the backend server has registered with this incarnation of the process, and
//! again from the moment at which the backend server announces its departure.

mod guards;
mod permit;
mod runs;

use async_channel::{Sender, bounded};
use async_std::task;
use guards::SlotWait;
pub use guards::{BodyReservation, PendingGuard, PendingReply};
use permit::LedgerRecord;
pub use permit::{Observation, SlotPermit};
use rf_base::{AttemptId, Clock, Incarnation, InstanceId, Millis, SeededRandom, ServiceName};
use rf_config::Mechanisms;
use rf_protocol::AttemptHeader;
use rf_protocol::relay::{
    AttemptEnd, AttemptKey, AttemptRequest, AttemptTerms, LedgerAnswer, LoadReport, Loss,
    Rejection, ServerCondition,
};
use rf_traffic::admission::{Queue, QueueSettings, SlotDecision, SlotRequest, WaitId, Wakeups};
use rf_traffic::{
    AttemptStatus, BeginResult, ChainAdmission, ChainSettings, ColdLimiter, ConditionChange,
    ConditionTracker, Ledger, LedgerSettings, LocalServer, RetryDelays, RunStart,
};
use runs::RunningRequest;
pub use runs::{CallEnd, Parent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::debug;

/// Result of requesting a slot; the error says why the attempt does not run.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Time for which the record of an attempt is kept. It exceeds the longest possible delay of a
/// message between two instances, so that a late copy of a revoked attempt is still recognised.
const RECORD_TTL: Millis = Millis::from_secs(30);
/// Time for which an answer is kept for a sender that queries the attempt.
const ANSWER_TTL: Millis = Millis::from_secs(10);
/// Maximum total size of the kept answers, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of attempt records.
const MAX_RECORDS: usize = 65_536;

/// Handle to the gate; cheap to clone.
#[derive(Clone, Debug)]
pub struct Gate {
    clock: Clock,
    instance_id: InstanceId,
    incarnation: Incarnation,
    inner: Arc<Mutex<Inner>>,
    /// Share of the requests accepted by this proxy that were served, by service and priority.
    served_requests: Arc<Mutex<RetryDelays>>,
}

#[derive(Debug)]
struct Inner {
    queue: Queue,
    ledger: Ledger<AttemptEnd>,
    waiters: BTreeMap<WaitId, Sender<Result<()>>>,
    pending: BTreeSet<AttemptId>,
    /// Number of admitted attempts whose bodies have not arrived yet.
    incoming_bodies: u32,
    /// Attempts whose replies have not been sent yet.
    unsent_replies: BTreeSet<AttemptId>,
    /// Running requests, by the id that their callers assigned.
    requests: BTreeMap<String, RunningRequest>,
    chains: ChainAdmission,
    cold_limiter: ColdLimiter,
    condition: ConditionTracker,
    /// Time at which a task grants the slots that the rate limit allows by then; `None` if no task
    /// is waiting.
    next_grant: Option<Millis>,
    /// Runs begun since the last report on the limit of the backend server, and its time.
    started: (u32, Millis),
    random: SeededRandom,
    server: Option<LocalServer>,
    shutdown_at: Option<Millis>,
}

impl Gate {
    /// Creates a closed gate.
    pub fn new(
        clock: Clock,
        instance_id: InstanceId,
        incarnation: Incarnation,
        random: SeededRandom,
        served_requests: Arc<Mutex<RetryDelays>>,
        mechanisms: Mechanisms,
    ) -> Gate {
        let queue = QueueSettings {
            idle_late: mechanisms.idle_late,
            route_time: mechanisms.route_time,
        };
        let chains = ChainSettings {
            is_enabled: mechanisms.chain_admission,
            fair_bound: mechanisms.fair_bound,
        };
        let settings = LedgerSettings {
            instance: instance_id,
            incarnation,
            capacity: MAX_RECORDS,
            answer_bytes: MAX_ANSWER_BYTES,
            answer_retention: ANSWER_TTL,
        };
        let inner = Inner {
            queue: Queue::with_settings(0, queue),
            ledger: Ledger::new(settings),
            waiters: BTreeMap::new(),
            pending: BTreeSet::new(),
            incoming_bodies: 0,
            unsent_replies: BTreeSet::new(),
            requests: BTreeMap::new(),
            chains: ChainAdmission::new(chains),
            cold_limiter: ColdLimiter::default(),
            condition: ConditionTracker::default(),
            next_grant: None,
            started: (0, Millis::ZERO),
            random,
            server: None,
            shutdown_at: None,
        };
        Gate {
            clock,
            instance_id,
            incarnation,
            inner: Arc::new(Mutex::new(inner)),
            served_requests,
        }
    }

    /// Opens the gate: attempts are admitted to `server`, as many at a time as it has slots.
    pub fn open(&self, server: &LocalServer) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.server = Some(server.clone());
        if inner.condition.set_process(server.process()) {
            inner.started = (0, now);
            inner.queue.reset_slowness();
            let wakeups = inner.queue.set_rate(now, None);
            inner.wake(now, wakeups);
        }
        let wakeups = inner.queue.resize(now, server.slots);
        inner.wake(now, wakeups);
    }

    /// Sets how many requests a second may start while the backend server is cold; `None` removes
    /// the limit.
    pub fn set_cold_rate_limit(&self, limit: Option<u32>) {
        self.lock().cold_limiter.set_limit(limit);
    }

    /// Closes the gate: waiting attempts are rejected, running ones continue.
    pub fn close(&self) {
        let mut inner = self.lock();
        inner.server = None;
        for wait_id in inner.queue.clear() {
            inner.answer(wait_id, Err(Rejection::NotHere));
        }
    }

    /// Prepares for shutdown: rejects from now on every attempt that could still be running at
    /// `end`.
    pub fn stop(&self, end: Millis) {
        self.lock().shutdown_at = Some(end);
    }

    /// Returns the load of the backend server, with the average run time of requests on `route`.
    pub fn load(&self, route: u64) -> LoadReport {
        let now = self.clock.now();
        let inner = self.lock();
        LoadReport {
            running: inner.queue.running(),
            waiting: inner.queue.waiting(),
            slots: inner.queue.slots(),
            mean_run: inner.queue.average_run(),
            route_run: inner.queue.average_run_of(route),
            rate_wait: inner.queue.rate_wait(now),
            condition: inner.condition.told(),
            slowness: inner.queue.slowness().report(now),
        }
    }

    /// Returns how many attempts have yielded so far because other organisations had overtaken them.
    pub fn fair_yields(&self) -> u64 {
        self.lock().queue.fair_yields()
    }

    /// Returns the number of attempts that are waiting or running, plus that of attempts of other
    /// proxies that have not been replied to. Some are counted twice.
    pub fn active_attempts(&self) -> usize {
        let inner = self.lock();
        let queued = inner.queue.running() + inner.queue.waiting();
        queued as usize + inner.unsent_replies.len()
    }

    /// Acquires a slot, waiting for at most the wait limit of the attempt.
    ///
    /// # Errors
    ///
    /// Returns why the attempt does not run. It will not run later either.
    pub async fn acquire(&self, attempt: &AttemptRequest) -> Result<SlotPermit> {
        let terms = &attempt.terms;
        let waiting = {
            let now = self.clock.now();
            let mut inner = self.lock();
            self.check(&inner, attempt)?;
            inner.check_cold_rate(now)?;
            inner.check_hedge(now, terms)?;
            self.check_chain(now, &mut inner, attempt)?;
            let slot_request = make_slot_request(now, terms);
            match inner.queue.request(now, slot_request, terms.max_wait) {
                SlotDecision::Run => return self.begin_attempt(&mut inner, attempt),
                SlotDecision::Refuse(slot_wait) => return Err(Rejection::Busy(slot_wait)),
                SlotDecision::Wait(wait_id) => {
                    let waiter = self.add_waiter(&mut inner, attempt.key.id, wait_id);
                    self.pace(now, &mut inner);
                    waiter
                }
            }
        };
        let waited = waiting.finish(terms.max_wait.min(terms.time_left)).await;
        waited.map_err(|rejection| self.reclassify_expiry(rejection, attempt))?;
        let mut inner = self.lock();
        let now = self.clock.now();
        let checked = self.check(&inner, attempt);
        match checked.and_then(|()| inner.check_cold_rate(now)) {
            Ok(()) => self.begin_attempt(&mut inner, attempt),
            Err(rejection) => {
                self.release(now, &mut inner, None);
                Err(rejection)
            }
        }
    }

    /// Returns a slot; `run` is the route and duration of a measured run.
    fn release(&self, now: Millis, inner: &mut Inner, run: Option<(u64, Millis)>) {
        let wakeups = inner.queue.release(now, run);
        inner.wake(now, wakeups);
        self.pace(now, inner);
    }

    /// Makes sure that a request that waits for the rate limit alone gets its slot in time.
    fn pace(&self, now: Millis, inner: &mut Inner) {
        let Some(wait) = inner.queue.next_start(now) else {
            return;
        };
        let wait = wait.max(Millis(1));
        let at = now + wait;
        if inner.next_grant.is_some_and(|next| next <= at) {
            return;
        }
        // A task that wakes later, because the limit was lower, finds another time and ends.
        inner.next_grant = Some(at);
        let gate = self.clone();
        task::spawn(async move {
            task::sleep(wait.duration()).await;
            let now = gate.clock.now();
            let mut inner = gate.lock();
            if inner.next_grant != Some(at) {
                return;
            }
            inner.next_grant = None;
            let wakeups = inner.queue.poll(now);
            inner.wake(now, wakeups);
            gate.pace(now, &mut inner);
        });
    }

    /// Adopts what another proxy was told about the local backend server.
    pub fn adopt_condition(&self, told: &ServerCondition) -> ConditionChange {
        let now = self.clock.now();
        let mut inner = self.lock();
        let change = inner.condition.adopt(now, told);
        inner.apply_limit(now, change);
        change
    }

    /// Turns `Expired` into `Busy` where only the wait limit of this gate has passed and the
    /// request itself has time left.
    fn reclassify_expiry(&self, rejection: Rejection, attempt: &AttemptRequest) -> Rejection {
        match rejection {
            Rejection::Expired if attempt.terms.max_wait < attempt.terms.time_left => {
                Rejection::Busy(self.lock().queue.time_to_slot(self.clock.now()))
            }
            other => other,
        }
    }

    fn check(&self, inner: &Inner, attempt: &AttemptRequest) -> Result<()> {
        if attempt.key.target != self.instance_id || attempt.key.incarnation != self.incarnation {
            return Err(Rejection::WrongIncarnation);
        }
        let is_serving = inner
            .server
            .as_ref()
            .is_some_and(|s| s.service == attempt.service && s.version == attempt.version);
        let latest = self.clock.now() + attempt.terms.time_left;
        let outlasts = inner.shutdown_at.is_some_and(|end| latest > end);
        match is_serving && !outlasts {
            true => Ok(()),
            false => Err(Rejection::NotHere),
        }
    }

    /// Marks an attempt whose body is in transit as pending until the guard is dropped, so that
    /// a sender that queries it keeps waiting.
    pub fn mark_pending(&self, id: AttemptId) -> PendingGuard {
        self.lock().pending.insert(id);
        PendingGuard {
            gate: self.clone(),
            id,
        }
    }

    /// Checks before the body of an attempt is requested whether the attempt would be admitted. If
    /// so, its body counts as incoming until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the attempt would be rejected. It does not run and will not run later either.
    pub fn reserve(&self, attempt: &AttemptRequest) -> Result<BodyReservation> {
        let terms = &attempt.terms;
        let now = self.clock.now();
        let mut inner = self.lock();
        self.check(&inner, attempt)?;
        inner.check_cold_rate(now)?;
        let max_wait = terms.max_wait.min(terms.time_left);
        let slot_request = make_slot_request(now, terms);
        if !inner
            .queue
            .would_admit(now, &slot_request, max_wait, inner.incoming_bodies)
        {
            return Err(Rejection::Busy(inner.queue.time_to_slot(now)));
        }
        inner.incoming_bodies += 1;
        Ok(BodyReservation { gate: self.clone() })
    }

    /// Rejects an attempt whose nested calls are not expected to be served.
    fn check_chain(&self, now: Millis, inner: &mut Inner, attempt: &AttemptRequest) -> Result<()> {
        let terms = &attempt.terms;
        let draw = inner.random.fraction();
        let served_requests = self
            .served_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let urgent_share =
            |service: &ServiceName| served_requests.urgent_acceptance(now, service, terms.priority);
        let start = RunStart {
            route: terms.route,
            priority: terms.priority,
            is_late: inner.queue.run_time(now, terms.route) > terms.target_left,
        };
        let chains = &mut inner.chains;
        match chains.admit(now, start, urgent_share, draw) {
            true => Ok(()),
            false => Err(Rejection::Starved(
                chains.recovery_time(now, terms.priority),
            )),
        }
    }

    fn add_waiter(&self, inner: &mut Inner, id: AttemptId, wait_id: WaitId) -> SlotWait {
        let (sender, receiver) = bounded(1);
        inner.waiters.insert(wait_id, sender);
        inner.pending.insert(id);
        SlotWait {
            gate: self.clone(),
            id,
            wait_id,
            receiver,
            is_answered: false,
        }
    }

    /// Records the attempt in the ledger. The caller already holds its slot, which is released on
    /// an error.
    fn begin_attempt(&self, inner: &mut Inner, attempt: &AttemptRequest) -> Result<SlotPermit> {
        let now = self.clock.now();
        let begun = inner.ledger.begin(now, &self.attempt_header(&attempt.key));
        match (begun, &inner.server) {
            (BeginResult::Run, Some(server)) => {
                let server = server.clone();
                inner.cold_limiter.begin(now);
                inner.started.0 += 1;
                inner.start_run(now, attempt);
                Ok(SlotPermit {
                    gate: self.clone(),
                    key: attempt.key,
                    request: attempt.request.clone(),
                    route: attempt.terms.route,
                    repeat: attempt.terms.repeat,
                    server,
                    start: now,
                    record: LedgerRecord::Kept(AttemptEnd::MayHaveRun(Loss::Cancelled)),
                    is_measured: false,
                })
            }
            (begun, _) => {
                if begun == BeginResult::Run {
                    inner.ledger.revoke(attempt.key.id);
                }
                self.release(now, inner, None);
                Err(match begun {
                    BeginResult::Run => Rejection::NotHere,
                    BeginResult::Expired => Rejection::Expired,
                    BeginResult::Revoked => Rejection::Revoked,
                    BeginResult::WrongIncarnation => Rejection::WrongIncarnation,
                    BeginResult::Full => Rejection::Busy(RECORD_TTL),
                })
            }
        }
    }

    /// Returns how an attempt ended. An unknown attempt is revoked in the same step.
    pub fn query_attempt(&self, key: &AttemptKey) -> LedgerAnswer {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.pending.contains(&key.id) {
            return LedgerAnswer::Pending;
        }
        match inner.ledger.query(now, &self.attempt_header(key)) {
            AttemptStatus::Running => LedgerAnswer::Pending,
            AttemptStatus::NotRun => LedgerAnswer::Ended(AttemptEnd::NotRun(Rejection::Revoked)),
            AttemptStatus::Done(end) => LedgerAnswer::Ended(end),
            // The answer is still being sent on the attempt's own connection.
            AttemptStatus::Gone if inner.unsent_replies.contains(&key.id) => LedgerAnswer::Pending,
            AttemptStatus::Gone => LedgerAnswer::Ended(AttemptEnd::MayHaveRun(Loss::Dropped)),
            AttemptStatus::Unknown => {
                LedgerAnswer::Ended(AttemptEnd::MayHaveRun(Loss::EarlierIncarnation))
            }
        }
    }

    /// Marks the reply of an attempt as not yet sent until the guard is dropped.
    pub fn begin_reply(&self, id: AttemptId) -> PendingReply {
        self.lock().unsent_replies.insert(id);
        PendingReply {
            gate: self.clone(),
            id,
        }
    }

    fn attempt_header(&self, key: &AttemptKey) -> AttemptHeader {
        AttemptHeader {
            id: key.id,
            target: key.target,
            incarnation: key.incarnation,
            expires: self.clock.now() + RECORD_TTL,
            fingerprint: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Rejects a run beyond the rate limit of a cold backend server, which could crash it.
    fn check_cold_rate(&mut self, now: Millis) -> Result<()> {
        let is_cold = self.server.as_ref().is_some_and(|s| now < s.warm_at);
        match self.cold_limiter.wait(now).filter(|_| is_cold) {
            Some(wait) => Err(Rejection::Busy(wait)),
            None => Ok(()),
        }
    }

    /// Rejects a hedged request unless it takes a slot that no other request wants, from a backend
    /// server that is warm and states no limit.
    fn check_hedge(&self, now: Millis, terms: &AttemptTerms) -> Result<()> {
        let is_cold = self.server.as_ref().is_some_and(|s| now < s.warm_at);
        let is_restricted = is_cold || self.condition.condition().is_some();
        match terms.is_hedge() && (is_restricted || !self.queue.has_idle_slot(now)) {
            true => Err(Rejection::Busy(self.queue.time_to_slot(now))),
            false => Ok(()),
        }
    }

    fn apply_limit(&mut self, now: Millis, change: ConditionChange) {
        if let Some((_, limit)) = change.limit {
            let wakeups = self.queue.set_rate(now, limit);
            self.wake(now, wakeups);
        }
    }

    fn wake(&mut self, now: Millis, wakeups: Wakeups) {
        for wait_id in wakeups.granted {
            self.answer(wait_id, Ok(()));
        }
        for wait_id in wakeups.expired {
            self.answer(wait_id, Err(Rejection::Expired));
        }
        for wait_id in wakeups.yielded.into_iter().chain(wakeups.returned) {
            let slot_wait = self.queue.time_to_slot(now);
            debug!(event = "attempt.yielded", slot_wait = slot_wait.0);
            self.answer(wait_id, Err(Rejection::Busy(slot_wait)));
        }
    }

    fn answer(&mut self, wait_id: WaitId, answer: Result<()>) {
        if let Some(waiter) = self.waiters.remove(&wait_id) {
            waiter.try_send(answer).ok();
        }
    }
}

fn make_slot_request(now: Millis, terms: &AttemptTerms) -> SlotRequest {
    SlotRequest {
        route: terms.route,
        priority: terms.priority,
        is_nested: terms.is_nested,
        is_best_effort: terms.is_best_effort,
        target: now + terms.target_left,
        expires: now + terms.max_wait.min(terms.time_left),
        organisation: terms.organisation(),
    }
}
