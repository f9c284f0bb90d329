//! Registers converge for any order and number of received datagrams, and datagrams round-trip.

use std::time::Duration;

use ashtide_throughput::{
    Entry, GatewayId, Incarnation, Log, MAX_DATAGRAM, MAX_ENTRIES, Registers, Report, ServerKey, Unheard,
    decode, encode,
};
use proptest::prelude::*;

fn entry(version: u32, incarnation: u32, setups: u8) -> Entry {
    Entry {
        version,
        incarnation: Incarnation(incarnation),
        setups,
        observed_s: 60,
        setup_rate: Log::of(100.0),
        load_at_setup: Log::of(5e5),
        capacity: Log::of(1e6),
        load: Log::of(f64::from(setups) * 1e4),
        connections: 3,
        overloads: 0,
        load_at_overload: Log::NONE,
    }
}

/// Generates reports with few different gateways, generations, servers and versions, so that they often
/// concern the same entries.
fn reports() -> impl Strategy<Value = Vec<Report>> {
    let report = (0u16..4, 1u64..4, prop::collection::vec((0u32..5, 0u32..6, 0u32..2, 0u8..9), 0..6));
    let report = report.prop_map(|(gateway, generation, rows)| {
        let row =
            |(server, version, incarnation, setups)| (ServerKey(server), entry(version, incarnation, setups));
        Report { gateway: GatewayId(gateway), generation, entries: rows.into_iter().map(row).collect() }
    });
    prop::collection::vec(report, 1..12)
}

fn merged<'a>(reports: impl Iterator<Item = &'a Report>) -> Registers {
    let mut registers = Registers::default();
    reports.for_each(|report| {
        registers.merge(Duration::ZERO, report).expect("capacity for the report");
    });
    registers
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merging_is_commutative_and_idempotent(reports in reports(), seed in any::<u64>()) {
        let once = merged(reports.iter());
        let mut shuffled: Vec<&Report> = reports.iter().chain(&reports).collect();
        let mut random = seed;
        for index in (1..shuffled.len()).rev() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(index, (random >> 33) as usize % (index + 1));
        }
        let twice = merged(shuffled.into_iter());
        prop_assert_eq!(&once, &twice);
        prop_assert_eq!(twice.differing(&once.digest(0)), Ok(vec![]));
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(Report { gateway, generation, entries }) = decode(&bytes) {
            // Byte 0 is the version, and byte 1 is reserved.
            prop_assert_eq!(&encode(gateway, generation, &entries)[2..], &bytes[2..]);
        }
    }
}

#[test]
fn a_datagram_round_trips_with_several_servers() {
    let entries: Vec<_> = (0..40).map(|number| (ServerKey(number), entry(number, 7, number as u8))).collect();
    let datagram = encode(GatewayId(9), 1 << 40, &entries);
    assert!(datagram.len() <= MAX_DATAGRAM && MAX_ENTRIES >= 8, "{}", datagram.len());
    let decoded =
        Report { gateway: GatewayId(9), generation: 1 << 40, entries: entries[..MAX_ENTRIES].to_vec() };
    assert_eq!(decode(&datagram), Ok(decoded));
    assert_eq!(decode(&datagram[..40]), Err(Unheard::Length { found: 40 }));
}

#[test]
fn a_digest_shows_whose_reports_another_gateway_misses() {
    let report = |gateway, version, setups| Report {
        gateway: GatewayId(gateway),
        generation: 5,
        entries: vec![(ServerKey(1), entry(version, 1, setups))],
    };
    let (first, second, second_changed) = (report(1, 1, 2), report(2, 1, 2), report(2, 2, 3));
    let behind = merged([&first, &second].into_iter());
    let ahead = merged([&first, &second, &second_changed].into_iter());
    assert_eq!(ahead.differing(&behind.digest(0)), Ok(vec![GatewayId(2)]));
    assert_eq!(merged([&first].into_iter()).differing(&ahead.digest(0)), Ok(vec![]));
}
