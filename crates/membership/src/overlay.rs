//! The overlay: which daemons exchange news with each other.
//!
//! Each daemon orders its own zone by several seeded hashes and takes its successor in each of
//! these rings; the same over all daemons of other zones. Every daemon computes its neighbours from
//! the roster alone, the degree is bounded whatever the size of the mesh, and the rings are
//! independent, so the overlay stays connected when a few daemons or a whole zone are lost.
//!
//! Inside a zone news go along every link. Between zones, where bytes are dear, only a few daemons of
//! each zone, the carriers of the news' subject, pass them on at once: what crosses for one piece of
//! news does not grow with the mesh. Where all carriers of a zone fail, digests that go on
//! differing bring the news a heartbeat or two later.

use rf_base::InstanceId;
use rf_protocol::Member;
use std::collections::BTreeSet;

/// Rings inside the zone.
const ZONE_RINGS: u64 = 3;
/// Rings across zones.
const CROSS_RINGS: u64 = 3;

/// Daemons of each zone that pass news of one daemon on to other zones; each has about six links
/// there, so that some of them may be lost.
const CARRIERS: usize = 4;

/// Returns whether `me` passes news of `subject` on to other zones.
pub fn is_forwarder<'a>(
    me: &Member,
    subject: InstanceId,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let mine = me.id.rank(subject.0);
    let inside = members.filter(|m| m.zone == me.zone && m.id != me.id);
    let before = inside.filter(|m| m.id.rank(subject.0) > mine);
    me.id == subject || before.take(CARRIERS).count() < CARRIERS
}

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
pub fn highest_ranked(
    key: u64,
    candidates: impl Iterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<InstanceId> = candidates.collect();
    ranked.sort_by_key(|id| std::cmp::Reverse(id.rank(key)));
    ranked.truncate(count);
    ranked
}
