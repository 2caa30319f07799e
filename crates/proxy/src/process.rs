//! The proxy as a process: start, reload, and planned stop.

use crate::control::Event;
use crate::control::driver::Driver;
use crate::control::machine::{Control, ControlSettings};
use crate::control::sync::StoreSync;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::source::{ProxyEntry, Source};
use crate::{admin, ingress, peers};
use async_channel::{Sender, bounded};
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use rf_base::ids::hash_key;
use rf_base::{Clock, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::ProxySettings;
use rf_traffic::LocalServerState;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tracing::{info, warn};

/// Events that may wait for the control thread.
const EVENT_QUEUE: usize = 4096;
/// Time within which the store tells of an earlier life at a start.
const LIFE_TIME: Millis = Millis(800);
/// Shortest time between the signal to stop and the end: the platform takes an instance out after
/// two failed probes a second apart, and a request that came before is still answered.
const MIN_STOP: Millis = Millis(2600);
/// Time from the signal to stop until others are told to leave the backend server alone: it lives on
/// and serves through its gate until then. What is left until the earliest end is several times what
/// the news takes, and what runs by then is waited for.
const TELL_AFTER: Millis = Millis(1300);
/// Time without work after which a stop is complete.
const STOP_QUIET: Millis = Millis(300);
/// Time kept back before the process would be killed.
const STOP_MARGIN: Millis = Millis(800);
/// Time between two looks at the work that is left.
const STOP_CHECK: Millis = Millis(50);

/// Error of a proxy that cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
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

/// Result of starting.
pub type Result<T> = std::result::Result<T, StartError>;

/// A running proxy.
#[derive(Debug)]
pub struct Proxy<D> {
    shared: Arc<Shared<D>>,
    events: Sender<Event>,
}

impl<D: Dialect> Proxy<D> {
    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] where an address is taken or a thread cannot be started.
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
        let (life, entries) = find_life(&source, me, &clock).await;
        let seed = hash_key(format!("{} {life}", settings.instance).as_bytes());
        let mut random = SeededRandom::new(seed);
        let started = clock.now();
        let control = make_control(&settings, life, started, SeededRandom::new(random.bits()));
        let entry = ProxyEntry {
            instance: me,
            zone: settings.zone.clone(),
            relay: listen.reachable_relay(),
            life,
        };
        let residence =
            LocalServerState::new(settings.server.service.clone(), settings.server.address);
        let residence = Arc::new(Mutex::new(residence));
        let (events, inbox) = bounded(EVENT_QUEUE);
        let shared = Shared::new(dialect, settings, clock, events.clone(), random, life);
        let shared = Arc::new(shared);
        Driver::new(shared.clone(), source.clone(), events.clone())
            .spawn(control, inbox)
            .context(ThreadSnafu)?;
        StoreSync::start(shared.clone(), source, events.clone(), entry, entries);
        task::spawn(ingress::serve(shared.clone(), callers));
        task::spawn(peers::serve(shared.clone(), relay));
        for listener in [readiness, announcements] {
            task::spawn(admin::serve(shared.clone(), residence.clone(), listener));
        }
        info!(
            event = "process.started",
            instance = shared.settings.load().instance,
            id = %me,
            life = life.0,
        );
        Ok(Proxy { shared, events })
    }

    /// Puts new settings in force, as far as a running process can take them.
    pub fn reload(&self, settings: ProxySettings) {
        info!(event = "process.reloaded", instance = settings.instance);
        self.shared.settings.store(Arc::new(settings));
    }

    /// Counts log lines that were dropped.
    pub fn count_dropped(&self, lines: u64) {
        let dropped = &self.shared.metrics.dropped_lines;
        dropped.with_label_values(&["rate"]).inc_by(lines);
    }

    /// Stops the proxy without cutting a request; returns when the process may end.
    pub async fn stop(&self) {
        let start = self.shared.now();
        let busy = self.shared.active_requests();
        info!(event = "process.stopping", busy);
        let grace = self.shared.settings.load().bounds.grace;
        let last = start + grace.since(STOP_MARGIN);
        self.shared.stop(last);
        let mut is_told = false;
        let mut quiet_since = None;
        loop {
            let now = self.shared.now();
            if !is_told && now.since(start) >= TELL_AFTER {
                is_told = true;
                self.events.send(Event::Stop).await.ok();
            }
            let busy = self.shared.active_requests();
            if busy > 0 {
                quiet_since = None;
            }
            let since = *quiet_since.get_or_insert(now);
            let is_quiet = busy == 0 && now.since(since) >= STOP_QUIET;
            if is_quiet && now.since(start) >= MIN_STOP {
                info!(event = "process.stopped", after = now.since(start).0);
                return;
            }
            if now >= last {
                warn!(event = "process.stopped", busy, after = now.since(start).0);
                return;
            }
            task::sleep(STOP_CHECK.duration()).await;
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Returns a life that is later than the one recorded in the store, even if the wall clock was set
/// back since, and the entries of all proxies, where the store told them.
async fn find_life<S: Source>(
    source: &S,
    me: InstanceId,
    clock: &Clock,
) -> (Incarnation, Vec<ProxyEntry>) {
    let now = clock.now().0;
    let entries = match timeout(LIFE_TIME.duration(), source.entries()).await {
        Ok(Ok(entries)) => entries,
        Ok(Err(error)) => {
            warn!(event = "life.unconfirmed", %error);
            Vec::new()
        }
        Err(_) => {
            warn!(event = "life.unconfirmed", error = "no answer in time");
            Vec::new()
        }
    };
    let recorded = entries.iter().find(|e| e.instance == me);
    let least = recorded.map_or(0, |e| e.life.0 + 1);
    (Incarnation(now.max(least)), entries)
}

fn make_control(
    settings: &ProxySettings,
    life: Incarnation,
    started: Millis,
    random: SeededRandom,
) -> Control {
    let control = ControlSettings {
        name: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        relay: settings.listen.reachable_relay(),
        incarnation: life,
        started,
    };
    Control::new(control, random)
}
