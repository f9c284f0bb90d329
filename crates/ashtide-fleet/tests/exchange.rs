//! Fleets that exchange all kinds of shared state: the invariants are true under any faults, and the state
//! converges after them.

mod exchanges;
mod faulty_network;

use std::time::Duration;

use ashtide_fleet::state::{CounterKey, EvidenceKind};
use exchanges::{Cluster, READY};
use faulty_network::seeds;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn invariants_are_true_under_faults_and_state_converges_after_them() {
    for seed in seeds(120) {
        let size = 3 + seed as usize % 5;
        let mut cluster = Cluster::new(seed, size, 3, 20_000);
        for step in 0..400 {
            if cluster.network.one_in(25) {
                cluster.inject_fault();
            }
            if cluster.network.one_in(4) {
                let number = cluster.network.random_below(size);
                let key = cluster.network.random_below(5) as u32;
                let value = cluster.network.random_below(30);
                let now = cluster.gateways[number].clock.read(cluster.network.now);
                if let Some(exchange) = &mut cluster.gateways[number].exchange {
                    exchange.set_count(CounterKey::OpenOnServer(key), value as u32);
                    exchange.set_wanted_units(key % 3, value as u64 * 1_000);
                    exchange.outlier_reports_mut().record_observation(
                        now,
                        key,
                        EvidenceKind::Failing,
                        value as u16,
                        20,
                    );
                }
            }
            cluster.step();
            if let Err(violation) = cluster.check() {
                panic!("ASHTIDE_SEED={seed} at step {step}: {violation}");
            }
        }
        cluster.clear_faults();
        // A message of an earlier incarnation may be delayed by 3 s, and its row expires after 10 s.
        cluster.run(14 * SECOND);
        // The total of each key at every gateway must be the sum of the counts of all gateways.
        for key in (0..5).map(CounterKey::OpenOnServer) {
            let expected_sum: u64 = cluster.gateways.iter().flat_map(|it| &it.exchange).fold(0, |sum, it| {
                sum + u64::from(it.counts().own_row().cells.get(&key).map_or(0, |cell| cell.value))
            });
            for number in 0..size {
                cluster.gateways[number].exchange.as_mut().expect("the gateway runs").fleet_total(key);
            }
            cluster.run(SECOND / 2);
            for number in 0..size {
                let total =
                    cluster.gateways[number].exchange.as_mut().expect("the gateway runs").fleet_total(key);
                assert_eq!(
                    total.map(|it| it.sum),
                    Some(expected_sum),
                    "ASHTIDE_SEED={seed}: {key:?} at {number}"
                );
            }
        }
        assert_eq!(cluster.check(), Ok(()), "ASHTIDE_SEED={seed}");
    }
}

#[test]
fn units_follow_a_demand_that_moves() {
    for seed in seeds(20) {
        let mut cluster = Cluster::new(seed, 9, 1, 90_000);
        let set_wanted_units = |cluster: &mut Cluster, from: usize, units: u64| {
            for number in from..from + 3 {
                cluster.gateways[number]
                    .exchange
                    .as_mut()
                    .expect("the gateway runs")
                    .set_wanted_units(0, units);
            }
        };
        set_wanted_units(&mut cluster, 0, 30_000);
        cluster.run(4 * SECOND);
        set_wanted_units(&mut cluster, 0, 0);
        set_wanted_units(&mut cluster, 6, 30_000);
        cluster.run(3 * SECOND);
        let usable: u64 = cluster.gateways[6..].iter_mut().fold(0, |sum, it| {
            let budget = it.exchange.as_mut().and_then(|it| it.budget_mut(0)).expect("the budget exists");
            sum + budget.escrow().usable_units()
        });
        // All units except the floors of the other six gateways, which are never lent.
        assert!((81_000..=84_000).contains(&usable), "ASHTIDE_SEED={seed}: {usable} of 90000");
    }
}

#[test]
fn all_gateways_eject_a_failing_server_within_seconds_and_one_faulty_observer_ejects_none() {
    let mut cluster = Cluster::new(5, 30, 1, 1_000);
    cluster.run(SECOND);
    let ejecting_gateways = |cluster: &mut Cluster| {
        let all = cluster.gateways.iter_mut().flat_map(|it| &mut it.exchange);
        all.map(|it| usize::from(!it.outlier_reports_mut().outliers(&READY).is_empty())).sum::<usize>()
    };
    for server in 0..10 {
        let now = cluster.gateways[3].clock.read(cluster.network.now);
        let faulty_exchange = cluster.gateways[3].exchange.as_mut().expect("the gateway runs");
        faulty_exchange.outlier_reports_mut().record_observation(
            now,
            server,
            EvidenceKind::Failing,
            60_000,
            60_000,
        );
    }
    cluster.run(4 * SECOND);
    assert_eq!(ejecting_gateways(&mut cluster), 0);
    for _ in 0..4 {
        for number in 4..30 {
            let now = cluster.gateways[number].clock.read(cluster.network.now);
            let exchange = cluster.gateways[number].exchange.as_mut().expect("the gateway runs");
            exchange.outlier_reports_mut().record_observation(now, 2, EvidenceKind::Failing, 8, 8);
        }
        cluster.run(SECOND);
    }
    assert_eq!(ejecting_gateways(&mut cluster), 30);
}

#[test]
fn traffic_of_a_gateway_does_not_grow_with_the_fleet() {
    let traffic_of_fleet = |size: usize| {
        let mut cluster = Cluster::new(3, size, 4, 1_000_000);
        for number in 0..size {
            let exchange = cluster.gateways[number].exchange.as_mut().expect("the gateway runs");
            (0..20).for_each(|key| exchange.set_count(CounterKey::OpenOnServer(key), number as u32));
            exchange.set_wanted_units(number as u32 % 4, 10_000);
        }
        cluster.run(5 * SECOND);
        cluster.traffic_per_gateway(5)
    };
    let small = traffic_of_fleet(10);
    let middle = traffic_of_fleet(60);
    let large = traffic_of_fleet(240);
    let measured = format!(
        "datagrams and bytes per gateway and second in fleets of 10, 60 and 240: \
         {small:?}, {middle:?}, {large:?}"
    );
    assert!(small.0 < 16.0 && large.0 < 16.0 && large.0 < 1.25 * middle.0, "{measured}");
    assert!(large.1 < 512.0, "{measured}");
}

#[test]
fn no_datagram_causes_a_panic_or_changes_units_without_a_request() {
    let cases = Cases { cases: 512, failure_persistence: None, ..Cases::default() };
    let mut runner = TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let mut cluster = Cluster::new(1, 3, 1, 3_000);
    let gateway = &mut cluster.gateways[0];
    let requester = gateway.exchange.as_mut().expect("the gateway runs");
    requester.set_wanted_units(0, 3_000);
    let later = gateway.clock.read(cluster.network.now + SECOND);
    requester.advance_to(later);
    let (_, valid) = requester.next_datagram().expect("the gateway sends a lease request");
    runner
        .run(&(vec(any::<u8>(), 0..280), vec((0..valid.len(), any::<u8>()), 0..4)), |(tail, changes)| {
            let mut cluster = Cluster::new(1, 3, 1, 3_000);
            let exchange = cluster.gateways[2].exchange.as_mut().expect("the gateway runs");
            let mut corrupted = valid.clone();
            for (index, byte) in changes {
                corrupted[index] = byte;
            }
            let _ = exchange.handle_datagram(&corrupted);
            let _ = exchange.handle_datagram(&tail);
            let _ = exchange.handle_datagram(&[&valid[..15], &tail[..]].concat());
            prop_assert_eq!(exchange.check(&READY), Ok(()));
            let usable = exchange.budget_mut(0).expect("the budget exists").escrow().usable_units();
            prop_assert!(usable <= 1_000, "{} usable units after a grant that was not requested", usable);
            Ok(())
        })
        .unwrap();
}
