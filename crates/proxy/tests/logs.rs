//! Log lines are valid JSON with unique field names.

use rf_proxy::telemetry::make_subscriber;
use std::io::Write;
use std::sync::{Arc, Mutex};
use tracing_subscriber::EnvFilter;

/// Buffer that collects the lines that were written.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no panic").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// Guards against a second `target` field with the name of the logging module, which a parser would
// take for the attempt's target.
#[test]
fn log_line_of_an_attempt_has_a_single_target_field() {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = make_subscriber(EnvFilter::new("info"), move || writer.clone());
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(event = "attempt.failed", target = %"i-1", after = 5);
    });
    let bytes = lines.0.lock().expect("no panic").clone();
    let text = String::from_utf8(bytes).expect("text");
    assert_eq!(text.matches("\"target\"").count(), 1, "{text}");
    let line: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(line["target"], "i-1");
    assert_eq!(line["after"], 5);
}
