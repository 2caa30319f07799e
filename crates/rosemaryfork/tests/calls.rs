//! Tests of the request path under failures, with real processes.

mod common;

use async_std::net::TcpListener;
use async_std::task;
use common::{call, call_with, counter_of, runs_of, spec, start, start_simple, verdict};
use http_types::Method;
use rf_base::{Millis, Verdict};
use rf_standin::cluster::{Cluster, InstanceSpec, PREFIX, one_service};
use rf_standin::link::{Link, LinkMode};
use rf_standin::load::{Load, LoadOptions};
use rf_standin::proxy::{DirectionFaults, Proxy, ProxyFaults};
use rf_standin::server::{Behavior, CHAIN_PREFIX};
use std::net::SocketAddr;

/// Starts a cluster of two daemons: one without a backend server, and one whose relay port is
/// reached through what `start_link` starts between the two addresses that it gets.
async fn start_behind(start_link: impl AsyncFnOnce(SocketAddr, SocketAddr)) -> Cluster {
    let mut cluster = Cluster::start(rf_standin::quickstart::quick_settings())
        .await
        .expect("cluster");
    let front = InstanceSpec {
        service: String::new(),
        ..spec(0, "v1")
    };
    cluster.add(front).expect("front");
    let outside = cluster.address_of(1, 7012);
    let inside = cluster.address_of(1, 7002);
    cluster
        .add(InstanceSpec {
            relay: Some(outside),
            ..spec(1, "v1")
        })
        .expect("back");
    start_link(outside, inside).await;
    common::apply_and_wait(&cluster, &one_service(&[("v1", 100)])).await;
    cluster
}

async fn start_behind_faulty_link() -> (Cluster, Proxy) {
    let proxy = Proxy::default();
    let cluster = start_behind(async |outside, inside| {
        let listener = TcpListener::bind(outside).await.expect("proxy address");
        task::spawn(proxy.clone().forward(listener, inside));
    });
    (cluster.await, proxy)
}

async fn start_behind_link() -> (Cluster, Link) {
    let link = Link::default();
    let cluster = start_behind(async |outside, inside| {
        link.start(outside, inside).await.expect("link address");
    });
    (cluster.await, link)
}

// Guards against the reply to an earlier message of a reused connection, between daemons.
#[test]
fn a_reply_to_an_earlier_attempt_is_not_taken_for_the_answer() {
    task::block_on(async {
        let (cluster, link) = start_behind_link().await;
        let front = cluster.instances[0].caller_address();
        assert!(call(front, Method::Post, "/x", "first").await.is_some());
        link.set_mode(LinkMode::Repeats);
        for i in 0..12 {
            let id = format!("call-{i}");
            let response = call(front, Method::Post, "/x", &id).await;
            let response = response.expect("an answer");
            let runs = runs_of(&cluster, &id).await;
            match verdict(&response) {
                Some(Verdict::Ran) => {
                    assert_eq!(response.header("x-request-id"), Some(id.as_str()));
                    assert_eq!(runs, 1, "{id}");
                }
                Some(Verdict::NotRun) => assert_eq!(runs, 0, "{id}"),
                other => panic!("{id}: reported {other:?}"),
            }
        }
    });
}

// Guards against a reply that ends in its head and passes for an answer, between daemons.
#[test]
fn a_reply_cut_in_its_head_is_recovered_or_reported_truly() {
    task::block_on(async {
        let (cluster, link) = start_behind_link().await;
        let front = cluster.instances[0].caller_address();
        link.set_mode(LinkMode::Cuts);
        let headers = [("rosemaryfork-deadline", "1500")];
        let calling = call_with(front, Method::Post, "/x", "cut", &headers, Vec::new());
        let response = calling.await.expect("an answer");
        let runs = runs_of(&cluster, "cut").await;
        match verdict(&response) {
            Some(Verdict::NotRun) => assert_eq!(runs, 0),
            Some(Verdict::MayHaveRun) => assert!(runs <= 1),
            other => panic!("reported {other:?} without a whole reply"),
        }
    });
}

fn silent() -> DirectionFaults {
    DirectionFaults {
        is_silent: true,
        ..DirectionFaults::default()
    }
}

fn cut() -> DirectionFaults {
    DirectionFaults {
        is_cut: true,
        ..DirectionFaults::default()
    }
}

#[test]
fn a_response_lost_after_execution_is_recovered_from_the_ledger() {
    task::block_on(async {
        let (cluster, proxy) = start_behind_faulty_link().await;
        let front = cluster.instances[0].caller_address();
        // The first call opens the connection whose return direction is cut below.
        assert!(call(front, Method::Post, "/x", "first").await.is_some());
        proxy.set_faults(ProxyFaults {
            backward: cut(),
            existing_only: true,
            ..ProxyFaults::default()
        });
        let response = call(front, Method::Post, "/x", "lost")
            .await
            .expect("an answer");
        assert_eq!(response.status() as u16, 200);
        assert_eq!(verdict(&response), Some(Verdict::Ran));
        assert_eq!(runs_of(&cluster, "lost").await, 1);
        let operator = cluster.instances[0].operator();
        let recovered = operator.metric("ledger_asks_total", "done").await;
        assert_eq!(recovered, Ok(1.0), "the answer came from the ledger");
    });
}

#[test]
fn a_request_on_a_stalled_connection_gets_a_correct_verdict() {
    task::block_on(async {
        let (cluster, proxy) = start_behind_faulty_link().await;
        let front = cluster.instances[0].caller_address();
        assert!(call(front, Method::Post, "/x", "first").await.is_some());
        for (name, forward, backward) in [
            ("there", silent(), DirectionFaults::default()),
            ("back", DirectionFaults::default(), silent()),
            ("both", silent(), silent()),
        ] {
            proxy.set_faults(ProxyFaults {
                forward,
                backward,
                existing_only: true,
                ..ProxyFaults::default()
            });
            let response = call(front, Method::Post, "/x", name)
                .await
                .expect("an answer");
            let runs = runs_of(&cluster, name).await;
            match verdict(&response) {
                Some(Verdict::Ran) => assert_eq!(runs, 1, "{name}"),
                Some(Verdict::NotRun) => assert_eq!(runs, 0, "{name}"),
                other => panic!("{name}: reported {other:?}"),
            }
        }
        let operator = cluster.instances[0].operator();
        let answers = operator
            .metric("ledger_asks_total", "")
            .await
            .expect("metrics");
        assert!(answers >= 3.0, "the ledger was asked {answers} times");
    });
}

#[test]
fn a_stalled_network_yields_may_have_run_at_the_deadline() {
    task::block_on(async {
        let (cluster, proxy) = start_behind_faulty_link().await;
        let front = cluster.instances[0].caller_address();
        assert!(call(front, Method::Post, "/x", "first").await.is_some());
        proxy.set_faults(ProxyFaults {
            forward: silent(),
            backward: silent(),
            ..ProxyFaults::default()
        });
        let headers = [("rosemaryfork-deadline", "2000")];
        let response = call_with(front, Method::Post, "/x", "gone", &headers, Vec::new())
            .await
            .expect("an answer");
        assert_eq!(response.status() as u16, 504);
        assert_eq!(verdict(&response), Some(Verdict::MayHaveRun));
    });
}

#[test]
fn a_killed_server_loses_only_its_calls_in_flight() {
    task::block_on(async {
        let mut cluster = start_simple(3).await;
        let load = Load::start(LoadOptions {
            targets: cluster
                .instances
                .iter()
                .map(|i| i.caller_address())
                .collect(),
            path: format!("{PREFIX}/deposit?ms=20"),
            method: Method::Post,
            workers: 8,
            rate: 150,
            ..LoadOptions::default()
        });
        task::sleep(Millis(1000).duration()).await;
        cluster.signal_server(1, "KILL");
        task::sleep(Millis(2000).duration()).await;
        let report = load.stop().await;
        let figures = report.figures();
        let lost = figures.verdicts.get("may-have-run").copied().unwrap_or(0);
        assert!(lost <= 6, "at most the slots of one server, lost {lost}");
        assert_eq!(figures.crossed, 0);
        let reported_not_run =
            |r: &&rf_standin::load::CallRecord| r.verdict == Some(Verdict::NotRun);
        let runs = cluster.all_runs().await;
        for record in report.records.iter().filter(reported_not_run) {
            assert_eq!(runs.get(&record.id), None, "{} ran", record.id);
        }
        assert!(runs.values().all(|n| *n <= 1));
        assert!(figures.ok + lost >= figures.calls * 99 / 100, "{figures:?}");
    });
}

#[test]
fn a_request_that_crashes_servers_takes_down_at_most_two() {
    task::block_on(async {
        let crashing = |i| InstanceSpec {
            behavior: Behavior {
                crash_path: format!("{PREFIX}/poison"),
                ..Behavior::default()
            },
            ..spec(i, "v1")
        };
        let specs = (0..4).map(crashing).collect();
        let mut cluster = start(specs, &one_service(&[("v1", 100)])).await;
        let mut last = None;
        for i in 0..6 {
            let target = cluster.instances[i % 4].caller_address();
            last = call(target, Method::Post, "/poison", &format!("poison-{i}")).await;
            // Callers pause before they send a request again.
            task::sleep(Millis(500).duration()).await;
        }
        let down = (0..4).filter(|i| cluster.is_server_down(*i)).count();
        assert!(down <= 2, "{down} servers down");
        let last = last.expect("an answer");
        assert_eq!(last.status() as u16, 503);
        assert_eq!(verdict(&last), Some(Verdict::NotRun));
        assert!(last.header("retry-after").is_some());
    });
}

#[test]
fn overload_is_refused_and_no_server_exceeds_its_slots() {
    task::block_on(async {
        let slow = |i| InstanceSpec {
            behavior: Behavior {
                latency: Millis(20),
                ..Behavior::default()
            },
            ..spec(i, "v1")
        };
        let cluster = start((0..2).map(slow).collect(), &one_service(&[("v1", 100)])).await;
        let load = Load::start(LoadOptions {
            targets: cluster
                .instances
                .iter()
                .map(|i| i.caller_address())
                .collect(),
            path: format!("{PREFIX}/deposit"),
            method: Method::Post,
            workers: 96,
            rate: 1200,
            ..LoadOptions::default()
        });
        task::sleep(Millis(3000).duration()).await;
        let report = load.stop().await;
        let broken = report.find_violations(&cluster.all_runs().await);
        assert!(broken.is_empty(), "{broken:?}");
        for i in 0..2 {
            let most = cluster.runs(i).await.expect("runs").most;
            assert!(most <= 6, "{most} calls at a time on 6 slots");
        }
        let figures = report.figures();
        let refused = figures.verdicts.get("not-run").copied().unwrap_or(0);
        assert!(refused > 0, "twice the capacity must be refused in part");
        assert_eq!(figures.ok + refused, figures.calls, "{figures:?}");
    });
}

#[test]
fn a_planned_stop_under_load_fails_no_call() {
    task::block_on(async {
        let mut cluster = start_simple(3).await;
        let targets = [0, 1].map(|i| cluster.instances[i].caller_address());
        let load = Load::start(LoadOptions {
            targets: targets.to_vec(),
            path: format!("{PREFIX}/deposit?ms=50"),
            method: Method::Post,
            workers: 8,
            rate: 100,
            ..LoadOptions::default()
        });
        task::sleep(Millis(1000).duration()).await;
        assert!(cluster.stop_daemon(2).await, "the daemon drained in time");
        task::sleep(Millis(1000).duration()).await;
        let report = load.stop().await;
        let broken = report.find_violations(&cluster.all_runs().await);
        assert!(broken.is_empty(), "{broken:?}");
        assert_eq!(report.figures().ok, report.figures().calls);
    });
}

#[test]
fn calls_to_a_paused_server_run_at_most_once_and_never_report_not_run() {
    task::block_on(async {
        let mut cluster = start_simple(2).await;
        cluster.signal_server(1, "STOP");
        let headers = [("rosemaryfork-deadline", "1500")];
        for i in 0..6 {
            let target = cluster.instances[i % 2].caller_address();
            let id = format!("paused-{i}");
            let response = call_with(target, Method::Post, "/x", &id, &headers, Vec::new())
                .await
                .expect("an answer");
            let reported = verdict(&response).expect("a verdict");
            assert_ne!(
                reported,
                Verdict::NotRun,
                "it may run once the server goes on"
            );
        }
        cluster.signal_server(1, "CONT");
        task::sleep(Millis(300).duration()).await;
        let runs = cluster.all_runs().await;
        assert!(runs.values().all(|n| *n <= 1), "{runs:?}");
    });
}

#[test]
fn a_repeated_idempotency_key_runs_once_across_daemons() {
    task::block_on(async {
        let cluster = start_simple(4).await;
        let key = [("idempotency-key", "deposit-17")];
        let first = cluster.instances[0].caller_address();
        let body = b"100 dollars".to_vec();
        let response = call_with(first, Method::Post, "/deposit", "k1", &key, body.clone())
            .await
            .expect("an answer");
        assert_eq!(response.status() as u16, 200);
        // The first response does not wait until the idempotency records are settled.
        task::sleep(Millis(200).duration()).await;
        for i in 0..4 {
            let target = cluster.instances[i].caller_address();
            let again = call_with(target, Method::Post, "/deposit", "k2", &key, body.clone())
                .await
                .expect("an answer");
            assert_eq!(again.status() as u16, 200);
            assert_eq!(
                again.header("x-request-id"),
                Some("k1"),
                "the first one's answer"
            );
        }
        let other = call_with(first, Method::Post, "/deposit", "k3", &key, b"1".to_vec())
            .await
            .expect("an answer");
        assert_eq!(other.status() as u16, 422);
        let runs = cluster.all_runs().await;
        assert_eq!(runs.get("k1"), Some(&1));
        assert_eq!(runs.get("k2"), None);
        assert_eq!(runs.get("k3"), None);
    });
}

#[test]
fn an_idempotency_key_survives_a_rolling_restart_of_daemons() {
    task::block_on(async {
        let mut cluster = start_simple(4).await;
        let key = [("idempotency-key", "deposit-18")];
        let target = cluster.instances[0].caller_address();
        let response = call_with(target, Method::Post, "/d", "first", &key, Vec::new()).await;
        assert_eq!(response.map(|r| r.status() as u16), Some(200));
        task::sleep(Millis(200).duration()).await;
        let counter = counter_of(&cluster).await;
        for i in 0..4 {
            cluster.signal_daemon(i, "KILL");
            cluster.start_daemon(i).expect("restarted");
            cluster.wait_for_config(counter).await.expect("back");
            cluster.wait_for_servers(4).await.expect("announced");
            let target = cluster.instances[(i + 1) % 4].caller_address();
            let id = format!("again-{i}");
            let again = call_with(target, Method::Post, "/d", &id, &key, Vec::new())
                .await
                .expect("an answer");
            assert_eq!(again.status() as u16, 200, "after the loss of {i}");
            assert_eq!(again.header("x-request-id"), Some("first"));
            task::sleep(Millis(200).duration()).await;
        }
        let runs = cluster.all_runs().await;
        assert_eq!(runs.len(), 1, "{runs:?}");
    });
}

#[test]
fn concurrent_requests_with_one_idempotency_key_run_once() {
    task::block_on(async {
        let cluster = start_simple(4).await;
        let targets: Vec<SocketAddr> = cluster
            .instances
            .iter()
            .map(|i| i.caller_address())
            .collect();
        for round in 0..5 {
            let key = format!("at-once-{round}");
            let sends = (0..8).map(|i| {
                let target = targets[i % 4];
                let key = key.clone();
                let id = format!("{round}-{i}");
                task::spawn(async move {
                    let headers = [("idempotency-key", key.as_str())];
                    call_with(target, Method::Post, "/d?ms=50", &id, &headers, Vec::new()).await
                })
            });
            for send in sends.collect::<Vec<_>>() {
                let response = send.await.expect("an answer");
                assert!(
                    [200, 409].contains(&(response.status() as u16)),
                    "{}",
                    response.status()
                );
            }
            let runs = cluster.all_runs().await;
            let prefix = format!("{round}-");
            let ran: u32 = runs
                .iter()
                .filter(|(id, _)| id.starts_with(&prefix))
                .map(|(_, n)| n)
                .sum();
            assert!(ran <= 1, "key of round {round} ran {ran} times");
        }
    });
}

#[test]
fn nested_calls_under_overload_do_not_multiply_attempts() {
    task::block_on(async {
        let mut document = one_service(&[("v1", 100)]);
        let service = document.services[&"payments".into()].clone();
        let specs: Vec<InstanceSpec> = (0..8)
            .map(|depth| {
                let name = format!("chain-{depth}");
                document
                    .services
                    .insert(name.as_str().into(), service.clone());
                document.routes.push(rf_config::Route {
                    host: "*".to_owned(),
                    prefix: format!("{CHAIN_PREFIX}{depth}"),
                    service: name.as_str().into(),
                    ..rf_config::Route::default()
                });
                InstanceSpec {
                    service: name.clone(),
                    ..spec(depth, "v1")
                }
            })
            .map(|spec| InstanceSpec {
                name: spec.service.clone(),
                ..spec
            })
            .collect();
        let cluster = start(specs, &document).await;
        // A chain holds one of six slots of the first service for 80 ms, so the capacity is 75
        // chains per second, and the load is twice that.
        let load = Load::start(LoadOptions {
            targets: cluster
                .instances
                .iter()
                .map(|i| i.caller_address())
                .collect(),
            path: format!("{CHAIN_PREFIX}7?ms=10"),
            workers: 100,
            rate: 150,
            ..LoadOptions::default()
        });
        task::sleep(Millis(4000).duration()).await;
        let report = load.stop().await;
        let figures = report.figures();
        let mut attempts = 0.0;
        for instance in &cluster.instances {
            let operator = instance.operator();
            attempts += operator
                .metric("attempts_total", "")
                .await
                .expect("metrics");
        }
        let most = figures.calls as f64 * 8.0 * 1.1 + 80.0;
        assert!(
            attempts <= most,
            "{attempts} attempts for {} chains",
            figures.calls
        );
        assert!(figures.ok > 0);
        let refused = figures.verdicts.get("not-run").copied().unwrap_or(0);
        assert!(
            refused > 0,
            "twice the capacity must be refused in part: {figures:?}"
        );
        assert_eq!(figures.crossed, 0);
    });
}

#[test]
fn each_hop_continues_the_trace_with_a_new_span() {
    task::block_on(async {
        let cluster = start_simple(2).await;
        let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        let parent = format!("00-{trace}-00f067aa0ba902b7-01");
        let headers = [("traceparent", parent.as_str())];
        let target = cluster.instances[0].caller_address();
        let response = call_with(target, Method::Post, "/x", "t", &headers, Vec::new())
            .await
            .expect("an answer");
        let seen = response.header("x-traceparent").expect("a trace");
        assert!(seen.starts_with(&format!("00-{trace}-")), "{seen}");
        assert_ne!(seen, parent, "a span of its own");
        let fresh = call(target, Method::Post, "/x", "u")
            .await
            .expect("an answer");
        let seen = fresh.header("x-traceparent").expect("a new trace");
        assert_eq!(seen.len(), parent.len());
    });
}
