//! Computes a plan for an intent.
//!
//! A plan is a pure function of the configuration, the known backend servers, the time and the
//! settings. The time up to the deadline is divided as follows, working back from the deadline: a
//! margin for distributing the record of completion and for clock differences; an observation
//! period after the last step; the steps. The last step keeps a part of the traffic on the old
//! version, so that the two versions can be compared over the same period until the move is
//! completed.

use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis, MoveId, PlanId, ServiceName, VersionName};
use rf_config::weights::{WEIGHT_UNIT, compute_base};
use rf_config::{Intent, MeshConfig, MoveState, Outcome, Plan, Policy, Service, Step};
use snafu::Snafu;
use std::collections::BTreeMap;

/// Properties of a backend server that a plan depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Version that the server runs.
    pub version: VersionName,
    /// Whether the server is reachable and accepts new calls.
    pub is_available: bool,
}

/// Known backend servers by instance.
pub type Servers = BTreeMap<InstanceId, ServerView>;

/// Time limits and safety margins of plans.
#[derive(Clone, Debug)]
pub struct PlanSettings {
    /// Maximum time until a new configuration is in force on every daemon.
    pub spread: Millis,
    /// Maximum difference between the clocks of two machines.
    pub clock_error: Millis,
    /// Maximum duration of a call to the platform.
    pub platform_timeout: Millis,
    /// Minimum duration of a step.
    pub min_step: Millis,
    /// Time after its computation during which a plan can be confirmed.
    pub validity: Millis,
}

impl Default for PlanSettings {
    fn default() -> Self {
        PlanSettings {
            spread: Millis(4000),
            clock_error: Millis(500),
            platform_timeout: Millis(2000),
            min_step: Millis(2000),
            validity: Millis::from_secs(600),
        }
    }
}

/// Reason why there is no plan for an intent, with what would be accepted instead.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// The service is not configured.
    #[snafu(display("no service \"{service}\"; known: {known}"))]
    UnknownService {
        /// Requested service.
        service: ServiceName,
        /// Configured services.
        known: String,
    },
    /// The version is not configured.
    #[snafu(display("no version \"{version}\" of {service}; known: {known}"))]
    UnknownVersion {
        /// Requested service.
        service: ServiceName,
        /// Requested version.
        version: VersionName,
        /// Configured versions of the service.
        known: String,
    },
    /// The share is above 100, or no version would have any weight left.
    #[snafu(display("share {share}% is not between 0 and 100"))]
    ShareOutOfRange {
        /// Requested share, in percent.
        share: u32,
    },
    /// The version already has the requested share.
    #[snafu(display("{version} already receives {share}% of {service}"))]
    NothingToDo {
        /// Requested service.
        service: ServiceName,
        /// Requested version.
        version: VersionName,
        /// Requested share, in percent.
        share: u32,
    },
    /// There is too little time for the move before the deadline.
    #[snafu(display("deadline is {short} too near; the earliest that works is {earliest}"))]
    TooNear {
        /// Difference between the earliest possible deadline and the requested one.
        short: Millis,
        /// Earliest possible deadline, in milliseconds since the Unix epoch.
        earliest: Millis,
    },
    /// No available backend server runs a version whose share would grow.
    #[snafu(display("no backend server of {service} runs {version}; start some first"))]
    NoServers {
        /// Service of the version.
        service: ServiceName,
        /// Version without a server.
        version: VersionName,
    },
    /// The version would lose its last backend server while it receives traffic.
    #[snafu(display(
        "{instance} is the last backend server of {service} {version}, which receives traffic; \
         shift the traffic away or start another first"
    ))]
    LastServer {
        /// Instance to be retired.
        instance: InstanceId,
        /// Service of its backend server.
        service: ServiceName,
        /// Version of its backend server.
        version: VersionName,
    },
    /// Another move of the service is running.
    #[snafu(display("{running} of {service} is running; wait for its end or take it back first"))]
    Busy {
        /// Requested service.
        service: ServiceName,
        /// Running move of the service.
        running: MoveId,
    },
    /// The instance is unknown or has no backend server.
    #[snafu(display("no backend server on {instance}"))]
    UnknownInstance {
        /// Requested instance.
        instance: InstanceId,
    },
    /// The instance was retired before.
    #[snafu(display("{instance} is retired already"))]
    AlreadyRetired {
        /// Requested instance.
        instance: InstanceId,
    },
    /// The configuration has no move with this id.
    #[snafu(display("no move {target}"))]
    UnknownMove {
        /// Requested move.
        target: MoveId,
    },
    /// The move to take back has already ended.
    #[snafu(display("{target} has ended: {outcome}; state a shift to the former version instead"))]
    AlreadyEnded {
        /// Requested move.
        target: MoveId,
        /// Recorded outcome of the move.
        outcome: Outcome,
    },
}

/// Result of computing a plan or of one of its checks.
pub type Result<T> = std::result::Result<T, PlanError>;

/// Inputs of a plan besides the intent.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// Configuration in force.
    pub config: &'a MeshConfig,
    /// Known backend servers.
    pub servers: &'a Servers,
    /// Time limits and safety margins.
    pub settings: &'a PlanSettings,
    /// Current time.
    pub now: Millis,
    /// Random bits that become the id of the plan.
    pub seed: u64,
}

/// Computes the plan for `intent`.
///
/// # Errors
///
/// Returns a [`PlanError`] if the intent cannot be fulfilled.
pub fn compute_plan(context: PlanContext<'_>, intent: &Intent) -> Result<Plan> {
    match intent {
        Intent::Shift {
            service,
            version,
            share,
            by,
        } => context.plan_shift(intent, service, version, *share, *by),
        Intent::Retire { instance, by } => context.plan_retire(intent, *instance, *by),
        Intent::TakeBack { target } => context.plan_take_back(intent, *target),
    }
}

/// Division of the available time into steps and an observation period, for one policy.
struct Schedule {
    /// Progress of each step, in thousandths.
    progress: &'static [u32],
    /// Maximum duration of a step.
    max_step: Millis,
    /// Observation period after the last step, in steps.
    watch_steps: u64,
    /// Time between the earliest and the latest completion, in steps.
    spare_steps: u64,
}

const CERTAINTY: Schedule = Schedule {
    progress: &[50, 200, 500, 800],
    max_step: Millis::from_secs(600),
    watch_steps: 2,
    spare_steps: 1,
};
const DEADLINE: Schedule = Schedule {
    progress: &[50, 300, 800],
    max_step: Millis::from_secs(60),
    watch_steps: 1,
    spare_steps: 4,
};

impl Schedule {
    fn of(policy: Policy) -> &'static Schedule {
        match policy {
            Policy::Certainty => &CERTAINTY,
            Policy::Deadline => &DEADLINE,
        }
    }

    /// Returns the time from the start to the earliest completion, in steps.
    fn earliest_end(&self) -> u64 {
        self.progress.len() as u64 + self.watch_steps
    }

    /// Returns the time from the start to the latest completion, in steps.
    ///
    /// The spare steps leave time to retry the record of completion. Under the deadline policy,
    /// they also make the move complete early.
    fn latest_end(&self) -> u64 {
        self.earliest_end() + self.spare_steps
    }
}

impl PlanContext<'_> {
    fn plan_shift(
        self,
        intent: &Intent,
        name: &ServiceName,
        version: &VersionName,
        share: u32,
        by: Millis,
    ) -> Result<Plan> {
        let service = self.find_service(name)?;
        if !service.versions.contains_key(version) {
            return Err(PlanError::UnknownVersion {
                service: name.clone(),
                version: version.clone(),
                known: join_or_none(service.versions.keys()),
            });
        }
        if share > 100 {
            return Err(PlanError::ShareOutOfRange { share });
        }
        self.check_no_running_move(name)?;
        self.check_share_differs(service, name, version, share)?;
        self.check_receivers(service, name, version, share)?;
        let schedule = Schedule::of(service.policy);
        let margin = self.margin();
        let window = by.since(self.now + margin);
        let step = Millis((window.0 / schedule.latest_end()).min(schedule.max_step.0));
        let shortest = Millis(self.settings.min_step.0 * schedule.latest_end());
        self.check_deadline(by, shortest)?;
        let steps: Vec<Step> = (0u64..)
            .zip(schedule.progress)
            .map(|(i, progress)| Step {
                at: self.now + Millis(step.0 * i),
                progress: *progress,
            })
            .collect();
        let finish = self.now + Millis(step.0 * schedule.earliest_end());
        let mut plan = self.base_plan(intent, name, by);
        plan.steps = steps;
        plan.finish = finish;
        plan.needs = vec![
            format!("a reachable backend server of {name} {version}"),
            match service.policy {
                Policy::Certainty => "enough calls on both versions before each step".to_owned(),
                Policy::Deadline => "no evidence against the new version at each step".to_owned(),
            },
        ];
        plan.stops = vec![
            format!("{version} failing or slower than the other versions over the same seconds"),
            "an operator's take-back".to_owned(),
        ];
        Ok(plan)
    }

    fn plan_retire(self, intent: &Intent, instance: InstanceId, by: Millis) -> Result<Plan> {
        if self.config.retired.contains(&instance) {
            return Err(PlanError::AlreadyRetired { instance });
        }
        let server = self
            .servers
            .get(&instance)
            .ok_or(PlanError::UnknownInstance { instance })?;
        self.check_no_running_move(&server.service)?;
        self.check_not_last_server(instance, server)?;
        self.check_deadline(by, self.settings.min_step)?;
        let mut plan = self.base_plan(intent, &server.service, by);
        plan.finish = self.now;
        plan.needs = vec!["every call that runs on it to end".to_owned()];
        plan.stops = vec![
            "a call that outlasts the deadline".to_owned(),
            "an operator's take-back".to_owned(),
        ];
        Ok(plan)
    }

    fn plan_take_back(self, intent: &Intent, target: MoveId) -> Result<Plan> {
        let m = self
            .config
            .moves
            .get(&target)
            .ok_or(PlanError::UnknownMove { target })?;
        if let MoveState::Ended { outcome, .. } = m.state {
            return Err(PlanError::AlreadyEnded { target, outcome });
        }
        let mut plan = self.base_plan(intent, &m.plan.service, m.plan.deadline);
        plan.finish = self.now;
        plan.needs = vec![format!("{target} still running")];
        plan.stops = vec![format!("{target} ending first")];
        Ok(plan)
    }

    /// Returns a plan without steps, needs and stops.
    fn base_plan(&self, intent: &Intent, service: &ServiceName, by: Millis) -> Plan {
        Plan {
            id: PlanId(self.seed),
            intent: intent.clone(),
            base: self.config.counter,
            basis: compute_basis(self.config, service),
            summary: describe_basis(self.config, service),
            steps: Vec::new(),
            finish: self.now,
            latest: by - self.margin(),
            deadline: by,
            expires: (self.now + self.settings.validity).min(by - self.margin()),
            service: service.clone(),
            needs: Vec::new(),
            stops: Vec::new(),
        }
    }

    /// Returns the minimum time from recording completion to the deadline.
    fn margin(&self) -> Millis {
        let s = self.settings;
        s.spread + s.clock_error + s.clock_error + s.platform_timeout
    }

    fn find_service(&self, name: &ServiceName) -> Result<&Service> {
        self.config
            .services
            .get(name)
            .ok_or_else(|| PlanError::UnknownService {
                service: name.clone(),
                known: join_or_none(self.config.services.keys()),
            })
    }

    fn check_no_running_move(&self, service: &ServiceName) -> Result<()> {
        let running = self
            .config
            .running_moves()
            .find(|m| m.plan.service == *service);
        match running {
            Some(m) => Err(PlanError::Busy {
                service: service.clone(),
                running: m.id(),
            }),
            None => Ok(()),
        }
    }

    fn check_share_differs(
        &self,
        service: &Service,
        name: &ServiceName,
        version: &VersionName,
        share: u32,
    ) -> Result<()> {
        let current = compute_base(service).get(version).copied().unwrap_or(0);
        if current != u64::from(share) * WEIGHT_UNIT / 100 {
            return Ok(());
        }
        Err(PlanError::NothingToDo {
            service: name.clone(),
            version: version.clone(),
            share,
        })
    }

    /// Checks that each version whose share grows has an available backend server.
    fn check_receivers(
        &self,
        service: &Service,
        name: &ServiceName,
        version: &VersionName,
        share: u32,
    ) -> Result<()> {
        let base = compute_base(service);
        let target = rf_config::weights::compute_shifted(&base, version, share);
        for (receiver, weight) in &target {
            let grows = *weight > base.get(receiver).copied().unwrap_or(0);
            if grows && self.available_servers(name, receiver).next().is_none() {
                return Err(PlanError::NoServers {
                    service: name.clone(),
                    version: receiver.clone(),
                });
            }
        }
        if target.values().sum::<u64>() == 0 {
            return Err(PlanError::ShareOutOfRange { share });
        }
        Ok(())
    }

    fn check_not_last_server(&self, instance: InstanceId, server: &ServerView) -> Result<()> {
        let weight = self
            .config
            .services
            .get(&server.service)
            .map(compute_base)
            .and_then(|w| w.get(&server.version).copied())
            .unwrap_or(0);
        let mut others = self
            .available_servers(&server.service, &server.version)
            .filter(|id| *id != instance);
        if weight == 0 || others.next().is_some() {
            return Ok(());
        }
        Err(PlanError::LastServer {
            instance,
            service: server.service.clone(),
            version: server.version.clone(),
        })
    }

    fn check_deadline(&self, by: Millis, shortest: Millis) -> Result<()> {
        let earliest = self.now + self.margin() + shortest;
        if by >= earliest {
            return Ok(());
        }
        Err(PlanError::TooNear {
            short: earliest - by,
            earliest,
        })
    }

    fn available_servers<'a>(
        &'a self,
        service: &'a ServiceName,
        version: &'a VersionName,
    ) -> impl Iterator<Item = InstanceId> + 'a {
        self.servers
            .iter()
            .filter(move |(id, s)| {
                s.service == *service
                    && s.version == *version
                    && s.is_available
                    && !self.config.retired.contains(id)
            })
            .map(|(id, _)| *id)
    }
}

/// Returns the fingerprint of the state that a plan for `service` depends on.
///
/// A plan whose fingerprint differs from that of the current configuration is stale.
pub fn compute_basis(config: &MeshConfig, service: &ServiceName) -> u64 {
    hash_key(describe_basis(config, service).as_bytes())
}

/// Describes the state that a plan for `service` depends on, for operators to compare and as the
/// input of [`compute_basis`].
pub fn describe_basis(config: &MeshConfig, service: &ServiceName) -> String {
    let weights = match config.services.get(service) {
        None => "not configured".to_owned(),
        Some(s) => join_or_none(s.versions.iter().map(|(v, w)| format!("{v}={}", w.weight))),
    };
    let running = config
        .running_moves()
        .filter(|m| m.plan.service == *service)
        .map(|m| format!("{} ({})", m.id(), m.plan.intent));
    format!(
        "weights {weights}; running {}; retired {}",
        join_or_none(running),
        join_or_none(config.retired.iter())
    )
}

fn join_or_none<T: ToString>(items: impl Iterator<Item = T>) -> String {
    let texts: Vec<String> = items.map(|i| i.to_string()).collect();
    match texts.is_empty() {
        true => "none".to_owned(),
        false => texts.join(", "),
    }
}
