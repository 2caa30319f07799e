//! Stand-ins and cases of the review. Run by `review/N/run.sh` in the project's root:
//! `cases NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod http;
mod json;
mod late_beat;
mod late_config;
mod mesh;
mod record;
mod second_answer;
mod server;
mod store;
mod uploads;

use mesh::Mesh;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Result of a case: whether the rule was broken.
type Outcome = Result<bool, String>;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Plays a case on a mesh, writes the record, and ends all processes.
fn play(folder: &str, mesh: Mesh, case: impl FnOnce(&Mesh, bool) -> Outcome) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let played = AssertUnwindSafe(|| case(&mesh, has_trouble));
    let outcome = catch_unwind(played).unwrap_or(Err("panicked".to_owned()));
    mesh.end();
    let (line, code) = match outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    mesh.record.add(line.clone());
    mesh.record.write(&format!("{folder}/record.txt"));
    println!("{line}");
    code
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        mesh::end_processes();
        eprintln!("the case takes too long");
        exit(2);
    });
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(u64::from(std::process::id()));
    let run = || match name.as_str() {
        "second-answer" => play(folder, second_answer::mesh(seed), second_answer::play),
        "late-beat" => play(folder, late_beat::mesh(seed), late_beat::play),
        "late-config" => play(folder, late_config::mesh(seed), late_config::play),
        "uploads" => play(folder, uploads::mesh(seed), uploads::play),
        _ => 2,
    };
    // A panic while the mesh starts, for example because an address is taken.
    let code = catch_unwind(AssertUnwindSafe(run)).unwrap_or(2);
    mesh::end_processes();
    exit(code);
}
