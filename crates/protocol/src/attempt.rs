//! Header of an attempt on its way to the daemon beside a backend server.
//!
//! The header names the life of the daemon that it is meant for and the time after which it must
//! not run. Both bound the ledger: a daemon refuses what was meant for an earlier life, and a
//! record that outlives the expiry need not be kept.

use crate::envelope::MeshKey;
use rf_base::{AttemptId, Incarnation, InstanceId, Millis};
use snafu::Snafu;

/// Name of the HTTP header.
pub const ATTEMPT_HEADER: &str = "rosemaryfork-attempt";
/// Name of the HTTP header of a [`SettledHeader`].
pub const SETTLED_HEADER: &str = "rosemaryfork-settled";

/// Error for an attempt header that is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AttemptHeaderError {
    /// The header does not parse.
    #[snafu(display("malformed attempt header"))]
    Malformed,
    /// The signature does not match.
    #[snafu(display("attempt header with a wrong key"))]
    WrongKey,
}

/// Result of parsing.
pub type Result<T> = std::result::Result<T, AttemptHeaderError>;

/// Identity and bounds of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHeader {
    /// The attempt.
    pub id: AttemptId,
    /// Daemon it is meant for.
    pub target: InstanceId,
    /// Life of that daemon.
    pub incarnation: Incarnation,
    /// Time after which it must not start.
    pub expires: Millis,
    /// Fingerprint of the request, to recognise one that crashes backend servers.
    pub fingerprint: u64,
}

impl AttemptHeader {
    /// Encodes and signs the header.
    pub fn encode(&self, key: &MeshKey) -> String {
        let text = self.plain();
        let signature = key.sign(&text);
        format!("{text};{signature}")
    }

    /// Parses a header and checks its signature.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptHeaderError`] for a header that does not parse or is signed otherwise.
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

    fn plain(&self) -> String {
        format!(
            "{:x};{:x};{:x};{:x};{:x}",
            self.id.0, self.target.0, self.incarnation.0, self.expires.0, self.fingerprint
        )
    }
}

/// Attempts whose answers their sender has, so that their records may be dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledHeader(pub Vec<AttemptId>);

impl SettledHeader {
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
    /// Returns an [`AttemptHeaderError`] for a header that does not parse or is signed otherwise.
    pub fn decode(text: &str, key: &MeshKey) -> Result<SettledHeader> {
        let (plain, signature) = text.rsplit_once(';').ok_or(AttemptHeaderError::Malformed)?;
        if !key.is_signed(plain, signature) {
            return Err(AttemptHeaderError::WrongKey);
        }
        let parse = |id: &str| u64::from_str_radix(id, 16).map(AttemptId);
        let ids: std::result::Result<Vec<AttemptId>, _> = plain.split(',').map(parse).collect();
        ids.map(SettledHeader)
            .map_err(|_| AttemptHeaderError::Malformed)
    }
}

fn next_number<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Result<u64> {
    let text = parts.next().ok_or(AttemptHeaderError::Malformed)?;
    let digits = u64::from_str_radix(text, 16);
    digits.map_err(|_| AttemptHeaderError::Malformed)
}
