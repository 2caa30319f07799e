//! Command line of the stand-ins; for tests and measurements only.

use async_std::task;
use bpaf::{OptionParser, Parser, construct, long};
use rf_standin::measure;
use rf_standin::operator::Operator;
use rf_standin::platform::Platform;
use rf_standin::proxy::Proxy;
use rf_standin::quickstart;
use rf_standin::server::{Behavior, Server, ServerOptions};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A parsed command line.
#[derive(Clone, Debug)]
enum Command {
    Platform {
        listen: SocketAddr,
    },
    Server(ServerOptions),
    Proxy {
        listen: SocketAddr,
        target: SocketAddr,
        control: SocketAddr,
    },
    Quickstart,
    Measure(Measurement),
}

/// The measurement to run.
#[derive(Clone, Debug)]
enum Measurement {
    Overhead,
    Overload,
    Judge,
    Moves,
    Machines(Vec<usize>),
    Mesh(Vec<usize>),
    Load(PathBuf),
}

fn main() -> ExitCode {
    let result = match parser().run() {
        Command::Platform { listen } => {
            task::block_on(Platform::default().run(listen)).map_err(|e| e.to_string())
        }
        Command::Server(options) => {
            task::block_on(Server::new(options).run()).map_err(|e| e.to_string())
        }
        Command::Proxy {
            listen,
            target,
            control,
        } => {
            task::block_on(Proxy::default().run(listen, target, control)).map_err(|e| e.to_string())
        }
        Command::Measure(measurement) => task::block_on(run_measurement(&measurement)),
        Command::Quickstart => task::block_on(quickstart::run()).map_err(|e| e.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run_measurement(measurement: &Measurement) -> Result<(), String> {
    let result = match measurement {
        Measurement::Overhead => measure::overhead::run().await,
        Measurement::Overload => measure::overload::run().await,
        Measurement::Judge => {
            measure::judge::run_all();
            Ok(())
        }
        Measurement::Moves => measure::moves::run().await,
        Measurement::Machines(sizes) => {
            measure::machines::run(sizes);
            Ok(())
        }
        Measurement::Mesh(sizes) => measure::mesh::run(sizes).await,
        Measurement::Load(folder) => return measure::load::run(folder).map_err(|e| e.to_string()),
    };
    result.map_err(|e| e.to_string())
}

fn parser() -> OptionParser<Command> {
    construct!([
        platform(),
        server(),
        proxy(),
        quickstart_command(),
        measure_command()
    ])
    .to_options()
    .descr("Stand-ins for what surrounds rosemaryfork; for tests and measurements only.")
}

fn address(name: &'static str, help: &'static str) -> impl Parser<SocketAddr> {
    long(name).help(help).argument::<SocketAddr>("IP:PORT")
}

fn platform() -> impl Parser<Command> {
    let listen = address("listen", "Where to serve the object API");
    construct!(Command::Platform { listen })
        .to_options()
        .descr("Stands in for the platform's object API.")
        .command("platform")
}

fn server() -> impl Parser<Command> {
    let address_option = address("listen", "Where to serve calls");
    let service = long("service").help("Service").argument::<String>("NAME");
    let version = long("version").help("Version").argument::<String>("NAME");
    let slots = long("slots").help("Calls at a time").argument::<u32>("N");
    let daemon = address("operator", "Operators' port of its daemon");
    let callers = address("callers", "Callers' port of its daemon");
    let key = long("key")
        .help("Key of the mesh")
        .argument::<String>("KEY");
    let behavior = long("behavior")
        .help("How it answers, JSON")
        .argument::<String>("JSON")
        .parse(|text| rf_config::from_json::<Behavior>(&text))
        .fallback(Behavior::default());
    construct!(
        address_option,
        service,
        version,
        slots,
        daemon,
        callers,
        key,
        behavior
    )
    .map(
        |(address, service, version, slots, daemon, callers, key, behavior)| {
            Command::Server(ServerOptions {
                address,
                service,
                version,
                slots,
                operator: Operator::new(daemon, &key),
                callers,
                behavior,
            })
        },
    )
    .to_options()
    .descr("Stands in for a backend server.")
    .command("server")
}

fn proxy() -> impl Parser<Command> {
    let listen = address("listen", "Where to take connections");
    let target = address("target", "Where to forward them");
    let control = address("control", "Where to take changes of faults");
    construct!(Command::Proxy {
        listen,
        target,
        control
    })
    .to_options()
    .descr("Forwards TCP connections and injects faults.")
    .command("proxy")
}

fn quickstart_command() -> impl Parser<Command> {
    bpaf::pure(Command::Quickstart)
        .to_options()
        .descr("Runs the main job, end to end, and checks the promises.")
        .command("quickstart")
}

fn measure_command() -> impl Parser<Command> {
    let overhead = bpaf::pure(Measurement::Overhead)
        .to_options()
        .descr("Time added to a call, against calling the backend server directly.")
        .command("overhead");
    let overload = bpaf::pure(Measurement::Overload)
        .to_options()
        .descr("Goodput beyond capacity, and attempts in a chain of calls.")
        .command("overload");
    let judge = bpaf::pure(Measurement::Judge)
        .to_options()
        .descr("How well moves are judged, over seeded runs on synthetic evidence.")
        .command("judge");
    let moves = bpaf::pure(Measurement::Moves)
        .to_options()
        .descr("Moves to good and bad versions, with real processes under load.")
        .command("moves");
    let sizes = sizes();
    let machines = construct!(Measurement::Machines(sizes))
        .to_options()
        .descr("The membership and distribution machines alone, on a virtual clock.")
        .command("machines");
    let sizes = self::sizes();
    let mesh = construct!(Measurement::Mesh(sizes))
        .to_options()
        .descr("Cost and speed of the control half by the number of daemons.")
        .command("mesh");
    let plots = long("plots")
        .help("Folder for the plots [docs/plots]")
        .argument::<PathBuf>("FOLDER")
        .fallback(PathBuf::from("docs/plots"));
    let load = construct!(Measurement::Load(plots))
        .to_options()
        .descr("Placements and orders of waiting over loads, on a virtual clock; draws plots.")
        .command("load");
    let measurement = construct!([overhead, overload, judge, moves, machines, mesh, load]);
    construct!(Command::Measure(measurement))
        .to_options()
        .descr("Measures with real processes and prints tables.")
        .command("measure")
}

fn sizes() -> impl Parser<Vec<usize>> {
    bpaf::positional::<usize>("DAEMONS")
        .help("Numbers of daemons to measure with")
        .some("expected at least one number of daemons")
}
