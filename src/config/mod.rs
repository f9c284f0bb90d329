//! Configuration of a gateway. Only this module reads and validates it and supplies defaults.
//!
//! A gateway is configured by environment variables and by a JSON file, which `ROUTER_CONFIG` names. The
//! front ends that the platform does not configure have a TOML file of their own. Every error names the key
//! at fault.

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

/// Upper limit of the longest class deadline in the calculation of the shutdown grace period, which is the
/// time that the platform allows between SIGTERM and SIGKILL.
const MAX_GRACE_DEADLINE: Duration = Duration::from_secs(3);
/// Time that the platform adds to the longest class deadline for the shutdown grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Configuration of a gateway.
pub struct Config {
    /// Name of the gateway. A gateway has the same name after a restart.
    pub name: String,
    /// TCP address on which the gateway accepts clients.
    pub listen_address: SocketAddr,
    /// Address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Descriptor of an inherited client listener; `None` if the process binds its own.
    pub inherited_listener: Option<i32>,
    /// Folder in which the processes of this gateway share and persist state; `None` if state is
    /// neither shared nor persisted.
    pub state_folder: Option<PathBuf>,
    /// Address of the admin endpoint; `None` if there is none.
    pub admin_address: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// Endpoint list that applies until discovery sends one; it may be outdated. `None` if there is none.
    pub initial_list: Option<EndpointList>,
    /// Addresses of the fleet's gateways; `None` if they are not configured or the settings do not allow
    /// messages between gateways.
    pub peers: Option<PeerAddresses>,
    /// Settings that the platform supplies.
    pub settings: PlatformSettings,
    /// Maximum duration of a graceful shutdown.
    pub shutdown_grace: Duration,
    /// Values at the start, with which a reload is compared.
    pub reload_baseline: ReloadBaseline,
}

impl Config {
    /// Reads environment variables through `variable`, and the file that `ROUTER_CONFIG` names. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or if a key is missing or invalid; the error names the key.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable("ROUTER_CONFIG").ok_or(ConfigError::Missing("ROUTER_CONFIG"))?;
        let path = PathBuf::from(path);
        let json = file::read_json(&path)?;
        let mut config = Self::from_json(json, variable).map_err(|error| error.in_file(&path))?;
        config.reload_baseline.set_path(path);
        Ok(config)
    }

    /// Parses and validates the JSON object of the configuration file. Environment variables override its
    /// keys.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing or invalid; the error names the key.
    pub fn from_json(json: Value, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let reload_baseline = ReloadBaseline::from_json(&json);
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

    /// Returns the capacity for clients, if `other_descriptors` are reserved in addition to those of the
    /// admin endpoint.
    pub fn capacity(&self, other_descriptors: usize) -> Capacity {
        self.limits.capacity(other_descriptors + self.admin_descriptors())
    }

    /// Returns the number of descriptors that are not available for clients, `other_descriptors` included.
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
