//! Admission to one backend server.
//!
//! The slots are a hard limit on running calls. Behind them waits a short queue, ordered by
//! deadline. A call is refused at once where the queue is full, or where the usual running time of
//! calls says that its turn would come after its deadline. A waiting call whose deadline passes is
//! dropped when its turn comes.
//!
//! Invariants: `running` never exceeds `slots` through admission, and no call waits while a slot is
//! free.

use rf_base::Millis;
use std::collections::BTreeSet;

/// Weight of the newest call in the usual running time, as a divisor.
const SMOOTHING: f64 = 16.0;

/// Place of a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Deadline of the call.
    pub deadline: Millis,
    /// Order of arrival.
    pub number: u64,
}

/// Answer to a call that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot.
    Run,
    /// It waits.
    Wait(Ticket),
    /// It is refused.
    Refuse,
}

/// Tickets whose wait is over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Calls that have a slot now.
    pub granted: Vec<Ticket>,
    /// Calls whose deadline passed.
    pub expired: Vec<Ticket>,
}

/// State of the limiter.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: u32,
    queue: u32,
    running: u32,
    waiting: BTreeSet<Ticket>,
    numbers: u64,
    usual: f64,
}

impl Limiter {
    /// Makes a limiter with `slots` running and `queue` waiting calls at most.
    pub fn new(slots: u32, queue: u32) -> Limiter {
        Limiter {
            slots,
            queue,
            running: 0,
            waiting: BTreeSet::new(),
            numbers: 0,
            usual: 0.0,
        }
    }

    /// Changes the limits; calls that run already are not disturbed.
    pub fn resize(&mut self, now: Millis, slots: u32, queue: u32) -> Dequeued {
        self.slots = slots;
        self.queue = queue;
        self.grant(now)
    }

    /// Asks for a slot.
    pub fn request(&mut self, now: Millis, deadline: Millis) -> Admission {
        if self.running < self.slots {
            self.running += 1;
            return Admission::Run;
        }
        let is_full = self.waiting.len() >= self.queue as usize;
        if is_full || now + self.expected_wait() >= deadline {
            return Admission::Refuse;
        }
        self.numbers += 1;
        let ticket = Ticket {
            deadline,
            number: self.numbers,
        };
        self.waiting.insert(ticket);
        Admission::Wait(ticket)
    }

    /// Gives a slot back after a call that ran for `span`.
    pub fn release(&mut self, now: Millis, span: Millis) -> Dequeued {
        debug_assert!(self.running > 0);
        self.running = self.running.saturating_sub(1);
        self.usual += (span.0 as f64 - self.usual) / SMOOTHING;
        self.grant(now)
    }

    /// Gives every waiting call up; returns them.
    pub fn drain(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.waiting).into_iter().collect()
    }

    /// Gives a waiting call up; returns whether it still waited.
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
        Millis((ahead * self.usual / f64::from(self.slots.max(1))) as u64)
    }

    fn grant(&mut self, now: Millis) -> Dequeued {
        let mut turn = Dequeued::default();
        while self.running < self.slots {
            let Some(ticket) = self.waiting.pop_first() else {
                break;
            };
            if ticket.deadline <= now {
                turn.expired.push(ticket);
                continue;
            }
            self.running += 1;
            turn.granted.push(ticket);
        }
        debug_assert!(self.waiting.is_empty() || self.running >= self.slots);
        turn
    }
}
