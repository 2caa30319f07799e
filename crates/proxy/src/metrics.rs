//! Metrics of the proxy.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
];

/// Every metric of the proxy.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests of callers by service, status class and whether they may have run.
    pub requests: IntCounterVec,
    /// Time until the final answer, in seconds, by service.
    pub request_seconds: HistogramVec,
    /// Attempts that this proxy sent, by end.
    pub attempts: IntCounterVec,
    /// Attempts that the gate beside this proxy's backend server took, by end.
    pub runs: IntCounterVec,
    /// Questions to ledgers by answer.
    pub ledger_queries: IntCounterVec,
    /// Calls to the store by kind and result.
    pub store_calls: IntCounterVec,
    /// Messages to other proxies by kind and result.
    pub messages: IntCounterVec,
    /// Bytes of messages between proxies, by what they carry and whether they leave the zone.
    pub relay_bytes: IntCounterVec,
    /// Announcements of the backend server by what they led to.
    pub announcements: IntCounterVec,
    /// Log lines that were not written, by reason.
    pub dropped_lines: IntCounterVec,
    /// Version of the route table in force.
    pub table_version: IntGauge,
    /// Proxies that are reachable.
    pub proxies: IntGauge,
}

impl Metrics {
    /// Makes and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics where two metrics have one name, which is a mistake in this function.
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
            attempts: counters("attempts_total", "Attempts sent", &["end"]),
            runs: counters("runs_total", "Attempts taken by the gate", &["end"]),
            ledger_queries: counters("ledger_asks_total", "Questions to ledgers", &["answer"]),
            store_calls: counters(
                "store_calls_total",
                "Calls to the store",
                &["kind", "result"],
            ),
            messages: counters("messages_total", "Messages to proxies", &["kind", "result"]),
            relay_bytes: counters(
                "relay_bytes_total",
                "Bytes between proxies",
                &["kind", "zone"],
            ),
            announcements: counters("announcements_total", "Announcements", &["change"]),
            dropped_lines: counters("log_lines_dropped_total", "Lines dropped", &["reason"]),
            table_version: gauge("table_version", "Route table in force"),
            proxies: gauge("proxies", "Proxies that are reachable"),
            registry,
        }
    }

    /// Counts bytes of a message that this proxy sent, or of the reply to it.
    pub fn count_bytes(&self, kind: &str, is_near: bool, bytes: u64) {
        let zone = if is_near { "same" } else { "other" };
        self.relay_bytes
            .with_label_values(&[kind, zone])
            .inc_by(bytes);
    }

    /// Encodes every metric as text.
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
