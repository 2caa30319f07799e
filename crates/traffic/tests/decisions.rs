//! Tests of retries, idempotency keys, strikes, the routing table and the balancer.

use rf_base::{AttemptId, Incarnation, InstanceId, Millis, SeededRandom, Verdict};
use rf_config::{MeshConfig, Route, Service, VersionSpec};
use rf_protocol::{Member, ServerInfo, Strike};
use rf_traffic::keys::ClaimRequest;
use rf_traffic::retry::AttemptEnd;
use rf_traffic::{
    Balancer, BalancerSettings, ByteSize, CallProgress, Claim, KeySettings, KeyTable, NextAttempt,
    Outcome, RefusalReason, RetryBudget, RoutingTable, Settlement, StrikeTable, Suspicion,
    TableContext,
};
use std::collections::BTreeSet;

fn end(instance: u64, verdict: Verdict, is_crash: bool) -> AttemptEnd {
    AttemptEnd {
        instance: InstanceId(instance),
        verdict,
        refusal: None,
        is_crash,
    }
}

#[test]
fn a_call_that_may_have_run_is_not_retried_unless_idempotent() {
    let mut budget = RetryBudget::new(10);
    let may = end(1, Verdict::MayHaveRun, false);
    let mut once = CallProgress::new(false, true, 3);
    assert_eq!(once.handle(&may, &mut budget), NextAttempt::GiveUp);
    let mut repeatable = CallProgress::new(true, true, 3);
    let next = repeatable.handle(&may, &mut budget);
    assert_eq!(next, NextAttempt::Retry { is_alone: false });
    assert_eq!(repeatable.verdict(), Verdict::MayHaveRun);
}

#[test]
fn refused_calls_are_retried_within_the_budget() {
    let mut budget = RetryBudget::new(0);
    let refused = AttemptEnd {
        refusal: Some(RefusalReason::Busy),
        ..end(1, Verdict::NotRun, false)
    };
    let retried = (0..100)
        .map(|_| CallProgress::new(false, true, 3).handle(&refused, &mut budget))
        .filter(|next| *next != NextAttempt::GiveUp)
        .count();
    assert_eq!(retried, 10, "only the burst of the budget");
}

#[test]
fn a_call_whose_body_cannot_be_sent_again_is_not_retried() {
    let mut budget = RetryBudget::new(10);
    let mut streamed = CallProgress::new(true, false, 3);
    let next = streamed.handle(&end(1, Verdict::NotRun, false), &mut budget);
    assert_eq!(next, NextAttempt::GiveUp);
}

#[test]
fn a_call_that_crashed_two_servers_is_given_up() {
    let mut budget = RetryBudget::new(10);
    let mut repeatable = CallProgress::new(true, true, 5);
    let first = repeatable.handle(&end(1, Verdict::MayHaveRun, true), &mut budget);
    assert_eq!(first, NextAttempt::Retry { is_alone: true });
    let second = repeatable.handle(&end(2, Verdict::MayHaveRun, true), &mut budget);
    assert_eq!(second, NextAttempt::GiveUp);
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Text(&'static str);

impl ByteSize for Text {
    fn bytes(&self) -> usize {
        self.0.len()
    }
}

fn new_key_table() -> KeyTable<Text> {
    KeyTable::new(KeySettings {
        capacity: 2,
        answer_bytes: 10,
        retention: Millis(5000),
    })
}

fn claim(key: u64, owner: u64, fingerprint: u64) -> ClaimRequest {
    ClaimRequest {
        key,
        owner: AttemptId(owner),
        fingerprint,
        until: Millis(1000),
    }
}

#[test]
fn a_key_is_granted_to_one_call_at_a_time() {
    let mut keys = new_key_table();
    let now = Millis(0);
    assert_eq!(keys.claim(now, &claim(1, 1, 9)), Claim::Granted);
    assert_eq!(
        keys.claim(now, &claim(1, 1, 9)),
        Claim::Granted,
        "repeated message"
    );
    assert_eq!(keys.claim(now, &claim(1, 2, 9)), Claim::Running);
    assert_eq!(keys.claim(now, &claim(1, 2, 8)), Claim::Reused);
    keys.settle(1, AttemptId(2), Settlement::Released);
    assert_eq!(
        keys.claim(now, &claim(1, 2, 9)),
        Claim::Running,
        "released by another owner"
    );
    keys.settle(1, AttemptId(1), Settlement::Done(Text("answer")));
    assert_eq!(
        keys.claim(now, &claim(1, 2, 9)),
        Claim::Done(Text("answer"))
    );
    assert_eq!(keys.claim(now, &claim(2, 3, 9)), Claim::Granted);
    assert_eq!(keys.claim(now, &claim(3, 4, 9)), Claim::Full);
    assert_eq!(keys.claim(Millis(1000), &claim(2, 5, 9)), Claim::Doubtful);
    assert_eq!(keys.claim(Millis(6000), &claim(2, 5, 9)), Claim::Granted);
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut keys = new_key_table();
    keys.claim(Millis(0), &claim(1, 1, 9));
    keys.settle(1, AttemptId(1), Settlement::Released);
    assert_eq!(keys.claim(Millis(0), &claim(1, 2, 9)), Claim::Granted);
}

#[test]
fn answers_over_the_byte_limit_become_doubtful() {
    let mut keys = new_key_table();
    for key in [1, 2] {
        keys.claim(Millis(0), &claim(key, key, 9));
        keys.settle(key, AttemptId(key), Settlement::Done(Text("answer")));
        assert!(keys.kept_bytes() <= 10);
    }
    let first = keys.claim(Millis(1), &claim(1, 7, 9));
    assert_eq!(first, Claim::Done(Text("answer")));
    assert_eq!(keys.claim(Millis(1), &claim(2, 7, 9)), Claim::Doubtful);
    keys.claim(Millis(9000), &claim(3, 3, 9));
    assert_eq!(
        keys.kept_bytes(),
        0,
        "answers are dropped with their records"
    );
}

#[test]
fn strikes_from_two_instances_block_a_request() {
    let mut strikes = StrikeTable::default();
    let strike = |instance, at| Strike {
        fingerprint: 5,
        instance: InstanceId(instance),
        at: Millis(at),
    };
    assert!(strikes.merge(Millis(0), &strike(1, 0)));
    assert!(!strikes.merge(Millis(0), &strike(1, 0)));
    assert_eq!(strikes.suspicion(5), Suspicion::Suspect);
    assert!(strikes.merge(Millis(0), &strike(2, 0)));
    assert_eq!(strikes.suspicion(5), Suspicion::Blocked);
    assert_eq!(strikes.suspicion(6), Suspicion::None);
    strikes.merge(Millis(700_000), &strike(3, 700_000));
    assert_eq!(
        strikes.suspicion(5),
        Suspicion::Suspect,
        "old strikes expire"
    );
}

fn member(i: u64, zone: &str, version: &str) -> Member {
    let address = "127.0.0.1:1".parse().expect("valid address");
    Member {
        id: InstanceId(i),
        name: format!("instance-{i}"),
        zone: zone.into(),
        region: "r".to_owned(),
        incarnation: Incarnation(1),
        seq: 1,
        peers: address,
        relay: address,
        server: Some(ServerInfo {
            service: "s".into(),
            version: version.into(),
            slots: 4,
            since: Millis(0),
            drained: false,
        }),
        departed: None,
        leaving: false,
    }
}

fn mesh() -> MeshConfig {
    let mut service = Service::default();
    let weight = |weight| VersionSpec { weight };
    service.versions.insert("v1".into(), weight(75));
    service.versions.insert("v2".into(), weight(25));
    let route = |host: &str, prefix: &str| Route {
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        service: "s".into(),
        ..Route::default()
    };
    let mut config = MeshConfig::default();
    config.services.insert("s".into(), service);
    config.routes = vec![route("*", "/a"), route("*", "/a/b"), route("host", "/")];
    config
}

fn table(config: &MeshConfig, members: &[Member]) -> RoutingTable {
    let members: Vec<&Member> = members.iter().collect();
    RoutingTable::compute(TableContext {
        config,
        members: &members,
        local: members[0],
        stopped: &BTreeSet::new(),
        now: Millis(100_000),
    })
}

#[test]
fn the_most_specific_route_wins() {
    let table = table(&mesh(), &[member(1, "z1", "v1")]);
    let prefix = |host, path| table.find_route(host, path).map(|r| r.prefix.as_str());
    assert_eq!(prefix("x", "/a/b/c"), Some("/a/b"));
    assert_eq!(prefix("x", "/a/bc"), Some("/a"));
    assert_eq!(prefix("x", "/ab"), None);
    assert_eq!(prefix("HOST:80", "/ab"), Some("/"));
}

#[test]
fn large_versions_are_cut_to_a_stable_subset() {
    let members: Vec<Member> = (0..200)
        .map(|i| member(i, if i % 2 == 0 { "z1" } else { "z2" }, "v1"))
        .collect();
    let first = table(&mesh(), &members);
    let servers = &first.services[0].versions[0].servers;
    assert_eq!(servers.len(), 24);
    let second = table(&mesh(), &members[..199]);
    let kept =
        |s: &rf_traffic::table::ServerTarget| second.services[0].versions[0].servers.contains(s);
    assert!(servers.iter().filter(|s| kept(s)).count() >= 23);
}

#[test]
fn calls_follow_weights_and_skip_ejected_servers() {
    let members: Vec<Member> = (0..8)
        .map(|i| member(i, "z1", if i < 4 { "v1" } else { "v2" }))
        .collect();
    let table = table(&mesh(), &members);
    let service = &table.services[0];
    let settings = BalancerSettings::default();
    let mut balancer = Balancer::new(settings, SeededRandom::new(4));
    let now = Millis(100_000);
    let tried = BTreeSet::new();
    let mut new = 0;
    for _ in 0..4000 {
        let picked = balancer.pick(now, service, &tried).expect("a server");
        let id = picked.instance;
        new += u32::from(id.0 >= 4);
        // Instance 1 fails every call.
        let outcome = match id.0 {
            1 => Outcome::Failed,
            _ => Outcome::Answered(None),
        };
        balancer.finish(now, id, outcome);
    }
    assert!(
        (900..1100).contains(&new),
        "a quarter goes to v2, got {new}"
    );
    let to_failing = (0..400)
        .filter(|_| {
            let id = balancer
                .pick(now, service, &tried)
                .expect("a server")
                .instance;
            balancer.finish(now, id, Outcome::Answered(None));
            id.0 == 1
        })
        .count();
    assert_eq!(to_failing, 0);
}

#[test]
fn at_most_half_of_the_servers_are_ejected() {
    let members: Vec<Member> = (0..4).map(|i| member(i, "z1", "v1")).collect();
    let table = table(&mesh(), &members);
    let mut balancer = Balancer::new(BalancerSettings::default(), SeededRandom::new(5));
    let now = Millis(100_000);
    let mut last = BTreeSet::new();
    for i in 0..400 {
        let picked = balancer.pick(now, &table.services[0], &BTreeSet::new());
        let id = picked.expect("a server").instance;
        balancer.finish(now, id, Outcome::Failed);
        if i >= 300 {
            last.insert(id);
        }
    }
    assert!(last.len() >= 2, "calls go to only {} servers", last.len());
}

#[test]
fn the_local_zone_is_preferred_while_it_has_free_slots() {
    let members = [member(0, "z1", "v1"), member(1, "z2", "v1")];
    let table = table(&mesh(), &members);
    let mut balancer = Balancer::new(BalancerSettings::default(), SeededRandom::new(6));
    let now = Millis(100_000);
    let picks: Vec<u64> = (0..6)
        .map(|_| {
            let picked = balancer.pick(now, &table.services[0], &BTreeSet::new());
            picked.expect("a server").instance.0
        })
        .collect();
    assert_eq!(picks[..4], [0, 0, 0, 0], "four slots in the local zone");
    assert!(picks[4..].contains(&1), "then the other zone");
}
