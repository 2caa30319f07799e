//! Many clients upload files at once, in chunks.

use crate::client::{Client, End, Request};
use crate::mesh::{Machine, Mesh, MEMORY_MB};
use crate::Outcome;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Length of an uploaded file; less than a sixth of `maxBodyBytes`.
const FILE_BYTES: usize = 10 * 1024 * 1024;
/// Clients that upload files, usually one after the other.
const USERS: usize = 10;
/// Time after which a client uploads its next file.
const CYCLE: Duration = Duration::from_millis(5500);
/// Factor by which the clients become more in a burst.
const BURST_FACTOR: f64 = 1.7;
const BURSTS: usize = 3;
const BURST_TIME: Duration = Duration::from_millis(3000);
const CALM_TIME: Duration = Duration::from_secs(9);
/// Clients that send payments on connections which they keep.
const PAYERS: usize = 6;
/// Most requests that may be lost on kept connections.
const MAX_LOST: usize = 3;
const DEADLINE: Duration = Duration::from_millis(2500);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(1000);

pub fn mesh(seed: u64) -> Mesh {
    let mesh = Mesh::start(
        &["desk", "vault", "vault"],
        9,
        Duration::from_millis(190),
        seed,
    );
    mesh.configure(
        7,
        2500,
        &[("unsafe", "/pay/", "desk"), ("upload", "/file/", "vault")],
    );
    mesh
}

/// Returns the resident memory of a process in MB.
fn memory_mb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok())
        .unwrap_or(0)
        / 1024
}

/// Kills the process of a machine when it exceeds its memory, and starts it again, as the platform
/// does. Counts the kills.
fn guard_memory(
    mesh: &Mesh,
    machine: &Machine,
    kills: &AtomicU64,
    most: &AtomicU64,
    is_over: &AtomicBool,
) {
    while !is_over.load(Ordering::SeqCst) {
        let pid = machine.process.lock().unwrap().as_ref().map(|c| c.id());
        let used = pid.map_or(0, memory_mb);
        most.fetch_max(used, Ordering::SeqCst);
        if used > MEMORY_MB {
            machine.kill_process();
            kills.fetch_add(1, Ordering::SeqCst);
            mesh.record.add(format!(
                "the process on {} uses {used} MB of {MEMORY_MB} MB and is killed",
                machine.name
            ));
            thread::sleep(RESTART_DELAY);
            machine.start_process();
        }
        thread::sleep(Duration::from_millis(3));
    }
}

fn upload(mesh: &Mesh, name: &str, is_over: &AtomicBool) {
    let body: Vec<u8> = (0..FILE_BYTES).map(|i| (i * 7919 >> 3) as u8).collect();
    let mut client = Client::new(mesh.machines[0].callers);
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let next = Instant::now() + CYCLE;
        let request = Request {
            id: format!("{name}x{number}"),
            method: "POST",
            path: "/file/now".to_owned(),
            deadline: DEADLINE,
            body: body.clone(),
            is_chunked: true,
        };
        if !matches!(client.send(&request, &mesh.record), End::Answer(..)) {
            client.renew();
        }
        while Instant::now() < next && !is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Sends payments on one connection. Records those whose connection ended without an answer.
fn pay(mesh: &Mesh, name: &str, lost: &Mutex<BTreeSet<String>>, is_over: &AtomicBool) {
    let mut client = Client::new(mesh.machines[0].callers);
    let mut is_kept = false;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let request = Request {
            id: format!("{name}x{number}"),
            method: "POST",
            path: "/pay/now".to_owned(),
            deadline: DEADLINE,
            body: b"amount=5".to_vec(),
            is_chunked: false,
        };
        match client.send(&request, &mesh.record) {
            End::Answer(..) => is_kept = true,
            End::Lost(_) => {
                if is_kept {
                    lost.lock().unwrap().insert(request.id);
                }
                is_kept = false;
                thread::sleep(Duration::from_millis(200));
            }
        }
    }
}

pub fn play(mesh: &Mesh, has_trouble: bool) -> Outcome {
    mesh.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    let (is_over, lost) = (AtomicBool::new(false), Mutex::default());
    let kills: Vec<AtomicU64> = mesh.machines.iter().map(|_| AtomicU64::new(0)).collect();
    let most: Vec<AtomicU64> = mesh.machines.iter().map(|_| AtomicU64::new(0)).collect();
    thread::scope(|scope| {
        let (is_over, lost) = (&is_over, &lost);
        for ((machine, kills), most) in mesh.machines.iter().zip(&kills).zip(&most) {
            scope.spawn(move || guard_memory(mesh, machine, kills, most, is_over));
        }
        for number in 0..PAYERS {
            scope.spawn(move || pay(mesh, &format!("p{number}"), lost, is_over));
        }
        for number in 0..USERS {
            scope.spawn(move || upload(mesh, &format!("u{number}"), is_over));
            thread::sleep(CYCLE / USERS as u32);
        }
        for burst in 0..BURSTS {
            thread::sleep(CALM_TIME);
            let is_past = AtomicBool::new(false);
            thread::scope(|scope| {
                let more = (USERS as f64 * (BURST_FACTOR - 1.0)).round() as usize;
                if has_trouble {
                    mesh.record
                        .add(format!("burst: {more} more clients upload"));
                    for number in 0..more {
                        let (name, is_past) = (format!("b{burst}x{number}"), &is_past);
                        scope.spawn(move || upload(mesh, &name, is_past));
                    }
                }
                thread::sleep(BURST_TIME);
                is_past.store(true, Ordering::SeqCst);
            });
        }
        thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    let runs: BTreeSet<String> = mesh
        .machines
        .iter()
        .flat_map(|m| {
            m.server
                .runs
                .lock()
                .unwrap()
                .iter()
                .map(|r| r.request.clone())
                .collect::<Vec<_>>()
        })
        .collect();
    let lost = lost.into_inner().unwrap();
    let lost: Vec<&String> = lost.iter().filter(|id| runs.contains(*id)).collect();
    for id in &lost {
        mesh.record.add(format!(
            "LOST: {id} was passed on to a server, and its connection ended without an answer"
        ));
    }
    for (machine, (kills, most)) in mesh.machines.iter().zip(kills.iter().zip(&most)) {
        let (kills, most) = (kills.load(Ordering::SeqCst), most.load(Ordering::SeqCst));
        mesh.record.add(format!(
            "{}: {most} MB at the peak, killed {kills} times",
            machine.name
        ));
        println!(
            "{}: {most} MB at the peak, killed {kills} times",
            machine.name
        );
    }
    println!("{} requests on kept connections were lost", lost.len());
    Ok(lost.len() > MAX_LOST)
}
