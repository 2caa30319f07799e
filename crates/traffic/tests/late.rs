//! Tests of requests that can no longer be answered by their target time, on a virtual clock.

use rf_base::{Millis, SeededRandom};
use rf_traffic::admission::{Queue, QueueSettings, SlotDecision, SlotRequest, WaitId};
use rf_traffic::{CallerAges, ChainAdmission, ChainSettings, RunStart};
use std::collections::{BTreeMap, BTreeSet};

const ROUTE: u64 = 1;
const SLOTS: u32 = 9;
/// Duration of a run.
const RUN: Millis = Millis(200);
/// Time from the first attempt to the target time.
const TARGET: Millis = Millis(500);
/// Time from the first attempt until the caller gives up.
const CALLER_TIMEOUT: Millis = Millis(2000);
/// Time after which a refused caller retries, once.
const RETRY_DELAY: Millis = Millis(600);

fn slot_request(target: u64, expires: u64) -> SlotRequest {
    SlotRequest {
        route: ROUTE,
        priority: 1,
        is_nested: false,
        is_best_effort: false,
        target: Millis(target),
        expires: Millis(expires),
        organisation: None,
    }
}

/// Request of a caller, with the time of its first attempt.
#[derive(Clone, Copy, Debug)]
struct Request {
    first_attempt: Millis,
    is_retry: bool,
}

/// Number of requests by outcome.
#[derive(Debug, Default)]
struct Outcomes {
    timely: u32,
    late: u32,
    refused: u32,
}

/// Simulation of one gate under random arrivals at a constant mean rate, whose refused callers
/// retry once.
struct Simulation {
    queue: Queue,
    ages: CallerAges,
    waiting: BTreeMap<WaitId, Request>,
    ends: BTreeMap<Millis, Vec<Request>>,
    retries: BTreeMap<Millis, Vec<Request>>,
    outcomes: Outcomes,
}

impl Simulation {
    fn new(settings: QueueSettings) -> Simulation {
        Simulation {
            queue: Queue::with_settings(SLOTS, settings),
            ages: CallerAges::default(),
            waiting: BTreeMap::new(),
            ends: BTreeMap::new(),
            retries: BTreeMap::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn begin(&mut self, now: Millis, request: Request) {
        self.ends.entry(now + RUN).or_default().push(request);
    }

    fn refuse(&mut self, now: Millis, request: Request) {
        if request.is_retry {
            self.outcomes.refused += 1;
            return;
        }
        let retry = Request {
            is_retry: true,
            ..request
        };
        self.retries
            .entry(now + RETRY_DELAY)
            .or_default()
            .push(retry);
    }

    fn arrive(&mut self, now: Millis, request: Request) {
        let left = (request.first_attempt + CALLER_TIMEOUT).since(now);
        let age = self.ages.observe(now, ROUTE, left);
        let target = now + TARGET.since(age);
        let spare = target.since(now + RUN);
        // A timely request waits briefly, so that it can be offered to other servers; a late one
        // waits for slots that no timely request takes.
        let max_wait = match spare {
            Millis::ZERO => Millis(left.since(RUN).0 * 3 / 10),
            spare => Millis(spare.0 * 4 / 10),
        };
        let slot_request = slot_request(target.0, (now + left).0);
        match self.queue.request(now, slot_request, max_wait) {
            SlotDecision::Run => self.begin(now, request),
            SlotDecision::Wait(id) => {
                self.waiting.insert(id, request);
            }
            SlotDecision::Refuse(_) => self.refuse(now, request),
        }
    }

    fn end(&mut self, now: Millis, request: Request) {
        match now <= request.first_attempt + TARGET {
            true => self.outcomes.timely += 1,
            false => self.outcomes.late += 1,
        }
        let wakeups = self.queue.release(now, Some((ROUTE, RUN)));
        for id in wakeups.granted {
            let request = self.waiting.remove(&id).expect("it waited");
            self.begin(now, request);
        }
        for id in [wakeups.expired, wakeups.yielded].concat() {
            let request = self.waiting.remove(&id).expect("it waited");
            self.refuse(now, request);
        }
    }

    /// Simulates `seconds` with an arrival every `interval` milliseconds on average.
    fn run(mut self, interval: u64, seconds: u64) -> Outcomes {
        let mut random = SeededRandom::new(3);
        for step in 0..seconds * 1000 {
            let now = Millis(step);
            for request in self.ends.remove(&now).unwrap_or_default() {
                self.end(now, request);
            }
            for request in self.retries.remove(&now).unwrap_or_default() {
                self.arrive(now, request);
            }
            if random.below(interval) == 0 {
                let request = Request {
                    first_attempt: now,
                    is_retry: false,
                };
                self.arrive(now, request);
            }
        }
        self.outcomes
    }
}

#[test]
fn slots_go_to_timely_answers_under_lasting_overload() {
    // The capacity is 45 runs per second, 71 requests per second arrive.
    let outcomes = Simulation::new(QueueSettings::default()).run(14, 20);
    let capacity = 20 * 45;
    assert!(outcomes.timely * 10 > capacity * 9, "{outcomes:?}");
    assert!(outcomes.late * 20 < capacity, "{outcomes:?}");
}

#[test]
fn late_retries_are_served_while_slots_are_free() {
    // The capacity is 45 runs per second, 28 requests per second arrive.
    let outcomes = Simulation::new(QueueSettings::default()).run(35, 20);
    assert_eq!(outcomes.refused, 0, "{outcomes:?}");
}

/// Returns a queue with one slot, which a run of the typical duration occupies.
fn busy_queue() -> Queue {
    let mut queue = Queue::new(1);
    assert_eq!(
        queue.request(Millis(0), slot_request(500, 2000), Millis(0)),
        SlotDecision::Run
    );
    queue.release(Millis(0), Some((ROUTE, RUN)));
    assert_eq!(
        queue.request(Millis(0), slot_request(500, 2000), Millis(0)),
        SlotDecision::Run
    );
    queue
}

#[test]
fn a_waiting_late_request_is_refused_after_a_timely_one_was_refused() {
    let mut queue = busy_queue();
    let SlotDecision::Wait(late) = queue.request(Millis(0), slot_request(100, 2000), Millis(900))
    else {
        panic!("nothing was refused yet");
    };
    assert!(matches!(
        queue.request(Millis(50), slot_request(550, 2000), Millis(10)),
        SlotDecision::Refuse(_)
    ));
    let wakeups = queue.release(Millis(100), Some((ROUTE, RUN)));
    assert_eq!(wakeups.yielded, [late]);
    assert_eq!(wakeups.granted, []);
}

#[test]
fn late_requests_run_after_one_run_time_without_a_timely_refusal() {
    let mut queue = busy_queue();
    assert!(matches!(
        queue.request(Millis(50), slot_request(550, 2000), Millis(10)),
        SlotDecision::Refuse(_)
    ));
    queue.release(Millis(100), Some((ROUTE, RUN)));
    let late = slot_request(150, 2000);
    assert!(matches!(
        queue.request(Millis(120), late, Millis(0)),
        SlotDecision::Refuse(_)
    ));
    assert_eq!(
        queue.request(Millis(250), late, Millis(0)),
        SlotDecision::Run
    );
}

#[test]
fn late_calls_of_running_requests_are_admitted() {
    let mut queue = busy_queue();
    assert!(matches!(
        queue.request(Millis(50), slot_request(550, 2000), Millis(10)),
        SlotDecision::Refuse(_)
    ));
    queue.release(Millis(100), Some((ROUTE, RUN)));
    let call = SlotRequest {
        is_nested: true,
        ..slot_request(150, 2000)
    };
    assert_eq!(
        queue.request(Millis(120), call, Millis(0)),
        SlotDecision::Run
    );
}

#[test]
fn late_runs_start_only_while_their_calls_are_served() {
    let service = || "desk".into();
    let mut chains = ChainAdmission::new(ChainSettings::default());
    for _ in 0..40 {
        chains.record_run(Millis(0), ROUTE, &BTreeMap::from([(service(), 2)]));
    }
    let late = RunStart {
        route: ROUTE,
        priority: 1,
        is_late: true,
    };
    assert!(chains.admit(Millis(0), late, |_| 1.0, 0.5));
    for _ in 0..20 {
        chains.observe(Millis(10), &service(), 1, true);
        chains.observe(Millis(10), &service(), 1, false);
    }
    assert!(!chains.admit(Millis(20), late, |_| 1.0, 0.0));
    let timely = RunStart {
        is_late: false,
        ..late
    };
    assert!(chains.admit(Millis(20), timely, |_| 1.0, 0.0));
}

#[test]
fn caller_age_is_the_difference_from_the_mean_timeout_of_first_attempts() {
    let mut ages = CallerAges::default();
    for step in 0..40 {
        // The timeouts of callers differ by about a tenth.
        let left = Millis(1800 + step * 5);
        assert_eq!(ages.observe(Millis(step), ROUTE, left), Millis::ZERO);
    }
    let age = ages.observe(Millis(50), ROUTE, Millis(1100));
    assert!((700..=900).contains(&age.0), "{age}");
}

#[test]
fn callers_with_widely_different_timeouts_have_no_age() {
    let mut ages = CallerAges::default();
    let mut seen = BTreeSet::new();
    for step in 0..400 {
        let left = Millis(100 + step * 37 % 1900);
        let callers = [left, Millis(200), Millis(300), Millis(400), Millis(150)];
        for left in callers {
            let age = ages.observe(Millis(step), ROUTE, left);
            if step > 100 {
                seen.insert(age);
            }
        }
    }
    assert_eq!(seen, BTreeSet::from([Millis::ZERO]));
}
