//! Generations of a server list, and the differences between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;

use crate::document::Status;
use crate::problem::Problems;
use crate::rules::{Fragment, Limits, MAX_FRAGMENTS, MAX_SERVERS, digest_of};

/// Server of a list, with the defaults applied.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Name of the server.
    pub name: Arc<str>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: Arc<str>,
    /// Machine type of the server.
    pub kind: Arc<str>,
    /// Weight of the server, 0 to 1,000.
    pub weight: f64,
    /// Unix time of the server's last start, in milliseconds; 0 means long ago.
    pub since_ms: u64,
    /// Intended state of the server.
    pub status: Status,
}

impl Server {
    /// Returns all fields on one line, the input of the digest.
    pub(crate) fn digest_line(&self) -> String {
        let dash_if_empty = |text: &str| if text.is_empty() { "-".to_owned() } else { text.to_owned() };
        let Self { name, address, zone, kind, weight, since_ms, status } = self;
        let (zone, kind) = (dash_if_empty(zone), dash_if_empty(kind));
        format!("{name} {address} {zone} {kind} {weight} {since_ms} {}", status.as_str())
    }
}

/// Server list as it is in effect at one time. Cloning takes constant time, and a generation shares the
/// unchanged servers with the one that it was derived from.
#[derive(Debug, Clone, Default)]
pub struct Generation {
    number: u64,
    published: Option<u64>,
    servers: OrdMap<Arc<str>, Server>,
}

impl PartialEq for Generation {
    /// Compares the servers only; the numbers may differ.
    fn eq(&self, other: &Self) -> bool {
        self.servers == other.servers
    }
}

/// Difference between two generations.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Difference {
    /// Names of the servers that have been removed.
    pub removed: Vec<Arc<str>>,
    /// Servers that have been added or have changed.
    pub upserted: Vec<Server>,
    /// Names of the servers in `upserted` whose address has changed. They are new machines, which have to
    /// warm up.
    pub readdressed: Vec<Arc<str>>,
}

impl Difference {
    /// Checks whether the generations have equal servers.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.upserted.is_empty()
    }
}

impl Generation {
    /// Returns the number of the generation: 0 for the empty initial one, and one more for each successor.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the highest `generation` number in the files of this generation, `None` if no file has one.
    pub fn published(&self) -> Option<u64> {
        self.published
    }

    /// Returns all servers, sorted by name.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Checks whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the server with this name.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns the digest of the servers, as publishers write it into [`Document::digest`].
    ///
    /// [`Document::digest`]: crate::Document::digest
    pub fn digest(&self) -> String {
        digest_of(self.servers.values())
    }

    /// Returns the next generation, which consists of the servers in these files only. Unchanged servers are
    /// shared with this generation.
    ///
    /// # Errors
    ///
    /// Fails if the files contradict each other, if there are too many files or servers or no servers, if the
    /// published number has decreased, or if too few servers of this generation remain. This generation is
    /// not changed.
    pub fn next(&self, fragments: &[Fragment], limits: &Limits) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        if fragments.len() > MAX_FRAGMENTS {
            return Err(Problems::single("", "", format!("{} files", fragments.len()), "at most 64 files"));
        }
        let merged = merge(fragments, &mut problems);
        let files: Vec<&str> = fragments.iter().map(|fragment| &*fragment.file).collect();
        let files = files.join(", ");
        if merged.len() > MAX_SERVERS {
            problems.add(&files, "", format!("{} servers", merged.len()), "at most 100000 servers");
        }
        if merged.is_empty() {
            problems.add(&files, "/servers", "no servers", "at least one server");
        }
        let published = fragments.iter().filter_map(|fragment| fragment.generation).max();
        if let (Some(new), Some(old)) = (published, self.published) {
            if new < old {
                let expected = format!("at least {old}, the number of the current list");
                problems.add(&files, "/generation", new.to_string(), expected);
            }
        }
        let retained = self.servers.keys().filter(|name| merged.contains_key(&***name)).count();
        let replace = fragments.iter().any(|fragment| fragment.replace);
        if !replace && (retained as f64) < limits.min_retained_share * self.len() as f64 {
            let found = format!("{retained} of the {} servers of the current list", self.len());
            let percent = limits.min_retained_share * 100.0;
            let expected = format!("at least {percent:.0}% of them, or `replace = true`");
            problems.add(&files, "/servers", found, expected);
        }
        problems.ok_or_problems(())?;
        let mut servers = self.servers.clone();
        let removed: Vec<Arc<str>> =
            self.servers.keys().filter(|name| !merged.contains_key(&***name)).cloned().collect();
        for name in removed {
            servers.remove(&name);
        }
        for (_, (_, server)) in merged {
            // Only new and changed servers are inserted, so that the others remain shared.
            if servers.get(&server.name) != Some(server) {
                servers.insert(server.name.clone(), server.clone());
            }
        }
        Ok(Self { number: self.number + 1, published, servers })
    }

    /// Returns the difference from `before` to this generation. If one was derived from the other, the time
    /// that this takes is proportional to the number of differing servers.
    pub fn difference(&self, before: &Self) -> Difference {
        let mut difference = Difference::default();
        for item in before.servers.diff(&self.servers) {
            match item {
                DiffItem::Add(_, server) => difference.upserted.push(server.clone()),
                DiffItem::Remove(name, _) => difference.removed.push(name.clone()),
                DiffItem::Update { old: (_, old), new: (name, new) } => {
                    if old.address != new.address {
                        difference.readdressed.push(name.clone());
                    }
                    difference.upserted.push(new.clone());
                }
            }
        }
        difference
    }

    /// Returns the next generation, which is this one with a difference applied.
    #[must_use]
    pub fn apply(&self, difference: &Difference) -> Self {
        let mut next = self.clone();
        next.number += 1;
        for name in &difference.removed {
            next.servers.remove(name);
        }
        for server in &difference.upserted {
            next.servers.insert(server.name.clone(), server.clone());
        }
        next
    }

    /// Creates the generation that was stored with these values.
    pub(crate) fn restore(number: u64, published: Option<u64>, servers: Vec<Server>) -> Self {
        Self {
            number,
            published,
            servers: servers.into_iter().map(|server| (server.name.clone(), server)).collect(),
        }
    }
}

/// Merges the servers of several files by name. The file with the higher precedence applies; entries of the
/// same precedence for one server have to be equal. Also checks that no two servers have the same address.
fn merge<'a>(
    fragments: &'a [Fragment],
    problems: &mut Problems,
) -> BTreeMap<&'a str, (&'a Fragment, &'a Server)> {
    let mut merged: BTreeMap<&str, (&Fragment, &Server)> = BTreeMap::new();
    for fragment in fragments {
        for server in &fragment.servers {
            match merged.get(&*server.name) {
                Some((other, before)) if other.precedence == fragment.precedence && *before != server => {
                    let found = format!("'{}' with other values than in {}", server.name, other.file);
                    problems.add(&fragment.file, "/servers", found, "equal values, or another precedence");
                }
                Some((other, _)) if other.precedence >= fragment.precedence => {}
                _ => _ = merged.insert(&server.name, (fragment, server)),
            }
        }
    }
    let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (name, (fragment, server)) in &merged {
        if let Some(other) = addresses.insert(server.address, name) {
            let found = format!("'{}' for both '{other}' and '{name}'", server.address);
            problems.add(&fragment.file, "/servers", found, "a different address for each server");
        }
    }
    merged
}
