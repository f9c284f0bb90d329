//! Compatibility of the messages, handoff datagrams and state files that processes of one gateway exchange:
//! their bytes, and how those of all versions in use are decoded.

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

fn name_set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn deployment() -> Deployment {
    Deployment {
        name: "north/1 \"a\"".to_owned(),
        listen_address: Some("10.0.0.1:8080".parse().expect("valid address")),
        listener_inode: Some(4_211),
        classes: name_set(&["read", "pay"]),
        tenants: name_set(&["acme"]),
    }
}

/// Returns cordons with changes that are recorded out of order and after the clock was stepped back.
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

fn process_state() -> ProcessState {
    let usage = ServerUsage {
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
        server_usage: BTreeMap::from([("s-1".to_owned(), usage), ("s-0".to_owned(), ServerUsage::default())]),
        cordons: cordons(),
        open_id_changes: Box::default(),
    }
}

fn endpoint_list() -> EndpointList {
    serde_json::from_str(
        r#"{"index": 9, "snapshot": true, "endpoints": [
            {"name": "s-0", "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1,
             "status": "DRAINING", "weight": 1.5, "since_ms": 7},
            {"name": "s-1", "address": "[::1]:9", "status": "SERVING"},
            {"name": "s-2", "address": "127.0.0.1:10", "status": "DELETED"}]}"#,
    )
    .expect("valid endpoint list")
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("serializable value")
}

fn format_names(names: &BTreeSet<String>) -> String {
    names.iter().map(|name| format!("[{name}]")).collect()
}

/// Formats a deployment as in the fixtures.
fn format_deployment(deployment: Option<&Deployment>) -> String {
    let Some(Deployment { name, listen_address, listener_inode, classes, tenants }) = deployment else {
        return "none".to_owned();
    };
    let address = listen_address.map_or("none".to_owned(), |address| address.to_string());
    let inode = listener_inode.map_or("none".to_owned(), |inode| inode.to_string());
    let (classes, tenants) = (format_names(classes), format_names(tenants));
    format!("{name} listen {address} socket {inode} classes {classes} tenants {tenants}")
}

/// Formats cordons as in the fixtures.
fn format_cordons(cordons: &Cordons) -> String {
    format!("{} out {}", to_json(cordons), cordons.cordoned_servers().collect::<Vec<_>>().join(" "))
}

/// Formats the contents of a state file as in the fixtures.
fn format_persisted_state(state: &PersistedState) -> String {
    let PersistedState { deployment, restore_phase_over, cordons } = state;
    let deployment = format_deployment(deployment.as_ref());
    format!("deployment {deployment}\nbegun {restore_phase_over}\ncordons {}", format_cordons(cordons))
}

/// Formats a message as in the fixtures.
fn format_message(message: &SiblingMessage) -> String {
    match message {
        SiblingMessage::List(list) => {
            let mut text = format!("list index {} snapshot {}", list.index, list.snapshot);
            for entry in &list.endpoints {
                let status = to_json(&entry.status);
                let _ = write!(text, "\n{} {} {} {}", entry.name, entry.address, entry.zone, entry.kind);
                let _ = write!(text, " {} {status} {} {}", entry.cell, entry.weight, entry.since_ms);
            }
            text
        }
        SiblingMessage::State(state) => {
            let ProcessState {
                deployment,
                rank,
                ready,
                adopts_connections,
                restore_phase_over,
                descriptors,
                server_usage,
                cordons,
                open_id_changes,
            } = state;
            assert!(open_id_changes.is_empty(), "the recorded versions send no ids");
            let mut text = format!("state deployment {}\n", format_deployment(deployment.as_ref()));
            let _ = write!(text, "started {rank} ready {ready} adopts {adopts_connections}");
            let _ = write!(text, " begun {restore_phase_over} sockets {descriptors}");
            for (server, usage) in server_usage {
                let ServerUsage { open_connections, recovery_tokens, last_used_permit, last_granted_permit } =
                    usage;
                let _ = write!(text, "\n{server} open {open_connections} budget {recovery_tokens}");
                let _ = write!(text, " spent {last_used_permit} granted {last_granted_permit}");
            }
            text + "\ncordons " + &format_cordons(cordons)
        }
    }
}

/// Formats an established connection as in the fixtures.
fn format_connection(connection: &EstablishedConnection) -> String {
    let EstablishedConnection { server, open_line, to_client, to_server } = connection;
    let mut text = format!("server {}\nopen {}", escape(server.as_bytes()), escape(open_line));
    for PendingBytes { line_remainder, read_ahead } in [to_client, to_server] {
        let _ = write!(text, "\nbegun {}\nbehind {}", escape(line_remainder), escape(read_ahead));
    }
    text
}

/// Decodes the messages of a stream and formats them and the undecoded rest, or the error, as in the
/// fixtures.
fn decode_messages(input: &[u8]) -> String {
    let mut codec = SiblingMessageCodec::default();
    let mut buffer = BytesMut::from(input);
    let mut text = String::new();
    loop {
        match codec.decode_eof(&mut buffer) {
            Ok(Some(message)) => text += &(format_message(&message) + "\n"),
            Ok(None) => return text + &format!("rest {}", escape(&buffer)),
            Err(error) => return text + &format!("error {error}"),
        }
    }
}

/// Temporary folder of a test, which is removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(test_name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-fixed-{test_name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("created folder");
        Self(path)
    }

    /// Returns the names of all files, sorted.
    fn file_names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).expect("readable folder").flatten();
        let mut names: Vec<String> =
            entries.map(|entry| entry.file_name().into_string().expect("UTF-8 name")).collect();
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_state_file_is_named_and_encoded_as_recorded() {
    let folder = Folder::new("written");
    let state_folder = StateFolder::for_deployment(&folder.0, deployment());
    state_folder
        .store(&PersistedState { deployment: None, restore_phase_over: true, cordons: cordons() })
        .expect("stored state");
    assert_eq!(folder.file_names(), ["ashtide.north_1__a_.kept"]);
    let written = std::fs::read(folder.0.join("ashtide.north_1__a_.kept")).expect("state file");
    assert_written("handover/state_file.json", &written);
    let loaded = state_folder.load();
    assert_eq!(
        format_persisted_state(&loaded),
        format_persisted_state(&PersistedState {
            deployment: Some(deployment()),
            restore_phase_over: true,
            cordons: cordons()
        })
    );
    // Another deployment of the same name has its own file in the same folder.
    let other_deployment = Deployment {
        listen_address: Some("10.0.0.2:8080".parse().expect("valid address")),
        listener_inode: None,
        ..deployment()
    };
    let other_state_folder = StateFolder::for_deployment(&folder.0, other_deployment);
    other_state_folder.store(&PersistedState::default()).expect("stored state");
    assert_eq!(folder.file_names(), ["ashtide.north_1__a_.2.kept", "ashtide.north_1__a_.kept"]);
    let written = std::fs::read(folder.0.join("ashtide.north_1__a_.2.kept")).expect("second state file");
    assert_written("handover/second_state_file.json", &written);
}

#[test]
fn state_files_of_all_versions_decode_as_recorded() {
    assert_outcomes("handover/state_files.txt", 30, |input| {
        match serde_json::from_slice::<PersistedState>(&unescape(input)) {
            Ok(state) => format_persisted_state(&state),
            Err(error) => format!("error {error}"),
        }
    });
}

#[test]
fn a_state_file_without_a_deployment_is_loaded() {
    let folder = Folder::new("older");
    let state_folder = StateFolder::for_deployment(&folder.0, deployment());
    let file = folder.0.join("ashtide.north_1__a_.kept");
    let older_version = r#"{"begun":true,"cordons":{"s-0":{"at":9,"out":true}}}"#;
    std::fs::write(&file, older_version).expect("written file");
    let loaded = state_folder.load();
    assert!(loaded.restore_phase_over && loaded.cordons.is_cordoned("s-0") && loaded.deployment.is_none());
    // A truncated file is ignored.
    std::fs::write(&file, &older_version[..20]).expect("written file");
    assert_eq!(
        format_persisted_state(&state_folder.load()),
        format_persisted_state(&PersistedState::default())
    );
}

#[tokio::test]
async fn the_files_of_a_process_are_named_as_recorded() {
    let folder = Folder::new("names");
    let state_folder = StateFolder::for_gateway(&folder.0, "north/1");
    assert!(state_folder.bind_handoff_receiver(17).is_some());
    assert_eq!(folder.file_names(), ["ashtide.north_1.17.inbox"]);
    assert_eq!(state_folder.file_path("generation"), folder.0.join("ashtide.north_1.generation"));
    // The next rank is above that of every sibling socket, but handoff sockets (`.inbox`) do not count.
    let high_rank = u64::MAX - (1 << 40);
    std::fs::write(folder.0.join(format!("ashtide.north_1.{high_rank}.sock")), "").expect("written file");
    std::fs::write(folder.0.join(format!("ashtide.north_1.{}.inbox", u64::MAX)), "").expect("written file");
    assert_eq!(state_folder.next_rank(), high_rank + 1 + u64::from(std::process::id()));
    state_folder.remove_sockets(17);
    state_folder.remove_sockets(high_rank);
    assert_eq!(folder.file_names(), [format!("ashtide.north_1.{}.inbox", u64::MAX)]);
    assert_eq!(CLOCK_OFFSET_VARIABLE, "ASHTIDE_CLOCK_OFFSET_MS");
}

#[test]
fn messages_are_encoded_as_recorded() {
    let messages = [
        SiblingMessage::List(endpoint_list()),
        SiblingMessage::State(process_state()),
        SiblingMessage::State(ProcessState::default()),
    ];
    let lines: Vec<u8> = messages.iter().flat_map(|message| message.encode_line().to_vec()).collect();
    assert_written("handover/messages.jsonl", &lines);
    let expected =
        messages.iter().map(|message| format_message(message) + "\n").collect::<String>() + "rest ";
    assert_eq!(decode_messages(&bytes("handover/messages.jsonl")), expected);
}

#[test]
fn messages_of_all_versions_decode_as_recorded() {
    assert_outcomes("handover/messages.txt", 33, |input| decode_messages(&unescape(input)));
}

#[test]
fn a_message_that_is_too_long_is_an_error() {
    assert_eq!(decode_messages(&vec![b'x'; 1 << 20]), "error sibling message exceeds 1048576 bytes");
    let longest_allowed = [vec![b'7'; (1 << 20) - 1], b"\n".to_vec()].concat();
    let outcome = decode_messages(&longest_allowed);
    assert!(outcome.starts_with("error sibling message is invalid: expected value at "), "{outcome}");
    let too_long = [vec![b'7'; 1 << 20], b"\n".to_vec()].concat();
    assert_eq!(decode_messages(&too_long), "error sibling message exceeds 1048576 bytes");
}

fn established_connection() -> EstablishedConnection {
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
fn a_handoff_datagram_is_encoded_as_recorded() {
    let datagram = established_connection().encode().expect("within the maximum length");
    assert_written("handover/connection.bin", &datagram);
    let decoded =
        EstablishedConnection::decode(Bytes::from(bytes("handover/connection.bin"))).expect("valid datagram");
    assert_eq!(format_connection(&decoded), format_connection(&established_connection()));
    let empty = EstablishedConnection::default().encode().expect("within the maximum length");
    assert_written("handover/empty_connection.bin", &empty);
    let encode_open_line = |length| {
        EstablishedConnection { open_line: vec![b'x'; length].into(), ..EstablishedConnection::default() }
            .encode()
    };
    // The header has 40 bytes, including the five digits of the length of the `OPEN` line.
    assert_eq!(
        (encode_open_line(65_536 - 40).map(|datagram| datagram.len()), encode_open_line(65_536 - 39)),
        (Some(65_536), None)
    );
}

#[test]
fn handoff_datagrams_of_all_versions_decode_as_recorded() {
    assert_outcomes("handover/connections.txt", 18, |input| {
        match EstablishedConnection::decode(unescape(input).into()) {
            Ok(connection) => format_connection(&connection),
            Err(error) => format!("error {error}"),
        }
    });
}

#[tokio::test]
async fn a_handoff_is_one_datagram_with_two_descriptors() {
    let folder = Folder::new("passed");
    let path = folder.0.join("raw");
    let raw_receiver = UnixDatagram::bind(&path).expect("bound socket");
    let successor = Successor::connect(&path, 7).expect("connected successor");
    let (client_socket, server_socket) = UnixDatagram::pair().expect("socket pair");
    let datagram = established_connection().encode().expect("within the maximum length");
    successor
        .hand_off(&datagram, [client_socket.as_fd(), server_socket.as_fd()])
        .await
        .expect("sent handoff");
    let mut received = vec![0; 1 << 17];
    let length = raw_receiver.recv(&mut received).expect("received datagram");
    assert_eq!(&received[..length], &bytes("handover/connection.bin")[..]);

    let path = folder.0.join("inbox");
    let receiver = HandoffReceiver::bind(&path).expect("bound handoff socket");
    let successor = Successor::connect(&path, 8).expect("connected successor");
    successor
        .hand_off(&bytes("handover/connection.bin"), [client_socket.as_fd(), server_socket.as_fd()])
        .await
        .expect("sent handoff");
    let ReceivedConnection { connection, client, server } = receiver.receive().await.expect("valid handoff");
    assert_eq!(format_connection(&connection), format_connection(&established_connection()));
    // The first descriptor is the client's. The two sockets are a pair, so the server's receives what the
    // client's sends.
    UnixDatagram::from(client).send(b"to the server's end").expect("sent datagram");
    let length = UnixDatagram::from(server).recv(&mut received).expect("received datagram");
    assert_eq!(&received[..length], b"to the server's end");

    // Datagrams without descriptors are errors, as are those with a malformed header.
    let sender = UnixDatagram::unbound().expect("datagram socket");
    sender.connect(&path).expect("connected handoff socket");
    let mut errors = String::new();
    for datagram in [&bytes("handover/connection.bin")[..], b"no head", b"{}\n"] {
        sender.send(datagram).expect("sent datagram");
        let error = receiver.receive().await.expect_err("invalid handoff");
        errors += &format!("{} {error}\n", error.kind());
    }
    assert_written("handover/receive_errors.txt", errors.as_bytes());
}
