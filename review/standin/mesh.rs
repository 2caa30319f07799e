//! Machines of a small deployment: the project's proxy as a process of its own beside each server.

use crate::http::call;
use crate::record::Record;
use crate::server::{Server, ServerSettings};
use crate::store::{Store, StorePath};
use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_processes() {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status()
            .ok();
    }
}

/// Memory of a machine in MB, as on the sheets.
pub const MEMORY_MB: u64 = 260;

pub struct Machine {
    pub name: String,
    pub service: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    logs: PathBuf,
    pub process: Mutex<Option<Child>>,
    pub server: Arc<Server>,
    pub store_path: StorePath,
}

pub struct Mesh {
    pub store: Store,
    pub machines: Vec<Arc<Machine>>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

/// Value of `name = "..."` in the deploy file.
fn deploy_value(text: &str, name: &str) -> String {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.trim_start().strip_prefix('='));
    line.map(|l| l.trim().trim_matches('"').to_owned())
        .expect("the deploy file has the value")
}

/// Fills in the template of the settings: values, and sections of values that are absent.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let end = start + text[start..].find("}}").expect("a section has a name");
        let name = text[start + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let last = text.find(&close).expect("a section ends");
        let inner = match values.contains_key(name.as_str()) {
            true => text[end + 2..last].to_owned(),
            false => String::new(),
        };
        text.replace_range(start..last + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("a placeholder ends");
        let name = text[start + 2..end].trim_end_matches("|json").to_owned();
        let value = values.get(name.as_str()).cloned().unwrap_or_default();
        text.replace_range(start..end + 2, &value);
    }
    text
}

/// Returns ports that are free on all addresses.
fn free_ports(ips: &[String], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a free port")
            .port();
        let is_free = ips
            .iter()
            .all(|ip| TcpListener::bind(format!("{ip}:{port}")).is_ok());
        if is_free && !ports.contains(&port) {
            ports.push(port);
        }
    }
    ports
}

impl Mesh {
    /// Starts the store, the servers and the proxies; `services` has one entry a machine.
    pub fn start(services: &[&str], slots: u32, work: Duration, seed: u64) -> Mesh {
        let record = Arc::new(Record::new());
        let folder = std::env::temp_dir().join(format!("rf-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = std::process::id() % 200 + 20;
        let ips: Vec<String> = (1..=services.len())
            .map(|n| format!("127.{net}.7.{n}"))
            .collect();
        let store_ips: Vec<String> = (1..=services.len())
            .map(|n| format!("127.{net}.9.{n}"))
            .collect();
        let all = [ips.clone(), store_ips.clone()].concat();
        let ports = free_ports(&all, 6);
        let at =
            |ip: &str, n: usize| -> SocketAddr { format!("{ip}:{}", ports[n]).parse().unwrap() };
        let store = Store::new();
        let deploy = fs::read_to_string("deploy/system.toml").expect("run in the project's root");
        let template = fs::read_to_string(deploy_value(&deploy, "template")).expect("the template");
        let mut mesh = Mesh {
            store,
            machines: Vec::new(),
            record,
            folder,
        };
        for (index, (service, ip)) in services.iter().zip(&ips).enumerate() {
            let name = format!("sidecar-a-{}", index + 1);
            let store_path = mesh.store.serve_at(at(&store_ips[index], 5));
            let text = |v: &str| v.to_owned();
            let values = BTreeMap::from([
                ("nodeName", name.clone()),
                ("zone", text("zone-a")),
                ("region", text("region")),
                ("listen.outbound", at(ip, 0).to_string()),
                ("listen.inbound", at(ip, 1).to_string()),
                ("listen.ready", at(ip, 2).to_string()),
                ("listen.control", at(ip, 3).to_string()),
                ("service", text(service)),
                ("appAddr", at(ip, 4).to_string()),
                ("platform.address", store_path.address.to_string()),
                ("limits.memoryMb", MEMORY_MB.to_string()),
                ("limits.maxFds", text("4100")),
                ("limits.linkMbps", text("1000.0")),
                ("bounds.grace", text("6s")),
                ("bounds.retryBudgetRatio", text("0.2")),
                ("bounds.retryBudgetSlack", text("60")),
                ("bounds.exposeShare", text("0.1")),
            ]);
            let settings = mesh.folder.join(format!("{name}.json"));
            fs::write(&settings, render(&template, &values)).expect("the settings can be written");
            let server = ServerSettings {
                id: format!(
                    "i-{:08x}",
                    seed.wrapping_mul(2_654_435_761).wrapping_add(index as u64) as u32
                ),
                service: text(service),
                zone: text("zone-a"),
                address: at(ip, 4),
                control: at(ip, 3),
                slots,
                work,
                heartbeat: Duration::from_millis(1500),
            };
            let server = Server::start(server, seed + index as u64, mesh.record.clone());
            mesh.machines.push(Arc::new(Machine {
                name: name.clone(),
                service: text(service),
                callers: at(ip, 0),
                ready: at(ip, 2),
                settings,
                logs: mesh.folder.join(format!("{name}.log")),
                process: Mutex::default(),
                server,
                store_path,
            }));
        }
        for machine in &mesh.machines {
            machine.start_process();
        }
        mesh
    }

    /// Writes a version of the configuration with the given routes: kind, path prefix, service.
    pub fn configure(&self, version: u32, timeout_ms: u64, routes: &[(&str, &str, &str)]) {
        let mut names: Vec<&str> = self.machines.iter().map(|m| m.service.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let service = |s: &&str| {
            format!(
                r#"{{"name":"{s}","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false}}"#
            )
        };
        let services: Vec<String> = names.iter().map(service).collect();
        let route = |(kind, prefix, service): &(&str, &str, &str)| {
            let name = prefix.replace('/', "-");
            format!(
                r#"{{"name":"r{name}","pathPrefix":"{prefix}","kind":"{kind}","timeout":"{timeout_ms}ms","targetLatency":"600ms","priority":1,"service":"{service}","maxAttempts":2}}"#
            )
        };
        let routes: Vec<String> = routes.iter().map(route).collect();
        let spec = format!(
            r#"{{"version":"r{version}","services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"mesh.example","paths":[{}]}}]}}"#,
            services.join(","),
            routes.join(",")
        );
        self.store.write("config", "main", &spec);
        self.record.add(format!(
            "the operator writes configuration r{version}; acknowledged"
        ));
    }

    /// Waits until every proxy is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        for machine in &self.machines {
            while !machine.is_ready() {
                if Instant::now() > end {
                    return Err(format!("{} is not ready", machine.name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        for machine in &self.machines {
            machine.kill_process();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

impl Machine {
    /// Starts the proxy with the command of the deploy file.
    pub fn start_process(&self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("run in the project's root");
        let run = deploy_value(&deploy, "run");
        let mut words = run.split(' ');
        let program = Path::new(words.next().unwrap_or_default());
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.logs)
            .expect("a log file");
        let kept = ["PATH", "HOME", "LANG"]
            .into_iter()
            .filter_map(|n| Some((n, std::env::var_os(n)?)));
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .envs(kept)
            .env("ROSEMARYFORK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        PROCESSES.lock().unwrap().push(child.id());
        *self.process.lock().unwrap() = Some(child);
    }

    /// Ends the proxy with SIGKILL.
    pub fn kill_process(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            PROCESSES.lock().unwrap().retain(|pid| *pid != child.id());
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        let probe = call(
            self.ready,
            "GET",
            "/api/readiness",
            "",
            Duration::from_secs(1),
        );
        matches!(probe, Ok((200, _)))
    }
}
