//! Placement and queueing policies: adapters for the product's own and simple baselines.

use rf_base::{InstanceId, Millis, SeededRandom};
use rf_traffic::admission::{Queue, SlotDecision, SlotRequest, WaitId, Wakeups};
use rf_traffic::placement::OfferReport;
use rf_traffic::{Candidate, OfferEnd, Placement, PlacementRequest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Policy by which a proxy chooses the server for an offer.
pub trait PlacementPolicy {
    /// Chooses one of the candidates that are not in `tried`, or returns `None` if there is none.
    fn choose(
        &mut self,
        now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId>;

    /// Records the end of an offer.
    fn finish(&mut self, now: Millis, instance: InstanceId, end: OfferEnd, report: OfferReport);

    /// Returns the shortest expected time until one of the candidates has a free slot.
    fn slot_wait(&self, now: Millis, candidates: &[Candidate]) -> Millis;

    /// Returns the typical run time at a candidate.
    fn run_time(&self, candidate: &Candidate) -> Millis;
}

/// The product's placement, which chooses by the expected time to completion.
impl PlacementPolicy for Placement {
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

    fn slot_wait(&self, now: Millis, candidates: &[Candidate]) -> Millis {
        Placement::slot_wait(self, now, candidates).unwrap_or_default()
    }

    fn run_time(&self, candidate: &Candidate) -> Millis {
        self.run_time(candidate, 0)
    }
}

/// Baseline placements that only know this proxy's own requests in flight.
#[derive(Clone, Debug)]
pub struct BaselinePlacement {
    kind: BaselineKind,
    in_flight: BTreeMap<InstanceId, u32>,
    next: usize,
    random: SeededRandom,
}

/// Kinds of [`BaselinePlacement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Each server in turn.
    RoundRobin,
    /// A random server.
    Random,
    /// The one of two random servers with fewer requests of this proxy in flight.
    TwoChoices,
}

/// Run time that [`BaselinePlacement`] assumes, and initial average of [`Fifo`].
const DEFAULT_RUN_TIME: Millis = Millis(200);

impl BaselinePlacement {
    /// Creates a placement with no requests in flight; round robin starts at a random server.
    pub fn new(kind: BaselineKind, mut random: SeededRandom) -> BaselinePlacement {
        BaselinePlacement {
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

impl PlacementPolicy for BaselinePlacement {
    fn choose(
        &mut self,
        _now: Millis,
        candidates: &[Candidate],
        tried: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId> {
        let untried: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.instance))
            .collect();
        if untried.is_empty() {
            return None;
        }
        let count = untried.len() as u64;
        let first = untried[self.random.below(count) as usize];
        let chosen = match self.kind {
            BaselineKind::Random => first,
            BaselineKind::RoundRobin => {
                self.next += 1;
                untried[self.next % untried.len()]
            }
            BaselineKind::TwoChoices => {
                let other = untried[self.random.below(count) as usize];
                match self.load(other) < self.load(first) {
                    true => other,
                    false => first,
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

    fn slot_wait(&self, _now: Millis, _candidates: &[Candidate]) -> Millis {
        DEFAULT_RUN_TIME
    }

    fn run_time(&self, _candidate: &Candidate) -> Millis {
        DEFAULT_RUN_TIME
    }
}

/// Policy by which the gate of a server queues requests for a slot.
pub trait SlotQueue {
    /// Requests a slot, waiting up to `max_wait` for it.
    fn request_slot(
        &mut self,
        now: Millis,
        slot_request: SlotRequest,
        max_wait: Millis,
    ) -> SlotDecision;

    /// Releases a slot after a run of duration `span`.
    fn release_slot(&mut self, now: Millis, span: Millis) -> Wakeups;

    /// Removes a waiting request; returns whether it was still waiting.
    fn cancel(&mut self, id: WaitId) -> bool;

    /// Returns the number of running requests, that of waiting ones, and the average run time.
    fn load(&self) -> (u32, u32, Millis);

    /// Returns the time until a slot is expected to be free for one more request.
    fn slot_wait(&self, now: Millis) -> Millis;
}

/// The product's queue: urgent requests go first, late and best-effort ones last, and requests with
/// no prospect of a slot in time are refused.
impl SlotQueue for Queue {
    fn request_slot(
        &mut self,
        now: Millis,
        slot_request: SlotRequest,
        max_wait: Millis,
    ) -> SlotDecision {
        Queue::request(self, now, slot_request, max_wait)
    }

    fn release_slot(&mut self, now: Millis, span: Millis) -> Wakeups {
        Queue::release(self, now, Some((0, span)))
    }

    fn cancel(&mut self, id: WaitId) -> bool {
        Queue::cancel(self, id)
    }

    fn load(&self) -> (u32, u32, Millis) {
        (self.running(), self.waiting(), self.average_run())
    }

    fn slot_wait(&self, now: Millis) -> Millis {
        Queue::time_to_slot(self, now)
    }
}

/// Baseline queue in order of arrival. A request waits for its maximum wait, even if it has no
/// prospect of a slot in that time.
///
/// Wait ids come from a product queue without a free slot, which refuses no request.
#[derive(Clone, Debug)]
pub struct Fifo {
    slots: u32,
    running: u32,
    /// Waiting requests and the times at which their waits expire.
    entries: VecDeque<(WaitId, Millis)>,
    /// Issues the wait ids.
    id_source: Queue,
    /// Moving average of the run time.
    average_run: Millis,
}

impl Fifo {
    /// Creates an empty queue for `slots` slots.
    pub fn new(slots: u32) -> Fifo {
        let mut id_source = Queue::new(1);
        // The only slot is never released, so every later request gets a wait id.
        id_source.request(Millis::ZERO, unlimited_request(), Millis::ZERO);
        Fifo {
            slots,
            running: 0,
            entries: VecDeque::new(),
            id_source,
            average_run: DEFAULT_RUN_TIME,
        }
    }
}

/// Returns a request that never expires.
fn unlimited_request() -> SlotRequest {
    SlotRequest {
        route: 0,
        priority: 0,
        is_nested: false,
        is_best_effort: false,
        target: Millis(u64::MAX / 2),
        expires: Millis(u64::MAX / 2),
        organisation: None,
    }
}

impl SlotQueue for Fifo {
    fn request_slot(
        &mut self,
        now: Millis,
        _slot_request: SlotRequest,
        max_wait: Millis,
    ) -> SlotDecision {
        if self.running < self.slots {
            self.running += 1;
            return SlotDecision::Run;
        }
        match self
            .id_source
            .request(now, unlimited_request(), Millis(u64::MAX / 4))
        {
            SlotDecision::Wait(id) => {
                self.entries.push_back((id, now + max_wait));
                SlotDecision::Wait(id)
            }
            other => other,
        }
    }

    fn release_slot(&mut self, now: Millis, span: Millis) -> Wakeups {
        self.average_run = Millis((self.average_run.0 * 15 + span.0) / 16);
        self.running = self.running.saturating_sub(1);
        let mut wakeups = Wakeups::default();
        while self.running < self.slots
            && let Some((id, expires)) = self.entries.pop_front()
        {
            self.id_source.cancel(id);
            match expires > now {
                true => {
                    self.running += 1;
                    wakeups.granted.push(id);
                }
                false => wakeups.expired.push(id),
            }
        }
        wakeups
    }

    fn cancel(&mut self, id: WaitId) -> bool {
        let before = self.entries.len();
        self.entries.retain(|(p, _)| *p != id);
        self.id_source.cancel(id);
        self.entries.len() < before
    }

    fn load(&self) -> (u32, u32, Millis) {
        (self.running, self.entries.len() as u32, self.average_run)
    }

    fn slot_wait(&self, _now: Millis) -> Millis {
        let position = self.entries.len() as u64 + 1;
        Millis(position * self.average_run.0 / u64::from(self.slots.max(1)))
    }
}
