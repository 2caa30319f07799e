//! Goodput under overload, and attempts in a chain of calls.

use super::{Result, print_raw};
use crate::cluster::{Cluster, InstanceSpec, PREFIX, one_service};
use crate::load::{Figures, Load, LoadOptions};
use crate::quickstart::quick_settings;
use crate::server::{Behavior, CHAIN_PREFIX};
use async_std::task;
use rf_base::{ConfigVersion, Millis, ServiceName};
use rf_config::Route;
use rf_rollout::change::Document;
use serde::Serialize;

/// Backend servers.
const SERVERS: usize = 4;
/// Slots of each.
const SLOTS: u32 = 6;
/// Time that a call takes.
const LATENCY: Millis = Millis(20);
/// Time of one load.
const SPAN: Millis = Millis(5000);
/// Time that each call of a chain takes by itself.
const CHAIN_LATENCY: Millis = Millis(10);
/// Calls of a chain.
const DEPTH: u32 = 8;

#[derive(Debug, Serialize)]
struct Row {
    kind: &'static str,
    factor: f64,
    offered: u64,
    figures: Figures,
    attempts: f64,
    most: u32,
}

/// Measures and prints the table.
///
/// # Errors
///
/// Returns an error where a process does not do its part.
pub async fn run() -> Result<()> {
    let mut cluster = Cluster::start(quick_settings()).await?;
    for i in 0..SERVERS {
        cluster.add(InstanceSpec {
            name: format!("payments-{i}"),
            zone: format!("zone-{}", i % 2 + 1),
            slots: SLOTS,
            behavior: Behavior {
                latency: LATENCY,
                ..Behavior::default()
            },
            ..InstanceSpec::default()
        })?;
    }
    cluster.wait_for_config(ConfigVersion(0)).await?;
    let operator = cluster.instances[0].operator();
    let accepted = operator.apply(&one_service(&[("v1", 100)])).await?;
    cluster.wait_for_config(accepted.counter).await?;
    cluster.wait_for_servers(SERVERS).await?;
    task::sleep(Millis(1000).duration()).await;
    let capacity = SERVERS as u64 * u64::from(SLOTS) * 1000 / LATENCY.0;
    let mut rows = Vec::new();
    for factor in [0.8, 1.0, 2.0, 4.0] {
        let offered = (capacity as f64 * factor) as u64;
        let path = format!("{PREFIX}/status");
        rows.push(measure(&cluster, "single", factor, offered, path).await?);
    }
    drop(cluster);
    measure_chains(&mut rows).await?;
    print(&rows);
    Ok(())
}

/// Measures chains through one service for each depth, so that no service waits for itself.
async fn measure_chains(rows: &mut Vec<Row>) -> Result<()> {
    let mut cluster = Cluster::start(quick_settings()).await?;
    let mut document = Document::default();
    for depth in 0..DEPTH {
        let service = format!("chain-{depth}");
        let name = ServiceName(service.clone());
        let versions = one_service(&[("v1", 100)]).services;
        document
            .services
            .extend(versions.into_values().map(|s| (name.clone(), s)));
        document.routes.push(Route {
            host: "*".to_owned(),
            prefix: format!("{CHAIN_PREFIX}{depth}"),
            service: name,
            ..Route::default()
        });
        cluster.add(InstanceSpec {
            name: service.clone(),
            service,
            slots: SLOTS,
            ..InstanceSpec::default()
        })?;
    }
    cluster.wait_for_config(ConfigVersion(0)).await?;
    let accepted = cluster.instances[0].operator().apply(&document).await?;
    cluster.wait_for_config(accepted.counter).await?;
    cluster.wait_for_servers(DEPTH as usize).await?;
    task::sleep(Millis(1000).duration()).await;
    // The first service holds a slot for the time of the whole chain.
    let chains = u64::from(SLOTS) * 1000 / (u64::from(DEPTH) * CHAIN_LATENCY.0);
    for factor in [0.5, 1.0, 2.0] {
        let offered = (chains as f64 * factor) as u64;
        let top = DEPTH - 1;
        let path = format!("{CHAIN_PREFIX}{top}?ms={}", CHAIN_LATENCY.0);
        rows.push(measure(&cluster, "chain of 8", factor, offered, path).await?);
    }
    Ok(())
}

async fn measure(
    cluster: &Cluster,
    kind: &'static str,
    factor: f64,
    offered: u64,
    path: String,
) -> Result<Row> {
    let before = attempts(cluster).await?;
    let load = Load::start(LoadOptions {
        targets: cluster.instances.iter().map(|i| i.callers()).collect(),
        path,
        workers: 400,
        rate: offered,
        timeout: Millis(12_000),
        ..LoadOptions::default()
    });
    task::sleep(SPAN.duration()).await;
    let figures = load.stop().await.figures();
    let mut most = 0;
    for i in 0..cluster.instances.len() {
        most = most.max(cluster.runs(i).await?.most);
    }
    Ok(Row {
        kind,
        factor,
        offered,
        attempts: attempts(cluster).await? - before,
        figures,
        most,
    })
}

async fn attempts(cluster: &Cluster) -> Result<f64> {
    let mut sum = 0.0;
    for instance in &cluster.instances {
        sum += instance.operator().metric("attempts_total", "").await?;
    }
    Ok(sum)
}

fn print(rows: &[Row]) {
    print_raw("overload", &rows);
    println!(
        "| load | x capacity | offered/s | goodput/s | answered | refused as not run | other | p50 us | p99 us | attempts per call | most running on one server |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        let f = &row.figures;
        let refused = f.verdicts.get("not-run").copied().unwrap_or(0);
        println!(
            "| {} | {} | {} | {:.0} | {} | {refused} | {} | {} | {} | {:.2} | {} |",
            row.kind,
            row.factor,
            row.offered,
            f.goodput,
            f.ok,
            f.calls - f.ok - refused,
            f.p50_us,
            f.p99_us,
            row.attempts / f.calls.max(1) as f64,
            row.most,
        );
    }
}
