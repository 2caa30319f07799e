//! The event loop of the model.

use super::policy::{Placing, Waiting};
use rf_base::{InstanceId, Millis, SeededRandom, Verdict};
use rf_config::RepeatPolicy;
use rf_config::proxy::LoadPolicy;
use rf_protocol::relay::{AttemptEnd, LoadReport, Rejection, ServerAnswer};
use rf_traffic::admission::{SlotDecision, SlotRequest, WaitId, Wakeups};
use rf_traffic::placement::OfferReport;
use rf_traffic::{
    Candidate, OfferEnd, OfferTimes, RetryBudget, RetryDecision, RetryState, WaitFractions,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Time of a message between a proxy and a gate.
const HOP: Millis = Millis(1);
/// Shortest pause that a refused caller is told, as in the product.
const MIN_RETRY: Millis = Millis(50);
/// Part of its time left that a caller is willing to wait after a refusal.
const WILLING: u64 = 3;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Part of the requests.
    pub part: f64,
    /// Mean work, in milliseconds, on a server of speed 1.
    pub work: f64,
    /// Time within which an answer earns all.
    pub target: Millis,
    /// Time after which it earns nothing.
    pub deadline: Millis,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Part of it that a late answer earns.
    pub late: f64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Times that a caller comes back after a refusal.
    pub returns: u32,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Speeds of the servers: factors on the time of the work.
    pub speeds: Vec<f64>,
    /// Slots of each server.
    pub slots: u32,
    /// Proxies that take requests in.
    pub proxies: usize,
    /// Load as a factor on what the servers can run.
    pub load: f64,
    /// Time for which requests come.
    pub length: Millis,
}

impl Scenario {
    /// Returns the requests a millisecond at which the servers are just full.
    pub fn capacity(&self) -> f64 {
        let work: f64 = self.classes.iter().map(|c| c.part * c.work).sum();
        let slots = f64::from(self.slots);
        self.speeds.iter().map(|s| slots / (work * s)).sum()
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Worth earned, as a part of the worth of all requests.
    pub credit: f64,
    /// Requests answered at all, as a part.
    pub served: f64,
    /// Time of runs that no caller waited for, as a part of all.
    pub wasted: f64,
    /// Offers for each request.
    pub offers: f64,
    /// Median time of an answer, in milliseconds.
    pub p50: f64,
    /// Time below which 99 in 100 answers stayed, in milliseconds.
    pub p99: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Come(usize),
    Reach(usize, usize),
    Ended(usize, usize, Millis),
    Impatient(usize, WaitId),
    Reply(usize, usize, AttemptEnd),
}

struct Request {
    class: Class,
    proxy: usize,
    first: Millis,
    start: Millis,
    work: f64,
    returns: u32,
    pursuit: RetryState,
    patience: Millis,
    is_done: bool,
}

struct Server<Q> {
    speed: f64,
    queue: Q,
    waiting: BTreeMap<WaitId, usize>,
}

/// State of a run.
pub struct World<P, Q> {
    scenario: Scenario,
    policy: LoadPolicy,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64)>>,
    details: BTreeMap<u64, Event>,
    next: u64,
    requests: Vec<Request>,
    proxies: Vec<P>,
    servers: Vec<Server<Q>>,
    candidates: Vec<Candidate>,
    random: SeededRandom,
    earned: f64,
    owed: f64,
    times: Vec<u64>,
    offers: u64,
    spent: f64,
    wasted: f64,
}

impl<P: Placing, Q: Waiting> World<P, Q> {
    /// Plays a scenario with the given placement of each proxy and queue of each server.
    pub fn play(
        scenario: &Scenario,
        seed: u64,
        place: impl Fn(SeededRandom) -> P,
        queue: impl Fn(u32) -> Q,
    ) -> Figures {
        let mut random = SeededRandom::new(seed);
        let proxies = (0..scenario.proxies)
            .map(|_| place(SeededRandom::new(random.bits())))
            .collect();
        let server = |speed: &f64| Server {
            speed: *speed,
            queue: queue(scenario.slots),
            waiting: BTreeMap::new(),
        };
        let candidate = |number: usize| Candidate {
            instance: InstanceId(number as u64),
            slots: scenario.slots,
            is_near: true,
        };
        let mut world = World {
            policy: LoadPolicy::default(),
            now: Millis::ZERO,
            events: BinaryHeap::new(),
            details: BTreeMap::new(),
            next: 0,
            requests: Vec::new(),
            proxies,
            servers: scenario.speeds.iter().map(server).collect(),
            candidates: (0..scenario.speeds.len()).map(candidate).collect(),
            random,
            earned: 0.0,
            owed: 0.0,
            times: Vec::new(),
            offers: 0,
            spent: 0.0,
            wasted: 0.0,
            scenario: scenario.clone(),
        };
        world.draw_requests();
        world.run();
        world.figures()
    }

    fn draw_requests(&mut self) {
        let rate = self.scenario.capacity() * self.scenario.load;
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.random.fraction()).ln() / rate;
            if at >= self.scenario.length.0 as f64 {
                return;
            }
            let class = self.draw_class();
            let proxy = self.random.below(self.scenario.proxies as u64) as usize;
            // The work varies by half around its mean.
            let work = class.work * (0.5 + self.random.fraction());
            let start = Millis(at as u64);
            self.owed += class.worth;
            self.requests.push(Request {
                class,
                proxy,
                first: start,
                start,
                work,
                returns: class.returns,
                pursuit: RetryState::new(RepeatPolicy::Once, 1),
                patience: Millis::ZERO,
                is_done: false,
            });
            self.schedule(start, Event::Come(self.requests.len() - 1));
        }
    }

    fn draw_class(&mut self) -> Class {
        let mut left = self.random.fraction();
        for class in &self.scenario.classes {
            left -= class.part;
            if left < 0.0 {
                return *class;
            }
        }
        self.scenario.classes[0]
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.next += 1;
        self.details.insert(self.next, event);
        self.events.push(Reverse((at, self.next)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            let Some(event) = self.details.remove(&number) else {
                continue;
            };
            match event {
                Event::Come(request) => {
                    self.requests[request].start = at;
                    self.requests[request].pursuit = RetryState::new(RepeatPolicy::Once, 1);
                    self.offer(request);
                }
                Event::Reach(request, server) => self.reach(request, server),
                Event::Ended(request, server, span) => self.end(request, server, span),
                Event::Impatient(server, place) => self.give_up_waiting(server, place),
                Event::Reply(request, server, end) => self.reply(request, server, end),
            }
        }
    }

    fn deadline(&self, request: usize) -> Millis {
        self.requests[request].first + self.requests[request].class.deadline
    }

    fn offer(&mut self, number: usize) {
        let deadline = self.deadline(number);
        let request = &mut self.requests[number];
        let age = self.now.since(request.start);
        let placing = &mut self.proxies[request.proxy];
        let instance = match request.pursuit.is_round_over(age, request.class.target) {
            true => None,
            false => placing.choose(self.now, &self.candidates, request.pursuit.tried()),
        };
        let Some(instance) = instance else {
            match request.pursuit.begin_round() {
                true => self.offer(number),
                false => self.refuse(number),
            }
            return;
        };
        let server = instance.0 as usize;
        let times = OfferTimes {
            left: deadline.since(self.now),
            target: (request.start + request.class.target).since(self.now),
            usual: placing.usual(&self.candidates[server]),
        };
        let parts = WaitFractions {
            first_round: self.policy.far_wait,
            last_round: self.policy.late_wait,
        };
        request.patience = request.pursuit.max_wait(times, parts);
        self.offers += 1;
        self.schedule(self.now + HOP, Event::Reach(number, server));
    }

    fn reach(&mut self, number: usize, server: usize) {
        let deadline = self.deadline(number);
        let request = &self.requests[number];
        let left = deadline.since(self.now);
        let patience = request.patience.min(left);
        let wish = SlotRequest {
            route: 0,
            priority: request.class.priority,
            is_nested: false,
            is_best_effort: request.pursuit.is_last_round(),
            target: request.start + request.class.target,
            expires: self.now + patience,
        };
        let state = &mut self.servers[server];
        match state.queue.enter(self.now, wish, request.patience) {
            SlotDecision::Run => self.begin(number, server),
            SlotDecision::Refuse(room) => {
                let end = AttemptEnd::NotRun(Rejection::Busy(room));
                self.schedule(self.now + HOP, Event::Reply(number, server, end));
            }
            SlotDecision::Wait(place) => {
                state.waiting.insert(place, number);
                self.schedule(self.now + patience, Event::Impatient(server, place));
            }
        }
    }

    fn begin(&mut self, number: usize, server: usize) {
        let left = self.deadline(number).since(self.now);
        let work = self.requests[number].work * self.servers[server].speed;
        let span = Millis(work as u64).min(left);
        self.schedule(self.now + span, Event::Ended(number, server, span));
    }

    fn end(&mut self, number: usize, server: usize, span: Millis) {
        self.spent += span.0 as f64;
        let is_late = self.now >= self.deadline(number);
        if is_late {
            self.wasted += span.0 as f64;
        }
        let wakeups = self.servers[server].queue.leave(self.now, span);
        self.wake(server, wakeups);
        let end = AttemptEnd::Answered(ServerAnswer {
            status: if is_late { 504 } else { 200 },
            ..ServerAnswer::default()
        });
        self.schedule(self.now + HOP, Event::Reply(number, server, end));
    }

    fn wake(&mut self, server: usize, wakeups: Wakeups) {
        for place in wakeups.granted {
            if let Some(number) = self.servers[server].waiting.remove(&place) {
                self.begin(number, server);
            }
        }
        for place in wakeups.expired {
            self.reject(server, place);
        }
    }

    fn give_up_waiting(&mut self, server: usize, place: WaitId) {
        if self.servers[server].queue.cancel(place) {
            self.reject(server, place);
        }
    }

    fn reject(&mut self, server: usize, place: WaitId) {
        let state = &mut self.servers[server];
        let Some(number) = state.waiting.remove(&place) else {
            return;
        };
        let room = state.queue.expected_room();
        let end = AttemptEnd::NotRun(Rejection::Busy(room));
        self.schedule(self.now + HOP, Event::Reply(number, server, end));
    }

    fn reply(&mut self, number: usize, server: usize, end: AttemptEnd) {
        let (running, waiting, usual) = self.servers[server].queue.load();
        let report = OfferReport {
            route: 0,
            load: LoadReport {
                running,
                waiting,
                slots: self.scenario.slots,
                mean_run: usual,
                route_run: usual,
            },
            transit: Millis(HOP.0 * 2),
        };
        let instance = InstanceId(server as u64);
        let is_answer = matches!(&end, AttemptEnd::Answered(a) if a.status == 200);
        let grade = match (&end, is_answer) {
            (_, true) => OfferEnd::Succeeded,
            (AttemptEnd::NotRun(_), _) => OfferEnd::Full,
            _ => OfferEnd::Failed,
        };
        let proxy = self.requests[number].proxy;
        self.proxies[proxy].finish(self.now, instance, grade, report);
        if is_answer {
            self.earn(number);
            return;
        }
        let mut budget = RetryBudget::with_burst(0.0, 0.0);
        let request = &mut self.requests[number];
        let next = request
            .pursuit
            .handle(instance, end, &mut budget.with_reserve(0.0));
        let may_go_on = request.pursuit.verdict() == Verdict::NotRun;
        if next == RetryDecision::Retry && may_go_on {
            self.offer(number);
        }
    }

    fn earn(&mut self, number: usize) {
        let deadline = self.deadline(number);
        let request = &mut self.requests[number];
        let took = self.now.since(request.first);
        request.is_done = true;
        self.times.push(took.0);
        if took <= request.class.target {
            self.earned += request.class.worth;
        } else if self.now <= deadline {
            self.earned += request.class.worth * request.class.late;
        }
    }

    /// Refuses a request; its caller comes back if it may and is willing to wait.
    fn refuse(&mut self, number: usize) {
        let deadline = self.deadline(number);
        let request = &mut self.requests[number];
        let placing = &self.proxies[request.proxy];
        let expected = placing.expected_room(self.now, &self.candidates);
        let room = request.pursuit.slot_wait().unwrap_or_default();
        let usual = placing.usual(&self.candidates[0]);
        let wait = expected.max(room).max(MIN_RETRY) + self.random.jitter(usual.max(MIN_RETRY));
        let willing = Millis(deadline.since(self.now).0 / WILLING);
        if request.returns == 0 || wait > willing {
            return;
        }
        request.returns -= 1;
        self.schedule(self.now + wait, Event::Come(number));
    }

    fn figures(mut self) -> Figures {
        self.times.sort_unstable();
        let count = self.requests.len().max(1) as f64;
        let quantile = |part: f64| {
            let index = (self.times.len() as f64 * part) as usize;
            let last = self.times.len().saturating_sub(1);
            self.times.get(index.min(last)).copied().unwrap_or(0) as f64
        };
        let served = self.requests.iter().filter(|r| r.is_done).count();
        Figures {
            credit: self.earned / self.owed.max(1.0),
            served: served as f64 / count,
            wasted: self.wasted / self.spent.max(1.0),
            offers: self.offers as f64 / count,
            p50: quantile(0.5),
            p99: quantile(0.99),
        }
    }
}
