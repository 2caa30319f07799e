//! Evidence and judgement of running moves.
//!
//! Every daemon beside a backend server of a moving service sends its windows to a few judges: the
//! daemons that rank highest for the move, and the one that conducts it. Each judge runs the same
//! test, and the first to convict brakes the move everywhere, with or without the platform.

use super::event::Action;
use super::machine::Control;
use rf_base::{InstanceId, Millis, MoveId};
use rf_config::{Intent, MeshConfig, Move, MoveState};
use rf_membership::overlay::highest_ranked;
use rf_protocol::{Evidence, Request, Side, StopOrder};
use rf_rollout::controller::JudgeReport;
use rf_rollout::judge::false_alarm_rate;
use rf_rollout::{Assessment, Change, ControllerInput, Judge, JudgeSettings, MoveController};
use std::collections::{BTreeMap, BTreeSet};

/// Judges of one move besides its conductor.
const JUDGES: usize = 3;
/// Time for which a job of the conductor is tried.
const JOB_TIME: Millis = Millis(10_000);

/// Judges of this daemon by move.
#[derive(Debug)]
pub struct Judging {
    me: InstanceId,
    cases: BTreeMap<MoveId, Case>,
}

#[derive(Debug)]
struct Case {
    judge: Judge,
    opinion: Assessment,
    step: usize,
    step_calls: (u64, u64),
}

impl Judging {
    /// Makes the judging of daemon `me` without cases.
    pub fn new(me: InstanceId) -> Judging {
        Judging {
            me,
            cases: BTreeMap::new(),
        }
    }

    /// Takes in evidence of a running move; evidence of others is dropped.
    pub fn absorb(&mut self, config: &MeshConfig, evidence: &Evidence) {
        let Some(m) = config.moves.get(&evidence.move_id) else {
            return;
        };
        if !m.state.is_running() {
            return;
        }
        let case = self
            .cases
            .entry(evidence.move_id)
            .or_insert_with(|| Case::new(config, m));
        case.judge.add_evidence(evidence);
    }

    /// Forgets moves that are not running.
    pub fn retain(&mut self, config: &MeshConfig) {
        self.cases.retain(|id, _| {
            let m = config.moves.get(id);
            m.is_some_and(|m| m.state.is_running())
        });
    }

    /// Judges what has settled; returns the brakes to apply.
    fn advance(&mut self, now: Millis, config: &MeshConfig) -> Vec<StopOrder> {
        let mut brakes = Vec::new();
        for (id, case) in &mut self.cases {
            case.opinion = case.judge.advance(now);
            case.follow(config.moves.get(id));
            if let Assessment::Bad(reason) = &case.opinion {
                brakes.push(StopOrder {
                    move_id: *id,
                    at: now,
                    judge: self.me,
                    reason: reason.clone(),
                });
            }
        }
        brakes
    }

    fn testimony(&self) -> BTreeMap<MoveId, JudgeReport> {
        let testify = |(id, case): (&MoveId, &Case)| {
            let (old, new) = case.judge.calls();
            let testimony = JudgeReport {
                assessment: case.opinion.clone(),
                old_calls: old - case.step_calls.0,
                new_calls: new - case.step_calls.1,
            };
            (*id, testimony)
        };
        self.cases.iter().map(testify).collect()
    }
}

impl Case {
    fn new(config: &MeshConfig, m: &Move) -> Case {
        let service = &m.plan.service;
        let routes = config.routes.iter().filter(|r| r.service == *service);
        let policy = config.services.get(service).map(|s| s.policy);
        let settings = JudgeSettings {
            alpha: false_alarm_rate(policy.unwrap_or_default()),
            horizon: m.plan.deadline.since(m.confirmed),
            steps: m.plan.steps.len(),
            routes: routes.count(),
        };
        Case {
            judge: Judge::new(&settings),
            opinion: Assessment::Clean,
            step: 0,
            step_calls: (0, 0),
        }
    }

    /// Starts the count of calls anew when the move took a step.
    fn follow(&mut self, m: Option<&Move>) {
        let Some(MoveState::Running { step }) = m.map(|m| &m.state) else {
            return;
        };
        if *step != self.step {
            self.step = *step;
            self.judge.enter_step();
            self.step_calls = self.judge.calls();
        }
    }
}

impl Control {
    /// Sends evidence and judges what arrived.
    pub(super) fn judge(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.send_evidence(now, actions);
        let config = self.distribution.config().clone();
        for brake in self.judging.advance(now, &config) {
            self.brake(now, brake);
        }
    }

    fn send_evidence(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(windows) = self.recorder.take_final(now) else {
            return;
        };
        let Some((target, side)) = self.find_side() else {
            return;
        };
        let evidence = Evidence {
            move_id: target,
            observer: self.id(),
            side,
            windows,
        };
        for judge in self.judges_of(target) {
            if judge == self.id() {
                let config = self.distribution.config().clone();
                self.judging.absorb(&config, &evidence);
                continue;
            }
            if let Some(to) = self.membership.target(judge) {
                let request = Request::Evidence(Box::new(evidence.clone()));
                actions.push(Action::SendPeer(to, request));
            }
        }
    }

    /// Finds the running shift that concerns the backend server of this instance.
    fn find_side(&self) -> Option<(MoveId, Side)> {
        let server = self.membership.me().server.as_ref()?;
        let m = self
            .config()
            .running_moves()
            .find(|m| m.plan.service == server.service)?;
        let Intent::Shift { version, .. } = &m.plan.intent else {
            return None;
        };
        let side = match *version == server.version {
            true => Side::New,
            false => Side::Old,
        };
        Some((m.id(), side))
    }

    fn judges_of(&self, target: MoveId) -> BTreeSet<InstanceId> {
        let reachable = self.membership.roster().reachable().map(|m| m.id);
        let mut judges: BTreeSet<InstanceId> = highest_ranked(target.0, reachable, JUDGES)
            .into_iter()
            .collect();
        judges.extend(self.owner.map(|o| o.instance));
        judges
    }

    /// Submits the changes that move the mesh on, where this daemon holds the moves lease.
    pub(super) fn conduct(&mut self, now: Millis) {
        let Some(epoch) = self.platform.moves_epoch(now) else {
            return;
        };
        let view = ControllerInput {
            config: self.distribution.config(),
            stop_orders: &self.brakes,
            reports: &self.judging.testimony(),
            drained: &self.drained(now),
            removed: &self.gone(now),
            epoch,
            now,
        };
        let changes: Vec<Change> = MoveController::compute_changes(&view);
        for change in changes {
            if !self.writer.is_pending(&change) {
                self.writer.submit(change, now + JOB_TIME);
            }
        }
    }

    /// Returns the retired instances that have been forgotten.
    fn gone(&self, now: Millis) -> BTreeSet<InstanceId> {
        if !self.knows_roster(now) {
            return BTreeSet::new();
        }
        let roster = self.membership.roster();
        let retired = self.config().retired.iter().copied();
        retired.filter(|id| roster.get(*id).is_none()).collect()
    }
}
