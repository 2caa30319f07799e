//! HTTP client with kept connections.
//!
//! A connection returns to the pool only after its whole answer was read. Before it is used again
//! it is polled once: readable bytes or an end of stream mean that the two ends disagree about what
//! was answered, and the connection is dropped. This keeps a late answer to one request from being
//! taken for the answer to the next.
//!
//! Errors carry a [`Verdict`]: `NotRun` as long as no byte of the request can have left this
//! process, `MayHaveRun` from then on.

use crate::timer::timeout;
use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::future::poll_once;
use http_types::{Method, Request, Response, StatusCode, headers};
use rf_base::{Millis, Verdict};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Error of one request.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection was made in time.
    #[snafu(display("no connection to {address}: {message}"))]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// What happened.
        message: String,
    },
    /// The connection broke, or its bytes made no sense, after the request began to leave.
    #[snafu(display("connection to {address} broke: {message}"))]
    Broken {
        /// Address of the peer.
        address: SocketAddr,
        /// What happened.
        message: String,
    },
    /// No answer came in time.
    #[snafu(display("no answer from {address} within {limit}"))]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
        /// Limit that passed.
        limit: Millis,
    },
    /// The answer is longer than the reader accepts.
    #[snafu(display("answer from {address} exceeds {limit} bytes"))]
    TooLarge {
        /// Address of the peer.
        address: SocketAddr,
        /// Limit in bytes.
        limit: usize,
    },
}

impl SendError {
    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            SendError::Connect { .. } => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// Result of one request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Limits of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Longest wait for a connection.
    pub connect_timeout: Millis,
    /// Idle connections kept to one address.
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

/// An HTTP client that keeps connections.
#[derive(Debug, Default)]
pub struct Client {
    settings: ClientSettings,
    idle: Mutex<IdleConnections>,
}

/// Idle connections by address, oldest first.
type IdleConnections = BTreeMap<SocketAddr, Vec<Idle>>;

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// A connection taken from the pool or newly made.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    address: SocketAddr,
}

/// A whole answer.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers; the body is in `body`.
    pub response: Response,
    /// Whole body.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values[0].as_str())
    }

    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }
}

impl Client {
    /// Makes a client.
    pub fn new(settings: ClientSettings) -> Client {
        Client {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection to `address`, or makes one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] where none can be made in time.
    pub async fn checkout(&self, address: SocketAddr) -> Result<Connection> {
        while let Some(stream) = self.pop_idle(address) {
            if is_quiet(&stream).await {
                return Ok(Connection { stream, address });
            }
        }
        self.connect(address).await
    }

    /// Makes a new connection, whatever is idle.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] where none can be made in time.
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
        Ok(Connection { stream, address })
    }

    /// Returns a connection whose last answer was read to its end.
    pub fn put_back(&self, connection: Connection) {
        let mut idle = self.lock_idle();
        let list = idle.entry(connection.address).or_default();
        if list.len() < self.settings.max_kept {
            list.push(Idle {
                stream: connection.stream,
                since: Instant::now(),
            });
        }
    }

    /// Drops connections that have been idle for longer than `age`, so that those to addresses that
    /// are gone do not pile up.
    pub fn prune(&self, age: Millis) {
        let mut idle = self.lock_idle();
        for list in idle.values_mut() {
            list.retain(|i| i.since.elapsed() < age.duration());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock_idle().values().map(Vec::len).sum()
    }

    /// Sends `request` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] where the answer is not whole within `limit` or exceeds `max_body`.
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

    /// Sends `request` on a new connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As for [`Client::send`].
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
        let whole = async {
            let mut response = connection.exchange(request).await?;
            let body = read_body(&mut response, address, max_body).await?;
            Ok(BufferedResponse { response, body })
        };
        let sent = timeout(limit, whole)
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
    /// Sends `request` and reads the head of its answer; the body streams from the connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Broken`] where the connection breaks, or where the answer has no
    /// declared end, so that a cut could not be told from it.
    pub async fn exchange(&self, request: Request) -> Result<Response> {
        let head_only = request.method() == Method::Head;
        let mut response = async_h1::connect(self.stream.clone(), request)
            .await
            .map_err(|e| self.broken(e.to_string()))?;
        legalize_date(&mut response);
        if head_only || has_no_body(response.status()) {
            response.take_body();
            return Ok(response);
        }
        if !has_declared_end(&response) {
            return Err(self.broken("answer has neither length nor chunks".to_owned()));
        }
        Ok(response)
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

/// Returns whether the sender of `response` will close the connection after it.
pub fn wants_close(response: &Response) -> bool {
    response.header(headers::CONNECTION).is_some_and(|values| {
        values
            .iter()
            .any(|v| v.as_str().eq_ignore_ascii_case("close"))
    })
}

/// Reads the whole body of `response`.
///
/// # Errors
///
/// Returns [`SendError::Broken`] for a body that is shorter than declared, and
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

/// Mends the date that the HTTP library makes up for an answer without one.
///
/// The library stores the whole header line as the value, line end included; passed on like that, it
/// would end the head of the answer early and turn the rest of it into body.
fn legalize_date(response: &mut Response) {
    let Some(values) = response.header(headers::DATE) else {
        return;
    };
    let text = values.last().as_str();
    if !text.contains('\n') {
        return;
    }
    let date = text.trim().trim_start_matches("date: ").to_owned();
    response.insert_header(headers::DATE, date);
}

fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NoContent | StatusCode::NotModified) || status.is_informational()
}

fn has_declared_end(response: &Response) -> bool {
    response.header(headers::CONTENT_LENGTH).is_some()
        || response.header(headers::TRANSFER_ENCODING).is_some()
}

async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
