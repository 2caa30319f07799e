//! Structured logging: one JSON object per line on standard output, rate-limited and non-blocking.
//!
//! A writer thread takes lines from a bounded queue; lines that find the queue full are dropped. A
//! token bucket in front of the queue limits the rate of lines, so a burst of failing requests uses
//! a bounded amount of processor time; lines above the rate are dropped and counted.

use rf_base::Millis;
use snafu::Snafu;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tracing::Subscriber;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

/// Sustained rate, in lines per second.
const LINES_PER_SECOND: f64 = 100.0;
/// Maximum burst above the sustained rate, in lines.
const BURST_LINES: f64 = 400.0;
/// Capacity of the writer thread's queue, in lines.
const QUEUE_LINES: usize = 2048;

/// Error for an invalid log filter.
#[derive(Debug, Snafu)]
#[snafu(display("log \"{level}\": {message}"))]
pub struct LogError {
    level: String,
    message: String,
}

/// Result of the initialisation of logging.
pub type Result<T> = std::result::Result<T, LogError>;

/// Handle of the writer thread; queued lines are flushed when it is dropped.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    dropped: Arc<AtomicU64>,
}

impl Logs {
    /// Returns the number of lines dropped by the rate limit since the last call, and resets it.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Initialises logging for the process; `level` is a filter in the syntax of `EnvFilter`.
///
/// # Errors
///
/// Returns a [`LogError`] if the filter cannot be parsed.
pub fn start(level: &str) -> Result<Logs> {
    let filter = EnvFilter::try_new(level).map_err(|e| LogError {
        level: level.to_owned(),
        message: e.to_string(),
    })?;
    let builder = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true);
    let (inner, guard) = builder.finish(std::io::stdout());
    let dropped: Arc<AtomicU64> = Arc::default();
    let writer = RateLimitedWriter {
        inner,
        bucket: Arc::new(Mutex::new(TokenBucket::full())),
        dropped: dropped.clone(),
    };
    // A later call in the same process keeps the first subscriber.
    make_subscriber(filter, writer).try_init().ok();
    Ok(Logs {
        _guard: guard,
        dropped,
    })
}

/// Creates the subscriber that formats events as JSON lines.
///
/// The name of the logging module is omitted: it would be a second field named `target`, which is
/// the proxy that an attempt was sent to.
pub fn make_subscriber<W>(filter: EnvFilter, writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .finish()
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    fn full() -> TokenBucket {
        TokenBucket {
            tokens: BURST_LINES,
            updated: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let span = Millis(now.duration_since(self.updated).as_millis() as u64);
        if span > Millis::ZERO {
            self.tokens =
                (self.tokens + span.0 as f64 / 1000.0 * LINES_PER_SECOND).min(BURST_LINES);
            self.updated = now;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Writer that drops lines beyond the rate limit.
#[derive(Clone, Debug)]
struct RateLimitedWriter {
    inner: NonBlocking,
    bucket: Arc<Mutex<TokenBucket>>,
    dropped: Arc<AtomicU64>,
}

impl<'a> MakeWriter<'a> for RateLimitedWriter {
    type Writer = RateLimitedWriter;

    fn make_writer(&'a self) -> RateLimitedWriter {
        self.clone()
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        match bucket.take() {
            true => self.inner.write(line),
            false => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                Ok(line.len())
            }
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.inner.flush()
    }
}
