//! State that the tasks which handle traffic share with each other and with the control plane.

use crate::authentication::OrganisationLabels;
use crate::control::Event;
use crate::departures::Departures;
use crate::gate::{CallEnd, Gate};
use crate::metrics::Metrics;
use crate::quota::Quotas;
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
    CallerAges, DelayTimes, HedgeLimit, Hedging, Link, LocalServerState, Placement, RetryBudget,
    RetryDelays, StrikeTable, ToldConditions, WeightedSplit,
};
use rf_transport::h1::{MemoryBudget, Pool, PoolSettings};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Timeout for opening a connection to another proxy. It covers several round trips between
/// availability zones, but not the retransmission of a lost SYN packet.
const PEER_CONNECT_TIMEOUT: Millis = Millis(300);
/// Timeout for opening a connection to the backend server, which is on the same instance.
const SERVER_CONNECT_TIMEOUT: Millis = Millis(250);
/// Maximum number of idle connections kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection to another proxy is closed. It is below the idle timeout of
/// the listeners.
const PEER_IDLE_TIMEOUT: Millis = Millis(20_000);
/// Idle time after which a connection to the backend server is not reused.
const SERVER_IDLE_TIMEOUT: Millis = Millis(6000);

/// Divisor that gives the weight of the newest answer in the smoothed answer size of a route.
const ANSWER_SIZE_SMOOTHING: f64 = 16.0;

/// Shared state of one proxy process.
#[derive(Debug)]
pub struct Shared<D> {
    /// Header names and other conventions of the platform.
    pub dialect: D,
    /// Current settings of the process.
    pub settings: ArcSwap<ProxySettings>,
    /// Source of the current time.
    pub clock: Clock,
    /// Id of this instance.
    pub instance_id: InstanceId,
    /// Incarnation of this process; distinguishes it from earlier ones on the same instance.
    pub incarnation: Incarnation,
    /// Time at which this process started.
    pub started: Millis,
    /// Routes and servers that requests are dispatched by; published by the control plane.
    pub view: ArcSwap<View>,
    /// Crashes of backend servers by the request that caused them.
    pub strikes: ArcSwap<StrikeTable>,
    /// Admission gate of the local backend server.
    pub gate: Gate,
    /// Connection pool to other proxies.
    pub peer_pool: Pool,
    /// Connection pool to the local backend server.
    pub server_pool: Pool,
    /// Topics of the store that this proxy follows itself; set by the control plane.
    pub followed_topics: FollowedTopics,
    /// Quotas of organisations: borrowed tokens, and the buckets that this proxy owns.
    pub quotas: Quotas,
    /// Copies of the local backend server's departure outside this process.
    pub departures: Departures,
    /// Metrics that the process exports.
    pub metrics: Metrics,
    /// Network link of this instance, with the bytes that are reserved on it.
    pub link: Link,
    /// Schedules and paces long answers on the link.
    pub send_scheduler: SendScheduler,
    /// Schedules the long request bodies that arrive over the link.
    pub receive_scheduler: ReceiveScheduler,
    /// Newest era of the store that this proxy has seen; a restored store has a new era.
    pub store_era: AtomicU64,
    /// Memory budget of the requests that are held.
    pub request_memory: MemoryBudget,
    /// Memory budget of the answers that are being read from the backend server.
    pub answer_memory: MemoryBudget,
    /// Memory budget of the replies that are being read from other proxies.
    pub reply_memory: MemoryBudget,
    /// Organisations that have metrics of their own.
    pub organisation_labels: OrganisationLabels,
    placement: Mutex<Placement>,
    shares: Mutex<WeightedSplit>,
    retry_budgets: Mutex<BTreeMap<ServiceName, RetryBudget>>,
    served_requests: Arc<Mutex<RetryDelays>>,
    caller_ages: Mutex<CallerAges>,
    hedging: Mutex<Hedging>,
    trials: Mutex<crate::trials::TrialStats>,
    told_conditions: Mutex<ToldConditions>,
    local_server: Mutex<LocalServerState>,
    answer_sizes: Mutex<BTreeMap<String, f64>>,
    random: Mutex<SeededRandom>,
    events: Sender<Event>,
    open_calls: AtomicUsize,
    /// Time at which the process ends, in milliseconds; 0 while it is not stopping.
    shutdown_at: AtomicU64,
}

impl<D> Shared<D> {
    /// Creates the state of a process. Its random generators are derived from `random`.
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
        let served_requests = match mechanisms.adaptive_delays {
            true => RetryDelays::default(),
            false => RetryDelays::without_history(),
        };
        let served_requests = Arc::new(Mutex::new(served_requests));
        let local_server =
            LocalServerState::new(settings.server.service.clone(), settings.server.address);
        let placement = PlacementSettings {
            prefer_near: mechanisms.prefer_near,
            decay_reports: mechanisms.decay_reports,
            jitter_scores: mechanisms.jitter_scores,
            route_times: mechanisms.route_time,
            ..PlacementSettings::default()
        };
        let mut fork = || SeededRandom::new(random.bits());
        Shared {
            dialect,
            instance_id,
            incarnation,
            started: clock.now(),
            gate: Gate::new(
                clock.clone(),
                instance_id,
                incarnation,
                fork(),
                served_requests.clone(),
                mechanisms,
            ),
            view: ArcSwap::default(),
            strikes: ArcSwap::default(),
            peer_pool: Pool::new(PoolSettings {
                connect_timeout: PEER_CONNECT_TIMEOUT,
                max_kept: MAX_IDLE_CONNECTIONS,
                idle_timeout: PEER_IDLE_TIMEOUT,
            }),
            server_pool: Pool::new(PoolSettings {
                connect_timeout: SERVER_CONNECT_TIMEOUT,
                max_kept: MAX_IDLE_CONNECTIONS,
                idle_timeout: SERVER_IDLE_TIMEOUT,
            }),
            followed_topics: FollowedTopics::default(),
            quotas: Quotas::new(instance_id, clock.now(), fork()),
            departures: Departures::default(),
            metrics: Metrics::new(),
            receive_scheduler: ReceiveScheduler::new(settings.limits.link),
            send_scheduler: SendScheduler::new(link.clone(), clock.clone()),
            link,
            store_era: AtomicU64::new(0),
            request_memory: MemoryBudget::new(settings.limits.max_request_bytes()),
            answer_memory: MemoryBudget::new(settings.limits.max_answer_bytes()),
            reply_memory: MemoryBudget::with_reserve(settings.limits.max_reply_bytes()),
            organisation_labels: OrganisationLabels::default(),
            placement: Mutex::new(Placement::with_settings(fork(), placement)),
            shares: Mutex::new(WeightedSplit::new(fork())),
            retry_budgets: Mutex::default(),
            served_requests,
            caller_ages: Mutex::default(),
            hedging: Mutex::default(),
            trials: Mutex::default(),
            told_conditions: Mutex::default(),
            local_server: Mutex::new(local_server),
            answer_sizes: Mutex::default(),
            random: Mutex::new(fork()),
            settings: ArcSwap::from_pointee(settings),
            clock,
            events,
            open_calls: AtomicUsize::new(0),
            shutdown_at: AtomicU64::new(0),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Locks and returns the placement, which chooses servers.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    /// Locks and returns the shares by which routes split requests between services.
    pub fn shares(&self) -> MutexGuard<'_, WeightedSplit> {
        lock(&self.shares)
    }

    /// Locks and returns the statistics of version trials.
    pub fn trials(&self) -> MutexGuard<'_, crate::trials::TrialStats> {
        lock(&self.trials)
    }

    /// Locks and returns what the backend servers of other instances have said about themselves.
    pub fn told_conditions(&self) -> MutexGuard<'_, ToldConditions> {
        lock(&self.told_conditions)
    }

    /// Locks and returns the announced state of the local backend server.
    pub fn local_server(&self) -> MutexGuard<'_, LocalServerState> {
        lock(&self.local_server)
    }

    /// Runs `change` on the retry budget of a service, adjusted to the current settings and number
    /// of known proxies.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let settings = self.settings.load();
        let (share, burst) = compute_budget(&settings, self.view.load().known_proxies);
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_burst(share, burst));
        budget.adjust(share, burst);
        change(budget)
    }

    /// Locks and returns the state of hedged requests.
    pub fn hedging(&self) -> MutexGuard<'_, Hedging> {
        lock(&self.hedging)
    }

    /// Returns this proxy's part of the hedged requests that the operators allow.
    pub fn hedge_limit(&self) -> HedgeLimit {
        let policy = self.settings.load().policy.hedging;
        HedgeLimit {
            share: policy.share,
            burst: policy.burst / self.view.load().known_proxies.max(1) as f64,
        }
    }

    /// Counts a request of a service towards the budget of hedged requests, if hedging is on.
    pub fn count_hedgeable(&self, service: &ServiceName) {
        if self.settings.load().policy.hedging.is_enabled() {
            self.hedging().deposit(service, self.hedge_limit());
        }
    }

    /// Records the time from an attempt to its response, if hedging is on.
    pub fn observe_response(&self, route: u64, time: Millis) {
        if self.settings.load().policy.hedging.is_enabled() {
            self.hedging().observe(self.now(), route, time);
        }
    }

    /// Returns the smoothed size of the answers on a route as sent between proxies, in bytes; zero
    /// before the first one.
    pub fn usual_answer_bytes(&self, route: &str) -> f64 {
        lock(&self.answer_sizes)
            .get(route)
            .copied()
            .unwrap_or_default()
    }

    /// Records the size of an answer on a route as received from another proxy, in bytes.
    pub fn observe_answer_size(&self, route: &str, bytes: u64) {
        let mut answer_sizes = lock(&self.answer_sizes);
        match answer_sizes.get_mut(route) {
            Some(usual) => *usual += (bytes as f64 - *usual) / ANSWER_SIZE_SMOOTHING,
            None => {
                answer_sizes.insert(route.to_owned(), bytes as f64);
            }
        }
    }

    /// Returns a random id for a new attempt.
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId(lock(&self.random).bits())
    }

    /// Returns a random duration of at most `limit`.
    pub fn jitter(&self, limit: Millis) -> Millis {
        lock(&self.random).jitter(limit)
    }

    /// Returns a random number below `limit`, which must be positive.
    pub fn random_below(&self, limit: usize) -> usize {
        lock(&self.random).below(limit as u64) as usize
    }

    /// Estimates how long ago the caller of a request sent it for the first time, from the time
    /// `left` to its deadline and the times that earlier requests on `route` had left. Returns zero
    /// if that is not known.
    pub fn caller_age(&self, route: u64, left: Millis) -> Millis {
        match self.settings.load().policy.mechanisms.caller_age {
            true => lock(&self.caller_ages).observe(self.now(), route, left),
            false => Millis::ZERO,
        }
    }

    /// Records whether a caller's request was served, as a signal about the load of its service.
    pub fn observe_request_end(&self, service: &ServiceName, priority: u8, end: CallEnd) {
        let is_served = match end {
            CallEnd::Served | CallEnd::Late => true,
            CallEnd::Refused => false,
            CallEnd::Shed => return,
        };
        lock(&self.served_requests).observe(self.now(), service, priority, is_served);
    }

    /// Returns the retry delay to give to a caller whose request was refused.
    pub fn retry_delay(&self, service: &ServiceName, priority: u8, times: DelayTimes) -> Millis {
        let now = self.now();
        let mut random = lock(&self.random);
        lock(&self.served_requests).delay(now, service, priority, times, &mut random)
    }

    /// Sends an event to the control plane. If the queue is full, the event is dropped and counted.
    pub fn send_event(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            let dropped = &self.metrics.dropped_lines;
            dropped.with_label_values(&["control-queue"]).inc();
        }
    }

    /// Counts a caller's request as open until the guard is dropped.
    pub fn count_call(&self) -> CallGuard<'_> {
        self.open_calls.fetch_add(1, Ordering::SeqCst);
        CallGuard(&self.open_calls)
    }

    /// Returns the number of open requests of callers plus that of attempts at the local gate.
    pub fn active_requests(&self) -> usize {
        self.open_calls.load(Ordering::SeqCst) + self.gate.active_attempts()
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.shutdown_at.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the process ends before `time`.
    pub fn ends_before(&self, time: Millis) -> bool {
        let end = self.shutdown_at.load(Ordering::SeqCst);
        end > 0 && end < time.0
    }

    /// Marks the process as stopping; it ends at `end`, or at once if that has passed.
    ///
    /// A request is counted before it is held against `end`, so one that is not rejected is seen by
    /// [`Shared::active_requests`] afterwards.
    pub fn stop(&self, end: Millis) {
        self.shutdown_at.store(end.0.max(1), Ordering::SeqCst);
        self.gate.stop(end);
    }
}

/// Fraction of the configured retry share that is used. The rest is left for retries that the
/// callees of retried requests cause, and for replaced proxies, which start with a full budget.
const BUDGET_FRACTION: f64 = 0.7;

/// Returns this proxy's part of the retries that all proxies may make together: the retries allowed
/// as a share of the requests that it accepts, and an equal part of the slack of the whole mesh.
///
/// `proxies` includes unreachable ones: divided by the reachable ones, the slack was spent twice by the
/// halves of a network partition.
fn compute_budget(settings: &ProxySettings, proxies: usize) -> (f64, f64) {
    let bounds = &settings.bounds;
    let slack = bounds.repeat_slack / proxies.max(1) as f64;
    (
        bounds.repeat_share * BUDGET_FRACTION,
        slack * BUDGET_FRACTION,
    )
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a caller's request as open until it is dropped.
#[derive(Debug)]
pub struct CallGuard<'a>(&'a AtomicUsize);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Topics of the store that this proxy follows itself, rather than learning of changes from other
/// proxies.
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

    /// Returns whether this proxy follows a topic itself.
    pub fn is_followed(&self, topic: Topic) -> bool {
        self.flag(topic).load(Ordering::Relaxed)
    }

    /// Sets whether this proxy follows a topic itself or leaves it to other proxies.
    pub fn set(&self, topic: Topic, is_followed: bool) {
        self.flag(topic).store(is_followed, Ordering::Relaxed);
    }
}
