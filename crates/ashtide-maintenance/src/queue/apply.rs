//! Application of changes to the queue, with one function for each kind of change.

use std::collections::BTreeSet;

use ashtide_fleet::state::Slot;

use super::{
    Change, ChangeRejected, Limits, MAX_COMPLETED_REQUESTS, MAX_ENTRIES, MAX_NAME, MAX_REASON, MachineKind,
    MaintenanceEntry, MaintenanceQueue, Phase,
};
use crate::mutation::{ActiveMutation, Mutation};

fn is_valid_text(text: &str, min_len: usize, max_len: usize) -> bool {
    (min_len..=max_len).contains(&text.len()) && !text.chars().any(char::is_control)
}

impl MaintenanceQueue {
    /// Applies one change. `ready` contains the names of the ready servers.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is rejected. The queue is then unchanged.
    pub fn apply(
        &mut self,
        change: &Change,
        limits: &Limits,
        ready: &BTreeSet<String>,
    ) -> Result<(), ChangeRejected> {
        self.apply_mutated(change, limits, ready, ActiveMutation::default())
    }

    /// Applies one change like [`apply`](Self::apply), with a mutation.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is rejected. The queue is then unchanged.
    #[cfg(feature = "mutation")]
    pub fn apply_with_mutation(
        &mut self,
        change: &Change,
        limits: &Limits,
        ready: &BTreeSet<String>,
        mutation: Option<Mutation>,
    ) -> Result<(), ChangeRejected> {
        self.apply_mutated(change, limits, ready, ActiveMutation { mutation })
    }

    pub(crate) fn apply_mutated(
        &mut self,
        change: &Change,
        limits: &Limits,
        ready: &BTreeSet<String>,
        mutation: ActiveMutation,
    ) -> Result<(), ChangeRejected> {
        let request_id = change.request_id();
        if request_id.is_some_and(|id| self.completed_requests.contains(&id)) {
            // The request was applied before, but its sender had not learned the result and sent it again.
            return Ok(());
        }
        match change {
            Change::Nothing => return Ok(()),
            Change::Request { request_id, kind, name, reason, requested_at_ms } => {
                self.enqueue(*request_id, *kind, name, reason, *requested_at_ms)?
            }
            Change::Cancel { name, .. } => self.cancel(name, mutation)?,
            Change::Done { name, .. } => self.finish(name, mutation)?,
            Change::Grant { name, holder } => self.grant(name, *holder, limits, ready)?,
            Change::Drained { name, token, return_at_once } => {
                self.finish_drain(name, *token, *return_at_once, mutation)?
            }
            Change::Expired { name, token } => self.expire(name, *token, mutation)?,
            Change::TakeOver { name, token, holder } => self.take_over(name, *token, *holder, mutation)?,
            Change::Removed { name, token } => self.remove_released(name, *token, mutation)?,
        }
        self.version += 1;
        if let Some(id) = request_id {
            self.remember_request(id);
        }
        if let Some(index) = change.machine_name().and_then(|name| self.position(name).ok()) {
            self.entries[index].phase_version = self.version;
        }
        Ok(())
    }

    fn remember_request(&mut self, id: u64) {
        self.completed_requests.push(id);
        let excess = self.completed_requests.len().saturating_sub(MAX_COMPLETED_REQUESTS);
        self.completed_requests.drain(..excess);
    }

    fn enqueue(
        &mut self,
        request_id: u64,
        kind: MachineKind,
        name: &str,
        reason: &str,
        requested_at_ms: u64,
    ) -> Result<(), ChangeRejected> {
        if !is_valid_text(name, 1, MAX_NAME) || !is_valid_text(reason, 0, MAX_REASON) {
            return Err(ChangeRejected::InvalidText);
        }
        if self.entry(name).is_some() {
            return Err(ChangeRejected::AlreadyQueued);
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Err(ChangeRejected::QueueFull);
        }
        self.entries.push(MaintenanceEntry {
            kind,
            name: name.to_owned(),
            reason: reason.to_owned(),
            requested_at_ms,
            request_id,
            phase_version: self.version + 1,
            phase: Phase::Queued,
        });
        self.entries.sort_by_key(|entry| (entry.requested_at_ms, entry.request_id));
        Ok(())
    }

    fn cancel(&mut self, name: &str, mutation: ActiveMutation) -> Result<(), ChangeRejected> {
        let index = self.position(name)?;
        match self.entries[index].phase {
            Phase::Queued => drop(self.entries.remove(index)),
            // Maintenance work starts only after the drain, so the grant can still be cancelled.
            Phase::Draining { token, .. } => self.release(index, token, mutation),
            Phase::Out { .. } | Phase::Released { .. } => return Err(ChangeRejected::AlreadyOut),
        }
        Ok(())
    }

    fn finish(&mut self, name: &str, mutation: ActiveMutation) -> Result<(), ChangeRejected> {
        let index = self.position(name)?;
        match self.entries[index].phase {
            Phase::Draining { token, .. } | Phase::Out { token, .. } => self.release(index, token, mutation),
            Phase::Queued | Phase::Released { .. } => return Err(ChangeRejected::NotOut),
        }
        Ok(())
    }

    fn grant(
        &mut self,
        name: &str,
        holder: Slot,
        limits: &Limits,
        ready: &BTreeSet<String>,
    ) -> Result<(), ChangeRejected> {
        let index = self.position(name)?;
        if self.entries[index].phase != Phase::Queued {
            return Err(ChangeRejected::AlreadyOut);
        }
        self.can_grant(&self.entries[index], limits, ready)?;
        self.last_token += 1;
        self.entries[index].phase = Phase::Draining { token: self.last_token, holder };
        Ok(())
    }

    fn finish_drain(
        &mut self,
        name: &str,
        token: u64,
        return_at_once: bool,
        mutation: ActiveMutation,
    ) -> Result<(), ChangeRejected> {
        let index = self.check_token(name, token, mutation)?;
        let Phase::Draining { token, holder } = self.entries[index].phase else {
            return Err(ChangeRejected::NotOut);
        };
        if return_at_once {
            self.release(index, token, mutation);
        } else {
            self.entries[index].phase = Phase::Out { token, holder };
        }
        Ok(())
    }

    fn expire(&mut self, name: &str, token: u64, mutation: ActiveMutation) -> Result<(), ChangeRejected> {
        let index = self.check_token(name, token, mutation)?;
        let Phase::Out { token, .. } = self.entries[index].phase else {
            return Err(ChangeRejected::NotOut);
        };
        self.release(index, token, mutation);
        Ok(())
    }

    fn take_over(
        &mut self,
        name: &str,
        token: u64,
        holder: Slot,
        mutation: ActiveMutation,
    ) -> Result<(), ChangeRejected> {
        let index = self.check_token(name, token, mutation)?;
        let token = self.last_token + 1;
        self.entries[index].phase = match self.entries[index].phase {
            Phase::Draining { .. } => Phase::Draining { token, holder },
            Phase::Out { .. } => Phase::Out { token, holder },
            Phase::Queued | Phase::Released { .. } => return Err(ChangeRejected::NotOut),
        };
        self.last_token = token;
        Ok(())
    }

    fn remove_released(
        &mut self,
        name: &str,
        token: u64,
        mutation: ActiveMutation,
    ) -> Result<(), ChangeRejected> {
        let index = self.check_token(name, token, mutation)?;
        let is_released = matches!(self.entries[index].phase, Phase::Released { .. });
        if !is_released && !mutation.is(Mutation::NoFencing) {
            return Err(ChangeRejected::AlreadyOut);
        }
        self.entries.remove(index);
        Ok(())
    }

    fn position(&self, name: &str) -> Result<usize, ChangeRejected> {
        self.entries.iter().position(|entry| entry.name == name).ok_or(ChangeRejected::NotQueued)
    }

    /// Returns the index of the machine `name` if `token` is the fencing token of its grant.
    fn check_token(&self, name: &str, token: u64, mutation: ActiveMutation) -> Result<usize, ChangeRejected> {
        let index = self.position(name)?;
        match self.entries[index].phase.token() {
            Some(granted) if granted == token || mutation.is(Mutation::NoFencing) => Ok(index),
            _ => Err(ChangeRejected::Fenced),
        }
    }

    fn release(&mut self, index: usize, token: u64, mutation: ActiveMutation) {
        if mutation.is(Mutation::NoCooling) {
            self.entries.remove(index);
        } else {
            self.entries[index].phase = Phase::Released { token };
        }
    }
}
