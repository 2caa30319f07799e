//! Accuracy and reaction time of the judge, over many seeded moves with synthetic evidence.
//!
//! Every kind of version is moved to with the product's judge and with a fixed threshold on the
//! share of failures, as a baseline.

use super::print_raw;
use crate::simulation::{Case, Fault, Strategy, run};
use rf_base::Millis;
use rf_config::{Outcome, Policy};
use serde::Serialize;

/// Number of moves per row of the table; the seeds are 1 to this number.
const RUNS_PER_KIND: u64 = 200;
/// Call rates, in calls per second over all backend servers.
const CALL_RATES: [f64; 2] = [20.0, 200.0];

#[derive(Debug, Serialize)]
struct Row {
    policy: &'static str,
    decider: &'static str,
    rate: f64,
    kind: &'static str,
    is_good: bool,
    /// Fraction of moves with the right outcome.
    right: f64,
    /// Mean time from the confirmation to the recorded end, in seconds.
    ended_s: f64,
    /// Mean fraction of all calls that the new version received.
    exposure: f64,
    /// Median time from the first bad call of the new version to its last call.
    reaction_p50_ms: u64,
    reaction_p99_ms: u64,
}

/// Behaviour of the version that a move shifts traffic to.
struct VersionKind {
    name: &'static str,
    is_good: bool,
    routes: u64,
    fault: Option<Fault>,
}

fn kinds() -> Vec<VersionKind> {
    let bad = |name, fault| VersionKind {
        name,
        is_good: false,
        routes: 1,
        fault: Some(fault),
    };
    let failing = |failing| Fault {
        failing,
        ..Fault::default()
    };
    vec![
        VersionKind {
            name: "good",
            is_good: true,
            routes: 3,
            fault: None,
        },
        VersionKind {
            name: "good, dependency fails 20 s",
            is_good: true,
            routes: 3,
            fault: Some(Fault {
                side: None,
                from: Millis(20_000),
                until: Millis(40_000),
                ..failing(0.5)
            }),
        },
        bad("fails 3%", failing(0.03)),
        bad("fails 10%", failing(0.1)),
        bad("fails 50%", failing(0.5)),
        bad(
            "fails 20% from 70 s on",
            Fault {
                from: Millis(70_000),
                ..failing(0.2)
            },
        ),
        bad(
            "fails 20% under load",
            Fault {
                progress: 450,
                ..failing(0.2)
            },
        ),
        VersionKind {
            routes: 3,
            ..bad(
                "fails 30% on one route of 3",
                Fault {
                    route: Some(1),
                    ..failing(0.3)
                },
            )
        },
        bad(
            "three times as slow",
            Fault {
                slowness: 3.0,
                ..Fault::default()
            },
        ),
    ]
}

/// Runs the measurement and prints its table and raw results.
pub fn run_all() {
    let mut rows = Vec::new();
    for (policy, name) in [
        (Policy::Certainty, "certainty"),
        (Policy::Deadline, "deadline"),
    ] {
        for rate in CALL_RATES {
            for kind in kinds() {
                for (decider, decider_name) in [
                    (Strategy::Product, "judge"),
                    (Strategy::Baseline, "threshold 5%"),
                ] {
                    let case = Case {
                        policy,
                        rate,
                        routes: kind.routes,
                        faults: kind.fault.iter().cloned().collect(),
                        strategy: decider,
                        ..Case::default()
                    };
                    rows.push(measure(name, decider_name, &kind, &case));
                }
            }
        }
    }
    print_raw("judge", &rows);
    println!(
        "| policy | calls/s | version | decided by | right | ended after s | share of calls on the bad version | reaction p50 / p99 s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for r in &rows {
        let exposure = match r.is_good {
            true => "-".to_owned(),
            false => format!("{:.1}%", r.exposure * 100.0),
        };
        let reaction = match r.is_good {
            true => "-".to_owned(),
            false => format!(
                "{:.1} / {:.1}",
                r.reaction_p50_ms as f64 / 1000.0,
                r.reaction_p99_ms as f64 / 1000.0
            ),
        };
        println!(
            "| {} | {} | {} | {} | {:.1}% | {:.0} | {exposure} | {reaction} |",
            r.policy,
            r.rate,
            r.kind,
            r.decider,
            r.right * 100.0,
            r.ended_s
        );
    }
}

fn measure(policy: &'static str, decider: &'static str, kind: &VersionKind, case: &Case) -> Row {
    let right = match kind.is_good {
        true => Outcome::Done,
        false => Outcome::TakenBack,
    };
    let mut reactions = Vec::new();
    let (mut correct, mut ended, mut exposure) = (0u64, 0.0, 0.0);
    for seed in 1..=RUNS_PER_KIND {
        let result = run(&Case {
            seed,
            ..case.clone()
        });
        correct += u64::from(result.outcome == right);
        ended += result.ended.0 as f64 / 1000.0;
        exposure += result.exposure;
        reactions.push(result.reaction.0);
    }
    reactions.sort_unstable();
    let runs = RUNS_PER_KIND as f64;
    Row {
        policy,
        decider,
        rate: case.rate,
        kind: kind.name,
        is_good: kind.is_good,
        right: correct as f64 / runs,
        ended_s: ended / runs,
        exposure: exposure / runs,
        reaction_p50_ms: reactions[reactions.len() / 2],
        reaction_p99_ms: reactions[reactions.len() * 99 / 100],
    }
}
