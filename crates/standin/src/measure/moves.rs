//! Moves to good and bad versions under load, with real processes.

use super::{Result, print_raw};
use crate::cluster::{Cluster, InstanceSpec, PREFIX, one_service};
use crate::load::{CallRecord, Load, LoadOptions};
use crate::quickstart::quick_settings;
use crate::server::Behavior;
use async_std::task;
use http_types::Method;
use rf_base::{Clock, ConfigVersion, Millis, MoveId};
use rf_config::{Intent, MoveState, Outcome};
use serde::Serialize;

/// Time from the plan of a move to its deadline.
const MOVE_TIME: Millis = Millis::from_secs(40);
/// Offered load, in calls per second.
const CALL_RATE: u64 = 200;
/// Number of moves to each kind of version.
const RUNS_PER_KIND: usize = 3;
/// Duration of the load after the end of a move, which shows whether a bad version still receives
/// calls.
const TRAILING_LOAD: Millis = Millis(3000);

#[derive(Debug, Serialize)]
struct Row {
    kind: &'static str,
    is_right: bool,
    /// Time until the end of the move was seen.
    ended_ms: u64,
    /// Calls that the new version answered, and calls with status 500.
    bad_calls: usize,
    /// Share of `bad_calls` in all calls.
    share: f64,
    /// Time from the start of the load to the last of `bad_calls`.
    last_new_ms: u64,
    /// Number of `bad_calls` after the end of the move was seen.
    after_end: usize,
}

/// Runs the measurement and prints its table and raw results.
///
/// # Errors
///
/// Returns an error if a process does not start or reach the expected state in time, or if an
/// operator's request fails.
pub async fn run() -> Result<()> {
    let good = Behavior {
        latency: Millis(2),
        ..Behavior::default()
    };
    let failing = |fail_percent| Behavior {
        fail_percent,
        ..good.clone()
    };
    let kinds = [
        ("good", Outcome::Done, good.clone()),
        ("fails 10%", Outcome::TakenBack, failing(10)),
        ("fails 50%", Outcome::TakenBack, failing(50)),
        (
            "takes 60 ms instead of 2",
            Outcome::TakenBack,
            Behavior {
                latency: Millis(60),
                ..Behavior::default()
            },
        ),
    ];
    let mut rows = Vec::new();
    for (kind, right, behavior) in &kinds {
        for _ in 0..RUNS_PER_KIND {
            rows.push(measure(kind, *right, behavior).await?);
        }
    }
    print_table(&rows);
    Ok(())
}

async fn measure(kind: &'static str, right: Outcome, behavior: &Behavior) -> Result<Row> {
    let mut cluster = Cluster::start(quick_settings()).await?;
    for i in 0..6 {
        let is_new = i >= 3;
        cluster.add(InstanceSpec {
            name: format!("payments-{i}"),
            zone: format!("zone-{}", i % 2 + 1),
            version: if is_new { "v2" } else { "v1" }.to_owned(),
            behavior: match is_new {
                true => behavior.clone(),
                false => Behavior {
                    latency: Millis(2),
                    ..Behavior::default()
                },
            },
            ..InstanceSpec::default()
        })?;
    }
    cluster.wait_for_config(ConfigVersion(0)).await?;
    let operator = cluster.instances[0].operator();
    let document = one_service(&[("v1", 100), ("v2", 0)]);
    let accepted = operator.apply(&document).await?;
    cluster.wait_for_config(accepted.counter).await?;
    cluster.wait_for_servers(6).await?;
    let load = Load::start(LoadOptions {
        targets: cluster
            .instances
            .iter()
            .map(|i| i.caller_address())
            .collect(),
        path: format!("{PREFIX}/status"),
        method: Method::Post,
        workers: 16,
        rate: CALL_RATE,
        ..LoadOptions::default()
    });
    let clock = Clock::system();
    let start = clock.now();
    let intent = Intent::Shift {
        service: "payments".into(),
        version: "v2".into(),
        share: 100,
        by: start + MOVE_TIME,
    };
    let plan = operator.plan(&intent).await?;
    let id = operator.confirm(&plan).await?.confirmed;
    let outcome = wait_for_end(&cluster, id).await?;
    let ended_ms = clock.now().since(start).0;
    let before = load.report().records.len();
    task::sleep(TRAILING_LOAD.duration()).await;
    let report = load.stop().await;
    let is_bad = |r: &&CallRecord| r.version.as_deref() == Some("v2") || r.status == 500;
    let records = &report.records;
    let last_new = records.iter().filter(is_bad).map(|r| r.at.0).max();
    let bad_calls = records.iter().filter(is_bad).count();
    Ok(Row {
        kind,
        is_right: outcome == right,
        ended_ms,
        bad_calls,
        share: bad_calls as f64 / records.len().max(1) as f64,
        last_new_ms: last_new.unwrap_or(0),
        after_end: records[before..].iter().filter(is_bad).count(),
    })
}

async fn wait_for_end(cluster: &Cluster, id: MoveId) -> Result<Outcome> {
    let operator = cluster.instances[0].operator();
    let is_over = async || {
        let m = operator.find_move(id).await;
        m.is_ok_and(|m| !m.state.is_running())
    };
    let limit = MOVE_TIME + Millis(10_000);
    cluster
        .wait_until("the end of the move", limit, is_over)
        .await?;
    match operator.find_move(id).await?.state {
        MoveState::Ended { outcome, .. } => Ok(outcome),
        MoveState::Running { .. } => Ok(Outcome::TakenBack),
    }
}

fn print_table(rows: &[Row]) {
    print_raw("moves", &rows);
    println!(
        "| version | right | ended after ms | calls on it | share of all calls | last call on it after ms | calls on it after the end |"
    );
    println!("|---|---|---|---|---|---|---|");
    for r in rows {
        println!(
            "| {} | {} | {} | {} | {:.1}% | {} | {} |",
            r.kind,
            if r.is_right { "yes" } else { "no" },
            r.ended_ms,
            r.bad_calls,
            r.share * 100.0,
            r.last_new_ms,
            r.after_end,
        );
    }
}
