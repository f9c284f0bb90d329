//! What a schema cannot say: names and addresses that are alone, networks, a digest that holds.

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

/// Largest file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 20;
/// Most servers of a list, all its files together.
pub const MAX_SERVERS: usize = 100_000;
/// Most files of a list.
pub const MAX_FRAGMENTS: usize = 64;

/// What lists are held against, beside what they say of themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Part of the previous list's names that a new one keeps, unless it says `replace = true`.
    pub min_retained_share: f64,
    /// Addresses that this daemon listens on itself: a server there would be a loop.
    pub own_addresses: Vec<SocketAddr>,
    /// Networks outside of which no server is, whatever a file allows; anywhere, where there is none.
    pub allowed_networks: Vec<IpNet>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { min_retained_share: 0.5, own_addresses: Vec::new(), allowed_networks: Vec::new() }
    }
}

/// The schema that files are checked by. It is generated from our own types, and a test compiles it.
static SCHEMA: LazyLock<Option<Validator>> = LazyLock::new(|| jsonschema::validator_for(&schema()).ok());

/// One file that is right by itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Fragment {
    /// How whoever read it calls it.
    pub file: String,
    /// See [`Document::generation`].
    pub generation: Option<u64>,
    /// See [`Document::replace`].
    pub replace: bool,
    /// See [`Document::precedence`].
    pub precedence: i32,
    /// Its servers, with defaults filled in.
    pub servers: Vec<Server>,
}

/// Networks of both families, asked for whether an address is in one of them.
#[derive(Default)]
struct Nets {
    v4: PrefixSet<Ipv4Net>,
    v6: PrefixSet<Ipv6Net>,
    any: bool,
}

impl Nets {
    fn add(&mut self, net: IpNet) {
        self.any = true;
        match net.trunc() {
            IpNet::V4(net) => _ = self.v4.insert(net),
            IpNet::V6(net) => _ = self.v6.insert(net),
        }
    }

    fn hold(&self, ip: IpAddr) -> Option<IpNet> {
        match ip {
            IpAddr::V4(ip) => self.v4.get_lpm(&Ipv4Net::from(ip)).map(IpNet::V4),
            IpAddr::V6(ip) => self.v6.get_lpm(&Ipv6Net::from(ip)).map(IpNet::V6),
        }
    }
}

impl Fragment {
    /// Reads and checks one file. All that is wrong with it is reported together, as far as one thing does
    /// not hide another: what cannot be read has no servers to look at.
    ///
    /// # Errors
    ///
    /// Fails with every problem, each with where it is, what was found and what was expected.
    pub fn read(file: &str, bytes: &[u8], limits: &Limits) -> Result<Self, Problems> {
        if bytes.len() > MAX_FILE_BYTES {
            let found = format!("{} bytes", bytes.len());
            return Err(Problems::one(file, "", found, "at most 64 MiB"));
        }
        let value = value::read(file, bytes)?;
        let mut problems = Problems::default();
        match &*SCHEMA {
            Some(validator) => {
                for error in validator.iter_errors(&value) {
                    let found = match error.instance().as_ref() {
                        value @ (serde_json::Value::Object(_) | serde_json::Value::Array(_)) => {
                            kind(value).to_owned()
                        }
                        value => value.to_string(),
                    };
                    problems.add(file, error.instance_path().to_string(), found, error.to_string());
                }
            }
            None => problems.add(file, "", "a program without its schema", "a program that was built whole"),
        }
        problems.none(())?;
        let document: Document = serde_json::from_value(value)
            .map_err(|error| Problems::one(file, "", error.to_string(), "what the schema says"))?;
        Self::check(file, &document, limits)
    }

    fn check(file: &str, document: &Document, limits: &Limits) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut nets = |key: &str, all: &[String]| {
            let mut nets = Nets::default();
            for (number, text) in all.iter().enumerate() {
                match text.parse::<IpNet>() {
                    Ok(net) => nets.add(net),
                    Err(_) => {
                        let at = format!("/networks/{key}/{number}");
                        problems.add(file, at, format!("'{text}'"), "a network such as 10.1.0.0/16");
                    }
                }
            }
            nets
        };
        let (allow, deny) = (nets("allow", &document.networks.allow), nets("deny", &document.networks.deny));
        let mut own = Nets::default();
        limits.allowed_networks.iter().for_each(|net| own.add(*net));
        let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
        let mut servers = Vec::with_capacity(document.servers.len());
        for (number, entry) in document.servers.iter().enumerate() {
            let at = |key: &str| format!("/servers/{number}/{key}");
            if let Some(first) = names.insert(entry.name.as_str(), number) {
                problems.add(
                    file,
                    at("name"),
                    format!("'{}' as in /servers/{first}", entry.name),
                    "a name of its own",
                );
            }
            let zone = entry.zone.as_ref().or(document.defaults.zone.as_ref()).cloned().unwrap_or_default();
            if !document.zones.is_empty() && !document.zones.contains(&zone) {
                problems.add(
                    file,
                    at("zone"),
                    format!("'{zone}'"),
                    format!("one of {}", document.zones.join(", ")),
                );
            }
            let Some(address) = address(&entry.address) else {
                let expected = "an IP and a port that a server can listen on, such as 10.1.0.18:8443";
                problems.add(file, at("address"), format!("'{}'", entry.address), expected);
                continue;
            };
            if let Some(first) = addresses.insert(address, number) {
                let found = format!("'{address}' as in /servers/{first}");
                problems.add(file, at("address"), found, "an address of its own");
            }
            let found = || format!("'{}'", entry.address);
            if let Some(net) = deny.hold(address.ip()) {
                problems.add(
                    file,
                    at("address"),
                    found(),
                    format!("one outside {net}, which networks.deny names"),
                );
            } else if allow.any && allow.hold(address.ip()).is_none() {
                problems.add(file, at("address"), found(), "one in a network that networks.allow names");
            }
            if own.any && own.hold(address.ip()).is_none() {
                problems.add(file, at("address"), found(), "one in a network that the settings allow");
            }
            if limits.own_addresses.iter().any(|own| meets(*own, address)) {
                problems.add(
                    file,
                    at("address"),
                    found(),
                    "another machine: this daemon listens there itself",
                );
            }
            servers.push(server(entry, document, address, zone));
        }
        if let Some(digest) = &document.digest {
            let is = digest_of(servers.iter());
            if *digest != is && problems.is_empty() {
                problems.add(
                    file,
                    "/digest",
                    format!("'{digest}'"),
                    format!("'{is}', which these servers have"),
                );
            }
        }
        problems.none(Self {
            file: file.to_owned(),
            generation: document.generation,
            replace: document.replace,
            precedence: document.precedence,
            servers,
        })
    }
}

fn server(entry: &Entry, document: &Document, address: SocketAddr, zone: String) -> Server {
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

/// An address that a server can listen on; IPv4 in IPv6 form is the IPv4 one, or one machine had two names.
fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let address = SocketAddr::new(address.ip().to_canonical(), address.port());
    let ip = address.ip();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    (address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast).then_some(address)
}

/// Whether a listener of ours, perhaps on all addresses, takes what goes to this one. A port alone proves
/// nothing of another machine, so a listener on all addresses counts for loopback only.
fn meets(own: SocketAddr, address: SocketAddr) -> bool {
    own.port() == address.port()
        && (own.ip().to_canonical() == address.ip()
            || (own.ip().is_unspecified() && address.ip().is_loopback()))
}

fn kind(value: &serde_json::Value) -> &'static str {
    if value.is_array() { "a list" } else { "a table" }
}

/// The digest of a list: SHA-256, in hex, over one line a server, sorted by name, its fields separated by
/// single spaces, empty ones as `-`: name, address, zone, kind, weight, since_ms, state.
pub(crate) fn digest_of<'a>(servers: impl Iterator<Item = &'a Server>) -> String {
    let mut lines: Vec<String> = servers.map(Server::line).collect();
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
