//! Bodies of several segments, read from a socket.

use async_std::net::{TcpListener, TcpStream};
use futures_lite::AsyncWriteExt;
use rf_transport::h1::{Connection, Framing, ReadError, ReadLimits};

/// Longer than several segments, and no multiple of a segment.
const BODY_BYTES: usize = 300_001;

fn make_body() -> Vec<u8> {
    (0..BODY_BYTES).map(|n| (n % 251) as u8).collect()
}

async fn read(bytes: Vec<u8>, framing: Framing, limits: &ReadLimits) -> Result<Vec<u8>, ReadError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let sender = async_std::task::spawn(async move {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        // The reader closes the connection at its limit.
        stream.write_all(&bytes).await.ok();
    });
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut connection = Connection::new(stream);
    let body = connection.read_body(framing, limits).await;
    drop(connection);
    sender.await;
    body
}

fn in_chunks(body: &[u8]) -> Vec<u8> {
    let chunks = body.chunks(70_000).flat_map(|chunk| {
        let size = format!("{:x}\r\n", chunk.len()).into_bytes();
        [&size, chunk, b"\r\n"].concat()
    });
    chunks.chain(b"0\r\n\r\n".iter().copied()).collect()
}

/// Guards against segments that are lost, repeated or joined in a wrong order.
#[async_std::test]
async fn a_body_of_several_segments_arrives_whole() {
    let body = make_body();
    let limits = ReadLimits::default();
    let framings = [
        (Framing::Length(BODY_BYTES as u64), body.clone()),
        (Framing::UntilClose, body.clone()),
        (Framing::Chunked, in_chunks(&body)),
    ];
    for (framing, bytes) in framings {
        let name = format!("{framing:?}");
        let arrived = read(bytes, framing, &limits).await.expect("a body");
        assert!(arrived == body, "{name}: {} bytes", arrived.len());
    }
}

/// Guards against a limit that counts only the segment that is being filled.
#[async_std::test]
async fn the_limit_counts_all_segments() {
    let body = make_body();
    let limits = ReadLimits {
        body: BODY_BYTES - 1,
        ..ReadLimits::default()
    };
    let framings = [
        (Framing::UntilClose, body.clone()),
        (Framing::Chunked, in_chunks(&body)),
    ];
    for (framing, bytes) in framings {
        let name = format!("{framing:?}");
        let result = read(bytes, framing, &limits).await;
        assert!(
            matches!(result, Err(ReadError::BodyTooLarge { .. })),
            "{name}"
        );
    }
}
