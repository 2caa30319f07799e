//! A small mesh on the users' platform: proxies of the product, each beside a backend server, in
//! this process, and a store.

use super::server::UsersServer;
use super::store::UsersStore;
use async_std::future::timeout;
use async_std::task;
use rf_base::{Clock, Millis};
use rf_config::ProxySettings;
use rf_config::proxy::{Bounds, LoadPolicy, LocalServer, ProcessLimits, ProxyListen};
use rf_platform::{ObjectClient, PlatformDialect, PlatformSource};
use rf_proxy::Proxy;
use rf_transport::h1::{Connection, ReadLimits, RequestHead, ResponseHead, frame_response};
use serde_json::{Value, json};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

/// Longest wait for something that must happen.
const WAIT_TIMEOUT: Millis = Millis::from_secs(20);
/// Longest wait for the answer to a call; a heartbeat counts if it is acknowledged within a second.
const CALL_TIMEOUT: Millis = Millis(1000);
/// Time from the signal to stop until the end, unless a mesh says otherwise.
const STOP_GRACE: Millis = Millis(6000);
/// Link of an instance in megabits a second, unless a mesh says otherwise.
const LINK_MBIT: f64 = 1000.0;
/// Pause between two looks.
const POLL_INTERVAL: Millis = Millis(10);

/// Shape of a mesh.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Services, each with the number of its backend servers.
    pub services: Vec<(String, usize)>,
    /// Slots of each backend server.
    pub slots: u32,
    /// Second to third byte of the addresses, so that meshes in one process do not meet.
    pub network: u8,
    /// Time from the signal to stop until the end.
    pub grace: Millis,
    /// Link of each instance, in megabits a second.
    pub link: f64,
}

impl Default for MeshSettings {
    fn default() -> Self {
        MeshSettings {
            services: vec![("payments".to_owned(), 2)],
            slots: 4,
            network: 1,
            grace: STOP_GRACE,
            link: LINK_MBIT,
        }
    }
}

/// One instance: a proxy with its backend server.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Version that the backend server announces.
    pub version: String,
    /// The backend server.
    pub server: UsersServer,
    /// The proxy, while it runs.
    pub proxy: Option<Proxy<PlatformDialect>>,
    settings: ProxySettings,
    seq: u64,
}

/// A running mesh.
#[derive(Debug)]
pub struct Mesh {
    /// The store.
    pub store: UsersStore,
    /// Instances.
    pub instances: Vec<Instance>,
    settings: MeshSettings,
    version: u64,
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the time after which the caller may come back, in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.head.headers.get("Retry-After")?.parse().ok()
    }
}

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Id.
    pub id: String,
    /// Time that the caller waits.
    pub timeout: Millis,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Makes a request that may be repeated.
    pub fn read(request: &str) -> CallerRequest {
        CallerRequest {
            method: "GET",
            target: "/read/x?y=%2F".to_owned(),
            id: request.to_owned(),
            timeout: Millis(3000),
            body: Vec::new(),
        }
    }

    /// Makes a request that must run once at most.
    pub fn pay(request: &str) -> CallerRequest {
        CallerRequest {
            method: "POST",
            target: "/pay/x".to_owned(),
            body: b"amount=5".to_vec(),
            ..CallerRequest::read(request)
        }
    }
}

impl Mesh {
    /// Starts a mesh and waits until every proxy serves every service.
    ///
    /// # Errors
    ///
    /// Returns an error where an address cannot be had or a proxy does not start.
    pub async fn start(settings: MeshSettings) -> io::Result<Mesh> {
        let store = UsersStore::start().await?;
        let mut mesh = Mesh {
            store,
            instances: Vec::new(),
            settings: settings.clone(),
            version: 1,
        };
        mesh.write_table(&mesh.default_routes());
        for (service, count) in &settings.services {
            for _ in 0..*count {
                mesh.add(service, "v1").await?;
            }
        }
        mesh.wait_until_serving().await;
        Ok(mesh)
    }

    /// Adds an instance whose backend server announces itself.
    ///
    /// # Errors
    ///
    /// Returns an error where an address cannot be had or the proxy does not start.
    pub async fn add(&mut self, service: &str, version: &str) -> io::Result<usize> {
        let number = self.instances.len() as u8 + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 9, self.settings.network, number));
        let name = format!("{service}-{number}");
        let server = UsersServer::start(&format!("i-{name}"), SocketAddr::new(ip, 8080)).await?;
        let mut settings = proxy_settings(&name, service, ip, self.store.address());
        settings.limits.link = self.settings.link;
        settings.bounds.grace = self.settings.grace;
        let mut instance = Instance {
            name,
            service: service.to_owned(),
            version: version.to_owned(),
            server,
            proxy: None,
            settings,
            seq: 0,
        };
        instance.start_proxy().await?;
        instance.announce("ready").await?;
        self.instances.push(instance);
        Ok(self.instances.len() - 1)
    }

    /// Writes the next version of the configuration; returns its number.
    pub fn write_table(&mut self, hosts: &Value) -> u64 {
        self.version += 1;
        let services: Vec<Value> = self
            .settings
            .services
            .iter()
            .map(|(name, _)| json!({ "name": name, "maxConnections": 100 }))
            .collect();
        let document = json!({
            "version": format!("r{}", self.version),
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1_048_576,
                "headerTimeout": "3000ms",
                "idleTimeout": "15s",
            },
            "virtualHosts": hosts,
        });
        self.store.write("config", "main", document);
        self.version
    }

    /// Returns routes `/read/` and `/pay/` of host `mesh.example` to the first service, and one
    /// `/NAME/` to each service.
    pub fn default_routes(&self) -> Value {
        let first = &self.settings.services[0].0;
        let mut paths = vec![
            route("read", "/read/", "safe", first),
            route("pay", "/pay/", "unsafe", first),
        ];
        for (name, _) in &self.settings.services {
            paths.push(route(name, &format!("/{name}/"), "safe", name));
        }
        json!([{ "host": "mesh.example", "paths": paths }])
    }

    /// Sends a request to the proxy of an instance on a connection of its own.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection ends without a whole answer.
    pub async fn send(&self, instance: usize, request: &CallerRequest) -> io::Result<Answer> {
        let mut connection = self.connect(instance).await?;
        self.send_on(&mut connection, request).await
    }

    /// Opens a connection to the proxy of an instance, as a caller does.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn connect(&self, instance: usize) -> io::Result<Connection> {
        let address = self.instances[instance].settings.listen.callers;
        Connection::open(address, Millis(1000)).await
    }

    /// Sends a request on a connection and reads its answer.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection ends without a whole answer.
    pub async fn send_on(
        &self,
        connection: &mut Connection,
        request: &CallerRequest,
    ) -> io::Result<Answer> {
        connection.write(&encode(request)).await?;
        read_answer(connection, request.method).await
    }

    /// Waits until each proxy serves a request for each service.
    ///
    /// # Panics
    ///
    /// Panics where that does not happen in time.
    pub async fn wait_until_serving(&self) {
        for (number, instance) in self.instances.iter().enumerate() {
            if instance.proxy.is_none() {
                continue;
            }
            for (service, _) in &self.settings.services {
                let request = CallerRequest {
                    target: format!("/{service}/warm"),
                    ..CallerRequest::read("warm-up")
                };
                wait_until(&format!("{} serves {service}", instance.name), || async {
                    let answer = self.send(number, &request).await;
                    answer.is_ok_and(|a| a.head.status == 200)
                })
                .await;
            }
        }
    }

    /// Returns how often a request began to run, over all backend servers.
    pub fn runs(&self, request: &str) -> usize {
        self.instances.iter().map(|i| i.server.runs(request)).sum()
    }
}

impl Instance {
    /// Starts the proxy, which knows nothing of an earlier life.
    ///
    /// # Errors
    ///
    /// Returns an error where it does not start.
    pub async fn start_proxy(&mut self) -> io::Result<()> {
        let source = PlatformSource::new(ObjectClient::new(self.settings.store));
        let starting = Proxy::start(
            self.settings.clone(),
            PlatformDialect,
            source,
            Clock::system(),
        );
        self.proxy = Some(starting.await.map_err(io::Error::other)?);
        Ok(())
    }

    /// Sends the next heartbeat of the backend server; returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no answer.
    pub async fn announce(&mut self, state: &str) -> io::Result<u16> {
        self.seq += 1;
        self.announce_numbered(self.seq, state).await
    }

    /// Sends a heartbeat with the given number.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no answer.
    pub async fn announce_numbered(&self, seq: u64, state: &str) -> io::Result<u16> {
        let beat = json!({
            "address": self.server.address(),
            "born": 1000,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": "zone-a",
                "slots": 4,
            },
            "status": { "state": state, "seq": seq, "coldRemaining": "0ms" },
        });
        let target = format!("/api/instances/{}", self.server.id());
        let body = beat.to_string().into_bytes();
        self.call_announcements("PUT", &target, body).await
    }

    /// Tells the proxy that the backend server leaves.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no answer.
    pub async fn withdraw(&self) -> io::Result<u16> {
        let target = format!("/api/instances/{}", self.server.id());
        self.call_announcements("DELETE", &target, Vec::new()).await
    }

    /// Asks whether the proxy takes requests.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no answer.
    pub async fn readiness(&self) -> io::Result<u16> {
        self.call_announcements("GET", "/api/readiness", Vec::new())
            .await
    }

    /// Sends a call to the address for announcements.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no answer.
    pub async fn call_announcements(
        &self,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> io::Result<u16> {
        call(self.settings.listen.announcements, method, target, body).await
    }
}

/// Sends a call on a connection of its own; returns the status of the answer.
///
/// # Errors
///
/// Returns an error where there is no answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: Vec<u8>,
) -> io::Result<u16> {
    let mut connection = Connection::open(address, CALL_TIMEOUT).await?;
    let head = RequestHead::new(method, target, &address.to_string());
    let mut bytes = head.encode(body.len());
    bytes.extend_from_slice(&body);
    connection.write(&bytes).await?;
    let reading = read_answer(&mut connection, method);
    let answer = timeout(CALL_TIMEOUT.duration(), reading).await;
    Ok(answer.map_err(io::Error::other)??.head.status)
}

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name,
        "pathPrefix": prefix,
        "kind": kind,
        "timeout": "3000ms",
        "targetLatency": "1s",
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
    })
}

/// Returns the settings of a proxy at `ip` with its backend server beside it.
pub fn proxy_settings(name: &str, service: &str, ip: IpAddr, store: SocketAddr) -> ProxySettings {
    let at = |port| SocketAddr::new(ip, port);
    ProxySettings {
        instance: name.to_owned(),
        zone: "zone-a".into(),
        region: "region".to_owned(),
        listen: ProxyListen {
            callers: at(9001),
            relay: at(9002),
            relay_public: None,
            readiness: at(9003),
            announcements: at(9004),
        },
        server: LocalServer {
            service: service.into(),
            address: at(8080),
        },
        store,
        limits: ProcessLimits {
            memory: 256,
            descriptors: 4096,
            link: LINK_MBIT,
        },
        bounds: Bounds {
            grace: STOP_GRACE,
            repeat_share: 0.2,
            repeat_slack: 56.0,
            trial_share: 0.1,
        },
        policy: LoadPolicy::default(),
        log: "info".to_owned(),
    }
}

/// Encodes a request with the headers of a caller.
pub fn encode(request: &CallerRequest) -> Vec<u8> {
    let mut head = RequestHead::new(request.method, &request.target, "mesh.example");
    head.headers.add("X-Rosemaryfork-Request-Id", &request.id);
    let left = request.timeout.0.to_string();
    head.headers.add("X-Rosemaryfork-Deadline-Ms", &left);
    let mut bytes = head.encode(request.body.len());
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Reads the answer to a request.
///
/// # Errors
///
/// Returns an error where the connection ends without a whole answer.
pub async fn read_answer(connection: &mut Connection, method: &str) -> io::Result<Answer> {
    let limits = ReadLimits::default();
    let head = connection.read_response(&limits).await;
    let head = head.map_err(io::Error::other)?;
    let framing = frame_response(&head, method).map_err(io::Error::other)?;
    let body = connection.read_body(framing, &limits).await;
    Ok(Answer {
        head,
        body: body.map_err(io::Error::other)?,
    })
}

/// Waits until `check` holds.
///
/// # Panics
///
/// Panics where it does not hold in time.
pub async fn wait_until<F, Fut>(what: &str, mut check: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT.duration() {
        if check().await {
            return;
        }
        task::sleep(POLL_INTERVAL.duration()).await;
    }
    panic!("not within {WAIT_TIMEOUT}: {what}");
}
