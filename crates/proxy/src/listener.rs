//! Accept loop with a connection limit.

use async_std::net::TcpListener;
use async_std::task;
use rf_base::Millis;
use rf_transport::h1::Connection;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::warn;

/// Pause after a failed accept, so the loop does not spin while file descriptors are exhausted.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Accepts connections until the task is dropped. Connections beyond `limit` are closed at once.
pub async fn accept<H, F>(listener: TcpListener, limit: usize, handler: H)
where
    H: Fn(Connection) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept.failed", %error);
                task::sleep(ACCEPT_PAUSE.duration()).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= limit {
            warn!(event = "connection.refused", limit);
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let open = open.clone();
        let connection_task = handler(Connection::new(stream));
        task::spawn(async move {
            connection_task.await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
