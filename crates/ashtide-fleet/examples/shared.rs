//! Measures, in virtual time, the traffic of shared state per gateway and how fast it propagates. The
//! arguments are fleet sizes: `shared 10 100 1000`.

#[path = "../tests/exchanges/mod.rs"]
#[allow(dead_code)]
mod exchanges;
#[path = "../tests/faulty_network/mod.rs"]
#[allow(dead_code)]
mod faulty_network;

use std::time::Duration;

use ashtide_fleet::state::{CounterKey, EvidenceKind};
use exchanges::{Cluster, READY};

fn main() {
    println!(
        "| gateways | datagrams, bytes per gateway and second, 20 counts and 1 budget in use | with 30% loss | \
         time until 99% eject a failing server | \
         units of a budget at the new demand, after 1, 2, 3 s |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let second = Duration::from_secs(1);
    for size in std::env::args().skip(1).filter_map(|size| size.parse::<usize>().ok()) {
        let total = 10_000 * size as u64;
        let mut cluster = Cluster::new(1, size, 4, total);
        for number in 0..size {
            let exchange = cluster.gateways[number].exchange.as_mut().expect("the gateway runs");
            (0..20).for_each(|key| exchange.set_count(CounterKey::OpenOnServer(key), number as u32));
            exchange.set_wanted_units(number as u32 % 4, total / (size as u64 / 4).max(1) / 2);
        }
        cluster.run(4 * second);
        let without_loss = cluster.traffic_per_gateway(4);
        cluster.network.loss = 0.3;
        cluster.run(2 * second);
        let with_loss = cluster.traffic_per_gateway(4);
        cluster.network.loss = 0.0;
        // Nine in ten gateways observe the failures repeatedly.
        let mut ejected_after_s = None;
        for tick in 0..40 {
            for number in (0..size).filter(|number| number % 10 != 0) {
                let now = cluster.gateways[number].clock.read(cluster.network.now);
                let exchange = cluster.gateways[number].exchange.as_mut().expect("the gateway runs");
                exchange.outlier_reports_mut().record_observation(now, 2, EvidenceKind::Failing, 8, 8);
            }
            cluster.run(second / 4);
            let all = cluster.gateways.iter_mut().flat_map(|it| &mut it.exchange);
            let ejecting_gateways = all
                .map(|it| usize::from(!it.outlier_reports_mut().outliers(&READY).is_empty()))
                .sum::<usize>();
            if ejecting_gateways * 100 >= size * 99 {
                ejected_after_s = Some(0.25 * f64::from(tick + 1));
                break;
            }
        }
        // The gateways that used budget 0 no longer want it; as many other gateways want all of it.
        let has_new_demand = |number: usize| number % 4 == 1;
        for number in 0..size {
            let exchange = cluster.gateways[number].exchange.as_mut().expect("the gateway runs");
            exchange.set_wanted_units(
                0,
                if has_new_demand(number) { total / (size as u64 / 4).max(1) } else { 0 },
            );
        }
        let mut moved_units = Vec::new();
        for _ in 0..3 {
            cluster.run(second);
            let demanding = cluster.gateways.iter_mut().enumerate().filter(|it| has_new_demand(it.0));
            let usable: u64 = demanding
                .filter_map(|it| it.1.exchange.as_mut()?.budget_mut(0).map(|it| it.escrow().usable_units()))
                .sum();
            moved_units.push(format!("{:.0}%", 100.0 * usable as f64 / total as f64));
        }
        let ejected_after = ejected_after_s.map_or("over 10 s".into(), |seconds| format!("{seconds:.2} s"));
        let traffic = |(datagrams, bytes): (f64, f64)| format!("{datagrams:.1}, {bytes:.0}");
        println!(
            "| {size} | {} | {} | {ejected_after} | {} |",
            traffic(without_loss),
            traffic(with_loss),
            moved_units.join(", ")
        );
        cluster.check().expect("no invariant is violated");
    }
}
