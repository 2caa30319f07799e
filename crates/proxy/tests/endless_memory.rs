//! Memory of a proxy whose backend server sends endless answers.
//!
//! The test is alone in its file, because it reads the peak memory of the whole process. Tests of
//! one file run in one process at the same time, and an answer that another test reads would count
//! too.

use async_std::task;
use rf_base::Millis;
use rf_standin::process::read_peak;
use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Endless, Mesh, MeshSettings, ServerBehaviour};
use std::sync::Arc;

/// Number of slots of the backend server.
const SLOTS: u32 = 16;

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

/// Returns the peak resident memory of this process, in MiB.
fn peak_memory() -> u64 {
    read_peak(std::process::id()).expect("the peak")
}

/// Guards against buffers that hold a multiple of the memory budget for answers.
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
    println!("TRIAL grown {grown}");
    assert!(grown < 200, "memory grew by {grown} MiB");
    server.set_behaviour(ServerBehaviour::Good);
    task::sleep(Millis(100).duration()).await;
    wait_until("served again", || async {
        is_served(&mesh, "after-all").await
    })
    .await;
}
