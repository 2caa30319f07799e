//! Tests of moves with real processes: completion, bad versions, deadlines, concurrent operators,
//! and loss of the daemon that conducts them.

mod common;

use async_std::task;
use common::{call, spec, start};
use http_types::Method;
use rf_base::{Clock, Millis, MoveId};
use rf_config::{Intent, MoveState, Outcome, Plan};
use rf_standin::cluster::{Cluster, InstanceSpec, PREFIX, one_service};
use rf_standin::load::{Load, LoadOptions};
use rf_standin::operator::Operator;
use rf_standin::platform::Faults;
use rf_standin::server::Behavior;

/// Starts three backend servers of the old version and three of the new one.
async fn start_two_versions() -> Cluster {
    let specs = (0..6).map(|i| spec(i, if i < 3 { "v1" } else { "v2" }));
    start(specs.collect(), &one_service(&[("v1", 100), ("v2", 0)])).await
}

fn start_load(cluster: &Cluster, id: &str, rate: u64) -> Load {
    Load::start(LoadOptions {
        targets: cluster
            .instances
            .iter()
            .map(|i| i.caller_address())
            .collect(),
        path: format!("{PREFIX}/deposit"),
        method: Method::Post,
        workers: 16,
        rate,
        id: id.to_owned(),
        ..LoadOptions::default()
    })
}

async fn plan_shift(operator: &Operator, time: Millis) -> Plan {
    let intent = Intent::Shift {
        service: "payments".into(),
        version: "v2".into(),
        share: 100,
        by: Clock::system().now() + time,
    };
    operator.plan(&intent).await.expect("a plan")
}

async fn confirm_shift(operator: &Operator, time: Millis) -> MoveId {
    let plan = plan_shift(operator, time).await;
    operator.confirm(&plan).await.expect("confirmed").confirmed
}

async fn wait_outcome(cluster: &Cluster, operator: &Operator, id: MoveId) -> Outcome {
    cluster
        .wait_until("the end of the move", Millis(60_000), async || {
            let m = operator.find_move(id).await;
            m.is_ok_and(|m| !m.state.is_running())
        })
        .await
        .expect("an end");
    let m = operator.find_move(id).await.expect("the move");
    match m.state {
        MoveState::Ended { outcome, .. } => {
            // Shown if the test fails.
            println!("move ended: {}", m.summary);
            outcome
        }
        MoveState::Running { .. } => panic!("ended moves stay ended"),
    }
}

/// Returns the state of a move according to the first daemon that knows it.
async fn find_state(cluster: &Cluster, id: MoveId) -> Option<MoveState> {
    for instance in &cluster.instances {
        if let Ok(m) = instance.operator().find_move(id).await {
            return Some(m.state);
        }
    }
    None
}

/// Returns the instance whose daemon holds the lease for moves.
async fn find_owner(cluster: &Cluster) -> Option<usize> {
    for (i, instance) in cluster.instances.iter().enumerate() {
        let status = instance.operator().status().await;
        if status.is_ok_and(|s| s.conducts.is_some()) {
            return Some(i);
        }
    }
    None
}

#[test]
fn a_failing_or_slow_version_is_taken_back() {
    let kinds = [
        (
            "failing",
            Behavior {
                fail_percent: 50,
                ..Behavior::default()
            },
        ),
        (
            "slow",
            Behavior {
                latency: Millis(60),
                ..Behavior::default()
            },
        ),
        (
            "failing on one route",
            Behavior {
                fail_percent: 60,
                fail_prefix: PREFIX.to_owned(),
                ..Behavior::default()
            },
        ),
    ];
    task::block_on(async {
        let cluster = start_two_versions().await;
        let operator = cluster.instances[1].operator();
        for (name, behavior) in kinds {
            for i in 3..6 {
                cluster.set_behavior(i, &behavior).await.expect("set");
            }
            let load = start_load(&cluster, name, 200);
            // The cold start of the new servers, during which slowness does not count, is over.
            let id = confirm_shift(&operator, Millis(40_000)).await;
            let outcome = wait_outcome(&cluster, &operator, id).await;
            assert_eq!(outcome, Outcome::TakenBack, "{name}");
            let ended = Clock::system().now();
            task::sleep(Millis(2000).duration()).await;
            let first_late = load.report().records.len();
            task::sleep(Millis(500).duration()).await;
            let report = load.stop().await;
            let late = report.records[first_late..]
                .iter()
                .filter(|r| r.version.as_deref() == Some("v2"));
            assert_eq!(
                late.count(),
                0,
                "{name}: traffic 2 s after the end at {ended}"
            );
            let broken = report.find_violations(&cluster.all_runs().await);
            assert!(broken.is_empty(), "{name}: {broken:?}");
        }
    });
}

#[test]
fn a_bad_version_loses_its_traffic_during_a_platform_outage() {
    task::block_on(async {
        let cluster = start_two_versions().await;
        let operator = cluster.instances[2].operator();
        let load = start_load(&cluster, "load", 200);
        let id = confirm_shift(&operator, Millis(60_000)).await;
        task::sleep(Millis(1000).duration()).await;
        let down = Faults {
            is_down: true,
            ..Faults::default()
        };
        cluster.set_platform_faults(down).await.expect("down");
        for i in 3..6 {
            let failing = Behavior {
                fail_percent: 100,
                ..Behavior::default()
            };
            cluster.set_behavior(i, &failing).await.expect("set");
        }
        for instance in &cluster.instances {
            let operator = instance.operator();
            cluster
                .wait_until(
                    "no traffic to the bad version at any daemon",
                    Millis(15_000),
                    async || {
                        let m = operator.find_move(id).await;
                        m.is_ok_and(|m| m.progress == 0 && m.state.is_running())
                    },
                )
                .await
                .expect("traffic removed");
        }
        cluster
            .set_platform_faults(Faults::default())
            .await
            .expect("up");
        let outcome = wait_outcome(&cluster, &operator, id).await;
        assert_eq!(outcome, Outcome::TakenBack);
        load.stop().await;
    });
}

#[test]
fn a_move_is_taken_back_at_its_deadline_during_a_platform_outage() {
    task::block_on(async {
        let cluster = start_two_versions().await;
        let operator = cluster.instances[0].operator();
        let load = start_load(&cluster, "load", 100);
        let plan = plan_shift(&operator, Millis(20_000)).await;
        let id = operator.confirm(&plan).await.expect("confirmed").confirmed;
        task::sleep(Millis(1500).duration()).await;
        let down = Faults {
            is_down: true,
            ..Faults::default()
        };
        cluster.set_platform_faults(down).await.expect("down");
        let left = plan.deadline.since(Clock::system().now()) + Millis(700);
        task::sleep(left.duration()).await;
        for instance in &cluster.instances {
            let m = instance.operator().find_move(id).await.expect("the move");
            assert_eq!(m.progress, 0, "{} by its own clock", instance.spec.name);
        }
        let before = load.report().records.len();
        task::sleep(Millis(500).duration()).await;
        let report = load.stop().await;
        let is_new = |r: &&rf_standin::load::CallRecord| r.version.as_deref() == Some("v2");
        assert_eq!(report.records[before..].iter().filter(is_new).count(), 0);
        cluster
            .set_platform_faults(Faults::default())
            .await
            .expect("up");
        let outcome = wait_outcome(&cluster, &operator, id).await;
        assert_eq!(outcome, Outcome::TakenBack);
    });
}

#[test]
fn a_move_survives_the_loss_of_its_owner_at_every_step() {
    task::block_on(async {
        let mut cluster = start_two_versions().await;
        let load = start_load(&cluster, "load", 100);
        // The daemon that conducts the move is killed at each new step.
        let operator = cluster.instances[0].operator();
        let plan = plan_shift(&operator, Millis(45_000)).await;
        let id = operator.confirm(&plan).await.expect("confirmed").confirmed;
        let mut killed = 0;
        for step in 0..plan.steps.len() {
            cluster
                .wait_until("the step", Millis(40_000), async || {
                    let m = find_state(&cluster, id).await;
                    !matches!(m, Some(MoveState::Running { step: s }) if s < step)
                })
                .await
                .expect("a step");
            if let Some(i) = find_owner(&cluster).await {
                cluster.signal_daemon(i, "KILL");
                cluster.start_daemon(i).expect("restarted");
                killed += 1;
            }
        }
        let outcome = wait_outcome(&cluster, &operator, id).await;
        assert!(killed > 0, "no owner was killed");
        let ended = Clock::system().now();
        assert!(ended <= plan.deadline + Millis(1000), "ended in time");
        let m = operator.find_move(id).await.expect("the move");
        for instance in &cluster.instances {
            let seen = wait_outcome(&cluster, &instance.operator(), id).await;
            assert_eq!(seen, outcome, "{}", m.summary);
        }
        let report = load.stop().await;
        let runs = cluster.all_runs().await;
        assert!(runs.values().all(|n| *n <= 1));
        assert_eq!(report.figures().crossed, 0);
    });
}

#[test]
fn an_owner_resumed_after_losing_its_lease_changes_no_outcome() {
    task::block_on(async {
        let mut cluster = start_two_versions().await;
        let load = start_load(&cluster, "load", 100);
        let operator = cluster.instances[0].operator();
        let id = confirm_shift(&operator, Millis(30_000)).await;
        cluster
            .wait_until(
                "a daemon that conducts the move",
                Millis(10_000),
                async || find_owner(&cluster).await.is_some(),
            )
            .await
            .expect("an owner");
        let paused = find_owner(&cluster).await.expect("an owner");
        let observer = cluster.instances[(paused + 1) % 6].operator();
        cluster.signal_daemon(paused, "STOP");
        task::sleep(Millis(8000).duration()).await;
        cluster.signal_daemon(paused, "CONT");
        let outcome = wait_outcome(&cluster, &observer, id).await;
        for instance in &cluster.instances {
            assert_eq!(
                wait_outcome(&cluster, &instance.operator(), id).await,
                outcome
            );
        }
        load.stop().await;
    });
}

#[test]
fn a_stale_plan_is_a_conflict_that_names_the_confirmed_move() {
    task::block_on(async {
        let cluster = start_two_versions().await;
        let first = cluster.instances[0].operator();
        let second = cluster.instances[5].operator();
        let one = plan_shift(&first, Millis(40_000)).await;
        let other = plan_shift(&second, Millis(50_000)).await;
        let confirmed = first.confirm(&one).await.expect("confirmed");
        let again = first
            .confirm(&one)
            .await
            .expect("a second time is harmless");
        assert_eq!(again.confirmed, confirmed.confirmed);
        let stale = second.confirm(&other).await.expect_err("stale");
        assert_eq!(stale.status, 409);
        assert!(stale.message.contains("is stale"), "{}", stale.message);
        assert!(
            stale.message.contains(&confirmed.confirmed.to_string()),
            "{}",
            stale.message
        );
        let take_back = Intent::TakeBack {
            target: confirmed.confirmed,
        };
        cluster
            .wait_until("news of the move", Millis(5000), async || {
                second.find_move(confirmed.confirmed).await.is_ok()
            })
            .await
            .expect("known everywhere");
        let plan = second.plan(&take_back).await.expect("a plan");
        second.confirm(&plan).await.expect("taken back");
        let outcome = wait_outcome(&cluster, &first, confirmed.confirmed).await;
        assert_eq!(outcome, Outcome::TakenBack);
    });
}

#[test]
fn a_lost_platform_response_confirms_a_plan_only_once() {
    task::block_on(async {
        let cluster = start_two_versions().await;
        let operator = cluster.instances[0].operator();
        let plan = plan_shift(&operator, Millis(60_000)).await;
        let lossy = Faults {
            lose_answers: 3,
            ..Faults::default()
        };
        cluster.set_platform_faults(lossy).await.expect("lossy");
        let before = operator.status().await.expect("status").counter;
        let confirmed = operator.confirm(&plan).await.expect("confirmed");
        assert_eq!(confirmed.counter.0, before.0 + 1, "written once");
        let m = operator
            .find_move(confirmed.confirmed)
            .await
            .expect("the move");
        assert!(m.state.is_running());
    });
}

#[test]
fn impossible_intents_are_refused_with_the_reason() {
    task::block_on(async {
        let cluster = start(
            vec![spec(0, "v1"), spec(1, "v1")],
            &one_service(&[("v1", 100), ("v2", 0)]),
        )
        .await;
        let operator = cluster.instances[0].operator();
        let now = Clock::system().now();
        let shift = |service: &str, version: &str, share, by| Intent::Shift {
            service: service.into(),
            version: version.into(),
            share,
            by,
        };
        let far = now + Millis(60_000);
        let retire = |name: &str| Intent::Retire {
            instance: rf_base::InstanceId::of(name),
            by: far,
        };
        let cases = [
            (shift("nothing", "v2", 100, far), "known: payments"),
            (shift("payments", "v9", 100, far), "known: v1, v2"),
            (shift("payments", "v2", 101, far), "between 0 and 100"),
            (shift("payments", "v1", 100, far), "already receives"),
            (shift("payments", "v2", 100, far), "start some first"),
            (shift("payments", "v1", 50, far), "start some first"),
            (retire("nobody"), "no backend server"),
        ];
        for (intent, expected) in cases {
            let error = operator.plan(&intent).await.expect_err("refused");
            assert!(
                error.message.contains(expected),
                "{intent}: {}",
                error.message
            );
        }
        let plan = operator.plan(&retire("payments-0")).await.expect("a plan");
        let id = operator.confirm(&plan).await.expect("confirmed").confirmed;
        assert_eq!(wait_outcome(&cluster, &operator, id).await, Outcome::Done);
        let last = operator
            .plan(&retire("payments-1"))
            .await
            .expect_err("last one");
        assert!(
            last.message.contains("last backend server"),
            "{}",
            last.message
        );
        let response = call(
            cluster.instances[0].caller_address(),
            Method::Post,
            "/x",
            "after",
        )
        .await;
        assert_eq!(response.map(|r| r.status() as u16), Some(200));
        assert_eq!(cluster.runs(0).await.expect("runs").runs.get("after"), None);
    });
}

#[test]
fn a_move_under_the_deadline_policy_ends_before_its_deadline() {
    task::block_on(async {
        let mut document = one_service(&[("v1", 100), ("v2", 0)]);
        for service in document.services.values_mut() {
            service.policy = rf_config::Policy::Deadline;
        }
        let specs: Vec<InstanceSpec> = (0..4)
            .map(|i| spec(i, if i < 2 { "v1" } else { "v2" }))
            .collect();
        let cluster = start(specs, &document).await;
        let operator = cluster.instances[3].operator();
        let load = start_load(&cluster, "load", 150);
        let start = Clock::system().now();
        let id = confirm_shift(&operator, Millis(30_000)).await;
        assert_eq!(wait_outcome(&cluster, &operator, id).await, Outcome::Done);
        let took = Clock::system().now().since(start);
        assert!(took < Millis(20_000), "took {took}");
        let report = load.stop().await;
        let broken = report.find_violations(&cluster.all_runs().await);
        assert!(broken.is_empty(), "{broken:?}");
    });
}
