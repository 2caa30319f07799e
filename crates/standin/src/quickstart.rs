//! End-to-end demonstration on stand-ins.
//!
//! It starts a cluster, shifts the traffic of a service to a new version under load, retires a
//! backend server of the old version, and compares the verdict that each caller received with the
//! runs that the backend servers counted.

use crate::cluster::{Cluster, ClusterError, InstanceSpec, PREFIX, one_service};
use crate::load::{Load, LoadOptions, Report};
use crate::operator::{Operator, OperatorError};
use crate::server::Behavior;
use async_std::task;
use http_types::Method;
use rf_base::{Clock, ConfigVersion, Millis, MoveId};
use rf_config::settings::Control;
use rf_config::{Intent, MoveState, Outcome, Settings};
use snafu::{ResultExt, Snafu};

/// Time from the request of the shift to its deadline.
const SHIFT_TIME: Millis = Millis::from_secs(24);
/// Time from the request of the retirement to its deadline.
const RETIRE_TIME: Millis = Millis::from_secs(15);
/// Interval at which the state of a move is queried.
const POLL_INTERVAL: Millis = Millis(100);
/// Load in calls per second.
const RATE: u64 = 200;

/// Error returned by the quickstart.
#[derive(Debug, Snafu)]
pub enum QuickstartError {
    /// The harness failed to start, reach or await a process.
    #[snafu(display("{source}"))]
    Cluster {
        /// The underlying error.
        source: ClusterError,
    },
    /// A daemon refused a request of the operator.
    #[snafu(display("{source}"))]
    Operator {
        /// The underlying error.
        source: OperatorError,
    },
    /// A guarantee to callers or operators was violated.
    #[snafu(display("broken promises:\n{}", violations.join("\n")))]
    Violated {
        /// Descriptions of the violations.
        violations: Vec<String>,
    },
}

/// Result type of the quickstart.
pub type Result<T> = std::result::Result<T, QuickstartError>;

/// Returns settings with short intervals and timeouts, for small clusters on one machine.
pub fn quick_settings() -> Settings {
    Settings {
        control: Control {
            heartbeat: Millis(300),
            spread: Millis(1500),
            clock_error: Millis(200),
            platform_timeout: Millis(1000),
            lease: Millis(3000),
            watch: Millis(5000),
            poll: Millis(10_000),
            ..Control::default()
        },
        ..Settings::default()
    }
}

/// Runs the demonstration and prints its progress.
///
/// # Errors
///
/// Returns a [`QuickstartError`] if a step fails or a guarantee is violated.
pub async fn run() -> Result<()> {
    let clock = Clock::system();
    let mut cluster = Cluster::start(quick_settings())
        .await
        .context(ClusterSnafu)?;
    start_instances(&mut cluster).await?;
    let operator = cluster.instances[0].operator();
    let document = one_service(&[("v1", 100), ("v2", 0)]);
    let start = clock.now();
    let accepted = operator.apply(&document).await.context(OperatorSnafu)?;
    cluster
        .wait_for_config(accepted.counter)
        .await
        .context(ClusterSnafu)?;
    let took = clock.now().since(start);
    println!(
        "configuration {} in force on all daemons after {took}",
        accepted.counter
    );

    let load = start_load(&cluster);
    let shift = Intent::Shift {
        service: "payments".into(),
        version: "v2".into(),
        share: 100,
        by: clock.now() + SHIFT_TIME,
    };
    execute(&operator, &shift, &clock, &load).await?;
    let retire = Intent::Retire {
        instance: cluster.instances[0].id(),
        by: clock.now() + RETIRE_TIME,
    };
    execute(&operator, &retire, &clock, &load).await?;
    finish(&cluster, load).await
}

async fn start_instances(cluster: &mut Cluster) -> Result<()> {
    for (i, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let spec = InstanceSpec {
            name: format!("payments-{}", i + 1),
            zone: format!("zone-{}", i % 2 + 1),
            version: version.to_owned(),
            behavior: Behavior {
                latency: Millis(2),
                ..Behavior::default()
            },
            ..InstanceSpec::default()
        };
        println!(
            "starting {} in {}: backend server {version} and its daemon",
            spec.name, spec.zone
        );
        cluster.add(spec).context(ClusterSnafu)?;
    }
    cluster
        .wait_for_config(ConfigVersion(0))
        .await
        .context(ClusterSnafu)?;
    cluster.wait_for_servers(4).await.context(ClusterSnafu)
}

fn start_load(cluster: &Cluster) -> Load {
    Load::start(LoadOptions {
        targets: cluster
            .instances
            .iter()
            .map(|i| i.caller_address())
            .collect(),
        path: format!("{PREFIX}/deposit"),
        method: Method::Post,
        rate: RATE,
        workers: 16,
        ..LoadOptions::default()
    })
}

/// Requests a plan for an intent, prints and confirms it, and waits for the end of the move.
async fn execute(operator: &Operator, intent: &Intent, clock: &Clock, load: &Load) -> Result<()> {
    let plan = operator.plan(intent).await.context(OperatorSnafu)?;
    println!("plan {}: {}", plan.id, plan.intent);
    for (i, step) in plan.steps.iter().enumerate() {
        let percent = f64::from(step.progress) / 10.0;
        let wait = step.at.since(clock.now());
        println!(
            "  step {}: {percent}% of the way, in {wait} or later",
            i + 1
        );
    }
    let left = plan.deadline.since(clock.now());
    println!("  taken back in {left} unless done by then");
    let confirmed = operator.confirm(&plan).await.context(OperatorSnafu)?;
    println!("confirmed: {}", confirmed.confirmed);
    let outcome = wait_for_end(operator, confirmed.confirmed, clock, load).await?;
    if outcome != Outcome::Done {
        let violations = vec![format!("{intent}: {outcome}")];
        return Err(QuickstartError::Violated { violations });
    }
    if clock.now() > plan.deadline {
        let violations = vec![format!("{intent}: ended after its deadline")];
        return Err(QuickstartError::Violated { violations });
    }
    Ok(())
}

async fn wait_for_end(
    operator: &Operator,
    id: MoveId,
    clock: &Clock,
    load: &Load,
) -> Result<Outcome> {
    let start = clock.now();
    let mut last = String::new();
    loop {
        let m = operator.find_move(id).await.context(OperatorSnafu)?;
        if m.summary != last {
            let age = clock.now().since(start);
            println!("  {age}: {} ({} calls so far)", m.summary, load.ended());
            last = m.summary;
        }
        if let MoveState::Ended { outcome, .. } = m.state {
            return Ok(outcome);
        }
        task::sleep(POLL_INTERVAL.duration()).await;
    }
}

async fn finish(cluster: &Cluster, load: Load) -> Result<()> {
    let report = load.stop().await;
    let mut violations = report.find_violations(&cluster.all_runs().await);
    print_report(&report);
    let status = cluster.instances[1].operator().status().await;
    let status = status.context(OperatorSnafu)?;
    println!(
        "configuration {} in force on {} of {} daemons",
        status.counter, status.in_force, status.reachable
    );
    if report.figures().ok == 0 {
        violations.push("no call was answered".to_owned());
    }
    match violations.is_empty() {
        true => {
            println!("done: every promise held");
            Ok(())
        }
        false => Err(QuickstartError::Violated { violations }),
    }
}

fn print_report(report: &Report) {
    let figures = report.figures();
    println!("calls sent: {}, answered: {}", figures.calls, figures.ok);
    for (verdict, n) in &figures.verdicts {
        println!("  told {verdict}: {n}");
    }
    for (version, n) in &figures.versions {
        let percent = 100.0 * *n as f64 / figures.calls.max(1) as f64;
        println!("  answered by {version}: {n} ({percent:.0}%)");
    }
    println!(
        "latency: p50 {} us, p99 {} us",
        figures.p50_us, figures.p99_us
    );
}
