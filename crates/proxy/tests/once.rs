//! Requests run at most once unless they are idempotent, and a refused request has not run.

use async_std::task;
use rf_base::Millis;
use rf_standin::users::mesh::CallerRequest;
use rf_standin::users::server::RESTART_DELAY;
use rf_standin::users::{Mesh, MeshSettings, ServerBehaviour};

/// Time after the third crash from which the users' rules count requests that still reach servers.
const SETTLE_TIME: Millis = Millis(3000);

async fn start(network: u8) -> Mesh {
    let settings = MeshSettings {
        network,
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

#[async_std::test]
async fn request_that_must_run_once_is_not_retried_after_its_answer_was_lost() {
    let mesh = start(21).await;
    for instance in &mesh.instances {
        instance.server.set_behaviour(ServerBehaviour::LosesAnswers);
    }
    for number in 0..6 {
        let request = format!("p-{number}");
        let answer = mesh
            .send(0, &CallerRequest::pay(&request))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 502);
        assert_eq!(mesh.runs(&request), 1);
    }
}

#[async_std::test]
async fn refused_request_did_not_run_and_gets_a_retry_delay() {
    let mesh = start(22).await;
    for instance in &mesh.instances {
        instance.server.set_behaviour(ServerBehaviour::Sheds);
    }
    let answer = mesh
        .send(0, &CallerRequest::pay("p-1"))
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 503);
    assert!(answer.retry_after().is_some_and(|s| s > 0.0 && s < 3.0));
    assert_eq!(mesh.runs("p-1"), 0);
}

#[async_std::test]
async fn replaced_process_at_the_same_address_does_not_run_the_request() {
    let mesh = start(23).await;
    for instance in &mesh.instances {
        instance.server.replace_process("i-somebody-else");
    }
    let answer = mesh
        .send(0, &CallerRequest::pay("p-1"))
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 503);
    assert_eq!(mesh.runs("p-1"), 0);
}

#[async_std::test]
async fn failure_is_forwarded_after_one_run_unless_the_request_is_idempotent() {
    let mesh = start(24).await;
    for instance in &mesh.instances {
        instance.server.set_behaviour(ServerBehaviour::Fails);
    }
    let answer = mesh
        .send(0, &CallerRequest::pay("p-1"))
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 500);
    assert_eq!(mesh.runs("p-1"), 1);
    let read = mesh
        .send(0, &CallerRequest::read("r-1"))
        .await
        .expect("an answer");
    assert_eq!(read.head.status, 500);
    assert_eq!(mesh.runs("r-1"), 2, "a read is tried on both servers");
}

#[async_std::test]
async fn overload_never_exceeds_the_slots_or_runs_a_refused_request() {
    let mesh = start(25).await;
    for instance in &mesh.instances {
        instance.server.set_run_time(Millis(100));
    }
    let mesh = std::sync::Arc::new(mesh);
    let calls: Vec<_> = (0..60)
        .map(|number| {
            let mesh = mesh.clone();
            task::spawn(async move {
                let ask = CallerRequest::pay(&format!("p-{number}"));
                let answer = mesh.send(number % 2, &ask).await.expect("an answer");
                (ask.id, answer)
            })
        })
        .collect();
    let mut served = 0;
    for call in calls {
        let (request, answer) = call.await;
        let runs = mesh.runs(&request);
        match answer.head.status {
            200 => {
                served += 1;
                assert_eq!(runs, 1);
            }
            503 => {
                assert_eq!(runs, 0, "a refused payment ran");
                assert!(answer.retry_after().is_some());
            }
            status => panic!("status {status}"),
        }
    }
    assert!(served >= 8, "{served} of 60 were served");
    for instance in &mesh.instances {
        assert!(instance.server.most_running() <= 4);
    }
}

#[async_std::test]
async fn request_that_exceeds_its_deadline_is_answered_at_the_deadline() {
    let mesh = start(26).await;
    for instance in &mesh.instances {
        instance.server.set_run_time(Millis(5000));
    }
    let start = std::time::Instant::now();
    let ask = CallerRequest {
        timeout: Millis(400),
        ..CallerRequest::pay("p-1")
    };
    let answer = mesh.send(0, &ask).await.expect("an answer");
    assert_eq!(answer.head.status, 504);
    let took = start.elapsed().as_millis();
    assert!((350..900).contains(&took), "answered after {took} ms");
}

/// Starts a mesh of `count` backend servers that crash on the request of [`crashing_request`].
async fn start_crashing(network: u8, count: usize) -> Mesh {
    let settings = MeshSettings {
        network,
        services: vec![("payments".to_owned(), count)],
        ..MeshSettings::default()
    };
    let mesh = Mesh::start(settings).await.expect("the mesh starts");
    for instance in &mesh.instances {
        let crashing = ServerBehaviour::CrashesOn("kill".to_owned());
        instance.server.set_behaviour(crashing);
    }
    mesh
}

fn crashing_request(number: usize) -> CallerRequest {
    CallerRequest {
        target: "/read/kill".to_owned(),
        ..CallerRequest::read(&format!("k-{number}"))
    }
}

fn crashes(mesh: &Mesh) -> u32 {
    mesh.instances.iter().map(|i| i.server.crashes()).sum()
}

#[async_std::test]
async fn request_that_crashes_backend_servers_is_refused_by_every_proxy_after_three_crashes() {
    let mesh = start_crashing(29, 5).await;
    for number in 0..10 {
        let answer = mesh
            .send(number % 5, &crashing_request(number))
            .await
            .expect("an answer");
        assert!(answer.head.status >= 500, "{}", answer.head.status);
        if crashes(&mesh) >= 3 {
            break;
        }
        task::sleep(RESTART_DELAY.duration() * 2).await;
    }
    task::sleep(SETTLE_TIME.duration()).await;
    let before = crashes(&mesh);
    assert!((3..=4).contains(&before), "{before} crashes");
    for number in 10..30 {
        let answer = mesh
            .send(number % 5, &crashing_request(number))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 502);
    }
    assert_eq!(crashes(&mesh), before);
    let other = mesh
        .send(1, &CallerRequest::read("fine"))
        .await
        .expect("an answer");
    assert_eq!(other.head.status, 200);
}

// Each attempt reaches one of the same two servers again after its restart. The crashes must be
// counted, not the servers that crashed.
#[async_std::test]
async fn request_that_crashes_the_same_two_backend_servers_repeatedly_is_refused() {
    let mesh = start_crashing(30, 2).await;
    for number in 0..2 {
        mesh.send(number, &crashing_request(number))
            .await
            .expect("an answer");
        task::sleep(RESTART_DELAY.duration() * 2).await;
    }
    let before = crashes(&mesh);
    assert!((3..=4).contains(&before), "{before} crashes");
    for number in 2..12 {
        let answer = mesh
            .send(number % 2, &crashing_request(number))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 502);
    }
    assert_eq!(crashes(&mesh), before);
}
