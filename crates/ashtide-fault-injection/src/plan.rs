//! Fault plans: the processes to start, the load, and the faults with their times. A plan is data, so that a
//! failing run can be stored, shared and repeated.

use std::ops::RangeInclusive;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use crate::FaultRunError;
use crate::mesh::Link;

/// The largest number of gateways in a plan.
const MAX_GATEWAYS: usize = 120;
/// The longest duration of the load, in milliseconds.
const MAX_RUN_MS: u64 = 300_000;
/// The largest number of steps in a plan.
const MAX_STEPS: usize = 1_000;
/// The largest total load, in requests per second.
const MAX_REQUESTS_PER_S: f64 = 1_000.0;
/// The largest expected number of concurrent connections (load times mean session duration).
const MAX_OPEN_CONNECTIONS: f64 = 6_000.0;

/// Slow start of servers: the growth of their capacity after a start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowStart {
    /// The part of its capacity that a server has at its start, between 0 and 1.
    #[serde(rename = "from")]
    pub initial_part: f64,
    /// The time from the start until the server has its full capacity, in milliseconds.
    pub warm_ms: u64,
    /// The multiple of its current part that a server can accept over one window.
    pub fall_multiple: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for SlowStart {
    fn default() -> Self {
        Self { initial_part: 0.2, warm_ms: 12_000, fall_multiple: 2.5, window_ms: 2_000 }
    }
}

/// A partner with its quotas, as in the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of the partner.
    pub name: String,
    /// The quota of requests per second across all gateways.
    pub quota_per_s: f64,
    /// The quota of open connections across all gateways.
    pub quota_connections: f64,
}

/// The quotas that the checks apply from one time on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaPeriod {
    /// The start of the period, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// The time for which unused quota accumulates, in milliseconds.
    pub burst_ms: u64,
    /// The quota of new connections per second, by tenant.
    pub per_s: Vec<f64>,
    /// The quota of open connections, by tenant; empty if they are not limited.
    #[serde(default, rename = "open")]
    pub connections: Vec<f64>,
}

/// The load of one tenant in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The number of the tenant.
    pub tenant: usize,
    /// The number of the zone.
    pub zone: usize,
    /// The load in requests per second.
    pub per_s: f64,
}

/// A fault, or another change during a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultAction {
    /// Sets the treatment of datagrams from the gateways `from` to the gateways `to`. An empty list means all
    /// gateways.
    Link {
        /// The numbers of the senders.
        from: Vec<usize>,
        /// The numbers of the receivers.
        to: Vec<usize>,
        /// The treatment of the datagrams.
        link: Link,
    },
    /// Partitions the network: links inside each part are perfect, all others are cut. A gateway in no part
    /// is isolated.
    Split {
        /// The numbers of the gateways in each part.
        parts: Vec<Vec<usize>>,
    },
    /// Makes all links perfect.
    Heal,
    /// Sends SIGSTOP to all processes of a gateway.
    Stall {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Sends SIGCONT to all processes of a gateway.
    Resume {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Sends SIGKILL to all processes of a gateway.
    Kill {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Sends SIGTERM to all processes of a gateway.
    Terminate {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Starts a gateway that is not running: a new one, or a previous one under the same name and addresses.
    Start {
        /// The number of the gateway.
        gateway: usize,
        /// The offset of its clock, in milliseconds; positive if the clock is ahead.
        #[serde(default)]
        clock_ms: i64,
    },
    /// Sends SIGTERM, and starts the gateway under the same name and addresses once its process has exited.
    Restart {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Starts a second process with the same name, index and peer address, independent of the first.
    #[serde(rename = "twin")]
    StartDuplicate {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Sends SIGTERM to the second process of a gateway.
    #[serde(rename = "end_twin")]
    StopDuplicate {
        /// The number of the gateway.
        gateway: usize,
    },
    /// Sets the load of a tenant in a zone.
    Load(Load),
    /// Starts a server in slow start and lists it.
    Add {
        /// The number of its zone.
        zone: usize,
    },
    /// Lists a server as draining.
    Drain {
        /// The number of the server, in the order of starts.
        server: usize,
    },
    /// Makes a server reset new connections from some gateways.
    Fail {
        /// The number of the server.
        server: usize,
        /// The numbers of the gateways; empty means all.
        #[serde(default)]
        gateways: Vec<usize>,
    },
    /// Ends the failure of a server.
    #[serde(rename = "mend")]
    Recover {
        /// The number of the server.
        server: usize,
    },
    /// Rewrites the file of one of the additional sockets of the plan, and sends SIGHUP.
    Rewrite {
        /// The index in `sockets` of the plan.
        socket: usize,
        /// The numbers of the gateways; empty means all.
        #[serde(default)]
        gateways: Vec<usize>,
        /// The new template of the file, with placeholders as in [`ProxiedSocket`].
        file: String,
    },
    /// Removes a server from the endpoint list; its process continues to run.
    Remove {
        /// The number of the server.
        server: usize,
    },
}

impl FaultAction {
    /// Returns the numbers of the gateways that the action names.
    fn gateways(&self) -> Vec<usize> {
        match self {
            Self::Link { from, to, .. } => [from.as_slice(), to].concat(),
            Self::Split { parts } => parts.concat(),
            Self::Stall { gateway }
            | Self::Resume { gateway }
            | Self::Kill { gateway }
            | Self::Terminate { gateway }
            | Self::Start { gateway, .. }
            | Self::Restart { gateway }
            | Self::StartDuplicate { gateway }
            | Self::StopDuplicate { gateway } => vec![*gateway],
            Self::Fail { gateways, .. } | Self::Rewrite { gateways, .. } => gateways.clone(),
            Self::Heal
            | Self::Load(_)
            | Self::Add { .. }
            | Self::Drain { .. }
            | Self::Recover { .. }
            | Self::Remove { .. } => Vec::new(),
        }
    }
}

/// An action with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The time in milliseconds since the start of the run.
    pub at_ms: u64,
    /// The action of this step.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// A complete fault run as data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// The seed of the random treatment of datagrams, of the clients and of their session durations.
    pub seed: u64,
    /// The number of gateways in every peer list. Gateway g is in zone g modulo `zones`.
    pub gateways: usize,
    /// The numbers of the gateways that are not started at the start of the run, but only by a step.
    pub absent: Vec<usize>,
    /// The clock offsets in milliseconds, from gateway 0 on; 0 for gateways beyond the end of the list.
    pub clocks_ms: Vec<i64>,
    /// The number of zones.
    pub zones: usize,
    /// The number of servers that are running and warm at the start. Server s is in zone s modulo `zones`.
    pub servers: usize,
    /// The slow start of servers, from which the checks compute the slow-start budget.
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
    /// The slow start in the settings of the daemons, if it differs: production settings name the smallest
    /// part and the slowest warm-up.
    #[serde(rename = "told")]
    pub configured_slow_start: Option<SlowStart>,
    /// The partners with their quotas.
    pub tenants: Vec<Tenant>,
    /// The load at the start.
    pub load: Vec<Load>,
    /// The mean session duration of a client, in milliseconds, uniformly distributed from 0.5 to 1.5 times
    /// this value.
    #[serde(rename = "stay_ms")]
    pub mean_session_ms: u64,
    /// The time for which a client waits for its answer, in milliseconds.
    pub deadline_ms: u64,
    /// The steps, in the order of time.
    pub steps: Vec<Step>,
    /// The duration of the load, in milliseconds.
    #[serde(rename = "last_ms")]
    pub load_duration_ms: u64,
    /// The time limit for convergence after the load, in milliseconds. Requests in the last `settle_ms` of
    /// the load must be served.
    pub settle_ms: u64,
    /// The largest sum of the delays of the harness over the run, in milliseconds: on a busier machine a run
    /// has no verdict. The harness is delayed while its own mock server takes over 60 ms to answer it.
    #[serde(rename = "late_ms")]
    pub max_harness_delay_ms: u64,
    /// The interval between two samples of every admin endpoint, in milliseconds.
    #[serde(rename = "look_ms")]
    pub admin_poll_interval_ms: u64,
    /// Additional admin calls to make at each sample.
    pub calls: Vec<String>,
    /// Settings merged into the configuration of each daemon. In strings, `{gateway}` is replaced by the
    /// gateway number.
    pub config: serde_json::Value,
    /// Whether a gateway has the same folder after a restart, with the files that its previous process left
    /// there.
    #[serde(rename = "keeps")]
    pub preserves_files: bool,
    /// The quotas that the checks apply, in the order of time; empty if the daemons enforce no quotas. If two
    /// periods overlap one window, the larger quota applies.
    pub quotas: Vec<QuotaPeriod>,
    /// Additional UDP sockets of each daemon that use relays as well. The link settings apply to all sockets.
    pub sockets: Vec<ProxiedSocket>,
}

/// An additional UDP socket that each daemon opens, and the arguments and file that configure its addresses.
///
/// In `arguments` and `file` these placeholders are replaced: `{gateway}`, the number of the gateway;
/// `{listen}`, the address that its socket listens on and sends from; `{public}`, the address at which others
/// reach it; `{all}`, the address at which it reaches all others; `{peers}`, the public addresses of all
/// gateways by number, as a JSON or TOML list; `{others}`, the same list without its own address; `{file}`,
/// the path of the file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxiedSocket {
    /// Arguments appended to those of the daemon.
    pub arguments: Vec<String>,
    /// The template of a file that is written for the daemon; empty if the daemon needs no file.
    pub file: String,
}

impl Default for FaultPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            gateways: 3,
            absent: Vec::new(),
            clocks_ms: Vec::new(),
            zones: 3,
            servers: 6,
            slow_start: SlowStart::default(),
            configured_slow_start: None,
            tenants: vec![
                Tenant { name: "north".to_owned(), quota_per_s: 24.0, quota_connections: 120.0 },
                Tenant { name: "south".to_owned(), quota_per_s: 12.0, quota_connections: 60.0 },
            ],
            load: Vec::new(),
            mean_session_ms: 4_000,
            deadline_ms: 2_000,
            steps: Vec::new(),
            load_duration_ms: 6_000,
            settle_ms: 2_000,
            max_harness_delay_ms: 600,
            admin_poll_interval_ms: 500,
            calls: Vec::new(),
            preserves_files: false,
            quotas: Vec::new(),
            config: serde_json::Value::Null,
            sockets: Vec::new(),
        }
    }
}

/// The ranges from which a random plan is drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RandomPlanLimits {
    /// The number of gateways.
    pub gateways: RangeInclusive<usize>,
    /// The number of faults.
    pub faults: RangeInclusive<usize>,
    /// The start times of faults, in milliseconds since the start of the run.
    pub faults_within_ms: RangeInclusive<u64>,
    /// The duration of each fault, in milliseconds.
    pub fault_ms: RangeInclusive<u64>,
}

impl FaultPlan {
    /// Parses a plan in JSON and checks it.
    ///
    /// # Errors
    ///
    /// Returns [`FaultRunError::Plan`] if the text is no plan or a value is out of range.
    pub fn read(text: &str) -> Result<Self, FaultRunError> {
        let plan: Self = serde_json::from_str(text).map_err(|problem| FaultRunError::Plan {
            what: "the text",
            found: problem.to_string(),
            expected: "a plan in JSON, as docs/fault-injection.md shows one".to_owned(),
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// Sets the same load, in requests per second, for every tenant in every zone.
    pub fn with_uniform_load(mut self, per_s: f64) -> Self {
        let cells =
            (0..self.tenants.len()).flat_map(|tenant| (0..self.zones).map(move |zone| (tenant, zone)));
        self.load = cells.map(|(tenant, zone)| Load { tenant, zone, per_s }).collect();
        self
    }

    /// Returns a typical fleet: three zones, `per_s` requests per second of each of two tenants in each zone,
    /// quotas for both tenants, and servers whose slow start is as configured.
    pub fn typical(gateways: usize, per_s: f64) -> Self {
        let plan = Self { gateways, ..Self::default() };
        let offered = per_s * plan.zones as f64;
        let open_connections = offered * plan.mean_session_ms as f64 / 1e3;
        // The connection quota of one tenant is two thirds above its load; the load of the other is a fifth
        // above its quota.
        let tenant = |name: &str, rate_factor: f64, connection_factor: f64| Tenant {
            name: name.to_owned(),
            quota_per_s: rate_factor * offered,
            quota_connections: connection_factor * open_connections,
        };
        Self {
            tenants: vec![tenant("north", 4.0 / 3.0, 5.0 / 3.0), tenant("south", 2.0 / 3.0, 5.0 / 6.0)],
            slow_start: SlowStart { initial_part: 0.2, warm_ms: 17_000, ..SlowStart::default() },
            configured_slow_start: None,
            ..plan
        }
        .with_uniform_load(per_s)
    }

    /// Adds a step after all other steps of the same time.
    pub fn with_action(mut self, at_ms: u64, action: FaultAction) -> Self {
        let index = self.steps.partition_point(|step| step.at_ms <= at_ms);
        self.steps.insert(index, Step { at_ms, action });
        self
    }

    /// Returns the numbers of the gateways in a zone.
    pub fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.gateways).filter(|gateway| gateway % self.zones == zone).collect()
    }

    /// Returns a random plan that depends on the seed and the limits alone: some faults, each ended before
    /// the time for convergence, and a server that is added in slow start. Faults of the process of one
    /// gateway don't overlap.
    pub fn random(seed: u64, limits: &RandomPlanLimits) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let gateways = rng.random_range(limits.gateways.clone());
        let mut plan = Self { seed, ..Self::typical(gateways, 8.0) };
        let (first, last) = (*limits.faults_within_ms.start(), *limits.faults_within_ms.end());
        let mut process_free_at = vec![0; gateways];
        let mut faults_end = last;
        for _ in 0..rng.random_range(limits.faults.clone()) {
            let (from, duration) =
                (rng.random_range(first..=last), rng.random_range(limits.fault_ms.clone()));
            let until = from + duration;
            let gateway = rng.random_range(0..gateways);
            let others: Vec<usize> = (0..gateways).filter(|&other| other != gateway).collect();
            let mut push_fault = |fault: FaultAction, recovery: FaultAction| {
                plan.steps.push(Step { at_ms: from, action: fault });
                plan.steps.push(Step { at_ms: until, action: recovery });
            };
            let link = |from: &[usize], to: &[usize], link| FaultAction::Link {
                from: from.to_vec(),
                to: to.to_vec(),
                link,
            };
            match rng.random_range(0..8) {
                0 => {
                    let loss = f64::from(rng.random_range(1..=10)) / 10.0;
                    push_fault(link(&[], &[], Link::lossy(loss)), FaultAction::Heal);
                }
                1 => {
                    let peer = others.choose(&mut rng).copied().unwrap_or(gateway);
                    push_fault(link(&[gateway], &[peer], Link::CUT), FaultAction::Heal);
                }
                2 => {
                    let slow =
                        Link { delay_ms: 50, jitter_ms: 200, duplicate: 0.3, reorder: 0.2, ..Link::PERFECT };
                    push_fault(link(&[], &[], slow), FaultAction::Heal);
                }
                3 => {
                    let cut = rng.random_range(1..gateways.max(2));
                    push_fault(
                        FaultAction::Split { parts: vec![(0..cut).collect(), (cut..gateways).collect()] },
                        FaultAction::Heal,
                    );
                }
                4 => push_fault(link(&others, &[gateway], Link::CUT), FaultAction::Heal),
                // Faults of a process: one at a time for each gateway.
                _ if process_free_at[gateway] > from => continue,
                5 => push_fault(FaultAction::Stall { gateway }, FaultAction::Resume { gateway }),
                6 => push_fault(
                    FaultAction::Kill { gateway },
                    FaultAction::Start { gateway, clock_ms: rng.random_range(-2000..=2000) },
                ),
                _ => {
                    let action = FaultAction::Restart { gateway };
                    plan.steps.push(Step { at_ms: from, action });
                }
            }
            // A restart takes the grace period and the start of the new process.
            process_free_at[gateway] = until + 4_000;
            faults_end = faults_end.max(until);
        }
        let at_ms = rng.random_range(0..=first);
        plan.steps.push(Step { at_ms, action: FaultAction::Add { zone: rng.random_range(0..plan.zones) } });
        plan.steps.push(Step { at_ms: faults_end, action: FaultAction::Heal });
        plan.steps.sort_by_key(|step| step.at_ms);
        plan.load_duration_ms = faults_end + 4_000 + plan.settle_ms;
        plan
    }

    /// Checks that every value is in the range that the harness supports.
    ///
    /// # Errors
    ///
    /// Returns [`FaultRunError::Plan`] with the name of the value, the value and the permitted range.
    pub fn check(&self) -> Result<(), FaultRunError> {
        let invalid =
            |what, found: String, expected: String| Err(FaultRunError::Plan { what, found, expected });
        let within = |what, found: f64, min: f64, max: f64| match (min..=max).contains(&found) {
            true => Ok(()),
            false => invalid(what, found.to_string(), format!("{min} to {max}")),
        };
        let count =
            |what, found: usize, min: usize, max: usize| within(what, found as f64, min as f64, max as f64);
        count("gateways", self.gateways, 1, MAX_GATEWAYS)?;
        count("zones", self.zones, 1, self.gateways)?;
        count("servers", self.servers, 1, 200)?;
        count("tenants", self.tenants.len(), 1, 100)?;
        count("number of additional sockets", self.sockets.len(), 0, 4)?;
        count("number of steps", self.steps.len(), 0, MAX_STEPS)?;
        within("last_ms", self.load_duration_ms as f64, 100.0, MAX_RUN_MS as f64)?;
        within("settle_ms", self.settle_ms as f64, 100.0, self.load_duration_ms as f64)?;
        within("look_ms", self.admin_poll_interval_ms as f64, 50.0, 60_000.0)?;
        within("deadline_ms", self.deadline_ms as f64, 50.0, 10_000.0)?;
        within("stay_ms", self.mean_session_ms as f64, 1.0, MAX_RUN_MS as f64)?;
        within("cold.from", self.slow_start.initial_part, 0.01, 1.0)?;
        within("cold.warm_ms", self.slow_start.warm_ms as f64, 1.0, MAX_RUN_MS as f64)?;
        within("cold.window_ms", self.slow_start.window_ms as f64, 1.0, 60_000.0)?;
        let mut load_by_cell = std::collections::BTreeMap::new();
        let mut servers = self.servers;
        let loads = self.load.iter().map(|load| (0, FaultAction::Load(*load)));
        let steps = self.steps.iter().map(|step| (step.at_ms, step.action.clone()));
        let mut previous_ms = 0;
        for (at_ms, action) in loads.chain(steps) {
            within("at_ms of a step", at_ms as f64, previous_ms as f64, self.load_duration_ms as f64)?;
            previous_ms = at_ms;
            for gateway in action.gateways() {
                count("a gateway's number", gateway, 0, self.gateways - 1)?;
            }
            match action {
                FaultAction::Load(Load { tenant, zone, per_s }) => {
                    count("a tenant's number", tenant, 0, self.tenants.len() - 1)?;
                    count("a zone's number", zone, 0, self.zones - 1)?;
                    load_by_cell.insert((tenant, zone), per_s);
                    let total_per_s = load_by_cell.values().sum();
                    within("the load a second", total_per_s, 0.0, MAX_REQUESTS_PER_S)?;
                    let open_connections = total_per_s * self.mean_session_ms as f64 / 1e3;
                    within(
                        "expected open connections (load times stay_ms)",
                        open_connections,
                        0.0,
                        MAX_OPEN_CONNECTIONS,
                    )?;
                }
                FaultAction::Add { zone } => {
                    count("a zone's number", zone, 0, self.zones - 1)?;
                    servers += 1;
                }
                FaultAction::Drain { server }
                | FaultAction::Remove { server }
                | FaultAction::Fail { server, .. }
                | FaultAction::Recover { server } => {
                    count("a server's number", server, 0, servers - 1)?;
                }
                FaultAction::Rewrite { socket, .. } => {
                    count("an additional socket's number", socket, 0, self.sockets.len().saturating_sub(1))?;
                }
                FaultAction::Link { link, .. } => {
                    for (what, probability) in
                        [("loss", link.loss), ("duplicate", link.duplicate), ("reorder", link.reorder)]
                    {
                        within(what, probability, 0.0, 1.0)?;
                    }
                    within("delay_ms and jitter_ms", (link.delay_ms + link.jitter_ms) as f64, 0.0, 60_000.0)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Returns the clock offset of a gateway at the start, in milliseconds; positive if the clock is ahead.
    pub fn initial_clock_offset_ms(&self, gateway: usize) -> i64 {
        self.clocks_ms.get(gateway).copied().unwrap_or_default()
    }

    /// Returns the number of connections that fill a server: the sum of the connection quotas of the
    /// partners, divided by the largest number of servers ready at one time.
    pub fn connections_when_full(&self) -> f64 {
        let added_servers =
            self.steps.iter().filter(|step| matches!(step.action, FaultAction::Add { .. })).count();
        let quotas: f64 = self.tenants.iter().map(|tenant| tenant.quota_connections).sum();
        quotas / (self.servers + added_servers) as f64
    }
}
