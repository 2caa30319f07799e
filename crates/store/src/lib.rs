//! Client of the platform's object API, and leases stored in it.
//!
//! Objects have a version that increases with each write. A write is conditional on the version
//! that it was computed from. If the response to a write is lost, the only way to find out whether
//! it took effect is to read the object back and compare the operation id inside it.

pub mod budget;
pub mod http;
pub mod lease;
pub mod store;

pub use budget::RateBudget;
pub use http::HttpStore;
pub use lease::{Lease, LeaseCall, LeaseRecord, LeaseSettings};
pub use store::{Object, ObjectStore, ObjectVersion, StoreError};
