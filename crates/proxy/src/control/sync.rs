//! Synchronisation with the store.
//!
//! One task for each topic reads it completely and then watches it for changes. It reads again if
//! the store no longer keeps the history, or was unavailable. Another task writes this proxy's
//! entry and reads the entries of the others. After the store was restored from a backup, the
//! topics are read again and the entry is written again.

use super::event::Event;
use crate::departures;
use crate::shared::Shared;
use crate::source::{
    ProxyEntries, ProxyEntry, Result, Revision, Snapshot, Source, SourceError, Topic,
};
use async_channel::Sender;
use async_std::task;
use rf_base::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{info, warn};

/// Timeout of a watch call.
const WATCH_TIMEOUT: Millis = Millis(4000);
/// Interval at which a task checks whether this proxy follows its topic.
const TOPIC_CHECK_INTERVAL: Millis = Millis(250);
/// The same interval while no route table is known.
const EARLY_TOPIC_CHECK_INTERVAL: Millis = Millis(25);
/// Pause after a change, so that changes in quick succession are read with one call.
const COALESCE_TIME: Millis = Millis(150);
/// Initial backoff after a failed call.
const MIN_BACKOFF: Millis = Millis(150);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Millis = Millis(1200);
/// Interval at which the entries are read again while few proxies are known, and at which a new era
/// of the store is checked for.
const ENTRIES_INTERVAL: Millis = Millis(1500);
/// Time over which the proxies spread the rewriting of their entries after the store was restored
/// from a backup.
const REWRITE_SPREAD: Millis = Millis(1000);
/// Number of entries read at start below which they are read once more.
const FEW_ENTRIES: usize = 8;

/// Availability of the store, shared by all tasks.
#[derive(Debug, Default)]
pub struct StoreHealth {
    is_unavailable: AtomicBool,
}

impl StoreHealth {
    /// Records the result of a call; logs when the availability changes.
    fn observe<T>(&self, result: &Result<T>) {
        let is_unavailable = matches!(
            result,
            Err(SourceError::Refused { .. }
                | SourceError::Lost { .. }
                | SourceError::Malformed { .. })
        );
        if self.is_unavailable.swap(is_unavailable, Ordering::Relaxed) == is_unavailable {
            return;
        }
        match result {
            Err(error) if is_unavailable => warn!(event = "store.lost", %error),
            _ => info!(event = "store.regained"),
        }
    }
}

/// Exponential backoff, reset after a success.
#[derive(Debug)]
struct Backoff {
    pause: Millis,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { pause: MIN_BACKOFF }
    }

    fn reset(&mut self) {
        self.pause = MIN_BACKOFF;
    }

    /// Waits for half of the current backoff plus a random part of the other half, then doubles it.
    async fn wait<D>(&mut self, shared: &Shared<D>) {
        let half = Millis(self.pause.0 / 2);
        let pause = half + shared.jitter(half);
        self.pause = Millis((self.pause.0 * 2).min(MAX_BACKOFF.0));
        task::sleep(pause.duration()).await;
    }
}

/// Tasks of one process that read, watch and write the store.
#[derive(Debug)]
pub struct StoreSync<D, S> {
    shared: Arc<Shared<D>>,
    source: S,
    events: Sender<Event>,
    health: StoreHealth,
}

impl<D: Send + std::marker::Sync + 'static, S: Source> StoreSync<D, S> {
    /// Starts the tasks; `known` are the entries that were read at process start.
    pub fn start(
        shared: Arc<Shared<D>>,
        source: S,
        events: Sender<Event>,
        entry: ProxyEntry,
        known: ProxyEntries,
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
        task::spawn(async move { sync.maintain_entry(&entry, known).await });
    }

    async fn follow(&self, topic: Topic) {
        let mut backoff = Backoff::new();
        loop {
            while !self.shared.followed_topics.is_followed(topic) {
                self.wait_topic_check().await;
            }
            let read = self.source.read(topic).await;
            self.observe(topic, "read", &read);
            match read {
                Ok(snapshot) => {
                    backoff.reset();
                    let revision = snapshot.revision;
                    self.send_snapshot(topic, snapshot).await;
                    self.watch(topic, revision).await;
                }
                Err(_) => backoff.wait(&self.shared).await,
            }
        }
    }

    /// Waits until the next check of the topic; only briefly while this proxy cannot serve yet.
    async fn wait_topic_check(&self) {
        let pause = match self.shared.view.load().is_known() {
            true => TOPIC_CHECK_INTERVAL,
            false => EARLY_TOPIC_CHECK_INTERVAL,
        };
        task::sleep(pause.duration()).await;
    }

    /// Watches a topic until a watch fails or this proxy stops following the topic.
    async fn watch(&self, topic: Topic, mut revision: Revision) {
        let mut backoff = Backoff::new();
        while self.shared.followed_topics.is_followed(topic) {
            let watched = self.source.watch(topic, revision, WATCH_TIMEOUT).await;
            self.observe(topic, "watch", &watched);
            match watched {
                Ok(snapshot) => {
                    backoff.reset();
                    let is_changed = snapshot.table.is_some() || !snapshot.rollouts.is_empty();
                    revision = snapshot.revision.max(revision);
                    self.send_snapshot(topic, snapshot).await;
                    if is_changed {
                        task::sleep(COALESCE_TIME.duration()).await;
                    }
                }
                Err(_) => {
                    backoff.wait(&self.shared).await;
                    return;
                }
            }
        }
    }

    async fn send_snapshot(&self, topic: Topic, snapshot: Snapshot) {
        let metrics = &self.shared.metrics;
        metrics.count_unreadable(name_of(topic), snapshot.unreadable);
        let event = Event::SnapshotRead(Box::new(snapshot));
        self.events.send(event).await.ok();
    }

    async fn send_entries(&self, read: ProxyEntries) {
        let metrics = &self.shared.metrics;
        metrics.count_unreadable("proxies", read.unreadable);
        let event = Event::EntriesRead(read.entries);
        self.events.send(event).await.ok();
    }

    fn observe<T>(&self, topic: Topic, call: &str, result: &Result<T>) {
        self.count(&format!("{call}-{}", name_of(topic)), result);
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

    /// Writes this proxy's entry, also after a restore of the store, and reads the entries of the
    /// others while few are known.
    async fn maintain_entry(&self, entry: &ProxyEntry, known: ProxyEntries) {
        let is_recorded = known.entries.iter().any(|e| e.instance == entry.instance);
        // Proxies that start at the same time read before the others have written their entries.
        let mut is_sparse = known.entries.len() < FEW_ENTRIES;
        self.send_entries(known).await;
        let mut era = self.register(entry, is_recorded).await;
        loop {
            let newest = self.shared.store_era.load(Ordering::Relaxed);
            if newest > era {
                task::sleep(self.shared.jitter(REWRITE_SPREAD).duration()).await;
                era = self.register(entry, true).await.max(newest);
                let departed = self.shared.local_server().departed();
                if let Some(departure) = departed {
                    let written = departures::write(&self.source, entry, &departure).await;
                    self.count("record-departure", &written);
                }
                info!(event = "entry.rewritten", era);
            }
            let is_alone = self.shared.view.load().proxies <= 1;
            if is_sparse || is_alone {
                let entries = self.source.entries().await;
                self.count("entries", &entries);
                if let Ok(entries) = entries {
                    is_sparse = false;
                    self.send_entries(entries).await;
                }
            }
            task::sleep(ENTRIES_INTERVAL.duration()).await;
        }
    }

    /// Writes this proxy's entry, retrying until the store accepts it; returns the store's era.
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

/// Returns the name of a topic for metrics.
fn name_of(topic: Topic) -> &'static str {
    match topic {
        Topic::Table => "table",
        Topic::Rollouts => "rollouts",
    }
}
