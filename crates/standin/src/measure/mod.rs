//! Measurements of the system, printed as tables.
//!
//! [`overhead`], [`overload`], [`moves`] and [`mesh`] start real processes. [`judge`], [`machines`]
//! and [`load`] run the product's state machines in this process on a virtual clock. All but
//! [`load`] also print their raw results as JSON.

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

/// Error that aborts a measurement with real processes.
#[derive(Debug, Snafu)]
pub enum MeasureError {
    /// A process did not start, did not reach the expected state in time, or refused a request.
    #[snafu(context(false), display("{source}"))]
    Cluster {
        /// Underlying error.
        source: ClusterError,
    },
    /// An operator's request failed or was refused.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Underlying error.
        source: OperatorError,
    },
}

/// Result of a step of a measurement.
pub type Result<T> = std::result::Result<T, MeasureError>;

/// Prints the raw results of measurement `name` to standard output as `raw NAME JSON` on one line.
pub fn print_raw<T: Serialize>(name: &str, value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("raw {name} {text}"),
        Err(error) => eprintln!("cannot print {name}: {error}"),
    }
}
