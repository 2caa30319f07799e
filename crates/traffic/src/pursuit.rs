//! How one request is pursued over several backend servers.
//!
//! An offer that a gate refused has not reached a backend server; it costs nothing but a round trip
//! and the next server may be tried. Whatever may have reached a backend server counts against the
//! route's limit, and a repeat of it draws on the retry budget, which all daemons share.

use crate::retry::Allowance;
use rf_base::{InstanceId, Verdict};
use rf_config::Repeat;
use rf_protocol::relay::{AttemptEnd, Loss, Rejection, ServerAnswer};
use std::collections::BTreeSet;

/// Backend servers on which a request may crash before it is given up.
const MAX_CRASHES: u32 = 2;
/// Least status code of a failure of the backend server.
const FAILURE: u16 = 500;
/// Status code of a backend server that ran out of time.
const TIMED_OUT: u16 = 504;

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Offer it to another backend server.
    Retry,
    /// Tell the caller.
    GiveUp,
}

/// Progress of one request.
#[derive(Clone, Debug)]
pub struct Pursuit {
    repeat: Repeat,
    limit: u32,
    reached: u32,
    crashes: u32,
    verdict: Verdict,
    tried: BTreeSet<InstanceId>,
    failure: Option<ServerAnswer>,
}

impl Pursuit {
    /// Makes the progress of a request that may reach `limit` backend servers.
    pub fn new(repeat: Repeat, limit: u32) -> Pursuit {
        Pursuit {
            repeat,
            limit,
            reached: 0,
            crashes: 0,
            verdict: Verdict::NotRun,
            tried: BTreeSet::new(),
            failure: None,
        }
    }

    /// Returns the instances that were tried.
    pub fn tried(&self) -> &BTreeSet<InstanceId> {
        &self.tried
    }

    /// Makes every instance eligible again that only refused for lack of room.
    pub fn forget_tried(&mut self) {
        self.tried.clear();
    }

    /// Returns whether the request may have run, over all its attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the number of attempts that may have reached a backend server.
    pub fn reached(&self) -> u32 {
        self.reached
    }

    /// Takes the failure that a backend server answered with, where no later one did better.
    pub fn take_failure(&mut self) -> Option<ServerAnswer> {
        self.failure.take()
    }

    /// Takes in the end of an attempt that brought no success, and decides what follows.
    pub fn handle(
        &mut self,
        instance: InstanceId,
        end: AttemptEnd,
        budget: &mut Allowance<'_>,
    ) -> Next {
        self.tried.insert(instance);
        match end {
            AttemptEnd::Answered(answer) => self.after_answer(answer, budget),
            AttemptEnd::NotRun(rejection) => self.after_rejection(rejection, budget),
            AttemptEnd::MayHaveRun(loss) => self.after_loss(loss, budget),
        }
    }

    fn after_answer(&mut self, answer: ServerAnswer, budget: &mut Allowance<'_>) -> Next {
        self.verdict = Verdict::Ran;
        self.reached += 1;
        let is_worth_repeating = answer.status >= FAILURE && answer.status != TIMED_OUT;
        self.failure = Some(answer);
        match is_worth_repeating {
            true => self.repeat(budget),
            false => Next::GiveUp,
        }
    }

    fn after_rejection(&mut self, rejection: Rejection, budget: &mut Allowance<'_>) -> Next {
        match rejection {
            Rejection::Busy(_)
            | Rejection::NotHere
            | Rejection::Unconnected
            | Rejection::Revoked
            | Rejection::ForeignLife => Next::Retry,
            Rejection::Shed if budget.take() => Next::Retry,
            Rejection::Shed | Rejection::Expired => Next::GiveUp,
        }
    }

    fn after_loss(&mut self, loss: Loss, budget: &mut Allowance<'_>) -> Next {
        self.verdict = self.verdict.join(Verdict::MayHaveRun);
        self.reached += 1;
        self.crashes += u32::from(loss == Loss::Crashed);
        match loss {
            Loss::Late | Loss::Cancelled => Next::GiveUp,
            _ => self.repeat(budget),
        }
    }

    fn repeat(&self, budget: &mut Allowance<'_>) -> Next {
        let is_allowed = self.repeat == Repeat::Idempotent
            && self.reached < self.limit
            && self.crashes < MAX_CRASHES;
        match is_allowed && budget.take() {
            true => Next::Retry,
            false => Next::GiveUp,
        }
    }
}
