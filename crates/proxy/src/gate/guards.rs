//! Guards that keep the state of an attempt in the gate and remove it when they are dropped.

use super::{Gate, Result};
use async_channel::Receiver;
use rf_base::{AttemptId, Millis};
use rf_protocol::relay::Rejection;
use rf_traffic::admission::WaitId;

/// Counts the body of an admitted attempt as incoming until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    pub(super) gate: Gate,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.gate.lock().incoming_bodies -= 1;
    }
}

/// Marks an attempt as pending in answers to queries until it is dropped.
#[derive(Debug)]
pub struct PendingGuard {
    pub(super) gate: Gate,
    pub(super) id: AttemptId,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.gate.lock().pending.remove(&self.id);
    }
}

/// Marks the reply of an attempt as not yet sent until it is dropped.
#[derive(Debug)]
pub struct PendingReply {
    pub(super) gate: Gate,
    pub(super) id: AttemptId,
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.gate.lock().unsent_replies.remove(&self.id);
    }
}

/// An attempt that waits for a slot. Dropping it leaves the queue, and returns a slot that was
/// granted but not taken.
#[derive(Debug)]
pub(super) struct SlotWait {
    pub(super) gate: Gate,
    pub(super) id: AttemptId,
    pub(super) wait_id: WaitId,
    pub(super) receiver: Receiver<Result<()>>,
    /// Whether the queue has answered, so that there is no position left to cancel.
    pub(super) is_answered: bool,
}

impl SlotWait {
    /// Waits at most `limit` for the slot.
    pub(super) async fn finish(mut self, limit: Millis) -> Result<()> {
        let answer = async_std::future::timeout(limit.duration(), self.receiver.recv()).await;
        match answer {
            Ok(answer) => {
                self.is_answered = true;
                answer.unwrap_or(Err(Rejection::NotHere))
            }
            Err(_) => Err(Rejection::Expired),
        }
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        inner.pending.remove(&self.id);
        if self.is_answered {
            return;
        }
        if inner.queue.cancel(self.wait_id) {
            inner.waiters.remove(&self.wait_id);
        } else if self.receiver.try_recv() == Ok(Ok(())) {
            let now = self.gate.clock.now();
            self.gate.release(now, &mut inner, None);
        }
    }
}
