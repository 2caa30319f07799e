//! One run: start, faults, calm, verdict.

use crate::callers;
use crate::judge::{Promise, Violation};
use crate::plan::{Plan, Shape};
use crate::world::{World, WorldSettings};
use async_std::future::timeout;
use async_std::task;
use rf_base::Millis;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

/// Callers of each instance, each with a connection of its own.
const CALLERS: usize = 2;
/// Time between two sweeps of the judge.
const SWEEP: Millis = Millis(500);
/// Time within which the fresh system must serve everywhere.
const START: Millis = Millis::from_secs(20);
/// Time within which all faults are over.
const FAULTS: Millis = Millis::from_secs(30);
/// Time within which the state of a version change is recorded once all is calm.
const SETTLE: Millis = Millis::from_secs(10);

/// What is played.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The program.
    pub program: PathBuf,
    /// Folder for settings and logs of this run.
    pub folder: PathBuf,
    /// Seed of the schedule.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Network of the addresses, different for each run of one process.
    pub network: u16,
    /// Numbers of the faults that are played; all where it is empty.
    pub only: Vec<usize>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The schedule.
    pub plan: Plan,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Checks by promise.
    pub checks: BTreeMap<Promise, u64>,
    /// Ends of requests.
    pub ends: BTreeMap<String, u64>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Returns the report as lines.
    pub fn lines(&self) -> Vec<String> {
        let verdict = match self.violations.len() {
            0 => "kept".to_owned(),
            count => format!("{count} BROKEN"),
        };
        let mut lines = vec![
            format!("seed {}: {verdict}", self.plan.seed),
            format!("  faults {:?}", self.faults),
            format!("  checks {:?}", self.checks),
            format!("  ends {:?}", self.ends),
        ];
        for violation in &self.violations {
            let (promise, at) = (violation.promise, violation.at.0);
            lines.push(format!("  {promise:?} at {at} ms: {}", violation.detail));
        }
        if !self.violations.is_empty() {
            lines.extend(self.plan.lines());
        }
        lines
    }
}

/// Plays one seed.
///
/// # Errors
///
/// Returns an error where the run cannot be set up; broken promises are in the report.
pub async fn play(settings: &SoakSettings) -> io::Result<Report> {
    let shape = Shape {
        instances: settings.instances,
    };
    let mut plan = Plan::draw(settings.seed, shape);
    if !settings.only.is_empty() {
        plan.keep(&settings.only);
    }
    std::fs::create_dir_all(&settings.folder)?;
    std::fs::write(settings.folder.join("schedule"), plan.lines().join("\n"))?;
    let world_settings = WorldSettings {
        program: settings.program.clone(),
        folder: settings.folder.clone(),
        instances: settings.instances,
        network: settings.network,
        is_planned: plan.is_planned,
    };
    let world = Arc::new(World::start(&world_settings).await?);
    for number in 0..settings.instances {
        task::spawn(world.clone().supervise(number));
        task::spawn(world.clone().beat(number));
    }
    let started = wait_served(&world, START).await;
    if started {
        load(&world, settings.seed);
        inject(&world, &plan).await;
        wait_served(&world, Millis::from_secs(60)).await;
        settle(&world).await;
    }
    world.end();
    world.judge.finish(&world, plan.steps.len());
    let (violations, checks, ends) = world.judge.results();
    let mut faults = BTreeMap::new();
    for step in &plan.steps {
        *faults.entry(step.fault.name()).or_default() += 1;
    }
    let report = Report {
        plan,
        faults,
        checks,
        ends,
        violations,
    };
    std::fs::write(settings.folder.join("report"), report.lines().join("\n"))?;
    Ok(report)
}

/// Starts the callers and the looks of the judge, which go on until the run is over.
fn load(world: &Arc<World>, seed: u64) {
    for instance in 0..world.instances.len() {
        for caller in 0..CALLERS {
            let own = seed ^ ((instance * CALLERS + caller) as u64) << 32;
            task::spawn(callers::send(world.clone(), instance, caller, own));
        }
        task::spawn(callers::probe(world.clone(), instance));
    }
    let world = world.clone();
    task::spawn(async move {
        while !world.is_over() {
            task::sleep(SWEEP.duration()).await;
            world.judge.sweep(&world);
        }
    });
}

/// Injects every fault at its time, and waits until the last is over.
async fn inject(world: &Arc<World>, plan: &Plan) {
    let start = std::time::Instant::now();
    let mut running = Vec::new();
    for step in &plan.steps {
        let wait = step.at.duration().saturating_sub(start.elapsed());
        task::sleep(wait).await;
        let world = world.clone();
        let fault = step.fault.clone();
        running.push(task::spawn(async move { world.inject(&fault).await }));
    }
    let all = async {
        for fault in running {
            fault.await;
        }
    };
    let is_over = timeout(FAULTS.duration(), all).await.is_ok();
    world.judge.check(Promise::Recovery, is_over, || {
        format!("faults still under way after {FAULTS}")
    });
}

/// Waits until every proxy serves; returns whether all do.
async fn wait_served(world: &Arc<World>, limit: Millis) -> bool {
    let waiting: Vec<_> = (0..world.instances.len())
        .map(|instance| {
            let world = world.clone();
            task::spawn(async move { callers::recover(&world, instance).await })
        })
        .collect();
    let all = async {
        for proxy in waiting {
            proxy.await;
        }
    };
    timeout(limit.duration(), all).await.is_ok()
}

/// Waits until the state of a version change is recorded.
async fn settle(world: &Arc<World>) {
    let waiting = async {
        while !world.is_order_settled() {
            task::sleep(SWEEP.duration()).await;
        }
    };
    let is_settled = timeout(SETTLE.duration(), waiting).await.is_ok();
    world.judge.check(Promise::Exposure, is_settled, || {
        format!("a bad version is not recorded as rolled back {SETTLE} after the faults")
    });
}
