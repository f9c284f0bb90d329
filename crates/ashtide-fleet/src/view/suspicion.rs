//! Suspicions: how long they last, how they are refuted, and doubt in the own link (after Lifeguard).

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use foca::{Codec, Config, Header, Message, PostcardCodec, ProbeNumber, Timer};

use super::Membership;
use super::runtime::PendingTimer;
use crate::frame::{MAX_DATAGRAM, PayloadKind};
use crate::member::Member;

/// A death is delayed so often, by as long again, where the member itself was heard since it was suspected.
const MAX_DEATH_DELAYS: u8 = 2;
/// How often suspects are reminded that they are.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);
/// Suspects that are reminded at a time, of those that this member began to suspect.
const OWN_SUSPECT_REMINDERS: usize = 4;
/// Other suspects that are reminded at a time.
const OTHER_SUSPECT_REMINDERS: usize = 1;
/// Tokens that reminders of others' suspects leave in the budget.
const REMINDER_RESERVE: f64 = 4.0;
/// Below this rate of answers to its own probes, a member doubts its own link and gives suspects so many times as long.
const ANSWER_RATE_THRESHOLDS: [AnswerRateThreshold; 2] = [
    AnswerRateThreshold { below: 0.35, timeout_factor: 3 },
    AnswerRateThreshold { below: 0.6, timeout_factor: 2 },
];
/// The same for answers that come without a repeated probe. The dead give none, so what is missing was lost.
const PROMPT_RATE_THRESHOLD: AnswerRateThreshold = AnswerRateThreshold { below: 0.85, timeout_factor: 2 };

struct AnswerRateThreshold {
    below: f64,
    timeout_factor: u32,
}

/// When suspects were reminded last, and the next one of them.
pub(super) struct Reminders {
    sent_at: Duration,
    next_index: usize,
}

impl Reminders {
    pub(super) fn new(now: Duration) -> Self {
        Self { sent_at: now, next_index: 0 }
    }
}

impl Membership {
    /// Whether a suspicion was refuted before it was to end in a death. `foca` tells the member that it is dead all
    /// the same, and the member takes another incarnation for nothing.
    pub(super) fn is_refuted(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        !self.foca.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.state() == foca::State::Suspect
                && member.incarnation() == *incarnation
        })
    }

    /// Delays the death of a member that was heard itself since it was suspected, a few times: its answer was lost, or
    /// the news that it is suspected. One that sends and receives nothing is declared dead in the end.
    pub(super) fn delay_death(&mut self, pending: &PendingTimer) -> bool {
        let Timer::ChangeSuspectToDown { member_id, .. } = &pending.timer else { return false };
        let record = self.runtime.records.get(&member_id.address);
        let was_received = record.is_some_and(|record| record.received_at > pending.since);
        let is_delayed = was_received && pending.death_delays < MAX_DEATH_DELAYS;
        if is_delayed {
            let after = self.base_config.suspect_to_down_after;
            self.runtime.set_timer(after, pending.timer.clone(), pending.death_delays + 1);
        }
        is_delayed
    }

    /// Gives suspects more time where few probes are answered: that says something of the prober.
    pub(super) fn adjust_suspicion_timeout(&mut self) {
        let applies = |threshold: &&AnswerRateThreshold| self.runtime.answer_rate < threshold.below;
        let doubt =
            ANSWER_RATE_THRESHOLDS.iter().find(applies).map_or(1, |threshold| threshold.timeout_factor);
        let loss = match self.runtime.prompt_answer_rate < PROMPT_RATE_THRESHOLD.below {
            true => PROMPT_RATE_THRESHOLD.timeout_factor,
            false => 1,
        };
        let suspect_to_down_after = self.base_config.suspect_to_down_after * doubt.max(loss);
        // It may change at any time, so this is not refused.
        let _ = self.foca.set_config(Config { suspect_to_down_after, ..self.base_config.clone() });
    }

    /// Reminds members that they are suspected here (Lifeguard's buddies), by a probe whose answer is the refutation.
    /// Only who began a suspicion ends it; where that one is gone, or its news were lost, a member that is alive would
    /// be suspected for ever.
    pub(super) fn remind_suspects(&mut self) {
        let now = self.runtime.now;
        if now.saturating_sub(self.reminders.sent_at) < REMINDER_INTERVAL {
            return;
        }
        self.reminders.sent_at = now;
        let own_suspects = self.own_suspects();
        let suspects =
            self.foca.iter_membership_state().filter(|member| member.state() == foca::State::Suspect);
        let (own, others): (Vec<_>, Vec<_>) =
            suspects.cloned().partition(|member| own_suspects.contains(member.id()));
        self.send_reminders(&own, OWN_SUSPECT_REMINDERS, 0.0);
        self.send_reminders(&others, OTHER_SUSPECT_REMINDERS, REMINDER_RESERVE);
        self.reminders.next_index = self.reminders.next_index.wrapping_add(OWN_SUSPECT_REMINDERS);
    }

    /// The members that this one began to suspect.
    fn own_suspects(&self) -> BTreeSet<Member> {
        let timers = self.runtime.timers.values().map(|pending| &pending.timer);
        let suspects = timers.filter_map(|timer| match timer {
            Timer::ChangeSuspectToDown { member_id, .. } => Some(*member_id),
            _ => None,
        });
        suspects.collect()
    }

    fn send_reminders(&mut self, suspects: &[foca::Member<Member>], most: usize, reserve: f64) {
        for number in 0..most.min(suspects.len()) {
            let suspect = &suspects[(self.reminders.next_index + number) % suspects.len()];
            self.send_probe(reserve, *suspect.id(), 0, Some(suspect));
        }
    }

    /// Repeats the outstanding probe of a member before it is probed through others: the probe or its answer may just
    /// be lost.
    pub(super) fn repeat_probe(&mut self, member: Member) {
        let probe = self.runtime.outstanding_probe.as_mut();
        if let Some(probe) = probe.filter(|probe| probe.address == member.address) {
            probe.was_repeated = true;
            let number = probe.number;
            self.send_probe(0.0, member, number, None);
        }
    }

    /// Sends a probe beside the protocol's own, with at most one update.
    fn send_probe(
        &mut self,
        reserve: f64,
        to: Member,
        number: ProbeNumber,
        update: Option<&foca::Member<Member>>,
    ) {
        let header = Header {
            src: self.own(),
            src_incarnation: self.runtime.refutations,
            dst: to,
            message: Message::Ping(number),
        };
        let mut payload = BytesMut::with_capacity(MAX_DATAGRAM);
        let mut is_complete = PostcardCodec.encode_header(&header, &mut payload).is_ok();
        payload.put_u16(u16::from(update.is_some()));
        if let Some(update) = update {
            is_complete &= PostcardCodec.encode_member(update, &mut payload).is_ok();
        }
        // A buffer that grows takes both.
        if is_complete {
            self.runtime.enqueue(reserve, to.address, PayloadKind::Protocol, &payload);
        }
    }
}
