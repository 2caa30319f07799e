//! Dispatches one request to the backend servers of its service, with retries.
//!
//! Placement chooses a server, and the attempt waits for a slot in the gate of that server. What
//! follows a failed attempt depends on whether it may have run, on the route's limit of attempts
//! and on the retry budget of the service. Once no further attempt is allowed, the outcome says
//! whether the request certainly did not run (and when to retry it) or may have run.

mod hedge;

use crate::control::Event;
use crate::dialect::Dialect;
use crate::gate::Parent;
use crate::shared::Shared;
use crate::trials::TrialSide;
use crate::view::{ServiceView, Target};
use crate::{local, relay, run};
use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis, ServiceName, Verdict};
use rf_config::{Caller, PathRoute};
use rf_protocol::relay::{
    AttemptClass, AttemptEnd, AttemptKey, AttemptRequest, AttemptTerms, Loss, Payload, Rejection,
    ServerAnswer, ServerCondition,
};
use rf_rollout::trial::share_at;
use rf_traffic::placement::OfferReport;
use rf_traffic::{
    Candidate, DelayTimes, OfferEnd, OfferTimes, PlacementRequest, RetryBudget, RetryDecision,
    RetryState, WaitFractions,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::info;

/// Number of crashes after which a request that caused them is refused. The rules of the users'
/// platform count every such request that reaches a server after the third crash.
const MAX_CRASHES: usize = 3;
/// Estimated size of a message without its body, in bytes.
const OVERHEAD_BYTES: f64 = 700.0;
/// Fraction of the time left to the latency target. A server that is expected to answer within it
/// counts as safely in time.
const SAFE_FRACTION: f64 = 0.85;
/// The same fraction for a nested call. It is lower because the run that makes the call makes other
/// calls as well.
const NESTED_SAFE_FRACTION: f64 = 0.4;

/// Which copy of a request an attempt sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyKind {
    /// The request itself.
    Original,
    /// A second copy, because the original has no response yet.
    Hedge,
}

/// One request to dispatch.
#[derive(Debug)]
pub struct Call<'a> {
    /// Route that matched the request.
    pub route: &'a PathRoute,
    /// Service that is to run it.
    pub service: &'a ServiceName,
    /// Version of the route table in which the route was found.
    pub table: rf_base::ConfigVersion,
    /// Backend servers of the service.
    pub servers: &'a ServiceView,
    /// Request id assigned by the caller.
    pub request: &'a str,
    /// Fingerprint by which a request that crashes backend servers is recognised.
    pub fingerprint: u64,
    /// Time at which the request arrived.
    pub start: Millis,
    /// Time since the caller sent the request for the first time.
    pub age: Millis,
    /// Time by which it must have its final answer.
    pub deadline: Millis,
    /// What it inherits if it is a call of a request that the local backend server is running.
    pub parent: Option<Parent>,
    /// Who sent the request.
    pub caller: Caller,
    /// HTTP request that is sent.
    pub payload: Payload,
    /// Set while the request is dispatched; read by the caller of [`dispatch`] on a timeout.
    pub progress: &'a Progress,
}

/// Progress of a request, readable after its dispatch was cancelled.
#[derive(Debug, Default)]
pub struct Progress {
    may_have_run: AtomicBool,
}

impl Progress {
    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}

/// Final outcome of a request, after all its attempts.
#[derive(Debug)]
pub enum FinalOutcome {
    /// A backend server answered, with success or failure.
    Answer(ServerAnswer),
    /// The request did not run; the caller may retry it after this time.
    Refused(RefusalReason, Millis),
    /// The request may have run, but there is no answer.
    Lost(Loss),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No backend server of the service is known.
    NoServer,
    /// No backend server has a free slot in time.
    Busy,
    /// Backend servers crashed because of it.
    Crashing,
    /// A service that its run calls has no capacity left.
    Starved,
    /// A backend server rejected it although its gate had a slot for it.
    Shed,
    /// Its time ran out while it waited.
    Expired,
}

impl RefusalReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoServer => "no-server",
            RefusalReason::Busy => "busy",
            RefusalReason::Crashing => "crashing",
            RefusalReason::Starved => "starved",
            RefusalReason::Shed => "shed",
            RefusalReason::Expired => "expired",
        }
    }
}

/// Attempts a request on one server after another until it has a final outcome.
///
/// It has no time limit of its own: the caller must bound the time.
pub async fn dispatch<D: Dialect>(shared: &Arc<Shared<D>>, call: Call<'_>) -> FinalOutcome {
    if !call.is_nested() {
        shared.with_budget(call.service, RetryBudget::deposit);
    }
    shared.count_hedgeable(call.service);
    let crashes = shared.strikes.load().count(call.fingerprint);
    if crashes >= MAX_CRASHES {
        return FinalOutcome::Refused(RefusalReason::Crashing, call.deadline.since(shared.now()));
    }
    let (side, targets) = call.choose_version(shared);
    let candidates: Vec<Candidate> = targets.iter().map(|t| t.candidate).collect();
    let mut retry_state = RetryState::new(call.route.repeat, call.route.attempts);
    loop {
        let now = shared.now();
        let Some(instance) = call.choose_server(shared, now, &candidates, &mut retry_state) else {
            if !candidates.is_empty() && retry_state.begin_round() {
                continue;
            }
            return call.give_up(shared, retry_state, &candidates, None);
        };
        let Some(target) = targets.iter().find(|t| t.instance == instance) else {
            return call.give_up(shared, retry_state, &candidates, None);
        };
        let (target, end) = call
            .attempt_hedged(shared, targets, target, &mut retry_state)
            .await;
        let instance = target.instance;
        call.observe_trial(shared, side, &end, now);
        if let AttemptEnd::Answered(answer) = &end
            && answer.status < 500
        {
            call.progress.set_may_have_run(true);
            shared.observe_response(call.route_fingerprint(), shared.now().since(now));
            if answer.status < 300 && shared.strikes.load().count(call.fingerprint) > 0 {
                shared.send_event(Event::StrikesCleared(call.fingerprint));
            }
            let AttemptEnd::Answered(answer) = end else {
                unreachable!("the end was matched above");
            };
            return FinalOutcome::Answer(answer);
        }
        call.report_failure(shared, target, &end);
        let kind = end_kind(&end);
        let reserve = match call.is_nested() {
            true => 0.0,
            false => shared.settings.load().policy.nested_reserve,
        };
        let next = shared.with_budget(call.service, |budget| {
            retry_state.handle(instance, end, &mut budget.with_reserve(reserve))
        });
        call.progress
            .set_may_have_run(retry_state.verdict() != Verdict::NotRun);
        if next == RetryDecision::GiveUp {
            return call.give_up(shared, retry_state, &candidates, Some(kind));
        }
    }
}

/// Returns the part of an attempt's end that the final outcome depends on.
fn end_kind(end: &AttemptEnd) -> EndKind {
    match end {
        AttemptEnd::Answered(_) => EndKind::Answered,
        AttemptEnd::NotRun(rejection) => EndKind::NotRun(*rejection),
        AttemptEnd::MayHaveRun(loss) => EndKind::MayHaveRun(*loss),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndKind {
    Answered,
    NotRun(Rejection),
    MayHaveRun(Loss),
}

impl Call<'_> {
    /// Returns whether it is a call of a request that the local backend server is running.
    fn is_nested(&self) -> bool {
        self.parent.is_some()
    }

    /// Returns the time by which it should be answered; a nested call has the target of its parent.
    fn target(&self) -> Millis {
        let parent = self.parent.map(|p| p.target);
        parent.unwrap_or(self.start + self.route.target.since(self.age))
    }

    /// Returns the priority; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        self.parent.map_or(self.caller.class, |p| p.priority)
    }

    /// Returns the properties for scheduling at the gate, or `None` if there are none to tell.
    fn class(&self, copy: CopyKind) -> Option<AttemptClass> {
        let organisation = self.caller.organisation_id();
        let is_hedge = copy == CopyKind::Hedge;
        (organisation.is_some() || is_hedge).then_some(AttemptClass {
            organisation,
            is_hedge,
        })
    }

    fn route_fingerprint(&self) -> u64 {
        hash_key(self.route.name.as_bytes())
    }

    /// Assigns the request to the current version or to the version on trial.
    fn choose_version<D>(&self, shared: &Shared<D>) -> (Option<(u64, TrialSide)>, &[Target]) {
        let Some(trial) = &self.servers.trial else {
            return (None, &self.servers.targets);
        };
        let cap = shared.settings.load().bounds.trial_share;
        let share = share_at(shared.now().since(trial.since), trial.duration, cap);
        let side = match trial.targets.is_empty() {
            true => TrialSide::Old,
            false => shared.trials().assign(trial.order, share),
        };
        match side {
            TrialSide::Old => (Some((trial.order, side)), &self.servers.targets),
            TrialSide::New => (Some((trial.order, side)), &trial.targets),
        }
    }

    /// Returns the server for the next attempt, or `None` if this round of attempts is over.
    fn choose_server<D>(
        &self,
        shared: &Shared<D>,
        now: Millis,
        candidates: &[Candidate],
        retry_state: &mut RetryState,
    ) -> Option<InstanceId> {
        if !self.is_nested() && retry_state.is_round_over(now.since(self.start), self.route.target)
        {
            return None;
        }
        let placement_request = self.placement_request(shared, now);
        let mut placement = shared.placement();
        // In a later round, the servers that have refused go after those that may have a free slot.
        let ever_tried = retry_state.ever_tried();
        let ever_tried = ever_tried.filter(|t| placement.has_free_slot(now, candidates, t));
        let tried = ever_tried.as_ref().unwrap_or(retry_state.tried());
        let chosen = match retry_state.was_shed() {
            true => placement.choose_after_shed(now, candidates, tried, &placement_request),
            false => placement.choose(now, candidates, tried, &placement_request),
        }?;
        let limit = placement.max_wait(now, candidates, tried, chosen, &placement_request);
        retry_state.limit_wait(limit);
        Some(chosen)
    }

    /// Records the end of an attempt in the statistics of a running trial, unless it says nothing
    /// about the version.
    fn observe_trial<D>(
        &self,
        shared: &Shared<D>,
        side: Option<(u64, TrialSide)>,
        end: &AttemptEnd,
        sent: Millis,
    ) {
        let Some((order, side)) = side else {
            return;
        };
        let is_failure = match end {
            AttemptEnd::Answered(answer) if answer.is_starved => return,
            AttemptEnd::Answered(answer) => answer.status >= 500,
            AttemptEnd::NotRun(_) => return,
            AttemptEnd::MayHaveRun(Loss::Broken | Loss::Crashed | Loss::Late) => true,
            AttemptEnd::MayHaveRun(_) => return,
        };
        let span = shared.now().since(sent);
        let route = self.route_fingerprint();
        shared
            .trials()
            .observe(order, route, side, is_failure, span);
    }

    /// Returns what placement needs to know about the request.
    fn placement_request<D>(&self, shared: &Shared<D>, now: Millis) -> PlacementRequest {
        let fraction = match self.parent {
            Some(_) => NESTED_SAFE_FRACTION,
            None => SAFE_FRACTION,
        };
        let left = self.target().since(now);
        PlacementRequest {
            route: self.route_fingerprint(),
            zone_cost: self.zone_cost(shared),
            safe_time: Millis((left.0 as f64 * fraction) as u64),
        }
    }

    /// Returns the cost of running the request in another availability zone, expressed as time.
    fn zone_cost<D>(&self, shared: &Shared<D>) -> Millis {
        let expected = shared.usual_answer_bytes(&self.route.name);
        let bytes = OVERHEAD_BYTES + self.payload.body.len() as f64 + expected;
        Millis((bytes / 1024.0 * shared.settings.load().policy.transfer_cost) as u64)
    }

    /// Makes one attempt at `target`, which may be the local backend server.
    async fn attempt<D: Dialect>(
        &self,
        shared: &Arc<Shared<D>>,
        target: &Target,
        retry_state: &RetryState,
        copy: CopyKind,
    ) -> AttemptEnd {
        let attempt = self.make_attempt(shared, target, retry_state, copy);
        let mut in_flight = InFlightGuard {
            shared,
            instance: target.instance,
            end: OfferEnd::Withdrawn,
            report: None,
        };
        self.progress.set_may_have_run(true);
        let (end, report) = match target.instance == shared.instance_id {
            true => {
                let end = run_locally(shared, &attempt).await;
                let load = shared.gate.load(attempt.terms.route);
                let report = OfferReport {
                    route: attempt.terms.route,
                    load,
                    transit: Millis::ZERO,
                };
                (end, Some(report))
            }
            false => relay::send_attempt(shared, target, &self.route.name, attempt).await,
        };
        if let Some(report) = &report {
            let condition = report.load.condition;
            let mut told = shared.told_conditions();
            told.observe(shared.now(), target.instance, condition);
        }
        in_flight.end = to_offer_end(&end);
        in_flight.report = report;
        end
    }

    fn make_attempt<D>(
        &self,
        shared: &Shared<D>,
        target: &Target,
        retry_state: &RetryState,
        copy: CopyKind,
    ) -> Box<AttemptRequest> {
        let now = shared.now();
        let left = self.deadline.since(now);
        let run_time =
            shared
                .placement()
                .run_time_at(now, &target.candidate, self.route_fingerprint());
        let policy = shared.settings.load().policy;
        let target_left = self.target().since(now);
        // A nested call that fails wastes the run that made it, so it may wait for all of the time
        // that the run has left.
        let last_round = match self.parent {
            Some(_) => 1.0,
            None => policy.late_wait,
        };
        let times = OfferTimes {
            left,
            target: target_left,
            run_time,
        };
        let fractions = WaitFractions {
            first_round: match target.candidate.is_near {
                true => policy.near_wait,
                false => policy.far_wait,
            },
            last_round,
        };
        let max_wait = retry_state.max_wait(times, fractions);
        Box::new(AttemptRequest {
            key: AttemptKey {
                id: shared.next_attempt_id(),
                target: target.instance,
                incarnation: target.incarnation,
            },
            terms: AttemptTerms {
                repeat: self.route.repeat,
                route: self.route_fingerprint(),
                priority: self.priority(),
                is_nested: self.is_nested(),
                is_best_effort: retry_state.is_last_round() && !self.is_nested(),
                target_left,
                time_left: left,
                max_wait,
                answer_bytes: shared.usual_answer_bytes(&self.route.name) as u64,
                body_bytes: 0,
                condition: told_condition(shared, target),
                class: self.class(copy),
            },
            service: self.service.clone(),
            version: target.version.clone(),
            table: self.table,
            request: self.request.to_owned(),
            fingerprint: self.fingerprint,
            payload: self.payload.clone(),
        })
    }

    /// Counts a failed attempt and logs it. Refusals for lack of capacity are not logged.
    fn report_failure<D>(&self, shared: &Shared<D>, target: &Target, end: &AttemptEnd) {
        let (verdict, reason) = describe(end);
        shared.metrics.attempts.with_label_values(&[reason]).inc();
        if matches!(
            end,
            AttemptEnd::NotRun(Rejection::Busy(_) | Rejection::Starved(_))
        ) {
            return;
        }
        info!(
            event = "attempt.failed",
            request = self.request,
            route = self.route.name,
            target = %target.instance,
            verdict,
            reason,
            table = self.table.0,
            after = shared.now().since(self.start).0,
        );
    }

    /// Returns the final outcome when no further attempt is made.
    fn give_up<D>(
        &self,
        shared: &Shared<D>,
        mut retry_state: RetryState,
        candidates: &[Candidate],
        last: Option<EndKind>,
    ) -> FinalOutcome {
        if let Some(answer) = retry_state.take_failure() {
            return FinalOutcome::Answer(answer);
        }
        if retry_state.verdict() != Verdict::NotRun {
            let loss = match last {
                Some(EndKind::MayHaveRun(loss)) => loss,
                _ => Loss::Broken,
            };
            return FinalOutcome::Lost(loss);
        }
        let reason = match last {
            _ if candidates.is_empty() => RefusalReason::NoServer,
            Some(EndKind::NotRun(Rejection::Expired)) => RefusalReason::Expired,
            Some(EndKind::NotRun(Rejection::Starved(_))) => RefusalReason::Starved,
            Some(EndKind::NotRun(Rejection::Shed)) => RefusalReason::Shed,
            _ => RefusalReason::Busy,
        };
        let slot_wait = retry_state.slot_wait().unwrap_or_default();
        FinalOutcome::Refused(reason, self.retry_delay(shared, candidates, slot_wait))
    }

    /// Returns the time after which the caller may retry. `slot_wait` is the shortest time after
    /// which one of the servers that refused expects a free slot.
    fn retry_delay<D>(
        &self,
        shared: &Shared<D>,
        candidates: &[Candidate],
        slot_wait: Millis,
    ) -> Millis {
        let now = shared.now();
        let (expected, run_time) = {
            let placement = shared.placement();
            let expected = placement.slot_wait(now, candidates).unwrap_or_default();
            let run_time = candidates.first().map_or(Millis(300), |c| {
                placement.run_time_at(now, c, self.route_fingerprint())
            });
            (expected, run_time)
        };
        let times = DelayTimes {
            slot_wait: expected.max(slot_wait),
            run_time,
            left: self.deadline.since(now),
        };
        shared.retry_delay(self.service, self.priority(), times)
    }
}

async fn run_locally<D: Dialect>(shared: &Arc<Shared<D>>, attempt: &AttemptRequest) -> AttemptEnd {
    let start = shared.now();
    local::adopt_condition(shared, attempt);
    match shared.gate.acquire(attempt).await {
        Ok(permit) => {
            let waited = shared.now().since(start);
            run::run(shared, permit, attempt, waited).await
        }
        Err(rejection) => AttemptEnd::NotRun(rejection),
    }
}

/// Returns what an attempt repeats about the backend server of `target`, because the proxy there may
/// have restarted.
fn told_condition<D>(shared: &Shared<D>, target: &Target) -> Option<ServerCondition> {
    let departed = target.departed.map(|process| ServerCondition {
        process,
        limit: None,
        is_leaving: true,
    });
    departed.or_else(|| shared.told_conditions().get(target.instance))
}

/// Maps an attempt's end to what it says about the server, for placement.
fn to_offer_end(end: &AttemptEnd) -> OfferEnd {
    match end {
        AttemptEnd::Answered(answer) if answer.status < 500 || answer.is_starved => {
            OfferEnd::Succeeded
        }
        AttemptEnd::Answered(_) => OfferEnd::Failed,
        AttemptEnd::NotRun(rejection) => match rejection {
            Rejection::Busy(_) | Rejection::Starved(_) | Rejection::Expired => OfferEnd::Full,
            Rejection::Shed => OfferEnd::Shed,
            Rejection::NotHere | Rejection::WrongIncarnation => OfferEnd::Absent,
            Rejection::Unconnected => OfferEnd::Unreachable,
            Rejection::Revoked => OfferEnd::Withdrawn,
        },
        AttemptEnd::MayHaveRun(loss) => match loss {
            Loss::Cancelled | Loss::Dropped => OfferEnd::Withdrawn,
            Loss::Crashed | Loss::EarlierIncarnation | Loss::Unreachable => OfferEnd::Unreachable,
            Loss::Broken | Loss::Late => OfferEnd::Failed,
        },
    }
}

/// Returns the verdict on an attempt's end and its reason, for logs and metrics.
pub fn describe(end: &AttemptEnd) -> (&'static str, &'static str) {
    match end {
        AttemptEnd::Answered(_) => (Verdict::Ran.as_str(), "answered"),
        AttemptEnd::NotRun(rejection) => (Verdict::NotRun.as_str(), rejection.as_str()),
        AttemptEnd::MayHaveRun(loss) => (Verdict::MayHaveRun.as_str(), loss.as_str()),
    }
}

/// Counts a request as in flight at a server until it is dropped, then reports its end to
/// placement.
struct InFlightGuard<'a, D> {
    shared: &'a Shared<D>,
    instance: InstanceId,
    end: OfferEnd,
    report: Option<OfferReport>,
}

impl<D> Drop for InFlightGuard<'_, D> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut placement = self.shared.placement();
        placement.finish(now, self.instance, self.end, self.report);
    }
}
