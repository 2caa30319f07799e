//! Simulates the moves described in `tests/cases` and compares their logs with the expected
//! ones.
//!
//! A case file has lines of the form `key value`, a line `---`, and the expected log. If the
//! environment variable `UPDATE_CASES` is set, expected logs that differ are overwritten; review
//! them before committing.

use rf_base::Millis;
use rf_config::Policy;
use rf_protocol::Side;
use rf_standin::simulation::{Case, Fault, run};
use std::fs;
use std::path::Path;

fn seconds(text: &str) -> Millis {
    Millis((text.parse::<f64>().expect("seconds") * 1000.0) as u64)
}

fn parse_fault(text: &str) -> Fault {
    let mut fault = Fault::default();
    for part in text.split_whitespace() {
        let (key, value) = part.split_once('=').expect("key=value");
        match key {
            "on" => {
                fault.side = match value {
                    "old" => Some(Side::Old),
                    "new" => Some(Side::New),
                    "both" => None,
                    other => panic!("unknown side {other}"),
                }
            }
            "from" => fault.from = seconds(value),
            "until" => fault.until = seconds(value),
            "route" => fault.route = Some(value.parse().expect("route")),
            "progress" => fault.progress = value.parse().expect("progress"),
            "failing" => fault.failing = value.parse().expect("share"),
            "slowness" => fault.slowness = value.parse().expect("factor"),
            other => panic!("unknown key {other}"),
        }
    }
    fault
}

fn parse_case(text: &str) -> Case {
    let mut case = Case::default();
    for line in text
        .lines()
        .filter(|l| !l.starts_with('#') && !l.is_empty())
    {
        let (key, value) = line.split_once(' ').expect("key and value");
        match key {
            "policy" if value == "deadline" => case.policy = Policy::Deadline,
            "policy" if value == "certainty" => case.policy = Policy::Certainty,
            "by" => case.by = seconds(value),
            "rate" => case.rate = value.parse().expect("rate"),
            "routes" => case.routes = value.parse().expect("routes"),
            "background" => case.background = value.parse().expect("share"),
            "seed" => case.seed = value.parse().expect("seed"),
            "fault" => case.faults.push(parse_fault(value)),
            "outage" => {
                let (from, to) = value.split_once(' ').expect("from and to");
                case.outages.push((seconds(from), seconds(to)));
            }
            other => panic!("unknown key {other}"),
        }
    }
    case
}

#[test]
fn every_case_produces_its_expected_log() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let mut names: Vec<_> = fs::read_dir(folder)
        .expect("folder of cases")
        .map(|entry| entry.expect("entry").path())
        .collect();
    names.sort();
    assert!(!names.is_empty());
    let mut wrong = Vec::new();
    for path in names {
        let text = fs::read_to_string(&path).expect("case");
        let (input, expected) = text.split_once("---\n").unwrap_or((&text, ""));
        let log = run(&parse_case(input)).log.join("\n") + "\n";
        if log == expected {
            continue;
        }
        if std::env::var_os("UPDATE_CASES").is_some() {
            fs::write(&path, format!("{input}---\n{log}")).expect("written");
            continue;
        }
        wrong.push(format!("{}:\n{log}", path.display()));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
