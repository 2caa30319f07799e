//! Odd objects of another writer in the store neither stop a proxy nor hide the other objects.

use rf_base::InstanceId;
use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Mesh, MeshSettings};
use serde_json::json;

/// Kind of the objects in which proxies register their addresses.
const PROXY_KIND: &str = "rosemaryfork-proxies";

async fn start(network: u8, servers: usize) -> Mesh {
    let settings = MeshSettings {
        network,
        services: vec![("payments".to_owned(), servers)],
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

/// Writes objects that no proxy can use among those of each kind that proxies read.
fn write_odd_objects(mesh: &Mesh) {
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    let entry = r#"{"instance":"i-9","zone":"z","relay":"127.0.0.1:70000","life":"5"}"#;
    for kind in ["config", "rollouts", PROXY_KIND] {
        let odd = [nested.as_str(), "1e400", "Infinity", entry, "null"];
        for (number, spec) in odd.iter().enumerate() {
            mesh.store.write_raw(kind, &format!("0-odd-{number}"), spec);
        }
    }
}

async fn wait_moved(mesh: &Mesh, target: &str) {
    for proxy in 0..mesh.instances.len() {
        let ask = CallerRequest {
            target: target.to_owned(),
            ..CallerRequest::read("probe")
        };
        wait_until(&format!("proxy {proxy} serves {target}"), || async {
            let answer = mesh.send(proxy, &ask).await;
            answer.is_ok_and(|a| a.head.status == 200)
        })
        .await;
    }
}

// Guards against proxies that end or stop following the store because of one odd object.
#[async_std::test]
async fn proxies_follow_the_store_and_restart_with_odd_objects_in_it() {
    let mut mesh = start(194, 3).await;
    write_odd_objects(&mesh);
    let mut routes = mesh.default_routes();
    routes[0]["paths"][0]["pathPrefix"] = json!("/moved/");
    mesh.write_table(&routes);
    wait_moved(&mesh, "/moved/x").await;

    // A proxy that starts now reads the whole list, the odd objects included.
    let number = mesh.add("payments", "v1").await.expect("an instance");
    wait_moved(&mesh, "/moved/x").await;
    let proxy = mesh.instances[number].proxy.as_ref().expect("it runs");
    let counter = &proxy.metrics().unreadable_objects;
    let counted = counter.with_label_values(&["proxies"]).get();
    assert!(counted >= 5, "{counted} odd entries were counted");
}

// Guards against a proxy that takes an odd incarnation from its own entry, which none can follow.
#[async_std::test]
async fn an_implausible_incarnation_in_the_own_entry_is_ignored() {
    let mut mesh = start(195, 2).await;
    for (number, life) in [(3, "ffffffffffffffff"), (4, "fffffffffffffffe")] {
        let own = InstanceId::of(&format!("payments-{number}")).to_string();
        let entry = json!({
            "instance": own, "zone": "zone-a", "relay": "127.9.195.9:9002", "life": life,
        });
        mesh.store.write(PROXY_KIND, &own, entry);
        mesh.add("payments", "v1").await.expect("an instance");
        mesh.wait_until_serving().await;
        let written = mesh.store.spec(PROXY_KIND, &own).expect("an entry");
        let life = written["life"]
            .as_str()
            .and_then(|l| u64::from_str_radix(l, 16).ok());
        assert!(life.is_some_and(|l| l < 1 << 48), "{written}");
    }
}
