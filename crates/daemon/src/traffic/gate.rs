//! The gate before the backend server of this instance: ledger, limiter and announcement.
//!
//! Every attempt passes here and holds a [`Pass`] while it runs. Dropping the pass gives the slot
//! back and records the attempt as ended, whatever became of it.

use super::answer::Answer;
use crate::control::event::{Announcement, GateState};
use async_channel::{Receiver, Sender, bounded};
use rf_base::{AttemptId, Clock, Millis};
use rf_protocol::AttemptHeader;
use rf_traffic::limiter::Dequeued;
use rf_traffic::{
    Admission, AttemptStatus, BeginResult, Ledger, LedgerSettings, Limiter, RefusalReason, Ticket,
};
use rf_transport::timer::timeout;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Answer of the gate.
pub type Result<T> = std::result::Result<T, RefusalReason>;

/// The gate; cheap to clone.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
}

#[derive(Debug)]
struct Inner {
    state: GateState,
    limiter: Limiter,
    ledger: Ledger<Arc<Answer>>,
    waiters: BTreeMap<Ticket, Sender<Result<()>>>,
    cancels: BTreeMap<AttemptId, Sender<()>>,
}

/// How an attempt that passed the gate ended.
#[derive(Debug)]
enum End {
    Finished(Option<Arc<Answer>>),
    NotRun,
}

/// Permission to run one attempt.
#[derive(Debug)]
pub struct Pass {
    gate: Gate,
    id: AttemptId,
    server: Announcement,
    start: Millis,
    end: End,
}

/// Tells a running attempt that it is cancelled.
#[derive(Debug)]
pub struct Cancelled(Receiver<()>);

impl Cancelled {
    /// Waits until the attempt is cancelled.
    pub async fn wait(&self) {
        if self.0.recv().await.is_err() {
            futures_lite::future::pending::<()>().await;
        }
    }
}

impl Gate {
    /// Makes a gate that lets nothing through yet.
    pub fn new(settings: LedgerSettings, clock: Clock) -> Gate {
        let inner = Inner {
            state: GateState::default(),
            limiter: Limiter::new(0, 0),
            ledger: Ledger::new(settings),
            waiters: BTreeMap::new(),
            cancels: BTreeMap::new(),
        };
        Gate {
            inner: Arc::new(Mutex::new(inner)),
            clock,
        }
    }

    /// Puts a new state in force.
    pub fn set_state(&self, state: GateState) {
        let mut inner = self.lock();
        let slots = state.server.as_ref().map_or(0, |s| s.slots);
        let turn = inner.limiter.resize(self.clock.now(), slots, state.queue);
        inner.state = state;
        inner.wake(turn);
        if inner.state.server.is_none() {
            // Nothing will free a slot any more, so nobody waits for one.
            for ticket in inner.limiter.drain() {
                inner.answer(ticket, Err(RefusalReason::Leaving));
            }
        }
    }

    /// Returns the attempts that run or wait.
    pub fn running(&self) -> usize {
        let inner = self.lock();
        inner.ledger.running() + inner.limiter.waiting()
    }

    /// Returns the load in percent of the slots, waiting calls included.
    pub fn load_percent(&self) -> u32 {
        let inner = self.lock();
        let busy = inner.limiter.running() + inner.limiter.waiting() as u32;
        busy * 100 / inner.limiter.slots().max(1)
    }

    /// Returns whether a status of the backend server promises that a request did not run.
    pub fn is_shed(&self, status: u16) -> bool {
        self.lock().state.shed_status.contains(&status)
    }

    /// Says what is known about an attempt; an unseen one is revoked.
    pub fn ask(&self, header: &AttemptHeader) -> AttemptStatus<Arc<Answer>> {
        let now = self.clock.now();
        self.lock().ledger.query(now, header)
    }

    /// Cancels a running attempt; one that has not begun never will.
    pub fn cancel(&self, header: &AttemptHeader) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.ledger.query(now, header);
        if let Some(cancel) = inner.cancels.get(&header.id) {
            cancel.try_send(()).ok();
        }
    }

    /// Drops the records of attempts whose sender has the answer.
    pub fn settle(&self, ids: &[AttemptId]) {
        let mut inner = self.lock();
        for id in ids {
            inner.ledger.acknowledge(*id);
        }
    }

    /// Waits for a slot and records the attempt as running.
    ///
    /// # Errors
    ///
    /// Returns why the attempt must not run.
    pub async fn enter(
        &self,
        header: &AttemptHeader,
        deadline: Millis,
    ) -> Result<(Pass, Cancelled)> {
        let waiting = self.admit(deadline)?;
        if let Some(mut waiting) = waiting {
            waiting.wait(deadline.since(self.clock.now())).await?;
            waiting.is_over = true;
        }
        self.begin(header)
    }

    fn admit(&self, deadline: Millis) -> Result<Option<Waiting>> {
        let mut inner = self.lock();
        if inner.state.is_leaving || inner.state.server.is_none() {
            return Err(RefusalReason::Leaving);
        }
        match inner.limiter.request(self.clock.now(), deadline) {
            Admission::Run => Ok(None),
            Admission::Refuse => Err(RefusalReason::Busy),
            Admission::Wait(ticket) => {
                let (sender, receiver) = bounded(1);
                inner.waiters.insert(ticket, sender);
                Ok(Some(Waiting {
                    gate: self.clone(),
                    ticket,
                    receiver,
                    is_over: false,
                }))
            }
        }
    }

    /// Records the attempt; the slot is held already.
    fn begin(&self, header: &AttemptHeader) -> Result<(Pass, Cancelled)> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let server = inner.state.server.clone().ok_or(RefusalReason::Leaving);
        let begun = match (&server, inner.ledger.begin(now, header)) {
            (Err(reason), BeginResult::Run) => {
                inner.ledger.revoke(header.id);
                Err(*reason)
            }
            (_, BeginResult::Run) => Ok(()),
            (_, BeginResult::Expired) => Err(RefusalReason::Expired),
            (_, BeginResult::Revoked) => Err(RefusalReason::Revoked),
            (_, BeginResult::WrongIncarnation) => Err(RefusalReason::ForeignLife),
            (_, BeginResult::Full) => Err(RefusalReason::LedgerFull),
        };
        match (begun, server) {
            (Ok(()), Ok(server)) => {
                let (cancel, cancelled) = bounded(1);
                inner.cancels.insert(header.id, cancel);
                let pass = Pass {
                    gate: self.clone(),
                    id: header.id,
                    server,
                    start: now,
                    end: End::Finished(None),
                };
                Ok((pass, Cancelled(cancelled)))
            }
            (Err(reason), _) | (_, Err(reason)) => {
                inner.release(now, Millis::ZERO);
                Err(reason)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn release(&mut self, now: Millis, span: Millis) {
        let turn = self.limiter.release(now, span);
        self.wake(turn);
    }

    fn wake(&mut self, turn: Dequeued) {
        for ticket in turn.granted {
            self.answer(ticket, Ok(()));
        }
        for ticket in turn.expired {
            self.answer(ticket, Err(RefusalReason::Expired));
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Result<()>) {
        let waiter = self.waiters.remove(&ticket);
        debug_assert!(waiter.is_some());
        if let Some(waiter) = waiter {
            waiter.try_send(answer).ok();
        }
    }
}

/// A call that waits for a slot.
struct Waiting {
    gate: Gate,
    ticket: Ticket,
    receiver: Receiver<Result<()>>,
    is_over: bool,
}

impl Waiting {
    async fn wait(&mut self, limit: Millis) -> Result<()> {
        match timeout(limit, self.receiver.recv()).await {
            Ok(Ok(Ok(()))) => Ok(()),
            Ok(Ok(Err(reason))) => {
                self.is_over = true;
                Err(reason)
            }
            Ok(Err(_)) => {
                self.is_over = true;
                Err(RefusalReason::Leaving)
            }
            Err(_) => Err(RefusalReason::Expired),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let mut inner = self.gate.lock();
        if inner.limiter.cancel(self.ticket) {
            inner.waiters.remove(&self.ticket);
        } else if self.receiver.try_recv() == Ok(Ok(())) {
            inner.release(self.gate.clock.now(), Millis::ZERO);
        }
    }
}

impl Pass {
    /// Returns the backend server as announced.
    pub fn server(&self) -> &Announcement {
        &self.server
    }

    /// Returns the time since the attempt began.
    pub fn age(&self) -> Millis {
        self.gate.clock.now().since(self.start)
    }

    /// Ends the attempt with an answer to keep.
    pub fn finish(mut self, answer: Option<Arc<Answer>>) {
        self.end = End::Finished(answer);
    }

    /// Ends the attempt as not run.
    pub fn revoke(mut self) {
        self.end = End::NotRun;
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let span = now.since(self.start);
        let mut inner = self.gate.lock();
        inner.cancels.remove(&self.id);
        match std::mem::replace(&mut self.end, End::NotRun) {
            End::Finished(answer) => inner.ledger.finish(now, self.id, answer),
            End::NotRun => inner.ledger.revoke(self.id),
        }
        inner.release(now, span);
    }
}
