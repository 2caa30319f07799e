//! Start and planned stop of the daemon.
//!
//! A planned stop is first announced to the other daemons, so that they send no new calls, and the
//! leases are released. Once the announcement has had time to spread, calls of callers are refused.
//! The stop completes when all calls that run or wait here have ended, or after a time limit.

use crate::control::{Control, Event};
use crate::driver::{ControlHandle, Driver, EVENT_QUEUE_CAPACITY};
use crate::listeners::{self, ListenError};
use crate::traffic::Shared;
use async_channel::bounded;
use async_std::task;
use rf_base::{Clock, Incarnation, Millis};
use rf_config::Settings;
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use tracing::{info, warn};

/// Time between the announcement of a stop and the refusal of callers, in which the announcement
/// spreads.
const ANNOUNCE_TIME: Millis = Millis(1000);
/// Interval between two checks whether calls are still running.
const DRAIN_CHECK_INTERVAL: Millis = Millis(50);
/// Time without running calls after which a stop is complete.
const DRAIN_IDLE_TIME: Millis = Millis(300);

/// Error that prevents the daemon from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be opened.
    #[snafu(display("{source}"))]
    Listen {
        /// Error of the listener, with its name and address.
        source: ListenError,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of [`Daemon::start`].
pub type Result<T> = std::result::Result<T, StartError>;

/// Handle to a running daemon; cheap to clone.
#[derive(Clone, Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    control: ControlHandle,
}

impl Daemon {
    /// Opens all listeners and starts the control thread.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a listener cannot be opened or the thread cannot be started.
    pub async fn start(settings: Settings, clock: Clock) -> Result<Daemon> {
        let incarnation = Incarnation(clock.now().0);
        let seed = compute_seed(&settings, incarnation);
        let (sender, receiver) = bounded(EVENT_QUEUE_CAPACITY);
        let control = ControlHandle::new(sender.clone());
        let shared = Shared::new(settings.clone(), clock, incarnation, seed, sender);
        let shared = Arc::new(shared);
        listeners::start(shared.clone(), control.clone())
            .await
            .context(ListenSnafu)?;
        let state_machine = Control::new(settings, incarnation, seed.rotate_left(32));
        Driver::new(shared.clone(), control.clone())
            .spawn(state_machine, receiver)
            .context(ThreadSnafu)?;
        info!(instance = %shared.settings.instance, "daemon started");
        Ok(Daemon { shared, control })
    }

    /// Stops the daemon after its running calls; returns whether all of them ended within the time
    /// limit for draining.
    pub async fn stop(&self) -> bool {
        info!("stopping; announcing it to the other daemons");
        self.control.send(Event::Stop).await;
        task::sleep(ANNOUNCE_TIME.duration()).await;
        self.shared.stop();
        let start = self.shared.now();
        let mut idle_since = None;
        loop {
            let now = self.shared.now();
            let busy = self.shared.gate.in_flight() + self.shared.calls_in_flight();
            if busy > 0 {
                idle_since = None;
            }
            let since = *idle_since.get_or_insert(now);
            if busy == 0 && now.since(since) >= DRAIN_IDLE_TIME {
                info!("stopped after all calls ended");
                return true;
            }
            if now.since(start) >= self.shared.settings.traffic.drain {
                warn!(busy, "stopped while calls were still running");
                return false;
            }
            task::sleep(DRAIN_CHECK_INTERVAL.duration()).await;
        }
    }
}

fn compute_seed(settings: &Settings, incarnation: Incarnation) -> u64 {
    let text = format!("{} {incarnation}", settings.instance);
    rf_base::ids::hash_key(text.as_bytes())
}
