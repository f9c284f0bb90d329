//! Handling of received datagrams.

use std::time::Duration;

use super::super::message::{Received, StateMessage, decode_datagram};
use super::super::{
    AllocationVersion, CounterKey, FleetTotal, LeaseRequest, ReplicaCounts, Slot, VersionedCount,
};
use super::Exchange;
use crate::DecodeError;

impl Exchange {
    /// Handles a received datagram and trusts the sender named in it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram is rejected. The rejection is counted, and the state is unchanged.
    pub fn handle_datagram(&mut self, datagram: &[u8]) -> Result<(), DecodeError> {
        self.decode_and_handle(datagram, Some)
    }

    /// Handles a datagram from the source address of the gateway `sender`; `None` if the address belongs to
    /// no gateway.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`handle_datagram`](Self::handle_datagram), and an error if the datagram names a
    /// sender other than `sender`.
    pub fn handle_datagram_from(&mut self, sender: Option<Slot>, datagram: &[u8]) -> Result<(), DecodeError> {
        self.decode_and_handle(datagram, |_| sender)
    }

    fn decode_and_handle(
        &mut self,
        datagram: &[u8],
        sender_of: impl Fn(Slot) -> Option<Slot>,
    ) -> Result<(), DecodeError> {
        let received = decode_datagram(self.config.fleet_id, datagram).and_then(|received| {
            self.check_sender(received.sender, sender_of(received.sender))?;
            Ok(received)
        });
        match received {
            Ok(Received { sender, incarnation, messages }) => {
                for message in messages {
                    self.handle_message(sender, incarnation, message);
                }
                Ok(())
            }
            Err(error) => {
                *self.traffic.rejected.entry(error).or_default() += 1;
                Err(error)
            }
        }
    }

    fn check_sender(&self, claimed: Slot, sender: Option<Slot>) -> Result<(), DecodeError> {
        if sender != Some(claimed) {
            Err(DecodeError::Foreign)
        } else if claimed == self.own_slot {
            Err(DecodeError::Own)
        } else if claimed.0 >= self.config.slot_count {
            Err(DecodeError::Full)
        } else {
            Ok(())
        }
    }

    fn handle_message(&mut self, from: Slot, incarnation: u64, message: StateMessage) {
        match message {
            StateMessage::LeaseRequest(id, request) => self.handle_lease_request(from, id, request),
            StateMessage::LeaseGrant(id, grant) => {
                if let Some(shared) = self.budgets.get_mut(&id) {
                    // A rejected grant is ignored: the next lease request replaces it.
                    let _ = shared.budget.accept_lease(self.now, from, grant);
                }
            }
            StateMessage::Evidence(message) => {
                self.outlier_reports.handle_message(self.now, from, message);
            }
            StateMessage::Count(key, count) => self.merge_count(from, incarnation, key, count),
            StateMessage::CountsDigest(round, digest) => {
                self.handle_counts_digest(from, incarnation, round, digest);
            }
            StateMessage::ResendCounts => self.resend_counts(from),
            StateMessage::TotalRequest(key) => self.send_total(from, key),
            StateMessage::Total(key, sum, gateways, age_ms) => {
                let max_age = Duration::from_millis(u64::from(age_ms));
                self.cache_total(key, FleetTotal { sum, gateway_count: usize::from(gateways), max_age });
            }
            StateMessage::SnapshotRequest => self.send_snapshot(from),
            StateMessage::SnapshotCount(slot, incarnation, key, count) => {
                if !self.is_started {
                    self.merge_count(slot, incarnation, key, count);
                }
            }
            StateMessage::SnapshotEnd => self.is_started = true,
            StateMessage::AllocationVersion(version) => self.handle_allocation_version(from, version),
        }
    }

    fn handle_lease_request(&mut self, from: Slot, id: u32, request: LeaseRequest) {
        let Some(shared) = self.budgets.get_mut(&id) else { return };
        if let Ok(grant) = shared.budget.grant_lease(self.now, from, request) {
            self.enqueue(from, StateMessage::LeaseGrant(id, grant));
        }
    }

    fn merge_count(&mut self, slot: Slot, incarnation: u64, key: CounterKey, count: VersionedCount) {
        let row = ReplicaCounts { incarnation, cells: [(key, count)].into() };
        self.counting.counts.merge_remote(self.now, slot, &row);
    }

    fn send_total(&mut self, to: Slot, key: CounterKey) {
        let total = self.counting.counts.total(key);
        let gateways = total.gateway_count.min(usize::from(u16::MAX)) as u16;
        let age_ms = total.max_age.as_millis().min(u128::from(u16::MAX)) as u16;
        self.enqueue(to, StateMessage::Total(key, total.sum, gateways, age_ms));
    }

    fn handle_allocation_version(&mut self, from: Slot, version: AllocationVersion) {
        let mut answer = None;
        self.with_agreement(|agreement| {
            if agreement.handle_message(from, version) {
                answer = Some(agreement.next_message());
            }
        });
        if let Some(version) = answer {
            self.enqueue(from, StateMessage::AllocationVersion(version));
        }
    }
}
