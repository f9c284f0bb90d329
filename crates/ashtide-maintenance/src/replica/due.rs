//! Which changes are due by what this gateway knows, and whose turn it is to propose them.

use std::time::Duration;

use ashtide_fleet::state::{Slot, rendezvous};

use super::Replica;
use crate::queue::{Change, MachineKind, MaintenanceEntry, Phase};

/// Changes that are due.
#[derive(Default)]
pub(super) struct DueChanges {
    /// Those that fall to this gateway alone, as the holder of a grant.
    pub(super) by_holder: Vec<Change>,
    /// Those that any acceptor may propose.
    pub(super) by_any: Vec<Change>,
}

impl Replica {
    pub(super) fn due_changes(&self) -> DueChanges {
        let mut due = DueChanges::default();
        for entry in &self.leased_state.queue().entries {
            self.add_due_change(entry, &mut due);
        }
        due.by_any.extend(self.due_grants());
        if self.reader.is_split() {
            due.by_any.push(Change::Nothing);
        }
        due
    }

    fn add_due_change(&self, entry: &MaintenanceEntry, due: &mut DueChanges) {
        let own = self.config.own_slot;
        let name = entry.name.clone();
        match entry.phase {
            Phase::Queued => {}
            Phase::Released { token } => {
                if self.is_known_released(entry) {
                    due.by_any.push(Change::Removed { name, token });
                }
            }
            Phase::Draining { token, holder } | Phase::Out { token, holder } if holder != own => {
                if self.is_silent(holder) {
                    due.by_any.push(Change::TakeOver { name, token, holder: own });
                }
            }
            Phase::Draining { token, .. } => {
                if self.is_drained(entry, token) {
                    let return_at_once =
                        self.config.timing.return_when_drained && entry.kind == MachineKind::Server;
                    due.by_holder.push(Change::Drained { name, token, return_at_once });
                }
            }
            Phase::Out { token, .. } => {
                if self.phase_age(&entry.name).unwrap_or_default() >= self.config.timing.max_work {
                    due.by_holder.push(Change::Expired { name, token });
                }
            }
        }
    }

    /// Whether all gateways know that a machine is back, or the leases of those that do not have ended.
    fn is_known_released(&self, entry: &MaintenanceEntry) -> bool {
        let age = self.phase_age(&entry.name).unwrap_or_default();
        let knows = |slot: &Slot| {
            *slot == self.config.own_slot
                || self
                    .peer_reports
                    .get(slot)
                    .is_some_and(|report| report.acting_version >= entry.phase_version)
        };
        age >= self.config.timing.silence_limit() || self.config.members.iter().all(knows)
    }

    /// Whether the lease of a gateway must have ended, as nothing was received of it.
    fn is_silent(&self, slot: Slot) -> bool {
        let last = self.peer_reports.get(&slot).map_or(Duration::ZERO, |report| report.received_at);
        self.observed_time >= last + self.config.timing.silence_limit()
    }

    /// Whether no gateway has connections to a machine that drains, or nobody waits for them.
    fn is_drained(&self, entry: &MaintenanceEntry, token: u64) -> bool {
        let has_none = |slot: &Slot| {
            let report = self.peer_reports.get(slot);
            report.is_some_and(|report| report.open_connections.contains(&(token, 0)))
        };
        let own = self.config.own_slot;
        let mut others = self.observations.present_gateways.iter().filter(|&&slot| slot != own);
        let is_empty = self.observations.open_on(&entry.name) == 0 && others.all(has_none);
        let age = self.phase_age(&entry.name).unwrap_or_default();
        is_empty || age >= self.config.timing.max_drain || entry.kind == MachineKind::Gateway
    }

    /// The grants that the limits allow now.
    fn due_grants(&self) -> Vec<Change> {
        let mut grants = Vec::new();
        let mut queue = self.leased_state.queue().clone();
        for kind in [MachineKind::Server, MachineKind::Gateway] {
            while let Some(entry) = queue.next_queued(kind) {
                let grant = Change::Grant { name: entry.name.clone(), holder: self.config.own_slot };
                let ready = &self.observations.ready_servers;
                if queue.apply(&grant, &self.config.limits, ready).is_err() {
                    break;
                }
                grants.push(grant);
            }
        }
        grants
    }

    /// Whether it is this gateway's turn to propose what any may and what has been due since then: each gateway that
    /// is present waits one step longer than the one before it.
    pub(super) fn may_take_over(&self, due_since: Duration) -> bool {
        self.observed_time >= due_since + self.config.timing.takeover_step * self.takeover_rank()
    }

    /// How many of those that are present come before this one, for this version of the queue.
    fn takeover_rank(&self) -> u32 {
        let own = self.config.own_slot;
        let limit = self.config.timing.silence_limit();
        let reported_lately = |slot: &Slot| {
            let report = self.peer_reports.get(slot);
            report.is_some_and(|report| self.observed_time < report.received_at + limit)
        };
        let is_present = |slot: &Slot| *slot == own || self.peer_reports.is_empty() || reported_lately(slot);
        let present = self.config.acceptors.iter().copied().filter(is_present);
        let version = self.leased_state.queue().version;
        let ranked = rendezvous(version, present, self.config.acceptors.len());
        ranked.iter().position(|&slot| slot == own).unwrap_or(ranked.len()) as u32
    }
}
