//! Output of the commands.

use rf_base::{Millis, ServiceName, VersionName};
use rf_config::Plan;
use rf_daemon::control::status::{MoveView, StatusView};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

/// Prints `value` as JSON on a single line.
pub fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("cannot print: {error}"),
    }
}

/// Formats a time since the Unix epoch as an RFC 3339 time in seconds.
pub fn format_time(time: Millis) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + time.duration()).to_string()
}

/// Prints a plan with its steps, conditions and deadline, and the command that confirms it.
pub fn print_plan(plan: &Plan) {
    println!("plan {}: {}", plan.id, plan.intent);
    for (i, step) in plan.steps.iter().enumerate() {
        let percent = f64::from(step.progress) / 10.0;
        let at = format_time(step.at);
        println!("  step {}: {percent}% of the way, not before {at}", i + 1);
    }
    println!("  done: not before {}", format_time(plan.finish));
    println!("  can still be done until {}", format_time(plan.latest));
    let deadline = format_time(plan.deadline);
    println!("  at {deadline} it is taken back unless it is done");
    for need in &plan.needs {
        println!("  needs {need}");
    }
    for stop in &plan.stops {
        println!("  stopped by {stop}");
    }
    let expires = format_time(plan.expires);
    println!(
        "confirm until {expires} with: rosemaryfork confirm {}",
        plan.id
    );
}

/// Prints a move on a single line.
pub fn print_move(m: &MoveView) {
    let deadline = format_time(m.plan.deadline);
    println!("{}  {}  by {deadline}  {}", m.id, m.plan.intent, m.summary);
}

/// Prints the mesh as one daemon sees it.
pub fn print_status(status: &StatusView) {
    println!(
        "configuration {} in force on {} of {} daemons",
        status.counter, status.in_force, status.reachable
    );
    print_list("missing", &status.missing);
    print_list("unreachable", &status.unreachable);
    if let Some(refused) = &status.refused {
        println!(
            "refused configuration {}: {}",
            refused.counter, refused.errors
        );
    }
    if !status.is_platform_up {
        println!("the platform does not answer {}", status.instance);
    }
    for (service, weights) in &status.weights {
        println!("{service}: {}", format_weights(weights));
    }
    print_servers(status);
}

fn print_list(title: &str, names: &[String]) {
    if !names.is_empty() {
        println!("{title}: {}", names.join(", "));
    }
}

fn format_weights(weights: &BTreeMap<VersionName, u64>) -> String {
    let format = |(version, weight): (&VersionName, &u64)| {
        let percent = *weight as f64 / 10_000.0;
        format!("{version} {percent:.1}%")
    };
    let parts: Vec<String> = weights.iter().map(format).collect();
    parts.join(", ")
}

fn print_servers(status: &StatusView) {
    let mut by_service: BTreeMap<&ServiceName, Vec<String>> = BTreeMap::new();
    for server in &status.servers {
        let state = if server.is_available {
            ""
        } else {
            " (no new work)"
        };
        let line = format!(
            "  {} {} in {}, {} slots{state}",
            server.instance, server.version, server.zone, server.slots
        );
        by_service.entry(&server.service).or_default().push(line);
    }
    for (service, lines) in by_service {
        println!("backend servers of {service}:");
        for line in lines {
            println!("{line}");
        }
    }
}
