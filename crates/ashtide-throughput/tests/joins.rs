//! Registers converge whatever the order and number of received datagrams, and datagrams round-trip.

use std::time::Duration;

use ashtide_throughput::{
    Entry, GatewayId, Life, Log, MAX_DATAGRAM, MAX_ENTRIES, Registers, Said, ServerKey, Unheard, decode,
    encode,
};
use proptest::prelude::*;

fn entry(version: u32, life: u32, setups: u8) -> Entry {
    Entry {
        version,
        life: Life(life),
        setups,
        seconds: 60,
        rate: Log::of(100.0),
        beside: Log::of(5e5),
        bears: Log::of(1e6),
        load: Log::of(f64::from(setups) * 1e4),
        connections: 3,
        strains: 0,
        held: Log::NONE,
    }
}

fn reports() -> impl Strategy<Value = Vec<Said>> {
    let report = (0u16..4, 1u64..4, prop::collection::vec((0u32..5, 0u32..6, 0u32..2, 0u8..9), 0..6));
    let reports = report.prop_map(|(gateway, generation, rows)| {
        let row = |(server, version, life, setups)| (ServerKey(server), entry(version, life, setups));
        (GatewayId(gateway), generation, rows.into_iter().map(row).collect())
    });
    prop::collection::vec(reports, 1..12)
}

fn joined<'a>(reports: impl Iterator<Item = &'a Said>) -> Registers {
    let mut registers = Registers::default();
    reports.for_each(|report| {
        registers.join(Duration::ZERO, report).expect("capacity");
    });
    registers
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn joins_commute_and_repeat_without_effect(reports in reports(), seed in any::<u64>()) {
        let once = joined(reports.iter());
        let mut shuffled: Vec<&Said> = reports.iter().chain(&reports).collect();
        let mut random = seed;
        for index in (1..shuffled.len()).rev() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(index, (random >> 33) as usize % (index + 1));
        }
        let twice = joined(shuffled.into_iter());
        prop_assert_eq!(&once, &twice);
        prop_assert_eq!(twice.differing(&once.digest(0)), Ok(vec![]));
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok((gateway, generation, entries)) = decode(&bytes) {
            prop_assert_eq!(&encode(gateway, generation, &entries)[2..], &bytes[2..]);
        }
    }
}

#[test]
fn a_datagram_round_trips_with_several_servers() {
    let entries: Vec<_> = (0..40).map(|number| (ServerKey(number), entry(number, 7, number as u8))).collect();
    let datagram = encode(GatewayId(9), 1 << 40, &entries);
    assert!(datagram.len() <= MAX_DATAGRAM && MAX_ENTRIES >= 8, "{}", datagram.len());
    assert_eq!(decode(&datagram), Ok((GatewayId(9), 1 << 40, entries[..MAX_ENTRIES].to_vec())));
    assert_eq!(decode(&datagram[..40]), Err(Unheard::Length { found: 40 }));
}

#[test]
fn a_digest_shows_whose_reports_another_gateway_misses() {
    let one = (GatewayId(1), 5, vec![(ServerKey(1), entry(1, 1, 2))]);
    let two = (GatewayId(2), 5, vec![(ServerKey(1), entry(1, 1, 2))]);
    let later = (GatewayId(2), 5, vec![(ServerKey(1), entry(2, 1, 3))]);
    let behind = joined([&one, &two].into_iter());
    let ahead = joined([&one, &two, &later].into_iter());
    assert_eq!(ahead.differing(&behind.digest(0)), Ok(vec![GatewayId(2)]));
    assert_eq!(joined([&one].into_iter()).differing(&ahead.digest(0)), Ok(vec![]));
}
