//! A single run of the soak.
//!
//! A run starts the system, injects the scheduled faults under load, waits until every proxy serves
//! again, and reports which promises were broken.

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

/// Number of callers per instance, each with its own connection.
const CALLERS_PER_INSTANCE: usize = 2;
/// Interval between checks of the requests that reached the backend servers.
const CHECK_INTERVAL: Millis = Millis(500);
/// Time within which every proxy must serve after the start.
const START_TIMEOUT: Millis = Millis::from_secs(20);
/// Time within which all faults must be over, counted from when the last one was injected.
const INJECTION_TIMEOUT: Millis = Millis::from_secs(30);
/// Time within which the rollback of a version change must be recorded once the faults are over.
const ROLLBACK_TIMEOUT: Millis = Millis::from_secs(10);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Path of the `rosemaryfork` executable.
    pub program: PathBuf,
    /// Folder that receives the settings, logs, schedule and report of the run.
    pub folder: PathBuf,
    /// Seed of the schedule and of the callers' requests.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of the loopback network to use; must differ between the runs of one process.
    pub network: u16,
    /// Numbers of the scheduled faults to inject; all of them if empty.
    pub only: Vec<usize>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Schedule of the injected faults.
    pub schedule: Schedule,
    /// Number of injected faults by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Number of checks by promise.
    pub checks: BTreeMap<Promise, u64>,
    /// Number of requests by outcome: the status, `closed` or `silence`.
    pub outcomes: BTreeMap<String, u64>,
    /// Broken promises; the run has passed if there are none.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Formats the report as lines, with the schedule if a promise was broken.
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

/// Runs the schedule of one seed.
///
/// # Errors
///
/// Returns an error if the run cannot be set up. Broken promises are part of the report instead.
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

/// Starts the callers, the probes and the periodic checks, which continue until the run is over.
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

/// Injects every fault at its scheduled time, and waits until all of them are over.
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

/// Waits until every proxy serves; returns whether that happened within `limit`.
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

/// Checks that ordered version changes are recorded as rolled back within [`ROLLBACK_TIMEOUT`].
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
