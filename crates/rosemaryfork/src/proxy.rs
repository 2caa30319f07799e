//! The `proxy` command, which runs a proxy on the users' platform.

use crate::exit::Exit;
use async_channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use rf_base::{Clock, Millis};
use rf_config::{ProxySettings, from_json};
use rf_platform::{ObjectClient, PlatformDialect, PlatformSource};
use rf_proxy::Proxy;
use rf_proxy::telemetry::{self, Logs};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fs;
use std::path::Path;
use std::thread;
use tracing::warn;

/// Interval at which the settings file is checked for changes made without a signal.
const RELOAD_INTERVAL: Millis = Millis(2000);

/// Request received through a signal of the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Stop,
    Reload,
}

/// Parses and verifies settings of a proxy.
///
/// # Errors
///
/// Returns all errors found, one per line.
pub fn read_settings(text: &str) -> Result<ProxySettings, String> {
    let settings: ProxySettings = from_json(text).map_err(|e| e.to_string())?;
    match settings.verify() {
        errors if errors.is_empty() => Ok(settings),
        errors => Err(errors.join("\n")),
    }
}

/// Runs a proxy until `SIGTERM` or `SIGINT`, and reloads its settings when their file changes.
pub fn run(file: &Path) -> Exit {
    let loaded = fs::read_to_string(file).map_err(|e| e.to_string());
    let loaded = loaded.and_then(|text| read_settings(&text).map(|s| (text, s)));
    let (text, settings) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => return refuse(&format!("{}: {error}", file.display())),
    };
    let logs = match telemetry::start(&settings.log) {
        Ok(logs) => logs,
        Err(error) => return refuse(&error.to_string()),
    };
    let (sender, signals) = bounded(8);
    if let Err(error) = forward_signals(sender) {
        return refuse(&format!("cannot handle signals: {error}"));
    }
    let store = ObjectClient::new(settings.store).with_memory(settings.limits.max_store_bytes());
    let source = PlatformSource::new(store);
    task::block_on(async {
        let proxy = Proxy::start(settings, PlatformDialect, source, Clock::system());
        match proxy.await {
            Ok(proxy) => {
                run_until_stopped(&proxy, &signals, file, text, &logs).await;
                proxy.stop().await;
                Exit::Success
            }
            Err(error) => refuse(&error.to_string()),
        }
    })
}

fn refuse(message: &str) -> Exit {
    eprintln!("error: {message}");
    Exit::Refused
}

fn forward_signals(sender: Sender<Signal>) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let builder = thread::Builder::new().name("signals".to_owned());
    builder.spawn(move || {
        for number in signals.forever() {
            let signal = match number {
                SIGHUP => Signal::Reload,
                _ => Signal::Stop,
            };
            // A signal is dropped if the channel is full, as the pending ones lead to the same.
            sender.try_send(signal).ok();
        }
    })?;
    Ok(())
}

/// Reloads a changed settings file until the process is told to stop.
///
/// The file is checked on `SIGHUP` and at least every [`RELOAD_INTERVAL`].
async fn run_until_stopped(
    proxy: &Proxy<PlatformDialect>,
    signals: &Receiver<Signal>,
    file: &Path,
    mut text: String,
    logs: &Logs,
) {
    loop {
        let signal = timeout(RELOAD_INTERVAL.duration(), signals.recv()).await;
        proxy.count_dropped(logs.take_dropped());
        if matches!(signal, Ok(Ok(Signal::Stop) | Err(_))) {
            return;
        }
        reload(proxy, file, &mut text);
    }
}

/// Applies the settings file if it has changed; an invalid file leaves the last settings in force.
fn reload(proxy: &Proxy<PlatformDialect>, file: &Path, text: &mut String) {
    let new_text = match fs::read_to_string(file) {
        Ok(new_text) => new_text,
        Err(error) => {
            warn!(event = "settings.unreadable", %error);
            return;
        }
    };
    if new_text == *text {
        return;
    }
    match read_settings(&new_text) {
        Ok(settings) => proxy.reload(settings),
        Err(error) => warn!(event = "settings.refused", %error),
    }
    *text = new_text;
}
