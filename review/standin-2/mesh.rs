//! A small deployment: proxies as processes of their own, with the stand-ins beside them.

use crate::http::{self, Message};
use crate::record::Record;
use crate::server::{Options, Run, Server};
use crate::store::Store;
use std::fs;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TEMPLATE: &str = "deploy/settings.json.template";
const DEPLOY: &str = "deploy/system.toml";

/// Where a machine is and what its server runs.
#[derive(Clone, Copy)]
pub struct Place {
    pub zone: &'static str,
    pub service: &'static str,
    /// Time that the server works on a request.
    pub work: Duration,
    pub slots: u32,
}

impl Place {
    pub fn new(zone: &'static str, service: &'static str) -> Place {
        Place {
            zone,
            service,
            work: Duration::from_millis(60),
            slots: 12,
        }
    }
}

pub struct Machine {
    pub name: String,
    pub place: Place,
    pub server: Arc<Server>,
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

pub struct Mesh {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub machines: Vec<Machine>,
    command: Vec<String>,
}

/// First port that is tried. The range lies below that of the ports of outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// Returns `count` free addresses, which no other call returns.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut found = Vec::new();
    while found.len() < count {
        let step = std::process::id() * 200 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + step % PORTS;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            found.push(listener.local_addr().unwrap());
        }
    }
    found
}

/// Fills in the template of the settings as the platform does. Sections for fields that the
/// deployment does not have are left out.
fn fill(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name = text[start + 3..].split("}}").next().unwrap().to_owned();
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        if fields.iter().any(|(n, _)| *n == name) {
            text = text.replacen(&open, "", 1).replacen(&close, "", 1);
            continue;
        }
        let end = text.find(&close).expect("end of a section") + close.len();
        text.replace_range(start..end, "");
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
    }
    assert!(!text.contains("{{"), "unfilled field in {text}");
    text
}

impl Mesh {
    /// Starts the store, the servers and the proxies. Files are kept in `folder`.
    pub fn start(record: Arc<Record>, folder: &Path, places: Vec<Place>, config: &str) -> Mesh {
        let template = fs::read_to_string(TEMPLATE).expect("template of the settings");
        let deploy = fs::read_to_string(DEPLOY).expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = "))
            .expect("run in the deploy file");
        let command: Vec<String> = run
            .trim_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect();
        let store = Arc::new(Store::default());
        store.write("config", "main", config);
        let runs = Arc::default();
        let mut machines = Vec::new();
        for (number, place) in places.into_iter().enumerate() {
            let in_zone = machines
                .iter()
                .filter(|m: &&Machine| m.place.zone == place.zone)
                .count();
            let name = format!("sidecar-{}-{}", place.zone, in_zone + 1);
            let addresses = free_addresses(6);
            let [callers, relay, readiness, control, app, store_address] = addresses[..] else {
                unreachable!("six addresses were asked for");
            };
            let listener = TcpListener::bind(store_address).expect("free port");
            store.serve(number, listener);
            let fields = [
                ("nodeName", name.clone()),
                ("zone", place.zone.to_owned()),
                ("region", "mtl".to_owned()),
                ("listen.outbound", callers.to_string()),
                ("listen.inbound", relay.to_string()),
                ("listen.ready", readiness.to_string()),
                ("listen.control", control.to_string()),
                ("service", place.service.to_owned()),
                ("appAddr", app.to_string()),
                ("platform.address", store_address.to_string()),
                ("limits.memoryMb", "260".to_owned()),
                ("limits.maxFds", "4100".to_owned()),
                ("limits.linkMbps", "1000.0".to_owned()),
                ("bounds.grace", "6s".to_owned()),
                ("bounds.retryBudgetRatio", "0.2".to_owned()),
                ("bounds.retryBudgetSlack", "62".to_owned()),
                ("bounds.exposeShare", "0.1".to_owned()),
            ];
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, fill(&template, &fields)).expect("settings");
            let options = Options {
                name: name.clone(),
                service: place.service.to_owned(),
                zone: place.zone.to_owned(),
                address: app,
                control,
                work: place.work,
                slots: place.slots,
            };
            let server = Server::start(options, record.clone(), Arc::clone(&runs));
            machines.push(Machine {
                log: folder.join(format!("{name}.log")),
                name,
                place,
                callers,
                readiness,
                settings,
                server,
                process: None,
            });
        }
        let mut mesh = Mesh {
            record,
            store,
            runs,
            machines,
            command,
        };
        for number in 0..mesh.machines.len() {
            mesh.start_proxy(number);
        }
        mesh
    }

    pub fn start_proxy(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&machine.log)
            .expect("log file");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("ROSEMARYFORK_BOOT", &machine.settings)
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("the proxy of the deploy file's build");
        machine.process = Some(child);
    }

    /// Returns the address for the clients of a machine.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.machines[number].callers
    }

    /// Returns the process id of the proxy of a machine.
    pub fn process(&self, number: usize) -> Option<u32> {
        self.machines[number].process.as_ref().map(Child::id)
    }

    /// Kills the proxy of a machine.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.machines[number].process.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Kills all proxies at the same moment.
    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.process {
                child.kill().ok();
            }
        }
        for machine in &mut self.machines {
            if let Some(mut child) = machine.process.take() {
                child.wait().ok();
            }
        }
    }

    /// Returns whether the proxy of a machine says that it is ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let address = self.machines[number].readiness;
        let request =
            format!("GET /api/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
        let answer = http::call(address, &request, b"", Duration::from_secs(1));
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Waits until all proxies are ready; returns whether they are within ten seconds.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..100 {
            if (0..self.machines.len()).all(|number| self.is_ready(number)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a request of a client on a machine.
    pub fn request(
        &self,
        number: usize,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> io::Result<Message> {
        self.request_with(number, (method, path), (id, ""), b"", deadline_ms)
    }

    /// Sends a request with a body and further header lines.
    pub fn request_with(
        &self,
        number: usize,
        (method, path): (&str, &str),
        (id, headers): (&str, &str),
        body: &[u8],
        deadline_ms: u64,
    ) -> io::Result<Message> {
        let call = (method, path, id);
        send(
            &self.record,
            self.callers(number),
            call,
            headers,
            body,
            deadline_ms,
        )
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Sends a request of a client, with further header lines, to the proxy at `address`.
pub fn send(
    record: &Record,
    address: SocketAddr,
    (method, path, id): (&str, &str, &str),
    headers: &str,
    body: &[u8],
    deadline_ms: u64,
) -> io::Result<Message> {
    record.log(&format!(
        "client sends {method} {path} as {id} to {address}"
    ));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
         X-Rosemaryfork-Request-Id: {id}\r\nX-Rosemaryfork-Deadline-Ms: {deadline_ms}\r\n{headers}"
    );
    let answer = http::call(address, &request, body, Duration::from_millis(deadline_ms));
    let text = match &answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => error.to_string(),
    };
    record.log(&format!("client gets {text} for {id} from {address}"));
    answer
}
