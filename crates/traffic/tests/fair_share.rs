//! Replays of organisations that compete for too few slots, on a virtual clock.
//!
//! Each replay also runs with the organisations hidden from the queues, which is the order without
//! fair sharing, and checks that its bound does not hold there. It guards against a queue that
//! serves those who ask most.

use rf_base::{Millis, OrganisationId, SeededRandom};
use rf_traffic::admission::{Queue, SlotDecision, SlotRequest, WaitId};
use std::collections::{BTreeMap, BTreeSet};

const ROUTE: u64 = 1;
const GATES: u64 = 4;
const SLOTS: u32 = 12;
/// Bounds of the run time; the mean is 100 ms.
const RUN: (u64, u64) = (50, 150);
/// Runs that all gates complete in a second.
const CAPACITY: f64 = GATES as f64 * SLOTS as f64 * 10.0;
/// Time from the arrival of a request to its target time, and to its deadline.
const TARGET: Millis = Millis(500);
const DEADLINE: Millis = Millis(2000);
/// Offers of one request with a short wait, before one that only takes slots that are left.
const OFFERS: usize = 3;
/// Fractions of the spare time that an offer waits, as in the default settings.
const WAIT_FRACTIONS: (f64, f64) = (0.4, 0.3);
/// Time after which a client that retries at once sends its request again, and how often it does.
const RETRY_DELAY: Millis = Millis(5);
const MAX_RETRIES: u32 = 15;

/// Demand of all organisations.
#[derive(Clone, Debug, Default)]
struct Demand {
    /// Requests a second of each organisation.
    rates: Vec<f64>,
    /// Requests of each organisation that arrive together at the start.
    backlog: Vec<u64>,
    /// Organisation whose clients retry at once.
    retrier: Option<usize>,
    /// Whether the queues do not learn the organisations.
    is_hidden: bool,
    seconds: u64,
}

#[derive(Clone, Debug)]
struct Request {
    organisation: usize,
    arrival: Millis,
    tried: BTreeSet<u64>,
    retries: u32,
}

/// Requests of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    offers: u32,
    /// Answered by the target time.
    timely: u32,
    served: u32,
}

#[derive(Debug)]
struct Gate {
    queue: Queue,
    waiting: BTreeMap<WaitId, Request>,
}

/// Replay of several gates; a refused request is offered to the next one.
struct Replay {
    demand: Demand,
    gates: Vec<Gate>,
    ends: BTreeMap<Millis, Vec<(u64, Millis, Request)>>,
    retries: BTreeMap<Millis, Vec<Request>>,
    random: SeededRandom,
    counts: Vec<Count>,
    /// Time for which slots were taken, in milliseconds.
    busy: u64,
}

impl Replay {
    fn run(demand: &Demand) -> Replay {
        let gate = || Gate {
            queue: Queue::new(SLOTS),
            waiting: BTreeMap::new(),
        };
        let organisations = demand.rates.len();
        let mut replay = Replay {
            demand: demand.clone(),
            gates: (0..GATES).map(|_| gate()).collect(),
            ends: BTreeMap::new(),
            retries: BTreeMap::new(),
            random: SeededRandom::new(5),
            counts: vec![Count::default(); organisations],
            busy: 0,
        };
        // One generator for each organisation, so that its arrivals do not depend on the others.
        let seeds = 0..organisations as u64;
        let mut arrivals: Vec<_> = seeds.map(|s| SeededRandom::new(100 + s)).collect();
        for (organisation, count) in demand.backlog.iter().enumerate() {
            (0..*count).for_each(|_| replay.arrive(Millis(0), organisation));
        }
        for step in 0..demand.seconds * 1000 {
            let now = Millis(step);
            for (gate, span, request) in replay.ends.remove(&now).unwrap_or_default() {
                replay.end(now, gate, span, request);
            }
            for request in replay.retries.remove(&now).unwrap_or_default() {
                replay.offer(now, request);
            }
            for (organisation, random) in arrivals.iter_mut().enumerate() {
                if random.fraction() < demand.rates[organisation] / 1000.0 {
                    replay.arrive(now, organisation);
                }
            }
        }
        replay
    }

    fn arrive(&mut self, now: Millis, organisation: usize) {
        self.counts[organisation].sent += 1;
        let request = Request {
            organisation,
            arrival: now,
            tried: BTreeSet::new(),
            retries: 0,
        };
        self.offer(now, request);
    }

    fn offer(&mut self, now: Millis, mut request: Request) {
        let target = request.arrival + TARGET;
        let deadline = request.arrival + DEADLINE;
        let is_best_effort = request.tried.len() == OFFERS;
        let mean_run = Millis(100);
        let max_wait = match is_best_effort {
            false => target.since(now + mean_run).0 as f64 * WAIT_FRACTIONS.0,
            true => deadline.since(now + mean_run).0 as f64 * WAIT_FRACTIONS.1,
        };
        let max_wait = Millis(max_wait as u64);
        let mut gate = self.random.below(GATES);
        while request.tried.contains(&gate) {
            gate = (gate + 1) % GATES;
        }
        request.tried.insert(gate);
        self.counts[request.organisation].offers += 1;
        let organisation = OrganisationId(request.organisation as u64);
        let slot_request = SlotRequest {
            route: ROUTE,
            priority: 1,
            is_nested: false,
            is_best_effort,
            target,
            expires: now + max_wait,
            organisation: Some(organisation).filter(|_| !self.demand.is_hidden),
        };
        let queue = &mut self.gates[gate as usize].queue;
        match queue.request(now, slot_request, max_wait) {
            SlotDecision::Run => self.begin(now, gate, request),
            SlotDecision::Wait(id) => {
                self.gates[gate as usize].waiting.insert(id, request);
            }
            SlotDecision::Refuse(_) => self.refuse(now, request),
        }
    }

    fn begin(&mut self, now: Millis, gate: u64, request: Request) {
        let span = Millis(RUN.0 + self.random.below(RUN.1 - RUN.0 + 1));
        let end = Millis::from_secs(self.demand.seconds);
        self.busy += span.min(end.since(now)).0;
        let ends = self.ends.entry(now + span).or_default();
        ends.push((gate, span, request));
    }

    fn refuse(&mut self, now: Millis, mut request: Request) {
        if request.tried.len() <= OFFERS && now < request.arrival + DEADLINE {
            self.offer(now, request);
            return;
        }
        let is_retried = self.demand.retrier == Some(request.organisation);
        if is_retried && request.retries < MAX_RETRIES {
            // To the gates, a retry is a new request.
            request.retries += 1;
            request.arrival = now + RETRY_DELAY;
            request.tried.clear();
            let retries = self.retries.entry(now + RETRY_DELAY).or_default();
            retries.push(request);
        }
    }

    fn end(&mut self, now: Millis, gate: u64, span: Millis, request: Request) {
        let count = &mut self.counts[request.organisation];
        count.timely += u32::from(now <= request.arrival + TARGET);
        count.served += u32::from(now <= request.arrival + DEADLINE);
        let state = &mut self.gates[gate as usize];
        let wakeups = state.queue.release(now, Some((ROUTE, span)));
        let mut take = |id| state.waiting.remove(&id).expect("it waited");
        let granted: Vec<_> = wakeups.granted.into_iter().map(&mut take).collect();
        let refused = [wakeups.expired, wakeups.yielded].concat();
        let refused: Vec<_> = refused.into_iter().map(take).collect();
        granted.into_iter().for_each(|r| self.begin(now, gate, r));
        refused.into_iter().for_each(|r| self.refuse(now, r));
    }

    fn served_part(&self, organisation: usize) -> f64 {
        let count = self.counts[organisation];
        f64::from(count.timely) / f64::from(count.sent.max(1))
    }

    /// Returns the timely part of all requests.
    fn mean(&self) -> f64 {
        let timely: u32 = self.counts.iter().map(|c| c.timely).sum();
        let sent: u32 = self.counts.iter().map(|c| c.sent).sum();
        f64::from(timely) / f64::from(sent)
    }

    /// Returns the timely parts of the organisations that sent anything, in ascending order.
    fn parts(&self) -> Vec<f64> {
        let organisations = 0..self.counts.len();
        let sent = organisations.filter(|o| self.counts[*o].sent > 0);
        let mut parts: Vec<f64> = sent.map(|o| self.served_part(o)).collect();
        parts.sort_by(f64::total_cmp);
        parts
    }

    /// Returns the mean of the timely parts of the worst-served tenth of the organisations.
    fn worst_tenth(&self) -> f64 {
        let parts = self.parts();
        let count = (parts.len() / 10).max(1);
        parts[..count].iter().sum::<f64>() / count as f64
    }

    /// Returns the timely requests of all organisations but one.
    fn timely_without(&self, organisation: usize) -> u32 {
        let counts = self.counts.iter().enumerate();
        let others = counts.filter(|(o, _)| *o != organisation);
        others.map(|(_, c)| c.timely).sum()
    }

    /// Returns the fraction of the slots that was in use.
    fn use_of_slots(&self) -> f64 {
        self.busy as f64 / (CAPACITY / 10.0 * 1000.0 * self.demand.seconds as f64)
    }

    /// Returns the offers per request of all organisations but the ten largest.
    fn offers_of_small(&self) -> f64 {
        let small = self.counts.iter().skip(10);
        let (offers, sent) = small.fold((0, 0), |(o, s), c| (o + c.offers, s + c.sent));
        f64::from(offers) / f64::from(sent)
    }

    fn print(&self, name: &str) {
        let parts = self.parts();
        println!(
            "{name}: worst tenth {:.3}, least {:.3}, mean {:.3}, slots in use {:.3}, offers per \
             request of small organisations {:.2}, yields {}",
            self.worst_tenth(),
            parts[0],
            self.mean(),
            self.use_of_slots(),
            self.offers_of_small(),
            self.gates
                .iter()
                .map(|g| g.queue.fair_yields())
                .sum::<u64>(),
        );
    }
}

impl Demand {
    fn hidden(&self) -> Demand {
        Demand {
            is_hidden: true,
            ..self.clone()
        }
    }

    /// 84 organisations whose rates fall with their rank to the power of 1.2, at `load` times the
    /// capacity.
    fn skewed(load: f64) -> Demand {
        let weights = (1..=84).map(|rank| f64::from(rank).powf(-1.2));
        let weights: Vec<f64> = weights.collect();
        let sum: f64 = weights.iter().sum();
        Demand {
            rates: weights.iter().map(|w| w / sum * load * CAPACITY).collect(),
            seconds: 60,
            ..Demand::default()
        }
    }
}

/// 21 organisations at 0.85 of the capacity, the first of which sends `factor` times its usual
/// load. With a factor of 6, the load is 1.5 of the capacity.
fn one_grows(factor: f64) -> Demand {
    let usual = 0.85 * CAPACITY;
    let mut rates = vec![usual * 0.847 / 20.0; 21];
    rates[0] = usual * 0.153 * factor;
    Demand {
        rates,
        seconds: 60,
        ..Demand::default()
    }
}

#[test]
fn one_organisation_at_six_times_its_load_costs_the_others_nothing() {
    let usual = Replay::run(&one_grows(1.0));
    let fair = Replay::run(&one_grows(6.0));
    let before = Replay::run(&one_grows(6.0).hidden());
    for (name, replay) in [("usual", &usual), ("fair", &fair), ("before", &before)] {
        replay.print(name);
    }
    let kept = |r: &Replay| f64::from(r.timely_without(0)) / f64::from(usual.timely_without(0));
    println!("kept: {:.3}, before: {:.3}", kept(&fair), kept(&before));
    println!(
        "large: {:.3}, before: {:.3}",
        fair.served_part(0),
        before.served_part(0)
    );
    assert!(kept(&fair) >= 0.98, "{:.3}", kept(&fair));
    assert!(kept(&before) < 0.98, "{:.3}", kept(&before));
    assert!(fair.served_part(0) >= fair.mean() / 4.0);
    // Capacity that the others leave is not left idle.
    assert!(fair.use_of_slots() >= before.use_of_slots() - 0.01);
}

#[test]
fn the_worst_served_tenth_of_84_organisations_is_served_as_often_as_the_mean() {
    let fair = Replay::run(&Demand::skewed(1.5));
    let before = Replay::run(&Demand::skewed(1.5).hidden());
    fair.print("fair");
    before.print("before");
    assert!(fair.worst_tenth() >= fair.mean());
    assert!(before.worst_tenth() < before.mean());
    assert!(fair.parts()[0] >= fair.mean() / 4.0);
    assert!(fair.use_of_slots() >= before.use_of_slots() - 0.01);
}

#[test]
fn clients_that_retry_at_once_gain_nothing() {
    let patient = one_grows(6.0);
    let impatient = Demand {
        retrier: Some(0),
        ..patient.clone()
    };
    let calm = Replay::run(&patient);
    let fair = Replay::run(&impatient);
    let calm_before = Replay::run(&patient.hidden());
    let before = Replay::run(&impatient.hidden());
    fair.print("fair");
    before.print("before");
    let kept = |r: &Replay, calm: &Replay| {
        f64::from(r.timely_without(0)) / f64::from(calm.timely_without(0))
    };
    println!(
        "kept: {:.3}, before: {:.3}",
        kept(&fair, &calm),
        kept(&before, &calm_before)
    );
    println!(
        "retrier: {:.3} -> {:.3}, before: {:.3} -> {:.3}",
        calm.served_part(0),
        fair.served_part(0),
        calm_before.served_part(0),
        before.served_part(0)
    );
    assert!(kept(&fair, &calm) >= 0.98);
    assert!(kept(&before, &calm_before) < 0.98);
    assert!(fair.served_part(0) < calm.served_part(0) * 1.05);
    assert!(before.served_part(0) > calm_before.served_part(0) * 1.05);
}

/// Guards against an order that leaves the largest organisations next to nothing in a burst. It is
/// no weakness of the order without fair sharing, which serves all organisations alike.
#[test]
fn no_organisation_is_served_less_than_a_quarter_as_often_as_the_mean() {
    for load in [1.2, 2.0, 3.0] {
        let fair = Replay::run(&Demand::skewed(load));
        fair.print(&format!("load {load}"));
        assert!(fair.parts()[0] >= fair.mean() / 4.0, "load {load}");
    }
}

/// Returns the replays of gates that know nothing when all organisations begin, first with
/// `backlog` seconds of their load at once; fair, and with the organisations hidden.
fn cold_start(backlog: f64) -> (Replay, Replay) {
    let steady = Demand::skewed(1.5);
    let requests = |rate: &f64| (rate * backlog).round() as u64;
    let start = Demand {
        backlog: steady.rates.iter().map(requests).collect(),
        seconds: 8,
        ..steady
    };
    let (fair, before) = (Replay::run(&start), Replay::run(&start.hidden()));
    fair.print("fair");
    before.print("before");
    (fair, before)
}

#[test]
fn after_a_cold_start_the_worst_served_tenth_is_served_as_often_as_the_mean() {
    let (fair, before) = cold_start(0.25);
    assert!(fair.worst_tenth() >= fair.mean());
    assert!(before.worst_tenth() < before.mean());
}

#[test]
fn after_a_cold_start_with_a_long_backlog_no_organisation_is_left_out() {
    // Of the 720 requests at the start, the slots can answer 240 by the target.
    let (fair, before) = cold_start(1.0);
    assert!(fair.worst_tenth() >= 0.75 * fair.mean());
    assert!(fair.parts()[0] >= fair.mean() / 4.0);
    assert!(before.worst_tenth() < 0.75 * before.mean());
    assert!(before.parts()[0] < before.mean() / 4.0);
}
