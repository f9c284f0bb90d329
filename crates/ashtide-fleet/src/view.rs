//! The view that one member keeps.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec,
    ProbeNumber, Runtime, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::frame::{DecodeError, HEADER_LEN, MAX_DATAGRAM, PayloadKind, decode_frame, encode_frame};
use crate::member::Member;
use crate::page;

mod compare;

use compare::{COMPARE_INTERVALS, SortedView};

/// Members that a view holds at most, the dead included; datagrams of others are not heard then.
pub const MAX_MEMBERS: usize = 8192;
/// Changes that may wait to be fetched; older ones make room. The rows tell the outcome.
const MAX_CHANGES: usize = 1024;
/// Datagrams that may wait to be sent. Further ones are lost, as on any network.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// One probe a period, and how long its direct answer may take.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Through how many others a silent member is probed.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// News go to so many members, so often, beside the probes.
const GOSSIP: (Duration, NonZeroUsize) =
    (Duration::from_millis(500), NonZeroUsize::new(2).expect("not zero"));
/// How long one that does not answer may take to contradict: this times the logarithm of the size to base ten,
/// and at least...
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2000);
/// ...this.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(3500);
/// A death is put off so often, by as long again, where the member itself was heard since it was suspected.
const MAX_DEATH_DELAYS: u8 = 2;
/// Of those held dead, all members together ask each so often whether it is back, which is what heals a
/// partition; one member asks this many at most in that time.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
const DEAD_PROBES: (f64, f64) = (2.0, 3.0);
/// A seed that is not there is asked so often beside: two parts may never have met.
const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// Members that are suspected here are told so themselves: so often, so many of those that this member began to
/// suspect, and so many others.
const SUSPECT_REMINDERS: (Duration, usize, usize) = (Duration::from_millis(500), 4, 1);
/// Of the budget, kept from news, from pages and from reminders of others' suspicions: an answer that is not sent makes this member a
/// suspect.
const BUDGET_RESERVES: (f64, f64, f64) = (12.0, 8.0, 4.0);
/// The dead are forgotten after this time.
const FORGET_DEAD_AFTER: Duration = Duration::from_secs(24 * 3600);
/// Between two tries to join by a seed: doubled up to eight times as long, with jitter.
const JOIN_BACKOFF_BASE: Duration = Duration::from_millis(500);
/// A timer that comes so late shows a stall of this process.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);
/// How much the last probe counts in the part of them that are answered directly.
const ANSWER_RATE_SMOOTHING: f64 = 0.125;
/// Where less than this part of its probes is answered, a member gives those it suspects so many times as long: it
/// may be its own link.
const ANSWER_RATE_THRESHOLDS: [(f64, u32); 2] = [(0.35, 3), (0.6, 2)];
/// So too where less than this part of the answers comes without asking again: the dead give none, so what is missed
/// is lost.
const LOSSY_LINK_THRESHOLD: (f64, u32) = (0.85, 2);

/// What a member is told of its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewConfig {
    /// The tier's key: members of others are not heard.
    pub tier: u32,
    /// About how many members there are; how long a suspicion lasts grows as its logarithm.
    pub expected_members: u32,
    /// Datagrams a second that this member sends at most, whatever the size of the tier...
    pub datagrams_per_second: u32,
    /// ...and how many of them at once.
    pub burst: u32,
}

impl ViewConfig {
    /// The usual budget: 24 a second, 48 at once.
    pub fn new(tier: u32, size: u32) -> Self {
        Self { tier, expected_members: size, datagrams_per_second: 24, burst: 48 }
    }
}

/// How a member is held to stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// There.
    Alive,
    /// It has not answered, and has time to contradict.
    Suspect,
    /// It said that it goes.
    Left,
    /// It has not contradicted in time.
    Dead,
}

/// One member as this one holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Who.
    pub member: Member,
    /// How it stands.
    pub state: MemberState,
    /// How often it has contradicted a suspicion in this life.
    pub refutations: u16,
    /// Since when it is up or down, by this member's time.
    pub since: Duration,
}

/// A change of the view, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewChange {
    /// A member is there.
    Up(Member),
    /// A member has left.
    Left(Member),
    /// A member is dead.
    Dead(Member),
    /// This member was held dead by others, and has come back as this.
    Rejoined(Member),
    /// This process stalled for so long; it suspects nobody for it.
    Stalled(Duration),
}

/// What a member has counted since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewMetrics {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams heard, and their bytes.
    pub received: (u64, u64),
    /// Datagrams that the budget or the queue had no room for.
    pub dropped: u64,
    /// Datagrams not heard, by reason.
    pub rejected: BTreeMap<DecodeError, u64>,
    /// Members that were held dead here.
    pub deaths: u64,
    /// Of these, ones that came back in the same life or the next number: held dead though they were there.
    pub false_deaths: u64,
    /// How often others held this member dead.
    pub own_deaths: u64,
    /// Stalls of this process.
    pub stalls: u64,
}

/// One member's view of its tier.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    base_config: Config,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    join: (Duration, u32),
    reminded: (Duration, usize),
    next_dead_probe_at: Duration,
    next_compare_at: Duration,
    /// Whether the view that was compared with last was another.
    views_differ: bool,
    /// The last address that pages have told.
    last_sent_address: Option<SocketAddr>,
    sorted_view: SortedView,
    has_left: bool,
    runtime: ProtocolRuntime,
}

/// Something the protocol waits for.
struct PendingTimer {
    timer: Timer<Member>,
    /// Since when.
    since: Duration,
    death_delays: u8,
}

/// What this member has seen of another.
#[derive(Clone, Copy)]
struct MemberRecord {
    member: Member,
    is_up: bool,
    /// Since when it is up or down.
    since: Duration,
    /// When it was heard itself last.
    heard_at: Duration,
}

/// What the protocol hands out.
#[derive(Default)]
struct ProtocolRuntime {
    now: Duration,
    tier: u32,
    tokens: f64,
    tokens_at: Duration,
    budget: (f64, f64),
    timers: BTreeMap<(Duration, u64), PendingTimer>,
    last_timer_id: u64,
    outgoing: VecDeque<(SocketAddr, Bytes)>,
    changes: VecDeque<ViewChange>,
    records: BTreeMap<SocketAddr, MemberRecord>,
    /// How often this member has contradicted a suspicion in this life: the protocol tells it in each datagram.
    refutations: u16,
    /// The part of this member's probes that are answered directly.
    answer_rate: f64,
    /// The part of the answers that come without asking again.
    prompt_answer_rate: f64,
    /// The last probe, unless it has been answered, and whether it has been repeated.
    outstanding_probe: Option<(SocketAddr, ProbeNumber, bool)>,
    metrics: ViewMetrics,
}

impl ProtocolRuntime {
    fn push_change(&mut self, change: ViewChange) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    fn take_token(&mut self, kept: f64) -> bool {
        let (rate, burst) = self.budget;
        let passed = self.now.saturating_sub(self.tokens_at).as_secs_f64();
        (self.tokens, self.tokens_at) = ((self.tokens + rate * passed).min(burst), self.now);
        let may = self.tokens >= 1.0 + kept && self.outgoing.len() < MAX_QUEUED_DATAGRAMS;
        if may {
            self.tokens -= 1.0;
        } else {
            self.metrics.dropped += 1;
        }
        may
    }

    /// Sends something, unless the budget has no more than `kept`.
    fn enqueue(&mut self, kept: f64, to: SocketAddr, kind: PayloadKind, inside: &[u8]) {
        if !self.take_token(kept) {
            return;
        }
        let datagram = encode_frame(self.tier, kind, inside);
        self.metrics.sent.0 += 1;
        self.metrics.sent.1 += datagram.len() as u64;
        self.outgoing.push_back((to, datagram));
    }

    /// A probe has been answered, or the next begins and it has not.
    fn record_probe(&mut self, answered: bool) {
        let Some((.., again)) = self.outstanding_probe.take() else { return };
        self.answer_rate += ANSWER_RATE_SMOOTHING * (f64::from(u8::from(answered)) - self.answer_rate);
        if answered {
            self.prompt_answer_rate +=
                ANSWER_RATE_SMOOTHING * (f64::from(u8::from(!again)) - self.prompt_answer_rate);
        }
    }

    fn record_heard(&mut self, member: Member) {
        if let Some(seen) = self.records.get_mut(&member.address).filter(|it| it.member == member) {
            seen.heard_at = self.now;
        }
    }
}

impl Runtime<Member> for &mut ProtocolRuntime {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        let now = self.now;
        match notification {
            Notification::MemberUp(&member) => {
                let seen = MemberRecord { member, is_up: true, since: now, heard_at: now };
                let before = self.records.insert(member.address, seen);
                // Only a member that was there all along contradicts its death: a restart has a new clock.
                let dead = before.filter(|old| !old.is_up && !old.member.leaving);
                if dead.is_some_and(|old| member.incarnation <= old.member.incarnation.saturating_add(1)) {
                    self.metrics.false_deaths += 1;
                }
                self.push_change(ViewChange::Up(member));
            }
            Notification::MemberDown(&member) => {
                self.records
                    .insert(member.address, MemberRecord { member, is_up: false, since: now, heard_at: now });
                if member.leaving {
                    self.push_change(ViewChange::Left(member));
                } else {
                    self.metrics.deaths += 1;
                    self.push_change(ViewChange::Dead(member));
                }
            }
            Notification::Rename(_, &member) => {
                if let Some(row) = self.records.get_mut(&member.address) {
                    // Its state follows, where it changes; a death is kept to be told from a restart.
                    if row.is_up || member.leaving {
                        row.member = member;
                    }
                }
            }
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
            self.outstanding_probe = Some((to.address, number, false));
        }
        let news = matches!(message, Some(Message::Gossip | Message::Feed));
        self.enqueue(if news { BUDGET_RESERVES.0 } else { 0.0 }, to.address, PayloadKind::Protocol, data);
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        self.last_timer_id += 1;
        self.timers.insert(
            (self.now + after, self.last_timer_id),
            PendingTimer { timer, since: self.now, death_delays: 0 },
        );
    }
}

impl Membership {
    /// The view of the member at `own` whose life began at `generation` (Unix milliseconds), and which joins by
    /// any of `seeds`. `seed` feeds its random choices; `now` is any time that goes on steadily.
    pub fn new(
        options: ViewConfig,
        own: SocketAddr,
        generation: u64,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let size = NonZeroU32::new(options.expected_members.max(2)).expect("at least two");
        let lan = Config::new_lan(size);
        let news = PeriodicParams { frequency: GOSSIP.0, num_members: GOSSIP.1 };
        let contradict = SUSPICION_TIMEOUT.mul_f64(f64::from(size.get()).log10());
        let base = Config {
            probe_period: PROBE_PERIOD,
            probe_rtt: PROBE_TIMEOUT,
            num_indirect_probes: INDIRECT_PROBES,
            remove_down_after: Some(FORGET_DEAD_AFTER),
            max_packet_size: NonZeroUsize::new(MAX_DATAGRAM - HEADER_LEN).expect("a frame is short"),
            notify_down_members: true,
            suspect_to_down_after: contradict.max(MIN_SUSPICION_TIMEOUT),
            // Pages tell a whole view in a fraction of the datagrams, and the dead are asked by how many there are.
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(news),
            ..lan
        };
        let member = Member { address: own, incarnation: generation, leaving: false };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seeds = seeds.into_iter().filter(|&seed| seed != own).collect();
        let foca = Foca::new(member, base.clone(), ChaCha8Rng::seed_from_u64(rng.random()), PostcardCodec);
        let budget = (f64::from(options.datagrams_per_second), f64::from(options.burst));
        let desk = ProtocolRuntime {
            now,
            tier: options.tier,
            tokens: budget.1,
            budget,
            tokens_at: now,
            answer_rate: 1.0,
            prompt_answer_rate: 1.0,
            ..ProtocolRuntime::default()
        };
        Self {
            foca,
            base_config: base,
            seeds,
            rng,
            join: (now, 0),
            reminded: (now, 0),
            next_dead_probe_at: now,
            next_compare_at: now,
            views_differ: true,
            last_sent_address: None,
            sorted_view: SortedView::default(),
            has_left: false,
            runtime: desk,
        }
    }

    /// This member, in its present life.
    pub fn own(&self) -> Member {
        *self.foca.identity()
    }

    /// Takes a datagram in.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; it is counted, and has changed nothing.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DecodeError> {
        self.runtime.now = self.runtime.now.max(now);
        self.handle_frame(datagram)
            .inspect_err(|&why| *self.runtime.metrics.rejected.entry(why).or_default() += 1)
    }

    fn handle_frame(&mut self, datagram: &[u8]) -> Result<(), DecodeError> {
        let (kind, inside) = decode_frame(self.runtime.tier, datagram)?;
        let (page, header) = match kind {
            PayloadKind::SnapshotPage => (Some(page::decode(inside).ok_or(DecodeError::Malformed)?), None),
            PayloadKind::Protocol => {
                let mut rest = inside;
                let header = PostcardCodec.decode_header(&mut rest).map_err(|_| DecodeError::Malformed)?;
                (None, Some((header, rest)))
            }
        };
        let from = match (&page, &header) {
            (Some(page), _) => page.header.sender,
            (_, Some((header, _))) => header.src,
            _ => return Err(DecodeError::Malformed),
        };
        if from.address == self.own().address {
            return Err(DecodeError::Own);
        }
        if self.runtime.records.len() >= MAX_MEMBERS && !self.runtime.records.contains_key(&from.address) {
            return Err(DecodeError::Full);
        }
        if self.has_left {
            return Ok(());
        }
        match (page, header) {
            (Some(page), _) => self.handle_page(page)?,
            (_, Some((header, rest))) => self.handle_protocol_message(inside, header, rest)?,
            _ => {}
        }
        self.runtime.record_heard(from);
        self.runtime.metrics.received.0 += 1;
        self.runtime.metrics.received.1 += datagram.len() as u64;
        Ok(())
    }

    fn handle_protocol_message(
        &mut self,
        inside: &[u8],
        header: Header<Member>,
        rest: &[u8],
    ) -> Result<(), DecodeError> {
        if header.dst.address == self.own().address {
            self.adopt_later_incarnation(header.dst);
        }
        let own = self.own();
        if let Message::Ack(number) = header.message
            && self.runtime.outstanding_probe.is_some_and(|it| (it.0, it.1) == (header.src.address, number))
        {
            self.runtime.record_probe(true);
        }
        // Its sender knows an earlier life of this member. Left unanswered, it would hold the present one dead.
        let earlier = header.dst.address == own.address
            && header.dst.incarnation < own.incarnation
            && !matches!(header.message, Message::TurnUndead | Message::Announce);
        let news = self.filter_own_updates(rest)?;
        if !earlier && news.is_none() {
            return self.forward_to_foca(inside);
        }
        let mut all = BytesMut::with_capacity(MAX_DATAGRAM);
        let dst = if earlier { own } else { header.dst };
        PostcardCodec
            .encode_header(&Header { dst, ..header }, &mut all)
            .map_err(|_| DecodeError::Malformed)?;
        all.extend_from_slice(news.as_deref().unwrap_or(rest));
        self.forward_to_foca(&all)
    }

    /// What remains of a message's news without what is said of this member and is of no use any more; nothing
    /// where all is. `foca` would answer each of them with three messages, however often it has contradicted them.
    fn filter_own_updates(&self, rest: &[u8]) -> Result<Option<Vec<u8>>, DecodeError> {
        let own = self.own();
        let Some((count, mut bytes)) = rest.split_first_chunk() else { return Ok(None) };
        let count = u16::from_be_bytes(*count);
        let (mut kept, mut left) = (vec![0; 2], 0_u16);
        for _ in 0..count {
            let member: foca::Member<Member> =
                PostcardCodec.decode_member(&mut bytes).map_err(|_| DecodeError::Malformed)?;
            let same = *member.id() == own;
            let contradicted = same
                && member.state() != foca::State::Down
                && (member.state() == foca::State::Alive || member.incarnation() < self.runtime.refutations);
            if member.id().address == own.address && (!same || contradicted) {
                continue;
            }
            left += 1;
            PostcardCodec.encode_member(&member, &mut kept).map_err(|_| DecodeError::Malformed)?;
        }
        kept[..2].copy_from_slice(&left.to_be_bytes());
        Ok((left < count).then_some(kept))
    }

    fn forward_to_foca(&mut self, inside: &[u8]) -> Result<(), DecodeError> {
        self.foca.handle_data(inside, &mut self.runtime).map_err(|why| match why {
            foca::Error::DataFromOurselves => DecodeError::Own,
            _ => DecodeError::Malformed,
        })
    }

    /// Others know a later life of this address: the clock was put back between two starts.
    fn adopt_later_incarnation(&mut self, told: Member) {
        let own = self.own();
        if told.incarnation > own.incarnation {
            let later = Member { incarnation: told.incarnation.saturating_add(1), ..own };
            // The only failure is to be what one is already.
            let _ = self.foca.change_identity(later, &mut self.runtime);
            self.runtime.push_change(ViewChange::Rejoined(later));
        }
    }

    /// Asks some of those that are held dead whether they are back.
    fn probe_dead_members(&mut self) {
        if self.next_dead_probe_at > self.runtime.now {
            return;
        }
        self.next_dead_probe_at = self.runtime.now + DEAD_PROBE_INTERVAL;
        let mut dead: Vec<Member> = self
            .runtime
            .records
            .values()
            .filter(|it| !it.is_up && !it.member.leaving)
            .map(|it| it.member)
            .collect();
        let (each, most) = DEAD_PROBES;
        let share = (each * dead.len() as f64 / (self.foca.num_members() + 1) as f64).min(most);
        let count = share as usize + usize::from(self.rng.random::<f64>() < share.fract());
        for _ in 0..count.min(dead.len()) {
            let chosen = dead.swap_remove(self.rng.random_range(0..dead.len()));
            let _ = self.foca.announce(chosen, &mut self.runtime);
        }
    }

    /// When [`fire`](Self::fire) is to be called next, at the latest.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.runtime.timers.keys().next().map(|&(at, _)| at);
        let join = (!self.seeds.is_empty()).then_some(self.join.0);
        let alone = self.foca.num_members() == 0;
        let compare = (!alone).then_some(self.next_compare_at);
        // One that holds all others dead has no other timer.
        let ask = (alone && !self.runtime.records.is_empty()).then_some(self.next_dead_probe_at);
        timer.into_iter().chain(join).chain(compare).chain(ask).min().filter(|_| !self.has_left)
    }

    /// Carries out what has come due. Where it comes late, this process has stalled: what others say is read
    /// first, and nobody is held dead for what was not read meanwhile.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.has_left {
            return;
        }
        let late = self.next_timeout().map_or(Duration::ZERO, |due| now.saturating_sub(due));
        self.runtime.now = self.runtime.now.max(now);
        if late >= STALL_THRESHOLD {
            let shift = late + PROBE_PERIOD;
            let timers = std::mem::take(&mut self.runtime.timers);
            self.runtime.timers =
                timers.into_iter().map(|((at, number), it)| ((at + shift, number), it)).collect();
            self.join.0 = self.runtime.now;
            self.next_compare_at = self.runtime.now + COMPARE_INTERVALS.1;
            self.views_differ = true;
            self.runtime.outstanding_probe = None;
            self.runtime.metrics.stalls += 1;
            self.runtime.push_change(ViewChange::Stalled(late));
        }
        self.adjust_suspicion_timeout();
        self.remind_suspects();
        while let Some(entry) = self.runtime.timers.first_entry().filter(|it| it.key().0 <= self.runtime.now)
        {
            let wait = entry.remove();
            if let Timer::SendIndirectProbe { probed_id, .. } = &wait.timer {
                // The probe or its answer may just be lost: it is asked again itself, beside through others.
                if let Some((_, number, again)) =
                    self.runtime.outstanding_probe.as_mut().filter(|it| it.0 == probed_id.address)
                {
                    *again = true;
                    let number = *number;
                    self.send_probe(0.0, *probed_id, number, None);
                }
            }
            if !self.is_refuted(&wait.timer) && !self.delay_death(&wait) {
                // What it refuses is a probe that the stall has left half done, and it begins the next by itself.
                let _ = self.foca.handle_timer(wait.timer, &mut self.runtime);
            }
        }
        self.probe_dead_members();
        self.compare_with_peer();
        self.announce_to_seed();
    }

    /// Whether a suspicion has been contradicted by the time that it was to end in a death. `foca` tells the
    /// member that it is dead all the same, and the member takes up another life for nothing.
    fn is_refuted(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        !self.foca.iter_membership_state().any(|it| {
            it.id() == member_id && it.state() == foca::State::Suspect && it.incarnation() == *incarnation
        })
    }

    /// A death, of a member that has been heard itself since it was suspected, is put off a few times: what is lost
    /// is its answer, or the word that it is suspected. One that says much and hears nothing is dead in the end.
    fn delay_death(&mut self, wait: &PendingTimer) -> bool {
        let Timer::ChangeSuspectToDown { member_id, .. } = &wait.timer else { return false };
        let heard = self.runtime.records.get(&member_id.address).is_some_and(|it| it.heard_at > wait.since);
        let again = heard && wait.death_delays < MAX_DEATH_DELAYS;
        if again {
            let (now, put_off) = (self.runtime.now, wait.death_delays + 1);
            self.runtime.last_timer_id += 1;
            let at = (now + self.base_config.suspect_to_down_after, self.runtime.last_timer_id);
            self.runtime
                .timers
                .insert(at, PendingTimer { timer: wait.timer.clone(), since: now, death_delays: put_off });
        }
        again
    }

    /// Asks a seed: often while nobody is known, and now and then while one of them is not there.
    fn announce_to_seed(&mut self) {
        if self.join.0 > self.runtime.now || self.seeds.is_empty() {
            return;
        }
        let alone = self.foca.num_members() == 0;
        let there = |seed: &SocketAddr| self.runtime.records.get(seed).is_some_and(|it| it.is_up);
        let missed: Vec<_> = self.seeds.iter().copied().filter(|it| !there(it)).collect();
        if !missed.is_empty() {
            let address = missed[self.rng.random_range(0..missed.len())];
            let _ = self.foca.announce(Member { address, incarnation: 0, leaving: false }, &mut self.runtime);
        }
        let wait = if alone { JOIN_BACKOFF_BASE * (1 << self.join.1.min(3)) } else { SEED_PROBE_INTERVAL };
        self.join = (self.runtime.now + wait.mul_f64(0.5 + self.rng.random::<f64>()), self.join.1 + 1);
    }

    /// Few answers say something of the one who gets them.
    fn adjust_suspicion_timeout(&mut self) {
        let doubt = ANSWER_RATE_THRESHOLDS.iter().find(|(part, _)| self.runtime.answer_rate < *part);
        let lossy =
            if self.runtime.prompt_answer_rate < LOSSY_LINK_THRESHOLD.0 { LOSSY_LINK_THRESHOLD.1 } else { 1 };
        let suspect_to_down_after =
            self.base_config.suspect_to_down_after * doubt.map_or(1, |it| it.1).max(lossy);
        // It may change at any time, so this is not refused.
        let _ = self.foca.set_config(Config { suspect_to_down_after, ..self.base_config.clone() });
    }

    /// Tells members that are suspected here of it (Lifeguard's buddies), by a probe whose answer is the
    /// contradiction. Only who began a suspicion ends it; where that one is gone, or its news were lost, a member
    /// that is there would be suspected for ever.
    fn remind_suspects(&mut self) {
        let (every, begun, others) = SUSPECT_REMINDERS;
        if self.runtime.now.saturating_sub(self.reminded.0) < every {
            return;
        }
        self.reminded.0 = self.runtime.now;
        let mine: BTreeSet<Member> = self
            .runtime
            .timers
            .values()
            .filter_map(|wait| match &wait.timer {
                Timer::ChangeSuspectToDown { member_id, .. } => Some(*member_id),
                _ => None,
            })
            .collect();
        let suspects = self.foca.iter_membership_state().filter(|it| it.state() == foca::State::Suspect);
        let (mine, told): (Vec<_>, Vec<_>) = suspects.cloned().partition(|it| mine.contains(it.id()));
        for (suspects, most, kept) in [(mine, begun, 0.0), (told, others, BUDGET_RESERVES.2)] {
            for turn in 0..most.min(suspects.len()) {
                let suspect = &suspects[(self.reminded.1 + turn) % suspects.len()];
                self.send_probe(kept, *suspect.id(), 0, Some(suspect));
            }
        }
        self.reminded.1 = self.reminded.1.wrapping_add(begun);
    }

    /// Asks a member for an answer, beside the protocol's own probes.
    fn send_probe(
        &mut self,
        kept: f64,
        to: Member,
        number: ProbeNumber,
        news: Option<&foca::Member<Member>>,
    ) {
        let (src, src_incarnation) = (self.own(), self.runtime.refutations);
        let header = Header { src, src_incarnation, dst: to, message: Message::Ping(number) };
        let mut inside = BytesMut::with_capacity(MAX_DATAGRAM);
        let mut said = PostcardCodec.encode_header(&header, &mut inside).is_ok();
        inside.put_u16(u16::from(news.is_some()));
        if let Some(news) = news {
            said &= PostcardCodec.encode_member(news, &mut inside).is_ok();
        }
        // A buffer that grows takes both.
        if said {
            self.runtime.enqueue(kept, to.address, PayloadKind::Protocol, &inside);
        }
    }

    /// Tells the others that this member goes on purpose. Nothing is heard or fired afterwards; what is to be
    /// sent still is.
    pub fn leave(&mut self, now: Duration) {
        self.runtime.now = self.runtime.now.max(now);
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        // The last word is not to fail for what was spent before: one that nobody heard leave is missed.
        self.runtime.tokens = self.runtime.budget.1;
        let leaving = Member { leaving: true, ..self.own() };
        let _ = self.foca.change_identity(leaving, &mut self.runtime);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        // Said twice, as it may be lost.
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
        let told: BTreeMap<SocketAddr, _> = self
            .foca
            .iter_membership_state()
            .map(|it| (it.id().address, (it.state(), it.incarnation())))
            .collect();
        self.runtime.records.values().map(move |&MemberRecord { member, is_up: up, since, .. }| {
            let (told, incarnation) = told.get(&member.address).copied().unwrap_or((foca::State::Down, 0));
            let state = match told {
                _ if member.leaving => MemberState::Left,
                foca::State::Alive if up => MemberState::Alive,
                foca::State::Suspect if up => MemberState::Suspect,
                _ => MemberState::Dead,
            };
            MemberStatus { member, state, refutations: incarnation, since }
        })
    }

    /// A number that is [`digest`] of all that are there, this member included, where none of them is suspected. It
    /// takes a look at each.
    pub fn digest(&self) -> u64 {
        let own = self.own();
        let others = self.foca.iter_members().filter(|it| it.id().address != own.address);
        let suspect = |it: &foca::Member<Member>| u64::from(it.state() == foca::State::Suspect);
        others
            .map(|it| page::member_digest(*it.id(), suspect(it)))
            .fold(page::member_digest(own, 0), u64::wrapping_add)
    }

    /// What has been counted.
    pub fn metrics(&self) -> &ViewMetrics {
        &self.runtime.metrics
    }
}

/// What [`Fleet::digest`] is where just these members are alive, in these lives.
pub fn digest(alive: impl IntoIterator<Item = Member>) -> u64 {
    alive.into_iter().map(|member| page::member_digest(member, 0)).fold(0, u64::wrapping_add)
}
