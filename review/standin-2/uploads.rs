//! Many users come at once: clients upload long bodies, within the limit of the configuration.
//!
//! The script acts as the platform does with a process that exceeds its memory: it kills the process
//! and starts it again.

use crate::Outcome;
use crate::mesh::{self, Mesh, Place};
use crate::record::Record;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `memoryMb` of the site's machines; a process that exceeds it is killed.
const MEMORY_MB: u64 = 260;
/// Length of a body; `maxBodyBytes` is 64 MiB.
const BODY: usize = 60 * 1024 * 1024;
/// Work on a request, in milliseconds.
const WORK: u64 = 190;
/// Usual time between two uploads, in milliseconds.
const INTERVAL: u64 = 700;
/// Factor by which more uploads come in a burst, as in the site's list of troubles.
const BURST: f64 = 1.7;
/// Number of uploads that come at once in a burst.
const CLUMP: usize = 4;
/// Length of a burst and of the calm time between two, in milliseconds.
const BURST_TIME: u64 = 3000;
/// Time for which uploads come, in milliseconds.
const TIME: u64 = 60_000;

const CONFIG: &str = r#"{"version":"r3","services":[
{"name":"board","healthPath":"/health","maxConnections":130},
{"name":"vault","healthPath":"/health","maxConnections":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3s","idleTimeout":"15s"},
"virtualHosts":[{"host":"shop.example","paths":[
{"name":"evidence","pathPrefix":"/evidence/","kind":"upload","timeout":"5000ms",
"targetLatency":"2000ms","priority":1,"maxAttempts":2,"service":"vault"}]}]}"#;

/// Number of machines from which clients upload; the other two run the service.
const CLIENTS: usize = 10;

pub fn run(record: &Arc<Record>, folder: &Path, is_troubled: bool) -> Outcome {
    let zones = ["mtl-a", "mtl-b", "mtl-c", "mtl-d"];
    let place = |number: usize| match number < CLIENTS {
        true => Place::new(zones[number % 4], "board"),
        false => Place {
            work: Duration::from_millis(WORK),
            ..Place::new(zones[number % 4], "vault")
        },
    };
    let places: Vec<Place> = (0..CLIENTS + 2).map(place).collect();
    let count = places.len();
    let mesh = Mesh::start(record.clone(), folder, places, CONFIG);
    if !mesh.wait_ready() {
        return Outcome::NotRun("the proxies did not become ready");
    }
    let start = record.now() + 8000;
    record.wait_until(start);
    let mesh = Mutex::new(mesh);
    let is_done = AtomicBool::new(false);
    let ends = thread::scope(|scope| {
        let watching = scope.spawn(|| watch_memory(record, &mesh, count, &is_done));
        upload(record, &mesh, start, is_troubled);
        thread::sleep(Duration::from_secs(1));
        is_done.store(true, Ordering::Relaxed);
        watching.join().expect("thread that watches the memory")
    });
    let machines = ends.values().filter(|n| **n >= 3).count();
    record.log(&format!(
        "processes killed for more than {MEMORY_MB} MB, by machine: {ends:?}; {machines} of {count} \
         machines with three or more"
    ));
    match machines >= 2 && machines * 10 >= count {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Uploads bodies at the usual rate, and in the troubled case at a higher rate every other while.
fn upload(record: &Arc<Record>, mesh: &Mutex<Mesh>, start: u64, is_troubled: bool) {
    let body = vec![b'x'; BODY];
    let callers: Vec<_> = (0..CLIENTS)
        .map(|n| mesh.lock().unwrap().callers(n))
        .collect();
    thread::scope(|scope| {
        let (mut at, mut turn) = (0, 0);
        while at < TIME {
            record.wait_until(start + at);
            let is_burst = is_troubled && at / BURST_TIME % 2 == 1;
            let (count, factor) = if is_burst { (CLUMP, BURST) } else { (1, 1.0) };
            for _ in 0..count {
                let (body, address) = (&body, callers[turn % CLIENTS]);
                let id = format!("upload-{turn}");
                scope.spawn(move || {
                    let call = ("POST", "/evidence/x", id.as_str());
                    mesh::send(record, address, call, "", body, 5000).ok();
                });
                turn += 1;
            }
            at += (count as f64 * INTERVAL as f64 / factor) as u64;
        }
    });
}

/// Kills and restarts each proxy that exceeds its memory, as the platform does; returns how often
/// that happened, by machine.
fn watch_memory(
    record: &Record,
    mesh: &Mutex<Mesh>,
    count: usize,
    is_done: &AtomicBool,
) -> BTreeMap<usize, u32> {
    let mut ends = BTreeMap::new();
    let mut peaks = vec![0; count];
    while !is_done.load(Ordering::Relaxed) {
        for number in 0..count {
            let process = mesh.lock().unwrap().process(number);
            let used = process.map_or(0, resident_mb);
            peaks[number] = used.max(peaks[number]);
            if used > MEMORY_MB {
                let mut mesh = mesh.lock().unwrap();
                let name = mesh.machines[number].name.clone();
                record.log(&format!("the proxy of {name} uses {used} MB and is killed"));
                mesh.kill(number);
                mesh.start_proxy(number);
                *ends.entry(number).or_default() += 1;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.log(&format!("highest memory by machine, in MB: {peaks:?}"));
    ends
}

fn resident_mb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}
