//! Backend servers that name a limit in their answers, or say that they leave.

use async_std::task;
use rf_base::Millis;
use rf_standin::users::mesh::{Answer, CallerRequest, wait_until};
use rf_standin::users::server::{Arrival, Statements};
use rf_standin::users::{Mesh, MeshSettings, UsersServer};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between two requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Length of the window in which the users' rule counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Starts a mesh with `count` backend servers of `payments`.
async fn start(network: u8, count: usize) -> Arc<Mesh> {
    let settings = MeshSettings {
        services: vec![("payments".to_owned(), count)],
        network,
        ..MeshSettings::default()
    };
    Arc::new(Mesh::start(settings).await.expect("the mesh starts"))
}

/// Sends requests to every proxy at a steady rate for `span`; returns the answers.
async fn load(mesh: &Arc<Mesh>, round: &str, span: Duration) -> Vec<Answer> {
    let callers = (0..mesh.instances.len()).map(|proxy| {
        let (mesh, round) = (mesh.clone(), round.to_owned());
        task::spawn(async move {
            let start = Instant::now();
            let mut calls = Vec::new();
            while start.elapsed() < span {
                let request = CallerRequest::pay(&format!("{round}-{proxy}-{}", calls.len()));
                let mesh = mesh.clone();
                let call = async move { mesh.send(proxy, &request).await.expect("an answer") };
                calls.push(task::spawn(call));
                task::sleep(CALL_INTERVAL).await;
            }
            let mut answers = Vec::new();
            for call in calls {
                answers.push(call.await);
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await);
    }
    answers
}

/// Returns the largest number of arrivals in any window of the users' rule.
fn most_in_window(arrivals: &[Arrival]) -> usize {
    let in_window = |from: &Arrival| {
        let is_inside = |a: &&Arrival| a.at >= from.at && a.at < from.at + WINDOW;
        arrivals.iter().filter(is_inside).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

/// Lets a backend server say that it leaves, and waits until it has said so in an answer.
async fn tell_leaving(mesh: &Arc<Mesh>, leaving: &UsersServer) {
    leaving.set_statements(Statements {
        is_leaving: true,
        ..Statements::default()
    });
    // With long runs, no server has room for all of the load alone.
    set_run_times(mesh, Millis(100));
    let untold = leaving.arrivals().len();
    wait_until("it has said so", || async {
        load(mesh, "told", Duration::from_millis(300)).await;
        leaving.arrivals().len() > untold
    })
    .await;
    set_run_times(mesh, Millis(5));
}

fn set_run_times(mesh: &Mesh, time: Millis) {
    for instance in &mesh.instances {
        instance.server.set_run_time(time);
    }
}

fn count_status(answers: &[Answer], status: u16) -> usize {
    answers.iter().filter(|a| a.head.status == status).count()
}

#[async_std::test]
async fn a_server_gets_no_more_requests_than_the_limit_that_it_named() {
    let mesh = start(81, 3).await;
    // The other servers have no room for all of the load, so that the limited one is needed.
    set_run_times(&mesh, Millis(100));
    let limited = &mesh.instances[0].server;
    limited.set_statements(Statements::limit("10"));
    load(&mesh, "told", Duration::from_millis(1000)).await;
    let told = limited.arrivals().len();
    let answers = load(&mesh, "bound", Duration::from_millis(5000)).await;
    let most = most_in_window(&limited.arrivals_from(told));
    // One and a half times what the limit allows in 4 s, and 5 requests.
    assert!(
        most <= 65,
        "{most} requests in 4 s at a limit of 10 a second"
    );
    assert!(
        most >= 30,
        "only {most} of the 40 requests that it takes in 4 s"
    );
    let answered = count_status(&answers, 200) + count_status(&answers, 503);
    assert_eq!(answered, answers.len());
}

#[async_std::test]
async fn a_server_that_says_it_leaves_gets_no_more_requests() {
    let mesh = start(82, 2).await;
    let leaving = &mesh.instances[0].server;
    tell_leaving(&mesh, leaving).await;
    task::sleep(Millis(500).duration()).await;
    let before = leaving.arrivals().len();
    let answers = load(&mesh, "after", Duration::from_millis(1000)).await;
    assert_eq!(leaving.arrivals().len(), before);
    assert_eq!(count_status(&answers, 200), answers.len());
}

#[async_std::test]
async fn a_late_heartbeat_does_not_bring_back_a_server_that_said_it_leaves() {
    let mesh = start(83, 2).await;
    let leaving = &mesh.instances[0].server;
    tell_leaving(&mesh, leaving).await;
    let before = leaving.arrivals().len();
    let late = mesh.instances[0].announce_numbered(99, "ready").await;
    assert_eq!(late.ok(), Some(200));
    for number in 0..20 {
        let request = CallerRequest::pay(&format!("late-{number}"));
        let answer = mesh.send(number % 2, &request).await.expect("an answer");
        assert_eq!(answer.head.status, 200);
    }
    assert_eq!(leaving.arrivals().len(), before);
}

#[async_std::test]
async fn a_limit_of_zero_ends_once_the_server_names_none() {
    let mesh = start(84, 2).await;
    let limited = &mesh.instances[0].server;
    limited.set_statements(Statements::limit("0"));
    load(&mesh, "told", Duration::from_millis(500)).await;
    let told = limited.arrivals().len();
    let answers = load(&mesh, "zero", Duration::from_millis(4500)).await;
    assert_eq!(count_status(&answers, 200), answers.len());
    let most = most_in_window(&limited.arrivals_from(told));
    assert!(most <= 5, "{most} requests in 4 s at a limit of zero");
    limited.set_statements(Statements::default());
    // The other server has no room for all of the load from now on.
    set_run_times(&mesh, Millis(100));
    wait_until("it gets requests again", || async {
        let before = limited.arrivals().len();
        load(&mesh, "ended", Duration::from_millis(500)).await;
        limited.arrivals().len() - before > 5
    })
    .await;
}

#[async_std::test]
async fn limits_that_are_no_figures_have_no_effect() {
    let mesh = start(85, 1).await;
    let server = &mesh.instances[0].server;
    let texts = ["-1", "NaN", "inf", "1e99", "", "ten", "5 a second"];
    let mut cases: Vec<Vec<String>> = texts.iter().map(|t| vec![(*t).to_owned()]).collect();
    cases.push(vec!["5".to_owned(), "6".to_owned()]);
    for (number, limits) in cases.into_iter().enumerate() {
        server.set_statements(Statements {
            limits: limits.clone(),
            is_leaving: false,
        });
        let before = server.arrivals().len();
        let round = format!("case-{number}");
        let answers = load(&mesh, &round, Duration::from_millis(500)).await;
        assert_eq!(count_status(&answers, 200), answers.len(), "{limits:?}");
        let got = server.arrivals().len() - before;
        assert_eq!(got, answers.len(), "{limits:?}");
    }
}

#[async_std::test]
async fn requests_beyond_the_limits_of_a_whole_service_are_rejected_at_once() {
    let mesh = start(86, 2).await;
    for instance in &mesh.instances {
        instance.server.set_statements(Statements::limit("10"));
    }
    load(&mesh, "told", Duration::from_millis(1000)).await;
    let start = Instant::now();
    let told: Vec<usize> = mesh
        .instances
        .iter()
        .map(|i| i.server.arrivals().len())
        .collect();
    let answers = load(&mesh, "bound", Duration::from_millis(4000)).await;
    // The last request is sent at 4 s and has a latency target of 1 s.
    let took = start.elapsed();
    assert!(took < Duration::from_millis(5500), "{took:?}");
    let refused: Vec<&Answer> = answers.iter().filter(|a| a.head.status == 503).collect();
    assert!(
        refused.len() > answers.len() / 2,
        "{} refused",
        refused.len()
    );
    assert!(
        refused
            .iter()
            .all(|a| a.retry_after().is_some_and(|s| s > 0.0))
    );
    for (instance, told) in mesh.instances.iter().zip(told) {
        let most = most_in_window(&instance.server.arrivals_from(told));
        assert!((30..=65).contains(&most), "{most} requests in 4 s");
    }
    assert_eq!(count_status(&answers, 200) + refused.len(), answers.len());
}
