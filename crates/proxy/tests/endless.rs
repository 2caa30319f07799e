//! Backend servers that send an endless answer.

use rf_standin::users::mesh::{CallerRequest, wait_until};
use rf_standin::users::{Endless, Mesh, MeshSettings, ServerBehaviour};
use std::time::{Duration, Instant};

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
    for (number, kind) in Endless::ALL.into_iter().enumerate() {
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
