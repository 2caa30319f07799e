//! Command line of the soak: runs seeds, prints reports, and shortens failing schedules.

use async_std::task;
use bpaf::{OptionParser, Parser, construct, long};
use rf_soak::child::kill_all_and_exit;
use rf_soak::shorten::shorten;
use rf_soak::{Report, SoakSettings, run_soak};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;

/// Network of the next run, never reused because sockets of an earlier run may still be open.
static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

#[derive(Clone, Debug)]
struct Options {
    program: PathBuf,
    folder: PathBuf,
    first: u64,
    seeds: u64,
    instances: usize,
    jobs: usize,
    only: Option<String>,
    shorten: bool,
}

fn parser() -> OptionParser<Options> {
    let program = long("program")
        .help("The program [target/release/rosemaryfork]")
        .argument("FILE")
        .fallback(PathBuf::from("target/release/rosemaryfork"));
    let folder = long("folder")
        .help("Where settings, logs and reports of the runs go [target/soak]")
        .argument("FOLDER")
        .fallback(PathBuf::from("target/soak"));
    let first = long("first")
        .help("First seed [1]")
        .argument("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("Number of seeds [1]")
        .argument("N")
        .fallback(1);
    let instances = long("instances")
        .help("Instances of each run, 4 to 250 [8]")
        .argument("N")
        .fallback(8);
    let jobs = long("jobs")
        .help("Runs at a time [1]")
        .argument("N")
        .fallback(1);
    let only = long("only")
        .help("Numbers of the faults to play, to shorten a schedule: 0,3,7")
        .argument("NUMBERS")
        .optional();
    let shorten = long("shorten")
        .help("Leave out faults of each broken seed while it still breaks a promise")
        .switch();
    let options = construct!(Options {
        program,
        folder,
        first,
        seeds,
        instances,
        jobs,
        only,
        shorten
    });
    let options = options.guard(|o| (4..=250).contains(&o.instances), "4 to 250 instances");
    options
        .guard(|o| (1..=32).contains(&o.jobs), "1 to 32 runs at a time")
        .to_options()
        .descr("Plays seeded faults against real proxies, and checks what callers and servers see")
}

fn main() -> ExitCode {
    let options = parser().run();
    let only = match options.only.as_deref().map(parse_numbers).transpose() {
        Ok(only) => only.unwrap_or_default(),
        Err(error) => {
            eprintln!("error: --only: {error}");
            return ExitCode::from(2);
        }
    };
    if let Err(error) = handle_signals() {
        eprintln!("error: cannot handle signals: {error}");
        return ExitCode::from(2);
    }
    let seeds: Vec<u64> = (options.first..options.first + options.seeds).collect();
    let mut broken = Vec::new();
    for chunk in seeds.chunks(options.jobs) {
        for (seed, result) in chunk.iter().zip(run_seeds(&options, chunk, &only)) {
            match result {
                Ok(report) => {
                    println!("{}", report.lines().join("\n"));
                    if !report.violations.is_empty() {
                        broken.push(*seed);
                        if options.shorten {
                            print_shortened(&options, &report);
                        }
                    }
                }
                Err(error) => {
                    println!("seed {seed}: cannot be played: {error}");
                    broken.push(*seed);
                }
            }
        }
    }
    println!("{} seeds, {} broken {broken:?}", seeds.len(), broken.len());
    match broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Kills the child processes when the soak itself is told to stop.
fn handle_signals() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let builder = thread::Builder::new().name("signals".to_owned());
    builder.spawn(move || {
        if let Some(number) = signals.forever().next() {
            kill_all_and_exit(128 + number);
        }
    })?;
    Ok(())
}

/// Prints the shortest part found of a schedule that still breaks one of the same promises.
fn print_shortened(options: &Options, report: &Report) {
    let seed = report.schedule.seed;
    let promises: Vec<_> = report.violations.iter().map(|v| v.promise).collect();
    let breaks = |only: Vec<usize>| {
        let settings = soak_settings(options, seed, &only);
        let promises = promises.clone();
        async move {
            match run_soak(&settings).await {
                Ok(report) => report
                    .violations
                    .iter()
                    .any(|v| promises.contains(&v.promise)),
                Err(error) => {
                    println!("seed {seed}: cannot be played: {error}");
                    false
                }
            }
        }
    };
    let all = (0..report.schedule.steps.len()).collect();
    let shortest = task::block_on(shorten(all, breaks));
    let numbers: Vec<String> = shortest.iter().map(ToString::to_string).collect();
    println!(
        "seed {seed}: still breaks with --only {}",
        numbers.join(",")
    );
}

fn parse_numbers(text: &str) -> Result<Vec<usize>, std::num::ParseIntError> {
    text.split(',').map(|n| n.trim().parse()).collect()
}

/// Runs seeds concurrently; returns their reports in order.
fn run_seeds(options: &Options, seeds: &[u64], only: &[usize]) -> Vec<std::io::Result<Report>> {
    let runs: Vec<_> = seeds
        .iter()
        .map(|seed| {
            let settings = soak_settings(options, *seed, only);
            task::spawn(async move { run_soak(&settings).await })
        })
        .collect();
    task::block_on(async {
        let mut results = Vec::new();
        for run in runs {
            results.push(run.await);
        }
        results
    })
}

fn soak_settings(options: &Options, seed: u64, only: &[usize]) -> SoakSettings {
    SoakSettings {
        program: options.program.clone(),
        folder: options.folder.join(format!("seed-{seed}")),
        seed,
        instances: options.instances,
        network: NEXT_NETWORK.fetch_add(1, Ordering::Relaxed),
        only: only.to_vec(),
    }
}
