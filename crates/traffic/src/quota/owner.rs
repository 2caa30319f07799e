//! Token buckets of the organisations that a proxy owns.

use super::lease::Leases;
use super::terms::QuotaTerms;
use rf_base::{InstanceId, Millis, OrganisationId};
use rf_protocol::relay::{QuotaClaim, QuotaGrant};
use std::collections::BTreeMap;

/// Time after which a borrower no longer spends the tokens of a lease.
const LEASE_LIFETIME: Millis = Millis(1000);
/// Time without claims after which the bucket of an organisation is removed.
const BUCKET_IDLE: Millis = Millis::from_secs(30);
/// Maximum number of buckets.
const MAX_BUCKETS: usize = 20_000;
/// Time after a change of membership in which other proxies may still use an earlier owner or the
/// fallback.
const CHANGE_TIME: Millis = Millis(2000);
/// Time after which the first bucket of a new owner accrues tokens. Proxies see a change of
/// membership within about 300 ms of each other and use the fallback until then.
const ACCRUAL_DELAY: Millis = Millis(150);
/// Time worth of refused requests, in seconds, that later waits account for.
const MAX_TOLD_SECONDS: f64 = 30.0;

/// Bucket of one organisation.
#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    /// Refused requests that were told a time that has not passed yet.
    told: f64,
    updated: Millis,
    claimed: Millis,
    leases: Leases,
}

/// Lends the tokens of the organisations that this proxy owns.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    buckets: BTreeMap<OrganisationId, Bucket>,
    /// Time since which no other proxy can have owned an organisation that this proxy owns now.
    since: Millis,
}

impl QuotaOwner {
    /// Creates an owner that knows of no earlier lease; `now` is the start of the process.
    pub fn new(now: Millis) -> QuotaOwner {
        QuotaOwner {
            buckets: BTreeMap::new(),
            since: now,
        }
    }

    /// Returns the number of organisations with recent claims.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no organisation has recent claims.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns whether an organisation has recent claims.
    pub fn contains(&self, organisation: OrganisationId) -> bool {
        self.buckets.contains_key(&organisation)
    }

    /// Applies a change of membership: removes the buckets of organisations for which `is_owned` does
    /// not hold. Buckets that are created later start as those of a new owner.
    pub fn change_members(&mut self, now: Millis, is_owned: impl Fn(OrganisationId) -> bool) {
        self.buckets
            .retain(|organisation, _| is_owned(*organisation));
        self.since = now;
    }

    /// Removes the buckets of organisations without recent claims.
    pub fn prune(&mut self, now: Millis) {
        self.buckets
            .retain(|_, bucket| now.since(bucket.claimed) < BUCKET_IDLE);
    }

    /// Takes one token for a request that entered at the owner itself.
    ///
    /// # Errors
    ///
    /// Returns the time until there is a token for the request if the quota is used up.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: OrganisationId,
        terms: &QuotaTerms,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.bucket(now, organisation, terms) else {
            return Err(terms.time_for(1.0));
        };
        match bucket.tokens >= 1.0 {
            true => {
                bucket.tokens -= 1.0;
                Ok(())
            }
            false => Err(bucket.refuse(terms)),
        }
    }

    /// Puts back a token whose request did not run.
    pub fn put_back(&mut self, organisation: OrganisationId, terms: &QuotaTerms) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.tokens = (bucket.tokens + 1.0).min(terms.capacity());
        }
    }

    /// Answers the claim of another proxy. The caller must have checked that this proxy is the owner.
    ///
    /// Tokens that the borrower states as unspent are part of the grant if it wants any, and go back
    /// to the bucket otherwise. The borrower may therefore spend them while it waits for the grant.
    pub fn claim(
        &mut self,
        now: Millis,
        borrower: InstanceId,
        claim: &QuotaClaim,
        terms: &QuotaTerms,
    ) -> QuotaGrant {
        let refused = QuotaGrant {
            organisation: claim.organisation,
            tokens: 0,
            lifetime: LEASE_LIFETIME,
            wait: terms.time_for(1.0),
            is_owner: true,
        };
        let Some(bucket) = self.bucket(now, claim.organisation, terms) else {
            return refused;
        };
        let lent = bucket.leases.remove(borrower);
        let kept = lent.min(claim.unspent);
        // Leases may be out for more than the bucket holds, so the tokens kept are not cut to its
        // size before they are lent again.
        bucket.tokens += f64::from(kept);
        let room = terms.max_lent() - f64::from(bucket.leases.total());
        let limit = (room.max(0.0) as u32).max(kept).max(1);
        let tokens = claim.wanted.min(limit).min(bucket.tokens as u32);
        bucket.tokens -= f64::from(tokens);
        bucket.tokens = bucket.tokens.min(terms.capacity());
        bucket.leases.insert(borrower, tokens, now + LEASE_LIFETIME);
        let is_exhausted = tokens < claim.wanted.min(limit);
        let wait = match (is_exhausted, tokens) {
            (false, _) => Millis::ZERO,
            (true, 0) => bucket.refuse(terms),
            (true, _) => bucket.wait(terms),
        };
        QuotaGrant {
            tokens,
            wait,
            ..refused
        }
    }

    /// Returns the bucket of an organisation at `now`, or `None` if there is no room for it.
    fn bucket(
        &mut self,
        now: Millis,
        organisation: OrganisationId,
        terms: &QuotaTerms,
    ) -> Option<&mut Bucket> {
        if !self.buckets.contains_key(&organisation) {
            if self.buckets.len() >= MAX_BUCKETS {
                self.prune(now);
            }
            if self.buckets.len() >= MAX_BUCKETS {
                return None;
            }
            let bucket = Bucket::new(now, now.since(self.since), terms);
            self.buckets.insert(organisation, bucket);
        }
        let bucket = self.buckets.get_mut(&organisation)?;
        bucket.advance(now, terms);
        Some(bucket)
    }
}

impl Bucket {
    /// Creates the bucket of an organisation that was owned for the time `owned`. Before the first
    /// claim of a new owner, others may have lent tokens or used the fallback.
    fn new(now: Millis, owned: Millis, terms: &QuotaTerms) -> Bucket {
        let (accrued, delay) = match owned < CHANGE_TIME {
            true => (0.0, ACCRUAL_DELAY),
            false => (terms.accrued(owned - CHANGE_TIME), Millis::ZERO),
        };
        Bucket {
            tokens: (terms.start() + accrued).min(terms.capacity()),
            told: 0.0,
            updated: now + delay,
            claimed: now,
            leases: Leases::default(),
        }
    }

    /// Adds the tokens that have accrued. A bucket beyond its size, after the quota was lowered, is
    /// cut.
    fn advance(&mut self, now: Millis, terms: &QuotaTerms) {
        let accrued = terms.accrued(now.since(self.updated));
        self.updated = self.updated.max(now);
        self.claimed = now;
        self.tokens = (self.tokens + accrued).min(terms.capacity());
        self.told = (self.told - accrued).clamp(0.0, terms.rate * MAX_TOLD_SECONDS);
        self.leases.expire(now);
    }

    /// Returns the time until there is a token behind all requests that were told a time.
    fn wait(&self, terms: &QuotaTerms) -> Millis {
        terms.time_for(1.0 + self.told - self.tokens)
    }

    /// Counts a refused request and returns the wait that it is told.
    fn refuse(&mut self, terms: &QuotaTerms) -> Millis {
        let wait = self.wait(terms);
        self.told += 1.0;
        wait
    }
}
