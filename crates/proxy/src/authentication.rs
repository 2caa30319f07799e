//! Authentication of requests at the origin, and the header fields that follow from it.
//!
//! The decision is [`rf_config::authenticate`]. A key is read here only as a hash; the field that
//! carries it is removed before the request is sent on.

use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::view::View;
use rf_base::{Millis, Verdict};
use rf_config::{Admittance, Caller, KeyFault, Lineage, PathRoute, authenticate};
use rf_transport::h1::Headers;
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use tracing::info;

/// Retry delay of a nested call whose parent is not running here. Its sender runs with another
/// proxy process by then, or has ended.
const ORPHAN_RETRY: Millis = Millis(200);
/// Maximum number of organisations that have metrics of their own.
const MAX_LABELS: usize = 200;
/// Label of all other organisations.
const OTHER_LABEL: &str = "other";

/// Why a request is not admitted. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It needs a valid key; status 401.
    Unauthorised,
    /// It may be admitted after this time; status 503.
    Later(Millis),
}

/// Result of authentication.
pub type Result<T> = std::result::Result<T, Denial>;

/// Decides whether a request on `route` is admitted, and as whose. `is_nested` tells whether it is
/// a call of a request that the local backend server is running.
///
/// # Errors
///
/// Returns a [`Denial`], which is counted and logged, for a request that must not be run.
pub fn admit<D: Dialect>(
    shared: &Shared<D>,
    view: &View,
    route: &PathRoute,
    request: &str,
    is_nested: bool,
    headers: &Headers,
) -> Result<Caller> {
    let lineage = match shared.dialect.parent_request_id(request) {
        _ if is_nested => Lineage::Nested,
        Some(_) => Lineage::Orphan,
        None => Lineage::Caller,
    };
    let credential = || shared.dialect.read_credential(headers);
    match authenticate(&view.table, &view.keys, route, lineage, credential) {
        Admittance::Admitted(caller) => Ok(caller),
        Admittance::Unauthorised(fault) => {
            report(shared, view, route, request, fault);
            Err(Denial::Unauthorised)
        }
        Admittance::Orphaned => {
            info!(event = "request.refused", request, reason = "no-parent");
            Err(Denial::Later(ORPHAN_RETRY))
        }
    }
}

fn report<D>(shared: &Shared<D>, view: &View, route: &PathRoute, request: &str, fault: KeyFault) {
    let reason = fault.as_str();
    let counter = &shared.metrics.unauthorised;
    counter.with_label_values(&[reason]).inc();
    info!(
        event = "request.unauthorised",
        request,
        route = route.name,
        reason,
        table = view.table.version.0,
    );
}

/// Removes the key of `caller` from the header fields of a request for a backend server, and sets
/// the name of its organisation.
pub fn rewrite_headers<D: Dialect>(dialect: &D, caller: &Caller, headers: &mut Headers) {
    if caller.is_checked {
        dialect.remove_credential(headers);
    }
    let name = caller.organisation.as_ref().map(|o| &o.name);
    dialect.set_organisation(headers, name);
}

/// Counts the end of a request of an organisation.
pub fn count_request<D>(shared: &Shared<D>, caller: &Caller, status: u16, verdict: Verdict) {
    let Some(organisation) = &caller.organisation else {
        return;
    };
    let result = match (status, verdict) {
        (_, Verdict::NotRun) => "refused",
        (500.., _) => "failed",
        _ => "answered",
    };
    let name = organisation.name.as_str();
    let label = match shared.organisation_labels.admits(name) {
        true => name,
        false => OTHER_LABEL,
    };
    let counter = &shared.metrics.organisation_requests;
    counter.with_label_values(&[label, result]).inc();
}

/// Organisations that have metrics of their own: the first ones that sent a request.
#[derive(Debug, Default)]
pub struct OrganisationLabels(Mutex<BTreeSet<String>>);

impl OrganisationLabels {
    /// Returns whether an organisation has metrics of its own. A new one gets them while there is
    /// room.
    pub fn admits(&self, name: &str) -> bool {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.contains(name) {
            return true;
        }
        let has_room = known.len() < MAX_LABELS;
        if has_room {
            known.insert(name.to_owned());
        }
        has_room
    }
}
