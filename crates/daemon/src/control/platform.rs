//! Calls to the platform: who watches, who writes, and how often.
//!
//! One daemon per availability zone holds the watch lease and waits on the configuration; the others
//! hear of changes from their neighbours, and read the object themselves only now and then, or when
//! they have no configuration a while after their start. One rate budget covers every call of the
//! process; leases may draw on its reserve.

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

/// Daemons that contend for one lease.
const CANDIDATES: usize = 3;
/// Heartbeats after its start for which a daemon contends for no lease.
const JOIN_HEARTBEATS: u64 = 3;
/// Longest wait for a configuration from neighbours before the platform is read.
const FIRST_READ: Millis = Millis(1500);
/// Longest pause after a failed watch.
const WATCH_PAUSE: Millis = Millis(1000);

/// State of the platform side of the control machine.
#[derive(Debug)]
pub struct Platform {
    leases: BTreeMap<LeaseKind, Lease>,
    budget: RateBudget,
    version: ObjectVersion,
    is_watching: bool,
    is_reading: bool,
    next_watch: Millis,
    next_read: Millis,
    is_up: bool,
    started: Millis,
}

impl Platform {
    /// Makes the platform side of a daemon.
    pub fn new(
        settings: &Settings,
        holder: InstanceId,
        incarnation: Incarnation,
        random: &mut SeededRandom,
    ) -> Platform {
        let started = Millis(incarnation.0);
        let make = |key: String, random: &mut SeededRandom| {
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
        Platform {
            leases: BTreeMap::from([
                (LeaseKind::Watch, make(watch_key, random)),
                (LeaseKind::Moves, make(moves_key, random)),
            ]),
            budget: RateBudget::new(settings.control.platform_rate, started),
            version: ObjectVersion(0),
            is_watching: false,
            is_reading: false,
            next_watch: Millis::ZERO,
            next_read: started + Millis(FIRST_READ.0 / 2) + random.jitter(FIRST_READ),
            is_up: true,
            started,
        }
    }

    /// Returns the epoch under which this daemon conducts moves.
    pub fn moves_epoch(&self, now: Millis) -> Option<Epoch> {
        self.leases[&LeaseKind::Moves].held_epoch(now)
    }

    /// Returns whether this daemon watches the platform for its zone.
    pub fn is_watch_holder(&self, now: Millis) -> bool {
        self.leases[&LeaseKind::Watch].held_epoch(now).is_some()
    }

    /// Returns whether the last call was answered.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the key of a lease.
    pub fn lease_key(&self, kind: LeaseKind) -> &str {
        self.leases[&kind].key()
    }

    fn note<T>(&mut self, result: &Result<T, StoreError>) {
        let failed = matches!(
            result,
            Err(StoreError::Unavailable { .. } | StoreError::Lost { .. })
        );
        if failed == self.is_up {
            info!(is_up = !failed, "platform");
        }
        self.is_up = !failed;
    }

    /// Takes one call from the budget, if it has one.
    fn afford(&mut self, now: Millis, is_urgent: bool) -> bool {
        if !self.budget.allows(now, is_urgent) {
            return false;
        }
        self.budget.take();
        true
    }
}

impl Control {
    /// Makes the calls that are due.
    pub(super) fn poll_platform(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.poll_leases(now, actions);
        self.poll_writer(now, actions);
        self.poll_watch(now, actions);
        self.poll_read(now, actions);
        self.delete_plans(now, actions);
    }

    /// Deletes the plans made here that can no longer be confirmed.
    fn delete_plans(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some((due, id)) = self.plans.first().copied() {
            if due > now || !self.platform.afford(now, false) {
                return;
            }
            self.plans.pop_first();
            actions.push(Action::Platform(PlatformCall::PlanDelete(id)));
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
            self.platform.afford(now, true);
            actions.push(Action::Platform(lease_call(kind, call)));
        }
    }

    /// Returns whether this daemon ranks high enough to contend for a lease.
    ///
    /// A daemon that has just started waits until it knows its peers, so that a herd of returning
    /// daemons does not contend all at once.
    fn is_candidate(&self, now: Millis, kind: LeaseKind) -> bool {
        let heartbeat = self.settings.control.heartbeat;
        if now.since(self.platform.started) < Millis(JOIN_HEARTBEATS * heartbeat.0) {
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
        highest_ranked(key, contenders, CANDIDATES).contains(&self.id())
    }

    fn poll_writer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.platform.budget.allows(now, false) {
            return;
        }
        if let Some(call) = self.writer.poll(now) {
            self.platform.afford(now, false);
            actions.push(Action::Platform(writer_call(call)));
        }
    }

    fn poll_watch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_due = self.platform.is_watch_holder(now)
            && !self.platform.is_watching
            && now >= self.platform.next_watch;
        if is_due && self.platform.afford(now, false) {
            self.platform.is_watching = true;
            let call = PlatformCall::Watch(self.platform.version);
            actions.push(Action::Platform(call));
        }
    }

    fn poll_read(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.platform.is_reading || now < self.platform.next_read {
            return;
        }
        if self.platform.afford(now, false) {
            self.platform.is_reading = true;
            self.postpone_read(now);
            actions.push(Action::Platform(PlatformCall::Read));
        }
    }

    /// Takes in an answer of the platform.
    pub(super) fn handle_platform(
        &mut self,
        now: Millis,
        answer: PlatformAnswer,
        actions: &mut Vec<Action>,
    ) {
        match answer {
            PlatformAnswer::Read(result) => {
                self.platform.is_reading = false;
                self.platform.note(&result);
                if result.is_err() && self.config().counter.0 == 0 {
                    self.platform.next_read = now + self.random.jitter(FIRST_READ);
                }
                if let Ok(object) = result {
                    self.take_object(now, &object);
                }
            }
            PlatformAnswer::Watch(result) => self.handle_watch(now, result),
            PlatformAnswer::LeaseGet(kind, result) => {
                self.platform.note(&result);
                if let Some(lease) = self.platform.leases.get_mut(&kind) {
                    lease.handle_get(now, &result);
                }
            }
            PlatformAnswer::LeasePut(kind, result) => self.handle_lease_put(now, kind, &result),
            PlatformAnswer::WriterGet(result) => {
                self.platform.note(&result);
                let (call, ended) = self.writer.handle_get(now, result);
                if let Some(call) = call {
                    self.platform.afford(now, false);
                    actions.push(Action::Platform(writer_call(call)));
                }
                self.end_job(now, ended, actions);
            }
            PlatformAnswer::WriterPut(result) => {
                self.platform.note(&result);
                let ended = self.writer.handle_put(now, &result);
                self.end_job(now, ended, actions);
            }
            PlatformAnswer::PlanPut(from, plan, result) => {
                self.platform.note(&result);
                self.handle_plan_put(from, plan, result, actions);
            }
            PlatformAnswer::PlanGet(from, id, result) => {
                self.platform.note(&result);
                self.handle_plan_get(now, from, id, result, actions);
            }
            PlatformAnswer::PlanDelete => {}
        }
        self.poll_writer(now, actions);
    }

    fn handle_watch(&mut self, now: Millis, result: Result<Option<Object>, StoreError>) {
        self.platform.is_watching = false;
        self.platform.note(&result);
        match result {
            Ok(Some(object)) => self.take_object(now, &object),
            Ok(None) => {}
            Err(_) => self.platform.next_watch = now + self.random.jitter(WATCH_PAUSE),
        }
    }

    fn handle_lease_put(
        &mut self,
        now: Millis,
        kind: LeaseKind,
        result: &Result<ObjectVersion, StoreError>,
    ) {
        self.platform.note(result);
        let before = self.platform.moves_epoch(now);
        if let Some(lease) = self.platform.leases.get_mut(&kind) {
            lease.handle_put(now, result);
        }
        let Some(epoch) = self.platform.moves_epoch(now) else {
            return;
        };
        if before != Some(epoch) {
            info!(%epoch, "conducting moves");
        }
        let owner = LeaseHolder {
            epoch,
            instance: self.id(),
        };
        self.owner = self.owner.max(Some(owner));
    }

    /// Puts the next read off, after neighbours had the configuration.
    pub(super) fn postpone_read(&mut self, now: Millis) {
        let poll = self.settings.control.poll;
        self.platform.next_read = now + Millis(poll.0 / 2) + self.random.jitter(poll);
    }

    fn take_object(&mut self, now: Millis, object: &Object) {
        self.platform.version = self.platform.version.max(object.version);
        match serde_json::from_slice::<MeshConfig>(&object.value) {
            Ok(config) => self.adopt(now, config),
            Err(error) => warn!(%error, "configuration in the platform does not parse"),
        }
    }

    /// Returns the writes that give this daemon's leases up.
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
