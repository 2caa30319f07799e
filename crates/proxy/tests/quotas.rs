//! Quotas between proxies over real connections: lending, exhaustion, and the death of the owner.

use async_channel::bounded;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use rf_base::{
    Clock, ConfigVersion, Incarnation, InstanceId, Millis, OrganisationId, RequestRate,
    SeededRandom,
};
use rf_config::{Organisation, Quota, RouteTable};
use rf_membership::overlay::highest_ranked;
use rf_platform::PlatformDialect;
use rf_protocol::relay::{
    QuotaClaim, QuotaGrant, QuotaReply, QuotaRequest, RelayReply, RelayRequest,
};
use rf_proxy::control::quotas::index_quotas;
use rf_proxy::quota::{self, QuotaDecision};
use rf_proxy::shared::Shared;
use rf_proxy::view::View;
use rf_proxy::{peers, relay};
use rf_standin::users::mesh::proxy_settings;
use rf_transport::h1::{RequestHead, ResponseHead};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

const NAME: &str = "acme";
/// Time left to a request.
const TIME_LEFT: Millis = Millis(2000);

struct TestProxy {
    shared: Arc<Shared<PlatformDialect>>,
    address: SocketAddr,
    serving: Option<JoinHandle<()>>,
}

impl TestProxy {
    async fn start(number: usize) -> TestProxy {
        let store = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let settings = proxy_settings(&format!("quota-{number}"), "payments", ip, store);
        let (events, _) = bounded(8);
        let random = SeededRandom::new(number as u64);
        let clock = Clock::system();
        let incarnation = Incarnation(1);
        let shared = Shared::new(
            PlatformDialect,
            settings,
            clock,
            events,
            random,
            incarnation,
        );
        let shared = Arc::new(shared);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let serving = task::spawn(peers::serve(shared.clone(), listener));
        TestProxy {
            shared,
            address,
            serving: Some(serving),
        }
    }

    fn id(&self) -> InstanceId {
        self.shared.instance_id
    }

    async fn admit(&self) -> QuotaDecision {
        let now = self.shared.now();
        let organisation = Some(OrganisationId::of(&NAME.into()));
        let view = self.shared.view.load_full();
        quota::admit(&self.shared, &view, organisation, now, now + TIME_LEFT).await
    }

    /// Sends `count` requests at once and returns how many were admitted.
    async fn admit_all(&self, count: usize) -> usize {
        let mut decisions = Vec::new();
        for _ in 0..count {
            decisions.push(self.admit());
        }
        let mut admitted = 0;
        for decision in join_all(decisions).await {
            admitted += usize::from(matches!(decision, QuotaDecision::Admitted(Some(_))));
        }
        admitted
    }

    fn count(&self, metric: &str) -> f64 {
        let text = String::from_utf8(self.shared.metrics.encode()).expect("text");
        let name = format!("rosemaryfork_{metric}");
        let lines = text.lines().filter(|l| l.starts_with(&name));
        let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }
}

/// Awaits futures concurrently; returns their results in order.
async fn join_all<T>(futures: Vec<impl Future<Output = T>>) -> Vec<T> {
    let mut futures: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<T>> = futures.iter().map(|_| None).collect();
    futures_lite::future::poll_fn(|context| {
        for (future, result) in futures.iter_mut().zip(&mut results) {
            if result.is_none()
                && let std::task::Poll::Ready(value) = future.as_mut().poll(context)
            {
                *result = Some(value);
            }
        }
        match results.iter().all(Option::is_some) {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    results.into_iter().flatten().collect()
}

struct TestMesh {
    /// The owner of the organisation is the first.
    proxies: Vec<TestProxy>,
}

impl TestMesh {
    async fn start(rate: u32, burst: u32) -> TestMesh {
        let mut proxies = Vec::new();
        for number in 0..3 {
            proxies.push(TestProxy::start(number).await);
        }
        let ids = proxies.iter().map(TestProxy::id);
        let organisation = OrganisationId::of(&NAME.into());
        let ranked = highest_ranked(organisation.0, ids, 3);
        proxies.sort_by_key(|p| ranked.iter().position(|id| *id == p.id()));
        let mesh = TestMesh { proxies };
        mesh.publish(0, rate, burst);
        mesh
    }

    /// Publishes a view in which the proxies from `first` on are reachable.
    fn publish(&self, first: usize, rate: u32, burst: u32) {
        let rate = RequestRate::per_second(rate);
        let organisation = Organisation {
            quota: Some(Quota { rate, burst }),
            ..Organisation::default()
        };
        let table = Arc::new(RouteTable {
            version: ConfigVersion(1),
            organisations: [(NAME.into(), organisation)].into(),
            ..RouteTable::default()
        });
        let reachable = &self.proxies[first..];
        let view = View {
            quotas: index_quotas(&table, &View::default()),
            table,
            proxies: reachable.len(),
            known_proxies: self.proxies.len(),
            peers: Arc::new(reachable.iter().map(|p| (p.id(), p.address)).collect()),
            ..View::default()
        };
        for proxy in reachable {
            proxy.shared.view.store(Arc::new(view.clone()));
        }
    }

    /// Ends the owner as if its process were killed: nothing listens at its address.
    async fn kill_owner(&mut self) {
        if let Some(serving) = self.proxies[0].serving.take() {
            serving.cancel().await;
        }
        for proxy in &self.proxies {
            proxy.shared.peer_pool.evict(self.proxies[0].address);
        }
    }
}

#[async_std::test]
async fn requests_that_wait_together_share_one_message() {
    let mesh = TestMesh::start(300, 300).await;
    assert_eq!(mesh.proxies[1].admit_all(20).await, 20);
    let messages = mesh.proxies[1].count("quota_messages_total");
    assert!(messages <= 2.0, "{messages} messages for 20 requests");
    assert_eq!(mesh.proxies[0].count("quota_owned"), 1.0);
    assert_eq!(mesh.proxies[0].admit_all(1).await, 1);
    let sent = mesh.proxies[0].count("quota_messages_total");
    assert_eq!(sent, 0.0, "the owner asks nobody");
}

#[async_std::test]
async fn requests_beyond_the_quota_are_refused_at_once() {
    let mesh = TestMesh::start(1, 4).await;
    let start = Instant::now();
    let mut admitted = 0;
    for _ in 0..5 {
        admitted += mesh.proxies[1].admit_all(2).await;
        admitted += mesh.proxies[2].admit_all(2).await;
    }
    let took = start.elapsed().as_millis();
    assert!((4..=5).contains(&admitted), "{admitted} admitted");
    assert!(took < 300, "took {took} ms");
    let decision = mesh.proxies[1].admit().await;
    assert!(
        matches!(decision, QuotaDecision::Refused(wait) if wait > Millis(500)),
        "{decision:?}"
    );
}

/// The token of a refused request would otherwise be lost to its organisation, at the owner and at
/// other proxies.
#[async_std::test]
async fn a_token_whose_request_did_not_run_is_used_again() {
    for number in [0, 1] {
        let mesh = TestMesh::start(0, 1).await;
        let proxy = &mesh.proxies[number];
        let QuotaDecision::Admitted(token) = proxy.admit().await else {
            panic!("the first token was refused");
        };
        let view = proxy.shared.view.load_full();
        quota::put_back(&proxy.shared, &view, token);
        assert_eq!(proxy.admit_all(2).await, 1);
    }
}

/// While no owner replies, a proxy serves its part and refuses the rest at once.
#[async_std::test]
async fn a_dead_owner_costs_no_more_than_its_timeout() {
    let mut mesh = TestMesh::start(300, 300).await;
    assert_eq!(mesh.proxies[1].admit_all(4).await, 4);
    mesh.kill_owner().await;
    let start = Instant::now();
    let admitted = mesh.proxies[2].admit_all(60).await;
    let took = start.elapsed().as_millis();
    // A start of M / 4 over three proxies is 16 tokens, and 75 tokens accrue in a second.
    assert!((10..=45).contains(&admitted), "{admitted} admitted");
    assert!(took < 400, "took {took} ms");
    assert!(mesh.proxies[2].count("quota_total{result=\"fallback\"}") >= 10.0);
    // Membership names another owner, which starts with a quarter of the margin.
    mesh.publish(1, 300, 300);
    assert!(mesh.proxies[2].admit_all(20).await >= 15);
    assert_eq!(mesh.proxies[1].count("quota_owned"), 1.0);
}

#[async_std::test]
async fn an_organisation_without_a_quota_never_waits() {
    let mesh = TestMesh::start(1, 1).await;
    let proxy = &mesh.proxies[1];
    let now = proxy.shared.now();
    let view = proxy.shared.view.load_full();
    for organisation in [None, Some(OrganisationId(1))] {
        let decision = quota::admit(&proxy.shared, &view, organisation, now, now).await;
        assert_eq!(decision, QuotaDecision::Admitted(None));
    }
    assert_eq!(proxy.count("quota_messages_total"), 0.0);
}

/// The cost of a message in the design page is worked out with this size.
#[test]
fn a_message_for_one_organisation_takes_less_than_220_bytes() {
    let organisation = OrganisationId(u64::MAX);
    let request = QuotaRequest {
        from: InstanceId(u64::MAX),
        claims: vec![QuotaClaim {
            organisation,
            wanted: 64,
            unspent: 3,
        }],
    };
    let reply = QuotaReply {
        grants: vec![QuotaGrant {
            organisation,
            tokens: 64,
            lifetime: Millis(1000),
            wait: Millis(1000),
            is_owner: true,
        }],
    };
    let request = relay::encode(&RelayRequest::Quota(Box::new(request))).expect("it encodes");
    let reply = relay::encode(&RelayReply::Quota(Box::new(reply))).expect("it encodes");
    let request_head = RequestHead::new("POST", relay::PATH, "192.168.100.100:12345");
    let request_head = request_head.encode(request.len());
    let reply_head = ResponseHead::new(200).encode(Some(reply.len()));
    let bytes = request_head.len() + request.len() + reply_head.len() + reply.len();
    println!(
        "{bytes} bytes: heads {} and {}, bodies {} and {}",
        request_head.len(),
        reply_head.len(),
        request.len(),
        reply.len()
    );
    assert!(bytes < 220, "{bytes}");
}
