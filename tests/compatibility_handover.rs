//! What processes of one gateway write for each other and keep for their successors: bytes and readings of the
//! versions that are in use.

mod transcripts;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::os::fd::AsFd as _;
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;

use ashtide::discovery::EndpointList;
use ashtide::handover::{
    CordonChange, Cordons, Deployment, EstablishedConnection, PendingBytes, PersistedState, ProcessState,
    ServerUsage, SiblingMessage, SiblingMessageCodec,
};
use ashtide::net::connection_handoff::{HandoffReceiver, ReceivedConnection, Successor};
use ashtide::net::handover::{CLOCK_OFFSET_VARIABLE, StateFolder};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;
use transcripts::{assert_outcomes, assert_written, bytes, escape, unescape};

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn deployment() -> Deployment {
    Deployment {
        name: "north/1 \"a\"".to_owned(),
        listen_address: Some("10.0.0.1:8080".parse().expect("an address")),
        listener_inode: Some(4_211),
        classes: names(&["read", "pay"]),
        tenants: names(&["acme"]),
    }
}

fn cordons() -> Cordons {
    let mut cordons = Cordons::default();
    cordons.record("s-1", CordonChange { timestamp: 1_800_000_000_000_000, cordoned: true });
    cordons.record("s-0", CordonChange { timestamp: 5, cordoned: true });
    cordons.record("s-0", CordonChange { timestamp: 6, cordoned: false });
    cordons.record("s-0", CordonChange { timestamp: 4, cordoned: true });
    cordons.record_now("s-2", 7, true);
    cordons.record_now("s-2", 3, false);
    cordons.record_now("s-2", 3, true);
    cordons
}

fn state() -> ProcessState {
    let share = ServerUsage {
        open_connections: 3,
        recovery_tokens: 0.5,
        last_used_permit: 7,
        last_granted_permit: 9,
    };
    ProcessState {
        deployment: Some(deployment()),
        rank: 1_800_000_000_000_001,
        ready: true,
        adopts_connections: true,
        restore_phase_over: true,
        descriptors: 40,
        server_usage: BTreeMap::from([("s-1".to_owned(), share), ("s-0".to_owned(), ServerUsage::default())]),
        cordons: cordons(),
    }
}

fn list() -> EndpointList {
    serde_json::from_str(
        r#"{"index": 9, "snapshot": true, "endpoints": [
            {"name": "s-0", "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1, "status": "DRAINING",
             "weight": 1.5, "since_ms": 7},
            {"name": "s-1", "address": "[::1]:9", "status": "SERVING"},
            {"name": "s-2", "address": "127.0.0.1:10", "status": "DELETED"}]}"#,
    )
    .expect("a list")
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

fn joined(names: &BTreeSet<String>) -> String {
    names.iter().map(|name| format!("[{name}]")).collect()
}

fn encode_deployment(whose: Option<&Deployment>) -> String {
    let Some(Deployment { name, listen_address: listen, listener_inode: socket, classes, tenants }) = whose
    else {
        return "none".to_owned();
    };
    let listen = listen.map_or("none".to_owned(), |listen| listen.to_string());
    let socket = socket.map_or("none".to_owned(), |socket| socket.to_string());
    format!("{name} listen {listen} socket {socket} classes {} tenants {}", joined(classes), joined(tenants))
}

fn encode_cordons(cordons: &Cordons) -> String {
    format!("{} out {}", json(cordons), cordons.cordoned_servers().collect::<Vec<_>>().join(" "))
}

fn encode_kept(kept: &PersistedState) -> String {
    let PersistedState { deployment: whose, restore_phase_over: begun, cordons } = kept;
    let whose = encode_deployment(whose.as_ref());
    format!("deployment {whose}\nbegun {begun}\ncordons {}", encode_cordons(cordons))
}

fn encode_word(word: &SiblingMessage) -> String {
    match word {
        SiblingMessage::List(list) => {
            let mut text = format!("list index {} snapshot {}", list.index, list.snapshot);
            for it in &list.endpoints {
                let _ = write!(text, "\n{} {} {} {}", it.name, it.address, it.zone, it.kind);
                let _ = write!(text, " {} {} {} {}", it.cell, json(&it.status), it.weight, it.since_ms);
            }
            text
        }
        SiblingMessage::State(state) => {
            let ProcessState {
                deployment: whose,
                rank: started,
                ready,
                adopts_connections: adopts,
                restore_phase_over: begun,
                descriptors: sockets,
                server_usage: shares,
                cordons,
            } = state;
            let mut text = format!("state deployment {}\n", encode_deployment(whose.as_ref()));
            let _ = write!(
                text,
                "started {started} ready {ready} adopts {adopts} begun {begun} sockets {sockets}"
            );
            for (
                server,
                ServerUsage {
                    open_connections: open,
                    recovery_tokens: budget,
                    last_used_permit: spent,
                    last_granted_permit: granted,
                },
            ) in shares
            {
                let _ =
                    write!(text, "\n{server} open {open} budget {budget} spent {spent} granted {granted}");
            }
            text + "\ncordons " + &encode_cordons(cordons)
        }
    }
}

fn encode_standing(standing: &EstablishedConnection) -> String {
    let EstablishedConnection { server, open_line: open, to_client, to_server } = standing;
    let mut text = format!("server {}\nopen {}", escape(server.as_bytes()), escape(open));
    for PendingBytes { line_remainder: begun, read_ahead: behind } in [to_client, to_server] {
        let _ = write!(text, "\nbegun {}\nbehind {}", escape(begun), escape(behind));
    }
    text
}

fn read_words(input: &[u8]) -> String {
    let mut codec = SiblingMessageCodec::default();
    let mut buffer = BytesMut::from(input);
    let mut text = String::new();
    loop {
        match codec.decode_eof(&mut buffer) {
            Ok(Some(word)) => text += &(encode_word(&word) + "\n"),
            Ok(None) => return text + &format!("rest {}", escape(&buffer)),
            Err(error) => return text + &format!("error {error}"),
        }
    }
}

/// A folder of the test's own, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(topic: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-fixed-{topic}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn files(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).expect("the folder").flatten();
        let mut files: Vec<String> =
            entries.map(|entry| entry.file_name().into_string().expect("a plain name")).collect();
        files.sort();
        files
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_state_file_has_its_name_and_its_bytes() {
    let folder = Folder::new("written");
    let place = StateFolder::for_deployment(&folder.0, deployment());
    place
        .store(&PersistedState { deployment: None, restore_phase_over: true, cordons: cordons() })
        .expect("kept");
    assert_eq!(folder.files(), ["ashtide.north_1__a_.kept"]);
    let written = std::fs::read(folder.0.join("ashtide.north_1__a_.kept")).expect("written");
    assert_written("handover/state_file.json", &written);
    let read = place.load();
    assert_eq!(
        encode_kept(&read),
        encode_kept(&PersistedState {
            deployment: Some(deployment()),
            restore_phase_over: true,
            cordons: cordons()
        })
    );
    // Another deployment of the same name keeps its own beside it.
    let other =
        Deployment { listen_address: Some("10.0.0.2:8080".parse().expect("an address")), ..deployment() };
    let other = StateFolder::for_deployment(&folder.0, Deployment { listener_inode: None, ..other });
    other.store(&PersistedState::default()).expect("kept");
    assert_eq!(folder.files(), ["ashtide.north_1__a_.2.kept", "ashtide.north_1__a_.kept"]);
    let written = std::fs::read(folder.0.join("ashtide.north_1__a_.2.kept")).expect("written");
    assert_written("handover/second_state_file.json", &written);
}

#[test]
fn state_files_of_all_versions_are_read() {
    assert_outcomes("handover/state_files.txt", 30, |input| {
        match serde_json::from_slice::<PersistedState>(&unescape(input)) {
            Ok(kept) => encode_kept(&kept),
            Err(error) => format!("error {error}"),
        }
    });
}

#[test]
fn a_state_file_that_does_not_say_whose_it_is_is_taken() {
    let folder = Folder::new("older");
    let place = StateFolder::for_deployment(&folder.0, deployment());
    let file = folder.0.join("ashtide.north_1__a_.kept");
    let older = r#"{"begun":true,"cordons":{"s-0":{"at":9,"out":true}}}"#;
    std::fs::write(&file, older).expect("written");
    let kept = place.load();
    assert!(kept.restore_phase_over && kept.cordons.is_cordoned("s-0") && kept.deployment.is_none());
    std::fs::write(&file, &older[..20]).expect("written");
    assert_eq!(encode_kept(&place.load()), encode_kept(&PersistedState::default()));
}

#[tokio::test]
async fn the_files_of_a_process_have_their_names() {
    let folder = Folder::new("names");
    let place = StateFolder::for_gateway(&folder.0, "north/1");
    assert!(place.bind_handoff_receiver(17).is_some());
    assert_eq!(folder.files(), ["ashtide.north_1.17.inbox"]);
    assert_eq!(place.file_path("generation"), folder.0.join("ashtide.north_1.generation"));
    let later = u64::MAX - (1 << 40);
    std::fs::write(folder.0.join(format!("ashtide.north_1.{later}.sock")), "").expect("written");
    std::fs::write(folder.0.join(format!("ashtide.north_1.{}.inbox", u64::MAX)), "").expect("written");
    assert_eq!(place.next_rank(), later + 1 + u64::from(std::process::id()));
    place.remove_sockets(17);
    place.remove_sockets(later);
    assert_eq!(folder.files(), [format!("ashtide.north_1.{}.inbox", u64::MAX)]);
    assert_eq!(CLOCK_OFFSET_VARIABLE, "ASHTIDE_CLOCK_OFFSET_MS");
}

#[test]
fn messages_between_processes_have_their_bytes() {
    let words = [
        SiblingMessage::List(list()),
        SiblingMessage::State(state()),
        SiblingMessage::State(ProcessState::default()),
    ];
    let lines: Vec<u8> = words.iter().flat_map(|word| word.encode_line().to_vec()).collect();
    assert_written("handover/messages.jsonl", &lines);
    let expected = words.iter().map(|word| encode_word(word) + "\n").collect::<String>() + "rest ";
    assert_eq!(read_words(&bytes("handover/messages.jsonl")), expected);
}

#[test]
fn messages_of_all_versions_are_read() {
    assert_outcomes("handover/messages.txt", 33, |input| read_words(&unescape(input)));
}

#[test]
fn a_message_that_is_too_long_is_an_error() {
    assert_eq!(read_words(&vec![b'x'; 1 << 20]), "error over 1048576 bytes");
    let longest = [vec![b'7'; (1 << 20) - 1], b"\n".to_vec()].concat();
    assert!(read_words(&longest).starts_with("error expected value at "), "{}", read_words(&longest));
    let longer = [vec![b'7'; 1 << 20], b"\n".to_vec()].concat();
    assert_eq!(read_words(&longer), "error over 1048576 bytes");
}

fn standing() -> EstablishedConnection {
    EstablishedConnection {
        server: "s-\n0".to_owned(),
        open_line: Bytes::from_static(b"OPEN 1 2 c=meter,d=3000,g=1\r\n"),
        to_client: PendingBytes {
            line_remainder: Bytes::from_static(b"beg"),
            read_ahead: Bytes::from_static(b"said\nby the server"),
        },
        to_server: PendingBytes {
            line_remainder: Bytes::from_static(b""),
            read_ahead: Bytes::from_static(b"\x00\xff{}"),
        },
    }
}

#[test]
fn a_connection_that_is_handed_on_has_its_bytes() {
    let datagram = standing().encode().expect("short enough");
    assert_written("handover/connection.bin", &datagram);
    let read = EstablishedConnection::decode(Bytes::from(bytes("handover/connection.bin"))).expect("read");
    assert_eq!(encode_standing(&read), encode_standing(&standing()));
    let empty = EstablishedConnection::default().encode().expect("short enough");
    assert_written("handover/empty_connection.bin", &empty);
    let with = |length| {
        EstablishedConnection { open_line: vec![b'x'; length].into(), ..EstablishedConnection::default() }
            .encode()
    };
    // The head has 40 bytes, with the five digits of the one length.
    assert_eq!((with(65_536 - 40).map(|it| it.len()), with(65_536 - 39)), (Some(65_536), None));
}

#[test]
fn connections_that_were_handed_on_are_read() {
    assert_outcomes("handover/connections.txt", 18, |input| {
        match EstablishedConnection::decode(unescape(input).into()) {
            Ok(standing) => encode_standing(&standing),
            Err(error) => format!("error {error}"),
        }
    });
}

#[tokio::test]
async fn a_connection_is_one_datagram_with_two_descriptors_beside_it() {
    let folder = Folder::new("passed");
    let path = folder.0.join("raw");
    let raw = UnixDatagram::bind(&path).expect("bound");
    let heir = Successor::connect(&path, 7).expect("connected");
    let (one, two) = UnixDatagram::pair().expect("a pair");
    let datagram = standing().encode().expect("short enough");
    heir.hand_off(&datagram, [one.as_fd(), two.as_fd()]).await.expect("taken");
    let mut received = vec![0; 1 << 17];
    let length = raw.recv(&mut received).expect("a datagram");
    assert_eq!(&received[..length], &bytes("handover/connection.bin")[..]);

    let path = folder.0.join("inbox");
    let inbox = HandoffReceiver::bind(&path).expect("bound");
    let heir = Successor::connect(&path, 8).expect("connected");
    heir.hand_off(&bytes("handover/connection.bin"), [one.as_fd(), two.as_fd()]).await.expect("taken");
    let ReceivedConnection { connection: read, client: first, server: second } =
        inbox.receive().await.expect("whole");
    assert_eq!(encode_standing(&read), encode_standing(&standing()));
    // The client's socket is the first: what is written to it comes out at the second one's end.
    UnixDatagram::from(first).send(b"to the server's end").expect("sent");
    let length = UnixDatagram::from(second).recv(&mut received).expect("a datagram");
    assert_eq!(&received[..length], b"to the server's end");

    let sender = UnixDatagram::unbound().expect("a socket");
    sender.connect(&path).expect("connected");
    let mut errors = String::new();
    for datagram in [&bytes("handover/connection.bin")[..], b"no head", b"{}\n"] {
        sender.send(datagram).expect("sent");
        let error = inbox.receive().await.expect_err("no connection");
        errors += &format!("{} {error}\n", error.kind());
    }
    assert_written("handover/receive_errors.txt", errors.as_bytes());
}
