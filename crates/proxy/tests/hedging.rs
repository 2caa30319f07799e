//! Hedged requests and what they cost.

use rf_base::Millis;
use rf_config::proxy::HedgingPolicy;
use rf_standin::users::mesh::CallerRequest;
use rf_standin::users::{Mesh, MeshSettings, ServerBehaviour};

/// Number of requests after which the usual response time is known.
const EARLY_REQUESTS: usize = 60;

// Guards against a hedged attempt that a server has rejected, and that counts as one that reached no
// server: its token would pay for another hedged request.
#[async_std::test]
async fn a_hedged_attempt_that_is_shed_is_paid_for() {
    let settings = MeshSettings {
        services: vec![("payments".to_owned(), 2)],
        network: 200,
        hedging: HedgingPolicy {
            share: 0.001,
            burst: 2.0,
        },
        ..MeshSettings::default()
    };
    let mesh = Mesh::start(settings).await.expect("the mesh starts");
    let send = async |id: String| {
        let answer = mesh.send(0, &CallerRequest::read(&id)).await;
        assert_eq!(answer.expect("an answer").head.status, 200);
    };
    // The first attempts go to the faster server.
    mesh.instances[1].server.set_run_time(Millis(60));
    for number in 0..EARLY_REQUESTS {
        send(format!("early-{number}")).await;
    }
    mesh.instances[0].server.set_run_time(Millis(400));
    mesh.instances[1]
        .server
        .set_behaviour(ServerBehaviour::Sheds);
    for number in 0..4 {
        send(format!("late-{number}")).await;
    }
    let proxy = mesh.instances[0].proxy.as_ref().expect("it runs");
    let ended = |result| proxy.metrics().hedges.with_label_values(&[result]).get();
    assert_eq!(ended("refused"), 0);
    assert_eq!(ended("lost"), 1);
}
