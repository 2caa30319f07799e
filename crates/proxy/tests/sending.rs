//! Tests of the scheduling of long and short answers on one link.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::AsyncReadExt;
use rf_base::Clock;
use rf_proxy::sending::SendScheduler;
use rf_traffic::Link;
use rf_transport::h1::Connection;
use std::sync::Arc;

/// Size of the kernel's receive buffer, in bytes; it fills up if the receiver does not read.
const RECEIVE_BUFFER: usize = 64 * 1024;
/// Length of a long answer, in bytes; more than the kernel buffers on both sides together.
const LONG_LENGTH: usize = 16 * 1024 * 1024;

static BYTES: [u8; LONG_LENGTH] = [7; LONG_LENGTH];

async fn connect() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a small buffer");
    let address = listener.local_addr().expect("an address");
    let sender = TcpStream::connect(address).await.expect("a connection");
    let (receiver, _) = listener.accept().await.expect("a connection");
    (Connection::new(sender), receiver)
}

/// Starts sending `length` bytes; returns the receiving connection.
async fn send(scheduler: &Arc<SendScheduler>, length: usize) -> TcpStream {
    let (mut connection, receiver) = connect().await;
    let scheduler = scheduler.clone();
    task::spawn(async move {
        scheduler
            .write(&mut connection, &BYTES[..length])
            .await
            .ok();
        task::sleep(std::time::Duration::from_secs(60)).await;
    });
    receiver
}

/// Starts as many long answers as there are permits; their receivers stall after one byte.
async fn stall_all(scheduler: &Arc<SendScheduler>, link: &Link) -> Vec<TcpStream> {
    let mut stalled = Vec::new();
    for _ in 0..link.parallel_connections() {
        let mut receiver = send(scheduler, LONG_LENGTH).await;
        receiver
            .read_exact(&mut [0])
            .await
            .expect("the first byte of the answer");
        stalled.push(receiver);
    }
    stalled
}

async fn receive(mut receiver: TcpStream, length: usize) {
    let mut bytes = vec![0; length];
    receiver.read_exact(&mut bytes).await.expect("all bytes");
}

#[async_std::test]
async fn a_short_answer_does_not_wait_for_long_ones() {
    let link = Link::new(8.0);
    let scheduler = Arc::new(SendScheduler::new(link.clone(), Clock::system()));
    let _stalled = stall_all(&scheduler, &link).await;
    receive(send(&scheduler, 4000).await, 4000).await;
}

#[async_std::test]
async fn a_stalled_receiver_does_not_block_other_answers_forever() {
    let link = Link::new(1000.0);
    let scheduler = Arc::new(SendScheduler::new(link.clone(), Clock::system()));
    let _stalled = stall_all(&scheduler, &link).await;
    receive(send(&scheduler, LONG_LENGTH).await, LONG_LENGTH).await;
}
