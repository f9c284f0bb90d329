//! Ways to keep a quota side by side, on real processes: a benchmark, not timed in CI.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_fault_injection::{
    Event, FaultAction, FaultPlan, FaultRun, FaultRunError, Load, ProxiedSocket, QuotaPeriod, Tenant,
    placed_connections, quota_overshoot, run_plan,
};
use clap::Parser;
use serde_json::json;

/// Plays nine gateways in three zones under each way to keep a quota, and prints one table.
#[derive(Parser)]
struct Arguments {
    /// The daemon.
    #[arg(long, default_value = "target/release/ashtide")]
    program: PathBuf,
    /// Seeds of the plays; the worst of each figure is printed.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3])]
    seeds: Vec<u64>,
    /// What each partner may have a second.
    #[arg(long, default_value_t = 15.0)]
    per_s: f64,
}

const GATEWAYS: usize = 9;
const ZONES: usize = 3;
/// Partners.
const PARTNERS: usize = 4;
/// When the traffic moves, or a zone is cut off.
const CHANGE_MS: u64 = 6_000;
const LAST_MS: u64 = 12_000;

#[derive(Clone, Copy)]
enum Way {
    Split,
    Own,
    Leased,
}

impl Way {
    const ALL: [(Self, &str); 3] = [
        (Self::Split, "split by nine, for good"),
        (Self::Own, "own counts alone, each against the whole quota"),
        (Self::Leased, "leased rights"),
    ];

    /// A split is a reserve of all; whoever counts alone has nine times the quota, split.
    fn file(self, quota: f64) -> String {
        let (reserve, times) = match self {
            Self::Split => (1_000, 1.0),
            Self::Own => (1_000, GATEWAYS as f64),
            Self::Leased => (100, 1.0),
        };
        let partner = |at| format!("[partners.p{at}]\nper_s = {:.1}\n", quota * times);
        let partners: String = (0..PARTNERS).map(partner).collect();
        format!("generation = 1\nreserve = {reserve}\nburst_ms = 1000\n{partners}")
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    /// One partner offers five times its quota, the others all of theirs.
    Heavy,
    /// The same, and one zone is cut off.
    Parted,
    /// All that a partner offers moves from one zone to another.
    Moved,
}

fn plan(way: Way, kind: Kind, seed: u64, quota: f64) -> FaultPlan {
    let view = format!(
        "listen = \"{{listen}}\"\npublic = \"{{public}}\"\nseeds = {{others}}\ntier = 31\nsize = {GATEWAYS}\n\
         [state]\ngateways = {{peers}}\njudgements = \"off\"\ncounts = false\n"
    );
    let socket = |flag: &str, file: String| ProxiedSocket {
        arguments: vec![flag.to_owned(), "{file}".to_owned()],
        file,
    };
    let tenant = |at| Tenant { name: format!("p{at}"), quota_per_s: quota, quota_connections: 200.0 };
    let per_s = |tenant, zone| match kind {
        Kind::Moved => {
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
    let quotas = QuotaPeriod { from_ms: 0, burst_ms: 1_000, per_s: vec![quota; PARTNERS], open: Vec::new() };
    let mut plan = FaultPlan {
        seed,
        gateways: GATEWAYS,
        zones: ZONES,
        servers: 9,
        tenants: (0..PARTNERS).map(tenant).collect(),
        load,
        stay_ms: 1_500,
        last_ms: LAST_MS,
        settle_ms: 3_000,
        max_harness_delay_ms: 2_000,
        config: json!({"settings": {"limits": {"retryAfter": true, "maxRetryAfter": 2.0}}}),
        quotas: vec![quotas],
        sockets: vec![socket("--view", view), socket("--quota", way.file(quota))],
        ..FaultPlan::default()
    };
    match kind {
        Kind::Heavy => {}
        Kind::Parted => {
            let (cut, rest) = (plan.in_zone(2), [plan.in_zone(0), plan.in_zone(1)].concat());
            plan = plan.with_action(CHANGE_MS, FaultAction::Split { parts: vec![rest, cut] });
        }
        Kind::Moved => {
            for tenant in 0..PARTNERS {
                let load = |zone, per_s| FaultAction::Load(Load { tenant, zone, per_s });
                plan = plan.with_action(CHANGE_MS, load(0, 0.0)).with_action(CHANGE_MS, load(2, 1.2 * quota));
            }
        }
    }
    plan
}

/// Connections a second that each partner was given between these moments, in seconds.
fn given(played: &FaultRun, from: u64, until: u64) -> Vec<f64> {
    let all = placed_connections(&played.history);
    let within = |at: u64| (from * 1_000_000..until * 1_000_000).contains(&at);
    let count = |tenant| {
        all.iter()
            .filter(|it| it.tenant == tenant && !it.is_reconnect && within(it.established_at_us))
            .count()
    };
    (0..PARTNERS).map(|tenant| count(tenant) as f64 / (until - from) as f64).collect()
}

/// Bytes of shared state that a gateway sent a second.
fn bytes(played: &FaultRun) -> f64 {
    let sent = |event: &Event| match event {
        Event::AdminSample { process, figures, .. } => {
            Some((*process, *figures.get("state_sent_bytes_total")?))
        }
        _ => None,
    };
    let mut last = [0.0; GATEWAYS];
    for (process, bytes) in played.history.0.iter().filter_map(|it| sent(&it.event)) {
        last[process % GATEWAYS] = bytes;
    }
    last.iter().sum::<f64>() / GATEWAYS as f64 / (LAST_MS as f64 / 1e3)
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
        "| way | overshoot, whole | overshoot, one zone of three cut off | use, 3 to 6 s after all has moved | \
              worst-off of those who offer their quota | bytes a gateway a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (way, name) in Way::ALL {
        let (mut whole, mut parted, mut used, mut fair, mut price) =
            (0.0_f64, 0.0_f64, f64::MAX, f64::MAX, 0.0_f64);
        for &seed in &arguments.seeds {
            let played = |kind| {
                runtime.block_on(run_plan(&arguments.program, &plan(way, kind, seed, arguments.per_s)))
            };
            let most =
                |played: &FaultRun| quota_overshoot(&played.history, 2_000).into_iter().fold(0.0, f64::max);
            let heavy = played(Kind::Heavy)?;
            whole = whole.max(most(&heavy));
            let served = given(&heavy, 4, LAST_MS / 1000);
            fair = fair.min(served[1..].iter().fold(f64::MAX, |least, it| least.min(it / arguments.per_s)));
            price = price.max(bytes(&heavy));
            parted = parted.max(most(&played(Kind::Parted)?));
            let moved = played(Kind::Moved)?;
            whole = whole.max(most(&moved));
            let after = (CHANGE_MS / 1000 + 3, CHANGE_MS / 1000 + 6);
            let all: f64 = given(&moved, after.0, after.1).iter().sum();
            used = used.min(all / (arguments.per_s * PARTNERS as f64));
        }
        let [whole, parted, used, fair] = [whole, parted, used, fair].map(|it| it * 100.0);
        println!("| {name} | {whole:.1}% | {parted:.1}% | {used:.1}% | {fair:.1}% | {price:.0} |");
    }
    Ok(())
}
