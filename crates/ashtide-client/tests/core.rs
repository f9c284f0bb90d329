//! The core under arbitrary interleavings: a world that loses, delays, repeats and invents events, and the
//! promises that hold in all of them. Fixed seeds, virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ashtide_client::*;
use ashtide_protocol::{GatewayEvent, Open, PeerFault};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);

fn address(number: u16) -> Address {
    Address {
        socket_addr: ([127, 0, 0, 1], 4000 + number).into(),
        zone: format!("z{}", number % 2),
        site: "site".into(),
    }
}

fn wish(key: u64) -> SessionRequest {
    SessionRequest {
        idempotent: key % 5 != 4,
        reconnects: key % 7 != 6,
        ..SessionRequest::new("meter", format!("k{key}"), 3200 * MS)
    }
}

/// What a world without mercy has seen of one session.
#[derive(Default)]
struct Seen {
    key: String,
    opened: Instant,
    /// Attempts whose sockets are, or may be, open; and whether the request went out on them.
    sockets: BTreeMap<Attempt, bool>,
    /// It must stand by then: the first placing's deadline.
    by: Option<Instant>,
    stood: bool,
    tries: u32,
    not_before: Instant,
    ended: u32,
    closing: BTreeSet<Attempt>,
}

struct World {
    pool: SessionPool,
    now: Instant,
    sessions: BTreeMap<SessionId, Seen>,
    ids: BTreeSet<Bytes>,
    out: Vec<PoolCommand>,
    /// Until when the one site refuses the one class.
    held: Instant,
    /// Until when a driver has been late with the time, so that a session may end later.
    woken: Instant,
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::from_micros(1_000_000);
        let mut world = Self {
            pool: SessionPool::new(Settings { zone: Some("z0".into()), ..Settings::default() }, seed)
                .unwrap(),
            now,
            sessions: BTreeMap::new(),
            ids: BTreeSet::new(),
            out: Vec::new(),
            held: Instant::default(),
            woken: now,
        };
        world.event(PoolEvent::AddressesChanged((0..4).map(address).collect()));
        world
    }

    fn open(&mut self, key: u64) {
        let wish = wish(key);
        let seen = Seen {
            key: wish.parameters.key.clone(),
            opened: self.now,
            by: Some(self.now + wish.timeout),
            ..Seen::default()
        };
        let mut out = Vec::new();
        let id = self.pool.open(self.now, wish, &mut out);
        assert!(self.sessions.insert(id, seen).is_none(), "ids are fresh");
        self.out = out;
        self.check();
    }

    fn event(&mut self, event: PoolEvent) {
        let mut out = Vec::new();
        self.pool.handle(self.now, event, &mut out);
        self.out = out;
        self.check();
    }

    /// Lets time pass as a driver does that wakes the pool when it asks.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(wake) = self.pool.next_wake().filter(|&wake| wake <= until) {
            self.now = wake.max(self.now);
            self.woken = self.now;
            self.event(PoolEvent::TimerFired);
        }
        self.now = until;
    }

    fn check(&mut self) {
        let now = self.now;
        for effect in std::mem::take(&mut self.out) {
            match effect {
                PoolCommand::Connect { session, attempt, .. } => {
                    let seen = self.sessions.get_mut(&session).unwrap();
                    assert_eq!(seen.ended, 0, "nothing after the end");
                    assert!(seen.sockets.is_empty(), "dials while {:?} may be open", seen.sockets);
                    assert!(now >= seen.not_before, "before the refusal's time is over");
                    assert!(now >= self.held, "another session knocks at a site that refuses");
                    seen.sockets.insert(attempt, false);
                    seen.tries += 1;
                }
                PoolCommand::SendRequest { session, attempt, line } => {
                    let seen = self.sessions.get_mut(&session).unwrap();
                    assert_eq!(
                        seen.sockets.insert(attempt, true),
                        Some(false),
                        "written once, where dialled"
                    );
                    assert_eq!(seen.sockets.len(), 1, "one attempt at a time");
                    let text = String::from_utf8(line.to_vec()).unwrap();
                    let open = Open::parse(line).unwrap();
                    assert!(self.ids.insert(open.id.clone()), "a fresh id");
                    assert_eq!(text.split(' ').nth(2), Some(&*seen.key), "the same key");
                    assert_eq!(text.contains(",r=1"), seen.tries > 1, "marked as a retry: {text}");
                    assert_eq!(text.contains(",again=1"), seen.stood, "marked as a return: {text}");
                    let wait = open.client_timeout.unwrap();
                    match seen.by {
                        Some(by) => {
                            assert!(
                                wait <= by.duration_since(now).max(MS),
                                "{wait:?} but {:?} left",
                                by.duration_since(now)
                            )
                        }
                        None => assert!(wait <= Duration::from_secs(30)),
                    }
                }
                PoolCommand::Close { session, attempt } => {
                    let seen = self.sessions.get_mut(&session).unwrap();
                    assert!(seen.closing.insert(attempt), "closed once");
                }
                PoolCommand::Notify(session, notice) => {
                    let seen = self.sessions.get_mut(&session).unwrap();
                    assert_eq!(seen.ended, 0, "nothing after the end");
                    match notice {
                        SessionNotification::Connected { .. } => {
                            assert!(seen.by.is_none_or(|by| now < by), "up after its deadline");
                            (seen.stood, seen.by, seen.tries) = (true, None, 0);
                        }
                        SessionNotification::Disconnected(_) => seen.tries = 0,
                        // A return begins, or begins anew once the network is back.
                        SessionNotification::Reconnecting { delay: after } => {
                            seen.tries = 0;
                            assert!(after <= Duration::from_secs(20));
                        }
                        SessionNotification::Retrying { .. } => {}
                    }
                }
                PoolCommand::EndSession(session, _) => {
                    let seen = self.sessions.get_mut(&session).unwrap();
                    seen.ended += 1;
                    assert_eq!(seen.ended, 1, "ends once");
                }
            }
        }
        for seen in self.sessions.values().filter(|seen| seen.ended == 0) {
            // Time is told when it is asked for, so a deadline is overrun by a tick at most.
            if let Some(by) = seen.by {
                assert!(
                    self.woken <= by + TICK,
                    "still here at {:?}",
                    self.woken.duration_since(seen.opened)
                );
            }
        }
        // Retries are what first tries, drops and time have paid for, and no more.
        let settings = Settings::default();
        let minutes = now.duration_since(Instant::from_micros(1_000_000)).as_secs_f64() / 60.0;
        let figures = self.pool.metrics();
        let paid =
            (figures.first_attempts + figures.reconnects + figures.opened + figures.moved + figures.broken)
                as f64;
        let most = settings.budget_first + settings.budget_ratio * paid + settings.budget_minute * minutes;
        assert!(figures.retries as f64 <= most + 1e-6, "{} retries, {most} paid for", figures.retries);
    }

    fn pick(&self, which: u32) -> Option<(SessionId, Attempt)> {
        let all: Vec<_> = self
            .sessions
            .iter()
            .flat_map(|(&id, seen)| seen.sockets.keys().map(move |&attempt| (id, attempt)))
            .collect();
        all.get(which as usize % all.len().max(1)).copied()
    }

    /// One step of a script: any event, of a live attempt or of one that never was or is long over.
    fn act(&mut self, what: u8, which: u32) {
        match what {
            0 | 1 => return self.open(u64::from(which)),
            2 => return self.event(PoolEvent::NetworkLost),
            3 => return self.event(PoolEvent::NetworkRestored),
            4 => {
                let list = (0..4).filter(|number| which >> number & 1 == 1).map(address).collect();
                return self.event(PoolEvent::AddressesChanged(list));
            }
            5 => {
                let id = self.sessions.keys().nth(which as usize % self.sessions.len().max(1)).copied();
                id.into_iter().for_each(|id| self.event(PoolEvent::CloseSession(id)));
                return;
            }
            6 => {
                // Events of attempts that never were, or of other sessions' numbers.
                let (id, attempt) = (SessionId(u64::from(which % 9)), Attempt(which % 11 + 40));
                self.event(PoolEvent::Connected(id, attempt));
                self.event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Up(Bytes::new()))));
                return self.event(PoolEvent::ConnectionEnded(id, attempt, None));
            }
            _ => {}
        }
        let Some((id, attempt)) = self.pick(which) else { return };
        let seen = self.sessions.get_mut(&id).unwrap();
        let asked = seen.sockets[&attempt];
        let alive = seen.ended == 0 && !seen.closing.contains(&attempt);
        match what {
            // The driver closes what it was told to, sooner or later.
            7..=9 => {
                if seen.closing.contains(&attempt) {
                    seen.sockets.remove(&attempt);
                    self.event(PoolEvent::SocketClosed(id, attempt));
                }
            }
            10..=13 if !asked => self.event(PoolEvent::Connected(id, attempt)),
            14 if !asked => {
                seen.sockets.remove(&attempt);
                self.event(PoolEvent::ConnectFailed(id, attempt));
            }
            15 => {
                seen.sockets.remove(&attempt);
                self.event(PoolEvent::ConnectionEnded(
                    id,
                    attempt,
                    (which % 3 == 0).then_some(PeerFault::Torn),
                ));
            }
            16 => {
                let wait = Duration::from_millis(u64::from(which % 1500));
                let busy = match which % 4 {
                    0 => None,
                    1 => Some(Duration::from_secs(u64::from(which) * 1000)),
                    _ => Some(wait),
                };
                // A refusal counts from when it is heard, if it is an answer at all.
                let standing = self.pool.is_established(id);
                let in_time = self.sessions[&id].by.is_none_or(|by| self.now < by);
                self.event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Busy(busy))));
                if alive && asked && !standing && in_time {
                    let until = self.now + busy.unwrap_or_default().min(Settings::default().busy_most);
                    self.sessions.get_mut(&id).unwrap().not_before = until;
                }
            }
            17 => self.event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Failed(Bytes::new())))),
            18 => self.event(PoolEvent::Received(id, attempt, Err(PeerFault::UpTwice))),
            19 => self.event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Move))),
            20 => self.event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Bye))),
            _ => self.event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Up(Bytes::from("r"))))),
        }
    }
}

fn run(cases: u32, test: impl Fn(u64, Vec<(u32, u8, u32)>) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let cases = Cases { cases, failure_persistence: None, max_shrink_iters: 2000, ..Cases::default() };
    let step = (prop_oneof![4 => 0_u32..400, 1 => 0_u32..8000, 1 => Just(0)], 0_u8..26, any::<u32>());
    TestRunner::new_with_rng(cases, rng)
        .run(&(any::<u64>(), vec(step, 1..250)), |(seed, script)| test(seed, script))
        .unwrap();
}

#[test]
fn whatever_happens_there_is_one_attempt_one_end_and_no_early_return() {
    run(400, |seed, script| {
        let mut world = World::new(seed);
        for (ms, what, which) in script {
            world.pass(ms * MS);
            world.act(what, which);
        }
        // Let it all come to an end: sockets close, the network stays, everyone leaves or is overdue.
        world.event(PoolEvent::NetworkRestored);
        for _ in 0..2000 {
            world.pass(200 * MS);
            let open: Vec<_> = world
                .sessions
                .iter()
                .flat_map(|(&id, seen)| seen.closing.iter().map(move |&a| (id, a)))
                .collect();
            for (id, attempt) in open {
                if world.sessions.get_mut(&id).unwrap().sockets.remove(&attempt).is_some() {
                    world.event(PoolEvent::SocketClosed(id, attempt));
                }
            }
        }
        for id in world.sessions.keys().copied().collect::<Vec<_>>() {
            if world.sessions[&id].ended == 0 {
                prop_assert!(world.pool.is_established(id), "neither standing nor over after 400 s");
                world.event(PoolEvent::CloseSession(id));
            }
        }
        prop_assert!(world.sessions.values().all(|seen| seen.ended == 1) && world.pool.is_empty());
        prop_assert_eq!(world.pool.next_wake(), None);
        prop_assert_eq!(world.pool.metrics().ended, world.pool.metrics().opened);
        Ok(())
    });
}

#[test]
fn the_same_seed_and_events_give_the_same_effects() {
    run(20, |seed, script| {
        let [one, two] = [(), ()].map(|()| {
            let (mut pool, mut all, mut now) =
                (SessionPool::new(Settings::default(), seed).unwrap(), Vec::new(), 0);
            pool.handle(
                Instant::default(),
                PoolEvent::AddressesChanged((0..4).map(address).collect()),
                &mut all,
            );
            for &(ms, what, which) in &script {
                now += u64::from(ms) * 1000;
                let (at, id) = (Instant::from_micros(now), SessionId(u64::from(which % 6) + 1));
                match what {
                    0..=5 => _ = pool.open(at, wish(u64::from(which)), &mut all),
                    6..=12 => pool.handle(at, PoolEvent::Connected(id, Attempt(1)), &mut all),
                    13 => pool.handle(at, PoolEvent::NetworkLost, &mut all),
                    14 => pool.handle(at, PoolEvent::NetworkRestored, &mut all),
                    _ => pool.handle(
                        at,
                        PoolEvent::Received(id, Attempt(1), Ok(GatewayEvent::Busy(None))),
                        &mut all,
                    ),
                }
            }
            all
        });
        prop_assert_eq!(one, two);
        Ok(())
    });
}

/// A pool with one address, and a session that has been dialled and asked.
fn asked(settings: Settings, wish: SessionRequest) -> (SessionPool, SessionId, Vec<PoolCommand>) {
    let (mut pool, mut out) = (SessionPool::new(settings, 7).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut out);
    let id = pool.open(at(0), wish, &mut out);
    pool.handle(at(0), PoolEvent::Connected(id, Attempt(1)), &mut out);
    (pool, id, out)
}

fn at(ms: u64) -> Instant {
    Instant::from_micros(5_000_000 + ms * 1000)
}

fn up() -> Result<GatewayEvent, PeerFault> {
    Ok(GatewayEvent::Up(Bytes::new()))
}

#[test]
fn a_slow_connect_leaves_the_line_what_is_left() {
    let (mut pool, mut out) = (SessionPool::new(Settings::default(), 7).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut out);
    let id = pool.open(at(0), SessionRequest::new("meter", "k", 3200 * MS), &mut out);
    pool.handle(at(900), PoolEvent::Connected(id, Attempt(1)), &mut out);
    let Some(PoolCommand::SendRequest { line, .. }) = out.last() else { panic!("{out:?}") };
    assert_eq!(Open::parse(line.clone()).unwrap().client_timeout, Some(2300 * MS));
}

#[test]
fn a_device_that_slept_ends_the_session_once() {
    let (mut pool, id, mut out) = asked(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    out.clear();
    // The answer came while it slept, and is the first thing that is read.
    pool.handle(at(3 * 3_600_000), PoolEvent::Received(id, Attempt(1), up()), &mut out);
    let end = PoolCommand::EndSession(id, GiveUpReason::DeadlineExceeded { last: AttemptFailure::TimedOut });
    assert_eq!(out, [PoolCommand::Close { session: id, attempt: Attempt(1) }, end]);
    assert!(pool.is_empty() && pool.next_wake().is_none());
}

#[test]
fn ticks_are_coarse_and_deadlines_are_not() {
    for (ms, stands) in [(3202, true), (3203, false), (3206, false)] {
        let (mut pool, id, mut out) =
            asked(Settings::default(), SessionRequest::new("meter", "k", 3203 * MS));
        pool.handle(at(ms), PoolEvent::Received(id, Attempt(1), up()), &mut out);
        assert_eq!(pool.is_established(id), stands, "up after {ms} ms");
    }
}

#[test]
fn up_beside_the_close_is_a_break_and_not_two() {
    let (mut pool, id, mut out) = asked(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    out.clear();
    pool.handle(at(5), PoolEvent::Received(id, Attempt(1), up()), &mut out);
    pool.handle(at(5), PoolEvent::ConnectionEnded(id, Attempt(1), None), &mut out);
    assert!(matches!(
        out[..],
        [
            PoolCommand::Notify(_, SessionNotification::Connected { .. }),
            PoolCommand::Notify(_, SessionNotification::Disconnected(ConnectionLoss::Broken(None)))
        ]
    ));
    assert_eq!((pool.metrics().established, pool.metrics().broken), (1, 1));
}

#[test]
fn connections_that_break_at_once_end_the_session_after_a_few() {
    let (mut pool, id, mut out) = asked(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    let mut now = at(5);
    for attempt in 1..=5 {
        pool.handle(now, PoolEvent::Connected(id, Attempt(attempt)), &mut out);
        pool.handle(now, PoolEvent::Received(id, Attempt(attempt), up()), &mut out);
        pool.handle(now, PoolEvent::ConnectionEnded(id, Attempt(attempt), None), &mut out);
        while let Some(wake) = pool.next_wake() {
            now = wake;
            pool.handle(now, PoolEvent::TimerFired, &mut out);
            if let Some(PoolCommand::Connect { .. }) = out.last() {
                break;
            }
        }
    }
    assert_eq!(
        out.last(),
        Some(&PoolCommand::EndSession(id, GiveUpReason::Unstable { consecutive_losses: 5 }))
    );
    assert!(
        now.duration_since(at(0)) > Duration::from_secs(10),
        "and each wait is drawn from a wider window"
    );
}

#[test]
fn an_absurd_wait_is_bounded_and_says_when_to_come_again() {
    let (mut pool, id, mut out) = asked(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    let busy = GatewayEvent::Busy(Some(Duration::from_secs(1 << 40)));
    pool.handle(at(5), PoolEvent::Received(id, Attempt(1), Ok(busy)), &mut out);
    let retry_after = Settings::default().busy_most;
    assert_eq!(out.last(), Some(&PoolCommand::EndSession(id, GiveUpReason::Rejected { retry_after })));
    // Who asks next within that time is told so without a knock at any door of the site.
    pool.handle(at(6), PoolEvent::AddressesChanged((0..4).map(address).collect()), &mut out);
    out.clear();
    let next = pool.open(at(1005), SessionRequest::new("meter", "other", 3200 * MS), &mut out);
    assert_eq!(
        out,
        [PoolCommand::EndSession(next, GiveUpReason::Rejected { retry_after: Duration::from_secs(29) })]
    );
    let other = pool.open(at(1005), SessionRequest::new("sync", "other", 3200 * MS), &mut out);
    assert!(
        matches!(out.last(), Some(PoolCommand::Connect { session, .. }) if *session == other),
        "another class may"
    );
}

/// Answers every attempt that has been dialled; how many there were.
fn answer_all(
    pool: &mut SessionPool,
    now: Instant,
    out: &mut Vec<PoolCommand>,
    answer: &GatewayEvent,
) -> usize {
    let mut dials = 0;
    for effect in std::mem::take(out) {
        if let PoolCommand::Connect { session, attempt, .. } = effect {
            dials += 1;
            pool.handle(now, PoolEvent::Connected(session, attempt), out);
            pool.handle(now, PoolEvent::Received(session, attempt, Ok(answer.clone())), out);
            pool.handle(now, PoolEvent::SocketClosed(session, attempt), out);
        }
    }
    dials
}

#[test]
fn a_dead_site_sees_first_tries_and_little_else() {
    let (mut pool, mut out) = (SessionPool::new(Settings::default(), 3).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged((0..4).map(address).collect()), &mut out);
    for number in 0..1000_u64 {
        let now = at(number * 20);
        pool.open(now, SessionRequest::new("meter", format!("k{number}"), 3200 * MS), &mut out);
        while answer_all(&mut pool, now, &mut out, &GatewayEvent::Busy(None)) > 0 {}
    }
    let figures = pool.metrics();
    assert_eq!(figures.first_attempts, 1000);
    assert!((150..=203).contains(&figures.retries) && figures.retry_budget_exhausted > 700, "{figures:?}");
}

#[test]
fn one_session_finds_out_whether_a_failed_address_is_well_again() {
    let (mut pool, mut out) = (SessionPool::new(Settings::default(), 3).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut out);
    let first = pool.open(at(0), SessionRequest { timeout: 60_000 * MS, ..wish(1) }, &mut out);
    pool.handle(at(1), PoolEvent::ConnectFailed(first, Attempt(1)), &mut out);
    out.clear();
    for key in 0..50 {
        pool.open(at(2), SessionRequest::new("meter", format!("k{key}"), 60_000 * MS), &mut out);
    }
    let dials = |out: &[PoolCommand]| {
        out.iter().filter(|effect| matches!(effect, PoolCommand::Connect { .. })).count()
    };
    assert_eq!(dials(&out), 0, "all wait while it is set aside");
    let mut now = 2;
    while dials(&out) == 0 {
        now += 10;
        pool.handle(at(now), PoolEvent::TimerFired, &mut out);
    }
    assert!((500..2500).contains(&now) && dials(&out) == 1, "then one tries, at {now}");
    for later in 1..50 {
        pool.handle(at(now + later * 10), PoolEvent::TimerFired, &mut out);
    }
    assert_eq!(dials(&out), 1, "and the others wait for its answer");
    now += 500;
    answer_all(&mut pool, at(now), &mut out, &GatewayEvent::Up(Bytes::new()));
    let mut followed = 0;
    for later in 1..200 {
        pool.handle(at(now + later * 10), PoolEvent::TimerFired, &mut out);
        followed += answer_all(&mut pool, at(now + later * 10), &mut out, &GatewayEvent::Up(Bytes::new()));
    }
    assert_eq!(followed, 50, "once it has come up, all follow");
}

#[test]
fn what_was_learnt_outlives_the_process_within_bounds() {
    let (mut pool, id, mut out) = asked(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    let busy = GatewayEvent::Busy(Some(Duration::from_secs(20)));
    pool.handle(at(5), PoolEvent::Received(id, Attempt(1), Ok(busy)), &mut out);
    let text = pool.server_cache(at(5)).encode(77_000).unwrap();
    let (learnt, ago) = ServerCache::decode(&text, 82_000).unwrap().unwrap();
    assert_eq!(ago, Duration::from_secs(5));

    let mut next = SessionPool::new(Settings::default(), 8).unwrap();
    next.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut out);
    next.restore_cache(at(0), &learnt, ago);
    out.clear();
    let id = next.open(at(0), SessionRequest::new("meter", "k", 3200 * MS), &mut out);
    assert_eq!(
        out,
        [PoolCommand::EndSession(id, GiveUpReason::Rejected { retry_after: Duration::from_secs(15) })]
    );

    // A clock that went back, a file from long ago, one from another version, and garbage of all kinds.
    assert_eq!(ServerCache::decode(&text, 0).unwrap().unwrap().1, Duration::ZERO);
    assert!(ServerCache::decode(&text, 77_000 + 700_000).unwrap().is_none());
    let other = String::from_utf8(text.clone()).unwrap().replace("\"version\":1", "\"version\":2");
    assert!(matches!(ServerCache::decode(other.as_bytes(), 0), Err(ServerCacheError::UnsupportedVersion(2))));
    for cut in 0..text.len() {
        assert!(ServerCache::decode(&text[..cut], 0).is_err(), "a prefix of {cut} bytes");
    }
    let absurd = ServerCache {
        tokens: 1e5,
        rejections: vec![CachedRejection {
            site: "site".into(),
            class: "meter".into(),
            remaining_ms: u64::MAX,
        }],
        failures: vec![],
    };
    let mut third = SessionPool::new(Settings::default(), 8).unwrap();
    third.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut out);
    third.restore_cache(at(0), &absurd, Duration::ZERO);
    assert!(third.retry_budget() <= Settings::default().budget_first, "no retries out of a file");
    out.clear();
    let id = third.open(at(0), SessionRequest::new("meter", "k", 3200 * MS), &mut out);
    assert_eq!(
        out,
        [PoolCommand::EndSession(id, GiveUpReason::Rejected { retry_after: Settings::default().busy_most })]
    );
}

/// Sessions of their own processes, all cut at one moment: when each reaches the balancer again.
fn arrivals(count: u64, seed: impl Fn(u64) -> u64, drop: PoolEvent) -> HashMap<u64, u32> {
    let mut slots = HashMap::new();
    for number in 0..count {
        let (mut pool, mut out) = (SessionPool::new(Settings::default(), seed(number)).unwrap(), Vec::new());
        pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0), address(2)]), &mut out);
        let id =
            pool.open(at(0), SessionRequest::new("meter", format!("meter-{number}"), 3200 * MS), &mut out);
        pool.handle(at(0), PoolEvent::Connected(id, Attempt(1)), &mut out);
        pool.handle(at(0), PoolEvent::Received(id, Attempt(1), up()), &mut out);
        out.clear();
        let cut = match drop {
            PoolEvent::ConnectionEnded(..) => PoolEvent::ConnectionEnded(id, Attempt(1), None),
            _ => PoolEvent::Received(id, Attempt(1), Ok(GatewayEvent::Move)),
        };
        pool.handle(at(10_000), cut, &mut out);
        pool.handle(at(10_000), PoolEvent::SocketClosed(id, Attempt(1)), &mut out);
        out.clear();
        while !out.iter().any(|effect| matches!(effect, PoolCommand::Connect { .. })) {
            let wake = pool.next_wake().expect("it returns");
            pool.handle(wake, PoolEvent::TimerFired, &mut out);
            if out.iter().any(|effect| matches!(effect, PoolCommand::Connect { .. })) {
                *slots.entry(wake.duration_since(at(10_000)).as_millis() as u64 / 100).or_default() += 1;
            }
        }
    }
    slots
}

#[test]
fn a_mass_return_is_no_wave_even_from_equal_seeds() {
    let broken = PoolEvent::ConnectionEnded(SessionId(1), Attempt(1), None);
    let moved = PoolEvent::Received(SessionId(1), Attempt(1), Ok(GatewayEvent::Move));
    for (drop, least, slots_of) in [(broken, 35, 40.0), (moved, 20, 25.0)] {
        let slots = arrivals(10_000, |_| 42, drop);
        let span = slots.keys().max().unwrap() - slots.keys().min().unwrap();
        assert!(span >= least, "over {span} slots of 100 ms");
        let (peak, mean) = (f64::from(*slots.values().max().unwrap()), 10_000.0 / slots_of);
        assert!(peak <= 1.4 * mean, "peak {peak}, mean {mean}");
        assert_eq!(slots.values().sum::<u32>(), 10_000);
    }
}

/// Where a crowd of devices goes first, and where each goes after its first address has refused a connection.
fn swing(devices: u64, zone: Option<&str>) -> (BTreeMap<u16, u32>, BTreeMap<(u16, u16), u32>) {
    let (mut first, mut then) = (BTreeMap::new(), BTreeMap::new());
    for number in 0..devices {
        let settings = Settings { zone: zone.map(str::to_owned), ..Settings::default() };
        let (mut pool, mut out) = (SessionPool::new(settings, 42).unwrap(), Vec::new());
        pool.handle(at(0), PoolEvent::AddressesChanged((0..6).map(address).collect()), &mut out);
        let id =
            pool.open(at(0), SessionRequest::new("meter", format!("meter-{number}"), 3200 * MS), &mut out);
        let port = |out: &[PoolCommand]| match out.last() {
            Some(PoolCommand::Connect { gateway: at, .. }) => at.port() - 4000,
            other => panic!("{other:?}"),
        };
        let begun = port(&out);
        *first.entry(begun).or_default() += 1;
        pool.handle(at(1), PoolEvent::ConnectFailed(id, Attempt(1)), &mut out);
        while !matches!(out.last(), Some(PoolCommand::Connect { attempt: Attempt(2), .. })) {
            let wake = pool.next_wake().expect("it tries again");
            pool.handle(wake, PoolEvent::TimerFired, &mut out);
        }
        *then.entry((begun, port(&out))).or_default() += 1;
    }
    (first, then)
}

#[test]
fn a_crowd_spreads_over_the_near_zone_and_leaves_a_dead_address_evenly() {
    let (first, then) = swing(9000, Some("z0"));
    assert_eq!(first.keys().copied().collect::<Vec<_>>(), [0, 2, 4], "the near zone alone");
    assert!(first.values().all(|count| (2700..3300).contains(count)), "{first:?}");
    assert_eq!(then.len(), 6, "from each to the two others near, and nowhere else: {then:?}");
    assert!(then.values().all(|count| (1250..1750).contains(count)), "{then:?}");
    let (first, _) = swing(9000, None);
    assert!(first.len() == 6 && first.values().all(|count| (1250..1750).contains(count)), "{first:?}");
}
