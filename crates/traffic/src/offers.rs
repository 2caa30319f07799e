//! How one request is pursued over several backend servers.
//!
//! An offer that a gate refused has not reached a backend server; it costs nothing but a round trip
//! and the next server may be tried. Whatever may have reached a backend server counts against the
//! route's limit, and a repeat of it draws on the retry budget, which all daemons share.

use crate::retry::ReservedBudget;
use rf_base::{InstanceId, Millis, Verdict};
use rf_config::Repeat;
use rf_protocol::relay::{AttemptEnd, Loss, Rejection, ServerAnswer};
use std::collections::BTreeSet;

/// Backend servers on which a request may crash before it is given up.
const MAX_CRASHES: u32 = 2;
/// Least status code of a failure of the backend server.
const MIN_FAILURE_STATUS: u16 = 500;
/// Status code of a backend server that ran out of time.
const TIMEOUT_STATUS: u16 = 504;

/// Refusals for lack of room after which a round of offers ends, by round. The servers that placement
/// expects to be free come first, so a few refusals tell that the others are busy as well.
const ROUND_REFUSALS: [u32; 2] = [3, 1];
/// Part of the time to the target after which no further offer is made in a round, by round. A
/// refusal that comes sooner leaves its caller the time to return.
const ROUND_FRACTIONS: [f64; 2] = [0.25, 0.5];

/// Times that bound the wait of an offer for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferTimes {
    /// Time left until the request is given up.
    pub left: Millis,
    /// Time left until the answer is worth less.
    pub target: Millis,
    /// Usual time of a run.
    pub usual: Millis,
}

/// Parts of the time to spare that an offer may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitFractions {
    /// In the first round, of the time to spare before the target.
    pub first_round: f64,
    /// In the last round, of the time to spare before the request is given up.
    pub last_round: f64,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Offer it to another backend server.
    Retry,
    /// Tell the caller.
    GiveUp,
}

/// Progress of one request.
#[derive(Clone, Debug)]
pub struct RetryState {
    repeat: Repeat,
    limit: u32,
    reached: u32,
    crashes: u32,
    verdict: Verdict,
    tried: BTreeSet<InstanceId>,
    failure: Option<ServerAnswer>,
    round: usize,
    refusals: u32,
    slot_wait: Option<Millis>,
}

impl RetryState {
    /// Makes the progress of a request that may reach `limit` backend servers.
    pub fn new(repeat: Repeat, limit: u32) -> RetryState {
        RetryState {
            repeat,
            limit,
            reached: 0,
            crashes: 0,
            verdict: Verdict::NotRun,
            tried: BTreeSet::new(),
            failure: None,
            round: 0,
            refusals: 0,
            slot_wait: None,
        }
    }

    /// Returns the instances that were tried.
    pub fn tried(&self) -> &BTreeSet<InstanceId> {
        &self.tried
    }

    /// Returns whether the request is in its last round, in which it waits longer for what others
    /// leave.
    pub fn is_last_round(&self) -> bool {
        self.round + 1 == ROUND_REFUSALS.len()
    }

    /// Returns how long the next offer may wait for a slot.
    pub fn max_wait(&self, times: OfferTimes, fractions: WaitFractions) -> Millis {
        match self.is_last_round() {
            false => fraction_of(times.target.since(times.usual), fractions.first_round),
            true => fraction_of(times.left.since(times.usual), fractions.last_round),
        }
    }

    /// Returns whether no further offer is to be made in this round, `age` after the request came,
    /// as too many instances or too slowly refused it for lack of room.
    pub fn is_round_over(&self, age: Millis, target: Millis) -> bool {
        if self.refusals == 0 || self.verdict != Verdict::NotRun {
            return false;
        }
        let limit = target.0 as f64 * ROUND_FRACTIONS[self.round];
        self.refusals >= ROUND_REFUSALS[self.round] || age.0 as f64 > limit
    }

    /// Begins the next round, in which every instance is eligible again; returns `false` where there
    /// is none, or the request may have run.
    pub fn begin_round(&mut self) -> bool {
        if self.is_last_round() || self.verdict != Verdict::NotRun {
            return false;
        }
        self.round += 1;
        self.refusals = 0;
        self.tried.clear();
        true
    }

    /// Returns the shortest time until room is expected, of those that refused for lack of it.
    pub fn slot_wait(&self) -> Option<Millis> {
        self.slot_wait
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
        budget: &mut ReservedBudget<'_>,
    ) -> RetryDecision {
        self.tried.insert(instance);
        match end {
            AttemptEnd::Answered(answer) => self.after_answer(answer, budget),
            AttemptEnd::NotRun(rejection) => self.after_rejection(rejection, budget),
            AttemptEnd::MayHaveRun(loss) => self.after_loss(loss, budget),
        }
    }

    fn after_answer(
        &mut self,
        answer: ServerAnswer,
        budget: &mut ReservedBudget<'_>,
    ) -> RetryDecision {
        self.verdict = Verdict::Ran;
        self.reached += 1;
        // A repeat would ask the service that had no room for the run's calls again.
        let is_worth_repeating = answer.status >= MIN_FAILURE_STATUS
            && answer.status != TIMEOUT_STATUS
            && !answer.is_starved;
        self.failure = Some(answer);
        match is_worth_repeating {
            true => self.repeat(budget),
            false => RetryDecision::GiveUp,
        }
    }

    fn after_rejection(
        &mut self,
        rejection: Rejection,
        budget: &mut ReservedBudget<'_>,
    ) -> RetryDecision {
        if let Rejection::Busy(wait) | Rejection::Starved(wait) = rejection {
            self.refusals += 1;
            self.slot_wait = Some(self.slot_wait.map_or(wait, |least| least.min(wait)));
        }
        match rejection {
            Rejection::Busy(_)
            | Rejection::NotHere
            | Rejection::Unconnected
            | Rejection::Revoked
            | Rejection::WrongIncarnation => RetryDecision::Retry,
            Rejection::Shed if budget.withdraw() => RetryDecision::Retry,
            Rejection::Shed | Rejection::Expired | Rejection::Starved(_) => RetryDecision::GiveUp,
        }
    }

    fn after_loss(&mut self, loss: Loss, budget: &mut ReservedBudget<'_>) -> RetryDecision {
        self.verdict = self.verdict.join(Verdict::MayHaveRun);
        self.reached += 1;
        self.crashes += u32::from(loss == Loss::Crashed);
        match loss {
            Loss::Late | Loss::Cancelled => RetryDecision::GiveUp,
            _ => self.repeat(budget),
        }
    }

    fn repeat(&self, budget: &mut ReservedBudget<'_>) -> RetryDecision {
        let is_allowed = self.repeat == Repeat::Idempotent
            && self.reached < self.limit
            && self.crashes < MAX_CRASHES;
        match is_allowed && budget.withdraw() {
            true => RetryDecision::Retry,
            false => RetryDecision::GiveUp,
        }
    }
}

fn fraction_of(span: Millis, fraction: f64) -> Millis {
    Millis((span.0 as f64 * fraction) as u64)
}
