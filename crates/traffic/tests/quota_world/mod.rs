//! Mesh of quota owners and borrowers on a virtual clock, for one organisation.

use rf_base::{InstanceId, Millis, OrganisationId, RequestRate, SeededRandom};
use rf_config::Quota;
use rf_protocol::relay::{QuotaClaim, QuotaGrant};
use rf_traffic::quota::{
    Decision, Lender, QuotaBorrower, QuotaOwner, QuotaSettings, QuotaTerms, Settlement,
};
use std::collections::BTreeMap;
use std::fmt;

/// Time after which a claim is given up, as in the proxy.
const REPLY_TIMEOUT: u64 = 250;
/// Time until membership of a proxy shows a failure, and its spread over the proxies.
const DETECTION: u64 = 1400;
const DETECTION_SPREAD: u64 = 300;
const ORGANISATION: OrganisationId = OrganisationId(77);

/// What changes during a run.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// The owner's process ends; membership shows it after a while.
    KillOwner,
    /// All ended processes start again without state.
    Restart,
    /// Proxies with an odd number no longer reach the others.
    Split,
    /// All proxies reach each other again.
    Heal,
    /// A new quota reaches every proxy within 2.5 s.
    SetQuota(u32),
    /// Another proxy becomes the owner, as when a proxy with a higher rank joins.
    MoveOwner,
    /// From now on this percentage of the replies is lost.
    LoseReplies(u64),
    /// From now on this percentage of the replies takes 300 ms, longer than a borrower waits.
    DelayReplies(u64),
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Run {
    pub proxies: usize,
    /// Number of proxies at which requests enter.
    pub entries: usize,
    pub rate: u32,
    /// Requests per second, from a time on.
    pub load: Vec<(u64, f64)>,
    pub changes: Vec<(u64, Change)>,
    pub span: u64,
    pub seed: u64,
}

/// Result of a run, with both errors.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub requests: usize,
    pub started: usize,
    /// Requests that one bucket over all proxies would have let start.
    pub ideal: usize,
    /// Requests that were refused although that bucket would have let them start.
    pub refused_wrongly: usize,
    /// Most starts in 5 s beyond `rate x 5 + burst`; negative if there were fewer.
    pub excess: f64,
    /// Excess that the bound permits.
    pub margin: f64,
    pub messages: usize,
    pub starts: Vec<u64>,
    pub shortest_wait: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} started (ideal {}), excess {:.0} of {:.0} permitted, {} refused \
             wrongly, {} messages",
            self.requests,
            self.started,
            self.ideal,
            self.excess,
            self.margin,
            self.refused_wrongly,
            self.messages
        )
    }
}

impl Report {
    /// Returns the most starts in a window of 5 s that begins at `from` or later.
    pub fn most_in_window(&self, from: u64) -> usize {
        let mut most = 0;
        let mut end = 0;
        for (begin, at) in self.starts.iter().enumerate() {
            while end < self.starts.len() && self.starts[end] < at + 5000 {
                end += 1;
            }
            if *at >= from {
                most = most.max(end - begin);
            }
        }
        most
    }
}

enum Event {
    Arrive,
    Claim(usize, usize, u64, QuotaClaim),
    Reply(usize, u64, QuotaGrant),
    Timeout(usize, u64),
    See(usize, Vec<usize>),
    Apply(usize, u32),
    Change(Change),
}

struct Proxy {
    borrower: QuotaBorrower,
    owner: QuotaOwner,
    is_running: bool,
    side: usize,
    reachable: Vec<usize>,
    rate: u32,
    ask: u64,
    waiting: Vec<bool>,
}

/// Runs the mesh and returns what happened.
pub fn run(settings: &Run) -> Report {
    let mut world = World::new(settings);
    while let Some(((at, _), event)) = world.events.pop_first() {
        if at >= settings.span {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.finish()
}

struct World {
    settings: Run,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    now: u64,
    proxies: Vec<Proxy>,
    ranks: Vec<usize>,
    random: SeededRandom,
    lost: u64,
    delayed: u64,
    ideal: f64,
    ideal_at: u64,
    quota: u32,
    report: Report,
}

impl World {
    fn new(settings: &Run) -> World {
        let mut random = SeededRandom::new(settings.seed);
        let all: Vec<usize> = (0..settings.proxies).collect();
        let proxy = |_| Proxy {
            borrower: QuotaBorrower::new(SeededRandom::new(random.bits())),
            owner: QuotaOwner::new(Millis::ZERO),
            is_running: true,
            side: 0,
            reachable: all.clone(),
            rate: settings.rate,
            ask: 0,
            waiting: Vec::new(),
        };
        let proxies = (0..settings.proxies).map(proxy).collect();
        let mut world = World {
            settings: settings.clone(),
            events: BTreeMap::new(),
            number: 0,
            now: 0,
            proxies,
            ranks: all.iter().rev().copied().collect(),
            random,
            lost: 0,
            delayed: 0,
            ideal: terms_of(settings.rate).start(),
            ideal_at: 0,
            quota: settings.rate,
            report: Report {
                shortest_wait: u64::MAX,
                ..Report::default()
            },
        };
        for (at, change) in &settings.changes {
            world.push(*at, Event::Change(*change));
        }
        world.push(1, Event::Arrive);
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Claim(from, to, ask, claim) => self.claim(from, to, ask, &claim),
            Event::Reply(proxy, ask, grant) => {
                if self.proxies[proxy].ask == ask && self.proxies[proxy].is_running {
                    self.proxies[proxy].ask += 1;
                    self.settle(proxy, |p, now, lender| {
                        p.borrower.receive(now, &grant, lender)
                    });
                }
            }
            Event::Timeout(proxy, ask) => {
                if self.proxies[proxy].ask == ask && self.proxies[proxy].is_running {
                    self.proxies[proxy].ask += 1;
                    self.settle(proxy, |p, now, lender| {
                        p.borrower.fail(now, ORGANISATION, lender)
                    });
                }
            }
            Event::See(proxy, reachable) => self.see(proxy, reachable),
            Event::Apply(proxy, rate) => self.proxies[proxy].rate = rate,
            Event::Change(change) => self.change(change),
        }
    }

    fn see(&mut self, proxy: usize, reachable: Vec<usize>) {
        let now = Millis(self.now);
        self.proxies[proxy].reachable = reachable;
        let is_owned = self.owner_of(proxy) == proxy;
        self.proxies[proxy].owner.change_members(now, |_| is_owned);
    }

    fn owner_of(&self, proxy: usize) -> usize {
        let reachable = &self.proxies[proxy].reachable;
        let owner = self.ranks.iter().find(|r| reachable.contains(r));
        owner.copied().unwrap_or(proxy)
    }

    fn lender(&self, proxy: usize) -> Lender {
        Lender {
            owner: InstanceId(self.owner_of(proxy) as u64),
            terms: spread_terms(self.proxies[proxy].rate),
            known: self.settings.proxies,
        }
    }

    fn owner_terms(&self, proxy: usize) -> QuotaTerms {
        let reachable = self.proxies[proxy].reachable.len();
        spread_terms(self.proxies[proxy].rate).scaled(reachable, self.settings.proxies)
    }

    fn arrive(&mut self) {
        let before = self.settings.load.iter().rev();
        let load = before
            .clone()
            .find(|(at, _)| *at <= self.now)
            .map_or(1.0, |l| l.1);
        let gap = 1000.0 / load * (0.7 + 0.6 * self.random.fraction());
        let fraction = self.random.fraction();
        let next = self.now as f64 + gap;
        // Times are whole milliseconds, so a fraction is rounded up with that probability.
        let next = next.floor() as u64 + u64::from(fraction < next.fract());
        self.push(next, Event::Arrive);
        let entries = self.settings.entries as u64;
        let proxy = self.random.below(entries) as usize;
        if !self.proxies[proxy].is_running {
            return;
        }
        self.report.requests += 1;
        let is_ideal = self.take_ideal();
        let now = Millis(self.now);
        let owner = self.owner_of(proxy);
        if owner == proxy {
            let terms = self.owner_terms(proxy);
            let taken = self.proxies[proxy].owner.take(now, ORGANISATION, &terms);
            match taken {
                Ok(()) => self.start(),
                Err(wait) => self.refuse(is_ideal, wait),
            }
            return;
        }
        let lender = self.lender(proxy);
        let state = &mut self.proxies[proxy];
        let request = state.borrower.request(now, ORGANISATION, &lender);
        match request.decision {
            Decision::Granted | Decision::GrantedByFallback => self.start(),
            Decision::Refused(wait) => self.refuse(is_ideal, wait),
            Decision::Waits => state.waiting.push(is_ideal),
        }
        if request.should_ask {
            self.ask(proxy);
        }
    }

    fn take_ideal(&mut self) -> bool {
        let terms = terms_of(self.quota);
        let accrued = terms.rate * (self.now - self.ideal_at) as f64 / 1000.0;
        self.ideal = (self.ideal + accrued).min(terms.burst);
        self.ideal_at = self.now;
        let is_granted = self.ideal >= 1.0;
        if is_granted {
            self.ideal -= 1.0;
            self.report.ideal += 1;
        }
        is_granted
    }

    fn start(&mut self) {
        self.report.starts.push(self.now);
    }

    fn refuse(&mut self, is_ideal: bool, wait: Millis) {
        self.report.refused_wrongly += usize::from(is_ideal);
        self.report.shortest_wait = self.report.shortest_wait.min(wait.0);
    }

    fn ask(&mut self, proxy: usize) {
        let now = Millis(self.now);
        let owner = self.owner_of(proxy);
        let borrower = &mut self.proxies[proxy].borrower;
        let Some(claim) = borrower.ask(now, ORGANISATION, InstanceId(owner as u64)) else {
            return;
        };
        self.report.messages += 1;
        let ask = self.proxies[proxy].ask;
        let at = self.now + 1;
        self.push(at, Event::Claim(proxy, owner, ask, claim));
        self.push(self.now + REPLY_TIMEOUT, Event::Timeout(proxy, ask));
    }

    fn claim(&mut self, from: usize, to: usize, ask: u64, claim: &QuotaClaim) {
        if self.proxies[from].side != self.proxies[to].side {
            return;
        }
        if !self.proxies[to].is_running {
            // The connection is refused.
            self.push(self.now + 1, Event::Timeout(from, ask));
            return;
        }
        let now = Millis(self.now);
        let borrower = InstanceId(from as u64);
        let terms = self.owner_terms(to);
        let grant = match self.owner_of(to) == to {
            true => self.proxies[to].owner.claim(now, borrower, claim, &terms),
            false => QuotaGrant {
                organisation: claim.organisation,
                tokens: 0,
                lifetime: Millis::ZERO,
                wait: Millis::ZERO,
                is_owner: false,
            },
        };
        if self.random.below(100) < self.lost {
            return;
        }
        let delay = match self.random.below(100) < self.delayed {
            true => 300,
            false => self.random.below(3),
        };
        self.push(self.now + delay, Event::Reply(from, ask, grant));
    }

    fn settle(
        &mut self,
        proxy: usize,
        apply: impl FnOnce(&mut Proxy, Millis, &Lender) -> Settlement,
    ) {
        let lender = self.lender(proxy);
        let settlement = apply(&mut self.proxies[proxy], Millis(self.now), &lender);
        for decision in settlement.decisions {
            let is_ideal = self.proxies[proxy].waiting.remove(0);
            match decision {
                Decision::Refused(wait) => self.refuse(is_ideal, wait),
                _ => self.start(),
            }
        }
        if settlement.should_ask {
            self.ask(proxy);
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::KillOwner => {
                let owner = self.owner_of(0);
                self.proxies[owner].is_running = false;
                self.proxies[owner].waiting.clear();
                self.show_members(DETECTION);
            }
            Change::Restart => {
                let now = Millis(self.now);
                for proxy in self.proxies.iter_mut().filter(|p| !p.is_running) {
                    proxy.is_running = true;
                    proxy.owner = QuotaOwner::new(now);
                }
                self.show_members(100);
            }
            Change::Split => {
                for (number, proxy) in self.proxies.iter_mut().enumerate() {
                    proxy.side = number % 2;
                }
                self.show_members(DETECTION);
            }
            Change::Heal => {
                for proxy in &mut self.proxies {
                    proxy.side = 0;
                }
                self.show_members(500);
            }
            Change::SetQuota(rate) => {
                self.quota = rate;
                for proxy in 0..self.proxies.len() {
                    let at = self.now + self.random.below(2500);
                    self.push(at, Event::Apply(proxy, rate));
                }
            }
            Change::MoveOwner => {
                self.ranks.rotate_left(1);
                self.show_members(0);
            }
            Change::LoseReplies(percent) => self.lost = percent,
            Change::DelayReplies(percent) => self.delayed = percent,
        }
    }

    /// Lets every running proxy see the membership as it is now, after `delay` and a spread.
    fn show_members(&mut self, delay: u64) {
        for proxy in 0..self.proxies.len() {
            let side = self.proxies[proxy].side;
            let is_seen = |p: &usize| self.proxies[*p].is_running && self.proxies[*p].side == side;
            let seen = (0..self.proxies.len()).filter(is_seen).collect();
            let at = self.now + delay + self.random.below(DETECTION_SPREAD);
            self.push(at, Event::See(proxy, seen));
        }
    }

    fn finish(mut self) -> Report {
        let terms = terms_of(self.settings.rate);
        self.report.started = self.report.starts.len();
        let most = self.report.most_in_window(0) as f64;
        self.report.excess = most - terms.rate * 5.0 - terms.burst;
        self.report.margin = terms.margin;
        self.report
    }
}

fn quota_of(rate: u32) -> Quota {
    Quota {
        rate: RequestRate::per_second(rate),
        burst: rate,
    }
}

/// Returns the terms against which the bound and the wrong refusals are checked.
fn terms_of(rate: u32) -> QuotaTerms {
    QuotaTerms::new(&quota_of(rate), &QuotaSettings::default())
}

/// Returns the terms with which the proxies work.
fn spread_terms(rate: u32) -> QuotaTerms {
    QuotaTerms::spread(&quota_of(rate), &QuotaSettings::default())
}
