//! The system under test and everything around it.
//!
//! A testbed holds the proxy processes, a simulated backend server beside each, the loopback links
//! on their network paths, and the store. It also acts as the operator: it publishes configurations
//! and orders version changes.

use crate::checker::{Checker, Promise};
use crate::child::Process;
use crate::link::{Link, LinkMode};
use crate::schedule::{Ending, Fault, LinkTarget};
use async_std::task;
use rf_base::{Incarnation, InstanceId, Millis};
use rf_config::ProxySettings;
use rf_config::proxy::{Bounds, ProcessLimits};
use rf_proxy::source::ProxyEntry;
use rf_standin::users::mesh::{call, proxy_settings};
use rf_standin::users::{ServerBehaviour, StoreFault, UsersServer, UsersStore};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime};

/// Interval between the heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Millis = Millis(250);
/// Time that a process has to exit after `SIGTERM` before it is killed.
const STOP_GRACE: Millis = Millis(4500);
/// Time after which a draining or departed backend server must get no more requests.
const DRAIN_TIME: Millis = Millis(1000);
/// Delay before an exited process is started again.
const RESTART_DELAY: Millis = Millis(300);
/// Time for which a backend server goes on after its withdrawal in [`Fault::LeaveLate`].
const STAY_TIME: Millis = Millis(5000);
/// Interval at which a late heartbeat is delivered meanwhile.
const LATE_INTERVAL: Millis = Millis(400);
/// Time by which the clock is set back in [`Fault::Rewind`].
const CLOCK_STEP: Millis = Millis(600_000);
/// Interval at which waiting tasks poll their condition.
const POLL_INTERVAL: Millis = Millis(40);
/// Time from the order of a version change to its deadline.
const TRIAL_TIME: Millis = Millis(5000);
/// Time after which the bad version starts to fail; shorter than [`TRIAL_TIME`], so that it cannot
/// have been promoted by then.
const FAILURE_DELAY: Millis = Millis(2000);
/// Fraction of a service's requests that an unproven version may get.
const TRIAL_SHARE: f64 = 0.1;
/// Requests that an unproven version may get in addition to [`TRIAL_SHARE`].
const TRIAL_SLACK: u64 = 50;
/// Requests that a backend server can run concurrently.
const SLOTS: u32 = 6;
/// Second byte of the first network; keeps the addresses apart from those of other tests.
const NETWORK_BASE: u8 = 64;
/// Kind of the store objects through which proxies discover each other.
const ENTRY_KIND: &str = "rosemaryfork-proxies";

/// Contents of the announcements that a backend server sends to its proxy.
#[derive(Clone, Debug)]
struct Heartbeat {
    process: u64,
    /// Start time of the process, in milliseconds since the Unix epoch.
    born: u64,
    seq: u64,
    state: Option<&'static str>,
    version: String,
}

#[derive(Debug)]
struct State {
    process: Option<Process>,
    starts: u64,
    /// Whether the current process was sent a signal that ends it, so that its exit is no failure.
    may_exit: bool,
    /// Whether a bad version is on trial here; other faults then leave the behaviour of the backend
    /// server unchanged.
    is_trial: bool,
    /// Start and end of each pause by `SIGSTOP`; the end is missing while the pause lasts.
    pauses: Vec<(Instant, Option<Instant>)>,
    heartbeat: Heartbeat,
    /// Backend server processes whose drain or departure the proxy acknowledged, and when.
    drained: Vec<(String, Instant)>,
}

/// A proxy process with its backend server and the links around them.
#[derive(Debug)]
pub struct Instance {
    /// Service that the backend server belongs to.
    pub service: String,
    /// Simulated backend server beside the proxy.
    pub server: UsersServer,
    settings: ProxySettings,
    folder: PathBuf,
    /// Links to the relay port, the backend server and the store.
    links: [Link; 3],
    state: Mutex<State>,
}

impl Instance {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address on which the proxy accepts callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns how often the process has been started.
    pub fn starts(&self) -> u64 {
        self.lock().starts
    }

    /// Returns how long after the drain time of a backend server process an arrival at `at` came.
    ///
    /// Returns `None` for an arrival in time, for a process that is not draining, and if the proxy
    /// was paused in between, because a paused proxy cannot act on the drain in time.
    pub fn drain_overrun(&self, process: &str, at: Instant) -> Option<Millis> {
        let state = self.lock();
        let (_, acknowledged) = state.drained.iter().find(|(p, _)| p == process)?;
        let overrun = at.checked_duration_since(*acknowledged + DRAIN_TIME.duration())?;
        let has_paused = state
            .pauses
            .iter()
            .any(|(from, until)| *from < at && until.is_none_or(|until| until > *acknowledged));
        (!has_paused).then_some(Millis(overrun.as_millis() as u64))
    }

    fn link(&self, target: LinkTarget) -> &Link {
        match target {
            LinkTarget::Relay => &self.links[0],
            LinkTarget::Server => &self.links[1],
            LinkTarget::Store => &self.links[2],
        }
    }

    /// Sends a signal to the process; `may_exit` says that an exit afterwards is no failure.
    fn signal(&self, signal: Signal, may_exit: bool) {
        let mut state = self.lock();
        state.may_exit |= may_exit;
        if let Some(process) = &mut state.process {
            process.signal(signal);
        }
    }

    fn set_behaviour(&self, behaviour: &ServerBehaviour) {
        if !self.lock().is_trial {
            self.server.set_behaviour(behaviour.clone());
        }
    }

    fn server_id(&self, process: u64) -> String {
        format!("i-{}-{process}", self.settings.instance)
    }
}

/// All processes, servers and links of a run, and the checker of its promises.
#[derive(Debug)]
pub struct Testbed {
    /// Proxies with their backend servers; faults refer to them by index.
    pub instances: Vec<Instance>,
    /// Simulated store of the users' platform.
    pub store: UsersStore,
    /// Collects observations and checks them against the promises.
    pub checker: Checker,
    program: PathBuf,
    version: AtomicU64,
    /// Number of version changes requested by faults; only the first is ordered.
    rollouts: AtomicU64,
    is_over: AtomicBool,
}

/// Settings of a [`Testbed`].
#[derive(Clone, Debug)]
pub struct TestbedSettings {
    /// Path of the `rosemaryfork` executable.
    pub program: PathBuf,
    /// Folder that receives the settings and logs of each instance.
    pub folder: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Number of the loopback network to use. It must differ between the testbeds of one process,
    /// because their listeners stay open until the process exits.
    pub network: u16,
    /// Whether the schedule holds planned work only, which enables the stricter promises.
    pub planned_only: bool,
}

impl Testbed {
    /// Starts the store, the backend servers and the links.
    ///
    /// The proxy processes are started by [`Testbed::supervise`].
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a settings file cannot be written.
    pub async fn start(settings: &TestbedSettings) -> io::Result<Testbed> {
        let store = UsersStore::start().await?;
        let mut instances = Vec::new();
        for number in 0..settings.instances {
            instances.push(make_instance(settings, number, &store).await?);
        }
        let testbed = Testbed {
            instances,
            store,
            checker: Checker::new(settings.planned_only),
            program: settings.program.clone(),
            version: AtomicU64::new(0),
            rollouts: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
        };
        testbed.write_config();
        Ok(testbed)
    }

    /// Returns whether [`Testbed::shut_down`] was called; background tasks stop then.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Ends the run and kills every process.
    pub fn shut_down(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for instance in &self.instances {
            instance.lock().process = None;
        }
    }

    /// Returns the number of the newest configuration in the store.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Writes the next version of the configuration to the store.
    ///
    /// Versions differ in one route, `/vN/`, so that a probe can tell which one is in force.
    pub fn write_config(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let route = |name: &str, prefix: &str, kind: &str, service: &str| {
            json!({
                "name": name, "pathPrefix": prefix, "kind": kind, "timeout": "1500ms",
                "targetLatency": "400ms", "priority": 1, "maxAttempts": 3, "service": service,
            })
        };
        let paths = json!([
            route("read", "/read/", "safe", "payments"),
            route("pay", "/pay/", "unsafe", "payments"),
            route("book", "/book/", "unsafe", "ledger"),
            route("probe", &format!("/v{version}/"), "safe", "ledger"),
        ]);
        let document = json!({
            "version": format!("r{version}"),
            "services": [
                { "name": "payments", "maxConnections": 100 },
                { "name": "ledger", "maxConnections": 100 },
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
                "headerTimeout": "2s", "idleTimeout": "15s",
            },
            "virtualHosts": [{ "host": "mesh.example", "paths": paths }],
        });
        self.store.write("config", "main", document);
    }

    /// Restarts the process of an instance whenever it exits, until the run is over.
    ///
    /// An exit without a preceding signal breaks [`Promise::Ends`].
    pub async fn supervise(self: Arc<Testbed>, number: usize) {
        let instance = &self.instances[number];
        while !self.is_over() {
            // The checker must not be called with the instance locked: it locks instances itself.
            let exit = {
                let mut state = instance.lock();
                let status = state.process.as_mut().and_then(Process::exit_status);
                status.map(|status| {
                    state.process = None;
                    (status, std::mem::take(&mut state.may_exit))
                })
            };
            if let Some((status, may_exit)) = exit {
                self.checker.check(Promise::Ends, may_exit, || {
                    format!("process of {number} ended by itself: {status}")
                });
            }
            let has_ended = instance.lock().process.is_none();
            if has_ended {
                if instance.starts() > 0 {
                    task::sleep(RESTART_DELAY.duration()).await;
                }
                self.launch(number);
            }
            task::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    fn launch(&self, number: usize) {
        let instance = &self.instances[number];
        let mut state = instance.lock();
        if self.is_over() {
            return;
        }
        state.starts += 1;
        state.may_exit = false;
        let settings = instance.folder.join("settings.json");
        let log = instance.folder.join("log.jsonl");
        match Process::start(&self.program, &settings, &log) {
            Ok(process) => state.process = Some(process),
            Err(error) => {
                drop(state);
                let detail = || format!("cannot start: {error}");
                self.checker.check(Promise::Ends, false, detail);
            }
        }
    }

    /// Announces a backend server to its proxy periodically until the run is over.
    pub async fn send_heartbeats(self: Arc<Testbed>, number: usize) {
        let instance = &self.instances[number];
        while !self.is_over() {
            let heartbeat = {
                let mut state = instance.lock();
                state.heartbeat.seq += 1;
                state.heartbeat.clone()
            };
            if let Some(state) = heartbeat.state {
                let status = self.announce(number, &heartbeat, state).await;
                let id = instance.server_id(heartbeat.process);
                let mut inner = instance.lock();
                let is_known = inner.drained.iter().any(|(p, _)| *p == id);
                if state == "draining" && status == Some(200) && !is_known {
                    inner.drained.push((id, Instant::now()));
                }
            }
            task::sleep(HEARTBEAT_INTERVAL.duration()).await;
        }
    }

    async fn announce(&self, number: usize, heartbeat: &Heartbeat, state: &str) -> Option<u16> {
        let instance = &self.instances[number];
        let body = json!({
            "address": instance.settings.server.address,
            "born": heartbeat.born,
            "info": {
                "service": instance.service, "version": heartbeat.version,
                "zone": instance.settings.zone.0, "slots": SLOTS,
            },
            "status": { "state": state, "seq": heartbeat.seq, "coldRemaining": "0ms" },
        });
        let target = format!("/api/instances/{}", instance.server_id(heartbeat.process));
        let address = instance.settings.listen.announcements;
        let body = body.to_string().into_bytes();
        call(address, "PUT", &target, body).await.ok()
    }

    /// Replaces the backend server of an instance by a new process with a new id.
    fn replace_server(&self, number: usize) {
        let instance = &self.instances[number];
        let id = {
            let mut state = instance.lock();
            let version = match state.is_trial {
                true => "v2",
                false => "v1",
            };
            let process = state.heartbeat.process + 1;
            state.heartbeat = Heartbeat {
                process,
                born: first_born(process),
                seq: 0,
                state: Some("ready"),
                version: version.to_owned(),
            };
            instance.server_id(state.heartbeat.process)
        };
        instance.server.replace_process(&id);
    }

    /// Injects a fault, and removes it after its duration.
    pub async fn inject(&self, fault: &Fault) {
        match fault {
            Fault::Kill(number) => self.instances[*number].signal(Signal::KILL, true),
            Fault::KillAll => {
                for instance in &self.instances {
                    instance.signal(Signal::KILL, true);
                }
            }
            Fault::Stop(number) => self.stop(*number).await,
            Fault::Pause(number, time) => self.pause(*number, *time).await,
            Fault::Reload(number) => self.reload(*number),
            Fault::Link(number, target, mode, time) => {
                let link = self.instances[*number].link(*target);
                link.set(*mode);
                task::sleep(time.duration()).await;
                link.set(LinkMode::Pass);
            }
            Fault::Store(store_fault, time) => {
                self.store.set_fault(*store_fault);
                task::sleep(time.duration()).await;
                self.store.set_fault(StoreFault::None);
            }
            Fault::Compact => self.store.compact(),
            Fault::OddObject(spec) => {
                for kind in ["config", "rollouts", ENTRY_KIND] {
                    self.store.write_raw(kind, "0-odd", &spec.text());
                }
                self.store.compact();
            }
            Fault::Server(number, behaviour, time) => {
                self.instances[*number].set_behaviour(behaviour);
                task::sleep(time.duration()).await;
                self.instances[*number].set_behaviour(&ServerBehaviour::Good);
            }
            Fault::Crash(number, time) => self.crash(*number, *time).await,
            Fault::Drain(number) => self.drain(*number).await,
            Fault::Leave(number) => self.leave(*number).await,
            Fault::LeaveLate(number, ending) => self.leave_late(*number, *ending).await,
            Fault::Rewind(number) => self.rewind(*number).await,
            Fault::Table => self.write_config(),
            Fault::BadVersion(number) => self.try_bad_version(*number).await,
            Fault::ClockAhead(number) => self.set_clock_ahead(*number),
        }
    }

    async fn stop(&self, number: usize) {
        let instance = &self.instances[number];
        let id = instance.lock().process.as_ref().map(Process::id);
        instance.signal(Signal::TERM, true);
        let start = Instant::now();
        let is_same = || id.is_some() && instance.lock().process.as_ref().map(Process::id) == id;
        while is_same() && start.elapsed() < STOP_GRACE.duration() && !self.is_over() {
            task::sleep(POLL_INTERVAL.duration()).await;
        }
        let has_paused = instance
            .lock()
            .pauses
            .iter()
            .any(|(_, until)| until.is_none_or(|until| until > start));
        if self.is_over() || has_paused {
            return;
        }
        self.checker.check(Promise::Ends, !is_same(), || {
            format!("process of {number} is there {STOP_GRACE} after the signal to stop")
        });
        if is_same() {
            instance.signal(Signal::KILL, true);
        }
    }

    async fn pause(&self, number: usize, time: Millis) {
        let instance = &self.instances[number];
        instance.lock().pauses.push((Instant::now(), None));
        instance.signal(Signal::STOP, false);
        task::sleep(time.duration()).await;
        instance.signal(Signal::CONT, false);
        let mut state = instance.lock();
        if let Some(pause) = state.pauses.iter_mut().find(|(_, until)| until.is_none()) {
            pause.1 = Some(Instant::now());
        }
    }

    /// Changes a setting that can be reloaded, and sends `SIGHUP`.
    fn reload(&self, number: usize) {
        let instance = &self.instances[number];
        let mut settings = instance.settings.clone();
        settings.policy.nested_reserve = 0.4 + 0.001 * instance.starts() as f64;
        let written = write_settings(&instance.folder, &settings);
        self.checker
            .check(Promise::Ends, written.is_ok(), || format!("{written:?}"));
        instance.signal(Signal::HUP, false);
    }

    async fn crash(&self, number: usize, time: Millis) {
        let instance = &self.instances[number];
        instance.lock().heartbeat.state = None;
        let link = instance.link(LinkTarget::Server);
        link.set(LinkMode::Reset);
        task::sleep(time.duration()).await;
        link.set(LinkMode::Pass);
        self.replace_server(number);
    }

    async fn drain(&self, number: usize) {
        let instance = &self.instances[number];
        instance.lock().heartbeat.state = Some("draining");
        task::sleep(DRAIN_TIME.duration() + DRAIN_TIME.duration() / 2).await;
        self.leave(number).await;
    }

    async fn leave(&self, number: usize) {
        self.withdraw(number).await;
        task::sleep(DRAIN_TIME.duration() + DRAIN_TIME.duration() / 2).await;
        self.replace_server(number);
    }

    /// Withdraws the backend server of an instance; returns its last heartbeat.
    async fn withdraw(&self, number: usize) -> Heartbeat {
        let instance = &self.instances[number];
        let last = {
            let mut state = instance.lock();
            let last = state.heartbeat.clone();
            state.heartbeat.state = None;
            last
        };
        let id = instance.server_id(last.process);
        let target = format!("/api/instances/{id}");
        let address = instance.settings.listen.announcements;
        if matches!(call(address, "DELETE", &target, Vec::new()).await, Ok(200)) {
            let mut state = instance.lock();
            if !state.drained.iter().any(|(p, _)| *p == id) {
                state.drained.push((id, Instant::now()));
            }
        }
        last
    }

    /// Withdraws a backend server that stays for long, ends its proxy right after the
    /// acknowledgement, and delivers a heartbeat from before it several times.
    async fn leave_late(&self, number: usize, ending: Ending) {
        let instance = &self.instances[number];
        let mut late = self.withdraw(number).await;
        late.seq += 1;
        match ending {
            Ending::Kill => instance.signal(Signal::KILL, true),
            Ending::KillAll => {
                for instance in &self.instances {
                    instance.signal(Signal::KILL, true);
                }
            }
            Ending::Stop => self.stop(number).await,
        }
        let start = Instant::now();
        while start.elapsed() < STAY_TIME.duration() && !self.is_over() {
            self.announce(number, &late, "ready").await;
            task::sleep(LATE_INTERVAL.duration()).await;
        }
        self.replace_server(number);
    }

    /// Restarts the backend server under its id while the clock is set back; it then drains. A
    /// heartbeat of the process before arrives late.
    async fn rewind(&self, number: usize) {
        let instance = &self.instances[number];
        instance.lock().heartbeat.state = None;
        let link = instance.link(LinkTarget::Server);
        link.set(LinkMode::Reset);
        task::sleep(RESTART_DELAY.duration()).await;
        link.set(LinkMode::Pass);
        let late = {
            let mut state = instance.lock();
            let late = state.heartbeat.clone();
            let id = instance.server_id(late.process);
            if state.drained.iter().any(|(process, _)| *process == id) {
                drop(state);
                return self.replace_server(number);
            }
            state.heartbeat.born = late.born.saturating_sub(CLOCK_STEP.0);
            state.heartbeat.seq = 0;
            state.heartbeat.state = Some("ready");
            late
        };
        task::sleep(DRAIN_TIME.duration()).await;
        if instance.lock().heartbeat.process == late.process {
            instance.lock().heartbeat.state = Some("draining");
            task::sleep(DRAIN_TIME.duration()).await;
            let late = Heartbeat {
                seq: late.seq + 1,
                ..late
            };
            self.announce(number, &late, "ready").await;
            task::sleep(DRAIN_TIME.duration()).await;
        }
        self.leave(number).await;
    }

    /// Orders a change to a version that starts to fail after [`FAILURE_DELAY`], and checks how
    /// many requests reach it.
    async fn try_bad_version(&self, number: usize) {
        // Only one version change is ordered in a run: with several at a time the requests that
        // each may get could not be told apart.
        if self.rollouts.fetch_add(1, Ordering::SeqCst) > 0 {
            return;
        }
        let instance = &self.instances[number];
        let service = &instance.service;
        instance.lock().is_trial = true;
        instance.server.set_behaviour(ServerBehaviour::Good);
        self.replace_server(number);
        let before = self.count_runs(service, None);
        let own_before = self.count_runs(service, Some(number));
        let spec = json!({
            "service": service, "targetVersion": "v2", "duration": format!("{}ms", TRIAL_TIME.0),
        });
        self.store.write("rollouts", service, spec);
        task::sleep(FAILURE_DELAY.duration()).await;
        instance.server.set_behaviour(ServerBehaviour::Fails);
        task::sleep(TRIAL_TIME.since(FAILURE_DELAY).duration()).await;
        let total = self.count_runs(service, None) - before;
        let exposed = self.count_runs(service, Some(number)) - own_before;
        let limit = (total as f64 * TRIAL_SHARE) as u64 + TRIAL_SLACK;
        self.checker.check(Promise::Exposure, exposed <= limit, || {
            format!("the bad version of {service} got {exposed} of {total} requests")
        });
        instance.lock().is_trial = false;
        instance.server.set_behaviour(ServerBehaviour::Good);
        self.replace_server(number);
    }

    /// Counts the requests executed by a service, or by one of its instances.
    fn count_runs(&self, service: &str, only: Option<usize>) -> u64 {
        let instances = self.instances.iter().enumerate();
        let counted = instances
            .filter(|(number, i)| i.service == service && only.is_none_or(|n| n == *number));
        let runs = counted.map(|(_, i)| {
            let arrivals = i.server.arrivals_from(0);
            arrivals.iter().filter(|a| a.has_run).count() as u64
        });
        runs.sum()
    }

    /// Writes a discovery entry as an earlier process with a clock one hour ahead would have left
    /// it, and kills the process, so that its successor finds that entry.
    fn set_clock_ahead(&self, number: usize) {
        let instance = &self.instances[number];
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let ahead = now.unwrap_or_default().as_millis() as u64 + 3_600_000;
        let entry = ProxyEntry {
            instance: InstanceId::of(&instance.settings.instance),
            zone: instance.settings.zone.clone(),
            relay: instance.settings.listen.advertised_relay(),
            incarnation: Incarnation(ahead),
        };
        let spec = serde_json::to_value(&entry).unwrap_or(Value::Null);
        self.store
            .write(ENTRY_KIND, &entry.instance.to_string(), spec);
        instance.signal(Signal::KILL, true);
    }

    /// Returns whether every ordered version change, if any, is recorded as rolled back.
    pub fn is_rollback_recorded(&self) -> bool {
        let services = ["payments", "ledger"];
        let states = services
            .iter()
            .filter_map(|s| self.store.status("rollouts", s));
        let mut rolled_back = states.map(|status| status["state"] == "rolled_back");
        rolled_back.all(|is_rolled_back| is_rolled_back)
    }
}

async fn make_instance(
    settings: &TestbedSettings,
    number: usize,
    store: &UsersStore,
) -> io::Result<Instance> {
    let [high, low] = settings.network.to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(
        127,
        NETWORK_BASE + high,
        low,
        number as u8 + 1,
    ));
    let at = |port| SocketAddr::new(ip, port);
    let service = match number % 2 {
        0 => "payments",
        _ => "ledger",
    };
    let name = format!("{service}-{number}");
    let server = UsersServer::start(&format!("i-{name}-1"), at(8080)).await?;
    // Long enough that faults hit requests in flight; different per server, as in production.
    server.set_run_time(Millis(20 + 30 * (number as u64 % 5)));
    let links = [
        Link::start(at(9012), at(9002)).await?,
        Link::start(at(8090), at(8080)).await?,
        Link::start(at(9020), store.address()).await?,
    ];
    let mut proxy = proxy_settings(&name, service, ip, at(9020));
    proxy.zone = if number % 4 < 2 { "zone-a" } else { "zone-b" }.into();
    proxy.listen.relay_public = Some(at(9012));
    proxy.server.address = at(8090);
    proxy.limits = ProcessLimits {
        memory: 128,
        descriptors: 2048,
        ..proxy.limits
    };
    proxy.bounds = Bounds {
        grace: STOP_GRACE,
        repeat_slack: 50.0,
        trial_share: TRIAL_SHARE,
        ..proxy.bounds
    };
    let folder = settings.folder.join(&name);
    std::fs::create_dir_all(&folder)?;
    write_settings(&folder, &proxy)?;
    Ok(Instance {
        service: service.to_owned(),
        server,
        settings: proxy,
        folder,
        links,
        state: Mutex::new(State {
            process: None,
            starts: 0,
            may_exit: false,
            is_trial: false,
            pauses: Vec::new(),
            heartbeat: Heartbeat {
                process: 1,
                born: first_born(1),
                seq: 0,
                state: Some("ready"),
                version: "v1".to_owned(),
            },
            drained: Vec::new(),
        }),
    })
}

/// Returns the start time of the process with this number.
fn first_born(process: u64) -> u64 {
    1_000_000 + process
}

/// Writes the settings file atomically through a rename, so that no reader sees a partial file.
fn write_settings(folder: &Path, settings: &ProxySettings) -> io::Result<()> {
    let text = serde_json::to_string_pretty(settings)?;
    let draft = folder.join("settings.draft");
    std::fs::write(&draft, text)?;
    std::fs::rename(&draft, folder.join("settings.json"))
}
