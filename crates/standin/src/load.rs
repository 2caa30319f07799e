//! Load generator that calls like the callers of a mesh and records the outcome of every call.
//!
//! A fixed number of workers send calls to the targets in turn, either at a fixed total rate or
//! each worker as soon as its previous call ends. After the load, [`Report::find_violations`]
//! compares the verdict that each caller received with the runs that the backend servers counted.

use async_std::task;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use rf_base::{Millis, Verdict};
use rf_transport::{BufferedResponse, Client, ClientSettings};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longest response body in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;
/// Most violated guarantees in one report.
const MAX_VIOLATIONS: usize = 10;
/// Largest latency of the histogram in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses called in turn.
    pub targets: Vec<SocketAddr>,
    /// Path and query of every call.
    pub path: String,
    /// HTTP method of every call.
    pub method: Method,
    /// Number of workers, which is the most calls in flight.
    pub workers: usize,
    /// Calls per second over all workers; 0 sends the next call as soon as the previous one ends.
    pub rate: u64,
    /// Longest wait for a response.
    pub timeout: Millis,
    /// Prefix of request ids, which distinguishes several loads on the same servers.
    pub id: String,
}

impl Default for LoadOptions {
    fn default() -> Self {
        LoadOptions {
            targets: Vec::new(),
            path: "/".to_owned(),
            method: Method::Get,
            workers: 8,
            rate: 0,
            timeout: Millis::from_secs(15),
            id: "load".to_owned(),
        }
    }
}

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Request id that was sent.
    pub id: String,
    /// HTTP status code; 0 if no complete response was received.
    pub status: u16,
    /// Verdict in the response about whether the call ran; `None` if it is missing or unreadable.
    pub verdict: Option<Verdict>,
    /// Version of the backend server that answered.
    pub version: Option<String>,
    /// Whether the response belongs to another request.
    pub is_crossed: bool,
    /// Time from the start of the load to the start of the call.
    pub at: Millis,
}

/// A running load; clones share it.
#[derive(Clone, Debug)]
pub struct Load {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: LoadOptions,
    client: Client,
    is_stopped: AtomicBool,
    next: AtomicU64,
    records: Mutex<Vec<CallRecord>>,
    latency: Mutex<Histogram<u64>>,
    start: Instant,
    workers: AtomicU64,
}

/// Records of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// Ended calls in the order in which they ended.
    pub records: Vec<CallRecord>,
    /// Latency of calls with status 200, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from the start of the load until it was stopped or reported.
    pub span: Duration,
}

/// Summary of a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Number of ended calls.
    pub calls: usize,
    /// Number of calls with status 200.
    pub ok: usize,
    /// Calls by verdict; `none` where there was no verdict.
    pub verdicts: BTreeMap<String, usize>,
    /// Calls by HTTP status code; 0 where there was no complete response.
    pub statuses: BTreeMap<u16, usize>,
    /// Calls by version of the backend server that answered.
    pub versions: BTreeMap<String, usize>,
    /// Number of responses that belong to another request.
    pub crossed: usize,
    /// Calls with status 200 per second.
    pub goodput: f64,
    /// Median latency of calls with status 200, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
}

impl Load {
    /// Starts the workers.
    pub fn start(options: LoadOptions) -> Load {
        let workers = options.workers;
        let shared = Arc::new(Shared {
            client: Client::new(ClientSettings {
                connect_timeout: Millis(1000),
                max_kept: workers + 1,
            }),
            options,
            is_stopped: AtomicBool::new(false),
            next: AtomicU64::new(0),
            records: Mutex::default(),
            latency: Mutex::new(new_histogram()),
            start: Instant::now(),
            workers: AtomicU64::new(workers as u64),
        });
        for _ in 0..workers {
            task::spawn(run_worker(shared.clone()));
        }
        Load { shared }
    }

    /// Returns the number of calls that have ended.
    pub fn ended(&self) -> usize {
        lock(&self.shared.records).len()
    }

    /// Returns the records so far.
    pub fn report(&self) -> Report {
        Report {
            records: lock(&self.shared.records).clone(),
            latency: lock(&self.shared.latency).clone(),
            span: self.shared.start.elapsed(),
        }
    }

    /// Stops the load, waits for the calls in flight and returns all records.
    pub async fn stop(self) -> Report {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        let span = self.shared.start.elapsed();
        while self.shared.workers.load(Ordering::Relaxed) > 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        Report {
            span,
            ..self.report()
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid")
}

async fn run_worker(shared: Arc<Shared>) {
    while !shared.is_stopped.load(Ordering::Relaxed) {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        // At a fixed rate, latency is measured from the time at which the call was due, so a worker
        // that is late does not hide the delay.
        let due = match shared.options.rate {
            0 => Instant::now(),
            rate => shared.start + Duration::from_secs_f64(number as f64 / rate as f64),
        };
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        if shared.is_stopped.load(Ordering::Relaxed) {
            break;
        }
        call(&shared, number, due).await;
    }
    shared.workers.fetch_sub(1, Ordering::Relaxed);
}

async fn call(shared: &Shared, number: u64, due: Instant) {
    let options = &shared.options;
    let id = format!("{}-{number}", options.id);
    let target = options.targets[number as usize % options.targets.len()];
    let at = Millis(shared.start.elapsed().as_millis() as u64);
    let result = send(&shared.client, options, target, &id).await;
    let latency = due.elapsed().as_micros() as u64;
    let record = match &result {
        Some(response) => describe(id, at, response),
        None => CallRecord {
            id,
            status: 0,
            verdict: None,
            version: None,
            is_crossed: false,
            at,
        },
    };
    if record.status == 200 {
        lock(&shared.latency).saturating_record(latency);
    }
    lock(&shared.records).push(record);
}

async fn send(
    client: &Client,
    options: &LoadOptions,
    target: SocketAddr,
    id: &str,
) -> Option<BufferedResponse> {
    let url = Url::parse(&format!("http://{target}{}", options.path)).ok()?;
    let mut request = Request::new(options.method, url);
    request.insert_header("x-request-id", id);
    let sending = client.send(target, request, options.timeout, MAX_BODY);
    sending.await.ok()
}

fn describe(id: String, at: Millis, response: &BufferedResponse) -> CallRecord {
    let echoed_id = response.header("x-request-id");
    CallRecord {
        status: response.status() as u16,
        verdict: response
            .header("rosemaryfork-verdict")
            .and_then(|v| v.parse().ok()),
        version: response.header("x-version").map(str::to_owned),
        is_crossed: echoed_id.is_some_and(|echo| echo != id),
        id,
        at,
    }
}

impl Report {
    /// Computes the summary.
    pub fn figures(&self) -> Figures {
        let mut figures = Figures {
            calls: self.records.len(),
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            p999_us: self.latency.value_at_quantile(0.999),
            ..Figures::default()
        };
        for record in &self.records {
            figures.ok += usize::from(record.status == 200);
            figures.crossed += usize::from(record.is_crossed);
            *figures.statuses.entry(record.status).or_default() += 1;
            let verdict = record.verdict.map_or("none", Verdict::as_str).to_owned();
            *figures.verdicts.entry(verdict).or_default() += 1;
            if let Some(version) = &record.version {
                *figures.versions.entry(version.clone()).or_default() += 1;
            }
        }
        figures.goodput = figures.ok as f64 / self.span.as_secs_f64();
        figures
    }

    /// Checks the verdict of every call against `runs`, the counted runs by request id, and returns
    /// a description of each of the first violated guarantees.
    pub fn find_violations(&self, runs: &BTreeMap<String, u32>) -> Vec<String> {
        let check = |record: &CallRecord| {
            let n = runs.get(&record.id).copied().unwrap_or(0);
            let id = &record.id;
            match record.verdict {
                _ if record.is_crossed => Some(format!("{id}: got another call's answer")),
                _ if n > 1 => Some(format!("{id}: ran {n} times")),
                Some(Verdict::NotRun) if n > 0 => Some(format!("{id}: told not run, but ran")),
                Some(Verdict::Ran) if n == 0 => Some(format!("{id}: told ran, but did not")),
                None => Some(format!("{id}: no answer with a verdict")),
                _ => None,
            }
        };
        let violations = self.records.iter().filter_map(check);
        violations.take(MAX_VIOLATIONS).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
