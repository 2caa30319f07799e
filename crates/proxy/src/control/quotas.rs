//! What the view publishes for quotas: possible owners, and the organisations with a quota.

use crate::view::View;
use rf_base::{InstanceId, OrganisationId, OrganisationName};
use rf_config::{Quota, RouteTable};
use rf_membership::{Reachability, Roster};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Relay addresses of proxies by instance.
pub type Peers = BTreeMap<InstanceId, SocketAddr>;
/// Names and quotas of organisations.
pub type QuotaIndex = BTreeMap<OrganisationId, (OrganisationName, Quota)>;

/// Returns the proxies that may own the quota of an organisation: those that are reachable and not
/// leaving. The map of the `published` view is shared if it has not changed.
pub fn publish_peers(roster: &Roster, published: &View) -> Arc<Peers> {
    let candidates = roster.reachable().filter(|m| !m.leaving);
    let peers: Peers = candidates.map(|m| (m.id, m.peers)).collect();
    match peers == *published.peers {
        true => published.peers.clone(),
        false => Arc::new(peers),
    }
}

/// Returns the number of proxies that may be running, reachable or not.
///
/// An unreachable proxy that announced that it leaves has ended. Counting it would lower all quotas
/// for a minute after each planned shutdown.
pub fn count_known(roster: &Roster) -> usize {
    let has_ended = |id| roster.reachability(id) == Reachability::Unreachable;
    let members = roster.members();
    members.filter(|m| !(m.leaving && has_ended(m.id))).count()
}

/// Returns the organisations of `table` that have a quota. The index of the `published` view is shared
/// if the table is the same.
pub fn index_quotas(table: &Arc<RouteTable>, published: &View) -> Arc<QuotaIndex> {
    if Arc::ptr_eq(table, &published.table) {
        return published.quotas.clone();
    }
    let entries = table.organisations.iter().filter_map(|(name, o)| {
        let quota = o.quota?;
        Some((OrganisationId::of(name), (name.clone(), quota)))
    });
    Arc::new(entries.collect())
}
