//! Helpers that start clusters of real processes and call them.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Url};
use rf_base::{ConfigVersion, Millis, Verdict};
use rf_daemon::control::event::Announcement;
use rf_rollout::change::Document;
use rf_standin::cluster::{Cluster, InstanceSpec, PREFIX, one_service};
use rf_standin::quickstart::quick_settings;
use rf_standin::server::Behavior;
use rf_transport::{BufferedResponse, Client};
use std::net::SocketAddr;

/// Longest wait for a response.
pub const TIMEOUT: Millis = Millis(20_000);
/// Largest accepted response body in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Describes instance `i` with a backend server of `version`, in one of two alternating zones.
pub fn spec(i: usize, version: &str) -> InstanceSpec {
    InstanceSpec {
        name: format!("payments-{i}"),
        zone: format!("zone-{}", i % 2 + 1),
        version: version.to_owned(),
        behavior: Behavior {
            latency: Millis(2),
            ..Behavior::default()
        },
        ..InstanceSpec::default()
    }
}

/// Starts a cluster, applies `document`, and waits until it is in force everywhere and every
/// backend server is known.
pub async fn start(specs: Vec<InstanceSpec>, document: &Document) -> Cluster {
    let mut cluster = Cluster::start(quick_settings()).await.expect("cluster");
    for spec in specs {
        cluster.add(spec).expect("instance");
    }
    apply_and_wait(&cluster, document).await;
    cluster
}

/// Applies `document`, and waits until it is in force everywhere and every backend server is known.
pub async fn apply_and_wait(cluster: &Cluster, document: &Document) {
    cluster
        .wait_for_config(ConfigVersion(0))
        .await
        .expect("daemons");
    let operator = cluster.instances[0].operator();
    let accepted = operator.apply(document).await.expect("accepted");
    cluster
        .wait_for_config(accepted.counter)
        .await
        .expect("in force");
    let servers = cluster.instances.iter().filter(|i| i.server.is_some());
    cluster
        .wait_for_servers(servers.count())
        .await
        .expect("servers");
}

/// Starts a cluster of `count` instances, each with a backend server of version `v1`.
pub async fn start_simple(count: usize) -> Cluster {
    let specs = (0..count).map(|i| spec(i, "v1")).collect();
    start(specs, &one_service(&[("v1", 100)])).await
}

/// Starts a cluster of `count` daemons without backend servers of their own; the test runs one with
/// `serve`, which is announced to the first daemon.
pub async fn start_beside<F>(
    count: usize,
    document: &Document,
    serve: impl FnOnce(TcpListener) -> F,
) -> Cluster
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut cluster = Cluster::start(quick_settings()).await.expect("cluster");
    for i in 0..count {
        let instance = InstanceSpec {
            service: String::new(),
            ..spec(i, "v1")
        };
        cluster.add(instance).expect("instance");
    }
    let address = cluster.address_of(0, 8000);
    let listener = TcpListener::bind(address).await.expect("server address");
    task::spawn(serve(listener));
    cluster.wait_for_config(ConfigVersion(0)).await.expect("up");
    let operator = cluster.instances[0].operator();
    let announcement = Announcement {
        service: "payments".into(),
        version: "v1".into(),
        address,
        slots: 4,
        ttl: Millis(60_000),
    };
    operator.announce(&announcement).await.expect("announced");
    let accepted = operator.apply(document).await.expect("accepted");
    cluster
        .wait_for_config(accepted.counter)
        .await
        .expect("in force");
    cluster.wait_for_servers(1).await.expect("announced");
    cluster
}

/// Returns the request id in the head of a request, or `none`.
pub fn id_in(head: &str) -> &str {
    let mut lines = head.lines();
    lines
        .find_map(|l| l.strip_prefix("x-request-id: "))
        .unwrap_or("none")
}

/// Sends a request with the id `id` and an empty body; returns `None` if there is no response.
pub async fn call(
    target: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
) -> Option<BufferedResponse> {
    call_with(target, method, path, id, &[], Vec::new()).await
}

/// Sends a request with headers and a body; returns `None` if there is no response.
pub async fn call_with(
    target: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Option<BufferedResponse> {
    let url = Url::parse(&format!("http://{target}{PREFIX}{path}")).expect("valid URL");
    let mut request = Request::new(method, url);
    request.insert_header("x-request-id", id);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    let client = Client::default();
    client.send(target, request, TIMEOUT, MAX_BODY).await.ok()
}

/// Returns the verdict in the response to a caller.
pub fn verdict(response: &BufferedResponse) -> Option<Verdict> {
    response.header("rosemaryfork-verdict")?.parse().ok()
}

/// Returns how often a request ran on all backend servers that are up.
pub async fn runs_of(cluster: &Cluster, id: &str) -> u32 {
    cluster.all_runs().await.get(id).copied().unwrap_or(0)
}

/// Returns the counter of the configuration in force at the first daemon.
pub async fn counter_of(cluster: &Cluster) -> ConfigVersion {
    let status = cluster.instances[0].operator().status().await;
    status.expect("status").counter
}
