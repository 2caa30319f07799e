//! Stand-in for the platform's metadata store.

use crate::http::Conn;
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    created: u64,
    revision: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, description of the object, whether it was deleted.
    history: Vec<(u64, String, String, bool)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Path of one machine to the store, which can be cut. While it is cut, nothing passes in either
/// direction.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    store: Store,
    is_cut: Arc<AtomicBool>,
    /// Number of watches of the configuration that wait for a change.
    watches: Arc<AtomicU32>,
}

fn describe(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"createdRev":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
        object.revision, object.created, object.spec, object.status
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let fresh = Object {
            created: 0,
            revision: 0,
            spec: Json::Null,
            status: Json::Null,
        };
        let before = self.objects.get(&key).cloned().unwrap_or(fresh);
        let mut object = before.clone();
        change(&mut object);
        if before.created > 0 && (&before.spec, &before.status) == (&object.spec, &object.status) {
            return describe(name, &before);
        }
        self.revision += 1;
        object.revision = self.revision;
        if object.created == 0 {
            object.created = self.revision;
        }
        let text = describe(name, &object);
        self.objects.insert(key, object);
        self.history
            .push((self.revision, kind.to_owned(), text.clone(), false));
        text
    }
}

impl StorePath {
    /// Cuts the path, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Returns whether the machine waits for a change of the configuration.
    pub fn watches_config(&self) -> bool {
        self.watches.load(Ordering::SeqCst) > 0
    }

    /// Waits while the path is cut. A connection that was cut carries nothing again.
    fn passes(&self) -> bool {
        let was_cut = self.is_cut.load(Ordering::SeqCst);
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        !was_cut
    }

    fn serve(&self, mut conn: Conn) {
        loop {
            let Ok(head) = conn.read_head() else { return };
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            if !self.passes() {
                return;
            }
            let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            thread::sleep(ANSWER_TIME);
            let is_watch = head.word(1).starts_with("/api/objects/config?watch=");
            self.watches
                .fetch_add(u32::from(is_watch), Ordering::SeqCst);
            let (status, body) = self.store.answer(head.word(0), head.word(1), &body);
            self.watches
                .fetch_sub(u32::from(is_watch), Ordering::SeqCst);
            if !self.passes() {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

impl Store {
    pub fn new() -> Store {
        let store = Store::default();
        store.state.0.lock().unwrap().revision = 100;
        store
    }

    /// Serves a machine at an address of its own.
    pub fn serve_at(&self, address: SocketAddr) -> StorePath {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let path = StorePath {
            address,
            store: self.clone(),
            is_cut: Arc::default(),
            watches: Arc::default(),
        };
        let serving = path.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = serving.clone();
                thread::spawn(move || path.serve(Conn::new(stream)));
            }
        });
        path
    }

    /// Writes an object as the operator.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the spec is JSON");
        let (state, changed) = &*self.state;
        state.lock().unwrap().write(kind, name, |o| o.spec = spec);
        changed.notify_all();
    }

    fn answer(&self, method: &str, target: &str, body: &Json) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let rest = path.strip_prefix("/api/objects/").unwrap_or("");
        let parts: Vec<&str> = rest.split('/').collect();
        let null = || "null".to_owned();
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let expected = number("revision").or(body.get("metadata").get("revision").number());
        let expected = expected.filter(|r| *r > 0);
        if let ("GET", [kind], Some(after)) = (method, parts.as_slice(), number("watch")) {
            return self.watch(kind, after, number("waitMs").unwrap_or(0));
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let name = match parts.as_slice() {
            [_, name, ..] => name,
            _ => body.get("metadata").get("name").text(),
        };
        let key = (parts[0].to_owned(), name.to_owned());
        let existing = state.objects.get(&key).cloned();
        let result = match (method, parts.as_slice(), existing) {
            ("GET", [kind], _) => {
                let after = query.get("after").copied().unwrap_or("");
                let all = state
                    .objects
                    .iter()
                    .filter(|((k, n), _)| k == kind && n.as_str() > after);
                let items: Vec<String> = all.map(|((_, n), o)| describe(n, o)).collect();
                let list = items.join(",");
                (
                    200,
                    format!(
                        r#"{{"items":[{list}],"hasMore":false,"currentRev":{}}}"#,
                        state.revision
                    ),
                )
            }
            ("GET", [_, name], Some(object)) => (200, describe(name, &object)),
            ("POST", [_], Some(object)) => (409, describe(name, &object)),
            ("POST", [kind], None) => {
                let spec = body.get("spec").clone();
                (201, state.write(kind, name, |o| o.spec = spec))
            }
            ("PUT", _, Some(object)) if expected.is_some_and(|r| r != object.revision) => {
                (409, describe(name, &object))
            }
            ("PUT", [kind, name], Some(_)) => {
                let spec = body.get("spec").clone();
                (200, state.write(kind, name, |o| o.spec = spec))
            }
            ("PUT", [kind, name, "status"], Some(_)) => {
                let status = body.get("status").clone();
                (200, state.write(kind, name, |o| o.status = status))
            }
            ("DELETE", [kind, name], Some(object)) => {
                state.objects.remove(&key);
                state.revision += 1;
                let change = (
                    state.revision,
                    (*kind).to_owned(),
                    describe(name, &object),
                    true,
                );
                state.history.push(change);
                (200, null())
            }
            _ => (404, null()),
        };
        changed.notify_all();
        result
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let news = state
                .history
                .iter()
                .filter(|(r, k, _, _)| *r > after && k == kind);
            let news: Vec<String> = news
                .map(|(_, _, object, deleted)| {
                    format!(r#"{{"deleted":{deleted},"object":{object}}}"#)
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let events = news.join(",");
                return (
                    200,
                    format!(r#"{{"events":[{events}],"currentRev":{}}}"#, state.revision),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
