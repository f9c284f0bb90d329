//! What all gateways agree on: the queue, what is given out, and the last token. One value, changed as a whole.

use std::collections::BTreeSet;

use ashtide_fleet::state::Slot;
use serde::{Deserialize, Serialize};

use crate::broken::{ActiveMutation, Mutation};
use crate::violation::Violation;

/// Machines that a table holds, waiting or out.
pub const MAX_ENTRIES: usize = 32;
/// Longest name of a machine, in bytes.
pub const MAX_NAME: usize = 48;
/// Longest reason, in bytes.
pub const MAX_REASON: usize = 48;
/// Calls remembered, so that one which is tried again is done once.
pub const MAX_COMPLETED_REQUESTS: usize = 16;

/// What is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineKind {
    /// A server.
    Server,
    /// A gateway of this tier.
    Gateway,
}

/// How far a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for its turn.
    Queued,
    /// It is given out: gateways send it nothing new and move what it holds.
    Draining {
        /// The fencing token of the grant.
        token: u64,
        /// Who says when its connections are gone.
        holder: Slot,
    },
    /// Its connections are gone, or were given up: it is worked on.
    Out {
        /// The fencing token of the grant.
        token: u64,
        /// Who says when it has been out for too long.
        holder: Slot,
    },
    /// It is back, and some gateway may not have heard so yet: it still takes up room.
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

    /// Who sees a running grant through.
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
    /// What the operator said.
    pub reason: String,
    /// Unix milliseconds of the request, by the clock of the gateway that took it; shown, and the order of the queue.
    pub requested_at_ms: u64,
    /// The call that asked for it.
    pub request_id: u64,
    /// The version of the table in which its phase began.
    pub phase_version: u64,
    /// How far it is.
    pub phase: Phase,
}

/// The agreed value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MaintenanceQueue {
    /// Counts changes.
    pub version: u64,
    /// The last token given.
    pub last_token: u64,
    /// Machines, by the time they were asked for, then by call.
    pub entries: Vec<MaintenanceEntry>,
    /// The last calls that were done.
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

/// What is to be changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Change {
    /// Nothing: the value is only written anew, where voters differ after a proposer went away midway.
    Nothing,
    /// An operator asks for a machine.
    Request {
        /// The call.
        request_id: u64,
        /// What it is.
        kind: MachineKind,
        /// Which.
        name: String,
        /// Why.
        reason: String,
        /// Unix milliseconds.
        requested_at_ms: u64,
    },
    /// An operator no longer wants it out.
    Cancel {
        /// The call.
        request_id: u64,
        /// Which.
        name: String,
    },
    /// An operator has finished with it.
    Done {
        /// The call.
        request_id: u64,
        /// Which.
        name: String,
    },
    /// It is its turn.
    Grant {
        /// Which.
        name: String,
        /// Who sees it through.
        holder: Slot,
    },
    /// Its connections are gone, or the drain has lasted for its bound.
    Drained {
        /// Which.
        name: String,
        /// The grant's token.
        token: u64,
        /// Whether it is given back at once, nobody being waited for.
        return_at_once: bool,
    },
    /// It has been out for its bound.
    Expired {
        /// Which.
        name: String,
        /// The grant's token.
        token: u64,
    },
    /// Its holder is silent: another sees it through, under a new token.
    TakeOver {
        /// Which.
        name: String,
        /// The token so far.
        token: u64,
        /// Who sees it through now.
        holder: Slot,
    },
    /// All gateways have heard that it is back, or have stopped believing otherwise.
    Removed {
        /// Which.
        name: String,
        /// The ended grant's token.
        token: u64,
    },
}

/// Why a change is not made. The table is as it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum ChangeRejected {
    /// A name or reason that cannot be kept.
    #[error("a name must have 1 to 48 bytes and a reason at most 48, without control characters")]
    InvalidText,
    /// The table has no room for another machine.
    #[error("32 machines wait or are out already")]
    QueueFull,
    /// It stands in the table already.
    #[error("the machine waits or is out already")]
    AlreadyQueued,
    /// It does not stand in the table.
    #[error("the machine neither waits nor is out")]
    NotQueued,
    /// It is out: that is ended by `done`.
    #[error("the machine is out; it is not waiting any more")]
    AlreadyOut,
    /// It is not out.
    #[error("the machine is not out")]
    NotOut,
    /// The token is not that of the grant.
    #[error("the fencing token is an old one")]
    Fenced,
    /// So many are out already.
    #[error("as many are out as may be")]
    LimitReached,
    /// Too few ready servers would be left.
    #[error("fewer ready servers would be left than the floor")]
    TooFewReady,
}

impl ChangeRejected {
    /// What an operator can do.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::InvalidText => "shorten the name or the reason",
            Self::QueueFull => "wait until some are done, or cancel some that wait",
            Self::AlreadyQueued => "see `ashtide maintenance list`; it need not be asked for again",
            Self::NotQueued => "compare the name with `ashtide maintenance list`",
            Self::AlreadyOut => "finish the work and say `ashtide maintenance done NAME`",
            Self::NotOut => "say `ashtide maintenance cancel NAME` to take it off the queue",
            Self::Fenced => "nothing: another gateway has taken the grant over, and sees it through",
            Self::LimitReached => "nothing: it waits until another one is done",
            Self::TooFewReady => "bring servers back, or lower `floor` on all gateways",
        }
    }
}

fn is_valid_text(text: &str, least: usize, most: usize) -> bool {
    (least..=most).contains(&text.len()) && !text.chars().any(char::is_control)
}

impl MaintenanceQueue {
    /// The machines of this kind that take up room.
    pub fn granted(&self, kind: MachineKind) -> impl Iterator<Item = &MaintenanceEntry> {
        self.entries.iter().filter(move |row| row.kind == kind && row.phase != Phase::Queued)
    }

    /// Those that are to be kept out, with their tokens.
    pub fn machines_out(&self) -> impl Iterator<Item = (&MaintenanceEntry, u64)> {
        self.entries.iter().filter_map(|row| match row.phase {
            Phase::Draining { token, .. } | Phase::Out { token, .. } => Some((row, token)),
            Phase::Queued | Phase::Released { .. } => None,
        })
    }

    /// The first that waits, of this kind.
    #[must_use]
    pub fn next_queued(&self, kind: MachineKind) -> Option<&MaintenanceEntry> {
        self.entries.iter().find(|row| row.kind == kind && row.phase == Phase::Queued)
    }

    /// Whether the first that waits could be given out now.
    ///
    /// # Errors
    ///
    /// Says why not.
    pub fn can_grant(
        &self,
        row: &MaintenanceEntry,
        rules: &Limits,
        ready: &BTreeSet<String>,
    ) -> Result<(), ChangeRejected> {
        let most = match row.kind {
            MachineKind::Server => rules.max_servers_out,
            MachineKind::Gateway => rules.max_gateways_out,
        };
        if self.granted(row.kind).count() >= most {
            return Err(ChangeRejected::LimitReached);
        }
        if row.kind == MachineKind::Server {
            let given: BTreeSet<&str> =
                self.granted(MachineKind::Server).map(|row| row.name.as_str()).collect();
            let left =
                ready.iter().filter(|name| !given.contains(name.as_str()) && **name != row.name).count();
            if left < rules.min_ready_servers {
                return Err(ChangeRejected::TooFewReady);
            }
        }
        Ok(())
    }

    /// Makes one change, given these rules and the names of servers that are ready.
    ///
    /// # Errors
    ///
    /// Says why it is not made.
    pub fn apply(
        &mut self,
        change: &Change,
        rules: &Limits,
        ready: &BTreeSet<String>,
    ) -> Result<(), ChangeRejected> {
        self.apply_mutated(change, rules, ready, ActiveMutation::default())
    }

    /// The same with a fault put in.
    ///
    /// # Errors
    ///
    /// Says why it is not made.
    #[cfg(feature = "broken")]
    pub fn apply_with_mutation(
        &mut self,
        change: &Change,
        rules: &Limits,
        ready: &BTreeSet<String>,
        broken: Option<Mutation>,
    ) -> Result<(), ChangeRejected> {
        self.apply_mutated(change, rules, ready, ActiveMutation { mutation: broken })
    }

    pub(crate) fn apply_mutated(
        &mut self,
        change: &Change,
        rules: &Limits,
        ready: &BTreeSet<String>,
        fault: ActiveMutation,
    ) -> Result<(), ChangeRejected> {
        let call = match change {
            Change::Request { request_id: call, .. }
            | Change::Cancel { request_id: call, .. }
            | Change::Done { request_id: call, .. } => Some(*call),
            _ => None,
        };
        if call.is_some_and(|call| self.completed_requests.contains(&call)) {
            // It was done when its caller had not heard so.
            return Ok(());
        }
        let since = self.version + 1;
        match change {
            Change::Nothing => return Ok(()),
            Change::Request { request_id: call, kind, name, reason, requested_at_ms: asked_ms } => {
                if !is_valid_text(name, 1, MAX_NAME) || !is_valid_text(reason, 0, MAX_REASON) {
                    return Err(ChangeRejected::InvalidText);
                }
                if self.entries.iter().any(|row| row.name == *name) {
                    return Err(ChangeRejected::AlreadyQueued);
                }
                if self.entries.len() >= MAX_ENTRIES {
                    return Err(ChangeRejected::QueueFull);
                }
                let (name, reason) = (name.clone(), reason.clone());
                let (kind, asked_ms, call) = (*kind, *asked_ms, *call);
                self.entries.push(MaintenanceEntry {
                    kind,
                    name,
                    reason,
                    requested_at_ms: asked_ms,
                    request_id: call,
                    phase_version: since,
                    phase: Phase::Queued,
                });
                self.entries.sort_by_key(|row| (row.requested_at_ms, row.request_id));
            }
            Change::Cancel { name, .. } => {
                let at = self.position(name)?;
                match self.entries[at].phase {
                    Phase::Queued => drop(self.entries.remove(at)),
                    // Nobody works on it yet.
                    Phase::Draining { token, .. } => self.release(at, token, fault),
                    Phase::Out { .. } | Phase::Released { .. } => return Err(ChangeRejected::AlreadyOut),
                }
            }
            Change::Done { name, .. } => {
                let at = self.position(name)?;
                match self.entries[at].phase {
                    Phase::Draining { token, .. } | Phase::Out { token, .. } => {
                        self.release(at, token, fault)
                    }
                    Phase::Queued | Phase::Released { .. } => return Err(ChangeRejected::NotOut),
                }
            }
            Change::Grant { name, holder } => {
                let at = self.position(name)?;
                if self.entries[at].phase != Phase::Queued {
                    return Err(ChangeRejected::AlreadyOut);
                }
                self.can_grant(&self.entries[at], rules, ready)?;
                self.last_token += 1;
                self.entries[at].phase = Phase::Draining { token: self.last_token, holder: *holder };
            }
            Change::Drained { name, token, return_at_once: back } => {
                let at = self.check_token(name, *token, fault)?;
                let Phase::Draining { token, holder } = self.entries[at].phase else {
                    return Err(ChangeRejected::NotOut);
                };
                if *back {
                    self.release(at, token, fault);
                } else {
                    self.entries[at].phase = Phase::Out { token, holder };
                }
            }
            Change::Expired { name, token } => {
                let at = self.check_token(name, *token, fault)?;
                let Phase::Out { token, .. } = self.entries[at].phase else {
                    return Err(ChangeRejected::NotOut);
                };
                self.release(at, token, fault);
            }
            Change::TakeOver { name, token, holder } => {
                let at = self.check_token(name, *token, fault)?;
                let token = self.last_token + 1;
                let holder = *holder;
                self.entries[at].phase = match self.entries[at].phase {
                    Phase::Draining { .. } => Phase::Draining { token, holder },
                    Phase::Out { .. } => Phase::Out { token, holder },
                    Phase::Queued | Phase::Released { .. } => return Err(ChangeRejected::NotOut),
                };
                self.last_token = token;
            }
            Change::Removed { name, token } => {
                let at = self.check_token(name, *token, fault)?;
                if !matches!(self.entries[at].phase, Phase::Released { .. }) && !fault.is(Mutation::NoFencing)
                {
                    return Err(ChangeRejected::AlreadyOut);
                }
                self.entries.remove(at);
            }
        }
        self.version = since;
        if let Some(call) = call {
            self.completed_requests.push(call);
            let over = self.completed_requests.len().saturating_sub(MAX_COMPLETED_REQUESTS);
            self.completed_requests.drain(..over);
        }
        if let Some(row) = self.position(machine_name(change)).ok().map(|at| &mut self.entries[at]) {
            row.phase_version = since;
        }
        Ok(())
    }

    fn position(&self, name: &str) -> Result<usize, ChangeRejected> {
        self.entries.iter().position(|row| row.name == name).ok_or(ChangeRejected::NotQueued)
    }

    fn check_token(&self, name: &str, token: u64, fault: ActiveMutation) -> Result<usize, ChangeRejected> {
        let at = self.position(name)?;
        match self.entries[at].phase.token() {
            Some(own) if own == token || fault.is(Mutation::NoFencing) => Ok(at),
            _ => Err(ChangeRejected::Fenced),
        }
    }

    fn release(&mut self, at: usize, token: u64, fault: ActiveMutation) {
        if fault.is(Mutation::NoCooling) {
            self.entries.remove(at);
        } else {
            self.entries[at].phase = Phase::Released { token };
        }
    }

    /// M2, M3, M4 and M5.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self, rules: &Limits) -> Result<(), Violation> {
        let version = self.version;
        for (kind, most) in
            [(MachineKind::Server, rules.max_servers_out), (MachineKind::Gateway, rules.max_gateways_out)]
        {
            let found = self.granted(kind).count();
            if found > most {
                return Err(Violation::TooManyGranted { version, found, most });
            }
        }
        let mut tokens = BTreeSet::new();
        for token in self.entries.iter().filter_map(|row| row.phase.token()) {
            if !tokens.insert(token) || token > self.last_token {
                return Err(Violation::InvalidToken { version, token, last: self.last_token });
            }
        }
        let mut names = BTreeSet::new();
        if let Some(row) = self.entries.iter().find(|row| !names.insert(&row.name)) {
            return Err(Violation::DuplicateMachine { version, name: row.name.clone() });
        }
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

fn machine_name(change: &Change) -> &str {
    match change {
        Change::Nothing => "",
        Change::Request { name, .. }
        | Change::Cancel { name, .. }
        | Change::Done { name, .. }
        | Change::Grant { name, .. }
        | Change::Drained { name, .. }
        | Change::Expired { name, .. }
        | Change::TakeOver { name, .. }
        | Change::Removed { name, .. } => name,
    }
}
