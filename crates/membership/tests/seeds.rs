//! Tests of how daemons find each other through seeds.

use rf_base::{Incarnation, InstanceId, Millis, SeededRandom};
use rf_membership::{Membership, MembershipSettings};
use rf_protocol::Member;
use std::net::SocketAddr;

/// Time within which all daemons must have found each other.
const LIMIT: Millis = Millis(10_000);
const TICK: Millis = Millis(100);

fn member(number: u16) -> Member {
    let name = format!("payments-{number}");
    let address = SocketAddr::from(([127, 0, 0, 1], 7000 + number));
    Member {
        id: InstanceId::of(&name),
        name,
        zone: "zone-a".into(),
        region: "region".to_owned(),
        incarnation: Incarnation(1),
        seq: 1,
        peers: address,
        relay: address,
        server: None,
        leaving: false,
        departed: None,
    }
}

fn daemon(number: u16, seeds: &[SocketAddr], seed: u64) -> Membership {
    let settings = MembershipSettings {
        seeds: seeds.to_vec(),
        ..MembershipSettings::default()
    };
    let random = SeededRandom::new(seed + u64::from(number));
    Membership::new(settings, member(number), random)
}

// Guards against daemons that start together, find each other in two groups, and stay apart since
// every one of them has neighbours.
#[test]
fn groups_of_daemons_that_start_together_find_each_other() {
    for seed in 0..20 {
        // The last seeds are entries of daemons that no longer exist.
        let seeds: Vec<SocketAddr> = (0..12).map(|n| member(n).peers).collect();
        let mut daemons: Vec<Membership> = (0..6).map(|n| daemon(n, &seeds, seed)).collect();
        let mut now = Millis(1000);
        for (from, to) in [(0, 1), (1, 2), (3, 4), (4, 5)] {
            let (target, exchange) = daemons[from].join_exchange(member(to as u16).peers);
            let reply = daemons[to].handle_exchange(now, &exchange);
            daemons[from].handle_reply(now, target, &reply);
        }
        while now < Millis(1000) + LIMIT {
            for from in 0..daemons.len() {
                for (target, exchange) in daemons[from].tick(now) {
                    let to = usize::from(target.address.port() - 7000);
                    match to < daemons.len() {
                        true => {
                            let reply = daemons[to].handle_exchange(now, &exchange);
                            daemons[from].handle_reply(now, target, &reply);
                        }
                        false => daemons[from].handle_failure(now, target),
                    }
                }
            }
            now = now + TICK;
        }
        for daemon in &daemons {
            assert_eq!(daemon.roster().len(), daemons.len(), "with seed {seed}");
        }
    }
}
