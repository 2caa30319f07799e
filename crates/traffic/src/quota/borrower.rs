//! Tokens that a proxy has borrowed from the owners of organisations.
//!
//! A request takes a token that is held. Otherwise it waits for the reply of the owner, together
//! with all other requests of its organisation. A proxy that was refused does not ask again for a
//! short time, in which it refuses at once: with a claim for each request, an organisation at five
//! times its quota would load its owner in proportion to its excess.

use super::fallback::Fallback;
use super::spending::Spending;
use super::terms::QuotaTerms;
use rf_base::{InstanceId, Millis, OrganisationId, SeededRandom};
use rf_protocol::relay::{QuotaClaim, QuotaGrant};
use std::collections::BTreeMap;

/// Maximum number of tokens that are asked for at once.
const MAX_WANTED: u32 = 64;
/// Smallest lease that is renewed before it is spent. Below, renewing costs about one message for
/// each token and saves one round trip.
const MIN_RENEWED: u32 = 8;
/// Shortest and longest time without a claim after a refusal. Tokens that accrue meanwhile stay in
/// the owner's bucket.
const MIN_BLOCK: Millis = Millis(50);
const MAX_BLOCK: Millis = Millis(250);
/// Time for which a token is kept whose request did not run.
const RETURNED_LIFETIME: Millis = Millis(250);
/// Time without requests after which the state of an organisation is removed.
const ACCOUNT_IDLE: Millis = Millis::from_secs(30);

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A borrowed token was taken.
    Granted,
    /// The fallback granted it.
    GrantedByFallback,
    /// The quota is used up; there is room for the request after this time.
    Refused(Millis),
    /// The request waits for the reply of the owner.
    Waits,
}

/// Result of [`QuotaBorrower::request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Decision on the request.
    pub decision: Decision,
    /// Whether a claim must be sent to the owner.
    pub should_ask: bool,
}

/// Result of a reply or of its absence, for the waiting requests of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Decisions on the requests that have waited longest, in the order of their arrival.
    pub decisions: Vec<Decision>,
    /// Whether a claim must be sent for the remaining ones.
    pub should_ask: bool,
    /// Whether the fallback came into use.
    pub began_fallback: bool,
}

/// Owner of an organisation as this proxy sees it, with the terms of the quota.
#[derive(Clone, Copy, Debug)]
pub struct Lender {
    /// Proxy that owns the organisation.
    pub owner: InstanceId,
    /// Terms of the whole quota.
    pub terms: QuotaTerms,
    /// Number of known proxies, unreachable ones included.
    pub known: usize,
}

/// Claim without a reply yet.
#[derive(Clone, Copy, Debug)]
struct Ask {
    sent: Millis,
    /// Tokens stated as unspent that were spent since.
    spent: u32,
}

/// Time in which requests are refused without a claim.
#[derive(Clone, Copy, Debug)]
struct Block {
    until: Millis,
    /// Time at which the owner expects a token for the request that it refused.
    room: Millis,
    refused: u32,
}

/// State of one organisation.
#[derive(Clone, Debug, Default)]
struct Account {
    tokens: u32,
    lease: u32,
    expires: Millis,
    spending: Spending,
    ask: Option<Ask>,
    waiting: u32,
    block: Option<Block>,
    fallback: Fallback,
    used: Millis,
}

/// Decides on requests with borrowed tokens.
#[derive(Clone, Debug)]
pub struct QuotaBorrower {
    accounts: BTreeMap<OrganisationId, Account>,
    random: SeededRandom,
}

impl QuotaBorrower {
    /// Creates a borrower without tokens.
    pub fn new(random: SeededRandom) -> QuotaBorrower {
        QuotaBorrower {
            accounts: BTreeMap::new(),
            random,
        }
    }

    /// Decides on a request.
    pub fn request(
        &mut self,
        now: Millis,
        organisation: OrganisationId,
        lender: &Lender,
    ) -> Request {
        let account = self.accounts.entry(organisation).or_default();
        account.request(now, lender, &mut self.random)
    }

    /// Creates the claim to send to the owner, or `None` if one is under way.
    pub fn ask(
        &mut self,
        now: Millis,
        organisation: OrganisationId,
        owner: InstanceId,
    ) -> Option<QuotaClaim> {
        let account = self.accounts.get_mut(&organisation)?;
        if account.ask.is_some() {
            return None;
        }
        account.drop_expired(now);
        account.ask = Some(Ask {
            sent: now,
            spent: 0,
        });
        let spent = account.spending.in_last_second(now);
        let needed = account.waiting.max(spent).max(1);
        let debt = account.fallback.debt(owner);
        let wanted = needed.saturating_add(debt).min(MAX_WANTED);
        Some(QuotaClaim {
            organisation,
            wanted: wanted.max(account.tokens),
            unspent: account.tokens,
        })
    }

    /// Processes the owner's reply to the claim that is under way. A reply that comes after the claim
    /// was given up has no effect.
    pub fn receive(&mut self, now: Millis, grant: &QuotaGrant, lender: &Lender) -> Settlement {
        let Some(account) = self.accounts.get_mut(&grant.organisation) else {
            return Settlement::default();
        };
        match grant.is_owner {
            true => account.receive(now, grant, lender),
            false => account.fail(now, lender, &mut self.random),
        }
    }

    /// Gives up the claim that is under way: no reply came in time, or it cannot be sent.
    pub fn fail(
        &mut self,
        now: Millis,
        organisation: OrganisationId,
        lender: &Lender,
    ) -> Settlement {
        match self.accounts.get_mut(&organisation) {
            Some(account) => account.fail(now, lender, &mut self.random),
            None => Settlement::default(),
        }
    }

    /// Takes back a token whose request did not run, for the next request.
    pub fn put_back(&mut self, now: Millis, organisation: OrganisationId) {
        let account = self.accounts.entry(organisation).or_default();
        account.drop_expired(now);
        if account.tokens == 0 {
            account.expires = now + RETURNED_LIFETIME;
        }
        account.tokens += 1;
        account.used = now;
        // The token counts as unspent again in the accounts of a claim that is under way.
        if let Some(ask) = &mut account.ask {
            ask.spent = ask.spent.saturating_sub(1);
        }
    }

    /// Removes the state of organisations without recent requests.
    pub fn prune(&mut self, now: Millis) {
        self.accounts
            .retain(|_, a| a.waiting > 0 || now.since(a.used) < ACCOUNT_IDLE);
    }
}

impl Account {
    fn request(&mut self, now: Millis, lender: &Lender, random: &mut SeededRandom) -> Request {
        self.used = now;
        self.drop_expired(now);
        if self.tokens > 0 {
            self.spend(now);
            let is_half_spent = self.lease >= MIN_RENEWED && self.tokens * 2 <= self.lease;
            let is_silent = self.fallback.is_active(lender.owner);
            return Request {
                decision: Decision::Granted,
                should_ask: is_half_spent && self.may_ask(now) && !is_silent,
            };
        }
        if let Some(wait) = self.blocked(now, &lender.terms) {
            return Request {
                decision: Decision::Refused(wait),
                should_ask: false,
            };
        }
        if self.fallback.is_active(lender.owner) {
            return Request {
                decision: self.fall_back(now, lender, random),
                should_ask: self.ask.is_none() && self.fallback.should_retry(now),
            };
        }
        self.fallback.end(now);
        self.waiting += 1;
        Request {
            decision: Decision::Waits,
            should_ask: self.ask.is_none(),
        }
    }

    fn receive(&mut self, now: Millis, grant: &QuotaGrant, lender: &Lender) -> Settlement {
        let Some(ask) = self.ask.take() else {
            return Settlement::default();
        };
        self.fallback.end(now);
        self.tokens = grant.tokens.saturating_sub(ask.spent);
        let spare = self.tokens.saturating_sub(self.waiting);
        let payable = spare.max(self.tokens.div_ceil(2));
        self.tokens -= self.fallback.repay(lender.owner, payable);
        self.lease = grant.tokens;
        // Counted from the claim, so that the tokens are void here before they are at the owner.
        self.expires = ask.sent + grant.lifetime;
        self.drop_expired(now);
        let mut settlement = Settlement::default();
        while self.waiting > 0 && self.tokens > 0 {
            self.waiting -= 1;
            self.spend(now);
            settlement.decisions.push(Decision::Granted);
        }
        let is_exhausted = grant.wait > Millis::ZERO && self.tokens == 0;
        if is_exhausted && (self.waiting > 0 || grant.tokens == 0) {
            self.block = Some(Block {
                until: now + grant.wait.clamp(MIN_BLOCK, MAX_BLOCK),
                room: now + grant.wait,
                refused: 0,
            });
            let waiting = std::mem::take(&mut self.waiting);
            for _ in 0..waiting {
                let wait = self.blocked(now, &lender.terms).unwrap_or(grant.wait);
                settlement.decisions.push(Decision::Refused(wait));
            }
        }
        settlement.should_ask = self.waiting > 0;
        settlement
    }

    fn fail(&mut self, now: Millis, lender: &Lender, random: &mut SeededRandom) -> Settlement {
        let asked = self.ask.take().map_or(now, |ask| ask.sent);
        let (owner, terms, known) = (lender.owner, &lender.terms, lender.known);
        let began_fallback = self.fallback.begin(now, asked, owner, terms, known);
        let waiting = std::mem::take(&mut self.waiting);
        Settlement {
            decisions: (0..waiting)
                .map(|_| self.fall_back(now, lender, random))
                .collect(),
            should_ask: false,
            began_fallback,
        }
    }

    fn fall_back(&mut self, now: Millis, lender: &Lender, random: &mut SeededRandom) -> Decision {
        let taken = self.fallback.take(now, &lender.terms, lender.known, random);
        match taken {
            Ok(()) => Decision::GrantedByFallback,
            Err(wait) => Decision::Refused(wait),
        }
    }

    fn spend(&mut self, now: Millis) {
        self.tokens -= 1;
        self.spending.record(now);
        if let Some(ask) = &mut self.ask {
            ask.spent += 1;
        }
    }

    /// Returns the wait of a further refused request while no claim may be sent.
    fn blocked(&mut self, now: Millis, terms: &QuotaTerms) -> Option<Millis> {
        let block = self.block.as_mut().filter(|b| now < b.until)?;
        let wait = block.room.since(now) + terms.time_for(f64::from(block.refused));
        block.refused += 1;
        Some(wait)
    }

    fn may_ask(&self, now: Millis) -> bool {
        self.ask.is_none() && self.block.is_none_or(|b| now >= b.until)
    }

    fn drop_expired(&mut self, now: Millis) {
        if now >= self.expires {
            self.tokens = 0;
        }
    }
}
