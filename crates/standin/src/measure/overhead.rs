//! Latency that the daemons add to a call, compared with a direct call to the backend server.

use super::{Result, print_raw};
use crate::cluster::{Cluster, InstanceSpec, PREFIX, one_service};
use crate::load::{Figures, Load, LoadOptions};
use crate::process::read_usage;
use crate::quickstart::quick_settings;
use crate::server::Behavior;
use async_std::task;
use rf_base::{ConfigVersion, Millis};
use serde::Serialize;
use std::net::SocketAddr;

/// Number of slots of the backend server.
const SLOTS: u32 = 64;
/// Time that the backend server takes to process a call.
const LATENCY: Millis = Millis(2);
/// Shares of the slots that are kept busy, in percent.
const BUSY_PERCENTS: [u32; 4] = [2, 10, 50, 90];
/// Duration of the load for each path and share.
const LOAD_TIME: Millis = Millis(4000);
/// Number of rounds over all paths. Several rounds reveal a drift of the machine's speed.
const ROUNDS: u32 = 3;

#[derive(Debug, Serialize)]
struct Row {
    path: &'static str,
    /// Share of the slots that is kept busy, in percent.
    level: u32,
    round: u32,
    figures: Figures,
    /// CPU time of all daemons during the load.
    cpu_ms: u64,
}

/// Runs the measurement and prints its table and raw results.
///
/// # Errors
///
/// Returns an error if a process does not start or reach the expected state in time, or if an
/// operator's request fails.
pub async fn run() -> Result<()> {
    let mut cluster = Cluster::start(quick_settings()).await?;
    let spec = |name: &str, service: &str| InstanceSpec {
        name: name.to_owned(),
        service: service.to_owned(),
        slots: SLOTS,
        behavior: Behavior {
            latency: LATENCY,
            ..Behavior::default()
        },
        ..InstanceSpec::default()
    };
    cluster.add(spec("front", ""))?;
    cluster.add(spec("back", "payments"))?;
    cluster.wait_for_config(ConfigVersion(0)).await?;
    let operator = cluster.instances[0].operator();
    let accepted = operator.apply(&one_service(&[("v1", 100)])).await?;
    cluster.wait_for_config(accepted.counter).await?;
    cluster.wait_for_servers(1).await?;
    let paths = [
        ("direct", cluster.instances[1].server_address()),
        ("one daemon", cluster.instances[1].caller_address()),
        ("two daemons", cluster.instances[0].caller_address()),
    ];
    // Warms up the backend server and the connections.
    load(paths[2].1, 50).await;
    let mut rows = Vec::new();
    for round in 0..ROUNDS {
        for level in BUSY_PERCENTS {
            for (path, target) in paths {
                let before = daemon_cpu(&cluster);
                let figures = load(target, level).await;
                let cpu_ms = daemon_cpu(&cluster).since(before).0;
                rows.push(Row {
                    path,
                    level,
                    round,
                    figures,
                    cpu_ms,
                });
            }
        }
    }
    print_table(&rows);
    Ok(())
}

fn daemon_cpu(cluster: &Cluster) -> Millis {
    let daemons = cluster.instances.iter().filter_map(|i| i.daemon.as_ref());
    Millis(daemons.map(|d| read_usage(d.id()).cpu.0).sum())
}

async fn load(target: SocketAddr, level: u32) -> Figures {
    let workers = (SLOTS * level / 100).max(1) as usize;
    // A call occupies a slot for its latency plus about 2 ms for the round trip.
    let rate = workers as u64 * 1000 / (LATENCY.0 + 2);
    let load = Load::start(LoadOptions {
        targets: vec![target],
        path: format!("{PREFIX}/status"),
        workers: workers * 2,
        rate,
        ..LoadOptions::default()
    });
    task::sleep(LOAD_TIME.duration()).await;
    load.stop().await.figures()
}

fn print_table(rows: &[Row]) {
    print_raw("overhead", &rows);
    println!(
        "| slots busy | path | calls/s | p50 us | p99 us | p99.9 us | added p50 | added p99 | added p99.9 | daemons' CPU us/call |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for level in BUSY_PERCENTS {
        for path in ["direct", "one daemon", "two daemons"] {
            let median = |get: fn(&Row) -> u64, path: &str| {
                let mut values: Vec<u64> = rows
                    .iter()
                    .filter(|r| r.level == level && r.path == path)
                    .map(get)
                    .collect();
                values.sort_unstable();
                values[values.len() / 2]
            };
            let added =
                |get: fn(&Row) -> u64| median(get, path) as i64 - median(get, "direct") as i64;
            let p50: fn(&Row) -> u64 = |r| r.figures.p50_us;
            let p99: fn(&Row) -> u64 = |r| r.figures.p99_us;
            let p999: fn(&Row) -> u64 = |r| r.figures.p999_us;
            let rate = median(|r| r.figures.goodput as u64, path);
            let cpu = median(|r| r.cpu_ms * 1000 / r.figures.ok.max(1) as u64, path);
            println!(
                "| {level}% | {path} | {rate} | {} | {} | {} | {} | {} | {} | {cpu} |",
                median(p50, path),
                median(p99, path),
                median(p999, path),
                added(p50),
                added(p99),
                added(p999),
            );
        }
    }
}
