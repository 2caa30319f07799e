//! Sends claims to the owners of quotas and settles the requests that wait for the replies.

use super::{Inner, full_terms};
use crate::dialect::Dialect;
use crate::relay;
use crate::shared::Shared;
use crate::view::View;
use async_std::future::timeout;
use async_std::task;
use rf_base::{InstanceId, Millis, OrganisationId};
use rf_protocol::relay::{QuotaClaim, QuotaGrant, QuotaRequest, RelayReply, RelayRequest};
use rf_traffic::quota::{Decision, Lender, Settlement};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::warn;

/// Time without a reply after which a claim is given up.
const REPLY_TIMEOUT: Millis = Millis(250);

/// Why a claim got no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The owner has no address, or no connection to it was established.
    Unconnected,
    /// The connection broke or the reply is not usable.
    Broken,
    /// No reply came in time.
    Late,
    /// The other proxy does not regard itself as the owner.
    NotOwner,
}

impl Failure {
    fn as_str(self) -> &'static str {
        match self {
            Failure::Unconnected => "unconnected",
            Failure::Broken => "broken",
            Failure::Late => "late",
            Failure::NotOwner => "not-owner",
        }
    }
}

type Result<T> = std::result::Result<T, Failure>;

/// Sends the pending claims on quotas of `owner` in a task of their own, so that they are settled
/// also if the requests that wait for them are cancelled.
pub(super) fn spawn<D: Dialect>(shared: &Arc<Shared<D>>, owner: InstanceId) {
    let shared = shared.clone();
    task::spawn(async move {
        // Requests that arrive at the same time share the message.
        task::yield_now().await;
        while send_pending(&shared, owner).await {}
    });
}

/// Sends one message with all pending claims. Returns whether further claims are pending that this
/// task must send.
async fn send_pending<D: Dialect>(shared: &Arc<Shared<D>>, owner: InstanceId) -> bool {
    let (claims, address) = shared.quotas.lock().begin_message(shared.now(), owner);
    if claims.is_empty() {
        return false;
    }
    let organisations: Vec<_> = claims.iter().map(|c| c.organisation).collect();
    let reply = match address {
        Some(address) => send(shared, address, claims).await,
        None => Err(Failure::Unconnected),
    };
    let view = shared.view.load();
    let mut inner = shared.quotas.lock();
    let mut must_send = false;
    for organisation in organisations {
        let grant = match &reply {
            Ok(grants) => grants
                .iter()
                .find(|g| g.organisation == organisation)
                .ok_or(Failure::Broken),
            Err(failure) => Err(*failure),
        };
        let should_ask = inner.settle(shared, &view, owner, organisation, grant);
        must_send |= should_ask && inner.add_pending(owner, organisation);
    }
    must_send
}

async fn send<D>(
    shared: &Shared<D>,
    address: SocketAddr,
    claims: Vec<QuotaClaim>,
) -> Result<Vec<QuotaGrant>> {
    let from = shared.instance_id;
    let request = RelayRequest::Quota(Box::new(QuotaRequest { from, claims }));
    let sending = relay::send(shared, address, &request);
    let result = match timeout(REPLY_TIMEOUT.duration(), sending).await {
        Ok(Ok((RelayReply::Quota(reply), bytes))) => {
            let is_near = shared.view.load().zone_peers.contains(&address);
            shared.metrics.count_bytes("quota", is_near, bytes);
            Ok(reply.grants)
        }
        Ok(Err(relay::RelayError::Unconnected { .. })) => Err(Failure::Unconnected),
        Ok(_) => Err(Failure::Broken),
        Err(_) => Err(Failure::Late),
    };
    if result.is_err() {
        shared.peer_pool.evict(address);
    }
    let label = result.as_ref().map_or_else(|f| f.as_str(), |_| "answered");
    let messages = &shared.metrics.quota_messages;
    messages.with_label_values(&[label]).inc();
    result
}

impl Inner {
    /// Returns the pending claims on quotas of `owner` and its address.
    fn begin_message(
        &mut self,
        now: Millis,
        owner: InstanceId,
    ) -> (Vec<QuotaClaim>, Option<SocketAddr>) {
        let organisations = self.pending.remove(&owner).unwrap_or_default();
        let borrower = &mut self.borrower;
        let claims = organisations
            .into_iter()
            .filter_map(|organisation| borrower.ask(now, organisation, owner));
        (claims.collect(), self.peers.get(&owner).copied())
    }

    /// Applies the reply to a claim, or its absence, and passes the decisions on to the requests that
    /// wait. Returns whether a further claim must be sent.
    fn settle<D>(
        &mut self,
        shared: &Shared<D>,
        view: &View,
        owner: InstanceId,
        organisation: OrganisationId,
        grant: Result<&QuotaGrant>,
    ) -> bool {
        let now = shared.now();
        let quota = view.quotas.get(&organisation).map(|o| o.1);
        let lender = Lender {
            owner,
            // An organisation whose quota was removed meanwhile has no terms; its waiting requests are
            // decided by the tokens that were granted.
            terms: full_terms(shared, &quota.unwrap_or_default()),
            known: view.known_proxies,
        };
        let (settlement, failure) = match grant {
            Ok(grant) => {
                let failure = (!grant.is_owner).then_some(Failure::NotOwner);
                (self.borrower.receive(now, grant, &lender), failure)
            }
            Err(failure) => {
                let settlement = self.borrower.fail(now, organisation, &lender);
                (settlement, Some(failure))
            }
        };
        if let Some(failure) = failure.filter(|_| settlement.began_fallback) {
            let reason = failure.as_str();
            let name = view.quotas.get(&organisation).map(|o| o.0.as_str());
            let organisation = name.unwrap_or_default();
            warn!(event = "quota.fallback", organisation, %owner, reason);
        }
        self.deliver(now, organisation, settlement)
    }

    fn deliver(
        &mut self,
        now: Millis,
        organisation: OrganisationId,
        settlement: Settlement,
    ) -> bool {
        for decision in settlement.decisions {
            let waiters = self.waiters.get_mut(&organisation);
            let Some(waiter) = waiters.and_then(|w| w.pop_front()) else {
                continue;
            };
            let is_gone = waiter.try_send(decision).is_err();
            if is_gone && decision == Decision::Granted {
                // The caller has left or its time ran out; the token serves the next request.
                self.borrower.put_back(now, organisation);
            }
        }
        settlement.should_ask
    }
}
