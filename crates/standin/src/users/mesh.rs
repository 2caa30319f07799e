//! Small mesh on the users' platform that runs in the test process: proxies of the product, each
//! beside a backend server stand-in, and a store stand-in.

use super::server::UsersServer;
use super::store::UsersStore;
use async_std::future::timeout;
use async_std::task;
use rf_base::{Clock, Millis};
use rf_config::ProxySettings;
use rf_config::proxy::{
    Bounds, HedgingPolicy, LoadPolicy, LocalServer, ProcessLimits, ProxyListen, QUOTA_OVER,
    QUOTA_SLACK, QUOTA_WINDOW,
};
use rf_platform::{ObjectClient, PlatformDialect, PlatformSource};
use rf_proxy::Proxy;
use rf_transport::h1::{Connection, ReadLimits, RequestHead, ResponseHead, frame_response};
use serde_json::{Value, json};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

/// Longest wait for a condition of a test.
const WAIT_TIMEOUT: Millis = Millis::from_secs(20);
/// Longest wait for the response to a call of a backend server. The platform counts a heartbeat
/// only if it is acknowledged within a second.
const CALL_TIMEOUT: Millis = Millis(1000);
/// Default time between the stop signal and the forced termination.
const STOP_GRACE: Millis = Millis(6000);
/// Port on which the proxies listen for each other.
pub const RELAY_PORT: u16 = 9002;
/// Default bandwidth of the link of an instance in megabits per second.
const LINK_MBIT: f64 = 1000.0;
/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Millis = Millis(10);

/// Settings of a mesh.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Services with the number of backend servers of each.
    pub services: Vec<(String, usize)>,
    /// Number of concurrent calls of each backend server.
    pub slots: u32,
    /// Third byte of the addresses (`127.9.NETWORK.x`). Meshes that run concurrently in one process
    /// need different values.
    pub network: u8,
    /// Time between the stop signal and the forced termination of a proxy.
    pub grace: Millis,
    /// Bandwidth of the link of each instance in megabits per second.
    pub link: f64,
    /// Port at which the proxies reach each other, if it is not that on which they listen
    /// ([`RELAY_PORT`]).
    pub relay_public: Option<u16>,
    /// Limit on hedged requests; off by default.
    pub hedging: HedgingPolicy,
    /// Longest body that callers may send, in bytes.
    pub max_body: usize,
}

impl Default for MeshSettings {
    fn default() -> Self {
        MeshSettings {
            services: vec![("payments".to_owned(), 2)],
            slots: 4,
            network: 1,
            grace: STOP_GRACE,
            link: LINK_MBIT,
            relay_public: None,
            hedging: HedgingPolicy::default(),
            max_body: 1024 * 1024,
        }
    }
}

/// An instance: a proxy with its backend server.
#[derive(Debug)]
pub struct Instance {
    /// Instance name, `SERVICE-NUMBER`.
    pub name: String,
    /// Service of the backend server.
    pub service: String,
    /// Version that the backend server announces.
    pub version: String,
    /// Backend server stand-in.
    pub server: UsersServer,
    /// Proxy; `None` while it is stopped.
    pub proxy: Option<Proxy<PlatformDialect>>,
    settings: ProxySettings,
    seq: u64,
}

/// A running mesh.
#[derive(Debug)]
pub struct Mesh {
    /// Store stand-in.
    pub store: UsersStore,
    /// Instances in the order in which they were added.
    pub instances: Vec<Instance>,
    settings: MeshSettings,
    version: u64,
}

/// A response as received by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Decoded body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of `Retry-After` in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.head.headers.get("Retry-After")?.parse().ok()
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Request id, sent in `X-Rosemaryfork-Request-Id`.
    pub id: String,
    /// Time that the caller waits, sent in `X-Rosemaryfork-Deadline-Ms`.
    pub timeout: Millis,
    /// Decoded body.
    pub body: Vec<u8>,
    /// Further header fields.
    pub headers: Vec<(&'static str, String)>,
}

impl CallerRequest {
    /// Creates a request on the route `read`, which may be retried.
    pub fn read(id: &str) -> CallerRequest {
        CallerRequest {
            method: "GET",
            target: "/read/x?y=%2F".to_owned(),
            id: id.to_owned(),
            timeout: Millis(3000),
            body: Vec::new(),
            headers: Vec::new(),
        }
    }

    /// Returns the request with an API key.
    pub fn with_key(mut self, key: &str) -> CallerRequest {
        let value = format!("Bearer {key}");
        self.headers.push(("Authorization", value));
        self
    }

    /// Creates a request on the route `pay`, which must run at most once.
    pub fn pay(id: &str) -> CallerRequest {
        CallerRequest {
            method: "POST",
            target: "/pay/x".to_owned(),
            body: b"amount=5".to_vec(),
            ..CallerRequest::read(id)
        }
    }
}

impl Mesh {
    /// Starts a mesh and waits until every proxy serves every service.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is not available or a proxy cannot be started.
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

    /// Adds and starts an instance, sends the first heartbeat of its backend server, and returns
    /// the instance's index.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is not available or the proxy cannot be started.
    pub async fn add(&mut self, service: &str, version: &str) -> io::Result<usize> {
        let number = self.instances.len() as u8 + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 9, self.settings.network, number));
        let name = format!("{service}-{number}");
        let server = UsersServer::start(&format!("i-{name}"), SocketAddr::new(ip, 8080)).await?;
        let mut settings = proxy_settings(&name, service, ip, self.store.address());
        settings.limits.link = self.settings.link;
        settings.bounds.grace = self.settings.grace;
        settings.policy.hedging = self.settings.hedging;
        let relay_public = self.settings.relay_public;
        settings.listen.relay_public = relay_public.map(|port| SocketAddr::new(ip, port));
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

    /// Sets the bandwidth of the links of instances that are added from now on, in megabits per
    /// second.
    pub fn set_link(&mut self, link: f64) {
        self.settings.link = link;
    }

    /// Writes the next version of the configuration with the given virtual hosts to the store and
    /// returns its number.
    pub fn write_table(&mut self, hosts: &Value) -> u64 {
        self.write_tenants(hosts, &json!([]))
    }

    /// Writes the next version of the configuration with the given virtual hosts and organisations
    /// to the store and returns its number.
    pub fn write_tenants(&mut self, hosts: &Value, tenants: &Value) -> u64 {
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
                "maxBodyBytes": self.settings.max_body,
                "headerTimeout": "3000ms",
                "idleTimeout": "15s",
            },
            "virtualHosts": hosts,
            "tenants": tenants,
        });
        self.store.write("config", "main", document);
        self.version
    }

    /// Returns the virtual host `mesh.example` with routes `/read/` (safe) and `/pay/` (unsafe) to
    /// the first service and a safe route `/NAME/` to each service.
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

    /// Sends a request to the proxy of an instance on a new connection and reads the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before a complete response.
    pub async fn send(&self, instance: usize, request: &CallerRequest) -> io::Result<Answer> {
        let mut connection = self.connect(instance).await?;
        self.send_on(&mut connection, request).await
    }

    /// Opens a caller's connection to the proxy of an instance.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn connect(&self, instance: usize) -> io::Result<Connection> {
        let address = self.instances[instance].settings.listen.callers;
        Connection::open(address, Millis(1000)).await
    }

    /// Sends a request on a connection and reads the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before a complete response.
    pub async fn send_on(
        &self,
        connection: &mut Connection,
        request: &CallerRequest,
    ) -> io::Result<Answer> {
        connection.write(&encode(request)).await?;
        read_answer(connection, request.method).await
    }

    /// Waits until each running proxy answers a request for each service with status 200.
    ///
    /// # Panics
    ///
    /// Panics after 20 s for one service and proxy.
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

    /// Returns how often a request began to run, summed over all backend servers.
    pub fn runs(&self, request: &str) -> usize {
        self.instances.iter().map(|i| i.server.runs(request)).sum()
    }
}

impl Instance {
    /// Starts a new proxy, without state of an earlier one of this instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub async fn start_proxy(&mut self) -> io::Result<()> {
        let memory = self.settings.limits.max_store_bytes();
        let store = ObjectClient::new(self.settings.store).with_memory(memory);
        let source = PlatformSource::new(store);
        let starting = Proxy::start(
            self.settings.clone(),
            PlatformDialect,
            source,
            Clock::system(),
        );
        self.proxy = Some(starting.await.map_err(io::Error::other)?);
        Ok(())
    }

    /// Sends the next heartbeat of the backend server with the given state and returns the status
    /// of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within a second.
    pub async fn announce(&mut self, state: &str) -> io::Result<u16> {
        self.seq += 1;
        self.announce_numbered(self.seq, state).await
    }

    /// Sends a heartbeat with the given sequence number and returns the status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within a second.
    pub async fn announce_numbered(&self, seq: u64, state: &str) -> io::Result<u16> {
        let heartbeat = json!({
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
        let body = heartbeat.to_string().into_bytes();
        self.call_announcements("PUT", &target, body).await
    }

    /// Withdraws the backend server from the proxy and returns the status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within a second.
    pub async fn withdraw(&self) -> io::Result<u16> {
        let target = format!("/api/instances/{}", self.server.id());
        self.call_announcements("DELETE", &target, Vec::new()).await
    }

    /// Queries the readiness of the proxy and returns the status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within a second.
    pub async fn readiness(&self) -> io::Result<u16> {
        self.call_announcements("GET", "/api/readiness", Vec::new())
            .await
    }

    /// Sends a request to the proxy's address for announcements and returns the status of the
    /// response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within a second.
    pub async fn call_announcements(
        &self,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> io::Result<u16> {
        call(self.settings.listen.announcements, method, target, body).await
    }
}

/// Sends a request on a new connection and returns the status of the response.
///
/// # Errors
///
/// Returns an error if there is no response within a second.
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

/// Returns the settings of a proxy at `ip` with a backend server on port 8080 of the same address.
pub fn proxy_settings(name: &str, service: &str, ip: IpAddr, store: SocketAddr) -> ProxySettings {
    let at = |port| SocketAddr::new(ip, port);
    ProxySettings {
        instance: name.to_owned(),
        zone: "zone-a".into(),
        region: "region".to_owned(),
        listen: ProxyListen {
            callers: at(9001),
            relay: at(RELAY_PORT),
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
            quota_window: QUOTA_WINDOW,
            quota_over: QUOTA_OVER,
            quota_slack: QUOTA_SLACK,
        },
        policy: LoadPolicy::default(),
        log: "info".to_owned(),
    }
}

/// Encodes a request with the headers that callers send.
pub fn encode(request: &CallerRequest) -> Vec<u8> {
    let mut head = RequestHead::new(request.method, &request.target, "mesh.example");
    head.headers.add("X-Rosemaryfork-Request-Id", &request.id);
    let left = request.timeout.0.to_string();
    head.headers.add("X-Rosemaryfork-Deadline-Ms", &left);
    for (name, value) in &request.headers {
        head.headers.add(name, value);
    }
    let mut bytes = head.encode(request.body.len());
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Reads the response to a request with the given method.
///
/// # Errors
///
/// Returns an error if the connection ends before a complete response.
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

/// Waits until `check` returns true; `what` describes it in the panic.
///
/// # Panics
///
/// Panics after 20 s.
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
