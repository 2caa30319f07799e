//! Simulation of a move with synthetic evidence on a virtual clock.
//!
//! It runs the real planner, judge, controller and changes against a modelled service. In each
//! evidence window, calls arrive at a steady rate, are split between the old and the new version by
//! their effective weights, and fail or slow down as the case specifies. The judge then gets the
//! evidence of the window and the controller computes the changes that are due. The platform may
//! have outages, during which no change takes effect. Nothing sleeps or does I/O, so equal seeds
//! give equal runs.

use rf_base::{
    Epoch, InstanceId, Millis, MoveId, OperationId, SeededRandom, ServiceName, VersionName,
};
use rf_config::weights::{TOTAL_WEIGHT, compute_effective};
use rf_config::{
    Intent, MeshConfig, MoveState, Outcome, Plan, Policy, Route, Service, VersionSpec,
};
use rf_protocol::evidence::{WINDOW, latency_bucket};
use rf_protocol::{Evidence, RouteCounts, Side, StopOrder, Window};
use rf_rollout::controller::JudgeReport;
use rf_rollout::judge::false_alarm_rate;
use rf_rollout::plan::{PlanContext, Servers};
use rf_rollout::{
    Assessment, Change, ControllerInput, Judge, JudgeSettings, MoveController, PlanSettings,
    ServerView, apply_change, compute_plan,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time from the end of a window to the arrival of its evidence at the judge.
const EVIDENCE_DELAY: Millis = Millis(100);
/// Fraction of failures, from 0 to 1, above which the baseline takes a move back.
const BASELINE_MAX_FAILURES: f64 = 0.05;
/// Minimum number of calls on the new version for the baseline to decide.
const BASELINE_MIN_CALLS: u64 = 20;
/// Number of most recent windows that the baseline considers.
const BASELINE_WINDOWS: usize = 10;

/// Rule that decides about the move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The judge and the controller of the product.
    Product,
    /// The planned steps without a minimum number of calls, and a threshold on the new version's
    /// fraction of failures.
    Baseline,
}

/// A fault of the modelled service during a span of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Version that is affected; both if absent, as with a failing dependency.
    pub side: Option<Side>,
    /// Start of the fault, as time since the confirmation.
    pub from: Millis,
    /// End of the fault (exclusive), as time since the confirmation.
    pub until: Millis,
    /// Route that is affected; all if absent.
    pub route: Option<u64>,
    /// Share of calls on the new version, in thousandths, from which the fault shows, as with a
    /// version that fails under load.
    pub progress: u32,
    /// Fraction of calls that fail, from 0 to 1.
    pub failing: f64,
    /// Factor by which the latency increases; at least 1.
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

/// Parameters of a simulated move.
#[derive(Clone, Debug)]
pub struct Case {
    /// Move policy of the service.
    pub policy: Policy,
    /// Time from the confirmation to the deadline of the move.
    pub by: Millis,
    /// Calls per second over all routes and versions.
    pub rate: f64,
    /// Number of routes of the service.
    pub routes: u64,
    /// Fraction of calls, from 0 to 1, that fail on both versions without a fault.
    pub background: f64,
    /// Mean latency without a fault; a call takes between half and one and a half times as long.
    pub latency: Millis,
    /// Faults, of which the highest failure rate and latency factor apply at a time.
    pub faults: Vec<Fault>,
    /// Start and end of each outage of the platform, as times since the confirmation.
    pub outages: Vec<(Millis, Millis)>,
    /// Seed of the random generator.
    pub seed: u64,
    /// Rule that decides about the move.
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

/// Result of a simulated move.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedMove {
    /// Decisions with their reasons, each after the seconds since the confirmation.
    pub log: Vec<String>,
    /// Outcome of the move.
    pub outcome: Outcome,
    /// Time from the confirmation to the recorded end of the move.
    pub ended: Millis,
    /// Time from the confirmation to the end of the last window with a call on the new version.
    pub stopped: Millis,
    /// Fraction of all calls that the new version received.
    pub exposure: f64,
    /// Time from the first faulty call on the new version to its last call; zero if there was none.
    pub reaction: Millis,
}

/// Time of the confirmation on the virtual clock; the value is arbitrary.
const START: Millis = Millis(1_000_000_000);

/// State of a simulated move.
struct Simulation<'a> {
    case: &'a Case,
    random: SeededRandom,
    config: MeshConfig,
    judge: Judge,
    stop_orders: BTreeMap<MoveId, StopOrder>,
    id: MoveId,
    step: usize,
    step_calls: (u64, u64),
    assessment: Assessment,
    log: Vec<String>,
    calls: (u64, u64),
    last_new_call: Millis,
    first_faulty: Option<Millis>,
    windows: Vec<(u64, u64)>,
    operations: u64,
}

/// Simulates `case` until its move ends.
///
/// # Panics
///
/// Panics if no plan can be computed for the case's intent, or if the move does not end within
/// 60 s after its deadline, extended by the end of the last outage.
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
        last_new_call: START,
        first_faulty: None,
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
            self.simulate_window(now);
            now = window_end;
            self.decide(now + EVIDENCE_DELAY);
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
            stopped: self.last_new_call.since(START),
            exposure: new as f64 / (old + new).max(1) as f64,
            reaction: self
                .first_faulty
                .map_or(Millis::ZERO, |t| self.last_new_call.since(t)),
            log: self.log,
        }
    }

    /// Simulates the calls of the window that starts at `now` and passes their evidence to the
    /// judge.
    fn simulate_window(&mut self, now: Millis) {
        let stopped = self.stop_orders.keys().copied().collect();
        let weights = compute_effective(&self.config, &service_name(), &stopped, now);
        let new_version = VersionName::from("v2");
        let share = weights.get(&new_version).copied().unwrap_or(0) as f64 / TOTAL_WEIGHT as f64;
        let expected = self.case.rate * WINDOW.0 as f64 / 1000.0;
        let count = expected as u64 + u64::from(self.random.fraction() < expected.fract());
        let mut cells: BTreeMap<(Side, u64), RouteCounts> = BTreeMap::new();
        for _ in 0..count {
            let side = match self.random.fraction() < share {
                true => Side::New,
                false => Side::Old,
            };
            let route = self.random.below(self.case.routes);
            let cell = cells.entry((side, route)).or_insert_with(|| RouteCounts {
                route,
                ..RouteCounts::default()
            });
            let age = now.since(START);
            let call = self.case.draw(&mut self.random, side, route, age, share);
            cell.calls += 1;
            cell.failures += u32::from(call.is_failure);
            cell.latency[latency_bucket(call.latency)] += 1;
            if side == Side::New {
                self.last_new_call = now + WINDOW;
                if call.is_faulty && self.first_faulty.is_none() {
                    self.first_faulty = Some(now);
                }
            }
        }
        self.count_calls(&cells);
        for side in [Side::Old, Side::New] {
            self.judge.add_evidence(&Evidence {
                move_id: self.id,
                observer: InstanceId(side as u64 + 1),
                side,
                windows: vec![Window {
                    slot: now.0 / WINDOW.0,
                    routes: cells
                        .iter()
                        .filter(|((s, _), _)| *s == side)
                        .map(|(_, c)| c.clone())
                        .collect(),
                }],
            });
        }
    }

    fn count_calls(&mut self, cells: &BTreeMap<(Side, u64), RouteCounts>) {
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
        if calls >= BASELINE_MIN_CALLS && share > BASELINE_MAX_FAILURES {
            self.issue_stop_order(now, format!("{failures} of {calls} calls failed"));
        }
    }

    fn issue_stop_order(&mut self, now: Millis, reason: String) {
        if self.stop_orders.contains_key(&self.id) {
            return;
        }
        self.log_event(now, &format!("brake: {reason}"));
        let stop_order = StopOrder {
            move_id: self.id,
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
            // The baseline requires no minimum number of calls.
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
                self.log_event(now, &text);
            }
            Ok(None) => {}
            Err(error) => self.log_event(now, &format!("refused: {error}")),
        }
    }

    fn log_event(&mut self, now: Millis, text: &str) {
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

/// A simulated call.
struct Call {
    is_failure: bool,
    is_faulty: bool,
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
            is_faulty: faults().next().is_some(),
            latency: (self.latency.0 as f64 * slowness * spread) as u64,
        }
    }
}
