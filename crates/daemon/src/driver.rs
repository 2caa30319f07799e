//! The control thread and what carries its actions out.
//!
//! One thread owns the [`Control`] machine and takes events from a bounded channel. Actions that
//! wait for somebody become tasks on the traffic threads and send their outcome back as events, so
//! the control thread itself never waits for the network.

use crate::control::event::{LeaseKind, OperatorResult, PeerCall, PlatformAnswer, PlatformCall};
use crate::control::{Action, Control, Event, OperatorRequest, Requester};
use crate::traffic::Shared;
use async_channel::{Receiver, Sender, bounded};
use async_std::task;
use futures_lite::future::block_on;
use http_types::{Method, Request, Url};
use rf_base::Millis;
use rf_membership::Target;
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

/// Time between two ticks.
const TICK: Millis = Millis(100);
/// Time for which an idle connection is kept; shorter than listeners keep theirs.
const IDLE_AGE: Millis = Millis::from_secs(30);
/// Events that may wait for the control thread.
pub const EVENT_QUEUE: usize = 16_384;

/// Requests that wait for the control thread.
#[derive(Debug, Default)]
pub struct Desk {
    next: AtomicU64,
    peers: Mutex<BTreeMap<Requester, Sender<Reply>>>,
    operators: Mutex<BTreeMap<Requester, Sender<OperatorResult>>>,
}

impl Desk {
    fn ticket(&self) -> Requester {
        Requester(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// Handle to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: Sender<Event>,
    desk: Arc<Desk>,
}

impl ControlHandle {
    /// Makes a handle that sends to `events`.
    pub fn new(events: Sender<Event>) -> ControlHandle {
        ControlHandle {
            events,
            desk: Arc::default(),
        }
    }

    /// Sends an event that needs no answer.
    pub async fn send(&self, event: Event) {
        self.events.send(event).await.ok();
    }

    /// Asks on behalf of another daemon; `None` where the control thread is gone.
    pub async fn ask_peer(&self, request: rf_protocol::Request) -> Option<Reply> {
        let ticket = self.desk.ticket();
        let (sender, receiver) = bounded(1);
        lock(&self.desk.peers).insert(ticket, sender);
        self.send(Event::PeerRequest(ticket, request)).await;
        receiver.recv().await.ok()
    }

    /// Asks on behalf of an operator; `None` where the control thread is gone.
    pub async fn ask_operator(&self, request: OperatorRequest) -> Option<OperatorResult> {
        let ticket = self.desk.ticket();
        let (sender, receiver) = bounded(1);
        lock(&self.desk.operators).insert(ticket, sender);
        self.send(Event::Operator(ticket, request)).await;
        receiver.recv().await.ok()
    }
}

/// Carries actions out.
pub struct Driver {
    shared: Arc<Shared>,
    handle: ControlHandle,
    store: Arc<HttpStore>,
    keys: Arc<PlatformKeys>,
}

/// Keys of the platform's objects.
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
    /// Makes the driver of a daemon.
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

    /// Runs the control machine on a thread of its own until the channel closes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system where no thread can be started.
    pub fn spawn(self, control: Control, events: Receiver<Event>) -> std::io::Result<()> {
        let builder = thread::Builder::new().name("control".to_owned());
        builder.spawn(move || self.run(control, &events))?;
        Ok(())
    }

    fn run(&self, mut control: Control, events: &Receiver<Event>) {
        let mut next_tick = Instant::now();
        let mut next_prune = self.shared.now() + IDLE_AGE;
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
                self.carry_out(&control, action);
            }
            if is_stop {
                for call in control.release_leases(now) {
                    self.call_platform(call);
                }
            }
            if now >= next_prune {
                next_prune = now + IDLE_AGE;
                self.shared.relay_client.prune(IDLE_AGE);
                self.shared.backend_client.prune(IDLE_AGE);
            }
            let busy = start.elapsed().as_micros() as u64;
            self.shared.metrics.control_busy.inc_by(busy);
        }
    }

    fn carry_out(&self, control: &Control, action: Action) {
        match action {
            Action::SendPeer(target, request) => self.send_peer(target, request),
            Action::AnswerPeer(ticket, reply) => {
                if let Some(sender) = lock(&self.handle.desk.peers).remove(&ticket) {
                    sender.try_send(reply).ok();
                }
            }
            Action::AnswerOperator(ticket, result) => {
                if let Some(sender) = lock(&self.handle.desk.operators).remove(&ticket) {
                    sender.try_send(result).ok();
                }
            }
            Action::Platform(call) => self.call_platform(call),
            Action::Publish(table) => self.publish(control, table),
            Action::Gate(state) => self.shared.gate.set_state(state),
            Action::Strikes(strikes) => {
                let mut book = StrikeTable::default();
                let now = self.shared.now();
                for strike in &strikes {
                    book.merge(now, strike);
                }
                self.shared.strikes.store(Arc::new(book));
            }
        }
    }

    fn publish(&self, control: &Control, table: Arc<rf_traffic::RoutingTable>) {
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

    fn send_peer(&self, target: Target, request: rf_protocol::Request) {
        let call = PeerCall::of(&request);
        let labels = [label_of(call)];
        let messages = &self.shared.metrics.peer_messages;
        messages.with_label_values(&labels).inc();
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        task::spawn(async move {
            let reply = send_request(&shared, target, &request).await;
            handle.send(Event::PeerReply(target, call, reply)).await;
        });
    }

    fn call_platform(&self, call: PlatformCall) {
        let metrics = &self.shared.metrics.platform_calls;
        metrics.with_label_values(&[name_of(&call)]).inc();
        let store = self.store.clone();
        let keys = self.keys.clone();
        let handle = self.handle.clone();
        let watch = self.shared.settings.control.watch;
        task::spawn(async move {
            let answer = perform(&store, &keys, watch, call).await;
            handle.send(Event::Platform(answer)).await;
        });
    }
}

async fn perform(
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
        PlatformCall::PlanPut(from, plan) => {
            let key = format!("{}/{}", keys.plans, plan.id);
            let result = match encode(&plan) {
                Ok(bytes) => store.put(&key, bytes, Default::default()).await,
                Err(error) => Err(error),
            };
            PlatformAnswer::PlanPut(from, plan, result)
        }
        PlatformCall::PlanGet(from, id) => {
            let key = format!("{}/{id}", keys.plans);
            PlatformAnswer::PlanGet(from, id, store.get(&key).await)
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
    target: Target,
    request: &rf_protocol::Request,
) -> Option<Reply> {
    let bytes = match seal(&shared.key, request) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(%error, "message not sent");
            return None;
        }
    };
    let url = Url::parse(&format!("http://{}/", target.address)).ok()?;
    let mut http = Request::new(Method::Post, url);
    let traffic = &shared.metrics.peer_bytes;
    traffic
        .with_label_values(&["sent"])
        .inc_by(bytes.len() as u64);
    http.set_body(bytes);
    let limit = shared.settings.control.peer_timeout;
    let relays = &shared.relay_client;
    let sent = relays.send(target.address, http, limit, MAX_MESSAGE_BYTES);
    let sent = sent
        .await
        .inspect_err(|error| debug!(%error, "daemon does not answer"))
        .ok()?;
    traffic
        .with_label_values(&["received"])
        .inc_by(sent.body.len() as u64);
    match open(&shared.key, &sent.body) {
        Ok(reply) => Some(reply),
        Err(error) => {
            let refusals = &shared.metrics.peer_refusals;
            refusals.with_label_values(&["reply"]).inc();
            debug!(%error, "answer of a daemon refused");
            None
        }
    }
}

fn label_of(call: PeerCall) -> &'static str {
    match call {
        PeerCall::Exchange => "exchange",
        PeerCall::Deliver => "deliver",
        PeerCall::Fetch => "fetch",
        PeerCall::Evidence => "evidence",
    }
}

fn name_of(call: &PlatformCall) -> &'static str {
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
