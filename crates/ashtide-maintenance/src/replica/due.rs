//! Changes that are due according to this gateway's copy of the queue, and the delay after which it may
//! propose them.

use std::time::Duration;

use ashtide_fleet::state::{Slot, rendezvous};

use super::Replica;
use crate::queue::{Change, MachineKind, MaintenanceEntry, Phase};

/// Changes that are due.
#[derive(Default)]
pub(super) struct DueChanges {
    /// Changes that only this gateway proposes, as the holder of a grant.
    pub(super) by_holder: Vec<Change>,
    /// Changes that any acceptor may propose.
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

    /// Checks whether every gateway has learned that a machine is released, or its lease has expired.
    fn is_known_released(&self, entry: &MaintenanceEntry) -> bool {
        let age = self.phase_age(&entry.name).unwrap_or_default();
        let has_learned = |slot: &Slot| {
            *slot == self.config.own_slot
                || self
                    .peer_reports
                    .get(slot)
                    .is_some_and(|report| report.acting_version >= entry.phase_version)
        };
        age >= self.config.timing.silence_limit() || self.config.members.iter().all(has_learned)
    }

    /// Checks whether no report of a gateway has been received for so long that its lease must have expired.
    fn is_silent(&self, slot: Slot) -> bool {
        let last_report_at = self.peer_reports.get(&slot).map_or(Duration::ZERO, |report| report.received_at);
        self.observed_time >= last_report_at + self.config.timing.silence_limit()
    }

    /// Checks whether the drain of a machine is complete: no gateway has open connections to it, the time
    /// limit is reached, or the machine is a gateway, whose drain is not waited for.
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

    /// Returns the grants that the limits allow.
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

    /// Checks whether this gateway may propose changes that any acceptor may propose and that have been due
    /// since `due_since`. Each present acceptor waits one step longer than the acceptor ranked before it.
    pub(super) fn may_take_over(&self, due_since: Duration) -> bool {
        self.observed_time >= due_since + self.config.timing.takeover_step * self.takeover_rank()
    }

    /// Returns the number of present acceptors that are ranked before this gateway by a rendezvous hash of
    /// the queue's version.
    fn takeover_rank(&self) -> u32 {
        let own = self.config.own_slot;
        let limit = self.config.timing.silence_limit();
        let has_recent_report = |slot: &Slot| {
            let report = self.peer_reports.get(slot);
            report.is_some_and(|report| self.observed_time < report.received_at + limit)
        };
        let is_present =
            |slot: &Slot| *slot == own || self.peer_reports.is_empty() || has_recent_report(slot);
        let present = self.config.acceptors.iter().copied().filter(is_present);
        let version = self.leased_state.queue().version;
        let ranked = rendezvous(version, present, self.config.acceptors.len());
        ranked.iter().position(|&slot| slot == own).unwrap_or(ranked.len()) as u32
    }
}
