//! Value that all gateways agree on: the queue of machines, the grants, and the last fencing token. Each
//! proposal replaces the complete value.

mod apply;
mod change;

use std::collections::BTreeSet;

use ashtide_fleet::state::Slot;
use serde::{Deserialize, Serialize};

pub use change::{Change, ChangeRejected};

use crate::violation::Violation;

/// Maximum number of machines in the queue, both queued and out.
pub const MAX_ENTRIES: usize = 32;
/// Maximum length of a machine's name, in bytes.
pub const MAX_NAME: usize = 48;
/// Maximum length of a reason, in bytes.
pub const MAX_REASON: usize = 48;
/// Maximum number of completed requests whose ids are stored, so that a repeated request is applied only
/// once.
pub const MAX_COMPLETED_REQUESTS: usize = 16;

/// Kind of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineKind {
    /// Server.
    Server,
    /// Gateway of this fleet.
    Gateway,
}

/// Phase of the maintenance of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The machine waits for a grant.
    Queued,
    /// The machine is granted and drains: gateways send it no new connections and migrate its open
    /// connections.
    Draining {
        /// Fencing token of the grant.
        token: u64,
        /// Gateway that proposes the end of the drain.
        holder: Slot,
    },
    /// The machine is out for maintenance: it has no open connections, or the drain has reached its time
    /// limit.
    Out {
        /// Fencing token of the grant.
        token: u64,
        /// Gateway that proposes the release after the maximum time out.
        holder: Slot,
    },
    /// The machine is back in service. It still counts as out, because some gateways may not have learned of
    /// the release yet.
    Released {
        /// Fencing token of the ended grant.
        token: u64,
    },
}

impl Phase {
    /// Returns the fencing token of the grant, which may have ended.
    #[must_use]
    pub fn token(self) -> Option<u64> {
        match self {
            Self::Queued => None,
            Self::Draining { token, .. } | Self::Out { token, .. } | Self::Released { token } => Some(token),
        }
    }

    /// Returns the holder of the grant, `None` if the machine is queued or its grant has ended.
    #[must_use]
    pub fn holder(self) -> Option<Slot> {
        match self {
            Self::Draining { holder, .. } | Self::Out { holder, .. } => Some(holder),
            Self::Queued | Self::Released { .. } => None,
        }
    }
}

/// Entry of one machine in the queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MaintenanceEntry {
    /// Kind of the machine.
    pub kind: MachineKind,
    /// Name of the machine in the list of servers or gateways.
    pub name: String,
    /// Reason stated by the operator.
    pub reason: String,
    /// Unix time of the request in milliseconds, by the clock of the gateway that received it. It is shown to
    /// operators and determines the order of the queue.
    pub requested_at_ms: u64,
    /// Id of the request that added the entry.
    pub request_id: u64,
    /// Version of the queue in which the current phase started.
    pub phase_version: u64,
    /// Current phase.
    pub phase: Phase,
}

/// Maintenance queue, the replicated value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MaintenanceQueue {
    /// Number of changes applied so far.
    pub version: u64,
    /// Last granted fencing token.
    pub last_token: u64,
    /// Entries of the machines, sorted by the time of the request, then by the request id.
    pub entries: Vec<MaintenanceEntry>,
    /// Ids of the last applied requests, the oldest first.
    pub completed_requests: Vec<u64>,
}

/// Limits on the machines that are out. All gateways must have the same limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum number of servers that are out at a time.
    pub max_servers_out: usize,
    /// Maximum number of gateways that are out at a time.
    pub max_gateways_out: usize,
    /// Minimum number of ready servers that must remain.
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
    /// Returns the machines of this kind that count as out, including released ones.
    pub fn granted(&self, kind: MachineKind) -> impl Iterator<Item = &MaintenanceEntry> {
        self.entries.iter().filter(move |entry| entry.kind == kind && entry.phase != Phase::Queued)
    }

    /// Returns the machines that gateways must cordon, with their fencing tokens.
    pub fn machines_out(&self) -> impl Iterator<Item = (&MaintenanceEntry, u64)> {
        self.entries.iter().filter_map(|entry| match entry.phase {
            Phase::Draining { token, .. } | Phase::Out { token, .. } => Some((entry, token)),
            Phase::Queued | Phase::Released { .. } => None,
        })
    }

    /// Returns the first queued machine of this kind.
    #[must_use]
    pub fn next_queued(&self, kind: MachineKind) -> Option<&MaintenanceEntry> {
        self.entries.iter().find(|entry| entry.kind == kind && entry.phase == Phase::Queued)
    }

    /// Returns the entry of the machine with this name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&MaintenanceEntry> {
        self.entries.iter().find(|entry| entry.name == name)
    }

    /// Checks whether a queued machine may be granted. `ready` contains the names of the ready servers.
    ///
    /// # Errors
    ///
    /// Returns the limit that prevents the grant.
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

    /// Returns the number of ready servers that are neither granted nor `entry` itself.
    fn ready_without(&self, entry: &MaintenanceEntry, ready: &BTreeSet<String>) -> usize {
        let granted: BTreeSet<&str> =
            self.granted(MachineKind::Server).map(|entry| entry.name.as_str()).collect();
        ready.iter().filter(|name| !granted.contains(name.as_str()) && **name != entry.name).count()
    }

    /// Checks the invariants M2, M3, M4 and M5.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
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
        for (what, found, capacity) in [
            ("the maintenance queue", self.entries.len(), MAX_ENTRIES),
            ("the list of completed requests", self.completed_requests.len(), MAX_COMPLETED_REQUESTS),
        ] {
            if found > capacity {
                return Err(Violation::OverFull { what, found, capacity });
            }
        }
        Ok(())
    }
}
