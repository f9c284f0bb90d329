//! Permits for warming servers: requests from the decision module, datagrams from other gateways, and the
//! state of sibling processes.

use super::Engine;
use super::command::Command;
use super::timers::TimerEvent;
use crate::decision::interface::{Event, GatewayId, PermitReply, ServerId, SiblingState, Time};
use crate::fleet::permits::{DecodeError, PermitStep, PermitViolation, Permits, REPLY_TIMEOUT, ServerKey};
use crate::handover::ServerUsage;

impl Engine {
    /// Handles a datagram from another gateway.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was ignored; no state has changed in this case.
    pub fn handle_datagram(
        &mut self,
        now: Time,
        from: GatewayId,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) -> Result<(), DecodeError> {
        let connections_when_full = self.balancer.fleet_connections_when_full(now);
        let Some(permits) = &mut self.permits else { return Err(DecodeError::UnknownSender) };
        if let Some(step) = permits.handle_datagram(now, from, bytes, connections_when_full)? {
            self.apply_permit_step(now, step, commands);
        }
        self.process_pending_events(now, commands);
        Ok(())
    }

    /// Records the connections, recovery tokens and permits of a sibling process for a server.
    pub fn handle_sibling_state(
        &mut self,
        now: Time,
        server: ServerId,
        usage: ServerUsage,
        commands: &mut Vec<Command>,
    ) {
        let connections_when_full = self.balancer.fleet_connections_when_full(now);
        let hash_key = self.endpoints.hash_key(server);
        if let Some((permits, hash_key)) = self.permits.as_mut().zip(hash_key) {
            permits.record_sibling_grants(now, hash_key, usage.last_granted_permit, connections_when_full);
        }
        let state = SiblingState {
            open_connections: usage.open_connections,
            recovery_tokens: usage.recovery_tokens,
            last_used_permit: usage.last_used_permit,
        };
        self.handle_event(now, Event::SiblingState { server, state }, commands);
    }

    /// Returns this process's use of a server, for its sibling processes.
    pub fn sibling_usage(&self, server: ServerId) -> ServerUsage {
        let state = self.balancer.sibling_state(server);
        let permits = self.permits.as_ref().zip(self.endpoints.hash_key(server));
        ServerUsage {
            open_connections: state.open_connections,
            recovery_tokens: state.recovery_tokens,
            last_used_permit: state.last_used_permit,
            last_granted_permit: permits
                .map_or(0, |(permits, hash_key)| permits.last_granted_permit(hash_key)),
        }
    }

    /// Checks the invariants of the permits.
    ///
    /// # Errors
    ///
    /// Returns the invariant that is violated.
    pub fn check_permits(&self) -> Result<(), PermitViolation> {
        self.permits.as_ref().map_or(Ok(()), Permits::check_invariants)
    }

    /// Requests a permit on behalf of the decision module, which always receives a reply event.
    pub(super) fn request_permit(&mut self, now: Time, server: ServerId, commands: &mut Vec<Command>) {
        let connections_when_full = self.balancer.fleet_connections_when_full(now);
        let hash_key = self.endpoints.hash_key(server);
        let Some((permits, hash_key)) = self.permits.as_mut().zip(hash_key) else {
            let reply = PermitReply::NoReply;
            return self.pending_events.push_back(Event::PermitReply { server, reply });
        };
        let step = permits.request_permit(now, hash_key, connections_when_full);
        self.apply_permit_step(now, step, commands);
    }

    /// Handles a permit request to which the grantor has not replied in time.
    pub(super) fn handle_permit_timeout(
        &mut self,
        now: Time,
        server: ServerKey,
        request_number: u16,
        commands: &mut Vec<Command>,
    ) {
        let Some(permits) = &mut self.permits else { return };
        if let Some(step) = permits.handle_reply_timeout(now, server, request_number) {
            self.apply_permit_step(now, step, commands);
        }
    }

    fn apply_permit_step(&mut self, now: Time, step: PermitStep, commands: &mut Vec<Command>) {
        match step {
            PermitStep::Send(datagram) => commands.push(Command::SendDatagram(datagram)),
            PermitStep::SendTwice(datagram) => {
                commands.extend([Command::SendDatagram(datagram), Command::SendDatagram(datagram)]);
            }
            PermitStep::AwaitReply { datagram, request_number } => {
                commands.push(Command::SendDatagram(datagram));
                let timeout = TimerEvent::PermitReplyTimeout { server: datagram.key(), request_number };
                self.timers.schedule(now + REPLY_TIMEOUT, timeout);
            }
            PermitStep::Resolved { server, reply } => {
                if let Some(&server) = self.servers_by_key.get(&server) {
                    self.pending_events.push_back(Event::PermitReply { server, reply });
                }
            }
        }
    }
}
