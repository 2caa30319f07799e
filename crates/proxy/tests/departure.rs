//! Tests of backend servers that start and leave, and of proxies that shut down.

use async_std::task;
use rf_base::Millis;
use rf_standin::users::mesh::{CallerRequest, encode, read_answer, wait_until};
use rf_standin::users::{Mesh, MeshSettings, ServerBehaviour};
use rf_transport::h1::Connection;
use std::net::Shutdown;
use std::time::{Duration, Instant};

async fn start(network: u8) -> Mesh {
    let settings = MeshSettings {
        network,
        grace: Millis(4000),
        ..MeshSettings::default()
    };
    Mesh::start(settings).await.expect("the mesh starts")
}

async fn ask_both(mesh: &Mesh, round: &str) {
    for number in 0..10 {
        for proxy in 0..2 {
            let ask = CallerRequest::pay(&format!("{round}-{proxy}-{number}"));
            let answer = mesh.send(proxy, &ask).await.expect("an answer");
            assert_eq!(answer.head.status, 200);
        }
    }
}

#[async_std::test]
async fn a_draining_server_gets_no_requests_after_the_acknowledgement() {
    let mut mesh = start(41).await;
    assert_eq!(mesh.instances[0].announce("draining").await.ok(), Some(200));
    let before = mesh.instances[0].server.arrivals().len();
    ask_both(&mesh, "after").await;
    assert_eq!(mesh.instances[0].server.arrivals().len(), before);
    // A delayed heartbeat from before the departure must not reopen the gate.
    let late = mesh.instances[0].announce_numbered(1, "ready").await;
    assert_eq!(late.ok(), Some(200));
    ask_both(&mesh, "late").await;
    assert_eq!(mesh.instances[0].server.arrivals().len(), before);
}

// Guards against a heartbeat that ended early and is applied or acknowledged.
#[async_std::test]
async fn a_heartbeat_cut_at_any_byte_changes_nothing() {
    let mesh = start(198).await;
    let announcements = "127.9.198.1:9004".parse().expect("an address");
    let server = &mesh.instances[0].server;
    let body = format!(
        r#"{{"address":"{}","born":1000,"info":{{"service":"payments","version":"v1","slots":4}},
            "status":{{"state":"draining","seq":99}}}}"#,
        server.address()
    );
    let head = format!(
        "PUT /api/instances/{} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
        server.id(),
        body.len()
    );
    let whole = [head.as_bytes(), body.as_bytes()].concat();
    for cut in 1..whole.len() {
        let opening = Connection::open(announcements, Millis(1000));
        let mut connection = opening.await.expect("a connection");
        connection.write(&whole[..cut]).await.expect("written");
        connection.writer().shutdown(Shutdown::Write).expect("shut");
        let answer = read_answer(&mut connection, "PUT").await;
        assert!(answer.is_err(), "acknowledged {cut} bytes");
    }
    // The other server leaves, so that placement has no choice.
    assert_eq!(mesh.instances[1].withdraw().await.ok(), Some(200));
    let before = server.arrivals().len();
    ask_both(&mesh, "after").await;
    assert_eq!(server.arrivals().len(), before + 20);
}

#[async_std::test]
async fn a_server_that_withdraws_without_draining_gets_no_requests() {
    let mesh = start(42).await;
    assert_eq!(mesh.instances[0].withdraw().await.ok(), Some(200));
    let before = mesh.instances[0].server.arrivals().len();
    ask_both(&mesh, "after").await;
    assert_eq!(mesh.instances[0].server.arrivals().len(), before);
}

#[async_std::test]
async fn a_running_request_completes_while_its_server_drains() {
    let mut mesh = start(43).await;
    mesh.instances[0].server.set_run_time(Millis(500));
    mesh.instances[1].server.set_run_time(Millis(500));
    let mut connection = mesh.connect(0).await.expect("a connection");
    connection
        .write(&encode(&CallerRequest::pay("p-1")))
        .await
        .expect("written");
    wait_until("the payment runs", || async { mesh.runs("p-1") == 1 }).await;
    for instance in &mut mesh.instances {
        instance.announce("draining").await.expect("acknowledged");
    }
    let answer = read_answer(&mut connection, "POST")
        .await
        .expect("an answer");
    assert_eq!(answer.head.status, 200);
}

#[async_std::test]
async fn malformed_and_foreign_heartbeats_do_not_change_the_local_server() {
    let mesh = start(44).await;
    let instance = &mesh.instances[0];
    let cases = [
        ("{", 400),
        (r#"{"address":"x","info":{},"status":{}}"#, 400),
        (
            r#"{"address":"127.9.44.1:8080","born":9000,"info":{"service":"payments","version":"v1","zone":"z","slots":4},"status":{"state":"odd","seq":9}}"#,
            400,
        ),
        (
            r#"{"address":"127.9.44.9:8080","born":9000,"info":{"service":"records","version":"v1","zone":"z","slots":4},"status":{"state":"draining","seq":9}}"#,
            200,
        ),
    ];
    for (body, status) in cases {
        let body = body.as_bytes().to_vec();
        let answer = instance
            .call_announcements("PUT", "/api/instances/i-forged", body)
            .await;
        assert_eq!(answer.ok(), Some(status));
    }
    ask_both(&mesh, "after").await;
}

#[async_std::test]
async fn a_new_server_is_used_by_every_proxy() {
    let mut mesh = start(45).await;
    let added = mesh.add("payments", "v1").await.expect("it starts");
    wait_until("the other proxies use it", || async {
        let ask = CallerRequest::read("probe");
        mesh.send(0, &ask).await.ok();
        mesh.instances[added].server.runs("probe") > 0
    })
    .await;
}

#[async_std::test]
async fn a_stopping_proxy_completes_running_requests_and_rejects_late_ones() {
    let mesh = start(46).await;
    for instance in &mesh.instances {
        instance.server.set_run_time(Millis(400));
    }
    let mut connection = mesh.connect(0).await.expect("a connection");
    connection
        .write(&encode(&CallerRequest::pay("p-1")))
        .await
        .expect("written");
    wait_until("the payment runs", || async { mesh.runs("p-1") == 1 }).await;
    let start = Instant::now();
    let proxy = mesh.instances[0].proxy.as_ref().expect("it runs");
    let stopping = proxy.stop();
    let requests = async {
        let answer = read_answer(&mut connection, "POST")
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 200);
        assert!(answer.head.headers.has_token("connection", "close"));
        assert_eq!(mesh.instances[0].readiness().await.ok(), Some(503));
        // The backend server keeps running and is still used for a while.
        let ask = CallerRequest {
            timeout: Millis(1500),
            ..CallerRequest::pay("p-2")
        };
        let answer = mesh.send(0, &ask).await.expect("an answer");
        assert_eq!(answer.head.status, 200);
        // Well before the exit, other proxies stop using this backend server, and requests that
        // still arrive here are served by other instances.
        let notice_delay = Duration::from_millis(1500).saturating_sub(start.elapsed());
        task::sleep(notice_delay).await;
        let before = mesh.instances[0].server.arrivals().len();
        for (number, proxy) in [0, 1, 1].into_iter().enumerate() {
            let ask = CallerRequest {
                timeout: Millis(1500),
                ..CallerRequest::pay(&format!("p-{}", number + 3))
            };
            let answer = mesh.send(proxy, &ask).await.expect("an answer");
            assert_eq!(answer.head.status, 200);
        }
        assert_eq!(mesh.instances[0].server.arrivals().len(), before);
        let answer = mesh
            .send(0, &CallerRequest::pay("p-late"))
            .await
            .expect("an answer");
        assert_eq!(answer.head.status, 503);
        assert!(answer.retry_after().is_some());
        assert_eq!(mesh.runs("p-late"), 0);
    };
    futures_lite::future::zip(stopping, requests).await;
    let took = start.elapsed().as_millis();
    assert!(took < 4000, "stopped after {took} ms");
}

// Guards against a request that is passed on between the decision to exit and the exit.
#[async_std::test]
async fn no_request_is_passed_on_once_a_stopping_proxy_may_exit() {
    let mesh = start(47).await;
    let mut kept = mesh.connect(0).await.expect("a connection");
    let warm = CallerRequest::read("warm");
    let answer = mesh.send_on(&mut kept, &warm).await;
    assert_eq!(answer.expect("an answer").head.status, 200);
    let unused = mesh.connect(0).await.expect("a connection");
    let proxy = mesh.instances[0].proxy.as_ref().expect("it runs");
    proxy.stop().await;
    let short = |id: &str| CallerRequest {
        timeout: Millis(50),
        ..CallerRequest::pay(id)
    };
    for (id, mut connection) in [("kept", kept), ("unused", unused)] {
        mesh.send_on(&mut connection, &short(id)).await.ok();
        assert_eq!(mesh.runs(id), 0, "on a {id} connection");
    }
    mesh.send(0, &short("new")).await.ok();
    assert_eq!(mesh.runs("new"), 0);
    // A pipelined request is read while the one before it runs.
    let mut pipelined = mesh.connect(0).await.expect("a connection");
    let bytes = [short("first"), short("second")].map(|ask| {
        encode(&CallerRequest {
            body: Vec::new(),
            method: "GET",
            target: "/read/x".to_owned(),
            ..ask
        })
    });
    pipelined.write(&bytes.concat()).await.expect("written");
    read_answer(&mut pipelined, "GET").await.ok();
    assert_eq!(mesh.runs("first") + mesh.runs("second"), 0);
    // Other proxies use the server no more either.
    let before = mesh.instances[0].server.arrivals().len();
    for number in 0..10 {
        mesh.send(1, &short(&format!("relayed-{number}")))
            .await
            .ok();
    }
    assert_eq!(mesh.instances[0].server.arrivals().len(), before);
}

// Guards against a stopping proxy that exits while it sends the answer of its server to another proxy.
#[async_std::test]
async fn a_stopping_proxy_sends_answers_to_other_proxies_before_it_exits() {
    let mut mesh = start(48).await;
    mesh.set_link(1.0);
    let slow = mesh.add("payments", "v1").await.expect("it starts");
    mesh.wait_until_serving().await;
    // Only the server beside the proxy that stops is left.
    for instance in &mesh.instances[..slow] {
        assert_eq!(instance.withdraw().await.ok(), Some(200));
    }
    let server = &mesh.instances[slow].server;
    server.set_behaviour(ServerBehaviour::Long(250_000));
    let proxy = mesh.instances[slow].proxy.as_ref().expect("it runs");
    let stopping = async {
        proxy.stop().await;
        Instant::now()
    };
    let asking = async {
        task::sleep(Duration::from_millis(500)).await;
        let ask = CallerRequest {
            timeout: Millis(2500),
            ..CallerRequest::read("long")
        };
        let answer = mesh.send(0, &ask).await.expect("an answer");
        assert_eq!((answer.head.status, mesh.runs("long")), (200, 1));
        Instant::now()
    };
    let (stopped, answered) = futures_lite::future::zip(stopping, asking).await;
    assert!(stopped >= answered, "it may exit before the answer is sent");
}

// Guards against an answer that is cut because it is still being written when the time for new
// requests is over.
#[async_std::test]
async fn a_stopping_proxy_writes_answers_up_to_the_end_of_the_grace() {
    let mut mesh = start(49).await;
    mesh.set_link(1.0);
    let slow = mesh.add("payments", "v1").await.expect("it starts");
    mesh.wait_until_serving().await;
    for instance in &mesh.instances {
        let server = &instance.server;
        server.set_behaviour(ServerBehaviour::Long(210_000));
    }
    let proxy = mesh.instances[slow].proxy.as_ref().expect("it runs");
    let stopping = async {
        proxy.stop().await;
        Instant::now()
    };
    let asking = async {
        task::sleep(Duration::from_millis(1500)).await;
        let ask = CallerRequest {
            timeout: Millis(1500),
            ..CallerRequest::read("long")
        };
        let answer = mesh.send(slow, &ask).await.expect("an answer");
        assert_eq!((answer.head.status, mesh.runs("long")), (200, 1));
        Instant::now()
    };
    let start = Instant::now();
    let (stopped, answered) = futures_lite::future::zip(stopping, asking).await;
    let (stopped, answered) = (stopped - start, answered - start);
    assert!(
        stopped >= answered,
        "exit at {stopped:?}, answer at {answered:?}"
    );
    assert!(stopped < Duration::from_millis(4000), "exit at {stopped:?}");
}
