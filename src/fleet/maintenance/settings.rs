//! Settings of maintenance, read from the file that `--maintenance` names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_fleet::state::Slot;
use ashtide_maintenance::{Limits, MachineKind, ReplicaConfig, TimingConfig};
use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

use super::super::settings_keys::{IntegerKey, InvalidKey, check_known_keys, required_names};

/// Maximum number of gateways in a settings file.
pub const MAX_GATEWAYS: usize = 512;

// The descriptions and error texts of the keys are recorded in tests/fixtures/compatibility/fleet.

/// Index of this gateway in `gateways`, from 0.
const SLOT: IntegerKey = IntegerKey {
    name: "slot",
    minimum: 0,
    maximum: 511,
    default: None,
    description: "Index of this gateway in 'gateways', from 0.",
};
/// Key of the fleet: the same at all of its gateways, and unique among fleets.
const FLEET_ID: IntegerKey = IntegerKey {
    name: "tier",
    minimum: 1,
    maximum: u32::MAX,
    default: None,
    description: "Key of the fleet: the same at all of its gateways, and different from the keys of other \
                  fleets.",
};
/// Number of acceptors, which are the first of `gateways`. Of 3 acceptors one may be unavailable, of 5 two.
const VOTERS: IntegerKey = IntegerKey {
    name: "voters",
    minimum: 1,
    maximum: 9,
    default: Some(3),
    description: "Number of acceptors of the maintenance queue, which are the first entries of 'gateways'. \
                  Of 3 acceptors one may be unavailable, of 5 two.",
};
/// Maximum number of servers that are out for maintenance at once.
const MAX_OUT: IntegerKey = IntegerKey {
    name: "max_out",
    minimum: 1,
    maximum: 32,
    default: None,
    description: "Maximum number of servers that are out for maintenance at once.",
};
/// Maximum number of gateways that are out for maintenance at once, fewer than half of the acceptors.
const MAX_GATEWAYS_OUT: IntegerKey = IntegerKey {
    name: "max_gateways",
    minimum: 0,
    maximum: 32,
    default: Some(1),
    description: "Maximum number of gateways that are out for maintenance at once; fewer than half of \
                  'voters'.",
};
/// Minimum number of servers that must remain ready.
const FLOOR: IntegerKey = IntegerKey {
    name: "floor",
    minimum: 0,
    maximum: 4096,
    default: Some(0),
    description: "Minimum number of servers that must remain ready.",
};
/// Duration in seconds for which a machine remains cordoned after the gateway's last request to the other
/// gateways.
const LEASE_S: IntegerKey = IntegerKey {
    name: "lease_s",
    minimum: 2,
    maximum: 60,
    default: Some(6),
    description: "Duration in seconds for which a gateway keeps a machine cordoned after its last request \
                  to the other gateways.",
};
/// Maximum duration of a drain in seconds.
const DRAIN_S: IntegerKey = IntegerKey {
    name: "drain_s",
    minimum: 1,
    maximum: 3600,
    default: Some(60),
    description: "Maximum duration of a drain in seconds.",
};
/// Maximum duration in seconds for which a drained machine is out. If it is 0, a server returns once it is
/// drained.
const WORK_S: IntegerKey = IntegerKey {
    name: "work_s",
    minimum: 0,
    maximum: 86400,
    default: Some(3600),
    description: "Maximum duration in seconds for which a drained machine is out for maintenance; if it is \
                  0, a server returns once it is drained.",
};
const INTEGER_KEYS: [IntegerKey; 9] =
    [SLOT, FLEET_ID, VOTERS, MAX_OUT, MAX_GATEWAYS_OUT, FLOOR, LEASE_S, DRAIN_S, WORK_S];
const OTHER_KEYS: [&str; 3] = ["listen", "gateways", "folder"];

/// Description of `listen`, the UDP address on which this gateway receives datagrams from the others.
const LISTEN_DESCRIPTION: &str = "UDP address on which this gateway receives datagrams from the others. \
                                  Default: its own address in 'gateways'.";
/// Description of `gateways`, the addresses of all gateways in the same order at all of them.
const GATEWAYS_DESCRIPTION: &str = "Addresses of all gateways, in the same order at all of them.";
/// Description of `folder`, which has the acceptor state and must persist across restarts of the machine.
const FOLDER_DESCRIPTION: &str = "Folder in which this gateway stores its acceptor state; its contents must \
                                  persist across restarts of the machine.";

/// An error in the settings of maintenance.
#[derive(Debug, thiserror::Error)]
pub enum MaintenanceError {
    /// The file cannot be read.
    #[error("maintenance: {path}: {problem}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error that the operating system returned.
        problem: std::io::Error,
    },
    /// The file is not TOML.
    #[error("maintenance: found {}; expected TOML", .0.to_string().trim())]
    Syntax(#[from] toml::de::Error),
    /// A key has an invalid value, is unknown, or is required and absent.
    #[error("maintenance: {0}")]
    Key(#[from] InvalidKey),
}

impl MaintenanceError {
    /// Returns the error and the operator's remedy, for the log.
    #[must_use]
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// Returns the operator's remedy.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "pass a file that this process can read, or omit --maintenance",
            Self::Syntax(_) => "compare the file with deploy/maintenance.toml",
            Self::Key(_) => "correct the key; deploy/maintenance.schema.json describes the valid values",
        }
    }
}

/// Settings of maintenance, read from the file that `--maintenance` names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// UDP address on which this gateway receives datagrams.
    pub listen: SocketAddr,
    /// Address of each gateway, by slot.
    pub gateways: Vec<SocketAddr>,
    /// Folder of the acceptor state.
    pub state_directory: PathBuf,
    /// Settings of the state machine.
    pub replica: ReplicaConfig,
}

impl Settings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not TOML, or has an invalid key.
    pub fn read(path: &Path) -> Result<Self, MaintenanceError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| MaintenanceError::File { path: path.to_owned(), problem })?;
        Self::parse(&text)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML or has an invalid key, which the error names.
    pub fn parse(text: &str) -> Result<Self, MaintenanceError> {
        let table: Table = text.parse()?;
        let known: Vec<&str> =
            OTHER_KEYS.into_iter().chain(INTEGER_KEYS.iter().map(|key| key.name)).collect();
        check_known_keys(&table, "", &known)?;
        let integers = IntegerSettings::read(&table)?;
        let gateways = parse_gateways(&table)?;
        let own = *gateways.get(integers.slot as usize).ok_or_else(|| {
            InvalidKey::new(
                "slot",
                integers.slot,
                format_args!("an index in the list of {} gateways, from 0", gateways.len()),
            )
        })?;
        integers.check_voters(gateways.len())?;
        let state_directory = parse_folder(&table)?;
        let listen = match table.get("listen") {
            Some(value) => parse_reachable_address("listen", value)?,
            None => own,
        };
        let replica = integers.replica_config(gateways.len());
        Ok(Self { listen, gateways, state_directory, replica })
    }

    /// Returns the kind of the machine `name`. The name of a gateway is its address.
    #[must_use]
    pub fn machine_kind(&self, name: &str) -> MachineKind {
        match name.parse().is_ok_and(|address| self.gateways.contains(&address)) {
            true => MachineKind::Gateway,
            false => MachineKind::Server,
        }
    }
}

/// Values of [`INTEGER_KEYS`].
struct IntegerSettings {
    slot: u32,
    fleet_id: u32,
    voters: u32,
    max_out: u32,
    max_gateways_out: u32,
    floor: u32,
    lease_s: u32,
    drain_s: u32,
    work_s: u32,
}

impl IntegerSettings {
    fn read(table: &Table) -> Result<Self, InvalidKey> {
        Ok(Self {
            slot: SLOT.read(table, "")?,
            fleet_id: FLEET_ID.read(table, "")?,
            voters: VOTERS.read(table, "")?,
            max_out: MAX_OUT.read(table, "")?,
            max_gateways_out: MAX_GATEWAYS_OUT.read(table, "")?,
            floor: FLOOR.read(table, "")?,
            lease_s: LEASE_S.read(table, "")?,
            drain_s: DRAIN_S.read(table, "")?,
            work_s: WORK_S.read(table, "")?,
        })
    }

    fn check_voters(&self, gateway_count: usize) -> Result<(), InvalidKey> {
        if self.voters as usize > gateway_count {
            let expected = format_args!("at most the {gateway_count} gateways");
            return Err(InvalidKey::new("voters", self.voters, expected));
        }
        let minority = (self.voters - 1) / 2;
        if self.max_gateways_out > minority && self.voters > 1 {
            let expected =
                format_args!("at most {minority}, so that a majority of the voters remains available");
            return Err(InvalidKey::new("max_gateways", self.max_gateways_out, expected));
        }
        Ok(())
    }

    fn replica_config(&self, gateway_count: usize) -> ReplicaConfig {
        let first_slots = |count: usize| (0..count as u16).map(Slot).collect();
        let seconds = |count: u32| Duration::from_secs(u64::from(count));
        ReplicaConfig {
            fleet_id: self.fleet_id,
            own_slot: Slot(self.slot as u16),
            members: first_slots(gateway_count),
            acceptors: first_slots(self.voters as usize),
            limits: Limits {
                max_servers_out: self.max_out as usize,
                max_gateways_out: self.max_gateways_out as usize,
                min_ready_servers: self.floor as usize,
            },
            timing: TimingConfig {
                lease: seconds(self.lease_s),
                max_drain: seconds(self.drain_s),
                max_work: seconds(self.work_s),
                return_when_drained: self.work_s == 0,
                ..TimingConfig::default()
            },
        }
    }
}

fn parse_gateways(table: &Table) -> Result<Vec<SocketAddr>, InvalidKey> {
    let absent = Toml::Array(Vec::new());
    let value = table.get("gateways").unwrap_or(&absent);
    let expected = format!("a list of 1 to {MAX_GATEWAYS} different addresses");
    let values = value
        .as_array()
        .filter(|values| (1..=MAX_GATEWAYS).contains(&values.len()))
        .ok_or_else(|| InvalidKey::new("gateways", value, &expected))?;
    let gateways: Vec<SocketAddr> =
        values.iter().map(|value| parse_reachable_address("gateways", value)).collect::<Result<_, _>>()?;
    let repeated = (1..gateways.len()).find(|&index| gateways[..index].contains(&gateways[index]));
    match repeated {
        Some(index) => Err(InvalidKey::new("gateways", format_args!("{} twice", gateways[index]), &expected)),
        None => Ok(gateways),
    }
}

fn parse_reachable_address(key: &str, value: &Toml) -> Result<SocketAddr, InvalidKey> {
    let expected = "an IP address and a port that the other gateways can reach, such as \"127.0.0.1:7947\"";
    let text = value.as_str().ok_or_else(|| InvalidKey::new(key, value, expected))?;
    let is_reachable = |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    let address = text.parse().ok().filter(is_reachable);
    address.ok_or_else(|| InvalidKey::new(key, format_args!("\"{text}\""), expected))
}

fn parse_folder(table: &Table) -> Result<PathBuf, InvalidKey> {
    let folder = table.get("folder").and_then(Toml::as_str).filter(|folder| !folder.is_empty());
    folder.map(PathBuf::from).ok_or_else(|| InvalidKey::missing("folder", "the path of a folder"))
}

/// Returns the JSON Schema of the settings file.
#[must_use]
pub fn schema() -> Json {
    let mut properties = serde_json::Map::new();
    properties.insert("listen".to_owned(), json!({"type": "string", "description": LISTEN_DESCRIPTION}));
    properties.insert("folder".to_owned(), json!({"type": "string", "description": FOLDER_DESCRIPTION}));
    let gateways = json!({"type": "array", "items": {"type": "string"}, "minItems": 1,
                          "maxItems": MAX_GATEWAYS, "description": GATEWAYS_DESCRIPTION});
    properties.insert("gateways".to_owned(), gateways);
    for key in &INTEGER_KEYS {
        properties.insert(key.name.to_owned(), key.schema());
    }
    let required: Vec<&str> =
        ["folder", "gateways"].into_iter().chain(required_names(&INTEGER_KEYS)).collect();
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Settings of maintenance, read from the file that --maintenance names",
        "type": "object", "properties": properties, "required": required, "additionalProperties": false,
    })
}
