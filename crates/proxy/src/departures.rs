//! Copies of the local backend server's departure outside this process.
//!
//! A departure that is acknowledged must hold for longer than this process, which keeps nothing over
//! a restart. Before the acknowledgement, the store records it, and some other proxies remember it.
//! Either may be out of reach, so one kind of copy is enough once the other has not been made in
//! time. Without any copy the departure is not acknowledged, and the backend server repeats it.
//!
//! A restarted proxy uses no backend server before the store or another proxy has said which
//! process has left.

use crate::dialect::Dialect;
use crate::local;
use crate::relay;
use crate::shared::Shared;
use crate::source::{ProxyEntry, Result, Source, SourceError};
use async_channel::{Receiver, Sender, bounded, unbounded};
use async_std::future::timeout;
use async_std::task;
use rf_base::{InstanceId, Millis};
use rf_protocol::Departure;
use rf_protocol::relay::{RelayReply, RelayRequest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tracing::{info, warn};

/// Number of other proxies that are asked in this availability zone, and in others.
const ASKED_PER_SIDE: usize = 2;
/// Number of other proxies whose copies are enough without one in the store.
const MIN_PROXIES: usize = 2;
/// Time for which copies of both kinds are waited for.
const SETTLE_TIME: Millis = Millis(400);
/// Time for which any copy is waited for. The platform counts an acknowledgement within a second.
const MAX_WAIT: Millis = Millis(850);
/// Maximum number of departures that wait for their copies to be begun.
const QUEUE: usize = 64;
/// First pause before a failed write to the store is repeated; it doubles each time.
const RETRY_PAUSE: Millis = Millis(200);
/// Number of attempts to write to the store.
const MAX_WRITES: u32 = 8;
/// Interval at which the store is read after a start, until it answers.
const READ_INTERVAL: Millis = Millis(250);
/// Time after a start for which the backend server is not used while neither the store nor another
/// proxy has answered.
const MAX_HOLD: Millis = Millis(3000);

/// Departure that is to be copied.
#[derive(Debug)]
struct Job {
    departure: Departure,
    /// Receives whether there are copies.
    done: Sender<bool>,
}

/// Queue of departures that are to be copied, and those that have been.
#[derive(Debug)]
pub struct Departures {
    jobs: Sender<Job>,
    inbox: Receiver<Job>,
    /// Process and latest start time of departures that have copies.
    copied: Mutex<BTreeSet<(u64, u64)>>,
}

impl Default for Departures {
    fn default() -> Self {
        let (jobs, inbox) = bounded(QUEUE);
        Departures {
            jobs,
            inbox,
            copied: Mutex::default(),
        }
    }
}

impl Departures {
    /// Copies a departure; returns whether there are copies that outlast this process.
    pub async fn copy(&self, departure: Departure) -> bool {
        if self.is_copied(&departure) {
            return true;
        }
        match self.enqueue(departure) {
            Some(done) => done.recv().await.unwrap_or(false),
            None => false,
        }
    }

    /// Copies a departure that nobody waits for.
    pub fn copy_later(&self, departure: Departure) {
        if !self.is_copied(&departure) {
            self.enqueue(departure);
        }
    }

    fn enqueue(&self, departure: Departure) -> Option<Receiver<bool>> {
        let (done, result) = bounded(1);
        let process = departure.process;
        match self.jobs.try_send(Job { departure, done }) {
            Ok(()) => Some(result),
            Err(_) => {
                warn!(event = "departure.dropped", process);
                None
            }
        }
    }

    fn is_copied(&self, departure: &Departure) -> bool {
        let copied = self.copied.lock().unwrap_or_else(PoisonError::into_inner);
        copied.contains(&(departure.process, departure.started_ms))
    }

    fn mark_copied(&self, departure: &Departure) {
        let mut copied = self.copied.lock().unwrap_or_else(PoisonError::into_inner);
        copied.insert((departure.process, departure.started_ms));
    }
}

/// A copy that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copy {
    Store,
    Proxy,
}

/// Copies made so far.
#[derive(Clone, Copy, Debug, Default)]
struct Made {
    in_store: bool,
    proxies: usize,
}

impl Made {
    fn add(&mut self, copy: Copy) {
        match copy {
            Copy::Store => self.in_store = true,
            Copy::Proxy => self.proxies += 1,
        }
    }

    /// Returns whether the copies are enough; `others` is the number of other proxies.
    fn is_enough(self, others: usize) -> bool {
        self.in_store || (others > 0 && self.proxies >= MIN_PROXIES.min(others))
    }

    fn is_complete(self, others: usize) -> bool {
        self.in_store && self.proxies >= MIN_PROXIES.min(others)
    }
}

/// Copies departures until the task is dropped.
pub async fn serve<D: Dialect, S: Source>(shared: Arc<Shared<D>>, source: S, entry: ProxyEntry) {
    while let Ok(job) = shared.departures.inbox.recv().await {
        let (shared, source, entry) = (shared.clone(), source.clone(), entry.clone());
        task::spawn(async move {
            let is_copied = copy(&shared, source, entry, job.departure).await;
            job.done.try_send(is_copied).ok();
        });
    }
}

async fn copy<D: Dialect, S: Source>(
    shared: &Arc<Shared<D>>,
    source: S,
    entry: ProxyEntry,
    departure: Departure,
) -> bool {
    let start = shared.now();
    let (copies, inbox) = unbounded();
    task::spawn(record(
        shared.clone(),
        source,
        entry,
        departure,
        copies.clone(),
    ));
    let others = shared.view.load().peers.len().saturating_sub(1);
    for address in choose_proxies(shared) {
        task::spawn(tell(shared.clone(), address, departure, copies.clone()));
    }
    drop(copies);
    let mut made = Made::default();
    while !made.is_complete(others) {
        let limit = match made.is_enough(others) {
            true => SETTLE_TIME,
            false => MAX_WAIT,
        };
        let left = limit.since(shared.now().since(start));
        match timeout(left.duration(), inbox.recv()).await {
            Ok(Ok(copy)) => made.add(copy),
            _ => break,
        }
    }
    let is_copied = made.is_enough(others);
    let (process, store, proxies) = (departure.process, made.in_store, made.proxies);
    let took = shared.now().since(start).0;
    match is_copied {
        true => {
            shared.departures.mark_copied(&departure);
            info!(event = "departure.copied", process, store, proxies, took);
        }
        false => warn!(
            event = "departure.not-copied",
            process, proxies, others, took
        ),
    }
    is_copied
}

/// Chooses the proxies that are asked to remember a departure, some of them in other availability
/// zones if there are any.
fn choose_proxies<D>(shared: &Shared<D>) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let others = view
        .peers
        .iter()
        .filter(|(id, _)| **id != shared.instance_id);
    let (mut near, mut far): (Vec<_>, Vec<_>) = others
        .map(|(_, address)| *address)
        .partition(|address| view.zone_peers.contains(address));
    let mut chosen = take_random(shared, &mut near, ASKED_PER_SIDE);
    chosen.extend(take_random(shared, &mut far, ASKED_PER_SIDE));
    let missing = (2 * ASKED_PER_SIDE).saturating_sub(chosen.len());
    near.append(&mut far);
    chosen.extend(take_random(shared, &mut near, missing));
    chosen
}

fn take_random<D>(
    shared: &Shared<D>,
    addresses: &mut Vec<SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let count = count.min(addresses.len());
    let mut take = |_| addresses.swap_remove(shared.random_below(addresses.len()));
    (0..count).map(&mut take).collect()
}

async fn tell<D: Dialect>(
    shared: Arc<Shared<D>>,
    address: SocketAddr,
    departure: Departure,
    copies: Sender<Copy>,
) {
    let request = RelayRequest::Departure(shared.instance_id, departure);
    let sending = relay::send(&shared, address, &request);
    let result = match timeout(MAX_WAIT.duration(), sending).await {
        Ok(Ok((RelayReply::Done, _))) => {
            copies.try_send(Copy::Proxy).ok();
            "answered"
        }
        Ok(_) => "failed",
        Err(_) => {
            shared.peer_pool.evict(address);
            "failed"
        }
    };
    let messages = &shared.metrics.messages;
    messages.with_label_values(&["departure", result]).inc();
}

/// Writes a departure to the store. Goes on trying after the acknowledgement was sent or refused.
async fn record<D: Dialect, S: Source>(
    shared: Arc<Shared<D>>,
    source: S,
    entry: ProxyEntry,
    departure: Departure,
    copies: Sender<Copy>,
) {
    let mut pause = RETRY_PAUSE;
    for _ in 0..MAX_WRITES {
        let written = write(&source, &entry, &departure).await;
        count_call(&shared, "record-departure", &written);
        if written.is_ok() {
            copies.try_send(Copy::Store).ok();
            return;
        }
        task::sleep((pause + shared.jitter(pause)).duration()).await;
        pause = pause + pause;
        let last = shared.local_server().departed();
        if last.is_some_and(|d| d.process != departure.process) {
            return;
        }
    }
}

/// Writes a departure to this proxy's entry, and the entry first if the store does not have it.
pub async fn write<S: Source>(source: &S, entry: &ProxyEntry, departure: &Departure) -> Result<()> {
    match source.record_departure(entry.instance, departure).await {
        Err(SourceError::NotFound) => {
            source.register(entry, false).await?;
            source.record_departure(entry.instance, departure).await
        }
        result => result,
    }
}

/// Applies the departure that the store has recorded, as read at the start of the process. Unless the
/// store answered, the backend server is not used, and the store is read again in the background.
pub fn start<D: Dialect, S: Source>(
    shared: &Arc<Shared<D>>,
    source: S,
    read: Result<Option<Departure>>,
) {
    match read {
        Ok(Some(departure)) => local::adopt_departure(shared, &departure, "store"),
        Ok(None) => {}
        Err(error) => {
            warn!(event = "departures.unknown", %error);
            shared.local_server().hold();
            task::spawn(read_again(shared.clone(), source, shared.instance_id));
            let shared = shared.clone();
            task::spawn(async move {
                task::sleep(MAX_HOLD.duration()).await;
                local::confirm_departures(&shared, "nobody");
            });
        }
    }
}

async fn read_again<D: Dialect, S: Source>(
    shared: Arc<Shared<D>>,
    source: S,
    instance: InstanceId,
) {
    loop {
        task::sleep(READ_INTERVAL.duration()).await;
        let read = source.departure(instance).await;
        count_call(&shared, "read-departure", &read);
        match read {
            Ok(departure) => {
                if let Some(departure) = departure {
                    local::adopt_departure(&shared, &departure, "store");
                }
                return local::confirm_departures(&shared, "store");
            }
            Err(_) => task::sleep(shared.jitter(READ_INTERVAL).duration()).await,
        }
    }
}

fn count_call<D, T>(shared: &Shared<D>, kind: &str, result: &Result<T>) {
    let label = if result.is_ok() { "done" } else { "failed" };
    let calls = &shared.metrics.store_calls;
    calls.with_label_values(&[kind, label]).inc();
}
