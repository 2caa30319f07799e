//! Hedged attempts: a second copy of a request whose first attempt has no response for unusually
//! long.
//!
//! The first complete response below status 500 is used and the other attempt is cancelled at once:
//! dropping its future closes the connection, upon which the other proxy takes the attempt from its
//! queue or closes the connection to its backend server. If one attempt fails, the other is waited
//! for.

use super::{Call, CopyKind};
use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::view::Target;
use async_std::future::timeout;
use futures_lite::FutureExt;
use rf_base::{InstanceId, Millis, Verdict};
use rf_protocol::relay::{AttemptEnd, Rejection};
use rf_traffic::{Candidate, HedgeTimes, RetryState};
use std::collections::BTreeSet;
use std::sync::Arc;
use tracing::info;

/// End of the attempt that ended first.
enum Ended {
    First(AttemptEnd),
    Hedge(AttemptEnd),
}

/// What became of a hedged attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HedgeResult {
    /// Its response was used.
    Won,
    /// The response of the first attempt was used, or it failed or was rejected by its server.
    Lost,
    /// It did not reach a backend server.
    Refused,
    /// It was not sent, as the budget had no token for it.
    NoBudget,
}

impl HedgeResult {
    fn as_str(self) -> &'static str {
        match self {
            HedgeResult::Won => "won",
            HedgeResult::Lost => "lost",
            HedgeResult::Refused => "refused",
            HedgeResult::NoBudget => "no-budget",
        }
    }
}

impl Call<'_> {
    /// Makes one attempt at `target`, and a hedged one at another server if there is no response
    /// in time. Returns how the attempt whose end counts ended, and its server.
    pub(super) async fn attempt_hedged<'t, D: Dialect>(
        &self,
        shared: &Arc<Shared<D>>,
        targets: &'t [Target],
        target: &'t Target,
        retry_state: &mut RetryState,
    ) -> (&'t Target, AttemptEnd) {
        let Some(delay) = self.hedge_delay(shared, target, retry_state) else {
            let end = self
                .attempt(shared, target, retry_state, CopyKind::Original)
                .await;
            return (target, end);
        };
        let mut first = Box::pin(self.attempt(shared, target, retry_state, CopyKind::Original));
        if let Ok(end) = timeout(delay.duration(), &mut first).await {
            return (target, end);
        }
        let Some(other) = self.choose_hedge(shared, targets, target, retry_state) else {
            return (target, first.await);
        };
        info!(
            event = "hedge.sent",
            request = self.request,
            route = self.route.name,
            delay = delay.0,
            target = %other.instance,
        );
        let mut hedge = Box::pin(self.attempt(shared, other, retry_state, CopyKind::Hedge));
        let first_ended = async { Ended::First((&mut first).await) };
        let hedge_ended = async { Ended::Hedge((&mut hedge).await) };
        let (first_end, hedge_end) = match first_ended.or(hedge_ended).await {
            Ended::First(end) if is_served(&end) => (Some(end), None),
            Ended::First(end) => (Some(end), Some((&mut hedge).await)),
            Ended::Hedge(end) if is_served(&end) => (None, Some(end)),
            Ended::Hedge(end) => (Some((&mut first).await), Some(end)),
        };
        // Cancels the attempt that has not ended.
        drop(first);
        drop(hedge);
        self.conclude_hedge(shared, retry_state, (target, first_end), (other, hedge_end))
    }

    /// Returns which of the two attempts counts, and records the hedged one. An attempt without an
    /// end was cancelled, in which case the other one was served.
    fn conclude_hedge<'t, D>(
        &self,
        shared: &Shared<D>,
        retry_state: &mut RetryState,
        (target, first_end): (&'t Target, Option<AttemptEnd>),
        (other, hedge_end): (&'t Target, Option<AttemptEnd>),
    ) -> (&'t Target, AttemptEnd) {
        let is_won = hedge_end.as_ref().is_some_and(is_served);
        let (result, verdict) = match &hedge_end {
            _ if is_won => (HedgeResult::Won, Verdict::Ran),
            // It reached a server, as each attempt that the retry budget bounds.
            Some(AttemptEnd::NotRun(Rejection::Shed)) => (HedgeResult::Lost, Verdict::NotRun),
            Some(AttemptEnd::NotRun(_)) => (HedgeResult::Refused, Verdict::NotRun),
            _ => (HedgeResult::Lost, Verdict::MayHaveRun),
        };
        self.count_hedge(shared, result);
        if result == HedgeResult::Refused {
            let limit = shared.hedge_limit();
            shared.with_budget(self.service, |retries| {
                shared.hedging().refund(self.service, limit, retries);
            });
        }
        match (first_end, hedge_end) {
            (first_end, Some(end)) if is_won => {
                if let Some(first_end) = first_end {
                    self.report_failure(shared, target, &first_end);
                }
                (other, end)
            }
            (Some(end), hedge_end) => {
                if let Some(hedge_end) = hedge_end {
                    self.report_failure(shared, other, &hedge_end);
                }
                retry_state.record_hedge(other.instance, verdict);
                (target, end)
            }
            (None, _) => unreachable!("an attempt is only cancelled once the other one is served"),
        }
    }

    /// Returns the time after which the attempt at `target` is hedged, or `None` if it is not.
    fn hedge_delay<D>(
        &self,
        shared: &Shared<D>,
        target: &Target,
        retry_state: &RetryState,
    ) -> Option<Millis> {
        let is_enabled = shared.settings.load().policy.hedging.is_enabled();
        if !is_enabled || !retry_state.may_hedge() {
            return None;
        }
        // A request that crashes backend servers must not reach two of them at once, and a server
        // of a version on trial gets no more than its share.
        let is_suspect = shared.strikes.load().count(self.fingerprint) > 0;
        if is_suspect || self.servers.trial.is_some() {
            return None;
        }
        let route = self.route_fingerprint();
        let times = HedgeTimes {
            target: self.route.target,
            run_time: shared.placement().run_time(&target.candidate, route),
            left: self.deadline.since(shared.now()),
        };
        shared.hedging().delay(route, times)
    }

    /// Returns the server for the hedged attempt, which counts as in flight there, or `None` if no
    /// other server is suitable or the budget has no token.
    fn choose_hedge<'t, D>(
        &self,
        shared: &Shared<D>,
        targets: &'t [Target],
        first: &Target,
        retry_state: &RetryState,
    ) -> Option<&'t Target> {
        let limit = shared.hedge_limit();
        let is_granted = shared.with_budget(self.service, |retries| {
            shared.hedging().withdraw(self.service, limit, retries)
        });
        if !is_granted {
            self.count_hedge(shared, HedgeResult::NoBudget);
            return None;
        }
        let mut tried: BTreeSet<InstanceId> = retry_state.tried().clone();
        tried.insert(first.instance);
        // A server that names a limit or leaves has no capacity to spare.
        let candidates: Vec<Candidate> = {
            let told = shared.told_conditions();
            let is_unrestricted = |t: &&Target| told.get(t.instance).is_none();
            let suitable = targets.iter().filter(is_unrestricted);
            suitable.map(|t| t.candidate).collect()
        };
        let now = shared.now();
        let request = self.placement_request(shared, now);
        let chosen = shared
            .placement()
            .choose(now, &candidates, &tried, &request);
        let target = chosen.and_then(|id| targets.iter().find(|t| t.instance == id));
        if target.is_none() {
            shared.with_budget(self.service, |retries| {
                shared.hedging().refund(self.service, limit, retries);
            });
        }
        target
    }

    fn count_hedge<D>(&self, shared: &Shared<D>, result: HedgeResult) {
        let name = result.as_str();
        shared.metrics.hedges.with_label_values(&[name]).inc();
        if result != HedgeResult::NoBudget {
            info!(event = "hedge.ended", request = self.request, result = name);
        }
    }
}

/// Returns whether an attempt brought a response that needs no further attempt.
fn is_served(end: &AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Answered(answer) if answer.status < 500)
}
