//! Requests around the planned stop of a proxy, with real processes: what is passed on is answered,
//! up to the last moment before the exit, on every path.

#[path = "common/machines.rs"]
mod machines;

use async_std::task;
use machines::{Mesh, POLL, START_TIMEOUT};
use rf_base::Millis;
use rf_standin::users::mesh::{CallerRequest, encode, read_answer};
use rf_transport::h1::Connection;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time that callers wait for an answer.
const PATIENCE: Millis = Millis(700);
/// Time of a run that is answered just before callers give up.
const LONG_RUN: Millis = Millis(660);
/// Number of callers.
const CALLERS: u64 = 8;
/// Requests that a caller sends at once where it pipelines them.
const PIPELINED: u64 = 3;

/// How callers use their connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    New,
    Kept,
    Pipelined,
}

/// What a caller got for a request.
#[derive(Debug)]
struct Ending {
    request: String,
    sent: Instant,
    /// Status of a complete answer.
    status: Option<u16>,
}

/// Sends requests until `is_over`; returns how they ended.
async fn send(
    address: SocketAddr,
    habit: Habit,
    number: u64,
    is_over: Arc<AtomicBool>,
) -> Vec<Ending> {
    let mut endings = Vec::new();
    let mut kept: Option<Connection> = None;
    for round in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        task::sleep(Duration::from_millis(5 + 3 * number)).await;
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(address, Millis(300)).await,
        };
        let Ok(mut connection) = connection else {
            continue;
        };
        let count = match habit {
            Habit::Pipelined => PIPELINED,
            Habit::New | Habit::Kept => 1,
        };
        let requests = (0..count).map(|part| {
            let id = format!("{number}-{round}-{part}");
            let request = match habit {
                Habit::Pipelined => CallerRequest::read(&id),
                Habit::New | Habit::Kept => CallerRequest::pay(&id),
            };
            CallerRequest {
                timeout: PATIENCE,
                ..request
            }
        });
        let requests: Vec<CallerRequest> = requests.collect();
        let bytes: Vec<u8> = requests.iter().flat_map(encode).collect();
        let sent = Instant::now();
        let mut is_open = connection.write(&bytes).await.is_ok();
        for request in requests {
            let answer = match is_open {
                true => read_answer(&mut connection, request.method).await.ok(),
                false => None,
            };
            let closes = |a: &rf_standin::users::mesh::Answer| {
                a.head.headers.has_token("connection", "close")
            };
            is_open = answer.as_ref().is_some_and(|a| !closes(a));
            endings.push(Ending {
                request: request.id,
                sent,
                status: answer.map(|a| a.head.status),
            });
        }
        if is_open && habit != Habit::New {
            kept = Some(connection);
        }
    }
    endings
}

/// Stops the first proxy while callers press on the proxy of machine `at`, and servers run each
/// request for `run_time`.
async fn stop_under_load(network: u8, habit: Habit, at: usize, run_time: Millis) {
    let mut mesh = Mesh::start(network).await;
    mesh.is_over.store(true, Ordering::Relaxed);
    task::sleep(Duration::from_millis(1000)).await;
    for machine in &mesh.machines {
        machine.server.set_run_time(run_time);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let address = mesh.machines[at].settings.listen.callers;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| task::spawn(send(address, habit, number, is_over.clone())))
        .collect();
    task::sleep(Duration::from_millis(500)).await;
    let stopped = Instant::now();
    let process = mesh.machines[0].process.as_mut().expect("it runs");
    process.signal(Signal::TERM);
    while process.exit_status().is_none() {
        assert!(stopped.elapsed() < START_TIMEOUT, "it does not end");
        task::sleep(POLL).await;
    }
    let ended = Instant::now();
    task::sleep(PATIENCE.duration() * 2).await;
    is_over.store(true, Ordering::Relaxed);
    let mut endings = Vec::new();
    for caller in callers {
        endings.extend(caller.await);
    }
    let has_run = |request: &str| mesh.machines.iter().any(|m| m.server.runs(request) > 0);
    let late = endings
        .iter()
        .filter(|e| e.sent > stopped && e.sent < ended);
    let late: Vec<&Ending> = late.collect();
    let passed_on = late.iter().filter(|e| has_run(&e.request)).count();
    assert!(passed_on > 20, "only {passed_on} requests were passed on");
    for ending in endings {
        let is_cut = ending.status.is_none_or(|status| status == 502);
        let after = ending.sent.saturating_duration_since(stopped);
        assert!(
            !(is_cut && has_run(&ending.request)),
            "{ending:?}, sent {after:?} after the signal of {:?}, was passed on and not answered",
            ended - stopped
        );
        let is_refused = matches!(ending.status, Some(429 | 503));
        assert!(
            !(is_refused && has_run(&ending.request)),
            "{ending:?} ran and is refused"
        );
    }
}

#[async_std::test]
async fn requests_on_new_connections_are_answered_up_to_the_exit() {
    stop_under_load(21, Habit::New, 0, LONG_RUN).await;
    stop_under_load(22, Habit::New, 0, Millis(20)).await;
}

#[async_std::test]
async fn requests_on_kept_connections_are_answered_up_to_the_exit() {
    stop_under_load(23, Habit::Kept, 0, LONG_RUN).await;
    stop_under_load(24, Habit::Kept, 0, Millis(20)).await;
}

#[async_std::test]
async fn pipelined_requests_are_answered_up_to_the_exit() {
    stop_under_load(25, Habit::Pipelined, 0, LONG_RUN).await;
    stop_under_load(26, Habit::Pipelined, 0, Millis(20)).await;
}

#[async_std::test]
async fn requests_of_other_proxies_are_answered_up_to_the_exit() {
    stop_under_load(27, Habit::Kept, 1, LONG_RUN).await;
    stop_under_load(28, Habit::Pipelined, 1, LONG_RUN).await;
}

// A run that is not answered in time ends with the deadline, at the latest just before the exit.
#[async_std::test]
async fn requests_without_an_answer_in_time_end_before_the_exit() {
    stop_under_load(29, Habit::Kept, 0, Millis(60_000)).await;
}
