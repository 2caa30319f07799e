//! Cost and convergence of the control plane by the number of daemons, with real processes.
//!
//! Daemons run without backend servers or callers, so the control plane alone accounts for their
//! resource usage. All of them share the CPUs of one machine. That slows convergence down but does
//! not affect the CPU time, which is counted per process.

use super::{Result, print_raw};
use crate::cluster::{Cluster, InstanceSpec, one_service};
use crate::operator::{Operator, sum_metric};
use crate::platform::Stats;
use crate::process::read_usage;
use async_std::task;
use rf_base::{Clock, ConfigVersion, Millis, ServiceName};
use rf_config::settings::Control;
use rf_config::{Service, Settings, VersionSpec};
use rf_rollout::change::Document;
use serde::Serialize;

/// Duration over which the idle usage is measured.
const IDLE_TIME: Millis = Millis(20_000);
/// Number of configuration changes whose convergence is measured.
const CHANGE_COUNT: u32 = 10;
/// Number of services in the measured configuration.
const SERVICE_COUNT: usize = 32;
/// Number of availability zones.
const ZONE_COUNT: usize = 6;
/// Timeout for the acknowledgement of a change by all daemons.
const CONVERGE_TIMEOUT: Millis = Millis(30_000);

/// Resource usage of all daemons of a cluster, either since their start or between two samples.
///
/// `sent` and `received` are bytes between peers, and `busiest_cpu_ms` is the largest CPU time of a
/// single daemon. `at` is the time of the sample, or the duration between the two.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Usage {
    cpu_ms: f64,
    busiest_cpu_ms: f64,
    sent: f64,
    received: f64,
    messages: f64,
    platform: Stats,
    at: Millis,
}

#[derive(Debug, Serialize)]
struct Row {
    daemons: usize,
    /// Time from the first start until all daemons know each other.
    join_ms: u64,
    /// Mean idle CPU usage of a daemon, in percent of a core.
    rest_cpu_percent: f64,
    /// Idle CPU usage of the busiest daemon, in percent of a core.
    rest_busiest_percent: f64,
    /// Idle traffic per daemon, sent and received, in bytes per second.
    rest_bytes: f64,
    /// Idle messages sent per daemon and second.
    rest_messages: f64,
    /// Idle platform calls of all daemons together, per second.
    rest_platform: f64,
    resident_kb: u64,
    resident_most_kb: u64,
    /// Times from a change until it is in force, for every change and daemon.
    converge_ms: Vec<u64>,
    /// Times from a change until it is known to be in force on all daemons.
    acknowledged_ms: Vec<u64>,
    /// Bytes per daemon and change, sent and received, in excess of the idle traffic.
    change_bytes: f64,
    /// CPU time per daemon and change, in excess of the idle usage.
    change_cpu_ms: f64,
    /// Time until all daemons run the configuration again after a simultaneous restart.
    herd_ms: u64,
    /// Platform calls per second of all daemons together during that time.
    herd_platform: f64,
}

/// Runs the measurement for each number of daemons in `sizes` and prints the table and raw results.
///
/// # Errors
///
/// Returns an error if a process does not start or reach the expected state in time, or if an
/// operator's request fails.
pub async fn run(sizes: &[usize]) -> Result<()> {
    let mut rows = Vec::new();
    for size in sizes {
        let row = measure(*size).await?;
        print_raw("mesh", &row);
        rows.push(row);
    }
    print_table(&rows);
    Ok(())
}

async fn measure(size: usize) -> Result<Row> {
    let settings = Settings {
        control: Control {
            platform_rate: 50,
            ..Control::default()
        },
        ..Settings::default()
    };
    let clock = Clock::system();
    let mut cluster = Cluster::start(settings).await?;
    let start = clock.now();
    for i in 0..size {
        cluster.add(spec(i))?;
    }
    cluster.wait_for_config(ConfigVersion(0)).await?;
    let join_ms = clock.now().since(start).0;
    let operator = cluster.instances[0].operator();
    let mut document = document();
    let accepted = operator.apply(&document).await?;
    cluster.wait_for_config(accepted.counter).await?;
    task::sleep(Millis(5000).duration()).await;

    let before = read_cluster_usage(&cluster, &clock).await?;
    task::sleep(IDLE_TIME.duration()).await;
    let idle = read_cluster_usage(&cluster, &clock)
        .await?
        .since_sample(&before);
    let (resident_kb, resident_most_kb) = resident_memory(&cluster);

    let mut converge_ms = Vec::new();
    let mut acknowledged_ms = Vec::new();
    let before = read_cluster_usage(&cluster, &clock).await?;
    for i in 0..CHANGE_COUNT {
        change(&mut document, i);
        let changed = clock.now();
        let accepted = operator.apply(&document).await?;
        acknowledged_ms
            .push(wait_acknowledged(&cluster, &operator, accepted.counter, changed, &clock).await?);
        for instance in &cluster.instances {
            let at = instance.operator().metric("config_time_ms", "").await?;
            converge_ms.push(Millis(at as u64).since(changed).0);
        }
    }
    let changes = read_cluster_usage(&cluster, &clock)
        .await?
        .since_sample(&before);
    let (herd_ms, herd_platform) = restart_all(&mut cluster, &clock).await?;
    let n = size as f64;
    let seconds = idle.at.0 as f64 / 1000.0;
    let change_seconds = changes.at.0 as f64 / 1000.0;
    let rest_bytes = (idle.sent + idle.received) / seconds / n;
    let per_change =
        |total: f64, at_rest: f64| (total / n - at_rest * change_seconds) / f64::from(CHANGE_COUNT);
    Ok(Row {
        daemons: size,
        join_ms,
        rest_cpu_percent: idle.cpu_ms / n / seconds / 10.0,
        rest_busiest_percent: idle.busiest_cpu_ms / seconds / 10.0,
        rest_bytes,
        rest_messages: idle.messages / seconds / n,
        rest_platform: total_calls(&idle.platform) / seconds,
        resident_kb,
        resident_most_kb,
        converge_ms,
        acknowledged_ms,
        change_bytes: per_change(changes.sent + changes.received, rest_bytes),
        change_cpu_ms: per_change(changes.cpu_ms, idle.cpu_ms / n / seconds),
        herd_ms,
        herd_platform,
    })
}

fn spec(i: usize) -> InstanceSpec {
    InstanceSpec {
        name: format!("instance-{i}"),
        zone: format!("zone-{}", i % ZONE_COUNT + 1),
        region: format!("region-{}", i % ZONE_COUNT / 3 + 1),
        service: String::new(),
        ..InstanceSpec::default()
    }
}

fn document() -> Document {
    let mut document = one_service(&[("v1", 100)]);
    let route = document.routes[0].clone();
    for i in 1..SERVICE_COUNT {
        let name = ServiceName(format!("service-{i}"));
        let mut service = Service::default();
        for version in ["v1", "v2"] {
            let spec = VersionSpec { weight: 50 };
            service.versions.insert(version.into(), spec);
        }
        document.services.insert(name.clone(), service);
        for part in ["a", "b", "c"] {
            let mut route = route.clone();
            route.prefix = format!("/service-{i}/{part}");
            route.service = name.clone();
            document.routes.push(route);
        }
    }
    document
}

fn change(document: &mut Document, i: u32) {
    if let Some(service) = document.services.get_mut(&"payments".into()) {
        service.queue = 100 + i;
    }
}

async fn wait_acknowledged(
    cluster: &Cluster,
    operator: &Operator,
    counter: ConfigVersion,
    changed: Millis,
    clock: &Clock,
) -> Result<u64> {
    let size = cluster.instances.len();
    cluster
        .wait_until(
            "acknowledgement of a change",
            CONVERGE_TIMEOUT,
            async || {
                let status = operator.status().await;
                status.is_ok_and(|s| s.counter >= counter && s.in_force == size)
            },
        )
        .await?;
    Ok(clock.now().since(changed).0)
}

/// Kills all daemons, starts them at the same time, and waits until all run the configuration
/// again.
///
/// Returns the time from the start in milliseconds and the rate of platform calls over that time,
/// in calls per second.
async fn restart_all(cluster: &mut Cluster, clock: &Clock) -> Result<(u64, f64)> {
    let counter = cluster.instances[0].operator().status().await?.counter;
    for i in 0..cluster.instances.len() {
        cluster.signal_daemon(i, "KILL");
    }
    let before = cluster.platform_stats().await?;
    let start = clock.now();
    for i in 0..cluster.instances.len() {
        cluster.start_daemon(i)?;
    }
    cluster.wait_for_config(counter).await?;
    let took = clock.now().since(start).0;
    let after = cluster.platform_stats().await?;
    let made = total_calls(&after) - total_calls(&before);
    Ok((took, made / (took as f64 / 1000.0)))
}

async fn read_cluster_usage(cluster: &Cluster, clock: &Clock) -> Result<Usage> {
    let mut sum = Usage {
        platform: cluster.platform_stats().await?,
        at: clock.now(),
        ..Usage::default()
    };
    for instance in &cluster.instances {
        let text = instance.operator().metrics().await?;
        sum.sent += sum_metric(&text, "peer_bytes_total", "sent");
        sum.received += sum_metric(&text, "peer_bytes_total", "received");
        sum.messages += sum_metric(&text, "peer_messages_total", "");
        if let Some(daemon) = &instance.daemon {
            let cpu = read_usage(daemon.id()).cpu.0 as f64;
            sum.cpu_ms += cpu;
            sum.busiest_cpu_ms = sum.busiest_cpu_ms.max(cpu);
        }
    }
    Ok(sum)
}

impl Usage {
    fn since_sample(&self, before: &Usage) -> Usage {
        Usage {
            cpu_ms: self.cpu_ms - before.cpu_ms,
            busiest_cpu_ms: self.busiest_cpu_ms - before.busiest_cpu_ms,
            sent: self.sent - before.sent,
            received: self.received - before.received,
            messages: self.messages - before.messages,
            platform: Stats {
                reads: self.platform.reads - before.platform.reads,
                watches: self.platform.watches - before.platform.watches,
                writes: self.platform.writes - before.platform.writes,
                refused: self.platform.refused - before.platform.refused,
            },
            at: self.at.since(before.at),
        }
    }
}

fn total_calls(stats: &Stats) -> f64 {
    (stats.reads + stats.watches + stats.writes) as f64
}

fn resident_memory(cluster: &Cluster) -> (u64, u64) {
    let daemons = cluster.instances.iter().filter_map(|i| i.daemon.as_ref());
    let sizes: Vec<u64> = daemons.map(|d| read_usage(d.id()).resident_kb).collect();
    let sum: u64 = sizes.iter().sum();
    let most = sizes.iter().copied().max().unwrap_or(0);
    (sum / sizes.len().max(1) as u64, most)
}

fn quantile(values: &[u64], part: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = ((sorted.len() as f64 * part).ceil() as usize).max(1) - 1;
    sorted.get(index).copied().unwrap_or(0)
}

fn print_table(rows: &[Row]) {
    println!(
        "| daemons | join ms | CPU at rest % of a core, mean | bytes/s at rest, sent and received | messages sent/s | platform calls/s, all | resident KB, mean / most | in force p50 / p99 / max ms | acknowledged max ms | bytes per change | CPU ms per change | herd back ms | platform calls/s in the herd |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for r in rows {
        let c = &r.converge_ms;
        println!(
            "| {} | {} | {:.2} | {:.0} | {:.1} | {:.1} | {} / {} | {} / {} / {} | {} | {:.0} | {:.1} | {} | {:.1} |",
            r.daemons,
            r.join_ms,
            r.rest_cpu_percent,
            r.rest_bytes,
            r.rest_messages,
            r.rest_platform,
            r.resident_kb,
            r.resident_most_kb,
            quantile(c, 0.5),
            quantile(c, 0.99),
            quantile(c, 1.0),
            quantile(&r.acknowledged_ms, 1.0),
            r.change_bytes,
            r.change_cpu_ms,
            r.herd_ms,
            r.herd_platform,
        );
    }
}
