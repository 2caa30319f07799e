//! The daemon as a whole: start, and planned stop.
//!
//! A planned stop is announced first, so that no other daemon sends new work. The leases are given
//! up, calls that run or wait here end, and only then does the process. Callers are refused from
//! the moment the announcement had time to spread.

use crate::control::{Control, Event};
use crate::driver::{ControlHandle, Driver, EVENT_QUEUE};
use crate::listeners::{self, ListenError};
use crate::traffic::Shared;
use async_channel::bounded;
use async_std::task;
use rf_base::{Clock, Incarnation, Millis};
use rf_config::Settings;
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use tracing::{info, warn};

/// Time for which callers are still served after a stop was announced.
const ANNOUNCE: Millis = Millis(1000);
/// Time between two looks at the calls that still run.
const DRAIN_CHECK: Millis = Millis(50);
/// Time without a running call after which a stop is complete.
const DRAIN_QUIET: Millis = Millis(300);

/// Error of a daemon that cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Which one.
        source: ListenError,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting.
pub type Result<T> = std::result::Result<T, StartError>;

/// A running daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    control: ControlHandle,
}

impl Daemon {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] where an address is taken or a thread cannot be started.
    pub async fn start(settings: Settings, clock: Clock) -> Result<Daemon> {
        let incarnation = Incarnation(clock.now().0);
        let seed = compute_seed(&settings, incarnation);
        let (sender, receiver) = bounded(EVENT_QUEUE);
        let control = ControlHandle::new(sender.clone());
        let shared = Shared::new(settings.clone(), clock, incarnation, seed, sender);
        let shared = Arc::new(shared);
        listeners::start(shared.clone(), control.clone())
            .await
            .context(ListenSnafu)?;
        let machine = Control::new(settings, incarnation, seed.rotate_left(32));
        Driver::new(shared.clone(), control.clone())
            .spawn(machine, receiver)
            .context(ThreadSnafu)?;
        info!(instance = %shared.settings.instance, "daemon started");
        Ok(Daemon { shared, control })
    }

    /// Stops the daemon without cutting a call; returns whether every call ended in time.
    pub async fn stop(&self) -> bool {
        info!("stop announced");
        self.control.send(Event::Stop).await;
        task::sleep(ANNOUNCE.duration()).await;
        self.shared.stop();
        let start = self.shared.now();
        let mut quiet_since = None;
        loop {
            let now = self.shared.now();
            let busy = self.shared.gate.in_flight() + self.shared.calls_in_flight();
            if busy > 0 {
                quiet_since = None;
            }
            let since = *quiet_since.get_or_insert(now);
            if busy == 0 && now.since(since) >= DRAIN_QUIET {
                info!("stopped");
                return true;
            }
            if now.since(start) >= self.shared.settings.traffic.drain {
                warn!(busy, "stopped before every call had ended");
                return false;
            }
            task::sleep(DRAIN_CHECK.duration()).await;
        }
    }
}

fn compute_seed(settings: &Settings, incarnation: Incarnation) -> u64 {
    let text = format!("{} {incarnation}", settings.instance);
    rf_base::ids::hash_key(text.as_bytes())
}
