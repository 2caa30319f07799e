//! Which connections of the pool may carry a request.

use async_std::net::TcpListener;
use async_std::task;
use rf_base::Millis;
use rf_transport::h1::{Connection, Pool, PoolSettings, RequestHistory};
use std::net::SocketAddr;

const MAX_IDLE: Millis = Millis(5000);

/// Starts a listener that keeps its connections open.
async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

async fn checkout(pool: &Pool, address: SocketAddr, request: u64) -> Connection {
    let admits = |kept: &Connection| kept.history().admits(request);
    let checkout = pool.checkout_where(address, MAX_IDLE, admits).await;
    let mut connection = checkout.expect("a connection");
    connection.record_request(request);
    connection
}

// Guards against a second send of a request on a connection that may carry a second answer to the
// first one.
#[async_std::test]
async fn a_connection_carries_each_request_at_most_once() {
    let address = start().await;
    let pool = Pool::new(PoolSettings::default());
    let first = checkout(&pool, address, 1).await;
    pool.put_back(address, first);
    let other = checkout(&pool, address, 2).await;
    assert_eq!(other.history().len(), 2, "the connection is reused");
    pool.put_back(address, other);
    let again = checkout(&pool, address, 1).await;
    assert_eq!(again.history().len(), 1, "another connection is used");
    pool.put_back(address, again);
    let third = checkout(&pool, address, 3).await;
    assert_eq!(
        third.history().len(),
        2,
        "the one returned last is preferred"
    );
}

#[async_std::test]
async fn a_connection_with_a_full_history_is_closed() {
    let address = start().await;
    let pool = Pool::new(PoolSettings::default());
    let mut connection = checkout(&pool, address, 0).await;
    for request in 1.. {
        if connection.history().is_full() {
            break;
        }
        connection.record_request(request);
    }
    assert!(!connection.history().admits(u64::MAX));
    pool.put_back(address, connection);
    let next = checkout(&pool, address, u64::MAX).await;
    assert_eq!(next.history().len(), 1);
    assert!(RequestHistory::default().is_empty());
}
