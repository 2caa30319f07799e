//! One run: start, faults, calm, verdict.

use crate::callers;
use crate::checker::{Promise, Violation};
use crate::schedule::{Schedule, Topology};
use crate::testbed::{Testbed, TestbedSettings};
use async_std::future::timeout;
use async_std::task;
use rf_base::Millis;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

/// Callers of each instance, each with a connection of its own.
const CALLERS_PER_INSTANCE: usize = 2;
/// Time between two sweeps of the judge.
const CHECK_INTERVAL: Millis = Millis(500);
/// Time within which the fresh system must serve everywhere.
const START_TIMEOUT: Millis = Millis::from_secs(20);
/// Time within which all faults are over.
const INJECTION_TIMEOUT: Millis = Millis::from_secs(30);
/// Time within which the state of a version change is recorded once all is calm.
const ROLLBACK_TIMEOUT: Millis = Millis::from_secs(10);

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
    pub schedule: Schedule,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Checks by promise.
    pub checks: BTreeMap<Promise, u64>,
    /// Ends of requests.
    pub outcomes: BTreeMap<String, u64>,
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
            format!("seed {}: {verdict}", self.schedule.seed),
            format!("  faults {:?}", self.faults),
            format!("  checks {:?}", self.checks),
            format!("  ends {:?}", self.outcomes),
        ];
        for violation in &self.violations {
            let (promise, at) = (violation.promise, violation.at.0);
            lines.push(format!("  {promise:?} at {at} ms: {}", violation.detail));
        }
        if !self.violations.is_empty() {
            lines.extend(self.schedule.lines());
        }
        lines
    }
}

/// Plays one seed.
///
/// # Errors
///
/// Returns an error where the run cannot be set up; broken promises are in the report.
pub async fn run_soak(settings: &SoakSettings) -> io::Result<Report> {
    let topology = Topology {
        instances: settings.instances,
    };
    let mut schedule = Schedule::generate(settings.seed, topology);
    if !settings.only.is_empty() {
        schedule.keep(&settings.only);
    }
    std::fs::create_dir_all(&settings.folder)?;
    std::fs::write(
        settings.folder.join("schedule"),
        schedule.lines().join("\n"),
    )?;
    let testbed_settings = TestbedSettings {
        program: settings.program.clone(),
        folder: settings.folder.clone(),
        instances: settings.instances,
        network: settings.network,
        planned_only: schedule.planned_only,
    };
    let testbed = Arc::new(Testbed::start(&testbed_settings).await?);
    for number in 0..settings.instances {
        task::spawn(testbed.clone().supervise(number));
        task::spawn(testbed.clone().send_heartbeats(number));
    }
    let started = wait_serving(&testbed, START_TIMEOUT).await;
    if started {
        start_load(&testbed, settings.seed);
        inject(&testbed, &schedule).await;
        wait_serving(&testbed, Millis::from_secs(60)).await;
        wait_rollbacks(&testbed).await;
    }
    testbed.shut_down();
    testbed.checker.finish(&testbed, schedule.steps.len());
    let (violations, checks, outcomes) = testbed.checker.results();
    let mut faults = BTreeMap::new();
    for step in &schedule.steps {
        *faults.entry(step.fault.name()).or_default() += 1;
    }
    let report = Report {
        schedule,
        faults,
        checks,
        outcomes,
        violations,
    };
    std::fs::write(settings.folder.join("report"), report.lines().join("\n"))?;
    Ok(report)
}

/// Starts the callers and the looks of the judge, which go on until the run is over.
fn start_load(testbed: &Arc<Testbed>, seed: u64) {
    for instance in 0..testbed.instances.len() {
        for caller in 0..CALLERS_PER_INSTANCE {
            let caller_seed = seed ^ ((instance * CALLERS_PER_INSTANCE + caller) as u64) << 32;
            task::spawn(callers::run_caller(
                testbed.clone(),
                instance,
                caller,
                caller_seed,
            ));
        }
        task::spawn(callers::run_probe(testbed.clone(), instance));
    }
    let testbed = testbed.clone();
    task::spawn(async move {
        while !testbed.is_over() {
            task::sleep(CHECK_INTERVAL.duration()).await;
            testbed.checker.check_arrivals(&testbed);
        }
    });
}

/// Injects every fault at its time, and waits until the last is over.
async fn inject(testbed: &Arc<Testbed>, schedule: &Schedule) {
    let start = std::time::Instant::now();
    let mut running = Vec::new();
    for step in &schedule.steps {
        let wait = step.at.duration().saturating_sub(start.elapsed());
        task::sleep(wait).await;
        let testbed = testbed.clone();
        let fault = step.fault.clone();
        running.push(task::spawn(async move { testbed.inject(&fault).await }));
    }
    let all = async {
        for fault in running {
            fault.await;
        }
    };
    let is_over = timeout(INJECTION_TIMEOUT.duration(), all).await.is_ok();
    testbed.checker.check(Promise::Recovery, is_over, || {
        format!("faults still under way after {INJECTION_TIMEOUT}")
    });
}

/// Waits until every proxy serves; returns whether all do.
async fn wait_serving(testbed: &Arc<Testbed>, limit: Millis) -> bool {
    let waiting: Vec<_> = (0..testbed.instances.len())
        .map(|instance| {
            let testbed = testbed.clone();
            task::spawn(async move { callers::check_recovery(&testbed, instance).await })
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
async fn wait_rollbacks(testbed: &Arc<Testbed>) {
    let waiting = async {
        while !testbed.is_rollback_recorded() {
            task::sleep(CHECK_INTERVAL.duration()).await;
        }
    };
    let is_recorded = timeout(ROLLBACK_TIMEOUT.duration(), waiting).await.is_ok();
    testbed.checker.check(Promise::Exposure, is_recorded, || {
        format!("a bad version is not recorded as rolled back {ROLLBACK_TIMEOUT} after the faults")
    });
}
