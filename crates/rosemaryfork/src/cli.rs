//! Command line.

use crate::exit::Exit;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use rf_base::{ConfigVersion, Millis, MoveId, PlanId};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How to reach a daemon, and how to print.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Operators' port of any daemon.
    pub daemon: SocketAddr,
    /// The mesh's key.
    pub key: String,
    /// Whether to print JSON.
    pub json: bool,
}

/// One command.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run the daemon.
    Daemon {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run the proxy on the users' platform.
    Proxy {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check a settings or mesh file.
    Check {
        /// File to check.
        file: PathBuf,
    },
    /// Replace services and routes.
    Apply(Connection, Option<ConfigVersion>, PathBuf),
    /// Plan to retire a backend server.
    Retire(Connection, Millis, String),
    /// Plan to move a share of traffic.
    Shift(Connection, Shift),
    /// Plan to take a move back.
    TakeBack(Connection, MoveId),
    /// Confirm a plan.
    Confirm(Connection, PlanId),
    /// List moves.
    Moves(Connection),
    /// Show the mesh.
    Status(Connection),
    /// Show the configuration in force.
    Config(Connection),
    /// Follow a move to its end.
    Watch(Connection, MoveId),
}

/// What to shift.
#[derive(Clone, Debug)]
pub struct Shift {
    /// Service.
    pub service: String,
    /// Version that receives the share.
    pub version: String,
    /// Share in percent.
    pub share: u32,
    /// Deadline.
    pub by: Millis,
}

/// Parses the command line; prints help and errors itself.
pub fn parse() -> Result<Command, Exit> {
    parser().run_inner(Args::current_args()).map_err(|failure| {
        let exit = match &failure {
            ParseFailure::Stderr(_) => Exit::Usage,
            _ => Exit::Success,
        };
        failure.print_message(100);
        exit
    })
}

fn parser() -> OptionParser<Command> {
    let commands = construct!([
        daemon(),
        proxy(),
        check(),
        apply(),
        shift(),
        retire(),
        take_back(),
        confirm(),
        moves(),
        watch(),
        status(),
        config(),
    ]);
    commands
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Distributes configuration through a service mesh and moves its traffic safely.")
        .footer(
            "Exit codes: 0 done; 1 refused, nothing changed; 2 usage; 3 daemon or platform \
             unavailable, nothing changed; 4 answer lost, the change may have been made; 5 the \
             watched move was taken back.",
        )
}

fn connection() -> impl Parser<Connection> {
    let daemon = long("daemon")
        .help("Operators' port of any daemon")
        .env("ROSEMARYFORK_DAEMON")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7004)))
        .display_fallback();
    let key = long("key")
        .help("Key of the mesh; better given by the environment")
        .env("ROSEMARYFORK_KEY")
        .argument::<String>("KEY");
    let json = long("json").help("Print JSON").switch();
    construct!(Connection { daemon, key, json })
}

fn by() -> impl Parser<Millis> {
    long("by")
        .help("Deadline: a time like 2026-12-04T18:00:00Z, or a span from now like 90s or 2h")
        .argument::<String>("TIME")
        .parse(|text| parse_time(&text, SystemTime::now()))
}

/// Parses a deadline, absolute or as a span from `now`.
fn parse_time(text: &str, now: SystemTime) -> Result<Millis, String> {
    let time = match humantime::parse_duration(text.trim_start_matches('+')) {
        Ok(span) => now + span,
        Err(_) => humantime::parse_rfc3339(text)
            .map_err(|e| format!("expected a time or a span, {e}: \"{text}\""))?,
    };
    let since: Duration = time
        .duration_since(UNIX_EPOCH)
        .map_err(|_| "expected a time after 1970".to_owned())?;
    Ok(Millis(since.as_millis() as u64))
}

fn daemon() -> impl Parser<Command> {
    let settings = long("settings")
        .help("Settings file, JSON")
        .argument::<PathBuf>("FILE");
    construct!(Command::Daemon { settings })
        .to_options()
        .descr("Runs the process beside a backend server until SIGTERM.")
        .command("daemon")
}

fn proxy() -> impl Parser<Command> {
    let settings = long("settings")
        .help("Settings file, JSON; where the platform puts it if not given")
        .argument::<PathBuf>("FILE")
        .fallback_with(|| Ok::<_, std::convert::Infallible>(rf_platform::boot::settings_path()));
    construct!(Command::Proxy { settings })
        .to_options()
        .descr("Runs the proxy beside a backend server on the users' platform until SIGTERM.")
        .command("proxy")
}

fn check() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE")
        .help("Settings of a daemon or a proxy, or services and routes, as JSON");
    construct!(Command::Check { file })
        .to_options()
        .descr("Checks a settings or mesh file and prints every error with its place.")
        .command("check")
}

fn apply() -> impl Parser<Command> {
    let connection = connection();
    let base = long("base")
        .help("Refuse unless this configuration stands; config shows its counter")
        .argument::<u64>("COUNTER")
        .map(ConfigVersion)
        .optional();
    let file = positional::<PathBuf>("FILE").help("Services and routes, JSON");
    construct!(Command::Apply(connection, base, file))
        .to_options()
        .descr("Replaces services and routes, all or nothing.")
        .command("apply")
}

fn shift() -> impl Parser<Command> {
    let connection = connection();
    let share = long("share")
        .help("Share of the service's traffic that the version shall receive, in percent")
        .argument::<u32>("PERCENT")
        .fallback(100)
        .display_fallback();
    let by = by();
    let service = positional::<String>("SERVICE").help("Service to change");
    let version = positional::<String>("VERSION").help("Version that receives the share");
    let shift = construct!(Shift {
        share,
        by,
        service,
        version
    });
    construct!(Command::Shift(connection, shift))
        .to_options()
        .descr("Plans to move a share of traffic to a version; nothing happens before confirm.")
        .command("shift")
}

fn retire() -> impl Parser<Command> {
    let connection = connection();
    let by = by();
    let instance = positional::<String>("INSTANCE").help("Name or id of the instance");
    construct!(Command::Retire(connection, by, instance))
        .to_options()
        .descr("Plans to retire a backend server; nothing happens before confirm.")
        .command("retire")
}

fn take_back() -> impl Parser<Command> {
    let connection = connection();
    let target = positional::<MoveId>("MOVE").help("Move to take back");
    construct!(Command::TakeBack(connection, target))
        .to_options()
        .descr("Plans to take a running move back; nothing happens before confirm.")
        .command("take-back")
}

fn confirm() -> impl Parser<Command> {
    let connection = connection();
    let plan = positional::<PlanId>("PLAN").help("Plan to confirm");
    construct!(Command::Confirm(connection, plan))
        .to_options()
        .descr("Confirms a plan; a second time is harmless.")
        .command("confirm")
}

fn moves() -> impl Parser<Command> {
    let connection = connection();
    construct!(Command::Moves(connection))
        .to_options()
        .descr("Lists moves, running and ended.")
        .command("moves")
}

fn watch() -> impl Parser<Command> {
    let connection = connection();
    let target = positional::<MoveId>("MOVE").help("Move to follow");
    construct!(Command::Watch(connection, target))
        .to_options()
        .descr("Follows a move to its end; exits 0 if it is done and 5 if it was taken back.")
        .command("watch")
}

fn status() -> impl Parser<Command> {
    let connection = connection();
    construct!(Command::Status(connection))
        .to_options()
        .descr("Shows where the configuration is in force, and the backend servers.")
        .command("status")
}

fn config() -> impl Parser<Command> {
    let connection = connection();
    construct!(Command::Config(connection))
        .to_options()
        .descr("Prints the configuration in force as JSON.")
        .command("config")
}
