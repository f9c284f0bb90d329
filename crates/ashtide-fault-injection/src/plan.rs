//! Plans: what is started, what load is offered, and what befalls whom when. Data, so that a failing play can
//! be kept, sent and played again.

use std::ops::RangeInclusive;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use crate::FaultRunError;
use crate::mesh::Link;

/// Most gateways of one play.
const MAX_GATEWAYS: usize = 120;
/// Longest play, in milliseconds.
const MAX_RUN_MS: u64 = 300_000;
/// Most steps.
const MAX_STEPS: usize = 1_000;
/// Most requests a second, over all.
const MAX_REQUESTS_PER_S: f64 = 1_000.0;
/// Most connections that are expected to stand at once.
const MAX_OPEN_CONNECTIONS: f64 = 6_000.0;

/// How servers begin.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowStart {
    /// Part of its capacity that a server begins with.
    pub from: f64,
    /// When it has all of it, in milliseconds after its start.
    pub warm_ms: u64,
    /// How many times its part it can take for the window's length.
    pub fall_multiple: f64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

impl Default for SlowStart {
    fn default() -> Self {
        Self { from: 0.2, warm_ms: 12_000, fall_multiple: 2.5, window_ms: 2_000 }
    }
}

/// A partner, as the settings have it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second that it may make across all gateways.
    pub quota_per_s: f64,
    /// Connections that it may have open across all gateways.
    pub quota_connections: f64,
}

/// What partners are held to, from some moment on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaPeriod {
    /// Milliseconds since the beginning.
    pub from_ms: u64,
    /// For how long unused rights are stored, in milliseconds.
    pub burst_ms: u64,
    /// Each tenant's new connections a second.
    pub per_s: Vec<f64>,
    /// Each tenant's open connections; empty where they are not limited.
    #[serde(default)]
    pub open: Vec<f64>,
}

/// Requests a second of one tenant in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The tenant's number.
    pub tenant: usize,
    /// The zone's number.
    pub zone: usize,
    /// How many a second.
    pub per_s: f64,
}

/// What befalls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultAction {
    /// What `from` send to `to` is treated like this from now on. An empty list stands for all.
    Link {
        /// Senders.
        from: Vec<usize>,
        /// Receivers.
        to: Vec<usize>,
        /// What becomes of it.
        link: Link,
    },
    /// Nothing passes between the parts any more; inside each all links are whole. Who is in none is alone.
    Split {
        /// The parts.
        parts: Vec<Vec<usize>>,
    },
    /// All links are whole again.
    Heal,
    /// SIGSTOP.
    Stall {
        /// Which gateway.
        gateway: usize,
    },
    /// SIGCONT.
    Resume {
        /// Which gateway.
        gateway: usize,
    },
    /// SIGKILL to all processes of a gateway.
    Kill {
        /// Which gateway.
        gateway: usize,
    },
    /// SIGTERM to all processes of a gateway.
    Terminate {
        /// Which gateway.
        gateway: usize,
    },
    /// Starts a gateway that does not run: one that joins, or comes back under the same name and addresses.
    Start {
        /// Which gateway.
        gateway: usize,
        /// By how much its clock is ahead, in milliseconds.
        #[serde(default)]
        clock_ms: i64,
    },
    /// SIGTERM, and a start under the same name and addresses once it has ended.
    Restart {
        /// Which gateway.
        gateway: usize,
    },
    /// A second process of the same name, index and peers' address, which knows nothing of the first.
    #[serde(rename = "twin")]
    StartDuplicate {
        /// Which gateway.
        gateway: usize,
    },
    /// SIGTERM to the second process.
    #[serde(rename = "end_twin")]
    StopDuplicate {
        /// Which gateway.
        gateway: usize,
    },
    /// A tenant's load in a zone, from now on.
    Load(Load),
    /// A server starts, cold, and is listed.
    Add {
        /// Its zone.
        zone: usize,
    },
    /// A server is listed as draining.
    Drain {
        /// Its number, in the order of starts.
        server: usize,
    },
    /// A server resets new connections that come by these gateways, or by all where none is named.
    Fail {
        /// Its number.
        server: usize,
        /// Which gateways.
        #[serde(default)]
        gateways: Vec<usize>,
    },
    /// It serves them again.
    #[serde(rename = "mend")]
    Recover {
        /// Its number.
        server: usize,
    },
    /// The file of one of the plan's further sockets is written anew, and SIGHUP sent. An empty list stands for all.
    Rewrite {
        /// Which of `sockets`.
        socket: usize,
        /// At which gateways.
        #[serde(default)]
        gateways: Vec<usize>,
        /// Its text from now on.
        file: String,
    },
    /// A server is taken off the list; its process stays.
    Remove {
        /// Its number.
        server: usize,
    },
}

impl FaultAction {
    /// The gateways that it names.
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

/// What befalls, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the beginning.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub act: FaultAction,
}

/// A whole play.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// From which fates of datagrams, tenants' clients and their stays are drawn.
    pub seed: u64,
    /// Gateways on everyone's list, gateway g in zone g modulo `zones`.
    pub gateways: usize,
    /// Of these, gateways that are started only by a step.
    pub absent: Vec<usize>,
    /// By how much clocks are ahead, in milliseconds, from gateway 0 on; 0 where the list is shorter.
    pub clocks_ms: Vec<i64>,
    /// Zones.
    pub zones: usize,
    /// Servers that are there and warm at the beginning, server s in zone s modulo `zones`.
    pub servers: usize,
    /// How servers begin, which is what the cold budget is held to.
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
    /// How the settings say that they begin, where that is something else: real settings tell the least and
    /// the slowest.
    #[serde(rename = "told")]
    pub configured_slow_start: Option<SlowStart>,
    /// The partners.
    pub tenants: Vec<Tenant>,
    /// The load at the beginning.
    pub load: Vec<Load>,
    /// How long a client stays, in milliseconds, on average: evenly drawn from half to one and a half of it.
    pub stay_ms: u64,
    /// How long a client waits for its answer, in milliseconds.
    pub deadline_ms: u64,
    /// What befalls, in the order of time.
    pub steps: Vec<Step>,
    /// How long load is offered, in milliseconds.
    pub last_ms: u64,
    /// How long the end of it all may take to settle, in milliseconds. From `last_ms` less this on, requests
    /// are to be served.
    pub settle_ms: u64,
    /// How long the rig itself may be late, in milliseconds of the whole play: on a machine that is busier
    /// than that no play can be judged. It is late while it takes over 60 ms to answer itself.
    #[serde(rename = "late_ms")]
    pub max_harness_delay_ms: u64,
    /// Between two looks at every operators' door, in milliseconds.
    #[serde(rename = "look_ms")]
    pub admin_poll_interval_ms: u64,
    /// Further calls to make at each look.
    pub calls: Vec<String>,
    /// Laid over each daemon's configuration. In its strings `{gateway}` stands for the gateway's number.
    pub config: serde_json::Value,
    /// Whether a gateway finds its folder again after a restart, with what its process before has left there.
    #[serde(rename = "keeps")]
    pub keeps_files: bool,
    /// What the partners are held to, where the daemons keep quotas: from when on, in the order of time. Of two that
    /// hold within one window, the larger counts.
    pub quotas: Vec<QuotaPeriod>,
    /// Further UDP sockets of each daemon that are led through relays as well; links are for all alike.
    pub sockets: Vec<ProxiedSocket>,
}

/// A further UDP socket that each daemon opens, and how it is told its addresses.
///
/// In `arguments` and `file` these marks are replaced: `{gateway}`, the gateway's number; `{listen}`, where
/// its socket is to listen and send from; `{public}`, where others reach it; `{all}`, where it reaches all
/// others; `{peers}`, everyone's public addresses by number, as a JSON or TOML list; `{others}`, the same without
/// its own; `{file}`, where the file is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxiedSocket {
    /// Put behind the daemon's arguments.
    pub arguments: Vec<String>,
    /// The text of a file that is written for the daemon; none where empty.
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
            stay_ms: 4_000,
            deadline_ms: 2_000,
            steps: Vec::new(),
            last_ms: 6_000,
            settle_ms: 2_000,
            max_harness_delay_ms: 600,
            admin_poll_interval_ms: 500,
            calls: Vec::new(),
            keeps_files: false,
            quotas: Vec::new(),
            config: serde_json::Value::Null,
            sockets: Vec::new(),
        }
    }
}

/// What a random plan may hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RandomPlanLimits {
    /// Gateways.
    pub gateways: RangeInclusive<usize>,
    /// Faults.
    pub faults: RangeInclusive<usize>,
    /// When faults may begin, in milliseconds.
    pub faults_within_ms: RangeInclusive<u64>,
    /// How long each lasts, in milliseconds.
    pub fault_ms: RangeInclusive<u64>,
}

impl FaultPlan {
    /// Reads a plan in JSON and checks it.
    ///
    /// # Errors
    ///
    /// Says what is not a plan, or which figure cannot be played.
    pub fn read(text: &str) -> Result<Self, FaultRunError> {
        let plan: Self = serde_json::from_str(text).map_err(|problem| FaultRunError::Plan {
            what: "the text",
            found: problem.to_string(),
            expected: "a plan in JSON, as docs/fault-injection.md shows one".to_owned(),
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// The same load a second for every tenant in every zone.
    pub fn with_uniform_load(mut self, per_s: f64) -> Self {
        let cells =
            (0..self.tenants.len()).flat_map(|tenant| (0..self.zones).map(move |zone| (tenant, zone)));
        self.load = cells.map(|(tenant, zone)| Load { tenant, zone, per_s }).collect();
        self
    }

    /// A usual tier: three zones, `per_s` requests a second of each of two tenants in each zone, quotas that
    /// hold them, and servers that begin as the settings tell.
    pub fn typical(gateways: usize, per_s: f64) -> Self {
        let plan = Self { gateways, ..Self::default() };
        let offered = per_s * plan.zones as f64;
        let standing = offered * plan.stay_ms as f64 / 1e3;
        // One has room for two thirds more than it offers, the other offers a fifth beyond its quota.
        let tenant = |name: &str, of_offered: f64, of_standing: f64| Tenant {
            name: name.to_owned(),
            quota_per_s: of_offered * offered,
            quota_connections: of_standing * standing,
        };
        Self {
            tenants: vec![tenant("north", 4.0 / 3.0, 5.0 / 3.0), tenant("south", 2.0 / 3.0, 5.0 / 6.0)],
            slow_start: SlowStart { from: 0.2, warm_ms: 17_000, ..SlowStart::default() },
            configured_slow_start: None,
            ..plan
        }
        .with_uniform_load(per_s)
    }

    /// A step more, behind all others of its time.
    pub fn with_action(mut self, at_ms: u64, act: FaultAction) -> Self {
        let behind = self.steps.partition_point(|step| step.at_ms <= at_ms);
        self.steps.insert(behind, Step { at_ms, act });
        self
    }

    /// The numbers of a zone's gateways.
    pub fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.gateways).filter(|gateway| gateway % self.zones == zone).collect()
    }

    /// A plan drawn from this seed alone: some faults, each ended before the play is to settle, and a cold
    /// server that joins. Of two faults of one gateway's process, none begins before the other has ended.
    pub fn random(seed: u64, range: &RandomPlanLimits) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let gateways = rng.random_range(range.gateways.clone());
        let mut plan = Self { seed, ..Self::typical(gateways, 8.0) };
        let (first, last) = (*range.faults_within_ms.start(), *range.faults_within_ms.end());
        let mut free = vec![0; gateways];
        let mut end = last;
        for _ in 0..rng.random_range(range.faults.clone()) {
            let (from, lasts) = (rng.random_range(first..=last), rng.random_range(range.fault_ms.clone()));
            let until = from + lasts;
            let gateway = rng.random_range(0..gateways);
            let others: Vec<usize> = (0..gateways).filter(|&other| other != gateway).collect();
            let mut both = |fault: FaultAction, cure: FaultAction| {
                plan.steps.push(Step { at_ms: from, act: fault });
                plan.steps.push(Step { at_ms: until, act: cure });
            };
            let link = |from: &[usize], to: &[usize], link| FaultAction::Link {
                from: from.to_vec(),
                to: to.to_vec(),
                link,
            };
            match rng.random_range(0..8) {
                0 => {
                    let loss = f64::from(rng.random_range(1..=10)) / 10.0;
                    both(link(&[], &[], Link::lossy(loss)), FaultAction::Heal);
                }
                1 => {
                    let peer = others.choose(&mut rng).copied().unwrap_or(gateway);
                    both(link(&[gateway], &[peer], Link::CUT), FaultAction::Heal);
                }
                2 => {
                    let late =
                        Link { delay_ms: 50, jitter_ms: 200, duplicate: 0.3, reorder: 0.2, ..Link::PERFECT };
                    both(link(&[], &[], late), FaultAction::Heal);
                }
                3 => {
                    let cut = rng.random_range(1..gateways.max(2));
                    both(
                        FaultAction::Split { parts: vec![(0..cut).collect(), (cut..gateways).collect()] },
                        FaultAction::Heal,
                    );
                }
                4 => both(link(&others, &[gateway], Link::CUT), FaultAction::Heal),
                // What befalls a process: one at a time for each.
                _ if free[gateway] > from => continue,
                5 => both(FaultAction::Stall { gateway }, FaultAction::Resume { gateway }),
                6 => both(
                    FaultAction::Kill { gateway },
                    FaultAction::Start { gateway, clock_ms: rng.random_range(-2000..=2000) },
                ),
                _ => {
                    let act = FaultAction::Restart { gateway };
                    plan.steps.push(Step { at_ms: from, act });
                }
            }
            // A restart takes its grace and a start.
            free[gateway] = until + 4_000;
            end = end.max(until);
        }
        let at_ms = rng.random_range(0..=first);
        plan.steps.push(Step { at_ms, act: FaultAction::Add { zone: rng.random_range(0..plan.zones) } });
        plan.steps.push(Step { at_ms: end, act: FaultAction::Heal });
        plan.steps.sort_by_key(|step| step.at_ms);
        plan.last_ms = end + 4_000 + plan.settle_ms;
        plan
    }

    /// Checks that it can be played.
    ///
    /// # Errors
    ///
    /// Says which figure cannot be, and what it may be.
    pub fn check(&self) -> Result<(), FaultRunError> {
        let bad = |what, found: String, expected: String| Err(FaultRunError::Plan { what, found, expected });
        let within = |what, found: f64, least: f64, most: f64| match (least..=most).contains(&found) {
            true => Ok(()),
            false => bad(what, found.to_string(), format!("{least} to {most}")),
        };
        let count = |what, found: usize, least: usize, most: usize| {
            within(what, found as f64, least as f64, most as f64)
        };
        count("gateways", self.gateways, 1, MAX_GATEWAYS)?;
        count("zones", self.zones, 1, self.gateways)?;
        count("servers", self.servers, 1, 200)?;
        count("tenants", self.tenants.len(), 1, 100)?;
        count("number of further sockets", self.sockets.len(), 0, 4)?;
        count("number of steps", self.steps.len(), 0, MAX_STEPS)?;
        within("last_ms", self.last_ms as f64, 100.0, MAX_RUN_MS as f64)?;
        within("settle_ms", self.settle_ms as f64, 100.0, self.last_ms as f64)?;
        within("look_ms", self.admin_poll_interval_ms as f64, 50.0, 60_000.0)?;
        within("deadline_ms", self.deadline_ms as f64, 50.0, 10_000.0)?;
        within("stay_ms", self.stay_ms as f64, 1.0, MAX_RUN_MS as f64)?;
        within("cold.from", self.slow_start.from, 0.01, 1.0)?;
        within("cold.warm_ms", self.slow_start.warm_ms as f64, 1.0, MAX_RUN_MS as f64)?;
        within("cold.window_ms", self.slow_start.window_ms as f64, 1.0, 60_000.0)?;
        let mut cells = std::collections::BTreeMap::new();
        let mut servers = self.servers;
        let loads = self.load.iter().map(|load| (0, FaultAction::Load(*load)));
        let steps = self.steps.iter().map(|step| (step.at_ms, step.act.clone()));
        let mut before = 0;
        for (at_ms, act) in loads.chain(steps) {
            within("at_ms of a step", at_ms as f64, before as f64, self.last_ms as f64)?;
            before = at_ms;
            for gateway in act.gateways() {
                count("a gateway's number", gateway, 0, self.gateways - 1)?;
            }
            match act {
                FaultAction::Load(Load { tenant, zone, per_s }) => {
                    count("a tenant's number", tenant, 0, self.tenants.len() - 1)?;
                    count("a zone's number", zone, 0, self.zones - 1)?;
                    cells.insert((tenant, zone), per_s);
                    let sum = cells.values().sum();
                    within("the load a second", sum, 0.0, MAX_REQUESTS_PER_S)?;
                    let standing = sum * self.stay_ms as f64 / 1e3;
                    within("connections that stand (load times stay)", standing, 0.0, MAX_OPEN_CONNECTIONS)?;
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
                    count("a further socket's number", socket, 0, self.sockets.len().saturating_sub(1))?;
                }
                FaultAction::Link { link, .. } => {
                    for (what, part) in
                        [("loss", link.loss), ("duplicate", link.duplicate), ("reorder", link.reorder)]
                    {
                        within(what, part, 0.0, 1.0)?;
                    }
                    within("delay_ms and jitter_ms", (link.delay_ms + link.jitter_ms) as f64, 0.0, 60_000.0)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// By how much a gateway's clock is ahead at the beginning, in milliseconds.
    pub fn initial_clock_offset_ms(&self, gateway: usize) -> i64 {
        self.clocks_ms.get(gateway).copied().unwrap_or_default()
    }

    /// Connections that fill a server: the partners' shares over the most servers that are ready at once.
    pub fn connections_when_full(&self) -> f64 {
        let adds = self.steps.iter().filter(|step| matches!(step.act, FaultAction::Add { .. })).count();
        let shares: f64 = self.tenants.iter().map(|tenant| tenant.quota_connections).sum();
        shares / (self.servers + adds) as f64
    }
}
