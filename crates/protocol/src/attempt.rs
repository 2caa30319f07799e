//! Signed HTTP headers on attempts sent to the daemon beside a backend server.
//!
//! [`AttemptHeader`] names the incarnation of the target daemon and the time after which the
//! attempt must not start. Both bound the size of the daemon's ledger: a daemon refuses attempts
//! meant for one of its earlier incarnations, and it can drop the record of an attempt once the
//! attempt has expired. [`AcknowledgedHeader`] lists attempts whose records can be dropped earlier.

use crate::envelope::MeshKey;
use rf_base::{AttemptId, Incarnation, InstanceId, Millis};
use snafu::Snafu;

/// HTTP header that carries an [`AttemptHeader`].
pub const ATTEMPT_HEADER: &str = "rosemaryfork-attempt";
/// HTTP header that carries a [`AcknowledgedHeader`].
pub const ACKNOWLEDGED_HEADER: &str = "rosemaryfork-settled";

/// Reason for which an attempt header is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AttemptHeaderError {
    /// The header has a missing field, a number that is not hexadecimal, or no signature.
    #[snafu(display("malformed attempt header"))]
    Malformed,
    /// The signature does not match the content under the key of the mesh.
    #[snafu(display("attempt header with a wrong key"))]
    WrongKey,
}

/// Result of decoding a header.
pub type Result<T> = std::result::Result<T, AttemptHeaderError>;

/// Identity and expiry of one attempt.
///
/// Encoded as five hexadecimal numbers and a signature, separated by semicolons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHeader {
    /// Identifies the attempt across all daemons.
    pub id: AttemptId,
    /// Daemon that is to run the attempt.
    pub target: InstanceId,
    /// Incarnation of that daemon; other incarnations refuse the attempt.
    pub incarnation: Incarnation,
    /// Time after which the attempt must not start, in milliseconds since the Unix epoch.
    pub expires: Millis,
    /// Fingerprint of the request, by which requests that crash backend servers are recognised.
    pub fingerprint: u64,
}

impl AttemptHeader {
    /// Encodes and signs the header.
    pub fn encode(&self, key: &MeshKey) -> String {
        let text = self.encode_unsigned();
        let signature = key.sign(&text);
        format!("{text};{signature}")
    }

    /// Parses a header and checks its signature.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptHeaderError`] if the header does not parse or its signature is wrong.
    pub fn decode(text: &str, key: &MeshKey) -> Result<AttemptHeader> {
        let (plain, signature) = text.rsplit_once(';').ok_or(AttemptHeaderError::Malformed)?;
        let mut parts = plain.split(';');
        let header = AttemptHeader {
            id: AttemptId(next_number(&mut parts)?),
            target: InstanceId(next_number(&mut parts)?),
            incarnation: Incarnation(next_number(&mut parts)?),
            expires: Millis(next_number(&mut parts)?),
            fingerprint: next_number(&mut parts)?,
        };
        match key.is_signed(plain, signature) {
            true => Ok(header),
            false => Err(AttemptHeaderError::WrongKey),
        }
    }

    fn encode_unsigned(&self) -> String {
        format!(
            "{:x};{:x};{:x};{:x};{:x}",
            self.id.0, self.target.0, self.incarnation.0, self.expires.0, self.fingerprint
        )
    }
}

/// Attempts whose sender has received the answers, so that the ledger may drop their records.
///
/// Encoded as hexadecimal ids separated by commas, then a semicolon and a signature.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedHeader(pub Vec<AttemptId>);

impl AcknowledgedHeader {
    /// Encodes and signs the header.
    pub fn encode(&self, key: &MeshKey) -> String {
        let ids: Vec<String> = self.0.iter().map(|id| format!("{:x}", id.0)).collect();
        let text = ids.join(",");
        let signature = key.sign(&text);
        format!("{text};{signature}")
    }

    /// Parses a header and checks its signature.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptHeaderError`] if the header does not parse or its signature is wrong.
    pub fn decode(text: &str, key: &MeshKey) -> Result<AcknowledgedHeader> {
        let (plain, signature) = text.rsplit_once(';').ok_or(AttemptHeaderError::Malformed)?;
        if !key.is_signed(plain, signature) {
            return Err(AttemptHeaderError::WrongKey);
        }
        let parse = |id: &str| u64::from_str_radix(id, 16).map(AttemptId);
        let ids: std::result::Result<Vec<AttemptId>, _> = plain.split(',').map(parse).collect();
        ids.map(AcknowledgedHeader)
            .map_err(|_| AttemptHeaderError::Malformed)
    }
}

fn next_number<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Result<u64> {
    let text = parts.next().ok_or(AttemptHeaderError::Malformed)?;
    let digits = u64::from_str_radix(text, 16);
    digits.map_err(|_| AttemptHeaderError::Malformed)
}
