//! Quotas of organisations over all proxies.
//!
//! Load pattern: the requests of an organisation enter at any number of proxies, from two to all of
//! them, and its share of each proxy changes within fractions of a second. No proxy sees all of its
//! requests, and a request that starts cannot be taken back.
//!
//! One proxy, the owner, keeps the token bucket of an organisation ([`QuotaOwner`]) and lends tokens
//! to the proxies at which requests enter ([`QuotaBorrower`]). Each token lets one request start.
//! While no owner replies, a borrower grants its static part of the quota ([`Fallback`]).
//!
//! In any window, at most `rate x window + burst + margin` requests may start, where the margin M is
//! [`QuotaTerms::margin`]. It is divided between the tokens that are lent and unspent at the start
//! of the window (M / 2), the start of a new owner (M / 4), and the start of the fallback at all
//! proxies together (M / 4).

mod borrower;
mod fallback;
mod lease;
mod owner;
mod spending;
mod terms;

pub use borrower::{Decision, Lender, QuotaBorrower, Request, Settlement};
pub use fallback::Fallback;
pub use owner::QuotaOwner;
pub use terms::{QuotaSettings, QuotaTerms};
