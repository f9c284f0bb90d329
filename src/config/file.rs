//! Configuration file. Environment variables override some of its keys.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use super::error::invalid_value;
use super::{ConfigError, PeerAddresses, ResourceLimits};
use crate::discovery::EndpointList;
use crate::settings::{PlatformSettings, remove_nulls};

/// Key of the configuration file and the environment variable that overrides it.
struct Override {
    key: &'static str,
    variable: &'static str,
}

const ENVIRONMENT_OVERRIDES: [Override; 4] = [
    Override { key: "name", variable: "ROUTER_NAME" },
    Override { key: "listen", variable: "ROUTER_LISTEN" },
    Override { key: "discovery", variable: "ROUTER_DISCOVERY" },
    Override { key: "operator", variable: "ROUTER_OPERATOR" },
];

/// Keys of the configuration file, except those of [`PeerAddresses`].
#[derive(Deserialize)]
#[serde(expecting = "struct Told")]
pub(super) struct ConfigFile {
    pub(super) name: Option<String>,
    #[serde(default, deserialize_with = "deserialize_address")]
    pub(super) listen: Option<SocketAddr>,
    #[serde(default, deserialize_with = "deserialize_address")]
    pub(super) discovery: Option<SocketAddr>,
    #[serde(default, deserialize_with = "deserialize_address")]
    pub(super) operator: Option<SocketAddr>,
    #[serde(default, deserialize_with = "deserialize_seed")]
    pub(super) seed: u64,
    #[serde(default)]
    pub(super) limits: ResourceLimits,
    pub(super) known: Option<EndpointList>,
    pub(super) settings: Option<PlatformSettings>,
}

/// Deserializes a socket address. The error contains the text that is not an address.
fn deserialize_address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map(Some).map_err(|error| D::Error::custom(format_args!("'{text}': {error}")))
}

/// Deserializes a seed, which is a string of hex digits or an integer.
fn deserialize_seed<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(digits) => u64::from_str_radix(&digits, 16).map_err(D::Error::custom),
        other => other
            .as_u64()
            .ok_or_else(|| D::Error::custom("expected a string of hex digits or a non-negative integer")),
    }
}

/// Reads a JSON file. Blocks.
pub(super) fn read_json(path: &Path) -> Result<Value, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::unreadable_file(path, &error))?;
    serde_json::from_str(&text).map_err(|error| ConfigError::unreadable_file(path, &error))
}

/// Removes keys with the value `null`, and overrides keys by environment variables, which `variable` returns.
pub(super) fn override_by_environment(
    mut json: Value,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<Value, ConfigError> {
    let Value::Object(keys) = &mut json else {
        return Err(invalid_value("ROUTER_CONFIG", "file does not contain a JSON object"));
    };
    keys.retain(|_, value| !value.is_null());
    for Override { key, variable: name } in ENVIRONMENT_OVERRIDES {
        if let Some(value) = variable(name) {
            keys.insert(key.to_owned(), value.into());
        }
    }
    keys.entry("settings").and_modify(remove_nulls);
    Ok(json)
}

/// Deserializes the object that [`override_by_environment`] returns. The error names the key at fault, or the
/// environment variable that overrides it.
pub(super) fn deserialize<T: DeserializeOwned>(
    json: &Value,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(json).map_err(|error| {
        let key = error.path().to_string();
        let is_overridden =
            |candidate: &&Override| candidate.key == key && variable(candidate.variable).is_some();
        match ENVIRONMENT_OVERRIDES.iter().find(is_overridden) {
            Some(overridden) => invalid_value(overridden.variable, error.inner()),
            None => invalid_value(key, error.inner()),
        }
    })
}

/// Returns the addresses of the fleet's gateways; `None` if the file has no `peer_listen` or the settings do
/// not allow messages between gateways.
pub(super) fn peer_addresses(
    json: &Value,
    settings: &PlatformSettings,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<Option<PeerAddresses>, ConfigError> {
    if json.get("peer_listen").is_none() {
        return Ok(None);
    }
    let peers: PeerAddresses = deserialize(json, variable)?;
    if !settings.allows_peer_messages() {
        return Ok(None);
    }
    Ok(Some(PeerAddresses { own_index: settings.gateway_index(), ..peers }))
}
