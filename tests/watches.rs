//! News of the list that cross: calls that fail, watches that end, a discovery that moves or begins anew. The
//! peer forces the order; what takes seconds is the time that is tested.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ashtide::config::Config;
use ashtide::discovery::{EndpointList, HEARTBEAT_TIMEOUT, MAX_LIST_STALENESS, WatchEnd};
use ashtide::engine::{Command, Engine, ListLease, MonotonicEpoch, TimerEvent};
use ashtide::handover::{PersistedState, ProcessState};
use ashtide::metrics::Metrics;
use ashtide::net::discovery::follow_endpoint_list;
use ashtide::net::event_loop::{EventLoop, EventLoopParts};
use ashtide::net::handover::SiblingLink;
use ashtide::net::messages::{DriverEvent, EventLoopHandle};
use ashtide::net::pending_clients::PendingClients;
use ashtide::*;
use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::{Fleet, chunk};
use ashtide_testkit::within;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// ---- Stand-ins ----------------------------------------------------------------------------

/// A call whose request has come; what is answered, and when, is the test's to say.
struct Call {
    stream: TcpStream,
    /// The version that it asks from.
    after: u64,
    came: Instant,
}

impl Call {
    async fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("a watch that is open");
    }

    /// Answers with an object on a line.
    async fn tell(&mut self, list: &Value) {
        self.say(&format!("{HEAD}{}", chunk(&format!("{list}\n")))).await;
    }

    async fn beat(&mut self) {
        self.say(&chunk("\n")).await;
    }

    /// Says these bytes one at a time until the other side has left; when it had.
    async fn trickle(mut self, each: Duration) -> Instant {
        loop {
            let mut rest = [0; 1];
            tokio::select! {
                // Read first: an end is told from a full buffer.
                biased;
                _ = self.stream.read(&mut rest) => return Instant::now(),
                () = sleep(each) => { let _ = self.stream.write_all(b" ").await; }
            }
        }
    }

    /// Waits until the other side has left.
    async fn left(&mut self) {
        let mut rest = [0; 1];
        let read = within("the end of a watch", self.stream.read(&mut rest)).await.expect("left");
        assert!(matches!(read, Ok(0) | Err(_)), "a watch asks once");
    }

    fn reset(self) {
        self.stream.set_zero_linger().expect("a socket");
    }
}

/// A discovery that does nothing unasked.
struct Service {
    at: SocketAddr,
    listener: TcpListener,
}

impl Service {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self { at: listener.local_addr().expect("an address"), listener }
    }

    async fn call(&self) -> Call {
        let (mut stream, _) =
            within("a call", self.listener.accept()).await.expect("called").expect("a connection");
        let came = Instant::now();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(within("a request", stream.read_u8()).await.expect("asked").expect("a byte"));
        }
        let text = String::from_utf8(head).expect("text");
        let after = text.split_once("after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        Call { stream, after: after.expect("a version"), came }
    }

    /// Whether a call waits to be taken.
    fn is_called(&self) -> bool {
        futures_util::FutureExt::now_or_never(self.listener.accept()).is_some()
    }
}

/// An address at which nothing listens, and nobody else will.
fn nobody() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let at = socket.local_addr().expect("an address");
    (socket, at)
}

/// `follow` before a core that is the test.
struct Follower {
    address: watch::Sender<SocketAddr>,
    subscribe: mpsc::Sender<()>,
    reports: mpsc::Receiver<DriverEvent>,
    core: EventLoopHandle,
}

/// An end of a watch, as told.
#[derive(Debug, PartialEq)]
struct Ended {
    in_step: Duration,
    end: WatchEnd,
    ask: bool,
}

impl Follower {
    fn start(at: SocketAddr, after: u64, queue: usize) -> Self {
        let (address, follows) = watch::channel(at);
        let (subscribe, asked) = mpsc::channel(1);
        let (sender, reports) = mpsc::channel(queue);
        let core = EventLoopHandle::new(Arc::new(Metrics::new(&[])), sender);
        tokio::spawn(follow_endpoint_list(follows, after, asked, core.clone()));
        Self { address, subscribe, reports, core }
    }

    fn ask(&self) {
        self.subscribe.try_send(()).expect("room for a call");
    }

    async fn next(&mut self) -> DriverEvent {
        within("a report", self.reports.recv()).await.expect("told").expect("it follows")
    }

    async fn ended(&mut self) -> Ended {
        match self.next().await {
            DriverEvent::WatchEnded { since_synced: in_step, end, resubscribe: ask } => {
                Ended { in_step, end, ask }
            }
            other => panic!("an end of a watch, not {other:?}"),
        }
    }

    async fn news(&mut self) -> EndpointList {
        match self.next().await {
            DriverEvent::ListUpdated { update, .. } => update,
            other => panic!("news, not {other:?}"),
        }
    }

    async fn watching(&mut self) {
        let next = self.next().await;
        assert!(matches!(next, DriverEvent::WatchSynced { .. }), "in step, not {next:?}");
    }
}

fn list(index: u64, snapshot: bool, names: &[&str]) -> Value {
    let entry = |name| json!({"name": name, "address": "127.0.0.1:1", "status": "SERVING"});
    let entries: Vec<Value> = names.iter().map(entry).collect();
    json!({"index": index, "snapshot": snapshot, "endpoints": entries})
}

// ---- The clock ----------------------------------------------------------------------------

fn at(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as i64)
}

/// Until when the list stands after these ends, each with its time and the time last in step.
fn stands(vouching: &mut ListLease, ends: &[(f64, f64, WatchEnd)]) -> Time {
    for &(now, since, end) in ends {
        vouching.handle_watch_end(at(now), at(since), end);
    }
    let end = (0..100_000).map(|tenth| at(f64::from(tenth) / 10.0)).find(|&time| !vouching.is_valid(time));
    end.expect("an ended watch leaves no list standing for good")
}

#[test]
fn the_list_stands_for_six_seconds_from_the_last_whole_word_whatever_ended_it() {
    use WatchEnd::{Closed, ConnectionRefused, Failed};
    let in_step = || {
        let mut vouching = ListLease::new(at(0.0));
        vouching.renew();
        assert!(vouching.is_valid(at(10_000.0)), "a watch in step vouches for as long as it is");
        vouching
    };
    // A new process, with no call answered; and the first call refused by nobody's port.
    assert_eq!(stands(&mut ListLease::new(at(5.0)), &[]), at(11.0));
    assert_eq!(stands(&mut ListLease::new(at(5.0)), &[(9.0, 5.0, Failed)]), at(11.0));
    assert_eq!(stands(&mut ListLease::new(at(5.0)), &[(5.5, 5.0, ConnectionRefused)]), at(11.5));
    for end in [Closed, Failed, ConnectionRefused] {
        // Whatever ended it; and at once where that was long ago, as for a process that stalled for 13 s.
        let first = if end == ConnectionRefused { at(21.0) } else { at(20.0) };
        assert_eq!(stands(&mut in_step(), &[(15.0, 14.0, end)]), first, "{end:?}");
        assert_eq!(stands(&mut in_step(), &[(27.0, 14.0, end)]), at(20.0), "{end:?}");
    }
    // Of several failures the first counts.
    assert_eq!(stands(&mut in_step(), &[(15.0, 14.0, Closed), (16.0, 16.0, Failed)]), at(20.0));
    // Nothing listens: from each such moment on, while that is all that was found.
    let gone = [(15.0, 14.0, Closed), (15.5, 14.0, ConnectionRefused), (18.0, 14.0, ConnectionRefused)];
    assert_eq!(stands(&mut in_step(), &gone), at(24.0));
    // Something had listened: it may have been told of a change, and who came later found nobody.
    let after = [(15.0, 14.0, Closed), (15.5, 14.0, Failed), (18.0, 14.0, ConnectionRefused)];
    assert_eq!(stands(&mut in_step(), &after), at(20.0));
    assert_eq!(
        stands(&mut in_step(), &[(16.5, 14.0, Failed), (17.0, 14.0, ConnectionRefused)]),
        at(20.0),
        "silence"
    );
    // And a list that no longer stands does not stand again without an answer.
    assert_eq!(stands(&mut in_step(), &[(15.0, 14.0, Closed), (20.1, 14.0, ConnectionRefused)]), at(20.0));
    let mut vouching = in_step();
    stands(&mut vouching, &after);
    vouching.renew();
    assert!(vouching.is_valid(at(10_000.0)), "an answer ends it all");
}

// ---- The engine ---------------------------------------------------------------------------

fn settings() -> Settings {
    let class = RequestClass {
        latency_objective: Span::from_micros(400_000),
        message_latency_objective: Span::from_micros(50_000),
        priority_weight: 1.0,
        idempotency: ashtide::Idempotency::Idempotent,
    };
    Settings { classes: vec![class], discovery: DiscoveryMode::OnRequest, ..Settings::for_zone(ZoneId(0)) }
}

/// An engine with two servers, of which it has a list from before.
struct Gateway {
    engine: Engine,
    start: Instant,
    next: u32,
}

impl Gateway {
    fn new() -> Self {
        let (start, seed) = (Instant::now(), 7);
        let mut engine = Engine::new(settings(), seed, MonotonicEpoch { time: at(0.0), instant: start });
        engine.handle_list_update(
            at(0.0),
            ListUpdate::Cached,
            Self::servers(ServerState::Ready),
            &mut Vec::new(),
        );
        Self { engine, start, next: 0 }
    }

    /// Both servers, the first in this state.
    fn servers(state: ServerState) -> Vec<EndpointEntry> {
        let other = EndpointEntry::ready(ServerId(1), ZoneId(0));
        vec![EndpointEntry { state, ..EndpointEntry::ready(ServerId(0), ZoneId(0)) }, other]
    }

    /// Where 20 requests go.
    fn place(&mut self, now: Time) -> BTreeMap<ServerId, usize> {
        let mut out = Vec::new();
        for _ in 0..20 {
            self.next += 1;
            let (id, class, time_left) = (RequestId(self.next), ClassId(0), Span::from_micros(2_000_000));
            let request = Request { id, class, tenant: None, group: None, time_left, load: None };
            self.engine.handle_request(now, request, &mut out);
        }
        self.placed(now, out)
    }

    /// Where these effects place requests; their set-ups succeed at once, so that they keep no other back.
    fn placed(&mut self, now: Time, out: Vec<Command>) -> BTreeMap<ServerId, usize> {
        let (mut placed, mut out) = (BTreeMap::new(), VecDeque::from(out));
        while let Some(effect) = out.pop_front() {
            if let Command::Attempt { id, attempt, server, .. } = effect {
                *placed.entry(server).or_default() += 1;
                let mut more = Vec::new();
                self.engine.handle_established(now, id, attempt, &mut more);
                out.extend(more);
            }
        }
        placed
    }

    /// Fires what comes due until a call is asked for; how long that took.
    async fn called(&mut self) -> Duration {
        let from = Instant::now();
        loop {
            let due = self.engine.next_timer_event().await;
            let now = self.now();
            let mut out = Vec::new();
            self.engine.handle_timer(now, due, &mut out);
            if out.contains(&Command::Subscribe) {
                return from.elapsed();
            }
        }
    }

    fn now(&self) -> Time {
        at(self.start.elapsed().as_secs_f64())
    }

    async fn called_after_a_failure(&mut self, in_step: Time) -> Duration {
        let now = self.now();
        self.engine.handle_watch_end(now, in_step, WatchEnd::Failed);
        self.engine.handle_list_update(now, ListUpdate::WatchFailed, Vec::new(), &mut Vec::new());
        self.called().await
    }
}

#[tokio::test]
async fn a_list_without_an_answer_brings_nothing_back() {
    let mut gateway = Gateway::new();
    let (engine, mut out) = (&mut gateway.engine, Vec::new());
    engine.handle_timer(at(5.9), TimerEvent::ListExpired, &mut out);
    assert!(!engine.list_expired(), "a new process has its time, too");
    assert_eq!(gateway.place(at(5.95)).len(), 2);
    gateway.engine.handle_timer(at(6.0), TimerEvent::ListExpired, &mut out);
    assert!(gateway.engine.list_expired() && gateway.place(at(6.1)).is_empty());
    // What an older process relays, and the news of an answer until it is all there.
    for news in [ListUpdate::Cached, ListUpdate::Delta, ListUpdate::Snapshot] {
        gateway.engine.handle_list_update(at(6.2), news, Gateway::servers(ServerState::Draining), &mut out);
        assert!(gateway.place(at(6.3)).is_empty(), "{news:?}");
    }
    out.clear();
    gateway.engine.renew_list_lease(at(6.4), &mut out);
    // Those that waited, and those that come.
    for placed in [gateway.placed(at(6.4), out), gateway.place(at(6.5))] {
        assert_eq!(placed.into_keys().collect::<Vec<_>>(), [ServerId(1)]);
    }
}

#[tokio::test(start_paused = true)]
async fn only_an_answer_sets_the_waits_back() {
    let mut gateway = Gateway::new();
    gateway.called().await;
    let mut waits = Vec::new();
    while !gateway.engine.list_expired() {
        waits.push(gateway.called_after_a_failure(at(0.0)).await);
    }
    waits.push(gateway.called_after_a_failure(at(0.0)).await);
    assert!(waits[0] >= Duration::from_millis(250) && waits[0] < Duration::from_millis(510), "{waits:?}");
    // Nothing is placed by now, and that is no reason to call more often.
    let last = waits.last().expect("several");
    assert!(waits.len() >= 4 && *last >= Duration::from_millis(1500), "{waits:?}");
    for _ in 0..8 {
        waits.push(gateway.called_after_a_failure(at(0.0)).await);
    }
    let most = Duration::from_millis(3010);
    assert!(waits.iter().all(|&wait| wait <= most), "6 s less a call of 3 s: {waits:?}");
    // An answer with nothing new is one, too, whether the list still stood or not.
    for stood in [false, true] {
        let now = gateway.now();
        gateway.engine.renew_list_lease(now, &mut Vec::new());
        let soon = gateway.called_after_a_failure(now).await;
        assert!(soon < Duration::from_millis(510), "{soon:?}, {stood}");
        let later = [gateway.called_after_a_failure(now).await, gateway.called_after_a_failure(now).await];
        assert!(later[1] >= Duration::from_millis(1000) && !gateway.engine.list_expired(), "{later:?}");
    }
}

// ---- Calls and watches --------------------------------------------------------------------

#[tokio::test]
async fn a_call_has_one_bound_from_its_begin_to_its_first_whole_object() {
    let service = Service::start().await;
    let mut follower = Follower::start(service.at, 41, 16);
    follower.ask();
    let mut call = service.call().await;
    call.say(&format!("{HEAD}5000\r\n{{\"index\":42,")).await;
    let came = call.came;
    let left = within("the end of the call", call.trickle(Duration::from_millis(100))).await.expect("left");
    let took = left - came;
    assert!(took > Duration::from_millis(3300) && took < Duration::from_millis(4500), "{took:?}");
    let ended = follower.ended().await;
    assert!(
        ended.end == WatchEnd::Failed && ended.ask && ended.in_step >= Duration::from_millis(3400),
        "{ended:?}"
    );
}

#[tokio::test]
async fn bytes_keep_no_watch_only_whole_objects_and_beats_do() {
    let service = Service::start().await;
    let mut follower = Follower::start(service.at, 0, 16);
    follower.ask();
    let mut call = service.call().await;
    call.tell(&list(1, true, &["a"])).await;
    // 3.2 s, as three beats keep it.
    for _ in 0..2 {
        sleep(Duration::from_millis(1600)).await;
        call.beat().await;
    }
    let last = Instant::now();
    call.say("5000\r\n{\"index\":42,").await;
    let left = within("the end of the watch", call.trickle(Duration::from_millis(100))).await.expect("left");
    assert!(
        left - last > HEARTBEAT_TIMEOUT - Duration::from_millis(100)
            && left - last < HEARTBEAT_TIMEOUT * 3 / 2,
        "{:?}",
        left - last
    );
    follower.news().await;
    follower.watching().await;
    let ended = follower.ended().await;
    assert!(ended.end == WatchEnd::Failed && ended.ask, "{ended:?}");
    assert!(ended.in_step >= HEARTBEAT_TIMEOUT && ended.in_step < HEARTBEAT_TIMEOUT * 3 / 2, "{ended:?}");
}

#[tokio::test]
async fn every_end_tells_how_long_ago_the_list_was_in_step() {
    let service = Service::start().await;
    let mut follower = Follower::start(service.at, 41, 16);
    let start = Instant::now();
    // A first call that fails, with a list from before: it is asked from there again.
    follower.ask();
    let mut call = service.call().await;
    assert_eq!(call.after, 41);
    call.say(BUSY).await;
    let ended = follower.ended().await;
    assert!(
        (ended.end, ended.ask) == (WatchEnd::Failed, true) && ended.in_step <= start.elapsed(),
        "{ended:?}"
    );
    // Answered with nothing new; the watch ends 0.3 s after.
    follower.ask();
    let mut call = service.call().await;
    assert_eq!(call.after, 41);
    let told = Instant::now();
    call.say(&format!("{HEAD}{}", chunk("\n"))).await;
    follower.watching().await;
    let heard = Instant::now();
    sleep(Duration::from_millis(300)).await;
    drop(call);
    let ended = follower.ended().await;
    assert_eq!((ended.end, ended.ask), (WatchEnd::Closed, true));
    assert!(ended.in_step >= Duration::from_millis(300) && ended.in_step <= told.elapsed(), "{ended:?}");
    // 503 and reset in turn: the same moment counts.
    for turn in 0..4 {
        follower.ask();
        let mut call = service.call().await;
        if turn % 2 == 0 {
            call.say(BUSY).await;
        } else {
            call.reset();
        }
        let ended = follower.ended().await;
        assert_eq!((ended.end, ended.ask), (WatchEnd::Failed, true));
        assert!(ended.in_step >= heard.elapsed() - Duration::from_millis(200), "{ended:?} in turn {turn}");
        assert!(ended.in_step <= told.elapsed(), "{ended:?} in turn {turn}");
    }
    // A watch that is reset has told what it told.
    follower.ask();
    let mut call = service.call().await;
    call.tell(&list(42, false, &["a"])).await;
    follower.news().await;
    follower.watching().await;
    call.reset();
    assert_eq!(follower.ended().await.end, WatchEnd::Closed);
    // Nobody listens.
    let (_socket, nobody) = nobody();
    follower.address.send_replace(nobody);
    assert_eq!(follower.ended().await.end, WatchEnd::ConnectionRefused);
}

#[tokio::test]
async fn what_the_old_discovery_told_is_void_once_the_move_is_taken() {
    let (old, new) = (Service::start().await, Service::start().await);
    // Room for a single report: the core is busy.
    let mut follower = Follower::start(old.at, 41, 1);
    follower.ask();
    let mut watch = old.call().await;
    watch.tell(&list(42, true, &["old"])).await;
    watch.say(&chunk(&format!("{}\n", list(43, false, &["older"])))).await;
    // The first is in the queue by now.
    let queued = async {
        while follower.reports.is_empty() {
            tokio::task::yield_now().await;
        }
    };
    within("a report in the queue", queued).await.expect("queued");
    follower.address.send_replace(new.at);
    watch.left().await;
    assert!(!new.is_called(), "not before the core has been told of the end");
    let report = follower.next().await;
    assert!(matches!(&report, DriverEvent::ListUpdated { update, .. } if update.index == 42), "{report:?}");
    assert!(follower.core.is_stale(&report), "told by the old, and heard after the move");
    let ended = follower.ended().await;
    assert_eq!((ended.end, ended.ask), (WatchEnd::Closed, false), "the new one is called unasked");
    let mut call = new.call().await;
    assert_eq!(call.after, 0, "versions of another service say nothing");
    call.tell(&list(3, true, &["new"])).await;
    let report = follower.next().await;
    assert!(matches!(&report, DriverEvent::ListUpdated { update, .. } if update.index == 3), "{report:?}");
    assert!(!follower.core.is_stale(&report));
    follower.watching().await;
    // Back to the first before anybody looked: what it told last was void, so it is asked for all, too.
    follower.address.send_replace(old.at);
    follower.address.send_replace(new.at);
    call.left().await;
    follower.ended().await;
    assert_eq!(new.call().await.after, 0);
}

#[tokio::test]
async fn a_move_before_the_first_call_leads_to_the_whole_list() {
    let (old, new) = (Service::start().await, Service::start().await);
    let follower = Follower::start(old.at, 41, 16);
    follower.address.send_replace(new.at);
    follower.ask();
    assert_eq!(new.call().await.after, 0, "the version that it began with is the old one's");
}

#[tokio::test]
async fn a_move_adds_no_second_chain_of_calls() {
    let (one, two) = (Service::start().await, Service::start().await);
    let mut follower = Follower::start(one.at, 0, 16);
    follower.ask();
    one.call().await.reset();
    assert!(follower.ended().await.ask);
    // The core waits before it asks again; meanwhile discovery moves, and is called at once.
    follower.address.send_replace(two.at);
    two.call().await.reset();
    assert!(!follower.ended().await.ask, "it will ask as it is");
    follower.ask();
    let mut call = two.call().await;
    // One that is out is given up for another, and never are two out.
    follower.address.send_replace(one.at);
    call.left().await;
    let ended = follower.ended().await;
    assert_eq!((ended.end, ended.ask), (WatchEnd::Failed, false));
    one.call().await.reset();
    assert!(follower.ended().await.ask, "now it has nothing left to wait for");
}

#[tokio::test]
async fn changes_by_a_discovery_that_began_anew_lead_to_the_whole_list() {
    let service = Service::start().await;
    let mut follower = Follower::start(service.at, 41, 16);
    follower.ask();
    let mut call = service.call().await;
    // Its versions are behind, so it has nothing new to say; then something changes.
    call.say(&format!("{HEAD}{}", chunk("\n"))).await;
    follower.watching().await;
    let beat = Instant::now();
    sleep(Duration::from_millis(300)).await;
    call.say(&chunk(&format!("{}\n", list(3, false, &["a"])))).await;
    assert_eq!(follower.news().await.index, 3, "what it says of a server is so");
    call.left().await;
    let ended = follower.ended().await;
    assert!(ended.end == WatchEnd::Failed && ended.ask, "{ended:?}");
    assert!(ended.in_step >= Duration::from_millis(300), "{ended:?}, and {:?} since a beat", beat.elapsed());
    follower.ask();
    let mut call = service.call().await;
    assert_eq!(call.after, 0);
    call.tell(&list(3, true, &["a", "b"])).await;
    assert!(follower.news().await.snapshot);
    follower.watching().await;
    // A whole list counts whatever its version.
    call.say(&chunk(&format!("{}\n", list(2, true, &["b"])))).await;
    assert_eq!(follower.news().await.index, 2);
    drop(call);
    assert_eq!(follower.ended().await.end, WatchEnd::Closed);
    follower.ask();
    assert_eq!(service.call().await.after, 2);
}

#[tokio::test]
async fn lists_are_read_indented_pipelined_and_one_byte_at_a_time() {
    let service = Service::start().await;
    let mut follower = Follower::start(service.at, 0, 16);
    follower.ask();
    let mut call = service.call().await;
    let (first, second) = (list(1, true, &["a", "b"]), list(2, false, &["b"]));
    // Two objects, beats and the begin of a third in chunks that end anywhere.
    let body = format!("{first:#}\n\n{second}\n\n\n{:#}\n", list(3, false, &["a"]));
    let (one, rest) = body.split_at(first.to_string().len() + 7);
    let text = format!("{HEAD}{}{}", chunk(one), chunk(rest));
    for byte in text.bytes() {
        call.stream.write_all(&[byte]).await.expect("a watch that is open");
        tokio::task::yield_now().await;
    }
    assert_eq!(follower.news().await.endpoints.len(), 2);
    follower.watching().await;
    for index in [2, 3] {
        assert_eq!(follower.news().await.index, index);
    }
    // All at once, and the end behind it.
    let (more, last) = (list(4, false, &["c"]), list(5, true, &["c"]));
    let text = format!("{}{}", chunk(&format!("{more}\n{last}")), chunk("\n\n"));
    call.say(&text).await;
    drop(call);
    for index in [4, 5] {
        assert_eq!(follower.news().await.index, index);
    }
    assert_eq!(follower.ended().await.end, WatchEnd::Closed);
}

#[tokio::test]
async fn what_stands_before_a_bad_line_has_been_told() {
    let service = Service::start().await;
    let mut follower = Follower::start(service.at, 0, 16);
    follower.ask();
    let mut call = service.call().await;
    let both = format!("{}\n{{\"index\":2,\"endpoints\":7}}\n", list(1, true, &["a"]));
    call.say(&format!("{HEAD}{}", chunk(&both))).await;
    assert_eq!(follower.news().await.index, 1);
    follower.watching().await;
    assert_eq!(follower.ended().await.end, WatchEnd::Failed);
    follower.ask();
    assert_eq!(service.call().await.after, 1);
}

#[tokio::test]
async fn the_core_hears_nothing_that_is_void() {
    let settings = json!({
        "azs": ["here"], "zone": "here", "balancers": 1, "discovery": "on_request", "tick": 0.005,
        "classes": [{"name": "meter", "aim": 0.4, "deadline": 3.0, "effect": "pure", "worth": 1.0}],
    });
    let config = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "5eed",
                        "settings": settings});
    let config = Config::from_json(config, |_| None).expect("a configuration");
    let ((subscribe, _asked), (datagrams, _sent)) = (mpsc::channel(1), mpsc::channel(1));
    let (_heirs, heir) = watch::channel(None);
    let lobby = PendingClients::new(config.capacity(0));
    let post = SiblingLink::new(lobby, None, PersistedState::default(), 0, ProcessState::default(), heir);
    let EventLoopParts { event_loop, handle, admin: _admin } =
        EventLoop::create(&config, subscribe, datagrams, post);
    let mut fleet = event_loop.server_addresses();
    let news = |name| serde_json::from_value(list(1, false, &[name])).expect("a list");
    let tells = async {
        // Both are in the queue before the core looks.
        handle.send(DriverEvent::ListUpdated { watch: handle.start_watch(), update: news("old") }).await;
        handle.send(DriverEvent::ListUpdated { watch: handle.start_watch(), update: news("new") }).await;
        let listed = within("a list", fleet.wait_for(|fleet| fleet.contains_key("new"))).await;
        let listed = listed.expect("in time").expect("a core that runs");
        assert!(!listed.contains_key("old"), "told before a later watch began, and heard after");
    };
    tokio::select! {
        biased;
        () = tells => {}
        () = event_loop.run(None) => panic!("a core that ends unasked"),
    }
}

// ---- The daemon ---------------------------------------------------------------------------

fn taken(fleet: &Fleet, server: usize) -> u64 {
    fleet.servers[server].seen.taken.load(std::sync::atomic::Ordering::Relaxed)
}

/// So many clients ask one after the other; those that stay, and how many were refused.
async fn place(daemon: &Daemon, many: u64) -> (Vec<LineClient>, usize) {
    let (mut clients, mut refused) = (Vec::new(), 0);
    for number in 0..many {
        let (client, answer) = LineClient::open(daemon.lines, number).await.expect("an answer");
        assert!(answer.starts_with("BUSY") || answer.starts_with("UP"), "{answer}");
        refused += usize::from(answer.starts_with("BUSY"));
        clients.push(client);
    }
    (clients, refused)
}

async fn start(service: &Service, servers: usize, options: Options) -> (Fleet, Daemon) {
    let mut fleet = Fleet::start(servers).await.expect("a fleet");
    fleet.discovery = service.at;
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &fleet, &options).await.expect("a daemon");
    (fleet, daemon)
}

/// Answers nothing, or 503 and resets in turn, for good.
fn answer_nothing(service: Service, refuses: bool) {
    tokio::spawn(async move {
        let mut calls = VecDeque::new();
        loop {
            let Ok((mut stream, _)) = service.listener.accept().await else { return };
            if refuses {
                let _ = stream.read(&mut [0; 512]).await;
                let _ = stream.write_all(if calls.len() % 2 == 0 { BUSY.as_bytes() } else { b"" }).await;
                stream.set_zero_linger().expect("a socket");
                calls.push_back(None);
            } else {
                calls.push_back(Some(stream));
            }
        }
    });
}

/// Placed on until shortly before 6 s after the last word, and not after.
async fn stands_for_six_seconds(daemon: &Daemon, last: Instant) {
    sleep_until(last + Duration::from_millis(5000)).await;
    let (_placed, refused) = place(daemon, 2).await;
    assert_eq!(refused, 0, "the list still stands");
    sleep_until(last + Duration::from_millis(6500)).await;
    let (_refused, refused) = place(daemon, 2).await;
    assert_eq!(refused, 2, "a change counts as told by now");
    daemon.says("discovery: endpoint list is older than 6 s").await.expect("a line for those on call");
}

#[tokio::test]
async fn six_seconds_after_a_reset_nothing_is_placed_while_calls_get_503_or_a_reset() {
    let service = Service::start().await;
    let (fleet, daemon) = start(&service, 2, Options::default()).await;
    let mut watch = service.call().await;
    watch.tell(&fleet.known()).await;
    watch.beat().await;
    let last = Instant::now();
    daemon.says("discovery: ").await.expect("an answer");
    watch.reset();
    answer_nothing(service, true);
    stands_for_six_seconds(&daemon, last).await;
}

#[tokio::test]
async fn six_seconds_after_its_start_a_process_that_was_never_answered_places_nothing() {
    let service = Service::start().await;
    let (_fleet, daemon) = start(&service, 2, Options::default()).await;
    let start = Instant::now();
    answer_nothing(service, false);
    stands_for_six_seconds(&daemon, start).await;
}

#[tokio::test]
async fn six_seconds_after_discovery_moved_to_one_that_never_answers_nothing_is_placed() {
    let (old, new) = (Service::start().await, Service::start().await);
    let (fleet, mut daemon) = start(&old, 2, Options::default()).await;
    let mut watch = old.call().await;
    watch.tell(&fleet.known()).await;
    watch.beat().await;
    let last = Instant::now();
    daemon.says("discovery: ").await.expect("an answer");
    daemon.reload("discovery", json!(new.at)).expect("a daemon that runs");
    watch.left().await;
    answer_nothing(new, false);
    stands_for_six_seconds(&daemon, last).await;
}

#[tokio::test]
async fn while_nothing_listens_no_change_can_have_been_told() {
    let service = Service::start().await;
    let (fleet, mut daemon) = start(&service, 2, Options::default()).await;
    let mut watch = service.call().await;
    watch.tell(&fleet.known()).await;
    daemon.says("discovery: ").await.expect("an answer");
    let (_socket, nobody) = nobody();
    daemon.reload("discovery", json!(nobody)).expect("a daemon that runs");
    watch.left().await;
    let left = Instant::now();
    sleep_until(left + Duration::from_millis(7500)).await;
    let (_placed, refused) = place(&daemon, 4).await;
    assert_eq!(refused, 0, "the last list stands");
}

/// Waits for the line that says that a watch from this version has begun.
async fn watching(daemon: &Daemon, at: SocketAddr, after: u64) {
    let line: &'static str = Box::leak(format!("discovery: watching {at} after version {after}:").into());
    daemon.says(line).await.expect("an answer");
}

#[tokio::test]
async fn a_drain_right_after_a_reset_a_server_that_is_gone_and_a_name_that_comes_back_elsewhere() {
    let service = Service::start().await;
    let (fleet, daemon) = start(&service, 3, Options::default()).await;
    // Two servers; the third takes the place of the first.
    let mut known = fleet.known();
    known["index"] = json!(5);
    known["endpoints"].as_array_mut().expect("entries").pop();
    let mut watch = service.call().await;
    watch.tell(&known).await;
    watching(&daemon, service.at, 1).await;
    let (_standing, refused) = place(&daemon, 8).await;
    assert!(refused == 0 && taken(&fleet, 0) > 0 && taken(&fleet, 1) > 0);
    // Reset, and then a drain: the next call tells it, indented.
    watch.reset();
    let mut watch = service.call().await;
    assert_eq!(watch.after, 5);
    known["index"] = json!(6);
    known["endpoints"][0]["status"] = json!("DRAINING");
    watch.say(&format!("{HEAD}{}", chunk(&format!("{known:#}\n")))).await;
    watching(&daemon, service.at, 5).await;
    let before = taken(&fleet, 0);
    let (_more, refused) = place(&daemon, 8).await;
    assert_eq!((refused, taken(&fleet, 0)), (0, before), "all go to the server that is not drained");
    // The whole list lacks it.
    watch.reset();
    let mut watch = service.call().await;
    let mut lacks = known.clone();
    lacks["index"] = json!(7);
    lacks["endpoints"].as_array_mut().expect("entries").remove(0);
    watch.tell(&lacks).await;
    watching(&daemon, service.at, 6).await;
    let (_more, refused) = place(&daemon, 8).await;
    assert_eq!((refused, taken(&fleet, 0)), (0, before));
    // It comes back at another address, begun a moment ago.
    watch.reset();
    let mut watch = service.call().await;
    known["index"] = json!(8);
    known["endpoints"][0]["status"] = json!("SERVING");
    known["endpoints"][0]["address"] = json!(fleet.servers[2].address);
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    known["endpoints"][0]["since_ms"] = json!(unix.as_millis() as u64 - 1_000);
    watch.tell(&known).await;
    watching(&daemon, service.at, 7).await;
    let other = taken(&fleet, 1);
    let (_more, refused) = place(&daemon, 8).await;
    assert_eq!((refused, taken(&fleet, 0)), (0, before), "nothing goes to the old address");
    let (new, more) = (taken(&fleet, 2), taken(&fleet, 1) - other);
    assert!(new < more, "it is cold: {new} there, {more} at the other");
    let used = async {
        while taken(&fleet, 2) == 0 {
            place(&daemon, 1).await;
            sleep(Duration::from_millis(50)).await;
        }
    };
    within("use of the new address", used).await.expect("used");
    assert_eq!(taken(&fleet, 0), before, "nothing goes to the old address");
}

#[tokio::test]
async fn a_call_finds_a_descriptor_when_clients_hold_all_others() {
    let service = Service::start().await;
    let (fleet, daemon) = start(&service, 2, Options { sockets: 100, ..Options::default() }).await;
    let mut watch = service.call().await;
    watch.tell(&fleet.known()).await;
    daemon.says("discovery: ").await.expect("an answer");
    let id = daemon.id().expect("it runs");
    let most = rustix::process::Rlimit { current: Some(100), maximum: Some(100) };
    let pid = rustix::process::Pid::from_raw(id.cast_signed());
    rustix::process::prlimit(pid, rustix::process::Resource::Nofile, most).expect("its limit");
    let mut idle = Vec::new();
    for _ in 0..160 {
        idle.push(within("a connection", TcpStream::connect(daemon.lines)).await.expect("in time"));
    }
    let open = || std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
    let filled = async {
        while open() < 70 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    within("a crowd", filled).await.expect("clients hold descriptors");
    for turn in 0..3 {
        watch.reset();
        watch = service.call().await;
        watch.tell(&fleet.known()).await;
        assert!(open() <= 100, "turn {turn}");
    }
}

// ---- The herd -----------------------------------------------------------------------------

const GATEWAYS: usize = 300;
const MILLISECOND: i64 = 1_000;
/// One call at a time, 60 a second; a call that has waited so long fails.
const SERVES_IN: i64 = 16_667;
const WAITS: i64 = 3_000 * MILLISECOND;
const NETWORK: i64 = MILLISECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Timer(usize, TimerToken),
    Call(usize),
    Served(usize),
    Waited(usize, i64),
    Answer(usize, bool),
}

/// Gateways that lose their watches in one instant, and one discovery.
struct Herd {
    gateways: Vec<Balancer>,
    vouching: Vec<ListLease>,
    /// When each was in step last before, and again.
    since: Vec<i64>,
    again: Vec<Option<i64>>,
    out: Vec<bool>,
    now: i64,
    due: BTreeMap<(i64, usize), Step>,
    queue: VecDeque<(usize, i64)>,
    busy: bool,
    down_until: i64,
    calls: Vec<(i64, usize)>,
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
            vouching: vec![ListLease::new(Time::from_micros(now)); GATEWAYS],
            since,
            again: vec![None; GATEWAYS],
            out: vec![false; GATEWAYS],
            now,
            due: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: false,
            down_until: now + down,
            calls: Vec::new(),
            ended: vec![now; GATEWAYS],
        };
        for gateway in 0..GATEWAYS {
            herd.vouching[gateway].renew();
            let entries = vec![EndpointEntry::ready(ServerId(0), ZoneId(0))];
            // The first subscription, which is none of this.
            let mut actions = Vec::new();
            let list = Event::EndpointList { update: ListUpdate::Snapshot, entries };
            herd.gateways[gateway].handle(Time::from_micros(now), list, &mut actions);
            herd.lose(gateway, WatchEnd::Closed);
        }
        herd
    }

    fn later(&mut self, after: i64, step: Step) {
        let number = self.due.len() + self.calls.len() * 1_000;
        let mut key = (self.now + after, number);
        while self.due.contains_key(&key) {
            key.1 += 1;
        }
        self.due.insert(key, step);
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { token, due_at: at } => {
                    let after = at.as_micros() - self.now;
                    self.later(after, Step::Timer(gateway, token));
                }
                Action::Subscribe => {
                    assert!(!std::mem::replace(&mut self.out[gateway], true), "two calls out");
                    let waited = self.now - self.ended[gateway];
                    assert!(waited <= WAITS, "a wait of {waited} us");
                    self.calls.push((self.now, gateway));
                    self.later(NETWORK, Step::Call(gateway));
                }
                other => panic!("nobody asked for {other:?}"),
            }
        }
    }

    fn lose(&mut self, gateway: usize, end: WatchEnd) {
        let (now, since) = (Time::from_micros(self.now), Time::from_micros(self.since[gateway]));
        self.vouching[gateway].handle_watch_end(now, since, end);
        self.ended[gateway] = self.now;
        self.tell(gateway, Event::EndpointList { update: ListUpdate::WatchFailed, entries: Vec::new() });
    }

    fn serve(&mut self) {
        if self.busy {
            return;
        }
        if let Some((gateway, _)) = self.queue.pop_front() {
            self.busy = true;
            self.later(SERVES_IN, Step::Served(gateway));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Timer(gateway, token) => self.tell(gateway, Event::Timer(token)),
            Step::Call(gateway) if self.now < self.down_until => {
                self.later(NETWORK, Step::Answer(gateway, false));
            }
            Step::Call(gateway) => {
                self.queue.push_back((gateway, self.now));
                self.later(WAITS, Step::Waited(gateway, self.now));
                self.serve();
            }
            Step::Served(gateway) => {
                self.busy = false;
                self.later(NETWORK, Step::Answer(gateway, true));
                self.serve();
            }
            Step::Waited(gateway, since) => {
                if let Some(place) = self.queue.iter().position(|&it| it == (gateway, since)) {
                    self.queue.remove(place);
                    self.later(NETWORK, Step::Answer(gateway, false));
                }
            }
            Step::Answer(gateway, well) => {
                self.out[gateway] = false;
                if well {
                    self.vouching[gateway].renew();
                    self.again[gateway] = Some(self.now);
                    let entries = vec![EndpointEntry::ready(ServerId(0), ZoneId(0))];
                    self.tell(gateway, Event::EndpointList { update: ListUpdate::Snapshot, entries });
                } else {
                    self.lose(gateway, WatchEnd::Failed);
                }
            }
        }
    }

    /// Until all are in step again, or 60 s. How long that took in seconds, how many calls, the most in 100 ms
    /// that were not a gateway's first, and the longest time that a gateway placed nothing.
    fn run(mut self) -> (f64, usize, usize, f64) {
        let start = self.now;
        while self.again.iter().any(Option::is_none) {
            let ((at, _), step) = self.due.pop_first().expect("a gateway out of step calls again");
            assert!(at < start + 60_000 * MILLISECOND, "not in step within a minute");
            self.now = at;
            self.step(step);
        }
        let again: Vec<i64> = self.again.iter().flatten().copied().collect();
        let took = (again.iter().max().expect("all") - start) as f64 / 1e6;
        let mut called = [false; GATEWAYS];
        let further = self.calls.iter().filter(|(_, it)| std::mem::replace(&mut called[*it], true));
        let further: Vec<i64> = further.map(|&(at, _)| at).collect();
        let within =
            |from: i64| further.iter().filter(|&&at| (from..from + 100 * MILLISECOND).contains(&at)).count();
        let most = further.iter().map(|&at| within(at)).max().unwrap_or(0);
        let without = again
            .iter()
            .zip(&self.since)
            .map(|(again, since)| again - since - MAX_LIST_STALENESS.as_micros());
        (took, self.calls.len(), most, without.max().expect("all").max(0) as f64 / 1e6)
    }
}

#[test]
fn gateways_that_lose_their_watches_together_do_not_call_in_step() {
    for seed in 1..=3 {
        let (took, calls, most, without) = Herd::new(seed, 0).run();
        println!(
            "reset: in step after {took:.1} s, {calls} calls, {most} in 100 ms, {without:.1} s unvouched"
        );
        assert!(took < 8.0 && calls < 2 * GATEWAYS && most < GATEWAYS / 6, "{took} s, {calls} calls, {most}");
        let (took, calls, most, without) = Herd::new(seed, 8_000 * MILLISECOND).run();
        println!(
            "8 s down: in step after {took:.1} s, {calls} calls, {most} in 100 ms, {without:.1} s unvouched"
        );
        assert!(
            took < 20.0 && calls < 8 * GATEWAYS && most < GATEWAYS / 2,
            "{took} s, {calls} calls, {most}"
        );
    }
}
