//! What a backend server says about itself in its answers.
//!
//! A server in need names the number of requests per second that it takes from all instances
//! together, and a server that leaves says so. All its requests pass the gate beside it, so the
//! gate is the one place that reads every answer and can keep the limit exactly.
//!
//! Answers overtake each other on their connections. A lower limit therefore holds at once, while
//! an answer raises or ends a limit only if its run began after the limit was last named. That a
//! process leaves is final.
//!
//! A proxy that has restarted has read no answer yet. Other proxies repeat what they were told with
//! each attempt, and it adopts that until the first answer.

use crate::StatedLoad;
use rf_base::{Millis, RequestRate};
use rf_protocol::relay::ServerCondition;

/// What one answer of a backend server says about the server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Limit on the requests that it takes.
    pub limit: StatedLimit,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Load of the server, and how long work takes on it.
    pub load: StatedLoad,
}

/// Limit in an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names a limit.
    Named(RequestRate),
    /// The answer names something that is not a limit; carries the defect.
    Unreadable(String),
}

/// How a statement changed what is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConditionChange {
    /// The limits before and after, if it changed.
    pub limit: Option<(Option<RequestRate>, Option<RequestRate>)>,
    /// Whether the server is known to leave only now.
    pub is_leaving: bool,
}

/// Condition of the backend server beside a proxy.
#[derive(Clone, Debug, Default)]
pub struct ConditionTracker {
    condition: ServerCondition,
    /// Time at which the limit was last named.
    named_at: Millis,
    /// Whether an answer of this process has been read.
    is_observed: bool,
    /// Whether the process has named a limit, which others may have been told.
    had_limit: bool,
}

impl ConditionTracker {
    /// Returns the condition, or `None` if the server has stated nothing.
    pub fn condition(&self) -> Option<ServerCondition> {
        let condition = self.condition;
        let is_stated = condition.limit.is_some() || condition.is_leaving;
        is_stated.then_some(condition)
    }

    /// Returns what other proxies are told: the condition, also that a limit has ended.
    pub fn told(&self) -> Option<ServerCondition> {
        let has_ended = self.is_observed && self.had_limit;
        self.condition().or(has_ended.then_some(self.condition))
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.condition.limit
    }

    /// Sets the process that answers from now on. If it is a new one, forgets what the old one said
    /// and returns true.
    pub fn set_process(&mut self, process: u64) -> bool {
        if self.condition.process == process {
            return false;
        }
        let condition = ServerCondition {
            process,
            ..ServerCondition::default()
        };
        *self = ConditionTracker {
            condition,
            ..ConditionTracker::default()
        };
        true
    }

    /// Applies a statement of `process` in the answer to a run that began at `began`.
    pub fn observe(
        &mut self,
        now: Millis,
        process: u64,
        began: Millis,
        statement: &Statement,
    ) -> ConditionChange {
        if process != self.condition.process {
            return ConditionChange::default();
        }
        self.is_observed = true;
        let before = self.condition.limit;
        let is_newer = began > self.named_at;
        match (&statement.limit, before) {
            (StatedLimit::Named(rate), Some(known)) if *rate > known && !is_newer => {}
            (StatedLimit::Named(rate), _) => {
                self.condition.limit = Some(*rate);
                self.had_limit = true;
                self.named_at = now;
            }
            (StatedLimit::Absent, Some(_)) if is_newer => self.condition.limit = None,
            _ => {}
        }
        self.change_from(before, statement.is_leaving)
    }

    /// Adopts what another proxy was told, unless this proxy has read answers of the process.
    ///
    /// That the process leaves is adopted in any case.
    pub fn adopt(&mut self, now: Millis, told: &ServerCondition) -> ConditionChange {
        if told.process != self.condition.process {
            return ConditionChange::default();
        }
        let before = self.condition.limit;
        self.had_limit |= told.limit.is_some();
        if !self.is_observed && before.is_none() {
            self.condition.limit = told.limit;
            self.named_at = now;
        }
        self.change_from(before, told.is_leaving)
    }

    fn change_from(&mut self, before: Option<RequestRate>, is_leaving: bool) -> ConditionChange {
        let is_news = is_leaving && !self.condition.is_leaving;
        self.condition.is_leaving |= is_leaving;
        let after = self.condition.limit;
        ConditionChange {
            limit: (before != after).then_some((before, after)),
            is_leaving: is_news,
        }
    }
}
