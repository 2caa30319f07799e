//! Gossip overlay: the set of daemons with which each daemon exchanges changes.
//!
//! Each daemon arranges the daemons of its own zone in several rings, ordered by independent seeded
//! hashes, and takes its successor in each ring as a neighbour. It does the same with the daemons
//! of all other zones. Neighbours are a pure function of the roster and of a bounded number in a
//! mesh of any size. Because the rings are independent, the overlay stays connected when a few
//! daemons or a whole zone fail.
//!
//! Within a zone, changes are forwarded on every link. Traffic between zones is costly, so only a
//! few daemons of each zone, chosen by the subject of the change, forward it to other zones at
//! once. The cross-zone traffic of one change therefore does not grow with the mesh. If all of a
//! zone's forwarders fail, the roster digests keep differing, and comparing the rosters brings the
//! change across a heartbeat or two later.

use rf_base::InstanceId;
use rf_protocol::Member;
use std::collections::BTreeSet;

/// Number of rings within the zone of a daemon.
const ZONE_RINGS: u64 = 3;
/// Number of rings over the daemons of all other zones.
const CROSS_RINGS: u64 = 3;

/// Number of daemons in each zone that forward changes about one daemon to other zones.
///
/// Each has about six links to other zones, so some of the forwarders may fail.
const FORWARDERS_PER_ZONE: usize = 4;

/// Returns whether `me` forwards changes about `subject` to other zones.
///
/// Forwarders are the daemons of a zone that rank highest for the subject, and the subject itself.
pub fn is_forwarder<'a>(
    me: &Member,
    subject: InstanceId,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let mine = me.id.rank(subject.0);
    let same_zone = members.filter(|m| m.zone == me.zone && m.id != me.id);
    let before = same_zone.filter(|m| m.id.rank(subject.0) > mine);
    me.id == subject || before.take(FORWARDERS_PER_ZONE).count() < FORWARDERS_PER_ZONE
}

/// Returns the neighbours of `me` among `members`: its successor in each ring.
pub fn compute_neighbours(me: &Member, members: &[&Member]) -> BTreeSet<InstanceId> {
    let others = members.iter().copied().filter(|m| m.id != me.id);
    let same_zone = others.clone().filter(|m| m.zone == me.zone);
    let other_zones = others.filter(|m| m.zone != me.zone);
    let mut neighbours = BTreeSet::new();
    for ring in 0..ZONE_RINGS {
        neighbours.extend(successor(me.id, ring, same_zone.clone()));
    }
    for ring in ZONE_RINGS..ZONE_RINGS + CROSS_RINGS {
        neighbours.extend(successor(me.id, ring, other_zones.clone()));
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
///
/// This is rendezvous hashing: daemons with the same candidates choose the same ones.
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
