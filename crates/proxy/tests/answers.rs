//! Callers get complete and correct answers, or a clear failure, from faulty backend servers too.

use rf_base::Millis;
use rf_standin::users::mesh::{CallerRequest, encode, read_answer};
use rf_standin::users::server::{long_response_body, response_body};
use rf_standin::users::{Mesh, MeshSettings, ServerBehaviour};

async fn start(network: u8) -> Mesh {
    let settings = MeshSettings {
        network,
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

fn set_behaviour(mesh: &Mesh, behaviour: &ServerBehaviour) {
    for instance in &mesh.instances {
        instance.server.set_behaviour(behaviour.clone());
    }
}

#[async_std::test]
async fn proxy_forwards_status_signature_and_body_of_an_answer() {
    let mesh = start(1).await;
    let answer = mesh
        .send(0, &CallerRequest::read("r-1"))
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.body, response_body("r-1").into_bytes());
    let signature = answer.head.headers.get("X-Rosemaryfork-Response-Signature");
    assert_eq!(signature, Some("s.1"));
}

#[async_std::test]
async fn request_reaches_the_backend_server_unchanged_except_for_proxy_headers() {
    let mesh = start(2).await;
    let mut connection = mesh.connect(0).await.expect("a connection");
    let text = "POST /pay/x//y/../%7e?q=%2F HTTP/1.1\r\nHost: mesh.example\r\n\
        X-Rosemaryfork-Request-Id: r-2\r\nX-Rosemaryfork-Deadline-Ms: 2000\r\n\
        X-Rosemaryfork-Caller-Service: forged\r\nX-Other: a\r\nConnection: x-hop\r\nX-Hop: b\r\n\
        Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    connection.write(text.as_bytes()).await.expect("written");
    let answer = read_answer(&mut connection, "POST")
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 200);
    let mut arrivals = mesh.instances.iter().flat_map(|i| i.server.arrivals());
    let arrival = arrivals
        .find(|a| a.request_id == "r-2")
        .expect("it arrived");
    assert_eq!(arrival.head.method, "POST");
    assert_eq!(arrival.head.target, "/pay/x//y/../%7e?q=%2F");
    assert_eq!(arrival.body, b"abcde");
    assert_eq!(arrival.header("X-Other"), Some("a"));
    assert_eq!(arrival.header("X-Hop"), None);
    assert_eq!(
        arrival.header("X-Rosemaryfork-Caller-Service"),
        Some("payments")
    );
    let expected = arrival.header("X-Rosemaryfork-Expect-Instance");
    assert!(expected.is_some_and(|id| id.starts_with("i-payments")));
    let left = arrival.header("X-Rosemaryfork-Deadline-Ms");
    let left: u64 = left.and_then(|v| v.parse().ok()).expect("a number");
    assert!((1500..=2000).contains(&left), "{left} ms are left");
}

#[async_std::test]
async fn second_answer_to_a_request_is_not_delivered_to_a_later_request() {
    let mesh = start(3).await;
    set_behaviour(&mesh, &ServerBehaviour::AnswersTwice);
    let mut connection = mesh.connect(0).await.expect("a connection");
    // A proxy that took the extra answer for the next one would return the body of another request.
    for number in 0..40 {
        let request = format!("r-{number}");
        let ask = CallerRequest::read(&request);
        let answer = mesh
            .send_on(&mut connection, &ask)
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 200);
        assert_eq!(answer.body, response_body(&request).into_bytes());
    }
}

#[async_std::test]
async fn answer_without_a_length_ends_when_its_connection_closes() {
    let mesh = start(4).await;
    set_behaviour(&mesh, &ServerBehaviour::Unframed);
    let answer = mesh
        .send(0, &CallerRequest::read("r-1"))
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.body, response_body("r-1").into_bytes());
}

#[async_std::test]
async fn truncated_unsigned_or_malformed_answer_is_not_reported_as_success() {
    let mesh = start(5).await;
    for behaviour in [
        ServerBehaviour::Truncates,
        ServerBehaviour::Unsigned,
        ServerBehaviour::Garbles,
    ] {
        set_behaviour(&mesh, &behaviour);
        let request = format!("r-{behaviour:?}");
        let answer = mesh
            .send(0, &CallerRequest::pay(&request))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 502, "{behaviour:?}");
        assert_eq!(mesh.runs(&request), 1, "{behaviour:?}");
    }
}

#[async_std::test]
async fn idempotent_request_is_retried_after_a_malformed_answer() {
    let mesh = start(6).await;
    mesh.instances[0]
        .server
        .set_behaviour(ServerBehaviour::Garbles);
    for number in 0..10 {
        let request = format!("r-{number}");
        let answer = mesh
            .send(0, &CallerRequest::read(&request))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 200);
        assert!(mesh.runs(&request) <= 2);
    }
}

#[async_std::test]
async fn ambiguous_or_unrouted_request_is_refused() {
    let mesh = start(7).await;
    let cases = [
        (
            "GET /read/x HTTP/1.1\r\nHost: mesh.example\r\nHost: other\r\n\r\n",
            400,
        ),
        (
            "POST /pay/x HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 3\r\n\
             Content-Length: 4\r\n\r\nabcd",
            400,
        ),
        (
            "POST /pay/x HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 3\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        ("GET /none/x HTTP/1.1\r\nHost: mesh.example\r\n\r\n", 404),
        ("GET /read/x HTTP/1.1\r\nHost: unknown.example\r\n\r\n", 404),
    ];
    for (text, status) in cases {
        let mut connection = mesh.connect(0).await.expect("a connection");
        connection.write(text.as_bytes()).await.expect("written");
        let answer = read_answer(&mut connection, "GET")
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, status, "{text}");
    }
}

#[async_std::test]
async fn pipelined_requests_are_answered_in_order() {
    let mesh = start(8).await;
    let mut connection = mesh.connect(1).await.expect("a connection");
    let both = [
        encode(&CallerRequest::read("r-1")),
        encode(&CallerRequest::read("r-2")),
    ]
    .concat();
    connection.write(&both).await.expect("written");
    for request in ["r-1", "r-2"] {
        let answer = read_answer(&mut connection, "GET")
            .await
            .expect("an answer");
        assert_eq!(answer.body, response_body(request).into_bytes());
    }
}

#[async_std::test]
async fn run_is_cancelled_when_its_caller_disconnects() {
    let mesh = start(9).await;
    for instance in &mesh.instances {
        instance.server.set_run_time(Millis(2000));
    }
    let mut connection = mesh.connect(0).await.expect("a connection");
    connection
        .write(&encode(&CallerRequest::read("r-gone")))
        .await
        .expect("written");
    rf_standin::users::mesh::wait_until("the request runs", || async { mesh.runs("r-gone") == 1 })
        .await;
    drop(connection);
    rf_standin::users::mesh::wait_until("the run is cancelled", || async {
        let mut arrivals = mesh.instances.iter().flat_map(|i| i.server.arrivals());
        arrivals.any(|a| a.request_id == "r-gone" && a.was_cut)
    })
    .await;
}

#[async_std::test]
async fn long_answer_over_a_slow_link_is_not_lost_after_its_run_has_ended() {
    let settings = MeshSettings {
        network: 10,
        services: vec![("payments".to_owned(), 1), ("records".to_owned(), 1)],
        link: 1.0,
        ..MeshSettings::default()
    };
    let mesh = Mesh::start(settings).await.expect("the mesh starts");
    // On 1 Mbit/s sending the answer takes longer than the delay after which the sender queries the
    // ledger. The ledger must then report the attempt as pending, not its answer as dropped.
    let length = 150_000;
    set_behaviour(&mesh, &ServerBehaviour::Long(length));
    let ask = CallerRequest {
        target: "/records/x".to_owned(),
        ..CallerRequest::read("r-long")
    };
    let answer = mesh.send(0, &ask).await.expect("an answer");
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.body, long_response_body("r-long", length));
    assert_eq!(mesh.runs("r-long"), 1);
}

#[async_std::test]
async fn connection_is_not_reused_when_the_answer_precedes_the_end_of_the_body() {
    let mesh = start(11).await;
    set_behaviour(&mesh, &ServerBehaviour::Early);
    // A server that is still reading this body would take the next request on the connection for
    // the rest of it.
    let body = vec![b'b'; 900_000];
    for number in 0..6 {
        let request = format!("r-{number}");
        let ask = CallerRequest {
            body: body.clone(),
            ..CallerRequest::pay(&request)
        };
        let answer = mesh.send(0, &ask).await.expect("an answer");
        assert_eq!(answer.head.status, 200);
        assert_eq!(answer.body, response_body(&request).into_bytes());
    }
    let arrivals = mesh.instances.iter().flat_map(|i| i.server.arrivals());
    let mut posts = arrivals.filter(|a| a.head.method == "POST");
    assert!(
        posts.all(|a| a.body == body),
        "a body was replaced by other bytes"
    );
}

// Guards against a success with an empty or short body after a server stopped in the middle of the
// head or the body of its answer.
#[async_std::test]
async fn answer_cut_at_any_byte_is_never_a_success() {
    let mesh = start(12).await;
    set_behaviour(&mesh, &ServerBehaviour::Good);
    let whole = mesh
        .send(0, &CallerRequest::read("r-cut"))
        .await
        .expect("an answer");
    let length = whole.head.encode(None).len() + whole.body.len();
    for cut in 0..length {
        set_behaviour(&mesh, &ServerBehaviour::CutsAfter(cut));
        let answer = mesh
            .send(0, &CallerRequest::pay("p-cut"))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 502, "cut after {cut} bytes");
    }
    set_behaviour(&mesh, &ServerBehaviour::CutsAfter(length));
    let answer = mesh
        .send(0, &CallerRequest::pay("p-cut"))
        .await
        .expect("an answer");
    assert_eq!(answer.body, response_body("p-cut").into_bytes());
}
