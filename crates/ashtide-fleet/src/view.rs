//! The view that one member keeps.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec,
    Runtime, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::frame::{FRAME, MAX_DATAGRAM, Unheard, unwrap, wrap};
use crate::member::Member;

/// Members that a view holds at most, the dead included; datagrams of others are not heard then.
pub const MAX_MEMBERS: usize = 8192;
/// Changes that may wait to be fetched; older ones make room. The rows tell the outcome.
const MAX_CHANGES: usize = 1024;
/// Datagrams that may wait to be sent. Further ones are lost, as on any network.
const MAX_WAITING: usize = 256;
/// One probe a period, and how long its direct answer may take.
const PERIOD: Duration = Duration::from_millis(1000);
const ROUND_TRIP: Duration = Duration::from_millis(300);
/// Through how many others a silent member is probed.
const INDIRECT: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// News go to so many members, so often, beside the probes.
const NEWS: (Duration, NonZeroUsize) = (Duration::from_millis(500), NonZeroUsize::new(2).expect("not zero"));
/// One that is held dead is asked so often, which is what heals a partition.
const ASK_DEAD: Duration = Duration::from_millis(2000);
/// One that is alive is asked for its whole view so often: news may have been lost for good.
const ASK_ALIVE: Duration = Duration::from_secs(10);
/// While it has just begun, a member asks two that often: it has all to learn.
const ASK_YOUNG: Duration = Duration::from_millis(500);
const YOUNG: Duration = Duration::from_secs(20);
/// So many members that are suspected here are told so themselves in a period.
const REMINDED: usize = 3;
/// The dead are forgotten after this time.
const FORGET: Duration = Duration::from_secs(24 * 3600);
/// Between two tries to join by a seed: doubled up to eight times as long, with jitter.
const JOIN: Duration = Duration::from_millis(500);
/// A timer that comes so late shows a stall of this process.
const STALL: Duration = Duration::from_millis(400);
/// A member suspects itself rather than others while it suspects this part of those it knows, or more...
const DOUBT_PART: f64 = 0.25;
/// ...and gives them this many times as long.
const DOUBT: u32 = 3;

/// What a member is told of its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The tier's key: members of others are not heard.
    pub tier: u32,
    /// About how many members there are; how long a suspicion lasts grows as its logarithm.
    pub size: u32,
    /// Datagrams a second that this member sends at most, whatever the size of the tier...
    pub messages: u32,
    /// ...and how many of them at once.
    pub burst: u32,
}

impl Options {
    /// The usual budget: 16 a second, 32 at once.
    pub fn new(tier: u32, size: u32) -> Self {
        Self { tier, size, messages: 16, burst: 32 }
    }
}

/// How a member is held to stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
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
pub struct Row {
    /// Who.
    pub member: Member,
    /// How it stands.
    pub state: State,
    /// How often it has contradicted a suspicion in this life.
    pub incarnation: u16,
    /// Since when it is up or down, by this member's time.
    pub since: Duration,
}

/// A change of the view, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A member is there.
    Up(Member),
    /// A member has left.
    Left(Member),
    /// A member is dead.
    Dead(Member),
    /// This member was held dead by others, and has come back as this.
    Back(Member),
    /// This process stalled for so long; it suspects nobody for it.
    Stalled(Duration),
}

/// What a member has counted since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams heard, and their bytes.
    pub heard: (u64, u64),
    /// Datagrams that the budget or the queue had no room for.
    pub unsent: u64,
    /// Datagrams not heard, by reason.
    pub unheard: BTreeMap<Unheard, u64>,
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
pub struct Fleet {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    base: Config,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    join: (Duration, u32),
    began: Duration,
    reminded: Duration,
    left: bool,
    desk: Desk,
}

/// What the protocol hands out.
#[derive(Default)]
struct Desk {
    now: Duration,
    tier: u32,
    allowance: f64,
    reckoned: Duration,
    budget: (f64, f64),
    timers: BTreeMap<(Duration, u64), Timer<Member>>,
    number: u64,
    out: VecDeque<(SocketAddr, Bytes)>,
    changes: VecDeque<Change>,
    rows: BTreeMap<SocketAddr, (Member, bool, Duration)>,
    figures: Figures,
}

impl Desk {
    fn change(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    fn spend(&mut self) -> bool {
        let (rate, burst) = self.budget;
        let passed = self.now.saturating_sub(self.reckoned).as_secs_f64();
        (self.allowance, self.reckoned) = ((self.allowance + rate * passed).min(burst), self.now);
        let may = self.allowance >= 1.0 && self.out.len() < MAX_WAITING;
        if may {
            self.allowance -= 1.0;
        }
        may
    }
}

impl Runtime<Member> for &mut Desk {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        let now = self.now;
        match notification {
            Notification::MemberUp(&member) => {
                let before = self.rows.insert(member.address, (member, true, now));
                // Only a member that was there all along contradicts its death: a restart has a new clock.
                let dead = before.filter(|(old, up, _)| !up && !old.leaving);
                if dead.is_some_and(|(old, ..)| member.generation <= old.generation.saturating_add(1)) {
                    self.figures.false_deaths += 1;
                }
                self.change(Change::Up(member));
            }
            Notification::MemberDown(&member) => {
                self.rows.insert(member.address, (member, false, now));
                if member.leaving {
                    self.change(Change::Left(member));
                } else {
                    self.figures.deaths += 1;
                    self.change(Change::Dead(member));
                }
            }
            Notification::Rename(_, &member) => {
                if let Some(row) = self.rows.get_mut(&member.address) {
                    // Its state follows, where it changes; a death is kept to be told from a restart.
                    if row.1 || member.leaving {
                        row.0 = member;
                    }
                }
            }
            Notification::Rejoin(&member) => {
                self.figures.own_deaths += 1;
                self.change(Change::Back(member));
            }
            Notification::Active | Notification::Idle | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        if !self.spend() {
            self.figures.unsent += 1;
            return;
        }
        let datagram = wrap(self.tier, data);
        self.figures.sent.0 += 1;
        self.figures.sent.1 += datagram.len() as u64;
        self.out.push_back((to.address, datagram));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.number += 1;
        let at = self.now + after;
        self.timers.insert((at, self.number), event);
    }
}

impl Fleet {
    /// The view of the member at `own` whose life began at `generation` (Unix milliseconds), and which joins by
    /// any of `seeds`. `seed` feeds its random choices; `now` is any time that goes on steadily.
    pub fn new(
        options: Options,
        own: SocketAddr,
        generation: u64,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Duration,
    ) -> Self {
        let size = NonZeroU32::new(options.size.max(2)).expect("at least two");
        let lan = Config::new_lan(size);
        let every = |frequency, num_members| Some(PeriodicParams { frequency, num_members });
        let one = NonZeroUsize::MIN;
        let base = Config {
            probe_period: PERIOD,
            probe_rtt: ROUND_TRIP,
            num_indirect_probes: INDIRECT,
            remove_down_after: Some(FORGET),
            max_packet_size: NonZeroUsize::new(MAX_DATAGRAM - FRAME).expect("a frame is short"),
            notify_down_members: true,
            periodic_announce: every(ASK_ALIVE, one),
            periodic_announce_to_down_members: every(ASK_DEAD, one),
            periodic_gossip: every(NEWS.0, NEWS.1),
            ..lan
        };
        let member = Member { address: own, generation, leaving: false };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seeds = seeds.into_iter().filter(|&seed| seed != own).collect();
        let foca = Foca::new(member, base.clone(), ChaCha8Rng::seed_from_u64(rng.random()), PostcardCodec);
        let budget = (f64::from(options.messages), f64::from(options.burst));
        let desk =
            Desk { now, tier: options.tier, allowance: budget.1, budget, reckoned: now, ..Desk::default() };
        Self { foca, base, seeds, rng, join: (now, 0), began: now, reminded: now, left: false, desk }
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
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) -> Result<(), Unheard> {
        self.desk.now = self.desk.now.max(now);
        self.take(datagram).inspect_err(|&why| *self.desk.figures.unheard.entry(why).or_default() += 1)
    }

    fn take(&mut self, datagram: &[u8]) -> Result<(), Unheard> {
        let inside = unwrap(self.desk.tier, datagram)?;
        let header: Header<Member> = PostcardCodec.decode_header(inside).map_err(|_| Unheard::Malformed)?;
        let own = self.own();
        if header.src.address == own.address {
            return Err(Unheard::Own);
        }
        if self.desk.rows.len() >= MAX_MEMBERS && !self.desk.rows.contains_key(&header.src.address) {
            return Err(Unheard::Full);
        }
        if self.left {
            return Ok(());
        }
        // Others know a later life of this address: the clock was put back between two starts.
        if header.dst.address == own.address && header.dst.generation > own.generation {
            let later = Member { generation: header.dst.generation.saturating_add(1), ..own };
            // The only failure is to be what one is already.
            let _ = self.foca.change_identity(later, &mut self.desk);
            self.desk.change(Change::Back(later));
        }
        let heard = self.foca.handle_data(inside, &mut self.desk);
        match heard {
            Ok(()) => {
                self.desk.figures.heard.0 += 1;
                self.desk.figures.heard.1 += datagram.len() as u64;
                Ok(())
            }
            Err(foca::Error::DataFromOurselves) => Err(Unheard::Own),
            Err(_) => Err(Unheard::Malformed),
        }
    }

    /// When [`fire`](Self::fire) is to be called next, at the latest.
    pub fn due(&self) -> Option<Duration> {
        let timer = self.desk.timers.keys().next().map(|&(at, _)| at);
        let join = self.lonely().then_some(self.join.0);
        timer.into_iter().chain(join).min().filter(|_| !self.left)
    }

    fn lonely(&self) -> bool {
        !self.seeds.is_empty() && self.foca.num_members() == 0
    }

    /// Carries out what has come due. Where it comes late, this process has stalled: what others say is read
    /// first, and nobody is held dead for what was not read meanwhile.
    pub fn fire(&mut self, now: Duration) {
        if self.left {
            return;
        }
        let late = self.due().map_or(Duration::ZERO, |due| now.saturating_sub(due));
        self.desk.now = self.desk.now.max(now);
        if late >= STALL {
            let shift = late + PERIOD;
            let timers = std::mem::take(&mut self.desk.timers);
            self.desk.timers =
                timers.into_iter().map(|((at, number), it)| ((at + shift, number), it)).collect();
            self.join.0 = self.desk.now;
            self.desk.figures.stalls += 1;
            self.desk.change(Change::Stalled(late));
        }
        self.doubt();
        self.remind();
        while let Some(entry) = self.desk.timers.first_entry().filter(|it| it.key().0 <= self.desk.now) {
            let timer = entry.remove();
            // What it refuses is a probe that the stall has left half done, and it begins the next by itself.
            let _ = self.foca.handle_timer(timer, &mut self.desk);
        }
        if self.lonely() && self.join.0 <= self.desk.now {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            let unknown = Member { address: seed, generation: 0, leaving: false };
            let _ = self.foca.announce(unknown, &mut self.desk);
            let wait = JOIN * (1 << self.join.1.min(3));
            self.join = (self.desk.now + wait.mul_f64(0.5 + self.rng.random::<f64>()), self.join.1 + 1);
        }
    }

    /// Many suspicions at once say more of the one who has them.
    fn doubt(&mut self) {
        let all = self.foca.num_members();
        let suspect =
            self.foca.iter_membership_state().filter(|it| it.state() == foca::State::Suspect).count();
        let doubts = all > 2 && suspect as f64 >= DOUBT_PART * all as f64;
        let times = if doubts { DOUBT } else { 1 };
        let young = self.desk.now.saturating_sub(self.began) < YOUNG;
        let periodic_announce = match &self.base.periodic_announce {
            Some(_) if young => Some(PeriodicParams { frequency: ASK_YOUNG, num_members: NEWS.1 }),
            usual => usual.clone(),
        };
        let suspect_to_down_after = self.base.suspect_to_down_after * times;
        let config = Config { suspect_to_down_after, periodic_announce, ..self.base.clone() };
        // Both may change at any time, so this is not refused.
        let _ = self.foca.set_config(config);
    }

    /// Tells members that are suspected here of it (Lifeguard's buddies). Only who began a suspicion ends it;
    /// where that one is gone, or its news were lost, a member that is there would be suspected for ever.
    fn remind(&mut self) {
        if self.desk.now.saturating_sub(self.reminded) < PERIOD {
            return;
        }
        self.reminded = self.desk.now;
        let own = self.own();
        let suspects = self.foca.iter_membership_state().filter(|it| it.state() == foca::State::Suspect);
        for suspect in suspects.take(REMINDED) {
            let header =
                Header { src: own, src_incarnation: 0, dst: *suspect.id(), message: Message::Gossip };
            let mut inside = BytesMut::with_capacity(MAX_DATAGRAM);
            let said = PostcardCodec.encode_header(&header, &mut inside);
            inside.put_u16(1);
            // A buffer that grows takes both.
            if said.is_ok() && PostcardCodec.encode_member(suspect, &mut inside).is_ok() {
                (&mut self.desk).send_to(*suspect.id(), &inside);
            }
        }
    }

    /// Tells the others that this member goes on purpose. Nothing is heard or fired afterwards; what is to be
    /// sent still is.
    pub fn leave(&mut self, now: Duration) {
        self.desk.now = self.desk.now.max(now);
        if std::mem::replace(&mut self.left, true) {
            return;
        }
        let leaving = Member { leaving: true, ..self.own() };
        let _ = self.foca.change_identity(leaving, &mut self.desk);
        let _ = self.foca.leave_cluster(&mut self.desk);
    }

    /// The next datagram to be sent, and where to.
    pub fn transmit(&mut self) -> Option<(SocketAddr, Bytes)> {
        self.desk.out.pop_front()
    }

    /// The next change of the view that has not been fetched.
    pub fn change(&mut self) -> Option<Change> {
        self.desk.changes.pop_front()
    }

    /// All other members that are known, by address.
    pub fn members(&self) -> impl Iterator<Item = Row> {
        let told: BTreeMap<SocketAddr, _> = self
            .foca
            .iter_membership_state()
            .map(|it| (it.id().address, (it.state(), it.incarnation())))
            .collect();
        self.desk.rows.values().map(move |&(member, up, since)| {
            let (told, incarnation) = told.get(&member.address).copied().unwrap_or((foca::State::Down, 0));
            let state = match told {
                _ if member.leaving => State::Left,
                foca::State::Alive if up => State::Alive,
                foca::State::Suspect if up => State::Suspect,
                _ => State::Dead,
            };
            Row { member, state, incarnation, since }
        })
    }

    /// What has been counted.
    pub fn figures(&self) -> &Figures {
        &self.desk.figures
    }
}
