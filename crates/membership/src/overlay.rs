//! The overlay: which daemons exchange news with each other.
//!
//! Each daemon orders its own zone by several seeded hashes and takes its successor in each of
//! these rings; the same over all daemons of other zones. Every daemon computes its neighbours from
//! the roster alone, the degree is bounded whatever the size of the mesh, and the rings are
//! independent, so the overlay stays connected when a few daemons or a whole zone are lost.

use rf_base::InstanceId;
use rf_protocol::Member;
use std::collections::BTreeSet;

/// Rings inside the zone.
const ZONE_RINGS: u64 = 3;
/// Rings across zones.
const CROSS_RINGS: u64 = 3;

/// Computes the neighbours of `me` among `members`.
pub fn compute_neighbours(me: &Member, members: &[&Member]) -> BTreeSet<InstanceId> {
    let others = members.iter().copied().filter(|m| m.id != me.id);
    let inside = others.clone().filter(|m| m.zone == me.zone);
    let outside = others.filter(|m| m.zone != me.zone);
    let mut neighbours = BTreeSet::new();
    for ring in 0..ZONE_RINGS {
        neighbours.extend(successor(me.id, ring, inside.clone()));
    }
    for ring in ZONE_RINGS..ZONE_RINGS + CROSS_RINGS {
        neighbours.extend(successor(me.id, ring, outside.clone()));
    }
    neighbours
}

fn successor<'a>(
    me: InstanceId,
    ring: u64,
    candidates: impl Iterator<Item = &'a Member>,
) -> Option<InstanceId> {
    let mine = me.rank(ring);
    candidates
        .map(|m| m.id)
        .min_by_key(|id| id.rank(ring).wrapping_sub(mine))
}

/// Returns the `count` candidates that rank highest for `key`, best first.
pub fn compute_ranked(
    key: u64,
    candidates: impl Iterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<InstanceId> = candidates.collect();
    ranked.sort_by_key(|id| std::cmp::Reverse(id.rank(key)));
    ranked.truncate(count);
    ranked
}
