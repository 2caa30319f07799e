//! Stand-in of the platform's store. Each proxy has an address of its own for it, so that single
//! proxies can be cut off: a proxy that is cut off gets no answer, on old and new connections.

use crate::http::{self, Message};
use crate::json;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Object {
    created: u64,
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    cut: BTreeMap<usize, bool>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Serves the store to the client with the given number.
    pub fn serve(self: &Arc<Store>, client: usize, listener: TcpListener) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(client, stream));
            }
        });
    }

    /// Cuts a client off from the store, or ends the cut.
    pub fn cut(&self, client: usize, is_cut: bool) {
        self.state.lock().unwrap().cut.insert(client, is_cut);
        self.changed.notify_all();
    }

    /// Writes the spec of an object, as an operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, Some(spec), None);
        self.changed.notify_all();
    }

    fn is_cut(&self, client: usize) -> bool {
        self.state.lock().unwrap().cut.get(&client) == Some(&true)
    }

    /// Answers nothing until the cut ends; the connection is lost with it.
    fn hang(&self, client: usize) {
        while self.is_cut(client) {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn serve_connection(&self, client: usize, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(call)) = http::read(&mut reader) {
            if self.is_cut(client) {
                return self.hang(client);
            }
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(client, &call);
            if self.is_cut(client) {
                return self.hang(client);
            }
            let kind = "Content-Type: application/json\r\n";
            if http::respond(&mut stream, status, kind, body.as_bytes()).is_err() || call.closes() {
                return;
            }
        }
    }

    fn answer(&self, client: usize, call: &Message) -> (u16, String) {
        let (method, target) = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .clone()
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| query(name).and_then(|v| v.parse::<u64>().ok());
        let rest = path.strip_prefix("/api/objects/").unwrap_or("");
        let parts: Vec<&str> = rest.split('/').collect();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let spec = json::field(&body, "spec").unwrap_or("null");
        let mut state = self.state.lock().unwrap();
        let answer = match (method, parts.as_slice()) {
            ("GET", [kind]) => match number("watch") {
                Some(after) => {
                    drop(state);
                    return self.watch(client, kind, after, number("waitMs").unwrap_or(0));
                }
                None => (200, state.list(kind)),
            },
            ("GET", [kind, name]) => state.describe(kind, name),
            ("POST", [kind]) => {
                let metadata = json::field(&body, "metadata").unwrap_or("{}");
                let name = json::text(metadata, "name").unwrap_or_default();
                match state.describe(kind, &name) {
                    (200, known) => (409, known),
                    _ => state.put(kind, &name, Some(spec), None),
                }
            }
            ("PUT", [kind, name]) => match state.describe(kind, name) {
                (200, _) => state.put(kind, name, Some(spec), None),
                missing => missing,
            },
            ("PUT", [kind, name, "status"]) => {
                let status = json::field(&body, "status").unwrap_or("null").to_owned();
                let key = ((*kind).to_owned(), (*name).to_owned());
                match state.objects.get(&key).map(|o| o.revision) {
                    None => (404, "null".to_owned()),
                    Some(known) if number("revision").is_some_and(|r| r != known) => {
                        (409, state.describe(kind, name).1)
                    }
                    Some(_) => state.put(kind, name, None, Some(&status)),
                }
            }
            ("DELETE", [kind, name]) => {
                state
                    .objects
                    .remove(&((*kind).to_owned(), (*name).to_owned()));
                (200, "{}".to_owned())
            }
            _ => (404, "null".to_owned()),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, client: usize, kind: &str, after: u64, wait: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let answer = loop {
            let events = state.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            let is_cut = state.cut.get(&client) == Some(&true);
            if !events.is_empty() || left.is_zero() || is_cut {
                let revision = state.revision;
                let events = events.join(",");
                break format!("{{\"events\":[{events}],\"currentRev\":{revision}}}");
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        (200, answer)
    }
}

impl State {
    fn put(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<&str>,
        status: Option<&str>,
    ) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        let is_same = known.is_some_and(|o| {
            spec.is_none_or(|s| s == o.spec) && status.is_none_or(|s| s == o.status)
        });
        if !is_same {
            self.revision += 1;
            let revision = self.revision;
            let object = self.objects.entry(key).or_insert_with(|| Object {
                created: revision,
                revision,
                spec: "null".to_owned(),
                status: "null".to_owned(),
            });
            object.revision = revision;
            if let Some(spec) = spec {
                spec.clone_into(&mut object.spec);
            }
            if let Some(status) = status {
                status.clone_into(&mut object.status);
            }
        }
        self.describe(kind, name)
    }

    fn describe(&self, kind: &str, name: &str) -> (u16, String) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, show(name, object)),
            None => (404, "null".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let all = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = all.map(|((_, name), o)| show(name, o)).collect();
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"hasMore\":false,\"currentRev\":{revision}}}")
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let all = self.objects.iter();
        let changed = all.filter(|((k, _), o)| k == kind && o.revision > after);
        let event = |((_, name), o): (&(String, String), &Object)| {
            format!("{{\"object\":{},\"deleted\":false}}", show(name, o))
        };
        changed.map(event).collect()
    }
}

fn show(name: &str, object: &Object) -> String {
    let Object {
        created,
        revision,
        spec,
        status,
    } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createdRev\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}
