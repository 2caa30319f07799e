//! Compressed replies between proxies.

use rf_base::SeededRandom;
use rf_proxy::compression::{DecompressionError, compress, decompress};
use rf_transport::h1::Headers;

const LIMIT: usize = 1024 * 1024;

fn statement(length: usize) -> Vec<u8> {
    let line = b"2026-11-30 transfer to pot 0012.50 balance ";
    line.iter().copied().cycle().take(length).collect()
}

fn noise(length: usize) -> Vec<u8> {
    let mut random = SeededRandom::new(7);
    (0..length).map(|_| random.bits() as u8).collect()
}

#[test]
fn a_long_repetitive_reply_shrinks_and_comes_back_whole() {
    let original = statement(90_000);
    let mut headers = Headers::new();
    let packed = compress(original.clone(), &mut headers);
    assert!(packed.len() < original.len() / 10);
    assert_eq!(
        decompress(packed, &headers, LIMIT).expect("it is whole"),
        original
    );
}

#[test]
fn short_and_dense_replies_stay_as_they_are() {
    for original in [statement(300), noise(90_000)] {
        let mut headers = Headers::new();
        assert_eq!(compress(original.clone(), &mut headers), original);
        assert_eq!(headers.iter().count(), 0);
        assert_eq!(
            decompress(original.clone(), &headers, LIMIT).expect("as it is"),
            original
        );
    }
}

#[test]
fn what_is_broken_or_too_long_is_refused() {
    let mut headers = Headers::new();
    let packed = compress(statement(90_000), &mut headers);
    let half = packed[..packed.len() / 2].to_vec();
    assert!(matches!(
        decompress(half, &headers, LIMIT),
        Err(DecompressionError::Malformed { .. })
    ));
    let result = decompress(packed, &headers, 80_000);
    assert!(matches!(
        result,
        Err(DecompressionError::TooLong { length: 90_000, .. })
    ));
    let mut unknown = Headers::new();
    unknown.add("Content-Encoding", "rot13");
    assert!(decompress(vec![1], &unknown, LIMIT).is_err());
}
