//! Guards what the client library keeps in its file and what its sessions do: the file is written and read, and a
//! long run of the core acts, as in fixtures that were recorded once and never change.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_client::{
    Address, Attempt, AttemptFailure, CachedFailure, CachedRejection, ConnectionLoss, GiveUpReason, Instant,
    PoolCommand, PoolEvent, ServerCache, ServerCacheError, SessionId, SessionNotification, SessionPool,
    SessionRequest, Settings,
};
use ashtide_protocol::{GatewayEvent, OpenParametersError, PeerFault};
use bytes::Bytes;

/// Unix time of the recorded files, in milliseconds.
const SAVED_MS: u64 = 1_764_754_440_123;

/// Compares with a fixture. What was found instead is left beside the build's temporary files.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&kept, found).expect("the build's folder");
    let line = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let line = line.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\nall that was found: {}",
        line + 1,
        expected.lines().nth(line),
        found.lines().nth(line),
        kept.display()
    );
}

fn learnt() -> ServerCache {
    ServerCache {
        tokens: 1.75,
        rejections: vec![
            CachedRejection { site: "site".into(), class: "meter".into(), remaining_ms: 400 },
            CachedRejection {
                site: String::new(),
                class: "a \"quoted\" class, \u{e9}".into(),
                remaining_ms: u64::MAX,
            },
        ],
        failures: vec![
            CachedFailure {
                gateway: "10.0.0.1:8443".parse().expect("an address"),
                consecutive_failures: 3,
                remaining_ms: 1500,
            },
            CachedFailure {
                gateway: "[fd00::1]:8443".parse().expect("an address"),
                consecutive_failures: u32::MAX,
                remaining_ms: 0,
            },
        ],
    }
}

fn values(learnt: &ServerCache) -> String {
    let mut text = format!("tokens {:016x}", learnt.tokens.to_bits());
    for held in &learnt.rejections {
        let _ = write!(
            text,
            ", site '{}' refuses class '{}' for {} ms",
            held.site, held.class, held.remaining_ms
        );
    }
    for failing in &learnt.failures {
        let _ = write!(
            text,
            ", {} failed {} times, left for {} ms",
            failing.gateway, failing.consecutive_failures, failing.remaining_ms
        );
    }
    text
}

fn outcome(read: Result<Option<(ServerCache, Duration)>, ServerCacheError>) -> String {
    match read {
        Ok(None) => "nothing".to_owned(),
        Ok(Some((learnt, ago))) => format!("{} ms ago: {}", ago.as_millis(), values(&learnt)),
        Err(ServerCacheError::Io(error)) => format!("io error: {error}"),
        Err(error @ ServerCacheError::TooLong) => format!("too long: {error}"),
        // Its text names types of the implementation.
        Err(ServerCacheError::Syntax(_)) => "not of this form".to_owned(),
        Err(error @ ServerCacheError::UnsupportedVersion(_)) => format!("version: {error}"),
        Err(error @ ServerCacheError::InvalidValue(..)) => format!("value: {error}"),
    }
}

#[test]
fn the_file_is_written_as_recorded() {
    for (name, learnt) in [("learnt_full.json", learnt()), ("learnt_empty.json", ServerCache::default())] {
        let text = learnt.encode(SAVED_MS).expect("a text");
        assert_fixture(name, &String::from_utf8(text.clone()).expect("text"));
        let folder = std::env::temp_dir().join(format!("ashtide-learnt-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join(name);
        learnt.write(&path, SAVED_MS).expect("written");
        assert_eq!(std::fs::read(&path).expect("a file"), text);
        let names = std::fs::read_dir(&folder).expect("a folder").count();
        std::fs::remove_dir_all(&folder).expect("removed");
        assert_eq!(names, 1, "nothing but the file is left");
    }
}

#[test]
fn files_that_were_recorded_are_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility");
    for (name, expected) in [("learnt_full.json", learnt()), ("learnt_empty.json", ServerCache::default())] {
        let read =
            ServerCache::read(&folder.join(name), SAVED_MS + 5_000).expect("a file").expect("not too old");
        assert_eq!(read, (expected, Duration::from_secs(5)));
    }
}

#[test]
fn files_are_read_as_recorded() {
    let form = |learnt: &str| format!("{{\"version\":1,\"saved_ms\":{SAVED_MS},\"learnt\":{learnt}}}");
    let holds = |count: usize| {
        let hold = "{\"site\":\"s\",\"class\":\"c\",\"ms\":1}";
        format!("{{\"tokens\":1,\"holds\":[{}],\"failing\":[]}}", vec![hold; count].join(","))
    };
    let failing = |count: usize| {
        let failing = "{\"at\":\"10.0.0.1:80\",\"streak\":1,\"ms\":1}";
        format!("{{\"tokens\":1,\"holds\":[],\"failing\":[{}]}}", vec![failing; count].join(","))
    };
    let mut texts: Vec<(&str, String)> = vec![
        ("nothing at all", String::new()),
        ("no JSON", "x".into()),
        ("no object", "[]".into()),
        ("an empty object", "{}".into()),
        ("the least", form("{\"tokens\":0.5,\"holds\":[],\"failing\":[]}")),
        ("further names", form("{\"tokens\":2,\"holds\":[],\"failing\":[],\"more\":[1]}")),
        ("no tokens", form("{\"holds\":[],\"failing\":[]}")),
        ("no holds", form("{\"tokens\":1,\"failing\":[]}")),
        ("tokens of text", form("{\"tokens\":\"1\",\"holds\":[],\"failing\":[]}")),
        ("the most tokens", form("{\"tokens\":1000000,\"holds\":[],\"failing\":[]}")),
        ("more tokens", form("{\"tokens\":1000000.5,\"holds\":[],\"failing\":[]}")),
        ("less than no tokens", form("{\"tokens\":-0.5,\"holds\":[],\"failing\":[]}")),
        (
            "a negative wait",
            form("{\"tokens\":1,\"holds\":[{\"site\":\"\",\"class\":\"\",\"ms\":-1}],\"failing\":[]}"),
        ),
        (
            "no address",
            form("{\"tokens\":1,\"holds\":[],\"failing\":[{\"at\":\"x\",\"streak\":1,\"ms\":1}]}"),
        ),
        ("the most refusals", form(&holds(1024))),
        ("more refusals", form(&holds(1025))),
        ("the most failing", form(&failing(256))),
        ("more failing", form(&failing(257))),
        ("text behind it", form("{\"tokens\":1,\"holds\":[],\"failing\":[]}") + "x"),
    ];
    texts.push(("another version", texts[4].1.replace("\"version\":1", "\"version\":2")));
    let mut found = String::new();
    for (what, text) in texts {
        for unix_ms in [SAVED_MS - 1, SAVED_MS, SAVED_MS + 600_000, SAVED_MS + 600_001] {
            let outcome = outcome(ServerCache::decode(text.as_bytes(), unix_ms));
            let outcome = if outcome.len() > 1000 { format!("{} bytes", outcome.len()) } else { outcome };
            let _ = writeln!(found, "{what} at {unix_ms}: {outcome}");
        }
    }
    let path = std::env::temp_dir().join(format!("ashtide-learnt-long-{}", std::process::id()));
    let none = outcome(ServerCache::read(&path, SAVED_MS));
    let _ = writeln!(found, "no file: {none}");
    for length in [256 << 10, (256 << 10) + 1] {
        std::fs::write(&path, vec![b' '; length]).expect("written");
        let _ = writeln!(found, "{length} spaces: {}", outcome(ServerCache::read(&path, SAVED_MS)));
    }
    std::fs::remove_file(&path).expect("removed");
    assert_fixture("learnt_reads.txt", &found);
}

/// A small generator of its own, so that no release of another crate changes the run.
struct Choices(u64);

impl Choices {
    fn next(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

fn fault(fault: PeerFault) -> &'static str {
    match fault {
        PeerFault::Unasked => "unasked",
        PeerFault::TooLong => "too long",
        PeerFault::UpTwice => "up twice",
        PeerFault::AfterEnd => "after end",
        PeerFault::Torn => "torn",
        PeerFault::Stalled => "stalled",
    }
}

fn setback(setback: AttemptFailure) -> String {
    let kind = match setback {
        AttemptFailure::NotAttempted => "untried".to_owned(),
        AttemptFailure::ConnectFailed => "unreached".to_owned(),
        AttemptFailure::Rejected(None) => "refused".to_owned(),
        AttemptFailure::Rejected(Some(wait)) => format!("refused for {} us", wait.as_micros()),
        AttemptFailure::Failed => "failed".to_owned(),
        AttemptFailure::TimedOut => "silent".to_owned(),
        AttemptFailure::ConnectionLost => "broke".to_owned(),
        AttemptFailure::ProtocolViolation(which) => format!("fault {}", fault(which)),
        AttemptFailure::Offline => "offline".to_owned(),
    };
    format!("{kind} ('{setback}', never ran: {})", setback.never_executed())
}

fn loss(loss: ConnectionLoss) -> String {
    match loss {
        ConnectionLoss::Migrated => "moved".to_owned(),
        ConnectionLoss::Broken(None) => "broke".to_owned(),
        ConnectionLoss::Broken(Some(which)) => format!("broke, {}", fault(which)),
        ConnectionLoss::Offline => "offline".to_owned(),
    }
}

fn notice(notice: &SessionNotification) -> String {
    match notice {
        SessionNotification::Connected { gateway: at, receipt, attempts: tries, reconnected: again } => {
            format!("up by {at}, receipt '{}', {tries} tries, again {again}", receipt.escape_ascii())
        }
        SessionNotification::Disconnected(why) => format!("dropped, {}", loss(*why)),
        SessionNotification::Reconnecting { delay: after } => {
            format!("returning after {} us", after.as_micros())
        }
        SessionNotification::Retrying { last, delay: after } => {
            format!("retrying after {} us, {}", after.as_micros(), setback(*last))
        }
    }
}

fn gave_up(why: &GiveUpReason) -> String {
    let kind = match why {
        GiveUpReason::Closed => "closed".to_owned(),
        GiveUpReason::Completed => "served".to_owned(),
        GiveUpReason::DeadlineExceeded { last } => format!("deadline, {}", setback(*last)),
        GiveUpReason::Rejected { retry_after: come_back } => {
            format!("refused for {} us", come_back.as_micros())
        }
        GiveUpReason::NoAvailableAddress { retry_after: next } => {
            format!("no address for {} us", next.as_micros())
        }
        GiveUpReason::AttemptsExhausted { attempts: tries, last } => {
            format!("{tries} tries, {}", setback(*last))
        }
        GiveUpReason::RetryBudgetExhausted { last } => format!("budget, {}", setback(*last)),
        GiveUpReason::NotIdempotent { last } => format!("not repeatable, {}", setback(*last)),
        GiveUpReason::Unstable { consecutive_losses: breaks } => format!("unstable, {breaks} breaks"),
        GiveUpReason::ConnectionEnded => "ended".to_owned(),
        GiveUpReason::Expired => "expired".to_owned(),
        GiveUpReason::TooManySessions { limit: most } => format!("more than {most}"),
        GiveUpReason::InvalidRequest(OpenParametersError::Empty(field)) => format!("empty {field}"),
        GiveUpReason::InvalidRequest(_) => "another wish".to_owned(),
    };
    format!("{kind} ('{why}')")
}

/// The core before a world that answers by chance, and all that it does there.
struct Run {
    pool: SessionPool,
    choices: Choices,
    now: Instant,
    /// What follows later, in order of time.
    later: BTreeMap<(Instant, u64), PoolEvent>,
    number: u64,
    found: String,
}

impl Run {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut run = Self {
            pool: SessionPool::new(settings, seed).expect("settings"),
            choices: Choices(0x5eed + seed),
            now: Instant::from_micros(1_000_000),
            later: BTreeMap::new(),
            number: 0,
            found: String::new(),
        };
        run.event(PoolEvent::AddressesChanged((0..4).map(address).collect()));
        run
    }

    fn after(&mut self, micros: u64, event: PoolEvent) {
        self.number += 1;
        self.later.insert((self.now + Duration::from_micros(micros), self.number), event);
    }

    fn open(&mut self, wish: SessionRequest) {
        let mut out = Vec::new();
        let id = self.pool.open(self.now, wish, &mut out);
        let _ = writeln!(self.found, "{} opens {}", self.now.as_micros(), id.0);
        self.act(out);
    }

    fn event(&mut self, event: PoolEvent) {
        let mut out = Vec::new();
        self.pool.handle(self.now, event, &mut out);
        self.act(out);
    }

    fn act(&mut self, out: Vec<PoolCommand>) {
        for effect in out {
            let _ = write!(self.found, "{} ", self.now.as_micros());
            match effect {
                PoolCommand::Connect { session, attempt, gateway: at } => {
                    let _ = writeln!(self.found, "{} dials {at}, attempt {}", session.0, attempt.0);
                    let delay = 500 + self.choices.next(20_000);
                    match self.choices.next(10) {
                        0 => self.after(delay, PoolEvent::ConnectFailed(session, attempt)),
                        1 => {}
                        _ => self.after(delay, PoolEvent::Connected(session, attempt)),
                    }
                }
                PoolCommand::SendRequest { session, attempt, line } => {
                    let _ = writeln!(self.found, "{} writes '{}'", session.0, line.escape_ascii());
                    self.answer(session, attempt);
                }
                PoolCommand::Close { session, attempt } => {
                    let _ = writeln!(self.found, "{} closes attempt {}", session.0, attempt.0);
                    self.after(300, PoolEvent::SocketClosed(session, attempt));
                }
                PoolCommand::Notify(session, told) => {
                    let _ = writeln!(self.found, "{} hears: {}", session.0, notice(&told));
                }
                PoolCommand::EndSession(session, why) => {
                    let _ = writeln!(self.found, "{} is over: {}", session.0, gave_up(&why));
                }
            }
        }
    }

    fn answer(&mut self, session: SessionId, attempt: Attempt) {
        let delay = 1_000 + self.choices.next(300_000);
        let heard = match self.choices.next(20) {
            0 => Ok(GatewayEvent::Busy(None)),
            1 | 2 => Ok(GatewayEvent::Busy(Some(Duration::from_millis(self.choices.next(900))))),
            3 | 4 => Ok(GatewayEvent::Failed(Bytes::from_static(b"ERR\r\n"))),
            5 => Err(PeerFault::TooLong),
            6 => return self.after(delay, PoolEvent::ConnectionEnded(session, attempt, None)),
            7 => {
                return self
                    .after(delay, PoolEvent::ConnectionEnded(session, attempt, Some(PeerFault::Torn)));
            }
            8 => return,
            _ => {
                self.stand(session, attempt, delay);
                Ok(GatewayEvent::Up(Bytes::from_static(b"receipt")))
            }
        };
        self.after(delay, PoolEvent::Received(session, attempt, heard));
    }

    /// It stands after this time, and ends at some time after that.
    fn stand(&mut self, session: SessionId, attempt: Attempt, delay: u64) {
        let ends = delay + 100_000 + self.choices.next(20_000_000);
        let event = match self.choices.next(6) {
            0 => PoolEvent::Received(session, attempt, Ok(GatewayEvent::Move)),
            1 => PoolEvent::Received(session, attempt, Ok(GatewayEvent::Bye)),
            2 => PoolEvent::Received(session, attempt, Err(PeerFault::UpTwice)),
            3 => PoolEvent::ConnectionEnded(session, attempt, Some(PeerFault::Stalled)),
            4 => PoolEvent::CloseSession(session),
            _ => PoolEvent::ConnectionEnded(session, attempt, None),
        };
        self.after(ends, event);
    }

    /// Lets time pass; the pool is woken when it asks.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let wake = self.pool.next_wake().filter(|&wake| wake <= until);
            let next = self.later.keys().next().copied().filter(|&(when, _)| when <= until);
            match (wake, next) {
                (Some(wake), next) if next.is_none_or(|(when, _)| wake <= when) => {
                    self.now = wake.max(self.now);
                    self.event(PoolEvent::TimerFired);
                }
                (_, Some(key)) => {
                    self.now = key.0.max(self.now);
                    if let Some(event) = self.later.remove(&key) {
                        self.event(event);
                    }
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn sum_up(&mut self) {
        let all = self.pool.metrics().clone();
        let _ = writeln!(
            self.found,
            "{}: opened {} first {} returns {} retries {} up {} refused {} failed {} unreached {} silent {} \
             cut {} faults {} moved {} broken {} no budget {} late {} passed over {} ended {}; \
             {} open, budget {:016x}, {} addresses; {}",
            self.now.as_micros(),
            all.opened,
            all.first_attempts,
            all.reconnects,
            all.retries,
            all.established,
            all.rejected,
            all.failed,
            all.connect_failures,
            all.timeouts,
            all.lost_before_answer,
            all.protocol_violations,
            all.moved,
            all.broken,
            all.retry_budget_exhausted,
            all.late_events,
            all.skipped_addresses,
            all.ended,
            self.pool.len(),
            self.pool.retry_budget().to_bits(),
            self.pool.address_count(),
            values(&self.pool.server_cache(self.now))
        );
    }
}

fn address(number: u16) -> Address {
    Address {
        socket_addr: SocketAddr::from(([127, 0, 0, 1], 4000 + number)),
        zone: format!("z{}", number % 2),
        site: format!("site-{}", number / 3),
    }
}

fn wish(key: u64) -> SessionRequest {
    SessionRequest {
        idempotent: key % 5 != 4,
        reconnects: key % 7 != 6,
        attempt_timeout: (key % 3 == 0).then_some(Duration::from_millis(200)),
        max_lifetime: (key % 11 == 10).then_some(Duration::from_secs(9)),
        ..SessionRequest::new(
            if key % 4 == 0 { "meter" } else { "alarm" },
            format!("k{key}"),
            Duration::from_millis(3200),
        )
    }
}

#[test]
fn sessions_act_as_recorded() {
    let mut found = String::new();
    for seed in [1, 2] {
        let settings = Settings { zone: Some("z0".into()), sessions: 40, ..Settings::default() };
        let mut run = Run::new(settings, seed);
        run.pool.restore_cache(run.now, &learnt(), Duration::from_millis(100));
        run.open(SessionRequest::new("", "k", Duration::from_secs(1)));
        for key in 0..45 {
            run.open(wish(key));
            run.pass(Duration::from_millis(30));
        }
        run.sum_up();
        run.pass(Duration::from_secs(5));
        run.event(PoolEvent::NetworkLost);
        run.open(wish(50));
        run.pass(Duration::from_secs(2));
        run.event(PoolEvent::NetworkRestored);
        run.pass(Duration::from_secs(5));
        run.sum_up();
        run.event(PoolEvent::AddressesChanged(Vec::new()));
        run.open(wish(51));
        run.pass(Duration::from_secs(1));
        run.event(PoolEvent::AddressesChanged([1, 1, 2, 5].map(address).into()));
        run.pass(Duration::from_secs(60));
        run.sum_up();
        found += &run.found;
    }
    assert_fixture("sessions.txt", &found);
}
