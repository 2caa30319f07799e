//! Tests of the client against the accept loop, and of timeouts.

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response, StatusCode, Url};
use rf_base::{Millis, Verdict};
use rf_transport::timer::{sleep, timeout};
use rf_transport::{Client, ClientSettings, SendError, ServerSettings, serve};
use std::net::SocketAddr;
use std::time::Instant;

async fn start_server() -> SocketAddr {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(local).await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let handler = |request: Request| async move {
        if request.url().path() == "/slow" {
            sleep(Millis(2000)).await;
        }
        let mut response = Response::new(StatusCode::Ok);
        response.set_body("hello");
        Ok(response)
    };
    task::spawn(serve(listener, ServerSettings::default(), handler));
    address
}

fn request(address: SocketAddr, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("valid URL");
    Request::new(Method::Get, url)
}

#[test]
fn idle_connections_are_reused_and_pruned() {
    task::block_on(async {
        let address = start_server().await;
        let client = Client::new(ClientSettings::default());
        for _ in 0..5 {
            let sent = client.send(address, request(address, "/"), Millis(1000), 100);
            assert_eq!(sent.await.expect("an answer").body, b"hello");
        }
        assert_eq!(client.idle_count(), 1, "one connection served all requests");
        client.prune(Millis(60_000));
        assert_eq!(client.idle_count(), 1);
        client.prune(Millis::ZERO);
        assert_eq!(client.idle_count(), 0);
    });
}

#[test]
fn send_errors_report_whether_the_request_may_have_run() {
    task::block_on(async {
        let address = start_server().await;
        let client = Client::new(ClientSettings::default());
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let sent = client.send(
            unused_address,
            request(unused_address, "/"),
            Millis(500),
            100,
        );
        let error = sent.await.expect_err("no listener");
        assert_eq!(error.verdict(), Verdict::NotRun);
        let sent = client.send(address, request(address, "/slow"), Millis(200), 100);
        let error = sent.await.expect_err("too slow");
        assert!(matches!(error, SendError::Timeout { .. }));
        assert_eq!(error.verdict(), Verdict::MayHaveRun);
        let sent = client.send(address, request(address, "/"), Millis(500), 3);
        let error = sent.await.expect_err("too long");
        assert!(matches!(error, SendError::TooLarge { .. }));
    });
}

#[test]
fn timeouts_never_expire_early() {
    task::block_on(async {
        for span in [1, 15, 40] {
            let start = Instant::now();
            let waited = timeout(Millis(span), std::future::pending::<()>()).await;
            assert!(waited.is_err());
            assert!(start.elapsed() >= Millis(span).duration());
        }
        assert_eq!(timeout(Millis(1000), async { 7 }).await, Ok(7));
    });
}
