//! The object API as this system uses it.

use rf_base::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::future::Future;

/// Version of one object; 0 stands for an object that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// One object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version to make a write conditional on.
    pub version: ObjectVersion,
    /// Content.
    pub value: Vec<u8>,
}

/// Error of one call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call surely had no effect.
    #[snafu(display("platform unavailable: {message}"))]
    Unavailable {
        /// What happened.
        message: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[snafu(display("answer of the platform lost: {message}"))]
    Lost {
        /// What happened.
        message: String,
    },
    /// The object has another version than the write expected.
    #[snafu(display("object changed meanwhile"))]
    Conflict,
    /// The object does not exist.
    #[snafu(display("no such object"))]
    NotFound,
}

/// Result of one call.
pub type Result<T> = std::result::Result<T, StoreError>;

/// The platform's object API.
pub trait ObjectStore {
    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Object>> + Send;

    /// Waits up to `limit` for a version above `after`; `None` where none came.
    fn watch(
        &self,
        key: &str,
        after: ObjectVersion,
        limit: Millis,
    ) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Writes an object on condition that its version is `expected`.
    fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion>> + Send;

    /// Deletes an object; one that does not exist is no error.
    fn delete(&self, key: &str) -> impl Future<Output = Result<()>> + Send;
}
