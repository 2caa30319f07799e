//! Tests of the compression of replies between proxies.

use rf_base::SeededRandom;
use rf_proxy::compression::{DecompressionError, compress, decompress};
use rf_transport::h1::{Headers, MemoryBudget, UnlimitedBytes};

const LIMIT: usize = 1024 * 1024;

fn statement(length: usize) -> Vec<u8> {
    let line = b"2026-11-30 transfer to pot 0012.50 balance ";
    line.iter().copied().cycle().take(length).collect()
}

fn random_bytes(length: usize) -> Vec<u8> {
    let mut random = SeededRandom::new(7);
    (0..length).map(|_| random.bits() as u8).collect()
}

#[test]
fn a_compressible_reply_survives_the_round_trip() {
    let original = statement(90_000);
    let mut headers = Headers::new();
    let compressed = compress(original.clone(), &mut headers);
    assert!(compressed.len() < original.len() / 10);
    assert_eq!(
        decompress(compressed, &headers, LIMIT, &UnlimitedBytes).expect("the reply is intact"),
        original
    );
}

#[test]
fn short_and_incompressible_replies_are_not_compressed() {
    for original in [statement(300), random_bytes(90_000)] {
        let mut headers = Headers::new();
        assert_eq!(compress(original.clone(), &mut headers), original);
        assert_eq!(headers.iter().count(), 0);
        assert_eq!(
            decompress(original.clone(), &headers, LIMIT, &UnlimitedBytes)
                .expect("the reply is not compressed"),
            original
        );
    }
}

#[test]
fn truncated_oversized_and_unknown_encodings_are_rejected() {
    let mut headers = Headers::new();
    let compressed = compress(statement(90_000), &mut headers);
    let half = compressed[..compressed.len() / 2].to_vec();
    assert!(matches!(
        decompress(half, &headers, LIMIT, &UnlimitedBytes),
        Err(DecompressionError::Malformed { .. })
    ));
    let result = decompress(compressed.clone(), &headers, 80_000, &UnlimitedBytes);
    assert!(matches!(
        result,
        Err(DecompressionError::TooLong { length: 90_000, .. })
    ));
    // The stated length is not allocated unless the budget has room for it.
    let memory = MemoryBudget::new(80_000).empty_reservation();
    let result = decompress(compressed, &headers, LIMIT, &memory);
    assert!(matches!(result, Err(DecompressionError::OutOfMemory)));
    let mut unknown = Headers::new();
    unknown.add("Content-Encoding", "rot13");
    assert!(decompress(vec![1], &unknown, LIMIT, &UnlimitedBytes).is_err());
}
