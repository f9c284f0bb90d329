//! Compares ways to enforce a quota, with daemon processes. A benchmark, not timed in CI.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_fault_injection::{
    Event, FaultAction, FaultPlan, FaultRun, FaultRunError, Load, ProxiedSocket, QuotaPeriod, Tenant,
    placed_connections, quota_overshoot, run_plan,
};
use clap::Parser;
use serde_json::json;

/// Runs nine gateways in three zones with each way to enforce a quota, and prints one table.
#[derive(Parser)]
struct Arguments {
    /// The path of the daemon binary.
    #[arg(long, default_value = "target/release/ashtide")]
    program: PathBuf,
    /// The seeds of the runs; the worst value of each figure is printed.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3])]
    seeds: Vec<u64>,
    /// The quota of each partner, in new connections per second.
    #[arg(long, default_value_t = 15.0)]
    per_s: f64,
}

const GATEWAYS: usize = 9;
const ZONES: usize = 3;
/// The number of partners.
const PARTNERS: usize = 4;
/// The time at which the traffic moves or a zone is cut off, in milliseconds.
const CHANGE_MS: u64 = 6_000;
/// The duration of the load, in milliseconds.
const LOAD_DURATION_MS: u64 = 12_000;

#[derive(Clone, Copy)]
enum QuotaMethod {
    /// Every gateway permanently has an equal share of the quota.
    EqualShares,
    /// Every gateway enforces the entire quota against its own count.
    LocalCounts,
    /// Gateways lease shares of the quota.
    Leases,
}

impl QuotaMethod {
    const ALL: [(Self, &str); 3] = [
        (Self::EqualShares, "equal shares for nine gateways"),
        (Self::LocalCounts, "local counts, each against the entire quota"),
        (Self::Leases, "leases"),
    ];

    /// Returns the quota file. Equal shares are a reserve of the entire quota. Local counts are equal shares
    /// of nine times the quota.
    fn file(self, quota: f64) -> String {
        let (reserve, factor) = match self {
            Self::EqualShares => (1_000, 1.0),
            Self::LocalCounts => (1_000, GATEWAYS as f64),
            Self::Leases => (100, 1.0),
        };
        let partner = |number| format!("[partners.p{number}]\nper_s = {:.1}\n", quota * factor);
        let partners: String = (0..PARTNERS).map(partner).collect();
        format!("generation = 1\nreserve = {reserve}\nburst_ms = 1000\n{partners}")
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    /// One partner offers five times its quota, the others offer exactly their quotas.
    Overload,
    /// As in `Overload`, and one zone is cut off.
    Partition,
    /// The traffic of every partner moves from one zone to another.
    Migration,
}

fn plan(method: QuotaMethod, scenario: Scenario, seed: u64, quota: f64) -> FaultPlan {
    let view = format!(
        "listen = \"{{listen}}\"\npublic = \"{{public}}\"\nseeds = {{others}}\ntier = 31\nsize = {GATEWAYS}\n\
         [state]\ngateways = {{peers}}\njudgements = \"off\"\ncounts = false\n"
    );
    let socket = |flag: &str, file: String| ProxiedSocket {
        arguments: vec![flag.to_owned(), "{file}".to_owned()],
        file,
    };
    let tenant = |number| Tenant { name: format!("p{number}"), quota_per_s: quota, quota_connections: 200.0 };
    let per_s = |tenant, zone| match scenario {
        Scenario::Migration => {
            if zone == 0 {
                1.2 * quota
            } else {
                0.0
            }
        }
        _ if tenant == 0 => 5.0 * quota / ZONES as f64,
        _ => quota / ZONES as f64,
    };
    let cells = (0..PARTNERS).flat_map(|tenant| (0..ZONES).map(move |zone| (tenant, zone)));
    let load: Vec<Load> =
        cells.map(|(tenant, zone)| Load { tenant, zone, per_s: per_s(tenant, zone) }).collect();
    let quotas =
        QuotaPeriod { from_ms: 0, burst_ms: 1_000, per_s: vec![quota; PARTNERS], connections: Vec::new() };
    let mut plan = FaultPlan {
        seed,
        gateways: GATEWAYS,
        zones: ZONES,
        servers: 9,
        tenants: (0..PARTNERS).map(tenant).collect(),
        load,
        mean_session_ms: 1_500,
        load_duration_ms: LOAD_DURATION_MS,
        settle_ms: 3_000,
        max_harness_delay_ms: 2_000,
        config: json!({"settings": {"limits": {"retryAfter": true, "maxRetryAfter": 2.0}}}),
        quotas: vec![quotas],
        sockets: vec![socket("--view", view), socket("--quota", method.file(quota))],
        ..FaultPlan::default()
    };
    match scenario {
        Scenario::Overload => {}
        Scenario::Partition => {
            let (isolated, others) = (plan.in_zone(2), [plan.in_zone(0), plan.in_zone(1)].concat());
            plan = plan.with_action(CHANGE_MS, FaultAction::Split { parts: vec![others, isolated] });
        }
        Scenario::Migration => {
            for tenant in 0..PARTNERS {
                let load = |zone, per_s| FaultAction::Load(Load { tenant, zone, per_s });
                plan = plan.with_action(CHANGE_MS, load(0, 0.0)).with_action(CHANGE_MS, load(2, 1.2 * quota));
            }
        }
    }
    plan
}

/// Returns the new connections per second of each partner between these times, in seconds since the start.
/// Reconnects do not count.
fn placed_per_s(run: &FaultRun, from_s: u64, until_s: u64) -> Vec<f64> {
    let connections = placed_connections(&run.history);
    let within = |at: u64| (from_s * 1_000_000..until_s * 1_000_000).contains(&at);
    let count = |tenant| {
        connections
            .iter()
            .filter(|connection| {
                connection.tenant == tenant
                    && !connection.is_reconnect
                    && within(connection.established_at_us)
            })
            .count()
    };
    (0..PARTNERS).map(|tenant| count(tenant) as f64 / (until_s - from_s) as f64).collect()
}

/// Returns the bytes of shared state that each gateway sent per second, on average.
fn state_bytes_per_s(run: &FaultRun) -> f64 {
    let sent_bytes = |event: &Event| match event {
        Event::AdminSample { process, metrics, .. } => {
            Some((*process, *metrics.get("state_sent_bytes_total")?))
        }
        _ => None,
    };
    let mut last = [0.0; GATEWAYS];
    for (process, bytes) in run.history.0.iter().filter_map(|entry| sent_bytes(&entry.event)) {
        last[process % GATEWAYS] = bytes;
    }
    last.iter().sum::<f64>() / GATEWAYS as f64 / (LOAD_DURATION_MS as f64 / 1e3)
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}; {}", error.help());
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), FaultRunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    println!(
        "| method | overshoot, connected | overshoot, one zone of three cut off | quota used, 3 to 6 s after traffic moved | \
              lowest share of a partner that offers its quota | bytes per gateway and second |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (method, name) in QuotaMethod::ALL {
        let (mut connected, mut partitioned, mut used, mut lowest_share, mut bytes_per_s) =
            (0.0_f64, 0.0_f64, f64::MAX, f64::MAX, 0.0_f64);
        for &seed in &arguments.seeds {
            let run_scenario = |scenario| {
                runtime.block_on(run_plan(&arguments.program, &plan(method, scenario, seed, arguments.per_s)))
            };
            let max_overshoot =
                |run: &FaultRun| quota_overshoot(&run.history, 2_000).into_iter().fold(0.0, f64::max);
            let overload = run_scenario(Scenario::Overload)?;
            connected = connected.max(max_overshoot(&overload));
            let served = placed_per_s(&overload, 4, LOAD_DURATION_MS / 1000);
            lowest_share = lowest_share
                .min(served[1..].iter().fold(f64::MAX, |lowest, per_s| lowest.min(per_s / arguments.per_s)));
            bytes_per_s = bytes_per_s.max(state_bytes_per_s(&overload));
            partitioned = partitioned.max(max_overshoot(&run_scenario(Scenario::Partition)?));
            let migration = run_scenario(Scenario::Migration)?;
            connected = connected.max(max_overshoot(&migration));
            let (from_s, until_s) = (CHANGE_MS / 1000 + 3, CHANGE_MS / 1000 + 6);
            let total_per_s: f64 = placed_per_s(&migration, from_s, until_s).iter().sum();
            used = used.min(total_per_s / (arguments.per_s * PARTNERS as f64));
        }
        let [connected, partitioned, used, lowest_share] =
            [connected, partitioned, used, lowest_share].map(|part| part * 100.0);
        println!(
            "| {name} | {connected:.1}% | {partitioned:.1}% | {used:.1}% | {lowest_share:.1}% | {bytes_per_s:.0} |"
        );
    }
    Ok(())
}
