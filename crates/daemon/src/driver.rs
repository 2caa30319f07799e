//! The control thread, which runs the state machine and executes its actions.
//!
//! One thread owns the [`Control`] state machine and receives events from a bounded channel.
//! Actions that do network I/O are spawned as tasks on the threads of the async runtime and send
//! their results back as events, so the control thread never waits for the network.

use crate::control::event::{LeaseKind, MessageKind, OperatorResult, PlatformAnswer, PlatformCall};
use crate::control::{Action, Control, Event, OperatorRequest, RequestId};
use crate::traffic::Shared;
use async_channel::{Receiver, Sender, bounded};
use async_std::task;
use futures_lite::future::block_on;
use http_types::{Method, Request, Url};
use rf_base::Millis;
use rf_membership::ExchangeTarget;
use rf_protocol::envelope::MAX_MESSAGE_BYTES;
use rf_protocol::{Reply, open, seal};
use rf_store::{HttpStore, ObjectStore, StoreError};
use rf_traffic::StrikeTable;
use rf_transport::timer::timeout;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Instant;
use tracing::{debug, warn};

/// Interval between two [`Event::Tick`]s.
const TICK: Millis = Millis(100);
/// Idle time after which a connection to a daemon or backend server is closed, and the interval at
/// which this is checked. Shorter than the idle timeout of the daemons' listeners.
const MAX_IDLE_TIME: Millis = Millis::from_secs(30);
/// Maximum number of events that wait for the control thread.
pub const EVENT_QUEUE_CAPACITY: usize = 16_384;

/// Channels to the requests that wait for an answer of the control thread.
#[derive(Debug, Default)]
pub struct PendingRequests {
    next_id: AtomicU64,
    peers: Mutex<BTreeMap<RequestId, Sender<Reply>>>,
    operators: Mutex<BTreeMap<RequestId, Sender<OperatorResult>>>,
}

impl PendingRequests {
    fn new_id(&self) -> RequestId {
        RequestId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }
}

/// Handle for sending events and requests to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: Sender<Event>,
    pending: Arc<PendingRequests>,
}

impl ControlHandle {
    /// Creates a handle that sends to `events`.
    pub fn new(events: Sender<Event>) -> ControlHandle {
        ControlHandle {
            events,
            pending: Arc::default(),
        }
    }

    /// Sends an event that needs no answer, and waits while the queue is full.
    ///
    /// The event is dropped if the control thread has ended.
    pub async fn send(&self, event: Event) {
        self.events.send(event).await.ok();
    }

    /// Submits a request of another daemon and waits for the reply; returns `None` if the request
    /// is dropped unanswered.
    pub async fn submit_peer_request(&self, request: rf_protocol::Request) -> Option<Reply> {
        let id = self.pending.new_id();
        let (sender, receiver) = bounded(1);
        lock(&self.pending.peers).insert(id, sender);
        self.send(Event::PeerRequest(id, request)).await;
        receiver.recv().await.ok()
    }

    /// Submits a request of an operator and waits for the result; returns `None` if the request is
    /// dropped unanswered.
    pub async fn submit_operator_request(
        &self,
        request: OperatorRequest,
    ) -> Option<OperatorResult> {
        let id = self.pending.new_id();
        let (sender, receiver) = bounded(1);
        lock(&self.pending.operators).insert(id, sender);
        self.send(Event::Operator(id, request)).await;
        receiver.recv().await.ok()
    }
}

/// Runs the control machine and executes its actions.
pub struct Driver {
    shared: Arc<Shared>,
    handle: ControlHandle,
    store: Arc<HttpStore>,
    keys: Arc<PlatformKeys>,
}

/// Keys of the mesh's objects in the platform.
#[derive(Debug)]
struct PlatformKeys {
    config: String,
    watch: String,
    moves: String,
    plans: String,
}

impl PlatformKeys {
    fn lease(&self, kind: LeaseKind) -> &str {
        match kind {
            LeaseKind::Watch => &self.watch,
            LeaseKind::Moves => &self.moves,
        }
    }
}

impl Driver {
    /// Creates the driver of a daemon; `handle` receives the results of actions.
    pub fn new(shared: Arc<Shared>, handle: ControlHandle) -> Driver {
        let settings = &shared.settings;
        let mesh = &settings.mesh;
        let store = HttpStore::new(settings.platform, settings.control.platform_timeout);
        let keys = PlatformKeys {
            config: format!("{mesh}/config"),
            watch: format!("{mesh}/leases/watch-{}", settings.zone),
            moves: format!("{mesh}/leases/moves"),
            plans: format!("{mesh}/plans"),
        };
        Driver {
            store: Arc::new(store),
            keys: Arc::new(keys),
            shared,
            handle,
        }
    }

    /// Runs the control machine on its own thread until `events` is closed.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread cannot be started.
    pub fn spawn(self, control: Control, events: Receiver<Event>) -> std::io::Result<()> {
        let builder = thread::Builder::new().name("control".to_owned());
        builder.spawn(move || self.run(control, &events))?;
        Ok(())
    }

    fn run(&self, mut control: Control, events: &Receiver<Event>) {
        let mut next_tick = Instant::now();
        let mut next_prune = self.shared.now() + MAX_IDLE_TIME;
        loop {
            let left = next_tick.saturating_duration_since(Instant::now());
            let wait = Millis(left.as_millis() as u64);
            let event = match block_on(timeout(wait, events.recv())) {
                Ok(Ok(event)) => event,
                Ok(Err(_)) => return,
                Err(_) => {
                    next_tick = Instant::now() + TICK.duration();
                    Event::Tick {
                        running: self.shared.gate.in_flight(),
                    }
                }
            };
            let is_stop = event == Event::Stop;
            let start = Instant::now();
            let now = self.shared.now();
            for action in control.handle(now, event) {
                self.execute(&control, action);
            }
            if is_stop {
                for call in control.release_leases(now) {
                    self.call_platform(call);
                }
            }
            if now >= next_prune {
                next_prune = now + MAX_IDLE_TIME;
                self.shared.relay_client.prune(MAX_IDLE_TIME);
                self.shared.backend_client.prune(MAX_IDLE_TIME);
            }
            let busy = start.elapsed().as_micros() as u64;
            self.shared.metrics.control_busy.inc_by(busy);
        }
    }

    fn execute(&self, control: &Control, action: Action) {
        match action {
            Action::SendPeer(target, request) => self.send_peer(target, request),
            Action::AnswerPeer(id, reply) => {
                if let Some(sender) = lock(&self.handle.pending.peers).remove(&id) {
                    sender.try_send(reply).ok();
                }
            }
            Action::AnswerOperator(id, result) => {
                if let Some(sender) = lock(&self.handle.pending.operators).remove(&id) {
                    sender.try_send(result).ok();
                }
            }
            Action::CallPlatform(call) => self.call_platform(call),
            Action::PublishTable(table) => self.publish_table(control, table),
            Action::PublishGate(state) => self.shared.gate.set_state(state),
            Action::PublishStrikes(strikes) => {
                let mut table = StrikeTable::default();
                let now = self.shared.now();
                for strike in &strikes {
                    table.merge(now, strike);
                }
                self.shared.strikes.store(Arc::new(table));
            }
        }
    }

    fn publish_table(&self, control: &Control, table: Arc<rf_traffic::RoutingTable>) {
        let before = self.shared.table.load().counter;
        self.shared
            .check(table.counter >= before, "configuration-goes-back");
        self.shared
            .check(table.verify().is_ok(), "route-without-service");
        let known: BTreeSet<_> = table.holders.iter().map(|h| h.instance).collect();
        self.shared.balancer().retain(&known);
        let metrics = &self.shared.metrics;
        if table.counter != before {
            metrics.config_counter.set(table.counter.0 as i64);
            metrics.config_time.set(self.shared.now().0 as i64);
        }
        let daemons = control.count_daemons();
        let reachable = metrics.daemons.with_label_values(&["reachable"]);
        reachable.set(daemons.reachable as i64);
        let unreachable = metrics.daemons.with_label_values(&["unreachable"]);
        unreachable.set(daemons.unreachable as i64);
        self.shared.table.store(table);
    }

    fn send_peer(&self, target: ExchangeTarget, request: rf_protocol::Request) {
        let kind = MessageKind::of(&request);
        let labels = [message_label(kind)];
        let messages = &self.shared.metrics.peer_messages;
        messages.with_label_values(&labels).inc();
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        task::spawn(async move {
            let reply = send_request(&shared, target, &request).await;
            handle.send(Event::PeerReply(target, kind, reply)).await;
        });
    }

    fn call_platform(&self, call: PlatformCall) {
        let metrics = &self.shared.metrics.platform_calls;
        metrics.with_label_values(&[platform_label(&call)]).inc();
        let store = self.store.clone();
        let keys = self.keys.clone();
        let handle = self.handle.clone();
        let watch = self.shared.settings.control.watch;
        task::spawn(async move {
            let answer = call_store(&store, &keys, watch, call).await;
            handle.send(Event::Platform(answer)).await;
        });
    }
}

async fn call_store(
    store: &HttpStore,
    keys: &PlatformKeys,
    watch: Millis,
    call: PlatformCall,
) -> PlatformAnswer {
    match call {
        PlatformCall::Read => PlatformAnswer::Read(store.get(&keys.config).await),
        PlatformCall::Watch(after) => {
            PlatformAnswer::Watch(store.watch(&keys.config, after, watch).await)
        }
        PlatformCall::LeaseGet(kind) => {
            PlatformAnswer::LeaseGet(kind, store.get(keys.lease(kind)).await)
        }
        PlatformCall::LeasePut(kind, record, version) => {
            let result = match encode(&record) {
                Ok(bytes) => store.put(keys.lease(kind), bytes, version).await,
                Err(error) => Err(error),
            };
            PlatformAnswer::LeasePut(kind, result)
        }
        PlatformCall::WriterGet => PlatformAnswer::WriterGet(store.get(&keys.config).await),
        PlatformCall::WriterPut(config, version) => {
            let result = match encode(&config) {
                Ok(bytes) => store.put(&keys.config, bytes, version).await,
                Err(error) => Err(error),
            };
            PlatformAnswer::WriterPut(result)
        }
        PlatformCall::PlanPut(request_id, plan) => {
            let key = format!("{}/{}", keys.plans, plan.id);
            let result = match encode(&plan) {
                Ok(bytes) => store.put(&key, bytes, Default::default()).await,
                Err(error) => Err(error),
            };
            PlatformAnswer::PlanPut(request_id, plan, result)
        }
        PlatformCall::PlanGet(request_id, id) => {
            let key = format!("{}/{id}", keys.plans);
            PlatformAnswer::PlanGet(request_id, id, store.get(&key).await)
        }
        PlatformCall::PlanDelete(id) => {
            let key = format!("{}/{id}", keys.plans);
            store.delete(&key).await.ok();
            PlatformAnswer::PlanDelete
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let bytes = serde_json::to_vec(value).map_err(|e| StoreError::Unavailable {
        message: e.to_string(),
    })?;
    match bytes.len() > rf_config::verify::MAX_DOCUMENT_BYTES {
        true => Err(StoreError::Unavailable {
            message: format!("object of {} bytes is too large", bytes.len()),
        }),
        false => Ok(bytes),
    }
}

async fn send_request(
    shared: &Shared,
    target: ExchangeTarget,
    request: &rf_protocol::Request,
) -> Option<Reply> {
    let bytes = match seal(&shared.key, request) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(%error, "cannot encode a message to another daemon");
            return None;
        }
    };
    let url = Url::parse(&format!("http://{}/", target.address)).ok()?;
    let mut http = Request::new(Method::Post, url);
    let peer_bytes = &shared.metrics.peer_bytes;
    peer_bytes
        .with_label_values(&["sent"])
        .inc_by(bytes.len() as u64);
    http.set_body(bytes);
    let limit = shared.settings.control.peer_timeout;
    let relay_client = &shared.relay_client;
    let reply = relay_client.send(target.address, http, limit, MAX_MESSAGE_BYTES);
    let reply = reply
        .await
        .inspect_err(|error| debug!(%error, "request to another daemon failed"))
        .ok()?;
    peer_bytes
        .with_label_values(&["received"])
        .inc_by(reply.body.len() as u64);
    match open(&shared.key, &reply.body) {
        Ok(reply) => Some(reply),
        Err(error) => {
            let refusals = &shared.metrics.peer_refusals;
            refusals.with_label_values(&["reply"]).inc();
            debug!(%error, "reply of another daemon is not valid");
            None
        }
    }
}

fn message_label(kind: MessageKind) -> &'static str {
    match kind {
        MessageKind::Exchange => "exchange",
        MessageKind::Deliver => "deliver",
        MessageKind::Fetch => "fetch",
        MessageKind::Evidence => "evidence",
    }
}

fn platform_label(call: &PlatformCall) -> &'static str {
    match call {
        PlatformCall::Read => "read",
        PlatformCall::Watch(_) => "watch",
        PlatformCall::LeaseGet(_) => "lease-get",
        PlatformCall::LeasePut(..) => "lease-put",
        PlatformCall::WriterGet => "config-get",
        PlatformCall::WriterPut(..) => "config-put",
        PlatformCall::PlanPut(..) => "plan-put",
        PlatformCall::PlanGet(..) => "plan-get",
        PlatformCall::PlanDelete(_) => "plan-delete",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
