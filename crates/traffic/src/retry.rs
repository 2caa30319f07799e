//! Retry decisions and the retry budget.
//!
//! The verdict decides whether another attempt is safe; the budget limits how many retries are
//! made. Only the daemon that accepted the call retries it, and only if the daemon beside the
//! backend server refused or lost it. Answers of the backend server are passed on whatever their
//! status, so a refusal deep in a chain of calls is retried at one layer and not at every layer.

use crate::error::RefusalReason;
use rf_base::{InstanceId, Verdict};
use std::collections::BTreeSet;

/// Default maximum number of retries that can accumulate in a budget.
const DEFAULT_BURST: f64 = 10.0;
/// Number of attempts ended by a crash of the backend server after which a call is given up.
const MAX_CRASHES: u32 = 2;

/// Token bucket that limits retries to a share of the calls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred calls with the default burst.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget::with_burst(f64::from(percent) / 100.0, DEFAULT_BURST)
    }

    /// Creates a full budget that earns `share` retries per call and holds at most `burst`.
    pub fn with_burst(share: f64, burst: f64) -> RetryBudget {
        RetryBudget {
            share,
            burst,
            tokens: burst,
        }
    }

    /// Changes the share and the burst; tokens beyond the new burst are dropped.
    pub fn adjust(&mut self, share: f64, burst: f64) {
        self.share = share;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Counts a call and adds its share of a retry to the budget.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Returns a retry that was taken but not made.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Returns a view of the budget that keeps `fraction` of the burst in reserve.
    pub fn with_reserve(&mut self, fraction: f64) -> ReservedBudget<'_> {
        let reserve = self.burst * fraction;
        ReservedBudget {
            budget: self,
            reserve,
        }
    }

    /// Takes one retry from the budget and returns whether one was available.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// View of a [`RetryBudget`] that cannot spend the reserve.
#[derive(Debug)]
pub struct ReservedBudget<'a> {
    budget: &'a mut RetryBudget,
    reserve: f64,
}

impl ReservedBudget<'_> {
    /// Takes one retry and returns whether one was available beyond the reserve.
    pub fn withdraw(&mut self) -> bool {
        self.budget.tokens >= self.reserve + 1.0 && self.budget.withdraw()
    }
}

/// End of an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Instance of the backend server.
    pub instance: InstanceId,
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Reason of the refusal, if the attempt was refused.
    pub refusal: Option<RefusalReason>,
    /// Whether the backend server crashed.
    pub is_crash: bool,
}

/// Action after an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Try another backend server.
    Retry {
        /// Whether the call must not run at the same time as other calls that are suspected of
        /// crashing backend servers.
        is_alone: bool,
    },
    /// Report the failure or the refusal to the caller.
    GiveUp,
}

/// State of one call across its attempts.
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
    /// Creates the state of a call with at most `limit` attempts; `replayable` says whether its
    /// body can be sent again.
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

    /// Returns whether the call ran or may have run, over all its attempts.
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

    /// Records the end of an attempt and decides whether to retry.
    pub fn handle(&mut self, end: &AttemptEnd, budget: &mut RetryBudget) -> NextAttempt {
        self.attempts += 1;
        self.verdict = self.verdict.join(end.verdict);
        self.refusal = end.refusal;
        self.tried.insert(end.instance);
        self.crashes += u32::from(end.is_crash);
        let is_safe = end.verdict.permits_retry(self.idempotent);
        let is_below_limit = self.crashes < MAX_CRASHES;
        if !is_safe || !is_below_limit || !self.replayable || self.attempts >= self.limit {
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
