//! Stand-in for the platform's object API, with fault injection.
//!
//! Objects are versioned byte strings. A write succeeds only with the current version in
//! `if-match`; a read with `after` waits for a newer version. `PUT /faults` replaces the faults and
//! `GET /stats` returns the counts of calls; neither is affected by faults.

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use rf_base::{Clock, Millis};
use rf_transport::{ServerSettings, serve};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Interval at which a watch checks its object.
const WATCH_POLL_INTERVAL: Millis = Millis(5);

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Faults {
    /// Whether every call is refused with status 503, as in an outage.
    pub is_down: bool,
    /// Delay before every call is processed.
    pub delay: Millis,
    /// Number of subsequent writes that take effect but are never answered.
    pub lose_answers: u32,
}

/// Counts of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads that return at once.
    pub reads: u64,
    /// Reads that wait for a newer version.
    pub watches: u64,
    /// Writes, conflicting ones included, and deletions.
    pub writes: u64,
    /// Calls refused during an outage.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    faults: Faults,
    stats: Stats,
}

/// The platform stand-in; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Serves the API on `address` until the task ends.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it cannot listen on the address.
    pub async fn run(self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let handler = move |request| {
            let platform = self.clone();
            async move { Ok(platform.handle(request).await) }
        };
        serve(listener, ServerSettings::default(), handler).await;
        Ok(())
    }

    async fn handle(&self, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Put, "/faults") => return self.set_faults(&mut request).await,
            (Method::Get, "/stats") => return to_json(&self.lock().stats),
            _ => {}
        }
        let faults = self.lock().faults;
        if faults.delay > Millis::ZERO {
            task::sleep(faults.delay.duration()).await;
        }
        if faults.is_down {
            self.lock().stats.refused += 1;
            return Response::new(StatusCode::ServiceUnavailable);
        }
        let Some(key) = path.strip_prefix("/objects/") else {
            return Response::new(StatusCode::NotFound);
        };
        match request.method() {
            Method::Get => self.read(key, &request).await,
            Method::Put => {
                let expected = version_header(&request);
                let bytes = request.body_bytes().await.unwrap_or_default();
                self.write(key, expected, bytes).await
            }
            Method::Delete => {
                let mut state = self.lock();
                state.stats.writes += 1;
                state.objects.remove(key);
                Response::new(StatusCode::NoContent)
            }
            _ => Response::new(StatusCode::MethodNotAllowed),
        }
    }

    async fn set_faults(&self, request: &mut Request) -> Response {
        let text = request.body_string().await.unwrap_or_default();
        match rf_config::from_json(&text) {
            Ok(faults) => {
                self.lock().faults = faults;
                Response::new(StatusCode::Ok)
            }
            Err(error) => {
                let mut response = Response::new(StatusCode::BadRequest);
                response.set_body(error.to_string());
                response
            }
        }
    }

    async fn read(&self, key: &str, request: &Request) -> Response {
        let query: BTreeMap<String, String> = request.url().query_pairs().into_owned().collect();
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let Some(after) = number("after") else {
            let mut state = self.lock();
            state.stats.reads += 1;
            return describe(state.objects.get(key));
        };
        self.lock().stats.watches += 1;
        let clock = Clock::system();
        let end = clock.now() + Millis(number("limit").unwrap_or(0));
        loop {
            {
                let state = self.lock();
                if state.faults.is_down {
                    return Response::new(StatusCode::ServiceUnavailable);
                }
                if let Some(object) = state.objects.get(key).filter(|(v, _)| *v > after) {
                    return describe(Some(object));
                }
            }
            if clock.now() >= end {
                return Response::new(StatusCode::NotModified);
            }
            task::sleep(WATCH_POLL_INTERVAL.duration()).await;
        }
    }

    async fn write(&self, key: &str, expected: Option<u64>, bytes: Vec<u8>) -> Response {
        let is_lost = {
            let mut state = self.lock();
            state.stats.writes += 1;
            let current = state.objects.get(key).map_or(0, |(v, _)| *v);
            if expected != Some(current) {
                return Response::new(StatusCode::PreconditionFailed);
            }
            state.objects.insert(key.to_owned(), (current + 1, bytes));
            let is_lost = state.faults.lose_answers > 0;
            state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
            is_lost
        };
        if is_lost {
            return futures_lite::future::pending().await;
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("etag", (expected.unwrap_or(0) + 1).to_string());
        response
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn version_header(request: &Request) -> Option<u64> {
    request.header("if-match")?[0].as_str().parse().ok()
}

fn describe(object: Option<&(u64, Vec<u8>)>) -> Response {
    let Some((version, bytes)) = object else {
        return Response::new(StatusCode::NotFound);
    };
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("etag", version.to_string());
    response.set_body(bytes.as_slice());
    response
}

fn to_json<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response
}
