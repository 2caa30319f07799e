//! A server hands out a second copy of an answer, late, on a connection that is in use again.

use crate::client::{Client, End, Request};
use crate::mesh::Mesh;
use crate::server::Faults;
use crate::Outcome;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

/// Share of its requests that the server rejects with good health.
const SHED: f64 = 0.2;
/// Share of its answers of which a second copy follows.
const COPIES: f64 = 0.03;
/// Rounds; in each the server rejects requests for 8.5 s and sends second answers for 5 s of these.
const ROUNDS: u32 = 8;
const SHED_LEAD: Duration = Duration::from_millis(1500);
const COPY_TIME: Duration = Duration::from_millis(5000);
const SHED_TAIL: Duration = Duration::from_millis(2000);
const PAUSE: Duration = Duration::from_millis(1500);
const CLIENTS: usize = 12;
const DEADLINE: Duration = Duration::from_millis(2500);

pub fn mesh(seed: u64) -> Mesh {
    let mesh = Mesh::start(
        &["desk", "desk", "till"],
        9,
        Duration::from_millis(25),
        seed,
    );
    mesh.configure(7, 1200, &[("unsafe", "/book/", "till")]);
    mesh
}

/// Sends one booking after another. A booking that was refused with a promise is sent once more as
/// a new request after the time that the refusal names.
fn book(mesh: &Mesh, number: usize, end: Instant) -> Vec<(String, u16)> {
    let machine = &mesh.machines[number % 2];
    let mut client = Client::new(machine.callers);
    let mut refused = Vec::new();
    for booking in 0.. {
        if Instant::now() > end {
            break;
        }
        for attempt in 1..=2 {
            let request = Request {
                id: format!("b{number}x{booking}x{attempt}"),
                method: "POST",
                path: "/book/now".to_owned(),
                deadline: DEADLINE,
                body: format!("booking={number}-{booking}").into_bytes(),
                is_chunked: false,
            };
            match client.send(&request, &mesh.record) {
                End::Answer(status @ (408 | 421 | 429 | 503), ..) => {
                    refused.push((request.id, status))
                }
                _ => break,
            }
            client.renew();
            thread::sleep(Duration::from_millis(150));
        }
        thread::sleep(Duration::from_millis(30));
    }
    refused
}

pub fn play(mesh: &Mesh, has_trouble: bool) -> Outcome {
    mesh.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    let server = &mesh.machines[2].server;
    let set_faults = |shed, copies| {
        if has_trouble {
            *server.faults.lock().unwrap() = Faults { shed, copies };
            mesh.record.add(format!(
                "share of requests rejected: {shed}, of answers sent twice: {copies}"
            ));
        }
    };
    let end = Instant::now() + ROUNDS * (SHED_LEAD + COPY_TIME + SHED_TAIL + PAUSE);
    let refused: Vec<(String, u16)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| scope.spawn(move || book(mesh, n, end)))
            .collect();
        for _ in 0..ROUNDS {
            for (shed, copies, time) in [
                (SHED, 0.0, SHED_LEAD),
                (SHED, COPIES, COPY_TIME),
                (SHED, 0.0, SHED_TAIL),
                (0.0, 0.0, PAUSE),
            ] {
                set_faults(shed, copies);
                thread::sleep(time);
            }
        }
        clients
            .into_iter()
            .flat_map(|c| c.join().unwrap())
            .collect()
    });
    thread::sleep(Duration::from_secs(1));
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for machine in &mesh.machines {
        for run in machine.server.runs.lock().unwrap().iter() {
            *runs.entry(run.request.clone()).or_default() += 1;
        }
    }
    let broken: Vec<&(String, u16)> = refused
        .iter()
        .filter(|(id, _)| runs.contains_key(id))
        .collect();
    for (id, status) in &broken {
        let repeat = id.strip_suffix("x1").map(|booking| format!("{booking}x2"));
        let again = match repeat.filter(|r| runs.contains_key(r)) {
            Some(repeat) => format!("; its client sent it again as {repeat}, which has run too"),
            None => String::new(),
        };
        mesh.record.add(format!(
            "REFUSED: {id} was answered {status} and has run{again}"
        ));
    }
    let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    for (id, count) in &twice {
        mesh.record
            .add(format!("TWICE: {id} has run {count} times"));
    }
    let total = runs.len();
    mesh.record.add(format!(
        "{total} requests ran, {} were refused, {} of these ran",
        refused.len(),
        broken.len()
    ));
    println!(
        "{total} ran, {} refused, {} of these ran, {} ran twice",
        refused.len(),
        broken.len(),
        twice.len()
    );
    match total {
        0 => Err("no request ran".to_owned()),
        _ => Ok(!broken.is_empty() || !twice.is_empty()),
    }
}
