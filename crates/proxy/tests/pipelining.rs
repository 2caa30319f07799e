//! Requests that a caller sends on one connection before it has read the earlier responses.

use async_std::task;
use futures_lite::AsyncReadExt;
use rf_base::Millis;
use rf_standin::users::mesh::{Answer, CallerRequest, encode, read_answer, wait_until};
use rf_standin::users::server::{Arrival, response_body};
use rf_standin::users::{Mesh, MeshSettings, ServerBehaviour};
use rf_transport::h1::Connection;

/// Number of requests of one connection that run at the same time.
const MAX_HELD: usize = 8;

/// Starts a mesh with `payments` backend servers whose runs take `run_time`, and one of `records`.
async fn start(network: u8, payments: usize, run_time: Millis) -> Mesh {
    let settings = MeshSettings {
        services: vec![("payments".to_owned(), payments), ("records".to_owned(), 1)],
        network,
        ..MeshSettings::default()
    };
    let mesh = Mesh::start(settings).await.expect("the mesh starts");
    for instance in &mesh.instances[..payments] {
        instance.server.set_run_time(run_time);
    }
    mesh
}

fn reads(count: usize) -> Vec<CallerRequest> {
    (0..count)
        .map(|number| CallerRequest::read(&format!("r-{number}")))
        .collect()
}

fn record(id: &str) -> CallerRequest {
    CallerRequest {
        target: "/records/x".to_owned(),
        ..CallerRequest::read(id)
    }
}

/// Sends all requests at once on a new connection.
async fn send_all(mesh: &Mesh, requests: &[CallerRequest]) -> Connection {
    let bytes: Vec<u8> = requests.iter().flat_map(encode).collect();
    send_bytes(mesh, &bytes).await
}

async fn send_bytes(mesh: &Mesh, bytes: &[u8]) -> Connection {
    let mut connection = mesh.connect(0).await.expect("a connection");
    connection.write(bytes).await.expect("written");
    connection
}

async fn next_answer(connection: &mut Connection) -> Answer {
    read_answer(connection, "GET").await.expect("an answer")
}

async fn expect_served(connection: &mut Connection, request: &str) -> Answer {
    let answer = next_answer(connection).await;
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.body, response_body(request).into_bytes());
    answer
}

fn arrivals(mesh: &Mesh) -> Vec<Arrival> {
    let arrivals = mesh.instances.iter().flat_map(|i| i.server.arrivals());
    arrivals.filter(|a| a.request_id != "warm-up").collect()
}

fn arrival(mesh: &Mesh, request: &str) -> Arrival {
    let found = arrivals(mesh).into_iter().find(|a| a.request_id == request);
    found.expect("it arrived")
}

fn close_of(answer: &Answer) -> bool {
    answer.head.headers.has_token("connection", "close")
}

fn with_close(request: &CallerRequest) -> Vec<u8> {
    let text = String::from_utf8(encode(request)).expect("text");
    text.replacen("\r\n", "\r\nConnection: close\r\n", 1)
        .into_bytes()
}

#[async_std::test]
async fn response_that_is_ready_first_waits_for_the_one_before_it() {
    let mesh = start(121, 1, Millis(400)).await;
    let requests = [CallerRequest::read("slow"), record("fast")];
    let mut connection = send_all(&mesh, &requests).await;
    wait_until("the second runs", || async { mesh.runs("fast") == 1 }).await;
    expect_served(&mut connection, "slow").await;
    expect_served(&mut connection, "fast").await;
    let apart = arrival(&mesh, "fast").at - arrival(&mesh, "slow").at;
    assert!(apart < Millis(300).duration(), "it started {apart:?} later");
    // The connection is served on afterwards, one request after the other.
    for number in 0..3 {
        let request = record(&format!("later-{number}"));
        connection.write(&encode(&request)).await.expect("written");
        expect_served(&mut connection, &request.id).await;
    }
    let proxy = mesh.instances[0].proxy.as_ref().expect("it runs");
    assert_eq!(proxy.metrics().pipelined.get(), 1);
}

#[async_std::test]
async fn ten_thousand_requests_run_eight_at_a_time() {
    let run_time = Millis(700);
    let mesh = start(122, 4, run_time).await;
    let bytes: Vec<u8> = reads(10_000).iter().flat_map(encode).collect();
    let mut connection = mesh.connect(0).await.expect("a connection");
    let mut stream = connection.writer();
    // This caller's own connection type gives up when the proxy reads nothing for 1.5 s, as it does
    // while eight requests run.
    socket2::SockRef::from(&stream)
        .set_tcp_user_timeout(None)
        .expect("no limit");
    let sending =
        task::spawn(
            async move { futures_lite::AsyncWriteExt::write_all(&mut stream, &bytes).await },
        );
    for number in 0..24 {
        expect_served(&mut connection, &format!("r-{number}")).await;
    }
    let arrivals = arrivals(&mesh);
    // Runs that begin within less than a run time of each other run at the same time.
    let window = run_time.since(Millis(50)).duration();
    let beside = |first: &Arrival| {
        let is_beside = |a: &&Arrival| a.at >= first.at && a.at < first.at + window;
        arrivals.iter().filter(is_beside).count()
    };
    assert_eq!(arrivals.iter().map(beside).max(), Some(MAX_HELD));
    sending.cancel().await;
}

#[async_std::test]
async fn caller_that_never_reads_gets_a_bounded_number_of_runs() {
    let mesh = start(123, 1, Millis(5)).await;
    for instance in &mesh.instances {
        let long = ServerBehaviour::Long(1_000_000);
        instance.server.set_behaviour(long);
    }
    let connection = send_all(&mesh, &reads(100)).await;
    wait_until("some run", || async { arrivals(&mesh).len() >= 2 }).await;
    task::sleep(Millis(2500).duration()).await;
    let runs = arrivals(&mesh).len();
    // The kernel buffers about ten of the responses.
    assert!(runs < 40, "{runs} of 100 ran");
    drop(connection);
}

#[async_std::test]
async fn nothing_runs_behind_a_request_that_closes_the_connection() {
    let mesh = start(124, 2, Millis(200)).await;
    let bytes = [
        encode(&CallerRequest::read("r-0")),
        with_close(&CallerRequest::read("last")),
        encode(&CallerRequest::read("behind")),
    ];
    let mut connection = send_bytes(&mesh, &bytes.concat()).await;
    assert!(!close_of(&expect_served(&mut connection, "r-0").await));
    assert!(close_of(&expect_served(&mut connection, "last").await));
    assert!(read_answer(&mut connection, "GET").await.is_err());
    assert_eq!(mesh.runs("behind"), 0);
}

#[async_std::test]
async fn malformed_request_is_refused_in_its_place_and_closes_the_connection() {
    let mesh = start(125, 2, Millis(200)).await;
    let bytes = [
        encode(&CallerRequest::read("r-0")),
        encode(&CallerRequest::read("r-1")),
        b"GET /read/x HTTP/1.1\r\n\r\n".to_vec(),
        encode(&CallerRequest::read("behind")),
    ];
    let mut connection = send_bytes(&mesh, &bytes.concat()).await;
    expect_served(&mut connection, "r-0").await;
    expect_served(&mut connection, "r-1").await;
    let refused = next_answer(&mut connection).await;
    assert_eq!(refused.head.status, 400);
    assert!(close_of(&refused));
    assert_eq!(mesh.runs("behind"), 0);
}

#[async_std::test]
async fn request_that_must_not_repeat_runs_alone() {
    let run_time = Millis(200);
    let mesh = start(126, 2, run_time).await;
    let requests = [
        CallerRequest::read("r-0"),
        CallerRequest::read("r-1"),
        CallerRequest::pay("p-0"),
        CallerRequest::read("r-2"),
    ];
    let mut connection = send_all(&mesh, &requests).await;
    for request in &requests {
        expect_served(&mut connection, &request.id).await;
    }
    let at = |request: &str| arrival(&mesh, request).at;
    assert!(at("p-0") >= at("r-0").max(at("r-1")) + run_time.duration());
    assert!(at("r-2") >= at("p-0") + run_time.duration());
    assert_eq!(mesh.runs("p-0"), 1);
}

#[async_std::test]
async fn request_without_a_route_is_answered_in_its_place() {
    let mesh = start(127, 2, Millis(200)).await;
    let unrouted = CallerRequest {
        target: "/none/x".to_owned(),
        ..CallerRequest::read("none")
    };
    let requests = [
        CallerRequest::read("r-0"),
        unrouted,
        CallerRequest::read("r-1"),
    ];
    let mut connection = send_all(&mesh, &requests).await;
    expect_served(&mut connection, "r-0").await;
    assert_eq!(next_answer(&mut connection).await.head.status, 404);
    expect_served(&mut connection, "r-1").await;
}

#[async_std::test]
async fn interim_response_does_not_precede_the_response_before_it() {
    let mesh = start(128, 1, Millis(300)).await;
    let second = "POST /read/x HTTP/1.1\r\nHost: mesh.example\r\n\
        X-Rosemaryfork-Request-Id: r-1\r\nX-Rosemaryfork-Deadline-Ms: 2000\r\n\
        Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc";
    let bytes = [encode(&CallerRequest::read("r-0")), second.into()].concat();
    let mut stream = send_bytes(&mesh, &bytes).await.writer();
    let mut text = String::new();
    while text.matches("HTTP/1.1 200").count() < 2 {
        let mut part = [0; 4096];
        let length = stream.read(&mut part).await.expect("open");
        assert!(length > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&part[..length]));
    }
    let first = text.find("HTTP/1.1 200").expect("a response");
    let interim = text.find("HTTP/1.1 100").expect("an interim response");
    assert!(first < interim, "{text}");
}

// Guards against a request that waits at a full server, whose runs take longer than before, until it
// is refused as busy, while another server has free slots.
#[async_std::test]
async fn a_request_leaves_a_full_server_whose_runs_became_long() {
    let mesh = start(199, 2, Millis(5)).await;
    mesh.instances[1].server.set_run_time(Millis(100));
    for number in 0..40 {
        let ask = CallerRequest::read(&format!("early-{number}"));
        assert_eq!(
            mesh.send(0, &ask).await.expect("an answer").head.status,
            200
        );
    }
    for instance in &mesh.instances[..2] {
        instance.server.set_run_time(Millis(700));
    }
    let mut connection = send_all(&mesh, &reads(MAX_HELD)).await;
    for number in 0..MAX_HELD {
        expect_served(&mut connection, &format!("r-{number}")).await;
    }
    let times = || (0..MAX_HELD).map(|number| arrival(&mesh, &format!("r-{number}")).at);
    let apart = times().max().zip(times().min());
    let apart = apart.map(|(last, first)| last - first).expect("some");
    assert!(
        apart < Millis(500).duration(),
        "the last began {apart:?} later"
    );
}

#[async_std::test]
async fn all_requests_are_cancelled_when_the_caller_leaves() {
    let mesh = start(129, 2, Millis(2500)).await;
    let connection = send_all(&mesh, &reads(5)).await;
    wait_until("all run", || async { arrivals(&mesh).len() == 5 }).await;
    let left = std::time::Instant::now();
    drop(connection);
    wait_until("all are cancelled", || async {
        arrivals(&mesh).iter().all(|a| a.was_cut)
    })
    .await;
    let took = left.elapsed();
    assert!(took < Millis(500).duration(), "cancelled after {took:?}");
}

#[async_std::test]
async fn stopping_proxy_answers_what_it_read_and_closes_the_connection() {
    let mesh = start(130, 2, Millis(400)).await;
    let mut connection = send_all(&mesh, &reads(4)).await;
    wait_until("all run", || async { arrivals(&mesh).len() == 4 }).await;
    let proxy = mesh.instances[0].proxy.as_ref().expect("it runs");
    let requests = async {
        wait_until("it stops", || async {
            mesh.instances[0].readiness().await.ok() == Some(503)
        })
        .await;
        let late = encode(&CallerRequest::read("late"));
        connection.write(&late).await.expect("written");
        for number in 0..4 {
            let answer = expect_served(&mut connection, &format!("r-{number}")).await;
            assert_eq!(close_of(&answer), number == 3);
        }
        assert!(read_answer(&mut connection, "GET").await.is_err());
    };
    futures_lite::future::zip(proxy.stop(), requests).await;
    assert_eq!(mesh.runs("late"), 0);
}
