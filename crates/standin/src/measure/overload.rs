//! Goodput under overload, and number of attempts per call in chains of nested calls.

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

/// Number of backend servers.
const SERVER_COUNT: usize = 4;
/// Number of slots of each backend server.
const SLOTS: u32 = 6;
/// Time that a backend server takes to process a call.
const LATENCY: Millis = Millis(20);
/// Duration of the load for each row of the table.
const LOAD_TIME: Millis = Millis(5000);
/// Processing time of each call of a chain, without its nested call.
const CHAIN_LATENCY: Millis = Millis(10);
/// Number of calls in a chain.
const CHAIN_DEPTH: u32 = 8;

#[derive(Debug, Serialize)]
struct Row {
    kind: &'static str,
    /// Offered load, relative to the capacity.
    factor: f64,
    /// Offered load, in calls per second.
    offered: u64,
    figures: Figures,
    /// Attempts of all daemons during the load.
    attempts: f64,
    /// Largest number of calls that ran concurrently on one backend server since its start, which
    /// includes earlier rows.
    most: u32,
}

/// Runs the measurement and prints its table and raw results.
///
/// # Errors
///
/// Returns an error if a process does not start or reach the expected state in time, or if an
/// operator's request fails.
pub async fn run() -> Result<()> {
    let mut cluster = Cluster::start(quick_settings()).await?;
    for i in 0..SERVER_COUNT {
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
    cluster.wait_for_servers(SERVER_COUNT).await?;
    task::sleep(Millis(1000).duration()).await;
    let capacity = SERVER_COUNT as u64 * u64::from(SLOTS) * 1000 / LATENCY.0;
    let mut rows = Vec::new();
    for factor in [0.8, 1.0, 2.0, 4.0] {
        let offered = (capacity as f64 * factor) as u64;
        let path = format!("{PREFIX}/status");
        rows.push(measure(&cluster, "single", factor, offered, path).await?);
    }
    drop(cluster);
    measure_chains(&mut rows).await?;
    print_table(&rows);
    Ok(())
}

/// Measures chains of calls with a separate service at each depth, so that no service waits for a
/// slot of its own.
async fn measure_chains(rows: &mut Vec<Row>) -> Result<()> {
    let mut cluster = Cluster::start(quick_settings()).await?;
    let mut document = Document::default();
    for depth in 0..CHAIN_DEPTH {
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
    cluster.wait_for_servers(CHAIN_DEPTH as usize).await?;
    task::sleep(Millis(1000).duration()).await;
    // The first service holds a slot for the duration of the whole chain, which limits the rate.
    let chain_rate = u64::from(SLOTS) * 1000 / (u64::from(CHAIN_DEPTH) * CHAIN_LATENCY.0);
    for factor in [0.5, 1.0, 2.0] {
        let offered = (chain_rate as f64 * factor) as u64;
        let top = CHAIN_DEPTH - 1;
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
        targets: cluster
            .instances
            .iter()
            .map(|i| i.caller_address())
            .collect(),
        path,
        workers: 400,
        rate: offered,
        timeout: Millis(12_000),
        ..LoadOptions::default()
    });
    task::sleep(LOAD_TIME.duration()).await;
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

fn print_table(rows: &[Row]) {
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
