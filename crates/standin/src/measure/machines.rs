//! The membership and distribution machines alone, at sizes that do not fit one machine as processes.
//!
//! Messages take no time here, so convergence counts rounds of the overlay, not network delays.
//! Processor time is that of the machines and the encoding, without HTTP.

use super::print_raw;
use crate::network::{Network, Traffic, config, make_node};
use rf_base::Millis;
use serde::Serialize;
use std::time::Instant;

/// Availability zones.
const ZONES: usize = 6;
/// Time over which the state at rest is observed.
const REST: Millis = Millis(20_000);
/// Time after the join before anything is measured.
const SETTLE: Millis = Millis(20_000);
/// Longest wait.
const LIMIT: Millis = Millis(120_000);

#[derive(Debug, Serialize)]
struct Row {
    daemons: usize,
    join_ms: Option<u64>,
    rest_bytes: f64,
    rest_messages: f64,
    rest_cpu_us: f64,
    change_ms: Option<u64>,
    acknowledged_ms: Option<u64>,
    change_bytes: f64,
    replaced_ms: Option<u64>,
    replaced_bytes: f64,
    found_ms: Option<u64>,
}

/// Measures and prints the table for each number of daemons.
pub fn run(sizes: &[usize]) {
    let rows: Vec<Row> = sizes.iter().map(|size| measure(*size)).collect();
    print_raw("machines", &rows);
    println!(
        "| daemons | join ms | messages/s | bytes/s, sent and received | CPU us/s | change in force ms | acknowledged ms | bytes per change | a replacement known ms | bytes per replacement | a death known ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for r in &rows {
        println!(
            "| {} | {} | {:.1} | {:.0} | {:.0} | {} | {} | {:.0} | {} | {:.0} | {} |",
            r.daemons,
            show(r.join_ms),
            r.rest_messages,
            r.rest_bytes,
            r.rest_cpu_us,
            show(r.change_ms),
            show(r.acknowledged_ms),
            r.change_bytes,
            show(r.replaced_ms),
            r.replaced_bytes,
            show(r.found_ms),
        );
    }
}

fn show(span: Option<u64>) -> String {
    span.map_or_else(|| format!("over {LIMIT}"), |ms| ms.to_string())
}

fn measure(size: usize) -> Row {
    let mut network = Network::new(size, ZONES, size as u64);
    let join_ms = network.run_until(LIMIT, Network::all_know_each_other);
    // News of the join is still told to neighbours that may have it already.
    network.run(SETTLE);
    network.counts_bytes = true;
    let start = Instant::now();
    let rest = carried(&mut network, |n| n.run(REST));
    let cpu = start.elapsed().as_micros() as f64;
    let n = size as f64;
    let seconds = REST.0 as f64 / 1000.0;
    // Each message is sent by one daemon and received by another.
    let rest_bytes = 2.0 * rest.bytes as f64 / n / seconds;

    let mut change_ms = None;
    let mut acknowledged_ms = None;
    let began = network.now;
    let change = carried(&mut network, |network| {
        network.adopt(0, config(1));
        change_ms = network.run_until(LIMIT, |n| n.all_run(1));
        network.run_until(LIMIT, Network::all_acknowledged);
        acknowledged_ms = Some(network.now.since(began).0);
    });
    let change_s = network.now.since(began).0 as f64 / 1000.0;

    let began = network.now;
    let mut replaced_ms = None;
    let replaced = carried(&mut network, |network| {
        let life = 2;
        network.nodes[size / 2] = make_node(size / 2, ZONES, life, network.now);
        let id = network.nodes[size / 2].membership.me().id;
        replaced_ms = network.run_until(LIMIT, |n| {
            n.running().all(|node| {
                let roster = node.membership.roster();
                let known = roster.get(id).is_some_and(|m| m.incarnation.0 == life);
                known && roster.reachable().count() == size
            })
        });
    });
    let replaced_s = network.now.since(began).0 as f64 / 1000.0;

    let dead = size / 3;
    network.nodes[dead].is_up = false;
    let found_ms = network.run_until(LIMIT, Network::all_know_each_other);
    let above_rest =
        |traffic: Traffic, seconds: f64| 2.0 * traffic.bytes as f64 / n - rest_bytes * seconds;
    Row {
        daemons: size,
        join_ms: join_ms.map(|t| t.0),
        rest_bytes,
        rest_messages: 2.0 * rest.messages as f64 / n / seconds,
        rest_cpu_us: cpu / n / seconds,
        change_ms: change_ms.map(|t| t.0),
        acknowledged_ms,
        change_bytes: above_rest(change, change_s),
        replaced_ms: replaced_ms.map(|t| t.0),
        replaced_bytes: above_rest(replaced, replaced_s),
        found_ms: found_ms.map(|t| t.0),
    }
}

/// Returns what the network carried during `action`.
fn carried(network: &mut Network, action: impl FnOnce(&mut Network)) -> Traffic {
    let before = network.traffic;
    action(network);
    Traffic {
        messages: network.traffic.messages - before.messages,
        bytes: network.traffic.bytes - before.bytes,
        cross_zone_bytes: network.traffic.cross_zone_bytes - before.cross_zone_bytes,
    }
}
