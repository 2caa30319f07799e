//! Parsing of JSON documents with errors that name the path of the offending value.

use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Error for a document that is not valid JSON or does not match the expected type.
#[derive(Debug, Snafu)]
#[snafu(display("at {path}: {message}"))]
pub struct ParseError {
    /// JSON path of the offending value.
    pub path: String,
    /// Description of the syntax or type error.
    pub message: String,
}

/// Result of parsing.
pub type Result<T> = std::result::Result<T, ParseError>;

/// Parses `text` as JSON.
///
/// # Errors
///
/// Returns the first syntax or type error with its JSON path. Text after the document is an error,
/// and so are unknown fields of types that deny them.
pub fn from_json<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| ParseError {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        })?;
    deserializer.end().map_err(|error| ParseError {
        path: ".".to_owned(),
        message: error.to_string(),
    })?;
    Ok(value)
}
