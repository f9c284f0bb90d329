//! Compares quota policies on nine gateways in three zones, in virtual time, and prints the results as a
//! table.

#[path = "../../ashtide-fleet/tests/exchanges/mod.rs"]
#[allow(dead_code)]
mod exchanges;
#[path = "../../ashtide-fleet/tests/faulty_network/mod.rs"]
#[allow(dead_code)]
mod faulty_network;
#[path = "../tests/partner_load/mod.rs"]
mod partner_load;

use partner_load::{LoadScenario, Measurements, QuotaPolicy, measure};

/// Worst values of all seeds.
fn worst_of_seeds(policy: QuotaPolicy, scenario: LoadScenario) -> Measurements {
    let runs = (0..6).map(|seed| measure(policy, scenario, seed));
    let best = Measurements { overshoot: 0.0, used: f64::MAX, min_served: f64::MAX, bytes_per_s: 0.0 };
    runs.fold(best, |worst, run| Measurements {
        overshoot: worst.overshoot.max(run.overshoot),
        used: worst.used.min(run.used),
        min_served: worst.min_served.min(run.min_served),
        bytes_per_s: worst.bytes_per_s.max(run.bytes_per_s),
    })
}

fn main() {
    println!(
        "| policy | overshoot of any 2 s window | overshoot with zone 2 partitioned | quota used 3 to 6 s after all load changed to one zone | smallest partner served while another offers 5 times its quota | bytes per gateway and second |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for policy in
        [QuotaPolicy::StaticSplit, QuotaPolicy::PerGateway, QuotaPolicy::Central, QuotaPolicy::Leased]
    {
        let overload = worst_of_seeds(policy, LoadScenario::Overload);
        let partition = worst_of_seeds(policy, LoadScenario::Partition);
        let zone_change = worst_of_seeds(policy, LoadScenario::ZoneChange);
        println!(
            "| {policy:?} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.0} |",
            100.0 * overload.overshoot,
            100.0 * partition.overshoot,
            100.0 * zone_change.used,
            100.0 * overload.min_served,
            overload.bytes_per_s
        );
    }
}
