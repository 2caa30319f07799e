//! Long and short answers on one link.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::AsyncReadExt;
use rf_base::Clock;
use rf_proxy::sending::SendScheduler;
use rf_traffic::Link;
use rf_transport::h1::Connection;
use std::sync::Arc;

/// Bytes that the kernel keeps for a receiver that does not read.
const RECEIVED: usize = 64 * 1024;
/// More than the kernel takes on both sides for such a receiver.
const LONG: usize = 16 * 1024 * 1024;

static BYTES: [u8; LONG] = [7; LONG];

async fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVED)
        .expect("a small buffer");
    let address = listener.local_addr().expect("an address");
    let sender = TcpStream::connect(address).await.expect("a connection");
    let (receiver, _) = listener.accept().await.expect("a connection");
    (Connection::new(sender), receiver)
}

/// Starts to send `length` bytes; reoutlet the receiver.
async fn send(outlet: &Arc<SendScheduler>, length: usize) -> TcpStream {
    let (mut connection, receiver) = pair().await;
    let outlet = outlet.clone();
    task::spawn(async move {
        outlet.write(&mut connection, &BYTES[..length]).await.ok();
        task::sleep(std::time::Duration::from_secs(60)).await;
    });
    receiver
}

/// Starts as many long answers as there are outlet; their receivers read one byte and stop.
async fn fill(outlet: &Arc<SendScheduler>, link: &Link) -> Vec<TcpStream> {
    let mut stuck = Vec::new();
    for _ in 0..link.parallel_connections() {
        let mut receiver = send(outlet, LONG).await;
        receiver.read_exact(&mut [0]).await.expect("its turn began");
        stuck.push(receiver);
    }
    stuck
}

async fn receive(mut receiver: TcpStream, length: usize) {
    let mut bytes = vec![0; length];
    receiver.read_exact(&mut bytes).await.expect("all bytes");
}

#[async_std::test]
async fn a_short_answer_does_not_wait_for_long_ones() {
    let link = Link::new(8.0);
    let outlet = Arc::new(SendScheduler::new(link.clone(), Clock::system()));
    let _stuck = fill(&outlet, &link).await;
    receive(send(&outlet, 4000).await, 4000).await;
}

#[async_std::test]
async fn a_receiver_that_does_not_read_holds_up_nobody_for_good() {
    let link = Link::new(1000.0);
    let outlet = Arc::new(SendScheduler::new(link.clone(), Clock::system()));
    let _stuck = fill(&outlet, &link).await;
    receive(send(&outlet, LONG).await, LONG).await;
}
