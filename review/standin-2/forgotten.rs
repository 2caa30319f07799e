//! All proxies are killed right after one of them acknowledged that its server is gone, while the
//! store was down. A heartbeat that the server had sent before arrives late.

use crate::Outcome;
use crate::mesh::{Mesh, Place};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `drain` and `stableWindow` of the site, in milliseconds.
const DRAIN: u64 = 2000;
const STABLE_WINDOW: u64 = 3000;
/// Times after the store went down, in milliseconds: the server withdraws, the store is back, the
/// late heartbeat arrives, and the server ends.
const WITHDRAWAL: u64 = 300;
const STORE_BACK: u64 = 2500;
const LATE_BEAT: u64 = 7000;
const END: u64 = 13_000;
/// Clients on each machine, each of which sends its next request after an answer.
const CLIENTS: usize = 3;

const PLACES: [(&str, &str); 8] = [
    ("mtl-a", "virement"),
    ("mtl-b", "virement"),
    ("mtl-c", "virement"),
    ("mtl-d", "virement"),
    ("mtl-a", "solde"),
    ("mtl-b", "solde"),
    ("mtl-c", "solde"),
    ("mtl-d", "solde"),
];
/// Machine whose server leaves.
const LEAVING: usize = 0;

const CONFIG: &str = r#"{"version":"r3","services":[
{"name":"solde","healthPath":"/health","maxConnections":130},
{"name":"virement","healthPath":"/health","maxConnections":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"10s"},
"virtualHosts":[{"host":"shop.example","paths":[
{"name":"pot","pathPrefix":"/pot/","kind":"unsafe","timeout":"1200ms",
"targetLatency":"400ms","priority":1,"maxAttempts":2,"service":"virement"}]}]}"#;

pub fn run(record: &Arc<Record>, folder: &Path, is_troubled: bool) -> Outcome {
    let places = PLACES.map(|(zone, service)| Place {
        work: Duration::from_millis(120),
        ..Place::new(zone, service)
    });
    let mut mesh = Mesh::start(record.clone(), folder, places.into(), CONFIG);
    if !mesh.wait_ready() {
        return Outcome::NotRun("the proxies did not become ready");
    }
    let start = record.now() + 8000;
    record.wait_until(start);
    let all = 0..mesh.machines.len();
    if is_troubled {
        record.log("the store goes down");
        all.clone().for_each(|number| mesh.store.cut(number, true));
    }
    record.wait_until(start + WITHDRAWAL);
    let server = mesh.machines[LEAVING].server.clone();
    let status = server.leave();
    let acknowledged = record.now();
    record.log(&format!(
        "the server of machine {LEAVING} withdraws and gets {status}"
    ));
    if status != 200 {
        return Outcome::NotRun("the withdrawal was not acknowledged");
    }
    if is_troubled {
        mesh.kill_all();
        record.log("all proxies are killed at the same moment");
        thread::sleep(Duration::from_millis(500));
        all.clone().for_each(|number| mesh.start_proxy(number));
        record.log("all proxies are started again");
        record.wait_until(start + STORE_BACK);
        all.clone().for_each(|number| mesh.store.cut(number, false));
        record.log("the store is back");
    }
    record.wait_until(start + STORE_BACK + STABLE_WINDOW);
    let in_touch = record.now();
    if !mesh.wait_ready() {
        return Outcome::NotRun("the proxies did not become ready again");
    }
    thread::scope(|scope| {
        let mesh = &mesh;
        for client in all.skip(1).flat_map(|n| (0..CLIENTS).map(move |c| (n, c))) {
            scope.spawn(move || {
                let (number, client) = client;
                while mesh.record.now() < start + END {
                    let id = format!("{number:02}-{:06}-{client}", mesh.record.now());
                    let answer = mesh.request(number, "POST", "/pot/x", &id, 2500);
                    if !answer.is_ok_and(|a| a.status() == 200) {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
        record.wait_until(start + LATE_BEAT);
        let status = server.beat();
        record.log(&format!(
            "a heartbeat of that server arrives late and gets {status}"
        ));
    });
    judge(record, &mesh, acknowledged.max(in_touch - DRAIN))
}

/// Counts the requests that were sent later than `drain` after the acknowledgement, by machines in
/// touch, and reached the server that had left.
fn judge(record: &Record, mesh: &Mesh, from: u64) -> Outcome {
    let runs = mesh.runs.lock().unwrap();
    let name = &mesh.machines[LEAVING].name;
    let sent = |id: &str| {
        id.split('-')
            .nth(1)
            .and_then(|t| t.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let late = runs.iter().filter(|r| sent(&r.id) > from + DRAIN);
    let (at_left, all) = late.fold((0, 0), |(left, all), run| {
        (
            left + u32::from(run.server.contains(name.as_str())),
            all + 1,
        )
    });
    record.log(&format!(
        "of {all} requests that were run later than {DRAIN} ms after the acknowledgement, {at_left} \
         were run by the server that had left"
    ));
    match (all, at_left) {
        (0, _) => Outcome::NotRun("no request was run"),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
