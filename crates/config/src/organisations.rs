//! Organisations whose callers authenticate with API keys.
//!
//! Keys are kept as hashes, so that neither the memory of a proxy nor a message between proxies
//! contains one in clear.

use rf_base::{OrganisationName, RequestRate};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Longest name of an organisation, in bytes; it is sent in a header field.
const MAX_NAME_BYTES: usize = 1024;
/// Largest burst of a quota, in requests.
pub const MAX_BURST: u32 = 1_000_000;
/// Number of priorities of organisations and of routes that a combined class distinguishes.
const PRIORITIES: u8 = 16;
/// Priority of requests without an organisation in a table with organisations.
const PUBLIC_PRIORITY: u8 = 1;

/// Number of bytes of a key hash.
const HASH_BYTES: usize = 32;

/// Hash of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde(with = "serde_bytes")] [u8; HASH_BYTES]);

/// Why text cannot be an API key. The error does not quote the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text is empty.
    #[snafu(display("the key is empty"))]
    Empty,
    /// The text is longer than the longest key.
    #[snafu(display("the key has more than {MAX_KEY_BYTES} bytes"))]
    TooLong,
    /// The text has a character that cannot stand in a key.
    #[snafu(display("the key has a character other than visible ASCII"))]
    Character,
}

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, KeyError>;

impl KeyHash {
    /// Returns the hash of `text` if it can be a key.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] for text that is empty, longer than 256 bytes, or not visible ASCII.
    pub fn parse(text: &str) -> Result<KeyHash> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        match text.bytes().all(|b| b.is_ascii_graphic()) {
            true => Ok(KeyHash::of(text)),
            false => Err(KeyError::Character),
        }
    }

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

/// Combines the priorities of an organisation and of a route into the class of a request. The
/// priority of the organisation takes precedence. `organisation` is `None` for a request without
/// one in a table with organisations.
pub fn combined_class(organisation: Option<u8>, route: u8) -> u8 {
    let organisation = organisation.unwrap_or(PUBLIC_PRIORITY);
    organisation.min(PRIORITIES - 1) * PRIORITIES + route.min(PRIORITIES - 1)
}

/// Checks organisations and returns a message for each error. No message contains a key.
pub fn verify_organisations(
    organisations: &BTreeMap<OrganisationName, Organisation>,
) -> Vec<String> {
    let mut errors = Vec::new();
    let mut owners: BTreeMap<&KeyHash, &OrganisationName> = BTreeMap::new();
    // Two organisations that share several keys are reported once.
    let mut shared = BTreeSet::new();
    for (name, organisation) in organisations {
        if let Some(error) = name_error(name.as_str()) {
            errors.push(format!("organisation {:?}: {error}", name.as_str()));
        }
        for key in &organisation.keys {
            if let Some(other) = owners.insert(key, name) {
                shared.insert((other, name));
            }
        }
        let burst = organisation.quota.map_or(0, |q| q.burst);
        if burst > MAX_BURST {
            errors.push(format!("organisation {name}: burst is over {MAX_BURST}"));
        }
    }
    let shared = shared.into_iter();
    errors.extend(shared.map(|(a, b)| format!("organisations {a} and {b} have one key")));
    errors
}

/// Returns why `name` cannot be the name of an organisation; `None` if it can.
///
/// A name is sent in a header field: visible ASCII and spaces between, since a receiver strips
/// spaces around it.
fn name_error(name: &str) -> Option<&'static str> {
    let is_text = |b: u8| b.is_ascii_graphic() || b == b' ';
    if name.is_empty() {
        Some("the name is empty")
    } else if name.len() > MAX_NAME_BYTES {
        Some("the name is too long for a header field")
    } else if !name.bytes().all(is_text) || name.trim() != name {
        Some("the name cannot stand in a header field")
    } else {
        None
    }
}
