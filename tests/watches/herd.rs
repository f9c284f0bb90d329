//! Many gateways that lose their watches at once, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use ashtide::discovery::{MAX_LIST_STALENESS, WatchEnd};
use ashtide::engine::ListLease;
use ashtide::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::settings;

/// What a run of the herd measured.
struct HerdOutcome {
    /// Until all gateways were synchronised.
    seconds_to_sync: f64,
    requests: usize,
    /// Most retries within 100 ms.
    largest_burst: usize,
    /// Longest time that a gateway had no valid list.
    seconds_expired: f64,
}

const GATEWAYS: usize = 300;
const MILLISECOND: i64 = 1_000;
/// Discovery serves one request at a time, 60 a second.
const SERVICE_TIME: i64 = 16_667;
/// A request that has waited this long fails.
const REQUEST_TIMEOUT: i64 = 3_000 * MILLISECOND;
const NETWORK_DELAY: i64 = MILLISECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum HerdEvent {
    Timer { gateway: usize, token: TimerToken },
    RequestArrived { gateway: usize },
    Served { gateway: usize },
    RequestTimedOut { request: SentRequest },
    Answered { gateway: usize, succeeded: bool },
}

/// A watch request of a gateway and when it was sent or queued, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentRequest {
    gateway: usize,
    time: i64,
}

/// The order of scheduled events: by time, and by sequence number at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    due_at: i64,
    sequence: usize,
}

/// Gateways that lose their watches at the same time, and one discovery service.
struct Herd {
    gateways: Vec<Balancer>,
    leases: Vec<ListLease>,
    /// When each was synchronised last before its watch ended.
    last_synced_at: Vec<i64>,
    /// When each was synchronised again.
    synced_at: Vec<Option<i64>>,
    outstanding: Vec<bool>,
    now: i64,
    scheduled: BTreeMap<EventKey, HerdEvent>,
    queue: VecDeque<SentRequest>,
    busy: bool,
    down_until: i64,
    sent_requests: Vec<SentRequest>,
    watch_ended_at: Vec<i64>,
}

impl Herd {
    fn new(seed: u64, outage: i64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Settings { gateways: GATEWAYS as u32, ..settings() };
        let now = 1_000_000 * MILLISECOND;
        let last_synced_at = (0..GATEWAYS).map(|_| now - rng.random_range(0..2_000) * MILLISECOND).collect();
        let mut herd = Self {
            gateways: (0..GATEWAYS).map(|_| Balancer::new(settings.clone(), rng.random())).collect(),
            leases: vec![ListLease::new(Time::from_micros(now)); GATEWAYS],
            last_synced_at,
            synced_at: vec![None; GATEWAYS],
            outstanding: vec![false; GATEWAYS],
            now,
            scheduled: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: false,
            down_until: now + outage,
            sent_requests: Vec::new(),
            watch_ended_at: vec![now; GATEWAYS],
        };
        for gateway in 0..GATEWAYS {
            herd.leases[gateway].renew();
            let entries = vec![EndpointEntry::ready(ServerId(0), ZoneId(0))];
            // The first subscription isn't part of the test.
            let mut actions = Vec::new();
            let list = Event::EndpointList { update: ListUpdate::Snapshot, entries };
            herd.gateways[gateway].handle(Time::from_micros(now), list, &mut actions);
            herd.lose_watch(gateway, WatchEnd::Closed);
        }
        herd
    }

    fn schedule(&mut self, delay: i64, event: HerdEvent) {
        let sequence = self.scheduled.len() + self.sent_requests.len() * 1_000;
        let mut key = EventKey { due_at: self.now + delay, sequence };
        while self.scheduled.contains_key(&key) {
            key.sequence += 1;
        }
        self.scheduled.insert(key, event);
    }

    fn deliver(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { token, due_at } => {
                    let delay = due_at.as_micros() - self.now;
                    self.schedule(delay, HerdEvent::Timer { gateway, token });
                }
                Action::Subscribe => {
                    assert!(
                        !std::mem::replace(&mut self.outstanding[gateway], true),
                        "two requests outstanding"
                    );
                    let waited = self.now - self.watch_ended_at[gateway];
                    assert!(waited <= REQUEST_TIMEOUT, "a wait of {waited} us");
                    self.sent_requests.push(SentRequest { gateway, time: self.now });
                    self.schedule(NETWORK_DELAY, HerdEvent::RequestArrived { gateway });
                }
                other => panic!("nobody asked for {other:?}"),
            }
        }
    }

    fn lose_watch(&mut self, gateway: usize, end: WatchEnd) {
        let now = Time::from_micros(self.now);
        let last_synced_at = Time::from_micros(self.last_synced_at[gateway]);
        self.leases[gateway].handle_watch_end(now, last_synced_at, end);
        self.watch_ended_at[gateway] = self.now;
        self.deliver(gateway, Event::EndpointList { update: ListUpdate::WatchFailed, entries: Vec::new() });
    }

    fn serve_next(&mut self) {
        if self.busy {
            return;
        }
        if let Some(SentRequest { gateway, .. }) = self.queue.pop_front() {
            self.busy = true;
            self.schedule(SERVICE_TIME, HerdEvent::Served { gateway });
        }
    }

    fn handle_event(&mut self, event: HerdEvent) {
        match event {
            HerdEvent::Timer { gateway, token } => self.deliver(gateway, Event::Timer(token)),
            HerdEvent::RequestArrived { gateway } if self.now < self.down_until => {
                self.schedule(NETWORK_DELAY, HerdEvent::Answered { gateway, succeeded: false });
            }
            HerdEvent::RequestArrived { gateway } => {
                let request = SentRequest { gateway, time: self.now };
                self.queue.push_back(request);
                self.schedule(REQUEST_TIMEOUT, HerdEvent::RequestTimedOut { request });
                self.serve_next();
            }
            HerdEvent::Served { gateway } => {
                self.busy = false;
                self.schedule(NETWORK_DELAY, HerdEvent::Answered { gateway, succeeded: true });
                self.serve_next();
            }
            HerdEvent::RequestTimedOut { request } => {
                if let Some(index) = self.queue.iter().position(|&queued| queued == request) {
                    self.queue.remove(index);
                    let gateway = request.gateway;
                    self.schedule(NETWORK_DELAY, HerdEvent::Answered { gateway, succeeded: false });
                }
            }
            HerdEvent::Answered { gateway, succeeded } => {
                self.outstanding[gateway] = false;
                if succeeded {
                    self.leases[gateway].renew();
                    self.synced_at[gateway] = Some(self.now);
                    let entries = vec![EndpointEntry::ready(ServerId(0), ZoneId(0))];
                    self.deliver(gateway, Event::EndpointList { update: ListUpdate::Snapshot, entries });
                } else {
                    self.lose_watch(gateway, WatchEnd::Failed);
                }
            }
        }
    }

    /// Runs until all gateways are synchronised again, for at most 60 s.
    fn run(mut self) -> HerdOutcome {
        let start = self.now;
        while self.synced_at.iter().any(Option::is_none) {
            let (key, event) = self.scheduled.pop_first().expect("a gateway without a watch sends requests");
            assert!(key.due_at < start + 60_000 * MILLISECOND, "not in step within a minute");
            self.now = key.due_at;
            self.handle_event(event);
        }
        self.outcome(start)
    }

    fn outcome(&self, start: i64) -> HerdOutcome {
        let synced_at: Vec<i64> = self.synced_at.iter().flatten().copied().collect();
        let seconds_to_sync = (synced_at.iter().max().expect("all") - start) as f64 / 1e6;
        let mut has_sent = [false; GATEWAYS];
        let retries = self
            .sent_requests
            .iter()
            .filter(|request| std::mem::replace(&mut has_sent[request.gateway], true));
        let retry_times: Vec<i64> = retries.map(|request| request.time).collect();
        let retries_from = |start: i64| {
            let window = start..start + 100 * MILLISECOND;
            retry_times.iter().filter(|&time| window.contains(time)).count()
        };
        let largest_burst = retry_times.iter().map(|&time| retries_from(time)).max().unwrap_or(0);
        let times_expired = synced_at
            .iter()
            .zip(&self.last_synced_at)
            .map(|(synced_at, last_synced_at)| synced_at - last_synced_at - MAX_LIST_STALENESS.as_micros());
        HerdOutcome {
            seconds_to_sync,
            requests: self.sent_requests.len(),
            largest_burst,
            seconds_expired: times_expired.max().expect("all").max(0) as f64 / 1e6,
        }
    }
}

#[test]
fn gateways_that_lose_their_watches_together_spread_their_requests() {
    for seed in 1..=3 {
        let HerdOutcome { seconds_to_sync, requests, largest_burst, seconds_expired } =
            Herd::new(seed, 0).run();
        println!(
            "reset: in step after {seconds_to_sync:.1} s, {requests} calls, {largest_burst} in 100 ms, {seconds_expired:.1} s unvouched"
        );
        assert!(
            seconds_to_sync < 8.0 && requests < 2 * GATEWAYS && largest_burst < GATEWAYS / 6,
            "{seconds_to_sync} s, {requests} calls, {largest_burst}"
        );
        let HerdOutcome { seconds_to_sync, requests, largest_burst, seconds_expired } =
            Herd::new(seed, 8_000 * MILLISECOND).run();
        println!(
            "8 s down: in step after {seconds_to_sync:.1} s, {requests} calls, {largest_burst} in 100 ms, {seconds_expired:.1} s unvouched"
        );
        assert!(
            seconds_to_sync < 20.0 && requests < 8 * GATEWAYS && largest_burst < GATEWAYS / 2,
            "{seconds_to_sync} s, {requests} calls, {largest_burst}"
        );
    }
}
