//! Mock clients of a fault run, and the selection of a gateway of their zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout};

use crate::history::{Answer, CloseReason, Entry, Event};
use crate::plan::{FaultPlan, Load};

/// The interval at which the load generator starts the clients that are due.
const LOAD_TICK: Duration = Duration::from_millis(10);
/// The interval between measurements of the delay of the harness.
const HARNESS_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The response time above which the harness counts as delayed.
const HARNESS_DELAY_THRESHOLD: Duration = Duration::from_millis(60);
/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after the deadline of a request in which its answer must be received.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The time after a rejection for which a client waits for a duplicate answer.
const DUPLICATE_ANSWER_WAIT: Duration = Duration::from_millis(50);
/// The interval between two lines on an established connection.
const ECHO_INTERVAL: Duration = Duration::from_secs(1);
/// The time limit for the echo of a line.
const ECHO_TIMEOUT: Duration = Duration::from_secs(7);
/// The wait before a retry if no gateway is available or a request got neither `UP` nor a wait.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);
/// The upper bound of the wait that a gateway can request with `BUSY`, before random variation.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The largest number of tries of a client, including those without an available gateway.
const MAX_ATTEMPTS: usize = 40;
/// The largest number of concurrent clients.
const MAX_CLIENTS: usize = 12_000;

/// The phase of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Clients connect and disconnect.
    Running,
    /// Connected clients stay connected; clients without a connection give up.
    Stopped,
    /// All clients disconnect.
    Ended,
}

/// A daemon process as a target of the clients of its zone.
pub(crate) struct GatewayTarget {
    pub process: usize,
    pub gateway: usize,
    pub zone: usize,
    pub client_address: SocketAddr,
    /// Whether the last `PING` was answered with `PONG`: the process is running and not known to be draining.
    pub is_available: bool,
}

/// The state that all mock clients share.
pub(crate) struct ClientLoad {
    start: Instant,
    entries: Mutex<Vec<Entry>>,
    pub targets: Mutex<Vec<GatewayTarget>>,
    pub loads: Mutex<Vec<Load>>,
    open_connections: Mutex<BTreeMap<usize, u64>>,
    phase: watch::Sender<Phase>,
    next_request: AtomicU64,
    /// The sum of the delays of the harness, in microseconds.
    harness_delay_us: AtomicU64,
}

pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientLoad {
    pub fn new(start: Instant, loads: Vec<Load>) -> Self {
        Self {
            start,
            entries: Mutex::default(),
            targets: Mutex::default(),
            loads: Mutex::new(loads),
            open_connections: Mutex::default(),
            phase: watch::Sender::new(Phase::Running),
            next_request: AtomicU64::new(1),
            harness_delay_us: AtomicU64::new(0),
        }
    }

    /// Returns the time from the start of the run to this moment, in microseconds.
    pub fn elapsed_us(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.start).as_micros() as u64
    }

    pub fn record(&self, event: Event) {
        let at_us = self.elapsed_us(Instant::now());
        locked(&self.entries).push(Entry { at_us, event });
    }

    pub fn record_at(&self, at_us: u64, event: Event) {
        locked(&self.entries).push(Entry { at_us, event });
    }

    /// Removes and returns the recorded entries.
    pub fn take_entries(&self) -> Vec<Entry> {
        std::mem::take(&mut locked(&self.entries))
    }

    /// Returns the number of established connections, by process.
    pub fn open_connections(&self) -> BTreeMap<usize, u64> {
        locked(&self.open_connections).clone()
    }

    /// Returns the sum of the delays of the harness so far.
    pub fn harness_delay(&self) -> Duration {
        Duration::from_micros(self.harness_delay_us.load(Ordering::Relaxed))
    }

    /// Measures repeatedly how long a mock server of the harness takes to answer a mock client, with no
    /// daemon involved.
    pub async fn measure_harness_delay(self: Arc<Self>, server: SocketAddr) {
        loop {
            let start = Instant::now();
            if let Ok(mut client) = LineClient::connect(server).await {
                let _ = client.receives_echo("PING").await;
            }
            let took = start.elapsed();
            if took > HARNESS_DELAY_THRESHOLD {
                self.harness_delay_us.fetch_add(took.as_micros() as u64, Ordering::Relaxed);
            }
            sleep(HARNESS_PROBE_INTERVAL).await;
        }
    }

    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    fn select_target(&self, zone: usize, rng: &mut Xoshiro256PlusPlus) -> Option<(usize, usize, SocketAddr)> {
        let targets = locked(&self.targets);
        let available: Vec<&GatewayTarget> =
            targets.iter().filter(|target| target.is_available && target.zone == zone).collect();
        available.choose(rng).map(|target| (target.process, target.gateway, target.client_address))
    }
}

/// Starts clients at the configured rates until the load is stopped, then waits for the clients to end.
pub(crate) async fn offer_load(load: Arc<ClientLoad>, plan: Arc<FaultPlan>) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(plan.seed);
    let mut credits: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let (mut clients, mut phase) = (JoinSet::new(), load.phase.subscribe());
    let mut tick = interval(LOAD_TICK);
    let mut last_tick = Instant::now();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            _ = phase.changed() => break,
        }
        let elapsed_s = last_tick.elapsed().as_secs_f64();
        last_tick = Instant::now();
        let loads = locked(&load.loads).clone();
        for Load { tenant, zone, per_s } in loads {
            // A random initial credit, so that the first clients of the tenants and zones start at different
            // times.
            let credit = credits.entry((tenant, zone)).or_insert_with(|| rng.random());
            *credit += per_s * elapsed_s;
            while *credit >= 1.0 {
                *credit -= 1.0;
                let seed = rng.random();
                if clients.len() < MAX_CLIENTS {
                    clients.spawn(client(load.clone(), plan.clone(), tenant, zone, seed));
                }
            }
        }
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}

/// Returns the prefix of the ids of all requests to a gateway. Mock servers identify the gateway by it.
pub(crate) fn request_id_prefix(gateway: usize) -> String {
    format!("{gateway:04x}")
}

/// Next action of a client after a request.
enum RequestOutcome {
    /// The client ends its session.
    Done,
    /// The client reconnects, because its connection was moved or broken.
    Reconnect,
    /// The client retries after this wait.
    Retry(Duration),
}

async fn client(load: Arc<ClientLoad>, plan: Arc<FaultPlan>, tenant: usize, zone: usize, seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let session_duration = Duration::from_millis(plan.mean_session_ms).mul_f64(rng.random_range(0.5..1.5));
    let until = Instant::now() + session_duration;
    let mut attributes = "";
    for _ in 0..MAX_ATTEMPTS {
        if *load.phase.borrow() != Phase::Running || Instant::now() >= until {
            return;
        }
        let Some((process, gateway, address)) = load.select_target(zone, &mut rng) else {
            sleep(RETRY_BACKOFF).await;
            continue;
        };
        let number = load.next_request.fetch_add(1, Ordering::Relaxed);
        let request = format!("{}{number:012x}", request_id_prefix(gateway));
        let name = &plan.tenants[tenant].name;
        let line = format!(
            "OPEN {request} {seed:016x} c=meter,t={name},d={},g={seed:x}{attributes}",
            plan.deadline_ms
        );
        let is_reconnect = attributes.contains("again");
        load.record(Event::Request { request: request.clone(), process, zone, tenant, is_reconnect });
        let deadline = Duration::from_millis(plan.deadline_ms);
        match send_request(&load, &request, process, address, &line, deadline, until).await {
            RequestOutcome::Done => return,
            RequestOutcome::Reconnect => attributes = ",again=1",
            RequestOutcome::Retry(wait) => {
                attributes = if is_reconnect { ",r=1,again=1" } else { ",r=1" };
                sleep(wait.min(MAX_RETRY_AFTER).mul_f64(rng.random_range(1.0..1.25))).await;
            }
        }
    }
}

async fn send_request(
    load: &ClientLoad,
    request: &str,
    process: usize,
    address: SocketAddr,
    line: &str,
    deadline: Duration,
    until: Instant,
) -> RequestOutcome {
    let record_answer = |answer| load.record(Event::Answered { request: request.to_owned(), answer });
    let connected = timeout(CONNECT_TIMEOUT, LineClient::connect(address)).await;
    let Ok(Ok(mut client)) = connected else {
        record_answer(Answer::NotSent);
        return RequestOutcome::Retry(RETRY_BACKOFF);
    };
    if client.send_line(line).await.is_err() {
        record_answer(Answer::NotSent);
        return RequestOutcome::Retry(RETRY_BACKOFF);
    }
    let line = match timeout(deadline + ANSWER_GRACE, client.next()).await {
        Err(_) | Ok(Err(_)) => {
            record_answer(Answer::TimedOut);
            return RequestOutcome::Retry(RETRY_BACKOFF);
        }
        Ok(Ok(None)) => {
            record_answer(Answer::Ended);
            return RequestOutcome::Retry(RETRY_BACKOFF);
        }
        Ok(Ok(Some(line))) => line,
    };
    let answer = parse_answer(&line);
    record_answer(answer.clone());
    if let Answer::Up { .. } = answer {
        *locked(&load.open_connections).entry(process).or_default() += 1;
        let reason = hold_connection(load, request, &mut client, until).await;
        load.record(Event::Closed { request: request.to_owned(), reason });
        *locked(&load.open_connections).entry(process).or_default() -= 1;
        return if reason == CloseReason::ClientFinished {
            RequestOutcome::Done
        } else {
            RequestOutcome::Reconnect
        };
    }
    if let Ok(Ok(Some(second))) = timeout(DUPLICATE_ANSWER_WAIT, client.next()).await {
        record_answer(parse_answer(&second));
    }
    match answer {
        Answer::Busy { ms: Some(ms) } => RequestOutcome::Retry(Duration::from_millis(ms)),
        _ => RequestOutcome::Retry(RETRY_BACKOFF),
    }
}

fn parse_answer(line: &str) -> Answer {
    match line.split_once(' ').unwrap_or((line, "")) {
        ("UP", receipt) => Answer::Up { receipt: receipt.to_owned() },
        ("BUSY", ms) => Answer::Busy { ms: ms.parse().ok() },
        _ => Answer::Failed { line: line.to_owned() },
    }
}

/// Holds a connection open until `until`, sends a line at each interval and checks its echo.
async fn hold_connection(
    load: &ClientLoad,
    request: &str,
    client: &mut LineClient,
    until: Instant,
) -> CloseReason {
    let mut phase = load.phase.subscribe();
    let mut echo_timer = interval(ECHO_INTERVAL);
    echo_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last_sent, mut last_echoed, mut last_echo_at) = (0_u64, 0_u64, Instant::now());
    loop {
        let current_phase = *phase.borrow_and_update();
        if current_phase == Phase::Ended {
            return CloseReason::ClientFinished;
        }
        tokio::select! {
            line = client.next() => match line {
                // No line in time: the echo timer detects an overdue echo.
                Err(_) => {}
                Ok(None) => return CloseReason::Broken,
                Ok(Some(line)) if line == "MOVE" => return CloseReason::Moved,
                Ok(Some(line)) => match line.strip_prefix("m ").and_then(|number| number.parse().ok()) {
                    Some(number) => (last_echoed, last_echo_at) = (number, Instant::now()),
                    None => {
                        let answer = parse_answer(&line);
                        load.record(Event::Answered { request: request.to_owned(), answer });
                    }
                },
            },
            _ = echo_timer.tick() => {
                if last_sent > last_echoed && last_echo_at.elapsed() > ECHO_TIMEOUT {
                    return CloseReason::Silent;
                }
                if last_sent == last_echoed {
                    last_echo_at = Instant::now();
                }
                last_sent += 1;
                // A failed send is ignored: the next read reports the end of a broken connection.
                let _ = client.send_line(&format!("m {last_sent}")).await;
            }
            () = sleep_until(until), if current_phase == Phase::Running => return CloseReason::ClientFinished,
            _ = phase.changed() => {}
        }
    }
}
