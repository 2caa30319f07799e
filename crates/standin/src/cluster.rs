//! Harness that starts and stops real processes on loopback addresses.
//!
//! Every cluster uses a loopback network derived from the id of the test process and the number of
//! the cluster in it, so that clusters of concurrent tests do not share addresses. Processes are
//! killed and their logs removed when the cluster is dropped; `ROSEMARYFORK_KEEP_LOGS` keeps the
//! logs.

pub use crate::instance::{Instance, InstanceSpec, Programs};
use crate::platform::{Faults, Stats};
use crate::server::{Behavior, Runs};
use async_std::task;
use http_types::{Method, Request, StatusCode, Url};
use rf_base::{Clock, ConfigVersion, Millis, ServiceName, VersionName};
use rf_config::settings::{Advertise, Listen};
use rf_config::{Route, Service, Settings, VersionSpec};
use rf_rollout::change::Document;
use rf_transport::{BufferedResponse, Client};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Mesh key of every cluster.
pub const KEY: &str = "a key for tests only";
/// Path prefix of the only route of [`one_service`].
pub const PREFIX: &str = "/pay";
const CALLERS_PORT: u16 = 7001;
/// Port of the backend server of every instance.
pub(crate) const SERVER_PORT: u16 = 8000;
/// Last byte of the address of the platform stand-in, beyond those of instances.
const PLATFORM_HOST: u8 = 250;
/// Number of instances that share the first three bytes of the address.
const HOSTS_PER_NET: usize = 200;
/// Longest wait for a process or the mesh to become ready.
const READY_TIMEOUT: Millis = Millis(30_000);
/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Millis = Millis(20);

/// Error returned by the harness.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClusterError {
    /// A file could not be written or a process could not be started.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// Operation that failed.
        what: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An awaited condition did not hold in time.
    #[snafu(display("{what} did not happen within {limit}"))]
    Timeout {
        /// Description of the condition.
        what: String,
        /// Longest time waited.
        limit: Millis,
    },
    /// A request to a process failed, or programs are missing.
    #[snafu(display("{what}: {message}"))]
    Refused {
        /// Path of the request, or what is missing.
        what: String,
        /// Text of the error.
        message: String,
    },
}

/// Result type of the harness.
pub type Result<T> = std::result::Result<T, ClusterError>;

/// A cluster of instances, each a daemon and a backend server, with one platform stand-in.
#[derive(Debug)]
pub struct Cluster {
    /// Instances in the order in which they were added; their index identifies them.
    pub instances: Vec<Instance>,
    programs: Programs,
    platform: Option<Child>,
    net: (u8, u8),
    folder: PathBuf,
    settings: Settings,
    client: Client,
    clock: Clock,
}

static CLUSTERS: AtomicU8 = AtomicU8::new(0);

impl Cluster {
    /// Creates a cluster and starts its platform stand-in. Every daemon gets `settings` with its
    /// own name and addresses filled in.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub async fn start(settings: Settings) -> Result<Cluster> {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let net = (
            (1 + pid % 250) as u8,
            (pid / 250 * 4) as u8 ^ number.wrapping_mul(8),
        );
        let folder = std::env::temp_dir().join(format!("rosemaryfork-{pid}-{number}"));
        fs::create_dir_all(&folder).context(IoSnafu {
            what: "folder for logs",
        })?;
        let mut cluster = Cluster {
            instances: Vec::new(),
            programs: Programs::find()?,
            platform: None,
            net,
            folder,
            settings,
            client: Client::default(),
            clock: Clock::system(),
        };
        cluster.start_platform().await?;
        Ok(cluster)
    }

    /// Starts the platform stand-in and waits until it answers.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub async fn start_platform(&mut self) -> Result<()> {
        let address = self.platform_address().to_string();
        let args = ["platform", "--listen", &address];
        let child = self.spawn(&self.programs.standin.clone(), &args, "platform")?;
        self.platform = Some(child);
        self.set_platform_faults(Faults::default()).await
    }

    /// Returns the address of the platform stand-in.
    pub fn platform_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(PLATFORM_HOST, 0), 7100)
    }

    /// Returns the address of the instance at `index` with the given port; the instance need not
    /// exist yet.
    pub fn address_of(&self, index: usize, port: u16) -> SocketAddr {
        let host = (index % HOSTS_PER_NET + 1) as u8;
        let net = (index / HOSTS_PER_NET) as u8;
        SocketAddr::new(self.ip(host, net), port)
    }

    fn ip(&self, host: u8, net: u8) -> IpAddr {
        let (a, b) = self.net;
        IpAddr::V4(Ipv4Addr::new(127, a, b.wrapping_add(net), host))
    }

    /// Adds and starts an instance and returns its index. Its daemon joins the mesh through the
    /// first three instances.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn add(&mut self, spec: InstanceSpec) -> Result<usize> {
        let index = self.instances.len();
        let settings = self.settings_for(index, &spec);
        self.instances.push(Instance {
            spec,
            settings,
            daemon: None,
            server: None,
        });
        self.start_daemon(index)?;
        self.start_server(index)?;
        Ok(index)
    }

    fn settings_for(&self, index: usize, spec: &InstanceSpec) -> Settings {
        let at = |port| self.address_of(index, port);
        let seeds = (0..index.min(3)).map(|i| self.address_of(i, 7003));
        Settings {
            mesh: "test".to_owned(),
            key: KEY.to_owned(),
            instance: spec.name.clone(),
            zone: spec.zone.as_str().into(),
            region: spec.region.clone(),
            listen: Listen {
                callers: at(CALLERS_PORT),
                relay: at(7002),
                peers: at(7003),
                operators: at(7004),
            },
            advertise: Advertise {
                relay: spec.relay,
                peers: spec.peers,
            },
            platform: self.platform_address(),
            seeds: seeds.collect(),
            fatal_invariants: true,
            ..self.settings.clone()
        }
    }

    /// Starts the daemon of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn start_daemon(&mut self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        let name = instance.spec.name.clone();
        let path = self.folder.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(&instance.settings).unwrap_or_default();
        fs::write(&path, text).context(IoSnafu {
            what: "settings file",
        })?;
        let path = path.to_string_lossy().into_owned();
        let args = ["daemon", "--settings", &path];
        let log = format!("{name}-daemon");
        let child = self.spawn(&self.programs.rosemaryfork.clone(), &args, &log)?;
        self.instances[index].daemon = Some(child);
        Ok(())
    }

    /// Starts the backend server of an instance; does nothing if its service is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn start_server(&mut self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        let spec = instance.spec.clone();
        if spec.service.is_empty() {
            return Ok(());
        }
        let behavior = serde_json::to_string(&spec.behavior).unwrap_or_default();
        let args = [
            "server".to_owned(),
            format!("--listen={}", instance.server_address()),
            format!("--service={}", spec.service),
            format!("--version={}", spec.version),
            format!("--slots={}", spec.slots),
            format!("--operator={}", instance.settings.listen.operators),
            format!("--callers={}", instance.caller_address()),
            format!("--key={KEY}"),
            format!("--behavior={behavior}"),
        ];
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let log = format!("{}-server", spec.name);
        let child = self.spawn(&self.programs.standin.clone(), &args, &log)?;
        self.instances[index].server = Some(child);
        Ok(())
    }

    fn spawn(&self, program: &Path, args: &[&str], log: &str) -> Result<Child> {
        let what = || format!("starting {log}");
        let path = self.folder.join(format!("{log}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(path)
            .with_context(|_| IoSnafu { what: what() })?;
        Command::new(program)
            .args(args)
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .with_context(|_| IoSnafu { what: what() })
    }

    /// Waits until every running daemon reaches all others, and all have the same configuration in
    /// force with at least the given counter.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Timeout`] after 30 s.
    pub async fn wait_for_config(&self, counter: ConfigVersion) -> Result<()> {
        let expected = self.instances.iter().filter(|i| i.daemon.is_some()).count();
        let what = format!("configuration {counter} in force on {expected} daemons");
        self.wait_until(&what, READY_TIMEOUT, async || {
            for instance in self.instances.iter().filter(|i| i.daemon.is_some()) {
                let Ok(status) = instance.operator().status().await else {
                    return false;
                };
                let is_whole = status.reachable == expected && status.in_force == expected;
                if !is_whole || status.counter < counter {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until every running daemon lists exactly `count` available backend servers.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Timeout`] after 30 s.
    pub async fn wait_for_servers(&self, count: usize) -> Result<()> {
        let what = format!("{count} backend servers announced everywhere");
        self.wait_until(&what, READY_TIMEOUT, async || {
            for instance in self.instances.iter().filter(|i| i.daemon.is_some()) {
                let Ok(status) = instance.operator().status().await else {
                    return false;
                };
                if status.servers.iter().filter(|s| s.is_available).count() != count {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until `condition` holds; `what` describes it in the error.
    ///
    /// # Errors
    ///
    /// Returns [`ClusterError::Timeout`] if it does not hold within `limit`.
    pub async fn wait_until(
        &self,
        what: &str,
        limit: Millis,
        condition: impl AsyncFn() -> bool,
    ) -> Result<()> {
        let end = self.clock.now() + limit;
        while !condition().await {
            if self.clock.now() >= end {
                return Err(ClusterError::Timeout {
                    what: what.to_owned(),
                    limit,
                });
            }
            task::sleep(POLL_INTERVAL.duration()).await;
        }
        Ok(())
    }

    /// Sends a signal to the daemon of an instance. After `KILL` the process is reaped and the
    /// daemon no longer counts as running.
    pub fn signal_daemon(&mut self, index: usize, signal: &str) {
        let daemon = &mut self.instances[index].daemon;
        signal_child(daemon, signal);
    }

    /// Sends a signal to the backend server of an instance. After `KILL` the process is reaped.
    pub fn signal_server(&mut self, index: usize, signal: &str) {
        let server = &mut self.instances[index].server;
        signal_child(server, signal);
    }

    /// Sends `SIGTERM` to a daemon, waits until it exits and returns whether its exit status is 0.
    pub async fn stop_daemon(&mut self, index: usize) -> bool {
        signal_child(&mut self.instances[index].daemon, "TERM");
        let Some(mut child) = self.instances[index].daemon.take() else {
            return false;
        };
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => task::sleep(POLL_INTERVAL.duration()).await,
                Err(_) => return false,
            }
        }
    }

    /// Returns whether the backend server of an instance has exited or was never started.
    pub fn is_server_down(&mut self, index: usize) -> bool {
        match &mut self.instances[index].server {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Sets the faults of the platform stand-in, retrying until it confirms them.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer.
    pub async fn set_platform_faults(&self, faults: Faults) -> Result<()> {
        let body = serde_json::to_vec(&faults).unwrap_or_default();
        let address = self.platform_address();
        self.wait_until("the platform's answer", READY_TIMEOUT, async || {
            let response = self.put(address, "/faults", body.clone()).await;
            response.is_ok_and(|r| r.status() == StatusCode::Ok)
        })
        .await
    }

    /// Returns the counts of calls made to the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer.
    pub async fn platform_stats(&self) -> Result<Stats> {
        self.get_json(self.platform_address(), "/stats").await
    }

    /// Returns the counts of runs of the backend server of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer.
    pub async fn runs(&self, index: usize) -> Result<Runs> {
        let address = self.instances[index].server_address();
        self.get_json(address, "/_runs").await
    }

    /// Returns the number of runs by request id, summed over all backend servers that answer.
    pub async fn all_runs(&self) -> BTreeMap<String, u32> {
        let mut sum = BTreeMap::new();
        for index in 0..self.instances.len() {
            let Ok(runs) = self.runs(index).await else {
                continue;
            };
            for (id, n) in runs.runs {
                *sum.entry(id).or_default() += n;
            }
        }
        sum
    }

    /// Changes the behaviour of the backend server of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer.
    pub async fn set_behavior(&self, index: usize, behavior: &Behavior) -> Result<()> {
        let body = serde_json::to_vec(behavior).unwrap_or_default();
        let address = self.instances[index].server_address();
        self.put(address, "/_behavior", body).await?;
        Ok(())
    }

    async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let response = self.send(Method::Get, address, path, Vec::new()).await?;
        serde_json::from_slice(&response.body).map_err(|e| ClusterError::Refused {
            what: path.to_owned(),
            message: e.to_string(),
        })
    }

    async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<BufferedResponse> {
        self.send(Method::Put, address, path, body).await
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<BufferedResponse> {
        let refused = |message: String| ClusterError::Refused {
            what: path.to_owned(),
            message,
        };
        let url = Url::parse(&format!("http://{address}{path}"));
        let mut request = Request::new(method, url.map_err(|e| refused(e.to_string()))?);
        request.set_body(body);
        let limit = Millis(2000);
        let response = self.client.send_fresh(address, request, limit, 16 << 20);
        response.await.map_err(|e| refused(e.to_string()))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            kill(instance.daemon.take());
            kill(instance.server.take());
        }
        kill(self.platform.take());
        if std::env::var_os("ROSEMARYFORK_KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

fn kill(child: Option<Child>) {
    if let Some(mut child) = child {
        child.kill().ok();
        child.wait().ok();
    }
}

fn signal_child(child: &mut Option<Child>, signal: &str) {
    let Some(process) = child else {
        return;
    };
    let pid = process.id().to_string();
    Command::new("kill")
        .args(["-s", signal, &pid])
        .status()
        .ok();
    if signal == "KILL" {
        kill(child.take());
    }
}

/// Returns services and routes for `payments` with the given versions and weights, and one route
/// with prefix [`PREFIX`] for all hosts.
pub fn one_service(weights: &[(&str, u32)]) -> Document {
    let versions = weights.iter().map(|(name, weight)| {
        let spec = VersionSpec { weight: *weight };
        (VersionName::from(*name), spec)
    });
    let service = Service {
        versions: versions.collect(),
        cold_start: Millis(500),
        ..Service::default()
    };
    let name = ServiceName::from("payments");
    Document {
        services: BTreeMap::from([(name.clone(), service)]),
        routes: vec![Route {
            host: "*".to_owned(),
            prefix: PREFIX.to_owned(),
            service: name,
            ..Route::default()
        }],
        ..Document::default()
    }
}
