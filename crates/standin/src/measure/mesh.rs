//! Cost and speed of the control half by the number of daemons.
//!
//! Daemons run without backend servers or callers, so that what they use is for control alone. The
//! machine's processors are shared by all of them; processor time is counted per process and does
//! not depend on that, convergence does.

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

/// Time over which the state at rest is observed.
const REST: Millis = Millis(20_000);
/// Changes whose convergence is measured.
const CHANGES: u32 = 10;
/// Services of the measured configuration.
const SERVICES: usize = 32;
/// Availability zones.
const ZONES: usize = 6;
/// Longest wait for a change to be in force everywhere.
const CONVERGE_TIMEOUT: Millis = Millis(30_000);

/// What a cluster used in a span of time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Used {
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
    join_ms: u64,
    rest_cpu_percent: f64,
    rest_busiest_percent: f64,
    rest_bytes: f64,
    rest_messages: f64,
    rest_platform: f64,
    resident_kb: u64,
    resident_most_kb: u64,
    converge_ms: Vec<u64>,
    acknowledged_ms: Vec<u64>,
    change_bytes: f64,
    change_cpu_ms: f64,
    herd_ms: u64,
    herd_platform: f64,
}

/// Measures and prints the table for each number of daemons.
///
/// # Errors
///
/// Returns an error where a process does not do its part.
pub async fn run(sizes: &[usize]) -> Result<()> {
    let mut rows = Vec::new();
    for size in sizes {
        let row = measure(*size).await?;
        print_raw("mesh", &row);
        rows.push(row);
    }
    print(&rows);
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

    let before = used(&cluster, &clock).await?;
    task::sleep(REST.duration()).await;
    let rest = used(&cluster, &clock).await?.minus(&before);
    let (resident_kb, resident_most_kb) = resident(&cluster);

    let mut converge_ms = Vec::new();
    let mut acknowledged_ms = Vec::new();
    let before = used(&cluster, &clock).await?;
    for i in 0..CHANGES {
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
    let changes = used(&cluster, &clock).await?.minus(&before);
    let (herd_ms, herd_platform) = herd(&mut cluster, &clock).await?;
    let n = size as f64;
    let seconds = rest.at.0 as f64 / 1000.0;
    let change_seconds = changes.at.0 as f64 / 1000.0;
    let rest_bytes = (rest.sent + rest.received) / seconds / n;
    let per_change =
        |total: f64, at_rest: f64| (total / n - at_rest * change_seconds) / f64::from(CHANGES);
    Ok(Row {
        daemons: size,
        join_ms,
        rest_cpu_percent: rest.cpu_ms / n / seconds / 10.0,
        rest_busiest_percent: rest.busiest_cpu_ms / seconds / 10.0,
        rest_bytes,
        rest_messages: rest.messages / seconds / n,
        rest_platform: calls(&rest.platform) / seconds,
        resident_kb,
        resident_most_kb,
        converge_ms,
        acknowledged_ms,
        change_bytes: per_change(changes.sent + changes.received, rest_bytes),
        change_cpu_ms: per_change(changes.cpu_ms, rest.cpu_ms / n / seconds),
        herd_ms,
        herd_platform,
    })
}

fn spec(i: usize) -> InstanceSpec {
    InstanceSpec {
        name: format!("instance-{i}"),
        zone: format!("zone-{}", i % ZONES + 1),
        region: format!("region-{}", i % ZONES / 3 + 1),
        service: String::new(),
        ..InstanceSpec::default()
    }
}

fn document() -> Document {
    let mut document = one_service(&[("v1", 100)]);
    let route = document.routes[0].clone();
    for i in 1..SERVICES {
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

/// Kills every daemon, starts them all at once, and waits until all run the configuration again.
async fn herd(cluster: &mut Cluster, clock: &Clock) -> Result<(u64, f64)> {
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
    let made = calls(&after) - calls(&before);
    Ok((took, made / (took as f64 / 1000.0)))
}

async fn used(cluster: &Cluster, clock: &Clock) -> Result<Used> {
    let mut sum = Used {
        platform: cluster.platform_stats().await?,
        at: clock.now(),
        ..Used::default()
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

impl Used {
    fn minus(&self, before: &Used) -> Used {
        Used {
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

fn calls(stats: &Stats) -> f64 {
    (stats.reads + stats.watches + stats.writes) as f64
}

fn resident(cluster: &Cluster) -> (u64, u64) {
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

fn print(rows: &[Row]) {
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
