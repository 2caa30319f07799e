//! Tests that the fault-injecting proxy applies the faults of its settings.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rf_base::Millis;
use rf_standin::proxy::{DirectionFaults, Proxy, ProxyFaults};
use std::net::SocketAddr;

/// Accepts connections and echoes every byte.
async fn echo(listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        task::spawn(async move {
            let mut byte = [0];
            while stream.read_exact(&mut byte).await.is_ok() {
                stream.write_all(&byte).await.ok();
            }
        });
    }
}

/// Starts an echo server behind a proxy; returns the proxy and the address that it listens on.
async fn start() -> (Proxy, SocketAddr) {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let target = TcpListener::bind(local).await.expect("target");
    let listener = TcpListener::bind(local).await.expect("proxy");
    let addresses = (target.local_addr(), listener.local_addr());
    task::spawn(echo(target));
    let proxy = Proxy::default();
    let (Ok(target), Ok(outside)) = addresses else {
        panic!("bound addresses");
    };
    task::spawn(proxy.clone().forward(listener, target));
    (proxy, outside)
}

/// Returns whether a byte is echoed within 300 ms, or `None` if the connection is closed.
async fn is_echoed(stream: &mut TcpStream) -> Option<bool> {
    stream.write_all(b"x").await.ok()?;
    let mut byte = [0];
    let reading = stream.read_exact(&mut byte);
    match async_std::future::timeout(Millis(300).duration(), reading).await {
        Ok(Ok(())) => Some(true),
        Ok(Err(_)) => None,
        Err(_) => Some(false),
    }
}

#[test]
fn with_spares_new_only_existing_connections_lose_bytes() {
    task::block_on(async {
        let (proxy, address) = start().await;
        let mut old = TcpStream::connect(address).await.expect("connection");
        assert_eq!(is_echoed(&mut old).await, Some(true));
        proxy.set_faults(ProxyFaults {
            forward: DirectionFaults {
                is_silent: true,
                ..DirectionFaults::default()
            },
            existing_only: true,
            ..ProxyFaults::default()
        });
        assert_eq!(is_echoed(&mut old).await, Some(false));
        let mut new = TcpStream::connect(address).await.expect("connection");
        assert_eq!(is_echoed(&mut new).await, Some(true));
    });
}

#[test]
fn a_cut_of_one_direction_closes_the_connection() {
    task::block_on(async {
        let (proxy, address) = start().await;
        let mut stream = TcpStream::connect(address).await.expect("connection");
        assert_eq!(is_echoed(&mut stream).await, Some(true));
        proxy.set_faults(ProxyFaults {
            backward: DirectionFaults {
                is_cut: true,
                ..DirectionFaults::default()
            },
            ..ProxyFaults::default()
        });
        assert_eq!(is_echoed(&mut stream).await, None);
    });
}
