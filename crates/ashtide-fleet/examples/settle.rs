//! Measures in virtual time how long views take to agree, by size and fault: `settle 30 300:1 1000:1`. After the
//! colon: how many seeds, of which the worst is told; 3 without.

#[path = "../tests/cluster/mod.rs"]
#[allow(dead_code)]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, ms};

/// Nothing is waited for longer.
const LONG: Duration = Duration::from_secs(120);

/// What one play shows: the times until 99% of views agree again, and what the loss brought.
#[derive(Default)]
struct Run {
    times: Vec<Option<Duration>>,
    price: (f64, f64),
    deaths: usize,
    longest: Duration,
}

fn simulate(size: usize, seed: u64) -> Run {
    let mut cluster = Cluster::new(size, seed);
    let mut simulate = Run::default();
    let mut settled = |cluster: &mut Cluster| {
        let took = cluster.until(0.99, LONG);
        // A large tier takes minutes, so what is known already is told.
        eprintln!("{size} members, seed {seed}, fault {}: {took:?}", simulate.times.len());
        cluster.run(ms(3_000));
        simulate.times.push(took);
    };
    settled(&mut cluster);
    cluster.run(ms(10_000));
    simulate.price = cluster.sent_a_second(10);
    cluster.kill(size / 2);
    settled(&mut cluster);
    cluster.start(size / 2, 1_100_000);
    settled(&mut cluster);
    let tenth = || (0..size).filter(|number| number % 10 == 5);
    tenth().for_each(|number| cluster.kill(number));
    settled(&mut cluster);
    tenth().for_each(|number| cluster.start(number, 1_200_000));
    settled(&mut cluster);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..size).partition(|number| number % 2 == 0);
    cluster.part(&one, &other);
    cluster.run(ms(15_000));
    cluster.cut.clear();
    settled(&mut cluster);
    cluster.changes.clear();
    cluster.loss = 0.3;
    cluster.run(ms(30_000));
    cluster.loss = 0.0;
    settled(&mut cluster);
    (simulate.deaths, simulate.longest) = cluster.false_deaths();
    simulate
}

fn main() {
    println!(
        "| members | join at once | kill -9 | restart | a tenth killed | a tenth restarted | halves parted for 15 s, \
         healed | after 30 s of 30% loss | false deaths in it, the longest | datagrams, bytes a member a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for told in std::env::args().skip(1) {
        let (size, seeds) = told.split_once(':').unwrap_or((&told, "3"));
        let (Ok(size), Ok(seeds)) = (size.parse::<usize>(), seeds.parse::<u64>()) else {
            eprintln!("settle: '{told}' is not SIZE or SIZE:SEEDS");
            std::process::exit(2);
        };
        let runs: Vec<Run> = (1..=seeds).map(|seed| simulate(size, seed)).collect();
        let count = runs.first().map_or(0, |it| it.times.len());
        let worst = (0..count).map(|at| {
            let all: Option<Vec<_>> = runs.iter().map(|it| it.times[at]).collect();
            let worst = all.and_then(|all| all.into_iter().max());
            worst.map_or_else(|| "never".to_owned(), |it| format!("{:.1} s", it.as_secs_f64()))
        });
        let worst: Vec<String> = worst.collect();
        let deaths: usize = runs.iter().map(|it| it.deaths).sum();
        let longest = runs.iter().map(|it| it.longest).max().unwrap_or_default().as_secs_f64();
        let price =
            runs.iter().map(|it| it.price).fold((0.0, 0.0), |most, it| (it.0.max(most.0), it.1.max(most.1)));
        println!(
            "| {size} | {} | {deaths}, {longest:.1} s | {:.1}, {:.0} |",
            worst.join(" | "),
            price.0,
            price.1
        );
    }
}
