//! The membership view of one member.

mod compare;
mod join;
mod receive;
mod runtime;
mod suspicion;
mod types;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use bytes::Bytes;
use foca::{Config, Foca, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use types::{MemberState, MemberStatus, ViewChange, ViewConfig, ViewMetrics};

use crate::frame::{HEADER_LEN, MAX_DATAGRAM};
use crate::member::Member;
use crate::page;
use compare::Comparison;
use join::JoinState;
use runtime::{MemberRecord, ProtocolRuntime};
use suspicion::Reminders;

/// The maximum number of other members in a view, including dead ones. Datagrams of further members are
/// rejected.
pub const MAX_MEMBERS: usize = 8192;
/// The interval between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// The time that a member has for the direct answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The number of other members through which an unresponsive member is probed indirectly.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// The interval between gossip messages, which are sent in addition to the probes.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// The number of members that receive gossip per [`GOSSIP_INTERVAL`].
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(2).expect("not zero");
/// The time that a suspect has for a refutation, per unit of the base-10 logarithm of the fleet size.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2000);
/// The minimum time that a suspect has for a refutation, whatever the fleet size.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(3500);
/// The time after which dead members are removed from the protocol state.
const FORGET_DEAD_AFTER: Duration = Duration::from_secs(24 * 3600);
/// The minimum delay of a timeout that counts as a stall of this process.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// The membership view of one member.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    base_config: Config,
    rng: ChaCha8Rng,
    join: JoinState,
    reminders: Reminders,
    comparison: Comparison,
    has_left: bool,
    runtime: ProtocolRuntime,
}

fn foca_config(expected_members: u32) -> Config {
    let fleet_size = NonZeroU32::new(expected_members.max(2)).expect("at least two");
    let suspicion_timeout = SUSPICION_TIMEOUT.mul_f64(f64::from(fleet_size.get()).log10());
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: INDIRECT_PROBES,
        remove_down_after: Some(FORGET_DEAD_AFTER),
        max_packet_size: NonZeroUsize::new(MAX_DATAGRAM - HEADER_LEN).expect("a header is short"),
        notify_down_members: true,
        suspect_to_down_after: suspicion_timeout.max(MIN_SUSPICION_TIMEOUT),
        // Announcements are disabled. Pages transfer a complete view in a fraction of the datagrams, and the
        // rate of probes of dead members depends on the number of dead members.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: GOSSIP_FANOUT }),
        ..Config::new_lan(fleet_size)
    }
}

impl Membership {
    /// Creates the view of the member at the address `own`. `incarnation` is the start time of the process in
    /// Unix milliseconds. The member joins through any of `seeds`. `seed` initializes the random number
    /// generator. `now` is monotonic time from an arbitrary origin.
    pub fn new(
        config: ViewConfig,
        own: SocketAddr,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let base_config = foca_config(config.expected_members);
        let member = Member { address: own, incarnation, leaving: false };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let protocol_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let seeds = seeds.into_iter().filter(|&seed| seed != own).collect();
        Self {
            foca: Foca::new(member, base_config.clone(), protocol_rng, PostcardCodec),
            base_config,
            rng,
            join: JoinState::new(seeds, now),
            reminders: Reminders::new(now),
            comparison: Comparison::new(now),
            has_left: false,
            runtime: ProtocolRuntime::new(&config, now),
        }
    }

    /// Returns this member with its current incarnation.
    pub fn own(&self) -> Member {
        *self.foca.identity()
    }

    /// Returns the latest time for the next call of [`handle_timeout`](Self::handle_timeout). `None` if
    /// nothing is scheduled.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.runtime.timers.keys().next().map(|&(at, _)| at);
        let join = self.join.next_attempt();
        let is_alone = self.foca.num_members() == 0;
        let compare = (!is_alone).then_some(self.comparison.next_at);
        // A member without seeds that considers all other members dead has no other timer.
        let probe_dead =
            (is_alone && !self.runtime.records.is_empty()).then_some(self.join.next_dead_probe_at);
        let timeouts = timer.into_iter().chain(join).chain(compare).chain(probe_dead);
        timeouts.min().filter(|_| !self.has_left)
    }

    /// Runs all timers that are due. A call that is delayed by at least 400 ms shows that this process has
    /// stalled. All timers are then postponed, so that pending datagrams are read first and no member is
    /// declared dead because its answers were not read during the stall.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.has_left {
            return;
        }
        let delay = self.next_timeout().map_or(Duration::ZERO, |due| now.saturating_sub(due));
        self.runtime.advance_to(now);
        if delay >= STALL_THRESHOLD {
            self.recover_from_stall(delay);
        }
        self.adjust_suspicion_timeout();
        self.remind_suspects();
        while let Some(pending) = self.runtime.take_due_timer() {
            if let Timer::SendIndirectProbe { probed_id, .. } = &pending.timer {
                self.repeat_probe(*probed_id);
            }
            if !self.is_refuted(&pending.timer) && !self.delay_death(&pending) {
                // `foca` returns an error for a probe that a stall left incomplete, and starts the next probe
                // itself.
                let _ = self.foca.handle_timer(pending.timer, &mut self.runtime);
            }
        }
        self.probe_dead_members();
        self.compare_with_peer();
        self.announce_to_seed();
    }

    /// Postpones all timers after a stall of `duration`.
    fn recover_from_stall(&mut self, duration: Duration) {
        self.runtime.shift_timers(duration + PROBE_PERIOD);
        self.join.retry_at(self.runtime.now);
        self.comparison.restart(self.runtime.now);
        self.runtime.outstanding_probe = None;
        self.runtime.metrics.stalls += 1;
        self.runtime.push_change(ViewChange::Stalled(duration));
    }

    /// Notifies the other members that this member leaves deliberately. Afterwards the view ignores received
    /// datagrams and runs no timers; the queued datagrams are still to be sent.
    pub fn leave(&mut self, now: Duration) {
        self.runtime.advance_to(now);
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        // The budget must not suppress the leave message: without it, the other members would declare this
        // member dead.
        self.runtime.budget.refill_to_burst();
        let leaving = Member { leaving: true, ..self.own() };
        let _ = self.foca.change_identity(leaving, &mut self.runtime);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        // Gossip repeats the leave message, because a datagram may be lost.
        let _ = self.foca.gossip(&mut self.runtime);
    }

    /// Returns the next datagram to send and its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Bytes)> {
        self.runtime.outgoing.pop_front()
    }

    /// Returns the oldest change of the view that has not been fetched.
    pub fn next_change(&mut self) -> Option<ViewChange> {
        self.runtime.changes.pop_front()
    }

    /// Returns the status of all other known members in ascending order of address.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> {
        let protocol_states: BTreeMap<SocketAddr, _> = self
            .foca
            .iter_membership_state()
            .map(|member| (member.id().address, (member.state(), member.incarnation())))
            .collect();
        self.runtime.records.values().map(move |&MemberRecord { member, is_up, since, .. }| {
            let (state, refutations) =
                protocol_states.get(&member.address).copied().unwrap_or((foca::State::Down, 0));
            let state = match state {
                _ if member.leaving => MemberState::Left,
                foca::State::Alive if is_up => MemberState::Alive,
                foca::State::Suspect if is_up => MemberState::Suspect,
                _ => MemberState::Dead,
            };
            MemberStatus { member, state, refutations, since }
        })
    }

    /// Returns a digest of the members that are up, including this one. It equals [`digest`] of these members
    /// if none of them is suspected. The cost is linear in the number of members.
    pub fn digest(&self) -> u64 {
        let own = self.own();
        let others = self.foca.iter_members().filter(|member| member.id().address != own.address);
        let is_suspect = |member: &foca::Member<Member>| u64::from(member.state() == foca::State::Suspect);
        others
            .map(|member| page::member_digest(*member.id(), is_suspect(member)))
            .fold(page::member_digest(own, 0), u64::wrapping_add)
    }

    /// Returns the counters since the start.
    pub fn metrics(&self) -> &ViewMetrics {
        &self.runtime.metrics
    }
}

/// Returns the value of [`Membership::digest`] for a view in which exactly these members are alive, with
/// these incarnations.
pub fn digest(alive: impl IntoIterator<Item = Member>) -> u64 {
    alive.into_iter().map(|member| page::member_digest(member, 0)).fold(0, u64::wrapping_add)
}
