//! Settings of the shared state, read from the table `state` in the file that `--view` names.

use std::net::SocketAddr;

use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

use super::super::settings_keys::{IntegerKey, InvalidKey, check_known_keys, parse_address, read_flag};
use super::MAX_GATEWAYS;

const KEYS: [&str; 5] = ["gateways", "datagrams_per_s", "check", "judgements", "counts"];
/// Prefix of the names of these keys in errors.
const PREFIX: &str = "state.";

// The descriptions and error texts of the keys are recorded in tests/fixtures/compatibility/fleet.

/// Maximum number of datagrams per second for the shared state, in addition to those of the view.
const DATAGRAMS_PER_S: IntegerKey = IntegerKey {
    name: "datagrams_per_s",
    minimum: 4,
    maximum: 1000,
    default: Some(24),
    description: "Maximum number of datagrams per second that this gateway sends for the shared state, in \
                  addition to those for the membership view.",
};
/// Values of the key `judgements`.
const OUTLIER_MODES: [(&str, OutlierMode); 3] =
    [("off", OutlierMode::Off), ("tell", OutlierMode::Report), ("use", OutlierMode::Enforce)];
/// Values of the key `check`.
const CHECK_MODES: [(&str, bool); 2] = [("off", false), ("log", true)];

/// Description of `gateways`, the public addresses of all gateways in the same order at all of them.
const GATEWAYS_DESCRIPTION: &str = "Public addresses of all gateways that may run, in the same order at all \
                                    of them. Default: the addresses in 'peers' of the configuration, at the \
                                    port of 'listen'.";
/// Description of `check`: whether the invariants of the shared state are checked four times a second.
const CHECK_DESCRIPTION: &str = "Whether the invariants of the shared state are checked four times a \
                                 second; 'log' writes violations to the log.";
/// Description of `judgements`, the use of outlier reports on servers.
const OUTLIERS_DESCRIPTION: &str = "Use of outlier reports on servers: 'off' sends none, 'tell' sends and \
                                    shows them, 'use' also gives outliers no new connections.";
/// Description of `counts`: whether open connections are counted over all gateways, by server and tenant.
const COUNTS_DESCRIPTION: &str =
    "Whether open connections of each server and each tenant are counted over all gateways.";

/// Use of outlier reports on servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutlierMode {
    /// No reports are sent.
    Off,
    /// Reports are sent, and outliers are shown but still get new connections.
    Report,
    /// Reports are sent, and outliers get no new connections.
    Enforce,
}

/// Settings of the shared state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Addresses of all gateways; `None` if the file omits them, so that the configuration's `peers` apply.
    pub gateways: Option<Vec<SocketAddr>>,
    /// Maximum number of datagrams per second.
    pub max_datagrams_per_second: u32,
    /// Whether invariants are checked at each observation.
    pub check_invariants: bool,
    /// Use of outlier reports.
    pub outlier_mode: OutlierMode,
    /// Whether open connections are counted over all gateways.
    pub count_connections: bool,
}

impl Settings {
    /// Parses the table `state`.
    ///
    /// # Errors
    ///
    /// Fails if a key is invalid, which the error names.
    pub fn parse(value: &Toml) -> Result<Self, InvalidKey> {
        let table = value.as_table().ok_or_else(|| InvalidKey::new("state", value, "a table"))?;
        check_known_keys(table, PREFIX, &KEYS)?;
        let max_datagrams_per_second = DATAGRAMS_PER_S.read(table, PREFIX)?;
        let count_connections = read_flag(table, PREFIX, "counts", true)?;
        let gateways = table.get("gateways").map(parse_gateways).transpose()?;
        let check_invariants = read_choice(table, "check", &CHECK_MODES, false)?;
        let outlier_mode = read_choice(table, "judgements", &OUTLIER_MODES, OutlierMode::Report)?;
        Ok(Self { gateways, max_datagrams_per_second, check_invariants, outlier_mode, count_connections })
    }
}

fn parse_gateways(value: &Toml) -> Result<Vec<SocketAddr>, InvalidKey> {
    let key = format!("{PREFIX}gateways");
    let gateways =
        value.as_array().filter(|gateways| (1..=MAX_GATEWAYS).contains(&gateways.len())).ok_or_else(
            || InvalidKey::new(&key, value, format_args!("a list of 1 to {MAX_GATEWAYS} addresses")),
        )?;
    gateways.iter().map(|gateway| parse_address(&key, gateway)).collect()
}

fn read_choice<T: Copy>(
    table: &Table,
    name: &str,
    choices: &[(&'static str, T)],
    default: T,
) -> Result<T, InvalidKey> {
    let Some(value) = table.get(name) else { return Ok(default) };
    let chosen = choices.iter().find(|(choice, _)| value.as_str() == Some(choice));
    chosen.map(|&(_, meaning)| meaning).ok_or_else(|| {
        let names = choice_names(choices).join(", ");
        InvalidKey::new(format!("{PREFIX}{name}"), value, format_args!("one of {names}"))
    })
}

fn choice_names<T>(choices: &[(&'static str, T)]) -> Vec<&'static str> {
    choices.iter().map(|&(name, _)| name).collect()
}

/// Returns the JSON Schema of the table.
pub fn schema() -> Json {
    json!({
        "type": "object", "additionalProperties": false,
        "description": "Settings of the state that gateways share in addition to the membership view. \
                        Without this table no state is shared.",
        "properties": {
            "gateways": {"type": "array", "items": {"type": "string"}, "minItems": 1,
                         "maxItems": MAX_GATEWAYS, "description": GATEWAYS_DESCRIPTION},
            "datagrams_per_s": DATAGRAMS_PER_S.schema(),
            "check": {"enum": choice_names(&CHECK_MODES), "default": "off", "description": CHECK_DESCRIPTION},
            "judgements": {"enum": choice_names(&OUTLIER_MODES), "default": "tell",
                           "description": OUTLIERS_DESCRIPTION},
            "counts": {"type": "boolean", "default": true, "description": COUNTS_DESCRIPTION},
        },
    })
}
