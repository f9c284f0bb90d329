//! Suspicion timeouts, reminders to suspects, and adaptation to a poor local link (after Lifeguard).

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use foca::{Codec, Config, Header, Message, PostcardCodec, ProbeNumber, Timer};

use super::Membership;
use super::runtime::PendingTimer;
use crate::frame::{MAX_DATAGRAM, PayloadKind};
use crate::member::Member;

/// The maximum number of times that a death is delayed by another suspicion timeout because a datagram of the
/// member was received after the suspicion began.
const MAX_DEATH_DELAYS: u8 = 2;
/// The interval between reminders to suspects.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of reminders per [`REMINDER_INTERVAL`] to suspects whose suspicion this member started.
const OWN_SUSPECT_REMINDERS: usize = 4;
/// The maximum number of reminders per [`REMINDER_INTERVAL`] to suspects whose suspicion another member
/// started.
const OTHER_SUSPECT_REMINDERS: usize = 1;
/// The number of budget tokens that reminders to suspects of other members leave for other messages.
const REMINDER_RESERVE: f64 = 4.0;
/// The thresholds of the rate of answers to this member's probes, in ascending order. A low rate suggests
/// that the local link is poor, so the suspicion timeout is extended.
const ANSWER_RATE_THRESHOLDS: [AnswerRateThreshold; 2] = [
    AnswerRateThreshold { below: 0.35, timeout_factor: 3 },
    AnswerRateThreshold { below: 0.6, timeout_factor: 2 },
];
/// The threshold of the rate of answers received without a repeated probe. Dead members do not affect this
/// rate, because they send no answers; a low rate therefore indicates datagram loss.
const PROMPT_RATE_THRESHOLD: AnswerRateThreshold = AnswerRateThreshold { below: 0.85, timeout_factor: 2 };

/// The factor of the suspicion timeout for answer rates below a threshold.
struct AnswerRateThreshold {
    /// The exclusive upper bound of the rate, as a fraction.
    below: f64,
    timeout_factor: u32,
}

/// The schedule of reminders to suspects.
pub(super) struct Reminders {
    sent_at: Duration,
    /// The position of the next suspect to remind, modulo the number of suspects.
    next_index: usize,
}

impl Reminders {
    pub(super) fn new(now: Duration) -> Self {
        Self { sent_at: now, next_index: 0 }
    }
}

impl Membership {
    /// Checks whether `timer` declares the death of a member that has refuted the suspicion in the meantime.
    /// `foca` would still notify the member that it is dead, and the member would take a new incarnation
    /// needlessly.
    pub(super) fn is_refuted(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        !self.foca.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.state() == foca::State::Suspect
                && member.incarnation() == *incarnation
        })
    }

    /// Delays the death of a member if a datagram of it was received after the suspicion began. Its answer,
    /// or the update that it is suspected, was probably lost. The number of delays is limited, so that a
    /// member that sends datagrams but receives none is still declared dead. Returns whether the death was
    /// delayed.
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

    /// Extends the suspicion timeout while few of this member's probes are answered, because the cause is
    /// then probably the local link.
    pub(super) fn adjust_suspicion_timeout(&mut self) {
        let applies = |threshold: &&AnswerRateThreshold| self.runtime.answer_rate < threshold.below;
        let answer_factor =
            ANSWER_RATE_THRESHOLDS.iter().find(applies).map_or(1, |threshold| threshold.timeout_factor);
        let loss_factor = match self.runtime.prompt_answer_rate < PROMPT_RATE_THRESHOLD.below {
            true => PROMPT_RATE_THRESHOLD.timeout_factor,
            false => 1,
        };
        let suspect_to_down_after = self.base_config.suspect_to_down_after * answer_factor.max(loss_factor);
        // `foca` accepts a change of this setting at any time, so the call does not fail.
        let _ = self.foca.set_config(Config { suspect_to_down_after, ..self.base_config.clone() });
    }

    /// Reminds suspects of the suspicion, like Lifeguard's buddy system, with a probe whose answer has the
    /// refutation. Only the member that started a suspicion ends it by a timeout. If that member has exited,
    /// or its updates were lost, a running member would remain a suspect indefinitely without the reminders.
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

    /// Returns the members whose suspicion this member started.
    fn own_suspects(&self) -> BTreeSet<Member> {
        let timers = self.runtime.timers.values().map(|pending| &pending.timer);
        let suspects = timers.filter_map(|timer| match timer {
            Timer::ChangeSuspectToDown { member_id, .. } => Some(*member_id),
            _ => None,
        });
        suspects.collect()
    }

    /// Sends reminders to at most `max_count` of `suspects`, in rotation.
    fn send_reminders(&mut self, suspects: &[foca::Member<Member>], max_count: usize, reserve: f64) {
        for offset in 0..max_count.min(suspects.len()) {
            let suspect = &suspects[(self.reminders.next_index + offset) % suspects.len()];
            self.send_probe(reserve, *suspect.id(), 0, Some(suspect));
        }
    }

    /// Repeats the outstanding probe of a member before the member is probed indirectly, because the probe or
    /// its answer may have been lost.
    pub(super) fn repeat_probe(&mut self, member: Member) {
        let probe = self.runtime.outstanding_probe.as_mut();
        if let Some(probe) = probe.filter(|probe| probe.address == member.address) {
            probe.was_repeated = true;
            let number = probe.number;
            self.send_probe(0.0, member, number, None);
        }
    }

    /// Sends a probe in addition to those of `foca`, with at most one update.
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
        // Encoding into a growing buffer does not fail.
        if is_complete {
            self.runtime.enqueue(reserve, to.address, PayloadKind::Protocol, &payload);
        }
    }
}
