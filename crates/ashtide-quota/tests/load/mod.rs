//! Load on nine gateways in three zones, and the ways to keep a quota that are compared.

use std::time::Duration;

use ashtide_quota::{ConnectionKind, DEFAULT_MAX_WAIT, Decision, PartnerBudgets, Quota};
use rand::RngExt;

use super::exchanges::Cluster;
use super::faulty_network::STEP;

/// Partners, each with this quota: connections a second over all gateways.
const PARTNERS: usize = 4;
const PACE: u64 = 60;
const BURST: Duration = Duration::from_millis(800);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Way {
    /// Each gateway a ninth, for good.
    Split,
    /// Each gateway holds its own counts against the whole quota.
    Own,
    /// One limiter, exact; whoever does not reach it goes without a limit.
    Central,
    /// Leased rights.
    Shared,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Load {
    /// Partner 0 offers 5 times its quota, the others all of theirs, everywhere.
    Heavy,
    /// The same, with one zone cut off from the others from the fourth second to the end.
    Parted,
    /// All comes to zone 0, from the sixth second on to zone 2.
    Moved,
}

#[derive(Debug, Clone, Copy)]
pub struct Measured {
    /// How much more than its quota and one burst a partner had in the worst 2 s, as a part of that.
    pub overshoot: f64,
    /// Part of all quotas used from 3 to 6 s after the change.
    pub used: f64,
    /// Part of what it may have that the worst-off partner but the first had, from the fourth second on.
    pub smallest: f64,
    pub bytes: f64,
}

/// A bucket of a pace a second and the burst: tokens, last time.
type Bucket = (f64, Duration);

fn take(bucket: &mut Bucket, now: Duration, pace: f64) -> bool {
    let filled = bucket.0 + pace * (now - bucket.1).as_secs_f64();
    *bucket = (filled.min((pace * BURST.as_secs_f64()).max(1.0)), now);
    let may = bucket.0 >= 1.0;
    bucket.0 -= if may { 1.0 } else { 0.0 };
    may
}

/// Plays 12 s and measures them.
pub fn measure(way: Way, load: Load, seed: u64) -> Measured {
    let mut cluster = Cluster::new(seed, 9, PARTNERS, PACE * 1_000);
    let partner = |id| PartnerBudgets { rate_budget: id as u32, burst: BURST, connections_budget: None };
    let mut quotas: Vec<Quota> = (0..9)
        .map(|number| {
            let now = cluster.gateways[number].clock.read(cluster.network.now);
            Quota::new((0..PARTNERS).map(partner), DEFAULT_MAX_WAIT, now)
        })
        .collect();
    let begin = cluster.network.now;
    let mut buckets = vec![vec![(0.0, begin); PARTNERS]; 9];
    let mut spent: Vec<Vec<Duration>> = vec![Vec::new(); PARTNERS];
    let mut offered = [0usize; PARTNERS];
    // Those refused, who ask at the same gateway again, twice at most: when, where, whose, how often before.
    let mut again: Vec<(Duration, usize, usize, u8)> = Vec::new();
    for step in 0..(12_000 / STEP.as_millis()) {
        let time = STEP * step as u32;
        let parted = load == Load::Parted && time >= Duration::from_secs(4);
        if parted && cluster.network.blocked_links.is_empty() {
            for (one, other) in (0..6).flat_map(|one| (6..9).map(move |other| (one, other))) {
                cluster.network.blocked_links.extend([(one, other), (other, one)]);
            }
        }
        cluster.step();
        let now = cluster.network.now;
        for number in 0..9 {
            let own = cluster.gateways[number].clock.read(now);
            let exchange = cluster.gateways[number].exchange.as_mut().expect("there");
            quotas[number].advance_to(own, exchange);
            for partner in 0..PARTNERS {
                let times = match load {
                    Load::Moved if time < Duration::from_secs(6) => {
                        if number < 3 {
                            3.6
                        } else {
                            0.0
                        }
                    }
                    Load::Moved => {
                        if number >= 6 {
                            3.6
                        } else {
                            0.0
                        }
                    }
                    _ if partner == 0 => 5.0,
                    _ => 1.0,
                };
                let mean = times * PACE as f64 / 9.0 * STEP.as_secs_f64();
                let mut asking = Vec::new();
                for _ in 0..4 {
                    if cluster.network.rng.random_bool((mean / 4.0).min(1.0)) {
                        offered[partner] += usize::from(time >= Duration::from_secs(4));
                        asking.push(0);
                    }
                }
                let due =
                    |it: &(Duration, usize, usize, u8)| it.0 <= now && (it.1, it.2) == (number, partner);
                asking.extend(again.extract_if(.., |it| due(it)).map(|it| it.3));
                for tries in asking {
                    let mut wait = Duration::from_millis(cluster.network.rng.random_range(500..1_500));
                    let may = match way {
                        Way::Split => take(&mut buckets[number][partner], now, PACE as f64 / 9.0),
                        Way::Own => take(&mut buckets[number][partner], now, PACE as f64),
                        Way::Central if parted && number >= 6 => true,
                        Way::Central => take(&mut buckets[0][partner], now, PACE as f64),
                        Way::Shared => {
                            let offer = if tries == 0 { ConnectionKind::New } else { ConnectionKind::Retry };
                            let verdict = quotas[number].decide(own, exchange, partner, offer, false);
                            if let Decision::Rejected { retry_after: told } = verdict {
                                wait = told;
                            }
                            verdict == Decision::WithinQuota
                        }
                    };
                    if may {
                        spent[partner].push(now);
                    } else if tries < 2 {
                        again.push((now + wait, number, partner, tries + 1));
                    }
                }
            }
            quotas[number].check().expect("waits are bounded");
        }
        cluster.check().expect("the invariants hold");
    }
    let window = Duration::from_secs(2);
    let most = PACE as f64 * (window + BURST).as_secs_f64();
    let worst = spent.iter().flat_map(|all| {
        all.iter().map(|&at| all.iter().filter(|&&it| it >= at && it < at + window).count() as f64)
    });
    let overshoot = (worst.fold(0.0, f64::max) / most - 1.0).max(0.0);
    let between = |from: u64, all: &[Duration]| {
        all.iter().filter(|&&at| at >= begin + Duration::from_secs(from)).count() as f64
    };
    let used = spent.iter().map(|all| between(9, all)).sum::<f64>() / (PACE as f64 * 3.0 * PARTNERS as f64);
    let smallest = (1..PARTNERS)
        .map(|it| between(4, &spent[it]) / (offered[it] as f64).min(PACE as f64 * 8.0))
        .fold(f64::MAX, f64::min);
    let sent: u64 =
        cluster.gateways.iter().filter_map(|it| it.exchange.as_ref()).map(|it| it.traffic().sent.bytes).sum();
    let bytes = if way == Way::Shared { sent as f64 / 9.0 / 12.0 } else { 0.0 };
    Measured { overshoot, used, smallest, bytes }
}
