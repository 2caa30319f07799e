//! Slots that attempts hold, and what their ends and answers tell the gate.

use super::{Gate, Inner};
use rf_base::{Millis, RequestRate};
use rf_config::RepeatPolicy;
use rf_protocol::relay::{AttemptEnd, AttemptKey, Loss};
use rf_traffic::{ConditionChange, LocalServer, Statement};

/// Interval at which the number of runs begun under a limit is reported.
const LIMIT_REPORT_INTERVAL: Millis = Millis(4000);

/// A slot at the backend server, held by one attempt until it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    pub(super) gate: Gate,
    pub(super) key: AttemptKey,
    pub(super) request: String,
    pub(super) route: u64,
    pub(super) repeat: RepeatPolicy,
    pub(super) server: LocalServer,
    pub(super) start: Millis,
    pub(super) record: LedgerRecord,
    /// Whether the duration of the run says something about the speed of the backend server.
    pub(super) is_measured: bool,
}

/// What is recorded in the ledger when a permit is dropped.
#[derive(Debug)]
pub(super) enum LedgerRecord {
    /// The attempt did not run.
    NotRun,
    /// It ran; its end is not kept.
    Ran,
    /// It ran, and its end is kept for a sender that queries it.
    Kept(AttemptEnd),
}

/// What an answer of the backend server told the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// How it changed what is known.
    pub change: ConditionChange,
    /// Limit that is in force.
    pub limit: Option<RequestRate>,
    /// Number of runs begun within `span`, if it is time to report it.
    pub started: Option<u32>,
    /// Time since the last report.
    pub span: Millis,
}

impl Inner {
    /// Applies what the process of `permit` said in its answer.
    fn observe(&mut self, now: Millis, permit: &SlotPermit, statement: &Statement) -> Observation {
        let process = permit.server.process();
        let change = self
            .condition
            .observe(now, process, permit.start, statement);
        self.apply_limit(now, change);
        self.apply_slowness(now, process, statement);
        let (started, since) = self.started;
        let span = now.since(since);
        let is_due = span >= LIMIT_REPORT_INTERVAL || change.limit.is_some();
        if is_due {
            self.started = (0, now);
        }
        let limit = self.condition.limit();
        let is_reported = is_due && (limit.is_some() || change.limit.is_some());
        Observation {
            change,
            limit,
            started: is_reported.then_some(started),
            span,
        }
    }

    /// Applies the slowness that `process` stated, unless another process has replaced it.
    fn apply_slowness(&mut self, now: Millis, process: u64, statement: &Statement) {
        let Some(percent) = statement.load.slowness() else {
            return;
        };
        if self.server.as_ref().is_some_and(|s| s.process() == process) {
            let wakeups = self.queue.observe_slowness(now, percent);
            self.wake(now, wakeups);
        }
    }
}

impl SlotPermit {
    /// Returns the backend server that the slot belongs to.
    pub fn server(&self) -> &LocalServer {
        &self.server
    }

    /// Applies what the backend server says about itself in its answer.
    pub fn observe_statement(&self, statement: &Statement) -> Observation {
        let now = self.gate.clock.now();
        let mut inner = self.gate.lock();
        let observation = inner.observe(now, self, statement);
        self.gate.pace(now, &mut inner);
        observation
    }

    /// Returns the time since the slot was acquired.
    pub fn age(&self) -> Millis {
        self.gate.clock.now().since(self.start)
    }

    /// Sets how the attempt ended and returns it, marked if one of its calls was refused.
    ///
    /// The end is kept only for an attempt that must not be repeated, as its sender may query it.
    pub fn finish(mut self, mut end: AttemptEnd) -> AttemptEnd {
        if let AttemptEnd::Answered(answer) = &mut end {
            answer.is_starved = self.gate.is_starved(&self.request);
        }
        self.is_measured = matches!(
            end,
            AttemptEnd::Answered(_) | AttemptEnd::MayHaveRun(Loss::Late)
        );
        self.record = match (&end, self.repeat) {
            (AttemptEnd::NotRun(_), _) => LedgerRecord::NotRun,
            (_, RepeatPolicy::Once) => LedgerRecord::Kept(end.clone()),
            (_, RepeatPolicy::Idempotent) => LedgerRecord::Ran,
        };
        end
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let span = now.since(self.start);
        let mut inner = self.gate.lock();
        inner.end_run(now, self);
        match std::mem::replace(&mut self.record, LedgerRecord::Ran) {
            LedgerRecord::NotRun => inner.ledger.revoke(self.key.id),
            LedgerRecord::Ran => inner.ledger.finish(now, self.key.id, None),
            LedgerRecord::Kept(end) => inner.ledger.finish(now, self.key.id, Some(end)),
        }
        let run = self.is_measured.then_some((self.route, span));
        self.gate.release(now, &mut inner, run);
    }
}
