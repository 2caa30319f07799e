//! The retry budget of a service over all proxies, also while the network is partitioned.

use async_channel::bounded;
use rf_base::{Clock, Incarnation, SeededRandom};
use rf_platform::PlatformDialect;
use rf_proxy::shared::Shared;
use rf_proxy::view::View;
use rf_standin::users::mesh::proxy_settings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Number of proxies; half of them reach each other during a partition.
const PROXIES: usize = 14;
/// Retries in a window beyond the share of the requests, over all proxies.
const SLACK: f64 = 188.0;

fn proxy(number: usize) -> Shared<PlatformDialect> {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let store = SocketAddr::new(ip, 9);
    let mut settings = proxy_settings(&format!("budget-{number}"), "payments", ip, store);
    settings.bounds.repeat_slack = SLACK;
    let (events, _) = bounded(1);
    let random = SeededRandom::new(number as u64);
    let clock = Clock::system();
    Shared::new(
        PlatformDialect,
        settings,
        clock,
        events,
        random,
        Incarnation(1),
    )
}

/// Returns the retries that all proxies make without a request that earns one, if each reaches
/// `reachable` proxies.
fn count_retries(reachable: usize) -> usize {
    let retries = (0..PROXIES).map(|number| {
        let proxy = proxy(number);
        proxy.view.store(Arc::new(View {
            proxies: reachable,
            known_proxies: PROXIES,
            ..View::default()
        }));
        let withdraw = || proxy.with_budget(&"records".into(), |budget| budget.withdraw());
        (0..SLACK as usize).filter(|_| withdraw()).count()
    });
    retries.sum()
}

/// Both halves divided the slack by the proxies that they reach, so that together they spent it
/// twice.
#[test]
fn the_halves_of_a_partition_do_not_spend_the_slack_twice() {
    let whole = count_retries(PROXIES);
    let halves = count_retries(PROXIES / 2);
    println!("{whole} retries of {SLACK} without a partition, {halves} in halves");
    assert!(halves as f64 <= SLACK, "{halves}");
    assert_eq!(halves, whole);
}
