//! The file of `--view`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ashtide_fleet::ViewConfig;
use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

use super::super::settings_keys::{IntegerKey, InvalidKey, check_known_keys, parse_address, required_names};
use super::super::shared_state::{self, GatewaySlots};

/// Seeds that a file may name.
pub const MAX_SEEDS: usize = 64;

const FLEET_ID: IntegerKey = IntegerKey {
    name: "tier",
    minimum: 1,
    maximum: u32::MAX,
    default: None,
    description: "The tier's key, the same at all its gateways and at none of another tier.",
};
const SIZE: IntegerKey = IntegerKey {
    name: "size",
    minimum: 2,
    maximum: 8192,
    default: Some(9),
    description: "About how many gateways there are; suspicions last by its logarithm.",
};
const DATAGRAMS_PER_S: IntegerKey = IntegerKey {
    name: "datagrams_per_s",
    minimum: 16,
    maximum: 1000,
    default: Some(24),
    description: "Datagrams a second that this gateway sends at most.",
};
const BURST: IntegerKey = IntegerKey {
    name: "burst",
    minimum: 16,
    maximum: 256,
    default: Some(48),
    description: "How many of them at once.",
};
const INTEGER_KEYS: [IntegerKey; 4] = [FLEET_ID, SIZE, DATAGRAMS_PER_S, BURST];
const OTHER_KEYS: [&str; 4] = ["listen", "public", "seeds", "state"];

const LISTEN_DESCRIPTION: &str =
    "Where this gateway hears, and what it is known by: an address of its own, not 0.0.0.0.";
const PUBLIC_DESCRIPTION: &str =
    "What the others know this gateway by, where addresses are translated on the way. Without it: 'listen'.";
const SEEDS_DESCRIPTION: &str = "Gateways to join by, any that are usually there. Without it: the configuration's \
                                 'peers', at the port of 'listen'. Empty where this is the first.";

/// Why the view's settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The file cannot be read.
    #[error("view: {path}: {problem}")]
    File {
        /// Which file.
        path: PathBuf,
        /// What the system reports.
        problem: std::io::Error,
    },
    /// The file is not TOML.
    #[error("view: found {}; expected TOML", .0.to_string().trim())]
    Syntax(#[from] toml::de::Error),
    /// A key's value, or its absence, cannot be used.
    #[error("view: {0}")]
    Key(#[from] InvalidKey),
}

impl ViewError {
    /// The error followed by what an operator can do, for the log.
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "name a file that this process may read, or leave --view out",
            Self::Syntax(_) => "compare the file with deploy/view.toml",
            Self::Key(_) => "correct the key; deploy/view.schema.json says what each may be",
        }
    }
}

/// What the file of `--view` says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address that this gateway receives datagrams at.
    pub listen: SocketAddr,
    /// Address that other gateways know this one by.
    pub public: SocketAddr,
    /// Gateways to join by; none where the file leaves that to the configuration.
    pub seeds: Option<Vec<SocketAddr>>,
    /// Settings of the membership protocol.
    pub view: ViewConfig,
    /// Settings of the shared state; none where the file has no table for it.
    pub shared_state: Option<shared_state::Settings>,
}

impl Settings {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read, is not TOML, or has a key that cannot be used.
    pub fn read(path: &Path) -> Result<Self, ViewError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| ViewError::File { path: path.to_owned(), problem })?;
        Self::parse(&text)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Fails where the text is not TOML, or names the key that cannot be used.
    pub fn parse(text: &str) -> Result<Self, ViewError> {
        let table: Table = text.parse()?;
        let known: Vec<&str> =
            OTHER_KEYS.into_iter().chain(INTEGER_KEYS.iter().map(|key| key.name)).collect();
        check_known_keys(&table, "", &known)?;
        let listen = parse_listen_address(&table)?;
        let public = match table.get("public") {
            Some(value) => parse_address("public", value)?,
            None => listen,
        };
        let shared_state = table.get("state").map(shared_state::Settings::parse).transpose()?;
        let view = ViewConfig {
            fleet_id: FLEET_ID.read(&table, "")?,
            expected_members: SIZE.read(&table, "")?,
            datagrams_per_second: DATAGRAMS_PER_S.read(&table, "")?,
            burst: BURST.read(&table, "")?,
        };
        let seeds = table.get("seeds").map(parse_seeds).transpose()?;
        Ok(Self { listen, public, seeds, view, shared_state })
    }

    /// The slots of all gateways that may be there. Where the file does not list them, they are `peers`, the
    /// configuration's, at the port of `listen`.
    ///
    /// # Errors
    ///
    /// Fails where neither names this gateway, or one is named twice.
    pub fn gateway_slots(&self, peers: Option<&[SocketAddr]>) -> Result<GatewaySlots, ViewError> {
        let listed = self.shared_state.as_ref().and_then(|state| state.gateways.clone());
        let gateways = match (listed, peers) {
            (Some(listed), _) => listed,
            (None, Some(peers)) => peers.iter().map(|peer| self.at_listen_port(peer)).collect(),
            (None, None) => Vec::new(),
        };
        Ok(GatewaySlots::new(gateways, self.public)?)
    }

    /// The gateways to join by. Where the file does not list them, they are `peers`, the configuration's, at the port
    /// of `listen`.
    ///
    /// # Errors
    ///
    /// Fails where neither names any.
    pub fn seeds_or_peers(&self, peers: Option<Vec<SocketAddr>>) -> Result<Vec<SocketAddr>, ViewError> {
        if let Some(seeds) = &self.seeds {
            return Ok(seeds.clone());
        }
        let expected = "a list of addresses, or 'peers' in the configuration; [] for the first gateway";
        let peers =
            peers.filter(|peers| !peers.is_empty()).ok_or_else(|| InvalidKey::missing("seeds", expected))?;
        let addresses = peers.iter().map(|peer| self.at_listen_port(peer));
        Ok(addresses.filter(|&address| address != self.listen).take(MAX_SEEDS).collect())
    }

    fn at_listen_port(&self, peer: &SocketAddr) -> SocketAddr {
        SocketAddr::new(peer.ip(), self.listen.port())
    }
}

fn parse_listen_address(table: &Table) -> Result<SocketAddr, InvalidKey> {
    let absent = Toml::String(String::new());
    let listen = parse_address("listen", table.get("listen").unwrap_or(&absent))?;
    if listen.ip().is_unspecified() || listen.port() == 0 {
        let expected = "an address and port that others reach this gateway by";
        return Err(InvalidKey::new("listen", listen, expected));
    }
    Ok(listen)
}

fn parse_seeds(value: &Toml) -> Result<Vec<SocketAddr>, InvalidKey> {
    let seeds = value.as_array().filter(|seeds| seeds.len() <= MAX_SEEDS).ok_or_else(|| {
        InvalidKey::new("seeds", value, format_args!("a list of at most {MAX_SEEDS} addresses"))
    })?;
    seeds.iter().map(|seed| parse_address("seeds", seed)).collect()
}

/// The JSON Schema of the file.
pub fn schema() -> Json {
    let mut properties = serde_json::Map::new();
    properties.insert("listen".to_owned(), json!({"type": "string", "description": LISTEN_DESCRIPTION}));
    properties.insert("public".to_owned(), json!({"type": "string", "description": PUBLIC_DESCRIPTION}));
    properties.insert("state".to_owned(), shared_state::schema());
    let seeds = json!({
        "type": "array",
        "items": {"type": "string"},
        "maxItems": MAX_SEEDS,
        "description": SEEDS_DESCRIPTION,
    });
    properties.insert("seeds".to_owned(), seeds);
    for key in &INTEGER_KEYS {
        properties.insert(key.name.to_owned(), key.schema());
    }
    let required: Vec<&str> = std::iter::once("listen").chain(required_names(&INTEGER_KEYS)).collect();
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "The fleet view's settings, the file of --view",
        "type": "object", "properties": properties, "required": required, "additionalProperties": false,
    })
}
