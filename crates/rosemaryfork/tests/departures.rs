//! What a backend server that leaves is promised by the acknowledgement, with real processes: no
//! request reaches it any more, whatever becomes of its proxy and whichever heartbeats arrive late.

#[path = "common/machines.rs"]
mod machines;

use async_std::task;
use machines::{BORN, Machine, Mesh, POLL, START_TIMEOUT};
use rf_standin::users::StoreFault;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// Time after the acknowledgement by which the last request has reached the server.
const DRAIN: Duration = Duration::from_millis(1000);
/// Time for which a server that has left is watched.
const WATCH: Duration = Duration::from_millis(5000);

/// Returns how many requests have reached the server of a machine later than [`DRAIN`] after `left`.
fn late_arrivals(machine: &Machine, left: Instant) -> usize {
    let arrivals = machine.server.arrivals();
    arrivals.iter().filter(|a| a.at > left + DRAIN).count()
}

/// Starts the proxy of the first machine again and delivers the heartbeat `seq` as soon as it
/// can be, and twice more later. Then returns how many requests have reached the server since.
async fn restart_and_watch(mesh: &mut Mesh, seq: u64, born: u64, left: Instant) -> usize {
    mesh.machines[0].start();
    let restarted = Instant::now();
    while mesh.machines[0]
        .announce(seq, born, "ready")
        .await
        .is_none()
    {
        assert!(restarted.elapsed() < START_TIMEOUT, "it is not started");
        task::sleep(POLL).await;
    }
    task::sleep(Duration::from_millis(700)).await;
    mesh.machines[0].announce(seq, born, "ready").await;
    task::sleep(Duration::from_millis(1500)).await;
    mesh.machines[0].announce(seq, born, "ready").await;
    watch(mesh, left).await
}

async fn watch(mesh: &Mesh, left: Instant) -> usize {
    task::sleep(WATCH.saturating_sub(left.elapsed())).await;
    let others = &mesh.machines[1..];
    let served: usize = others.iter().map(|m| late_arrivals(m, left)).sum();
    assert!(served > 50, "only {served} requests reach the others");
    late_arrivals(&mesh.machines[0], left)
}

// Guards against a proxy that forgets in a restart that its server has left.
#[async_std::test]
async fn a_departure_outlives_a_restart_of_the_proxy() {
    let mut mesh = Mesh::start(1).await;
    let late = mesh.machines[0].seq + 1;
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    let left = Instant::now();
    task::sleep(Duration::from_millis(300)).await;
    mesh.machines[0].kill();
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// Guards against an acknowledgement that nobody remembers once the process that gave it has ended.
#[async_std::test]
async fn a_departure_outlives_a_kill_right_after_its_acknowledgement() {
    let mut mesh = Mesh::start(2).await;
    let late = mesh.machines[0].seq + 1;
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// The same for a server that says that it drains.
#[async_std::test]
async fn a_drain_outlives_a_kill_right_after_its_acknowledgement() {
    let mut mesh = Mesh::start(3).await;
    mesh.machines[0].seq += 1;
    let late = mesh.machines[0].seq;
    assert_eq!(mesh.machines[0].beat("draining").await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// Guards against a departure that is forgotten since all who knew of it have restarted.
#[async_std::test]
async fn a_departure_outlives_a_kill_of_all_proxies() {
    let mut mesh = Mesh::start(4).await;
    let late = mesh.machines[0].seq + 1;
    assert_eq!(mesh.machines[0].withdraw(None).await, Some(200));
    for machine in &mut mesh.machines {
        machine.kill();
    }
    let left = Instant::now();
    for machine in &mut mesh.machines[1..] {
        machine.start();
    }
    let others = mesh.machines[1..].iter_mut();
    for machine in others {
        let start = Instant::now();
        while machine.beat("ready").await.is_none() {
            assert!(start.elapsed() < START_TIMEOUT, "it is not started");
            task::sleep(POLL).await;
        }
    }
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// Guards against an acknowledgement that is only good while the store answers.
#[async_std::test]
async fn a_departure_without_the_store_outlives_a_kill_of_the_proxy() {
    let mut mesh = Mesh::start(5).await;
    let late = mesh.machines[0].seq + 1;
    mesh.store.set_fault(StoreFault::Silent);
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// Guards against an acknowledgement that is only good while other proxies answer.
#[async_std::test]
async fn a_departure_without_other_proxies_outlives_a_kill_of_the_proxy() {
    let mut mesh = Mesh::start(6).await;
    let late = mesh.machines[0].seq + 1;
    for machine in &mut mesh.machines[1..] {
        let process = machine.process.as_mut().expect("it runs");
        process.signal(Signal::STOP);
    }
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    mesh.machines[0].kill();
    let left = Instant::now();
    for machine in &mut mesh.machines[1..] {
        let process = machine.process.as_mut().expect("it runs");
        process.signal(Signal::CONT);
    }
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// Guards against a promise that nobody can keep: neither the store nor another proxy is there. An
// answer that is not the store's is no copy either.
#[async_std::test]
async fn a_departure_that_nobody_can_remember_is_not_acknowledged() {
    for (network, fault) in [(7, StoreFault::Silent), (12, StoreFault::Nonsense)] {
        let mut mesh = Mesh::start(network).await;
        mesh.store.set_fault(fault);
        for machine in &mut mesh.machines[1..] {
            machine.kill();
        }
        let status = mesh.machines[0].withdraw(Some(BORN)).await;
        assert_ne!(status, Some(200), "{fault:?}");
        let left = Instant::now();
        task::sleep(DRAIN * 2).await;
        assert_eq!(late_arrivals(&mesh.machines[0], left), 0);
        // Once somebody remembers it, the repeated call is acknowledged.
        mesh.store.set_fault(StoreFault::None);
        let start = Instant::now();
        while mesh.machines[0].withdraw(Some(BORN)).await != Some(200) {
            assert!(start.elapsed() < START_TIMEOUT, "it is not acknowledged");
        }
    }
}

// Guards against a departure that is acknowledged and ignored, since the clock of the machine was
// set back before the server was started again under its id.
#[async_std::test]
async fn a_departure_with_an_earlier_start_time_is_obeyed() {
    for (network, calls) in [(8, "draining"), (9, "withdrawal")] {
        let mut mesh = Mesh::start(network).await;
        let machine = &mut mesh.machines[0];
        machine.born = BORN - 600_000;
        machine.seq = 0;
        machine.beat("ready").await;
        task::sleep(Duration::from_millis(500)).await;
        machine.beat("ready").await;
        let status = match calls {
            "draining" => machine.beat("draining").await,
            _ => machine.withdraw(Some(machine.born)).await,
        };
        assert_eq!(status, Some(200));
        let left = Instant::now();
        // A heartbeat of the process before, which was on its way when that crashed.
        mesh.machines[0].announce(99, BORN, "ready").await;
        assert_eq!(watch(&mesh, left).await, 0, "after {calls}");
    }
}

// Guards against a withdrawal without a start time that is known to the proxy alone, which had no
// heartbeat of the process.
#[async_std::test]
async fn a_withdrawal_of_an_unknown_process_outlives_a_restart() {
    let mut mesh = Mesh::start(10).await;
    let late = mesh.machines[0].seq + 1;
    mesh.machines[0].kill();
    mesh.machines[0].start();
    let start = Instant::now();
    while mesh.machines[0].withdraw(None).await != Some(200) {
        assert!(start.elapsed() < START_TIMEOUT, "it is not acknowledged");
        task::sleep(POLL).await;
    }
    mesh.machines[0].kill();
    let left = Instant::now();
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}

// Guards against a departure that a stopping proxy acknowledges and takes with it.
#[async_std::test]
async fn a_departure_outlives_the_planned_stop_of_the_proxy() {
    let mut mesh = Mesh::start(11).await;
    let late = mesh.machines[0].seq + 1;
    let process = mesh.machines[0].process.as_mut().expect("it runs");
    process.signal(Signal::TERM);
    task::sleep(Duration::from_millis(1800)).await;
    assert_eq!(mesh.machines[0].withdraw(Some(BORN)).await, Some(200));
    let left = Instant::now();
    let process = mesh.machines[0].process.as_mut().expect("it runs");
    while process.exit_status().is_none() {
        assert!(left.elapsed() < START_TIMEOUT, "it does not end");
        task::sleep(POLL).await;
    }
    assert_eq!(restart_and_watch(&mut mesh, late, BORN, left).await, 0);
}
