//! Machines of the users' platform with the program as a process beside each backend server.
//!
//! `ROSEMARYFORK_PROGRAM` names another build of the program to play the cases on.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use async_std::task;
use rf_base::Millis;
use rf_config::ProxySettings;
use rf_soak::child::Process;
use rf_standin::users::mesh::{CallerRequest, call, encode, proxy_settings, read_answer};
use rf_standin::users::{UsersServer, UsersStore};
use rf_transport::h1::Connection;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Start time of the first process of each server.
pub const BORN: u64 = 1_700_000_000_000;
/// Interval between the requests of a caller.
const PACE: Duration = Duration::from_millis(15);
/// Longest wait for the start of a process or for an acknowledgement.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which an awaited condition is checked.
pub const POLL: Duration = Duration::from_millis(10);

/// What the machines of a mesh have.
#[derive(Clone, Copy)]
pub struct Equipment {
    /// Service of the backend server of each machine.
    pub services: [&'static str; 3],
    /// Slots of each backend server.
    pub slots: u32,
    /// Memory of each proxy, in MiB.
    pub memory: u64,
    /// Port at which the first proxy is reached by others, if it is not that on which it listens.
    pub relay_public: Option<u16>,
}

impl Default for Equipment {
    fn default() -> Self {
        Equipment {
            services: ["payments"; 3],
            slots: 4,
            memory: 256,
            relay_public: None,
        }
    }
}

/// A proxy process beside a backend server.
pub struct Machine {
    pub service: &'static str,
    pub slots: u32,
    pub settings: ProxySettings,
    pub folder: PathBuf,
    pub server: UsersServer,
    pub process: Option<Process>,
    pub born: u64,
    pub seq: u64,
}

impl Machine {
    pub fn start(&mut self) {
        let program = std::env::var_os("ROSEMARYFORK_PROGRAM")
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_rosemaryfork").into());
        let log = self.folder.join("log.jsonl");
        let settings = self.folder.join("settings.json");
        let process = Process::start(program.as_ref(), &settings, &log);
        self.process = Some(process.expect("the program starts"));
    }

    pub fn kill(&mut self) {
        self.process = None;
    }

    pub async fn announce(&self, seq: u64, born: u64, state: &str) -> Option<u16> {
        let body = json!({
            "address": self.server.address(), "born": born,
            "info": { "service": self.service, "version": "v1", "zone": "zone-a", "slots": self.slots },
            "status": { "state": state, "seq": seq, "coldRemaining": "0ms" },
        });
        self.call("PUT", body.to_string().into_bytes()).await
    }

    /// Sends the next heartbeat.
    pub async fn beat(&mut self, state: &str) -> Option<u16> {
        self.seq += 1;
        self.announce(self.seq, self.born, state).await
    }

    pub async fn withdraw(&self, born: Option<u64>) -> Option<u16> {
        let body = born.map(|born| json!({ "born": born }).to_string().into_bytes());
        self.call("DELETE", body.unwrap_or_default()).await
    }

    pub async fn call(&self, method: &str, body: Vec<u8>) -> Option<u16> {
        let target = format!("/api/instances/{}", self.server.id());
        let address = self.settings.listen.announcements;
        call(address, method, &target, body).await.ok()
    }
}

/// Three machines with a backend server of the same service each.
pub struct Mesh {
    pub machines: Vec<Machine>,
    pub store: UsersStore,
    pub is_over: Arc<AtomicBool>,
}

impl Mesh {
    /// Starts the machines, with callers at each of them, and waits until each server is used.
    pub async fn start(network: u8) -> Mesh {
        let mut mesh = Mesh::start_idle(network).await;
        for machine in &mesh.machines {
            let address = machine.settings.listen.callers;
            task::spawn(send_requests(address, mesh.is_over.clone()));
        }
        mesh.wait_until_used().await;
        mesh
    }

    /// Starts the machines.
    pub async fn start_idle(network: u8) -> Mesh {
        Mesh::start_with(network, Equipment::default()).await
    }

    /// Starts the machines with other equipment.
    pub async fn start_with(network: u8, equipment: Equipment) -> Mesh {
        let store = UsersStore::start().await.expect("the store starts");
        store.write("config", "main", config());
        let mut machines = Vec::new();
        for (number, service) in (1..).zip(equipment.services) {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 11, network, number));
            let name = format!("{service}-{number}");
            let id = format!("i-{name}");
            let server = UsersServer::start(&id, SocketAddr::new(ip, 8080));
            let mut settings = proxy_settings(&name, service, ip, store.address());
            settings.limits.memory = equipment.memory;
            let relay_public = equipment.relay_public.filter(|_| number == 1);
            settings.listen.relay_public = relay_public.map(|port| SocketAddr::new(ip, port));
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!(
                "departures-{}-{network}-{number}",
                std::process::id()
            ));
            std::fs::create_dir_all(&folder).expect("a folder");
            let text = serde_json::to_string(&settings).expect("settings encode");
            std::fs::write(folder.join("settings.json"), text).expect("settings are written");
            let mut machine = Machine {
                service,
                slots: equipment.slots,
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
        Mesh {
            machines,
            store,
            is_over: Arc::default(),
        }
    }

    /// Sends heartbeats until each server has been reached.
    pub async fn wait_until_used(&mut self) {
        let start = Instant::now();
        while self.machines.iter().any(|m| m.server.arrivals().is_empty()) {
            assert!(start.elapsed() < START_TIMEOUT, "a server is not used");
            for machine in &mut self.machines {
                machine.beat("ready").await;
            }
            task::sleep(POLL * 5).await;
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> serde_json::Value {
    json!({
        "name": name, "pathPrefix": prefix, "kind": kind, "timeout": "1500ms",
        "targetLatency": "400ms", "priority": 1, "maxAttempts": 3, "service": service,
    })
}

fn config() -> serde_json::Value {
    json!({
        "version": "r2",
        "services": [
            { "name": "payments", "maxConnections": 100 },
            { "name": "records", "maxConnections": 100 },
            { "name": "archive", "maxConnections": 100 },
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeout": "2s", "idleTimeout": "15s",
        },
        "virtualHosts": [{ "host": "mesh.example", "paths": [
            route("pay", "/pay/", "unsafe", "payments"),
            route("read", "/read/", "safe", "payments"),
            route("archive", "/archive/", "safe", "archive"),
        ] }],
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
