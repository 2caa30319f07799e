//! Prometheus metrics of the proxy.

use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
];

/// Registry and handles of all metrics of the proxy.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Caller requests by service, status class, and whether they may have been executed.
    pub requests: IntCounterVec,
    /// Time from a caller's request to its final answer, in seconds, by service.
    pub request_seconds: HistogramVec,
    /// Requests that were started before the response to an earlier one of their connection was
    /// written.
    pub pipelined: IntCounter,
    /// Attempts that this proxy sent, by outcome.
    pub attempts: IntCounterVec,
    /// Hedged requests, by what became of them.
    pub hedges: IntCounterVec,
    /// Attempts that the gate of the local backend server handled, by outcome.
    pub runs: IntCounterVec,
    /// Answers of the local backend server that were discarded, by reason.
    pub discarded_answers: IntCounterVec,
    /// Queries to the attempt ledgers of other proxies, by answer.
    pub ledger_queries: IntCounterVec,
    /// Store calls by kind and result.
    pub store_calls: IntCounterVec,
    /// Objects of the store that were not decoded, by kind; counted at each read.
    pub unreadable_objects: IntCounterVec,
    /// Messages sent to other proxies, by kind and result.
    pub messages: IntCounterVec,
    /// Bytes exchanged with other proxies, by message kind and whether they leave the availability
    /// zone.
    pub relay_bytes: IntCounterVec,
    /// Announcements of the local backend server, by the change that they caused.
    pub announcements: IntCounterVec,
    /// Calls by which the local backend server says that it leaves, by call and result.
    pub departures: IntCounterVec,
    /// Whether the gate admits requests to the local backend server: 1 or 0.
    pub gate_open: IntGauge,
    /// Changes of what the local backend server says about itself, and unreadable statements.
    pub statements: IntCounterVec,
    /// Requests per second that the local backend server takes; -1 if it names no limit.
    pub server_limit: Gauge,
    /// Requests refused for want of a valid API key, by reason.
    pub unauthorised: IntCounterVec,
    /// Requests of callers with an organisation, by organisation and result.
    pub organisation_requests: IntCounterVec,
    /// Requests of organisations with a quota, by how they were decided.
    pub quota: IntCounterVec,
    /// Messages to the owners of quotas, by result.
    pub quota_messages: IntCounterVec,
    /// Number of organisations with recent claims whose quota this proxy owns.
    pub quota_owned: IntGauge,
    /// Attempts that yielded at the gate because other organisations had overtaken them.
    pub fair_yields: IntCounter,
    /// Dropped log lines and control events, by reason.
    pub dropped_lines: IntCounterVec,
    /// Version of the active route table.
    pub table_version: IntGauge,
    /// Number of reachable proxies, including this one.
    pub proxies: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug in this function.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(options(name, help), labels);
            register(
                &registry,
                counter.expect("the options of a counter are valid"),
            )
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(options(name, help));
            register(&registry, gauge.expect("the options of a gauge are valid"))
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::with_opts(options(name, help));
            register(
                &registry,
                counter.expect("the options of a counter are valid"),
            )
        };
        let server_limit = Gauge::with_opts(options(
            "server_limit",
            "Requests per second that the server takes, -1 without a limit",
        ));
        let server_limit = register(
            &registry,
            server_limit.expect("the options of a gauge are valid"),
        );
        server_limit.set(-1.0);
        let seconds = HistogramOpts::new(
            "rosemaryfork_request_seconds",
            "Time until the final answer to a caller",
        );
        let seconds = seconds.buckets(LATENCY_BUCKETS.to_vec());
        let seconds = HistogramVec::new(seconds, &["service"]);
        Metrics {
            requests: counters(
                "requests_total",
                "Requests of callers",
                &["service", "status", "verdict"],
            ),
            request_seconds: register(
                &registry,
                seconds.expect("the options of a histogram are valid"),
            ),
            pipelined: counter(
                "pipelined_total",
                "Requests started beside earlier ones of their connection",
            ),
            attempts: counters("attempts_total", "Attempts sent", &["end"]),
            hedges: counters("hedges_total", "Hedged requests", &["result"]),
            runs: counters("runs_total", "Attempts taken by the gate", &["end"]),
            discarded_answers: counters(
                "discarded_answers_total",
                "Answers of the server that were discarded",
                &["reason"],
            ),
            ledger_queries: counters("ledger_asks_total", "Questions to ledgers", &["answer"]),
            store_calls: counters(
                "store_calls_total",
                "Calls to the store",
                &["kind", "result"],
            ),
            unreadable_objects: counters(
                "unreadable_objects_total",
                "Objects of the store that were not decoded",
                &["kind"],
            ),
            messages: counters("messages_total", "Messages to proxies", &["kind", "result"]),
            relay_bytes: counters(
                "relay_bytes_total",
                "Bytes between proxies",
                &["kind", "zone"],
            ),
            announcements: counters("announcements_total", "Announcements", &["change"]),
            departures: counters(
                "departures_total",
                "Calls by which the server says that it leaves",
                &["call", "result"],
            ),
            gate_open: gauge("gate_open", "Whether the gate admits requests"),
            statements: counters("server_statements_total", "What the server says", &["kind"]),
            server_limit,
            unauthorised: counters(
                "unauthorised_total",
                "Requests without a valid key",
                &["reason"],
            ),
            organisation_requests: counters(
                "organisation_requests_total",
                "Requests of organisations",
                &["organisation", "result"],
            ),
            quota: counters("quota_total", "Requests decided by a quota", &["result"]),
            quota_messages: counters("quota_messages_total", "Quota messages", &["result"]),
            quota_owned: gauge("quota_owned", "Organisations whose quota is owned"),
            fair_yields: counter(
                "fair_share_yielded_total",
                "Attempts that yielded to other organisations",
            ),
            dropped_lines: counters("log_lines_dropped_total", "Lines dropped", &["reason"]),
            table_version: gauge("table_version", "Route table in force"),
            proxies: gauge("proxies", "Proxies that are reachable"),
            registry,
        }
    }

    /// Counts the bytes of a message that this proxy sent, or of the reply to it. `same_zone` tells
    /// whether the other proxy is in this availability zone.
    pub fn count_bytes(&self, kind: &str, same_zone: bool, bytes: u64) {
        let zone = if same_zone { "same" } else { "other" };
        self.relay_bytes
            .with_label_values(&[kind, zone])
            .inc_by(bytes);
    }

    /// Counts objects of a kind that a read of the store left out.
    pub fn count_unreadable(&self, kind: &str, count: usize) {
        let counter = self.unreadable_objects.with_label_values(&[kind]);
        counter.inc_by(count as u64);
    }

    /// Counts a change of what the local backend server says about itself.
    pub fn count_statement(&self, kind: &str) {
        self.statements.with_label_values(&[kind]).inc();
    }

    /// Raises the number of attempts that yielded to other organisations to `total`.
    pub fn set_fair_yields(&self, total: u64) {
        let counted = self.fair_yields.get();
        self.fair_yields.inc_by(total.saturating_sub(counted));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(event = "metrics.failed", %error);
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("rosemaryfork_{name}"), help)
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    let result = registry.register(Box::new(metric.clone()));
    result.expect("no two metrics have one name");
    metric
}
