//! Concurrency limiter of one backend server.
//!
//! The number of slots is a hard limit on running calls. Further calls wait in a short queue that
//! is ordered by deadline. A call is refused at once if the queue is full, or if the average run
//! time of calls predicts that it would get a slot only after its deadline. A waiting call whose
//! deadline has passed is dropped when it reaches the head of the queue.
//!
//! Invariants: admission never raises `running` above `slots`, and no call waits while a slot is
//! free.

use rf_base::Millis;
use std::collections::BTreeSet;

/// Inverse weight of the newest call in the average run time.
const SMOOTHING: f64 = 16.0;

/// Position of a waiting call in the queue; calls with an earlier deadline come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Deadline of the call.
    pub deadline: Millis,
    /// Number in order of arrival; breaks ties between equal deadlines.
    pub number: u64,
}

/// Result of [`Limiter::request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call has a slot and may run.
    Run,
    /// The call waits in the queue.
    Wait(Ticket),
    /// The call is refused.
    Refuse,
}

/// Calls that left the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Calls that have a slot now.
    pub granted: Vec<Ticket>,
    /// Calls whose deadline passed while they waited.
    pub expired: Vec<Ticket>,
}

/// Limiter with a queue of waiting calls.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: u32,
    queue_capacity: u32,
    running: u32,
    waiting: BTreeSet<Ticket>,
    last_number: u64,
    /// Average run time in milliseconds.
    average_run: f64,
}

impl Limiter {
    /// Creates a limiter for at most `slots` running and `queue_capacity` waiting calls.
    pub fn new(slots: u32, queue_capacity: u32) -> Limiter {
        Limiter {
            slots,
            queue_capacity,
            running: 0,
            waiting: BTreeSet::new(),
            last_number: 0,
            average_run: 0.0,
        }
    }

    /// Changes the limits; running calls are not interrupted.
    pub fn resize(&mut self, now: Millis, slots: u32, queue_capacity: u32) -> Dequeued {
        self.slots = slots;
        self.queue_capacity = queue_capacity;
        self.grant(now)
    }

    /// Requests a slot for a call with the given deadline.
    pub fn request(&mut self, now: Millis, deadline: Millis) -> Admission {
        if self.running < self.slots {
            self.running += 1;
            return Admission::Run;
        }
        let is_full = self.waiting.len() >= self.queue_capacity as usize;
        if is_full || now + self.expected_wait() >= deadline {
            return Admission::Refuse;
        }
        self.last_number += 1;
        let ticket = Ticket {
            deadline,
            number: self.last_number,
        };
        self.waiting.insert(ticket);
        Admission::Wait(ticket)
    }

    /// Releases the slot of a call that ran for `span`.
    pub fn release(&mut self, now: Millis, span: Millis) -> Dequeued {
        debug_assert!(self.running > 0);
        self.running = self.running.saturating_sub(1);
        self.average_run += (span.0 as f64 - self.average_run) / SMOOTHING;
        self.grant(now)
    }

    /// Removes all waiting calls and returns them.
    pub fn drain(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.waiting).into_iter().collect()
    }

    /// Removes a waiting call; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket)
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    fn expected_wait(&self) -> Millis {
        let ahead = self.waiting.len() as f64 + 1.0;
        Millis((ahead * self.average_run / f64::from(self.slots.max(1))) as u64)
    }

    fn grant(&mut self, now: Millis) -> Dequeued {
        let mut dequeued = Dequeued::default();
        while self.running < self.slots {
            let Some(ticket) = self.waiting.pop_first() else {
                break;
            };
            if ticket.deadline <= now {
                dequeued.expired.push(ticket);
                continue;
            }
            self.running += 1;
            dequeued.granted.push(ticket);
        }
        debug_assert!(self.waiting.is_empty() || self.running >= self.slots);
        dequeued
    }
}
