//! Tests of servers whose speed changes, on a virtual clock.

use rf_base::{InstanceId, Millis, SeededRandom};
use rf_config::RepeatPolicy;
use rf_protocol::relay::{AttemptEnd, LoadReport, Rejection, ServerAnswer};
use rf_traffic::admission::{Queue, SlotDecision, SlotRequest, WaitId, Wakeups};
use rf_traffic::placement::{OfferReport, PlacementSettings};
use rf_traffic::slowness::decayed_factor;
use rf_traffic::{
    Candidate, OfferEnd, OfferTimes, Placement, PlacementRequest, RetryBudget, RetryDecision,
    RetryState, SlownessTracker, WaitFractions,
};
use std::collections::BTreeMap;

const ROUTE: u64 = 1;
const SERVERS: usize = 58;
const SLOTS: u32 = 9;
const ZONES: usize = 3;
const LOAD: f64 = 0.75;
const MEAN_RUN_MS: f64 = 190.0;
const TARGET: Millis = Millis(600);
const DEADLINE: Millis = Millis(2500);
/// Time between two changes of the speed of a server.
const CHANGE: u64 = 500;
const LONG_SHARE: f64 = 0.03;
const LONG_FACTOR: f64 = 7.0;
/// Mean of the factors by which servers are slower than usual, from 1 to 3.
const MEAN_FACTOR: f64 = 2.0;
const LINK: Millis = Millis(1);
const SPAN: u64 = 20_000;
/// Time before which arriving requests are not counted.
const WARMUP: u64 = 3000;

/// Where the stated slowness is used.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Use {
    Nowhere,
    Queue,
    QueueAndPlacement,
}

#[derive(Debug)]
enum Event {
    Offer(usize),
    End(usize, usize, Millis),
    Reply(usize, usize, AttemptEnd, LoadReport),
    Poll(usize),
}

struct Request {
    origin: usize,
    start: Millis,
    work_ms: f64,
    server: usize,
    state: RetryState,
    latency: Option<Millis>,
}

struct World {
    usage: Use,
    random: SeededRandom,
    /// Slowness of each server in each period.
    speeds: Vec<Vec<f64>>,
    queues: Vec<Queue>,
    waiting: Vec<BTreeMap<WaitId, usize>>,
    placements: Vec<Placement>,
    budget: RetryBudget,
    requests: Vec<Request>,
    events: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
    returned: usize,
}

impl World {
    fn new(usage: Use, origins: usize, seed: u64) -> World {
        let mut random = SeededRandom::new(seed);
        let periods = SPAN / CHANGE + 20;
        let mut speeds = |_| {
            (0..periods)
                .map(|_| 1.0 + 2.0 * random.fraction())
                .collect()
        };
        let speeds = (0..SERVERS).map(&mut speeds).collect();
        let settings = PlacementSettings {
            use_slowness: usage == Use::QueueAndPlacement,
            ..PlacementSettings::default()
        };
        let placement =
            |o| Placement::with_settings(SeededRandom::new(seed * 1000 + o as u64), settings);
        World {
            usage,
            speeds,
            queues: vec![Queue::new(SLOTS); SERVERS],
            waiting: vec![BTreeMap::new(); SERVERS],
            placements: (0..origins).map(placement).collect(),
            budget: RetryBudget::with_burst(0.2, 200.0),
            requests: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            returned: 0,
            random,
        }
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Returns the slowness of a server; all change every half second, not at the same time.
    fn speed(&self, server: usize, at: f64) -> f64 {
        let offset = (server as u64 * 37 % CHANGE) as f64;
        let period = ((at + offset) / CHANGE as f64) as usize;
        self.speeds[server][period.min(self.speeds[server].len() - 1)]
    }

    /// Returns when work that begins now ends on a server, through the changes of its speed.
    fn end_of(&self, server: usize, now: Millis, work_ms: f64) -> Millis {
        let (mut at, mut left) = (now.0 as f64, work_ms);
        while left > 0.0 {
            let step = left.min(5.0);
            at += step * self.speed(server, at);
            left -= step;
        }
        Millis(at.ceil() as u64)
    }

    fn candidates(&self, origin: usize) -> Vec<Candidate> {
        let candidate = |id: usize| Candidate {
            instance: InstanceId(id as u64),
            slots: SLOTS,
            is_near: id % ZONES == origin % ZONES,
        };
        (0..SERVERS).map(candidate).collect()
    }

    fn offer(&mut self, now: Millis, id: usize) {
        let request = &mut self.requests[id];
        let age = now.since(request.start);
        if request.state.is_round_over(age, TARGET) && !request.state.begin_round() {
            return;
        }
        let origin = request.origin;
        let target_left = TARGET.since(age);
        let placement_request = PlacementRequest {
            route: ROUTE,
            zone_cost: Millis(40),
            safe_time: Millis(target_left.0 * 85 / 100),
        };
        let candidates = self.candidates(origin);
        let tried = self.requests[id].state.tried();
        let placement = &mut self.placements[origin];
        let chosen = placement.choose(now, &candidates, tried, &placement_request);
        if let Some(instance) = chosen {
            self.requests[id].server = instance.0 as usize;
            self.schedule(now + LINK, Event::Offer(id));
        }
    }

    fn receive(&mut self, now: Millis, id: usize) {
        let (server, origin) = (self.requests[id].server, self.requests[id].origin);
        let candidate = self.candidates(origin)[server];
        let request = &self.requests[id];
        let age = now.since(request.start);
        let times = OfferTimes {
            left: DEADLINE.since(age),
            target: TARGET.since(age),
            run_time: self.placements[origin].run_time_at(now, &candidate, ROUTE),
        };
        let fractions = WaitFractions {
            first_round: if candidate.is_near { 0.7 } else { 0.4 },
            last_round: 0.3,
        };
        let max_wait = request.state.max_wait(times, fractions);
        let slot_request = SlotRequest {
            route: ROUTE,
            priority: 1,
            is_nested: false,
            is_best_effort: request.state.is_last_round(),
            target: request.start + TARGET,
            expires: now + max_wait.min(times.left),
            organisation: None,
        };
        match self.queues[server].request(now, slot_request, max_wait) {
            SlotDecision::Run => self.begin(now, server, id),
            SlotDecision::Wait(wait) => {
                self.waiting[server].insert(wait, id);
                self.schedule(slot_request.expires, Event::Poll(server));
            }
            SlotDecision::Refuse(wait) => self.refuse(now, server, id, wait),
        }
    }

    fn begin(&mut self, now: Millis, server: usize, id: usize) {
        let end = self.end_of(server, now, self.requests[id].work_ms);
        self.schedule(end, Event::End(server, id, now));
    }

    fn refuse(&mut self, now: Millis, server: usize, id: usize, wait: Millis) {
        let end = AttemptEnd::NotRun(Rejection::Busy(wait));
        self.reply(now, server, id, end);
    }

    fn reply(&mut self, now: Millis, server: usize, id: usize, end: AttemptEnd) {
        let queue = &self.queues[server];
        let load = LoadReport {
            running: queue.running(),
            waiting: queue.waiting(),
            slots: SLOTS,
            mean_run: queue.average_run(),
            route_run: queue.average_run_of(ROUTE),
            slowness: queue.slowness().report(now),
            ..LoadReport::default()
        };
        self.schedule(now + LINK, Event::Reply(server, id, end, load));
    }

    fn end(&mut self, now: Millis, server: usize, id: usize, began: Millis) {
        if self.usage != Use::Nowhere {
            let percent = (self.speed(server, now.0 as f64) * 100.0) as u16;
            let wakeups = self.queues[server].observe_slowness(now, percent);
            self.wake(now, server, wakeups);
        }
        let wakeups = self.queues[server].release(now, Some((ROUTE, now.since(began))));
        self.wake(now, server, wakeups);
        let answer = ServerAnswer {
            status: 200,
            ..ServerAnswer::default()
        };
        self.reply(now, server, id, AttemptEnd::Answered(answer));
    }

    fn wake(&mut self, now: Millis, server: usize, wakeups: Wakeups) {
        self.returned += wakeups.returned.len();
        for wait in wakeups.granted {
            let id = self.waiting[server].remove(&wait).expect("it waited");
            self.begin(now, server, id);
        }
        let slot_wait = self.queues[server].time_to_slot(now);
        for wait in [wakeups.expired, wakeups.yielded, wakeups.returned].concat() {
            let id = self.waiting[server].remove(&wait).expect("it waited");
            self.refuse(now, server, id, slot_wait);
        }
    }

    fn finish(&mut self, now: Millis, server: usize, id: usize, end: AttemptEnd, load: LoadReport) {
        let request = &mut self.requests[id];
        let report = OfferReport {
            route: ROUTE,
            load,
            transit: LINK + LINK,
        };
        let instance = InstanceId(server as u64);
        let is_served = matches!(end, AttemptEnd::Answered(_));
        let offer_end = match is_served {
            true => OfferEnd::Succeeded,
            false => OfferEnd::Full,
        };
        self.placements[request.origin].finish(now, instance, offer_end, Some(report));
        if is_served {
            request.latency = Some(now.since(request.start));
            return;
        }
        let mut budget = self.budget.with_reserve(0.0);
        if request.state.handle(instance, end, &mut budget) == RetryDecision::Retry {
            self.offer(now, id);
        }
    }

    fn arrive(&mut self, now: Millis, usual_ms: f64) {
        let is_long = self.random.fraction() < LONG_SHARE;
        let spread = 0.5 + self.random.fraction();
        let request = Request {
            origin: self.random.below(self.placements.len() as u64) as usize,
            start: now,
            work_ms: usual_ms * spread * if is_long { LONG_FACTOR } else { 1.0 },
            server: 0,
            state: RetryState::new(RepeatPolicy::Idempotent, 2),
            latency: None,
        };
        self.requests.push(request);
        self.offer(now, self.requests.len() - 1);
    }

    /// Returns the fraction of requests served in time, and the 99th percentile of the time to the
    /// answer of all requests, where those without an answer count as the deadline.
    fn run(mut self, usual_ms: f64) -> Outcome {
        let long = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0);
        // The speed that counts for capacity is the mean of the inverse of the slowness.
        let run_ms = usual_ms * long / (3f64.ln() / MEAN_FACTOR);
        let rate = LOAD * SERVERS as f64 * f64::from(SLOTS) / run_ms;
        let mut next = 0.0;
        for step in 0..SPAN {
            let now = Millis(step);
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= now
            {
                match entry.remove() {
                    Event::Offer(id) => self.receive(now, id),
                    Event::End(server, id, began) => self.end(now, server, id, began),
                    Event::Reply(server, id, end, load) => self.finish(now, server, id, end, load),
                    Event::Poll(server) => {
                        let wakeups = self.queues[server].poll(now);
                        self.wake(now, server, wakeups);
                    }
                }
            }
            while next <= step as f64 {
                self.arrive(now, usual_ms);
                next -= (1.0 - self.random.fraction()).ln() / rate;
            }
        }
        let is_counted = |r: &&Request| (WARMUP..SPAN - DEADLINE.0).contains(&r.start.0);
        let counted = self.requests.iter().filter(is_counted);
        let mut times: Vec<Millis> = counted.map(|r| r.latency.unwrap_or(DEADLINE)).collect();
        times.sort_unstable();
        Outcome {
            timely: times.partition_point(|t| *t <= TARGET) as f64 / times.len() as f64,
            p99: times[times.len() * 99 / 100],
            returned: self.returned,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    timely: f64,
    p99: Millis,
    returned: usize,
}

/// Replays three seeds and returns the mean fraction in time.
fn replay(usage: Use, origins: usize, usual_ms: f64) -> f64 {
    let mut timely = 0.0;
    for seed in 1..=3 {
        let outcome = World::new(usage, origins, seed).run(usual_ms);
        println!(
            "usual run {usual_ms:.0} ms, {origins} origins, {usage:?}, seed {seed}: in time {:.4}, \
             p99 {} ms, handed back {}",
            outcome.timely, outcome.p99.0, outcome.returned
        );
        timely += outcome.timely / 3.0;
    }
    timely
}

// Guards against a use of the figure in placement or in the queue that serves fewer requests in
// time than without it. The mean run of 190 ms is taken once over all speeds and once at the usual
// speed, which also overloads the servers while they are slow.
#[test]
fn stated_slowness_raises_the_fraction_in_time() {
    let long = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0);
    for (usual_ms, least_gain) in [
        (MEAN_RUN_MS / long / MEAN_FACTOR, 0.001),
        (MEAN_RUN_MS / long, 0.02),
    ] {
        for origins in [6, SERVERS] {
            let without = replay(Use::Nowhere, origins, usual_ms);
            replay(Use::Queue, origins, usual_ms);
            let with = replay(Use::QueueAndPlacement, origins, usual_ms);
            assert!(
                with - without >= least_gain,
                "{with} with, {without} without"
            );
        }
    }
}

fn slot_request(target: u64, wait: u64) -> SlotRequest {
    SlotRequest {
        route: ROUTE,
        priority: 1,
        is_nested: false,
        is_best_effort: false,
        target: Millis(target),
        expires: Millis(wait),
        organisation: None,
    }
}

/// Returns a queue with one slot, which a run of the typical 100 ms occupies.
fn busy_queue() -> Queue {
    let mut queue = Queue::new(1);
    for _ in 0..2 {
        let decision = queue.request(Millis(0), slot_request(1000, 1000), Millis(0));
        assert_eq!(decision, SlotDecision::Run);
        if queue.average_run() == Millis::ZERO {
            queue.release(Millis(0), Some((ROUTE, Millis(100))));
        }
    }
    queue
}

fn wait_for(queue: &mut Queue, request: SlotRequest) -> WaitId {
    match queue.request(Millis(0), request, Millis(200)) {
        SlotDecision::Wait(id) => id,
        other => panic!("{other:?} instead of a wait"),
    }
}

// Guards against requests that wait at a server that became slow until it is too late for another.
#[test]
fn waiting_requests_are_handed_back_after_a_rise() {
    let mut queue = busy_queue();
    let first = wait_for(&mut queue, slot_request(500, 200));
    assert_eq!(queue.observe_slowness(Millis(10), 120), Wakeups::default());
    let wakeups = queue.observe_slowness(Millis(20), 250);
    assert_eq!(wakeups.returned, [first]);
    assert_eq!(queue.waiting(), 0);
}

// Guards against handing back a request that no other server can serve in time, or that has no
// other server left, and against handing back the same request again.
#[test]
fn requests_without_another_server_in_time_keep_their_place() {
    let mut queue = busy_queue();
    let late_call = SlotRequest {
        is_nested: true,
        ..slot_request(100, 200)
    };
    wait_for(&mut queue, late_call);
    let mut queue_of_last = busy_queue();
    let best_effort = SlotRequest {
        is_best_effort: true,
        ..slot_request(900, 200)
    };
    wait_for(&mut queue_of_last, best_effort);
    for queue in [&mut queue, &mut queue_of_last] {
        assert_eq!(queue.observe_slowness(Millis(20), 900), Wakeups::default());
        assert_eq!(queue.waiting(), 1);
    }
}

// Guards against an old figure that outlives the state of the server that it describes.
#[test]
fn a_figure_decays_to_the_usual() {
    assert_eq!(decayed_factor(300, Millis(0)), 3.0);
    assert_eq!(decayed_factor(300, Millis(400)), 2.0);
    assert!((decayed_factor(0, Millis(0)) - 0.1).abs() < 1e-9);
    assert_eq!(decayed_factor(u16::MAX, Millis(0)), 10.0);
    let mut tracker = SlownessTracker::default();
    assert_eq!(tracker.factor(Millis(0)), 1.0);
    tracker.observe(Millis(100), 300);
    assert_eq!(
        tracker.report(Millis(500)).map(|s| s.age),
        Some(Millis(400))
    );
    assert_eq!(tracker.report(Millis(5000)), None);
}

// Guards against counting the slowness twice: in the measured run times and by the figure.
#[test]
fn run_times_are_measured_at_the_usual_speed() {
    let mut queue = Queue::new(1);
    queue.request(Millis(0), slot_request(1000, 1000), Millis(0));
    queue.observe_slowness(Millis(300), 300);
    queue.release(Millis(300), Some((ROUTE, Millis(300))));
    assert_eq!(queue.average_run(), Millis(100));
    assert_eq!(queue.run_time(Millis(300), ROUTE), Millis(300));
    assert_eq!(queue.run_time(Millis(700), ROUTE), Millis(200));
}
