//! Stand-in of a backend server beside a proxy.
//!
//! It runs each request for a fixed time and answers it. A request whose path contains `crash` ends
//! the process: the listener and all connections close, and a new process with another id begins
//! after some seconds.

use crate::http;
use crate::record::Record;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time for which a server is down after a crash.
const DOWN: Duration = Duration::from_secs(3);

/// Returns the body of the answer to a request: as many bytes as the last part of the path says.
fn body_for(path: &str) -> Vec<u8> {
    let last = path.rsplit('/').next().unwrap_or("");
    vec![b'y'; last.parse().unwrap_or(20)]
}

/// A run of a request.
pub struct Run {
    pub at: u64,
    pub server: String,
    pub path: String,
    pub id: String,
}

pub struct Server {
    name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    work: Duration,
    slots: u32,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    process: AtomicU64,
    is_up: AtomicBool,
    is_listening: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Start time of the process and number of its last heartbeat.
    last_beat: Mutex<(u128, u64)>,
    is_leaving: AtomicBool,
}

/// What a server is started with.
pub struct Options {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub work: Duration,
    pub slots: u32,
}

impl Server {
    pub fn start(options: Options, record: Arc<Record>, runs: Arc<Mutex<Vec<Run>>>) -> Arc<Server> {
        let server = Arc::new(Server {
            name: options.name,
            service: options.service,
            zone: options.zone,
            address: options.address,
            control: options.control,
            work: options.work,
            slots: options.slots,
            record,
            runs,
            process: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            is_listening: AtomicBool::new(false),
            connections: Mutex::default(),
            last_beat: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        });
        let listening = server.clone();
        thread::spawn(move || listening.listen());
        let announcing = server.clone();
        thread::spawn(move || announcing.announce());
        server
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.process.load(Ordering::SeqCst))
    }

    fn listen(self: Arc<Server>) {
        loop {
            if !self.is_up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            self.is_listening.store(true, Ordering::SeqCst);
            while self.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        stream.set_nodelay(true).ok();
                        let kept = stream.try_clone().unwrap();
                        self.connections.lock().unwrap().push(kept);
                        let server = self.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            self.is_listening.store(false, Ordering::SeqCst);
        }
    }

    fn serve(self: Arc<Server>, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (_, path) = request.target();
            let id = request
                .header("X-Rosemaryfork-Request-Id")
                .unwrap_or("")
                .to_owned();
            let (me, path) = (self.id(), path.to_owned());
            let named = format!(
                "X-Rosemaryfork-Request-Id: {id}\r\nX-Rosemaryfork-Server-Load: 1,0,{}\r\n",
                self.slots
            ) + match self.is_leaving.load(Ordering::SeqCst) {
                true => "Server-Leaving: 1\r\n",
                false => "",
            };
            if request
                .header("X-Rosemaryfork-Expect-Instance")
                .is_some_and(|e| e != me)
            {
                let headers = format!("{named}X-Rosemaryfork-Not-Executed: 1\r\n");
                if http::respond(&mut stream, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record.log(&format!(
                "server {me} ({}) runs request {id} {path}",
                self.service
            ));
            self.runs.lock().unwrap().push(Run {
                at: self.record.now(),
                server: me.clone(),
                path: path.clone(),
                id,
            });
            thread::sleep(self.work);
            if path.contains("crash") {
                return self.crash();
            }
            let headers = format!("{named}X-Rosemaryfork-Response-Signature: sig.{me}\r\n");
            if http::respond(&mut stream, 200, &headers, &body_for(&path)).is_err() {
                return;
            }
        }
    }

    fn crash(self: Arc<Server>) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.log(&format!("server {} crashes", self.id()));
        while self.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        thread::sleep(DOWN);
        self.process.fetch_add(1, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.record.log(&format!("server {} is up", self.id()));
    }

    /// Sends heartbeats to the proxy on the same machine.
    fn announce(self: Arc<Server>) {
        let mut process = 0;
        while !self.is_leaving.load(Ordering::SeqCst) {
            let current = self.process.load(Ordering::SeqCst);
            if current != process {
                process = current;
                let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
                *self.last_beat.lock().unwrap() = (born.as_millis(), 0);
            }
            if self.is_listening.load(Ordering::SeqCst) {
                self.beat();
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Sends a heartbeat; returns the status of the answer.
    pub fn beat(&self) -> u16 {
        let (born, seq) = {
            let mut last = self.last_beat.lock().unwrap();
            last.1 += 1;
            *last
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{born},\"info\":{{\"service\":\"{}\",\
             \"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\
             \"state\":\"ready\",\"seq\":{seq},\"coldRemaining\":\"0ms\"}}}}",
            self.address, self.service, self.zone, self.slots
        );
        self.call("PUT", &body)
    }

    /// Withdraws the server and sends no further heartbeats; it goes on serving. Returns the status
    /// of the answer.
    pub fn leave(&self) -> u16 {
        self.is_leaving.store(true, Ordering::SeqCst);
        let born = self.last_beat.lock().unwrap().0;
        self.call("DELETE", &format!("{{\"born\":{born}}}"))
    }

    fn call(&self, method: &str, body: &str) -> u16 {
        let request = format!(
            "{method} /api/instances/{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\
             Content-Type: application/json\r\n",
            self.id(),
            self.control
        );
        let answer = http::call(
            self.control,
            &request,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        answer.map_or(0, |a| a.status())
    }
}
