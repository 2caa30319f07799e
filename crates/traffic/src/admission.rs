//! Admission queue in front of one backend server.
//!
//! The number of slots is a hard limit on concurrent requests, because a backend server that
//! receives more may never answer. A request that finds no free slot states how long it may wait.
//! If the average run time predicts a longer wait, the request is refused at once, with the time
//! until a slot is expected to be free.
//!
//! Load patterns handled here:
//!
//! - Sustained overload: requests that can still meet their target go before those that cannot, so
//!   that a long queue does not make every later answer late as well.
//! - A burst of one priority class: a request of a more urgent class overtakes the burst in the
//!   queue and never waits behind it.
//! - Nested calls, made by running requests: they go before new requests, even when they are late,
//!   since refusing one wastes a run and delaying one holds a slot on another server. They are
//!   ordered by the priority of the requests that make them. Their number is bounded by the
//!   admission of those requests ([`crate::chain`]).
//! - Short calls next to long requests: the average run time is kept per route, so requests queued
//!   behind short runs are not refused on account of long ones, and a change of the traffic mix
//!   does not distort the estimates.
//! - Requests for which no server had a slot in time: they are best-effort and only use slots that
//!   no other request wants.
//! - Requests that will miss their target next to requests that can meet it: while requests that
//!   could meet their target are being refused, late ones are refused at once, since each would
//!   hold a slot that an answer in time needs. Once no such refusal has happened for the time of a
//!   run, late requests use the remaining slots.
//!
//! - Organisations that compete for the server: among requests of one class, those of the
//!   organisation that was granted least recently go first, and requests that others have overtaken
//!   yield once they can no longer get a slot in time ([`crate::fair_share`]).
//! - A backend server that names a limit on the requests per second that it takes: requests wait
//!   for the rate in the same order as for a slot, and are refused at once if the wait would be too
//!   long. The owner of the queue calls [`Queue::poll`] when [`Queue::next_start`] has passed.
//! - A backend server that states that it has become slow: see [`crate::slowness`].
//!
//! Invariants: `running` exceeds `slots` only after the slots were reduced, and no request waits
//! while a slot is free and the rate limit allows a run.

use crate::StartLimiter;
use crate::fair_share::{FairShare, Organisation, Turn, Turns, overtaken, set_share, take_first};
use crate::recent::RecentRoutes;
use crate::slowness::{SlownessTracker, WaitingRun, find_overdue};
use rf_base::{Millis, OrganisationId, RequestRate};
use std::collections::BTreeMap;

/// Inverse weight of the newest run in the average run time.
const SMOOTHING: f64 = 16.0;
/// Assumed run time before any run has ended, in milliseconds.
const INITIAL_RUN_MS: f64 = 60.0;
/// Maximum number of routes with their own average; the least recently used one is evicted.
const MAX_ROUTES: usize = 64;

/// Request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Fingerprint of the route's name.
    pub route: u64,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Whether a running request makes this call.
    pub is_nested: bool,
    /// Whether the request only uses slots that no other request wants.
    pub is_best_effort: bool,
    /// Time by which the answer should be ready; a later answer is worth less.
    pub target: Millis,
    /// Time after which the request no longer wants a slot.
    pub expires: Millis,
    /// Organisation whose caller sent the request, if it is known.
    pub organisation: Option<OrganisationId>,
}

impl SlotRequest {
    /// Returns the organisation that the request counts for in fair sharing; nested calls count for
    /// none.
    fn sharer(&self) -> Organisation {
        self.organisation.filter(|_| !self.is_nested)
    }
}

/// Identifier of a waiting request, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitId(u64);

/// Result of [`Queue::request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request has a slot and may run.
    Run,
    /// The request waits in the queue.
    Wait(WaitId),
    /// The request is refused; carries the time until a slot is expected to be free.
    Refuse(Millis),
}

/// Requests that left the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wakeups {
    /// Requests that have a slot now.
    pub granted: Vec<WaitId>,
    /// Requests that expired while they waited.
    pub expired: Vec<WaitId>,
    /// Requests that will miss their target, removed because requests that could meet theirs were
    /// refused, and requests that can no longer get a slot in time because other organisations
    /// have overtaken them.
    pub yielded: Vec<WaitId>,
    /// Requests that would wait too long since the server became slower, and that another server
    /// can still answer in time.
    pub returned: Vec<WaitId>,
}

/// Order of waiting requests regardless of their organisations; the smallest is granted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    is_new: bool,
    is_last: bool,
    priority: u8,
}

impl Class {
    /// Returns the class of a request whose run takes about `run_ms` milliseconds.
    fn of(now: Millis, request: &SlotRequest, run_ms: f64) -> Class {
        let is_late = now + Millis(run_ms as u64) > request.target;
        Class {
            is_new: !request.is_nested,
            is_last: !request.is_nested && (is_late || request.is_best_effort),
            priority: request.priority,
        }
    }
}

/// Admission queue of one backend server.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: u32,
    running: u32,
    waiting: BTreeMap<WaitId, SlotRequest>,
    last_id: u64,
    /// Average run time of all routes together at the usual speed, in milliseconds.
    average_run: Option<f64>,
    /// Average run time of each route at the usual speed, in milliseconds.
    routes: RecentRoutes<Option<f64>>,
    limiter: StartLimiter,
    fair_share: FairShare,
    /// Number of requests that yielded because other organisations had overtaken them.
    fair_yields: u64,
    slowness: SlownessTracker,
    settings: QueueSettings,
}

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Whether late requests only use slots that would stay idle.
    pub idle_late: bool,
    /// Whether the average run time is estimated per route instead of for all routes together.
    pub route_time: bool,
}

impl Default for QueueSettings {
    fn default() -> Self {
        QueueSettings {
            idle_late: true,
            route_time: true,
        }
    }
}

impl Queue {
    /// Creates an empty queue for `slots` slots with the default settings.
    pub fn new(slots: u32) -> Queue {
        Queue::with_settings(slots, QueueSettings::default())
    }

    /// Creates an empty queue for `slots` slots.
    pub fn with_settings(slots: u32, settings: QueueSettings) -> Queue {
        Queue {
            slots,
            running: 0,
            waiting: BTreeMap::new(),
            last_id: 0,
            average_run: None,
            routes: RecentRoutes::new(MAX_ROUTES),
            limiter: StartLimiter::default(),
            fair_share: FairShare::default(),
            fair_yields: 0,
            slowness: SlownessTracker::default(),
            settings,
        }
    }

    /// Changes the number of slots; running requests are not interrupted.
    pub fn resize(&mut self, now: Millis, slots: u32) -> Wakeups {
        self.slots = slots;
        self.grant(now)
    }

    /// Changes how many runs may start in a second; `None` removes the limit.
    pub fn set_rate(&mut self, now: Millis, rate: Option<RequestRate>) -> Wakeups {
        self.limiter.set_rate(now, rate);
        self.grant(now)
    }

    /// Returns the time until the rate limit allows one more run after those that wait.
    pub fn rate_wait(&self, now: Millis) -> Millis {
        self.limiter.wait(now, self.waiting())
    }

    /// Returns the time until a waiting request may run in a slot that is free already, or `None`
    /// if none waits for the rate limit alone.
    pub fn next_start(&self, now: Millis) -> Option<Millis> {
        let is_paced = !self.waiting.is_empty() && self.running < self.slots;
        is_paced.then(|| self.limiter.wait(now, 0))
    }

    /// Grants the slots that the rate limit allows by now.
    pub fn poll(&mut self, now: Millis) -> Wakeups {
        self.grant(now)
    }

    /// Applies the slowness that the backend server states, in percent.
    pub fn observe_slowness(&mut self, now: Millis, percent: u16) -> Wakeups {
        let is_slower = self.slowness.observe(now, percent);
        let returned = match is_slower {
            true => self.find_returned(now),
            false => Vec::new(),
        };
        for id in &returned {
            self.waiting.remove(id);
        }
        Wakeups {
            returned,
            ..Wakeups::default()
        }
    }

    /// Returns the last stated slowness with its age.
    pub fn slowness(&self) -> SlownessTracker {
        self.slowness
    }

    /// Forgets the stated slowness, because another process answers from now on.
    pub fn reset_slowness(&mut self) {
        self.slowness = SlownessTracker::default();
    }

    /// Returns the waiting requests to hand back after the server became slower.
    ///
    /// A best-effort request has no other server left to try, and one that would be late on a
    /// server of the usual speed gains nothing there.
    fn find_returned(&self, now: Millis) -> Vec<WaitId> {
        let mut turns = self.turns(now);
        let order = std::iter::from_fn(|| take_first(&mut turns));
        let waiting = order.filter_map(|turn| Some((turn.id, self.waiting.get(&turn.id)?)));
        let runs = waiting.map(|(id, w)| WaitingRun {
            id,
            run_ms: self.run_time(now, w.route).0 as f64,
            wait_left: w.expires.since(now),
            may_return: !w.is_best_effort && now + self.average_run_of(w.route) <= w.target,
        });
        find_overdue(runs, self.drain_time(now, 0.0, 0), self.slots)
    }

    /// Requests a slot, waiting up to `max_wait` for it.
    pub fn request(&mut self, now: Millis, request: SlotRequest, max_wait: Millis) -> SlotDecision {
        if !request.is_nested && !request.is_best_effort {
            let run = self.expected_run_of(request.route);
            self.fair_share.request(now, request.sharer(), run);
        }
        if !self.would_admit(now, &request, max_wait, 0) {
            if !self.is_late(now, &request) {
                self.fair_share.refuse_timely(now, request.sharer());
            }
            return SlotDecision::Refuse(self.time_to_slot(now));
        }
        if self.is_free(now, 0) {
            self.start(now, &request);
            return SlotDecision::Run;
        }
        self.last_id += 1;
        let id = WaitId(self.last_id);
        self.waiting.insert(id, request);
        SlotDecision::Wait(id)
    }

    /// Returns whether a request would get a slot, now or within `max_wait`, after `upcoming`
    /// others that have not arrived yet.
    pub fn would_admit(
        &self,
        now: Millis,
        request: &SlotRequest,
        max_wait: Millis,
        upcoming: u32,
    ) -> bool {
        if self.yields(now, request) {
            return false;
        }
        if self.is_free(now, upcoming) {
            return true;
        }
        let wait = self.expected_wait(now, request, upcoming);
        self.slots > 0 && wait <= max_wait && now + wait < request.expires
    }

    /// Returns whether a slot is free for which no request waits, while no rate limit is in force.
    pub fn has_idle_slot(&self, now: Millis) -> bool {
        self.is_free(now, 0) && self.limiter.rate().is_none()
    }

    /// Returns whether a request may run now, after `upcoming` others.
    fn is_free(&self, now: Millis, upcoming: u32) -> bool {
        let has_slot = self.running + upcoming < self.slots;
        has_slot && self.waiting.is_empty() && self.limiter.wait(now, upcoming) == Millis::ZERO
    }

    /// Returns whether one more run may start now.
    fn has_room(&self, now: Millis) -> bool {
        self.running < self.slots && self.limiter.wait(now, 0) == Millis::ZERO
    }

    fn start(&mut self, now: Millis, request: &SlotRequest) {
        debug_assert!(self.has_room(now));
        if !request.is_nested {
            let run = self.expected_run_of(request.route);
            self.fair_share.grant(now, request.sharer(), run);
        }
        self.running += 1;
        self.limiter.begin(now);
    }

    /// Releases a slot.
    ///
    /// `run` is the route and duration of the run that held it, or `None` if its duration says
    /// nothing about the speed of the backend server.
    pub fn release(&mut self, now: Millis, run: Option<(u64, Millis)>) -> Wakeups {
        debug_assert!(self.running > 0);
        self.running = self.running.saturating_sub(1);
        if let Some((route, span)) = run {
            let span = span.0 as f64 / self.slowness.factor(now);
            self.average_run = Some(smooth(self.average_run, span));
            let average = self.routes.touch(now, route);
            *average = Some(smooth(*average, span));
        }
        self.grant(now)
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, id: WaitId) -> bool {
        self.waiting.remove(&id).is_some()
    }

    /// Removes all waiting requests and returns them.
    pub fn clear(&mut self) -> Vec<WaitId> {
        std::mem::take(&mut self.waiting).into_keys().collect()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many requests have yielded so far because other organisations had overtaken them.
    pub fn fair_yields(&self) -> u64 {
        self.fair_yields
    }

    /// Returns the average run time over all routes at the usual speed, or zero before any run has
    /// ended.
    pub fn average_run(&self) -> Millis {
        Millis(self.average_run.unwrap_or_default() as u64)
    }

    /// Returns the average run time of `route` at the usual speed, or that of all routes before a
    /// run of it has ended.
    pub fn average_run_of(&self, route: u64) -> Millis {
        Millis(self.expected_run_of(route) as u64)
    }

    /// Returns the expected time of a run of `route` that starts now.
    pub fn run_time(&self, now: Millis, route: u64) -> Millis {
        Millis((self.expected_run_of(route) * self.slowness.factor(now)) as u64)
    }

    fn expected_run(&self) -> f64 {
        self.average_run.unwrap_or(INITIAL_RUN_MS)
    }

    fn expected_run_of(&self, route: u64) -> f64 {
        let known = self.routes.get(route).copied().flatten();
        let known = known.filter(|_| self.settings.route_time);
        known.unwrap_or_else(|| self.expected_run())
    }

    /// Returns the expected time between two releases of a slot while all are taken, in
    /// milliseconds.
    fn release_interval(&self, now: Millis) -> f64 {
        self.expected_run() * self.slowness.factor(now) / f64::from(self.slots.max(1))
    }

    fn expected_wait(&self, now: Millis, request: &SlotRequest, upcoming: u32) -> Millis {
        let (count, work) = self.ahead(now, request);
        self.wait_behind(now, count, work, upcoming)
    }

    /// Returns the expected wait behind `count` waiting requests, whose runs take `work`
    /// milliseconds in all, and another `upcoming` ones.
    fn wait_behind(&self, now: Millis, count: u32, work: f64, upcoming: u32) -> Millis {
        let ahead = upcoming + count;
        let slot_wait = match self.running + ahead < self.slots {
            true => 0.0,
            false => self.drain_time(now, work, upcoming),
        };
        Millis(slot_wait as u64).max(self.limiter.wait(now, ahead))
    }

    /// Returns the number and the total expected run time, in milliseconds, of the waiting requests
    /// that get their slots before `request`.
    fn ahead(&self, now: Millis, request: &SlotRequest) -> (u32, f64) {
        let factor = self.slowness.factor(now);
        let class = Class::of(now, request, self.expected_run_of(request.route) * factor);
        let organisation = request.sharer();
        let shares = self.fair_share.shares(now);
        let (mut count, mut work, mut own_work) = (0, 0.0, 0.0);
        let mut others = Vec::new();
        let mut turns = Turns::new(shares);
        for waiting in self.waiting.values() {
            let run = self.expected_run_of(waiting.route);
            let other_class = Class::of(now, waiting, run * factor);
            if other_class == class && waiting.sharer() != organisation {
                let share = turns.take(waiting.sharer(), run);
                others.push((share, waiting.target, run));
                continue;
            }
            if (other_class, waiting.target) <= (class, request.target) {
                count += 1;
                work += run;
                own_work += if other_class == class { run } else { 0.0 };
            }
        }
        let own_share = shares.of(organisation) + Millis(own_work as u64);
        let own = (own_share, request.target);
        for (_, _, run) in others.iter().filter(|(s, t, _)| (*s, *t) <= own) {
            count += 1;
            work += run;
        }
        (count, work)
    }

    /// Returns the time until a slot is expected to be free for one more request, and the rate
    /// limit to allow it.
    pub fn time_to_slot(&self, now: Millis) -> Millis {
        let slot_wait = self.drain_time(now, self.waiting_work(), 0).max(1.0);
        Millis(slot_wait as u64).max(self.rate_wait(now))
    }

    /// Returns the total expected run time of the waiting requests at the usual speed, in
    /// milliseconds.
    fn waiting_work(&self) -> f64 {
        let waiting = self.waiting.values();
        waiting.map(|w| self.expected_run_of(w.route)).sum()
    }

    /// Returns the expected time until a slot is free after `work` milliseconds of runs at the usual
    /// speed and another `upcoming` runs, in milliseconds.
    fn drain_time(&self, now: Millis, work: f64, upcoming: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let excess = (self.running + upcoming).saturating_sub(self.slots);
        work * self.slowness.factor(now) / slots
            + f64::from(excess + 1) * self.release_interval(now)
    }

    /// Returns whether a run that started now would end after its target.
    fn is_late(&self, now: Millis, request: &SlotRequest) -> bool {
        now + self.run_time(now, request.route) > request.target
    }

    /// Returns whether a late request leaves the slots to others that can still meet their target.
    ///
    /// It does if one of those was refused less than the run time of this request ago, since more
    /// of them are then expected to arrive before this request would release its slot. Refusals of
    /// organisations that were granted more than the one of this request don't count. Nested calls
    /// never yield, because the request that makes them already holds a slot.
    fn yields(&self, now: Millis, request: &SlotRequest) -> bool {
        if request.is_nested || !self.settings.idle_late {
            return false;
        }
        let span = self.run_time(now, request.route);
        let is_late = now + span > request.target;
        is_late && self.fair_share.is_contended(now, request.sharer(), span)
    }

    /// Returns whether a request may have been overtaken, without working out the order.
    fn has_overtaken(&self, now: Millis) -> bool {
        let waiting = self.waiting.values();
        let Some(earliest) = waiting.map(|w| w.expires).min() else {
            return false;
        };
        let count = self.waiting();
        self.fair_share.organisations() > 1
            && now + self.wait_behind(now, count, self.waiting_work(), 0) >= earliest
    }

    /// Returns the waiting requests with what their order depends on.
    fn turns(&self, now: Millis) -> Vec<Turn<WaitId, Class>> {
        let shares = self.fair_share.shares(now);
        let factor = self.slowness.factor(now);
        let turn = |(id, request): (&WaitId, &SlotRequest)| {
            let run_ms = self.expected_run_of(request.route);
            Turn {
                id: *id,
                class: Class::of(now, request, run_ms * factor),
                organisation: request.sharer(),
                share: shares.of(request.sharer()),
                target: request.target,
                run_ms,
                expires: request.expires,
            }
        };
        self.waiting.iter().map(turn).collect()
    }

    fn grant(&mut self, now: Millis) -> Wakeups {
        let mut wakeups = Wakeups::default();
        let expired = self.waiting.extract_if(.., |_, w| w.expires <= now);
        wakeups.expired.extend(expired.map(|(id, _)| id));
        let yielding = self.waiting.iter().filter(|(_, w)| self.yields(now, w));
        wakeups.yielded.extend(yielding.map(|(id, _)| *id));
        for id in &wakeups.yielded {
            self.waiting.remove(id);
        }
        if !self.has_room(now) && !self.has_overtaken(now) {
            return wakeups;
        }
        let mut turns = self.turns(now);
        while self.has_room(now) {
            let Some(turn) = take_first(&mut turns) else {
                break;
            };
            if let Some(request) = self.waiting.remove(&turn.id) {
                self.start(now, &request);
                wakeups.granted.push(turn.id);
            }
            let share = self.fair_share.shares(now).of(turn.organisation);
            set_share(&mut turns, turn.organisation, share);
        }
        if self.has_overtaken(now) {
            let overtaken = overtaken(now, turns, |count, work| {
                self.wait_behind(now, count, work, 0)
            });
            self.waiting.retain(|id, _| !overtaken.contains(id));
            self.fair_yields += overtaken.len() as u64;
            wakeups.yielded.extend(overtaken);
        }
        debug_assert!(self.waiting.is_empty() || !self.has_room(now));
        wakeups
    }
}

/// Adds `span` to an exponentially weighted moving average.
fn smooth(average: Option<f64>, span: f64) -> f64 {
    average.map_or(span, |a| a + (span - a) / SMOOTHING)
}
