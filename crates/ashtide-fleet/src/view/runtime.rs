//! What the protocol's crate asks of its surroundings: timers, datagrams within a budget, and notifications.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foca::{Codec, Header, Message, Notification, PostcardCodec, ProbeNumber, Runtime, Timer};

use super::types::{ViewChange, ViewConfig, ViewMetrics};
use crate::frame::{PayloadKind, encode_frame};
use crate::member::Member;

/// Changes that may wait to be fetched; older ones are dropped. The members' states tell the outcome.
const MAX_CHANGES: usize = 1024;
/// Datagrams that may wait to be sent. Further ones are lost, as on any network.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// Tokens that gossip leaves in the budget: an answer that is not sent makes this member a suspect.
const GOSSIP_RESERVE: f64 = 12.0;
/// How much the last probe counts in the rates of answers.
const ANSWER_RATE_SMOOTHING: f64 = 0.125;

/// A timer that the protocol has set.
pub(super) struct PendingTimer {
    pub(super) timer: Timer<Member>,
    /// When it was set.
    pub(super) since: Duration,
    /// How often the death that it brings was delayed.
    pub(super) death_delays: u8,
}

/// What this member knows of another itself.
#[derive(Clone, Copy)]
pub(super) struct MemberRecord {
    pub(super) member: Member,
    pub(super) is_up: bool,
    /// Since when it is up or down.
    pub(super) since: Duration,
    /// When a datagram of it was received last.
    pub(super) received_at: Duration,
}

/// A probe that has not been answered.
#[derive(Clone, Copy)]
pub(super) struct OutstandingProbe {
    pub(super) address: SocketAddr,
    pub(super) number: ProbeNumber,
    pub(super) was_repeated: bool,
}

/// Limits the datagrams that are sent.
pub(super) struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
    per_second: f64,
    burst: f64,
}

impl TokenBucket {
    fn new(config: &ViewConfig, now: Duration) -> Self {
        let burst = f64::from(config.burst);
        Self { tokens: burst, filled_at: now, per_second: f64::from(config.datagrams_per_second), burst }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + self.per_second * passed).min(self.burst);
        self.filled_at = now;
    }

    pub(super) fn fill_up(&mut self) {
        self.tokens = self.burst;
    }
}

/// The surroundings of the protocol.
pub(super) struct ProtocolRuntime {
    pub(super) now: Duration,
    pub(super) fleet_id: u32,
    pub(super) budget: TokenBucket,
    /// By their time, then in the order in which they were set.
    pub(super) timers: BTreeMap<(Duration, u64), PendingTimer>,
    last_timer_id: u64,
    pub(super) outgoing: VecDeque<(SocketAddr, Bytes)>,
    pub(super) changes: VecDeque<ViewChange>,
    pub(super) records: BTreeMap<SocketAddr, MemberRecord>,
    /// How often this member has refuted a suspicion in this incarnation: the protocol sends it in each datagram.
    pub(super) refutations: u16,
    /// The part of this member's probes that are answered directly.
    pub(super) answer_rate: f64,
    /// The part of the answers that come without a repeated probe.
    pub(super) prompt_answer_rate: f64,
    pub(super) outstanding_probe: Option<OutstandingProbe>,
    pub(super) metrics: ViewMetrics,
}

impl ProtocolRuntime {
    pub(super) fn new(config: &ViewConfig, now: Duration) -> Self {
        Self {
            now,
            fleet_id: config.fleet_id,
            budget: TokenBucket::new(config, now),
            timers: BTreeMap::new(),
            last_timer_id: 0,
            outgoing: VecDeque::new(),
            changes: VecDeque::new(),
            records: BTreeMap::new(),
            refutations: 0,
            answer_rate: 1.0,
            prompt_answer_rate: 1.0,
            outstanding_probe: None,
            metrics: ViewMetrics::default(),
        }
    }

    /// Lets time pass; it never goes backwards.
    pub(super) fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    pub(super) fn push_change(&mut self, change: ViewChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Takes a token, unless no more than `reserve` would be left.
    fn take_token(&mut self, reserve: f64) -> bool {
        self.budget.fill(self.now);
        let allowed = self.budget.tokens >= 1.0 + reserve && self.outgoing.len() < MAX_QUEUED_DATAGRAMS;
        if allowed {
            self.budget.tokens -= 1.0;
        } else {
            self.metrics.dropped += 1;
        }
        allowed
    }

    /// Queues a datagram, unless the budget has no more than `reserve`.
    pub(super) fn enqueue(&mut self, reserve: f64, to: SocketAddr, kind: PayloadKind, payload: &[u8]) {
        if !self.take_token(reserve) {
            return;
        }
        let datagram = encode_frame(self.fleet_id, kind, payload);
        self.metrics.sent.record(datagram.len());
        self.outgoing.push_back((to, datagram));
    }

    /// Sets a timer.
    pub(super) fn set_timer(&mut self, after: Duration, timer: Timer<Member>, death_delays: u8) {
        self.last_timer_id += 1;
        let pending = PendingTimer { timer, since: self.now, death_delays };
        self.timers.insert((self.now + after, self.last_timer_id), pending);
    }

    /// Moves all timers on by `shift`.
    pub(super) fn shift_timers(&mut self, shift: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, id), pending)| ((at + shift, id), pending)).collect();
    }

    /// Takes a timer that is due.
    pub(super) fn take_due_timer(&mut self) -> Option<PendingTimer> {
        let entry = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now)?;
        Some(entry.remove())
    }

    /// Records that the outstanding probe was answered, or that the next one begins and it was not.
    pub(super) fn record_probe(&mut self, is_answered: bool) {
        let Some(probe) = self.outstanding_probe.take() else { return };
        let smooth = |rate: &mut f64, value: bool| {
            *rate += ANSWER_RATE_SMOOTHING * (f64::from(u8::from(value)) - *rate);
        };
        smooth(&mut self.answer_rate, is_answered);
        if is_answered {
            smooth(&mut self.prompt_answer_rate, !probe.was_repeated);
        }
    }

    /// Records that a datagram of a member was received.
    pub(super) fn record_received(&mut self, member: Member, bytes: usize) {
        let record = self.records.get_mut(&member.address);
        if let Some(record) = record.filter(|record| record.member == member) {
            record.received_at = self.now;
        }
        self.metrics.received.record(bytes);
    }

    fn new_record(&self, member: Member, is_up: bool) -> MemberRecord {
        MemberRecord { member, is_up, since: self.now, received_at: self.now }
    }

    fn handle_member_up(&mut self, member: Member) {
        let previous = self.records.insert(member.address, self.new_record(member, true));
        // Only a member that was there all along refutes its death: a restart takes its incarnation from the clock.
        let dead = previous.filter(|record| !record.is_up && !record.member.leaving);
        if dead.is_some_and(|dead| member.incarnation <= dead.member.incarnation.saturating_add(1)) {
            self.metrics.false_deaths += 1;
        }
        self.push_change(ViewChange::Up(member));
    }

    fn handle_member_down(&mut self, member: Member) {
        self.records.insert(member.address, self.new_record(member, false));
        if member.leaving {
            self.push_change(ViewChange::Left(member));
        } else {
            self.metrics.deaths += 1;
            self.push_change(ViewChange::Dead(member));
        }
    }

    fn handle_rename(&mut self, member: Member) {
        let record = self.records.get_mut(&member.address);
        // Its state follows, where it changes; a death is kept to be told from a restart.
        if let Some(record) = record.filter(|record| record.is_up || member.leaving) {
            record.member = member;
        }
    }
}

impl Runtime<Member> for &mut ProtocolRuntime {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(&member) => self.handle_member_up(member),
            Notification::MemberDown(&member) => self.handle_member_down(member),
            Notification::Rename(_, &member) => self.handle_rename(member),
            Notification::Rejoin(&member) => {
                self.metrics.own_deaths += 1;
                self.push_change(ViewChange::Rejoined(member));
            }
            Notification::Active | Notification::Idle | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        let header: Option<Header<Member>> = PostcardCodec.decode_header(data).ok();
        let message = header.map(|header| {
            self.refutations = header.src_incarnation;
            header.message
        });
        if let Some(Message::Ping(number)) = message {
            self.record_probe(false);
            self.outstanding_probe =
                Some(OutstandingProbe { address: to.address, number, was_repeated: false });
        }
        let is_gossip = matches!(message, Some(Message::Gossip | Message::Feed));
        let reserve = if is_gossip { GOSSIP_RESERVE } else { 0.0 };
        self.enqueue(reserve, to.address, PayloadKind::Protocol, data);
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        self.set_timer(after, timer, 0);
    }
}
