//! A heartbeat arrives late at a proxy that was killed and restarted after its server had left.

use crate::client::{Client, End, Request};
use crate::mesh::{Machine, Mesh};
use crate::record::Record;
use crate::Outcome;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time from the acknowledgement after which no request may reach the server.
const DRAIN_MS: u64 = 2000;
/// Time that a machine must be without disruption to be in touch.
const STABLE_WINDOW_MS: u64 = 3000;
/// Time for which the killed process is down.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Lateness of the heartbeat.
const LATENESS: Duration = Duration::from_millis(4800);
/// Time for which the server goes on after it has said that it leaves.
const STAY_MS: u64 = 15_000;
const CLIENTS: usize = 6;

pub fn mesh(seed: u64) -> Mesh {
    let mesh = Mesh::start(
        &["desk", "desk", "till", "till", "till"],
        9,
        Duration::from_millis(210),
        seed,
    );
    mesh.configure(7, 1200, &[("unsafe", "/pay/", "till")]);
    mesh
}

/// Sends one payment after another; returns their ids with the times at which they were sent.
fn pay(record: &Record, machine: &Machine, number: usize, end: u64) -> Vec<(String, u64)> {
    let mut client = Client::new(machine.callers);
    let mut sent = Vec::new();
    for payment in 0.. {
        let now = record.now();
        if now >= end {
            break;
        }
        let request = Request {
            id: format!("p{number}x{payment}"),
            method: "POST",
            path: "/pay/now".to_owned(),
            deadline: Duration::from_millis(2500),
            body: format!("payment={number}-{payment}").into_bytes(),
            is_chunked: false,
        };
        if matches!(client.send(&request, record), End::Lost(_)) {
            client.renew();
        }
        sent.push((request.id, now));
        thread::sleep(Duration::from_millis(80));
    }
    sent
}

pub fn play(mesh: &Mesh, has_trouble: bool) -> Outcome {
    mesh.wait_ready()?;
    thread::sleep(Duration::from_secs(5));
    let (client_machine, leaving) = (&mesh.machines[0], mesh.machines[2].clone());
    let record = &mesh.record;
    let id = &leaving.server.settings.id;
    // The last heartbeat of the server is on its way for some seconds.
    leaving.server.beats.store(false, Ordering::SeqCst);
    let late_beat = leaving.server.make_beat();
    record.add(format!(
        "server {id} sends a heartbeat (ready), which is delayed: {late_beat}"
    ));
    thread::scope(|scope| -> Outcome {
        scope.spawn(|| {
            thread::sleep(LATENESS);
            let is_taken = leaving.server.send_beat(&late_beat);
            record.add(format!(
                "the delayed heartbeat of {id} arrives; acknowledged: {is_taken}"
            ));
        });
        thread::sleep(Duration::from_millis(300));
        leaving.server.is_leaving.store(true, Ordering::SeqCst);
        let mut is_acknowledged = leaving.server.withdraw();
        if !is_acknowledged {
            is_acknowledged = leaving.server.withdraw();
        }
        if !is_acknowledged {
            return Err("the withdrawal was not acknowledged".to_owned());
        }
        let left_at = record.now();
        record.add(format!("server {id} says that it leaves; acknowledged"));
        let mut calm_from = left_at;
        thread::sleep(Duration::from_millis(300));
        if has_trouble {
            leaving.kill_process();
            record.add(format!("the process on {} is killed", leaving.name));
            thread::sleep(DOWN_TIME);
            leaving.start_process();
            calm_from = record.now();
            record.add(format!("the process on {} is started", leaving.name));
        }
        let judged_from = (left_at + DRAIN_MS).max(calm_from + STABLE_WINDOW_MS);
        let sent: Vec<(String, u64)> = thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|n| {
                    scope.spawn(move || pay(record, client_machine, n, left_at + STAY_MS - 500))
                })
                .collect();
            clients
                .into_iter()
                .flat_map(|c| c.join().unwrap())
                .collect()
        });
        let runs = leaving.server.runs.lock().unwrap().clone();
        let is_late = |r: &&crate::server::Run| {
            let sent_at = sent
                .iter()
                .find(|(id, _)| *id == r.request)
                .map(|(_, at)| *at);
            sent_at.is_some_and(|at| at >= judged_from) && r.at > left_at + DRAIN_MS
        };
        let late: Vec<_> = runs.iter().filter(is_late).collect();
        for run in &late {
            let after = run.at - left_at;
            record.add(format!(
                "DRAIN: {} reached {id} {after} ms after its leaving was acknowledged",
                run.request
            ));
        }
        println!(
            "{} requests sent, {} reached the server that had left",
            sent.len(),
            late.len()
        );
        Ok(!late.is_empty())
    })
}
