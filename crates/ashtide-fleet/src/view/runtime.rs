//! The runtime of `foca`: timers, sending within a datagram budget, and notifications.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foca::{Codec, Header, Message, Notification, PostcardCodec, ProbeNumber, Runtime, Timer};

use super::types::{ViewChange, ViewConfig, ViewMetrics};
use crate::frame::{PayloadKind, encode_frame};
use crate::member::Member;

/// The maximum number of changes that have not been fetched. Beyond it the oldest change is dropped; the
/// resulting member states remain available.
const MAX_CHANGES: usize = 1024;
/// The maximum number of datagrams in the send queue. Further datagrams are dropped, which the protocol
/// tolerates like loss on the network.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// The number of budget tokens that gossip leaves for other messages. An unsent answer to a probe would make
/// this member a suspect.
const GOSSIP_RESERVE: f64 = 12.0;
/// The weight of the latest probe in the moving averages of the answer rates.
const ANSWER_RATE_SMOOTHING: f64 = 0.125;

/// A timer set by the protocol.
pub(super) struct PendingTimer {
    pub(super) timer: Timer<Member>,
    /// The time at which the timer was set.
    pub(super) since: Duration,
    /// The number of times that the death declared by this timer was delayed.
    pub(super) death_delays: u8,
}

/// The local record of another member.
#[derive(Clone, Copy)]
pub(super) struct MemberRecord {
    pub(super) member: Member,
    pub(super) is_up: bool,
    /// The time at which the member last came up or went down.
    pub(super) since: Duration,
    /// The time at which the last datagram of the member was received, or the record was created.
    pub(super) received_at: Duration,
}

/// The latest probe, while it is unanswered.
#[derive(Clone, Copy)]
pub(super) struct OutstandingProbe {
    pub(super) address: SocketAddr,
    pub(super) number: ProbeNumber,
    pub(super) was_repeated: bool,
}

/// A token bucket that limits the rate of sent datagrams. Each datagram takes one token.
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
    tokens_per_second: f64,
    burst: f64,
}

impl TokenBucket {
    fn new(config: &ViewConfig, now: Duration) -> Self {
        let burst = f64::from(config.burst);
        let tokens_per_second = f64::from(config.datagrams_per_second);
        Self { tokens: burst, refilled_at: now, tokens_per_second, burst }
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.tokens_per_second * elapsed).min(self.burst);
        self.refilled_at = now;
    }

    /// Refills the bucket completely.
    pub(super) fn refill_to_burst(&mut self) {
        self.tokens = self.burst;
    }
}

/// The runtime that `foca` uses: the current time, timers, the send queue and the member records.
pub(super) struct ProtocolRuntime {
    pub(super) now: Duration,
    pub(super) fleet_id: u32,
    pub(super) budget: TokenBucket,
    /// The pending timers, ordered by due time and then by the order in which they were set.
    pub(super) timers: BTreeMap<(Duration, u64), PendingTimer>,
    last_timer_id: u64,
    pub(super) outgoing: VecDeque<(SocketAddr, Bytes)>,
    pub(super) changes: VecDeque<ViewChange>,
    pub(super) records: BTreeMap<SocketAddr, MemberRecord>,
    /// The number of suspicions that this member has refuted in this incarnation, read from the header of the
    /// last datagram that `foca` sent.
    pub(super) refutations: u16,
    /// The moving average of the fraction of this member's probes that are answered directly.
    pub(super) answer_rate: f64,
    /// The moving average of the fraction of answered probes that needed no repetition.
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

    /// Advances the current time. An earlier time has no effect.
    pub(super) fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Queues a change to be fetched.
    pub(super) fn push_change(&mut self, change: ViewChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Takes a token and returns `true`, unless fewer than `reserve` tokens would remain or the send queue is
    /// full.
    fn take_token(&mut self, reserve: f64) -> bool {
        self.budget.refill(self.now);
        let allowed = self.budget.tokens >= 1.0 + reserve && self.outgoing.len() < MAX_QUEUED_DATAGRAMS;
        if allowed {
            self.budget.tokens -= 1.0;
        } else {
            self.metrics.dropped += 1;
        }
        allowed
    }

    /// Queues a datagram, or drops it if fewer than `reserve` tokens would remain or the send queue is full.
    pub(super) fn enqueue(&mut self, reserve: f64, to: SocketAddr, kind: PayloadKind, payload: &[u8]) {
        if !self.take_token(reserve) {
            return;
        }
        let datagram = encode_frame(self.fleet_id, kind, payload);
        self.metrics.sent.record(datagram.len());
        self.outgoing.push_back((to, datagram));
    }

    /// Sets a timer that is due in `after`.
    pub(super) fn set_timer(&mut self, after: Duration, timer: Timer<Member>, death_delays: u8) {
        self.last_timer_id += 1;
        let pending = PendingTimer { timer, since: self.now, death_delays };
        self.timers.insert((self.now + after, self.last_timer_id), pending);
    }

    /// Postpones all timers by `shift`.
    pub(super) fn shift_timers(&mut self, shift: Duration) {
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, id), pending)| ((at + shift, id), pending)).collect();
    }

    /// Removes and returns the earliest timer that is due.
    pub(super) fn take_due_timer(&mut self) -> Option<PendingTimer> {
        let entry = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now)?;
        Some(entry.remove())
    }

    /// Records whether the outstanding probe was answered, and clears it. A probe counts as unanswered when
    /// the next one starts.
    pub(super) fn record_probe(&mut self, is_answered: bool) {
        let Some(probe) = self.outstanding_probe.take() else { return };
        let update_average = |rate: &mut f64, sample: bool| {
            *rate += ANSWER_RATE_SMOOTHING * (f64::from(u8::from(sample)) - *rate);
        };
        update_average(&mut self.answer_rate, is_answered);
        if is_answered {
            update_average(&mut self.prompt_answer_rate, !probe.was_repeated);
        }
    }

    /// Records that a datagram of `length` bytes was received from a member.
    pub(super) fn record_received(&mut self, member: Member, length: usize) {
        let record = self.records.get_mut(&member.address);
        if let Some(record) = record.filter(|record| record.member == member) {
            record.received_at = self.now;
        }
        self.metrics.received.record(length);
    }

    fn new_record(&self, member: Member, is_up: bool) -> MemberRecord {
        MemberRecord { member, is_up, since: self.now, received_at: self.now }
    }

    fn handle_member_up(&mut self, member: Member) {
        let previous = self.records.insert(member.address, self.new_record(member, true));
        // A member that refutes its death rejoins with an incarnation higher by one. A restarted process
        // derives its incarnation from the clock.
        let dead_record = previous.filter(|record| !record.is_up && !record.member.leaving);
        if dead_record.is_some_and(|dead| member.incarnation <= dead.member.incarnation.saturating_add(1)) {
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
        // A separate notification reports a change of state. The record of a dead member is retained, so that
        // a refuted death can be distinguished from a restart.
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
