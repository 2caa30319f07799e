//! Setup of the log output.

use rf_config::settings::Log;
use snafu::Snafu;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Error of a log filter that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("log.level \"{level}\": {message}"))]
pub struct LogError {
    level: String,
    message: String,
}

/// Result of [`start`].
pub type Result<T> = std::result::Result<T, LogError>;

/// Sets up logging to standard error for the whole process; each span is logged when it closes.
///
/// Has no effect if logging was set up before.
///
/// # Errors
///
/// Returns a [`LogError`] if the filter cannot be parsed.
pub fn start(log: &Log) -> Result<()> {
    let filter = EnvFilter::try_new(&log.level).map_err(|e| LogError {
        level: log.level.clone(),
        message: e.to_string(),
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(std::io::stderr);
    // Initialization fails if the process has a subscriber already, which is kept.
    let started = match log.json {
        true => builder.json().try_init(),
        false => builder.try_init(),
    };
    started.or(Ok(()))
}
