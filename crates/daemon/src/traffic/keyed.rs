//! Calls with an idempotency key.
//!
//! The key's records live on the two daemons that rank highest for it, the second in another
//! availability zone where there is one. Both are claimed, in rank order, before the call runs, and
//! both are settled after it. A resend that finds the answer at one of them brings it to the other, so
//! daemons may be replaced one by one. A record that cannot be reached means that an earlier send cannot be
//! ruled out, so the call is refused as not run.

use super::answer::Answer;
use super::attempt::{ClaimReply, SettleRequest};
use super::headers;
use super::relay::{Operation, WireClaim, take_claim, take_settlement};
use super::shared::Shared;
use async_std::task;
use http_types::{Method, Request, Response, Url};
use rf_base::ids::hash_key;
use rf_base::{Millis, Verdict};
use rf_protocol::{open, seal};
use rf_traffic::keys::ClaimRequest;
use rf_traffic::table::RecordHolder;
use rf_traffic::{CallError, Settlement};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Longest wait for one record.
const CLAIM_TIMEOUT: Millis = Millis(1000);
/// Longest answer that is kept with a key.
const REPLY_BYTES: usize = 1024 * 1024;
/// Time after its deadline for which a call may still be running.
const SLACK: Millis = Millis(2000);
/// Tries to settle a record.
const SETTLE_TRIES: u32 = 3;

/// Result of claiming.
pub type Result<T> = std::result::Result<T, CallError>;

/// A key claimed for one call.
#[derive(Debug)]
pub struct KeyClaim {
    shared: Arc<Shared>,
    request: ClaimRequest,
    homes: Vec<RecordHolder>,
    is_settled: bool,
}

/// What claiming brought.
#[derive(Debug)]
pub enum Claimed {
    /// The call may run.
    Granted(KeyClaim),
    /// The call ran before; here is its answer.
    Answered(Response),
}

/// Claims the key of a call.
///
/// # Errors
///
/// Returns the [`CallError`] to tell the caller where the call must not run.
pub async fn claim(
    shared: &Arc<Shared>,
    service: &str,
    key: &str,
    fingerprint: u64,
    deadline: Millis,
) -> Result<Claimed> {
    let hash = hash_key(format!("{service} {key}").as_bytes());
    let homes = shared.table.load().record_holders(hash);
    let mut claim = KeyClaim {
        shared: shared.clone(),
        request: ClaimRequest {
            key: hash,
            owner: shared.new_attempt(),
            fingerprint,
            until: deadline + SLACK,
        },
        homes: Vec::new(),
        is_settled: false,
    };
    let mut known = None;
    for home in homes {
        claim.homes.push(home);
        match claim.claim_at(&home).await {
            Some(ClaimReply::Granted) => {}
            Some(ClaimReply::Done(answer)) => known = Some(answer),
            // What one home knows for sure stands, whatever the other lacks.
            _ if known.is_some() => {}
            other => {
                claim.settle(Settlement::Released);
                return Err(refuse(other));
            }
        }
    }
    let Some(answer) = known else {
        return Ok(Claimed::Granted(claim));
    };
    // A home that has lost the record, or is new, gets it back.
    let response = answer.to_response();
    claim.settle(Settlement::Done(answer));
    Ok(Claimed::Answered(response))
}

fn refuse(reply: Option<ClaimReply>) -> CallError {
    match reply {
        Some(ClaimReply::Running) => CallError::KeyRunning,
        Some(ClaimReply::Doubtful) => CallError::KeyDoubtful,
        Some(ClaimReply::Reused) => CallError::KeyReused,
        _ => CallError::KeyUnreachable,
    }
}

impl KeyClaim {
    /// Records how the call ended.
    ///
    /// `answer` is kept where it is whole; a call that ran without one is recorded as doubtful.
    pub fn finish(mut self, verdict: Verdict, answer: Option<Answer>) {
        let settlement = match (verdict, answer) {
            (Verdict::NotRun, _) => Settlement::Released,
            (Verdict::Ran, Some(answer)) => Settlement::Done(Box::new(answer)),
            _ => Settlement::Doubtful,
        };
        self.settle(settlement);
    }

    fn settle(&mut self, settlement: Settlement<Box<Answer>>) {
        self.is_settled = true;
        let shared = self.shared.clone();
        let homes = std::mem::take(&mut self.homes);
        let (key, owner) = (self.request.key, self.request.owner);
        task::spawn(async move {
            for home in homes {
                let request = SettleRequest {
                    key,
                    owner,
                    settlement: settlement.clone(),
                };
                settle_at(&shared, &home, request).await;
            }
        });
    }

    async fn claim_at(&self, home: &RecordHolder) -> Option<ClaimReply> {
        if home.instance == self.shared.me {
            return Some(take_claim(&self.shared, &self.request));
        }
        let wire = WireClaim::new(&self.request, self.shared.now());
        call(&self.shared, home, Operation::Claim, &wire).await
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        if !self.is_settled {
            self.settle(Settlement::Doubtful);
        }
    }
}

async fn settle_at(shared: &Shared, home: &RecordHolder, request: SettleRequest) {
    if home.instance == shared.me {
        take_settlement(shared, request);
        return;
    }
    for _ in 0..SETTLE_TRIES {
        let settled: Option<bool> = call(shared, home, Operation::Settle, &request).await;
        if settled.is_some() {
            return;
        }
    }
}

async fn call<T: Serialize, R: DeserializeOwned>(
    shared: &Shared,
    home: &RecordHolder,
    operation: Operation,
    message: &T,
) -> Option<R> {
    let url = Url::parse(&format!("http://{}/", home.relay)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header(headers::OPERATION, operation.as_str());
    request.set_body(seal(&shared.key, message).ok()?);
    let relays = &shared.relays;
    let sent = relays.send(home.relay, request, CLAIM_TIMEOUT, REPLY_BYTES);
    open(&shared.key, &sent.await.ok()?.body).ok()
}
