//! Short soak of the program with fixed seeds: processes, links, store and backend servers under
//! injected faults.

use async_std::task;
use rf_soak::{SoakSettings, run_soak};
use std::path::PathBuf;

/// Seeds and numbers of instances for CI: one mixed schedule, and one of planned work only.
const SEEDS: [(u64, usize); 2] = [(2, 4), (3, 4)];
/// Seeds that failed before. 218: a frequent request that was in flight while servers died of other
/// causes was mistaken for the cause of the crashes and refused everywhere.
const REGRESSIONS: [(u64, usize); 1] = [(218, 8)];
/// Network of the first run; keeps the addresses apart from those of a soak started by hand.
const NETWORK: u16 = 10_000;

async fn soak(seed: u64, instances: usize, offset: u16) -> Vec<String> {
    let name = format!("soak-{}-{seed}", std::process::id());
    let settings = SoakSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_rosemaryfork")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name),
        seed,
        instances,
        network: NETWORK + offset,
        only: Vec::new(),
    };
    let report = run_soak(&settings).await.expect("the run is set up");
    match report.violations.is_empty() {
        true => Vec::new(),
        false => report.lines(),
    }
}

#[async_std::test]
async fn the_promises_hold_under_seeded_faults() {
    let seeds = SEEDS.iter().chain(&REGRESSIONS);
    let runs: Vec<_> = seeds
        .zip(0..)
        .map(|((seed, instances), offset)| task::spawn(soak(*seed, *instances, offset)))
        .collect();
    for run in runs {
        let broken = run.await;
        assert!(broken.is_empty(), "{}", broken.join("\n"));
    }
}
