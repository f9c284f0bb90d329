//! Simulated partner load on nine gateways in three zones, with the quota policies that are compared.

use std::time::Duration;

use ashtide_quota::{ConnectionKind, DEFAULT_MAX_WAIT, Decision, PartnerBudgets, Quota};
use rand::RngExt;

use super::exchanges::Cluster;
use super::faulty_network::STEP;

const GATEWAYS: usize = 9;
const PARTNERS: usize = 4;
/// Quota of each partner over all gateways, in connections per second.
const QUOTA_PER_S: u64 = 60;
const BURST: Duration = Duration::from_millis(800);
const RUN_TIME: Duration = Duration::from_secs(12);
/// Time of the partition in [`LoadScenario::Partition`], and start of the measurement of served partners.
const PARTITION_TIME: Duration = Duration::from_secs(4);
/// Time of the zone change in [`LoadScenario::ZoneChange`].
const ZONE_CHANGE_TIME: Duration = Duration::from_secs(6);
/// Start of the measurement of the used quota, 3 s after the zone change.
const USE_MEASUREMENT_TIME: Duration = Duration::from_secs(9);
const OVERSHOOT_WINDOW: Duration = Duration::from_secs(2);
const MAX_RETRIES: u8 = 2;

/// Policy that enforces the quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum QuotaPolicy {
    /// Each gateway has a fixed ninth of the quota.
    StaticSplit,
    /// Each gateway compares only its own connections with the entire quota.
    PerGateway,
    /// One exact limiter. A gateway that cannot reach it admits everything.
    Central,
    /// Leased units, the policy of this crate.
    Leased,
}

/// Load that the partners offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum LoadScenario {
    /// At all gateways, partner 0 offers 5 times its quota and each other partner offers exactly its quota.
    Overload,
    /// The load of [`Overload`](Self::Overload), with one zone partitioned from the others from 4 s to the
    /// end.
    Partition,
    /// All load is offered to zone 0, and from 6 s on to zone 2.
    ZoneChange,
}

/// Results of one run.
#[derive(Debug, Clone, Copy)]
pub struct Measurements {
    /// Excess over the quota and one burst in the worst window of 2 s of any partner, as a fraction of that
    /// maximum.
    pub overshoot: f64,
    /// Fraction of all quotas used from 3 to 6 s after the zone change.
    pub used: f64,
    /// Smallest fraction of its offered load, at most its quota, that any partner except partner 0 was
    /// admitted with, from 4 s on.
    pub min_served: f64,
    /// Bytes sent per gateway and second.
    pub bytes_per_s: f64,
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    fn try_take(&mut self, now: Duration, rate_per_s: f64) -> bool {
        let tokens = self.tokens + rate_per_s * (now - self.refilled_at).as_secs_f64();
        let capacity = (rate_per_s * BURST.as_secs_f64()).max(1.0);
        *self = Self { tokens: tokens.min(capacity), refilled_at: now };
        let is_available = self.tokens >= 1.0;
        self.tokens -= if is_available { 1.0 } else { 0.0 };
        is_available
    }
}

/// Retry of a rejected client at the same gateway.
struct Retry {
    due_at: Duration,
    gateway: usize,
    partner: usize,
    previous_attempts: u8,
}

struct LoadRun {
    policy: QuotaPolicy,
    scenario: LoadScenario,
    cluster: Cluster,
    quotas: Vec<Quota>,
    started_at: Duration,
    is_partitioned: bool,
    /// Token buckets by gateway and partner.
    buckets: Vec<Vec<TokenBucket>>,
    /// Times of the admitted connections by partner.
    admitted: Vec<Vec<Duration>>,
    /// Number of new requests from [`PARTITION_TIME`] on, by partner.
    offered: [usize; PARTNERS],
    retries: Vec<Retry>,
}

impl LoadRun {
    fn new(policy: QuotaPolicy, scenario: LoadScenario, seed: u64) -> Self {
        let cluster = Cluster::new(seed, GATEWAYS, PARTNERS, QUOTA_PER_S * 1_000);
        let budgets = |id| PartnerBudgets { rate_budget: id as u32, burst: BURST, connections_budget: None };
        let started_at = cluster.network.now;
        let quotas = (0..GATEWAYS).map(|gateway| {
            let now = cluster.gateways[gateway].clock.read(started_at);
            Quota::new((0..PARTNERS).map(budgets), DEFAULT_MAX_WAIT, now)
        });
        let bucket = TokenBucket { tokens: 0.0, refilled_at: started_at };
        Self {
            policy,
            scenario,
            quotas: quotas.collect(),
            cluster,
            started_at,
            is_partitioned: false,
            buckets: vec![vec![bucket; PARTNERS]; GATEWAYS],
            admitted: vec![Vec::new(); PARTNERS],
            offered: [0; PARTNERS],
            retries: Vec::new(),
        }
    }

    fn step(&mut self, elapsed: Duration) {
        let is_due = self.scenario == LoadScenario::Partition && elapsed >= PARTITION_TIME;
        if is_due && !self.is_partitioned {
            self.partition();
        }
        self.cluster.step();
        let now = self.cluster.network.now;
        for gateway in 0..GATEWAYS {
            let gateway_time = self.cluster.gateways[gateway].clock.read(now);
            let exchange = self.cluster.gateways[gateway].exchange.as_mut().expect("the gateway runs");
            self.quotas[gateway].advance_to(gateway_time, exchange);
            for partner in 0..PARTNERS {
                for previous_attempts in self.due_requests(gateway, partner, elapsed) {
                    self.request(gateway, partner, previous_attempts, gateway_time);
                }
            }
            self.quotas[gateway].check().expect("waits are bounded");
        }
        self.cluster.check().expect("the invariants hold");
    }

    /// Separates zone 2 from the zones 0 and 1.
    fn partition(&mut self) {
        self.is_partitioned = true;
        for (one, other) in (0..6).flat_map(|one| (6..GATEWAYS).map(move |other| (one, other))) {
            self.cluster.network.blocked_links.extend([(one, other), (other, one)]);
        }
    }

    /// Returns the load that a partner offers at a gateway, as a multiple of the gateway's equal share of the
    /// quota.
    fn load_factor(&self, gateway: usize, partner: usize, elapsed: Duration) -> f64 {
        match self.scenario {
            LoadScenario::ZoneChange => {
                let zone = if elapsed < ZONE_CHANGE_TIME { 0..3 } else { 6..GATEWAYS };
                if zone.contains(&gateway) { 3.6 } else { 0.0 }
            }
            _ if partner == 0 => 5.0,
            _ => 1.0,
        }
    }

    /// Returns the number of previous attempts of each request that is due at a gateway, for new requests and
    /// retries.
    fn due_requests(&mut self, gateway: usize, partner: usize, elapsed: Duration) -> Vec<u8> {
        let factor = self.load_factor(gateway, partner, elapsed);
        let mean = factor * QUOTA_PER_S as f64 / GATEWAYS as f64 * STEP.as_secs_f64();
        let mut requests = Vec::new();
        for _ in 0..4 {
            if self.cluster.network.rng.random_bool((mean / 4.0).min(1.0)) {
                self.offered[partner] += usize::from(elapsed >= PARTITION_TIME);
                requests.push(0);
            }
        }
        let now = self.cluster.network.now;
        let is_due =
            |retry: &mut Retry| retry.due_at <= now && retry.gateway == gateway && retry.partner == partner;
        requests.extend(self.retries.extract_if(.., is_due).map(|retry| retry.previous_attempts));
        requests
    }

    fn request(&mut self, gateway: usize, partner: usize, previous_attempts: u8, gateway_time: Duration) {
        let now = self.cluster.network.now;
        let mut wait = Duration::from_millis(self.cluster.network.rng.random_range(500..1_500));
        let quota_per_s = QUOTA_PER_S as f64;
        let is_admitted = match self.policy {
            QuotaPolicy::StaticSplit => {
                self.buckets[gateway][partner].try_take(now, quota_per_s / GATEWAYS as f64)
            }
            QuotaPolicy::PerGateway => self.buckets[gateway][partner].try_take(now, quota_per_s),
            QuotaPolicy::Central if self.is_partitioned && gateway >= 6 => true,
            QuotaPolicy::Central => self.buckets[0][partner].try_take(now, quota_per_s),
            QuotaPolicy::Leased => {
                let kind = if previous_attempts == 0 { ConnectionKind::New } else { ConnectionKind::Retry };
                let exchange = self.cluster.gateways[gateway].exchange.as_mut().expect("the gateway runs");
                let decision = self.quotas[gateway].decide(gateway_time, exchange, partner, kind, false);
                if let Decision::Rejected { retry_after } = decision {
                    wait = retry_after;
                }
                decision == Decision::WithinQuota
            }
        };
        if is_admitted {
            self.admitted[partner].push(now);
        } else if previous_attempts < MAX_RETRIES {
            let previous_attempts = previous_attempts + 1;
            self.retries.push(Retry { due_at: now + wait, gateway, partner, previous_attempts });
        }
    }

    fn measurements(&self) -> Measurements {
        let quota_per_s = QUOTA_PER_S as f64;
        let max_in_window = quota_per_s * (OVERSHOOT_WINDOW + BURST).as_secs_f64();
        let in_windows = self.admitted.iter().flat_map(|times| {
            times.iter().map(|&start| {
                let window = start..start + OVERSHOOT_WINDOW;
                times.iter().filter(|time| window.contains(time)).count() as f64
            })
        });
        let overshoot = (in_windows.fold(0.0, f64::max) / max_in_window - 1.0).max(0.0);
        let count_since = |elapsed: Duration, times: &[Duration]| {
            times.iter().filter(|&&time| time >= self.started_at + elapsed).count() as f64
        };
        let used_count: f64 =
            self.admitted.iter().map(|times| count_since(USE_MEASUREMENT_TIME, times)).sum();
        let used = used_count / (quota_per_s * 3.0 * PARTNERS as f64);
        let min_served = (1..PARTNERS)
            .map(|partner| {
                let served = count_since(PARTITION_TIME, &self.admitted[partner]);
                served / (self.offered[partner] as f64).min(quota_per_s * 8.0)
            })
            .fold(f64::MAX, f64::min);
        let exchanges = self.cluster.gateways.iter().filter_map(|gateway| gateway.exchange.as_ref());
        let sent_bytes: u64 = exchanges.map(|exchange| exchange.traffic().sent.bytes).sum();
        let bytes_per_s = match self.policy {
            QuotaPolicy::Leased => sent_bytes as f64 / GATEWAYS as f64 / RUN_TIME.as_secs() as f64,
            _ => 0.0,
        };
        Measurements { overshoot, used, min_served, bytes_per_s }
    }
}

/// Simulates 12 s of load and returns the measurements.
pub fn measure(policy: QuotaPolicy, scenario: LoadScenario, seed: u64) -> Measurements {
    let mut run = LoadRun::new(policy, scenario, seed);
    for step in 0..(RUN_TIME.as_millis() / STEP.as_millis()) {
        run.step(STEP * step as u32);
    }
    run.measurements()
}
