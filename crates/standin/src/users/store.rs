//! Stand-in for the object store of the users' platform.
//!
//! Objects have a kind, a name, a spec and a status. Every write takes the next revision of the
//! whole store; writes with a revision succeed only if it is the object's latest. A watch returns
//! the objects changed since a revision, or waits for a change; it fails with status 410 if that
//! revision is compacted or, after a restore, in the future. Every response names the era of the
//! store, which increases with each restore from a backup.

use crate::raw_answer::Endless;
use async_std::net::TcpListener;
use async_std::task;
use rf_base::Millis;
use rf_transport::h1::{Connection, ReadLimits, RequestHead, ResponseHead, frame_request};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Millis = Millis(5);
/// Most objects on one page of a list.
const PAGE_SIZE: usize = 50;

/// Injected fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Answers every call with status 503.
    Busy,
    /// Answers every call with status 429.
    TooMany,
    /// Closes the connection of each call without a response.
    Reset,
    /// Neither performs calls nor answers them.
    Silent,
    /// Performs calls but never answers them.
    LoseAnswers,
    /// Performs and answers calls after this delay.
    Slow(Millis),
    /// Answers with status 200 and a body that is not JSON.
    Nonsense,
    /// Sends a part of a response without end.
    Endless(Endless),
}

#[derive(Clone, Debug)]
struct StoredObject {
    created: u64,
    revision: u64,
    spec: Value,
    status: Value,
    is_deleted: bool,
}

/// Backup of the contents of a store.
#[derive(Clone, Debug)]
pub struct StoreSnapshot {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of restores from a backup.
    era: u64,
    revision: u64,
    /// Revision up to which the history is compacted; watches from an earlier one fail.
    compacted_to: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    fault: StoreFault,
    calls: u64,
    /// Texts that stand in answers for specs of this value.
    raw_specs: BTreeMap<String, String>,
}

/// A running store; clones share its state.
#[derive(Clone, Debug)]
pub struct UsersStore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl UsersStore {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is available.
    pub async fn start() -> io::Result<UsersStore> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = UsersStore {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = store.clone();
        task::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let store = serving.clone();
                    task::spawn(async move { store.serve(Connection::new(stream)).await });
                }
            }
        });
        Ok(store)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, which applies to calls that arrive from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_to = state.revision;
    }

    /// Returns a backup of the current contents.
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.lock();
        StoreSnapshot {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Restores the store from a backup. All later writes are lost and their revisions are assigned
    /// again. Connections with a call in progress are closed without a response.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = snapshot.revision;
        state.objects = snapshot.objects;
    }

    /// Returns the names of the existing objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let existing = state.objects.iter().filter(|(_, o)| !o.is_deleted);
        let names = existing.filter(|((k, _), _)| k == kind);
        names.map(|((_, name), _)| name.clone()).collect()
    }

    /// Returns the number of calls so far, including those that failed because of a fault.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes the spec of an object unconditionally, as an operator does, and returns its revision.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        self.lock().put(kind, name, Some(spec), None)
    }

    /// Writes an object whose spec is any text in answers, as another writer could leave it.
    pub fn write_raw(&self, kind: &str, name: &str, spec: &str) {
        let placeholder = format!("raw {kind} {name}");
        let mut state = self.lock();
        let key = format!("\"{placeholder}\"");
        state.raw_specs.insert(key, spec.to_owned());
        state.put(kind, name, Some(Value::String(placeholder)), None);
    }

    /// Returns the status of an object, or `None` if it does not exist.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.lock();
        state.existing(kind, name).map(|o| o.status.clone())
    }

    /// Returns the spec of an object, or `None` if it does not exist.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.lock();
        state.existing(kind, name).map(|o| o.spec.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut connection: Connection) {
        let limits = ReadLimits::default();
        loop {
            let Ok(head) = connection.read_request(&limits).await else {
                return;
            };
            let Ok(framing) = frame_request(&head) else {
                return;
            };
            let Ok(body) = connection.read_body(framing, &limits).await else {
                return;
            };
            let era = self.lock().era;
            let Some((status, body)) = self.answer(&head, &body).await else {
                let fault = self.lock().fault;
                if let StoreFault::Endless(endless) = fault {
                    endless.send(&mut connection.writer(), "").await;
                }
                return;
            };
            if self.lock().era != era {
                return;
            }
            let mut head = ResponseHead::new(status);
            head.headers.add("Store-Era", &era.to_string());
            let mut bytes = head.encode(Some(body.len()));
            bytes.extend_from_slice(&body);
            if connection.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// Computes the response to a call; `None` closes the connection.
    async fn answer(&self, head: &RequestHead, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let fault = {
            let mut state = self.lock();
            state.calls += 1;
            state.fault
        };
        match fault {
            StoreFault::Busy => return Some((503, Vec::new())),
            StoreFault::TooMany => return Some((429, Vec::new())),
            StoreFault::Nonsense => return Some((200, b"<html>".to_vec())),
            StoreFault::Reset => return None,
            // Sent in place of the answer.
            StoreFault::Endless(_) => return None,
            StoreFault::Silent => futures_lite::future::pending().await,
            StoreFault::Slow(time) => task::sleep(time.duration()).await,
            StoreFault::None | StoreFault::LoseAnswers => {}
        }
        let (status, value) = self.execute(head, body).await;
        match fault {
            StoreFault::LoseAnswers => futures_lite::future::pending().await,
            _ => Some((status, self.encode(&value))),
        }
    }

    fn encode(&self, value: &Value) -> Vec<u8> {
        let mut text = value.to_string();
        for (placeholder, raw) in &self.lock().raw_specs {
            text = text.replace(placeholder, raw);
        }
        text.into_bytes()
    }

    async fn execute(&self, head: &RequestHead, body: &[u8]) -> (u16, Value) {
        let query = Query::parse(&head.target);
        let rest = head.path().strip_prefix("/api/objects/").unwrap_or("");
        let parts: Vec<&str> = rest.split('/').collect();
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (head.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match query.number("watch") {
                Some(revision) => self.watch(kind, revision, query.number("waitMs")).await,
                None => self.lock().list(kind, query.text("after")),
            },
            ("GET", [kind, name]) => self.lock().get(kind, name),
            ("POST", [kind]) => self.lock().create(kind, &body),
            ("PUT", [kind, name]) => self.lock().replace(kind, name, &body),
            ("PUT", [kind, name, "status"]) => {
                let expected = query.number("revision");
                self.lock().replace_status(kind, name, &body, expected)
            }
            ("DELETE", [kind, name]) => self.lock().delete(kind, name),
            _ => (404, Value::Null),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Option<u64>) -> (u16, Value) {
        let mut left = wait.unwrap_or(0);
        loop {
            {
                let state = self.lock();
                if after < state.compacted_to || after > state.revision {
                    return (410, Value::Null);
                }
                let events = state.events(kind, after);
                if !events.is_empty() || left == 0 {
                    let answer = json!({ "events": events, "currentRev": state.revision });
                    return (200, answer);
                }
            }
            task::sleep(WATCH_POLL_INTERVAL.duration()).await;
            left = left.saturating_sub(WATCH_POLL_INTERVAL.0);
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Value>, status: Option<Value>) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        self.revision += 1;
        let revision = self.revision;
        let created = StoredObject {
            created: revision,
            revision,
            spec: Value::Null,
            status: Value::Null,
            is_deleted: false,
        };
        let object = self.objects.entry(key).or_insert(created.clone());
        if object.is_deleted {
            *object = created;
        }
        object.revision = revision;
        if let Some(spec) = spec {
            object.spec = spec;
        }
        if let Some(status) = status {
            object.status = status;
        }
        revision
    }

    fn existing(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).filter(|o| !o.is_deleted)
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        match self.existing(kind, name) {
            Some(object) => (200, describe(name, object)),
            None => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Value) {
        let all = self
            .objects
            .iter()
            .filter(|((k, name), o)| k == kind && !o.is_deleted && Some(name.as_str()) > after);
        let mut items: Vec<Value> = all
            .take(PAGE_SIZE + 1)
            .map(|((_, name), o)| describe(name, o))
            .collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        let answer = json!({ "items": items, "hasMore": has_more, "currentRev": self.revision });
        (200, answer)
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Value> {
        let changed = self
            .objects
            .iter()
            .filter(|((k, _), o)| k == kind && o.revision > after);
        changed
            .map(|((_, name), o)| json!({ "deleted": o.is_deleted, "object": describe(name, o) }))
            .collect()
    }

    fn create(&mut self, kind: &str, body: &Value) -> (u16, Value) {
        let name = body["metadata"]["name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        if self.existing(kind, &name).is_some() {
            return (409, Value::Null);
        }
        self.put(kind, &name, Some(body["spec"].clone()), None);
        self.get(kind, &name)
    }

    /// Returns the object, or the response if it does not exist (404) or has another revision
    /// (409).
    fn expect(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
    ) -> Result<&StoredObject, (u16, Value)> {
        let object = self.existing(kind, name).ok_or((404, Value::Null))?;
        match revision.is_some_and(|r| r != object.revision) {
            true => Err((409, describe(name, object))),
            false => Ok(object),
        }
    }

    fn replace(&mut self, kind: &str, name: &str, body: &Value) -> (u16, Value) {
        let revision = body["metadata"]["revision"].as_u64();
        let changes = match self.expect(kind, name, revision) {
            Ok(object) => object.spec != body["spec"],
            Err(answer) => return answer,
        };
        if changes {
            self.put(kind, name, Some(body["spec"].clone()), None);
        }
        self.get(kind, name)
    }

    fn replace_status(
        &mut self,
        kind: &str,
        name: &str,
        body: &Value,
        revision: Option<u64>,
    ) -> (u16, Value) {
        if let Err(answer) = self.expect(kind, name, revision) {
            return answer;
        }
        self.put(kind, name, None, Some(body["status"].clone()));
        self.get(kind, name)
    }

    fn delete(&mut self, kind: &str, name: &str) -> (u16, Value) {
        if self.existing(kind, name).is_none() {
            return (404, Value::Null);
        }
        self.put(kind, name, None, None);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.get_mut(&key) {
            object.is_deleted = true;
        }
        (200, Value::Null)
    }
}

fn describe(name: &str, object: &StoredObject) -> Value {
    json!({
        "metadata": {
            "name": name,
            "revision": object.revision,
            "createdRev": object.created,
            "finalizers": [],
            "deleting": false,
        },
        "spec": object.spec,
        "status": object.status,
    })
}

/// Query parameters of a request target.
struct Query<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Query<'a> {
    fn parse(target: &'a str) -> Query<'a> {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Query(pairs.collect())
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}
