//! Policies that are compared: placements, and orders of waiting.

use rf_base::{InstanceId, Millis, SeededRandom};
use rf_traffic::admission::{Queue, SlotDecision, SlotRequest, WaitId, Wakeups};
use rf_traffic::placement::OfferReport;
use rf_traffic::{Candidate, OfferEnd, Placement, PlacementRequest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a proxy chooses the server of an offer.
pub trait Placing {
    /// Chooses among the candidates that were not tried.
    fn choose(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId>;

    /// Takes in the end of an offer.
    fn finish(&mut self, now: Millis, instance: InstanceId, end: OfferEnd, report: OfferReport);

    /// Returns the time until a slot is expected to be free somewhere.
    fn expected_room(&self, now: Millis, candidates: &[Candidate]) -> Millis;

    /// Returns the usual time of a run at a candidate.
    fn usual(&self, candidate: &Candidate) -> Millis;
}

/// The product's placement, by expected completion.
impl Placing for Placement {
    fn choose(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId> {
        Placement::choose(self, now, candidates, tried, &PlacementRequest::default())
    }

    fn finish(&mut self, now: Millis, instance: InstanceId, end: OfferEnd, report: OfferReport) {
        Placement::finish(self, now, instance, end, Some(report));
    }

    fn expected_room(&self, now: Millis, candidates: &[Candidate]) -> Millis {
        Placement::slot_wait(self, now, candidates).unwrap_or_default()
    }

    fn usual(&self, candidate: &Candidate) -> Millis {
        self.usual_time(candidate, 0)
    }
}

/// Simple placements that know only what this proxy has under way.
#[derive(Clone, Debug)]
pub struct Simple {
    kind: SimpleKind,
    in_flight: BTreeMap<InstanceId, u32>,
    next: usize,
    random: SeededRandom,
}

/// Kinds of [`Simple`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimpleKind {
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
    /// Of two at random, the one with fewer requests of this proxy under way.
    TwoChoices,
}

/// Usual time of a run where nothing is measured.
const ASSUMED: Millis = Millis(200);

impl Simple {
    /// Makes a placement that has chosen nothing yet.
    pub fn new(kind: SimpleKind, mut random: SeededRandom) -> Simple {
        Simple {
            kind,
            in_flight: BTreeMap::new(),
            next: random.below(1000) as usize,
            random,
        }
    }

    fn load(&self, candidate: &Candidate) -> u32 {
        let load = self.in_flight.get(&candidate.instance);
        load.copied().unwrap_or_default()
    }
}

impl Placing for Simple {
    fn choose(
        &mut self,
        _now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId> {
        let fresh: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.instance))
            .collect();
        if fresh.is_empty() {
            return None;
        }
        let count = fresh.len() as u64;
        let any = fresh[self.random.below(count) as usize];
        let chosen = match self.kind {
            SimpleKind::Random => any,
            SimpleKind::RoundRobin => {
                self.next += 1;
                fresh[self.next % fresh.len()]
            }
            SimpleKind::TwoChoices => {
                let other = fresh[self.random.below(count) as usize];
                match self.load(other) < self.load(any) {
                    true => other,
                    false => any,
                }
            }
        };
        *self.in_flight.entry(chosen.instance).or_default() += 1;
        Some(chosen.instance)
    }

    fn finish(&mut self, _now: Millis, instance: InstanceId, _end: OfferEnd, _report: OfferReport) {
        if let Some(load) = self.in_flight.get_mut(&instance) {
            *load = load.saturating_sub(1);
        }
    }

    fn expected_room(&self, _now: Millis, _candidates: &[Candidate]) -> Millis {
        ASSUMED
    }

    fn usual(&self, _candidate: &Candidate) -> Millis {
        ASSUMED
    }
}

/// How requests wait at a gate.
pub trait Waiting {
    /// Asks for a slot.
    fn enter(&mut self, now: Millis, wish: SlotRequest, patience: Millis) -> SlotDecision;

    /// Gives a slot back after a run.
    fn leave(&mut self, now: Millis, span: Millis) -> Wakeups;

    /// Gives a waiting request up; returns whether it still waited.
    fn cancel(&mut self, place: WaitId) -> bool;

    /// Returns running requests, waiting ones, and the usual time of a run.
    fn load(&self) -> (u32, u32, Millis);

    /// Returns the time until a slot is expected for one more request.
    fn expected_room(&self) -> Millis;
}

/// The product's queue: urgent ones first, late and spare ones last, refused where hopeless.
impl Waiting for Queue {
    fn enter(&mut self, now: Millis, wish: SlotRequest, patience: Millis) -> SlotDecision {
        Queue::request(self, now, wish, patience)
    }

    fn leave(&mut self, now: Millis, span: Millis) -> Wakeups {
        Queue::release(self, now, Some((0, span)))
    }

    fn cancel(&mut self, place: WaitId) -> bool {
        Queue::cancel(self, place)
    }

    fn load(&self) -> (u32, u32, Millis) {
        (self.running(), self.waiting(), self.average_run())
    }

    fn expected_room(&self) -> Millis {
        Queue::time_to_slot(self)
    }
}

/// First come, first served: waits as long as the patience lasts, whatever the chances.
///
/// The places are those of a product queue without slots, in which nobody is refused.
#[derive(Clone, Debug)]
pub struct Fifo {
    slots: u32,
    running: u32,
    order: VecDeque<(WaitId, Millis)>,
    places: Queue,
    usual: Millis,
}

impl Fifo {
    /// Makes an empty queue before `slots` slots.
    pub fn new(slots: u32) -> Fifo {
        let mut places = Queue::new(1);
        // The one slot is taken for good, so every entry gets a place.
        places.request(Millis::ZERO, endless(), Millis::ZERO);
        Fifo {
            slots,
            running: 0,
            order: VecDeque::new(),
            places,
            usual: ASSUMED,
        }
    }
}

fn endless() -> SlotRequest {
    SlotRequest {
        route: 0,
        priority: 0,
        is_nested: false,
        is_best_effort: false,
        target: Millis(u64::MAX / 2),
        expires: Millis(u64::MAX / 2),
    }
}

impl Waiting for Fifo {
    fn enter(&mut self, now: Millis, _wish: SlotRequest, patience: Millis) -> SlotDecision {
        if self.running < self.slots {
            self.running += 1;
            return SlotDecision::Run;
        }
        match self.places.request(now, endless(), Millis(u64::MAX / 4)) {
            SlotDecision::Wait(place) => {
                self.order.push_back((place, now + patience));
                SlotDecision::Wait(place)
            }
            other => other,
        }
    }

    fn leave(&mut self, now: Millis, span: Millis) -> Wakeups {
        self.usual = Millis((self.usual.0 * 15 + span.0) / 16);
        self.running = self.running.saturating_sub(1);
        let mut wakeups = Wakeups::default();
        while self.running < self.slots
            && let Some((place, expires)) = self.order.pop_front()
        {
            self.places.cancel(place);
            match expires > now {
                true => {
                    self.running += 1;
                    wakeups.granted.push(place);
                }
                false => wakeups.expired.push(place),
            }
        }
        wakeups
    }

    fn cancel(&mut self, place: WaitId) -> bool {
        let before = self.order.len();
        self.order.retain(|(p, _)| *p != place);
        self.places.cancel(place);
        self.order.len() < before
    }

    fn load(&self) -> (u32, u32, Millis) {
        (self.running, self.order.len() as u32, self.usual)
    }

    fn expected_room(&self) -> Millis {
        let turns = self.order.len() as u64 + 1;
        Millis(turns * self.usual.0 / u64::from(self.slots.max(1)))
    }
}
