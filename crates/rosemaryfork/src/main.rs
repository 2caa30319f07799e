//! The `rosemaryfork` program: the daemon, and the operators' commands that talk to one.

mod cli;
mod client;
mod commands;
mod exit;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code.into(),
    };
    commands::run(command).into()
}
