//! Organisations whose callers authenticate with API keys.
//!
//! Keys are kept as hashes, so that neither the memory of a proxy nor a message between proxies
//! contains one in clear.

use rf_base::RequestRate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Number of bytes of a key hash.
const HASH_BYTES: usize = 32;

/// Hash of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Returns the hash of a key.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Returns the bytes of the hash.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// Limit on the requests of an organisation, over all proxies together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests that may start in a second.
    pub rate: RequestRate,
    /// Additional requests that may start at once after a time of less use.
    pub burst: u32,
}

/// Organisation with its keys, priority and quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Hashes of its API keys.
    pub keys: BTreeSet<KeyHash>,
    /// Priority, which takes precedence over that of the route; 0 is the most urgent.
    pub priority: u8,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}
