//! Follows the store.
//!
//! One task for each topic reads it whole, then waits for changes; where the history is gone, or
//! the store was away, it reads again. Another task writes this proxy's entry and reads those of
//! the others. A store that came back from a copy is read afresh, and the entry is written again.

use super::event::Event;
use crate::shared::Shared;
use crate::source::{ProxyEntry, Result, Revision, Snapshot, Source, SourceError, Topic};
use async_channel::Sender;
use async_std::task;
use rf_base::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{info, warn};

/// Longest wait of one watch.
const WATCH_TIME: Millis = Millis(4000);
/// Time between two looks whether a topic is this proxy's to follow.
const DUTY_CHECK: Millis = Millis(250);
/// The same while no route table is known.
const EARLY_DUTY_CHECK: Millis = Millis(25);
/// Pause after a change, so that changes in quick succession are read together.
const COALESCE: Millis = Millis(150);
/// First pause after a failed call.
const MIN_PAUSE: Millis = Millis(150);
/// Longest pause after a failed call.
const MAX_PAUSE: Millis = Millis(1200);
/// Pause before the entries are read again while few proxies are known.
const ENTRIES_PAUSE: Millis = Millis(1500);
/// Time over which proxies write their entries again after the store came back from a copy.
const REWRITE_SPREAD: Millis = Millis(1000);
/// Entries read at the start below which they are read once more.
const FEW_ENTRIES: usize = 8;

/// Whether the store answers, as seen by all tasks.
#[derive(Debug, Default)]
pub struct StoreHealth {
    is_lost: AtomicBool,
}

impl StoreHealth {
    /// Takes in a result, and logs a change.
    fn observe<T>(&self, result: &Result<T>) {
        let is_lost = matches!(
            result,
            Err(SourceError::Refused { .. }
                | SourceError::Lost { .. }
                | SourceError::Malformed { .. })
        );
        if self.is_lost.swap(is_lost, Ordering::Relaxed) == is_lost {
            return;
        }
        match result {
            Err(error) if is_lost => warn!(event = "store.lost", %error),
            _ => info!(event = "store.regained"),
        }
    }
}

/// Grows after each failure and shrinks back after a success.
#[derive(Debug)]
struct Backoff {
    pause: Millis,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { pause: MIN_PAUSE }
    }

    fn reset(&mut self) {
        self.pause = MIN_PAUSE;
    }

    /// Waits half of the pause and a random part of the other half.
    async fn wait<D>(&mut self, shared: &Shared<D>) {
        let half = Millis(self.pause.0 / 2);
        let pause = half + shared.jitter(half);
        self.pause = Millis((self.pause.0 * 2).min(MAX_PAUSE.0));
        task::sleep(pause.duration()).await;
    }
}

/// Follows the store for one process.
#[derive(Debug)]
pub struct StoreSync<D, S> {
    shared: Arc<Shared<D>>,
    source: S,
    events: Sender<Event>,
    health: StoreHealth,
}

impl<D: Send + std::marker::Sync + 'static, S: Source> StoreSync<D, S> {
    /// Starts the tasks; `known` are the entries that were read at the start.
    pub fn start(
        shared: Arc<Shared<D>>,
        source: S,
        events: Sender<Event>,
        entry: ProxyEntry,
        known: Vec<ProxyEntry>,
    ) {
        let sync = Arc::new(StoreSync {
            shared,
            source,
            events,
            health: StoreHealth::default(),
        });
        for topic in [Topic::Table, Topic::Rollouts] {
            let sync = sync.clone();
            task::spawn(async move { sync.follow(topic).await });
        }
        task::spawn(async move { sync.meet(&entry, known).await });
    }

    async fn follow(&self, topic: Topic) {
        let mut backoff = Backoff::new();
        loop {
            while !self.shared.followed_topics.is_followed(topic) {
                self.pause_for_duty().await;
            }
            let read = self.source.read(topic).await;
            self.observe(topic, "read", &read);
            match read {
                Ok(snapshot) => {
                    backoff.reset();
                    let revision = snapshot.revision;
                    self.tell(snapshot).await;
                    self.watch(topic, revision).await;
                }
                Err(_) => backoff.wait(&self.shared).await,
            }
        }
    }

    /// Waits until the next look at the duties; short while this proxy cannot serve yet.
    async fn pause_for_duty(&self) {
        let pause = match self.shared.view.load().is_known() {
            true => DUTY_CHECK,
            false => EARLY_DUTY_CHECK,
        };
        task::sleep(pause.duration()).await;
    }

    /// Watches until a watch fails, or the topic is left to others.
    async fn watch(&self, topic: Topic, mut revision: Revision) {
        let mut backoff = Backoff::new();
        while self.shared.followed_topics.is_followed(topic) {
            let watched = self.source.watch(topic, revision, WATCH_TIME).await;
            self.observe(topic, "watch", &watched);
            match watched {
                Ok(snapshot) => {
                    backoff.reset();
                    let is_changed = snapshot.table.is_some() || !snapshot.rollouts.is_empty();
                    revision = snapshot.revision.max(revision);
                    self.tell(snapshot).await;
                    if is_changed {
                        task::sleep(COALESCE.duration()).await;
                    }
                }
                Err(_) => {
                    backoff.wait(&self.shared).await;
                    return;
                }
            }
        }
    }

    async fn tell(&self, snapshot: Snapshot) {
        let event = Event::SnapshotRead(Box::new(snapshot));
        self.events.send(event).await.ok();
    }

    fn observe<T>(&self, topic: Topic, call: &str, result: &Result<T>) {
        let kind = match topic {
            Topic::Table => format!("{call}-table"),
            Topic::Rollouts => format!("{call}-rollouts"),
        };
        self.count(&kind, result);
    }

    fn count<T>(&self, kind: &str, result: &Result<T>) {
        let label = match result {
            Ok(_) => "done",
            Err(SourceError::HistoryGone) => "history-gone",
            Err(SourceError::Restored) => "restored",
            Err(_) => "failed",
        };
        let calls = &self.shared.metrics.store_calls;
        calls.with_label_values(&[kind, label]).inc();
        self.health.observe(result);
        if result.is_ok() {
            self.shared
                .send_event(Event::StoreAnswered(self.source.era()));
        }
    }

    /// Makes this proxy known to the others, writes its entry, and reads theirs while it knows few.
    async fn meet(&self, entry: &ProxyEntry, known: Vec<ProxyEntry>) {
        let is_recorded = known.iter().any(|e| e.instance == entry.instance);
        // Proxies that start together read before the others have written.
        let mut is_sparse = known.len() < FEW_ENTRIES;
        self.events.send(Event::EntriesRead(known)).await.ok();
        let mut era = self.register(entry, is_recorded).await;
        loop {
            let newest = self.shared.store_era.load(Ordering::Relaxed);
            if newest > era {
                task::sleep(self.shared.jitter(REWRITE_SPREAD).duration()).await;
                era = self.register(entry, true).await.max(newest);
                info!(event = "entry.rewritten", era);
            }
            let is_alone = self.shared.view.load().proxies <= 1;
            if is_sparse || is_alone {
                let entries = self.source.entries().await;
                self.count("entries", &entries);
                if let Ok(entries) = entries {
                    is_sparse = false;
                    self.events.send(Event::EntriesRead(entries)).await.ok();
                }
            }
            task::sleep(ENTRIES_PAUSE.duration()).await;
        }
    }

    /// Writes this proxy's entry until the store has it; returns the era of the store.
    async fn register(&self, entry: &ProxyEntry, is_recorded: bool) -> u64 {
        let mut backoff = Backoff::new();
        loop {
            let registered = self.source.register(entry, is_recorded).await;
            self.count("register", &registered);
            match registered {
                Ok(()) => return self.source.era(),
                Err(_) => backoff.wait(&self.shared).await,
            }
        }
    }
}
