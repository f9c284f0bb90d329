//! Taking machines out for work in the daemon: its settings, and what is shown of it. Knows no socket and no clock.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_fleet::state::Slot;
use ashtide_maintenance::{Limits, MachineKind, Phase, Replica, ReplicaConfig, ReplicaMetrics, TimingConfig};
use serde_json::{Value, json};
use toml::{Table, Value as Toml};

use crate::metrics::METRIC_PREFIX;

/// Gateways that a file may name.
pub const MAX_GATEWAYS: usize = 512;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// The queue and the grants.
    List,
    /// A machine is to be taken out, and why.
    Request(String, String),
    /// A machine is no longer to be taken out.
    Cancel(String),
    /// The work on a machine is done.
    Done(String),
}

/// A key that holds a number: its name, least, most, usual value where it may be left out, and what it is.
type IntegerKey = (&'static str, u32, u32, Option<u32>, &'static str);

const INTEGER_KEYS: [IntegerKey; 9] = [
    ("slot", 0, 511, None, "Which of 'gateways' this one is, from 0."),
    ("tier", 1, u32::MAX, None, "The tier's key, the same at all its gateways and at none of another tier."),
    (
        "voters",
        1,
        9,
        Some(3),
        "So many of the first 'gateways' keep the table; of 3 one may be away, of 5 two.",
    ),
    ("max_out", 1, 32, None, "Servers that may be out at once."),
    ("max_gateways", 0, 32, Some(1), "Gateways that may be out at once; fewer than half of the voters."),
    ("floor", 0, 4096, Some(0), "Ready servers that must be left."),
    ("lease_s", 2, 60, Some(6), "How long a gateway keeps a machine out after it has last asked the others."),
    ("drain_s", 1, 3600, Some(60), "How long a drain may last."),
    (
        "work_s",
        0,
        86400,
        Some(3600),
        "How long a machine stays out at most once it is drained; 0: a server not at all.",
    ),
];
const LISTEN_DESCRIPTION: &str =
    "Where this gateway hears the others, over UDP. Without it: its own address in 'gateways'.";
const GATEWAYS_DESCRIPTION: &str = "Where all gateways are reached, in one order, the same at all of them.";
const FOLDER_DESCRIPTION: &str = "Where this gateway keeps its vote; it must outlive the machine's restart.";

/// Why taking machines out cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceError {
    /// The file cannot be read.
    #[error("maintenance: {path}: {problem}")]
    File {
        /// Which file.
        path: PathBuf,
        /// What the system says.
        problem: std::io::Error,
    },
    /// The file is no TOML.
    #[error("maintenance: found {problem}; expected TOML")]
    Syntax {
        /// What the parser found, and where.
        problem: String,
    },
    /// A key's value, or its absence, cannot be used.
    #[error("maintenance: {key}: found {found}; expected {expected}")]
    Key {
        /// Which key.
        key: String,
        /// What stands there.
        found: String,
        /// What should.
        expected: String,
    },
}

impl MaintenanceError {
    /// The error with what an operator can do, for the log.
    #[must_use]
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "name a file that this process may read, or leave --maintenance out",
            Self::Syntax { .. } => "compare the file with deploy/maintenance.toml",
            Self::Key { .. } => "correct the key; deploy/maintenance.schema.json says what each may be",
        }
    }
}

/// What the file of `--maintenance` says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Where this gateway hears.
    pub listen: SocketAddr,
    /// Where each gateway is reached, by slot.
    pub gateways: Vec<SocketAddr>,
    /// Where the vote is kept.
    pub state_directory: PathBuf,
    /// What the core is told.
    pub replica: ReplicaConfig,
}

fn invalid_key(key: &str, found: impl ToString, expected: impl ToString) -> MaintenanceError {
    MaintenanceError::Key { key: key.to_owned(), found: found.to_string(), expected: expected.to_string() }
}

fn parse_address(key: &str, value: &Toml) -> Result<SocketAddr, MaintenanceError> {
    let expected = "an address and a port that others reach, as \"127.0.0.1:7947\"";
    let text = value.as_str().ok_or_else(|| invalid_key(key, value, expected))?;
    let usable = |it: &SocketAddr| it.port() != 0 && !it.ip().is_unspecified();
    text.parse().ok().filter(usable).ok_or_else(|| invalid_key(key, format_args!("\"{text}\""), expected))
}

impl Settings {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn read(path: &Path) -> Result<Self, MaintenanceError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| MaintenanceError::File { path: path.to_owned(), problem })?;
        Self::parse(&text)
    }

    /// Checks a file's text.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn parse(text: &str) -> Result<Self, MaintenanceError> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| MaintenanceError::Syntax {
            problem: e.to_string().trim().to_owned(),
        })?;
        let known = || ["listen", "gateways", "folder"].into_iter().chain(INTEGER_KEYS.iter().map(|it| it.0));
        if let Some(key) = table.keys().find(|&key| !known().any(|it| it == key)) {
            return Err(invalid_key(key, "an unknown key", known().collect::<Vec<_>>().join(", ")));
        }
        let mut numbers = [0; INTEGER_KEYS.len()];
        for ((key, least, most, usual, _), number) in INTEGER_KEYS.into_iter().zip(&mut numbers) {
            let expected = format!("a whole number from {least} to {most}");
            *number = match table.get(key) {
                Some(value) => value
                    .as_integer()
                    .and_then(|it| u32::try_from(it).ok())
                    .filter(|it| (least..=most).contains(it))
                    .ok_or_else(|| invalid_key(key, value, &expected))?,
                None => usual.ok_or_else(|| invalid_key(key, "nothing", &expected))?,
            };
        }
        let [slot, tier, voters, max_out, max_gateways, floor, lease, drain, work] = numbers;
        let none = Toml::Array(Vec::new());
        let listed = table.get("gateways").unwrap_or(&none);
        let expected = || format!("a list of 1 to {MAX_GATEWAYS} different addresses");
        let all = listed.as_array().filter(|it| (1..=MAX_GATEWAYS).contains(&it.len()));
        let all = all.ok_or_else(|| invalid_key("gateways", listed, expected()))?;
        let gateways = all.iter().map(|it| parse_address("gateways", it)).collect::<Result<Vec<_>, _>>()?;
        if let Some(at) = (1..gateways.len()).find(|&at| gateways[..at].contains(&gateways[at])) {
            return Err(invalid_key("gateways", format_args!("{} twice", gateways[at]), expected()));
        }
        let own = gateways.get(slot as usize).copied();
        let own =
            own.ok_or_else(|| invalid_key("slot", slot, format_args!("one of {} gateways", gateways.len())))?;
        if voters as usize > gateways.len() {
            return Err(invalid_key(
                "voters",
                voters,
                format_args!("at most the {} gateways", gateways.len()),
            ));
        }
        if max_gateways > (voters - 1) / 2 && voters > 1 {
            let expected = format!("at most {}, so that a majority of the voters stays", (voters - 1) / 2);
            return Err(invalid_key("max_gateways", max_gateways, expected));
        }
        let folder = table.get("folder").and_then(Toml::as_str).filter(|it| !it.is_empty());
        let folder = folder.ok_or_else(|| invalid_key("folder", "nothing", "a folder"))?;
        let slots = |count: usize| (0..count as u16).map(Slot).collect::<Vec<_>>();
        let seconds = |count: u32| Duration::from_secs(u64::from(count));
        let (members, voters) = (slots(gateways.len()), slots(voters as usize));
        let terms = TimingConfig {
            lease: seconds(lease),
            max_drain: seconds(drain),
            max_work: seconds(work),
            return_when_drained: work == 0,
            ..TimingConfig::default()
        };
        let rules = Limits {
            max_servers_out: max_out as usize,
            max_gateways_out: max_gateways as usize,
            min_ready_servers: floor as usize,
        };
        let setup = ReplicaConfig {
            tier,
            own_slot: Slot(slot as u16),
            members,
            acceptors: voters,
            limits: rules,
            timing: terms,
        };
        let listen = table.get("listen").map_or(Ok(own), |value| parse_address("listen", value))?;
        Ok(Self { listen, gateways, state_directory: folder.into(), replica: setup })
    }

    /// What a machine of this name is: a gateway is named by its address.
    #[must_use]
    pub fn machine_kind(&self, name: &str) -> MachineKind {
        match name.parse().is_ok_and(|address| self.gateways.contains(&address)) {
            true => MachineKind::Gateway,
            false => MachineKind::Server,
        }
    }
}

/// The JSON Schema of the file.
#[must_use]
pub fn schema() -> Value {
    let mut keys = serde_json::Map::new();
    keys.insert("listen".to_owned(), json!({"type": "string", "description": LISTEN_DESCRIPTION}));
    keys.insert("folder".to_owned(), json!({"type": "string", "description": FOLDER_DESCRIPTION}));
    let gateways = json!({"type": "array", "items": {"type": "string"}, "minItems": 1,
                          "maxItems": MAX_GATEWAYS, "description": GATEWAYS_DESCRIPTION});
    keys.insert("gateways".to_owned(), gateways);
    for (key, least, most, usual, what) in INTEGER_KEYS {
        let mut number = json!({"type": "integer", "minimum": least, "maximum": most, "description": what});
        if let Some(usual) = usual {
            number["default"] = usual.into();
        }
        keys.insert(key.to_owned(), number);
    }
    let numbers = INTEGER_KEYS.iter().filter(|it| it.3.is_none()).map(|it| it.0);
    let required: Vec<&str> = ["folder", "gateways"].into_iter().chain(numbers).collect();
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Settings of taking machines out for work, the file of --maintenance",
        "type": "object", "properties": keys, "required": required, "additionalProperties": false,
    })
}

/// The queue and the grants as the door tells them, in the queue's order, then what this gateway keeps out.
#[must_use]
pub fn queue_text(node: &Replica) -> String {
    let (table, fresh) = node.queue();
    let known = if fresh { "agreed" } else { "old" };
    let votes = if node.is_voting() { "votes" } else { "no vote" };
    let mut text = format!("table version={} token={} {known}, {votes}\n", table.version, table.last_token);
    for row in &table.entries {
        let (state, holder) = match row.phase {
            Phase::Queued => ("queued", None),
            Phase::Draining { holder, .. } => ("draining", Some(holder)),
            Phase::Out { holder, .. } => ("out", Some(holder)),
            Phase::Released { .. } => ("released", None),
        };
        let _ = write!(text, "{} {state}", row.name);
        if let Some(token) = row.phase.token() {
            let _ = write!(text, " token={token}");
        }
        if let Some(holder) = holder {
            let _ = write!(text, " holder={}", holder.0);
        }
        let age = node.phase_age(&row.name).unwrap_or_default().as_secs();
        let _ = writeln!(text, " for_s={age} asked_ms={} reason={}", row.requested_at_ms, row.reason);
    }
    for kind in [MachineKind::Server, MachineKind::Gateway] {
        for name in node.machines_kept_out(kind) {
            let token = table.entries.iter().find(|row| row.name == name).and_then(|row| row.phase.token());
            let _ = writeln!(text, "kept-out {name} token={}", token.unwrap_or(0));
        }
    }
    text
}

/// The figures, one a line.
#[must_use]
pub fn metrics_text(node: &Replica) -> String {
    let mut text = String::new();
    let (table, fresh) = node.queue();
    let ReplicaMetrics {
        proposals: rounds,
        chosen,
        fenced,
        sent,
        rejected_datagrams: unheard,
        lease_lapses: lapses,
    } = node.metrics();
    let queued = table.entries.iter().filter(|row| row.phase == Phase::Queued).count() as u64;
    let kept =
        [MachineKind::Server, MachineKind::Gateway].map(|kind| node.machines_kept_out(kind).count() as u64);
    for (name, value) in [
        ("queued", queued),
        ("given", table.entries.len() as u64 - queued),
        ("kept_out{kind=\"server\"}", kept[0]),
        ("kept_out{kind=\"gateway\"}", kept[1]),
        ("agreed", u64::from(fresh)),
        ("votes", u64::from(node.is_voting())),
        ("last_token", table.last_token),
        ("rounds_total", *rounds),
        ("rounds_chosen_total", *chosen),
        ("fenced_total", *fenced),
        ("lapses_total", *lapses),
        ("sent_datagrams_total", sent.0),
        ("sent_bytes_total", sent.1),
        ("unheard_datagrams_total", *unheard),
    ] {
        let _ = writeln!(text, "{METRIC_PREFIX}_maintenance_{name} {value}");
    }
    text
}
