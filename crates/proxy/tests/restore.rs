//! Tests of a store that is restored from a backup that is a few seconds old.

use async_std::task;
use rf_base::Millis;
use rf_platform::objects::{Consistency, ObjectClient};
use rf_proxy::source::{Revision, SourceError};
use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Mesh, MeshSettings, UsersStore};
use serde_json::json;

const ENTRIES: &str = "rosemaryfork-proxies";
const NO_WAIT: Millis = Millis(0);

async fn start(network: u8, count: usize) -> Mesh {
    let settings = MeshSettings {
        network,
        services: [("payments".to_owned(), count)].into_iter().collect(),
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

fn write_prefix(mesh: &mut Mesh, prefix: &str) {
    let mut routes = mesh.default_routes();
    routes[0]["paths"][0]["pathPrefix"] = json!(prefix);
    mesh.write_table(&routes);
}

async fn wait_served(mesh: &Mesh, target: &str) {
    for proxy in 0..mesh.instances.len() {
        wait_until(&format!("proxy {proxy} serves {target}"), || async {
            let ask = CallerRequest {
                target: target.to_owned(),
                ..CallerRequest::read("probe")
            };
            let answer = mesh.send(proxy, &ask).await;
            answer.is_ok_and(|a| a.head.status == 200)
        })
        .await;
    }
}

#[async_std::test]
async fn a_table_written_under_a_reused_revision_is_applied() {
    let mut mesh = start(91, 3).await;
    let backup = mesh.store.snapshot();
    write_prefix(&mut mesh, "/lost/");
    wait_served(&mesh, "/lost/x").await;
    // The followers watch for changes after a revision that the restored store assigns again to the
    // next write.
    mesh.store.restore(backup);
    write_prefix(&mut mesh, "/next/");
    wait_served(&mesh, "/next/x").await;
}

#[async_std::test]
async fn a_table_lost_by_the_store_stays_active() {
    let mut mesh = start(92, 2).await;
    let backup = mesh.store.snapshot();
    write_prefix(&mut mesh, "/newer/");
    wait_served(&mesh, "/newer/x").await;
    mesh.store.restore(backup);
    task::sleep(Millis(600).duration()).await;
    wait_served(&mesh, "/newer/x").await;
}

#[async_std::test]
async fn entries_lost_by_the_store_are_written_again() {
    let store = UsersStore::start().await.expect("a port");
    let empty = store.snapshot();
    drop(store);
    let mesh = start(93, 3).await;
    wait_until("every proxy has an entry", || async {
        mesh.store.names(ENTRIES).len() == 3
    })
    .await;
    mesh.store.restore(empty);
    wait_until("every proxy has its entry again", || async {
        mesh.store.names(ENTRIES).len() == 3
    })
    .await;
}

#[async_std::test]
async fn a_watch_from_another_era_fails_though_its_revision_exists() {
    let store = UsersStore::start().await.expect("a port");
    let client = ObjectClient::new(store.address());
    store.write("config", "main", json!({ "version": "r1" }));
    let backup = store.snapshot();
    store.write("config", "main", json!({ "version": "r2" }));
    let listing = client.list("config", Consistency::Newest).await;
    let old = listing.expect("the store answers").revision;
    store.restore(backup);
    store.write("config", "main", json!({ "version": "r3" }));
    let watched = client.watch("config", old, NO_WAIT).await;
    assert!(
        matches!(watched, Err(SourceError::Restored)),
        "{watched:?} after {old:?}"
    );
    let listing = client.list("config", Consistency::Newest).await;
    let fresh = listing.expect("the store answers").revision;
    assert_eq!((fresh.era, fresh.number), (1, old.number));
    assert!(fresh > old);
}

#[async_std::test]
async fn a_conditional_write_matches_no_object_of_another_era() {
    let store = UsersStore::start().await.expect("a port");
    let client = ObjectClient::new(store.address());
    let backup = store.snapshot();
    let number = store.write("rollouts", "payments", json!({ "targetVersion": "v2" }));
    client
        .list("rollouts", Consistency::Newest)
        .await
        .expect("it");
    store.restore(backup);
    store.write("rollouts", "payments", json!({ "targetVersion": "v3" }));
    client
        .list("rollouts", Consistency::Newest)
        .await
        .expect("it");
    let old = Revision { era: 0, number };
    let status = json!({ "state": "rolled_back", "targetVersion": "v2" });
    let put = client.put_status("rollouts", "payments", old, &status);
    assert_eq!(put.await, Err(SourceError::Restored));
    assert_eq!(store.status("rollouts", "payments"), Some(json!(null)));
}
