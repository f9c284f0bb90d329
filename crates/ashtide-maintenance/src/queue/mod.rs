//! The value that all gateways agree on: the queue of machines, the grants, and the last fencing token. It is changed
//! as a whole.

mod apply;
mod change;

use std::collections::BTreeSet;

use ashtide_fleet::state::Slot;
use serde::{Deserialize, Serialize};

pub use change::{Change, ChangeRejected};

use crate::violation::Violation;

/// Machines that the queue holds, waiting or out.
pub const MAX_ENTRIES: usize = 32;
/// Longest name of a machine, in bytes.
pub const MAX_NAME: usize = 48;
/// Longest reason, in bytes.
pub const MAX_REASON: usize = 48;
/// Requests that are remembered, so that one which is sent again is applied once.
pub const MAX_COMPLETED_REQUESTS: usize = 16;

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineKind {
    /// A server.
    Server,
    /// A gateway of this tier.
    Gateway,
}

/// How far the maintenance of a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for its turn.
    Queued,
    /// It is granted: gateways send it no new connections and move those it has.
    Draining {
        /// The fencing token of the grant.
        token: u64,
        /// The gateway that reports when its connections are gone.
        holder: Slot,
    },
    /// Its connections are gone, or were given up: it is worked on.
    Out {
        /// The fencing token of the grant.
        token: u64,
        /// The gateway that reports when it has been out for too long.
        holder: Slot,
    },
    /// It is back, but a gateway may not have learned so yet: it still counts as out.
    Released {
        /// The fencing token of the grant that has ended.
        token: u64,
    },
}

impl Phase {
    /// The token of a grant, running or ended.
    #[must_use]
    pub fn token(self) -> Option<u64> {
        match self {
            Self::Queued => None,
            Self::Draining { token, .. } | Self::Out { token, .. } | Self::Released { token } => Some(token),
        }
    }

    /// The gateway that holds a running grant.
    #[must_use]
    pub fn holder(self) -> Option<Slot> {
        match self {
            Self::Draining { holder, .. } | Self::Out { holder, .. } => Some(holder),
            Self::Queued | Self::Released { .. } => None,
        }
    }
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MaintenanceEntry {
    /// What it is.
    pub kind: MachineKind,
    /// Its name in the list of servers, or of gateways.
    pub name: String,
    /// The operator's reason.
    pub reason: String,
    /// Unix time of the request in milliseconds, by the clock of the gateway that took it. It is shown, and gives the
    /// order of the queue.
    pub requested_at_ms: u64,
    /// The request that queued it.
    pub request_id: u64,
    /// The version of the queue in which its phase began.
    pub phase_version: u64,
    /// How far it is.
    pub phase: Phase,
}

/// The agreed value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MaintenanceQueue {
    /// Counts changes.
    pub version: u64,
    /// The last token granted.
    pub last_token: u64,
    /// Machines, by the time of their requests, then by request.
    pub entries: Vec<MaintenanceEntry>,
    /// The last requests that were applied.
    pub completed_requests: Vec<u64>,
}

/// What may be out; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Servers that may be out at once.
    pub max_servers_out: usize,
    /// Gateways that may be out at once.
    pub max_gateways_out: usize,
    /// Ready servers that must be left.
    pub min_ready_servers: usize,
}

impl Limits {
    fn max_out(&self, kind: MachineKind) -> usize {
        match kind {
            MachineKind::Server => self.max_servers_out,
            MachineKind::Gateway => self.max_gateways_out,
        }
    }
}

impl MaintenanceQueue {
    /// The machines of this kind that count as out.
    pub fn granted(&self, kind: MachineKind) -> impl Iterator<Item = &MaintenanceEntry> {
        self.entries.iter().filter(move |entry| entry.kind == kind && entry.phase != Phase::Queued)
    }

    /// The machines that are to be kept out, with their tokens.
    pub fn machines_out(&self) -> impl Iterator<Item = (&MaintenanceEntry, u64)> {
        self.entries.iter().filter_map(|entry| match entry.phase {
            Phase::Draining { token, .. } | Phase::Out { token, .. } => Some((entry, token)),
            Phase::Queued | Phase::Released { .. } => None,
        })
    }

    /// The first machine of this kind that waits.
    #[must_use]
    pub fn next_queued(&self, kind: MachineKind) -> Option<&MaintenanceEntry> {
        self.entries.iter().find(|entry| entry.kind == kind && entry.phase == Phase::Queued)
    }

    /// The entry of the machine of this name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&MaintenanceEntry> {
        self.entries.iter().find(|entry| entry.name == name)
    }

    /// Checks whether a machine that waits could be granted now, given the names of the servers that are ready.
    ///
    /// # Errors
    ///
    /// Says why not.
    pub fn can_grant(
        &self,
        entry: &MaintenanceEntry,
        limits: &Limits,
        ready: &BTreeSet<String>,
    ) -> Result<(), ChangeRejected> {
        if self.granted(entry.kind).count() >= limits.max_out(entry.kind) {
            return Err(ChangeRejected::LimitReached);
        }
        if entry.kind == MachineKind::Server && self.ready_without(entry, ready) < limits.min_ready_servers {
            return Err(ChangeRejected::TooFewReady);
        }
        Ok(())
    }

    /// How many servers are ready beside those that are granted and this one.
    fn ready_without(&self, entry: &MaintenanceEntry, ready: &BTreeSet<String>) -> usize {
        let granted: BTreeSet<&str> =
            self.granted(MachineKind::Server).map(|entry| entry.name.as_str()).collect();
        ready.iter().filter(|name| !granted.contains(name.as_str()) && **name != entry.name).count()
    }

    /// Checks the invariants M2, M3, M4 and M5.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self, limits: &Limits) -> Result<(), Violation> {
        self.check_limits(limits)?;
        self.check_tokens()?;
        self.check_names()?;
        self.check_sizes()
    }

    fn check_limits(&self, limits: &Limits) -> Result<(), Violation> {
        for kind in [MachineKind::Server, MachineKind::Gateway] {
            let found = self.granted(kind).count();
            let most = limits.max_out(kind);
            if found > most {
                return Err(Violation::TooManyGranted { version: self.version, found, most });
            }
        }
        Ok(())
    }

    fn check_tokens(&self) -> Result<(), Violation> {
        let mut tokens = BTreeSet::new();
        for token in self.entries.iter().filter_map(|entry| entry.phase.token()) {
            if !tokens.insert(token) || token > self.last_token {
                return Err(Violation::InvalidToken { version: self.version, token, last: self.last_token });
            }
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), Violation> {
        let mut names = BTreeSet::new();
        match self.entries.iter().find(|entry| !names.insert(&entry.name)) {
            Some(entry) => {
                Err(Violation::DuplicateMachine { version: self.version, name: entry.name.clone() })
            }
            None => Ok(()),
        }
    }

    fn check_sizes(&self) -> Result<(), Violation> {
        for (what, found, room) in [
            ("the table", self.entries.len(), MAX_ENTRIES),
            ("the list of calls", self.completed_requests.len(), MAX_COMPLETED_REQUESTS),
        ] {
            if found > room {
                return Err(Violation::OverFull { what, found, room });
            }
        }
        Ok(())
    }
}
