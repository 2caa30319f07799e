//! From an intent to a plan.
//!
//! A plan is a pure function of the configuration, the backend servers in sight, the time and the
//! settings. The time up to the deadline is divided as follows, working back from it: the margin in
//! which "done" must spread and clocks may differ; the watch after the last step; the steps. The
//! last step keeps a part of the traffic on the old version, so that the two can be compared over
//! the same seconds until the move is done.

use rf_base::ids::hash_key;
use rf_base::{InstanceId, Millis, MoveId, PlanId, ServiceName, VersionName};
use rf_config::weights::{WEIGHT_UNIT, compute_base};
use rf_config::{Intent, MeshConfig, MoveState, Outcome, Plan, Policy, Service, Step};
use snafu::Snafu;
use std::collections::BTreeMap;

/// A backend server as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Service it serves.
    pub service: ServiceName,
    /// Version it runs.
    pub version: VersionName,
    /// Whether it is reachable and takes new work.
    pub is_available: bool,
}

/// Backend servers by instance.
pub type Servers = BTreeMap<InstanceId, ServerView>;

/// ContingencyTable of a plan.
#[derive(Clone, Debug)]
pub struct PlanSettings {
    /// Time that "done" takes to be in force everywhere.
    pub spread: Millis,
    /// Greatest difference between two clocks.
    pub clock_error: Millis,
    /// Longest wait for the platform.
    pub platform_timeout: Millis,
    /// Shortest step.
    pub min_step: Millis,
    /// Time for which a plan can be confirmed.
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

/// Why an intent cannot be met, and what would work.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// The service is not configured.
    #[snafu(display("no service \"{service}\"; known: {known}"))]
    UnknownService {
        /// Name asked for.
        service: ServiceName,
        /// Names that would work.
        known: String,
    },
    /// The version is not configured.
    #[snafu(display("no version \"{version}\" of {service}; known: {known}"))]
    UnknownVersion {
        /// Service.
        service: ServiceName,
        /// Name asked for.
        version: VersionName,
        /// Names that would work.
        known: String,
    },
    /// The share is out of range.
    #[snafu(display("share {share}% is not between 0 and 100"))]
    ShareOutOfRange {
        /// Share asked for.
        share: u32,
    },
    /// The configuration is already as intended.
    #[snafu(display("{version} already receives {share}% of {service}"))]
    NothingToDo {
        /// Service.
        service: ServiceName,
        /// Version.
        version: VersionName,
        /// Share.
        share: u32,
    },
    /// The deadline is too near.
    #[snafu(display("deadline is {short} too near; the earliest that works is {earliest}"))]
    TooNear {
        /// How much is missing.
        short: Millis,
        /// Earliest deadline that works, in milliseconds since the Unix epoch.
        earliest: Millis,
    },
    /// No backend server of the version is available.
    #[snafu(display("no backend server of {service} runs {version}; start some first"))]
    NoServers {
        /// Service.
        service: ServiceName,
        /// Version.
        version: VersionName,
    },
    /// The version would lose its last backend server while it receives traffic.
    #[snafu(display(
        "{instance} is the last backend server of {service} {version}, which receives traffic; \
         shift the traffic away or start another first"
    ))]
    LastServer {
        /// Instance.
        instance: InstanceId,
        /// Service.
        service: ServiceName,
        /// Version.
        version: VersionName,
    },
    /// Another move of the service is running.
    #[snafu(display("{running} of {service} is running; wait for its end or take it back first"))]
    Busy {
        /// Service.
        service: ServiceName,
        /// Move that runs.
        running: MoveId,
    },
    /// No such backend server.
    #[snafu(display("no backend server on {instance}"))]
    UnknownInstance {
        /// Instance asked for.
        instance: InstanceId,
    },
    /// The backend server is retired already.
    #[snafu(display("{instance} is retired already"))]
    AlreadyRetired {
        /// Instance asked for.
        instance: InstanceId,
    },
    /// No such move.
    #[snafu(display("no move {target}"))]
    UnknownMove {
        /// Move asked for.
        target: MoveId,
    },
    /// The move has ended.
    #[snafu(display("{target} has ended: {outcome}; state a shift to the former version instead"))]
    AlreadyEnded {
        /// Move asked for.
        target: MoveId,
        /// How it ended.
        outcome: Outcome,
    },
}

/// Result of planning.
pub type Result<T> = std::result::Result<T, PlanError>;

/// Everything a plan depends on besides the intent.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// Configuration in force.
    pub config: &'a MeshConfig,
    /// Backend servers in sight.
    pub servers: &'a Servers,
    /// ContingencyTable.
    pub settings: &'a PlanSettings,
    /// Current time.
    pub now: Millis,
    /// Random bits for the id.
    pub seed: u64,
}

/// Computes the plan for `intent`.
///
/// # Errors
///
/// Returns the [`PlanError`] of an intent that cannot be met.
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

/// Part of the time that each policy gives to steps and watch.
struct Schedule {
    /// Progress of each step, in thousandths.
    progress: &'static [u32],
    /// Longest step.
    max_step: Millis,
    /// Watch after the last step, in steps.
    watch_steps: u64,
    /// Time left between the earliest and the latest "done", in steps.
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

    /// Steps up to the earliest "done".
    fn total_steps(&self) -> u64 {
        self.progress.len() as u64 + self.watch_steps
    }

    /// Steps up to the latest "done"; the spare ones are left to retries of its record and, under
    /// the deadline policy, make the move end early.
    fn parts(&self) -> u64 {
        self.total_steps() + self.spare_steps
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
        let service = self.service(name)?;
        if !service.versions.contains_key(version) {
            return Err(PlanError::UnknownVersion {
                service: name.clone(),
                version: version.clone(),
                known: join(service.versions.keys()),
            });
        }
        if share > 100 {
            return Err(PlanError::ShareOutOfRange { share });
        }
        self.check_idle(name)?;
        self.check_share(service, name, version, share)?;
        self.check_receivers(service, name, version, share)?;
        let schedule = Schedule::of(service.policy);
        let margin = self.margin();
        let window = by.since(self.now + margin);
        let step = Millis((window.0 / schedule.parts()).min(schedule.max_step.0));
        let shortest = Millis(self.settings.min_step.0 * schedule.parts());
        self.check_window(by, shortest)?;
        let steps: Vec<Step> = (0u64..)
            .zip(schedule.progress)
            .map(|(i, progress)| Step {
                at: self.now + Millis(step.0 * i),
                progress: *progress,
            })
            .collect();
        let finish = self.now + Millis(step.0 * schedule.total_steps());
        let mut plan = self.frame(intent, name, by);
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
        self.check_idle(&server.service)?;
        self.check_not_last(instance, server)?;
        self.check_window(by, self.settings.min_step)?;
        let mut plan = self.frame(intent, &server.service, by);
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
        let mut plan = self.frame(intent, &m.plan.service, m.plan.deadline);
        plan.finish = self.now;
        plan.needs = vec![format!("{target} still running")];
        plan.stops = vec![format!("{target} ending first")];
        Ok(plan)
    }

    fn frame(&self, intent: &Intent, service: &ServiceName, by: Millis) -> Plan {
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

    /// Time that must lie between the record of "done" and the deadline.
    fn margin(&self) -> Millis {
        let s = self.settings;
        s.spread + s.clock_error + s.clock_error + s.platform_timeout
    }

    fn service(&self, name: &ServiceName) -> Result<&Service> {
        self.config
            .services
            .get(name)
            .ok_or_else(|| PlanError::UnknownService {
                service: name.clone(),
                known: join(self.config.services.keys()),
            })
    }

    fn check_idle(&self, service: &ServiceName) -> Result<()> {
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

    fn check_share(
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

    /// Checks that each version whose share grows has a backend server.
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
            if grows && self.available(name, receiver).next().is_none() {
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

    fn check_not_last(&self, instance: InstanceId, server: &ServerView) -> Result<()> {
        let weight = self
            .config
            .services
            .get(&server.service)
            .map(compute_base)
            .and_then(|w| w.get(&server.version).copied())
            .unwrap_or(0);
        let mut others = self
            .available(&server.service, &server.version)
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

    fn check_window(&self, by: Millis, shortest: Millis) -> Result<()> {
        let earliest = self.now + self.margin() + shortest;
        if by >= earliest {
            return Ok(());
        }
        Err(PlanError::TooNear {
            short: earliest - by,
            earliest,
        })
    }

    fn available<'a>(
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

/// Computes the fingerprint of what a plan for `service` depends on.
pub fn compute_basis(config: &MeshConfig, service: &ServiceName) -> u64 {
    hash_key(describe_basis(config, service).as_bytes())
}

/// Describes what a plan for `service` depends on, for a person to compare.
pub fn describe_basis(config: &MeshConfig, service: &ServiceName) -> String {
    let weights = match config.services.get(service) {
        None => "not configured".to_owned(),
        Some(s) => join(s.versions.iter().map(|(v, w)| format!("{v}={}", w.weight))),
    };
    let running = config
        .running_moves()
        .filter(|m| m.plan.service == *service)
        .map(|m| format!("{} ({})", m.id(), m.plan.intent));
    format!(
        "weights {weights}; running {}; retired {}",
        join(running),
        join(config.retired.iter())
    )
}

fn join<T: ToString>(items: impl Iterator<Item = T>) -> String {
    let texts: Vec<String> = items.map(|i| i.to_string()).collect();
    match texts.is_empty() {
        true => "none".to_owned(),
        false => texts.join(", "),
    }
}
