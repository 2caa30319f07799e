//! A request that crashes the servers that run it comes again after all proxies were killed.

use crate::Outcome;
use crate::mesh::{Mesh, Place};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// `stableWindow` of the site, in milliseconds.
const STABLE_WINDOW: u64 = 3000;
/// Retries after the third crash that the rule permits.
const PERMITTED: usize = 3;
/// Interval at which the request comes again, in milliseconds.
const INTERVAL: u64 = 5000;
/// Number of times that it comes before the first kill and after each one.
const TIMES: u64 = 3;
/// Number of times that all proxies are killed.
const KILLS: u64 = 2;

const PLACES: [(&str, &str); 10] = [
    ("mtl-a", "solde"),
    ("mtl-a", "solde"),
    ("mtl-b", "solde"),
    ("mtl-b", "solde"),
    ("mtl-c", "solde"),
    ("mtl-c", "solde"),
    ("mtl-d", "solde"),
    ("mtl-d", "solde"),
    ("mtl-a", "releve"),
    ("mtl-b", "releve"),
];

const CONFIG: &str = r#"{"version":"r3","services":[
{"name":"solde","healthPath":"/health","maxConnections":130},
{"name":"releve","healthPath":"/health","maxConnections":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"10s"},
"virtualHosts":[{"host":"shop.example","paths":[
{"name":"balance","pathPrefix":"/balance/","kind":"safe","timeout":"1000ms",
"targetLatency":"300ms","priority":2,"maxAttempts":3,"service":"solde"},
{"name":"statement","pathPrefix":"/statement/","kind":"safe","timeout":"1000ms",
"targetLatency":"300ms","priority":2,"maxAttempts":3,"service":"releve"}]}]}"#;

pub fn run(record: &Arc<Record>, folder: &Path, is_troubled: bool) -> Outcome {
    let places = PLACES.map(|(zone, service)| Place::new(zone, service));
    let mut mesh = Mesh::start(record.clone(), folder, places.into(), CONFIG);
    if !mesh.wait_ready() {
        return Outcome::NotRun("the proxies did not become ready");
    }
    let start = record.now() + 8000;
    record.wait_until(start);
    send_repeatedly(&mesh, start, 0);
    let mut next = start + TIMES * INTERVAL;
    for round in 1..=KILLS {
        record.wait_until(next);
        if is_troubled {
            record.log("all proxies are killed at the same moment");
            mesh.kill_all();
            thread::sleep(Duration::from_secs(1));
            for number in 0..mesh.machines.len() {
                mesh.start_proxy(number);
            }
            record.log("all proxies are started again");
            if !mesh.wait_ready() {
                return Outcome::NotRun("the proxies did not become ready again");
            }
        }
        // Longer than `stableWindow` after the start, so that all machines are in touch again.
        let again = next + 8000;
        record.wait_until(again);
        send_repeatedly(&mesh, again, round * TIMES);
        next = again + TIMES * INTERVAL;
    }
    judge(record, &mesh)
}

/// Sends the request that crashes servers some times, each time on another machine, beside other
/// requests.
fn send_repeatedly(mesh: &Mesh, start: u64, first: u64) {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for turn in 0.. {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let number = turn % mesh.machines.len();
                let id = format!("ordinary-{first}-{turn}");
                mesh.request(number, "GET", &format!("/balance/{turn}"), &id, 2000)
                    .ok();
                thread::sleep(Duration::from_millis(100));
            }
        });
        for turn in 0..TIMES {
            mesh.record.wait_until(start + turn * INTERVAL);
            let number = PLACES.len() - 1 - (turn % 2) as usize;
            let id = format!("crashing-{}", first + turn);
            mesh.request(number, "GET", "/balance/crash", &id, 2000)
                .ok();
        }
        thread::sleep(Duration::from_millis(2000));
        is_done.store(true, Ordering::Relaxed);
    });
}

fn judge(record: &Record, mesh: &Mesh) -> Outcome {
    let runs = mesh.runs.lock().unwrap();
    let crashes: Vec<u64> = runs
        .iter()
        .filter(|r| r.path.contains("crash"))
        .map(|r| r.at)
        .collect();
    let Some(third) = crashes.get(2) else {
        return Outcome::NotRun("the request has not crashed three servers");
    };
    let late = crashes
        .iter()
        .filter(|at| **at > third + STABLE_WINDOW)
        .count();
    record.log(&format!(
        "the request crashed {} servers, the third one at {:.3} s; it reached servers {late} times \
         later than {STABLE_WINDOW} ms after that, of which {PERMITTED} are permitted",
        crashes.len(),
        *third as f64 / 1000.0,
    ));
    match late > PERMITTED {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
