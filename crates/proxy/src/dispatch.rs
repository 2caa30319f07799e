//! Pursues one request over the backend servers of its service.

use crate::control::Event;
use crate::dialect::Dialect;
use crate::gate::Parent;
use crate::shared::Shared;
use crate::trials::TrialSide;
use crate::view::{ServiceView, Target};
use crate::{relay, run};
use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis, ServiceName, Verdict};
use rf_config::PathRoute;
use rf_protocol::relay::{
    AttemptEnd, AttemptKey, AttemptRequest, AttemptTerms, Loss, Payload, Rejection, ServerAnswer,
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

/// Deaths of backend servers after which a request is refused. The rules of the users' platform
/// count what reaches servers after the third.
const MAX_CRASHES: usize = 3;
/// Bytes of a message besides its body.
const HEAD_BYTES: f64 = 700.0;
/// Part of the time to the target within which an answer is expected safely in time.
const SAFE_PART: f64 = 0.85;
/// The same for a call of a running request, whose run makes others besides.
const NESTED_SAFE_PART: f64 = 0.4;

/// One request on its way.
#[derive(Debug)]
pub struct Call<'a> {
    /// Route.
    pub route: &'a PathRoute,
    /// Service that is to run it.
    pub service: &'a ServiceName,
    /// Version of the route table that decided.
    pub table: rf_base::Counter,
    /// Backend servers of the service.
    pub servers: &'a ServiceView,
    /// Id by which the caller knows it.
    pub request: &'a str,
    /// Fingerprint, to recognise it if it crashes backend servers.
    pub fingerprint: u64,
    /// Time at which it came.
    pub start: Millis,
    /// Time since its caller asked for the first time.
    pub age: Millis,
    /// Time by which it must have its final answer.
    pub deadline: Millis,
    /// What it inherits where a request that runs at the backend server beside this proxy makes it.
    pub parent: Option<Parent>,
    /// What is sent.
    pub payload: Payload,
    /// Whether it may have run; read when its time runs out.
    pub progress: &'a Progress,
}

/// What is known while a request is under way.
#[derive(Debug, Default)]
pub struct Progress {
    may_have_run: AtomicBool,
}

impl Progress {
    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    fn set(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}

/// Final outcome of a request.
#[derive(Debug)]
pub enum FinalOutcome {
    /// A backend server's answer.
    Answer(ServerAnswer),
    /// It did not run; the caller may come back after this time.
    Refused(RefusalReason, Millis),
    /// It may have run, and there is no answer.
    Lost(Loss),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No backend server of the service is known.
    NoServer,
    /// None has room in time.
    Busy,
    /// Backend servers died of it.
    Crashing,
    /// A service that its run calls has no room.
    Starved,
    /// A backend server turned it away although its gate had a slot for it.
    Shed,
    /// Its time passed while it waited.
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

/// Pursues a request to its final end.
pub async fn dispatch<D: Dialect>(shared: &Arc<Shared<D>>, call: Call<'_>) -> FinalOutcome {
    if !call.is_nested() {
        shared.with_budget(call.service, RetryBudget::deposit);
    }
    let crashes = shared.crash_records.load().count(call.fingerprint);
    if crashes >= MAX_CRASHES {
        return FinalOutcome::Refused(RefusalReason::Crashing, call.deadline.since(shared.now()));
    }
    let (side, targets) = call.choose_side(shared);
    let candidates: Vec<Candidate> = targets.iter().map(|t| t.candidate).collect();
    let mut pursuit = RetryState::new(call.route.repeat, call.route.attempts);
    loop {
        let now = shared.now();
        let Some(instance) = call.choose(shared, now, &candidates, &pursuit) else {
            if !candidates.is_empty() && pursuit.begin_round() {
                continue;
            }
            return call.give_up(shared, pursuit, &candidates, None);
        };
        let Some(target) = targets.iter().find(|t| t.instance == instance) else {
            return call.give_up(shared, pursuit, &candidates, None);
        };
        let end = call.offer(shared, target, &pursuit).await;
        call.observe(shared, side, &end, now);
        if let AttemptEnd::Answered(answer) = &end
            && answer.status < 500
        {
            call.progress.set(true);
            if answer.status < 300 && shared.crash_records.load().count(call.fingerprint) > 0 {
                shared.send_event(Event::StrikesCleared(call.fingerprint));
            }
            let AttemptEnd::Answered(answer) = end else {
                unreachable!("the end was matched above");
            };
            return FinalOutcome::Answer(answer);
        }
        call.report(shared, target, &end);
        let kept = end_kind(&end);
        let reserve = match call.is_nested() {
            true => 0.0,
            false => shared.settings.load().policy.nested_reserve,
        };
        let next = shared.with_budget(call.service, |budget| {
            pursuit.handle(instance, end, &mut budget.with_reserve(reserve))
        });
        call.progress.set(pursuit.verdict() != Verdict::NotRun);
        if next == RetryDecision::GiveUp {
            return call.give_up(shared, pursuit, &candidates, Some(kept));
        }
    }
}

/// The part of an end that the final answer depends on.
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
    /// Returns whether a request that runs at the backend server beside this proxy makes it.
    fn is_nested(&self) -> bool {
        self.parent.is_some()
    }

    /// Returns the time by which an answer is worth most.
    fn target(&self) -> Millis {
        let parent = self.parent.map(|p| p.target);
        parent.unwrap_or(self.start + self.route.target.since(self.age))
    }

    /// Returns its rank; 0 goes first.
    pub fn priority(&self) -> u8 {
        self.parent.map_or(self.route.priority, |p| p.priority)
    }

    fn fingerprint_of_route(&self) -> u64 {
        hash_key(self.route.name.as_bytes())
    }

    /// Deals the request to the version in force or to the one that is tried.
    fn choose_side<D>(&self, shared: &Shared<D>) -> (Option<(u64, TrialSide)>, &[Target]) {
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

    /// Chooses the server for the next offer of this round.
    fn choose<D>(
        &self,
        shared: &Shared<D>,
        now: Millis,
        candidates: &[Candidate],
        pursuit: &RetryState,
    ) -> Option<InstanceId> {
        if !self.is_nested() && pursuit.is_round_over(now.since(self.start), self.route.target) {
            return None;
        }
        let need = self.need(shared, now);
        let mut placement = shared.placement();
        placement.choose(now, candidates, pursuit.tried(), &need)
    }

    fn observe<D>(
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
        let route = self.fingerprint_of_route();
        shared
            .trials()
            .observe(order, route, side, is_failure, span);
    }

    fn need<D>(&self, shared: &Shared<D>, now: Millis) -> PlacementRequest {
        let part = match self.parent {
            Some(_) => NESTED_SAFE_PART,
            None => SAFE_PART,
        };
        let left = self.target().since(now);
        PlacementRequest {
            route: self.fingerprint_of_route(),
            zone_cost: self.distance(shared),
            safe_time: Millis((left.0 as f64 * part) as u64),
        }
    }

    /// Returns what it costs to run the request in another availability zone, as time.
    fn distance<D>(&self, shared: &Shared<D>) -> Millis {
        let expected = shared.usual_answer_bytes(&self.route.name);
        let bytes = HEAD_BYTES + self.payload.body.len() as f64 + expected;
        Millis((bytes / 1024.0 * shared.settings.load().policy.distance) as u64)
    }

    /// Offers the request to one server.
    async fn offer<D: Dialect>(
        &self,
        shared: &Arc<Shared<D>>,
        target: &Target,
        pursuit: &RetryState,
    ) -> AttemptEnd {
        let order = self.make_order(shared, target, pursuit);
        let mut offered = Offered {
            shared,
            instance: target.instance,
            end: OfferEnd::Withdrawn,
            report: None,
        };
        self.progress.set(true);
        let (end, report) = match target.instance == shared.instance_id {
            true => {
                let end = run_here(shared, &order).await;
                let load = shared.gate.load(order.terms.route);
                let report = OfferReport {
                    route: order.terms.route,
                    load,
                    transit: Millis::ZERO,
                };
                (end, Some(report))
            }
            false => relay::send_attempt(shared, target, &self.route.name, order).await,
        };
        offered.end = grade(&end);
        offered.report = report;
        end
    }

    fn make_order<D>(
        &self,
        shared: &Shared<D>,
        target: &Target,
        pursuit: &RetryState,
    ) -> Box<AttemptRequest> {
        let now = shared.now();
        let left = self.deadline.since(now);
        let usual = shared
            .placement()
            .usual_time(&target.candidate, self.fingerprint_of_route());
        let policy = shared.settings.load().policy;
        let to_target = self.target().since(now);
        // A call that fails wastes the run that made it, so it waits as long as that run can.
        let late = match self.parent {
            Some(_) => 1.0,
            None => policy.late_wait,
        };
        let times = OfferTimes {
            left,
            target: to_target,
            usual,
        };
        let parts = WaitFractions {
            first_round: match target.candidate.is_near {
                true => policy.near_wait,
                false => policy.first_wait,
            },
            last_round: late,
        };
        let patience = pursuit.max_wait(times, parts);
        Box::new(AttemptRequest {
            key: AttemptKey {
                id: shared.next_attempt_id(),
                target: target.instance,
                incarnation: target.incarnation,
            },
            terms: AttemptTerms {
                repeat: self.route.repeat,
                route: self.fingerprint_of_route(),
                priority: self.priority(),
                is_nested: self.is_nested(),
                is_best_effort: pursuit.is_last_round() && !self.is_nested(),
                target_left: to_target,
                time_left: left,
                max_wait: patience,
                answer_bytes: shared.usual_answer_bytes(&self.route.name) as u64,
                body_bytes: 0,
            },
            service: self.service.clone(),
            version: target.version.clone(),
            table: self.table,
            request: self.request.to_owned(),
            fingerprint: self.fingerprint,
            payload: self.payload.clone(),
        })
    }

    fn report<D>(&self, shared: &Shared<D>, target: &Target, end: &AttemptEnd) {
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

    fn give_up<D>(
        &self,
        shared: &Shared<D>,
        mut pursuit: RetryState,
        candidates: &[Candidate],
        last: Option<EndKind>,
    ) -> FinalOutcome {
        if let Some(answer) = pursuit.take_failure() {
            return FinalOutcome::Answer(answer);
        }
        if pursuit.verdict() != Verdict::NotRun {
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
        let room = pursuit.slot_wait().unwrap_or_default();
        FinalOutcome::Refused(reason, self.retry_time(shared, candidates, room))
    }

    /// Returns when the caller may come back, where the servers that refused expect room after
    /// `room` at the earliest.
    fn retry_time<D>(&self, shared: &Shared<D>, candidates: &[Candidate], room: Millis) -> Millis {
        let now = shared.now();
        let (expected, usual) = {
            let placement = shared.placement();
            let expected = placement.slot_wait(now, candidates).unwrap_or_default();
            let usual = candidates.first().map_or(Millis(300), |c| {
                placement.usual_time(c, self.fingerprint_of_route())
            });
            (expected, usual)
        };
        let times = DelayTimes {
            slot_wait: expected.max(room),
            usual,
            left: self.deadline.since(now),
        };
        shared.retry_pause(self.service, self.priority(), times)
    }
}

async fn run_here<D: Dialect>(shared: &Arc<Shared<D>>, order: &AttemptRequest) -> AttemptEnd {
    let start = shared.now();
    match shared.gate.acquire(order).await {
        Ok(permit) => {
            let waited = shared.now().since(start);
            run::run(shared, permit, order, waited).await
        }
        Err(rejection) => AttemptEnd::NotRun(rejection),
    }
}

fn grade(end: &AttemptEnd) -> OfferEnd {
    match end {
        AttemptEnd::Answered(answer) if answer.status < 500 || answer.is_starved => {
            OfferEnd::Succeeded
        }
        AttemptEnd::Answered(_) => OfferEnd::Failed,
        AttemptEnd::NotRun(rejection) => match rejection {
            Rejection::Busy(_) | Rejection::Starved(_) | Rejection::Expired => OfferEnd::Full,
            Rejection::Shed => OfferEnd::Failed,
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

/// Returns the verdict of an end and its reason, for logs and metrics.
pub fn describe(end: &AttemptEnd) -> (&'static str, &'static str) {
    match end {
        AttemptEnd::Answered(_) => (Verdict::Ran.as_str(), "answered"),
        AttemptEnd::NotRun(rejection) => (Verdict::NotRun.as_str(), rejection.as_str()),
        AttemptEnd::MayHaveRun(loss) => (Verdict::MayHaveRun.as_str(), loss.as_str()),
    }
}

/// Counts a request as in flight at a server until it is dropped.
struct Offered<'a, D> {
    shared: &'a Shared<D>,
    instance: InstanceId,
    end: OfferEnd,
    report: Option<OfferReport>,
}

impl<D> Drop for Offered<'_, D> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut placement = self.shared.placement();
        placement.finish(now, self.instance, self.end, self.report);
    }
}
