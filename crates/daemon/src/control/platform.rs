//! Scheduling of platform calls.
//!
//! One daemon per availability zone holds the watch lease and watches the configuration object. The
//! others receive changes from their neighbours. They read the object themselves only at long
//! intervals, or if they still have no configuration shortly after their start. A single rate
//! budget covers the scheduled calls of the process, with a reserve that only lease calls may use.
//! The calls that store and read plans for operators are not limited.

use super::event::{Action, LeaseKind, PlatformAnswer, PlatformCall};
use super::machine::Control;
use rf_base::{Epoch, Incarnation, InstanceId, Millis, SeededRandom};
use rf_config::{MeshConfig, Settings};
use rf_membership::overlay::highest_ranked;
use rf_protocol::LeaseHolder;
use rf_rollout::WriterCall;
use rf_store::{Lease, LeaseCall, LeaseSettings, Object, ObjectVersion, RateBudget, StoreError};
use std::collections::BTreeMap;
use tracing::{info, warn};

/// Number of daemons that contend for a lease, by rank.
const LEASE_CANDIDATES: usize = 3;
/// Number of heartbeats after its start during which a daemon does not contend for leases.
const JOIN_WAIT_HEARTBEATS: u64 = 3;
/// Maximum random delay between attempts to read the first configuration. The first attempt waits
/// for half of it in addition, since neighbours usually send the configuration earlier.
const FIRST_READ_DELAY: Millis = Millis(1500);
/// Maximum random delay before a failed watch is repeated.
const WATCH_RETRY_DELAY: Millis = Millis(1000);

/// Leases, rate budget and due times of the platform calls of one daemon.
#[derive(Debug)]
pub struct PlatformState {
    leases: BTreeMap<LeaseKind, Lease>,
    budget: RateBudget,
    /// Newest version of the configuration object that was read.
    version: ObjectVersion,
    /// Whether the result of a watch is outstanding.
    is_watching: bool,
    /// Whether the result of a read is outstanding.
    is_reading: bool,
    next_watch: Millis,
    next_read: Millis,
    /// Whether the last call was answered.
    is_up: bool,
    started: Millis,
}

impl PlatformState {
    /// Creates the state of a daemon that starts at `incarnation`; the first read is scheduled with
    /// a random delay.
    pub fn new(
        settings: &Settings,
        holder: InstanceId,
        incarnation: Incarnation,
        random: &mut SeededRandom,
    ) -> PlatformState {
        let started = Millis(incarnation.0);
        let new_lease = |key: String, random: &mut SeededRandom| {
            let lease_settings = LeaseSettings {
                key,
                term: settings.control.lease,
                clock_margin: settings.control.clock_error,
                holder,
                incarnation,
            };
            Lease::new(lease_settings, SeededRandom::new(random.bits()))
        };
        let watch_key = format!("{}/leases/watch-{}", settings.mesh, settings.zone);
        let moves_key = format!("{}/leases/moves", settings.mesh);
        PlatformState {
            leases: BTreeMap::from([
                (LeaseKind::Watch, new_lease(watch_key, random)),
                (LeaseKind::Moves, new_lease(moves_key, random)),
            ]),
            budget: RateBudget::new(settings.control.platform_rate, started),
            version: ObjectVersion(0),
            is_watching: false,
            is_reading: false,
            next_watch: Millis::ZERO,
            next_read: started + Millis(FIRST_READ_DELAY.0 / 2) + random.jitter(FIRST_READ_DELAY),
            is_up: true,
            started,
        }
    }

    /// Returns the epoch of the moves lease if this daemon holds it at `now`.
    pub fn moves_epoch(&self, now: Millis) -> Option<Epoch> {
        self.leases[&LeaseKind::Moves].held_epoch(now)
    }

    /// Returns whether this daemon holds the watch lease of its availability zone at `now`.
    pub fn holds_watch_lease(&self, now: Millis) -> bool {
        self.leases[&LeaseKind::Watch].held_epoch(now).is_some()
    }

    /// Returns whether the platform answered the last call.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the platform key of a lease.
    pub fn lease_key(&self, kind: LeaseKind) -> &str {
        self.leases[&kind].key()
    }

    fn record_result<T>(&mut self, result: &Result<T, StoreError>) {
        let failed = matches!(
            result,
            Err(StoreError::Unavailable { .. } | StoreError::Lost { .. })
        );
        if failed == self.is_up {
            info!(is_up = !failed, "availability of the platform changed");
        }
        self.is_up = !failed;
    }

    /// Takes one call from the rate budget; returns false if the budget does not allow it.
    fn take_budget(&mut self, now: Millis, is_urgent: bool) -> bool {
        if !self.budget.allows(now, is_urgent) {
            return false;
        }
        self.budget.take();
        true
    }
}

impl Control {
    /// Requests the platform calls that are due and within the rate budget.
    pub(super) fn poll_platform(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.poll_leases(now, actions);
        self.poll_writer(now, actions);
        self.poll_watch(now, actions);
        self.poll_read(now, actions);
        self.delete_plans(now, actions);
    }

    /// Deletes the plans that this daemon stored and that can no longer be confirmed.
    fn delete_plans(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some((due, id)) = self.plan_deletions.first().copied() {
            if due > now || !self.platform.take_budget(now, false) {
                return;
            }
            self.plan_deletions.pop_first();
            actions.push(Action::CallPlatform(PlatformCall::PlanDelete(id)));
        }
    }

    fn poll_leases(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for kind in [LeaseKind::Moves, LeaseKind::Watch] {
            if !self.platform.budget.allows(now, true) {
                return;
            }
            let is_candidate = self.is_candidate(now, kind);
            let Some(lease) = self.platform.leases.get_mut(&kind) else {
                continue;
            };
            let Some(call) = lease.poll(now, is_candidate) else {
                continue;
            };
            self.platform.take_budget(now, true);
            actions.push(Action::CallPlatform(lease_call(kind, call)));
        }
    }

    /// Returns whether this daemon ranks high enough to contend for a lease.
    ///
    /// A daemon that has just started does not contend until it knows its peers. Otherwise many
    /// daemons that restart together would all contend at once.
    fn is_candidate(&self, now: Millis, kind: LeaseKind) -> bool {
        let heartbeat = self.settings.control.heartbeat;
        if now.since(self.platform.started) < Millis(JOIN_WAIT_HEARTBEATS * heartbeat.0) {
            return false;
        }
        let zone = &self.membership.me().zone;
        let key = rf_base::ids::hash_key(self.platform.lease_key(kind).as_bytes());
        let contenders = self
            .membership
            .roster()
            .reachable()
            .filter(|m| !m.leaving && (kind == LeaseKind::Moves || m.zone == *zone))
            .map(|m| m.id);
        highest_ranked(key, contenders, LEASE_CANDIDATES).contains(&self.id())
    }

    fn poll_writer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.platform.budget.allows(now, false) {
            return;
        }
        if let Some(call) = self.writer.poll(now) {
            self.platform.take_budget(now, false);
            actions.push(Action::CallPlatform(writer_call(call)));
        }
    }

    fn poll_watch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_due = self.platform.holds_watch_lease(now)
            && !self.platform.is_watching
            && now >= self.platform.next_watch;
        if is_due && self.platform.take_budget(now, false) {
            self.platform.is_watching = true;
            let call = PlatformCall::Watch(self.platform.version);
            actions.push(Action::CallPlatform(call));
        }
    }

    fn poll_read(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.platform.is_reading || now < self.platform.next_read {
            return;
        }
        if self.platform.take_budget(now, false) {
            self.platform.is_reading = true;
            self.schedule_read(now);
            actions.push(Action::CallPlatform(PlatformCall::Read));
        }
    }

    /// Handles the result of a platform call.
    pub(super) fn handle_platform(
        &mut self,
        now: Millis,
        answer: PlatformAnswer,
        actions: &mut Vec<Action>,
    ) {
        match answer {
            PlatformAnswer::Read(result) => {
                self.platform.is_reading = false;
                self.platform.record_result(&result);
                if result.is_err() && self.config().counter.0 == 0 {
                    self.platform.next_read = now + self.random.jitter(FIRST_READ_DELAY);
                }
                if let Ok(object) = result {
                    self.adopt_object(now, &object);
                }
            }
            PlatformAnswer::Watch(result) => self.handle_watch(now, result),
            PlatformAnswer::LeaseGet(kind, result) => {
                self.platform.record_result(&result);
                if let Some(lease) = self.platform.leases.get_mut(&kind) {
                    lease.handle_get(now, &result);
                }
            }
            PlatformAnswer::LeasePut(kind, result) => self.handle_lease_put(now, kind, &result),
            PlatformAnswer::WriterGet(result) => {
                self.platform.record_result(&result);
                let (call, job_result) = self.writer.handle_get(now, result);
                if let Some(call) = call {
                    self.platform.take_budget(now, false);
                    actions.push(Action::CallPlatform(writer_call(call)));
                }
                self.handle_job_result(now, job_result, actions);
            }
            PlatformAnswer::WriterPut(result) => {
                self.platform.record_result(&result);
                let job_result = self.writer.handle_put(now, &result);
                self.handle_job_result(now, job_result, actions);
            }
            PlatformAnswer::PlanPut(request_id, plan, result) => {
                self.platform.record_result(&result);
                self.handle_plan_put(request_id, plan, result, actions);
            }
            PlatformAnswer::PlanGet(request_id, id, result) => {
                self.platform.record_result(&result);
                self.handle_plan_get(now, request_id, id, result, actions);
            }
            PlatformAnswer::PlanDelete => {}
        }
        self.poll_writer(now, actions);
    }

    fn handle_watch(&mut self, now: Millis, result: Result<Option<Object>, StoreError>) {
        self.platform.is_watching = false;
        self.platform.record_result(&result);
        match result {
            Ok(Some(object)) => self.adopt_object(now, &object),
            Ok(None) => {}
            Err(_) => self.platform.next_watch = now + self.random.jitter(WATCH_RETRY_DELAY),
        }
    }

    fn handle_lease_put(
        &mut self,
        now: Millis,
        kind: LeaseKind,
        result: &Result<ObjectVersion, StoreError>,
    ) {
        self.platform.record_result(result);
        let before = self.platform.moves_epoch(now);
        if let Some(lease) = self.platform.leases.get_mut(&kind) {
            lease.handle_put(now, result);
        }
        let Some(epoch) = self.platform.moves_epoch(now) else {
            return;
        };
        if before != Some(epoch) {
            info!(%epoch, "acquired the moves lease");
        }
        let holder = LeaseHolder {
            epoch,
            instance: self.id(),
        };
        self.moves_holder = self.moves_holder.max(Some(holder));
    }

    /// Schedules the next read of the configuration, at a random time between half and one and a
    /// half poll intervals from now.
    pub(super) fn schedule_read(&mut self, now: Millis) {
        let poll = self.settings.control.poll;
        self.platform.next_read = now + Millis(poll.0 / 2) + self.random.jitter(poll);
    }

    fn adopt_object(&mut self, now: Millis, object: &Object) {
        self.platform.version = self.platform.version.max(object.version);
        match serde_json::from_slice::<MeshConfig>(&object.value) {
            Ok(config) => self.adopt(now, config),
            Err(error) => warn!(%error, "cannot parse the configuration stored in the platform"),
        }
    }

    /// Returns the calls that release the leases held by this daemon.
    pub fn release_leases(&mut self, now: Millis) -> Vec<PlatformCall> {
        let release = |(kind, lease): (&LeaseKind, &mut Lease)| {
            lease.release(now).map(|call| lease_call(*kind, call))
        };
        self.platform
            .leases
            .iter_mut()
            .filter_map(release)
            .collect()
    }
}

fn lease_call(kind: LeaseKind, call: LeaseCall) -> PlatformCall {
    match call {
        LeaseCall::Get => PlatformCall::LeaseGet(kind),
        LeaseCall::Put(record, version) => PlatformCall::LeasePut(kind, record, version),
    }
}

fn writer_call(call: WriterCall) -> PlatformCall {
    match call {
        WriterCall::Get => PlatformCall::WriterGet,
        WriterCall::Put(config, version) => PlatformCall::WriterPut(config, version),
    }
}
