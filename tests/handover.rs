//! Upgrades of the daemon's binary in every order, with a stand-in for the process that must fail in time.

mod site;

use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use ashtide::handover::{PendingBytes, ProcessState, SiblingMessage};
use ashtide::net::connection_handoff::{HandoffReceiver, ReceivedConnection};
use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::within;
use futures_util::future::select_all;
use serde_json::json;
use site::{Attempt, Site, list};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::time::Instant;

/// SIGKILL comes no earlier after SIGTERM, with the deadline of 3 s that the daemon is told.
const KILLED: Duration = Duration::from_millis(3700);

/// When a stand-in says that it started: after everyone.
const LATER: u64 = u64::MAX / 2;

/// A successor that the test plays: it is met, ready, and receives where it says.
struct Successor {
    _link: UnixStream,
    inbox: HandoffReceiver,
    path: PathBuf,
}

fn sockets(site: &Site) -> Vec<PathBuf> {
    let all = std::fs::read_dir(&site.folder).expect("the folder").flatten().map(|it| it.path());
    all.filter(|path| path.extension().is_some_and(|it| it == "sock")).collect()
}

impl Successor {
    async fn of(site: &Site, daemon: &Daemon) -> Self {
        let path = site.folder.join(format!("ashtide.shared.{LATER}.inbox"));
        let inbox = HandoffReceiver::bind(&path).expect("bound");
        let mut link = UnixStream::connect(&sockets(site)[0]).await.expect("it listens");
        let state =
            ProcessState { rank: LATER, ready: true, adopts_connections: true, ..ProcessState::default() };
        link.write_all(&SiblingMessage::State(state).encode_line()).await.expect("told");
        daemon.says("handover: the successor accepts clients").await.expect("met");
        Self { _link: link, inbox, path }
    }
}

/// A daemon with connections that stand.
async fn standing(site: &Site, count: usize) -> (Daemon, Options, Vec<(LineClient, Attempt)>) {
    let (shared, at) = site.shared();
    let options = Options { shared: Some(shared), ..site.options(&json!({})) };
    let daemon = site.start(&options).await;
    let mut all = Vec::new();
    for _ in 0..count {
        all.push(site.standing(at).await);
    }
    (daemon, options, all)
}

/// All clients are told to move and the process ends well, before it is killed.
async fn all_moved(daemon: Daemon, clients: Vec<(LineClient, Attempt)>, asked: Instant) -> Vec<String> {
    for (mut client, _server) in clients {
        assert!(client.is_moved().await.expect("an end"), "cut off");
    }
    let (status, said) = daemon.end().await.expect("it ends");
    assert!(status.success() && asked.elapsed() < KILLED, "{status} after {:?}", asked.elapsed());
    said
}

#[tokio::test]
async fn a_successor_that_dies_before_it_takes_a_connection_costs_a_move() {
    let site = Site::new(2).await;
    let (daemon, _options, clients) = standing(&site, 6).await;
    let successor = Successor::of(&site, &daemon).await;
    // Its link is not seen to end before the passing has begun; its inbox' file is there, and nobody at it.
    drop(successor.inbox);
    assert!(successor.path.exists());
    let asked = Instant::now();
    daemon.terminate().expect("it runs");
    let said = all_moved(daemon, clients, asked).await;
    assert!(said.iter().any(|line| line == "handover: passes 6 connections to its successor"), "{said:?}");
}

#[tokio::test]
async fn a_successor_whose_queue_is_full_costs_a_move_in_time() {
    let site = Site::new(2).await;
    let (daemon, _options, clients) = standing(&site, 6).await;
    let successor = Successor::of(&site, &daemon).await;
    // What one sender may have under way is bounded, too: full is full for one that has sent nothing.
    let mut fillers = Vec::new();
    loop {
        let filler = UnixDatagram::unbound().expect("a socket");
        filler.set_nonblocking(true).expect("set");
        filler.connect(&successor.path).expect("it receives");
        let sent = std::iter::repeat_with(|| filler.send(b"x")).take_while(Result::is_ok).count();
        fillers.push(filler);
        if sent == 0 {
            break;
        }
        assert!(fillers.len() < 100, "a queue without end");
    }
    let asked = Instant::now();
    daemon.terminate().expect("it runs");
    let mut moved = Vec::new();
    for (mut client, server) in clients {
        assert!(client.is_moved().await.expect("an end"), "cut off");
        moved.push(asked.elapsed());
        drop(server);
    }
    // 0.8 s for room in the queue; the rest is the machine's.
    assert!(moved.iter().all(|&at| at < Duration::from_millis(2500)), "{moved:?}");
    all_moved(daemon, Vec::new(), asked).await;
}

#[tokio::test]
async fn what_was_read_behind_the_first_lines_goes_along() {
    let site = Site::new(1).await;
    let (shared, at) = site.shared();
    let daemon = site.start(&Options { shared: Some(shared), ..site.options(&json!({})) }).await;
    // Both sides say more than their first line at once, and stop half way through a line.
    let mut client = TcpStream::connect(at).await.expect("taken");
    client.write_all(b"OPEN 1 2 c=meter,d=3000,g=1\r\nearly\r\nhal").await.expect("heard");
    let mut server = site.attempt().await;
    server.stream.write_all(b"UP r\r\nfirst\r\nsec").await.expect("heard");
    // What is passed on before the hand-over, as far as it goes by lines.
    let mut seen = [0; 13];
    within("the answer", client.read_exact(&mut seen)).await.expect("in time").expect("read");
    assert_eq!(&seen, b"UP r\r\nfirst\r\n");
    let mut seen = [0; 7];
    within("the early line", server.stream.read_exact(&mut seen)).await.expect("in time").expect("read");
    assert_eq!(&seen, b"early\r\n");
    let successor = Successor::of(&site, &daemon).await;
    daemon.terminate().expect("it runs");
    let ReceivedConnection { connection: standing, client: to_client, server: to_server } =
        within("the connection", successor.inbox.receive()).await.expect("in time").expect("whole");
    let (status, _) = daemon.end().await.expect("it ends");
    assert!(status.success(), "{status}");
    // The rest of both streams: what was passed on, what goes along, and what comes later.
    let stream = |fd| {
        let stream = std::net::TcpStream::from(fd);
        stream.set_nonblocking(true).expect("set");
        TcpStream::from_std(stream).expect("a socket")
    };
    let ends = [
        (stream(to_client), &standing.to_client, &mut client, &b"sec"[..]),
        (stream(to_server), &standing.to_server, &mut server.stream, &b"hal"[..]),
    ];
    for (mut ours, PendingBytes { line_remainder: begun, read_ahead: behind }, theirs, half) in ends {
        for part in [&begun[..], &behind[..], b"ond\r\n"] {
            ours.write_all(part).await.expect("it stands");
        }
        let mut seen = vec![0; half.len() + 5];
        within("the rest", theirs.read_exact(&mut seen)).await.expect("in time").expect("read");
        assert_eq!(seen, [half, b"ond\r\n"].concat(), "{begun:?} {behind:?}");
    }
    assert_eq!(
        (&standing.server[..], &standing.open_line[..]),
        ("s-0", &b"OPEN 1 2 c=meter,d=3000,g=1\r\n"[..])
    );
}

#[tokio::test]
async fn a_drain_told_to_one_of_the_two_holds_at_the_other() {
    let site = Site::new(2).await;
    let addresses = site.addresses();
    let news = |index, first, second| {
        let news = list(index, &[(addresses[0], first), (addresses[1], second)]);
        SiblingMessage::List(serde_json::from_value(news).expect("a list")).encode_line()
    };
    let older = UnixListener::bind(site.folder.join("ashtide.shared.1.sock")).expect("bound");
    let state = || {
        SiblingMessage::State(ProcessState { rank: 1, ready: true, ..ProcessState::default() }).encode_line()
    };
    let first = [news(5, "SERVING", "DRAINING"), state()].concat();
    let met = tokio::spawn(async move {
        let (mut link, _) = older.accept().await.expect("met");
        link.write_all(&first).await.expect("told");
        link
    });
    // Discovery that cannot be reached: all it knows is the list it was given and what the older one tells.
    let (shared, at) = site.shared();
    let options = site.options(&json!({"discovery": "127.0.0.1:1"}));
    let daemon = site.start(&Options { shared: Some(shared), ..options }).await;
    let mut link = met.await.expect("met");
    let mut clients = Vec::new();
    for _ in 0..8 {
        let (client, attempt) = site.standing(at).await;
        assert_eq!(attempt.server, 0, "told at the meeting");
        clients.push((client, attempt));
    }
    link.write_all(&news(6, "DRAINING", "SERVING")).await.expect("told");
    let next = clients.iter_mut().map(|(client, _)| Box::pin(client.next()));
    let (moved, ..) = within("a MOVE", select_all(next)).await.expect("in time");
    assert_eq!(moved.expect("a line").as_deref(), Some("MOVE"));
    assert_eq!(site.standing(at).await.1.server, 1, "told later");
    drop(daemon);
}

#[tokio::test]
async fn a_cordon_called_at_either_is_known_to_both() {
    let site = Site::new(3).await;
    let (first, options, _clients) = standing(&site, 1).await;
    let second = site.start(&options).await;
    first.says("handover: the successor accepts clients").await.expect("met");
    assert!(first.call("cordon s-0").await.expect("an answer").starts_with("200"));
    second.says("operator: s-0 is out").await.expect("known");
    assert!(second.call("cordon s-1").await.expect("an answer").starts_with("200"));
    first.says("operator: s-1 is out").await.expect("known");
    assert!(second.call("uncordon s-0").await.expect("an answer").starts_with("200"));
    first.says("operator: s-0 is back").await.expect("known");
}

#[tokio::test]
async fn both_told_to_stop_at_once_move_everyone() {
    let site = Site::new(2).await;
    let (first, options, mut clients) = standing(&site, 8).await;
    let second = site.start(&options).await;
    first.says("handover: the successor accepts clients").await.expect("met");
    let at = options.shared.as_ref().expect("shared").listener.local_addr().expect("bound");
    for _ in 0..4 {
        clients.push(site.standing(at).await);
    }
    let asked = Instant::now();
    first.terminate().expect("it runs");
    second.terminate().expect("it runs");
    all_moved(first, clients, asked).await;
    all_moved(second, Vec::new(), asked).await;
    assert!(sockets(&site).is_empty(), "{:?}", sockets(&site));
}

#[tokio::test]
async fn an_older_process_that_hangs_keeps_nobody_waiting_and_hands_over_once_it_goes_on() {
    let site = Site::new(2).await;
    let (first, options, clients) = standing(&site, 4).await;
    let at = options.shared.as_ref().expect("shared").listener.local_addr().expect("bound");
    first.stall(true).expect("it runs");
    // Three more that say nothing: all are waited for at once.
    let mut silent = Vec::new();
    for number in 1..=3 {
        let path = site.folder.join(format!("ashtide.shared.{number}.sock"));
        silent.push(UnixListener::bind(path).expect("bound"));
    }
    let started = Instant::now();
    let second = site.start(&options).await;
    let took = started.elapsed();
    assert!(took < Duration::from_millis(1900), "{took:?}: one after the other");
    assert_eq!(
        second
            .said()
            .iter()
            .filter(|it| it.ends_with("handover: the previous process has sent no state in time"))
            .count(),
        4
    );
    let _new = site.standing(at).await;
    first.stall(false).expect("it runs");
    first.says("handover: the successor accepts clients").await.expect("met");
    first.terminate().expect("it runs");
    let (status, _) = first.end().await.expect("it ends");
    assert!(status.success(), "{status}");
    for (mut client, mut server) in clients {
        client.say("still").await.expect("it stands");
        let mut line = [0; 7];
        within("its line", server.stream.read_exact(&mut line)).await.expect("in time").expect("it stands");
        assert_eq!(&line, b"still\r\n");
    }
    drop(second);
}

#[tokio::test]
async fn a_stop_while_it_meets_one_that_says_nothing_ends_in_time() {
    let site = Site::new(1).await;
    let older = UnixListener::bind(site.folder.join("ashtide.n0.1.sock")).expect("bound");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
                        "settings": {"classes": [{"name": "meter", "deadline": 3.0}]}});
    let file = site.folder.join("config.json");
    std::fs::write(&file, config.to_string()).expect("written");
    let mut daemon = tokio::process::Command::from(Command::new(env!("CARGO_BIN_EXE_ashtide")))
        .env("ROUTER_CONFIG", &file)
        .env("TMPDIR", &site.folder)
        .env_remove("ROUTER_OPERATOR")
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts");
    let (_link, _) = within("a link", older.accept()).await.expect("in time").expect("met");
    let asked = Instant::now();
    let id = daemon.id().and_then(|id| rustix::process::Pid::from_raw(id as i32)).expect("it runs");
    rustix::process::kill_process(id, rustix::process::Signal::TERM).expect("it runs");
    let status = within("its end", daemon.wait()).await.expect("in time").expect("an end");
    assert!(status.success() && asked.elapsed() < KILLED, "{status} after {:?}", asked.elapsed());
}

#[tokio::test]
async fn a_word_without_its_sender_is_an_older_versions_and_is_taken() {
    let site = Site::new(2).await;
    let (daemon, _options, _clients) = standing(&site, 1).await;
    let mut link = UnixStream::connect(&sockets(&site)[0]).await.expect("it listens");
    let word = r#"{"state":{"started":7,"ready":true,"cordons":{"s-0":{"at":9,"out":true}}}}"#;
    link.write_all(format!("{word}\n").as_bytes()).await.expect("told");
    daemon.says("operator: s-0 is out").await.expect("taken");
}
