//! Memory of real proxies while answers never end, and what the callers of others get meanwhile.
//!
//! Bytes without end come from a backend server, from another proxy and from the store.

#[path = "common/machines.rs"]
mod machines;

use async_std::future::timeout;
use async_std::task;
use machines::{Equipment, Mesh, START_TIMEOUT};
use rf_base::Millis;
use rf_standin::link::Link;
use rf_standin::process::read_peak;
use rf_standin::raw_answer::Endless;
use rf_standin::users::mesh::{CallerRequest, RELAY_PORT, encode, read_answer};
use rf_standin::users::{ServerBehaviour, StoreFault};
use rf_transport::h1::Connection;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Memory of each proxy, in MiB.
const MEMORY: u64 = 64;
/// Slots of each backend server.
const SLOTS: u32 = 64;
/// Time that a caller gives its request.
const DEADLINE: Millis = Millis(1500);
/// Time after the deadline within which an answer must arrive.
const GRACE: Duration = Duration::from_millis(500);
/// Interval between the requests of the other callers.
const PACE: Duration = Duration::from_millis(20);
/// Time for which the store sends bytes without end.
const STORE_FAULT: Duration = Duration::from_millis(2500);
/// Port of the link in front of the first proxy.
const LINK_PORT: u16 = 9005;

/// Starts a machine for each of three services, and waits until each proxy serves `payments`, the
/// service of the first machine, and `archive`, that of the last one.
async fn start(network: u8, relay_public: Option<u16>) -> Mesh {
    let equipment = Equipment {
        services: ["payments", "records", "archive"],
        slots: SLOTS,
        memory: MEMORY,
        relay_public,
    };
    let mut mesh = Mesh::start_with(network, equipment).await;
    let start = Instant::now();
    loop {
        let mut is_serving = true;
        for machine in &mut mesh.machines {
            machine.beat("ready").await;
            let address = machine.settings.listen.callers;
            for request in [pay("warm-up"), find("warm-up")] {
                is_serving &= send(address, request).await == Some(200);
            }
        }
        if is_serving {
            return mesh;
        }
        assert!(start.elapsed() < START_TIMEOUT, "a service is not served");
    }
}

fn pay(id: &str) -> CallerRequest {
    CallerRequest {
        timeout: DEADLINE,
        ..CallerRequest::pay(id)
    }
}

fn find(id: &str) -> CallerRequest {
    CallerRequest {
        target: "/archive/x".to_owned(),
        timeout: DEADLINE,
        ..CallerRequest::read(id)
    }
}

/// Returns the status of the answer, or `None` without an answer in time.
async fn send(address: SocketAddr, request: CallerRequest) -> Option<u16> {
    let limit = request.timeout.duration() + GRACE;
    let sending = async {
        let mut connection = Connection::open(address, Millis(1000)).await.ok()?;
        connection.write(&encode(&request)).await.ok()?;
        let answer = read_answer(&mut connection, request.method).await.ok()?;
        Some(answer.head.status)
    };
    timeout(limit, sending).await.ok().flatten()
}

/// Sends as many payments as there are slots to the proxy at `address`, and requests to the archive
/// until all are answered.
async fn send_beside_others(what: &str, address: SocketAddr) {
    let payments: Vec<_> = (0..SLOTS)
        .map(|n| task::spawn(send(address, pay(&format!("{what}-{address}-{n}")))))
        .collect();
    let all = async {
        let mut statuses = Vec::new();
        for payment in payments {
            statuses.push(payment.await);
        }
        statuses
    };
    let mut all = std::pin::pin!(all);
    let mut others = Vec::new();
    let statuses = loop {
        let id = format!("{what}-{address}-other-{}", others.len());
        others.push(send(address, find(&id)).await);
        if let Ok(statuses) = timeout(PACE, all.as_mut()).await {
            break statuses;
        }
    };
    // A payment may be refused for want of a slot; then it has not run.
    let is_true = |s: &Option<u16>| matches!(s, Some(502..=504));
    assert!(statuses.iter().all(is_true), "{what}: {statuses:?}");
    let served = others.iter().filter(|s| **s == Some(200)).count();
    assert_eq!(served, others.len(), "{what}: others got {others:?}");
}

fn expect_within_memory(what: &str, mesh: &mut Mesh) {
    for machine in &mut mesh.machines {
        let name = &machine.settings.instance;
        let process = machine.process.as_mut().expect("a process");
        let peak = read_peak(process.id()).expect("the peak");
        println!("{what}: {name} at {peak} MiB");
        assert!(peak <= MEMORY, "{what}: {name} reached {peak} MiB");
        assert!(process.exit_status().is_none(), "{what}: {name} has ended");
    }
}

// Guards against LOST: a proxy kept all that a faulty server sent.
#[async_std::test]
async fn a_proxy_stays_within_its_memory_while_its_server_sends_without_end() {
    let mut mesh = start(41, None).await;
    for kind in Endless::ALL {
        mesh.machines[0]
            .server
            .set_behaviour(ServerBehaviour::Endless(kind));
        for machine in &mut mesh.machines {
            machine.beat("ready").await;
        }
        for number in 0..2 {
            let address = mesh.machines[number].settings.listen.callers;
            send_beside_others(&format!("{kind:?}"), address).await;
        }
        expect_within_memory(&format!("{kind:?}"), &mut mesh);
    }
}

// Guards against LOST: a proxy kept all that another process sent at the address of a proxy.
#[async_std::test]
async fn a_proxy_stays_within_its_memory_while_another_sends_without_end() {
    let link = Link::default();
    let ip = [127, 11, 42, 1];
    let (near, far) = (
        SocketAddr::from((ip, LINK_PORT)),
        SocketAddr::from((ip, RELAY_PORT)),
    );
    link.start(near, far)
        .await
        .expect("the address of the link");
    let mut mesh = start(42, Some(LINK_PORT)).await;
    for kind in Endless::ALL {
        link.set_endless(Some(kind));
        let address = mesh.machines[1].settings.listen.callers;
        send_beside_others(&format!("{kind:?}"), address).await;
        link.set_endless(None);
        expect_within_memory(&format!("{kind:?}"), &mut mesh);
        task::sleep(Duration::from_millis(500)).await;
    }
}

// Guards against LOST: a proxy kept all that the store sent.
#[async_std::test]
async fn a_proxy_stays_within_its_memory_while_the_store_sends_without_end() {
    let mut mesh = start(43, None).await;
    for kind in Endless::ALL {
        mesh.store.set_fault(StoreFault::Endless(kind));
        for machine in &mut mesh.machines {
            machine.beat("ready").await;
        }
        let start = Instant::now();
        while start.elapsed() < STORE_FAULT {
            for machine in &mesh.machines {
                let address = machine.settings.listen.callers;
                let request = find(&format!("{kind:?}-{:?}", start.elapsed()));
                assert_eq!(send(address, request).await, Some(200), "{kind:?}");
            }
            task::sleep(PACE).await;
        }
        mesh.store.set_fault(StoreFault::None);
        expect_within_memory(&format!("{kind:?}"), &mut mesh);
    }
}
