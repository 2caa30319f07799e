//! Retries of one request over several backend servers.
//!
//! An offer is a request to the gate of a backend server, which limits the requests that the server
//! runs. An offer that the gate refuses never reaches the server. It costs only one round trip, so
//! the next server can be tried. An attempt that may have reached a backend server counts against
//! the attempt limit of the route, and repeating it draws on the retry budget that all daemons
//! share.

use crate::retry::ReservedBudget;
use rf_base::{InstanceId, Millis, Verdict};
use rf_config::RepeatPolicy;
use rf_protocol::relay::{AttemptEnd, Loss, Rejection, ServerAnswer};
use std::collections::BTreeSet;

/// Number of attempts ended by a crash of the backend server after which a request is given up.
const MAX_CRASHES: u32 = 2;
/// Lowest HTTP status code that counts as a failure of the backend server.
const MIN_FAILURE_STATUS: u16 = 500;
/// HTTP status code of a backend server that ran out of time.
const TIMEOUT_STATUS: u16 = 504;

/// Number of refusals for lack of a slot that ends each round. Placement returns the servers that
/// it expects to be free first, so a few refusals indicate that the others are busy as well.
const ROUND_REFUSALS: [u32; 2] = [3, 1];
/// Fraction of the target time after which each round ends. Refusing early leaves the caller enough
/// time to come back.
const ROUND_FRACTIONS: [f64; 2] = [0.25, 0.5];

/// Times that limit how long an offer waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferTimes {
    /// Time left until the deadline of the request.
    pub left: Millis,
    /// Time left until the target time, after which the answer is worth less.
    pub target: Millis,
    /// Typical run time.
    pub run_time: Millis,
}

/// Fractions of the spare time that an offer may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitFractions {
    /// Fraction in the first round, of the spare time before the target.
    pub first_round: f64,
    /// Fraction in the last round, of the spare time before the deadline.
    pub last_round: f64,
}

/// Action after an unsuccessful attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Offer the request to another backend server.
    Retry,
    /// Report the failure or the refusal to the caller.
    GiveUp,
}

/// State of one request across its offers.
#[derive(Clone, Debug)]
pub struct RetryState {
    repeat: RepeatPolicy,
    limit: u32,
    reached: u32,
    crashes: u32,
    verdict: Verdict,
    tried: BTreeSet<InstanceId>,
    tried_before: BTreeSet<InstanceId>,
    failure: Option<ServerAnswer>,
    round: usize,
    refusals: u32,
    slot_wait: Option<Millis>,
    wait_limit: Option<Millis>,
    was_shed: bool,
}

impl RetryState {
    /// Creates the state of a request that may reach a backend server up to `limit` times.
    pub fn new(repeat: RepeatPolicy, limit: u32) -> RetryState {
        RetryState {
            repeat,
            limit,
            reached: 0,
            crashes: 0,
            verdict: Verdict::NotRun,
            tried: BTreeSet::new(),
            tried_before: BTreeSet::new(),
            failure: None,
            round: 0,
            refusals: 0,
            slot_wait: None,
            wait_limit: None,
            was_shed: false,
        }
    }

    /// Returns the instances that were tried in this round.
    pub fn tried(&self) -> &BTreeSet<InstanceId> {
        &self.tried
    }

    /// Returns the instances that were tried in this round or an earlier one, or `None` if no round
    /// came before.
    pub fn ever_tried(&self) -> Option<BTreeSet<InstanceId>> {
        let has_earlier = !self.tried_before.is_empty();
        has_earlier.then(|| self.tried_before.union(&self.tried).copied().collect())
    }

    /// Returns whether the request is in its last round, in which it waits longer, for slots that
    /// no other request takes.
    pub fn is_last_round(&self) -> bool {
        self.round + 1 == ROUND_REFUSALS.len()
    }

    /// Limits the time that the next offer may wait for a slot, because another server is expected
    /// to have a free one; `None` removes the limit.
    pub fn limit_wait(&mut self, limit: Option<Millis>) {
        self.wait_limit = limit;
    }

    /// Returns the maximum time that the next offer may wait for a slot.
    pub fn max_wait(&self, times: OfferTimes, fractions: WaitFractions) -> Millis {
        let wait = match self.is_last_round() {
            false => fraction_of(times.target.since(times.run_time), fractions.first_round),
            true => fraction_of(times.left.since(times.run_time), fractions.last_round),
        };
        self.wait_limit.map_or(wait, |limit| wait.min(limit))
    }

    /// Returns whether this round ends, `age` after the request arrived, because too many servers
    /// refused it for lack of a slot or because the refusals took too long.
    ///
    /// A round without such a refusal, or of a request that may have run, does not end here.
    pub fn is_round_over(&self, age: Millis, target: Millis) -> bool {
        if self.refusals == 0 || self.verdict != Verdict::NotRun {
            return false;
        }
        let limit = target.0 as f64 * ROUND_FRACTIONS[self.round];
        self.refusals >= ROUND_REFUSALS[self.round] || age.0 as f64 > limit
    }

    /// Begins the next round, in which every instance is eligible again.
    ///
    /// Returns `false` if this is the last round or if the request may have run.
    pub fn begin_round(&mut self) -> bool {
        if self.is_last_round() || self.verdict != Verdict::NotRun {
            return false;
        }
        self.round += 1;
        self.refusals = 0;
        self.tried_before.append(&mut self.tried);
        true
    }

    /// Returns the shortest expected time until a free slot that a refusal reported, over all
    /// rounds.
    pub fn slot_wait(&self) -> Option<Millis> {
        self.slot_wait
    }

    /// Returns whether the request ran or may have run, over all its attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns whether the backend server of the last attempt rejected it.
    pub fn was_shed(&self) -> bool {
        self.was_shed
    }

    /// Returns the number of attempts that may have reached a backend server.
    pub fn reached(&self) -> u32 {
        self.reached
    }

    /// Returns whether a hedged request may be sent besides an attempt that is running: the request
    /// may be repeated, and both attempts stay within the limit.
    pub fn may_hedge(&self) -> bool {
        let with_both = self.reached + 2;
        self.repeat == RepeatPolicy::Idempotent && self.crashes == 0 && with_both <= self.limit
    }

    /// Records a hedged request that reached a backend server, as well as the attempt that is
    /// recorded by [`RetryState::handle`].
    pub fn record_hedge(&mut self, instance: InstanceId, verdict: Verdict) {
        self.tried.insert(instance);
        if verdict != Verdict::NotRun {
            self.reached += 1;
            self.verdict = self.verdict.join(verdict);
        }
    }

    /// Takes the last failure that a backend server answered with.
    pub fn take_failure(&mut self) -> Option<ServerAnswer> {
        self.failure.take()
    }

    /// Records the end of an unsuccessful attempt and decides whether to retry.
    pub fn handle(
        &mut self,
        instance: InstanceId,
        end: AttemptEnd,
        budget: &mut ReservedBudget<'_>,
    ) -> RetryDecision {
        self.tried.insert(instance);
        self.was_shed = end == AttemptEnd::NotRun(Rejection::Shed);
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
        // The run of a starved answer failed because a service that it calls had no free slot; a
        // repeat would call that service again.
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
        let is_allowed = self.repeat == RepeatPolicy::Idempotent
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
