//! Mass reconnection: 300 gateways lose their watches at the same time. The test runs in virtual time.

use std::collections::{BTreeMap, VecDeque};

use ashtide::discovery::{MAX_LIST_STALENESS, WatchEnd};
use ashtide::engine::ListLease;
use ashtide::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::settings;

/// The measurements of one run.
struct ReconnectionOutcome {
    /// The time until all gateways were synchronised, in seconds.
    seconds_to_sync: f64,
    /// The number of watch requests of all gateways.
    requests: usize,
    /// The largest number of retries within 100 ms.
    largest_burst: usize,
    /// The longest time for which a gateway had no valid list, in seconds.
    seconds_expired: f64,
}

const GATEWAYS: usize = 300;
/// One millisecond, in microseconds.
const MILLISECOND_US: i64 = 1_000;
/// The time in which discovery serves a request. It serves one request at a time, so 60 per second.
const SERVICE_TIME_US: i64 = 16_667;
/// The time after which a queued request fails.
const REQUEST_TIMEOUT_US: i64 = 3_000 * MILLISECOND_US;
/// The delay of a message between a gateway and discovery.
const NETWORK_DELAY_US: i64 = MILLISECOND_US;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReconnectionEvent {
    Timer { gateway: usize, token: TimerToken },
    RequestArrived { gateway: usize },
    Served { gateway: usize },
    RequestTimedOut { request: SentRequest },
    Answered { gateway: usize, succeeded: bool },
}

/// A watch request of a gateway, with the time at which it was sent or queued, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentRequest {
    gateway: usize,
    time: i64,
}

/// The key that orders scheduled events by time in microseconds, and events of the same time by sequence
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    due_at: i64,
    sequence: usize,
}

/// A simulation of gateways that lose their watches at the same time, and of one discovery service. All times
/// are in microseconds.
struct MassReconnection {
    gateways: Vec<Balancer>,
    leases: Vec<ListLease>,
    /// The time at which each gateway was last synchronised before its watch ended.
    last_synced_at: Vec<i64>,
    /// The time at which each gateway was synchronised again.
    synced_at: Vec<Option<i64>>,
    /// Whether each gateway has an outstanding request.
    outstanding: Vec<bool>,
    now: i64,
    scheduled: BTreeMap<EventKey, ReconnectionEvent>,
    queue: VecDeque<SentRequest>,
    /// Whether discovery is serving a request.
    busy: bool,
    /// The end of the outage of discovery.
    down_until: i64,
    sent_requests: Vec<SentRequest>,
    watch_ended_at: Vec<i64>,
}

impl MassReconnection {
    fn new(seed: u64, outage_us: i64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Settings { gateways: GATEWAYS as u32, ..settings() };
        let now = 1_000_000 * MILLISECOND_US;
        let last_synced_at =
            (0..GATEWAYS).map(|_| now - rng.random_range(0..2_000) * MILLISECOND_US).collect();
        let mut simulation = Self {
            gateways: (0..GATEWAYS).map(|_| Balancer::new(settings.clone(), rng.random())).collect(),
            leases: vec![ListLease::new(Time::from_micros(now)); GATEWAYS],
            last_synced_at,
            synced_at: vec![None; GATEWAYS],
            outstanding: vec![false; GATEWAYS],
            now,
            scheduled: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: false,
            down_until: now + outage_us,
            sent_requests: Vec::new(),
            watch_ended_at: vec![now; GATEWAYS],
        };
        for gateway in 0..GATEWAYS {
            simulation.leases[gateway].renew();
            let entries = vec![EndpointEntry::ready(ServerId(0), ZoneId(0))];
            // The actions on the first list, with the first subscription, are not part of the test.
            let mut actions = Vec::new();
            let list = Event::EndpointList { update: ListUpdate::Snapshot, entries };
            simulation.gateways[gateway].handle(Time::from_micros(now), list, &mut actions);
            simulation.lose_watch(gateway, WatchEnd::Closed);
        }
        simulation
    }

    fn schedule(&mut self, delay: i64, event: ReconnectionEvent) {
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
                    self.schedule(delay, ReconnectionEvent::Timer { gateway, token });
                }
                Action::Subscribe => {
                    assert!(
                        !std::mem::replace(&mut self.outstanding[gateway], true),
                        "gateway {gateway} sent a second request while one was outstanding"
                    );
                    let backoff_us = self.now - self.watch_ended_at[gateway];
                    assert!(
                        backoff_us <= REQUEST_TIMEOUT_US,
                        "a backoff of {backoff_us} us, expected at most {REQUEST_TIMEOUT_US} us"
                    );
                    self.sent_requests.push(SentRequest { gateway, time: self.now });
                    self.schedule(NETWORK_DELAY_US, ReconnectionEvent::RequestArrived { gateway });
                }
                other => panic!("unexpected action {other:?}"),
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
            self.schedule(SERVICE_TIME_US, ReconnectionEvent::Served { gateway });
        }
    }

    fn handle_event(&mut self, event: ReconnectionEvent) {
        match event {
            ReconnectionEvent::Timer { gateway, token } => self.deliver(gateway, Event::Timer(token)),
            ReconnectionEvent::RequestArrived { gateway } if self.now < self.down_until => {
                self.schedule(NETWORK_DELAY_US, ReconnectionEvent::Answered { gateway, succeeded: false });
            }
            ReconnectionEvent::RequestArrived { gateway } => {
                let request = SentRequest { gateway, time: self.now };
                self.queue.push_back(request);
                self.schedule(REQUEST_TIMEOUT_US, ReconnectionEvent::RequestTimedOut { request });
                self.serve_next();
            }
            ReconnectionEvent::Served { gateway } => {
                self.busy = false;
                self.schedule(NETWORK_DELAY_US, ReconnectionEvent::Answered { gateway, succeeded: true });
                self.serve_next();
            }
            ReconnectionEvent::RequestTimedOut { request } => {
                if let Some(index) = self.queue.iter().position(|&queued| queued == request) {
                    self.queue.remove(index);
                    let gateway = request.gateway;
                    self.schedule(
                        NETWORK_DELAY_US,
                        ReconnectionEvent::Answered { gateway, succeeded: false },
                    );
                }
            }
            ReconnectionEvent::Answered { gateway, succeeded } => {
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
    fn run(mut self) -> ReconnectionOutcome {
        let start = self.now;
        while self.synced_at.iter().any(Option::is_none) {
            let (key, event) = self.scheduled.pop_first().expect("a gateway without a watch sends requests");
            assert!(key.due_at < start + 60_000 * MILLISECOND_US, "gateways not synchronised within 60 s");
            self.now = key.due_at;
            self.handle_event(event);
        }
        self.outcome(start)
    }

    fn outcome(&self, start: i64) -> ReconnectionOutcome {
        let synced_at: Vec<i64> = self.synced_at.iter().flatten().copied().collect();
        let seconds_to_sync = (synced_at.iter().max().expect("synchronised gateways") - start) as f64 / 1e6;
        let mut has_sent = [false; GATEWAYS];
        let retries = self
            .sent_requests
            .iter()
            .filter(|request| std::mem::replace(&mut has_sent[request.gateway], true));
        let retry_times: Vec<i64> = retries.map(|request| request.time).collect();
        let retries_from = |start: i64| {
            let window = start..start + 100 * MILLISECOND_US;
            retry_times.iter().filter(|&time| window.contains(time)).count()
        };
        let largest_burst = retry_times.iter().map(|&time| retries_from(time)).max().unwrap_or(0);
        let times_expired = synced_at
            .iter()
            .zip(&self.last_synced_at)
            .map(|(synced_at, last_synced_at)| synced_at - last_synced_at - MAX_LIST_STALENESS.as_micros());
        ReconnectionOutcome {
            seconds_to_sync,
            requests: self.sent_requests.len(),
            largest_burst,
            seconds_expired: times_expired.max().expect("synchronised gateways").max(0) as f64 / 1e6,
        }
    }
}

#[test]
fn gateways_that_lose_their_watches_together_spread_their_requests() {
    for seed in 1..=3 {
        let ReconnectionOutcome { seconds_to_sync, requests, largest_burst, seconds_expired } =
            MassReconnection::new(seed, 0).run();
        println!(
            "reset: synchronised after {seconds_to_sync:.1} s, {requests} requests, \
             {largest_burst} in 100 ms, list expired for {seconds_expired:.1} s"
        );
        assert!(
            seconds_to_sync < 8.0 && requests < 2 * GATEWAYS && largest_burst < GATEWAYS / 6,
            "synchronised after {seconds_to_sync} s, {requests} requests, {largest_burst} in 100 ms"
        );
        let ReconnectionOutcome { seconds_to_sync, requests, largest_burst, seconds_expired } =
            MassReconnection::new(seed, 8_000 * MILLISECOND_US).run();
        println!(
            "8 s outage: synchronised after {seconds_to_sync:.1} s, {requests} requests, \
             {largest_burst} in 100 ms, list expired for {seconds_expired:.1} s"
        );
        assert!(
            seconds_to_sync < 20.0 && requests < 8 * GATEWAYS && largest_burst < GATEWAYS / 2,
            "synchronised after {seconds_to_sync} s, {requests} requests, {largest_burst} in 100 ms"
        );
    }
}
