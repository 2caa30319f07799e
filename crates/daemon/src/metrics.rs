//! Prometheus metrics of the daemon.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
];

/// All metrics of the daemon, registered in one registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Number of callers' calls by status class, such as `2xx`, and verdict.
    pub calls: IntCounterVec,
    /// Duration of callers' calls in seconds, by service.
    pub call_seconds: HistogramVec,
    /// Number of attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Number of queries to the attempt ledgers of other daemons, by answer.
    pub ledger_queries: IntCounterVec,
    /// Number of attempts that the gate refused, by reason.
    pub refusals: IntCounterVec,
    /// Number of detected violations of invariants, by name of the invariant.
    pub broken_invariants: IntCounterVec,
    /// Number of events that were dropped because the queue of the control thread was full.
    pub dropped_events: IntCounter,
    /// Number of control messages, replies and operators' requests that were refused, by reason.
    pub peer_refusals: IntCounterVec,
    /// Number of bytes of control messages, by direction.
    pub peer_bytes: IntCounterVec,
    /// Number of control messages sent to other daemons, by kind.
    pub peer_messages: IntCounterVec,
    /// Number of platform calls by kind.
    pub platform_calls: IntCounterVec,
    /// Counter of the configuration in force.
    pub config_counter: IntGauge,
    /// Time at which the configuration came into force, in milliseconds since the Unix epoch.
    pub config_time: IntGauge,
    /// Number of attempts that run or wait at the gate; updated when the metrics are read.
    pub running_attempts: IntGauge,
    /// Time that the control thread spent handling events and executing their actions, in
    /// microseconds.
    pub control_busy: IntCounter,
    /// Number of known daemons by reachability.
    pub daemons: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if a metric name is invalid or used twice, which is a programming error here.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let r = &registry;
        Metrics {
            calls: counters(r, "calls_total", "Calls of callers", &["status", "verdict"]),
            call_seconds: histograms(r, "call_seconds", "Time of calls", &["service"]),
            attempts: counters(r, "attempts_total", "Attempts", &["end"]),
            ledger_queries: counters(r, "ledger_asks_total", "Questions to ledgers", &["answer"]),
            refusals: counters(r, "refusals_total", "Attempts refused here", &["reason"]),
            broken_invariants: counters(
                r,
                "broken_invariants_total",
                "Broken invariants",
                &["name"],
            ),
            dropped_events: counter(r, "observations_dropped_total", "Observations dropped"),
            peer_refusals: counters(r, "peer_refusals_total", "Messages refused", &["reason"]),
            peer_bytes: counters(r, "peer_bytes_total", "Control bytes", &["direction"]),
            peer_messages: counters(r, "peer_messages_total", "Control messages", &["kind"]),
            platform_calls: counters(r, "platform_calls_total", "Platform calls", &["kind"]),
            config_counter: gauge(r, "config_counter", "Configuration in force"),
            config_time: gauge(r, "config_time_ms", "Time of the configuration in force"),
            running_attempts: gauge(r, "attempts_running", "Attempts that run or wait here"),
            control_busy: counter(
                r,
                "control_busy_us_total",
                "Busy time of the control thread",
            ),
            daemons: gauges(r, "daemons", "Daemons known", &["state"]),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new().encode(&families, &mut text).ok();
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("rosemaryfork")
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::with_opts(options(name, help)).expect("metric names are valid");
    register(registry, metric)
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(options(name, help), labels).expect("metric names are valid");
    register(registry, metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::with_opts(options(name, help)).expect("metric names are valid");
    register(registry, metric)
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(options(name, help), labels).expect("metric names are valid");
    register(registry, metric)
}

fn histograms(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::from(options(name, help)).buckets(LATENCY_BUCKETS.to_vec());
    let metric = HistogramVec::new(options, labels).expect("metric names are valid");
    register(registry, metric)
}
