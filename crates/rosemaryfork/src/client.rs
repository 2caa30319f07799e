//! Client of a daemon's operators' port.

use crate::cli::Connection;
use crate::exit::Exit;
use http_types::{Method, Request, StatusCode, Url};
use rf_base::{Millis, Verdict};
use rf_daemon::control::OperatorError;
use rf_transport::{Client, ClientSettings, SendError, Sent};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Longest wait for an answer; longer than the daemon tries a change.
const TIMEOUT: Millis = Millis(12_000);
/// Longest answer.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Error of one request.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The daemon was not reached, or its answer was lost.
    #[snafu(display("{source}"))]
    Send {
        /// What happened.
        source: SendError,
        /// Whether the request may change something.
        is_change: bool,
    },
    /// The daemon refused the key.
    #[snafu(display("the daemon refused the key"))]
    Unauthorized,
    /// The daemon answered with an error.
    #[snafu(display("{message}"))]
    Operator {
        /// What it says.
        message: String,
        /// How the command ends.
        exit: Exit,
    },
    /// The answer makes no sense.
    #[snafu(display("answer of the daemon not understood: {message}"))]
    Answer {
        /// What was expected.
        message: String,
    },
}

/// Result of one request.
pub type Result<T> = std::result::Result<T, ClientError>;

impl ClientError {
    /// Returns how the command ends.
    pub fn exit(&self) -> Exit {
        match self {
            ClientError::Send { source, is_change } => {
                let may_have_run = source.verdict() != Verdict::NotRun;
                match may_have_run && *is_change {
                    true => Exit::Unknown,
                    false => Exit::Unavailable,
                }
            }
            ClientError::Unauthorized => Exit::Refused,
            ClientError::Operator { exit, .. } => *exit,
            ClientError::Answer { .. } => Exit::Unknown,
        }
    }
}

/// Reads from the daemon.
///
/// # Errors
///
/// Returns a [`ClientError`] where there is no answer or it is an error.
pub async fn get<T: DeserializeOwned>(connection: &Connection, path: &str) -> Result<T> {
    send(connection, Method::Get, path, None).await
}

/// Posts to the daemon.
///
/// # Errors
///
/// Returns a [`ClientError`] where there is no answer or it is an error.
pub async fn post<B: Serialize, T: DeserializeOwned>(
    connection: &Connection,
    path: &str,
    body: &B,
) -> Result<T> {
    let bytes = serde_json::to_vec(body).map_err(|e| ClientError::Answer {
        message: e.to_string(),
    })?;
    send(connection, Method::Post, path, Some(bytes)).await
}

async fn send<T: DeserializeOwned>(
    connection: &Connection,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<T> {
    let text = format!("http://{}{path}", connection.daemon);
    let url = Url::parse(&text).map_err(|e| ClientError::Answer {
        message: e.to_string(),
    })?;
    let mut request = Request::new(method, url);
    request.insert_header("authorization", format!("Bearer {}", connection.key));
    if let Some(body) = body {
        request.set_body(body);
    }
    let client = Client::new(ClientSettings::default());
    let sent = client
        .send(connection.daemon, request, TIMEOUT, MAX_RESPONSE_BYTES)
        .await
        .map_err(|source| ClientError::Send {
            source,
            is_change: method == Method::Post,
        })?;
    decode(&sent)
}

fn decode<T: DeserializeOwned>(sent: &Sent) -> Result<T> {
    match sent.status() {
        StatusCode::Ok => serde_json::from_slice(&sent.body).map_err(|e| ClientError::Answer {
            message: e.to_string(),
        }),
        StatusCode::Unauthorized => Err(ClientError::Unauthorized),
        _ => Err(decode_error(sent)),
    }
}

fn decode_error(sent: &Sent) -> ClientError {
    let (message, exit) = match serde_json::from_slice(&sent.body) {
        Ok(OperatorError::Invalid(m) | OperatorError::Conflict(m) | OperatorError::NotFound(m)) => {
            (m, Exit::Refused)
        }
        Ok(OperatorError::Unavailable(m)) => (m, Exit::Unavailable),
        Ok(OperatorError::Unknown(m)) => (m, Exit::Unknown),
        Err(_) => {
            let text = String::from_utf8_lossy(&sent.body).into_owned();
            (format!("status {}: {text}", sent.status()), Exit::Refused)
        }
    };
    ClientError::Operator { message, exit }
}
