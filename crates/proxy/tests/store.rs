//! Tests of configuration and rollouts with an available and with a failing store.

use async_std::task;
use rf_base::Millis;
use rf_platform::objects::{Consistency, ObjectClient};
use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Mesh, MeshSettings, ServerBehaviour, StoreFault, UsersStore};
use serde_json::{Value, json};

async fn start(network: u8, services: &[(&str, usize)]) -> Mesh {
    let services = services.iter().map(|(n, c)| ((*n).to_owned(), *c));
    let settings = MeshSettings {
        network,
        services: services.collect(),
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

fn one_route(prefix: &str, service: &str) -> Value {
    json!([{ "host": "mesh.example", "paths": [{
        "name": "only",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeout": "2s",
        "targetLatency": "500ms",
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
    }]}])
}

async fn status_of(mesh: &Mesh, proxy: usize, target: &str) -> u16 {
    let ask = CallerRequest {
        target: target.to_owned(),
        ..CallerRequest::read("probe")
    };
    let answer = mesh.send(proxy, &ask).await;
    answer.map_or(0, |a| a.head.status)
}

async fn wait_status(mesh: &Mesh, target: &str, status: u16) {
    for proxy in 0..mesh.instances.len() {
        wait_until(&format!("proxy {proxy} answers {status}"), || async {
            status_of(mesh, proxy, target).await == status
        })
        .await;
    }
}

#[async_std::test]
async fn a_new_table_becomes_active_on_every_proxy() {
    let mut mesh = start(61, &[("payments", 3)]).await;
    let mut routes = mesh.default_routes();
    routes[0]["paths"][0]["pathPrefix"] = json!("/moved/");
    mesh.write_table(&routes);
    wait_status(&mesh, "/moved/x", 200).await;
    wait_status(&mesh, "/read/x", 404).await;
}

#[async_std::test]
async fn an_invalid_table_leaves_the_previous_one_active() {
    let mut mesh = start(62, &[("payments", 2)]).await;
    mesh.write_table(&one_route("/odd/", "nobody"));
    mesh.store
        .write("config", "main", json!({ "version": "r99" }));
    task::sleep(Millis(400).duration()).await;
    assert_eq!(status_of(&mesh, 0, "/read/x").await, 200);
    assert_eq!(status_of(&mesh, 0, "/odd/x").await, 404);
    mesh.write_table(&one_route("/next/", "payments"));
    wait_status(&mesh, "/next/x", 200).await;
}

#[async_std::test]
async fn requests_succeed_during_a_store_outage_and_changes_apply_after_it() {
    let mut mesh = start(63, &[("payments", 2)]).await;
    for fault in [
        StoreFault::Busy,
        StoreFault::TooMany,
        StoreFault::Reset,
        StoreFault::Silent,
        StoreFault::Nonsense,
    ] {
        mesh.store.set_fault(fault);
        task::sleep(Millis(200).duration()).await;
        assert_eq!(status_of(&mesh, 0, "/read/x").await, 200, "{fault:?}");
    }
    let mut routes = mesh.default_routes();
    routes[0]["paths"][0]["pathPrefix"] = json!("/later/");
    mesh.write_table(&routes);
    mesh.store.set_fault(StoreFault::None);
    wait_status(&mesh, "/later/x", 200).await;
}

#[async_std::test]
async fn malformed_store_answers_are_retried_with_backoff() {
    let mesh = start(64, &[("payments", 2)]).await;
    mesh.store.set_fault(StoreFault::Nonsense);
    // These writes complete the pending watches, so that each follower sees the fault.
    mesh.store.write("rollouts", "other", json!({}));
    mesh.store.write("config", "other", json!({}));
    task::sleep(Millis(500).duration()).await;
    let before = mesh.store.calls();
    task::sleep(Millis(3000).duration()).await;
    let calls = mesh.store.calls() - before;
    // Two proxies follow two topics each, with a backoff that grows to over half a second.
    assert!(calls <= 4 * 8, "{calls} calls in three seconds");
}

#[async_std::test]
async fn a_compacted_history_leads_to_a_full_read() {
    let mut mesh = start(65, &[("payments", 2)]).await;
    mesh.store.set_fault(StoreFault::Reset);
    task::sleep(Millis(300).duration()).await;
    let mut routes = mesh.default_routes();
    routes[0]["paths"][0]["pathPrefix"] = json!("/anew/");
    mesh.write_table(&routes);
    mesh.store.compact();
    mesh.store.set_fault(StoreFault::None);
    wait_status(&mesh, "/anew/x", 200).await;
}

#[async_std::test]
async fn a_table_reaches_proxies_without_the_store_by_gossip() {
    let mut mesh = start(66, &[("payments", 3)]).await;
    // The pending watches report the change; all reads after it fail.
    let mut routes = mesh.default_routes();
    routes[0]["paths"][0]["pathPrefix"] = json!("/heard/");
    mesh.write_table(&routes);
    mesh.store.set_fault(StoreFault::Busy);
    wait_status(&mesh, "/heard/x", 200).await;
}

#[async_std::test]
async fn a_proxy_without_a_table_rejects_requests_and_is_not_ready() {
    let mesh = start(67, &[("payments", 1)]).await;
    mesh.store.set_fault(StoreFault::Silent);
    let mut mesh = mesh;
    // The new proxy can reach neither the store nor, through it, the other proxies.
    let added = mesh.add("payments", "v1").await.expect("it starts");
    assert_eq!(mesh.instances[added].readiness().await.ok(), Some(503));
    assert_eq!(status_of(&mesh, added, "/read/x").await, 503);
}

#[async_std::test]
async fn a_weighted_split_follows_its_weights() {
    let mut mesh = start(68, &[("payments", 1), ("records", 1)]).await;
    let mut routes = mesh.default_routes();
    let read = &mut routes[0]["paths"][0];
    read["pathPrefix"] = json!("/split/");
    read["split"] = json!([
        { "service": "payments", "weight": 80 },
        { "service": "records", "weight": 20 },
    ]);
    if let Some(read) = read.as_object_mut() {
        read.remove("service");
    }
    mesh.write_table(&routes);
    wait_status(&mesh, "/split/x", 200).await;
    let before = mesh.instances[1].server.arrivals().len();
    for _ in 0..100 {
        assert_eq!(status_of(&mesh, 0, "/split/x").await, 200);
    }
    let records = mesh.instances[1].server.arrivals().len() - before;
    assert!(
        (18..=22).contains(&records),
        "{records} of 100 went to records"
    );
}

fn start_rollout(mesh: &Mesh, duration: &str) {
    let spec = json!({
        "service": "payments",
        "targetVersion": "v2",
        "duration": duration,
    });
    mesh.store.write("rollouts", "payments", spec);
}

/// Sends requests until the rollout has ended; returns its final state.
async fn run_rollout(mesh: &Mesh) -> String {
    for number in 0..2000 {
        let ask = CallerRequest::read(&format!("d-{number}"));
        mesh.send(number % 2, &ask).await.expect("an answer");
        let status = mesh
            .store
            .status("rollouts", "payments")
            .unwrap_or_default();
        if let Some(state) = status["state"].as_str()
            && state != "running"
        {
            assert_eq!(status["targetVersion"], "v2");
            return state.to_owned();
        }
        task::sleep(Millis(5).duration()).await;
    }
    panic!("the rollout did not end");
}

#[async_std::test]
async fn a_version_without_a_rollout_gets_no_requests() {
    let mut mesh = start(69, &[("payments", 2)]).await;
    let added = mesh.add("payments", "v2").await.expect("it starts");
    task::sleep(Millis(600).duration()).await;
    for number in 0..40 {
        let ask = CallerRequest::read(&format!("d-{number}"));
        mesh.send(number % 3, &ask).await.expect("an answer");
    }
    assert_eq!(mesh.instances[added].server.arrivals().len(), 0);
}

#[async_std::test]
async fn a_good_version_is_completed_and_gets_all_requests() {
    let mut mesh = start(70, &[("payments", 2)]).await;
    start_rollout(&mesh, "6s");
    let added = mesh.add("payments", "v2").await.expect("it starts");
    assert_eq!(run_rollout(&mesh).await, "completed");
    let before = mesh.instances[added].server.arrivals().len();
    for number in 0..20 {
        mesh.send(0, &CallerRequest::read(&format!("e-{number}")))
            .await
            .expect("an answer");
    }
    assert_eq!(mesh.instances[added].server.arrivals().len() - before, 20);
}

#[async_std::test]
async fn a_bad_version_is_rolled_back_after_few_requests() {
    let mut mesh = start(71, &[("payments", 2)]).await;
    start_rollout(&mesh, "8s");
    let added = mesh.add("payments", "v2").await.expect("it starts");
    mesh.instances[added]
        .server
        .set_behaviour(ServerBehaviour::Fails);
    assert_eq!(run_rollout(&mesh).await, "rolled_back");
    let exposed = mesh.instances[added].server.arrivals().len();
    assert!(exposed <= 50, "{exposed} requests reached the bad version");
    for number in 0..20 {
        let answer = mesh
            .send(0, &CallerRequest::read(&format!("e-{number}")))
            .await;
        assert_eq!(answer.expect("an answer").head.status, 200);
    }
    assert_eq!(mesh.instances[added].server.arrivals().len(), exposed);
}

#[async_std::test]
async fn an_object_that_exists_is_replaced_in_one_call() {
    let store = UsersStore::start().await.expect("the store starts");
    let client = ObjectClient::new(store.address());
    let spec = json!({ "life": 1 });
    client
        .put("proxies", "p-1", &spec, false)
        .await
        .expect("created");
    let before = store.calls();
    client
        .put("proxies", "p-1", &spec, true)
        .await
        .expect("replaced");
    assert_eq!(store.calls() - before, 1);
    client
        .put("proxies", "p-2", &spec, true)
        .await
        .expect("created");
    let listing = client.list("proxies", Consistency::Stale).await;
    assert_eq!(listing.expect("listed").objects.len(), 2);
}
