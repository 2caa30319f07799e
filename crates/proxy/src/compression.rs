//! Long replies between proxies are compressed where that pays.
//!
//! Load pattern this answers: large answers over the thin link of the instance that runs them. What
//! callers and backend servers get is untouched.

use rf_transport::h1::Headers;
use snafu::Snafu;

/// Header field that tells of the compression.
const FIELD: &str = "Content-Encoding";
/// Its value: blocks of the LZ4 format after the length of the original.
const NAME: &str = "lz4";
/// Length from which a reply is compressed, in bytes; shorter ones fit a few packets anyway.
const MIN_LENGTH: usize = 4 * 1024;
/// Bytes from the middle on which is tried whether compression pays.
const SAMPLE: usize = 4 * 1024;
/// Greatest length after compression, as a part of the original, that is worth the processor time
/// at both ends.
const MAX_PART: f64 = 0.85;

/// Error of a reply that cannot be unpacked.
#[derive(Debug, Snafu)]
pub enum DecompressionError {
    /// Its original is longer than a message may be.
    #[snafu(display("unpacks to {length} bytes, the limit is {limit}"))]
    TooLong {
        /// Announced length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// It is not in the announced format.
    #[snafu(display("not in the announced format: {message}"))]
    Malformed {
        /// What was expected.
        message: String,
    },
}

/// Result of unpacking.
pub type Result<T> = std::result::Result<T, DecompressionError>;

/// Compresses a reply where that pays, and marks it in its headers.
pub fn compress(bytes: Vec<u8>, headers: &mut Headers) -> Vec<u8> {
    if bytes.len() < MIN_LENGTH || !is_worth_it(&bytes) {
        return bytes;
    }
    headers.add(FIELD, NAME);
    lz4_flex::compress_prepend_size(&bytes)
}

fn is_worth_it(bytes: &[u8]) -> bool {
    let start = (bytes.len() - SAMPLE) / 2;
    let sample = &bytes[start..start + SAMPLE];
    (lz4_flex::compress(sample).len() as f64) < SAMPLE as f64 * MAX_PART
}

/// Returns the original of a reply of at most `limit` bytes.
///
/// # Errors
///
/// Returns an [`DecompressionError`] where it is too long or malformed.
pub fn decompress(bytes: Vec<u8>, headers: &Headers, limit: usize) -> Result<Vec<u8>> {
    match headers.get(FIELD) {
        None => Ok(bytes),
        Some(NAME) => decompress_lz4(&bytes, limit),
        Some(other) => Err(DecompressionError::Malformed {
            message: format!("unknown encoding {other}"),
        }),
    }
}

fn decompress_lz4(bytes: &[u8], limit: usize) -> Result<Vec<u8>> {
    let malformed = |error: lz4_flex::block::DecompressError| DecompressionError::Malformed {
        message: error.to_string(),
    };
    // The length is checked before anything is reserved for it.
    let (length, block) = lz4_flex::block::uncompressed_size(bytes).map_err(malformed)?;
    if length > limit {
        return Err(DecompressionError::TooLong { length, limit });
    }
    lz4_flex::decompress(block, length).map_err(malformed)
}
