//! Decision logic of the request path, without I/O.
//!
//! It selects the backend server of a call ([`table`], [`balancer`]), decides whether the call may
//! run now ([`limiter`], [`strikes`]), records the state of its attempts ([`ledger`], [`keys`]),
//! decides on retries ([`retry`]), and defines the errors that its caller receives ([`error`]).

pub mod acceptance;
pub mod admission;
pub mod age;
pub mod balancer;
pub mod chain;
pub mod cold;
pub mod condition;
mod departed;
pub mod error;
pub mod fair_share;
pub mod hedging;
pub mod keys;
pub mod ledger;
pub mod limiter;
pub mod link;
pub mod local_server;
pub mod offers;
pub mod placement;
pub mod quota;
mod recent;
pub mod retry;
pub mod retry_delay;
pub mod shed_rate;
pub mod slowness;
pub mod start_limiter;
pub mod strikes;
pub mod table;
pub mod told;
pub mod weighted_split;

pub use acceptance::AcceptanceRate;
pub use age::CallerAges;
pub use balancer::{Balancer, BalancerSettings, Outcome};
pub use chain::{ChainAdmission, ChainSettings, RunStart};
pub use cold::ColdLimiter;
pub use condition::{ConditionChange, ConditionTracker, StatedLimit, Statement};
pub use error::{CallError, RefusalReason};
pub use fair_share::FairShare;
pub use hedging::{HedgeLimit, HedgeTimes, Hedging};
pub use keys::{Claim, KeySettings, KeyTable, Settlement};
pub use ledger::{AttemptStatus, BeginResult, ByteSize, Ledger, LedgerSettings};
pub use limiter::{Admission, Limiter, Ticket};
pub use link::{Link, Reservation};
pub use local_server::{Announcement, LocalServer, LocalServerState};
pub use offers::{OfferTimes, RetryDecision, RetryState, WaitFractions};
pub use placement::{Candidate, OfferEnd, Placement, PlacementRequest};
pub use quota::{QuotaBorrower, QuotaOwner, QuotaSettings, QuotaTerms};
pub use retry::{CallProgress, NextAttempt, RetryBudget};
pub use retry_delay::{DelayTimes, RetryDelays};
pub use slowness::{ServerLoad, SlownessTracker, StatedLoad};
pub use start_limiter::StartLimiter;
pub use strikes::{StrikeTable, Suspicion};
pub use table::{RoutingTable, TableContext};
pub use told::ToldConditions;
pub use weighted_split::WeightedSplit;
