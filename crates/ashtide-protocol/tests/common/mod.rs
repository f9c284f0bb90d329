//! What tests of parsers share, here and in the daemon's package: fixed seeds, random cuts, garbage.

use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::Decoder;

pub fn check<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let cases = Cases { cases: 256, failure_persistence: None, ..Cases::default() };
    let mut runner = TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&strategy, test).unwrap();
}

/// Feeds bytes in pieces of these sizes, the last one as often as it takes.
pub fn feed<D: Decoder>(mut codec: D, bytes: &[u8], cuts: &[usize]) -> Result<Vec<D::Item>, D::Error> {
    let (mut buffer, mut items, mut rest) = (BytesMut::new(), Vec::new(), bytes);
    let mut cuts = cuts.iter().copied().chain(std::iter::repeat(usize::MAX));
    while !rest.is_empty() {
        let cut = cuts.next().unwrap_or(1).clamp(1, rest.len());
        buffer.extend_from_slice(&rest[..cut]);
        rest = &rest[cut..];
        while let Some(item) = codec.decode(&mut buffer)? {
            items.push(item);
        }
    }
    Ok(items)
}

pub fn piece_sizes() -> impl Strategy<Value = Vec<usize>> {
    vec(1_usize..40, 0..60)
}

pub fn random_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![vec(any::<u8>(), 0..2000), vec(prop::sample::select(b"\r\n 0af=,{}[]\":c".to_vec()), 0..6000)]
}
