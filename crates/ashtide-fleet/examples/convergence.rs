//! Measures in virtual time how long membership views take to converge, by fleet size and fault: `convergence
//! 30 300:1 1000:1`. The number after the colon is the number of seeds, 3 by default. The table shows the
//! worst result of all seeds.

#[path = "../tests/simulated_fleet/mod.rs"]
#[allow(dead_code)]
mod simulated_fleet;

use std::time::Duration;

use simulated_fleet::{FalseDeaths, SendRate, SimulatedFleet, ms};

/// The limit of the wait for convergence after each fault.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(120);

/// The results of one simulation.
struct SimulationResult {
    /// The times until 99% of the views were correct again, by fault. `None` if the limit was exceeded.
    convergence_times: Vec<Option<Duration>>,
    send_rate: SendRate,
    /// The false deaths during the datagram loss.
    false_deaths: FalseDeaths,
}

fn simulate(size: usize, seed: u64) -> SimulationResult {
    let mut fleet = SimulatedFleet::new(size, seed);
    let mut convergence_times = Vec::new();
    let mut await_convergence = |fleet: &mut SimulatedFleet| {
        let took = fleet.run_until_converged(0.99, CONVERGENCE_LIMIT);
        // The simulation of a large fleet takes minutes, so each result is reported at once.
        eprintln!("{size} members, seed {seed}, fault {}: {took:?}", convergence_times.len());
        fleet.run(ms(3_000));
        convergence_times.push(took);
    };
    await_convergence(&mut fleet);
    fleet.run(ms(10_000));
    let send_rate = fleet.measure_send_rate(10);
    fleet.kill(size / 2);
    await_convergence(&mut fleet);
    fleet.start(size / 2, 1_100_000);
    await_convergence(&mut fleet);
    let tenth = || (0..size).filter(|number| number % 10 == 5);
    tenth().for_each(|number| fleet.kill(number));
    await_convergence(&mut fleet);
    tenth().for_each(|number| fleet.start(number, 1_200_000));
    await_convergence(&mut fleet);
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..size).partition(|number| number % 2 == 0);
    fleet.partition(&even, &odd);
    fleet.run(ms(15_000));
    fleet.blocked_links.clear();
    await_convergence(&mut fleet);
    fleet.changes.clear();
    fleet.loss = 0.3;
    fleet.run(ms(30_000));
    fleet.loss = 0.0;
    await_convergence(&mut fleet);
    let false_deaths = fleet.false_deaths();
    SimulationResult { convergence_times, send_rate, false_deaths }
}

/// Returns the longest time until convergence after the fault at `index`, as text.
fn worst_time(results: &[SimulationResult], index: usize) -> String {
    let times: Option<Vec<_>> = results.iter().map(|result| result.convergence_times[index]).collect();
    let worst = times.and_then(|times| times.into_iter().max());
    worst.map_or_else(|| "never".to_owned(), |time| format!("{:.1} s", time.as_secs_f64()))
}

fn print_row(size: usize, results: &[SimulationResult]) {
    let fault_count = results.first().map_or(0, |result| result.convergence_times.len());
    let worst_times: Vec<String> = (0..fault_count).map(|index| worst_time(results, index)).collect();
    let deaths: usize = results.iter().map(|result| result.false_deaths.count).sum();
    let longest_deaths = results.iter().map(|result| result.false_deaths.longest);
    let longest_death = longest_deaths.max().unwrap_or_default().as_secs_f64();
    let datagram_rates = results.iter().map(|result| result.send_rate.datagrams_per_second);
    let byte_rates = results.iter().map(|result| result.send_rate.bytes_per_second);
    println!(
        "| {size} | {} | {deaths}, {longest_death:.1} s | {:.1}, {:.0} |",
        worst_times.join(" | "),
        datagram_rates.fold(0.0, f64::max),
        byte_rates.fold(0.0, f64::max)
    );
}

fn main() {
    println!(
        "| members | join at once | kill -9 | restart | a tenth killed | a tenth restarted | halves partitioned for \
         15 s, healed | after 30 s of 30% loss | false deaths in it, the longest | datagrams, bytes per member and \
         second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for argument in std::env::args().skip(1) {
        let (size, seeds) = argument.split_once(':').unwrap_or((&argument, "3"));
        let (Ok(size), Ok(seeds)) = (size.parse::<usize>(), seeds.parse::<u64>()) else {
            eprintln!("convergence: invalid argument '{argument}', expected SIZE or SIZE:SEEDS");
            std::process::exit(2);
        };
        let results: Vec<SimulationResult> = (1..=seeds).map(|seed| simulate(size, seed)).collect();
        print_row(size, &results);
    }
}
