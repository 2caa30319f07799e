//! Exit codes of the program.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Success,
    /// The input, the intent or the present state does not allow it; nothing was changed.
    Refused,
    /// The command line is wrong.
    Usage,
    /// The daemon or the platform does not answer; nothing was changed.
    Unavailable,
    /// The answer was lost; the change may have been made.
    Unknown,
    /// The move that was watched was taken back.
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
