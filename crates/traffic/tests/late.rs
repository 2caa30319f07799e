//! Load patterns of requests that can't be in time any more, on a virtual clock.

use rf_base::{Millis, SeededRandom};
use rf_traffic::admission::{Queue, QueueSettings, SlotDecision, SlotRequest, WaitId};
use rf_traffic::{CallerAges, ChainAdmission, ChainSettings, RunStart};
use std::collections::{BTreeMap, BTreeSet};

const ROUTE: u64 = 1;
const SLOTS: u32 = 9;
/// Time of a run, of the target, and of the patience of callers.
const RUN: Millis = Millis(200);
const TARGET: Millis = Millis(500);
const PATIENCE: Millis = Millis(2000);
/// Time after which refused callers come back, once.
const PAUSE: Millis = Millis(600);

fn wish(target: u64, expires: u64) -> SlotRequest {
    SlotRequest {
        route: ROUTE,
        priority: 1,
        is_nested: false,
        is_best_effort: false,
        target: Millis(target),
        expires: Millis(expires),
    }
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct Request {
    first: Millis,
    is_return: bool,
}

/// What came of the requests.
#[derive(Debug, Default)]
struct Tally {
    timely: u32,
    late: u32,
    refused: u32,
}

/// One gate under arrivals at a steady pace, whose refused callers come back once.
struct Play {
    queue: Queue,
    ages: CallerAges,
    waiting: BTreeMap<WaitId, Request>,
    ends: BTreeMap<Millis, Vec<Request>>,
    returns: BTreeMap<Millis, Vec<Request>>,
    tally: Tally,
}

impl Play {
    fn new(settings: QueueSettings) -> Play {
        Play {
            queue: Queue::with_settings(SLOTS, settings),
            ages: CallerAges::default(),
            waiting: BTreeMap::new(),
            ends: BTreeMap::new(),
            returns: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    fn begin(&mut self, now: Millis, request: Request) {
        self.ends.entry(now + RUN).or_default().push(request);
    }

    fn refuse(&mut self, now: Millis, request: Request) {
        if request.is_return {
            self.tally.refused += 1;
            return;
        }
        let back = Request {
            is_return: true,
            ..request
        };
        self.returns.entry(now + PAUSE).or_default().push(back);
    }

    fn arrive(&mut self, now: Millis, request: Request) {
        let left = (request.first + PATIENCE).since(now);
        let age = self.ages.observe(now, ROUTE, left);
        let target = now + TARGET.since(age);
        let spare = target.since(now + RUN);
        // A fresh request is offered elsewhere early; late ones wait for what is left.
        let patience = match spare {
            Millis::ZERO => Millis(left.since(RUN).0 * 3 / 10),
            spare => Millis(spare.0 * 4 / 10),
        };
        let wish = wish(target.0, (now + left).0);
        match self.queue.request(now, wish, patience) {
            SlotDecision::Run => self.begin(now, request),
            SlotDecision::Wait(place) => {
                self.waiting.insert(place, request);
            }
            SlotDecision::Refuse(_) => self.refuse(now, request),
        }
    }

    fn end(&mut self, now: Millis, request: Request) {
        match now <= request.first + TARGET {
            true => self.tally.timely += 1,
            false => self.tally.late += 1,
        }
        let wakeups = self.queue.release(now, Some((ROUTE, RUN)));
        for place in wakeups.granted {
            let request = self.waiting.remove(&place).expect("it waited");
            self.begin(now, request);
        }
        for place in [wakeups.expired, wakeups.yielded].concat() {
            let request = self.waiting.remove(&place).expect("it waited");
            self.refuse(now, request);
        }
    }

    /// Plays arrivals every `pace` on average for `seconds`.
    fn run(mut self, pace: u64, seconds: u64) -> Tally {
        let mut random = SeededRandom::new(3);
        for step in 0..seconds * 1000 {
            let now = Millis(step);
            for request in self.ends.remove(&now).unwrap_or_default() {
                self.end(now, request);
            }
            for request in self.returns.remove(&now).unwrap_or_default() {
                self.arrive(now, request);
            }
            if random.below(pace) == 0 {
                let request = Request {
                    first: now,
                    is_return: false,
                };
                self.arrive(now, request);
            }
        }
        self.tally
    }
}

#[test]
fn lasting_overload_spends_the_slots_on_answers_in_time() {
    // 45 runs a second are possible, 71 are asked for.
    let tally = Play::new(QueueSettings::default()).run(14, 20);
    let capacity = 20 * 45;
    assert!(tally.timely * 10 > capacity * 9, "{tally:?}");
    assert!(tally.late * 20 < capacity, "{tally:?}");
}

#[test]
fn callers_that_come_back_late_are_served_where_there_is_room() {
    // 45 runs a second are possible, 28 are asked for.
    let tally = Play::new(QueueSettings::default()).run(35, 20);
    assert_eq!(tally.refused, 0, "{tally:?}");
}

/// Makes a queue whose slots are all taken by runs of the usual time.
fn busy_queue() -> Queue {
    let mut queue = Queue::new(1);
    assert_eq!(
        queue.request(Millis(0), wish(500, 2000), Millis(0)),
        SlotDecision::Run
    );
    queue.release(Millis(0), Some((ROUTE, RUN)));
    assert_eq!(
        queue.request(Millis(0), wish(500, 2000), Millis(0)),
        SlotDecision::Run
    );
    queue
}

#[test]
fn a_late_request_that_waits_is_refused_once_a_timely_one_is() {
    let mut queue = busy_queue();
    let SlotDecision::Wait(late) = queue.request(Millis(0), wish(100, 2000), Millis(900)) else {
        panic!("nothing was refused yet");
    };
    assert!(matches!(
        queue.request(Millis(50), wish(550, 2000), Millis(10)),
        SlotDecision::Refuse(_)
    ));
    let wakeups = queue.release(Millis(100), Some((ROUTE, RUN)));
    assert_eq!(wakeups.yielded, [late]);
    assert_eq!(wakeups.granted, []);
}

#[test]
fn late_requests_run_again_once_nothing_timely_was_refused_for_a_run() {
    let mut queue = busy_queue();
    assert!(matches!(
        queue.request(Millis(50), wish(550, 2000), Millis(10)),
        SlotDecision::Refuse(_)
    ));
    queue.release(Millis(100), Some((ROUTE, RUN)));
    let late = wish(150, 2000);
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
fn calls_of_running_requests_never_yield() {
    let mut queue = busy_queue();
    assert!(matches!(
        queue.request(Millis(50), wish(550, 2000), Millis(10)),
        SlotDecision::Refuse(_)
    ));
    queue.release(Millis(100), Some((ROUTE, RUN)));
    let call = SlotRequest {
        is_nested: true,
        ..wish(150, 2000)
    };
    assert_eq!(
        queue.request(Millis(120), call, Millis(0)),
        SlotDecision::Run
    );
}

#[test]
fn late_runs_are_begun_only_while_their_calls_are_served() {
    let desk = || "desk".into();
    let mut chains = ChainAdmission::new(ChainSettings::default());
    for _ in 0..40 {
        chains.record_run(Millis(0), ROUTE, &BTreeMap::from([(desk(), 2)]));
    }
    let late = RunStart {
        route: ROUTE,
        priority: 1,
        is_late: true,
    };
    assert!(chains.admit(Millis(0), late, |_| 1.0, 0.5));
    for _ in 0..20 {
        chains.observe(Millis(10), &desk(), 1, true);
        chains.observe(Millis(10), &desk(), 1, false);
    }
    assert!(!chains.admit(Millis(20), late, |_| 1.0, 0.0));
    let timely = RunStart {
        is_late: false,
        ..late
    };
    assert!(chains.admit(Millis(20), timely, |_| 1.0, 0.0));
}

#[test]
fn the_age_of_a_caller_is_what_it_lacks_of_the_mean_of_first_tries() {
    let mut ages = CallerAges::default();
    for step in 0..40 {
        // Callers differ by a tenth.
        let left = Millis(1800 + step * 5);
        assert_eq!(ages.observe(Millis(step), ROUTE, left), Millis::ZERO);
    }
    let age = ages.observe(Millis(50), ROUTE, Millis(1100));
    assert!((700..=900).contains(&age.0), "{age}");
}

#[test]
fn callers_that_differ_widely_have_no_age() {
    let mut ages = CallerAges::default();
    let mut seen = BTreeSet::new();
    for step in 0..400 {
        let left = Millis(100 + step * 37 % 1900);
        let many = [left, Millis(200), Millis(300), Millis(400), Millis(150)];
        for left in many {
            let age = ages.observe(Millis(step), ROUTE, left);
            if step > 100 {
                seen.insert(age);
            }
        }
    }
    assert_eq!(seen, BTreeSet::from([Millis::ZERO]));
}
