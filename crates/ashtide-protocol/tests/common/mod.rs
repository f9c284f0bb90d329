//! Helpers for property tests of parsers, also used by the daemon's tests: cases from a fixed seed, decoding
//! in pieces, and random bytes.

use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::Decoder;

/// Runs a test on 256 values of the strategy, generated from a fixed seed.
pub fn check<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&strategy, test).unwrap();
}

/// Decodes bytes that arrive in pieces of these sizes, from 1 byte up. The bytes after the last piece arrive
/// at once.
pub fn feed<D: Decoder>(mut codec: D, bytes: &[u8], piece_sizes: &[usize]) -> Result<Vec<D::Item>, D::Error> {
    let (mut buffer, mut items, mut rest) = (BytesMut::new(), Vec::new(), bytes);
    let mut sizes = piece_sizes.iter().copied().chain(std::iter::repeat(usize::MAX));
    while !rest.is_empty() {
        let size = sizes.next().unwrap_or(1).clamp(1, rest.len());
        buffer.extend_from_slice(&rest[..size]);
        rest = &rest[size..];
        while let Some(item) = codec.decode(&mut buffer)? {
            items.push(item);
        }
    }
    Ok(items)
}

/// Returns a strategy for the sizes in bytes of the pieces in which a stream arrives.
pub fn piece_sizes() -> impl Strategy<Value = Vec<usize>> {
    vec(1_usize..40, 0..60)
}

/// Returns a strategy for invalid input: arbitrary bytes, or characters that have a meaning in the parsed
/// formats.
pub fn random_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![vec(any::<u8>(), 0..2000), vec(prop::sample::select(b"\r\n 0af=,{}[]\":c".to_vec()), 0..6000)]
}
