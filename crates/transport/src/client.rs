//! HTTP client with persistent connections.
//!
//! Requests are written by an HTTP library; responses are read by [`h1`](crate::h1).
//!
//! A connection returns to the pool only after the whole response has been read. Before it is
//! reused it is polled once: if bytes are readable or the stream has ended, the two ends disagree
//! about which requests have been answered, and the connection is dropped. Otherwise a late
//! response to one request could be taken for the response to the next one.
//!
//! Every error has a [`Verdict`]: `NotRun` as long as no byte of the request can have left this
//! process, `MayHaveRun` from then on.

use crate::response;
use crate::timer::timeout;
use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::future::poll_once;
use http_types::{Request, Response, StatusCode, headers};
use rf_base::{Millis, Verdict};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Error of sending a request or reading its response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be established in time.
    #[snafu(display("no connection to {address}: {message}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the failure.
        message: String,
    },
    /// The connection failed, or the response was malformed, after sending of the request had
    /// begun.
    #[snafu(display("connection to {address} broke: {message}"))]
    Broken {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the failure.
        message: String,
    },
    /// The response was not complete in time.
    #[snafu(display("no answer from {address} within {limit}"))]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Time limit that was exceeded.
        limit: Millis,
    },
    /// The body of the response is larger than the caller accepts.
    #[snafu(display("answer from {address} exceeds {limit} bytes"))]
    TooLarge {
        /// Address of the peer.
        address: SocketAddr,
        /// Maximum size of the body, in bytes.
        limit: usize,
    },
}

impl SendError {
    /// Returns what is known about the execution of the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            SendError::Connect { .. } => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// Result of a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Limits of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// Maximum number of idle connections kept open to one address.
    pub max_kept: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        ClientSettings {
            connect_timeout: Millis(500),
            max_kept: 64,
        }
    }
}

/// HTTP client with a pool of idle connections.
#[derive(Debug, Default)]
pub struct Client {
    settings: ClientSettings,
    idle: Mutex<IdleConnections>,
}

/// Idle connections by address, oldest first.
type IdleConnections = BTreeMap<SocketAddr, Vec<IdleConnection>>;

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// Connection that was taken from the pool or newly established.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    is_reused: bool,
    /// Whether the connection may carry another request; false from a request to the end of its
    /// response.
    is_reusable: Arc<AtomicBool>,
}

/// Response whose body has been read completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers; its body has been moved to `body`.
    pub response: Response,
    /// Complete body.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// Returns the first value of the header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values[0].as_str())
    }

    /// Returns the status code of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(settings: ClientSettings) -> Client {
        Client {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection to `address` from the pool, or establishes a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] if no connection can be established in time.
    pub async fn checkout(&self, address: SocketAddr) -> Result<Connection> {
        while let Some(stream) = self.pop_idle(address) {
            if is_reusable(&stream).await {
                return Ok(Connection {
                    stream,
                    address,
                    is_reused: true,
                    is_reusable: Arc::new(AtomicBool::new(true)),
                });
            }
        }
        self.connect(address).await
    }

    /// Establishes a new connection, even if the pool has an idle one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] if no connection can be established in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection> {
        let failed = |message: String| SendError::Connect { address, message };
        let stream = timeout(self.settings.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| {
                failed(format!(
                    "no answer within {}",
                    self.settings.connect_timeout
                ))
            })?
            .map_err(|e| failed(e.to_string()))?;
        stream.set_nodelay(true).ok();
        Ok(Connection {
            stream,
            address,
            is_reused: false,
            is_reusable: Arc::new(AtomicBool::new(true)),
        })
    }

    /// Returns a connection to the pool. It is closed instead unless its last response has been read
    /// completely, nothing followed it, and the peer keeps the connection open.
    pub fn put_back(&self, connection: Connection) {
        if !connection.is_reusable.load(Ordering::Relaxed) {
            return;
        }
        let mut idle = self.lock_idle();
        let list = idle.entry(connection.address).or_default();
        if list.len() < self.settings.max_kept {
            list.push(IdleConnection {
                stream: connection.stream,
                since: Instant::now(),
            });
        }
    }

    /// Drops connections that have been idle for `age` or longer, so that connections to addresses
    /// that are no longer used do not accumulate.
    pub fn prune(&self, age: Millis) {
        let mut idle = self.lock_idle();
        for list in idle.values_mut() {
            list.retain(|i| i.since.elapsed() < age.duration());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Returns the number of idle connections to all addresses.
    pub fn idle_count(&self) -> usize {
        self.lock_idle().values().map(Vec::len).sum()
    }

    /// Sends `request` and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if no connection can be established, the connection fails, the
    /// response is not complete within `limit`, or its body exceeds `max_body` bytes.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Millis,
        max_body: usize,
    ) -> Result<BufferedResponse> {
        let connection = self.checkout(address).await?;
        self.send_on(connection, request, limit, max_body).await
    }

    /// Sends `request` on a new connection and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::send`].
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Millis,
        max_body: usize,
    ) -> Result<BufferedResponse> {
        let connection = self.connect(address).await?;
        self.send_on(connection, request, limit, max_body).await
    }

    async fn send_on(
        &self,
        connection: Connection,
        request: Request,
        limit: Millis,
        max_body: usize,
    ) -> Result<BufferedResponse> {
        let address = connection.address;
        let exchange = async {
            let mut response = connection.exchange(request).await?;
            let body = read_body(&mut response, address, max_body).await?;
            Ok(BufferedResponse { response, body })
        };
        let sent = timeout(limit, exchange)
            .await
            .map_err(|_| SendError::Timeout { address, limit })??;
        if !wants_close(&sent.response) {
            self.put_back(connection);
        }
        Ok(sent)
    }

    fn lock_idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        self.lock_idle().get_mut(&address)?.pop().map(|i| i.stream)
    }
}

impl Connection {
    /// Sends `request` and reads the head of the response, whose body streams from the connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Broken`] if the connection fails, or if the response declares neither a
    /// length nor chunks, since the end of its body could not be distinguished from a truncation.
    pub async fn exchange(&self, request: Request) -> Result<Response> {
        self.is_reusable.store(false, Ordering::Relaxed);
        let method = request.method();
        let mut stream = self.stream.clone();
        futures_lite::io::copy(async_h1::client::Encoder::new(request), &mut stream)
            .await
            .map_err(|e| self.broken(e.to_string()))?;
        response::read(stream, method.as_ref(), self.is_reusable.clone())
            .await
            .map_err(|e| self.broken(e.to_string()))
    }

    /// Returns whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn broken(&self, message: String) -> SendError {
        SendError::Broken {
            address: self.address,
            message,
        }
    }
}

/// Returns whether `response` announces that its sender closes the connection after it.
pub fn wants_close(response: &Response) -> bool {
    response.header(headers::CONNECTION).is_some_and(|values| {
        values
            .iter()
            .any(|v| v.as_str().eq_ignore_ascii_case("close"))
    })
}

/// Reads the complete body of `response`, which came from `address`.
///
/// # Errors
///
/// Returns [`SendError::Broken`] for a body whose length is not the declared one, and
/// [`SendError::TooLarge`] for one of more than `limit` bytes.
pub async fn read_body(
    response: &mut Response,
    address: SocketAddr,
    limit: usize,
) -> Result<Vec<u8>> {
    let declared = response.len();
    let mut body = Vec::new();
    response
        .take_body()
        .take(limit as u64 + 1)
        .read_to_end(&mut body)
        .await
        .map_err(|e: io::Error| SendError::Broken {
            address,
            message: e.to_string(),
        })?;
    if body.len() > limit {
        return Err(SendError::TooLarge { address, limit });
    }
    match declared {
        Some(n) if n != body.len() => Err(SendError::Broken {
            address,
            message: format!("answer ended after {} of {n} bytes", body.len()),
        }),
        _ => Ok(body),
    }
}

/// Returns whether the connection is open and nothing has arrived on it.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
