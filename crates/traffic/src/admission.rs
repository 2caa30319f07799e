//! Who gets the next slot of one backend server.
//!
//! The slots are a hard limit, because a backend server that is sent more may never answer. A
//! request that finds none free says how long it is worth waiting; it is refused at once where the
//! usual time of runs says that its turn comes later, and told when room is expected.
//!
//! Load patterns this answers:
//!
//! - Lasting overload: requests that can still be answered within their target go before those
//!   that cannot, so a queue that has grown does not make every later answer late as well.
//! - A burst on one class: the more urgent class overtakes in the queue and never waits behind it.
//! - Calls of running requests: they go before new requests, late or not, since a refused one wastes
//!   a run and a waiting one holds a slot elsewhere; among them the rank of the request that makes
//!   them decides. How many there are is bounded where those requests are begun ([`crate::chain`]).
//! - Short calls beside long requests: each route has its usual time, so what waits behind short
//!   runs is not refused for the time of long ones, and a shift of the mixture changes no estimate.
//! - Requests that no server had room for in time: they are spare, and take only what others leave.
//! - Requests that can't be in time any more beside others that can: while the latter are refused,
//!   the former are refused at once, since a slot that they hold is one that an answer in time lacks;
//!   as soon as none has been refused for the time of a run, late ones run in what is left.
//!
//! Invariants: `running` exceeds `slots` only after the slots were reduced, and no request waits
//! while a slot is free.

use crate::recent::RecentRoutes;
use rf_base::Millis;
use std::collections::BTreeMap;

/// Weight of the newest run in the usual time, as a divisor.
const SMOOTHING: f64 = 16.0;
/// Usual time of a run before one has ended.
const FIRST_GUESS: f64 = 60.0;
/// Routes whose usual time is kept; the one that ran least lately is forgotten.
const MAX_ROUTES: usize = 64;

/// What a request asks of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Route, by the fingerprint of its name.
    pub route: u64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether a running request makes it.
    pub is_nested: bool,
    /// Whether it takes only what others leave.
    pub is_best_effort: bool,
    /// Time by which an answer is worth most.
    pub target: Millis,
    /// Time after which no slot is wanted any more.
    pub expires: Millis,
}

/// Place of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitId(u64);

/// Answer to a request that wants a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// It has one.
    Run,
    /// It waits.
    Wait(WaitId),
    /// It is refused; room is expected after this time.
    Refuse(Millis),
}

/// Requests whose wait is over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wakeups {
    /// They have a slot now.
    pub granted: Vec<WaitId>,
    /// Their time passed.
    pub expired: Vec<WaitId>,
    /// They can't be in time, and others that can be were refused.
    pub yielded: Vec<WaitId>,
}

/// Order among waiting requests; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_new: bool,
    is_last: bool,
    priority: u8,
    target: Millis,
}

/// State of the queue.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: u32,
    running: u32,
    waiting: BTreeMap<WaitId, SlotRequest>,
    next: u64,
    usual: Option<f64>,
    /// Usual time of the runs of each route.
    routes: RecentRoutes<Option<f64>>,
    /// Time of the last refusal of a request that could have been in time.
    pressed_at: Option<Millis>,
    settings: QueueSettings,
}

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Whether late requests take only slots that would stay idle.
    pub idle_late: bool,
    /// Whether the usual time of a run is known by route.
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
    /// Makes an empty queue before `slots` slots.
    pub fn new(slots: u32) -> Queue {
        Queue::with_settings(slots, QueueSettings::default())
    }

    /// Makes an empty queue before `slots` slots.
    pub fn with_settings(slots: u32, settings: QueueSettings) -> Queue {
        Queue {
            slots,
            running: 0,
            waiting: BTreeMap::new(),
            next: 0,
            usual: None,
            routes: RecentRoutes::new(MAX_ROUTES),
            pressed_at: None,
            settings,
        }
    }

    /// Changes the number of slots; running requests are not disturbed.
    pub fn resize(&mut self, now: Millis, slots: u32) -> Wakeups {
        self.slots = slots;
        self.grant(now)
    }

    /// Asks for a slot, waiting up to `patience` for it.
    pub fn request(&mut self, now: Millis, wish: SlotRequest, patience: Millis) -> SlotDecision {
        if !self.would_admit(now, &wish, patience, 0) {
            if !self.is_late(now, &wish) {
                self.pressed_at = Some(now);
            }
            return SlotDecision::Refuse(self.time_to_slot());
        }
        if self.running < self.slots {
            self.running += 1;
            return SlotDecision::Run;
        }
        self.next += 1;
        let place = WaitId(self.next);
        self.waiting.insert(place, wish);
        SlotDecision::Wait(place)
    }

    /// Returns whether a request would get a slot, now or within `patience`, after `coming` others
    /// that are not here yet.
    pub fn would_admit(
        &self,
        now: Millis,
        wish: &SlotRequest,
        patience: Millis,
        coming: u32,
    ) -> bool {
        if self.yields(now, wish) {
            return false;
        }
        if self.running + coming < self.slots {
            return true;
        }
        let wait = self.expected_wait(now, wish, coming);
        self.slots > 0 && wait <= patience && now + wait < wish.expires
    }

    /// Gives a slot back after a run of the given route and time; a run that says nothing about the
    /// backend server's speed has none.
    pub fn release(&mut self, now: Millis, run: Option<(u64, Millis)>) -> Wakeups {
        debug_assert!(self.running > 0);
        self.running = self.running.saturating_sub(1);
        if let Some((route, span)) = run {
            let span = span.0 as f64;
            self.usual = Some(smooth(self.usual, span));
            let usual = self.routes.touch(now, route);
            *usual = Some(smooth(*usual, span));
        }
        self.grant(now)
    }

    /// Gives a waiting request up; returns whether it still waited.
    pub fn cancel(&mut self, place: WaitId) -> bool {
        self.waiting.remove(&place).is_some()
    }

    /// Gives every waiting request up.
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

    /// Returns the usual time of a run; zero before one has ended.
    pub fn average_run(&self) -> Millis {
        Millis(self.usual.unwrap_or_default() as u64)
    }

    /// Returns the usual time of a run of `route`; that of all runs before one of it has ended.
    pub fn average_run_of(&self, route: u64) -> Millis {
        Millis(self.expected_run_of(route) as u64)
    }

    fn expected_run(&self) -> f64 {
        self.usual.unwrap_or(FIRST_GUESS)
    }

    fn expected_run_of(&self, route: u64) -> f64 {
        let known = self.routes.get(route).copied().flatten();
        let known = known.filter(|_| self.settings.route_time);
        known.unwrap_or_else(|| self.expected_run())
    }

    /// Time between two releases of a slot while all are taken.
    fn release_interval(&self) -> f64 {
        self.expected_run() / f64::from(self.slots.max(1))
    }

    fn expected_wait(&self, now: Millis, wish: &SlotRequest, coming: u32) -> Millis {
        let rank = self.rank(now, wish);
        let ahead = self.waiting.values().filter(|w| self.rank(now, w) <= rank);
        Millis(self.drain_time(ahead, coming) as u64)
    }

    /// Returns the time until a slot is expected for one more request.
    pub fn time_to_slot(&self) -> Millis {
        Millis(self.drain_time(self.waiting.values(), 0).max(1.0) as u64)
    }

    /// Time until the next slot is free once `ahead` and `coming` have run.
    fn drain_time<'a>(&self, ahead: impl Iterator<Item = &'a SlotRequest>, coming: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let excess = (self.running + coming).saturating_sub(self.slots);
        let work: f64 = ahead.map(|w| self.expected_run_of(w.route)).sum();
        work / slots + f64::from(excess + 1) * self.release_interval()
    }

    /// Returns whether a run that began now would end after its target.
    fn is_late(&self, now: Millis, wish: &SlotRequest) -> bool {
        now + self.average_run_of(wish.route) > wish.target
    }

    /// Returns whether a request leaves the slots to others that can still be in time.
    ///
    /// One of those was refused less than a run of this request ago, so more of them are expected
    /// before the slot would be free again. Calls never yield: their run holds a slot already.
    fn yields(&self, now: Millis, wish: &SlotRequest) -> bool {
        let span = self.average_run_of(wish.route);
        let is_pressed = self.pressed_at.is_some_and(|at| now.since(at) < span);
        self.settings.idle_late && is_pressed && !wish.is_nested && self.is_late(now, wish)
    }

    /// Order among waiting requests; the least goes first.
    fn rank(&self, now: Millis, wish: &SlotRequest) -> Rank {
        let is_late = self.is_late(now, wish);
        Rank {
            is_new: !wish.is_nested,
            is_last: !wish.is_nested && (is_late || wish.is_best_effort),
            priority: wish.priority,
            target: wish.target,
        }
    }

    fn grant(&mut self, now: Millis) -> Wakeups {
        let mut wakeups = Wakeups::default();
        let expired = self.waiting.extract_if(.., |_, w| w.expires <= now);
        wakeups.expired.extend(expired.map(|(place, _)| place));
        let yielding = self.waiting.iter().filter(|(_, w)| self.yields(now, w));
        wakeups.yielded.extend(yielding.map(|(place, _)| *place));
        for place in &wakeups.yielded {
            self.waiting.remove(place);
        }
        while self.running < self.slots {
            let first = self
                .waiting
                .iter()
                .min_by_key(|(place, wish)| (self.rank(now, wish), **place));
            let Some(place) = first.map(|(place, _)| *place) else {
                break;
            };
            self.waiting.remove(&place);
            self.running += 1;
            wakeups.granted.push(place);
        }
        debug_assert!(self.waiting.is_empty() || self.running >= self.slots);
        wakeups
    }
}

/// Takes `span` into a smoothed time.
fn smooth(usual: Option<f64>, span: f64) -> f64 {
    usual.map_or(span, |u| u + (span - u) / SMOOTHING)
}
