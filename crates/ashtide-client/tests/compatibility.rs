//! Compatibility tests against recorded fixtures, which never change: the format of the cache file, its
//! parsing, and the commands of the session pool in a long simulation.

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

/// Unix time at which the recorded cache files were saved, in milliseconds.
const SAVED_MS: u64 = 1_764_754_440_123;

/// Compares `found` with a fixture. On a mismatch, `found` is written to the build's temporary folder.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let found_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&found_path, found).expect("writing to the build's temporary folder failed");
    let line = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let line = line.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\ncomplete output: {}",
        line + 1,
        expected.lines().nth(line),
        found.lines().nth(line),
        found_path.display()
    );
}

fn recorded_cache() -> ServerCache {
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
                gateway: "10.0.0.1:8443".parse().expect("valid socket address"),
                consecutive_failures: 3,
                remaining_ms: 1500,
            },
            CachedFailure {
                gateway: "[fd00::1]:8443".parse().expect("valid socket address"),
                consecutive_failures: u32::MAX,
                remaining_ms: 0,
            },
        ],
    }
}

fn describe_cache(cache: &ServerCache) -> String {
    let mut text = format!("tokens {:016x}", cache.tokens.to_bits());
    for rejection in &cache.rejections {
        let _ = write!(
            text,
            ", site '{}' refuses class '{}' for {} ms",
            rejection.site, rejection.class, rejection.remaining_ms
        );
    }
    for failure in &cache.failures {
        let _ = write!(
            text,
            ", {} failed {} times, left for {} ms",
            failure.gateway, failure.consecutive_failures, failure.remaining_ms
        );
    }
    text
}

fn describe_read_result(result: Result<Option<(ServerCache, Duration)>, ServerCacheError>) -> String {
    match result {
        Ok(None) => "nothing".to_owned(),
        Ok(Some((cache, age))) => format!("{} ms ago: {}", age.as_millis(), describe_cache(&cache)),
        Err(ServerCacheError::Io(error)) => format!("io error: {error}"),
        Err(error @ ServerCacheError::TooLong) => format!("too long: {error}"),
        // The error text contains names of internal types, so it is not recorded.
        Err(ServerCacheError::Syntax(_)) => "not of this form".to_owned(),
        Err(error @ ServerCacheError::UnsupportedVersion(_)) => format!("version: {error}"),
        Err(error @ ServerCacheError::InvalidValue(..)) => format!("value: {error}"),
    }
}

#[test]
fn cache_file_is_written_as_recorded() {
    for (name, cache) in
        [("learnt_full.json", recorded_cache()), ("learnt_empty.json", ServerCache::default())]
    {
        let text = cache.encode(SAVED_MS).expect("encoding failed");
        assert_fixture(name, &String::from_utf8(text.clone()).expect("cache file is not UTF-8"));
        let folder = std::env::temp_dir().join(format!("ashtide-learnt-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("creating the folder failed");
        let path = folder.join(name);
        cache.write(&path, SAVED_MS).expect("writing the cache file failed");
        assert_eq!(std::fs::read(&path).expect("reading the cache file failed"), text);
        let file_count = std::fs::read_dir(&folder).expect("reading the folder failed").count();
        std::fs::remove_dir_all(&folder).expect("removing the folder failed");
        assert_eq!(file_count, 1, "the folder must contain only the cache file");
    }
}

#[test]
fn recorded_cache_files_are_read_with_their_age() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility");
    for (name, expected) in
        [("learnt_full.json", recorded_cache()), ("learnt_empty.json", ServerCache::default())]
    {
        let read = ServerCache::read(&folder.join(name), SAVED_MS + 5_000)
            .expect("reading the cache file failed")
            .expect("cache file counts as too old");
        assert_eq!(read, (expected, Duration::from_secs(5)));
    }
}

#[test]
fn valid_and_invalid_cache_files_are_read_as_recorded() {
    let form = |cache: &str| format!("{{\"version\":1,\"saved_ms\":{SAVED_MS},\"learnt\":{cache}}}");
    let with_rejections = |count: usize| {
        let rejection = "{\"site\":\"s\",\"class\":\"c\",\"ms\":1}";
        format!("{{\"tokens\":1,\"holds\":[{}],\"failing\":[]}}", vec![rejection; count].join(","))
    };
    let with_failures = |count: usize| {
        let failure = "{\"at\":\"10.0.0.1:80\",\"streak\":1,\"ms\":1}";
        format!("{{\"tokens\":1,\"holds\":[],\"failing\":[{}]}}", vec![failure; count].join(","))
    };
    // The descriptions are part of the recorded fixture.
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
        ("the most refusals", form(&with_rejections(1024))),
        ("more refusals", form(&with_rejections(1025))),
        ("the most failing", form(&with_failures(256))),
        ("more failing", form(&with_failures(257))),
        ("text behind it", form("{\"tokens\":1,\"holds\":[],\"failing\":[]}") + "x"),
    ];
    texts.push(("another version", texts[4].1.replace("\"version\":1", "\"version\":2")));
    let mut found = String::new();
    for (description, text) in texts {
        for unix_ms in [SAVED_MS - 1, SAVED_MS, SAVED_MS + 600_000, SAVED_MS + 600_001] {
            let result = describe_read_result(ServerCache::decode(text.as_bytes(), unix_ms));
            let result = if result.len() > 1000 { format!("{} bytes", result.len()) } else { result };
            let _ = writeln!(found, "{description} at {unix_ms}: {result}");
        }
    }
    let path = std::env::temp_dir().join(format!("ashtide-learnt-long-{}", std::process::id()));
    let missing_file = describe_read_result(ServerCache::read(&path, SAVED_MS));
    let _ = writeln!(found, "no file: {missing_file}");
    for length in [256 << 10, (256 << 10) + 1] {
        std::fs::write(&path, vec![b' '; length]).expect("writing the file failed");
        let result = describe_read_result(ServerCache::read(&path, SAVED_MS));
        let _ = writeln!(found, "{length} spaces: {result}");
    }
    std::fs::remove_file(&path).expect("removing the file failed");
    assert_fixture("learnt_reads.txt", &found);
}

/// Xorshift random number generator. It is part of the test so that a new release of another crate cannot
/// change the recorded simulation.
struct XorShift(u64);

impl XorShift {
    /// Returns a number below `limit`.
    fn next(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

fn describe_fault(fault: PeerFault) -> &'static str {
    match fault {
        PeerFault::Unasked => "unasked",
        PeerFault::TooLong => "too long",
        PeerFault::UpTwice => "up twice",
        PeerFault::AfterEnd => "after end",
        PeerFault::Torn => "torn",
        PeerFault::Stalled => "stalled",
    }
}

fn describe_failure(failure: AttemptFailure) -> String {
    let kind = match failure {
        AttemptFailure::NotAttempted => "untried".to_owned(),
        AttemptFailure::ConnectFailed => "unreached".to_owned(),
        AttemptFailure::Rejected(None) => "refused".to_owned(),
        AttemptFailure::Rejected(Some(wait)) => format!("refused for {} us", wait.as_micros()),
        AttemptFailure::Failed => "failed".to_owned(),
        AttemptFailure::TimedOut => "silent".to_owned(),
        AttemptFailure::ConnectionLost => "broke".to_owned(),
        AttemptFailure::ProtocolViolation(fault) => format!("fault {}", describe_fault(fault)),
        AttemptFailure::Offline => "offline".to_owned(),
    };
    format!("{kind} ('{failure}', never ran: {})", failure.never_executed())
}

fn describe_loss(loss: ConnectionLoss) -> String {
    match loss {
        ConnectionLoss::Migrated => "moved".to_owned(),
        ConnectionLoss::Broken(None) => "broke".to_owned(),
        ConnectionLoss::Broken(Some(fault)) => format!("broke, {}", describe_fault(fault)),
        ConnectionLoss::Offline => "offline".to_owned(),
    }
}

fn describe_notification(notification: &SessionNotification) -> String {
    match notification {
        SessionNotification::Connected { gateway, receipt, attempts, reconnected } => {
            let receipt = receipt.escape_ascii();
            format!("up by {gateway}, receipt '{receipt}', {attempts} tries, again {reconnected}")
        }
        SessionNotification::Disconnected(loss) => format!("dropped, {}", describe_loss(*loss)),
        SessionNotification::Reconnecting { delay } => format!("returning after {} us", delay.as_micros()),
        SessionNotification::Retrying { last, delay } => {
            format!("retrying after {} us, {}", delay.as_micros(), describe_failure(*last))
        }
    }
}

fn describe_give_up_reason(reason: &GiveUpReason) -> String {
    let kind = match reason {
        GiveUpReason::Closed => "closed".to_owned(),
        GiveUpReason::Completed => "served".to_owned(),
        GiveUpReason::DeadlineExceeded { last } => format!("deadline, {}", describe_failure(*last)),
        GiveUpReason::Rejected { retry_after } => format!("refused for {} us", retry_after.as_micros()),
        GiveUpReason::NoAvailableAddress { retry_after } => {
            format!("no address for {} us", retry_after.as_micros())
        }
        GiveUpReason::AttemptsExhausted { attempts, last } => {
            format!("{attempts} tries, {}", describe_failure(*last))
        }
        GiveUpReason::RetryBudgetExhausted { last } => format!("budget, {}", describe_failure(*last)),
        GiveUpReason::NotIdempotent { last } => format!("not repeatable, {}", describe_failure(*last)),
        GiveUpReason::Unstable { consecutive_losses } => format!("unstable, {consecutive_losses} breaks"),
        GiveUpReason::ConnectionEnded => "ended".to_owned(),
        GiveUpReason::Expired => "expired".to_owned(),
        GiveUpReason::TooManySessions { limit } => format!("more than {limit}"),
        GiveUpReason::InvalidRequest(OpenParametersError::Empty(field)) => format!("empty {field}"),
        GiveUpReason::InvalidRequest(_) => "another wish".to_owned(),
    };
    format!("{kind} ('{reason}')")
}

/// Simulated environment of a session pool. Gateways answer at random, and all commands of the pool are
/// logged.
struct Simulation {
    pool: SessionPool,
    rng: XorShift,
    now: Instant,
    /// Future events, ordered by time and then by their number.
    scheduled_events: BTreeMap<(Instant, u64), PoolEvent>,
    last_event_number: u64,
    log: String,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut simulation = Self {
            pool: SessionPool::new(settings, seed).expect("invalid settings"),
            rng: XorShift(0x5eed + seed),
            now: Instant::from_micros(1_000_000),
            scheduled_events: BTreeMap::new(),
            last_event_number: 0,
            log: String::new(),
        };
        simulation.handle_event(PoolEvent::AddressesChanged((0..4).map(address).collect()));
        simulation
    }

    fn schedule_event(&mut self, delay_micros: u64, event: PoolEvent) {
        self.last_event_number += 1;
        let due = self.now + Duration::from_micros(delay_micros);
        self.scheduled_events.insert((due, self.last_event_number), event);
    }

    fn open(&mut self, request: SessionRequest) {
        let mut commands = Vec::new();
        let id = self.pool.open(self.now, request, &mut commands);
        let _ = writeln!(self.log, "{} opens {}", self.now.as_micros(), id.0);
        self.execute_commands(commands);
    }

    fn handle_event(&mut self, event: PoolEvent) {
        let mut commands = Vec::new();
        self.pool.handle(self.now, event, &mut commands);
        self.execute_commands(commands);
    }

    fn execute_commands(&mut self, commands: Vec<PoolCommand>) {
        for command in commands {
            let _ = write!(self.log, "{} ", self.now.as_micros());
            match command {
                PoolCommand::Connect { session, attempt, gateway } => {
                    let _ = writeln!(self.log, "{} dials {gateway}, attempt {}", session.0, attempt.0);
                    let delay = 500 + self.rng.next(20_000);
                    match self.rng.next(10) {
                        0 => self.schedule_event(delay, PoolEvent::ConnectFailed(session, attempt)),
                        1 => {}
                        _ => self.schedule_event(delay, PoolEvent::Connected(session, attempt)),
                    }
                }
                PoolCommand::SendRequest { session, attempt, line } => {
                    let _ = writeln!(self.log, "{} writes '{}'", session.0, line.escape_ascii());
                    self.schedule_answer(session, attempt);
                }
                PoolCommand::Close { session, attempt } => {
                    let _ = writeln!(self.log, "{} closes attempt {}", session.0, attempt.0);
                    self.schedule_event(300, PoolEvent::SocketClosed(session, attempt));
                }
                PoolCommand::Notify(session, notification) => {
                    let description = describe_notification(&notification);
                    let _ = writeln!(self.log, "{} hears: {description}", session.0);
                }
                PoolCommand::EndSession(session, reason) => {
                    let _ = writeln!(self.log, "{} is over: {}", session.0, describe_give_up_reason(&reason));
                }
            }
        }
    }

    /// Schedules a random answer of the gateway, or none.
    fn schedule_answer(&mut self, session: SessionId, attempt: Attempt) {
        let delay = 1_000 + self.rng.next(300_000);
        let received = match self.rng.next(20) {
            0 => Ok(GatewayEvent::Busy(None)),
            1 | 2 => Ok(GatewayEvent::Busy(Some(Duration::from_millis(self.rng.next(900))))),
            3 | 4 => Ok(GatewayEvent::Failed(Bytes::from_static(b"ERR\r\n"))),
            5 => Err(PeerFault::TooLong),
            6 => return self.schedule_event(delay, PoolEvent::ConnectionEnded(session, attempt, None)),
            7 => {
                let event = PoolEvent::ConnectionEnded(session, attempt, Some(PeerFault::Torn));
                return self.schedule_event(delay, event);
            }
            8 => return,
            _ => {
                self.schedule_connection_end(session, attempt, delay);
                Ok(GatewayEvent::Up(Bytes::from_static(b"receipt")))
            }
        };
        self.schedule_event(delay, PoolEvent::Received(session, attempt, received));
    }

    /// Schedules the end of a connection that is established after `delay` microseconds.
    fn schedule_connection_end(&mut self, session: SessionId, attempt: Attempt, delay: u64) {
        let end_delay = delay + 100_000 + self.rng.next(20_000_000);
        let event = match self.rng.next(6) {
            0 => PoolEvent::Received(session, attempt, Ok(GatewayEvent::Move)),
            1 => PoolEvent::Received(session, attempt, Ok(GatewayEvent::Bye)),
            2 => PoolEvent::Received(session, attempt, Err(PeerFault::UpTwice)),
            3 => PoolEvent::ConnectionEnded(session, attempt, Some(PeerFault::Stalled)),
            4 => PoolEvent::CloseSession(session),
            _ => PoolEvent::ConnectionEnded(session, attempt, None),
        };
        self.schedule_event(end_delay, event);
    }

    /// Advances the virtual time. The pool's timers and the scheduled events run in order of time.
    fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        loop {
            let wake = self.pool.next_wake().filter(|&wake| wake <= until);
            let next = self.scheduled_events.keys().next().copied().filter(|&(due, _)| due <= until);
            match (wake, next) {
                (Some(wake), next) if next.is_none_or(|(due, _)| wake <= due) => {
                    self.now = wake.max(self.now);
                    self.handle_event(PoolEvent::TimerFired);
                }
                (_, Some(key)) => {
                    self.now = key.0.max(self.now);
                    if let Some(event) = self.scheduled_events.remove(&key) {
                        self.handle_event(event);
                    }
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn log_summary(&mut self) {
        let metrics = self.pool.metrics().clone();
        let _ = writeln!(
            self.log,
            "{}: opened {} first {} returns {} retries {} up {} refused {} failed {} unreached {} silent {} \
             cut {} faults {} moved {} broken {} no budget {} late {} passed over {} ended {}; \
             {} open, budget {:016x}, {} addresses; {}",
            self.now.as_micros(),
            metrics.opened,
            metrics.first_attempts,
            metrics.reconnects,
            metrics.retries,
            metrics.established,
            metrics.rejected,
            metrics.failed,
            metrics.connect_failures,
            metrics.timeouts,
            metrics.lost_before_answer,
            metrics.protocol_violations,
            metrics.moved,
            metrics.broken,
            metrics.retry_budget_exhausted,
            metrics.late_events,
            metrics.skipped_addresses,
            metrics.ended,
            self.pool.len(),
            self.pool.retry_budget().to_bits(),
            self.pool.address_count(),
            describe_cache(&self.pool.server_cache(self.now))
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

fn session_request(key: u64) -> SessionRequest {
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
fn session_pool_behaves_as_recorded() {
    let mut found = String::new();
    for seed in [1, 2] {
        let settings = Settings { zone: Some("z0".into()), sessions: 40, ..Settings::default() };
        let mut simulation = Simulation::new(settings, seed);
        let now = simulation.now;
        simulation.pool.restore_cache(now, &recorded_cache(), Duration::from_millis(100));
        simulation.open(SessionRequest::new("", "k", Duration::from_secs(1)));
        for key in 0..45 {
            simulation.open(session_request(key));
            simulation.advance(Duration::from_millis(30));
        }
        simulation.log_summary();
        simulation.advance(Duration::from_secs(5));
        simulation.handle_event(PoolEvent::NetworkLost);
        simulation.open(session_request(50));
        simulation.advance(Duration::from_secs(2));
        simulation.handle_event(PoolEvent::NetworkRestored);
        simulation.advance(Duration::from_secs(5));
        simulation.log_summary();
        simulation.handle_event(PoolEvent::AddressesChanged(Vec::new()));
        simulation.open(session_request(51));
        simulation.advance(Duration::from_secs(1));
        simulation.handle_event(PoolEvent::AddressesChanged([1, 1, 2, 5].map(address).into()));
        simulation.advance(Duration::from_secs(60));
        simulation.log_summary();
        found += &simulation.log;
    }
    assert_fixture("sessions.txt", &found);
}
