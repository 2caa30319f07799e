//! Collection of evidence about running moves, and their judges.
//!
//! Each daemon beside a backend server of a service that is being shifted sends its call counts to
//! several judges: the daemons that rank highest for the move, and the holder of the moves lease,
//! which advances it. All judges run the same test. The first one that finds the new version worse
//! issues a stop order, which spreads from daemon to daemon and takes effect everywhere even if the
//! platform is down.

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

/// Number of judges of one move besides the holder of the moves lease.
const RANKED_JUDGES: usize = 3;
/// Time within which failed platform calls of an automatic change are retried.
const CHANGE_TIMEOUT: Millis = Millis(10_000);

/// Judges that run in this daemon, by move.
#[derive(Debug)]
pub struct MoveJudges {
    me: InstanceId,
    moves: BTreeMap<MoveId, JudgedMove>,
}

#[derive(Debug)]
struct JudgedMove {
    judge: Judge,
    assessment: Assessment,
    step: usize,
    /// Numbers of calls on the old and the new version at the start of the step.
    step_calls: (u64, u64),
}

impl MoveJudges {
    /// Creates the judges of daemon `me`, without moves.
    pub fn new(me: InstanceId) -> MoveJudges {
        MoveJudges {
            me,
            moves: BTreeMap::new(),
        }
    }

    /// Adds evidence about a move; evidence about a move that is not running is dropped.
    pub fn add_evidence(&mut self, config: &MeshConfig, evidence: &Evidence) {
        let Some(m) = config.moves.get(&evidence.move_id) else {
            return;
        };
        if !m.state.is_running() {
            return;
        }
        let judged = self
            .moves
            .entry(evidence.move_id)
            .or_insert_with(|| JudgedMove::new(config, m));
        judged.judge.add_evidence(evidence);
    }

    /// Removes the judges of moves that are not running.
    pub fn retain(&mut self, config: &MeshConfig) {
        self.moves.retain(|id, _| {
            let m = config.moves.get(id);
            m.is_some_and(|m| m.state.is_running())
        });
    }

    /// Judges the windows that are due by `now`; returns the stop orders to apply.
    fn advance(&mut self, now: Millis, config: &MeshConfig) -> Vec<StopOrder> {
        let mut orders = Vec::new();
        for (id, judged) in &mut self.moves {
            judged.assessment = judged.judge.advance(now);
            judged.update_step(config.moves.get(id));
            if let Assessment::Bad(reason) = &judged.assessment {
                orders.push(StopOrder {
                    move_id: *id,
                    at: now,
                    judge: self.me,
                    reason: reason.clone(),
                });
            }
        }
        orders
    }

    fn reports(&self) -> BTreeMap<MoveId, JudgeReport> {
        let report = |(id, judged): (&MoveId, &JudgedMove)| {
            let (old, new) = judged.judge.calls();
            let report = JudgeReport {
                assessment: judged.assessment.clone(),
                old_calls: old - judged.step_calls.0,
                new_calls: new - judged.step_calls.1,
            };
            (*id, report)
        };
        self.moves.iter().map(report).collect()
    }
}

impl JudgedMove {
    fn new(config: &MeshConfig, m: &Move) -> JudgedMove {
        let service = &m.plan.service;
        let routes = config.routes.iter().filter(|r| r.service == *service);
        let policy = config.services.get(service).map(|s| s.policy);
        let settings = JudgeSettings {
            alpha: false_alarm_rate(policy.unwrap_or_default()),
            horizon: m.plan.deadline.since(m.confirmed),
            steps: m.plan.steps.len(),
            routes: routes.count(),
        };
        JudgedMove {
            judge: Judge::new(&settings),
            assessment: Assessment::Clean,
            step: 0,
            step_calls: (0, 0),
        }
    }

    /// Restarts the count of calls if the move has entered another step.
    fn update_step(&mut self, m: Option<&Move>) {
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
    /// Sends the evidence of this instance, and applies the stop orders of this daemon's judges.
    pub(super) fn judge(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.send_evidence(now, actions);
        let config = self.distribution.config().clone();
        for order in self.judging.advance(now, &config) {
            self.apply_stop_order(now, order);
        }
    }

    fn send_evidence(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(windows) = self.recorder.take_complete(now) else {
            return;
        };
        let Some((move_id, side)) = self.find_side() else {
            return;
        };
        let evidence = Evidence {
            move_id,
            observer: self.id(),
            side,
            windows,
        };
        for judge in self.judges_of(move_id) {
            if judge == self.id() {
                let config = self.distribution.config().clone();
                self.judging.add_evidence(&config, &evidence);
                continue;
            }
            if let Some(to) = self.membership.target(judge) {
                let request = Request::Evidence(Box::new(evidence.clone()));
                actions.push(Action::SendPeer(to, request));
            }
        }
    }

    /// Returns the running shift of the local backend server's service, and whether the backend
    /// server runs its old or its new version.
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

    /// Returns the judges of a move: the daemons that rank highest for it and the holder of the
    /// moves lease.
    fn judges_of(&self, move_id: MoveId) -> BTreeSet<InstanceId> {
        let reachable = self.membership.roster().reachable().map(|m| m.id);
        let mut judges: BTreeSet<InstanceId> = highest_ranked(move_id.0, reachable, RANKED_JUDGES)
            .into_iter()
            .collect();
        judges.extend(self.moves_holder.map(|h| h.instance));
        judges
    }

    /// Submits the due changes of all running moves, if this daemon holds the moves lease.
    pub(super) fn advance_moves(&mut self, now: Millis) {
        let Some(epoch) = self.platform.moves_epoch(now) else {
            return;
        };
        let input = ControllerInput {
            config: self.distribution.config(),
            stop_orders: &self.stop_orders,
            reports: &self.judging.reports(),
            drained: &self.drained(now),
            removed: &self.removed(now),
            epoch,
            now,
        };
        let changes: Vec<Change> = MoveController::compute_changes(&input);
        for change in changes {
            if !self.writer.is_pending(&change) {
                self.writer.submit(change, now + CHANGE_TIMEOUT);
            }
        }
    }

    /// Returns the retired instances that have been removed from the membership.
    fn removed(&self, now: Millis) -> BTreeSet<InstanceId> {
        if !self.is_roster_complete(now) {
            return BTreeSet::new();
        }
        let roster = self.membership.roster();
        let retired = self.config().retired.iter().copied();
        retired.filter(|id| roster.get(*id).is_none()).collect()
    }
}
