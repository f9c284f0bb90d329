//! Rights to send to new servers: each server's allowance is kept by two gateways that its name tells, and a
//! gateway asks one of them before it places a connection there.
//!
//! A new server takes a few connections a second of all gateways together. Told by words to everybody, that cost a
//! datagram a gateway for each placement; asked for, it costs two whatever the size of the tier, and holds exactly:
//! what an owner grants comes out of its own part of the allowance, nobody else can grant it, and a right that is
//! not used at once is lost. No socket and no clock; [`Rights::check`] names what may never be otherwise.
//!
//! | byte | of an ask | of an answer |
//! | --- | --- | --- |
//! | 0 | 18 | 19 |
//! | 1, 2 | number, given back by the answer | the ask's number |
//! | 3 to 6 | the server's key, as in connection ids | the same |
//! | 7 | | bit 0: granted; bit 1: the server still lacks its part |
//! | 8 | | where not granted: wait, in steps of 16 ms |

use std::collections::BTreeMap;

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decision::interface::{GatewayId, PermitReply, Span, Time};
use crate::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};

/// A server's key: the head of the SHA-256 of its name.
pub type ServerKey = u32;

/// Bytes of an ask and of an answer.
pub const REQUEST_LENGTH: usize = 7;
/// Longest datagram.
pub const MAX_DATAGRAM_LENGTH: usize = 9;
const REQUEST_TAG: u8 = 18;
const REPLY_TAG: u8 = 19;
const GRANTED_FLAG: u8 = 1;
const BELOW_FAIR_SHARE_FLAG: u8 = 2;
/// Milliseconds in a step of the wait that an answer tells.
const WAIT_STEP_MS: i64 = 16;

/// Owners of a server's allowance. One alone would leave new servers without any while it restarts.
const GRANTORS_PER_SERVER: usize = 2;
/// A right is used within this time of the ask for it, or lost: counted by the asker's own clock from before the
/// owner has granted it, so that it ends earlier than the owner thinks, never later.
pub const PERMIT_LIFETIME: Span = Span::from_micros(125_000);
/// An owner that has not answered by then is asked no more; datagrams take some tens of milliseconds.
pub const REPLY_TIMEOUT: Span = Span::from_micros(100_000);
/// An owner that did not answer is passed over for this time, and one that is cut off heals unasked.
const UNREACHABLE_BACKOFF: Span = Span::from_micros(1_000_000);
/// Part of what fills a server that it is to get before others: a fleet in use by half.
const FAIR_SHARE_FILL: f64 = 0.5;
/// Servers whose allowance is kept here at most: more than lists hold.
const MAX_TRACKED_SERVERS: usize = 4096;

/// Why a datagram is not heard. It has changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is neither an ask nor an answer.
    #[error("{0} bytes that are neither an ask nor an answer")]
    Malformed(usize),
    /// No gateway of this tier has sent it, or this one itself.
    #[error("of no other gateway of this tier")]
    UnknownSender,
    /// An ask for a server whose allowance is kept elsewhere.
    #[error("an ask for what is kept elsewhere")]
    NotGrantor,
    /// An answer to nothing that is asked: late, or to another.
    #[error("an answer to nothing asked")]
    UnexpectedReply,
}

impl DecodeError {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "gateways of one tier run one version; see who sends to peer_listen",
            Self::UnknownSender => "see that `peers` names the same gateways in the same order everywhere",
            Self::NotGrantor => "see that `peers` and `balancers` are the same everywhere",
            Self::UnexpectedReply => {
                "nothing, if rare: the network was slow; often: look for a gateway that stalls"
            }
        }
    }
}

/// What may never be so.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum PermitViolation {
    /// A turn has been granted that had not come.
    #[error("turn {turn} of server {key:#010x} granted, {come} have come")]
    GrantedEarly {
        /// The server.
        key: ServerKey,
        /// The last turn granted.
        turn: u64,
        /// Turns that have come.
        come: f64,
    },
    /// More has been granted than this owner's turns since the start.
    #[error("{granted} rights granted for server {key:#010x}, {turns} turns were this owner's")]
    Overdrawn {
        /// The server.
        key: ServerKey,
        /// Rights granted here.
        granted: u64,
        /// Turns of this owner up to the last granted.
        turns: u64,
    },
    /// The allowance of a server is kept here that others keep.
    #[error("server {0:#010x} is kept by others")]
    NotGrantor(ServerKey),
}

impl PermitViolation {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::GrantedEarly { .. } | Self::Overdrawn { .. } => {
                "restart this gateway, which then grants no turn of before, and report the line"
            }
            Self::NotGrantor(_) => "compare `balancers` and `peers` on all gateways, and report the line",
        }
    }
}

/// A datagram to another gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDatagram {
    /// To whom.
    pub to: GatewayId,
    bytes: [u8; MAX_DATAGRAM_LENGTH],
    length: usize,
}

impl PermitDatagram {
    fn new(to: GatewayId, number: u16, key: ServerKey, answer: Option<[u8; 2]>) -> Self {
        let (mut bytes, answers) = ([0; MAX_DATAGRAM_LENGTH], answer.is_some());
        bytes[0] = if answers { REPLY_TAG } else { REQUEST_TAG };
        bytes[1..3].copy_from_slice(&number.to_be_bytes());
        bytes[3..7].copy_from_slice(&key.to_be_bytes());
        bytes[7..].copy_from_slice(&answer.unwrap_or_default());
        Self { to, bytes, length: if answers { MAX_DATAGRAM_LENGTH } else { REQUEST_LENGTH } }
    }

    /// The server that it is about.
    pub fn key(&self) -> ServerKey {
        ServerKey::from_be_bytes([self.bytes[3], self.bytes[4], self.bytes[5], self.bytes[6]])
    }

    /// What it holds.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

/// What follows of an ask, or of a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitStep {
    /// This is to be sent.
    Send(PermitDatagram),
    /// This is to be sent twice: lost, it would cost a turn, and repeated it makes none.
    SendTwice(PermitDatagram),
    /// This is to be sent, and [`Rights::overdue`] to be called after [`PATIENCE`] with this number.
    AwaitReply(PermitDatagram, u16),
    /// The module is to hear this of the server.
    Resolved(ServerKey, PermitReply),
}

struct PendingRequest {
    request_number: u16,
    grantor: GatewayId,
    requested_at: Time,
    /// Whether another owner has been asked before.
    is_retry: bool,
    /// Whether the answer has come. Kept until the next list, to know the second copy of it.
    is_answered: bool,
}

/// This owner's part of a server's allowance.
#[derive(Default)]
struct GrantorShare {
    server_started_at: Time,
    /// The last turn granted, by any process of this owner that has told.
    last_granted_permit: u64,
    /// Turns granted here, and the most that had come at any look.
    granted_count: u64,
    permits_due: f64,
}

/// What one gateway asks and grants.
pub struct Permits {
    own_gateway: GatewayId,
    gateways: u32,
    schedule: PermitSchedule,
    last_request_number: u16,
    pending_requests: BTreeMap<ServerKey, PendingRequest>,
    shares: BTreeMap<ServerKey, GrantorShare>,
    /// Until when an owner that did not answer is passed over.
    unreachable_until: BTreeMap<GatewayId, Time>,
    process_started_at: Time,
}

impl Permits {
    /// Of gateway `own` of so many, whose process begins now.
    pub fn new(own: GatewayId, gateways: u32, ramp: SlowStartConfig, now: Time) -> Self {
        let (asked, buckets, silent) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let schedule = ramp.granted_permits(PERMIT_LIFETIME);
        Self {
            own_gateway: own,
            gateways,
            schedule,
            last_request_number: 0,
            pending_requests: asked,
            shares: buckets,
            unreachable_until: silent,
            process_started_at: now,
        }
    }

    /// Who keeps a server's allowance: the same at all gateways of a tier.
    pub fn grantors(&self, key: ServerKey) -> Vec<GatewayId> {
        let relays = self.gateways.max(1);
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(key));
        let mut owners = Vec::with_capacity(GRANTORS_PER_SERVER);
        while owners.len() < GRANTORS_PER_SERVER.min(relays as usize) {
            let drawn = GatewayId(rng.next_u32() % relays);
            if !owners.contains(&drawn) {
                owners.push(drawn);
            }
        }
        owners
    }

    /// The servers on the list that have started lately, with their starts.
    pub fn update_servers(&mut self, servers: impl Iterator<Item = (ServerKey, Time)>) {
        let mut kept = std::mem::take(&mut self.shares);
        // Asks that are out are awaited, whatever the list says.
        self.pending_requests.retain(|_, asked| !asked.is_answered);
        for (key, born) in servers.take(MAX_TRACKED_SERVERS) {
            if !self.grantors(key).contains(&self.own_gateway) {
                continue;
            }
            let old = kept.remove(&key).filter(|bucket| bucket.server_started_at == born);
            self.shares.insert(
                key,
                old.unwrap_or(GrantorShare { server_started_at: born, ..GrantorShare::default() }),
            );
        }
    }

    /// Asks for a right to send one connection to this server.
    pub fn request_permit(&mut self, now: Time, key: ServerKey, connections_when_full: f64) -> PermitStep {
        let owners = self.grantors(key);
        if owners.contains(&self.own_gateway) {
            let right = self.grant(now, key, connections_when_full);
            return PermitStep::Resolved(key, right);
        }
        self.send_request(now, key, &owners, false)
    }

    fn send_request(
        &mut self,
        now: Time,
        key: ServerKey,
        grantors: &[GatewayId],
        is_retry: bool,
    ) -> PermitStep {
        self.unreachable_until.retain(|_, until| now < *until);
        // In turn, so that each grants its part.
        let first = usize::from(self.last_request_number) % grantors.len().max(1);
        let turn = grantors.iter().cycle().skip(first).take(grantors.len());
        let Some(&to) = turn.into_iter().find(|owner| !self.unreachable_until.contains_key(owner)) else {
            return PermitStep::Resolved(key, PermitReply::NoReply);
        };
        self.last_request_number = self.last_request_number.wrapping_add(1);
        self.pending_requests.insert(
            key,
            PendingRequest {
                request_number: self.last_request_number,
                grantor: to,
                requested_at: now,
                is_retry,
                is_answered: false,
            },
        );
        PermitStep::AwaitReply(
            PermitDatagram::new(to, self.last_request_number, key, None),
            self.last_request_number,
        )
    }

    /// The owner that was asked under this number has had its time.
    pub fn handle_reply_timeout(&mut self, now: Time, key: ServerKey, number: u16) -> Option<PermitStep> {
        let asked = self
            .pending_requests
            .get(&key)
            .filter(|asked| asked.request_number == number && !asked.is_answered)?;
        let (to, again) = (asked.grantor, asked.is_retry);
        self.pending_requests.remove(&key);
        self.unreachable_until.insert(to, now + UNREACHABLE_BACKOFF);
        if again {
            return Some(PermitStep::Resolved(key, PermitReply::NoReply));
        }
        Some(self.send_request(now, key, &self.grantors(key), true))
    }

    /// Takes in a datagram of another gateway; `full` connections fill a server. Says what follows of it: nothing of
    /// an answer's second copy.
    ///
    /// # Errors
    ///
    /// Says why it is not heard.
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
        let malformed = DecodeError::Malformed(bytes.len());
        let head: &[u8; REQUEST_LENGTH] = bytes.first_chunk().ok_or(malformed)?;
        let number = u16::from_be_bytes([head[1], head[2]]);
        let key = ServerKey::from_be_bytes([head[3], head[4], head[5], head[6]]);
        match (head[0], &bytes[REQUEST_LENGTH..]) {
            (REQUEST_TAG, []) => {
                if !self.grantors(key).contains(&self.own_gateway) {
                    return Err(DecodeError::NotGrantor);
                }
                let answer = |flags, steps| PermitDatagram::new(from, number, key, Some([flags, steps]));
                Ok(Some(match self.grant(now, key, connections_when_full) {
                    PermitReply::Granted { below_fair_share: lacks, .. } => PermitStep::SendTwice(answer(
                        GRANTED_FLAG | if lacks { BELOW_FAIR_SHARE_FLAG } else { 0 },
                        0,
                    )),
                    PermitReply::Denied { retry_after: wait, below_fair_share: lacks } => {
                        let steps = wait.as_micros() / 1000 / WAIT_STEP_MS + 1;
                        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
                        PermitStep::Send(answer(if lacks { BELOW_FAIR_SHARE_FLAG } else { 0 }, steps))
                    }
                    PermitReply::NoReply => PermitStep::Send(answer(0, u8::MAX)),
                }))
            }
            (REPLY_TAG, &[flags, steps]) => {
                let asked = self
                    .pending_requests
                    .get_mut(&key)
                    .filter(|it| it.request_number == number && it.grantor == from);
                let asked = asked.ok_or(DecodeError::UnexpectedReply)?;
                if std::mem::replace(&mut asked.is_answered, true) {
                    return Ok(None);
                }
                let until = asked.requested_at + PERMIT_LIFETIME;
                let lacks = flags & BELOW_FAIR_SHARE_FLAG != 0;
                let right = match flags & GRANTED_FLAG != 0 {
                    true => PermitReply::Granted { expires_at: until, below_fair_share: lacks },
                    false => PermitReply::Denied {
                        retry_after: Span::from_micros(i64::from(steps) * WAIT_STEP_MS * 1000),
                        below_fair_share: lacks,
                    },
                };
                Ok(Some(PermitStep::Resolved(key, right)))
            }
            _ => Err(malformed),
        }
    }

    /// The last turn granted for a server, which another process of this gateway is to hear.
    pub fn last_granted_permit(&self, key: ServerKey) -> u64 {
        self.shares.get(&key).map_or(0, |bucket| bucket.last_granted_permit)
    }

    /// Another process of this gateway has granted the turns up to this one.
    pub fn record_sibling_grants(
        &mut self,
        now: Time,
        key: ServerKey,
        last_granted_permit: u64,
        connections_when_full: f64,
    ) {
        let Some(bucket) = self.shares.get_mut(&key) else { return };
        bucket.last_granted_permit = bucket.last_granted_permit.max(self.schedule.accept_reported_permit(
            now,
            Some(bucket.server_started_at),
            connections_when_full,
            last_granted_permit,
        ));
        bucket.permits_due = bucket
            .permits_due
            .max(self.schedule.permits_issued(now.since(bucket.server_started_at), connections_when_full));
    }

    /// Grants one right out of this owner's part, if there is one.
    fn grant(&mut self, now: Time, key: ServerKey, connections_when_full: f64) -> PermitReply {
        let (schedule, began, owners) = (self.schedule, self.process_started_at, self.grantors(key));
        // An owner whose list is behind does not know it yet.
        let Some(bucket) = self.shares.get_mut(&key) else {
            return PermitReply::Denied {
                retry_after: UNREACHABLE_BACKOFF.scale(0.5),
                below_fair_share: true,
            };
        };
        let (of, place) = (owners.len() as u32, owners.iter().position(|&owner| owner == self.own_gateway));
        // The first named has the first turn.
        let number = (place.unwrap_or_default() as u32 + 1) % of;
        let holder = PermitHolder {
            index: number,
            holders: of,
            started_at: began,
            last_used_permit: bucket.last_granted_permit,
        };
        let turn = schedule.next_permit(now, bucket.server_started_at, connections_when_full, holder);
        if let Ok(turn) = turn {
            (bucket.last_granted_permit, bucket.granted_count) = (turn, bucket.granted_count + 1);
            bucket.permits_due = bucket
                .permits_due
                .max(schedule.permits_issued(now.since(bucket.server_started_at), connections_when_full));
        }
        // With what another process of this gateway may have granted before this one.
        let before = (schedule.permits_issued(began.since(bucket.server_started_at), connections_when_full)
            - 1.0)
            / f64::from(of);
        let lacks =
            bucket.granted_count as f64 + before < FAIR_SHARE_FILL * connections_when_full / f64::from(of);
        match turn {
            Ok(_) => PermitReply::Granted { expires_at: now + PERMIT_LIFETIME, below_fair_share: lacks },
            Err(wait) => PermitReply::Denied { retry_after: wait, below_fair_share: lacks },
        }
    }

    /// Whether all that must hold does.
    ///
    /// # Errors
    ///
    /// Names what does not.
    pub fn check_invariants(&self) -> Result<(), PermitViolation> {
        for (&key, bucket) in &self.shares {
            if bucket.granted_count > 0 && bucket.last_granted_permit as f64 > bucket.permits_due + 1.0 {
                return Err(PermitViolation::GrantedEarly {
                    key,
                    turn: bucket.last_granted_permit,
                    come: bucket.permits_due,
                });
            }
            let turns = bucket.last_granted_permit / self.grantors(key).len().max(1) as u64 + 1;
            if bucket.granted_count > turns {
                return Err(PermitViolation::Overdrawn { key, granted: bucket.granted_count, turns });
            }
            if !self.grantors(key).contains(&self.own_gateway) {
                return Err(PermitViolation::NotGrantor(key));
            }
        }
        Ok(())
    }
}
