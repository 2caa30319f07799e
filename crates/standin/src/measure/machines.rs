//! Cost and convergence of the membership and distribution state machines alone, for more daemons
//! than one machine can run as processes.
//!
//! Messages are delivered without delay, so convergence times reflect rounds of the overlay and not
//! network latency. CPU time covers the state machines and the encoding, but not HTTP.

use super::print_raw;
use crate::network::{Network, Traffic, config, make_node};
use rf_base::Millis;
use serde::Serialize;
use std::time::Instant;

/// Number of availability zones.
const ZONE_COUNT: usize = 6;
/// Duration over which the idle load is measured.
const IDLE_TIME: Millis = Millis(20_000);
/// Time between the end of the join and the first measurement.
const SETTLE_TIME: Millis = Millis(20_000);
/// Timeout of each wait for convergence.
const LIMIT: Millis = Millis(120_000);

#[derive(Debug, Serialize)]
struct Row {
    daemons: usize,
    /// Time until all daemons know each other.
    join_ms: Option<u64>,
    /// Idle traffic per daemon, sent and received, in bytes per second.
    rest_bytes: f64,
    /// Idle traffic per daemon, sent and received, in messages per second.
    rest_messages: f64,
    /// Idle CPU time per daemon, in microseconds per second.
    rest_cpu_us: f64,
    /// Time until a change is in force on all daemons.
    change_ms: Option<u64>,
    /// Time until all daemons know that a change is in force on all, or until the timeout.
    acknowledged_ms: Option<u64>,
    /// Bytes per daemon for a change, sent and received, in excess of the idle traffic.
    change_bytes: f64,
    /// Time until all daemons know of the restart of one.
    replaced_ms: Option<u64>,
    /// Bytes per daemon for a restart, sent and received, in excess of the idle traffic.
    replaced_bytes: f64,
    /// Time until no daemon considers a dead one reachable.
    found_ms: Option<u64>,
}

/// Runs the measurement for each number of daemons in `sizes` and prints the table and raw results.
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
            format_time(r.join_ms),
            r.rest_messages,
            r.rest_bytes,
            r.rest_cpu_us,
            format_time(r.change_ms),
            format_time(r.acknowledged_ms),
            r.change_bytes,
            format_time(r.replaced_ms),
            r.replaced_bytes,
            format_time(r.found_ms),
        );
    }
}

fn format_time(span: Option<u64>) -> String {
    span.map_or_else(|| format!("over {LIMIT}"), |ms| ms.to_string())
}

fn measure(size: usize) -> Row {
    let mut network = Network::new(size, ZONE_COUNT, size as u64);
    let join_ms = network.run_until(LIMIT, Network::all_know_each_other);
    // Daemons still send updates about the join to neighbours that may already have them.
    network.run(SETTLE_TIME);
    network.counts_bytes = true;
    let start = Instant::now();
    let idle = count_traffic(&mut network, |n| n.run(IDLE_TIME));
    let cpu = start.elapsed().as_micros() as f64;
    let n = size as f64;
    let seconds = IDLE_TIME.0 as f64 / 1000.0;
    // Each message counts twice, since one daemon sends it and another receives it.
    let rest_bytes = 2.0 * idle.bytes as f64 / n / seconds;

    let mut change_ms = None;
    let mut acknowledged_ms = None;
    let began = network.now;
    let change = count_traffic(&mut network, |network| {
        network.adopt(0, config(1));
        change_ms = network.run_until(LIMIT, |n| n.all_run(1));
        network.run_until(LIMIT, Network::all_acknowledged);
        acknowledged_ms = Some(network.now.since(began).0);
    });
    let change_s = network.now.since(began).0 as f64 / 1000.0;

    let began = network.now;
    let mut replaced_ms = None;
    let replaced = count_traffic(&mut network, |network| {
        let incarnation = 2;
        network.nodes[size / 2] = make_node(size / 2, ZONE_COUNT, incarnation, network.now);
        let id = network.nodes[size / 2].membership.me().id;
        replaced_ms = network.run_until(LIMIT, |n| {
            n.running().all(|node| {
                let roster = node.membership.roster();
                let known = roster
                    .get(id)
                    .is_some_and(|m| m.incarnation.0 == incarnation);
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
        rest_messages: 2.0 * idle.messages as f64 / n / seconds,
        rest_cpu_us: cpu / n / seconds,
        change_ms: change_ms.map(|t| t.0),
        acknowledged_ms,
        change_bytes: above_rest(change, change_s),
        replaced_ms: replaced_ms.map(|t| t.0),
        replaced_bytes: above_rest(replaced, replaced_s),
        found_ms: found_ms.map(|t| t.0),
    }
}

/// Returns the traffic that the network carried during `action`.
fn count_traffic(network: &mut Network, action: impl FnOnce(&mut Network)) -> Traffic {
    let before = network.traffic;
    action(network);
    Traffic {
        messages: network.traffic.messages - before.messages,
        bytes: network.traffic.bytes - before.bytes,
        cross_zone_bytes: network.traffic.cross_zone_bytes - before.cross_zone_bytes,
    }
}
