//! What the view publishes about other proxies for quotas and retry budgets.

use rf_base::{Incarnation, InstanceId, Millis};
use rf_membership::Roster;
use rf_protocol::Member;
use rf_proxy::control::quotas::{count_known, publish_peers};
use rf_proxy::view::View;
use std::sync::Arc;

const NOW: Millis = Millis(1000);

fn member(number: u64, leaving: bool) -> Member {
    let address = format!("10.0.0.{number}:1").parse().expect("an address");
    Member {
        id: InstanceId(number),
        name: format!("m{number}"),
        zone: "z".into(),
        region: "r".to_owned(),
        incarnation: Incarnation(1),
        seq: 1,
        peers: address,
        relay: address,
        server: None,
        departed: None,
        leaving,
    }
}

/// Returns a roster of five proxies, of which two leave.
fn roster() -> Roster {
    let mut roster = Roster::default();
    for number in 1..=5 {
        roster.merge(&member(number, number > 3));
    }
    roster
}

fn lose(roster: &mut Roster, number: u64) {
    for observer in [101, 102] {
        let alert = roster.make_alert(InstanceId(number), InstanceId(observer));
        roster.merge_alert(NOW, &alert.expect("it is known"));
    }
}

/// A proxy on the other side of a partition still spends its part; one that ended does not.
#[test]
fn an_unreachable_proxy_counts_unless_it_said_that_it_leaves() {
    let mut roster = roster();
    assert_eq!(count_known(&roster), 5);
    lose(&mut roster, 2);
    assert_eq!(count_known(&roster), 5);
    lose(&mut roster, 4);
    assert_eq!(count_known(&roster), 4);
}

#[test]
fn only_reachable_proxies_that_stay_may_own_a_quota() {
    let mut roster = roster();
    lose(&mut roster, 2);
    let peers = publish_peers(&roster, &View::default());
    let ids: Vec<u64> = peers.keys().map(|id| id.0).collect();
    assert_eq!(ids, [1, 3]);
    let view = View {
        peers: peers.clone(),
        ..View::default()
    };
    // Owners are computed again only for another map.
    assert!(Arc::ptr_eq(&peers, &publish_peers(&roster, &view)));
}
