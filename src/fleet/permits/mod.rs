//! Permits to send connections to new servers.
//!
//! A new server takes a few connections a second of all gateways together. Each server has two grantors among the
//! gateways, chosen by its name, and a gateway requests a permit of one of them before it places a connection there.
//! This costs two datagrams whatever the size of the fleet, and the limit holds exactly: what a grantor grants comes
//! out of its own share, no other gateway can grant it, and a permit that is not used at once is lost.
//! [`Permits::check_invariants`] names what must always hold. There is no I/O and no clock here.

use std::collections::BTreeMap;

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::interface::{GatewayId, PermitReply, Span, Time};
use crate::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};

mod datagram;

pub use datagram::{DecodeError, MAX_DATAGRAM_LENGTH, PermitDatagram, REQUEST_LENGTH, ServerKey};

use datagram::{Message, MessageContent, Reply};

/// Grantors of a server. One alone would leave new servers without permits while it restarts.
const GRANTORS_PER_SERVER: usize = 2;
/// A permit expires this long after the request for it. Counted by the clock of the requester from before the grant,
/// so that it ends earlier than the grantor assumes, never later.
pub const PERMIT_LIFETIME: Span = Span::from_micros(125_000);
/// Longest wait for the reply of a grantor.
pub const REPLY_TIMEOUT: Span = Span::from_micros(100_000);
/// A grantor that did not reply is not asked for this long.
const UNREACHABLE_BACKOFF: Span = Span::from_micros(1_000_000);
/// When a grantor does not know a server yet, the requester asks again after this fraction of
/// [`UNREACHABLE_BACKOFF`].
const UNKNOWN_SERVER_BACKOFF_FRACTION: f64 = 0.5;
/// A server is below its fair share until it holds this fraction of what fills it.
const FAIR_SHARE_FILL: f64 = 0.5;
/// New servers that are tracked, at most.
const MAX_TRACKED_SERVERS: usize = 4096;

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum PermitViolation {
    /// A permit was granted before it was due.
    #[error("permit {permit} of server {key:#010x} granted, {due} are due")]
    GrantedEarly {
        /// The server.
        key: ServerKey,
        /// The last permit granted.
        permit: u64,
        /// Permits that are due.
        due: f64,
    },
    /// More permits were granted than this grantor has had since the start.
    #[error("{granted} permits granted for server {key:#010x}, {available} were this gateway's")]
    Overdrawn {
        /// The server.
        key: ServerKey,
        /// Permits granted here.
        granted: u64,
        /// Permits of this grantor up to the last granted.
        available: u64,
    },
    /// A server is tracked here that other gateways grant permits for.
    #[error("other gateways grant permits for server {0:#010x}")]
    NotGrantor(ServerKey),
}

impl PermitViolation {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::GrantedEarly { .. } | Self::Overdrawn { .. } => {
                "restart this gateway, which then grants no earlier permit, and report the line"
            }
            Self::NotGrantor(_) => "compare `balancers` and `peers` on all gateways, and report the line",
        }
    }
}

/// What follows from a request or a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitStep {
    /// Send this datagram.
    Send(PermitDatagram),
    /// Send this datagram twice: it carries a permit, which would be lost with it.
    SendTwice(PermitDatagram),
    /// Send this request, and call [`Permits::handle_reply_timeout`] after [`REPLY_TIMEOUT`].
    AwaitReply {
        /// The request.
        datagram: PermitDatagram,
        /// Its number.
        request_number: u16,
    },
    /// Pass this reply on to the decision module.
    Resolved {
        /// The server that the permit is for.
        server: ServerKey,
        /// The reply.
        reply: PermitReply,
    },
}

/// A request to a grantor.
struct PendingRequest {
    request_number: u16,
    grantor: GatewayId,
    requested_at: Time,
    /// Whether another grantor was asked before.
    is_retry: bool,
    /// Whether the reply has come. Answered requests are kept until the next list, to recognise second copies.
    is_answered: bool,
}

/// This grantor's share of a server's permits.
#[derive(Default)]
struct GrantorShare {
    server_started_at: Time,
    /// The last permit granted, by any process of this grantor.
    last_granted_permit: u64,
    /// Permits granted by this process.
    granted_count: u64,
    /// The most permits that have been due so far.
    permits_due: f64,
}

/// Permits that one gateway requests and grants.
pub struct Permits {
    own_gateway: GatewayId,
    gateways: u32,
    schedule: PermitSchedule,
    last_request_number: u16,
    pending_requests: BTreeMap<ServerKey, PendingRequest>,
    shares: BTreeMap<ServerKey, GrantorShare>,
    /// Grantors that did not reply, and until when they are not asked.
    unreachable_until: BTreeMap<GatewayId, Time>,
    process_started_at: Time,
}

impl Permits {
    /// Permits of gateway `own_gateway` of `gateways`, in a process that starts now.
    pub fn new(own_gateway: GatewayId, gateways: u32, slow_start: SlowStartConfig, now: Time) -> Self {
        Self {
            own_gateway,
            gateways,
            schedule: slow_start.granted_permits(PERMIT_LIFETIME),
            last_request_number: 0,
            pending_requests: BTreeMap::new(),
            shares: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
            process_started_at: now,
        }
    }

    /// The grantors of a server: the same at all gateways of the fleet.
    pub fn grantors(&self, key: ServerKey) -> Vec<GatewayId> {
        let gateways = self.gateways.max(1);
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(key));
        let mut grantors = Vec::with_capacity(GRANTORS_PER_SERVER);
        while grantors.len() < GRANTORS_PER_SERVER.min(gateways as usize) {
            let drawn = GatewayId(rng.next_u32() % gateways);
            if !grantors.contains(&drawn) {
                grantors.push(drawn);
            }
        }
        grantors
    }

    fn is_grantor(&self, key: ServerKey) -> bool {
        self.grantors(key).contains(&self.own_gateway)
    }

    /// Sets the servers on the list that have started lately, with their starts.
    pub fn update_servers(&mut self, servers: impl Iterator<Item = (ServerKey, Time)>) {
        let mut previous = std::mem::take(&mut self.shares);
        // Pending requests are awaited, whatever the list says.
        self.pending_requests.retain(|_, request| !request.is_answered);
        for (key, server_started_at) in servers.take(MAX_TRACKED_SERVERS) {
            if !self.is_grantor(key) {
                continue;
            }
            let unchanged =
                previous.remove(&key).filter(|share| share.server_started_at == server_started_at);
            let share = unchanged.unwrap_or(GrantorShare { server_started_at, ..GrantorShare::default() });
            self.shares.insert(key, share);
        }
    }

    /// Requests a permit to send one connection to this server, which `connections_when_full` connections fill.
    pub fn request_permit(&mut self, now: Time, key: ServerKey, connections_when_full: f64) -> PermitStep {
        let grantors = self.grantors(key);
        if grantors.contains(&self.own_gateway) {
            let reply = self.grant(now, key, connections_when_full);
            return PermitStep::Resolved { server: key, reply };
        }
        self.send_request(now, key, &grantors, false)
    }

    /// Sends a request to the next reachable grantor. They take turns, so that each grants its share.
    fn send_request(
        &mut self,
        now: Time,
        key: ServerKey,
        grantors: &[GatewayId],
        is_retry: bool,
    ) -> PermitStep {
        self.unreachable_until.retain(|_, until| now < *until);
        let first = usize::from(self.last_request_number) % grantors.len().max(1);
        let mut round_robin = grantors.iter().cycle().skip(first).take(grantors.len());
        let Some(&grantor) = round_robin.find(|grantor| !self.unreachable_until.contains_key(grantor)) else {
            return PermitStep::Resolved { server: key, reply: PermitReply::NoReply };
        };
        self.last_request_number = self.last_request_number.wrapping_add(1);
        let request_number = self.last_request_number;
        let request =
            PendingRequest { request_number, grantor, requested_at: now, is_retry, is_answered: false };
        self.pending_requests.insert(key, request);
        let datagram = PermitDatagram::request(grantor, request_number, key);
        PermitStep::AwaitReply { datagram, request_number }
    }

    /// The grantor that was sent this request has had its time. None if the request is answered or was sent anew.
    pub fn handle_reply_timeout(
        &mut self,
        now: Time,
        key: ServerKey,
        request_number: u16,
    ) -> Option<PermitStep> {
        let is_pending =
            |request: &&PendingRequest| request.request_number == request_number && !request.is_answered;
        let request = self.pending_requests.get(&key).filter(is_pending)?;
        let is_retry = request.is_retry;
        self.unreachable_until.insert(request.grantor, now + UNREACHABLE_BACKOFF);
        self.pending_requests.remove(&key);
        if is_retry {
            return Some(PermitStep::Resolved { server: key, reply: PermitReply::NoReply });
        }
        Some(self.send_request(now, key, &self.grantors(key), true))
    }

    /// Handles a datagram of another gateway. None if it is the second copy of a reply.
    ///
    /// # Errors
    ///
    /// Says why it is ignored.
    pub fn handle_datagram(
        &mut self,
        now: Time,
        from: GatewayId,
        bytes: &[u8],
        connections_when_full: f64,
    ) -> Result<Option<PermitStep>, DecodeError> {
        if from == self.own_gateway || from.0 >= self.gateways {
            return Err(DecodeError::UnknownSender);
        }
        let message = Message::decode(bytes)?;
        match message.content {
            MessageContent::Request => {
                self.handle_request(now, from, message, connections_when_full).map(Some)
            }
            MessageContent::Reply(reply) => self.handle_reply(from, message, reply),
        }
    }

    fn handle_request(
        &mut self,
        now: Time,
        from: GatewayId,
        message: Message,
        connections_when_full: f64,
    ) -> Result<PermitStep, DecodeError> {
        let Message { request_number, server, .. } = message;
        if !self.is_grantor(server) {
            return Err(DecodeError::NotGrantor);
        }
        let datagram = |reply| PermitDatagram::reply(from, request_number, server, reply);
        Ok(match self.grant(now, server, connections_when_full) {
            PermitReply::Granted { below_fair_share, .. } => {
                PermitStep::SendTwice(datagram(Reply::granted(below_fair_share)))
            }
            PermitReply::Denied { retry_after, below_fair_share } => {
                PermitStep::Send(datagram(Reply::denied(retry_after, below_fair_share)))
            }
            PermitReply::NoReply => PermitStep::Send(datagram(Reply::unavailable())),
        })
    }

    fn handle_reply(
        &mut self,
        from: GatewayId,
        message: Message,
        reply: Reply,
    ) -> Result<Option<PermitStep>, DecodeError> {
        let Message { request_number, server, .. } = message;
        let is_answered_by = |request: &&mut PendingRequest| {
            request.request_number == request_number && request.grantor == from
        };
        let request = self.pending_requests.get_mut(&server).filter(is_answered_by);
        let request = request.ok_or(DecodeError::UnexpectedReply)?;
        if std::mem::replace(&mut request.is_answered, true) {
            return Ok(None);
        }
        let below_fair_share = reply.below_fair_share;
        let reply = if reply.granted {
            PermitReply::Granted { expires_at: request.requested_at + PERMIT_LIFETIME, below_fair_share }
        } else {
            PermitReply::Denied { retry_after: reply.retry_after(), below_fair_share }
        };
        Ok(Some(PermitStep::Resolved { server, reply }))
    }

    /// The last permit granted for a server, which other processes of this gateway need to know.
    pub fn last_granted_permit(&self, key: ServerKey) -> u64 {
        self.shares.get(&key).map_or(0, |share| share.last_granted_permit)
    }

    /// Another process of this gateway has granted the permits up to this one.
    pub fn record_sibling_grants(
        &mut self,
        now: Time,
        key: ServerKey,
        last_granted_permit: u64,
        connections_when_full: f64,
    ) {
        let Some(share) = self.shares.get_mut(&key) else { return };
        let started_at = share.server_started_at;
        let accepted = self.schedule.accept_reported_permit(
            now,
            Some(started_at),
            connections_when_full,
            last_granted_permit,
        );
        share.last_granted_permit = share.last_granted_permit.max(accepted);
        let due = self.schedule.permits_issued(now.since(started_at), connections_when_full);
        share.permits_due = share.permits_due.max(due);
    }

    /// Grants one permit out of this grantor's share, if one is due.
    fn grant(&mut self, now: Time, key: ServerKey, connections_when_full: f64) -> PermitReply {
        let grantors = self.grantors(key);
        let schedule = self.schedule;
        let process_started_at = self.process_started_at;
        let Some(share) = self.shares.get_mut(&key) else {
            // The list of this grantor is behind that of the requester.
            let retry_after = UNREACHABLE_BACKOFF.scale(UNKNOWN_SERVER_BACKOFF_FRACTION);
            return PermitReply::Denied { retry_after, below_fair_share: true };
        };
        let started_at = share.server_started_at;
        let holders = grantors.len() as u32;
        let position = grantors.iter().position(|&grantor| grantor == self.own_gateway);
        let holder = PermitHolder {
            // The first grantor holds the first permit.
            index: (position.unwrap_or_default() as u32 + 1) % holders,
            holders,
            started_at: process_started_at,
            last_used_permit: share.last_granted_permit,
        };
        let permit = schedule.next_permit(now, started_at, connections_when_full, holder);
        if let Ok(permit) = permit {
            let due = schedule.permits_issued(now.since(started_at), connections_when_full);
            share.record_grant(permit, due);
        }
        // Earlier processes of this gateway may have granted all that was due before this one started.
        let due_before_start =
            schedule.permits_issued(process_started_at.since(started_at), connections_when_full);
        let granted_before = (due_before_start - 1.0) / f64::from(holders);
        let fair_share = FAIR_SHARE_FILL * connections_when_full / f64::from(holders);
        let below_fair_share = share.granted_count as f64 + granted_before < fair_share;
        match permit {
            Ok(_) => PermitReply::Granted { expires_at: now + PERMIT_LIFETIME, below_fair_share },
            Err(retry_after) => PermitReply::Denied { retry_after, below_fair_share },
        }
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Names the one that does not hold.
    pub fn check_invariants(&self) -> Result<(), PermitViolation> {
        for (&key, share) in &self.shares {
            let permit = share.last_granted_permit;
            if share.granted_count > 0 && permit as f64 > share.permits_due + 1.0 {
                return Err(PermitViolation::GrantedEarly { key, permit, due: share.permits_due });
            }
            let available = permit / self.grantors(key).len().max(1) as u64 + 1;
            if share.granted_count > available {
                return Err(PermitViolation::Overdrawn { key, granted: share.granted_count, available });
            }
            if !self.is_grantor(key) {
                return Err(PermitViolation::NotGrantor(key));
            }
        }
        Ok(())
    }
}

impl GrantorShare {
    fn record_grant(&mut self, permit: u64, permits_due: f64) {
        self.last_granted_permit = permit;
        self.granted_count += 1;
        self.permits_due = self.permits_due.max(permits_due);
    }
}
