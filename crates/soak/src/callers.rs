//! Callers that send requests while faults are injected, and probes of the configuration in force.

use crate::checker::{Exchange, Outcome, Promise};
use crate::testbed::Testbed;
use async_std::future::timeout;
use async_std::task;
use rf_base::{Millis, SeededRandom};
use rf_standin::users::mesh::{CallerRequest, encode, read_answer};
use rf_transport::h1::{Connection, ReadError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Millis = Millis(1000);
/// Deadline that a caller gives its request.
const CALL_TIMEOUT: Millis = Millis(1500);
/// Time after the deadline during which a late response is still accepted.
const LATE_GRACE: Millis = Millis(600);
/// Longest pause between two requests of a caller.
const MAX_PAUSE: Millis = Millis(40);
/// Interval between two probes of the configuration in force.
const PROBE_INTERVAL: Millis = Millis(120);
/// Time within which a proxy must serve again once all faults are over.
const RECOVERY_TIMEOUT: Millis = Millis::from_secs(15);
/// Consecutive rounds, each with a request of every kind, that must be served to have recovered.
const RECOVERY_ROUNDS: usize = 4;

/// Sends requests one at a time on a reused connection until the run is over.
pub async fn run_caller(testbed: Arc<Testbed>, instance: usize, caller: usize, seed: u64) {
    let mut random = SeededRandom::new(seed);
    let mut connection = None;
    let mut number = 0;
    while !testbed.is_over() {
        number += 1;
        let request = random_request(&mut random, &format!("r-{instance}-{caller}-{number}"));
        let address = testbed.instances[instance].caller_address();
        if connection.is_none() {
            connection = Connection::open(address, CONNECT_TIMEOUT).await.ok();
        }
        if let Some(open) = &mut connection {
            let exchange = perform(open, instance, &request).await;
            if testbed.is_over() {
                return;
            }
            testbed.checker.record(&exchange);
            if !is_reusable(&exchange.outcome) {
                connection = None;
            }
        }
        task::sleep(random.jitter(MAX_PAUSE).duration()).await;
    }
}

fn random_request(random: &mut SeededRandom, id: &str) -> CallerRequest {
    let mut request = match random.below(10) {
        0..=4 => CallerRequest::read(id),
        5..=7 => CallerRequest::pay(id),
        _ => CallerRequest {
            target: "/book/lot?n=1".to_owned(),
            ..CallerRequest::pay(id)
        },
    };
    request.timeout = CALL_TIMEOUT;
    request
}

async fn perform(
    connection: &mut Connection,
    instance: usize,
    request: &CallerRequest,
) -> Exchange {
    let start = Instant::now();
    let outcome = match connection.write(&encode(request)).await {
        Err(_) => Outcome::Closed,
        Ok(()) => {
            let limit = (request.timeout + LATE_GRACE).duration();
            match timeout(limit, read_answer(connection, request.method)).await {
                Ok(Ok(answer)) => Outcome::Answer(answer.head, answer.body),
                Ok(Err(error)) if is_malformed(&error) => Outcome::Malformed(error.to_string()),
                Ok(Err(_)) => Outcome::Closed,
                Err(_) => Outcome::Silence,
            }
        }
    };
    Exchange {
        request: request.id.clone(),
        is_unsafe: request.method != "GET",
        instance,
        timeout: request.timeout,
        elapsed: Millis(start.elapsed().as_millis() as u64),
        outcome,
    }
}

/// Returns whether what was received is no HTTP, rather than cut off.
fn is_malformed(error: &std::io::Error) -> bool {
    let source = error.get_ref();
    let is_cut_off = |e: &ReadError| {
        matches!(
            e,
            ReadError::Closed | ReadError::Truncated | ReadError::Failed { .. }
        )
    };
    !source.is_some_and(|s| s.downcast_ref().is_some_and(is_cut_off))
}

fn is_reusable(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(head, _) => !head.headers.has_token("connection", "close"),
        _ => false,
    }
}

/// Probes which configuration is in force at a proxy until the run is over.
///
/// Checks that a process never serves an older configuration than it served before. The newest two
/// versions are probed, since each version has a route that only it serves.
pub async fn run_probe(testbed: Arc<Testbed>, instance: usize) {
    let address = testbed.instances[instance].caller_address();
    let mut newest = (0, 0);
    let mut number = 0;
    while !testbed.is_over() {
        let latest = testbed.version();
        for version in [latest, latest.saturating_sub(1)] {
            number += 1;
            let starts = testbed.instances[instance].starts();
            let id = format!("p-{instance}-{number}");
            let status = probe_version(address, version, &id).await;
            // After a restart in between it is unknown which process answered.
            let is_same_process = starts == testbed.instances[instance].starts();
            if status != Some(200) || !is_same_process || testbed.is_over() {
                continue;
            }
            if newest.0 != starts {
                newest = (starts, 0);
            }
            testbed
                .checker
                .check(Promise::NoRegress, version >= newest.1, || {
                    format!(
                        "proxy {instance} serves version {version} after {}",
                        newest.1
                    )
                });
            newest.1 = newest.1.max(version);
        }
        task::sleep(PROBE_INTERVAL.duration()).await;
    }
}

async fn probe_version(address: SocketAddr, version: u64, id: &str) -> Option<u16> {
    let request = CallerRequest {
        target: format!("/v{version}/x"),
        timeout: CALL_TIMEOUT,
        ..CallerRequest::read(id)
    };
    send_once(address, &request).await
}

async fn send_once(address: SocketAddr, request: &CallerRequest) -> Option<u16> {
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.ok()?;
    connection.write(&encode(request)).await.ok()?;
    let reading = read_answer(&mut connection, request.method);
    let answer = timeout((request.timeout + LATE_GRACE).duration(), reading).await;
    Some(answer.ok()?.ok()?.head.status)
}

/// Waits until a proxy serves every kind of request under the newest configuration, and checks that
/// this takes at most 15 s.
pub async fn check_recovery(testbed: &Testbed, instance: usize) {
    let start = Instant::now();
    let mut last = None;
    let mut streak = 0;
    let mut number = 0;
    while streak < RECOVERY_ROUNDS && start.elapsed() < RECOVERY_TIMEOUT.duration() {
        number += 1;
        last = find_unserved(testbed, instance, number).await;
        match last {
            None => streak += 1,
            Some(_) => streak = 0,
        }
        task::sleep(MAX_PAUSE.duration()).await;
    }
    testbed
        .checker
        .check(Promise::Recovery, streak >= RECOVERY_ROUNDS, || {
            format!("proxy {instance} does not serve again; last: {last:?}")
        });
}

/// Sends one request of each kind; returns the target and status of the first that was not served.
async fn find_unserved(
    testbed: &Testbed,
    instance: usize,
    number: usize,
) -> Option<(String, Option<u16>)> {
    let address = testbed.instances[instance].caller_address();
    let probe = format!("/v{}/x", testbed.version());
    for target in ["/read/x", "/pay/x", "/book/x", &probe] {
        let id = format!("q-{instance}-{number}-{target}");
        let request = CallerRequest {
            target: target.to_owned(),
            timeout: CALL_TIMEOUT,
            ..CallerRequest::read(&id)
        };
        let status = send_once(address, &request).await;
        if status != Some(200) {
            return Some((target.to_owned(), status));
        }
    }
    None
}
