//! Admission control for the backend server of this instance.
//!
//! The gate combines the ledger of attempts, the concurrency limiter and the announcement of the
//! backend server. Every attempt must acquire a [`SlotPermit`] and holds it while it runs. Dropping
//! the permit releases the slot and records the attempt as ended, however it ended.

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

/// Result of a request to the gate; the error states why the attempt must not run.
pub type Result<T> = std::result::Result<T, RefusalReason>;

/// Handle to the gate; clones share one state.
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
    cancel_senders: BTreeMap<AttemptId, Sender<()>>,
}

/// How an attempt that held a permit ended.
#[derive(Debug)]
enum PermitEnd {
    Finished(Option<Arc<Answer>>),
    NotRun,
}

/// Slot at the backend server, held by one attempt until it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Gate,
    id: AttemptId,
    server: Announcement,
    start: Millis,
    end: PermitEnd,
}

/// Signal that tells a running attempt that it was cancelled.
#[derive(Debug)]
pub struct CancelSignal(Receiver<()>);

impl CancelSignal {
    /// Waits until the attempt is cancelled; never returns if it ends without that.
    pub async fn wait(&self) {
        if self.0.recv().await.is_err() {
            futures_lite::future::pending::<()>().await;
        }
    }
}

impl Gate {
    /// Creates a gate that refuses every attempt until a state with a backend server is set.
    pub fn new(settings: LedgerSettings, clock: Clock) -> Gate {
        let inner = Inner {
            state: GateState::default(),
            limiter: Limiter::new(0, 0),
            ledger: Ledger::new(settings),
            waiters: BTreeMap::new(),
            cancel_senders: BTreeMap::new(),
        };
        Gate {
            inner: Arc::new(Mutex::new(inner)),
            clock,
        }
    }

    /// Applies a new state.
    ///
    /// If it has no backend server, all waiting calls are refused.
    pub fn set_state(&self, state: GateState) {
        let mut inner = self.lock();
        let slots = state.server.as_ref().map_or(0, |s| s.slots);
        let dequeued = inner.limiter.resize(self.clock.now(), slots, state.queue);
        inner.state = state;
        inner.notify_dequeued(dequeued);
        if inner.state.server.is_none() {
            // No slot will be granted any more, so the waiting calls are refused now.
            for ticket in inner.limiter.drain() {
                inner.notify(ticket, Err(RefusalReason::Leaving));
            }
        }
    }

    /// Returns the number of attempts that are running or waiting for a slot.
    pub fn in_flight(&self) -> usize {
        let inner = self.lock();
        inner.ledger.running() + inner.limiter.waiting()
    }

    /// Returns the number of running and waiting calls, in percent of the slots.
    pub fn load_percent(&self) -> u32 {
        let inner = self.lock();
        let occupied = inner.limiter.running() + inner.limiter.waiting() as u32;
        occupied * 100 / inner.limiter.slots().max(1)
    }

    /// Returns whether a response of the backend server with this status code guarantees that the
    /// request did not run.
    pub fn is_shed_status(&self, status: u16) -> bool {
        self.lock().state.shed_status.contains(&status)
    }

    /// Returns the status of an attempt; an unseen one is revoked in the same step.
    pub fn query(&self, header: &AttemptHeader) -> AttemptStatus<Arc<Answer>> {
        let now = self.clock.now();
        self.lock().ledger.query(now, header)
    }

    /// Cancels a running attempt, and revokes one that has not begun.
    pub fn cancel(&self, header: &AttemptHeader) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.ledger.query(now, header);
        if let Some(cancel) = inner.cancel_senders.get(&header.id) {
            cancel.try_send(()).ok();
        }
    }

    /// Drops the records of attempts whose senders have received the answers.
    pub fn acknowledge(&self, ids: &[AttemptId]) {
        let mut inner = self.lock();
        for id in ids {
            inner.ledger.acknowledge(*id);
        }
    }

    /// Waits for a slot and records the attempt as running.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the attempt must not run.
    pub async fn acquire(
        &self,
        header: &AttemptHeader,
        deadline: Millis,
    ) -> Result<(SlotPermit, CancelSignal)> {
        let waiter = self.admit(deadline)?;
        if let Some(mut waiter) = waiter {
            waiter.wait(deadline.since(self.clock.now())).await?;
            waiter.is_finished = true;
        }
        self.begin(header)
    }

    fn admit(&self, deadline: Millis) -> Result<Option<Waiter>> {
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
                Ok(Some(Waiter {
                    gate: self.clone(),
                    ticket,
                    receiver,
                    is_finished: false,
                }))
            }
        }
    }

    /// Records the attempt as running; the caller holds a slot, which is released on an error.
    fn begin(&self, header: &AttemptHeader) -> Result<(SlotPermit, CancelSignal)> {
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
            (_, BeginResult::WrongIncarnation) => Err(RefusalReason::WrongIncarnation),
            (_, BeginResult::Full) => Err(RefusalReason::LedgerFull),
        };
        match (begun, server) {
            (Ok(()), Ok(server)) => {
                let (cancel, signal) = bounded(1);
                inner.cancel_senders.insert(header.id, cancel);
                let permit = SlotPermit {
                    gate: self.clone(),
                    id: header.id,
                    server,
                    start: now,
                    end: PermitEnd::Finished(None),
                };
                Ok((permit, CancelSignal(signal)))
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
    fn release(&mut self, now: Millis, run_time: Millis) {
        let dequeued = self.limiter.release(now, run_time);
        self.notify_dequeued(dequeued);
    }

    fn notify_dequeued(&mut self, dequeued: Dequeued) {
        for ticket in dequeued.granted {
            self.notify(ticket, Ok(()));
        }
        for ticket in dequeued.expired {
            self.notify(ticket, Err(RefusalReason::Expired));
        }
    }

    fn notify(&mut self, ticket: Ticket, result: Result<()>) {
        let waiter = self.waiters.remove(&ticket);
        debug_assert!(waiter.is_some());
        if let Some(waiter) = waiter {
            waiter.try_send(result).ok();
        }
    }
}

/// Call that waits for a slot.
///
/// Dropping it removes the call from the queue, or releases the slot if one was already granted.
struct Waiter {
    gate: Gate,
    ticket: Ticket,
    receiver: Receiver<Result<()>>,
    is_finished: bool,
}

impl Waiter {
    async fn wait(&mut self, limit: Millis) -> Result<()> {
        match timeout(limit, self.receiver.recv()).await {
            Ok(Ok(Ok(()))) => Ok(()),
            Ok(Ok(Err(reason))) => {
                self.is_finished = true;
                Err(reason)
            }
            Ok(Err(_)) => {
                self.is_finished = true;
                Err(RefusalReason::Leaving)
            }
            Err(_) => Err(RefusalReason::Expired),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.is_finished {
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

impl SlotPermit {
    /// Returns the announcement of the backend server at the time the attempt began.
    pub fn server(&self) -> &Announcement {
        &self.server
    }

    /// Returns the time since the attempt began to run.
    pub fn age(&self) -> Millis {
        self.gate.clock.now().since(self.start)
    }

    /// Ends the attempt and stores its answer in the ledger, if there is one to store.
    pub fn finish(mut self, answer: Option<Arc<Answer>>) {
        self.end = PermitEnd::Finished(answer);
    }

    /// Ends the attempt and records that it did not run.
    pub fn revoke(mut self) {
        self.end = PermitEnd::NotRun;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let run_time = now.since(self.start);
        let mut inner = self.gate.lock();
        inner.cancel_senders.remove(&self.id);
        match std::mem::replace(&mut self.end, PermitEnd::NotRun) {
            PermitEnd::Finished(answer) => inner.ledger.finish(now, self.id, answer),
            PermitEnd::NotRun => inner.ledger.revoke(self.id),
        }
        inner.release(now, run_time);
    }
}
