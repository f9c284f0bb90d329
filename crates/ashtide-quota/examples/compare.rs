//! Compares, in virtual time, ways to keep a quota over nine gateways in three zones.

#[path = "../../ashtide-fleet/tests/exchanges/mod.rs"]
#[allow(dead_code)]
mod exchanges;
#[path = "../../ashtide-fleet/tests/faulty_network/mod.rs"]
#[allow(dead_code)]
mod faulty_network;
#[path = "../tests/load/mod.rs"]
mod load;

use load::{Load, Way, measure};

fn main() {
    println!(
        "| way | overshoot of any 2 s window, whole | the same, zones 2 + 1 parted | use, 3 to 6 s after all has moved to one zone | smallest partner served, another offering 5 times its own | bytes a gateway a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for way in [Way::Split, Way::Own, Way::Central, Way::Shared] {
        let runs = |load: Load| {
            let all: Vec<_> = (0..6).map(|seed| measure(way, load, seed)).collect();
            let worst = all.iter().map(|it| it.overshoot).fold(0.0, f64::max);
            let use_ = all.iter().map(|it| it.used).fold(f64::MAX, f64::min);
            let small = all.iter().map(|it| it.smallest).fold(f64::MAX, f64::min);
            let bytes = all.iter().map(|it| it.bytes).fold(0.0, f64::max);
            (worst, use_, small, bytes)
        };
        let whole = runs(Load::Heavy);
        let parted = runs(Load::Parted);
        let moved = runs(Load::Moved);
        println!(
            "| {way:?} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.0} |",
            100.0 * whole.0,
            100.0 * parted.0,
            100.0 * moved.1,
            100.0 * whole.2,
            whole.3
        );
    }
}
