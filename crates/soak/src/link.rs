//! Loopback proxy that harms what passes through it.

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

/// Time between two looks at the mode.
const POLL_INTERVAL: Millis = Millis(10);
/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does with what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes on at once.
    #[default]
    Pass,
    /// It passes on after a time.
    Delay(Millis),
    /// It holds back what the connecting side sends.
    CutForward,
    /// It holds back what the accepting side sends.
    CutBackward,
    /// It holds back everything.
    Silent,
    /// It resets every connection.
    Reset,
}

impl LinkMode {
    /// Returns the name for reports.
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

/// A running link.
#[derive(Clone, Debug)]
pub struct Link {
    mode: Arc<Mutex<LinkMode>>,
}

impl Link {
    /// Starts a link from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where the address cannot be had.
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

    /// Changes what the link does, for open connections as well.
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

    /// Passes bytes on until one side ends; what was read before that is delivered first.
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
    // Without a lingering close the kernel sends a reset as soon as the stream is dropped.
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}
