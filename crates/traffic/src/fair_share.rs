//! Fair sharing of one backend server between organisations.
//!
//! The gate keeps the run time that each organisation was granted recently. Among waiting requests
//! of one class, the one whose organisation was granted least goes first, which approximates
//! max-min fairness: an organisation with low demand gets all it asks for, and the large ones share
//! what is left. Nested calls take no part, because their order must not waste the runs that make
//! them. Requests without an organisation all count as one organisation.
//!
//! Load patterns handled here:
//!
//! - One organisation sends many times its usual load: its requests queue behind those of the
//!   others, are refused for the lack of a slot, and yield once the others have overtaken them.
//! - Organisations of very different size under overload: the largest carry the loss. To keep their
//!   served part above a quarter of the mean, run time counts less for an organisation whose served
//!   part is far below it.
//! - An organisation whose clients retry at once: retries are further requests of the same
//!   organisation, which raise its demand and not its share.
//! - All organisations start at once and nothing is known: waiting work counts as if it had been
//!   granted already, so requests of one organisation do not line up ahead of the others.

use rf_base::{Millis, OrganisationId};
use std::collections::BTreeMap;

/// Organisation that requests count for; `None` stands for all requests without one.
pub type Organisation = Option<OrganisationId>;

/// Half-life of the granted and the requested run time, in milliseconds.
const HALF_LIFE_MS: f64 = 2000.0;
/// Maximum number of organisations with an account; the least recently used one is evicted.
pub const MAX_ORGANISATIONS: usize = 256;
/// Number of half-lives after which the sums are scaled down, well below the range of the exponent.
const MAX_HALF_LIVES: f64 = 100.0;
/// Served part, relative to the mean, below which run time counts less. It exceeds the required
/// quarter because requests of the least served organisations are offered to more gates than the
/// mean, by a factor of 1.25 to 1.6 in the replays, and each offer counts here.
const MIN_SERVED: f64 = 0.35;
/// Lower bound of the factor by which run time counts less. It bounds what an organisation gains by
/// asking for more.
const MIN_FACTOR: f64 = 0.2;
/// Power of the served part relative to that bound by which run time counts less. With a linear
/// factor the largest of 84 organisations at twice the capacity was served below a quarter.
const FACTOR_POWER: i32 = 3;

/// Run time of one organisation. The sums are scaled by the weight at the time of each addition.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    granted: f64,
    requested: f64,
    /// Time of the last refusal of a request that could have met its target.
    timely_refused_at: Option<Millis>,
    used_at: Millis,
}

/// Recently requested and granted run time of each organisation at one gate.
///
/// Sums decay by weighing later additions more, so that no sum has to be changed as time passes.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    accounts: BTreeMap<Organisation, Account>,
    total: Account,
    /// Time at which an addition has the weight 1.
    epoch: Millis,
}

impl FairShare {
    /// Records a request for a run of about `run_ms` milliseconds.
    pub fn request(&mut self, now: Millis, organisation: Organisation, run_ms: f64) {
        let run = run_ms * self.weight(now);
        self.account(now, organisation).requested += run;
        self.total.requested += run;
    }

    /// Records the start of a run of about `run_ms` milliseconds.
    pub fn grant(&mut self, now: Millis, organisation: Organisation, run_ms: f64) {
        let run = run_ms * self.weight(now);
        self.account(now, organisation).granted += run;
        self.total.granted += run;
    }

    /// Records the refusal of a request that could have met its target.
    pub fn refuse_timely(&mut self, now: Millis, organisation: Organisation) {
        self.account(now, organisation).timely_refused_at = Some(now);
        self.total.timely_refused_at = Some(now);
    }

    /// Returns whether within the last `span` a request that could have met its target was refused
    /// to `organisation` or to one that was granted no more than it.
    pub fn is_contended(&self, now: Millis, organisation: Organisation, span: Millis) -> bool {
        let is_recent = |a: &Account| a.timely_refused_at.is_some_and(|at| now.since(at) < span);
        if !is_recent(&self.total) {
            return false;
        }
        let shares = self.shares(now);
        let own = shares.of(organisation);
        let mut refused = self.accounts.iter().filter(|(_, a)| is_recent(a));
        refused.any(|(other, a)| *other == organisation || shares.of_account(a) <= own)
    }

    /// Returns the granted run time of all organisations as of `now`.
    pub fn shares(&self, now: Millis) -> Shares<'_> {
        let mean = self.total.granted / self.total.requested.max(f64::MIN_POSITIVE);
        Shares {
            accounts: &self.accounts,
            unit: 1.0 / exponent(now, self.epoch).exp2(),
            min_served: MIN_SERVED * mean,
        }
    }

    /// Returns the number of organisations with an account.
    pub fn organisations(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the weight of an addition at `now`, after scaling all sums down if it is very large.
    fn weight(&mut self, now: Millis) -> f64 {
        let half_lives = exponent(now, self.epoch);
        if half_lives <= MAX_HALF_LIVES {
            return half_lives.exp2();
        }
        let factor = (-half_lives).exp2();
        for account in self.accounts.values_mut().chain([&mut self.total]) {
            account.granted *= factor;
            account.requested *= factor;
        }
        self.epoch = now;
        1.0
    }

    fn account(&mut self, now: Millis, organisation: Organisation) -> &mut Account {
        let is_full = self.accounts.len() >= MAX_ORGANISATIONS;
        if is_full && !self.accounts.contains_key(&organisation) {
            let oldest = self.accounts.iter().min_by_key(|(_, a)| a.used_at);
            if let Some(oldest) = oldest.map(|(organisation, _)| *organisation) {
                self.accounts.remove(&oldest);
            }
        }
        let account = self.accounts.entry(organisation).or_default();
        account.used_at = now;
        account
    }
}

/// Returns the time from `epoch` to `now` in half-lives.
fn exponent(now: Millis, epoch: Millis) -> f64 {
    now.since(epoch).0 as f64 / HALF_LIFE_MS
}

/// Granted run time of all organisations at one time.
#[derive(Clone, Copy, Debug)]
pub struct Shares<'a> {
    accounts: &'a BTreeMap<Organisation, Account>,
    /// Milliseconds that a sum of 1 stands for.
    unit: f64,
    /// Served part below which run time counts less.
    min_served: f64,
}

impl Shares<'_> {
    /// Returns the run time that an organisation was granted recently, in whole milliseconds. It
    /// is zero for all while there is only one.
    pub fn of(&self, organisation: Organisation) -> Millis {
        if self.accounts.len() < 2 {
            return Millis::ZERO;
        }
        let account = self.accounts.get(&organisation);
        account.map_or(Millis::ZERO, |a| self.of_account(a))
    }

    fn of_account(&self, account: &Account) -> Millis {
        let served = account.granted / account.requested.max(f64::MIN_POSITIVE);
        let factor = match served < self.min_served {
            true => (served / self.min_served)
                .powi(FACTOR_POWER)
                .max(MIN_FACTOR),
            false => 1.0,
        };
        Millis((account.granted * factor * self.unit) as u64)
    }
}

/// Predicts the shares at which the waiting requests of one class get their slots, if no more
/// requests arrive.
#[derive(Debug)]
pub struct Turns<'a> {
    shares: Shares<'a>,
    /// Organisations seen so far, with the share of the next request of each, in milliseconds.
    next: Vec<(Organisation, f64)>,
}

impl<'a> Turns<'a> {
    /// Creates a prediction that begins with the current shares.
    pub fn new(shares: Shares<'a>) -> Turns<'a> {
        Turns {
            shares,
            next: Vec::with_capacity(16),
        }
    }

    /// Returns the share of `organisation` when its next request, a run of about `run_ms`
    /// milliseconds, gets a slot.
    pub fn take(&mut self, organisation: Organisation, run_ms: f64) -> Millis {
        let known = self.next.iter_mut().find(|(o, _)| *o == organisation);
        let share = match known {
            Some((_, next)) => {
                let share = *next;
                *next += run_ms;
                share
            }
            None => {
                let share = self.shares.of(organisation).0 as f64;
                self.next.push((organisation, share + run_ms));
                share
            }
        };
        Millis(share as u64)
    }
}

/// A waiting request and what its order depends on.
#[derive(Clone, Copy, Debug)]
pub struct Turn<I, C> {
    /// Identifier, in order of arrival.
    pub id: I,
    /// Class; the smallest goes first, whatever the shares.
    pub class: C,
    /// Organisation that the request counts for.
    pub organisation: Organisation,
    /// Run time that the organisation was granted recently.
    pub share: Millis,
    /// Time by which the answer should be ready.
    pub target: Millis,
    /// Expected run time, in milliseconds.
    pub run_ms: f64,
    /// Time after which it no longer wants a slot.
    pub expires: Millis,
}

impl<I: Ord + Copy, C: Ord + Copy> Turn<I, C> {
    fn rank(&self) -> (C, Millis, Millis, I) {
        (self.class, self.share, self.target, self.id)
    }
}

/// Removes and returns the request that gets the next slot.
pub fn take_first<I: Ord + Copy, C: Ord + Copy>(turns: &mut Vec<Turn<I, C>>) -> Option<Turn<I, C>> {
    let ranked = turns.iter().enumerate();
    let (index, _) = ranked.min_by_key(|(_, turn)| turn.rank())?;
    Some(turns.remove(index))
}

/// Updates the share of an organisation in its waiting requests.
pub fn set_share<I, C>(turns: &mut [Turn<I, C>], organisation: Organisation, share: Millis) {
    let turns = turns.iter_mut();
    for turn in turns.filter(|t| t.organisation == organisation) {
        turn.share = share;
    }
}

/// Returns the requests that other organisations of their class have overtaken so far that they
/// can no longer get a slot before they expire.
///
/// `turns` are in order of arrival. `wait` predicts the wait from the number of requests ahead and
/// their total run time in milliseconds. A request that yields is not ahead of those behind it.
pub fn overtaken<I: Ord + Copy, C: Ord + Copy>(
    now: Millis,
    mut turns: Vec<Turn<I, C>>,
    wait: impl Fn(u32, f64) -> Millis,
) -> Vec<I> {
    queue_shares(&mut turns);
    turns.sort_unstable_by_key(Turn::rank);
    let (mut count, mut work) = (0, 0.0);
    let mut yielded = Vec::new();
    // First turn of the current class, and whether turns of several organisations precede.
    let mut first: Option<(C, Organisation)> = None;
    let mut is_mixed = false;
    for turn in turns {
        match first {
            Some((class, organisation)) if class == turn.class => {
                let is_behind_others = is_mixed || organisation != turn.organisation;
                if is_behind_others && now + wait(count, work) >= turn.expires {
                    yielded.push(turn.id);
                    continue;
                }
                is_mixed |= organisation != turn.organisation;
            }
            _ => (first, is_mixed) = (Some((turn.class, turn.organisation)), false),
        }
        count += 1;
        work += turn.run_ms;
    }
    yielded
}

/// Adds to each share the runs of the organisation's requests of the same class that arrived
/// earlier.
fn queue_shares<I, C: Ord + Copy>(turns: &mut [Turn<I, C>]) {
    let mut queued: Vec<(Organisation, C, f64)> = Vec::with_capacity(turns.len());
    for turn in turns {
        let is_same =
            |(o, c, _): &&mut (Organisation, C, f64)| *o == turn.organisation && *c == turn.class;
        match queued.iter_mut().find(is_same) {
            Some((_, _, work)) => {
                turn.share = turn.share + Millis(*work as u64);
                *work += turn.run_ms;
            }
            None => queued.push((turn.organisation, turn.class, turn.run_ms)),
        }
    }
}
