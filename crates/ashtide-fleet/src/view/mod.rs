//! The view that one member keeps of its tier.

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

/// Members that a view holds at most, the dead included; datagrams of others are rejected then.
pub const MAX_MEMBERS: usize = 8192;
/// One probe is sent in this time.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// How long the direct answer to a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Through how many others a silent member is probed.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// How often gossip is sent beside the probes.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Members that gossip is sent to at a time.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(2).expect("not zero");
/// How long one that does not answer may take to refute: this times the logarithm of the size to base ten.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2000);
/// The least time that it may take.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(3500);
/// The dead are forgotten after this time.
const FORGET_DEAD_AFTER: Duration = Duration::from_secs(24 * 3600);
/// A timer that comes so late shows a stall of this process.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// One member's view of its tier.
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
    let size = NonZeroU32::new(expected_members.max(2)).expect("at least two");
    let suspicion = SUSPICION_TIMEOUT.mul_f64(f64::from(size.get()).log10());
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: INDIRECT_PROBES,
        remove_down_after: Some(FORGET_DEAD_AFTER),
        max_packet_size: NonZeroUsize::new(MAX_DATAGRAM - HEADER_LEN).expect("a header is short"),
        notify_down_members: true,
        suspect_to_down_after: suspicion.max(MIN_SUSPICION_TIMEOUT),
        // Pages send a whole view in a fraction of the datagrams, and the dead are probed by how many there are.
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: GOSSIP_FANOUT }),
        ..Config::new_lan(size)
    }
}

impl Membership {
    /// The view of the member at `own` whose process began at `incarnation` (Unix milliseconds), and which joins by any
    /// of `seeds`. `seed` feeds its random choices; `now` is any time that goes on steadily.
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

    /// This member, in its present incarnation.
    pub fn own(&self) -> Member {
        *self.foca.identity()
    }

    /// When [`handle_timeout`](Self::handle_timeout) is to be called next, at the latest.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.runtime.timers.keys().next().map(|&(at, _)| at);
        let join = self.join.next_attempt();
        let is_alone = self.foca.num_members() == 0;
        let compare = (!is_alone).then_some(self.comparison.next_at);
        // One that holds all others dead has no other timer.
        let probe_dead =
            (is_alone && !self.runtime.records.is_empty()).then_some(self.join.next_dead_probe_at);
        let timeouts = timer.into_iter().chain(join).chain(compare).chain(probe_dead);
        timeouts.min().filter(|_| !self.has_left)
    }

    /// Carries out what is due. Where it comes late, this process has stalled: what others send is read first, and
    /// nobody is declared dead for what was not read meanwhile.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.has_left {
            return;
        }
        let late = self.next_timeout().map_or(Duration::ZERO, |due| now.saturating_sub(due));
        self.runtime.advance_to(now);
        if late >= STALL_THRESHOLD {
            self.recover_from_stall(late);
        }
        self.adjust_suspicion_timeout();
        self.remind_suspects();
        while let Some(pending) = self.runtime.take_due_timer() {
            if let Timer::SendIndirectProbe { probed_id, .. } = &pending.timer {
                self.repeat_probe(*probed_id);
            }
            if !self.is_refuted(&pending.timer) && !self.delay_death(&pending) {
                // It rejects a probe that a stall has left incomplete, and begins the next by itself.
                let _ = self.foca.handle_timer(pending.timer, &mut self.runtime);
            }
        }
        self.probe_dead_members();
        self.compare_with_peer();
        self.announce_to_seed();
    }

    fn recover_from_stall(&mut self, late: Duration) {
        self.runtime.shift_timers(late + PROBE_PERIOD);
        self.join.retry_at(self.runtime.now);
        self.comparison.restart(self.runtime.now);
        self.runtime.outstanding_probe = None;
        self.runtime.metrics.stalls += 1;
        self.runtime.push_change(ViewChange::Stalled(late));
    }

    /// Tells the others that this member leaves on purpose. Nothing is received or timed out afterwards; what is to be
    /// sent still is.
    pub fn leave(&mut self, now: Duration) {
        self.runtime.advance_to(now);
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        // The last message must not fail for what was sent before: one that nobody saw leave is missed.
        self.runtime.budget.fill_up();
        let leaving = Member { leaving: true, ..self.own() };
        let _ = self.foca.change_identity(leaving, &mut self.runtime);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        // Sent twice, as it may be lost.
        let _ = self.foca.gossip(&mut self.runtime);
    }

    /// The next datagram to be sent, and where to.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Bytes)> {
        self.runtime.outgoing.pop_front()
    }

    /// The next change of the view that has not been fetched.
    pub fn next_change(&mut self) -> Option<ViewChange> {
        self.runtime.changes.pop_front()
    }

    /// All other members that are known, by address.
    pub fn members(&self) -> impl Iterator<Item = MemberStatus> {
        let by_protocol: BTreeMap<SocketAddr, _> = self
            .foca
            .iter_membership_state()
            .map(|member| (member.id().address, (member.state(), member.incarnation())))
            .collect();
        self.runtime.records.values().map(move |&MemberRecord { member, is_up, since, .. }| {
            let (state, refutations) =
                by_protocol.get(&member.address).copied().unwrap_or((foca::State::Down, 0));
            let state = match state {
                _ if member.leaving => MemberState::Left,
                foca::State::Alive if is_up => MemberState::Alive,
                foca::State::Suspect if is_up => MemberState::Suspect,
                _ => MemberState::Dead,
            };
            MemberStatus { member, state, refutations, since }
        })
    }

    /// A number that is [`digest`] of all that are there, this member included, where none of them is suspected. It
    /// takes a look at each.
    pub fn digest(&self) -> u64 {
        let own = self.own();
        let others = self.foca.iter_members().filter(|member| member.id().address != own.address);
        let is_suspect = |member: &foca::Member<Member>| u64::from(member.state() == foca::State::Suspect);
        others
            .map(|member| page::member_digest(*member.id(), is_suspect(member)))
            .fold(page::member_digest(own, 0), u64::wrapping_add)
    }

    /// Counts since the start.
    pub fn metrics(&self) -> &ViewMetrics {
        &self.runtime.metrics
    }
}

/// What [`Membership::digest`] is where just these members are alive, in these incarnations.
pub fn digest(alive: impl IntoIterator<Item = Member>) -> u64 {
    alive.into_iter().map(|member| page::member_digest(member, 0)).fold(0, u64::wrapping_add)
}
