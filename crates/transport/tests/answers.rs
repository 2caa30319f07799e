//! Which byte streams are answers: a table that every reader of answers is tested against.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Url};
use rf_base::Millis;
use rf_transport::Client;
use rf_transport::h1::{Connection, ReadLimits, RequestHead, frame_response};
use std::net::SocketAddr;

/// What a reader makes of a stream: status and body of the answer, or nothing.
type Reading = Option<(u16, String)>;

/// Streams that are whole answers, with their status and body.
const WHOLE: &[(&str, u16, &str)] = &[
    ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
    ("HTTP/1.1 200\r\ncontent-length:2\r\n\r\nok", 200, "ok"),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        200,
        "ok",
    ),
    ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, ""),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
        200,
        "ok",
    ),
    ("HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
    (
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        204,
        "",
    ),
    (
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        304,
        "",
    ),
    (
        "HTTP/1.1 200 OK\r\nX-Field: a\tb\r\nContent-Length: 2\r\n\r\nok",
        200,
        "ok",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        200,
        "ok",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n02;a=b\r\nok\r\n00\r\nX: a\r\n\r\n",
        200,
        "ok",
    ),
    (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        200,
        "ok",
    ),
    (
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
        404,
        "",
    ),
    ("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
    ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, ""),
];

/// Streams that are no answer, or do not prove that it is whole.
const BROKEN: &[&str] = &[
    "",
    "no answer at all\r\n\r\n",
    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    "HTTP/1.1 200 OK\r\nX Field: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field : a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field\t: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\u{0}Field: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\u{1}Field: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\u{7f}Field: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field: a\u{0}\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field: a\u{1}\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field: a\u{7f}\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Field: a\rb\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n 2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n;a\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\u{1}\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\nb\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Field: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Field\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: \u{1}\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: a\nY: b\r\n\r\n",
];

/// Starts a server that sends `stream` on one connection after it has received a request, and
/// closes the connection.
async fn serve(stream: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        let (mut peer, _): (TcpStream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        if peer.read(&mut request).await.is_ok_and(|n| n > 0) {
            peer.write_all(stream.as_bytes()).await.ok();
        }
    });
    address
}

async fn read_h1(stream: &'static str) -> Reading {
    let address = serve(stream).await;
    let mut connection = Connection::open(address, Millis(1000)).await.ok()?;
    let request = RequestHead::new("GET", "/", "a").encode(0);
    connection.begin_write(request);
    let limits = ReadLimits::default();
    let head = connection.read_response(&limits).await.ok()?;
    let framing = frame_response(&head, "GET").ok()?;
    let body = connection.read_body(framing, &limits).await.ok()?;
    Some((head.status, String::from_utf8(body).ok()?))
}

async fn check<F: Future<Output = Reading>>(read: impl Fn(&'static str) -> F) {
    let mut wrong = Vec::new();
    for (stream, status, body) in WHOLE {
        let reading = read(stream).await;
        if reading != Some((*status, (*body).to_owned())) {
            wrong.push(format!("{stream:?}: {reading:?}"));
        }
    }
    for stream in BROKEN {
        if let Some(reading) = read(stream).await {
            wrong.push(format!("{stream:?}: {reading:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[async_std::test]
async fn messages_read_with_their_bytes_preserved_follow_the_table() {
    check(read_h1).await;
}

async fn read_client(stream: &'static str) -> Reading {
    let address = serve(stream).await;
    let url = Url::parse(&format!("http://{address}/")).ok()?;
    let request = Request::new(Method::Get, url);
    let client = Client::default();
    let sent = client.send(address, request, Millis(2000), 1000);
    let sent = sent.await.ok()?;
    Some((sent.status() as u16, String::from_utf8(sent.body).ok()?))
}

#[async_std::test]
async fn answers_of_the_client_follow_the_table() {
    check(read_client).await;
}
