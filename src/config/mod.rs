//! Configuration: read, checked and given defaults here alone.
//!
//! A gateway is configured by environment variables and by the JSON file that one of them names. The front ends that the
//! platform does not know have a TOML file of their own. Every error names the key at fault.

mod error;
mod file;
mod frontends;
mod limits;
mod peers;
mod reload;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

pub use error::ConfigError;
pub use frontends::{FrontendConfig, QuicConfig, VrrpConfig, decode_hex};
pub use limits::{Capacity, MAX_ADMIN_CONNECTIONS, ResourceLimits};
pub use peers::PeerAddresses;
pub use reload::{ReloadBaseline, ReloadOutcome};

use crate::discovery::EndpointList;
use crate::settings::PlatformSettings;
use error::invalid_value;
use file::ConfigFile;
use limits::{ADMIN_DESCRIPTORS, RESERVED_DESCRIPTORS};

/// A longer deadline than this counts as this for the time between SIGTERM and SIGKILL.
const MAX_GRACE_DEADLINE: Duration = Duration::from_secs(3);
/// What the platform adds to the longest deadline.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Configuration of a gateway.
pub struct Config {
    /// Name of the gateway, the same after a restart.
    pub name: String,
    /// Address for clients.
    pub listen_address: SocketAddr,
    /// Address of discovery.
    pub discovery_address: SocketAddr,
    /// Descriptor of an inherited client listener.
    pub inherited_listener: Option<i32>,
    /// Folder for what processes of this gateway share and persist.
    pub state_folder: Option<PathBuf>,
    /// Address of the admin endpoint, where there is one.
    pub admin_address: Option<SocketAddr>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Resources that the process may use.
    pub limits: ResourceLimits,
    /// Endpoint list of an earlier time, perhaps outdated.
    pub initial_list: Option<EndpointList>,
    /// The other gateways, where the settings allow messages to them.
    pub peers: Option<PeerAddresses>,
    /// Settings of the platform.
    pub settings: PlatformSettings,
    /// Longest time that a graceful shutdown may take.
    pub shutdown_grace: Duration,
    /// Values that a reload is compared with.
    pub reload_baseline: ReloadBaseline,
}

impl Config {
    /// Reads environment variables through `variable`, and the file that `ROUTER_CONFIG` names. Blocks.
    ///
    /// # Errors
    ///
    /// Fails on a missing or invalid key, which the error names.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable("ROUTER_CONFIG").ok_or(ConfigError::Missing("ROUTER_CONFIG"))?;
        let path = PathBuf::from(path);
        let json = file::read_json(&path)?;
        let mut config = Self::from_json(json, variable).map_err(|error| error.in_file(&path))?;
        config.reload_baseline.set_path(path);
        Ok(config)
    }

    /// Checks the object of the configuration file; environment variables override it.
    ///
    /// # Errors
    ///
    /// Fails on a missing or invalid key, which the error names.
    pub fn from_json(json: Value, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let reload_baseline = ReloadBaseline::of(&json);
        let object = file::override_by_environment(json, &variable)?;
        let config_file: ConfigFile = file::deserialize(&object, &variable)?;
        let name = config_file.name.ok_or(ConfigError::Missing("name"))?;
        let listen_address = config_file.listen.ok_or(ConfigError::Missing("listen"))?;
        let discovery_address = config_file.discovery.ok_or(ConfigError::Missing("discovery"))?;
        let settings = config_file.settings.ok_or(ConfigError::Missing("settings"))?;
        settings
            .validate()
            .map_err(|error| invalid_value(format!("settings.{}", error.key), error.problem))?;
        let inherited_listener = parse_inherited_listener(&variable)?;
        let state_folder = variable("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from);
        let peers = file::peer_addresses(&object, &settings, &variable)?;
        let shutdown_grace = shutdown_grace(&settings);
        Ok(Self {
            name,
            listen_address,
            discovery_address,
            inherited_listener,
            state_folder,
            admin_address: config_file.operator,
            seed: config_file.seed,
            limits: config_file.limits,
            initial_list: config_file.known,
            peers,
            settings,
            shutdown_grace,
            reload_baseline,
        })
    }

    /// The capacity for clients beside `other_descriptors` and those of the admin endpoint.
    pub fn capacity(&self, other_descriptors: usize) -> Capacity {
        self.limits.capacity(other_descriptors + self.admin_descriptors())
    }

    /// Descriptors that the process reserves for itself, `other_descriptors` among them.
    pub fn reserved_descriptors(&self, other_descriptors: usize) -> usize {
        RESERVED_DESCRIPTORS + other_descriptors + self.admin_descriptors()
    }

    fn admin_descriptors(&self) -> usize {
        if self.admin_address.is_some() { ADMIN_DESCRIPTORS } else { 0 }
    }
}

fn parse_inherited_listener(variable: &impl Fn(&str) -> Option<String>) -> Result<Option<i32>, ConfigError> {
    let Some(value) = variable("ROUTER_INHERITED_FD") else { return Ok(None) };
    match value.parse() {
        Ok(descriptor) => Ok(Some(descriptor)),
        Err(error) => Err(invalid_value("ROUTER_INHERITED_FD", format!("'{value}': {error}"))),
    }
}

fn shutdown_grace(settings: &PlatformSettings) -> Duration {
    let longest_deadline = u64::try_from(settings.longest_deadline().as_micros()).unwrap_or_default();
    Duration::from_micros(longest_deadline).min(MAX_GRACE_DEADLINE) + GRACE_MARGIN
}
