//! Whether a call is tried again.
//!
//! The verdict decides whether another attempt is safe, the budget whether it is affordable. Only
//! the daemon that took the call in retries it, and only what the daemon beside the backend server
//! refused or lost. An answer of the backend server, whatever its status, is passed on, so in a
//! chain of calls a refusal deep down is retried at one layer and not at each.

use crate::error::RefusalReason;
use rf_base::{InstanceId, Verdict};
use std::collections::BTreeSet;

/// Retries that may be saved up.
const DEFAULT_BURST: f64 = 10.0;
/// Backend servers on which a request may crash before it is refused.
const MAX_CRASHES: u32 = 2;

/// Retries as a share of calls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget of `percent` retries per hundred calls.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget::with_burst(f64::from(percent) / 100.0, DEFAULT_BURST)
    }

    /// Makes a budget of `share` retries per call, of which `burst` may be saved up.
    pub fn with_burst(share: f64, burst: f64) -> RetryBudget {
        RetryBudget {
            share,
            burst,
            tokens: burst,
        }
    }

    /// Changes the terms; what was saved up beyond the new burst is lost.
    pub fn adjust(&mut self, share: f64, burst: f64) {
        self.share = share;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Counts a call, which earns its share of a retry.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Returns a view that leaves `part` of the burst untouched.
    pub fn with_reserve(&mut self, fraction: f64) -> ReservedBudget<'_> {
        let reserve = self.burst * fraction;
        ReservedBudget {
            budget: self,
            reserve,
        }
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A retry budget with a reserve that stays untouched.
#[derive(Debug)]
pub struct ReservedBudget<'a> {
    budget: &'a mut RetryBudget,
    reserve: f64,
}

impl ReservedBudget<'_> {
    /// Takes one retry; returns whether there was one beyond the reserve.
    pub fn withdraw(&mut self) -> bool {
        self.budget.tokens >= self.reserve + 1.0 && self.budget.withdraw()
    }
}

/// How one attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Backend server's instance.
    pub instance: InstanceId,
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Why it was refused, where it was.
    pub refusal: Option<RefusalReason>,
    /// Whether the backend server crashed.
    pub is_crash: bool,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Try another backend server.
    Retry {
        /// Whether no other suspicious call may run at the same time.
        is_alone: bool,
    },
    /// Tell the caller.
    GiveUp,
}

/// Progress of one call.
#[derive(Clone, Debug)]
pub struct CallProgress {
    idempotent: bool,
    replayable: bool,
    limit: u32,
    attempts: u32,
    crashes: u32,
    verdict: Verdict,
    tried: BTreeSet<InstanceId>,
    refusal: Option<RefusalReason>,
}

impl CallProgress {
    /// Makes the progress of a call of at most `limit` attempts; `replayable` says whether its body
    /// can be sent again.
    pub fn new(idempotent: bool, replayable: bool, limit: u32) -> CallProgress {
        CallProgress {
            idempotent,
            replayable,
            limit,
            attempts: 0,
            crashes: 0,
            verdict: Verdict::NotRun,
            tried: BTreeSet::new(),
            refusal: None,
        }
    }

    /// Returns the instances that were tried.
    pub fn tried(&self) -> &BTreeSet<InstanceId> {
        &self.tried
    }

    /// Returns whether the call may have run, over all its attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the reason of the last refusal.
    pub fn refusal(&self) -> Option<RefusalReason> {
        self.refusal
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Takes in the end of an attempt and decides what follows.
    pub fn handle(&mut self, end: &AttemptEnd, budget: &mut RetryBudget) -> NextAttempt {
        self.attempts += 1;
        self.verdict = self.verdict.join(end.verdict);
        self.refusal = end.refusal;
        self.tried.insert(end.instance);
        self.crashes += u32::from(end.is_crash);
        let is_safe = end.verdict.permits_retry(self.idempotent);
        let is_known = self.crashes < MAX_CRASHES;
        if !is_safe || !is_known || !self.replayable || self.attempts >= self.limit {
            return NextAttempt::GiveUp;
        }
        if end.refusal == Some(RefusalReason::Expired) || !budget.withdraw() {
            return NextAttempt::GiveUp;
        }
        NextAttempt::Retry {
            is_alone: self.crashes > 0,
        }
    }
}
