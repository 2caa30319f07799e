//! Tests of the command line against running daemons.

mod common;

use async_std::task;
use common::{counter_of, spec, start};
use rf_standin::cluster::{Cluster, KEY, one_service};
use std::process::{Command, Output};

fn run(args: &[&str], cluster: Option<&Cluster>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosemaryfork"));
    command.args(args);
    if let Some(cluster) = cluster {
        let daemon = cluster.instances[0].settings.listen.operators;
        command.env("ROSEMARYFORK_DAEMON", daemon.to_string());
        command.env("ROSEMARYFORK_KEY", KEY);
    }
    command.output().expect("the program runs")
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("{out}{err}")
}

fn sample(name: &str) -> String {
    format!("{}/../../samples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn samples_pass_the_check_and_errors_name_the_field() {
    for name in ["settings.json", "mesh.json"] {
        let output = run(&["check", &sample(name)], None);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    }
    let folder = std::env::temp_dir().join(format!("rosemaryfork-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder");
    let path = folder.join("bad.json");
    std::fs::write(&path, r#"{"services": {}, "routes": [{"prefix": 5}]}"#).expect("written");
    let output = run(&["check", &path.to_string_lossy()], None);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output).contains("at routes[0].prefix"),
        "{}",
        text(&output)
    );
    std::fs::remove_dir_all(&folder).ok();
}

#[test]
fn help_usage_errors_and_an_unreachable_daemon_have_distinct_exit_codes() {
    assert_eq!(run(&["--help"], None).status.code(), Some(0));
    assert_eq!(run(&["no-such-command"], None).status.code(), Some(2));
    let missing = run(&["shift", "--key", "k", "payments", "v2"], None);
    assert_eq!(missing.status.code(), Some(2), "{}", text(&missing));
    let unreachable = run(&["status", "--key", "k", "--daemon", "127.0.0.1:9"], None);
    assert_eq!(unreachable.status.code(), Some(3), "{}", text(&unreachable));
}

#[test]
fn commands_drive_a_move_from_plan_to_take_back() {
    task::block_on(async {
        let specs = vec![spec(0, "v1"), spec(1, "v2")];
        let cluster = start(specs, &one_service(&[("v1", 100), ("v2", 0)])).await;
        let c = Some(&cluster);
        let plan = run(&["shift", "payments", "v2", "--by", "90s", "--json"], c);
        assert_eq!(plan.status.code(), Some(0), "{}", text(&plan));
        let plan: rf_config::Plan = serde_json::from_slice(&plan.stdout).expect("a plan");
        let shown = run(&["shift", "payments", "v2", "--by", "90s"], c);
        assert!(
            text(&shown).contains("step 1: 5% of the way"),
            "{}",
            text(&shown)
        );
        let confirmed = run(&["confirm", &plan.id.to_string()], c);
        assert_eq!(confirmed.status.code(), Some(0), "{}", text(&confirmed));
        let conflict = run(&["shift", "payments", "v2", "--by", "90s"], c);
        assert_eq!(conflict.status.code(), Some(1), "{}", text(&conflict));
        let id = rf_base::MoveId(plan.id.0).to_string();
        let moves = run(&["moves"], c);
        assert!(text(&moves).contains(&id), "{}", text(&moves));
        let take_back = run(&["take-back", &id, "--json"], c);
        let take_back: rf_config::Plan = serde_json::from_slice(&take_back.stdout).expect("a plan");
        let confirmed = run(&["confirm", &take_back.id.to_string()], c);
        assert_eq!(confirmed.status.code(), Some(0), "{}", text(&confirmed));
        let watch = run(&["watch", &id], c);
        assert_eq!(watch.status.code(), Some(5), "{}", text(&watch));
        assert!(
            text(&watch).contains("taken back by an operator"),
            "{}",
            text(&watch)
        );
        let counter = counter_of(&cluster).await;
        cluster
            .wait_for_config(counter)
            .await
            .expect("acknowledged");
        let status = run(&["status"], c);
        assert!(
            text(&status).contains("in force on 2 of 2 daemons"),
            "{}",
            text(&status)
        );
        let unknown = run(&["confirm", "p-1"], c);
        assert_eq!(unknown.status.code(), Some(1), "{}", text(&unknown));
    });
}
