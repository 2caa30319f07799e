//! Callers that keep sending while faults are injected.

use crate::judge::{Exchange, Promise, Seen};
use crate::world::World;
use async_std::future::timeout;
use async_std::task;
use rf_base::{Millis, SeededRandom};
use rf_standin::users::mesh::{CallerRequest, encode, read_answer};
use rf_transport::h1::Connection;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Longest wait for a connection.
const CONNECT: Millis = Millis(1000);
/// Time for which a caller waits for its answer.
const LEFT: Millis = Millis(1500);
/// Time after that for which a late answer is still taken.
const LATE: Millis = Millis(600);
/// Longest pause between two requests of one caller.
const PAUSE: Millis = Millis(40);
/// Pause between two looks at the configuration in force.
const PROBE_PAUSE: Millis = Millis(120);
/// Time within which all is served again once all faults are over.
const RECOVER: Millis = Millis::from_secs(15);
/// Requests in a row that must be served then, of each kind.
const SERVED: usize = 4;

/// Sends one request after another on a kept connection until the run is over.
pub async fn send(world: Arc<World>, instance: usize, caller: usize, seed: u64) {
    let mut random = SeededRandom::new(seed);
    let mut connection = None;
    let mut number = 0;
    while !world.is_over() {
        number += 1;
        let ask = draw(&mut random, &format!("r-{instance}-{caller}-{number}"));
        let address = world.instances[instance].callers();
        if connection.is_none() {
            connection = Connection::open(address, CONNECT).await.ok();
        }
        if let Some(open) = &mut connection {
            let exchange = exchange(open, instance, &ask).await;
            if world.is_over() {
                return;
            }
            world.judge.take(&exchange);
            if !is_kept(&exchange.seen) {
                connection = None;
            }
        }
        task::sleep(random.jitter(PAUSE).duration()).await;
    }
}

fn draw(random: &mut SeededRandom, request: &str) -> CallerRequest {
    let mut ask = match random.below(10) {
        0..=4 => CallerRequest::read(request),
        5..=7 => CallerRequest::pay(request),
        _ => CallerRequest {
            target: "/book/lot?n=1".to_owned(),
            ..CallerRequest::pay(request)
        },
    };
    ask.timeout = LEFT;
    ask
}

async fn exchange(connection: &mut Connection, instance: usize, ask: &CallerRequest) -> Exchange {
    let start = Instant::now();
    let seen = match connection.write(&encode(ask)).await {
        Err(_) => Seen::Closed,
        Ok(()) => {
            let limit = (ask.timeout + LATE).duration();
            match timeout(limit, read_answer(connection, ask.method)).await {
                Ok(Ok(answer)) => Seen::Answer(answer.head, answer.body),
                Ok(Err(_)) => Seen::Closed,
                Err(_) => Seen::Silence,
            }
        }
    };
    Exchange {
        request: ask.id.clone(),
        is_once: ask.method != "GET",
        instance,
        left: ask.timeout,
        took: Millis(start.elapsed().as_millis() as u64),
        seen,
    }
}

fn is_kept(seen: &Seen) -> bool {
    match seen {
        Seen::Answer(head, _) => !head.headers.has_token("connection", "close"),
        _ => false,
    }
}

/// Asks again and again which configuration is in force at a proxy until the run is over.
pub async fn probe(world: Arc<World>, instance: usize) {
    let address = world.instances[instance].callers();
    let mut newest = (0, 0);
    let mut number = 0;
    while !world.is_over() {
        let latest = world.version();
        for version in [latest, latest.saturating_sub(1)] {
            number += 1;
            let lives = world.instances[instance].lives();
            let request = format!("p-{instance}-{number}");
            let status = ask_version(address, version, &request).await;
            // A restart in between leaves open which life answered.
            let is_one_life = lives == world.instances[instance].lives();
            if status != Some(200) || !is_one_life || world.is_over() {
                continue;
            }
            if newest.0 != lives {
                newest = (lives, 0);
            }
            world
                .judge
                .check(Promise::NoRegress, version >= newest.1, || {
                    format!(
                        "proxy {instance} serves version {version} after {}",
                        newest.1
                    )
                });
            newest.1 = newest.1.max(version);
        }
        task::sleep(PROBE_PAUSE.duration()).await;
    }
}

async fn ask_version(address: SocketAddr, version: u64, request: &str) -> Option<u16> {
    let ask = CallerRequest {
        target: format!("/v{version}/x"),
        timeout: LEFT,
        ..CallerRequest::read(request)
    };
    ask_once(address, &ask).await
}

async fn ask_once(address: SocketAddr, ask: &CallerRequest) -> Option<u16> {
    let mut connection = Connection::open(address, CONNECT).await.ok()?;
    connection.write(&encode(ask)).await.ok()?;
    let reading = read_answer(&mut connection, ask.method);
    let answer = timeout((ask.timeout + LATE).duration(), reading).await;
    Some(answer.ok()?.ok()?.head.status)
}

/// Waits until a proxy serves every kind of request by the newest configuration, and checks that it
/// does in time.
pub async fn recover(world: &World, instance: usize) {
    let start = Instant::now();
    let mut last = None;
    let mut row = 0;
    let mut number = 0;
    while row < SERVED && start.elapsed() < RECOVER.duration() {
        number += 1;
        last = round(world, instance, number).await;
        match last {
            None => row += 1,
            Some(_) => row = 0,
        }
        task::sleep(PAUSE.duration()).await;
    }
    world.judge.check(Promise::Recovery, row >= SERVED, || {
        format!("proxy {instance} does not serve again; last: {last:?}")
    });
}

/// Asks for each kind once; returns the first that was not served, with its status.
async fn round(world: &World, instance: usize, number: usize) -> Option<(String, Option<u16>)> {
    let address = world.instances[instance].callers();
    let probe = format!("/v{}/x", world.version());
    for target in ["/read/x", "/pay/x", "/book/x", &probe] {
        let request = format!("q-{instance}-{number}-{target}");
        let ask = CallerRequest {
            target: target.to_owned(),
            timeout: LEFT,
            ..CallerRequest::read(&request)
        };
        let status = ask_once(address, &ask).await;
        if status != Some(200) {
            return Some((target.to_owned(), status));
        }
    }
    None
}
