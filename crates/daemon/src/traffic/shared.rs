//! State that the traffic threads share.
//!
//! The routing table and the strikes are immutable snapshots that the control thread swaps whole.
//! The rest is small state behind short locks; none of them is held across a wait.

use super::answer::Answer;
use super::gate::Gate;
use crate::control::Event;
use crate::control::event::Observation;
use crate::metrics::Metrics;
use arc_swap::ArcSwap;
use async_channel::Sender;
use rf_base::{AttemptId, Clock, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::Settings;
use rf_protocol::MeshKey;
use rf_traffic::{
    Balancer, BalancerSettings, KeySettings, KeyTable, LedgerSettings, RetryBudget, RoutingTable,
    StrikeTable,
};
use rf_transport::{Client, ClientSettings};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::error;

/// Settled attempts that are told in one message; the records of others expire.
const MAX_ACKNOWLEDGED: usize = 64;
/// State that the traffic threads share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// This instance.
    pub me: InstanceId,
    /// This life of the daemon.
    pub incarnation: Incarnation,
    /// Key of the mesh.
    pub key: MeshKey,
    /// Where calls go.
    pub table: ArcSwap<RoutingTable>,
    /// Requests that crashed backend servers.
    pub strikes: ArcSwap<StrikeTable>,
    /// Gate before the backend server of this instance.
    pub gate: Gate,
    /// Connections to other daemons.
    pub relay_client: Client,
    /// Connections to the backend server.
    pub backend_client: Client,
    /// Metrics.
    pub metrics: Metrics,
    /// Held by the one suspicious call that may be retried at a time.
    pub suspect_lock: async_std::sync::Mutex<()>,
    events: Sender<Event>,
    is_stopping: AtomicBool,
    in_flight: Arc<AtomicUsize>,
    acknowledged: Mutex<BTreeMap<InstanceId, Vec<AttemptId>>>,
    balancer: Mutex<Balancer>,
    budget: Mutex<RetryBudget>,
    keys: Mutex<KeyTable<Arc<Answer>>>,
    random: Mutex<SeededRandom>,
}

impl Shared {
    /// Makes the shared state of a daemon.
    pub fn new(
        settings: Settings,
        clock: Clock,
        incarnation: Incarnation,
        seed: u64,
        events: Sender<Event>,
    ) -> Shared {
        let me = InstanceId::of(&settings.instance);
        let mut random = SeededRandom::new(seed);
        let ledger = LedgerSettings {
            instance: me,
            incarnation,
            capacity: settings.traffic.ledger,
            answer_bytes: settings.traffic.ledger_bytes,
            answer_retention: settings.traffic.keep_answer,
        };
        let client = |idle| {
            Client::new(ClientSettings {
                connect: settings.traffic.connect,
                idle,
            })
        };
        let balancer_random = SeededRandom::new(random.bits());
        Shared {
            key: MeshKey::new(&settings.mesh, &settings.key),
            table: ArcSwap::default(),
            strikes: ArcSwap::default(),
            gate: Gate::new(ledger, clock.clone()),
            relay_client: client(64),
            backend_client: client(settings.traffic.backend_connections),
            metrics: Metrics::new(),
            suspect_lock: async_std::sync::Mutex::new(()),
            events,
            is_stopping: AtomicBool::new(false),
            in_flight: Arc::default(),
            acknowledged: Mutex::default(),
            balancer: Mutex::new(Balancer::new(BalancerSettings::default(), balancer_random)),
            budget: Mutex::new(RetryBudget::new(settings.traffic.retry_percent)),
            keys: Mutex::new(KeyTable::new(KeySettings::default())),
            random: Mutex::new(random),
            settings,
            clock,
            me,
            incarnation,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns random bits.
    pub fn random_bits(&self) -> u64 {
        lock(&self.random).bits()
    }

    /// Returns a new attempt id.
    pub fn new_attempt_id(&self) -> AttemptId {
        AttemptId(self.random_bits())
    }

    /// Notes that the answer of an attempt at `target` is here.
    pub fn add_acknowledged(&self, target: InstanceId, id: AttemptId) {
        let mut acknowledged = lock(&self.acknowledged);
        let ids = acknowledged.entry(target).or_default();
        if ids.len() < MAX_ACKNOWLEDGED {
            ids.push(id);
        }
    }

    /// Takes the attempts at `target` whose answers are here, to tell it.
    pub fn take_acknowledged(&self, target: InstanceId) -> Vec<AttemptId> {
        lock(&self.acknowledged).remove(&target).unwrap_or_default()
    }

    /// Locks the balancer.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Locks the records of idempotency keys.
    pub fn key_records(&self) -> MutexGuard<'_, KeyTable<Arc<Answer>>> {
        lock(&self.keys)
    }

    /// Returns whether callers are refused because the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Makes callers be refused from now on.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Counts a call as in flight until the result is dropped.
    pub fn track_call(&self) -> CallGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.in_flight.clone())
    }

    /// Returns the calls of callers that are being answered.
    pub fn calls_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Tells the control thread of a call; drops and counts it where the thread is behind.
    pub fn observe(&self, observation: Observation) {
        self.send_event(Event::Observed(observation));
    }

    /// Tells the control thread; drops and counts the event where the thread is behind.
    pub fn send_event(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            self.metrics.dropped.inc();
        }
    }

    /// Checks an invariant; a broken one is counted and logged, and ends the process where the
    /// settings say so.
    pub fn check(&self, holds: bool, name: &str) {
        if holds {
            return;
        }
        self.metrics.invariants.with_label_values(&[name]).inc();
        error!(name, "broken invariant");
        if self.settings.fatal_invariants {
            std::process::abort();
        }
    }
}

/// Counts one call as in flight.
#[derive(Debug)]
pub struct CallGuard(Arc<AtomicUsize>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
