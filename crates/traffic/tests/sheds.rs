//! Replay of servers that reject requests while in good health, on a virtual clock.
//!
//! 26 servers reject 55 % of what reaches them for 8.5 s. They are called by 45 % of the runs of
//! another service with 40 servers of 12 slots, and directly.

use rf_base::{InstanceId, Millis, SeededRandom, ServiceName};
use rf_protocol::relay::LoadReport;
use rf_traffic::placement::OfferReport;
use rf_traffic::{
    Candidate, ChainAdmission, OfferEnd, Placement, PlacementRequest, RetryBudget, RunStart,
};
use std::collections::{BTreeMap, BTreeSet};

const SHEDDERS: usize = 26;
const CALLERS: usize = 40;
const SLOTS: u32 = 12;
const PROXIES: usize = 74;
const EPISODE: std::ops::Range<u64> = 3000..11_500;
const SPAN: u64 = 18_000;
/// Requests per second that enter for the rejecting service directly.
const DIRECT_RATE: f64 = 300.0;
const CALLING_SHARE: f64 = 0.45;
/// Share of the requests that may run more than once.
const IDEMPOTENT_SHARE: f64 = 0.5;
const RUN: Millis = Millis(200);
const SHEDDER_RUN: Millis = Millis(60);
/// Time for which a caller tries again after refusals.
const PATIENCE: Millis = Millis(3000);
const MAX_TRIES: u32 = 3;
/// Retry share and slack of each proxy, with the fraction that proxies use of them.
const BUDGET_SHARE: f64 = 0.2 * 0.7;
const BUDGET_BURST: f64 = 206.0 * 0.7 / PROXIES as f64;
/// What is done about rejections.
#[derive(Clone, Copy, Debug)]
struct Policy {
    /// Part of the retry budget that only nested calls may spend.
    reserve: f64,
    /// Whether retries go to the server that has rejected least lately.
    is_least_shed: bool,
    /// Whether runs are not begun while their calls are being rejected.
    is_withheld: bool,
}

/// Behaviour without shed rates.
const BEFORE: Policy = Policy {
    reserve: 0.5,
    is_least_shed: false,
    is_withheld: false,
};

/// Load of the replay.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests per second of the calling service.
    rate: f64,
    /// Whether the runs that call have a route of their own.
    is_own_route: bool,
    /// Shares that the two halves of the servers reject.
    shed: [f64; 2],
}

struct Request {
    start: Millis,
    origin: usize,
    is_direct: bool,
    calls: bool,
    is_idempotent: bool,
    tries: u32,
    reruns: u32,
    is_served: bool,
}

enum Event {
    Try(usize),
    Call(usize, usize),
    End(usize, usize, bool),
}

struct World {
    policy: Policy,
    load: Load,
    random: SeededRandom,
    /// Separate, so that every policy meets the same requests.
    arrivals: SeededRandom,
    placements: Vec<Placement>,
    /// Budgets of each proxy for retries at the rejecting and at the calling service.
    budgets: Vec<[RetryBudget; 2]>,
    chains: Vec<ChainAdmission>,
    running: Vec<u32>,
    requests: Vec<Request>,
    events: BTreeMap<(Millis, u64), Event>,
    sequence: u64,
}

impl World {
    fn new(policy: Policy, load: Load, seed: u64) -> World {
        let placement = |o| Placement::new(SeededRandom::new(seed * 1000 + o as u64));
        let budget = || RetryBudget::with_burst(BUDGET_SHARE, BUDGET_BURST);
        World {
            policy,
            load,
            random: SeededRandom::new(seed),
            arrivals: SeededRandom::new(seed + 100),
            placements: (0..PROXIES).map(placement).collect(),
            budgets: (0..PROXIES).map(|_| [budget(), budget()]).collect(),
            chains: vec![ChainAdmission::default(); CALLERS],
            running: vec![0; CALLERS],
            requests: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Calls the rejecting service from the proxy `origin`; returns whether the call was served.
    fn call(&mut self, now: Millis, origin: usize, is_nested: bool) -> bool {
        let mut tried = BTreeSet::new();
        loop {
            let Some(instance) = self.choose(now, origin, &tried) else {
                return false;
            };
            let shed = self.load.shed[instance.0 as usize % 2];
            let is_shed = EPISODE.contains(&now.0) && self.random.fraction() < shed;
            self.observe(now, origin, instance, is_shed);
            if !is_shed {
                return true;
            }
            tried.insert(instance);
            let budget = &mut self.budgets[origin][0];
            let mut budget = match is_nested {
                true => budget.with_reserve(0.0),
                false => budget.with_reserve(self.policy.reserve),
            };
            if !budget.withdraw() {
                return false;
            }
        }
    }

    fn choose(
        &mut self,
        now: Millis,
        origin: usize,
        tried: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId> {
        let candidate = |id: usize| Candidate {
            instance: InstanceId(id as u64),
            slots: SLOTS,
            is_near: true,
        };
        let candidates: Vec<Candidate> = (0..SHEDDERS).map(candidate).collect();
        let request = PlacementRequest {
            route: 1,
            zone_cost: Millis::ZERO,
            safe_time: Millis(500),
        };
        let placement = &mut self.placements[origin];
        match self.policy.is_least_shed && !tried.is_empty() {
            true => placement.choose_after_shed(now, &candidates, tried, &request),
            false => placement.choose(now, &candidates, tried, &request),
        }
    }

    fn observe(&mut self, now: Millis, origin: usize, instance: InstanceId, is_shed: bool) {
        let end = match is_shed {
            true => OfferEnd::Shed,
            false => OfferEnd::Succeeded,
        };
        let load = LoadReport {
            mean_run: SHEDDER_RUN,
            route_run: SHEDDER_RUN,
            slots: SLOTS,
            ..LoadReport::default()
        };
        let report = OfferReport {
            route: 1,
            load,
            transit: Millis(2),
        };
        self.placements[origin].finish(now, instance, end, Some(report));
    }

    /// Handles the arrival of a request, for the first time or again.
    fn try_request(&mut self, now: Millis, id: usize) {
        let (origin, is_direct) = (self.requests[id].origin, self.requests[id].is_direct);
        self.requests[id].tries += 1;
        self.budgets[origin][usize::from(!is_direct)].deposit();
        if !is_direct {
            return self.begin_run(now, id);
        }
        match self.call(now, origin, false) {
            true => self.requests[id].is_served = true,
            false => self.refuse(now, id, Millis::ZERO),
        }
    }

    /// Tells the caller that its request did not run; it comes back while it is patient.
    fn refuse(&mut self, now: Millis, id: usize, wait: Millis) {
        let delay = wait.max(Millis(300)) + self.random.jitter(Millis(300));
        let request = &self.requests[id];
        let is_patient = now + delay < request.start + PATIENCE;
        if request.tries < MAX_TRIES && is_patient {
            self.schedule(now + delay, Event::Try(id));
        }
    }

    fn route_of(&self, id: usize) -> u64 {
        u64::from(self.load.is_own_route && self.requests[id].calls)
    }

    fn begin_run(&mut self, now: Millis, id: usize) {
        let pick = |random: &mut SeededRandom| random.below(CALLERS as u64) as usize;
        let (a, b) = (pick(&mut self.random), pick(&mut self.random));
        let server = if self.running[a] <= self.running[b] {
            a
        } else {
            b
        };
        let start = RunStart {
            route: self.route_of(id),
            priority: 1,
            is_late: false,
        };
        let draw = self.random.fraction();
        if !self.chains[server].admit(now, start, |_| 1.0, draw) {
            let wait = self.chains[server].recovery_time(now, 1);
            return self.refuse(now, id, wait);
        }
        if self.running[server] >= SLOTS {
            return self.refuse(now, id, Millis::ZERO);
        }
        self.running[server] += 1;
        self.schedule(now + Millis(RUN.0 / 2), Event::Call(id, server));
    }

    fn make_call(&mut self, now: Millis, id: usize, server: usize) {
        let service = ServiceName::from("shedder");
        let mut is_served = true;
        if self.requests[id].calls {
            is_served = self.call(now, server, true);
            if is_served || self.policy.is_withheld {
                self.chains[server].observe(now, &service, 1, is_served);
            }
        }
        // A run whose call was rejected fails at once.
        let left = if is_served { RUN.0 / 2 } else { 1 };
        self.schedule(now + Millis(left), Event::End(id, server, is_served));
    }

    fn end_run(&mut self, now: Millis, id: usize, server: usize, is_served: bool) {
        self.running[server] -= 1;
        let count = u32::from(self.requests[id].calls);
        let calls = BTreeMap::from([(ServiceName::from("shedder"), count)]);
        let route = self.route_of(id);
        self.chains[server].record_run(now, route, &calls);
        let request = &mut self.requests[id];
        request.is_served = is_served;
        let may_repeat = !is_served && request.is_idempotent && request.reruns == 0;
        if may_repeat && self.budgets[request.origin][1].withdraw() {
            request.reruns += 1;
            self.begin_run(now, id);
        }
    }

    fn arrive(&mut self, now: Millis, is_direct: bool) {
        let request = Request {
            start: now,
            origin: self.arrivals.below(PROXIES as u64) as usize,
            is_direct,
            calls: !is_direct && self.arrivals.fraction() < CALLING_SHARE,
            is_idempotent: self.arrivals.fraction() < IDEMPOTENT_SHARE,
            tries: 0,
            reruns: 0,
            is_served: false,
        };
        self.requests.push(request);
        self.try_request(now, self.requests.len() - 1);
    }

    /// Returns how many callers that come during the rejections are served, of how many, for the
    /// calling service and for the rejecting one.
    fn run(mut self) -> [(usize, usize); 2] {
        let rates = [self.load.rate, DIRECT_RATE];
        let mut next = [0.0; 2];
        for step in 0..SPAN {
            let now = Millis(step);
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= now
            {
                match entry.remove() {
                    Event::Try(id) => self.try_request(now, id),
                    Event::Call(id, server) => self.make_call(now, id, server),
                    Event::End(id, server, ok) => self.end_run(now, id, server, ok),
                }
            }
            for (kind, next) in next.iter_mut().enumerate() {
                while *next <= step as f64 {
                    self.arrive(now, kind == 1);
                    *next -= (1.0 - self.arrivals.fraction()).ln() / rates[kind] * 1000.0;
                }
            }
        }
        [false, true].map(|is_direct| {
            let is_counted =
                |r: &&Request| r.is_direct == is_direct && EPISODE.contains(&r.start.0);
            let counted = || self.requests.iter().filter(is_counted);
            (counted().filter(|r| r.is_served).count(), counted().count())
        })
    }
}

/// Replays three seeds and returns the share of all callers that are served.
fn replay(name: &str, policy: Policy, load: Load) -> f64 {
    let mut all = (0, 0);
    for seed in 1..=3 {
        let [(calling, of_calling), (direct, of_direct)] = World::new(policy, load, seed).run();
        println!(
            "{:4} a second, own route {}, rejects {:?}, {name}, seed {seed}: callers served \
             {calling} of {of_calling}, directly {direct} of {of_direct}",
            load.rate, load.is_own_route, load.shed
        );
        all = (all.0 + calling + direct, all.1 + of_calling + of_direct);
    }
    let share = all.0 as f64 / all.1 as f64;
    println!("    {share:.4} of all callers");
    share
}

const CHOSEN: Policy = Policy {
    is_least_shed: true,
    ..BEFORE
};

// Guards against a policy that serves fewer callers than the one before it, and against refusing
// runs on account of rejections, which says nothing about the capacity of the called service.
#[test]
fn retries_serve_more_callers_than_runs_that_are_not_begun() {
    let load = |rate, is_own_route, shed| Load {
        rate,
        is_own_route,
        shed,
    };
    let loads = [
        load(900.0, false, [0.55, 0.55]),
        load(900.0, true, [0.55, 0.55]),
        load(2300.0, false, [0.55, 0.55]),
        load(900.0, false, [0.2, 0.9]),
        load(2300.0, true, [0.2, 0.9]),
    ];
    for load in loads {
        let before = replay("before", BEFORE, load);
        let no_reserve = Policy {
            reserve: 0.0,
            ..BEFORE
        };
        replay("no reserve", no_reserve, load);
        let withheld = Policy {
            is_withheld: true,
            ..CHOSEN
        };
        let withheld = replay("least shed, withheld", withheld, load);
        let chosen = replay("least shed", CHOSEN, load);
        // Where all servers reject alike, none of them is a better choice.
        let is_gain = chosen > before || load.shed[0] == load.shed[1] && chosen >= before;
        assert!(is_gain, "{chosen} of the callers, {before} before");
        assert!(
            chosen > withheld,
            "{chosen} of the callers, {withheld} withheld"
        );
    }
}
