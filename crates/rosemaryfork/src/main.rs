//! The `rosemaryfork` program.
//!
//! It runs the daemon or the proxy on the users' platform, and provides the operators' commands,
//! which are clients of a daemon.

mod cli;
mod client;
mod commands;
mod exit;
mod output;
mod proxy;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code.into(),
    };
    commands::run(command).into()
}
