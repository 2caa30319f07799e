//! Cases of the second review as scripts: `review-2 CASE FOLDER` runs a case with the proxy of the
//! deploy file and writes `record.txt` into its folder. The exit code is 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod crashing;
mod forgotten;
mod http;
mod json;
mod mesh;
mod reader;
mod record;
mod server;
mod store;
mod uploads;

use record::Record;
use std::path::Path;
use std::process::{ExitCode, id};
use std::sync::Arc;
use std::{env, fs};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(&Path::new(folder).join("record.txt")));
    let files = env::temp_dir().join(format!("review-2-{}", id()));
    fs::create_dir_all(&files).expect("temporary folder");
    let outcome = match case.as_str() {
        "forgotten" => forgotten::run(&record, &files, is_troubled),
        "uploads" => uploads::run(&record, &files, is_troubled),
        "reader" => reader::run(&record, &files, is_troubled),
        "crashing" => crashing::run(&record, &files, is_troubled),
        _ => Outcome::NotRun("unknown case"),
    };
    if env::var("KEEP").is_err() {
        fs::remove_dir_all(&files).ok();
    }
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::NotRun(why) => (2, why),
    };
    record.log(text);
    println!("{text}");
    ExitCode::from(code)
}
