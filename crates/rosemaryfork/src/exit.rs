//! Exit codes of the program.

use std::process::ExitCode;

/// Result of a command, as reported by the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command was carried out.
    Success,
    /// The input is invalid or conflicts with the current state; nothing was changed.
    Refused,
    /// The command line is invalid.
    Usage,
    /// The daemon or the platform is unavailable; nothing was changed.
    Unavailable,
    /// The response was lost; the change may have been made.
    Unknown,
    /// The watched move was taken back.
    TakenBack,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unavailable => 3,
            Exit::Unknown => 4,
            Exit::TakenBack => 5,
        })
    }
}
