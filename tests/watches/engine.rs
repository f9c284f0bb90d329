//! The engine without a response from discovery: expiry of the endpoint list and backoff between
//! subscriptions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ashtide::discovery::WatchEnd;
use ashtide::engine::{Command, Engine, MonotonicEpoch, TimerEvent};
use ashtide::*;
use tokio::time::Instant;

use super::harness::{settings, time_at};

/// An engine with a cached endpoint list of two servers.
struct Gateway {
    engine: Engine,
    start: Instant,
    next_request: u32,
}

impl Gateway {
    fn new() -> Self {
        let start = Instant::now();
        let seed = 7;
        let mut engine = Engine::new(settings(), seed, MonotonicEpoch { time: time_at(0.0), instant: start });
        engine.handle_list_update(
            time_at(0.0),
            ListUpdate::Cached,
            Self::servers(ServerState::Ready),
            &mut Vec::new(),
        );
        Self { engine, start, next_request: 0 }
    }

    /// Returns the entries of both servers, the first one in this state.
    fn servers(state: ServerState) -> Vec<EndpointEntry> {
        let other = EndpointEntry::ready(ServerId(1), ZoneId(0));
        vec![EndpointEntry { state, ..EndpointEntry::ready(ServerId(0), ZoneId(0)) }, other]
    }

    /// Sends 20 requests; returns the number of attempts by server.
    fn place_requests(&mut self, now: Time) -> BTreeMap<ServerId, usize> {
        let mut commands = Vec::new();
        for _ in 0..20 {
            self.next_request += 1;
            let id = RequestId(self.next_request);
            let class = ClassId(0);
            let time_left = Span::from_micros(2_000_000);
            let request = Request { id, class, tenant: None, group: None, time_left, load: None };
            self.engine.handle_request(now, request, &mut commands);
        }
        self.count_placements(now, commands)
    }

    /// Returns the number of attempts by server. Each connection is established at once, so that no attempt
    /// delays another.
    fn count_placements(&mut self, now: Time, commands: Vec<Command>) -> BTreeMap<ServerId, usize> {
        let mut placements = BTreeMap::new();
        let mut commands = VecDeque::from(commands);
        while let Some(command) = commands.pop_front() {
            if let Command::Attempt { id, attempt, server, .. } = command {
                *placements.entry(server).or_default() += 1;
                let mut next_commands = Vec::new();
                self.engine.handle_established(now, id, attempt, &mut next_commands);
                commands.extend(next_commands);
            }
        }
        placements
    }

    /// Fires timers until the engine subscribes; returns the elapsed time.
    async fn time_to_subscribe(&mut self) -> Duration {
        let started_at = Instant::now();
        loop {
            let event = self.engine.next_timer_event().await;
            let now = self.now();
            let mut commands = Vec::new();
            self.engine.handle_timer(now, event, &mut commands);
            if commands.contains(&Command::Subscribe) {
                return started_at.elapsed();
            }
        }
    }

    fn now(&self) -> Time {
        time_at(self.start.elapsed().as_secs_f64())
    }

    /// Ends the watch with a failure; returns the time until the engine subscribes again.
    async fn time_to_retry(&mut self, synced_at: Time) -> Duration {
        let now = self.now();
        self.engine.handle_watch_end(now, synced_at, WatchEnd::Failed);
        self.engine.handle_list_update(now, ListUpdate::WatchFailed, Vec::new(), &mut Vec::new());
        self.time_to_subscribe().await
    }
}

#[tokio::test]
async fn an_expired_list_is_renewed_only_by_a_complete_answer() {
    let mut gateway = Gateway::new();
    let engine = &mut gateway.engine;
    let mut commands = Vec::new();
    engine.handle_timer(time_at(5.9), TimerEvent::ListExpired, &mut commands);
    assert!(!engine.list_expired(), "the list of a new process is valid until 6 s after its start");
    assert_eq!(gateway.place_requests(time_at(5.95)).len(), 2);
    gateway.engine.handle_timer(time_at(6.0), TimerEvent::ListExpired, &mut commands);
    assert!(gateway.engine.list_expired() && gateway.place_requests(time_at(6.1)).is_empty());
    // Neither lists of a predecessor process nor updates of an incomplete response renew the list.
    for update in [ListUpdate::Cached, ListUpdate::Delta, ListUpdate::Snapshot] {
        gateway.engine.handle_list_update(
            time_at(6.2),
            update,
            Gateway::servers(ServerState::Draining),
            &mut commands,
        );
        assert!(gateway.place_requests(time_at(6.3)).is_empty(), "{update:?}");
    }
    commands.clear();
    gateway.engine.renew_list_lease(time_at(6.4), &mut commands);
    // Queued requests and new requests are placed.
    for placements in [gateway.count_placements(time_at(6.4), commands), gateway.place_requests(time_at(6.5))]
    {
        assert_eq!(placements.into_keys().collect::<Vec<_>>(), [ServerId(1)]);
    }
}

#[tokio::test(start_paused = true)]
async fn only_an_answer_resets_the_backoff() {
    let mut gateway = Gateway::new();
    gateway.time_to_subscribe().await;
    let mut backoffs = Vec::new();
    while !gateway.engine.list_expired() {
        backoffs.push(gateway.time_to_retry(time_at(0.0)).await);
    }
    backoffs.push(gateway.time_to_retry(time_at(0.0)).await);
    assert!(
        backoffs[0] >= Duration::from_millis(250) && backoffs[0] < Duration::from_millis(510),
        "{backoffs:?}"
    );
    // An expired list does not shorten the backoff.
    let last = backoffs.last().expect("at least one backoff");
    assert!(backoffs.len() >= 4 && *last >= Duration::from_millis(1500), "{backoffs:?}");
    for _ in 0..8 {
        backoffs.push(gateway.time_to_retry(time_at(0.0)).await);
    }
    let longest = Duration::from_millis(3010);
    assert!(
        backoffs.iter().all(|&backoff| backoff <= longest),
        "a backoff exceeds 3 s, the list validity of 6 s minus 3 s for a failing request: {backoffs:?}"
    );
    // A response without updates resets the backoff too, whether or not the list was valid.
    for list_was_valid in [false, true] {
        let now = gateway.now();
        gateway.engine.renew_list_lease(now, &mut Vec::new());
        let first_backoff = gateway.time_to_retry(now).await;
        assert!(
            first_backoff < Duration::from_millis(510),
            "{first_backoff:?}, list was valid: {list_was_valid}"
        );
        let later_backoffs = [gateway.time_to_retry(now).await, gateway.time_to_retry(now).await];
        assert!(
            later_backoffs[1] >= Duration::from_millis(1000) && !gateway.engine.list_expired(),
            "{later_backoffs:?}"
        );
    }
}
