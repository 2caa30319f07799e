//! Decides who sent a request, and whether it may be run.
//!
//! The origin decides alone, from its own copy of the route table; no message is sent. A key is
//! compared only as a hash, so the time of a look-up says nothing about the keys that are known: a
//! caller can't choose how much of a hash it shares with another.
//!
//! Load patterns:
//!
//! - Many keys of which few are in use: the look-up is one search in an ordered map, whose cost
//!   grows with the logarithm of the number of keys.
//! - Callers that retry at once with a wrong key: each request costs one hash and one search, is
//!   refused before it is dispatched, and takes nothing from a retry budget.

use crate::organisations::{KeyHash, Organisation, Quota, combined_class};
use crate::routes::{PathRoute, RouteTable};
use rf_base::{OrganisationId, OrganisationName};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Organisation as the data plane uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOrganisation {
    /// Id, by which other proxies know it.
    pub id: OrganisationId,
    /// Name, for backend servers, logs and metrics.
    pub name: OrganisationName,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Organisations of a route table by the hashes of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyIndex(BTreeMap<KeyHash, Arc<KnownOrganisation>>);

impl KeyIndex {
    /// Creates the index of verified organisations.
    pub fn new(organisations: &BTreeMap<OrganisationName, Organisation>) -> KeyIndex {
        let entries = organisations.iter().flat_map(|(name, organisation)| {
            let known = Arc::new(KnownOrganisation {
                id: OrganisationId::of(name),
                name: name.clone(),
                priority: organisation.priority,
                quota: organisation.quota,
            });
            let keys = organisation.keys.iter();
            keys.map(move |key| (*key, known.clone()))
        });
        KeyIndex(entries.collect())
    }

    /// Returns the organisation that has a key.
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<KnownOrganisation>> {
        self.0.get(key)
    }
}

/// Key that a request carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request carries none.
    #[default]
    Absent,
    /// Hash of the key.
    Key(KeyHash),
    /// The field is not of the expected form.
    Malformed,
    /// The field is given more than once.
    Several,
}

/// How a request is related to the requests that the local backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lineage {
    /// It is a request of a caller.
    Caller,
    /// A running request made it.
    Nested,
    /// Its id is that of a nested call, but no request that could have made it is running.
    Orphan,
}

/// Why a request is refused for want of a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// It carries no key.
    NoKey,
    /// No organisation has its key.
    UnknownKey,
    /// Its field is not of the expected form.
    MalformedKey,
    /// It carries several keys.
    TwoKeys,
}

impl KeyFault {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            KeyFault::NoKey => "no-key",
            KeyFault::UnknownKey => "unknown-key",
            KeyFault::MalformedKey => "malformed-key",
            KeyFault::TwoKeys => "two-keys",
        }
    }
}

/// Sender of an admitted request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Organisation whose key the request carries; `None` for a nested call, a request without a
    /// valid key on a public route, and any request if the table has no organisations.
    pub organisation: Option<Arc<KnownOrganisation>>,
    /// Class of the request, which orders it among others; 0 is the most urgent. A nested call has
    /// the class of its parent instead.
    pub class: u8,
    /// Whether keys are checked, so that the key is for the proxy alone and is not forwarded.
    pub is_checked: bool,
}

impl Caller {
    /// Returns the name of the organisation, if there is one.
    pub fn name(&self) -> Option<&str> {
        self.organisation.as_ref().map(|o| o.name.as_str())
    }

    /// Returns the id of the organisation, if there is one.
    pub fn organisation_id(&self) -> Option<OrganisationId> {
        self.organisation.as_ref().map(|o| o.id)
    }
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admittance {
    /// It may be run.
    Admitted(Caller),
    /// It has no valid key and needs one.
    Unauthorised(KeyFault),
    /// It is a nested call whose parent is not running here and that carries no key. Its sender
    /// has no key, so it is told to retry instead.
    Orphaned,
}

/// Decides about a request on `route` of `table`, whose key index is `index`.
///
/// `credential` is only read if the table has organisations and the request is not a nested call.
pub fn authenticate(
    table: &RouteTable,
    index: &KeyIndex,
    route: &PathRoute,
    lineage: Lineage,
    credential: impl FnOnce() -> Credential,
) -> Admittance {
    if table.organisations.is_empty() {
        return Admittance::Admitted(Caller {
            class: route.priority,
            ..Caller::default()
        });
    }
    let admitted = |organisation: Option<&Arc<KnownOrganisation>>| {
        Admittance::Admitted(Caller {
            class: combined_class(organisation.map(|o| o.priority), route.priority),
            organisation: organisation.cloned(),
            is_checked: true,
        })
    };
    if lineage == Lineage::Nested {
        return admitted(None);
    }
    let credential = credential();
    let fault = match credential {
        Credential::Key(key) => match index.find(&key) {
            Some(organisation) => return admitted(Some(organisation)),
            None => KeyFault::UnknownKey,
        },
        Credential::Absent => KeyFault::NoKey,
        Credential::Malformed => KeyFault::MalformedKey,
        Credential::Several => KeyFault::TwoKeys,
    };
    match (route.is_public, lineage, fault) {
        (true, ..) => admitted(None),
        (false, Lineage::Orphan, KeyFault::NoKey) => Admittance::Orphaned,
        _ => Admittance::Unauthorised(fault),
    }
}
