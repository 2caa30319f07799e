//! Event loop of the load model.
//!
//! All requests are drawn at the start, with exponentially distributed times between arrivals. Each
//! is offered to one server after the other until it runs or its rounds of offers are over. A
//! refused caller retries after the suggested delay if it has retries left and enough time before
//! its deadline. A run stops at the deadline of its request.

use super::policy::{PlacementPolicy, SlotQueue};
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

/// One-way delay of a message between a proxy and a gate.
const LINK_DELAY: Millis = Millis(1);
/// Minimum retry delay that a refused caller is told, as in the product.
const MIN_RETRY_DELAY: Millis = Millis(50);
/// Divisor of the time left until the deadline of a refused request; the quotient is the longest
/// delay after which its caller retries.
const MAX_DELAY_DIVISOR: u64 = 3;

/// A class of requests with the same properties.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Share of all requests; the shares of a scenario add up to 1.
    pub share: f64,
    /// Mean run time, in milliseconds, on a server with time factor 1.
    pub work: f64,
    /// Time from the first arrival within which an answer earns the full value.
    pub target: Millis,
    /// Time from the first arrival after which an answer earns nothing.
    pub deadline: Millis,
    /// Value of an answer within the target, relative to other classes.
    pub value: f64,
    /// Share of the value that an answer between target and deadline earns.
    pub late_share: f64,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of retries by the caller after refusals.
    pub retries: u32,
}

/// Parameters of a simulation, except for the policies and the seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Time factor of each server, by which the run time of a request is multiplied there.
    pub time_factors: Vec<f64>,
    /// Number of slots of each server.
    pub slots: u32,
    /// Number of proxies; each request arrives at a random one.
    pub proxies: usize,
    /// Load, relative to the capacity of the servers.
    pub load: f64,
    /// Duration over which requests arrive.
    pub duration: Millis,
}

impl Scenario {
    /// Returns the rate, in requests per millisecond, that occupies all slots of all servers.
    pub fn capacity(&self) -> f64 {
        let work: f64 = self.classes.iter().map(|c| c.share * c.work).sum();
        let slots = f64::from(self.slots);
        self.time_factors.iter().map(|s| slots / (work * s)).sum()
    }
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunStats {
    /// Earned value, as a fraction of the value of all requests.
    pub credit: f64,
    /// Fraction of requests that were answered.
    pub served: f64,
    /// Fraction of the total run time spent on runs that ended at the deadline, when no caller
    /// waits for the answer any more.
    pub wasted: f64,
    /// Mean number of offers per request.
    pub offers: f64,
    /// Median time from the first arrival to the answer, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the time from the first arrival to the answer, in milliseconds.
    pub p99: f64,
}

#[derive(Clone, Debug)]
enum Event {
    /// A request arrives at its proxy, for the first time or as a retry by the caller.
    Arrive(usize),
    /// The offer of a request arrives at the gate of a server.
    Offer(usize, usize),
    /// The run of a request at a server ends after the given time.
    RunEnded(usize, usize, Millis),
    /// The maximum wait for a slot at a server is over.
    WaitExpired(usize, WaitId),
    /// The outcome of the offer of a request to a server arrives at the proxy.
    Reply(usize, usize, AttemptEnd),
}

struct Request {
    class: RequestClass,
    proxy: usize,
    /// Time of the first arrival.
    arrival: Millis,
    /// Time of the latest arrival, which is a retry if it differs from the first.
    start: Millis,
    /// Run time on a server with time factor 1, in milliseconds.
    work: f64,
    /// Number of retries that the caller has left.
    retries: u32,
    retry_state: RetryState,
    max_wait: Millis,
    is_answered: bool,
}

struct Server<Q> {
    time_factor: f64,
    queue: Q,
    waiting: BTreeMap<WaitId, usize>,
}

/// State of a simulation with placement policy `P` and queueing policy `Q`.
pub struct World<P, Q> {
    scenario: Scenario,
    policy: LoadPolicy,
    now: Millis,
    /// Time and id of each pending event, earliest first.
    event_queue: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Pending events by id.
    pending_events: BTreeMap<u64, Event>,
    /// Id of the event that was scheduled last.
    last_event: u64,
    /// All requests; events refer to them by index.
    requests: Vec<Request>,
    proxies: Vec<P>,
    servers: Vec<Server<Q>>,
    candidates: Vec<Candidate>,
    random: SeededRandom,
    earned_value: f64,
    total_value: f64,
    /// Times from the first arrival to the answer, in milliseconds.
    times: Vec<u64>,
    offers: u64,
    /// Total run time, in milliseconds.
    run_time: f64,
    /// Part of `run_time` spent on runs that ended at the deadline.
    wasted: f64,
}

impl<P: PlacementPolicy, Q: SlotQueue> World<P, Q> {
    /// Simulates a scenario; `make_placement` is called for each proxy and `make_queue` for each
    /// server, with its number of slots.
    pub fn simulate(
        scenario: &Scenario,
        seed: u64,
        make_placement: impl Fn(SeededRandom) -> P,
        make_queue: impl Fn(u32) -> Q,
    ) -> RunStats {
        let mut random = SeededRandom::new(seed);
        let proxies = (0..scenario.proxies)
            .map(|_| make_placement(SeededRandom::new(random.bits())))
            .collect();
        let server = |time_factor: &f64| Server {
            time_factor: *time_factor,
            queue: make_queue(scenario.slots),
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
            event_queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            last_event: 0,
            requests: Vec::new(),
            proxies,
            servers: scenario.time_factors.iter().map(server).collect(),
            candidates: (0..scenario.time_factors.len()).map(candidate).collect(),
            random,
            earned_value: 0.0,
            total_value: 0.0,
            times: Vec::new(),
            offers: 0,
            run_time: 0.0,
            wasted: 0.0,
            scenario: scenario.clone(),
        };
        world.draw_requests();
        world.run();
        world.stats()
    }

    fn draw_requests(&mut self) {
        let rate = self.scenario.capacity() * self.scenario.load;
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.random.fraction()).ln() / rate;
            if at >= self.scenario.duration.0 as f64 {
                return;
            }
            let class = self.draw_class();
            let proxy = self.random.below(self.scenario.proxies as u64) as usize;
            // The work is uniformly distributed within 50% of its mean.
            let work = class.work * (0.5 + self.random.fraction());
            let start = Millis(at as u64);
            self.total_value += class.value;
            self.requests.push(Request {
                class,
                proxy,
                arrival: start,
                start,
                work,
                retries: class.retries,
                retry_state: RetryState::new(RepeatPolicy::Once, 1),
                max_wait: Millis::ZERO,
                is_answered: false,
            });
            self.schedule(start, Event::Arrive(self.requests.len() - 1));
        }
    }

    fn draw_class(&mut self) -> RequestClass {
        let mut left = self.random.fraction();
        for class in &self.scenario.classes {
            left -= class.share;
            if left < 0.0 {
                return *class;
            }
        }
        self.scenario.classes[0]
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.last_event += 1;
        self.pending_events.insert(self.last_event, event);
        self.event_queue.push(Reverse((at, self.last_event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.event_queue.pop() {
            self.now = at;
            let Some(event) = self.pending_events.remove(&number) else {
                continue;
            };
            match event {
                Event::Arrive(request) => {
                    self.requests[request].start = at;
                    self.requests[request].retry_state = RetryState::new(RepeatPolicy::Once, 1);
                    self.offer(request);
                }
                Event::Offer(request, server) => self.handle_offer(request, server),
                Event::RunEnded(request, server, span) => self.end_run(request, server, span),
                Event::WaitExpired(server, wait_id) => self.expire_wait(server, wait_id),
                Event::Reply(request, server, end) => self.handle_reply(request, server, end),
            }
        }
    }

    fn deadline(&self, request: usize) -> Millis {
        self.requests[request].arrival + self.requests[request].class.deadline
    }

    fn offer(&mut self, number: usize) {
        let deadline = self.deadline(number);
        let request = &mut self.requests[number];
        let age = self.now.since(request.start);
        let placement = &mut self.proxies[request.proxy];
        let instance = match request.retry_state.is_round_over(age, request.class.target) {
            true => None,
            false => placement.choose(self.now, &self.candidates, request.retry_state.tried()),
        };
        let Some(instance) = instance else {
            match request.retry_state.begin_round() {
                true => self.offer(number),
                false => self.refuse(number),
            }
            return;
        };
        let server = instance.0 as usize;
        let times = OfferTimes {
            left: deadline.since(self.now),
            target: (request.start + request.class.target).since(self.now),
            run_time: placement.run_time(&self.candidates[server]),
        };
        let fractions = WaitFractions {
            first_round: self.policy.far_wait,
            last_round: self.policy.late_wait,
        };
        request.max_wait = request.retry_state.max_wait(times, fractions);
        self.offers += 1;
        self.schedule(self.now + LINK_DELAY, Event::Offer(number, server));
    }

    fn handle_offer(&mut self, number: usize, server: usize) {
        let deadline = self.deadline(number);
        let request = &self.requests[number];
        let left = deadline.since(self.now);
        let max_wait = request.max_wait.min(left);
        let slot_request = SlotRequest {
            route: 0,
            priority: request.class.priority,
            is_nested: false,
            is_best_effort: request.retry_state.is_last_round(),
            target: request.start + request.class.target,
            expires: self.now + max_wait,
            organisation: None,
        };
        let state = &mut self.servers[server];
        match state
            .queue
            .request_slot(self.now, slot_request, request.max_wait)
        {
            SlotDecision::Run => self.start_run(number, server),
            SlotDecision::Refuse(slot_wait) => {
                let end = AttemptEnd::NotRun(Rejection::Busy(slot_wait));
                self.schedule(self.now + LINK_DELAY, Event::Reply(number, server, end));
            }
            SlotDecision::Wait(wait_id) => {
                state.waiting.insert(wait_id, number);
                self.schedule(self.now + max_wait, Event::WaitExpired(server, wait_id));
            }
        }
    }

    fn start_run(&mut self, number: usize, server: usize) {
        let left = self.deadline(number).since(self.now);
        let work = self.requests[number].work * self.servers[server].time_factor;
        let span = Millis(work as u64).min(left);
        self.schedule(self.now + span, Event::RunEnded(number, server, span));
    }

    fn end_run(&mut self, number: usize, server: usize, span: Millis) {
        self.run_time += span.0 as f64;
        let is_late = self.now >= self.deadline(number);
        if is_late {
            self.wasted += span.0 as f64;
        }
        let wakeups = self.servers[server].queue.release_slot(self.now, span);
        self.wake(server, wakeups);
        let end = AttemptEnd::Answered(ServerAnswer {
            status: if is_late { 504 } else { 200 },
            ..ServerAnswer::default()
        });
        self.schedule(self.now + LINK_DELAY, Event::Reply(number, server, end));
    }

    fn wake(&mut self, server: usize, wakeups: Wakeups) {
        for wait_id in wakeups.granted {
            if let Some(number) = self.servers[server].waiting.remove(&wait_id) {
                self.start_run(number, server);
            }
        }
        for wait_id in wakeups.expired {
            self.reject(server, wait_id);
        }
    }

    fn expire_wait(&mut self, server: usize, wait_id: WaitId) {
        if self.servers[server].queue.cancel(wait_id) {
            self.reject(server, wait_id);
        }
    }

    fn reject(&mut self, server: usize, wait_id: WaitId) {
        let state = &mut self.servers[server];
        let Some(number) = state.waiting.remove(&wait_id) else {
            return;
        };
        let slot_wait = state.queue.slot_wait(self.now);
        let end = AttemptEnd::NotRun(Rejection::Busy(slot_wait));
        self.schedule(self.now + LINK_DELAY, Event::Reply(number, server, end));
    }

    fn handle_reply(&mut self, number: usize, server: usize, end: AttemptEnd) {
        let (running, waiting, average_run) = self.servers[server].queue.load();
        let report = OfferReport {
            route: 0,
            load: LoadReport {
                running,
                waiting,
                slots: self.scenario.slots,
                mean_run: average_run,
                route_run: average_run,
                ..LoadReport::default()
            },
            transit: Millis(LINK_DELAY.0 * 2),
        };
        let instance = InstanceId(server as u64);
        let is_answer = matches!(&end, AttemptEnd::Answered(a) if a.status == 200);
        let offer_end = match (&end, is_answer) {
            (_, true) => OfferEnd::Succeeded,
            (AttemptEnd::NotRun(_), _) => OfferEnd::Full,
            _ => OfferEnd::Failed,
        };
        let proxy = self.requests[number].proxy;
        self.proxies[proxy].finish(self.now, instance, offer_end, report);
        if is_answer {
            self.record_answer(number);
            return;
        }
        let mut budget = RetryBudget::with_burst(0.0, 0.0);
        let request = &mut self.requests[number];
        let decision = request
            .retry_state
            .handle(instance, end, &mut budget.with_reserve(0.0));
        let is_not_run = request.retry_state.verdict() == Verdict::NotRun;
        if decision == RetryDecision::Retry && is_not_run {
            self.offer(number);
        }
    }

    fn record_answer(&mut self, number: usize) {
        let deadline = self.deadline(number);
        let request = &mut self.requests[number];
        let took = self.now.since(request.arrival);
        request.is_answered = true;
        self.times.push(took.0);
        if took <= request.class.target {
            self.earned_value += request.class.value;
        } else if self.now <= deadline {
            self.earned_value += request.class.value * request.class.late_share;
        }
    }

    /// Refuses a request; the caller retries if it has retries left and the delay is short enough.
    fn refuse(&mut self, number: usize) {
        let deadline = self.deadline(number);
        let request = &mut self.requests[number];
        let placement = &self.proxies[request.proxy];
        let placement_wait = placement.slot_wait(self.now, &self.candidates);
        let slot_wait = request.retry_state.slot_wait().unwrap_or_default();
        let run_time = placement.run_time(&self.candidates[0]);
        let delay = placement_wait.max(slot_wait).max(MIN_RETRY_DELAY)
            + self.random.jitter(run_time.max(MIN_RETRY_DELAY));
        let max_delay = Millis(deadline.since(self.now).0 / MAX_DELAY_DIVISOR);
        if request.retries == 0 || delay > max_delay {
            return;
        }
        request.retries -= 1;
        self.schedule(self.now + delay, Event::Arrive(number));
    }

    fn stats(mut self) -> RunStats {
        self.times.sort_unstable();
        let count = self.requests.len().max(1) as f64;
        let quantile = |fraction: f64| {
            let index = (self.times.len() as f64 * fraction) as usize;
            let last = self.times.len().saturating_sub(1);
            self.times.get(index.min(last)).copied().unwrap_or(0) as f64
        };
        let served = self.requests.iter().filter(|r| r.is_answered).count();
        RunStats {
            credit: self.earned_value / self.total_value.max(1.0),
            served: served as f64 / count,
            wasted: self.wasted / self.run_time.max(1.0),
            offers: self.offers as f64 / count,
            p50: quantile(0.5),
            p99: quantile(0.99),
        }
    }
}
