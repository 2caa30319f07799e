//! Interface of the platform's object API: versioned objects with conditional writes.

use rf_base::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::future::Future;

/// Version of an object, which increases with each write; 0 for an object that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version that a later write can be made conditional on.
    pub version: ObjectVersion,
    /// Serialized content, opaque to the platform.
    pub value: Vec<u8>,
}

/// Error of a call to the object API.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call failed without an effect.
    #[snafu(display("platform unavailable: {message}"))]
    Unavailable {
        /// Description of the failure.
        message: String,
    },
    /// The response was lost; a write may have taken effect.
    #[snafu(display("answer of the platform lost: {message}"))]
    Lost {
        /// Description of the failure.
        message: String,
    },
    /// The version of the object is not the one that the write expected.
    #[snafu(display("object changed meanwhile"))]
    Conflict,
    /// The object does not exist.
    #[snafu(display("no such object"))]
    NotFound,
}

/// Result of a call to the object API.
pub type Result<T> = std::result::Result<T, StoreError>;

/// A store of versioned objects.
pub trait ObjectStore {
    /// Reads an object; fails with [`StoreError::NotFound`] if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Object>> + Send;

    /// Waits up to `limit` for a version of the object above `after`; returns `None` if there is
    /// none.
    fn watch(
        &self,
        key: &str,
        after: ObjectVersion,
        limit: Millis,
    ) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Writes an object and returns its new version; fails with [`StoreError::Conflict`] if its
    /// version is not `expected`.
    fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion>> + Send;

    /// Deletes an object; succeeds if it does not exist.
    fn delete(&self, key: &str) -> impl Future<Output = Result<()>> + Send;
}
