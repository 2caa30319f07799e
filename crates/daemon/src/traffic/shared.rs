//! State shared by the traffic threads.
//!
//! The routing table and the strikes are immutable snapshots that the control thread replaces
//! atomically. The remaining state is small and protected by locks that are held briefly and never
//! across an await point. The exception is `suspect_lock`, an asynchronous lock that a call holds
//! during its retries.

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

/// Maximum number of attempts that are acknowledged to one daemon in one message. Further attempts
/// are not acknowledged; their records expire in the ledger.
const MAX_ACKNOWLEDGED: usize = 64;

/// State shared by the traffic threads.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the daemon, fixed at its start.
    pub settings: Settings,
    /// Clock of the process, in milliseconds since the Unix epoch.
    pub clock: Clock,
    /// Id of this instance.
    pub me: InstanceId,
    /// Incarnation of this daemon, which differs after each restart.
    pub incarnation: Incarnation,
    /// Key that authenticates messages between the daemons of the mesh.
    pub key: MeshKey,
    /// Routing table in force.
    pub table: ArcSwap<RoutingTable>,
    /// Records of requests that crashed backend servers.
    pub strikes: ArcSwap<StrikeTable>,
    /// Admission control for the backend server of this instance.
    pub gate: Gate,
    /// Connection pool for the relay ports of other daemons.
    pub relay_client: Client,
    /// Connection pool for the backend server of this instance.
    pub backend_client: Client,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Held by a call while it is retried after its request crashed a backend server, so that only
    /// one such call is retried at a time.
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
    /// Creates the shared state; `events` leads to the control thread.
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
                connect_timeout: settings.traffic.connect,
                max_kept: idle,
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

    /// Returns 64 random bits.
    pub fn random_bits(&self) -> u64 {
        lock(&self.random).bits()
    }

    /// Returns a random id for a new attempt.
    pub fn new_attempt_id(&self) -> AttemptId {
        AttemptId(self.random_bits())
    }

    /// Records that the answer of an attempt sent to `target` was received.
    ///
    /// The next attempt sent to `target` acknowledges it.
    pub fn add_acknowledged(&self, target: InstanceId, id: AttemptId) {
        let mut acknowledged = lock(&self.acknowledged);
        let ids = acknowledged.entry(target).or_default();
        if ids.len() < MAX_ACKNOWLEDGED {
            ids.push(id);
        }
    }

    /// Takes the attempts sent to `target` whose answers were received but not yet acknowledged.
    pub fn take_acknowledged(&self, target: InstanceId) -> Vec<AttemptId> {
        lock(&self.acknowledged).remove(&target).unwrap_or_default()
    }

    /// Locks the load balancer; the guard must not be held across an await point.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Locks the retry budget of all calls from this daemon.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Locks the records of idempotency keys that this daemon holds.
    pub fn key_records(&self) -> MutexGuard<'_, KeyTable<Arc<Answer>>> {
        lock(&self.keys)
    }

    /// Returns whether new calls are refused because the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Refuses new calls from now on.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn track_call(&self) -> CallGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.in_flight.clone())
    }

    /// Returns the number of calls from callers that are in progress, including streamed answers.
    pub fn calls_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Reports a call to the control thread; if its queue is full, the report is dropped and
    /// counted.
    pub fn observe(&self, observation: Observation) {
        self.send_event(Event::CallEnded(observation));
    }

    /// Sends an event to the control thread; if its queue is full, the event is dropped and
    /// counted.
    pub fn send_event(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            self.metrics.dropped_events.inc();
        }
    }

    /// Checks an invariant. A violation is counted and logged, and aborts the process if the
    /// settings demand it.
    pub fn check(&self, holds: bool, name: &str) {
        if holds {
            return;
        }
        self.metrics
            .broken_invariants
            .with_label_values(&[name])
            .inc();
        error!(name, "broken invariant");
        if self.settings.fatal_invariants {
            std::process::abort();
        }
    }
}

/// Counts one call as in flight until it is dropped.
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
