//! Parsing of the command line.

use crate::exit::Exit;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use rf_base::{ConfigVersion, Millis, MoveId, PlanId};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Options shared by the commands that talk to a daemon.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Address of the operators' port of any daemon of the mesh.
    pub daemon: SocketAddr,
    /// Shared key of the mesh, sent as a bearer token.
    pub key: String,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// A parsed command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs the daemon until it is told to stop.
    Daemon {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Runs the proxy on the users' platform until it is told to stop.
    Proxy {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Checks a settings file or a file of services and routes.
    Check {
        /// Path of the file.
        file: PathBuf,
    },
    /// Replaces services and routes by those in a file, if the configuration still has the given
    /// counter.
    Apply(Connection, Option<ConfigVersion>, PathBuf),
    /// Plans to retire a backend server by a deadline.
    Retire(Connection, Millis, String),
    /// Plans to move a share of traffic to a version.
    Shift(Connection, Shift),
    /// Plans to take a running move back.
    TakeBack(Connection, MoveId),
    /// Confirms a plan, which starts its move.
    Confirm(Connection, PlanId),
    /// Lists running and ended moves.
    Moves(Connection),
    /// Shows where the configuration is in force, and the backend servers.
    Status(Connection),
    /// Prints the configuration in force.
    Config(Connection),
    /// Prints the progress of a move until it ends.
    Watch(Connection, MoveId),
}

/// Arguments of [`Command::Shift`].
#[derive(Clone, Debug)]
pub struct Shift {
    /// Name of the service.
    pub service: String,
    /// Version that receives the share.
    pub version: String,
    /// Share of the service's traffic, in percent.
    pub share: u32,
    /// Deadline, as time since the Unix epoch.
    pub by: Millis,
}

/// Parses the command line.
///
/// # Errors
///
/// Returns the result to exit with after help, the version or a usage error has been printed.
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

/// Parses a deadline given as an RFC 3339 time or as a duration from `now`; returns the time since
/// the Unix epoch.
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
