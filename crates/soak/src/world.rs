//! The system under test: processes with backend servers beside them, links, a store, an operator.

use crate::child::Process;
use crate::judge::{Judge, Promise};
use crate::link::{Link, LinkMode};
use crate::plan::{Fault, Side};
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

/// Time between two heartbeats of a backend server.
const BEAT: Millis = Millis(250);
/// Time from the signal to stop until the process is killed.
const GRACE: Millis = Millis(4500);
/// Time after which a leaving backend server gets no more requests.
const DRAIN: Millis = Millis(1000);
/// Time after which a process that ended is started again.
const RESTART: Millis = Millis(300);
/// Time between two looks of a task that waits.
const LOOK: Millis = Millis(40);
/// Time from the order of a version change to its deadline.
const TRIAL: Millis = Millis(5000);
/// Time after which the bad version begins to fail, before it could be promoted.
const TURN: Millis = Millis(2000);
/// Share of requests that an unproven version may get.
const TRIAL_SHARE: f64 = 0.1;
/// Requests that it may get besides.
const TRIAL_SLACK: u64 = 50;
/// Requests a backend server can run at a time.
const SLOTS: u32 = 6;
/// Second byte of the first network, apart from the addresses of other tests.
const NETWORKS: u8 = 64;
/// Name of the kind of objects by which proxies find each other.
const ENTRY_KIND: &str = "rosemaryfork-proxies";

/// How a backend server announces itself.
#[derive(Clone, Debug)]
struct Beat {
    process: u64,
    seq: u64,
    state: Option<&'static str>,
    version: String,
}

#[derive(Debug)]
struct State {
    process: Option<Process>,
    lives: u64,
    /// Process that may end, since it was signalled.
    may_end: bool,
    /// Whether a bad version is tried here, which other faults leave as it is.
    is_trial: bool,
    paused: Vec<(Instant, Option<Instant>)>,
    beat: Beat,
    /// Backend server processes whose leaving was acknowledged.
    drained: Vec<(String, Instant)>,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Service of the backend server.
    pub service: String,
    /// The backend server.
    pub server: UsersServer,
    settings: ProxySettings,
    folder: PathBuf,
    links: [Link; 3],
    state: Mutex<State>,
}

impl Instance {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address that callers use.
    pub fn callers(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns the number of starts of the process so far.
    pub fn lives(&self) -> u64 {
        self.lock().lives
    }

    /// Returns by how much an arrival at `at` exceeds the time to drain of a backend server process,
    /// unless the proxy stood still meanwhile.
    pub fn drained_before(&self, process: &str, at: Instant) -> Option<Millis> {
        let state = self.lock();
        let (_, acknowledged) = state.drained.iter().find(|(p, _)| p == process)?;
        let late = at.checked_duration_since(*acknowledged + DRAIN.duration())?;
        let has_paused = state
            .paused
            .iter()
            .any(|(from, until)| *from < at && until.is_none_or(|until| until > *acknowledged));
        (!has_paused).then_some(Millis(late.as_millis() as u64))
    }

    fn link(&self, side: Side) -> &Link {
        match side {
            Side::Relay => &self.links[0],
            Side::Server => &self.links[1],
            Side::Store => &self.links[2],
        }
    }

    fn signal(&self, signal: Signal, ends: bool) {
        let mut state = self.lock();
        state.may_end |= ends;
        if let Some(process) = &mut state.process {
            process.signal(signal);
        }
    }

    fn behave(&self, behaviour: &ServerBehaviour) {
        if !self.lock().is_trial {
            self.server.set_behaviour(behaviour.clone());
        }
    }

    fn server_id(&self, process: u64) -> String {
        format!("i-{}-{process}", self.settings.instance)
    }
}

/// Everything that runs.
#[derive(Debug)]
pub struct World {
    /// Instances.
    pub instances: Vec<Instance>,
    /// The store.
    pub store: UsersStore,
    /// The judge.
    pub judge: Judge,
    program: PathBuf,
    version: AtomicU64,
    orders: AtomicU64,
    is_over: AtomicBool,
}

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// The program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Instances.
    pub instances: usize,
    /// Network of the addresses; the listeners of a world stay until the soak ends, so each has its
    /// own.
    pub network: u16,
    /// Whether only planned work is played.
    pub is_planned: bool,
}

impl World {
    /// Starts the store, the backend servers and the links; the processes come with
    /// [`World::supervise`].
    ///
    /// # Errors
    ///
    /// Returns an error where an address or a file cannot be had.
    pub async fn start(settings: &WorldSettings) -> io::Result<World> {
        let store = UsersStore::start().await?;
        let mut instances = Vec::new();
        for number in 0..settings.instances {
            instances.push(make_instance(settings, number, &store).await?);
        }
        let world = World {
            instances,
            store,
            judge: Judge::new(settings.is_planned),
            program: settings.program.clone(),
            version: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
        };
        world.write_table();
        Ok(world)
    }

    /// Returns whether the run is over.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Ends the run; every process is killed.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for instance in &self.instances {
            instance.lock().process = None;
        }
    }

    /// Returns the newest version of the configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Writes the next version of the configuration, whose only own route is `/vN/`.
    pub fn write_table(&self) {
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

    /// Keeps the process of an instance running until the run is over.
    pub async fn supervise(self: Arc<World>, number: usize) {
        let instance = &self.instances[number];
        while !self.is_over() {
            let has_ended = {
                let mut state = instance.lock();
                let status = state.process.as_mut().and_then(Process::ended);
                if let Some(status) = status {
                    let may_end = std::mem::take(&mut state.may_end);
                    self.judge.check(Promise::Ends, may_end, || {
                        format!("process of {number} ended by itself: {status}")
                    });
                    state.process = None;
                }
                state.process.is_none()
            };
            if has_ended {
                if instance.lives() > 0 {
                    task::sleep(RESTART.duration()).await;
                }
                self.launch(number);
            }
            task::sleep(LOOK.duration()).await;
        }
    }

    fn launch(&self, number: usize) {
        let instance = &self.instances[number];
        let mut state = instance.lock();
        if self.is_over() {
            return;
        }
        state.lives += 1;
        state.may_end = false;
        let settings = instance.folder.join("settings.json");
        let log = instance.folder.join("log.jsonl");
        match Process::start(&self.program, &settings, &log) {
            Ok(process) => state.process = Some(process),
            Err(error) => {
                self.judge
                    .check(Promise::Ends, false, || format!("cannot start: {error}"));
            }
        }
    }

    /// Sends the heartbeats of a backend server until the run is over.
    pub async fn beat(self: Arc<World>, number: usize) {
        let instance = &self.instances[number];
        while !self.is_over() {
            let beat = {
                let mut state = instance.lock();
                state.beat.seq += 1;
                state.beat.clone()
            };
            if let Some(state) = beat.state {
                let status = self.announce(number, &beat, state).await;
                let id = instance.server_id(beat.process);
                let mut inner = instance.lock();
                let is_known = inner.drained.iter().any(|(p, _)| *p == id);
                if state == "draining" && status == Some(200) && !is_known {
                    inner.drained.push((id, Instant::now()));
                }
            }
            task::sleep(BEAT.duration()).await;
        }
    }

    async fn announce(&self, number: usize, beat: &Beat, state: &str) -> Option<u16> {
        let instance = &self.instances[number];
        let body = json!({
            "address": instance.settings.server.address,
            "born": 1000 + beat.process,
            "info": {
                "service": instance.service, "version": beat.version,
                "zone": instance.settings.zone.0, "slots": SLOTS,
            },
            "status": { "state": state, "seq": beat.seq, "coldRemaining": "0ms" },
        });
        let target = format!("/api/instances/{}", instance.server_id(beat.process));
        let address = instance.settings.listen.announcements;
        let body = body.to_string().into_bytes();
        call(address, "PUT", &target, body).await.ok()
    }

    /// Puts a new backend server process beside an instance.
    fn renew(&self, number: usize) {
        let instance = &self.instances[number];
        let id = {
            let mut state = instance.lock();
            let version = match state.is_trial {
                true => "v2",
                false => "v1",
            };
            state.beat = Beat {
                process: state.beat.process + 1,
                seq: 0,
                state: Some("ready"),
                version: version.to_owned(),
            };
            instance.server_id(state.beat.process)
        };
        instance.server.replace_process(&id);
    }

    /// Does what a fault says, and undoes it after its time.
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
            Fault::Link(number, side, mode, time) => {
                let link = self.instances[*number].link(*side);
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
            Fault::Server(number, behaviour, time) => {
                self.instances[*number].behave(behaviour);
                task::sleep(time.duration()).await;
                self.instances[*number].behave(&ServerBehaviour::Good);
            }
            Fault::Crash(number, time) => self.crash(*number, *time).await,
            Fault::Drain(number) => self.drain(*number).await,
            Fault::Leave(number) => self.leave(*number).await,
            Fault::Table => self.write_table(),
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
        while is_same() && start.elapsed() < GRACE.duration() && !self.is_over() {
            task::sleep(LOOK.duration()).await;
        }
        let has_paused = instance
            .lock()
            .paused
            .iter()
            .any(|(_, until)| until.is_none_or(|until| until > start));
        if self.is_over() || has_paused {
            return;
        }
        self.judge.check(Promise::Ends, !is_same(), || {
            format!("process of {number} is there {GRACE} after the signal to stop")
        });
        if is_same() {
            instance.signal(Signal::KILL, true);
        }
    }

    async fn pause(&self, number: usize, time: Millis) {
        let instance = &self.instances[number];
        instance.lock().paused.push((Instant::now(), None));
        instance.signal(Signal::STOP, false);
        task::sleep(time.duration()).await;
        instance.signal(Signal::CONT, false);
        let mut state = instance.lock();
        if let Some(pause) = state.paused.iter_mut().find(|(_, until)| until.is_none()) {
            pause.1 = Some(Instant::now());
        }
    }

    /// Changes a part of the settings that a running process takes over.
    fn reload(&self, number: usize) {
        let instance = &self.instances[number];
        let mut settings = instance.settings.clone();
        settings.policy.nested_reserve = 0.4 + 0.001 * instance.lives() as f64;
        let written = write_settings(&instance.folder, &settings);
        self.judge
            .check(Promise::Ends, written.is_ok(), || format!("{written:?}"));
        instance.signal(Signal::HUP, false);
    }

    async fn crash(&self, number: usize, time: Millis) {
        let instance = &self.instances[number];
        instance.lock().beat.state = None;
        let link = instance.link(Side::Server);
        link.set(LinkMode::Reset);
        task::sleep(time.duration()).await;
        link.set(LinkMode::Pass);
        self.renew(number);
    }

    async fn drain(&self, number: usize) {
        let instance = &self.instances[number];
        instance.lock().beat.state = Some("draining");
        task::sleep(DRAIN.duration() + DRAIN.duration() / 2).await;
        self.leave(number).await;
    }

    async fn leave(&self, number: usize) {
        let instance = &self.instances[number];
        let id = {
            let mut state = instance.lock();
            state.beat.state = None;
            instance.server_id(state.beat.process)
        };
        let target = format!("/api/instances/{id}");
        let address = instance.settings.listen.announcements;
        if matches!(call(address, "DELETE", &target, Vec::new()).await, Ok(200)) {
            let mut state = instance.lock();
            if !state.drained.iter().any(|(p, _)| *p == id) {
                state.drained.push((id, Instant::now()));
            }
        }
        task::sleep(DRAIN.duration() + DRAIN.duration() / 2).await;
        self.renew(number);
    }

    /// Tries a version that turns bad after a while, and checks how many requests it gets.
    async fn try_bad_version(&self, number: usize) {
        // One order at a time, so that the shares of each can be told apart.
        if self.orders.fetch_add(1, Ordering::SeqCst) > 0 {
            return;
        }
        let instance = &self.instances[number];
        let service = &instance.service;
        instance.lock().is_trial = true;
        instance.server.set_behaviour(ServerBehaviour::Good);
        self.renew(number);
        let before = self.count(service, None);
        let own = self.count(service, Some(number));
        let spec = json!({
            "service": service, "targetVersion": "v2", "duration": format!("{}ms", TRIAL.0),
        });
        self.store.write("rollouts", service, spec);
        task::sleep(TURN.duration()).await;
        instance.server.set_behaviour(ServerBehaviour::Fails);
        task::sleep(TRIAL.since(TURN).duration()).await;
        let total = self.count(service, None) - before;
        let exposed = self.count(service, Some(number)) - own;
        let cap = (total as f64 * TRIAL_SHARE) as u64 + TRIAL_SLACK;
        self.judge.check(Promise::Exposure, exposed <= cap, || {
            format!("the bad version of {service} got {exposed} of {total} requests")
        });
        instance.lock().is_trial = false;
        instance.server.set_behaviour(ServerBehaviour::Good);
        self.renew(number);
    }

    /// Counts the runs of a service, or of one of its instances.
    fn count(&self, service: &str, only: Option<usize>) -> u64 {
        let instances = self.instances.iter().enumerate();
        let counted = instances
            .filter(|(number, i)| i.service == service && only.is_none_or(|n| n == *number));
        let runs = counted.map(|(_, i)| {
            let arrivals = i.server.arrivals_from(0);
            arrivals.iter().filter(|a| a.has_run).count() as u64
        });
        runs.sum()
    }

    /// Leaves an entry in the store as a process with a clock far ahead would have written it.
    fn set_clock_ahead(&self, number: usize) {
        let instance = &self.instances[number];
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let ahead = now.unwrap_or_default().as_millis() as u64 + 3_600_000;
        let entry = ProxyEntry {
            instance: InstanceId::of(&instance.settings.instance),
            zone: instance.settings.zone.clone(),
            relay: instance.settings.listen.advertised_relay(),
            life: Incarnation(ahead),
        };
        let spec = serde_json::to_value(&entry).unwrap_or(Value::Null);
        self.store
            .write(ENTRY_KIND, &entry.instance.to_string(), spec);
        instance.signal(Signal::KILL, true);
    }

    /// Returns whether the state of a version change is recorded, or none was ordered.
    pub fn is_order_settled(&self) -> bool {
        let services = ["payments", "ledger"];
        let states = services
            .iter()
            .filter_map(|s| self.store.status("rollouts", s));
        let mut settled = states.map(|status| status["state"] == "rolled_back");
        settled.all(|is_settled| is_settled)
    }
}

async fn make_instance(
    settings: &WorldSettings,
    number: usize,
    store: &UsersStore,
) -> io::Result<Instance> {
    let [high, low] = settings.network.to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, NETWORKS + high, low, number as u8 + 1));
    let at = |port| SocketAddr::new(ip, port);
    let service = match number % 2 {
        0 => "payments",
        _ => "ledger",
    };
    let name = format!("{service}-{number}");
    let server = UsersServer::start(&format!("i-{name}-1"), at(8080)).await?;
    // Long enough that faults meet running requests, and unequal as real servers are.
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
        grace: GRACE,
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
            lives: 0,
            may_end: false,
            is_trial: false,
            paused: Vec::new(),
            beat: Beat {
                process: 1,
                seq: 0,
                state: Some("ready"),
                version: "v1".to_owned(),
            },
            drained: Vec::new(),
        }),
    })
}

/// Writes the settings under another name first, so that no reader sees half of them.
fn write_settings(folder: &Path, settings: &ProxySettings) -> io::Result<()> {
    let text = serde_json::to_string_pretty(settings)?;
    let draft = folder.join("settings.draft");
    std::fs::write(&draft, text)?;
    std::fs::rename(&draft, folder.join("settings.json"))
}
