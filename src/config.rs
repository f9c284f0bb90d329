//! The one place where configuration is read, checked and given defaults.
//!
//! A balancer is told of itself by the environment and by the JSON file that it names. Every error
//! names the key at fault.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use serde_inline_default::serde_inline_default;
use serde_json::Value;
use smart_default::SmartDefault;

use crate::discovery::EndpointList;
use crate::quic::header::MAX_CONNECTION_ID_LENGTH;
use crate::quic::placing::MIN_ROUTABLE_ID_LENGTH;
use crate::settings::{PlatformSettings, remove_nulls};
use crate::vrrp;

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key that must be there is not.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A key's value cannot be used.
    #[error("{key}: {problem}")]
    InvalidValue {
        /// Which key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A file cannot be read.
    #[error("{path}: {problem}")]
    UnreadableFile {
        /// Which file.
        path: PathBuf,
        /// What is wrong with it.
        problem: String,
    },
    /// What a file says cannot be used.
    #[error("{error}, in {path}")]
    InFile {
        /// Which file.
        path: PathBuf,
        /// What is wrong, with its key.
        error: Box<ConfigError>,
    },
}

impl ConfigError {
    /// The error of a key of this file; a variable's is not the file's.
    fn in_file(self, path: &Path) -> Self {
        let key = match &self {
            Self::Missing(key) => key,
            Self::InvalidValue { key, .. } => key.as_str(),
            Self::UnreadableFile { .. } | Self::InFile { .. } => return self,
        };
        if key.starts_with("ROUTER_") && key != "ROUTER_CONFIG" {
            return self;
        }
        Self::InFile { path: path.to_owned(), error: Box::new(self) }
    }
}

fn invalid_value(key: impl Into<String>, problem: impl ToString) -> ConfigError {
    ConfigError::InvalidValue { key: key.into(), problem: problem.to_string() }
}

/// Descriptors kept for what is neither a client nor its server: the runtime and standard streams,
/// listeners, discovery, probes, and what is closed a moment later than it is counted, as clients that were
/// displaced.
const RESERVED_DESCRIPTORS: usize = 32;
/// Callers whom the operators' door has inside at most.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Descriptors of the door: its callers, its listener and its runtime.
const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + 4;
/// Clients without a session that always find room.
const MIN_PENDING_CLIENTS: usize = 52;
/// What a pair of sockets may hold in memory, at most: a line each way and the bookkeeping.
const BYTES_PER_SESSION: usize = 32 << 10;

/// What the platform sets as limits.
#[derive(Debug, Clone, Deserialize, SmartDefault)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory in megabytes.
    #[default = 256]
    pub memory_mb: usize,
    /// Open descriptors.
    #[default = 1024]
    pub sockets: usize,
}

/// How the descriptors are shared out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// All that clients and the connections to their servers may hold.
    pub descriptors: usize,
    /// Clients with a session: two sockets each.
    pub max_sessions: usize,
}

impl Capacity {
    /// How many clients may have a session while another process of this balancer uses `beside`
    /// descriptors.
    pub fn session_limit(&self, sibling_descriptors: usize) -> usize {
        self.max_sessions.min(
            self.descriptors
                .saturating_sub(sibling_descriptors + MIN_PENDING_CLIENTS.min(self.descriptors / 3))
                / 2,
        )
    }

    /// How many clients may be without a session while this many have one, and `beside` as above.
    pub fn pending_limit(&self, sessions: usize, sibling_descriptors: usize) -> usize {
        self.descriptors.saturating_sub(2 * sessions + sibling_descriptors).max(1)
    }
}

impl ResourceLimits {
    /// The room for clients beside `others` sockets, within the memory.
    pub fn capacity(&self, other_descriptors: usize) -> Capacity {
        let by_memory = ((self.memory_mb << 20) / 2 / BYTES_PER_SESSION).max(2);
        let sockets =
            self.sockets.saturating_sub(RESERVED_DESCRIPTORS + other_descriptors).min(2 * by_memory).max(3);
        let waiting = MIN_PENDING_CLIENTS.min(sockets / 3);
        Capacity { descriptors: sockets, max_sessions: (sockets - waiting) / 2 }
    }
}

/// The gateways of this tier, as they reach each other.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct PeerAddresses {
    /// Where this one hears.
    #[serde(rename = "peer_listen")]
    pub listen: SocketAddr,
    /// Each of them, by its number.
    #[serde(rename = "peers", default)]
    pub by_index: Vec<SocketAddr>,
    /// One address that stands for all.
    #[serde(rename = "peers_all")]
    pub shared: Option<SocketAddr>,
    /// This one's number.
    #[serde(skip)]
    pub own_index: u32,
}

impl PeerAddresses {
    /// All but this one.
    pub fn other_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let other = |&(at, _): &(usize, &SocketAddr)| at != self.own_index as usize;
        self.by_index.iter().enumerate().filter(other).map(|(_, &peer)| peer)
    }
}

/// All that a balancer is told.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where discovery answers.
    pub discovery_address: SocketAddr,
    /// The descriptor of a listener for clients that the process has inherited, if there is one.
    pub inherited_listener: Option<i32>,
    /// What may be written to, and is shared with another process of this balancer.
    pub state_folder: Option<PathBuf>,
    /// Where operators call, if they may.
    pub admin_address: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: ResourceLimits,
    /// The server list as last held, perhaps old.
    pub initial_list: Option<EndpointList>,
    /// The other gateways, where the settings allow to tell them anything.
    pub peers: Option<PeerAddresses>,
    /// The settings object.
    pub settings: PlatformSettings,
    /// How long a planned stop may take.
    pub shutdown_grace: Duration,
    /// What a reload compares with.
    pub reload_baseline: ReloadBaseline,
}

/// Keys of the file that take effect at a start only. `seed` and `known` are of a start by nature.
const KEYS_READ_AT_START: [&str; 8] =
    ["name", "listen", "operator", "limits", "settings", "peer_listen", "peers", "peers_all"];

/// The configuration that runs, as a reload needs it.
#[derive(Debug, Clone, Default)]
pub struct ReloadBaseline {
    /// The file, where there is one.
    path: PathBuf,
    /// Values of [`AT_START`] that run: those of the start, whatever was read since.
    active_values: Vec<Value>,
}

impl Config {
    /// The room for clients beside `others` sockets and the door's.
    pub fn capacity(&self, other_descriptors: usize) -> Capacity {
        self.limits.capacity(other_descriptors + self.admin_address.map_or(0, |_| ADMIN_DESCRIPTORS))
    }

    /// Descriptors that the process keeps for itself, beside `others`.
    pub fn reserved_descriptors(&self, other_descriptors: usize) -> usize {
        RESERVED_DESCRIPTORS + other_descriptors + self.admin_address.map_or(0, |_| ADMIN_DESCRIPTORS)
    }
}

/// What a reload brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadOutcome {
    /// Where discovery answers from now on.
    pub discovery_address: SocketAddr,
    /// Keys that have changed and need a restart.
    pub keys_needing_restart: Vec<&'static str>,
    /// What is legal and perhaps not meant.
    pub warnings: Vec<String>,
}

impl ReloadBaseline {
    fn values_read_at_start(json: &Value) -> Vec<Value> {
        KEYS_READ_AT_START.iter().map(|&key| json[key].clone()).collect()
    }

    /// Reads the file again. Blocks.
    ///
    /// # Errors
    ///
    /// Fails on a missing or unusable key, and says which; what runs is to be kept then.
    pub fn reload_from_file(
        &self,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadOutcome, ConfigError> {
        let json = read_json(&self.path)?;
        self.reload_from_json(json, var).map_err(|error| error.in_file(&self.path))
    }

    /// Checks the file's new object. The environment was set at the start and cannot follow the
    /// file, so `discovery` of the file goes before it here.
    ///
    /// # Errors
    ///
    /// Fails on a missing or unusable key, and says which.
    pub fn reload_from_json(
        &self,
        json: Value,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadOutcome, ConfigError> {
        let file_first = json["discovery"] != Value::Null;
        let fixed = Self::values_read_at_start(&json);
        let var = |name: &str| (name != "ROUTER_DISCOVERY" || !file_first).then(|| var(name)).flatten();
        let config = Config::from_json(json, var)?;
        let changed = KEYS_READ_AT_START.into_iter().zip(self.active_values.iter().zip(&fixed));
        let restart = changed.filter(|(_, (runs, new))| runs != new).map(|(key, _)| key).collect();
        Ok(ReloadOutcome {
            discovery_address: config.discovery_address,
            keys_needing_restart: restart,
            warnings: config.settings.warnings(),
        })
    }
}

fn read_json(path: &Path) -> Result<Value, ConfigError> {
    let file = |problem: String| ConfigError::UnreadableFile { path: path.to_owned(), problem };
    let text = std::fs::read_to_string(path).map_err(|e| file(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| file(e.to_string()))
}

/// Keys that the environment goes before, with the variables.
const ENVIRONMENT_OVERRIDES: [(&str, &str); 4] = [
    ("name", "ROUTER_NAME"),
    ("listen", "ROUTER_LISTEN"),
    ("discovery", "ROUTER_DISCOVERY"),
    ("operator", "ROUTER_OPERATOR"),
];

/// The file's object, with the environment over it.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    #[serde(default, deserialize_with = "address")]
    listen: Option<SocketAddr>,
    #[serde(default, deserialize_with = "address")]
    discovery: Option<SocketAddr>,
    #[serde(default, deserialize_with = "address")]
    operator: Option<SocketAddr>,
    #[serde(default, deserialize_with = "seed")]
    seed: u64,
    #[serde(default)]
    limits: ResourceLimits,
    known: Option<EndpointList>,
    settings: Option<PlatformSettings>,
}

/// An address, shown in the error where it is none.
fn address<'de, D: Deserializer<'de>>(from: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = String::deserialize(from)?;
    text.parse().map(Some).map_err(|e| D::Error::custom(format_args!("'{text}': {e}")))
}

fn seed<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    match Value::deserialize(from)? {
        Value::String(hex) => u64::from_str_radix(&hex, 16).map_err(D::Error::custom),
        other => other.as_u64().ok_or_else(|| D::Error::custom("not a whole number")),
    }
}

/// The longest deadline counts as this where it is longer, for the time between SIGTERM and SIGKILL.
const MAX_GRACE_DEADLINE: Duration = Duration::from_secs(3);
/// What the platform adds to that.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

impl Config {
    /// Reads the environment through `var`, and the file that it names.
    ///
    /// # Errors
    ///
    /// Fails on a missing or unusable key, and says which.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = PathBuf::from(var("ROUTER_CONFIG").ok_or(ConfigError::Missing("ROUTER_CONFIG"))?);
        let mut config = Self::from_json(read_json(&path)?, var).map_err(|error| error.in_file(&path))?;
        config.reload_baseline.path = path;
        Ok(config)
    }

    /// Checks the object of the configuration file; the environment goes before it.
    ///
    /// # Errors
    ///
    /// Fails on a missing or unusable key, and says which.
    pub fn from_json(mut json: Value, var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let standing = ReloadBaseline {
            path: PathBuf::new(),
            active_values: ReloadBaseline::values_read_at_start(&json),
        };
        let Value::Object(keys) = &mut json else {
            return Err(invalid_value("ROUTER_CONFIG", "no object in the file"));
        };
        keys.retain(|_, value| !value.is_null());
        for (key, name) in ENVIRONMENT_OVERRIDES {
            if let Some(value) = var(name) {
                keys.insert(key.to_owned(), value.into());
            }
        }
        keys.entry("settings").and_modify(remove_nulls);
        let faulty = |error: serde_path_to_error::Error<serde_json::Error>| {
            let path = error.path().to_string();
            let over =
                ENVIRONMENT_OVERRIDES.into_iter().find(|&(key, name)| key == path && var(name).is_some());
            invalid_value(over.map_or(path, |(_, name)| name.to_owned()), error.inner())
        };
        let told: ConfigFile = serde_path_to_error::deserialize(&json).map_err(faulty)?;
        let name = told.name.ok_or(ConfigError::Missing("name"))?;
        let listen = told.listen.ok_or(ConfigError::Missing("listen"))?;
        let discovery = told.discovery.ok_or(ConfigError::Missing("discovery"))?;
        let facts = told.settings.ok_or(ConfigError::Missing("settings"))?;
        facts.validate().map_err(|error| invalid_value(format!("settings.{}", error.key), error.problem))?;
        let inherited = var("ROUTER_INHERITED_FD")
            .map(|value| {
                value.parse().map_err(|e| invalid_value("ROUTER_INHERITED_FD", format!("'{value}': {e}")))
            })
            .transpose()?;
        let folder = var("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from);
        let peers = match json.get("peer_listen") {
            Some(_) => Some(serde_path_to_error::deserialize(&json).map_err(faulty)?),
            None => None,
        };
        let peers = peers
            .filter(|_| facts.allows_peer_messages())
            .map(|peers| PeerAddresses { own_index: facts.gateway_index(), ..peers });
        let longest = u64::try_from(facts.longest_deadline().as_micros()).unwrap_or_default();
        let grace = Duration::from_micros(longest).min(MAX_GRACE_DEADLINE) + GRACE_MARGIN;
        Ok(Self {
            name,
            listen_address: listen,
            inherited_listener: inherited,
            state_folder: folder,
            discovery_address: discovery,
            admin_address: told.operator,
            seed: told.seed,
            limits: told.limits,
            initial_list: told.known,
            peers,
            settings: facts,
            shutdown_grace: grace,
            reload_baseline: standing,
        })
    }
}

/// The QUIC front, as a deploy file has it.
#[serde_inline_default]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuicConfig {
    /// Where clients come.
    pub listen: SocketAddr,
    /// The class of its connections, as the settings name it.
    pub class: String,
    /// Their tenant.
    pub tenant: Option<String>,
    /// How long an Initial may wait for its server.
    pub deadline_ms: u32,
    /// Bytes of the ids that servers issue.
    #[serde_inline_default(12)]
    pub id_length: usize,
    /// The configuration's number in those ids.
    #[serde(default)]
    pub rotation: u8,
    /// The site's shared key for reset tokens, in hex. Without it the key is random: clients cannot
    /// tell resets by it, and learn only from their own time-outs.
    pub reset_key: Option<String>,
    /// Sockets towards servers, one for each address that a connection is seen under.
    #[serde_inline_default(256)]
    pub paths: usize,
    /// A connection over which nothing has come for so long is over.
    #[serde_inline_default(30_000)]
    pub idle_ms: u32,
}

/// The bytes that a row of hex digits tells.
pub fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.len() % 2 == 0 && text.is_ascii();
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).ok();
    digits.then(|| (0..text.len()).step_by(2).map(byte).collect()).flatten()
}

impl QuicConfig {
    /// The shared key's bytes, where one is given.
    pub fn reset_key_bytes(&self) -> Option<Vec<u8>> {
        self.reset_key.as_deref().and_then(decode_hex)
    }
}

/// The virtual router that gates the QUIC front, as a deploy file has it.
#[serde_inline_default]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VrrpConfig {
    /// Its number.
    pub router: u8,
    /// Its priority; the address's owner has 255.
    pub priority: u8,
    /// Milliseconds between advertisements, a multiple of 10.
    #[serde_inline_default(1000)]
    pub interval_ms: u32,
    /// Whether it takes over from an active router of lower priority.
    #[serde_inline_default(true)]
    pub preempt: bool,
    /// Where advertisements come.
    pub listen: SocketAddr,
    /// The other routers of the same number.
    pub peers: Vec<SocketAddr>,
    /// The virtual addresses.
    #[serde(default)]
    pub addresses: Vec<Ipv4Addr>,
}

impl VrrpConfig {
    /// What the state machine is told.
    pub fn virtual_router_config(&self) -> vrrp::VirtualRouterConfig {
        vrrp::VirtualRouterConfig {
            virtual_router_id: self.router,
            priority: self.priority,
            advertisement_interval: u16::try_from(self.interval_ms / 10).unwrap_or(u16::MAX),
            preempt: self.preempt,
            addresses: self.addresses.clone(),
        }
    }
}

/// A deploy file for what the platform does not have: the QUIC front, and the router that gates it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontendConfig {
    /// The QUIC front.
    pub quic: Option<QuicConfig>,
    /// Its virtual router.
    pub vrrp: Option<VrrpConfig>,
}

impl FrontendConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file = |problem: String| ConfigError::UnreadableFile { path: path.to_owned(), problem };
        let text = std::fs::read_to_string(path).map_err(|e| file(e.to_string()))?;
        Self::parse(&text).map_err(|e| file(e.to_string()))
    }

    /// Checks a file's text.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let fronts: Self = toml::from_str(text).map_err(|e| invalid_value("deploy file", e))?;
        let check = |good: bool, key: &str, problem: &str| {
            if good { Ok(()) } else { Err(invalid_value(key, problem)) }
        };
        if let Some(quic) = &fronts.quic {
            check(quic.deadline_ms > 0, "quic.deadline_ms", "must be over 0")?;
            check(
                (MIN_ROUTABLE_ID_LENGTH..=MAX_CONNECTION_ID_LENGTH).contains(&quic.id_length),
                "quic.id_length",
                "must be 9 to 20",
            )?;
            check(quic.rotation < 7, "quic.rotation", "must be 0 to 6")?;
            check(quic.paths > 0, "quic.paths", "must be over 0")?;
            check(quic.idle_ms >= 1000, "quic.idle_ms", "must be 1000 or more")?;
            let key = quic.reset_key.is_none() || quic.reset_key_bytes().is_some_and(|key| key.len() >= 16);
            check(key, "quic.reset_key", "must be 32 or more hex digits")?;
        }
        if let Some(vrrp) = &fronts.vrrp {
            check(fronts.quic.is_some(), "vrrp", "there is no [quic] that it could gate")?;
            check(vrrp.router > 0, "vrrp.router", "must be 1 to 255")?;
            check(vrrp.priority > 0, "vrrp.priority", "must be 1 to 255")?;
            let ticks = vrrp.interval_ms % 10 == 0 && (10..=40_950).contains(&vrrp.interval_ms);
            check(ticks, "vrrp.interval_ms", "must be a multiple of 10 up to 40950")?;
            check(vrrp.addresses.len() <= 16, "vrrp.addresses", "must be 16 at most")?;
        }
        Ok(fronts)
    }
}
