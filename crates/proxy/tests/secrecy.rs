//! Keys appear in no log line at any level, in no metric, and not at backend servers.
//!
//! The test has a process of its own, since it collects the lines of all threads.

use async_std::task;
use rf_base::Millis;
use rf_proxy::telemetry::make_subscriber;
use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Mesh, MeshSettings};
use serde_json::json;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::SubscriberInitExt;

/// Part of each key of the test.
const SECRET: &str = "s3cr3t";

/// Buffer that collects the lines that were written.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bytes.extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[async_std::test]
async fn keys_are_in_no_log_line_metric_or_forwarded_request() {
    let lines = Lines::default();
    let writer = lines.clone();
    make_subscriber(EnvFilter::new("trace"), move || writer.clone())
        .try_init()
        .expect("no other subscriber");
    let settings = MeshSettings {
        network: 151,
        ..MeshSettings::default()
    };
    let mut mesh = Mesh::start(settings).await.expect("the mesh starts");
    let routes = mesh.default_routes();
    let known = format!("{SECRET}-1");
    let tenants = json!([{ "name": "acme", "apiKeys": [known], "priority": 1 }]);
    mesh.write_tenants(&routes, &tenants);
    wait_until("keys are checked", || async {
        let answer = mesh.send(0, &CallerRequest::read("probe")).await;
        answer.is_ok_and(|a| a.head.status == 401)
    })
    .await;
    for refused in [
        json!([{ "name": "a", "apiKeys": SECRET }]),
        json!([{ "name": "a", "apiKeys": [format!("{SECRET} ")] }]),
        json!([{ "name": "a", "apiKeys": [SECRET] }, { "name": "b", "apiKeys": [SECRET] }]),
    ] {
        mesh.write_tenants(&routes, &refused);
        task::sleep(Millis(150).duration()).await;
    }
    for number in 0..8 {
        let request = CallerRequest::read(&format!("r-{number}")).with_key(&known);
        let answer = mesh.send(0, &request).await.expect("an answer");
        assert_eq!(answer.head.status, 200);
    }
    let unknown = format!("{SECRET}-2");
    for key in [unknown.as_str(), "s3cr3t two"] {
        let request = CallerRequest::read("r-x").with_key(key);
        let answer = mesh.send(0, &request).await.expect("an answer");
        assert_eq!(answer.head.status, 401);
        assert!(!format!("{answer:?}").contains(SECRET));
    }
    for instance in &mesh.instances {
        for arrival in instance.server.arrivals() {
            assert!(!format!("{:?}", arrival.head).contains(SECRET));
        }
    }
    let metrics = mesh.instances[0].proxy.as_ref().expect("it runs").metrics();
    let metrics = String::from_utf8(metrics.encode()).expect("text");
    let unauthorised = "rosemaryfork_unauthorised_total{reason=\"unknown-key\"} 1";
    assert!(metrics.contains(unauthorised), "{metrics}");
    let served = "organisation_requests_total{organisation=\"acme\",result=\"answered\"} 8";
    assert!(metrics.contains(served), "{metrics}");
    let logged = lines.text();
    for event in ["request.unauthorised", "malformed-key", "object.refused"] {
        assert!(logged.contains(event), "{event} is not logged");
    }
    assert!(!logged.contains(SECRET) && !metrics.contains(SECRET));
}
