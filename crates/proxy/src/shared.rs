//! State that the tasks of the traffic half share.

use crate::control::Event;
use crate::gate::{CallEnd, Gate};
use crate::metrics::Metrics;
use crate::receiving::ReceiveScheduler;
use crate::sending::SendScheduler;
use crate::source::Topic;
use crate::view::View;
use arc_swap::ArcSwap;
use async_channel::Sender;
use rf_base::{AttemptId, Clock, Incarnation, InstanceId, Millis, SeededRandom, ServiceName};
use rf_config::ProxySettings;
use rf_traffic::placement::PlacementSettings;
use rf_traffic::{
    CallerAges, DelayTimes, Link, Placement, RetryBudget, RetryDelays, StrikeTable, WeightedSplit,
};
use rf_transport::h1::{Meter, Pool, PoolSettings};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time to open a connection to another proxy: several round trips between zones, and one repeat of
/// a lost opening packet is not waited for.
const RELAY_CONNECT: Millis = Millis(300);
/// Time to open a connection to the backend server, which is on the same instance.
const SERVER_CONNECT: Millis = Millis(250);
/// Idle connections kept to one address.
const IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection to another proxy is closed; below the listeners' own bound.
const RELAY_IDLE: Millis = Millis(20_000);
/// Idle time after which a connection to the backend server is not used again.
const SERVER_IDLE: Millis = Millis(6000);

/// Weight of the newest answer in the usual length of a route's answers, as a divisor.
const SIZE_SMOOTHING: f64 = 16.0;

/// State that the tasks of the traffic half share.
#[derive(Debug)]
pub struct Shared<D> {
    /// Names on the wire.
    pub dialect: D,
    /// Settings of the process.
    pub settings: ArcSwap<ProxySettings>,
    /// The clock.
    pub clock: Clock,
    /// This instance.
    pub instance_id: InstanceId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Where requests go.
    pub view: ArcSwap<View>,
    /// Requests that crash backend servers.
    pub crash_records: ArcSwap<StrikeTable>,
    /// Gate of the backend server beside this proxy.
    pub gate: Gate,
    /// Connections to other proxies.
    pub peer_pool: Pool,
    /// Connections to the backend server.
    pub server_pool: Pool,
    /// Topics of the store that this proxy follows.
    pub followed_topics: FollowedTopics,
    /// Metrics.
    pub metrics: Metrics,
    /// The link of this instance.
    pub link: Link,
    /// Turns and pace of answers on it.
    pub send_scheduler: SendScheduler,
    /// Turns of long bodies on it.
    pub receive_scheduler: ReceiveScheduler,
    /// Newest era of the store that this proxy knows.
    pub store_era: AtomicU64,
    /// Bytes of requests that are held.
    pub request_memory: MemoryBudget,
    /// Bytes of answers that are read from the backend server.
    pub answer_memory: MemoryBudget,
    placement: Mutex<Placement>,
    shares: Mutex<WeightedSplit>,
    budgets: Mutex<BTreeMap<ServiceName, RetryBudget>>,
    returns: Arc<Mutex<RetryDelays>>,
    ages: Mutex<CallerAges>,
    trials: Mutex<crate::trials::TrialStats>,
    sizes: Mutex<BTreeMap<String, f64>>,
    random: Mutex<SeededRandom>,
    events: Sender<Event>,
    calls: AtomicUsize,
    /// Time at which the process ends; 0 while it does not stop.
    end: AtomicU64,
}

impl<D> Shared<D> {
    /// Makes the state of a process.
    pub fn new(
        dialect: D,
        settings: ProxySettings,
        clock: Clock,
        events: Sender<Event>,
        mut random: SeededRandom,
        incarnation: Incarnation,
    ) -> Shared<D> {
        let instance_id = InstanceId::of(&settings.instance);
        let link = Link::new(settings.limits.link);
        let mechanisms = settings.policy.mechanisms;
        let returns = match mechanisms.returns {
            true => RetryDelays::default(),
            false => RetryDelays::without_history(),
        };
        let returns = Arc::new(Mutex::new(returns));
        let placement = PlacementSettings {
            prefer_near: mechanisms.near_first,
            decay_reports: mechanisms.fading,
            jitter_scores: mechanisms.noise,
            route_times: mechanisms.route_time,
        };
        let mut fork = || SeededRandom::new(random.bits());
        Shared {
            dialect,
            instance_id,
            incarnation,
            gate: Gate::new(
                clock.clone(),
                instance_id,
                incarnation,
                fork(),
                returns.clone(),
                mechanisms,
            ),
            view: ArcSwap::default(),
            crash_records: ArcSwap::default(),
            peer_pool: Pool::new(PoolSettings {
                connect: RELAY_CONNECT,
                idle: IDLE_CONNECTIONS,
                max_idle: RELAY_IDLE,
            }),
            server_pool: Pool::new(PoolSettings {
                connect: SERVER_CONNECT,
                idle: IDLE_CONNECTIONS,
                max_idle: SERVER_IDLE,
            }),
            followed_topics: FollowedTopics::default(),
            metrics: Metrics::new(),
            receive_scheduler: ReceiveScheduler::new(settings.limits.link),
            send_scheduler: SendScheduler::new(link.clone(), clock.clone()),
            link,
            store_era: AtomicU64::new(0),
            request_memory: MemoryBudget::new(settings.limits.held_bytes()),
            answer_memory: MemoryBudget::new(settings.limits.answer_bytes()),
            placement: Mutex::new(Placement::with_settings(fork(), placement)),
            shares: Mutex::new(WeightedSplit::new(fork())),
            budgets: Mutex::default(),
            returns,
            ages: Mutex::default(),
            trials: Mutex::default(),
            sizes: Mutex::default(),
            random: Mutex::new(fork()),
            settings: ArcSwap::from_pointee(settings),
            clock,
            events,
            calls: AtomicUsize::new(0),
            end: AtomicU64::new(0),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the placement.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    /// Returns the shares of routes.
    pub fn shares(&self) -> MutexGuard<'_, WeightedSplit> {
        lock(&self.shares)
    }

    /// Returns what was observed of version changes.
    pub fn trials(&self) -> MutexGuard<'_, crate::trials::TrialStats> {
        lock(&self.trials)
    }

    /// Runs `change` on the retry budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let settings = self.settings.load();
        let (share, burst) = compute_budget(&settings, self.view.load().proxies);
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_burst(share, burst));
        budget.adjust(share, burst);
        change(budget)
    }

    /// Returns the usual length of the answers on a route between proxies, in bytes.
    pub fn usual_answer_bytes(&self, route: &str) -> f64 {
        lock(&self.sizes).get(route).copied().unwrap_or_default()
    }

    /// Takes in the length of an answer on a route as it came from another proxy.
    pub fn observe_answer_size(&self, route: &str, bytes: u64) {
        let mut sizes = lock(&self.sizes);
        match sizes.get_mut(route) {
            Some(usual) => *usual += (bytes as f64 - *usual) / SIZE_SMOOTHING,
            None => {
                sizes.insert(route.to_owned(), bytes as f64);
            }
        }
    }

    /// Makes the id of a new attempt.
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId(lock(&self.random).bits())
    }

    /// Returns a random span of at most `limit`.
    pub fn jitter(&self, limit: Millis) -> Millis {
        lock(&self.random).jitter(limit)
    }

    /// Returns the time since the caller of a request of `route`, which waits for `left`, asked for
    /// the first time; zero where that is not known.
    pub fn caller_age(&self, route: u64, left: Millis) -> Millis {
        match self.settings.load().policy.mechanisms.caller_age {
            true => lock(&self.ages).observe(self.now(), route, left),
            false => Millis::ZERO,
        }
    }

    /// Takes in how a caller's request ended, as far as the load of its service goes.
    pub fn observe_request_end(&self, service: &ServiceName, priority: u8, end: CallEnd) {
        let is_served = match end {
            CallEnd::Served | CallEnd::Late => true,
            CallEnd::Refused => false,
            CallEnd::Shed => return,
        };
        lock(&self.returns).observe(self.now(), service, priority, is_served);
    }

    /// Returns the pause that a caller is told whose request was refused.
    pub fn retry_pause(&self, service: &ServiceName, priority: u8, times: DelayTimes) -> Millis {
        let now = self.now();
        let mut random = lock(&self.random);
        lock(&self.returns).delay(now, service, priority, times, &mut random)
    }

    /// Tells the control half something; it is dropped where that is far behind.
    pub fn send_event(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            let dropped = &self.metrics.dropped_lines;
            dropped.with_label_values(&["control-queue"]).inc();
        }
    }

    /// Counts a request of a caller until the guard is dropped.
    pub fn count_call(&self) -> CallGuard<'_> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        CallGuard(&self.calls)
    }

    /// Returns the requests that wait for an answer or run here.
    pub fn active_requests(&self) -> usize {
        self.calls.load(Ordering::Relaxed) + self.gate.active_attempts()
    }

    /// Returns whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.end.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the process ends before `time`.
    pub fn ends_before(&self, time: Millis) -> bool {
        let end = self.end.load(Ordering::Relaxed);
        end > 0 && end < time.0
    }

    /// Marks the process as about to end at `end`.
    pub fn stop(&self, end: Millis) {
        self.end.store(end.0.max(1), Ordering::Relaxed);
        self.gate.stop(end);
    }
}

/// Part of the operators' share of repeats that is used; the rest is for repeats that the callees
/// of repeated requests cause, and for proxies that were replaced and start with a full budget.
const BUDGET_PART: f64 = 0.7;

/// Returns this proxy's part of the repeats that all proxies may make together: its share of the
/// requests it takes in itself, and an equal part of the slack.
fn compute_budget(settings: &ProxySettings, proxies: usize) -> (f64, f64) {
    let bounds = &settings.bounds;
    let slack = bounds.repeat_slack / proxies.max(1) as f64;
    (bounds.repeat_share * BUDGET_PART, slack * BUDGET_PART)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request of a caller until it is dropped.
#[derive(Debug)]
pub struct CallGuard<'a>(&'a AtomicUsize);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Topics of the store that this proxy follows itself.
#[derive(Debug, Default)]
pub struct FollowedTopics {
    table: AtomicBool,
    rollouts: AtomicBool,
}

impl FollowedTopics {
    fn flag(&self, topic: Topic) -> &AtomicBool {
        match topic {
            Topic::Table => &self.table,
            Topic::Rollouts => &self.rollouts,
        }
    }

    /// Returns whether a topic is this proxy's to follow.
    pub fn is_followed(&self, topic: Topic) -> bool {
        self.flag(topic).load(Ordering::Relaxed)
    }

    /// Takes a topic on, or leaves it to others.
    pub fn set(&self, topic: Topic, is_followed: bool) {
        self.flag(topic).store(is_followed, Ordering::Relaxed);
    }
}

/// Budget of bytes of messages that are held in memory.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    held: Arc<AtomicU64>,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    held: Arc<AtomicU64>,
    limit: u64,
    bytes: AtomicU64,
}

impl Meter for MemoryReservation {
    fn take(&self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.held.fetch_add(bytes, Ordering::Relaxed) + bytes <= self.limit
    }
}

impl MemoryBudget {
    fn new(limit: u64) -> MemoryBudget {
        MemoryBudget {
            limit,
            held: Arc::default(),
        }
    }

    /// Reserves `bytes`; `None` where too many are held.
    pub fn reserve(&self, bytes: u64) -> Option<MemoryReservation> {
        let hold = self.empty_reservation();
        hold.take(bytes as usize).then_some(hold)
    }

    /// Returns a hold of nothing yet, which takes bytes as they come.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            held: self.held.clone(),
            limit: self.limit,
            bytes: AtomicU64::new(0),
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let bytes = self.bytes.load(Ordering::Relaxed);
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
