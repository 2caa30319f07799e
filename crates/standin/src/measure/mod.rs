//! Measurements with real processes, each printed as a table and as JSON.

pub mod judge;
pub mod load;
pub mod machines;
pub mod mesh;
pub mod moves;
pub mod overhead;
pub mod overload;

use crate::cluster::ClusterError;
use crate::operator::OperatorError;
use serde::Serialize;
use snafu::Snafu;

/// Error of a measurement.
#[derive(Debug, Snafu)]
pub enum MeasureError {
    /// A process did not do its part.
    #[snafu(context(false), display("{source}"))]
    Cluster {
        /// What happened.
        source: ClusterError,
    },
    /// An operator's request was refused.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// What happened.
        source: OperatorError,
    },
}

/// Result of a measurement.
pub type Result<T> = std::result::Result<T, MeasureError>;

/// Prints raw figures as one line of JSON.
pub fn print_raw<T: Serialize>(name: &str, value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("raw {name} {text}"),
        Err(error) => eprintln!("cannot print {name}: {error}"),
    }
}
