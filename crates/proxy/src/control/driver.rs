//! Control thread: runs the state machine and executes its actions.

use super::event::{Action, Event, MessageKind};
use super::machine::Control;
use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::source::{Source, SourceError};
use crate::{local, relay};
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use futures_lite::future::block_on;
use rf_base::Millis;
use rf_config::{Rollout, RolloutState};
use rf_membership::ExchangeTarget;
use rf_protocol::relay::{RelayReply, RelayRequest, TrialReport};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;
use tracing::{debug, info, warn};

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Millis = Millis(100);
/// Timeout for the reply to a message.
const MESSAGE_TIMEOUT: Millis = Millis(500);
/// Timeout for a route table. A full table takes many packets, and the links may be saturated.
const TABLE_TIMEOUT: Millis = Millis(2000);
/// Interval at which idle connections are closed.
const PRUNE_INTERVAL: Millis = Millis(5000);

/// Executes the actions of the control state machine.
#[derive(Debug)]
pub struct Driver<D, S> {
    shared: Arc<Shared<D>>,
    source: S,
    events: Sender<Event>,
}

impl<D: Dialect, S: Source> Driver<D, S> {
    /// Creates a driver that sends the results of its actions to `events`.
    pub fn new(shared: Arc<Shared<D>>, source: S, events: Sender<Event>) -> Driver<D, S> {
        Driver {
            shared,
            source,
            events,
        }
    }

    /// Runs the state machine on a dedicated thread until the channel is closed.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread cannot be started.
    pub fn spawn(self, control: Control, inbox: Receiver<Event>) -> std::io::Result<()> {
        let builder = thread::Builder::new().name("control".to_owned());
        builder.spawn(move || self.run(control, &inbox))?;
        Ok(())
    }

    fn run(&self, mut control: Control, inbox: &Receiver<Event>) {
        let mut next_tick = Instant::now();
        let mut next_prune = self.shared.now() + PRUNE_INTERVAL;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let event = match block_on(timeout(wait, inbox.recv())) {
                Ok(Ok(event)) => event,
                Ok(Err(_)) => return,
                Err(_) => {
                    next_tick = Instant::now() + TICK_INTERVAL.duration();
                    Event::Tick(self.local_trials(&control))
                }
            };
            let now = self.shared.now();
            // The reply of a proxy carries what it remembers of the local backend server.
            let is_reply = matches!(
                event,
                Event::Replied(_, MessageKind::Exchange, Some(RelayReply::Exchange(..)))
            );
            for action in control.handle(now, event) {
                self.execute(action);
            }
            if is_reply {
                local::confirm_departures(&self.shared, "proxy");
            }
            if now >= next_prune {
                next_prune = now + PRUNE_INTERVAL;
                self.shared.peer_pool.prune();
                self.shared.server_pool.prune();
            }
        }
    }

    fn local_trials(&self, control: &Control) -> Vec<TrialReport> {
        let running = control.running_rollouts();
        let mut stats = self.shared.trials();
        stats.retain(&running);
        let trial = |order: &u64| TrialReport {
            order: *order,
            observer: control.id(),
            incarnation: control.incarnation(),
            routes: stats.cells(*order),
        };
        running.iter().map(trial).collect()
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Send(target, kind, request) => self.send(target, kind, request),
            Action::Answer(sender, answer) => {
                if sender.try_send(*answer).is_err() {
                    debug!(event = "exchange.abandoned");
                }
            }
            Action::PublishView(view) => {
                let proxies = &self.shared.metrics.proxies;
                proxies.set(view.proxies as i64);
                self.shared.view.store(Arc::new(*view));
            }
            Action::TableAdopted(table) => {
                let version = &self.shared.metrics.table_version;
                version.set(table.version.0 as i64);
                self.shared.shares().reset();
                let service = &self.shared.settings.load().server.service;
                let limit = table.cold_rates.get(service).copied();
                self.shared.gate.set_cold_rate_limit(limit);
            }
            Action::Follow(topic, is_followed) => {
                self.shared.followed_topics.set(topic, is_followed)
            }
            Action::PublishStrikes(strikes) => self.shared.strikes.store(Arc::new(*strikes)),
            Action::StoreRestored(era) => self.shared.store_era.store(era, Ordering::Relaxed),
            Action::RecordState(rollout, state) => self.record(*rollout, state),
            Action::ServerDeparted(departure) => {
                local::adopt_departure(&self.shared, &departure, "proxy");
            }
            Action::Remembered(sender) => {
                if sender.try_send(()).is_err() {
                    debug!(event = "departure.abandoned");
                }
            }
            Action::Readmit(instance) => self.shared.placement().readmit(instance),
        }
    }

    fn send(&self, target: ExchangeTarget, kind: MessageKind, request: Box<RelayRequest>) {
        let shared = self.shared.clone();
        let events = self.events.clone();
        task::spawn(async move {
            let sending = relay::send(&shared, target.address, &request);
            let limit = match kind {
                MessageKind::Fetch => TABLE_TIMEOUT,
                _ => MESSAGE_TIMEOUT,
            };
            let reply = match timeout(limit.duration(), sending).await {
                Ok(Ok((reply, bytes))) => {
                    let same_zone = shared.view.load().zone_peers.contains(&target.address);
                    shared.metrics.count_bytes(label_of(kind), same_zone, bytes);
                    Some(reply)
                }
                Ok(Err(error)) => {
                    debug!(event = "message.failed", address = %target.address, %error);
                    None
                }
                Err(_) => {
                    shared.peer_pool.evict(target.address);
                    debug!(event = "message.timeout", address = %target.address);
                    None
                }
            };
            let result = if reply.is_some() {
                "answered"
            } else {
                "failed"
            };
            let labels = [label_of(kind), result];
            shared.metrics.messages.with_label_values(&labels).inc();
            events.send(Event::Replied(target, kind, reply)).await.ok();
        });
    }

    fn record(&self, rollout: Rollout, state: RolloutState) {
        let source = self.source.clone();
        let shared = self.shared.clone();
        task::spawn(async move {
            let service = &rollout.service;
            let revision = rollout.revision.number;
            let result = source.record(&rollout, state).await;
            let label = match &result {
                Ok(()) => "done",
                Err(SourceError::Conflict) => "conflict",
                Err(_) => "failed",
            };
            let calls = &shared.metrics.store_calls;
            calls.with_label_values(&["record", label]).inc();
            match result {
                Ok(()) => info!(event = "rollout.recorded", %service, ?state, revision),
                Err(error) => {
                    warn!(event = "rollout.unrecorded", %service, ?state, revision, %error);
                }
            }
        });
    }
}

fn label_of(kind: MessageKind) -> &'static str {
    match kind {
        MessageKind::Exchange => "exchange",
        MessageKind::Fetch => "fetch",
        MessageKind::Tell => "tell",
        MessageKind::Observe => "observe",
    }
}
