//! Stand-in clients of a play, and the fronts that lead them to gateways of their zone.

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

/// How often the generator looks which requests are due.
const LOAD_TICK: Duration = Duration::from_millis(10);
/// How often the rig looks how prompt it is itself, and what counts as prompt.
const HARNESS_PROBE_INTERVAL: Duration = Duration::from_millis(50);
const HARNESS_DELAY_THRESHOLD: Duration = Duration::from_millis(60);
/// A connection that is not up by then is not made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A request gets its answer so long after its deadline at the latest.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// A second word would come within so long of a refusal.
const DUPLICATE_ANSWER_WAIT: Duration = Duration::from_millis(50);
/// Between two lines of a standing connection.
const ECHO_INTERVAL: Duration = Duration::from_secs(1);
/// A line that is not returned by then never is.
const ECHO_TIMEOUT: Duration = Duration::from_secs(7);
/// Without a gateway, or after one that was not there, a client waits so long.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);
/// The longest that a client waits because it was told to.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How often a client asks, at the most.
const MAX_ATTEMPTS: usize = 40;
/// Clients at one time, at the most.
const MAX_CLIENTS: usize = 12_000;

/// What the clients are to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Come and go.
    Running,
    /// Stay where they are; who has no connection gives up.
    Still,
    /// Leave.
    Over,
}

/// One process, as its zone's front sees it.
pub(crate) struct GatewayTarget {
    pub process: usize,
    pub gateway: usize,
    pub zone: usize,
    pub lines: SocketAddr,
    /// It has answered `PING` last, and is not known to be leaving.
    pub open: bool,
}

/// What clients share.
pub(crate) struct ClientLoad {
    start: Instant,
    entries: Mutex<Vec<Entry>>,
    pub targets: Mutex<Vec<GatewayTarget>>,
    pub loads: Mutex<Vec<Load>>,
    standing: Mutex<BTreeMap<usize, u64>>,
    phase: watch::Sender<Phase>,
    next: AtomicU64,
    /// How long the rig itself was late, in microseconds.
    late_us: AtomicU64,
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
            standing: Mutex::default(),
            phase: watch::Sender::new(Phase::Running),
            next: AtomicU64::new(1),
            late_us: AtomicU64::new(0),
        }
    }

    /// Microseconds of this moment since the beginning.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.start).as_micros() as u64
    }

    pub fn record(&self, event: Event) {
        let at_us = self.at(Instant::now());
        locked(&self.entries).push(Entry { at_us, event });
    }

    pub fn record_at(&self, at_us: u64, event: Event) {
        locked(&self.entries).push(Entry { at_us, event });
    }

    pub fn entries(&self) -> Vec<Entry> {
        std::mem::take(&mut locked(&self.entries))
    }

    /// Standing connections by process.
    pub fn standing(&self) -> BTreeMap<usize, u64> {
        locked(&self.standing).clone()
    }

    /// How long the rig itself was late so far.
    pub fn late(&self) -> Duration {
        Duration::from_micros(self.late_us.load(Ordering::Relaxed))
    }

    /// Looks again and again how long the rig takes to answer itself: no daemon has a part in that.
    pub async fn measure_harness_delay(self: Arc<Self>, server: SocketAddr) {
        loop {
            let start = Instant::now();
            if let Ok(mut client) = LineClient::connect(server).await {
                let _ = client.receives_echo("PING").await;
            }
            let took = start.elapsed();
            if took > HARNESS_DELAY_THRESHOLD {
                self.late_us.fetch_add(took.as_micros() as u64, Ordering::Relaxed);
            }
            sleep(HARNESS_PROBE_INTERVAL).await;
        }
    }

    pub fn phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    fn select_target(&self, zone: usize, rng: &mut Xoshiro256PlusPlus) -> Option<(usize, usize, SocketAddr)> {
        let gates = locked(&self.targets);
        let open: Vec<&GatewayTarget> = gates.iter().filter(|gate| gate.open && gate.zone == zone).collect();
        open.choose(rng).map(|gate| (gate.process, gate.gateway, gate.lines))
    }
}

/// Offers the load until the play is over, and waits for its clients.
pub(crate) async fn offer_load(world: Arc<ClientLoad>, plan: Arc<FaultPlan>) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(plan.seed);
    let mut due: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let (mut clients, mut phase) = (JoinSet::new(), world.phase.subscribe());
    let mut tick = interval(LOAD_TICK);
    let mut last = Instant::now();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            _ = phase.changed() => break,
        }
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        let loads = locked(&world.loads).clone();
        for Load { tenant, zone, per_s } in loads {
            // The first of each comes at a moment of its own.
            let credit = due.entry((tenant, zone)).or_insert_with(|| rng.random());
            *credit += per_s * passed;
            while *credit >= 1.0 {
                *credit -= 1.0;
                let seed = rng.random();
                if clients.len() < MAX_CLIENTS {
                    clients.spawn(client(world.clone(), plan.clone(), tenant, zone, seed));
                }
            }
        }
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}

/// What the ids of all requests to a gateway begin with: servers tell gateways apart by it.
pub(crate) fn request_id_prefix(gateway: usize) -> String {
    format!("{gateway:04x}")
}

/// What a request came to.
enum RequestOutcome {
    /// The client has had enough.
    Done,
    /// It is to come again, as one whose connection was moved or broke.
    Again,
    /// It may try again after a while.
    Retry(Duration),
}

async fn client(world: Arc<ClientLoad>, plan: Arc<FaultPlan>, tenant: usize, zone: usize, seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let stay = Duration::from_millis(plan.stay_ms).mul_f64(rng.random_range(0.5..1.5));
    let until = Instant::now() + stay;
    let mut marks = "";
    for _ in 0..MAX_ATTEMPTS {
        if *world.phase.borrow() != Phase::Running || Instant::now() >= until {
            return;
        }
        let Some((process, gateway, lines)) = world.select_target(zone, &mut rng) else {
            sleep(RETRY_BACKOFF).await;
            continue;
        };
        let number = world.next.fetch_add(1, Ordering::Relaxed);
        let request = format!("{}{number:012x}", request_id_prefix(gateway));
        let name = &plan.tenants[tenant].name;
        let line =
            format!("OPEN {request} {seed:016x} c=meter,t={name},d={},g={seed:x}{marks}", plan.deadline_ms);
        let again = marks.contains("again");
        world.record(Event::Request { request: request.clone(), process, zone, tenant, again });
        let deadline = Duration::from_millis(plan.deadline_ms);
        match send_request(&world, &request, process, lines, &line, deadline, until).await {
            RequestOutcome::Done => return,
            RequestOutcome::Again => marks = ",again=1",
            RequestOutcome::Retry(wait) => {
                marks = if again { ",r=1,again=1" } else { ",r=1" };
                sleep(wait.min(MAX_RETRY_AFTER).mul_f64(rng.random_range(1.0..1.25))).await;
            }
        }
    }
}

async fn send_request(
    world: &ClientLoad,
    request: &str,
    process: usize,
    lines: SocketAddr,
    line: &str,
    deadline: Duration,
    until: Instant,
) -> RequestOutcome {
    let answered = |answer| world.record(Event::Answered { request: request.to_owned(), answer });
    let connected = timeout(CONNECT_TIMEOUT, LineClient::connect(lines)).await;
    let Ok(Ok(mut client)) = connected else {
        answered(Answer::NotSent);
        return RequestOutcome::Retry(RETRY_BACKOFF);
    };
    if client.send_line(line).await.is_err() {
        answered(Answer::NotSent);
        return RequestOutcome::Retry(RETRY_BACKOFF);
    }
    let word = match timeout(deadline + ANSWER_GRACE, client.next()).await {
        Err(_) | Ok(Err(_)) => {
            answered(Answer::TimedOut);
            return RequestOutcome::Retry(RETRY_BACKOFF);
        }
        Ok(Ok(None)) => {
            answered(Answer::Ended);
            return RequestOutcome::Retry(RETRY_BACKOFF);
        }
        Ok(Ok(Some(word))) => word,
    };
    let answer = parse_answer(&word);
    answered(answer.clone());
    if let Answer::Up { .. } = answer {
        *locked(&world.standing).entry(process).or_default() += 1;
        let how = hold_connection(world, request, &mut client, until).await;
        world.record(Event::Closed { request: request.to_owned(), how });
        *locked(&world.standing).entry(process).or_default() -= 1;
        return if how == CloseReason::ClientFinished { RequestOutcome::Done } else { RequestOutcome::Again };
    }
    if let Ok(Ok(Some(second))) = timeout(DUPLICATE_ANSWER_WAIT, client.next()).await {
        answered(self::parse_answer(&second));
    }
    match answer {
        Answer::Busy { ms: Some(ms) } => RequestOutcome::Retry(Duration::from_millis(ms)),
        _ => RequestOutcome::Retry(RETRY_BACKOFF),
    }
}

fn parse_answer(word: &str) -> Answer {
    match word.split_once(' ').unwrap_or((word, "")) {
        ("UP", receipt) => Answer::Up { receipt: receipt.to_owned() },
        ("BUSY", ms) => Answer::Busy { ms: ms.parse().ok() },
        _ => Answer::Failed { line: word.to_owned() },
    }
}

/// Stays until the time has come, saying a line now and then.
async fn hold_connection(
    world: &ClientLoad,
    request: &str,
    client: &mut LineClient,
    until: Instant,
) -> CloseReason {
    let mut phase = world.phase.subscribe();
    let mut beat = interval(ECHO_INTERVAL);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut said, mut returned, mut heard) = (0_u64, 0_u64, Instant::now());
    loop {
        let now = *phase.borrow_and_update();
        if now == Phase::Over {
            return CloseReason::ClientFinished;
        }
        tokio::select! {
            word = client.next() => match word {
                // Nothing for a while: the beat tells whether something was due.
                Err(_) => {}
                Ok(None) => return CloseReason::Broken,
                Ok(Some(word)) if word == "MOVE" => return CloseReason::Moved,
                Ok(Some(word)) => match word.strip_prefix("m ").and_then(|number| number.parse().ok()) {
                    Some(number) => (returned, heard) = (number, Instant::now()),
                    None => {
                        let answer = parse_answer(&word);
                        world.record(Event::Answered { request: request.to_owned(), answer });
                    }
                },
            },
            _ = beat.tick() => {
                if said > returned && heard.elapsed() > ECHO_TIMEOUT {
                    return CloseReason::Silent;
                }
                if said == returned {
                    heard = Instant::now();
                }
                said += 1;
                // A connection that has broken shows by its end.
                let _ = client.send_line(&format!("m {said}")).await;
            }
            () = sleep_until(until), if now == Phase::Running => return CloseReason::ClientFinished,
            _ = phase.changed() => {}
        }
    }
}
