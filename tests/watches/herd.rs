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
/// One call at a time, 60 a second; a call that has waited so long fails.
const SERVICE_TIME: i64 = 16_667;
const REQUEST_TIMEOUT: i64 = 3_000 * MILLISECOND;
const NETWORK_DELAY: i64 = MILLISECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum HerdEvent {
    Timer(usize, TimerToken),
    Call(usize),
    Served(usize),
    Waited(usize, i64),
    Answer(usize, bool),
}

/// Gateways that lose their watches in one instant, and one discovery.
struct Herd {
    gateways: Vec<Balancer>,
    leases: Vec<ListLease>,
    /// When each was in step last before, and synced_at.
    since: Vec<i64>,
    synced_at: Vec<Option<i64>>,
    outstanding: Vec<bool>,
    now: i64,
    due: BTreeMap<(i64, usize), HerdEvent>,
    queue: VecDeque<(usize, i64)>,
    busy: bool,
    down_until: i64,
    sent_requests: Vec<(i64, usize)>,
    ended: Vec<i64>,
}

impl Herd {
    fn new(seed: u64, down: i64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Settings { gateways: GATEWAYS as u32, ..settings() };
        let now = 1_000_000 * MILLISECOND;
        let since = (0..GATEWAYS).map(|_| now - rng.random_range(0..2_000) * MILLISECOND).collect();
        let mut herd = Self {
            gateways: (0..GATEWAYS).map(|_| Balancer::new(settings.clone(), rng.random())).collect(),
            leases: vec![ListLease::new(Time::from_micros(now)); GATEWAYS],
            since,
            synced_at: vec![None; GATEWAYS],
            outstanding: vec![false; GATEWAYS],
            now,
            due: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: false,
            down_until: now + down,
            sent_requests: Vec::new(),
            ended: vec![now; GATEWAYS],
        };
        for gateway in 0..GATEWAYS {
            herd.leases[gateway].renew();
            let entries = vec![EndpointEntry::ready(ServerId(0), ZoneId(0))];
            // The first subscription, which is none of this.
            let mut actions = Vec::new();
            let list = Event::EndpointList { update: ListUpdate::Snapshot, entries };
            herd.gateways[gateway].handle(Time::from_micros(now), list, &mut actions);
            herd.lose_watch(gateway, WatchEnd::Closed);
        }
        herd
    }

    fn schedule(&mut self, after: i64, step: HerdEvent) {
        let number = self.due.len() + self.sent_requests.len() * 1_000;
        let mut key = (self.now + after, number);
        while self.due.contains_key(&key) {
            key.1 += 1;
        }
        self.due.insert(key, step);
    }

    fn deliver(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { token, due_at } => {
                    let after = due_at.as_micros() - self.now;
                    self.schedule(after, HerdEvent::Timer(gateway, token));
                }
                Action::Subscribe => {
                    assert!(
                        !std::mem::replace(&mut self.outstanding[gateway], true),
                        "two sent_requests out"
                    );
                    let waited = self.now - self.ended[gateway];
                    assert!(waited <= REQUEST_TIMEOUT, "a wait of {waited} us");
                    self.sent_requests.push((self.now, gateway));
                    self.schedule(NETWORK_DELAY, HerdEvent::Call(gateway));
                }
                other => panic!("nobody asked for {other:?}"),
            }
        }
    }

    fn lose_watch(&mut self, gateway: usize, end: WatchEnd) {
        let (now, since) = (Time::from_micros(self.now), Time::from_micros(self.since[gateway]));
        self.leases[gateway].handle_watch_end(now, since, end);
        self.ended[gateway] = self.now;
        self.deliver(gateway, Event::EndpointList { update: ListUpdate::WatchFailed, entries: Vec::new() });
    }

    fn serve_next(&mut self) {
        if self.busy {
            return;
        }
        if let Some((gateway, _)) = self.queue.pop_front() {
            self.busy = true;
            self.schedule(SERVICE_TIME, HerdEvent::Served(gateway));
        }
    }

    fn step(&mut self, step: HerdEvent) {
        match step {
            HerdEvent::Timer(gateway, token) => self.deliver(gateway, Event::Timer(token)),
            HerdEvent::Call(gateway) if self.now < self.down_until => {
                self.schedule(NETWORK_DELAY, HerdEvent::Answer(gateway, false));
            }
            HerdEvent::Call(gateway) => {
                self.queue.push_back((gateway, self.now));
                self.schedule(REQUEST_TIMEOUT, HerdEvent::Waited(gateway, self.now));
                self.serve_next();
            }
            HerdEvent::Served(gateway) => {
                self.busy = false;
                self.schedule(NETWORK_DELAY, HerdEvent::Answer(gateway, true));
                self.serve_next();
            }
            HerdEvent::Waited(gateway, since) => {
                if let Some(place) = self.queue.iter().position(|&it| it == (gateway, since)) {
                    self.queue.remove(place);
                    self.schedule(NETWORK_DELAY, HerdEvent::Answer(gateway, false));
                }
            }
            HerdEvent::Answer(gateway, succeeded) => {
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

    /// Until all are in step synced_at, or 60 s. How long that took in seconds, how many calls, the most in 100 ms
    /// that were not a gateway's first, and the longest time that a gateway placed nothing.
    fn run(mut self) -> HerdOutcome {
        let start = self.now;
        while self.synced_at.iter().any(Option::is_none) {
            let ((at, _), step) =
                self.due.pop_first().expect("a gateway out of step sent_requests synced_at");
            assert!(at < start + 60_000 * MILLISECOND, "not in step within a minute");
            self.now = at;
            self.step(step);
        }
        let synced_at: Vec<i64> = self.synced_at.iter().flatten().copied().collect();
        let took = (synced_at.iter().max().expect("all") - start) as f64 / 1e6;
        let mut called = [false; GATEWAYS];
        let further = self.sent_requests.iter().filter(|(_, it)| std::mem::replace(&mut called[*it], true));
        let further: Vec<i64> = further.map(|&(at, _)| at).collect();
        let within =
            |from: i64| further.iter().filter(|&&at| (from..from + 100 * MILLISECOND).contains(&at)).count();
        let most = further.iter().map(|&at| within(at)).max().unwrap_or(0);
        let without = synced_at
            .iter()
            .zip(&self.since)
            .map(|(synced_at, since)| synced_at - since - MAX_LIST_STALENESS.as_micros());
        HerdOutcome {
            seconds_to_sync: took,
            requests: self.sent_requests.len(),
            largest_burst: most,
            seconds_expired: without.max().expect("all").max(0) as f64 / 1e6,
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
