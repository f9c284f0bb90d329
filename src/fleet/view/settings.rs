//! Settings of the membership view, read from the file that `--view` names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ashtide_fleet::ViewConfig;
use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

use super::super::settings_keys::{IntegerKey, InvalidKey, check_known_keys, parse_address, required_names};
use super::super::shared_state::{self, GatewaySlots};

/// Maximum number of seeds in a settings file.
pub const MAX_SEEDS: usize = 64;

// The descriptions and error texts of the keys are recorded in tests/fixtures/compatibility/fleet.

/// Key of the fleet: the same at all of its gateways, and unique among fleets.
const FLEET_ID: IntegerKey = IntegerKey {
    name: "tier",
    minimum: 1,
    maximum: u32::MAX,
    default: None,
    description: "Key of the fleet: the same at all of its gateways, and different from the keys of other \
                  fleets.",
};
/// Approximate number of gateways. The duration of a suspicion grows as its logarithm.
const SIZE: IntegerKey = IntegerKey {
    name: "size",
    minimum: 2,
    maximum: 8192,
    default: Some(9),
    description: "Approximate number of gateways. The duration of a suspicion grows as its logarithm.",
};
/// Maximum number of datagrams per second that this gateway sends for the view.
const DATAGRAMS_PER_S: IntegerKey = IntegerKey {
    name: "datagrams_per_s",
    minimum: 16,
    maximum: 1000,
    default: Some(24),
    description: "Maximum number of datagrams per second that this gateway sends for the membership view.",
};
/// Maximum number of datagrams that this gateway sends at once.
const BURST: IntegerKey = IntegerKey {
    name: "burst",
    minimum: 16,
    maximum: 256,
    default: Some(48),
    description: "Maximum number of datagrams that this gateway sends at once for the membership view.",
};
const INTEGER_KEYS: [IntegerKey; 4] = [FLEET_ID, SIZE, DATAGRAMS_PER_S, BURST];
const OTHER_KEYS: [&str; 4] = ["listen", "public", "seeds", "state"];

/// Description of `listen`, the UDP address on which this gateway receives datagrams. Other gateways identify
/// it by this address.
const LISTEN_DESCRIPTION: &str = "UDP address on which this gateway receives datagrams and by which other \
                                  gateways identify it. It must not be unspecified, as 0.0.0.0 is.";
/// Description of `public`, the address at which other gateways reach this one if addresses are translated.
const PUBLIC_DESCRIPTION: &str = "Address by which other gateways identify and reach this one if addresses \
                                  are translated between them. Default: the value of 'listen'.";
/// Description of `seeds`, the gateways through which this one joins. The first gateway has none.
const SEEDS_DESCRIPTION: &str = "Addresses of gateways through which this one joins; choose gateways that \
                                 are usually running. Empty for the first gateway. Default: the addresses \
                                 in 'peers' of the configuration, at the port of 'listen'.";

/// An error in the settings of the view.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The file cannot be read.
    #[error("view: {path}: {problem}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error that the operating system returned.
        problem: std::io::Error,
    },
    /// The file is not TOML.
    #[error("view: found {}; expected TOML", .0.to_string().trim())]
    Syntax(#[from] toml::de::Error),
    /// A key has an invalid value, is unknown, or is required and absent.
    #[error("view: {0}")]
    Key(#[from] InvalidKey),
}

impl ViewError {
    /// Returns the error and the operator's remedy, for the log.
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// Returns the operator's remedy.
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "pass a file that this process can read, or omit --view",
            Self::Syntax(_) => "compare the file with deploy/view.toml",
            Self::Key(_) => "correct the key; deploy/view.schema.json describes the valid values",
        }
    }
}

/// Settings of the membership view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// UDP address on which this gateway receives datagrams.
    pub listen: SocketAddr,
    /// Address at which other gateways reach this one.
    pub public: SocketAddr,
    /// Gateways through which this one joins; `None` if the file omits them, so that the configuration's
    /// `peers` apply.
    pub seeds: Option<Vec<SocketAddr>>,
    /// Settings of the membership protocol.
    pub view: ViewConfig,
    /// Settings of the shared state; `None` if the file has no table `state`.
    pub shared_state: Option<shared_state::Settings>,
}

impl Settings {
    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not TOML, or has an invalid key.
    pub fn read(path: &Path) -> Result<Self, ViewError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| ViewError::File { path: path.to_owned(), problem })?;
        Self::parse(&text)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML or has an invalid key, which the error names.
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

    /// Returns the slots of all gateways. If the file does not list the gateways, they are `peers` of the
    /// configuration, at the port of `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the list lacks this gateway or has a gateway twice.
    pub fn gateway_slots(&self, peers: Option<&[SocketAddr]>) -> Result<GatewaySlots, ViewError> {
        let listed = self.shared_state.as_ref().and_then(|state| state.gateways.clone());
        let gateways = match (listed, peers) {
            (Some(listed), _) => listed,
            (None, Some(peers)) => peers.iter().map(|peer| self.at_listen_port(peer)).collect(),
            (None, None) => Vec::new(),
        };
        Ok(GatewaySlots::new(gateways, self.public)?)
    }

    /// Returns the gateways through which this one joins. If the file does not list them, they are `peers` of
    /// the configuration, at the port of `listen`.
    ///
    /// # Errors
    ///
    /// Fails if neither the file nor the configuration has any.
    pub fn seeds_or_peers(&self, peers: Option<Vec<SocketAddr>>) -> Result<Vec<SocketAddr>, ViewError> {
        if let Some(seeds) = &self.seeds {
            return Ok(seeds.clone());
        }
        let expected =
            "a list of addresses here or in 'peers' of the configuration; [] for the first gateway";
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
        let expected = "an IP address and a port at which other gateways can reach this one";
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

/// Returns the JSON Schema of the settings file.
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
        "title": "Settings of the membership view, read from the file that --view names",
        "type": "object", "properties": properties, "required": required, "additionalProperties": false,
    })
}
