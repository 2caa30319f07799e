//! Compression of long replies between proxies.
//!
//! Large answers can saturate the narrow network link of the instance that serves them. A reply is
//! compressed only if a sample of it compresses well. Callers and backend servers see the original
//! bytes.

use rf_transport::h1::{ByteBudget, Headers};
use snafu::Snafu;

/// Header field that marks a compressed reply.
const ENCODING_HEADER: &str = "Content-Encoding";
/// Value of the header: LZ4 block format, prefixed with the uncompressed length.
const LZ4_ENCODING: &str = "lz4";
/// Minimum length of a compressed reply, in bytes; shorter ones fit into a few packets anyway.
const MIN_COMPRESSED_LENGTH: usize = 4 * 1024;
/// Length of the sample from the middle of a reply that is test-compressed, in bytes.
const SAMPLE_LENGTH: usize = 4 * 1024;
/// Maximum ratio of compressed to original length at which compression is worth the processor time
/// on both ends.
const MAX_RATIO: f64 = 0.85;

/// Error when decompressing a reply.
#[derive(Debug, Snafu)]
pub enum DecompressionError {
    /// The uncompressed length exceeds the message limit.
    #[snafu(display("uncompressed length of {length} bytes exceeds the limit of {limit} bytes"))]
    TooLong {
        /// Uncompressed length in bytes, as stated by the sender.
        length: usize,
        /// Maximum length of a message, in bytes.
        limit: usize,
    },
    /// The original bytes exceed the memory budget that they share with others.
    #[snafu(display("the memory budget for messages is used up"))]
    OutOfMemory,
    /// The encoding is unknown, or the data does not match it.
    #[snafu(display("malformed compressed reply: {message}"))]
    Malformed {
        /// Cause of the failure.
        message: String,
    },
}

/// Result of decompressing a reply.
pub type Result<T> = std::result::Result<T, DecompressionError>;

/// Compresses a reply if it is long and compressible, and marks it in its headers.
pub fn compress(bytes: Vec<u8>, headers: &mut Headers) -> Vec<u8> {
    if bytes.len() < MIN_COMPRESSED_LENGTH || !is_compressible(&bytes) {
        return bytes;
    }
    headers.add(ENCODING_HEADER, LZ4_ENCODING);
    lz4_flex::compress_prepend_size(&bytes)
}

fn is_compressible(bytes: &[u8]) -> bool {
    let start = (bytes.len() - SAMPLE_LENGTH) / 2;
    let sample = &bytes[start..start + SAMPLE_LENGTH];
    (lz4_flex::compress(sample).len() as f64) < SAMPLE_LENGTH as f64 * MAX_RATIO
}

/// Returns the original bytes of a reply, which may be at most `limit` bytes long. Takes those that
/// were compressed from `budget`.
///
/// # Errors
///
/// Returns a [`DecompressionError`] if the reply is too long or malformed, or if the budget is
/// exhausted.
pub fn decompress<B: ByteBudget>(
    bytes: Vec<u8>,
    headers: &Headers,
    limit: usize,
    budget: &B,
) -> Result<Vec<u8>> {
    match headers.get(ENCODING_HEADER) {
        None => Ok(bytes),
        Some(LZ4_ENCODING) => decompress_lz4(&bytes, limit, budget),
        Some(other) => Err(DecompressionError::Malformed {
            message: format!("unknown encoding {other}"),
        }),
    }
}

fn decompress_lz4<B: ByteBudget>(bytes: &[u8], limit: usize, budget: &B) -> Result<Vec<u8>> {
    let malformed = |error: lz4_flex::block::DecompressError| DecompressionError::Malformed {
        message: error.to_string(),
    };
    // The length is untrusted, so it is checked before the buffer is allocated.
    let (length, block) = lz4_flex::block::uncompressed_size(bytes).map_err(malformed)?;
    if length > limit {
        return Err(DecompressionError::TooLong { length, limit });
    }
    if !budget.try_take(length) {
        return Err(DecompressionError::OutOfMemory);
    }
    lz4_flex::decompress(block, length).map_err(malformed)
}
