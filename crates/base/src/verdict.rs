//! Whether a request may have run on a backend server.
//!
//! The verdict alone determines whether a call may be retried and what its caller is told. It must
//! never understate what happened: `NotRun` guarantees that the request did not run and will not
//! run.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// What is known about the execution of one attempt, ordered from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, partially or completely; this cannot be determined.
    MayHaveRun,
    /// The request ran and its backend server responded.
    Ran,
}

impl Verdict {
    /// Returns whether another attempt is safe, given whether the call is `idempotent`.
    pub fn permits_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Ran => false,
        }
    }

    /// Combines the verdicts of two attempts of one call: the greater one applies to the call.
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Returns the value used in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for text that is not a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseVerdictError;

impl fmt::Display for ParseVerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected not-run, may-have-run or ran")
    }
}

impl std::error::Error for ParseVerdictError {}

impl FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(text: &str) -> Result<Self, ParseVerdictError> {
        match text {
            "not-run" => Ok(Verdict::NotRun),
            "may-have-run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            _ => Err(ParseVerdictError),
        }
    }
}
