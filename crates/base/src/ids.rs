//! Typed ids.
//!
//! Every id is a newtype, so that an attempt can never be looked up with a move's id. Names that
//! operators choose are strings; ids that the system makes are integers, shown in hexadecimal.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, DisplayFromStr, IfIsHumanReadable, SerializeAs};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Adapter for the compact form of an id in binary encodings.
struct AsNumber;

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                IfIsHumanReadable::<DisplayFromStr, AsNumber>::serialize_as(self, serializer)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                IfIsHumanReadable::<DisplayFromStr, AsNumber>::deserialize_as(deserializer)
            }
        }

        impl SerializeAs<$name> for AsNumber {
            fn serialize_as<S: Serializer>(id: &$name, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_u64(id.0)
            }
        }

        impl<'de> DeserializeAs<'de, $name> for AsNumber {
            fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                u64::deserialize(deserializer).map($name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                let digits = text.strip_prefix($prefix).unwrap_or(text);
                u64::from_str_radix(digits, 16).map($name)
            }
        }
    };
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

number_id!(
    /// One try of one call.
    AttemptId, "a-"
);
number_id!(
    /// One instance, derived from its name.
    InstanceId, "i-"
);
number_id!(
    /// One confirmed move.
    MoveId, "m-"
);
number_id!(
    /// One plan, not yet confirmed.
    PlanId, "p-"
);
number_id!(
    /// One write to the platform; kept in the object, so that a lost answer can be settled.
    OperationId, "o-"
);
number_id!(
    /// Fencing token of a lease; rises each time the lease changes hands.
    Epoch, ""
);
number_id!(
    /// Start of one life of a daemon, in milliseconds since the Unix epoch.
    Incarnation, ""
);

/// Version of the whole mesh configuration; rises by one with each accepted change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the counter of the next configuration.
    pub fn next(self) -> ConfigVersion {
        ConfigVersion(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

name_id!(
    /// A service of the mesh.
    ServiceName
);
name_id!(
    /// A version of a service.
    VersionName
);
name_id!(
    /// An availability zone.
    ZoneName
);

impl InstanceId {
    /// Derives the id of the instance called `name`.
    pub fn of(name: &str) -> InstanceId {
        InstanceId(xxh3_64(name.as_bytes()))
    }

    /// Returns the instance's rank for `key`: the highest rank among candidates owns the key.
    ///
    /// This is rendezvous hashing: losing one candidate moves only the keys it owned.
    pub fn rank(self, key: u64) -> u64 {
        xxh3_64_with_seed(&self.0.to_le_bytes(), key)
    }
}

/// Hashes `bytes` to a 64-bit key.
pub fn hash_key(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
