//! A move on synthetic evidence and a virtual clock.
//!
//! Runs the real planner, judge, conductor and changes against a modelled service: calls arrive at
//! a steady rate, divide between the versions by the progress of the move, and fail or slow down as
//! the case says. The platform may have outages. Nothing here sleeps or does I/O, so a seed repeats
//! a run exactly.

use rf_base::{
    Epoch, InstanceId, Millis, MoveId, OperationId, SeededRandom, ServiceName, VersionName,
};
use rf_config::weights::{TOTAL_WEIGHT, compute_effective};
use rf_config::{
    Intent, MeshConfig, MoveState, Outcome, Plan, Policy, Route, Service, VersionSpec,
};
use rf_protocol::evidence::{WINDOW, latency_bucket};
use rf_protocol::{Brake, Cell, Evidence, Side, Window};
use rf_rollout::controller::JudgeReport;
use rf_rollout::judge::false_alarm_rate;
use rf_rollout::plan::{PlanContext, Servers};
use rf_rollout::{
    Assessment, Change, ControllerInput, Judge, JudgeSettings, MoveController, PlanSettings,
    ServerView, apply_change, compute_plan,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time from the end of a window to the arrival of its evidence.
const ARRIVAL: Millis = Millis(100);
/// Share of failures at which the baseline takes a move back.
const BASELINE_MAX_FAILURES: f64 = 0.05;
/// Calls of the new version in one look of the baseline.
const BASELINE_CALLS: u64 = 20;
/// Windows of one look of the baseline.
const BASELINE_WINDOWS: usize = 10;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The product's judge and conductor.
    Product,
    /// Fixed steps and a threshold on the new version's share of failures.
    Baseline,
}

/// What is wrong with a version, from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Version; both where absent, as with a dependency that fails.
    pub side: Option<Side>,
    /// Time since the confirmation from which it is wrong.
    pub from: Millis,
    /// Time until which it is wrong.
    pub until: Millis,
    /// Route that is concerned; all where absent.
    pub route: Option<u64>,
    /// Progress from which it shows, as with a version that is bad under load.
    pub progress: u32,
    /// Share of calls that fail.
    pub failing: f64,
    /// Factor on the latency.
    pub slowness: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Fault {
            side: Some(Side::New),
            from: Millis::ZERO,
            until: Millis(u64::MAX),
            route: None,
            progress: 0,
            failing: 0.0,
            slowness: 1.0,
        }
    }
}

/// A move to simulate.
#[derive(Clone, Debug)]
pub struct Case {
    /// Policy of the service.
    pub policy: Policy,
    /// Time that the move gets.
    pub by: Millis,
    /// Calls a second, over all routes.
    pub rate: f64,
    /// Routes of the service.
    pub routes: u64,
    /// Share of calls that fail on either version anyway.
    pub background: f64,
    /// Usual latency.
    pub latency: Millis,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Outages of the platform, since the confirmation.
    pub outages: Vec<(Millis, Millis)>,
    /// Seed.
    pub seed: u64,
    /// Who decides.
    pub strategy: Strategy,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            policy: Policy::Certainty,
            by: Millis::from_secs(120),
            rate: 100.0,
            routes: 1,
            background: 0.005,
            latency: Millis(10),
            faults: Vec::new(),
            outages: Vec::new(),
            seed: 1,
            strategy: Strategy::Product,
        }
    }
}

/// How a simulated move went.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedMove {
    /// Decisions with their times and reasons.
    pub log: Vec<String>,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the confirmation to the record of the end.
    pub ended: Millis,
    /// Time from the confirmation to the last call on the new version, if it was taken back.
    pub stopped: Millis,
    /// Share of all calls that the new version received until then.
    pub exposure: f64,
    /// Time from the first bad call of the new version to its last call.
    pub reaction: Millis,
}

const START: Millis = Millis(1_000_000_000);

/// State of a simulated move.
struct Simulation<'a> {
    case: &'a Case,
    random: SeededRandom,
    config: MeshConfig,
    judge: Judge,
    stop_orders: BTreeMap<MoveId, Brake>,
    id: MoveId,
    step: usize,
    step_calls: (u64, u64),
    assessment: Assessment,
    log: Vec<String>,
    calls: (u64, u64),
    last_new: Millis,
    first_bad: Option<Millis>,
    windows: Vec<(u64, u64)>,
    operations: u64,
}

/// Simulates `case`.
///
/// # Panics
///
/// Panics where the intent is refused, which is a mistake in the case.
pub fn run(case: &Case) -> SimulatedMove {
    let config = make_config(case);
    let plan = make_plan(case, &config);
    let id = MoveId(plan.id.0);
    let settings = JudgeSettings {
        alpha: false_alarm_rate(case.policy),
        horizon: case.by,
        steps: plan.steps.len(),
        routes: case.routes as usize,
    };
    let mut simulation = Simulation {
        case,
        random: SeededRandom::new(case.seed),
        config,
        judge: Judge::new(&settings),
        stop_orders: BTreeMap::new(),
        id,
        step: 0,
        step_calls: (0, 0),
        assessment: Assessment::Clean,
        log: Vec::new(),
        calls: (0, 0),
        last_new: START,
        first_bad: None,
        windows: Vec::new(),
        operations: 0,
    };
    simulation.apply(START, &Change::Confirm(Box::new(plan)));
    simulation.run()
}

fn service_name() -> ServiceName {
    "payments".into()
}

fn make_config(case: &Case) -> MeshConfig {
    let mut service = Service {
        policy: case.policy,
        ..Service::default()
    };
    for (version, weight) in [("v1", 100), ("v2", 0)] {
        service
            .versions
            .insert(version.into(), VersionSpec { weight });
    }
    let route = |i: u64| Route {
        host: "*".to_owned(),
        prefix: format!("/{i}"),
        service: service_name(),
        ..Route::default()
    };
    MeshConfig {
        services: BTreeMap::from([(service_name(), service)]),
        routes: (0..case.routes).map(route).collect(),
        ..MeshConfig::default()
    }
}

fn make_plan(case: &Case, config: &MeshConfig) -> Plan {
    let server = |version: &str| ServerView {
        service: service_name(),
        version: version.into(),
        is_available: true,
    };
    let servers = Servers::from([(InstanceId(1), server("v1")), (InstanceId(2), server("v2"))]);
    let context = PlanContext {
        config,
        servers: &servers,
        settings: &PlanSettings::default(),
        now: START,
        seed: 1,
    };
    let intent = Intent::Shift {
        service: service_name(),
        version: "v2".into(),
        share: 100,
        by: START + case.by,
    };
    compute_plan(context, &intent).expect("the case's intent can be met")
}

impl Simulation<'_> {
    fn run(mut self) -> SimulatedMove {
        let mut now = START;
        loop {
            let window_end = now + WINDOW;
            self.serve(now);
            now = window_end;
            self.decide(now + ARRIVAL);
            let m = &self.config.moves[&self.id];
            if let MoveState::Ended { outcome, at, .. } = m.state {
                return self.finish(outcome, at);
            }
            assert!(now < START + time_limit(self.case), "the move never ended");
        }
    }

    fn finish(self, outcome: Outcome, at: Millis) -> SimulatedMove {
        let (old, new) = self.calls;
        SimulatedMove {
            outcome,
            ended: at.since(START),
            stopped: self.last_new.since(START),
            exposure: new as f64 / (old + new).max(1) as f64,
            reaction: self
                .first_bad
                .map_or(Millis::ZERO, |t| self.last_new.since(t)),
            log: self.log,
        }
    }

    /// Serves the calls of one window and hands their evidence to the judge.
    fn serve(&mut self, now: Millis) {
        let stopped = self.stop_orders.keys().copied().collect();
        let weights = compute_effective(&self.config, &service_name(), &stopped, now);
        let new_version = VersionName::from("v2");
        let share = weights.get(&new_version).copied().unwrap_or(0) as f64 / TOTAL_WEIGHT as f64;
        let expected = self.case.rate * WINDOW.0 as f64 / 1000.0;
        let count = expected as u64 + u64::from(self.random.fraction() < expected.fract());
        let mut cells: BTreeMap<(Side, u64), Cell> = BTreeMap::new();
        for _ in 0..count {
            let side = match self.random.fraction() < share {
                true => Side::New,
                false => Side::Old,
            };
            let route = self.random.below(self.case.routes);
            let cell = cells.entry((side, route)).or_insert_with(|| Cell {
                route,
                ..Cell::default()
            });
            let age = now.since(START);
            let call = self.case.draw(&mut self.random, side, route, age, share);
            cell.calls += 1;
            cell.failures += u32::from(call.is_failure);
            cell.latency[latency_bucket(call.latency)] += 1;
            if side == Side::New {
                self.last_new = now + WINDOW;
                if call.is_bad && self.first_bad.is_none() {
                    self.first_bad = Some(now);
                }
            }
        }
        self.count(&cells);
        for side in [Side::Old, Side::New] {
            self.judge.add_evidence(&Evidence {
                target: self.id,
                observer: InstanceId(side as u64 + 1),
                side,
                windows: vec![Window {
                    slot: now.0 / WINDOW.0,
                    cells: cells
                        .iter()
                        .filter(|((s, _), _)| *s == side)
                        .map(|(_, c)| c.clone())
                        .collect(),
                }],
            });
        }
    }

    fn count(&mut self, cells: &BTreeMap<(Side, u64), Cell>) {
        let mut window = (0, 0);
        for ((side, _), cell) in cells {
            let calls = u64::from(cell.calls);
            match side {
                Side::Old => self.calls.0 += calls,
                Side::New => {
                    self.calls.1 += calls;
                    window.0 += calls;
                    window.1 += u64::from(cell.failures);
                }
            }
        }
        self.windows.push(window);
    }

    fn decide(&mut self, now: Millis) {
        match self.case.strategy {
            Strategy::Product => self.judge(now),
            Strategy::Baseline => self.judge_baseline(now),
        }
        let m = &self.config.moves[&self.id];
        if let MoveState::Running { step } = m.state
            && step != self.step
        {
            self.step = step;
            self.judge.enter_step();
            self.step_calls = self.judge.calls();
        }
        for change in self.due_changes(now) {
            self.apply(now, &change);
        }
    }

    fn judge(&mut self, now: Millis) {
        self.assessment = self.judge.advance(now);
        if let Assessment::Bad(reason) = self.assessment.clone() {
            self.issue_stop_order(now, reason);
        }
    }

    fn judge_baseline(&mut self, now: Millis) {
        let recent = self.windows.iter().rev().take(BASELINE_WINDOWS);
        let (calls, failures) =
            recent.fold((0, 0), |sum, window| (sum.0 + window.0, sum.1 + window.1));
        let share = failures as f64 / calls.max(1) as f64;
        if calls >= BASELINE_CALLS && share > BASELINE_MAX_FAILURES {
            self.issue_stop_order(now, format!("{failures} of {calls} calls failed"));
        }
    }

    fn issue_stop_order(&mut self, now: Millis, reason: String) {
        if self.stop_orders.contains_key(&self.id) {
            return;
        }
        self.note(now, &format!("brake: {reason}"));
        let stop_order = Brake {
            target: self.id,
            at: now,
            judge: InstanceId(1),
            reason,
        };
        self.stop_orders.insert(self.id, stop_order);
    }

    fn due_changes(&self, now: Millis) -> Vec<Change> {
        let (old, new) = self.judge.calls();
        let report = JudgeReport {
            assessment: self.assessment.clone(),
            // The baseline asks for no number of calls.
            old_calls: match self.case.strategy {
                Strategy::Product => old - self.step_calls.0,
                Strategy::Baseline => u64::MAX,
            },
            new_calls: match self.case.strategy {
                Strategy::Product => new - self.step_calls.1,
                Strategy::Baseline => u64::MAX,
            },
        };
        MoveController::compute_changes(&ControllerInput {
            config: &self.config,
            stop_orders: &self.stop_orders,
            reports: &BTreeMap::from([(self.id, report)]),
            drained: &BTreeSet::new(),
            removed: &BTreeSet::new(),
            epoch: Epoch(1),
            now,
        })
    }

    fn apply(&mut self, now: Millis, change: &Change) {
        let age = now.since(START);
        if self
            .case
            .outages
            .iter()
            .any(|(from, to)| (*from..*to).contains(&age))
        {
            return;
        }
        self.operations += 1;
        let operation = OperationId(self.operations);
        match apply_change(&self.config, change, operation, now) {
            Ok(Some(config)) => {
                self.config = config;
                let text = describe(change);
                self.note(now, &text);
            }
            Ok(None) => {}
            Err(error) => self.note(now, &format!("refused: {error}")),
        }
    }

    fn note(&mut self, now: Millis, text: &str) {
        let age = now.since(START).0 as f64 / 1000.0;
        self.log.push(format!("{age:.1} {text}"));
    }
}

fn time_limit(case: &Case) -> Millis {
    let outages = case.outages.iter().map(|(_, to)| *to).max();
    case.by + outages.unwrap_or_default() + Millis(60_000)
}

fn describe(change: &Change) -> String {
    match change {
        Change::Confirm(plan) => {
            let times = plan.steps.iter().map(|s| {
                let at = s.at.since(START).0 as f64 / 1000.0;
                format!("{}@{at:.1}", s.progress)
            });
            let times: Vec<String> = times.collect();
            let finish = plan.finish.since(START).0 as f64 / 1000.0;
            let latest = plan.latest.since(START).0 as f64 / 1000.0;
            format!(
                "confirmed: steps {}, done {finish:.1} to {latest:.1}",
                times.join(" ")
            )
        }
        Change::Advance { step, .. } => format!("step {}", step + 1),
        Change::Finish {
            outcome, reason, ..
        } => format!("{outcome}: {reason}"),
        other => format!("{other:?}"),
    }
}

/// One modelled call.
struct Call {
    is_failure: bool,
    is_bad: bool,
    latency: u64,
}

impl Case {
    fn draw(
        &self,
        random: &mut SeededRandom,
        side: Side,
        route: u64,
        age: Millis,
        share: f64,
    ) -> Call {
        let concerns = |f: &&Fault| {
            f.side.is_none_or(|s| s == side)
                && f.route.is_none_or(|r| r == route)
                && (f.from..f.until).contains(&age)
                && share * 1000.0 >= f64::from(f.progress)
        };
        let faults = || self.faults.iter().filter(concerns);
        let failing = faults().map(|f| f.failing).fold(self.background, f64::max);
        let slowness = faults().map(|f| f.slowness).fold(1.0, f64::max);
        let spread = 0.5 + random.fraction();
        Call {
            is_failure: random.fraction() < failing,
            is_bad: faults().next().is_some(),
            latency: (self.latency.0 as f64 * slowness * spread) as u64,
        }
    }
}
