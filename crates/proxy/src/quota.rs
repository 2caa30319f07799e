//! Quotas of organisations over all proxies: the I/O around [`rf_traffic::quota`].
//!
//! Load pattern: requests of an organisation enter at any number of proxies. A request that has no
//! token waits for one message to the owner, which it shares with all requests that wait for the same
//! owner ([`claims`]).

mod claims;
mod refusals;

use crate::control::quotas::Peers;
use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::view::View;
use async_channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use refusals::RefusalLog;
use rf_base::{InstanceId, Millis, OrganisationId, SeededRandom};
use rf_config::Quota;
use rf_membership::overlay::highest_ranked;
use rf_protocol::relay::{QuotaClaim, QuotaGrant, QuotaReply, QuotaRequest};
use rf_traffic::quota::{Decision, Lender, QuotaBorrower, QuotaOwner, QuotaSettings, QuotaTerms};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::{info, warn};

/// Longest time for which a request waits for the owner. Its claim is given up after 250 ms; the rest
/// is for the scheduling of tasks on a busy processor.
const MAX_WAIT: Millis = Millis(400);
/// Retry delay given to a caller whose request ran out of time while it waited for the owner.
const LATE_RETRY: Millis = Millis(300);
/// Bounds of the jitter added to the time until there is room.
const MIN_JITTER: u64 = 20;
const MAX_JITTER: u64 = 1000;
/// Interval at which the state of organisations without requests is removed.
const PRUNE_INTERVAL: Millis = Millis(1000);

/// Decision on a request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may start; carries the token that it took, if its organisation has a quota.
    Admitted(Option<QuotaToken>),
    /// The quota is used up; there is room after this time.
    Refused(Millis),
}

/// Token that a request took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken(OrganisationId);

/// State of the quotas at one proxy.
#[derive(Debug)]
pub struct Quotas(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    me: InstanceId,
    borrower: QuotaBorrower,
    owner: QuotaOwner,
    /// Proxies for which `owners` was computed.
    peers: Arc<Peers>,
    owners: BTreeMap<OrganisationId, InstanceId>,
    waiters: BTreeMap<OrganisationId, VecDeque<Sender<Decision>>>,
    /// Organisations for which a claim is to be sent, by owner.
    pending: BTreeMap<InstanceId, BTreeSet<OrganisationId>>,
    refusals: RefusalLog,
    next_prune: Millis,
}

/// How a request goes on.
enum Step {
    Decided(Decision),
    Waits(Receiver<Decision>),
}

impl Quotas {
    /// Creates the state of the proxy `me`, whose process starts at `now`.
    pub fn new(me: InstanceId, now: Millis, random: SeededRandom) -> Quotas {
        Quotas(Mutex::new(Inner {
            me,
            borrower: QuotaBorrower::new(random),
            owner: QuotaOwner::new(now),
            peers: Arc::default(),
            owners: BTreeMap::new(),
            waiters: BTreeMap::new(),
            pending: BTreeMap::new(),
            refusals: RefusalLog::default(),
            next_prune: Millis::ZERO,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decides whether a request of `organisation` may start. Only requests of an organisation with a
/// quota are counted; others are admitted at once.
pub async fn admit<D: Dialect>(
    shared: &Arc<Shared<D>>,
    view: &View,
    organisation: Option<OrganisationId>,
    now: Millis,
    deadline: Millis,
) -> QuotaDecision {
    let Some(organisation) = organisation else {
        return QuotaDecision::Admitted(None);
    };
    let Some((_, quota)) = view.quotas.get(&organisation) else {
        return QuotaDecision::Admitted(None);
    };
    let (step, owner) = shared
        .quotas
        .lock()
        .request(shared, view, organisation, quota, now);
    if let Some(owner) = owner {
        claims::spawn(shared, owner);
    }
    let (decision, label) = match step {
        Step::Decided(decision) => (decision, "local"),
        Step::Waits(receiver) => {
            let limit = deadline.since(now).min(MAX_WAIT);
            match timeout(limit.duration(), receiver.recv()).await {
                Ok(Ok(decision)) => (decision, "asked"),
                _ => (Decision::Refused(LATE_RETRY), "asked"),
            }
        }
    };
    conclude(shared, view, organisation, decision, label)
}

fn conclude<D: Dialect>(
    shared: &Shared<D>,
    view: &View,
    organisation: OrganisationId,
    decision: Decision,
    label: &str,
) -> QuotaDecision {
    let count = |label: &str| shared.metrics.quota.with_label_values(&[label]).inc();
    match decision {
        Decision::Granted => count(label),
        Decision::GrantedByFallback => count("fallback"),
        Decision::Refused(wait) => {
            count("refused");
            log_refusal(shared, view, organisation, wait);
            let jitter = (wait.0 / 4).clamp(MIN_JITTER, MAX_JITTER);
            return QuotaDecision::Refused(wait + shared.jitter(Millis(jitter)));
        }
        Decision::Waits => {
            // A request that waits is settled by its claim, never left waiting.
            warn!(event = "quota.unsettled", %organisation);
            return QuotaDecision::Refused(LATE_RETRY);
        }
    }
    QuotaDecision::Admitted(Some(QuotaToken(organisation)))
}

fn log_refusal<D>(shared: &Shared<D>, view: &View, organisation: OrganisationId, wait: Millis) {
    let now = shared.now();
    let refused = shared.quotas.lock().refusals.count(now, organisation);
    let name = view.quotas.get(&organisation).map(|o| o.0.as_str());
    if let Some(refused) = refused {
        let organisation = name.unwrap_or_default();
        info!(
            event = "quota.exhausted",
            organisation,
            wait = wait.0,
            refused
        );
    }
}

/// Takes back the token of a request that did not run, for the next request.
pub fn put_back<D>(shared: &Shared<D>, view: &View, token: Option<QuotaToken>) {
    let Some(QuotaToken(organisation)) = token else {
        return;
    };
    let Some((_, quota)) = view.quotas.get(&organisation) else {
        return;
    };
    let now = shared.now();
    let mut inner = shared.quotas.lock();
    inner.follow_members(now, view);
    match inner.owner_of(organisation) == inner.me {
        true => {
            let terms = owner_terms(shared, view, quota);
            inner.owner.put_back(organisation, &terms);
        }
        false => inner.borrower.put_back(now, organisation),
    }
}

/// Answers the claims of another proxy on the quotas that this proxy owns.
pub fn answer<D>(shared: &Shared<D>, request: &QuotaRequest) -> QuotaReply {
    let view = shared.view.load();
    let now = shared.now();
    let mut inner = shared.quotas.lock();
    inner.follow_members(now, &view);
    inner.prune(now);
    let answer = |claim| inner.answer(shared, &view, request.from, claim, now);
    let grants = request.claims.iter().map(answer).collect();
    shared.metrics.quota_owned.set(inner.owner.len() as i64);
    QuotaReply { grants }
}

/// Returns the terms of the whole quota.
fn full_terms<D>(shared: &Shared<D>, quota: &Quota) -> QuotaTerms {
    let settings = QuotaSettings::from(&shared.settings.load().bounds);
    QuotaTerms::spread(quota, &settings)
}

/// Returns the terms of the part of the quota for the reachable proxies.
fn owner_terms<D>(shared: &Shared<D>, view: &View, quota: &Quota) -> QuotaTerms {
    full_terms(shared, quota).scaled(view.proxies.max(1), view.known_proxies.max(1))
}

impl Inner {
    /// Decides on a request, or lets it wait. Also returns the owner to send claims to, if that is not
    /// under way.
    fn request<D>(
        &mut self,
        shared: &Shared<D>,
        view: &View,
        organisation: OrganisationId,
        quota: &Quota,
        now: Millis,
    ) -> (Step, Option<InstanceId>) {
        self.follow_members(now, view);
        self.prune(now);
        let owner = self.owner_of(organisation);
        if owner == self.me {
            let terms = owner_terms(shared, view, quota);
            let decision = self.take_owned(shared, view, organisation, &terms, now);
            return (Step::Decided(decision), None);
        }
        let lender = Lender {
            owner,
            terms: full_terms(shared, quota),
            known: view.known_proxies,
        };
        let request = self.borrower.request(now, organisation, &lender);
        let step = match request.decision {
            Decision::Waits => {
                let (sender, receiver) = bounded(1);
                self.waiters
                    .entry(organisation)
                    .or_default()
                    .push_back(sender);
                Step::Waits(receiver)
            }
            decision => Step::Decided(decision),
        };
        let must_send = request.should_ask && self.add_pending(owner, organisation);
        (step, must_send.then_some(owner))
    }

    /// Adds an organisation to the next message to `owner`. Returns whether its sending must be started.
    fn add_pending(&mut self, owner: InstanceId, organisation: OrganisationId) -> bool {
        let is_new = !self.pending.contains_key(&owner);
        self.pending.entry(owner).or_default().insert(organisation);
        is_new
    }

    fn take_owned<D>(
        &mut self,
        shared: &Shared<D>,
        view: &View,
        organisation: OrganisationId,
        terms: &QuotaTerms,
        now: Millis,
    ) -> Decision {
        let is_known = self.owner.contains(organisation);
        let taken = self.owner.take(now, organisation, terms);
        self.note_owned(shared, view, organisation, is_known);
        match taken {
            Ok(()) => Decision::Granted,
            Err(wait) => Decision::Refused(wait),
        }
    }

    fn answer<D>(
        &mut self,
        shared: &Shared<D>,
        view: &View,
        borrower: InstanceId,
        claim: &QuotaClaim,
        now: Millis,
    ) -> QuotaGrant {
        let organisation = claim.organisation;
        // Ids that are not in the table must not fill the map of owners.
        let owned = view.quotas.get(&organisation);
        let owned = owned.filter(|_| self.owner_of(organisation) == self.me);
        let Some((_, quota)) = owned else {
            return QuotaGrant {
                organisation,
                tokens: 0,
                lifetime: Millis::ZERO,
                wait: Millis::ZERO,
                is_owner: false,
            };
        };
        let terms = owner_terms(shared, view, quota);
        let is_known = self.owner.contains(organisation);
        let grant = self.owner.claim(now, borrower, claim, &terms);
        self.note_owned(shared, view, organisation, is_known);
        grant
    }

    /// Logs that this proxy got the first claim on an organisation that it owns.
    fn note_owned<D>(
        &self,
        shared: &Shared<D>,
        view: &View,
        organisation: OrganisationId,
        is_known: bool,
    ) {
        if is_known || !self.owner.contains(organisation) {
            return;
        }
        let name = view.quotas.get(&organisation).map(|o| o.0.as_str());
        let organisation = name.unwrap_or_default();
        info!(event = "quota.owner", organisation);
        shared.metrics.quota_owned.set(self.owner.len() as i64);
    }

    /// Adopts the membership of `view`.
    fn follow_members(&mut self, now: Millis, view: &View) {
        if Arc::ptr_eq(&self.peers, &view.peers) {
            return;
        }
        let is_changed = !self.peers.keys().eq(view.peers.keys());
        self.peers = view.peers.clone();
        if !is_changed {
            return;
        }
        self.owners.clear();
        let (me, peers) = (self.me, self.peers.clone());
        self.owner.change_members(now, |organisation| {
            rank_owner(&peers, organisation, me) == me
        });
    }

    /// Returns the owner of an organisation, which is computed once for each membership.
    fn owner_of(&mut self, organisation: OrganisationId) -> InstanceId {
        let (peers, me) = (&self.peers, self.me);
        let rank = || rank_owner(peers, organisation, me);
        *self.owners.entry(organisation).or_insert_with(rank)
    }

    fn prune(&mut self, now: Millis) {
        if now < self.next_prune {
            return;
        }
        self.next_prune = now + PRUNE_INTERVAL;
        self.borrower.prune(now);
        self.owner.prune(now);
        self.refusals.prune(now);
        self.waiters.retain(|_, waiters| !waiters.is_empty());
    }
}

/// Returns the proxy that ranks highest for an organisation; `me` if none is known.
fn rank_owner(peers: &Peers, organisation: OrganisationId, me: InstanceId) -> InstanceId {
    let ranked = highest_ranked(organisation.0, peers.keys().copied(), 1);
    ranked.first().copied().unwrap_or(me)
}
