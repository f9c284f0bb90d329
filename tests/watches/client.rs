//! The discovery client: timeouts and ends of watches, address changes and the parsing of endpoint lists.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtide::config::Config;
use ashtide::discovery::{EndpointList, HEARTBEAT_TIMEOUT, WatchEnd};
use ashtide::handover::{PersistedState, ProcessState};
use ashtide::metrics::Metrics;
use ashtide::net::discovery::follow_endpoint_list;
use ashtide::net::event_loop::{EventLoop, EventLoopParts};
use ashtide::net::handover::SiblingLink;
use ashtide::net::messages::{DriverEvent, EventLoopHandle};
use ashtide::net::pending_clients::PendingClients;
use ashtide_testkit::mock_backend::chunk;
use ashtide_testkit::within;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::harness::{MockDiscovery, RESPONSE_HEAD, UNAVAILABLE_RESPONSE, list_json, unused_address};

/// The task `follow_endpoint_list`, with the test in place of the event loop.
struct WatchClient {
    address: watch::Sender<SocketAddr>,
    subscriptions: mpsc::Sender<()>,
    events: mpsc::Receiver<DriverEvent>,
    event_loop: EventLoopHandle,
}

/// The end of a watch, as reported to the event loop.
#[derive(Debug, PartialEq)]
struct ObservedEnd {
    since_synced: Duration,
    end: WatchEnd,
    resubscribe: bool,
}

impl WatchClient {
    fn start(initial_address: SocketAddr, after_version: u64, queue_capacity: usize) -> Self {
        let (address, address_changes) = watch::channel(initial_address);
        let (subscriptions, subscription_requests) = mpsc::channel(1);
        let (sender, events) = mpsc::channel(queue_capacity);
        let event_loop = EventLoopHandle::new(Arc::new(Metrics::new(&[])), sender);
        let handle = event_loop.clone();
        tokio::spawn(follow_endpoint_list(address_changes, after_version, subscription_requests, handle));
        Self { address, subscriptions, events, event_loop }
    }

    fn subscribe(&self) {
        self.subscriptions.try_send(()).expect("no pending subscription");
    }

    async fn next_event(&mut self) -> DriverEvent {
        within("an event", self.events.recv()).await.expect("reported in time").expect("a running client")
    }

    async fn expect_watch_end(&mut self) -> ObservedEnd {
        match self.next_event().await {
            DriverEvent::WatchEnded { since_synced, end, resubscribe } => {
                ObservedEnd { since_synced, end, resubscribe }
            }
            other => panic!("expected the end of a watch, found {other:?}"),
        }
    }

    async fn expect_update(&mut self) -> EndpointList {
        match self.next_event().await {
            DriverEvent::ListUpdated { update, .. } => update,
            other => panic!("expected a list update, found {other:?}"),
        }
    }

    async fn expect_synced(&mut self) {
        let next = self.next_event().await;
        assert!(
            matches!(next, DriverEvent::WatchSynced { .. }),
            "expected a synchronised watch, found {next:?}"
        );
    }
}

#[tokio::test]
async fn one_timeout_covers_a_request_until_its_first_complete_object() {
    let service = MockDiscovery::start().await;
    let mut client = WatchClient::start(service.address, 41, 16);
    client.subscribe();
    let mut request = service.accept_request().await;
    request.send_raw(&format!("{RESPONSE_HEAD}5000\r\n{{\"index\":42,")).await;
    let received_at = request.received_at;
    let closed_at =
        within("the end of the request", request.send_bytes_until_closed(Duration::from_millis(100)))
            .await
            .expect("closed in time");
    let elapsed = closed_at - received_at;
    assert!(elapsed > Duration::from_millis(3300) && elapsed < Duration::from_millis(4500), "{elapsed:?}");
    let ended = client.expect_watch_end().await;
    assert!(
        ended.end == WatchEnd::Failed
            && ended.resubscribe
            && ended.since_synced >= Duration::from_millis(3400),
        "{ended:?}"
    );
}

#[tokio::test]
async fn complete_objects_and_heartbeats_alone_extend_a_watch() {
    let service = MockDiscovery::start().await;
    let mut client = WatchClient::start(service.address, 0, 16);
    client.subscribe();
    let mut request = service.accept_request().await;
    request.send_list(&list_json(1, true, &["a"])).await;
    // The list and two heartbeats, 1.6 s apart, keep the watch open for 3.2 s, longer than
    // `HEARTBEAT_TIMEOUT`.
    for _ in 0..2 {
        sleep(Duration::from_millis(1600)).await;
        request.send_heartbeat().await;
    }
    let last_heartbeat = Instant::now();
    request.send_raw("5000\r\n{\"index\":42,").await;
    let closed_at =
        within("the end of the watch", request.send_bytes_until_closed(Duration::from_millis(100)))
            .await
            .expect("closed in time");
    assert!(
        closed_at - last_heartbeat > HEARTBEAT_TIMEOUT - Duration::from_millis(100)
            && closed_at - last_heartbeat < HEARTBEAT_TIMEOUT * 3 / 2,
        "{:?}",
        closed_at - last_heartbeat
    );
    client.expect_update().await;
    client.expect_synced().await;
    let ended = client.expect_watch_end().await;
    assert!(ended.end == WatchEnd::Failed && ended.resubscribe, "{ended:?}");
    assert!(
        ended.since_synced >= HEARTBEAT_TIMEOUT && ended.since_synced < HEARTBEAT_TIMEOUT * 3 / 2,
        "{ended:?}"
    );
}

#[tokio::test]
async fn every_watch_end_reports_the_time_since_the_list_was_synced() {
    let service = MockDiscovery::start().await;
    let mut client = WatchClient::start(service.address, 41, 16);
    let start = Instant::now();
    expect_failed_first_request(&service, &mut client, start).await;
    // The response has no updates, and the watch ends 0.3 s later.
    client.subscribe();
    let mut request = service.accept_request().await;
    assert_eq!(request.after_version, 41);
    let answered_at = Instant::now();
    request.send_raw(&format!("{RESPONSE_HEAD}{}", chunk("\n"))).await;
    client.expect_synced().await;
    let synced_at = Instant::now();
    sleep(Duration::from_millis(300)).await;
    drop(request);
    let ended = client.expect_watch_end().await;
    assert_eq!((ended.end, ended.resubscribe), (WatchEnd::Closed, true));
    assert!(
        ended.since_synced >= Duration::from_millis(300) && ended.since_synced <= answered_at.elapsed(),
        "{ended:?}"
    );
    // Failures with status 503 and by reset alternate. All count from the same synchronisation.
    expect_failures_since_sync(&service, &mut client, synced_at, answered_at).await;
    // Updates before a reset are delivered.
    client.subscribe();
    let mut request = service.accept_request().await;
    request.send_list(&list_json(42, false, &["a"])).await;
    client.expect_update().await;
    client.expect_synced().await;
    request.reset();
    assert_eq!(client.expect_watch_end().await.end, WatchEnd::Closed);
    // The address has no listener.
    let unused = unused_address();
    client.address.send_replace(unused.address);
    assert_eq!(client.expect_watch_end().await.end, WatchEnd::ConnectionRefused);
}

/// Fails the first request, which starts after the version of the cached list.
async fn expect_failed_first_request(service: &MockDiscovery, client: &mut WatchClient, start: Instant) {
    client.subscribe();
    let mut request = service.accept_request().await;
    assert_eq!(request.after_version, 41);
    request.send_raw(UNAVAILABLE_RESPONSE).await;
    let ended = client.expect_watch_end().await;
    assert!(
        (ended.end, ended.resubscribe) == (WatchEnd::Failed, true) && ended.since_synced <= start.elapsed(),
        "{ended:?}"
    );
}

/// Fails four requests. Each end reports the time since the last synchronisation.
async fn expect_failures_since_sync(
    service: &MockDiscovery,
    client: &mut WatchClient,
    synced_at: Instant,
    answered_at: Instant,
) {
    for round in 0..4 {
        client.subscribe();
        let mut request = service.accept_request().await;
        if round % 2 == 0 {
            request.send_raw(UNAVAILABLE_RESPONSE).await;
        } else {
            request.reset();
        }
        let ended = client.expect_watch_end().await;
        assert_eq!((ended.end, ended.resubscribe), (WatchEnd::Failed, true));
        assert!(
            ended.since_synced >= synced_at.elapsed() - Duration::from_millis(200),
            "{ended:?} in round {round}"
        );
        assert!(ended.since_synced <= answered_at.elapsed(), "{ended:?} in round {round}");
    }
}

#[tokio::test]
async fn updates_of_the_old_discovery_are_stale_after_an_address_change() {
    let old = MockDiscovery::start().await;
    let new = MockDiscovery::start().await;
    // The queue has capacity for one event: the event loop is busy.
    let mut client = WatchClient::start(old.address, 41, 1);
    client.subscribe();
    let mut watch = old.accept_request().await;
    watch.send_list(&list_json(42, true, &["old"])).await;
    watch.send_raw(&chunk(&format!("{}\n", list_json(43, false, &["older"])))).await;
    // Wait until the first update is in the queue.
    let queued = async {
        while client.events.is_empty() {
            tokio::task::yield_now().await;
        }
    };
    within("an event in the queue", queued).await.expect("queued");
    client.address.send_replace(new.address);
    watch.wait_until_closed().await;
    assert!(
        !new.has_pending_request(),
        "the new discovery is contacted only after the end of the watch is reported"
    );
    let event = client.next_event().await;
    assert!(matches!(&event, DriverEvent::ListUpdated { update, .. } if update.index == 42), "{event:?}");
    assert!(
        client.event_loop.is_stale(&event),
        "an update of the old discovery is stale after the address change"
    );
    let ended = client.expect_watch_end().await;
    assert_eq!(
        (ended.end, ended.resubscribe),
        (WatchEnd::Closed, false),
        "the client contacts the new discovery without a subscription"
    );
    let mut request = new.accept_request().await;
    assert_eq!(request.after_version, 0, "the versions of another discovery service do not apply");
    request.send_list(&list_json(3, true, &["new"])).await;
    let event = client.next_event().await;
    assert!(matches!(&event, DriverEvent::ListUpdated { update, .. } if update.index == 3), "{event:?}");
    assert!(!client.event_loop.is_stale(&event));
    client.expect_synced().await;
    // Two changes before the client runs: its last version is stale, so it requests a snapshot.
    client.address.send_replace(old.address);
    client.address.send_replace(new.address);
    request.wait_until_closed().await;
    client.expect_watch_end().await;
    assert_eq!(new.accept_request().await.after_version, 0);
}

#[tokio::test]
async fn an_address_change_before_the_first_request_requests_a_snapshot() {
    let old = MockDiscovery::start().await;
    let new = MockDiscovery::start().await;
    let client = WatchClient::start(old.address, 41, 16);
    client.address.send_replace(new.address);
    client.subscribe();
    assert_eq!(
        new.accept_request().await.after_version,
        0,
        "the initial version belongs to the old discovery"
    );
}

#[tokio::test]
async fn an_address_change_adds_no_second_request() {
    let first = MockDiscovery::start().await;
    let second = MockDiscovery::start().await;
    let mut client = WatchClient::start(first.address, 0, 16);
    client.subscribe();
    first.accept_request().await.reset();
    assert!(client.expect_watch_end().await.resubscribe);
    // The address changes during the backoff. The client contacts the new discovery at once.
    client.address.send_replace(second.address);
    second.accept_request().await.reset();
    assert!(
        !client.expect_watch_end().await.resubscribe,
        "the pending subscription already leads to a request"
    );
    client.subscribe();
    let mut request = second.accept_request().await;
    // The client closes an outstanding request before it sends the next one.
    client.address.send_replace(first.address);
    request.wait_until_closed().await;
    let ended = client.expect_watch_end().await;
    assert_eq!((ended.end, ended.resubscribe), (WatchEnd::Failed, false));
    first.accept_request().await.reset();
    assert!(
        client.expect_watch_end().await.resubscribe,
        "without a pending subscription, a new one is required"
    );
}

#[tokio::test]
async fn deltas_of_a_restarted_discovery_lead_to_a_snapshot() {
    let service = MockDiscovery::start().await;
    let mut client = WatchClient::start(service.address, 41, 16);
    client.subscribe();
    let mut request = service.accept_request().await;
    // The versions of the restarted discovery are lower, so it has no updates at first. Then an entry
    // changes.
    request.send_raw(&format!("{RESPONSE_HEAD}{}", chunk("\n"))).await;
    client.expect_synced().await;
    let heartbeat_at = Instant::now();
    sleep(Duration::from_millis(300)).await;
    request.send_raw(&chunk(&format!("{}\n", list_json(3, false, &["a"])))).await;
    assert_eq!(client.expect_update().await.index, 3, "the state of a server in the delta is applied");
    request.wait_until_closed().await;
    let ended = client.expect_watch_end().await;
    assert!(ended.end == WatchEnd::Failed && ended.resubscribe, "{ended:?}");
    assert!(
        ended.since_synced >= Duration::from_millis(300),
        "{ended:?}, {:?} since the heartbeat",
        heartbeat_at.elapsed()
    );
    client.subscribe();
    let mut request = service.accept_request().await;
    assert_eq!(request.after_version, 0);
    request.send_list(&list_json(3, true, &["a", "b"])).await;
    assert!(client.expect_update().await.snapshot);
    client.expect_synced().await;
    // A snapshot is applied regardless of its version.
    request.send_raw(&chunk(&format!("{}\n", list_json(2, true, &["b"])))).await;
    assert_eq!(client.expect_update().await.index, 2);
    drop(request);
    assert_eq!(client.expect_watch_end().await.end, WatchEnd::Closed);
    client.subscribe();
    assert_eq!(service.accept_request().await.after_version, 2);
}

#[tokio::test]
async fn lists_are_read_indented_pipelined_and_one_byte_at_a_time() {
    let service = MockDiscovery::start().await;
    let mut client = WatchClient::start(service.address, 0, 16);
    client.subscribe();
    let mut request = service.accept_request().await;
    let first = list_json(1, true, &["a", "b"]);
    let second = list_json(2, false, &["b"]);
    // Two objects, heartbeats and a third object, in chunks that split them.
    let body = format!("{first:#}\n\n{second}\n\n\n{:#}\n", list_json(3, false, &["a"]));
    let (first_part, second_part) = body.split_at(first.to_string().len() + 7);
    let text = format!("{RESPONSE_HEAD}{}{}", chunk(first_part), chunk(second_part));
    for byte in text.bytes() {
        request.stream.write_all(&[byte]).await.expect("an open watch connection");
        tokio::task::yield_now().await;
    }
    assert_eq!(client.expect_update().await.endpoints.len(), 2);
    client.expect_synced().await;
    for index in [2, 3] {
        assert_eq!(client.expect_update().await.index, index);
    }
    // Two objects arrive in one chunk, followed by the end of the connection.
    let delta = list_json(4, false, &["c"]);
    let snapshot = list_json(5, true, &["c"]);
    let text = format!("{}{}", chunk(&format!("{delta}\n{snapshot}")), chunk("\n\n"));
    request.send_raw(&text).await;
    drop(request);
    for index in [4, 5] {
        assert_eq!(client.expect_update().await.index, index);
    }
    assert_eq!(client.expect_watch_end().await.end, WatchEnd::Closed);
}

#[tokio::test]
async fn updates_before_a_malformed_line_are_delivered() {
    let service = MockDiscovery::start().await;
    let mut client = WatchClient::start(service.address, 0, 16);
    client.subscribe();
    let mut request = service.accept_request().await;
    let body = format!("{}\n{{\"index\":2,\"endpoints\":7}}\n", list_json(1, true, &["a"]));
    request.send_raw(&format!("{RESPONSE_HEAD}{}", chunk(&body))).await;
    assert_eq!(client.expect_update().await.index, 1);
    client.expect_synced().await;
    assert_eq!(client.expect_watch_end().await.end, WatchEnd::Failed);
    client.subscribe();
    assert_eq!(service.accept_request().await.after_version, 1);
}

#[tokio::test]
async fn the_event_loop_drops_stale_updates() {
    let settings = json!({
        "azs": ["here"], "zone": "here", "balancers": 1, "discovery": "on_request", "tick": 0.005,
        "classes": [{"name": "meter", "aim": 0.4, "deadline": 3.0, "effect": "pure", "worth": 1.0}],
    });
    let config = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "5eed",
                        "settings": settings});
    let config = Config::from_json(config, |_| None).expect("a valid configuration");
    let (subscribe, _subscriptions) = mpsc::channel(1);
    let (datagrams, _sent_datagrams) = mpsc::channel(1);
    let (_successor_sender, successor) = watch::channel(None);
    let pending_clients = PendingClients::new(config.capacity(0));
    let sibling_link = SiblingLink::new(
        pending_clients,
        None,
        PersistedState::default(),
        0,
        ProcessState::default(),
        successor,
    );
    let EventLoopParts { event_loop, handle, admin: _admin } =
        EventLoop::create(&config, subscribe, datagrams, sibling_link);
    let mut addresses = event_loop.server_addresses();
    let update = |name| serde_json::from_value(list_json(1, false, &[name])).expect("a list");
    let checks = async {
        // Both updates are in the queue before the event loop runs.
        handle.send(DriverEvent::ListUpdated { watch: handle.start_watch(), update: update("old") }).await;
        handle.send(DriverEvent::ListUpdated { watch: handle.start_watch(), update: update("new") }).await;
        let server_addresses =
            within("a list", addresses.wait_for(|addresses| addresses.contains_key("new"))).await;
        let server_addresses = server_addresses.expect("listed in time").expect("a running event loop");
        assert!(!server_addresses.contains_key("old"), "an update of an earlier watch is dropped");
    };
    tokio::select! {
        biased;
        () = checks => {}
        () = event_loop.run(None) => panic!("the event loop ended without a shutdown"),
    }
}
