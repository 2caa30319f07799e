//! The platform's object API and the leases kept in it.
//!
//! Objects have a version that rises with each write. A write is conditional on the version it was
//! computed from. A write whose answer is lost is settled by reading the object back and comparing
//! the operation id inside it; nothing else can tell whether it took effect.

pub mod budget;
pub mod http;
pub mod lease;
pub mod store;

pub use budget::RateBudget;
pub use http::HttpStore;
pub use lease::{Lease, LeaseCall, LeaseRecord, LeaseSettings};
pub use store::{Object, ObjectStore, ObjectVersion, StoreError};
