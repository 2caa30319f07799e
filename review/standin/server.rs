//! Stand-in for a backend server and its heartbeats.

use crate::http::{call, Conn};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug)]
pub struct ServerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address of the proxy on its machine that takes heartbeats.
    pub control: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub heartbeat: Duration,
}

/// Disruptions; each is a share of the answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of the requests that it rejects although it has room.
    pub shed: f64,
    /// Share of the answers of which a second copy follows late.
    pub copies: f64,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub at: u64,
}

pub struct Server {
    pub settings: ServerSettings,
    pub born: u64,
    pub faults: Mutex<Faults>,
    pub runs: Mutex<Vec<Run>>,
    pub is_leaving: AtomicBool,
    pub beats: AtomicBool,
    seq: AtomicU64,
    running: (Mutex<u32>, Condvar),
    random: AtomicU64,
    record: Arc<Record>,
}

impl Server {
    pub fn start(settings: ServerSettings, seed: u64, record: Arc<Record>) -> Arc<Server> {
        let listener = TcpListener::bind(settings.address).expect("the server's address is free");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let server = Arc::new(Server {
            settings,
            born,
            faults: Mutex::default(),
            runs: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            seq: AtomicU64::new(0),
            running: Default::default(),
            random: AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            record,
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        let beating = server.clone();
        thread::spawn(move || loop {
            if beating.beats.load(Ordering::SeqCst) {
                beating.send_beat(&beating.make_beat());
            }
            thread::sleep(beating.settings.heartbeat);
        });
        server
    }

    /// Makes the next heartbeat.
    pub fn make_beat(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let s = &self.settings;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"ready","seq":{seq},"coldRemaining":"0ms"}}}}"#,
            s.address, self.born, s.service, s.zone, s.slots
        )
    }

    /// Sends a heartbeat to the proxy on its machine; returns whether it was acknowledged.
    pub fn send_beat(&self, beat: &str) -> bool {
        let path = format!("/api/instances/{}", self.settings.id);
        let result = call(
            self.settings.control,
            "PUT",
            &path,
            beat,
            Duration::from_secs(1),
        );
        matches!(result, Ok((200..=299, _)))
    }

    /// Says that it leaves; returns whether that was acknowledged.
    pub fn withdraw(&self) -> bool {
        let path = format!("/api/instances/{}", self.settings.id);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let result = call(
            self.settings.control,
            "DELETE",
            &path,
            &body,
            Duration::from_secs(1),
        );
        matches!(result, Ok((200..=299, _)))
    }

    fn draw(&self) -> f64 {
        let next = |x: u64| {
            let x = x ^ (x << 13);
            let x = x ^ (x >> 7);
            x ^ (x << 17)
        };
        let drawn = self
            .random
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |x| Some(next(x)));
        (drawn.unwrap_or(1) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn serve(&self, mut conn: Conn) {
        // Second answer that arrives where the next answer is expected.
        let mut late: Option<(String, Vec<u8>)> = None;
        loop {
            let Ok(head) = conn.read_head() else { return };
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            if let Some((request, answer)) = late.take() {
                self.record.add(format!(
                    "server {} sends a second answer to {request}",
                    self.settings.id
                ));
                if conn.write(&answer).is_err() {
                    return;
                }
            }
            let request = head
                .get("X-Rosemaryfork-Request-Id")
                .unwrap_or("")
                .to_owned();
            let expected = head.get("X-Rosemaryfork-Expect-Instance");
            let faults = *self.faults.lock().unwrap();
            let answer = if expected.is_some_and(|id| id != self.settings.id) {
                self.answer(421, &request, "X-Rosemaryfork-Not-Executed: 1\r\n", "")
            } else if self.draw() < faults.shed {
                self.record.add(format!(
                    "server {} rejects {request}, not run",
                    self.settings.id
                ));
                self.answer(503, &request, "X-Rosemaryfork-Not-Executed: 1\r\n", "")
            } else {
                self.run(&request, body.len());
                let signed = format!("X-Rosemaryfork-Response-Signature: s.{request}\r\n");
                self.answer(200, &request, &signed, &format!("done {request}"))
            };
            if conn.write(&answer).is_err() {
                return;
            }
            if self.draw() < faults.copies {
                late = Some((request, answer));
            }
        }
    }

    fn run(&self, request: &str, length: usize) {
        let (running, changed) = &self.running;
        let mut count = running.lock().unwrap();
        while *count >= self.settings.slots {
            count = changed.wait(count).unwrap();
        }
        *count += 1;
        drop(count);
        self.record.add(format!(
            "server {} runs {request} ({length} bytes)",
            self.settings.id
        ));
        let run = Run {
            request: request.to_owned(),
            at: self.record.now(),
        };
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.settings.work);
        *running.lock().unwrap() -= 1;
        changed.notify_one();
    }

    fn answer(&self, status: u16, request: &str, fields: &str, body: &str) -> Vec<u8> {
        let leaving = match self.is_leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let text = format!(
            "HTTP/1.1 {status} Answer\r\nX-Rosemaryfork-Request-Id: {request}\r\n\
             X-Rosemaryfork-Instance-Id: {}\r\nX-Rosemaryfork-Server-Load: {},0,{}\r\n\
             Keep-Alive: timeout=10\r\n{leaving}{fields}Content-Length: {}\r\n\r\n{body}",
            self.settings.id,
            self.running.0.lock().unwrap(),
            self.settings.slots,
            body.len()
        );
        text.into_bytes()
    }
}
