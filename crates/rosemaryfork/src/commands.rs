//! Execution of the commands.

use crate::cli::{Command, Connection, Shift};
use crate::client::{self, ClientError};
use crate::exit::Exit;
use crate::{output, proxy};
use async_channel::bounded;
use async_std::task;
use rf_base::{Clock, ConfigVersion, InstanceId, Millis, MoveId, PlanId, ServiceName, VersionName};
use rf_config::{
    Intent, MeshConfig, MoveState, Outcome, Plan, Settings, from_json, verify_mesh, verify_settings,
};
use rf_daemon::control::event::{Accepted, Confirmed};
use rf_daemon::control::status::{MoveView, StatusView};
use rf_daemon::{Daemon, telemetry};
use rf_rollout::change::Document;
use std::fs;
use std::path::Path;

/// Interval at which a watched move is polled.
const WATCH_INTERVAL: Millis = Millis(500);
/// Number of consecutive failed polls after which watching is given up.
const MAX_WATCH_FAILURES: u32 = 20;

/// Executes a command, and prints its output or error.
pub fn run(command: Command) -> Exit {
    match command {
        Command::Daemon { settings } => run_daemon(&settings),
        Command::Proxy { settings } => proxy::run(&settings),
        Command::Check { file } => check(&file),
        Command::Apply(connection, base, file) => apply(&connection, base, &file),
        Command::Retire(connection, by, instance) => {
            let instance = parse_instance(&instance);
            plan(&connection, &Intent::Retire { instance, by })
        }
        Command::Shift(connection, shift) => plan(&connection, &shift_intent(shift)),
        Command::TakeBack(connection, target) => plan(&connection, &Intent::TakeBack { target }),
        Command::Confirm(connection, plan) => confirm(&connection, plan),
        Command::Moves(connection) => moves(&connection),
        Command::Status(connection) => status(&connection),
        Command::Config(connection) => config(&connection),
        Command::Watch(connection, target) => task::block_on(watch(&connection, target)),
    }
}

fn parse_instance(text: &str) -> InstanceId {
    let is_id = text.starts_with("i-");
    let parsed = text.parse().ok().filter(|_| is_id);
    parsed.unwrap_or_else(|| InstanceId::of(text))
}

fn shift_intent(shift: Shift) -> Intent {
    Intent::Shift {
        service: ServiceName(shift.service),
        version: VersionName(shift.version),
        share: shift.share,
        by: shift.by,
    }
}

fn fail(error: &ClientError) -> Exit {
    eprintln!("error: {error}");
    error.exit()
}

fn refuse(message: impl std::fmt::Display) -> Exit {
    eprintln!("error: {message}");
    Exit::Refused
}

fn read_file(file: &Path) -> Result<String, Exit> {
    fs::read_to_string(file).map_err(|e| refuse(format!("{}: {e}", file.display())))
}

fn run_daemon(file: &Path) -> Exit {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let settings: Settings = match from_json(&text) {
        Ok(settings) => settings,
        Err(error) => return refuse(format!("{}: {error}", file.display())),
    };
    if let Err(errors) = verify_settings(&settings) {
        return refuse(format!("{}:\n{errors}", file.display()));
    }
    if let Err(error) = telemetry::start(&settings.log) {
        return refuse(error);
    }
    let (sender, receiver) = bounded(1);
    let watching = ctrlc::set_handler(move || {
        sender.try_send(()).ok();
    });
    if let Err(error) = watching {
        return refuse(format!("cannot handle signals: {error}"));
    }
    task::block_on(async {
        let daemon = match Daemon::start(settings, Clock::system()).await {
            Ok(daemon) => daemon,
            Err(error) => return refuse(error),
        };
        receiver.recv().await.ok();
        match daemon.stop().await {
            true => Exit::Success,
            false => Exit::Refused,
        }
    })
}

/// Checks a file. Its keys tell its kind: a mesh file has `services` or `routes`, settings of
/// a proxy have `server` and `bounds`, and anything else is checked as settings of a daemon.
fn check(file: &Path) -> Exit {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let name = file.display();
    let value: serde_json::Value = match from_json(&text) {
        Ok(value) => value,
        Err(error) => return refuse(format!("{name}: {error}")),
    };
    let is_mesh = value.get("services").is_some() || value.get("routes").is_some();
    let is_proxy = value.get("server").is_some() && value.get("bounds").is_some();
    let result = match (is_mesh, is_proxy) {
        (true, _) => check_mesh(&text),
        (false, true) => proxy::read_settings(&text).map(|_| "proxy settings"),
        (false, false) => check_settings(&text),
    };
    match result {
        Ok(kind) => {
            println!("{name}: {kind} ok");
            Exit::Success
        }
        Err(errors) => refuse(format!("{name}:\n{errors}")),
    }
}

fn check_mesh(text: &str) -> Result<&'static str, String> {
    let document: Document = from_json(text).map_err(|e| e.to_string())?;
    let config = MeshConfig {
        services: document.services,
        routes: document.routes,
        ..MeshConfig::default()
    };
    verify_mesh(&config).map_err(|e| e.to_string())?;
    Ok("services and routes")
}

fn check_settings(text: &str) -> Result<&'static str, String> {
    let settings: Settings = from_json(text).map_err(|e| e.to_string())?;
    verify_settings(&settings).map_err(|e| e.to_string())?;
    Ok("settings")
}

fn apply(connection: &Connection, base: Option<ConfigVersion>, file: &Path) -> Exit {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    if let Err(errors) = check_mesh(&text) {
        return refuse(format!("{}:\n{errors}", file.display()));
    }
    let mut document: Document = match from_json(&text) {
        Ok(document) => document,
        Err(error) => return refuse(error),
    };
    document.base = base.or(document.base);
    match task::block_on(client::post::<_, Accepted>(
        connection,
        "/v1/apply",
        &document,
    )) {
        Ok(accepted) if connection.json => output::print_json(&accepted),
        Ok(accepted) => println!("configuration {} accepted", accepted.counter),
        Err(error) => return fail(&error),
    }
    Exit::Success
}

fn plan(connection: &Connection, intent: &Intent) -> Exit {
    match task::block_on(client::post::<_, Plan>(connection, "/v1/plans", intent)) {
        Ok(plan) if connection.json => output::print_json(&plan),
        Ok(plan) => output::print_plan(&plan),
        Err(error) => return fail(&error),
    }
    Exit::Success
}

fn confirm(connection: &Connection, plan: PlanId) -> Exit {
    let path = format!("/v1/plans/{plan}/confirm");
    match task::block_on(client::post::<_, Confirmed>(connection, &path, &())) {
        Ok(confirmed) if connection.json => output::print_json(&confirmed),
        Ok(confirmed) => {
            let id = confirmed.confirmed;
            println!("confirmed; follow it with: rosemaryfork watch {id}");
        }
        Err(error) => return fail(&error),
    }
    Exit::Success
}

fn moves(connection: &Connection) -> Exit {
    match task::block_on(client::get::<Vec<MoveView>>(connection, "/v1/moves")) {
        Ok(moves) if connection.json => output::print_json(&moves),
        Ok(moves) if moves.is_empty() => println!("no moves"),
        Ok(moves) => moves.iter().for_each(output::print_move),
        Err(error) => return fail(&error),
    }
    Exit::Success
}

fn status(connection: &Connection) -> Exit {
    match task::block_on(client::get::<StatusView>(connection, "/v1/status")) {
        Ok(status) if connection.json => output::print_json(&status),
        Ok(status) => output::print_status(&status),
        Err(error) => return fail(&error),
    }
    Exit::Success
}

fn config(connection: &Connection) -> Exit {
    match task::block_on(client::get::<MeshConfig>(connection, "/v1/config")) {
        Ok(config) => output::print_json(&config),
        Err(error) => return fail(&error),
    }
    Exit::Success
}

async fn watch(connection: &Connection, target: MoveId) -> Exit {
    let mut last_summary = String::new();
    let mut failures = 0;
    loop {
        match client::get::<Vec<MoveView>>(connection, "/v1/moves").await {
            Ok(moves) => {
                failures = 0;
                let Some(m) = moves.iter().find(|m| m.id == target) else {
                    return refuse(format!("no move {target}"));
                };
                if m.summary != last_summary {
                    last_summary.clone_from(&m.summary);
                    print_progress(connection, m);
                }
                if let MoveState::Ended { outcome, .. } = m.state {
                    return match outcome {
                        Outcome::Done => Exit::Success,
                        Outcome::TakenBack => Exit::TakenBack,
                    };
                }
            }
            Err(error) => {
                failures += 1;
                if failures >= MAX_WATCH_FAILURES {
                    return fail(&error);
                }
            }
        }
        task::sleep(WATCH_INTERVAL.duration()).await;
    }
}

fn print_progress(connection: &Connection, m: &MoveView) {
    match connection.json {
        true => output::print_json(m),
        false => output::print_move(m),
    }
}
