//! Measures in virtual time how long views take to settle, by size and fault: `settle 30 300 1000`.

#[path = "../tests/tier/mod.rs"]
#[allow(dead_code)]
mod tier;

use ashtide_fleet::Change;
use tier::{Tier, ms};

fn main() {
    println!(
        "| members | join | kill -9 | restart | halves parted for 15 s, healed | false deaths in 30 s of 30% loss | datagrams, bytes a member a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for size in std::env::args().skip(1).filter_map(|size| size.parse::<usize>().ok()) {
        let long = ms(240_000);
        let mut tier = Tier::new(size, 1);
        let seconds = |time: std::time::Duration| format!("{:.1} s", time.as_secs_f64());
        let join = seconds(tier.settle(long));
        tier.run(ms(3_000));
        let (datagrams, bytes) = tier.sent_a_second(10);
        let price = format!("{datagrams:.1}, {bytes:.0}");
        tier.kill(size / 2);
        let kill = seconds(tier.settle(long));
        tier.start(size / 2, 1_100_000);
        let restart = seconds(tier.settle(long));
        let (one, other): (Vec<usize>, Vec<usize>) = (0..size).partition(|number| number % 2 == 0);
        tier.part(&one, &other);
        tier.run(ms(15_000));
        tier.cut.clear();
        let heal = seconds(tier.settle(long));
        tier.changes.clear();
        tier.loss = 0.3;
        tier.run(ms(30_000));
        let deaths = tier.changes.iter().filter(|it| matches!(it.2, Change::Dead(_))).count();
        tier.loss = 0.0;
        let after_loss = seconds(tier.settle(long));
        println!(
            "| {size} | {join} | {kill} | {restart} | {heal} | {deaths}, settled {after_loss} later | {price} |"
        );
    }
}
