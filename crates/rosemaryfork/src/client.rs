//! HTTP client for the operators' port of a daemon.

use crate::cli::Connection;
use crate::exit::Exit;
use http_types::{Method, Request, StatusCode, Url};
use rf_base::{Millis, Verdict};
use rf_daemon::control::OperatorError;
use rf_transport::{BufferedResponse, Client, ClientSettings, SendError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Longest wait for a response; longer than the daemon keeps trying to make a change, so that the
/// outcome of the change is normally known.
const TIMEOUT: Millis = Millis(12_000);
/// Largest accepted response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Error of a request to a daemon.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The daemon could not be reached, or its response was lost.
    #[snafu(display("{source}"))]
    Send {
        /// Error of the transport.
        source: SendError,
        /// Whether the request asks for a change, which may have been made.
        is_change: bool,
    },
    /// The daemon refused the key.
    #[snafu(display("the daemon refused the key"))]
    Unauthorized,
    /// The daemon answered with an error.
    #[snafu(display("{message}"))]
    Operator {
        /// Error text of the daemon.
        message: String,
        /// Result to exit with.
        exit: Exit,
    },
    /// The request could not be encoded, or the response could not be decoded.
    #[snafu(display("answer of the daemon not understood: {message}"))]
    Answer {
        /// Error of the encoder or decoder.
        message: String,
    },
}

/// Result of a request to a daemon.
pub type Result<T> = std::result::Result<T, ClientError>;

impl ClientError {
    /// Returns the result to exit with.
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

/// Sends a GET request, and decodes the JSON response.
///
/// # Errors
///
/// Returns a [`ClientError`] if there is no valid response, or it is an error.
pub async fn get<T: DeserializeOwned>(connection: &Connection, path: &str) -> Result<T> {
    send(connection, Method::Get, path, None).await
}

/// Sends a POST request with a JSON body, and decodes the JSON response.
///
/// # Errors
///
/// Returns a [`ClientError`] if there is no valid response, or it is an error.
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
    let response = client
        .send(connection.daemon, request, TIMEOUT, MAX_RESPONSE_BYTES)
        .await
        .map_err(|source| ClientError::Send {
            source,
            is_change: method == Method::Post,
        })?;
    decode(&response)
}

fn decode<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T> {
    match response.status() {
        StatusCode::Ok => serde_json::from_slice(&response.body).map_err(|e| ClientError::Answer {
            message: e.to_string(),
        }),
        StatusCode::Unauthorized => Err(ClientError::Unauthorized),
        _ => Err(decode_error(response)),
    }
}

fn decode_error(response: &BufferedResponse) -> ClientError {
    let (message, exit) = match serde_json::from_slice(&response.body) {
        Ok(OperatorError::Invalid(m) | OperatorError::Conflict(m) | OperatorError::NotFound(m)) => {
            (m, Exit::Refused)
        }
        Ok(OperatorError::Unavailable(m)) => (m, Exit::Unavailable),
        Ok(OperatorError::Unknown(m)) => (m, Exit::Unknown),
        Err(_) => {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            (
                format!("status {}: {text}", response.status()),
                Exit::Refused,
            )
        }
    };
    ClientError::Operator { message, exit }
}
