//! Backend servers that send an endless answer.

use async_std::task;
use rf_base::Millis;
use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Endless, Mesh, MeshSettings, ServerBehaviour};
use std::sync::Arc;
use std::time::{Duration, Instant};

const KINDS: [Endless; 8] = [
    Endless::Line,
    Endless::Fields,
    Endless::Interim,
    Endless::Body,
    Endless::Chunks,
    Endless::Extension,
    Endless::Trailers,
    Endless::Stray,
];
/// Number of slots of the backend server.
const SLOTS: u32 = 16;
/// Deadline that callers give.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time after the deadline within which the answer must arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

async fn start(network: u8) -> Mesh {
    let settings = MeshSettings {
        network,
        slots: SLOTS,
        services: [("payments".to_owned(), 1)].into_iter().collect(),
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

async fn is_served(mesh: &Mesh, request: &str) -> bool {
    let answer = mesh.send(0, &CallerRequest::read(request)).await;
    answer.is_ok_and(|a| a.head.status == 200)
}

#[async_std::test]
async fn endless_answer_is_cut_off_and_not_delivered_to_the_caller() {
    let mesh = start(95).await;
    let server = &mesh.instances[0].server;
    for (number, kind) in KINDS.into_iter().enumerate() {
        server.set_behaviour(ServerBehaviour::Endless(kind));
        let request = format!("r-{number}");
        let start = Instant::now();
        let answer = mesh.send(0, &CallerRequest::pay(&request)).await;
        let status = answer.expect("an answer").head.status;
        // The request ran, so the answer must not be 503, which promises that it did not.
        assert!(matches!(status, 502 | 504), "{kind:?}: {status}");
        assert!(start.elapsed() < CALLER_TIMEOUT + ANSWER_GRACE, "{kind:?}");
        assert_eq!(server.runs(&request), 1, "{kind:?}");
        wait_until(
            &format!("the proxy closes the connection of {kind:?}"),
            || async {
                let arrivals = server.arrivals();
                arrivals
                    .iter()
                    .any(|a| a.request_id == request && a.was_cut)
            },
        )
        .await;
        server.set_behaviour(ServerBehaviour::Good);
        wait_until(&format!("served after {kind:?}"), || async {
            is_served(&mesh, &format!("after-{number}")).await
        })
        .await;
    }
}

/// Returns the peak resident memory of this process, in MiB.
fn peak_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let text = line.expect("the peak").trim().trim_end_matches(" kB");
    text.parse::<u64>().expect("a number") / 1024
}

#[async_std::test]
async fn memory_is_bounded_while_every_slot_reads_an_endless_answer() {
    let mesh = Arc::new(start(96).await);
    let server = &mesh.instances[0].server;
    server.set_behaviour(ServerBehaviour::Endless(Endless::Body));
    let before = peak_memory();
    let asks = (0..SLOTS).map(|n| {
        let mesh = mesh.clone();
        task::spawn(async move { mesh.send(0, &CallerRequest::pay(&format!("all-{n}"))).await })
    });
    for asking in asks.collect::<Vec<_>>() {
        let status = asking.await.expect("an answer").head.status;
        assert!(matches!(status, 502 | 504), "{status}");
    }
    let grown = peak_memory() - before;
    assert!(grown < 200, "memory grew by {grown} MiB");
    server.set_behaviour(ServerBehaviour::Good);
    task::sleep(Millis(100).duration()).await;
    wait_until("served again", || async {
        is_served(&mesh, "after-all").await
    })
    .await;
}
