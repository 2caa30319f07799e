//! Static part of a quota that a proxy grants while no owner replies.

use super::terms::QuotaTerms;
use rf_base::{InstanceId, Millis, SeededRandom};

/// Time without fallback after which it starts with its full start again. It is longer than a
/// window, so that repeated failures do not grant the start several times in one.
const RESTART_TIME: Millis = Millis::from_secs(10);
/// Time between two claims sent to an owner that did not reply.
const RETRY_INTERVAL: Millis = Millis(500);
/// Additional parts of the quota that are left to the owner. It may be alive and serve the callers of
/// its own proxy from the whole bucket; without this and [`LATE_FRACTION`], 14 proxies at five times the
/// quota exceeded the margin (178 of 140) while half of the replies were lost.
const OWNER_PARTS: f64 = 1.0;
/// Time after which membership would have named another owner if the silent one had ended.
const DETECTION_TIME: Millis = Millis(2000);
/// Fraction of the part that accrues from then on: the owner is alive and serves some proxies.
const LATE_FRACTION: f64 = 0.5;
/// Time worth of requests, in seconds, that is repaid at most. An owner whose replies are lost for
/// longer has lent tokens in vain itself.
const MAX_DEBT_SECONDS: f64 = 1.0;

/// Local bucket of one organisation, which accrues tokens only while no owner replies.
///
/// A fraction of a token is granted with that probability: with more proxies than tokens per second,
/// no proxy alone would ever have a whole token.
#[derive(Clone, Debug, Default)]
pub struct Fallback {
    tokens: f64,
    updated: Millis,
    began: Millis,
    ended: Option<Millis>,
    /// Owner that does not reply, while the fallback is in use.
    silent: Option<InstanceId>,
    /// Owner that the fallback was last used for, with the number of requests granted meanwhile.
    debt: Option<(InstanceId, u32)>,
    retry: Millis,
}

impl Fallback {
    /// Returns whether the fallback is in use because `owner` does not reply.
    pub fn is_active(&self, owner: InstanceId) -> bool {
        self.silent == Some(owner)
    }

    /// Returns whether the owner should be asked again.
    pub fn should_retry(&self, now: Millis) -> bool {
        now >= self.retry
    }

    /// Starts or continues the fallback after `owner` has not replied to a claim sent at `asked`.
    /// Returns whether it was not in use before.
    pub fn begin(
        &mut self,
        now: Millis,
        asked: Millis,
        owner: InstanceId,
        terms: &QuotaTerms,
        known: usize,
    ) -> bool {
        self.retry = now + RETRY_INTERVAL;
        if self.silent.replace(owner).is_some() {
            return false;
        }
        if self.debt.is_none_or(|(creditor, _)| creditor != owner) {
            self.debt = Some((owner, 0));
        }
        if self
            .ended
            .is_none_or(|ended| now.since(ended) >= RESTART_TIME)
        {
            self.tokens = terms.fallback_start(known);
        }
        self.updated = asked.max(self.ended.unwrap_or_default());
        // Failures that alternate with replies are one failure of the owner.
        if self
            .ended
            .is_none_or(|ended| now.since(ended) >= DETECTION_TIME)
        {
            self.began = now;
        }
        true
    }

    /// Ends the fallback, as an owner has replied or another owner is known.
    pub fn end(&mut self, now: Millis) {
        if self.silent.take().is_some() {
            self.ended = Some(now);
        }
    }

    /// Returns the number of tokens to repay to `owner`.
    ///
    /// An owner that missed only this proxy's claims has lent the whole quota to others. Requests that
    /// the fallback granted meanwhile are therefore paid for with tokens that it lends later; another
    /// owner, which starts with few tokens, is owed nothing.
    pub fn debt(&self, owner: InstanceId) -> u32 {
        self.debt.filter(|d| d.0 == owner).map_or(0, |d| d.1)
    }

    /// Repays up to `tokens` to `owner` and returns how many.
    pub fn repay(&mut self, owner: InstanceId, tokens: u32) -> u32 {
        let paid = self.debt(owner).min(tokens);
        if let Some((_, debt)) = &mut self.debt {
            *debt -= paid;
        }
        paid
    }

    /// Decides on one request with this proxy's part of the quota, one of `known`.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket has a token if the request is refused.
    pub fn take(
        &mut self,
        now: Millis,
        terms: &QuotaTerms,
        known: usize,
        random: &mut SeededRandom,
    ) -> Result<(), Millis> {
        let part = known as f64 + OWNER_PARTS;
        let rate = terms.rate / part;
        let fraction = match now.since(self.began) < DETECTION_TIME {
            true => 1.0,
            false => LATE_FRACTION,
        };
        let accrued = fraction * terms.accrued(now.since(self.updated)) / part;
        self.updated = self.updated.max(now);
        let limit = terms.fallback_start(known).max(rate);
        self.tokens = (self.tokens + accrued).min(limit);
        let spent = self.tokens.min(1.0);
        self.tokens -= spent;
        if spent < 1.0 && random.fraction() >= spent {
            return Err(terms.time_for(known as f64));
        }
        let limit = (rate * MAX_DEBT_SECONDS).ceil() as u32;
        if let Some((_, debt)) = &mut self.debt {
            *debt = limit.min(*debt + 1);
        }
        Ok(())
    }
}
