//! Logs and spans.

use rf_config::settings::Log;
use snafu::Snafu;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Error for a log filter that does not parse.
#[derive(Debug, Snafu)]
#[snafu(display("log.level \"{level}\": {message}"))]
pub struct LogError {
    level: String,
    message: String,
}

/// Result of setting logs up.
pub type Result<T> = std::result::Result<T, LogError>;

/// Sets logs up for the process; each span is logged once, when it closes.
///
/// # Errors
///
/// Returns a [`LogError`] for a filter that does not parse.
pub fn start(log: &Log) -> Result<()> {
    let filter = EnvFilter::try_new(&log.level).map_err(|e| LogError {
        level: log.level.clone(),
        message: e.to_string(),
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(std::io::stderr);
    // A second start in one process keeps the first.
    let started = match log.json {
        true => builder.json().try_init(),
        false => builder.try_init(),
    };
    started.or(Ok(()))
}
