//! Loopback TCP proxy that injects network faults into the connections passing through it.

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rf_base::Millis;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which connections check the mode.
const POLL_INTERVAL: Millis = Millis(10);
/// Bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards them at once.
    #[default]
    Pass,
    /// Forwards each chunk after a delay.
    Delay(Millis),
    /// Holds back what the connecting side sends.
    CutForward,
    /// Holds back what the accepting side sends.
    CutBackward,
    /// Holds back both directions, without closing connections.
    Silent,
    /// Resets every connection, open and new.
    Reset,
}

impl LinkMode {
    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            LinkMode::Pass => "link-pass",
            LinkMode::Delay(_) => "link-delay",
            LinkMode::CutForward => "link-cut-forward",
            LinkMode::CutBackward => "link-cut-backward",
            LinkMode::Silent => "link-silent",
            LinkMode::Reset => "link-reset",
        }
    }

    fn is_held(self, direction: Direction) -> bool {
        match self {
            LinkMode::Silent => true,
            LinkMode::CutForward => direction == Direction::Forward,
            LinkMode::CutBackward => direction == Direction::Backward,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// Handle of a running link; clones share its mode.
#[derive(Clone, Debug)]
pub struct Link {
    mode: Arc<Mutex<LinkMode>>,
}

impl Link {
    /// Starts a link that forwards connections from `listen` to `target`.
    ///
    /// The listener stays open until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen` cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind(listen).await?;
        let link = Link {
            mode: Arc::default(),
        };
        let serving = link.clone();
        task::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let link = serving.clone();
                    task::spawn(async move { link.serve(stream, target).await });
                }
            }
        });
        Ok(link)
    }

    /// Changes the mode, which also applies to open connections.
    pub fn set(&self, mode: LinkMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> LinkMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, client: TcpStream, target: SocketAddr) {
        if self.mode() == LinkMode::Reset {
            reset(&client);
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            reset(&client);
            return;
        };
        let forward = self.copy(client.clone(), server.clone(), Direction::Forward);
        let backward = self.copy(server.clone(), client.clone(), Direction::Backward);
        if forward.or(backward).await == CopyEnd::Reset {
            reset(&client);
            reset(&server);
        }
    }

    /// Copies bytes in one direction until a side closes or resets; bytes read before a close are
    /// delivered first.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) -> CopyEnd {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let read = timeout(POLL_INTERVAL.duration(), from.read(&mut buffer)).await;
            if self.mode() == LinkMode::Reset {
                return CopyEnd::Reset;
            }
            let length = match read {
                Err(_) => continue,
                Ok(Ok(0)) => return CopyEnd::Closed,
                Ok(Ok(length)) => length,
                Ok(Err(_)) => return CopyEnd::Reset,
            };
            while self.mode().is_held(direction) {
                task::sleep(POLL_INTERVAL.duration()).await;
            }
            if let LinkMode::Delay(time) = self.mode() {
                task::sleep(time.duration()).await;
            }
            if self.mode() == LinkMode::Reset || to.write_all(&buffer[..length]).await.is_err() {
                return CopyEnd::Reset;
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyEnd {
    Closed,
    Reset,
}

fn reset(stream: &TcpStream) {
    // With a linger time of zero the kernel sends a reset as soon as the stream is dropped.
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}
