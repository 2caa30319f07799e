//! Stand-in for a backend server.
//!
//! It announces itself with its number of slots to its daemon and counts the runs of each
//! `x-request-id` and the most concurrent calls. It does not enforce the slots, so that a test sees
//! when the daemon exceeds them. Its behaviour is set at the start and replaced by
//! `PUT /_behavior`; `GET /_runs` returns the counts.

use crate::operator::Operator;
use async_std::io;
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::{Body, Method, Request, Response, StatusCode};
use rf_base::{Millis, ServiceName, VersionName};
use rf_daemon::control::event::Announcement;
use rf_transport::timer::timeout;
use rf_transport::{Client, ServerSettings, serve};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

/// Time to live of an announcement.
const TTL: Millis = Millis(5000);
/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Millis = Millis(1000);
/// Pause after a failed announcement.
const ANNOUNCE_RETRY: Millis = Millis(100);
/// Path prefix of a chain of calls. The number of further calls follows: a server that runs a
/// call of depth 2 calls depth 1, which calls depth 0.
pub const CHAIN_PREFIX: &str = "/chain/";
/// Longest response body of the next call of a chain, in bytes.
const MAX_CHAIN_BODY: usize = 1024 * 1024;
/// Longest wait for the next call of a chain, and the limit of calls without a deadline.
const CHAIN_TIMEOUT: Millis = Millis(10_000);

/// Behaviour of the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Behavior {
    /// Time that a call takes; the query parameter `ms` overrides it.
    pub latency: Millis,
    /// Calls that fail with status 500, in percent.
    pub fail_percent: u32,
    /// Path prefix of the calls that may fail; all paths if empty.
    pub fail_prefix: String,
    /// Path prefix of the calls on which the process aborts; none if empty.
    pub crash_path: String,
    /// Addition to the latency for each call that runs, the new one included.
    pub load_latency: Millis,
}

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Address to listen on, which is also announced.
    pub address: SocketAddr,
    /// Service to announce.
    pub service: String,
    /// Version to announce; also returned in `x-version` of each response.
    pub version: String,
    /// Number of concurrent calls to announce.
    pub slots: u32,
    /// Client for the operators' port of its daemon.
    pub operator: Operator,
    /// Address on which its daemon accepts calls; used for chains of calls.
    pub callers: SocketAddr,
    /// Initial behaviour.
    pub behavior: Behavior,
}

#[derive(Debug, Default)]
struct State {
    behavior: Behavior,
    runs: BTreeMap<String, u32>,
    total: u64,
}

/// The backend server stand-in.
#[derive(Debug)]
pub struct Server {
    options: ServerOptions,
    state: Mutex<State>,
    running: AtomicU32,
    most: AtomicU32,
    client: Client,
}

/// Counts returned by `GET /_runs`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of runs by request id; calls without an id are not included.
    pub runs: BTreeMap<String, u32>,
    /// Number of all runs.
    pub total: u64,
    /// Highest number of concurrent calls.
    pub most: u32,
}

impl Server {
    /// Creates a stand-in that does not listen yet.
    pub fn new(options: ServerOptions) -> Server {
        let state = State {
            behavior: options.behavior.clone(),
            ..State::default()
        };
        Server {
            options,
            state: Mutex::new(state),
            running: AtomicU32::new(0),
            most: AtomicU32::new(0),
            client: Client::default(),
        }
    }

    /// Serves calls until the task ends; a separate task announces the server.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it cannot listen on the address.
    pub async fn run(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.options.address).await?;
        let server = Arc::new(self);
        task::spawn(announce(server.clone()));
        let handler = move |request| {
            let server = server.clone();
            async move { Ok(server.handle(request).await) }
        };
        serve(listener, ServerSettings::default(), handler).await;
        Ok(())
    }

    async fn handle(&self, mut request: Request) -> Response {
        match (request.method(), request.url().path()) {
            (Method::Get, "/_runs") => return self.report_runs(),
            (Method::Put, "/_behavior") => return self.set_behavior(&mut request).await,
            _ => {}
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(running, Ordering::Relaxed);
        let limit = deadline_header(&request);
        let response = timeout(limit, self.answer(&mut request, running))
            .await
            .unwrap_or_else(|_| Response::new(StatusCode::GatewayTimeout));
        self.running.fetch_sub(1, Ordering::Relaxed);
        response
    }

    fn report_runs(&self) -> Response {
        let state = self.lock();
        let runs = Runs {
            runs: state.runs.clone(),
            total: state.total,
            most: self.most.load(Ordering::Relaxed),
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(serde_json::to_vec(&runs).unwrap_or_default());
        response
    }

    async fn set_behavior(&self, request: &mut Request) -> Response {
        let text = request.body_string().await.unwrap_or_default();
        match rf_config::from_json(&text) {
            Ok(behavior) => {
                self.lock().behavior = behavior;
                Response::new(StatusCode::Ok)
            }
            Err(_) => Response::new(StatusCode::BadRequest),
        }
    }

    async fn answer(&self, request: &mut Request, running: u32) -> Response {
        let query: BTreeMap<String, String> = request.url().query_pairs().into_owned().collect();
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let path = request.url().path().to_owned();
        let (behavior, count) = self.count_run(request);
        if !behavior.crash_path.is_empty() && path.starts_with(&behavior.crash_path) {
            std::process::abort();
        }
        let body = request.body_bytes().await.unwrap_or_default();
        let extra = Millis(behavior.load_latency.0 * u64::from(running));
        let latency = number("ms").map_or(behavior.latency, Millis) + extra;
        task::sleep(latency.duration()).await;
        if should_fail(&behavior, &path, count) {
            return Response::new(StatusCode::InternalServerError);
        }
        if let Some(depth) = chain_depth(&path).filter(|d| *d > 0) {
            return self.call_next(request, depth - 1, latency).await;
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("x-version", self.options.version.as_str());
        if let Some(id) = request.header("x-request-id") {
            response.insert_header("x-request-id", id[0].as_str());
        }
        if let Some(trace) = request.header("traceparent") {
            response.insert_header("x-traceparent", trace[0].as_str());
        }
        match (number("size"), number("cut")) {
            (Some(size), Some(cut)) => {
                let body = TruncatedBody { left: cut as usize };
                response.set_body(Body::from_reader(body, Some(size as usize)));
            }
            (Some(size), None) => response.set_body(vec![b'x'; size as usize]),
            _ => response.set_body(format!("{} {}\n", self.options.version, body.len())),
        }
        response
    }

    fn count_run(&self, request: &Request) -> (Behavior, u64) {
        let mut state = self.lock();
        state.total += 1;
        if let Some(id) = request.header("x-request-id") {
            *state.runs.entry(id[0].as_str().to_owned()).or_default() += 1;
        }
        (state.behavior.clone(), state.total)
    }

    /// Sends the next call of a chain through the server's daemon and returns its response.
    async fn call_next(&self, request: &Request, depth: u64, latency: Millis) -> Response {
        let callers = self.options.callers;
        let text = format!("http://{callers}{CHAIN_PREFIX}{depth}?ms={}", latency.0);
        let Ok(url) = http_types::Url::parse(&text) else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut next = Request::new(Method::Get, url);
        for name in ["traceparent", "rosemaryfork-deadline", "x-request-id"] {
            if let Some(value) = request.header(name) {
                next.insert_header(name, value[0].as_str());
            }
        }
        let reply = self
            .client
            .send(callers, next, CHAIN_TIMEOUT, MAX_CHAIN_BODY);
        match reply.await {
            Ok(reply) => {
                let mut response = Response::new(reply.status());
                response.set_body(reply.body);
                response
            }
            Err(_) => Response::new(StatusCode::BadGateway),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the number of further calls of a chain; `None` if the path is not one of a chain.
fn chain_depth(path: &str) -> Option<u64> {
    path.strip_prefix(CHAIN_PREFIX)?.parse().ok()
}

/// Returns the time left for a call.
fn deadline_header(request: &Request) -> Millis {
    let header = request.header("rosemaryfork-deadline");
    let left = header.and_then(|v| v[0].as_str().parse().ok());
    left.map_or(CHAIN_TIMEOUT, Millis)
}

/// Returns whether call number `count` fails. Failures are spread evenly over the calls instead of
/// drawn, so runs are repeatable.
fn should_fail(behavior: &Behavior, path: &str, count: u64) -> bool {
    let percent = u64::from(behavior.fail_percent);
    path.starts_with(&behavior.fail_prefix) && (count * percent) % 100 < percent
}

async fn announce(server: Arc<Server>) {
    let announcement = Announcement {
        service: ServiceName(server.options.service.clone()),
        version: VersionName(server.options.version.clone()),
        address: server.options.address,
        slots: server.options.slots,
        ttl: TTL,
    };
    loop {
        let pause = match server.options.operator.announce(&announcement).await {
            Ok(()) => ANNOUNCE_INTERVAL,
            Err(_) => ANNOUNCE_RETRY,
        };
        task::sleep(pause.duration()).await;
    }
}

/// Body that ends with a connection error after `left` bytes.
#[derive(Debug)]
struct TruncatedBody {
    left: usize,
}

impl AsyncRead for TruncatedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = self.left.min(buf.len());
        if n == 0 && !buf.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        buf[..n].fill(b'x');
        self.left -= n;
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for TruncatedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        const CHUNK: &[u8] = &[b'x'; 1024];
        match self.left {
            0 => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            left => Poll::Ready(Ok(&CHUNK[..left.min(CHUNK.len())])),
        }
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.left -= amount;
    }
}
