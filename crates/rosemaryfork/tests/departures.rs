//! What a backend server that leaves is promised by the acknowledgement, with real processes: no
//! request reaches it any more, whatever becomes of its proxy and whichever heartbeats arrive late.
//!
//! `ROSEMARYFORK_PROGRAM` names another build of the program to play the cases on.

use async_std::task;
use rf_base::Millis;
use rf_config::ProxySettings;
use rf_soak::child::Process;
use rf_standin::users::mesh::{CallerRequest, call, encode, proxy_settings, read_answer};
use rf_standin::users::{StoreFault, UsersServer, UsersStore};
use rf_transport::h1::Connection;
use rustix::process::Signal;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time after the acknowledgement by which the last request has reached the server.
const DRAIN: Duration = Duration::from_millis(1000);
/// Time for which a server that has left is watched.
const WATCH: Duration = Duration::from_millis(5000);
/// Start time of the first process of each server.
const BORN: u64 = 1_700_000_000_000;
/// Interval between the requests of a caller.
const PACE: Duration = Duration::from_millis(15);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

struct Machine {
    settings: ProxySettings,
    folder: PathBuf,
    server: UsersServer,
    process: Option<Process>,
    born: u64,
    seq: u64,
}

impl Machine {
    fn start(&mut self) {
        let program = std::env::var_os("ROSEMARYFORK_PROGRAM")
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_rosemaryfork").into());
        let log = self.folder.join("log.jsonl");
        let settings = self.folder.join("settings.json");
        let process = Process::start(program.as_ref(), &settings, &log);
        self.process = Some(process.expect("the program starts"));
    }

    fn kill(&mut self) {
        self.process = None;
    }

    async fn announce(&self, seq: u64, born: u64, state: &str) -> Option<u16> {
        let body = json!({
            "address": self.server.address(), "born": born,
            "info": { "service": "payments", "version": "v1", "zone": "zone-a", "slots": 4 },
            "status": { "state": state, "seq": seq, "coldRemaining": "0ms" },
        });
        self.call("PUT", body.to_string().into_bytes()).await
    }

    /// Sends the next heartbeat.
    async fn beat(&mut self, state: &str) -> Option<u16> {
        self.seq += 1;
        self.announce(self.seq, self.born, state).await
    }

    async fn withdraw(&self, born: Option<u64>) -> Option<u16> {
        let body = born.map(|born| json!({ "born": born }).to_string().into_bytes());
        self.call("DELETE", body.unwrap_or_default()).await
    }

    async fn call(&self, method: &str, body: Vec<u8>) -> Option<u16> {
        let target = format!("/api/instances/{}", self.server.id());
        let address = self.settings.listen.announcements;
        call(address, method, &target, body).await.ok()
    }

    /// Returns how many requests have reached the server later than [`DRAIN`] after `left`.
    fn late_arrivals(&self, left: Instant) -> usize {
        let arrivals = self.server.arrivals();
        arrivals.iter().filter(|a| a.at > left + DRAIN).count()
    }
}

/// Three machines with a backend server of one service each, and callers at each of them.
struct Mesh {
    machines: Vec<Machine>,
    store: UsersStore,
    is_over: Arc<AtomicBool>,
}

impl Mesh {
    async fn start(network: u8) -> Mesh {
        let store = UsersStore::start().await.expect("the store starts");
        store.write("config", "main", config());
        let mut machines = Vec::new();
        for number in 1..=3 {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 11, network, number));
            let name = format!("payments-{number}");
            let id = format!("i-{name}");
            let server = UsersServer::start(&id, SocketAddr::new(ip, 8080));
            let settings = proxy_settings(&name, "payments", ip, store.address());
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!(
                "departures-{}-{network}-{number}",
                std::process::id()
            ));
            std::fs::create_dir_all(&folder).expect("a folder");
            let text = serde_json::to_string(&settings).expect("settings encode");
            std::fs::write(folder.join("settings.json"), text).expect("settings are written");
            let mut machine = Machine {
                settings,
                folder,
                server: server.await.expect("the server starts"),
                process: None,
                born: BORN,
                seq: 0,
            };
            machine.start();
            machines.push(machine);
        }
        let mut mesh = Mesh {
            machines,
            store,
            is_over: Arc::default(),
        };
        mesh.wait_until_used().await;
        mesh
    }

    /// Sends heartbeats and requests until each server has been reached.
    async fn wait_until_used(&mut self) {
        let start = Instant::now();
        for machine in &self.machines {
            let address = machine.settings.listen.callers;
            task::spawn(send_requests(address, self.is_over.clone()));
        }
        while self.machines.iter().any(|m| m.server.arrivals().is_empty()) {
            assert!(start.elapsed() < START_TIMEOUT, "a server is not used");
            for machine in &mut self.machines {
                machine.beat("ready").await;
            }
            task::sleep(POLL * 5).await;
        }
    }

    /// Starts the proxy of the first machine again and delivers the heartbeat `seq` as soon as it
    /// can be, and twice more later. Then returns how many requests have reached the server since.
    async fn restart_and_watch(&mut self, seq: u64, born: u64, left: Instant) -> usize {
        self.machines[0].start();
        let restarted = Instant::now();
        while self.machines[0]
            .announce(seq, born, "ready")
            .await
            .is_none()
        {
            assert!(restarted.elapsed() < START_TIMEOUT, "it is not started");
            task::sleep(POLL).await;
        }
        task::sleep(Duration::from_millis(700)).await;
        self.machines[0].announce(seq, born, "ready").await;
        task::sleep(Duration::from_millis(1500)).await;
        self.machines[0].announce(seq, born, "ready").await;
        self.watch(left).await
    }

    async fn watch(&self, left: Instant) -> usize {
        task::sleep(WATCH.saturating_sub(left.elapsed())).await;
        let others = &self.machines[1..];
        let served: usize = others.iter().map(|m| m.late_arrivals(left)).sum();
        assert!(served > 50, "only {served} requests reach the others");
        self.machines[0].late_arrivals(left)
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn config() -> serde_json::Value {
    json!({
        "version": "r2",
        "services": [{ "name": "payments", "maxConnections": 100 }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeout": "2s", "idleTimeout": "15s",
        },
        "virtualHosts": [{ "host": "mesh.example", "paths": [{
            "name": "pay", "pathPrefix": "/pay/", "kind": "unsafe", "timeout": "1500ms",
            "targetLatency": "400ms", "priority": 1, "maxAttempts": 3, "service": "payments",
        }] }],
    })
}

/// Sends one request after another, each on a new connection.
async fn send_requests(address: SocketAddr, is_over: Arc<AtomicBool>) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let request = CallerRequest {
            timeout: Millis(1500),
            ..CallerRequest::pay(&format!("{address}-{number}"))
        };
        if let Ok(mut connection) = Connection::open(address, Millis(500)).await
            && connection.write(&encode(&request)).await.is_ok()
        {
            read_answer(&mut connection, "POST").await.ok();
        }
        task::sleep(PACE).await;
    }
}

// Guards against a proxy that forgets in a restart that its server has left.
#[async_std::test]
async fn a_departure_outlives_a_restart_of_the_proxy() {
    let mut mesh = Mesh::start(1).await;
    let late = mesh.machines[0].seq + 1;
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    let left = Instant::now();
    task::sleep(Duration::from_millis(300)).await;
    mesh.machines[0].kill();
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// Guards against an acknowledgement that nobody remembers once the process that gave it has ended.
#[async_std::test]
async fn a_departure_outlives_a_kill_right_after_its_acknowledgement() {
    let mut mesh = Mesh::start(2).await;
    let late = mesh.machines[0].seq + 1;
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// The same for a server that says that it drains.
#[async_std::test]
async fn a_drain_outlives_a_kill_right_after_its_acknowledgement() {
    let mut mesh = Mesh::start(3).await;
    mesh.machines[0].seq += 1;
    let late = mesh.machines[0].seq;
    assert_eq!(mesh.machines[0].beat("draining").await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// Guards against a departure that is forgotten since all who knew of it have restarted.
#[async_std::test]
async fn a_departure_outlives_a_kill_of_all_proxies() {
    let mut mesh = Mesh::start(4).await;
    let late = mesh.machines[0].seq + 1;
    assert_eq!(mesh.machines[0].withdraw(None).await, Some(200));
    for machine in &mut mesh.machines {
        machine.kill();
    }
    let left = Instant::now();
    for machine in &mut mesh.machines[1..] {
        machine.start();
    }
    let others = mesh.machines[1..].iter_mut();
    for machine in others {
        let start = Instant::now();
        while machine.beat("ready").await.is_none() {
            assert!(start.elapsed() < START_TIMEOUT, "it is not started");
            task::sleep(POLL).await;
        }
    }
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// Guards against an acknowledgement that is only good while the store answers.
#[async_std::test]
async fn a_departure_without_the_store_outlives_a_kill_of_the_proxy() {
    let mut mesh = Mesh::start(5).await;
    let late = mesh.machines[0].seq + 1;
    mesh.store.set_fault(StoreFault::Silent);
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// Guards against an acknowledgement that is only good while other proxies answer.
#[async_std::test]
async fn a_departure_without_other_proxies_outlives_a_kill_of_the_proxy() {
    let mut mesh = Mesh::start(6).await;
    let late = mesh.machines[0].seq + 1;
    for machine in &mut mesh.machines[1..] {
        let process = machine.process.as_mut().expect("it runs");
        process.signal(Signal::STOP);
    }
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    for machine in &mut mesh.machines[1..] {
        let process = machine.process.as_mut().expect("it runs");
        process.signal(Signal::CONT);
    }
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// Guards against a promise that nobody can keep: neither the store nor another proxy is there.
#[async_std::test]
async fn a_departure_that_nobody_can_remember_is_not_acknowledged() {
    let mut mesh = Mesh::start(7).await;
    mesh.store.set_fault(StoreFault::Silent);
    for machine in &mut mesh.machines[1..] {
        machine.kill();
    }
    let status = mesh.machines[0].withdraw(Some(BORN)).await;
    assert_ne!(status, Some(200));
    let left = Instant::now();
    task::sleep(DRAIN * 2).await;
    assert_eq!(mesh.machines[0].late_arrivals(left), 0);
    // Once somebody remembers it, the repeated call is acknowledged.
    mesh.store.set_fault(StoreFault::None);
    let start = Instant::now();
    while mesh.machines[0].withdraw(Some(BORN)).await != Some(200) {
        assert!(start.elapsed() < START_TIMEOUT, "it is not acknowledged");
    }
}

// Guards against a departure that is acknowledged and ignored, since the clock of the machine was
// set back before the server was started again under its id.
#[async_std::test]
async fn a_departure_with_an_earlier_start_time_is_obeyed() {
    for (network, calls) in [(8, "draining"), (9, "withdrawal")] {
        let mut mesh = Mesh::start(network).await;
        let machine = &mut mesh.machines[0];
        machine.born = BORN - 600_000;
        machine.seq = 0;
        machine.beat("ready").await;
        task::sleep(Duration::from_millis(500)).await;
        machine.beat("ready").await;
        let status = match calls {
            "draining" => machine.beat("draining").await,
            _ => machine.withdraw(Some(machine.born)).await,
        };
        assert_eq!(status, Some(200));
        let left = Instant::now();
        // A heartbeat of the process before, which was on its way when that crashed.
        mesh.machines[0].announce(99, BORN, "ready").await;
        assert_eq!(mesh.watch(left).await, 0, "after {calls}");
    }
}

// Guards against a withdrawal without a start time that is known to the proxy alone, which had no
// heartbeat of the process.
#[async_std::test]
async fn a_withdrawal_of_an_unknown_process_outlives_a_restart() {
    let mut mesh = Mesh::start(10).await;
    let late = mesh.machines[0].seq + 1;
    mesh.machines[0].kill();
    mesh.machines[0].start();
    let start = Instant::now();
    while mesh.machines[0].withdraw(None).await != Some(200) {
        assert!(start.elapsed() < START_TIMEOUT, "it is not acknowledged");
        task::sleep(POLL).await;
    }
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}

// Guards against a departure that a stopping proxy acknowledges and takes with it.
#[async_std::test]
async fn a_departure_outlives_the_planned_stop_of_the_proxy() {
    let mut mesh = Mesh::start(11).await;
    let late = mesh.machines[0].seq + 1;
    let process = mesh.machines[0].process.as_mut().expect("it runs");
    process.signal(Signal::TERM);
    task::sleep(Duration::from_millis(1800)).await;
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    let left = Instant::now();
    let process = mesh.machines[0].process.as_mut().expect("it runs");
    while process.exit_status().is_none() {
        assert!(left.elapsed() < START_TIMEOUT, "it does not end");
        task::sleep(POLL).await;
    }
    assert_eq!(mesh.restart_and_watch(late, BORN, left).await, 0);
}
