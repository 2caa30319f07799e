//! Authentication with API keys over whole proxies: who is admitted, and what backend servers see.

use async_std::task;
use rf_base::Millis;
use rf_standin::users::mesh::{CallerRequest, encode, read_answer, wait_until};
use rf_standin::users::server::Arrival;
use rf_standin::users::{Mesh, MeshSettings};
use serde_json::{Value, json};

/// Starts a mesh whose route `/pay/` is public and whose other routes need a key.
async fn start(network: u8) -> Mesh {
    let settings = MeshSettings {
        network,
        ..MeshSettings::default()
    };
    let mut mesh = Mesh::start(settings).await.expect("the mesh starts");
    write_tenants(&mut mesh, &tenants()).await;
    mesh
}

fn tenants() -> Value {
    json!([
        { "name": "large", "apiKeys": ["key-1", "key-2"], "priority": 2 },
        { "name": "small one", "apiKeys": ["key-3"], "priority": 0 },
    ])
}

/// Writes organisations and waits until each proxy has them, which the answer to a request
/// without a key shows.
async fn write_tenants(mesh: &mut Mesh, tenants: &Value) {
    let mut routes = mesh.default_routes();
    routes[0]["paths"][1]["public"] = json!(true);
    let version = mesh.write_tenants(&routes, tenants);
    for instance in &mesh.instances {
        wait_until(
            &format!("{} has table {version}", instance.name),
            || async {
                let proxy = instance.proxy.as_ref();
                proxy.is_some_and(|p| p.metrics().table_version.get() as u64 == version)
            },
        )
        .await;
    }
}

async fn status(mesh: &Mesh, request: &CallerRequest) -> u16 {
    let answer = mesh.send(0, request).await.expect("an answer");
    answer.head.status
}

fn arrival(mesh: &Mesh, request: &str) -> Option<Arrival> {
    let mut arrivals = mesh.instances.iter().flat_map(|i| i.server.arrivals());
    arrivals.find(|a| a.request_id == request)
}

fn with_field(request: CallerRequest, name: &'static str, value: &str) -> CallerRequest {
    let mut request = request;
    request.headers.push((name, value.to_owned()));
    request
}

const TENANT: &str = "X-Rosemaryfork-Tenant";

#[async_std::test]
async fn only_requests_with_a_valid_key_run_and_the_key_is_not_forwarded() {
    let mesh = start(141).await;
    let read = CallerRequest::read;
    assert_eq!(status(&mesh, &read("r-1").with_key("key-2")).await, 200);
    assert_eq!(status(&mesh, &read("r-2").with_key("key-3")).await, 200);
    let seen = arrival(&mesh, "r-1").expect("it arrived");
    assert_eq!(seen.header(TENANT), Some("large"));
    assert_eq!(seen.header("Authorization"), None);
    let seen = arrival(&mesh, "r-2").expect("it arrived");
    assert_eq!(seen.header(TENANT), Some("small one"));
    let twice = read("r-3").with_key("key-1").with_key("key-1");
    let refused = [
        read("r-4"),
        read("r-5").with_key("key-9"),
        read("r-6").with_key(""),
        read("r-7").with_key("key-1 "),
        with_field(read("r-8"), "Authorization", "key-1"),
        with_field(read("r-9"), "Authorization", "Basic key-1"),
        twice,
    ];
    for request in &refused[..3] {
        let answer = mesh.send(0, request).await.expect("an answer");
        assert_eq!(answer.head.status, 401);
        assert_eq!(answer.head.headers.get("WWW-Authenticate"), Some("Bearer"));
    }
    // A space behind the value belongs to the field, not to the key.
    assert_eq!(status(&mesh, &refused[3]).await, 200);
    for request in &refused[4..] {
        assert_eq!(status(&mesh, request).await, 401, "{}", request.id);
    }
    for request in refused.iter().filter(|r| r.id != "r-7") {
        assert_eq!(mesh.runs(&request.id), 0, "{}", request.id);
    }
}

#[async_std::test]
async fn the_name_of_the_organisation_is_set_whatever_the_caller_sends() {
    let mesh = start(142).await;
    let forged = with_field(CallerRequest::read("r-1"), TENANT, "small one");
    let forged = with_field(forged, "Connection", "X-Rosemaryfork-Tenant, Authorization");
    assert_eq!(status(&mesh, &forged.with_key("key-1")).await, 200);
    let seen = arrival(&mesh, "r-1").expect("it arrived");
    assert_eq!(seen.header(TENANT), Some("large"));
    let anonymous = with_field(CallerRequest::pay("r-2"), TENANT, "small one");
    assert_eq!(status(&mesh, &anonymous).await, 200);
    let seen = arrival(&mesh, "r-2").expect("it arrived");
    assert_eq!(seen.header(TENANT), None);
}

#[async_std::test]
async fn a_public_route_needs_no_key_and_ignores_an_invalid_one() {
    let mesh = start(143).await;
    let pay = CallerRequest::pay;
    assert_eq!(status(&mesh, &pay("r-1")).await, 200);
    assert_eq!(status(&mesh, &pay("r-2").with_key("key-9")).await, 200);
    assert_eq!(status(&mesh, &pay("r-3").with_key("key-3")).await, 200);
    let names = ["r-1", "r-2", "r-3"].map(|id| {
        let seen = arrival(&mesh, id).expect("it arrived");
        assert_eq!(seen.header("Authorization"), None, "{id}");
        seen.header(TENANT).map(str::to_owned)
    });
    assert_eq!(names, [None, None, Some("small one".to_owned())]);
}

#[async_std::test]
async fn an_unknown_route_is_reported_before_a_missing_key() {
    let mesh = start(144).await;
    let request = CallerRequest {
        target: "/nowhere/x".to_owned(),
        ..CallerRequest::read("r-1")
    };
    assert_eq!(status(&mesh, &request).await, 404);
}

#[async_std::test]
async fn a_nested_call_needs_no_key_while_its_parent_runs_and_is_told_to_retry_after_it() {
    let mesh = start(145).await;
    for instance in &mesh.instances {
        instance.server.set_run_time(Millis(600));
    }
    let nested = with_field(CallerRequest::read("r-1.a"), TENANT, "small one");
    let parent = CallerRequest::read("r-1").with_key("key-1");
    let calling = async {
        wait_until("the parent runs", || async { mesh.runs("r-1") > 0 }).await;
        let at = mesh.instances.iter().position(|i| i.server.runs("r-1") > 0);
        let at = at.expect("a server runs it");
        mesh.send(at, &nested).await.expect("an answer").head.status
    };
    let (parent, nested_status) = futures_lite::future::zip(mesh.send(0, &parent), calling).await;
    assert_eq!(parent.expect("an answer").head.status, 200);
    assert_eq!(nested_status, 200);
    let seen = arrival(&mesh, "r-1.a").expect("it arrived");
    assert_eq!(seen.header(TENANT), None);

    let orphan = CallerRequest::read("r-1.b");
    let answer = mesh.send(0, &orphan).await.expect("an answer");
    assert_eq!(answer.head.status, 503);
    let delay = answer.retry_after().expect("a delay");
    assert!(delay > 0.0 && delay < 1.0, "{delay} s");
    assert_eq!(mesh.runs("r-1.b"), 0);
    let keyed = CallerRequest::read("r-1.c").with_key("key-1");
    assert_eq!(status(&mesh, &keyed).await, 200);
    let wrong = CallerRequest::read("r-1.d").with_key("key-9");
    assert_eq!(status(&mesh, &wrong).await, 401);
}

#[async_std::test]
async fn a_withdrawn_key_is_refused_on_an_open_connection_and_by_a_new_process() {
    let mut mesh = start(146).await;
    let mut connection = mesh.connect(0).await.expect("a connection");
    let request = CallerRequest::read("r-1").with_key("key-2");
    let answer = mesh.send_on(&mut connection, &request).await;
    assert_eq!(answer.expect("an answer").head.status, 200);
    let mut left = tenants();
    left[0]["apiKeys"] = json!(["key-1"]);
    write_tenants(&mut mesh, &left).await;
    connection.write(&encode(&request)).await.expect("written");
    let answer = read_answer(&mut connection, "GET").await;
    assert_eq!(answer.expect("an answer").head.status, 401);
    // A new process has no state of the old ones: before it has the table it answers 503.
    let new = mesh.add("payments", "v1").await.expect("it starts");
    wait_until("the new proxy has the table", || async {
        let answer = mesh.send(new, &request).await.expect("an answer");
        let status = answer.head.status;
        assert!(matches!(status, 401 | 503), "{status}");
        status == 401
    })
    .await;
}

#[async_std::test]
async fn a_refused_configuration_leaves_the_keys_in_force() {
    let mut mesh = start(147).await;
    let routes = mesh.default_routes();
    let shared = json!([
        { "name": "a", "apiKeys": ["key-9"] },
        { "name": "b", "apiKeys": ["key-9"] },
    ]);
    mesh.write_tenants(&routes, &shared);
    task::sleep(Millis(400).duration()).await;
    let read = CallerRequest::read;
    assert_eq!(status(&mesh, &read("r-1").with_key("key-1")).await, 200);
    assert_eq!(status(&mesh, &read("r-2").with_key("key-9")).await, 401);
}

#[async_std::test]
async fn without_organisations_the_field_is_forwarded_and_no_key_is_needed() {
    let mut mesh = start(148).await;
    write_tenants(&mut mesh, &json!([])).await;
    let request = CallerRequest::read("r-1").with_key("key-1");
    assert_eq!(status(&mesh, &request).await, 200);
    assert_eq!(status(&mesh, &CallerRequest::read("r-2")).await, 200);
    let seen = arrival(&mesh, "r-1").expect("it arrived");
    assert_eq!(seen.header("Authorization"), Some("Bearer key-1"));
    assert_eq!(seen.header(TENANT), None);
}
