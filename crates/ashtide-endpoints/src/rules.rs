//! Rules that the JSON Schema cannot express: unique names and addresses, allowed networks, and the digest.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, LazyLock};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use jsonschema::Validator;
use prefix_trie::PrefixSet;
use sha2::{Digest, Sha256};

use crate::document::{Document, Entry, schema};
use crate::generation::Server;
use crate::problem::Problems;
use crate::value;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 20;
/// Maximum number of servers of a list, over all its files.
pub const MAX_SERVERS: usize = 100_000;
/// Maximum number of files of a list.
pub const MAX_FRAGMENTS: usize = 64;

/// Limits that the daemon sets on lists, in addition to those in the files.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Minimum share of the previous list's servers that a new list has to retain, from 0 to 1. It does not
    /// apply to a list with `replace = true`.
    pub min_retained_share: f64,
    /// Addresses on which this daemon listens. A server at one of them is rejected, because the daemon would
    /// connect to itself.
    pub own_addresses: Vec<SocketAddr>,
    /// Networks that contain all servers, whatever a file allows; any address is allowed if there are none.
    pub allowed_networks: Vec<IpNet>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { min_retained_share: 0.5, own_addresses: Vec::new(), allowed_networks: Vec::new() }
    }
}

/// Schema against which files are validated. It is generated from the types in this crate, and a test
/// compiles it, so that it is `None` only in a faulty build.
static SCHEMA: LazyLock<Option<Validator>> = LazyLock::new(|| jsonschema::validator_for(&schema()).ok());

/// Content of one file that has passed all checks of a single file.
#[derive(Debug, Clone, PartialEq)]
pub struct Fragment {
    /// Name of the file, as given by the caller that read it.
    pub file: String,
    /// Publisher's number of the edition, [`Document::generation`].
    pub generation: Option<u64>,
    /// Whether the list may drop most of the previous servers, [`Document::replace`].
    pub replace: bool,
    /// Precedence of the file, [`Document::precedence`].
    pub precedence: i32,
    /// Servers of the file, with the defaults applied.
    pub servers: Vec<Server>,
}

/// Set of IPv4 and IPv6 networks, which finds the network that contains an address.
#[derive(Default)]
struct NetworkSet {
    v4: PrefixSet<Ipv4Net>,
    v6: PrefixSet<Ipv6Net>,
    non_empty: bool,
}

impl NetworkSet {
    fn add(&mut self, network: IpNet) {
        self.non_empty = true;
        match network.trunc() {
            IpNet::V4(network) => _ = self.v4.insert(network),
            IpNet::V6(network) => _ = self.v6.insert(network),
        }
    }

    /// Returns the smallest network that contains this address, `None` if there is none.
    fn find(&self, ip: IpAddr) -> Option<IpNet> {
        match ip {
            IpAddr::V4(ip) => self.v4.get_lpm(&Ipv4Net::from(ip)).map(IpNet::V4),
            IpAddr::V6(ip) => self.v6.get_lpm(&Ipv6Net::from(ip)).map(IpNet::V6),
        }
    }
}

impl Fragment {
    /// Reads and checks one file. All problems are reported together, except for those that can only be found
    /// once others are corrected: the servers are not checked if the text cannot be parsed or does not match
    /// the schema.
    ///
    /// # Errors
    ///
    /// Fails with all problems, each with its location, what was found and what was expected.
    pub fn read(file: &str, bytes: &[u8], limits: &Limits) -> Result<Self, Problems> {
        if bytes.len() > MAX_FILE_BYTES {
            let found = format!("{} bytes", bytes.len());
            return Err(Problems::single(file, "", found, "at most 64 MiB"));
        }
        let value = value::parse(file, bytes)?;
        let mut problems = Problems::default();
        match &*SCHEMA {
            Some(validator) => {
                for error in validator.iter_errors(&value) {
                    let found = match error.instance().as_ref() {
                        value @ (serde_json::Value::Object(_) | serde_json::Value::Array(_)) => {
                            container_type(value).to_owned()
                        }
                        value => value.to_string(),
                    };
                    problems.add(file, error.instance_path().to_string(), found, error.to_string());
                }
            }
            None => problems.add(file, "", "an invalid built-in schema", "a schema that compiles"),
        }
        problems.ok_or_problems(())?;
        let document: Document = serde_json::from_value(value).map_err(|error| {
            Problems::single(file, "", error.to_string(), "a document that matches the schema")
        })?;
        Self::check(file, &document, limits)
    }

    fn check(file: &str, document: &Document, limits: &Limits) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut parse_networks = |key: &str, texts: &[String]| {
            let mut networks = NetworkSet::default();
            for (number, text) in texts.iter().enumerate() {
                match text.parse::<IpNet>() {
                    Ok(network) => networks.add(network),
                    Err(_) => {
                        let location = format!("/networks/{key}/{number}");
                        problems.add(file, location, format!("'{text}'"), "a network such as 10.1.0.0/16");
                    }
                }
            }
            networks
        };
        let networks = &document.networks;
        let (allow, deny) =
            (parse_networks("allow", &networks.allow), parse_networks("deny", &networks.deny));
        let mut settings_allow = NetworkSet::default();
        limits.allowed_networks.iter().for_each(|network| settings_allow.add(*network));
        let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
        let mut servers = Vec::with_capacity(document.servers.len());
        for (number, entry) in document.servers.iter().enumerate() {
            let location = |key: &str| format!("/servers/{number}/{key}");
            if let Some(first) = names.insert(entry.name.as_str(), number) {
                let found = format!("'{}' as in /servers/{first}", entry.name);
                problems.add(file, location("name"), found, "a unique name");
            }
            let zone = entry.zone.as_ref().or(document.defaults.zone.as_ref()).cloned().unwrap_or_default();
            if !document.zones.is_empty() && !document.zones.contains(&zone) {
                let expected = format!("one of {}", document.zones.join(", "));
                problems.add(file, location("zone"), format!("'{zone}'"), expected);
            }
            let found = || format!("'{}'", entry.address);
            let Some(address) = parse_address(&entry.address) else {
                let expected = "an IP and a port that a server can listen on, such as 10.1.0.18:8443";
                problems.add(file, location("address"), found(), expected);
                continue;
            };
            if let Some(first) = addresses.insert(address, number) {
                let found = format!("'{address}' as in /servers/{first}");
                problems.add(file, location("address"), found, "a unique address");
            }
            if let Some(network) = deny.find(address.ip()) {
                let expected = format!("an address outside {network}, which networks.deny lists");
                problems.add(file, location("address"), found(), expected);
            } else if allow.non_empty && allow.find(address.ip()).is_none() {
                let expected = "an address in a network that networks.allow lists";
                problems.add(file, location("address"), found(), expected);
            }
            if settings_allow.non_empty && settings_allow.find(address.ip()).is_none() {
                let expected = "an address in a network that the settings allow";
                problems.add(file, location("address"), found(), expected);
            }
            if limits.own_addresses.iter().any(|own| listener_accepts(*own, address)) {
                let expected = "an address on which this daemon does not listen itself";
                problems.add(file, location("address"), found(), expected);
            }
            servers.push(server_with_defaults(entry, document, address, zone));
        }
        if let Some(stated) = &document.digest {
            let actual = digest_of(servers.iter());
            if *stated != actual && problems.is_empty() {
                let expected = format!("'{actual}', the digest of the servers in the file");
                problems.add(file, "/digest", format!("'{stated}'"), expected);
            }
        }
        problems.ok_or_problems(Self {
            file: file.to_owned(),
            generation: document.generation,
            replace: document.replace,
            precedence: document.precedence,
            servers,
        })
    }
}

/// Returns the server of an entry, with the document's defaults for the fields that the entry omits.
fn server_with_defaults(entry: &Entry, document: &Document, address: SocketAddr, zone: String) -> Server {
    let defaults = &document.defaults;
    Server {
        name: Arc::from(&*entry.name),
        address,
        zone: Arc::from(zone),
        kind: Arc::from(entry.kind.as_ref().or(defaults.kind.as_ref()).map_or("", String::as_str)),
        weight: entry.weight.or(defaults.weight).unwrap_or(1.0),
        since_ms: entry.since_ms.unwrap_or(0),
        status: entry.state.or(defaults.state).unwrap_or_default(),
    }
}

/// Parses an address that a server can listen on. An IPv4-mapped IPv6 address is converted to IPv4, because
/// one machine could otherwise be listed under two names.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let address = SocketAddr::new(address.ip().to_canonical(), address.port());
    let ip = address.ip();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    (address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast).then_some(address)
}

/// Checks whether this daemon's listener at `own` accepts connections to `address`. For a listener on the
/// unspecified address only loopback addresses match: any other address may belong to another machine that
/// uses the same port.
fn listener_accepts(own: SocketAddr, address: SocketAddr) -> bool {
    own.port() == address.port()
        && (own.ip().to_canonical() == address.ip()
            || (own.ip().is_unspecified() && address.ip().is_loopback()))
}

/// Returns the description of an array or object for error messages, which do not show its content.
fn container_type(value: &serde_json::Value) -> &'static str {
    if value.is_array() { "a list" } else { "a table" }
}

/// Returns the digest of a list: SHA-256, in hex, over one line per server, sorted by name. The fields of a
/// line are name, address, zone, kind, weight, since_ms and state, separated by single spaces; an empty zone
/// or kind is written as `-`.
pub(crate) fn digest_of<'a>(servers: impl Iterator<Item = &'a Server>) -> String {
    let mut lines: Vec<String> = servers.map(Server::digest_line).collect();
    lines.sort_unstable();
    let mut hash = Sha256::new();
    for line in lines {
        hash.update(line);
        hash.update(b"\n");
    }
    hex(&hash.finalize())
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
