//! Measures in virtual time what shared state costs a gateway and how fast it moves: `shared 10 100 1000`.

#[path = "../tests/chance/mod.rs"]
#[allow(dead_code)]
mod chance;
#[path = "../tests/exchanges/mod.rs"]
#[allow(dead_code)]
mod exchanges;

use std::time::Duration;

use ashtide_fleet::state::{CounterKey, EvidenceKind};
use exchanges::{Cluster, READY};

fn main() {
    println!(
        "| gateways | datagrams, bytes a gateway a second, 20 counts and 1 budget in use | the same, 30% lost | a failing server out at 99% | a budget's rights where the demand has moved, after 1, 2, 3 s |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let second = Duration::from_secs(1);
    for size in std::env::args().skip(1).filter_map(|size| size.parse::<usize>().ok()) {
        let total = 10_000 * size as u64;
        let mut cluster = Cluster::new(1, size, 4, total);
        for number in 0..size {
            let exchange = cluster.gateways[number].exchange.as_mut().expect("there");
            (0..20).for_each(|key| exchange.set_count(CounterKey::OpenOnServer(key), number as u32));
            exchange.set_wanted_units(number as u32 % 4, total / (size as u64 / 4).max(1) / 2);
        }
        cluster.run(4 * second);
        let calm = cluster.price(4);
        cluster.chance.loss = 0.3;
        cluster.run(2 * second);
        let lossy = cluster.price(4);
        cluster.chance.loss = 0.0;
        // Nine in ten see it, again and again.
        let mut out = None;
        for tick in 0..40 {
            for number in (0..size).filter(|number| number % 10 != 0) {
                let now = cluster.gateways[number].clock.read(cluster.chance.now);
                let exchange = cluster.gateways[number].exchange.as_mut().expect("there");
                exchange.outlier_reports_mut().record_observation(now, 2, EvidenceKind::Failing, 8, 8);
            }
            cluster.run(second / 4);
            let all = cluster.gateways.iter_mut().flat_map(|it| &mut it.exchange);
            let agreed = all
                .map(|it| usize::from(!it.outlier_reports_mut().outliers(&READY).is_empty()))
                .sum::<usize>();
            if agreed * 100 >= size * 99 {
                out = Some(0.25 * f64::from(tick + 1));
                break;
            }
        }
        // All who wanted budget 0 want none; as many others want all of it.
        let parties = |number: usize, which: usize| number % 4 == which;
        for number in 0..size {
            let exchange = cluster.gateways[number].exchange.as_mut().expect("there");
            exchange
                .set_wanted_units(0, if parties(number, 1) { total / (size as u64 / 4).max(1) } else { 0 });
        }
        let mut moved = Vec::new();
        for _ in 0..3 {
            cluster.run(second);
            let there = cluster.gateways.iter_mut().enumerate().filter(|it| parties(it.0, 1));
            let usable: u64 = there
                .filter_map(|it| it.1.exchange.as_mut()?.budget_mut(0).map(|it| it.escrow().usable_units()))
                .sum();
            moved.push(format!("{:.0}%", 100.0 * usable as f64 / total as f64));
        }
        let out = out.map_or("over 10 s".into(), |out| format!("{out:.2} s"));
        let price = |(datagrams, bytes): (f64, f64)| format!("{datagrams:.1}, {bytes:.0}");
        println!("| {size} | {} | {} | {out} | {} |", price(calm), price(lossy), moved.join(", "));
        cluster.check().expect("the invariants hold");
    }
}
