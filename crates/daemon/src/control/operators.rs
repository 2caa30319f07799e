//! Handling of requests of operators and of the backend server.
//!
//! Views and announcements are answered at once. Requests that read or write the platform are
//! answered when the platform call, or the job of the writer, has ended.

use super::event::{
    Accepted, Action, Confirmed, OperatorAnswer, OperatorError, OperatorRequest, OperatorResult,
    PlatformCall, RequestId,
};
use super::machine::Control;
use super::status::{MoveView, RefusedView, ServerStatus, StatusView};
use rf_base::{InstanceId, Millis, MoveId, PlanId, ServiceName, VersionName};
use rf_config::{Intent, MeshConfig, Plan};
use rf_membership::Reachability;
use rf_protocol::Member;
use rf_rollout::plan::{PlanContext, Servers};
use rf_rollout::writer::JobResult;
use rf_rollout::{
    Change, ChangeError, JobOutcome, PlanError, PlanSettings, ServerView, compute_plan,
};
use rf_store::{Object, ObjectVersion, StoreError};
use std::collections::BTreeMap;

/// Time within which failed platform calls of an operator's change are retried.
const CHANGE_TIMEOUT: Millis = Millis(8000);
/// Time for which an expired plan is kept, so that a repeated confirmation still finds it.
const PLAN_RETENTION: Millis = Millis::from_secs(3600);
/// Maximum time to live of an announcement.
const MAX_TTL: Millis = Millis::from_secs(3600);

impl Control {
    pub(super) fn handle_operator(
        &mut self,
        now: Millis,
        request_id: RequestId,
        request: OperatorRequest,
        actions: &mut Vec<Action>,
    ) {
        let answer = match request {
            OperatorRequest::Announce(announcement) => {
                let port = announcement.address.port();
                if announcement.slots == 0 || announcement.ttl == Millis::ZERO || port == 0 {
                    let message = "expected slots, ttl and port above 0".to_owned();
                    Err(OperatorError::Invalid(message))
                } else if announcement.ttl > MAX_TTL {
                    let message = format!("expected a ttl of at most {MAX_TTL}");
                    Err(OperatorError::Invalid(message))
                } else {
                    self.announce(now, announcement);
                    Ok(self.accepted_answer())
                }
            }
            OperatorRequest::Withdraw => {
                self.withdraw(now);
                Ok(self.accepted_answer())
            }
            OperatorRequest::Apply(document) => {
                let id = self
                    .writer
                    .submit(Change::Apply(document), now + CHANGE_TIMEOUT);
                self.jobs.insert(id, (request_id, None));
                self.poll_platform(now, actions);
                return;
            }
            OperatorRequest::Plan(intent) => match self.plan_for(now, &intent) {
                Ok(plan) => {
                    let call = PlatformCall::PlanPut(request_id, Box::new(plan));
                    actions.push(Action::CallPlatform(call));
                    return;
                }
                Err(error) => Err(error),
            },
            OperatorRequest::Confirm(id) => {
                actions.push(Action::CallPlatform(PlatformCall::PlanGet(request_id, id)));
                return;
            }
            OperatorRequest::Moves => Ok(OperatorAnswer::Moves(self.view_moves(now))),
            OperatorRequest::Status => Ok(OperatorAnswer::Status(Box::new(self.view_status(now)))),
            OperatorRequest::Config => {
                let config = MeshConfig::clone(self.config());
                Ok(OperatorAnswer::Config(Box::new(config)))
            }
        };
        actions.push(Action::AnswerOperator(request_id, answer));
    }

    fn accepted_answer(&self) -> OperatorAnswer {
        OperatorAnswer::Accepted(Accepted {
            counter: self.config().counter,
        })
    }

    fn plan_for(&mut self, now: Millis, intent: &Intent) -> Result<Plan, OperatorError> {
        let control = &self.settings.control;
        let settings = PlanSettings {
            spread: control.spread,
            clock_error: control.clock_error,
            platform_timeout: control.platform_timeout,
            ..PlanSettings::default()
        };
        let servers = self.view_servers();
        let seed = self.random.bits();
        let context = PlanContext {
            config: self.distribution.config(),
            servers: &servers,
            settings: &settings,
            now,
            seed,
        };
        compute_plan(context, intent).map_err(|error| {
            let message = error.to_string();
            match error {
                PlanError::Busy { .. }
                | PlanError::AlreadyEnded { .. }
                | PlanError::AlreadyRetired { .. } => OperatorError::Conflict(message),
                _ => OperatorError::Invalid(message),
            }
        })
    }

    fn view_servers(&self) -> Servers {
        let roster = self.membership.roster();
        let view = |m: &Member| {
            let server = m.server.as_ref()?;
            let view = ServerView {
                service: server.service.clone(),
                version: server.version.clone(),
                is_available: !m.leaving && roster.reachability(m.id) == Reachability::Reachable,
            };
            Some((m.id, view))
        };
        roster.members().filter_map(view).collect()
    }

    pub(super) fn handle_plan_put(
        &mut self,
        request_id: RequestId,
        plan: Box<Plan>,
        result: Result<ObjectVersion, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let answer = match result {
            Ok(_) => {
                self.plan_deletions
                    .insert((plan.expires + PLAN_RETENTION, plan.id));
                Ok(OperatorAnswer::Plan(plan))
            }
            Err(error) => Err(OperatorError::Unavailable(error.to_string())),
        };
        actions.push(Action::AnswerOperator(request_id, answer));
    }

    pub(super) fn handle_plan_get(
        &mut self,
        now: Millis,
        request_id: RequestId,
        id: PlanId,
        result: Result<Object, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let plan: Plan = match read_plan(id, result) {
            Ok(plan) => plan,
            Err(error) => {
                actions.push(Action::AnswerOperator(request_id, Err(error)));
                return;
            }
        };
        let target = match plan.intent {
            Intent::TakeBack { target } => target,
            _ => MoveId(id.0),
        };
        let change = Change::Confirm(Box::new(plan));
        let job = self.writer.submit(change, now + CHANGE_TIMEOUT);
        self.jobs.insert(job, (request_id, Some(target)));
    }

    /// Handles the result of a writer job: adopts the configuration, and answers the request that
    /// waits for the job.
    pub(super) fn handle_job_result(
        &mut self,
        now: Millis,
        result: Option<JobResult>,
        actions: &mut Vec<Action>,
    ) {
        let Some(result) = result else {
            return;
        };
        if let Some(config) = result.config {
            self.adopt(now, config);
        }
        let Some((request_id, target)) = self.jobs.remove(&result.id) else {
            return;
        };
        let answer = job_answer(result.outcome, target);
        actions.push(Action::AnswerOperator(request_id, answer));
    }

    fn view_moves(&self, now: Millis) -> Vec<MoveView> {
        let mut views: Vec<MoveView> = self
            .config()
            .moves
            .values()
            .map(|m| {
                let stop_reason = self.stop_orders.get(&m.id()).map(|o| o.reason.as_str());
                MoveView::new(m, stop_reason, now)
            })
            .collect();
        views.sort_by_key(|m| m.confirmed);
        views
    }

    fn view_status(&self, now: Millis) -> StatusView {
        let roster = self.membership.roster();
        let applied = self.distribution.applied();
        let name = |id: InstanceId| {
            roster
                .get(id)
                .map_or_else(|| id.to_string(), |m| m.name.clone())
        };
        let reachable: Vec<&Member> = roster.reachable().collect();
        let missing = reachable.iter().filter(|m| !applied.contains(&m.id));
        StatusView {
            instance: self.settings.instance.clone(),
            counter: self.config().counter,
            known: roster.len(),
            reachable: reachable.len(),
            in_force: reachable.iter().filter(|m| applied.contains(&m.id)).count(),
            missing: missing.map(|m| m.name.clone()).collect(),
            unreachable: roster.unreachable().map(name).collect(),
            refused: self.distribution.refused().map(|r| RefusedView {
                counter: r.counter,
                errors: r.errors.clone(),
            }),
            conducts: self.platform.moves_epoch(now),
            watches: self.platform.holds_watch_lease(now),
            is_platform_up: self.platform.is_up(),
            weights: self.view_weights(now),
            servers: self.view_server_statuses(),
        }
    }

    fn view_weights(&self, now: Millis) -> BTreeMap<ServiceName, BTreeMap<VersionName, u64>> {
        let config = self.config();
        let stopped = self.stopped_moves();
        let compute =
            |name: &ServiceName| rf_config::weights::compute_effective(config, name, &stopped, now);
        let names = config.services.keys();
        names.map(|name| (name.clone(), compute(name))).collect()
    }

    fn view_server_statuses(&self) -> Vec<ServerStatus> {
        let servers = self.view_servers();
        let roster = self.membership.roster();
        let describe = |m: &Member| {
            let server = m.server.as_ref()?;
            let is_retired = self.config().retired.contains(&m.id);
            Some(ServerStatus {
                instance: m.name.clone(),
                id: m.id,
                zone: m.zone.clone(),
                service: server.service.clone(),
                version: server.version.clone(),
                slots: server.slots,
                is_available: !is_retired && servers.get(&m.id).is_some_and(|s| s.is_available),
            })
        };
        roster.members().filter_map(describe).collect()
    }
}

fn read_plan(id: PlanId, result: Result<Object, StoreError>) -> Result<Plan, OperatorError> {
    let object = result.map_err(|error| match error {
        StoreError::NotFound => OperatorError::NotFound(format!("no plan {id}")),
        other => OperatorError::Unavailable(other.to_string()),
    })?;
    serde_json::from_slice(&object.value)
        .map_err(|e| OperatorError::Unavailable(format!("plan {id} does not parse: {e}")))
}

fn job_answer(outcome: JobOutcome, target: Option<MoveId>) -> OperatorResult {
    match (outcome, target) {
        (JobOutcome::Written(counter), Some(confirmed)) => {
            Ok(OperatorAnswer::Confirmed(Confirmed { confirmed, counter }))
        }
        (JobOutcome::Written(counter), None) => Ok(OperatorAnswer::Accepted(Accepted { counter })),
        (JobOutcome::Refused(error), _) => Err(to_operator_error(&error)),
        (JobOutcome::Unavailable(message), _) => Err(OperatorError::Unavailable(message)),
        (JobOutcome::Unknown(message), _) => Err(OperatorError::Unknown(message)),
    }
}

fn to_operator_error(error: &ChangeError) -> OperatorError {
    let message = error.to_string();
    match error {
        ChangeError::Invalid { .. } => OperatorError::Invalid(message),
        ChangeError::UnknownMove { .. } => OperatorError::NotFound(message),
        _ => OperatorError::Conflict(message),
    }
}
