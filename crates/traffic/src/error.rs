//! What a caller is told when its call was not answered by a backend server.
//!
//! Each error has one status code, one verdict, and for refusals the time after which to come back.

use rf_base::{Millis, Verdict};
use snafu::Snafu;

/// Why a daemon beside a backend server refused an attempt; the attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Every slot is taken and the queue is full, or its wait would outlast the deadline.
    Busy,
    /// The backend server is leaving, or gone.
    Leaving,
    /// The attempt's time has passed.
    Expired,
    /// The attempt was revoked, or is known already.
    Revoked,
    /// The attempt was meant for an earlier life of this daemon.
    ForeignLife,
    /// The ledger holds as many records as it may.
    LedgerFull,
    /// The backend server refused it with a status by which it promises that it did not run.
    Shed,
    /// No connection to the backend server was made.
    Unconnected,
}

impl RefusalReason {
    /// Returns the header form.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Busy => "busy",
            RefusalReason::Leaving => "leaving",
            RefusalReason::Expired => "expired",
            RefusalReason::Revoked => "revoked",
            RefusalReason::ForeignLife => "foreign-life",
            RefusalReason::LedgerFull => "ledger-full",
            RefusalReason::Shed => "shed",
            RefusalReason::Unconnected => "unconnected",
        }
    }

    /// Parses the header form.
    pub fn parse(text: &str) -> Option<RefusalReason> {
        [
            RefusalReason::Busy,
            RefusalReason::Leaving,
            RefusalReason::Expired,
            RefusalReason::Revoked,
            RefusalReason::ForeignLife,
            RefusalReason::LedgerFull,
            RefusalReason::Shed,
            RefusalReason::Unconnected,
        ]
        .into_iter()
        .find(|r| r.as_str() == text)
    }
}

/// Error of one call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The request is not acceptable HTTP.
    #[snafu(display("bad request: {message}"))]
    BadRequest {
        /// What was expected.
        message: String,
    },
    /// No route matches.
    #[snafu(display("no route for host \"{host}\" and path \"{path}\""))]
    NoRoute {
        /// Host of the request.
        host: String,
        /// Path of the request.
        path: String,
    },
    /// The body is longer than the limit.
    #[snafu(display("body exceeds {limit} bytes"))]
    BodyTooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The caller paused too long inside its body.
    #[snafu(display("body paused for more than {limit}"))]
    SlowBody {
        /// Limit.
        limit: Millis,
    },
    /// No backend server is available.
    #[snafu(display("no backend server of {service} is available"))]
    NoServer {
        /// Service.
        service: String,
    },
    /// Every backend server that was tried is busy.
    #[snafu(display("backend servers of {service} are busy"))]
    Busy {
        /// Service.
        service: String,
    },
    /// The daemon is stopping.
    #[snafu(display("this daemon is stopping"))]
    Stopping,
    /// The deadline passed.
    #[snafu(display("deadline of {limit} passed"))]
    Deadline {
        /// Time that the call had.
        limit: Millis,
        /// Whether the call may have run.
        verdict: Verdict,
    },
    /// The attempt's outcome is lost.
    #[snafu(display("answer lost: {message}"))]
    Lost {
        /// What happened.
        message: String,
        /// Whether the call may have run.
        verdict: Verdict,
    },
    /// The request has crashed backend servers.
    #[snafu(display("this request crashed several backend servers and is refused"))]
    Crashing,
    /// A call with the same idempotency key is running.
    #[snafu(display("a call with this idempotency key is running"))]
    KeyRunning,
    /// A call with the same idempotency key may have run.
    #[snafu(display("a call with this idempotency key may have run; its answer is lost"))]
    KeyDoubtful,
    /// The idempotency key belongs to another request.
    #[snafu(display("this idempotency key belongs to another request"))]
    KeyReused,
    /// The record of the idempotency key cannot be reached.
    #[snafu(display("the record of this idempotency key is out of reach"))]
    KeyUnreachable,
}

impl CallError {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            CallError::BadRequest { .. } => 400,
            CallError::NoRoute { .. } => 404,
            CallError::SlowBody { .. } => 408,
            CallError::KeyRunning | CallError::KeyDoubtful => 409,
            CallError::BodyTooLarge { .. } => 413,
            CallError::KeyReused => 422,
            CallError::Busy { .. } => 429,
            CallError::Lost { .. } => 502,
            CallError::NoServer { .. }
            | CallError::Stopping
            | CallError::Crashing
            | CallError::KeyUnreachable => 503,
            CallError::Deadline { .. } => 504,
        }
    }

    /// Returns whether this call may have run.
    ///
    /// For [`CallError::KeyDoubtful`] that is the earlier call with the same key: to its caller the
    /// two are one.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Deadline { verdict, .. } | CallError::Lost { verdict, .. } => *verdict,
            CallError::KeyDoubtful | CallError::KeyRunning => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Returns the time after which coming back makes sense, in seconds.
    pub fn retry_after(&self) -> Option<u32> {
        match self {
            CallError::Busy { .. } | CallError::KeyRunning => Some(1),
            CallError::NoServer { .. } | CallError::Stopping | CallError::KeyUnreachable => Some(2),
            CallError::Crashing => Some(600),
            CallError::Deadline {
                verdict: Verdict::NotRun,
                ..
            } => Some(1),
            _ => None,
        }
    }
}
