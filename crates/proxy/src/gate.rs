//! The only way to the backend server beside this proxy.
//!
//! A request gets a slot from the [`Queue`] and a record in the [`Ledger`]. Every sender, local or
//! remote, passes here, so that the slots are a hard limit and "not run" is a fact. The gate is
//! closed until the backend server has announced itself in this life of the process, and from the
//! moment at which it says that it leaves.

mod guards;

use async_channel::{Sender, bounded};
use guards::SlotWait;
pub use guards::{BodyReservation, PendingGuard, PendingReply};
use rf_base::{AttemptId, Clock, Incarnation, InstanceId, Millis, SeededRandom, ServiceName};
use rf_config::{Mechanisms, Repeat};
use rf_protocol::AttemptHeader;
use rf_protocol::relay::{
    AttemptEnd, AttemptKey, AttemptRequest, AttemptTerms, LedgerAnswer, LoadReport, Loss, Rejection,
};
use rf_traffic::admission::{Queue, QueueSettings, SlotDecision, SlotRequest, WaitId, Wakeups};
use rf_traffic::{
    AttemptStatus, BeginResult, ChainAdmission, ChainSettings, ColdLimiter, Ledger, LedgerSettings,
    LocalServer, RetryDelays, RunStart,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Result of asking for a slot.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Time for which an attempt is remembered. Longer than any message can be under way between two
/// instances, so that a late copy of a revoked attempt is recognised.
const KEEP_RECORD: Millis = Millis::from_secs(30);
/// Time for which an answer is kept for a sender that asks.
const KEEP_ANSWER: Millis = Millis::from_secs(10);
/// Bytes of kept answers.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Records kept at most.
const RECORDS: usize = 65_536;

/// Handle to the gate; cheap to clone.
#[derive(Clone, Debug)]
pub struct Gate {
    clock: Clock,
    instance_id: InstanceId,
    incarnation: Incarnation,
    inner: Arc<Mutex<Inner>>,
    /// How many of the requests that this proxy took in were served.
    returns: Arc<Mutex<RetryDelays>>,
}

#[derive(Debug)]
struct Inner {
    queue: Queue,
    ledger: Ledger<AttemptEnd>,
    waiters: BTreeMap<WaitId, Sender<Result<()>>>,
    pending: BTreeSet<AttemptId>,
    /// Attempts whose bodies are on their way.
    incoming_bodies: u32,
    /// Attempts whose reply is not sent yet.
    unsent: BTreeSet<AttemptId>,
    /// Requests that run, by the id that their callers gave them.
    requests: BTreeMap<String, Running>,
    chains: ChainAdmission,
    pace: ColdLimiter,
    random: SeededRandom,
    resident: Option<LocalServer>,
    end: Option<Millis>,
}

/// A request that runs, with the calls it has made.
#[derive(Debug)]
struct Running {
    parent: Parent,
    runs: u32,
    calls: BTreeMap<ServiceName, u32>,
    is_starved: bool,
}

/// What a call inherits from the running request that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Time by which the answer of the running request is worth most.
    pub target: Millis,
}

/// How a call of a running request ended, as far as the load of the service goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was served within the target of its route.
    Served,
    /// It was served later.
    Late,
    /// It was refused for lack of room.
    Refused,
    /// A backend server turned it away though its gate had a slot: nothing is learnt about room.
    Shed,
}

/// A slot at the backend server, held by one attempt.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Gate,
    key: AttemptKey,
    request: String,
    route: u64,
    repeat: Repeat,
    resident: LocalServer,
    start: Millis,
    record: Record,
    is_measured: bool,
}

/// What the ledger is told when a pass ends.
#[derive(Debug)]
enum Record {
    /// The attempt did not run.
    NotRun,
    /// It ran, and its end is not kept.
    Ran,
    /// It ran, and a sender may ask for its end.
    Kept(AttemptEnd),
}

impl Gate {
    /// Makes a closed gate.
    pub fn new(
        clock: Clock,
        instance_id: InstanceId,
        incarnation: Incarnation,
        random: SeededRandom,
        returns: Arc<Mutex<RetryDelays>>,
        mechanisms: Mechanisms,
    ) -> Gate {
        let queue = QueueSettings {
            idle_late: mechanisms.idle_late,
            route_time: mechanisms.route_time,
        };
        let chains = ChainSettings {
            is_enabled: mechanisms.chain_door,
            fair_bound: mechanisms.fair_bound,
        };
        let settings = LedgerSettings {
            instance: instance_id,
            incarnation,
            capacity: RECORDS,
            answer_bytes: ANSWER_BYTES,
            keep_answer: KEEP_ANSWER,
        };
        let inner = Inner {
            queue: Queue::with_settings(0, queue),
            ledger: Ledger::new(settings),
            waiters: BTreeMap::new(),
            pending: BTreeSet::new(),
            incoming_bodies: 0,
            unsent: BTreeSet::new(),
            requests: BTreeMap::new(),
            chains: ChainAdmission::new(chains),
            pace: ColdLimiter::default(),
            random,
            resident: None,
            end: None,
        };
        Gate {
            clock,
            instance_id,
            incarnation,
            inner: Arc::new(Mutex::new(inner)),
            returns,
        }
    }

    /// Lets requests through to `resident`.
    pub fn open(&self, resident: &LocalServer) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.resident = Some(resident.clone());
        let wakeups = inner.queue.resize(now, resident.slots);
        inner.wake(wakeups);
    }

    /// Changes how many requests a second the backend server gets while it is cold.
    pub fn set_cold_rate_limit(&self, limit: Option<u32>) {
        self.lock().pace.set_limit(limit);
    }

    /// Lets nothing through any more; what waits is rejected, what runs goes on.
    pub fn close(&self) {
        let mut inner = self.lock();
        inner.resident = None;
        for place in inner.queue.clear() {
            inner.answer(place, Err(Rejection::NotHere));
        }
    }

    /// Lets nothing through from now on that could still run at `end`.
    pub fn stop(&self, end: Millis) {
        self.lock().end = Some(end);
    }

    /// Returns the load of the backend server, for a request of `route`.
    pub fn load(&self, route: u64) -> LoadReport {
        let inner = self.lock();
        LoadReport {
            running: inner.queue.running(),
            waiting: inner.queue.waiting(),
            slots: inner.queue.slots(),
            mean_run: inner.queue.average_run(),
            route_run: inner.queue.average_run_of(route),
        }
    }

    /// Returns what the calls of the running request of this id inherit; `None` where none runs.
    pub fn parent(&self, request: &str) -> Option<Parent> {
        self.lock().requests.get(request).map(|r| r.parent)
    }

    /// Takes in the end of a call of `service` that the running request `parent` made.
    pub fn observe_call(&self, parent: &str, service: &ServiceName, end: CallEnd) {
        let now = self.clock.now();
        let inner = &mut *self.lock();
        let Some(running) = inner.requests.get_mut(parent) else {
            return;
        };
        *running.calls.entry(service.clone()).or_default() += 1;
        running.is_starved |= end == CallEnd::Refused;
        if end != CallEnd::Shed {
            let priority = running.parent.priority;
            let is_timely = end == CallEnd::Served;
            inner.chains.observe(now, service, priority, is_timely);
        }
    }

    fn is_starved(&self, request: &str) -> bool {
        let inner = self.lock();
        inner.requests.get(request).is_some_and(|r| r.is_starved)
    }

    /// Returns the number of attempts that wait or run.
    pub fn active_attempts(&self) -> usize {
        let inner = self.lock();
        (inner.queue.running() + inner.queue.waiting()) as usize
    }

    /// Waits for a slot as long as the order allows.
    ///
    /// # Errors
    ///
    /// Returns why the attempt does not run; it never will.
    pub async fn acquire(&self, order: &AttemptRequest) -> Result<SlotPermit> {
        let terms = &order.terms;
        let waiting = {
            let now = self.clock.now();
            let mut inner = self.lock();
            self.check(&inner, order)?;
            inner.check_pace(now)?;
            self.check_chain(now, &mut inner, order)?;
            let wish = wish_of(now, terms);
            match inner.queue.request(now, wish, terms.max_wait) {
                SlotDecision::Run => return self.begin(&mut inner, order),
                SlotDecision::Refuse(room) => return Err(Rejection::Busy(room)),
                SlotDecision::Wait(place) => self.wait(&mut inner, order.key.id, place),
            }
        };
        let waited = waiting.finish(terms.max_wait.min(terms.time_left)).await;
        waited.map_err(|rejection| self.soften(rejection, order))?;
        let mut inner = self.lock();
        let now = self.clock.now();
        let checked = self.check(&inner, order);
        match checked.and_then(|()| inner.check_pace(now)) {
            Ok(()) => self.begin(&mut inner, order),
            Err(rejection) => {
                inner.release(self.clock.now(), None);
                Err(rejection)
            }
        }
    }

    /// Tells a wait that outlasted the patience for this gate from the end of the request's time.
    fn soften(&self, rejection: Rejection, order: &AttemptRequest) -> Rejection {
        match rejection {
            Rejection::Expired if order.terms.max_wait < order.terms.time_left => {
                Rejection::Busy(self.lock().queue.time_to_slot())
            }
            other => other,
        }
    }

    fn check(&self, inner: &Inner, order: &AttemptRequest) -> Result<()> {
        if order.key.target != self.instance_id || order.key.incarnation != self.incarnation {
            return Err(Rejection::WrongIncarnation);
        }
        let is_here = inner
            .resident
            .as_ref()
            .is_some_and(|r| r.service == order.service && r.version == order.version);
        let latest = self.clock.now() + order.terms.time_left;
        let outlasts = inner.end.is_some_and(|end| latest > end);
        match is_here && !outlasts {
            true => Ok(()),
            false => Err(Rejection::NotHere),
        }
    }

    /// Tells senders that ask for this attempt to wait, until the guard is dropped: its body is on
    /// its way.
    pub fn mark_pending(&self, id: AttemptId) -> PendingGuard {
        self.lock().pending.insert(id);
        PendingGuard {
            gate: self.clone(),
            id,
        }
    }

    /// Refuses an attempt that would be refused if it came now; one that is not counts as coming
    /// until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns why; the attempt does not run and never will.
    pub fn reserve(&self, order: &AttemptRequest) -> Result<BodyReservation> {
        let terms = &order.terms;
        let now = self.clock.now();
        let mut inner = self.lock();
        self.check(&inner, order)?;
        inner.check_pace(now)?;
        let patience = terms.max_wait.min(terms.time_left);
        let wish = wish_of(now, terms);
        if !inner
            .queue
            .would_admit(now, &wish, patience, inner.incoming_bodies)
        {
            return Err(Rejection::Busy(inner.queue.time_to_slot()));
        }
        inner.incoming_bodies += 1;
        Ok(BodyReservation { gate: self.clone() })
    }

    /// Refuses a run whose calls are not expected to be served.
    fn check_chain(&self, now: Millis, inner: &mut Inner, order: &AttemptRequest) -> Result<()> {
        let terms = &order.terms;
        let draw = inner.random.fraction();
        let returns = self.returns.lock().unwrap_or_else(PoisonError::into_inner);
        let urgent =
            |service: &ServiceName| returns.urgent_acceptance(now, service, terms.priority);
        let start = RunStart {
            route: terms.route,
            priority: terms.priority,
            is_late: inner.queue.average_run_of(terms.route) > terms.target_left,
        };
        let chains = &mut inner.chains;
        match chains.admit(now, start, urgent, draw) {
            true => Ok(()),
            false => Err(Rejection::Starved(
                chains.recovery_time(now, terms.priority),
            )),
        }
    }

    fn wait(&self, inner: &mut Inner, id: AttemptId, place: WaitId) -> SlotWait {
        let (sender, receiver) = bounded(1);
        inner.waiters.insert(place, sender);
        inner.pending.insert(id);
        SlotWait {
            gate: self.clone(),
            id,
            place,
            receiver,
            is_over: false,
        }
    }

    /// Records the attempt; its slot is held already.
    fn begin(&self, inner: &mut Inner, order: &AttemptRequest) -> Result<SlotPermit> {
        let now = self.clock.now();
        let begun = inner.ledger.begin(now, &self.header(&order.key));
        match (begun, &inner.resident) {
            (BeginResult::Run, Some(resident)) => {
                let resident = resident.clone();
                inner.pace.begin(now);
                inner.remember_request(now, order);
                Ok(SlotPermit {
                    gate: self.clone(),
                    key: order.key,
                    request: order.request.clone(),
                    route: order.terms.route,
                    repeat: order.terms.repeat,
                    resident,
                    start: now,
                    record: Record::Kept(AttemptEnd::MayHaveRun(Loss::Cancelled)),
                    is_measured: false,
                })
            }
            (begun, _) => {
                if begun == BeginResult::Run {
                    inner.ledger.revoke(order.key.id);
                }
                inner.release(now, None);
                Err(match begun {
                    BeginResult::Run => Rejection::NotHere,
                    BeginResult::Expired => Rejection::Expired,
                    BeginResult::Revoked => Rejection::Revoked,
                    BeginResult::WrongIncarnation => Rejection::WrongIncarnation,
                    BeginResult::Full => Rejection::Busy(KEEP_RECORD),
                })
            }
        }
    }

    /// Tells how an attempt ended; one that is unknown is revoked in the same step.
    pub fn query_attempt(&self, key: &AttemptKey) -> LedgerAnswer {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.pending.contains(&key.id) {
            return LedgerAnswer::Pending;
        }
        match inner.ledger.query(now, &self.header(key)) {
            AttemptStatus::Running => LedgerAnswer::Pending,
            AttemptStatus::NotRun => LedgerAnswer::Ended(AttemptEnd::NotRun(Rejection::Revoked)),
            AttemptStatus::Done(end) => LedgerAnswer::Ended(end),
            // The answer is on its way on the attempt's own connection.
            AttemptStatus::Gone if inner.unsent.contains(&key.id) => LedgerAnswer::Pending,
            AttemptStatus::Gone => LedgerAnswer::Ended(AttemptEnd::MayHaveRun(Loss::Dropped)),
            AttemptStatus::Unknown => {
                LedgerAnswer::Ended(AttemptEnd::MayHaveRun(Loss::EarlierIncarnation))
            }
        }
    }

    /// Marks the reply of an attempt as not sent until the guard is dropped.
    pub fn begin_reply(&self, id: AttemptId) -> PendingReply {
        self.lock().unsent.insert(id);
        PendingReply {
            gate: self.clone(),
            id,
        }
    }

    fn header(&self, key: &AttemptKey) -> AttemptHeader {
        AttemptHeader {
            id: key.id,
            target: key.target,
            incarnation: key.incarnation,
            expires: self.clock.now() + KEEP_RECORD,
            fingerprint: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Refuses a run that a cold backend server may not bear.
    fn check_pace(&mut self, now: Millis) -> Result<()> {
        let is_cold = self.resident.as_ref().is_some_and(|r| now < r.warm_at);
        match self.pace.wait(now).filter(|_| is_cold) {
            Some(wait) => Err(Rejection::Busy(wait)),
            None => Ok(()),
        }
    }

    fn remember_request(&mut self, now: Millis, order: &AttemptRequest) {
        let running = self.requests.entry(order.request.clone());
        let running = running.or_insert_with(|| Running {
            parent: Parent {
                priority: order.terms.priority,
                target: now + order.terms.target_left,
            },
            runs: 0,
            calls: BTreeMap::new(),
            is_starved: false,
        });
        running.runs += 1;
    }

    /// Forgets one run of a request. What it called is learnt where the run went through.
    fn forget_request(&mut self, now: Millis, pass: &SlotPermit) {
        let Some(running) = self.requests.get_mut(&pass.request) else {
            return;
        };
        running.runs -= 1;
        if running.runs > 0 {
            return;
        }
        if pass.is_measured && !running.is_starved {
            self.chains.record_run(now, pass.route, &running.calls);
        }
        self.requests.remove(&pass.request);
    }

    fn release(&mut self, now: Millis, run: Option<(u64, Millis)>) {
        let wakeups = self.queue.release(now, run);
        self.wake(wakeups);
    }

    fn wake(&mut self, wakeups: Wakeups) {
        for place in wakeups.granted {
            self.answer(place, Ok(()));
        }
        for place in wakeups.expired {
            self.answer(place, Err(Rejection::Expired));
        }
        for place in wakeups.yielded {
            self.answer(place, Err(Rejection::Busy(self.queue.time_to_slot())));
        }
    }

    fn answer(&mut self, place: WaitId, answer: Result<()>) {
        if let Some(waiter) = self.waiters.remove(&place) {
            waiter.try_send(answer).ok();
        }
    }
}

fn wish_of(now: Millis, terms: &AttemptTerms) -> SlotRequest {
    SlotRequest {
        route: terms.route,
        priority: terms.priority,
        is_nested: terms.is_nested,
        is_best_effort: terms.is_best_effort,
        target: now + terms.target_left,
        expires: now + terms.max_wait.min(terms.time_left),
    }
}

impl SlotPermit {
    /// Returns the backend server.
    pub fn server(&self) -> &LocalServer {
        &self.resident
    }

    /// Returns the time since the slot was had.
    pub fn age(&self) -> Millis {
        self.gate.clock.now().since(self.start)
    }

    /// Ends the attempt and returns its end.
    pub fn finish(mut self, mut end: AttemptEnd) -> AttemptEnd {
        if let AttemptEnd::Answered(answer) = &mut end {
            answer.is_starved = self.gate.is_starved(&self.request);
        }
        self.is_measured = matches!(
            end,
            AttemptEnd::Answered(_) | AttemptEnd::MayHaveRun(Loss::Late)
        );
        self.record = match (&end, self.repeat) {
            (AttemptEnd::NotRun(_), _) => Record::NotRun,
            (_, Repeat::Once) => Record::Kept(end.clone()),
            (_, Repeat::Idempotent) => Record::Ran,
        };
        end
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let span = now.since(self.start);
        let mut inner = self.gate.lock();
        inner.forget_request(now, self);
        match std::mem::replace(&mut self.record, Record::Ran) {
            Record::NotRun => inner.ledger.revoke(self.key.id),
            Record::Ran => inner.ledger.finish(now, self.key.id, None),
            Record::Kept(end) => inner.ledger.finish(now, self.key.id, Some(end)),
        }
        inner.release(now, self.is_measured.then_some((self.route, span)));
    }
}
