//! Generations of a list: what holds at one time, and what changed from one to the next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;

use crate::document::Status;
use crate::problem::Problems;
use crate::rules::{Fragment, Limits, MAX_FRAGMENTS, MAX_SERVERS, digest_of};

/// One server, with all defaults filled in.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its kind of machine.
    pub kind: Arc<str>,
    /// Its weight, 0 to 1,000.
    pub weight: f64,
    /// Its last start in Unix time, in milliseconds; 0 is long ago.
    pub since_ms: u64,
    /// What it is to do.
    pub status: Status,
}

impl Server {
    /// One line that tells all of it.
    pub(crate) fn line(&self) -> String {
        let or = |text: &str| if text.is_empty() { "-".to_owned() } else { text.to_owned() };
        let Self { name, address, zone, kind, weight, since_ms, status } = self;
        format!("{name} {address} {} {} {weight} {since_ms} {}", or(zone), or(kind), status.as_str())
    }
}

/// What holds at one time. Cloning it costs nothing, and two that are alike share what is the same.
#[derive(Debug, Clone, Default)]
pub struct Generation {
    number: u64,
    published: Option<u64>,
    servers: OrdMap<Arc<str>, Server>,
}

impl PartialEq for Generation {
    /// The same servers, whatever the numbers.
    fn eq(&self, other: &Self) -> bool {
        self.servers == other.servers
    }
}

/// What changed from one generation to the next.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Difference {
    /// Names that are no longer there.
    pub removed: Vec<Arc<str>>,
    /// Servers that are new, or not what they were.
    pub upserted: Vec<Server>,
    /// of `upserted`, the names whose address is another: these are new machines, and cold.
    pub readdressed: Vec<Arc<str>>,
}

impl Difference {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.upserted.is_empty()
    }
}

impl Generation {
    /// Its number: 0 before there was any, one more with each.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The highest number that its files gave it.
    pub fn published(&self) -> Option<u64> {
        self.published
    }

    /// All servers, by name.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The server of this name.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// See the page: what publishers put into `digest`.
    pub fn digest(&self) -> String {
        digest_of(self.servers.values())
    }

    /// The generation that follows from these files, which replace all that was before. What is the same is
    /// shared with this one.
    ///
    /// # Errors
    ///
    /// Fails where files contradict each other, or the list loses more than it may; this one then stays.
    pub fn next(&self, fragments: &[Fragment], limits: &Limits) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        if fragments.len() > MAX_FRAGMENTS {
            return Err(Problems::one("", "", format!("{} files", fragments.len()), "64 files at most"));
        }
        let merged = merge(fragments, &mut problems);
        let files: Vec<&str> = fragments.iter().map(|fragment| &*fragment.file).collect();
        let all = files.join(", ");
        if merged.len() > MAX_SERVERS {
            problems.add(&all, "", format!("{} servers", merged.len()), "100000 at most");
        }
        if merged.is_empty() {
            problems.add(&all, "/servers", "no server at all", "one at least");
        }
        let published = fragments.iter().filter_map(|fragment| fragment.generation).max();
        if let (Some(new), Some(old)) = (published, self.published) {
            if new < old {
                problems.add(
                    &all,
                    "/generation",
                    new.to_string(),
                    format!("{old}, which was read before, or more"),
                );
            }
        }
        let kept = self.servers.keys().filter(|name| merged.contains_key(&***name)).count();
        let replace = fragments.iter().any(|fragment| fragment.replace);
        if !replace && (kept as f64) < limits.min_retained_share * self.len() as f64 {
            let found = format!("{kept} of the {} servers of the list that holds", self.len());
            let part = limits.min_retained_share * 100.0;
            problems.add(&all, "/servers", found, format!("{part:.0}% of them, or `replace = true`"));
        }
        problems.none(())?;
        let mut servers = self.servers.clone();
        let gone: Vec<Arc<str>> =
            self.servers.keys().filter(|name| !merged.contains_key(&***name)).cloned().collect();
        for name in gone {
            servers.remove(&name);
        }
        for (_, (_, server)) in merged {
            // Only what is new is written, so that the rest stays shared.
            if servers.get(&server.name) != Some(server) {
                servers.insert(server.name.clone(), server.clone());
            }
        }
        Ok(Self { number: self.number + 1, published, servers })
    }

    /// What changed from `before` to this one. It costs what differs, where one came of the other.
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

    /// This generation with a difference laid over it.
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

    pub(crate) fn restored(number: u64, published: Option<u64>, servers: Vec<Server>) -> Self {
        Self {
            number,
            published,
            servers: servers.into_iter().map(|server| (server.name.clone(), server)).collect(),
        }
    }
}

/// One list of several files: the higher precedence counts, and what stands twice at one has to be the same.
fn merge<'a>(
    fragments: &'a [Fragment],
    problems: &mut Problems,
) -> BTreeMap<&'a str, (&'a Fragment, &'a Server)> {
    let mut merged: BTreeMap<&str, (&Fragment, &Server)> = BTreeMap::new();
    for fragment in fragments {
        for server in &fragment.servers {
            match merged.get(&*server.name) {
                Some((other, before)) if other.precedence == fragment.precedence && *before != server => {
                    let found = format!("'{}' otherwise than in {}", server.name, other.file);
                    problems.add(&fragment.file, "/servers", found, "the same, or another precedence");
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
            problems.add(&fragment.file, "/servers", found, "an address of its own for each");
        }
    }
    merged
}
