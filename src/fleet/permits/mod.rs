//! Permits to send connections to new servers. Free of I/O and clocks.
//!
//! A new server accepts a few connections a second from all gateways together. Each server has two grantors
//! among the gateways, which the server's name determines. A gateway requests a permit from one of the
//! grantors before it sends a connection to the server. A request costs two datagrams, regardless of the size
//! of the fleet.
//!
//! The limit is exact: a grantor grants permits only from its own share, no other gateway can grant the same
//! permits, and a permit that is not used within [`PERMIT_LIFETIME`] expires. [`Permits::check_invariants`]
//! checks the invariants.

use std::collections::BTreeMap;

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::interface::{GatewayId, PermitReply, Span, Time};
use crate::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};

mod datagram;

pub use datagram::{DecodeError, MAX_DATAGRAM_LENGTH, PermitDatagram, REQUEST_LENGTH, ServerKey};

use datagram::{Message, MessageContent, Reply};

/// Number of grantors of a server. With a single grantor, new servers would get no permits while it restarts.
const GRANTORS_PER_SERVER: usize = 2;
/// Lifetime of a permit, from the request for it. The requester measures the lifetime by its own clock from
/// before the grant, so the permit expires earlier than the grantor assumes, never later.
pub const PERMIT_LIFETIME: Span = Span::from_micros(125_000);
/// Time-out for the reply of a grantor.
pub const REPLY_TIMEOUT: Span = Span::from_micros(100_000);
/// Duration for which no request is sent to a grantor that did not reply.
const UNREACHABLE_BACKOFF: Span = Span::from_micros(1_000_000);
/// Wait of a requester after a denial because the grantor does not have the server on its endpoint list yet,
/// as a fraction of [`UNREACHABLE_BACKOFF`].
const UNKNOWN_SERVER_BACKOFF_FRACTION: f64 = 0.5;
/// Fraction of the connections of a full server up to which a server is below its fair share.
const FAIR_SHARE_FILL: f64 = 0.5;
/// Maximum number of new servers that are tracked.
const MAX_TRACKED_SERVERS: usize = 4096;

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum PermitViolation {
    /// A permit was granted before the schedule issued it.
    #[error("permit {permit} of server {key:#010x} granted, {due} are due")]
    GrantedEarly {
        /// Key of the server.
        key: ServerKey,
        /// Number of the last permit granted.
        permit: u64,
        /// Number of permits that the schedule has issued.
        due: f64,
    },
    /// More permits were granted than this grantor's share since the server's start.
    #[error("{granted} permits granted for server {key:#010x}, {available} were this gateway's")]
    Overdrawn {
        /// Key of the server.
        key: ServerKey,
        /// Number of permits that this grantor granted.
        granted: u64,
        /// Number of permits in this grantor's share, up to the last permit granted.
        available: u64,
    },
    /// This gateway tracks a server, of this key, for which other gateways are the grantors.
    #[error("other gateways grant permits for server {0:#010x}")]
    NotGrantor(ServerKey),
}

impl PermitViolation {
    /// Returns the operator's remedy.
    pub fn help(&self) -> &'static str {
        match self {
            Self::GrantedEarly { .. } | Self::Overdrawn { .. } => {
                "restart this gateway, which then grants no earlier permit, and report this line"
            }
            Self::NotGrantor(_) => "compare `balancers` and `peers` on all gateways, and report this line",
        }
    }
}

/// Action for the caller after a request, a datagram or a time-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitStep {
    /// Sends the datagram.
    Send(PermitDatagram),
    /// Sends the datagram twice: it carries a permit, which would be lost with a single copy.
    SendTwice(PermitDatagram),
    /// Sends the request, and calls [`Permits::handle_reply_timeout`] after [`REPLY_TIMEOUT`].
    AwaitReply {
        /// Encoded permit request.
        datagram: PermitDatagram,
        /// Number of the permit request.
        request_number: u16,
    },
    /// Passes the reply to the decision module.
    Resolved {
        /// Key of the server that the permit is for.
        server: ServerKey,
        /// Reply to the request for a permit.
        reply: PermitReply,
    },
}

/// A request that was sent to a grantor.
struct PendingRequest {
    request_number: u16,
    grantor: GatewayId,
    requested_at: Time,
    /// Whether the request follows one to another grantor, which did not reply.
    is_retry: bool,
    /// Whether the reply was received. Answered requests are retained until the next endpoint list, so that
    /// second copies of replies are recognised.
    is_answered: bool,
}

/// Share of this grantor in the permits of a server.
#[derive(Default)]
struct GrantorShare {
    server_started_at: Time,
    /// Number of the last permit granted by any process of this grantor.
    last_granted_permit: u64,
    /// Number of permits granted by this process.
    granted_count: u64,
    /// Largest number of permits that the schedule has issued so far.
    permits_due: f64,
}

/// State of the permits that one gateway requests and grants.
pub struct Permits {
    own_gateway: GatewayId,
    gateway_count: u32,
    schedule: PermitSchedule,
    last_request_number: u16,
    pending_requests: BTreeMap<ServerKey, PendingRequest>,
    shares: BTreeMap<ServerKey, GrantorShare>,
    /// End of the backoff for each grantor that did not reply.
    unreachable_until: BTreeMap<GatewayId, Time>,
    process_started_at: Time,
}

impl Permits {
    /// Creates the state of gateway `own_gateway`, one of `gateway_count`, in a process that starts at `now`.
    pub fn new(own_gateway: GatewayId, gateway_count: u32, slow_start: SlowStartConfig, now: Time) -> Self {
        Self {
            own_gateway,
            gateway_count,
            schedule: slow_start.granted_permits(PERMIT_LIFETIME),
            last_request_number: 0,
            pending_requests: BTreeMap::new(),
            shares: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
            process_started_at: now,
        }
    }

    /// Returns the grantors of a server, which are the same at all gateways of the fleet.
    pub fn grantors(&self, key: ServerKey) -> Vec<GatewayId> {
        let gateway_count = self.gateway_count.max(1);
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(key));
        let mut grantors = Vec::with_capacity(GRANTORS_PER_SERVER);
        while grantors.len() < GRANTORS_PER_SERVER.min(gateway_count as usize) {
            let candidate = GatewayId(rng.next_u32() % gateway_count);
            if !grantors.contains(&candidate) {
                grantors.push(candidate);
            }
        }
        grantors
    }

    fn is_grantor(&self, key: ServerKey) -> bool {
        self.grantors(key).contains(&self.own_gateway)
    }

    /// Sets the servers of the endpoint list that started recently, with their start times.
    pub fn update_servers(&mut self, servers: impl Iterator<Item = (ServerKey, Time)>) {
        let mut previous = std::mem::take(&mut self.shares);
        // Replies to pending requests are still awaited, also for servers that the new list does not have.
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

    /// Requests a permit to send one connection to the server, which is full at `connections_when_full`
    /// connections.
    pub fn request_permit(&mut self, now: Time, key: ServerKey, connections_when_full: f64) -> PermitStep {
        let grantors = self.grantors(key);
        if grantors.contains(&self.own_gateway) {
            let reply = self.grant(now, key, connections_when_full);
            return PermitStep::Resolved { server: key, reply };
        }
        self.send_request(now, key, &grantors, false)
    }

    /// Sends a request to the next reachable grantor in round-robin order, so that each grants its share.
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

    /// Handles the time-out of a request: retries at the other grantor, or resolves the request without a
    /// reply. Returns `None` if the request was answered or replaced by a later one.
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

    /// Handles a datagram from another gateway. Returns `None` if it is the second copy of a reply.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram is ignored.
    pub fn handle_datagram(
        &mut self,
        now: Time,
        from: GatewayId,
        bytes: &[u8],
        connections_when_full: f64,
    ) -> Result<Option<PermitStep>, DecodeError> {
        if from == self.own_gateway || from.0 >= self.gateway_count {
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

    /// Returns the number of the last permit granted for a server, which this gateway reports to its
    /// siblings.
    pub fn last_granted_permit(&self, key: ServerKey) -> u64 {
        self.shares.get(&key).map_or(0, |share| share.last_granted_permit)
    }

    /// Records that a sibling has granted the permits up to `last_granted_permit`.
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

    /// Grants one permit from this grantor's share if one is due.
    fn grant(&mut self, now: Time, key: ServerKey, connections_when_full: f64) -> PermitReply {
        let grantors = self.grantors(key);
        let schedule = self.schedule;
        let process_started_at = self.process_started_at;
        let Some(share) = self.shares.get_mut(&key) else {
            // The endpoint list of this grantor is older than that of the requester.
            let retry_after = UNREACHABLE_BACKOFF.scale(UNKNOWN_SERVER_BACKOFF_FRACTION);
            return PermitReply::Denied { retry_after, below_fair_share: true };
        };
        let started_at = share.server_started_at;
        let holders = grantors.len() as u32;
        let position = grantors.iter().position(|&grantor| grantor == self.own_gateway);
        let holder = PermitHolder {
            // The share of the first grantor includes the first permit.
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
        // Earlier processes of this gateway may have granted all permits that were due before this process
        // started.
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

    /// Checks the invariants of the permits.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that is violated.
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
