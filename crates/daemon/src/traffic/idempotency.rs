//! Handles calls with an idempotency key.
//!
//! The records of a key are stored on the two daemons that rank highest for it; the second one is
//! in another availability zone if there is one. A call claims both records in rank order before
//! it runs, and settles both afterwards. A repeated call that finds the answer in one record copies
//! it to the other, so daemons may be replaced one at a time. If a record cannot be reached, an
//! earlier run of the call cannot be ruled out, so the call is refused as not run.

use super::answer::Answer;
use super::attempt::{ClaimReply, SettleRequest};
use super::headers;
use super::relay::{ClaimMessage, Operation, handle_claim, handle_settlement};
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

/// Timeout of one claim or settlement message.
const CLAIM_TIMEOUT: Millis = Millis(1000);
/// Maximum size of the reply to one message, in bytes; limits the stored answers that can be read.
const MAX_REPLY_BYTES: usize = 1024 * 1024;
/// Time after its deadline for which a call may still be running, and so keeps its claim.
const CLAIM_GRACE: Millis = Millis(2000);
/// Maximum number of attempts to settle one record.
const MAX_SETTLE_ATTEMPTS: u32 = 3;

/// Result of claiming a key; the error is the one reported to the caller.
pub type Result<T> = std::result::Result<T, CallError>;

/// Claim of a key for one call; dropping it unsettled records that the call may have run.
#[derive(Debug)]
pub struct KeyClaim {
    shared: Arc<Shared>,
    request: ClaimRequest,
    holders: Vec<RecordHolder>,
    is_settled: bool,
}

/// Outcome of claiming a key.
#[derive(Debug)]
pub enum ClaimResult {
    /// The key is claimed and the call may run.
    Granted(KeyClaim),
    /// The call ran before; carries its stored answer.
    Answered(Response),
}

/// Claims the key of a call.
///
/// # Errors
///
/// Returns the error to report to the caller if the call must not run.
pub async fn claim(
    shared: &Arc<Shared>,
    service: &str,
    key: &str,
    fingerprint: u64,
    deadline: Millis,
) -> Result<ClaimResult> {
    let hash = hash_key(format!("{service} {key}").as_bytes());
    let holders = shared.table.load().record_holders(hash);
    let mut claim = KeyClaim {
        shared: shared.clone(),
        request: ClaimRequest {
            key: hash,
            owner: shared.new_attempt_id(),
            fingerprint,
            until: deadline + CLAIM_GRACE,
        },
        holders: Vec::new(),
        is_settled: false,
    };
    let mut known_answer = None;
    for holder in holders {
        claim.holders.push(holder);
        match claim.claim_at(&holder).await {
            Some(ClaimReply::Granted) => {}
            Some(ClaimReply::Done(answer)) => known_answer = Some(answer),
            // A stored answer is definite, so it is used whatever the other holder replies.
            _ if known_answer.is_some() => {}
            other => {
                claim.settle(Settlement::Released);
                return Err(claim_error(other));
            }
        }
    }
    let Some(answer) = known_answer else {
        return Ok(ClaimResult::Granted(claim));
    };
    // A holder that lost the record, or is new, receives it with this settlement.
    let response = answer.to_response();
    claim.settle(Settlement::Done(answer));
    Ok(ClaimResult::Answered(response))
}

fn claim_error(reply: Option<ClaimReply>) -> CallError {
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
    /// A call that did not run releases the key, and one that ran stores its `answer`. Any other
    /// call is recorded as one that may have run.
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
        let holders = std::mem::take(&mut self.holders);
        let (key, owner) = (self.request.key, self.request.owner);
        task::spawn(async move {
            for holder in holders {
                let request = SettleRequest {
                    key,
                    owner,
                    settlement: settlement.clone(),
                };
                settle_at(&shared, &holder, request).await;
            }
        });
    }

    async fn claim_at(&self, holder: &RecordHolder) -> Option<ClaimReply> {
        if holder.instance == self.shared.me {
            return Some(handle_claim(&self.shared, &self.request));
        }
        let message = ClaimMessage::new(&self.request, self.shared.now());
        send_operation(&self.shared, holder, Operation::Claim, &message).await
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        if !self.is_settled {
            self.settle(Settlement::Doubtful);
        }
    }
}

async fn settle_at(shared: &Shared, holder: &RecordHolder, request: SettleRequest) {
    if holder.instance == shared.me {
        handle_settlement(shared, request);
        return;
    }
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        let settled: Option<bool> =
            send_operation(shared, holder, Operation::Settle, &request).await;
        if settled.is_some() {
            return;
        }
    }
}

async fn send_operation<T: Serialize, R: DeserializeOwned>(
    shared: &Shared,
    holder: &RecordHolder,
    operation: Operation,
    message: &T,
) -> Option<R> {
    let url = Url::parse(&format!("http://{}/", holder.relay)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header(headers::OPERATION, operation.as_str());
    request.set_body(seal(&shared.key, message).ok()?);
    let relay_client = &shared.relay_client;
    let reply = relay_client.send(holder.relay, request, CLAIM_TIMEOUT, MAX_REPLY_BYTES);
    open(&shared.key, &reply.await.ok()?.body).ok()
}
