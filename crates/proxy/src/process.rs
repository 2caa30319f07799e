//! Lifecycle of the proxy process: start, reload of the settings, and graceful shutdown.

use crate::control::Event;
use crate::control::driver::Driver;
use crate::control::machine::{Control, ControlSettings};
use crate::control::sync::StoreSync;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::source::{self, ProxyEntries, ProxyEntry, Source, SourceError};
use crate::{admin, departures, ingress, peers};
use async_channel::{Sender, bounded};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::future::zip;
use rf_base::ids::hash_key;
use rf_base::{Clock, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::ProxySettings;
use rf_protocol::Departure;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{info, warn};

/// Maximum number of events that wait for the control thread.
const EVENT_QUEUE: usize = 4096;
/// Latest incarnation that a process can have recorded, whatever its clock. A later one could not
/// be exceeded forever.
const MAX_INCARNATION: Incarnation = Incarnation(1 << 53);
/// Timeout for reading this proxy's earlier incarnation from the store at start.
const INCARNATION_TIMEOUT: Millis = Millis(800);
/// Minimum time from the stop signal to the exit: the platform removes an instance after two failed
/// probes one second apart, and requests that arrive before that are still answered.
const MIN_STOP_TIME: Millis = Millis(2600);
/// Time from the stop signal until the other proxies are told to send no more requests to the
/// backend server. It keeps running and serves requests through its gate until then. The time left
/// until the earliest exit is several times what the notification takes, and requests that still
/// run are waited for.
const LEAVE_NOTICE_AFTER: Millis = Millis(1300);
/// Idle time after which the shutdown is complete.
const STOP_IDLE_TIME: Millis = Millis(300);
/// Time before the end of the grace period by which every request must have its answer, so that
/// there is time to write it.
const STOP_MARGIN: Millis = Millis(800);
/// Safety margin before the platform kills the process at the end of the grace period.
const EXIT_MARGIN: Millis = Millis(300);
/// Interval at which the remaining work is checked during shutdown.
const STOP_CHECK_INTERVAL: Millis = Millis(50);

/// Error when starting the proxy.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting the proxy.
pub type Result<T> = std::result::Result<T, StartError>;

/// Handle of a running proxy.
#[derive(Debug)]
pub struct Proxy<D> {
    shared: Arc<Shared<D>>,
    events: Sender<Event>,
}

impl<D: Dialect> Proxy<D> {
    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Binds the listeners and starts the control thread and the tasks of a proxy.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a listener cannot be bound or the control thread cannot start.
    pub async fn start<S: Source>(
        settings: ProxySettings,
        dialect: D,
        source: S,
        clock: Clock,
    ) -> Result<Proxy<D>> {
        let listen = settings.listen.clone();
        let callers = bind(listen.callers).await?;
        let relay = bind(listen.relay).await?;
        let readiness = bind(listen.readiness).await?;
        let announcements = bind(listen.announcements).await?;
        let me = InstanceId::of(&settings.instance);
        let (known, departed) = zip(read_entries(&source), read_departure(&source, me)).await;
        let incarnation = choose_incarnation(&known.entries, me, &clock);
        let seed = hash_key(format!("{} {incarnation}", settings.instance).as_bytes());
        let mut random = SeededRandom::new(seed);
        let started = clock.now();
        let control = create_control(
            &settings,
            incarnation,
            started,
            SeededRandom::new(random.bits()),
        );
        let entry = ProxyEntry {
            instance: me,
            zone: settings.zone.clone(),
            relay: listen.advertised_relay(),
            incarnation,
        };
        let (events, inbox) = bounded(EVENT_QUEUE);
        let shared = Shared::new(
            dialect,
            settings,
            clock,
            events.clone(),
            random,
            incarnation,
        );
        let shared = Arc::new(shared);
        departures::start(&shared, source.clone(), departed);
        task::spawn(departures::serve(
            shared.clone(),
            source.clone(),
            entry.clone(),
        ));
        Driver::new(shared.clone(), source.clone(), events.clone())
            .spawn(control, inbox)
            .context(ThreadSnafu)?;
        StoreSync::start(shared.clone(), source, events.clone(), entry, known);
        task::spawn(ingress::serve(shared.clone(), callers));
        task::spawn(peers::serve(shared.clone(), relay));
        for listener in [readiness, announcements] {
            task::spawn(admin::serve(shared.clone(), listener));
        }
        info!(
            event = "process.started",
            instance = shared.settings.load().instance,
            id = %me,
            life = incarnation.0,
        );
        Ok(Proxy { shared, events })
    }

    /// Replaces the settings. Those that are only read at start keep their effect until a restart.
    pub fn reload(&self, settings: ProxySettings) {
        info!(event = "process.reloaded", instance = settings.instance);
        self.shared.settings.store(Arc::new(settings));
    }

    /// Adds to the metric of log lines that the rate limit dropped.
    pub fn count_dropped(&self, lines: u64) {
        let dropped = &self.shared.metrics.dropped_lines;
        dropped.with_label_values(&["rate"]).inc_by(lines);
    }

    /// Shuts the proxy down gracefully. Returns once the process may exit: when all requests have
    /// ended, or shortly before the end of the grace period.
    pub async fn stop(&self) {
        let start = self.shared.now();
        let busy = self.shared.active_requests();
        info!(event = "process.stopping", busy);
        let grace = self.shared.settings.load().bounds.grace;
        let deadline = start + grace.since(STOP_MARGIN);
        let end = start + grace.since(EXIT_MARGIN);
        self.shared.stop(deadline);
        let mut is_announced = false;
        let mut idle_since = None;
        loop {
            let now = self.shared.now();
            if !is_announced && now.since(start) >= LEAVE_NOTICE_AFTER {
                is_announced = true;
                self.events.send(Event::Stop).await.ok();
            }
            let busy = self.shared.active_requests();
            if busy > 0 {
                idle_since = None;
            }
            let since = *idle_since.get_or_insert(now);
            let is_idle = now.since(since) >= STOP_IDLE_TIME && now.since(start) >= MIN_STOP_TIME;
            if busy == 0 && (is_idle || now >= deadline) {
                // Whatever begins from now on is rejected; what has begun just before is awaited.
                self.shared.stop(Millis::ZERO);
                if self.shared.active_requests() == 0 {
                    info!(event = "process.stopped", after = now.since(start).0);
                    return;
                }
            }
            if now >= end {
                warn!(event = "process.stopped", busy, after = now.since(start).0);
                return;
            }
            task::sleep(STOP_CHECK_INTERVAL.duration()).await;
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Reads the entries of all proxies; empty if the store did not answer.
async fn read_entries<S: Source>(source: &S) -> ProxyEntries {
    match timeout(INCARNATION_TIMEOUT.duration(), source.entries()).await {
        Ok(Ok(entries)) => entries,
        Ok(Err(error)) => {
            warn!(event = "life.unconfirmed", %error);
            ProxyEntries::default()
        }
        Err(_) => {
            warn!(event = "life.unconfirmed", error = "no answer in time");
            ProxyEntries::default()
        }
    }
}

/// Reads the last departure from the backend server beside this proxy from the store.
async fn read_departure<S: Source>(
    source: &S,
    me: InstanceId,
) -> source::Result<Option<Departure>> {
    let reading = timeout(INCARNATION_TIMEOUT.duration(), source.departure(me)).await;
    reading.unwrap_or_else(|_| {
        let message = "no answer in time".to_owned();
        Err(SourceError::Lost { message })
    })
}

/// Chooses an incarnation that is later than the recorded one, even if the wall clock was set back
/// since.
fn choose_incarnation(entries: &[ProxyEntry], me: InstanceId, clock: &Clock) -> Incarnation {
    let now = Incarnation(clock.now().0);
    let recorded = entries.iter().find(|e| e.instance == me);
    match recorded.map(|e| e.incarnation) {
        None => now,
        Some(recorded) if recorded > MAX_INCARNATION => {
            warn!(event = "life.implausible", recorded = recorded.0);
            now
        }
        Some(recorded) => now.max(Incarnation(recorded.0 + 1)),
    }
}

fn create_control(
    settings: &ProxySettings,
    incarnation: Incarnation,
    started: Millis,
    random: SeededRandom,
) -> Control {
    let control = ControlSettings {
        name: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        relay: settings.listen.advertised_relay(),
        incarnation,
        started,
    };
    Control::new(control, random)
}
