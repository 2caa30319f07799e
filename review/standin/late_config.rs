//! The machines that follow the configuration are cut off from the store while it changes.

use crate::client::{Client, End, Request};
use crate::mesh::{Machine, Mesh};
use crate::Outcome;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time from the acknowledgement after which the new version must be in force.
const CONFIG_APPLY_MS: u64 = 2000;
/// Time for which the machines are cut off.
const CUT_MS: u64 = 5500;
/// Most machines that are cut off.
const MAX_CUT: usize = 5;
/// Number of times that the watches are looked at; a watch that has just ended is made again at once.
const SAMPLES: u32 = 20;
const MACHINES: [&str; 9] = [
    "desk", "desk", "desk", "till", "till", "till", "bank", "bank", "bank",
];

pub fn mesh(seed: u64) -> Mesh {
    let mesh = Mesh::start(&MACHINES, 9, Duration::from_millis(60), seed);
    mesh.configure(
        7,
        1200,
        &[("unsafe", "/pay/", "till"), ("safe", "/old/", "desk")],
    );
    mesh
}

fn request(id: String, method: &'static str, path: &str) -> Request {
    Request {
        id,
        method,
        path: path.to_owned(),
        deadline: Duration::from_millis(2500),
        body: Vec::new(),
        is_chunked: false,
    }
}

/// Sends requests on the changed routes, each on each machine in turn. Returns those that were sent
/// later than the bound and handled as only the older version allows.
fn judge(mesh: &Mesh, machines: &[&Arc<Machine>], changed_at: u64, end: u64) -> Vec<String> {
    let record = &mesh.record;
    let mut late = Vec::new();
    for number in 0.. {
        if record.now() >= end {
            break;
        }
        for (index, machine) in machines.iter().enumerate() {
            let mut client = Client::new(machine.callers);
            let sent_at = record.now();
            let added = request(format!("a{number}x{index}"), "GET", "/new/list");
            let removed = request(format!("d{number}x{index}"), "GET", "/old/list");
            let moved = request(format!("m{number}x{index}"), "POST", "/pay/now");
            let is_refused = matches!(client.send(&added, record), End::Answer(404, ..));
            let is_run = matches!(client.send(&removed, record), End::Answer(200, ..));
            client.send(&moved, record);
            let ran_at = mesh.machines.iter().find(|m| {
                m.server
                    .runs
                    .lock()
                    .unwrap()
                    .iter()
                    .any(|r| r.request == moved.id)
            });
            let is_misplaced = ran_at.is_some_and(|m| m.service == "till");
            if sent_at <= changed_at + CONFIG_APPLY_MS {
                continue;
            }
            let after = sent_at - changed_at;
            for (is_late, id, what) in [
                (is_refused, &added.id, "404 although the route is there"),
                (is_run, &removed.id, "run although the route was dropped"),
                (is_misplaced, &moved.id, "run by the old service"),
            ] {
                if is_late {
                    late.push(format!(
                        "CONFIG: {id}, sent {after} ms after the acknowledgement to {}: {what}",
                        machine.name
                    ));
                }
            }
        }
        thread::sleep(Duration::from_millis(150));
    }
    late
}

pub fn play(mesh: &Mesh, has_trouble: bool) -> Outcome {
    mesh.wait_ready()?;
    thread::sleep(Duration::from_secs(10));
    let mut readers: Vec<&Arc<Machine>> = Vec::new();
    for _ in 0..SAMPLES {
        let known: Vec<String> = readers.iter().map(|m| m.name.clone()).collect();
        let watching = mesh
            .machines
            .iter()
            .filter(|m| m.store_path.watches_config());
        readers.extend(watching.filter(|m| !known.contains(&m.name)));
        thread::sleep(Duration::from_millis(20));
    }
    let names: Vec<&str> = readers.iter().map(|m| m.name.as_str()).collect();
    if readers.is_empty() || readers.len() > MAX_CUT {
        return Err(format!("{} machines read the configuration", readers.len()));
    }
    let others: Vec<&Arc<Machine>> = mesh
        .machines
        .iter()
        .filter(|m| !names.contains(&m.name.as_str()))
        .collect();
    let cut_at = mesh.record.now();
    if has_trouble {
        readers.iter().for_each(|m| m.store_path.set_cut(true));
        mesh.record
            .add(format!("cut off from the store: {}", names.join(", ")));
    }
    thread::sleep(Duration::from_millis(500));
    mesh.configure(
        8,
        1200,
        &[("unsafe", "/pay/", "bank"), ("safe", "/new/", "desk")],
    );
    let changed_at = mesh.record.now();
    let late = judge(mesh, &others, changed_at, cut_at + CUT_MS);
    readers.iter().for_each(|m| m.store_path.set_cut(false));
    late.iter().for_each(|line| mesh.record.add(line.clone()));
    let state = if has_trouble {
        "cut off"
    } else {
        "not cut off"
    };
    println!("{} of {} machines read the configuration, {state}; {} requests handled by the older version", readers.len(), MACHINES.len(), late.len());
    Ok(!late.is_empty())
}
