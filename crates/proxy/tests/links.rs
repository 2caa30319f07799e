//! Links between proxies: a reply is matched to its attempt, and a broken one is no answer.

use rf_base::Millis;
use rf_standin::link::{Link, LinkMode};
use rf_standin::users::mesh::{CallerRequest, RELAY_PORT};
use rf_standin::users::server::response_body;
use rf_standin::users::{Mesh, MeshSettings};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of the link stand-in in front of each proxy.
const LINK_PORT: u16 = 9005;

/// Starts a mesh of one server for each of two services, whose proxies reach each other through
/// links.
async fn start(network: u8) -> (Mesh, Link) {
    let link = Link::default();
    for number in 1..=2 {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 9, network, number));
        let at = |port| SocketAddr::new(ip, port);
        let starting = link.start(at(LINK_PORT), at(RELAY_PORT));
        starting.await.expect("the address of the link");
    }
    let settings = MeshSettings {
        network,
        services: vec![("payments".to_owned(), 1), ("records".to_owned(), 1)],
        relay_public: Some(LINK_PORT),
        ..MeshSettings::default()
    };
    (Mesh::start(settings).await.expect("the mesh starts"), link)
}

// Guards against the reply to an earlier attempt of a reused connection, between proxies.
#[async_std::test]
async fn reply_to_an_earlier_attempt_is_not_taken_for_the_answer() {
    let (mesh, link) = start(196).await;
    link.set_mode(LinkMode::Repeats);
    for number in 0..20 {
        let request = format!("p-{number}");
        let ask = CallerRequest::pay(&request);
        let answer = mesh.send(1, &ask).await.expect("an answer");
        assert_eq!(answer.head.status, 200, "{request}");
        assert_eq!(answer.body, response_body(&request).into_bytes());
        assert_eq!(mesh.runs(&request), 1);
    }
}

// Guards against a reply that ends in its head and passes for an answer or for "not run".
#[async_std::test]
async fn reply_cut_in_its_head_is_neither_an_answer_nor_a_refusal() {
    let (mesh, link) = start(197).await;
    link.set_mode(LinkMode::Cuts);
    for number in 0..5 {
        let request = format!("p-{number}");
        let ask = CallerRequest {
            timeout: Millis(1500),
            ..CallerRequest::pay(&request)
        };
        let answer = mesh.send(1, &ask).await.expect("an answer");
        let runs = mesh.runs(&request);
        match answer.head.status {
            502 | 504 => assert!(runs <= 1),
            503 => assert_eq!(runs, 0),
            status => panic!("status {status}"),
        }
    }
}

// Guards against MIXED: an answer that another proxy passed on unchecked reached its caller.
#[async_std::test]
async fn answer_that_no_message_can_have_had_is_not_delivered() {
    let (mesh, link) = start(198).await;
    let modes = [
        LinkMode::ForgesStatus,
        LinkMode::ForgesName,
        LinkMode::ForgesValue,
    ];
    for mode in modes {
        link.set_mode(mode);
        let request = format!("p-{mode:?}");
        let answer = mesh.send(1, &CallerRequest::pay(&request)).await;
        let status = answer.map(|a| a.head.status);
        assert_eq!(status.ok(), Some(502), "{mode:?}");
        assert_eq!(mesh.runs(&request), 1, "{mode:?}");
    }
    link.set_mode(LinkMode::ForgesLength);
    let answer = mesh.send(1, &CallerRequest::pay("p-length")).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.body, response_body("p-length").into_bytes());
}
