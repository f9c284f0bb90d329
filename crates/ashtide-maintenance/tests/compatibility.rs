//! Compatibility of messages, stored files and operator-facing texts with fixtures from earlier builds.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_fleet::state::Slot;
use ashtide_maintenance::{
    AcceptorState, Action, Ballot, ChangeRejected, DecodeError, Limits, MachineKind, MaintenanceEntry,
    MaintenanceQueue, Message, MessageAssembler, Observations, PersistedVote, Phase, Replica, ReplicaConfig,
    RequestOutcome, Store, StoreError, TimingConfig, Violation, encode_message,
};

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|index| u8::from_str_radix(&text[2 * index..2 * index + 2], 16).expect("hex"))
        .collect()
}

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name)
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture_path(name)).unwrap_or_default()
}

/// Asserts that a text equals a fixture, and reports the first line that differs.
fn assert_equals_fixture(name: &str, found: &str) {
    let expected = fixture_text(name);
    for (number, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, expected, "{name}, line {}", number + 1);
    }
    if found != expected {
        let found_path = std::env::temp_dir().join(format!("ashtide-maintenance-compatibility-{name}"));
        fs::write(&found_path, found).expect("the found text is written");
        panic!("{name} has another length than the text in {}", found_path.display());
    }
}

fn entry(kind: MachineKind, name: &str, request_id: u64, phase: Phase) -> MaintenanceEntry {
    let (name, reason) = (name.to_owned(), "a new disk".to_owned());
    MaintenanceEntry {
        kind,
        name,
        reason,
        requested_at_ms: 1_700_000_000_000,
        request_id,
        phase_version: 900 + request_id % 10,
        phase,
    }
}

/// Returns a queue with one machine in each phase.
fn queue() -> MaintenanceQueue {
    let entries = vec![
        entry(MachineKind::Server, "s-1", 1, Phase::Queued),
        entry(MachineKind::Gateway, "127.0.0.1:7947", 2, Phase::Draining { token: 500, holder: Slot(1) }),
        entry(MachineKind::Server, "s-3", u64::MAX - 300, Phase::Out { token: 501, holder: Slot(300) }),
        entry(MachineKind::Server, "s-4", 4, Phase::Released { token: 502 }),
    ];
    MaintenanceQueue { version: 1_000, last_token: 502, entries, completed_requests: vec![1, 2, u64::MAX] }
}

fn vote() -> AcceptorState {
    AcceptorState {
        promised: Ballot { round: 300, slot: 2, incarnation: 1_700_000_000_000 },
        accepted: Ballot { round: 299, slot: 513, incarnation: 7 },
        queue: queue(),
    }
}

fn messages() -> Vec<Message> {
    let AcceptorState { promised: ballot, accepted, queue } = vote();
    let incarnation = 1_700_000_000_001;
    let sequence = 70_000;
    vec![
        Message::Prepare { ballot },
        Message::Promise { ballot, accepted, queue: queue.clone() },
        Message::Accept { ballot, queue: queue.clone() },
        Message::Accepted { ballot },
        Message::Nack { ballot, promised: accepted },
        Message::ReadRequest {
            incarnation,
            sequence,
            known_ballot: accepted,
            acting_version: 1_000,
            open_connections: vec![(500, 3), (501, 70_000)],
        },
        Message::ReadReply { incarnation, sequence, accepted, queue: Some(queue) },
        Message::ReadReply { incarnation, sequence, accepted, queue: None },
        Message::CatchUpRequest { incarnation },
        Message::CatchUpReply { incarnation, state: Some(vote()) },
        Message::CatchUpReply { incarnation, state: None },
    ]
}

fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Nack { .. } => "behind",
        Message::ReadRequest { .. } => "ask",
        Message::ReadReply { .. } => "answer",
        Message::CatchUpRequest { .. } => "recall",
        Message::CatchUpReply { .. } => "recalled",
    }
}

#[test]
fn messages_are_encoded_and_decoded_as_in_the_fixture() {
    let mut text = String::new();
    for message in messages() {
        let datagrams: Vec<String> =
            encode_message(7, Slot(513), &message).iter().map(|datagram| encode_hex(datagram)).collect();
        let _ = writeln!(text, "{} {}", message_kind(&message), datagrams.join(" "));
    }
    assert_equals_fixture("messages.txt", &text);
    for (line, message) in fixture_text("messages.txt").lines().zip(messages()) {
        let mut assembler = MessageAssembler::default();
        let mut datagrams: Vec<Vec<u8>> = line.split(' ').skip(1).map(decode_hex).collect();
        let last = datagrams.remove(0);
        // Parts are accepted in any order; here the first part is added last.
        for datagram in datagrams.iter().rev() {
            assert_eq!(assembler.add_datagram(7, datagram), Ok(None), "{line}");
        }
        assert_eq!(assembler.add_datagram(7, &last), Ok(Some((Slot(513), message))), "{line}");
        assert!(assembler.is_empty());
    }
}

fn decode_error_label(reason: DecodeError) -> &'static str {
    match reason {
        DecodeError::Length => "length",
        DecodeError::Version => "version",
        DecodeError::OtherFleet => "tier",
        DecodeError::Malformed => "malformed",
        DecodeError::UnknownSender => "foreign",
    }
}

#[test]
fn decode_errors_are_reported_as_in_the_fixture() {
    let mut text = String::new();
    for reason in [
        DecodeError::Length,
        DecodeError::Version,
        DecodeError::OtherFleet,
        DecodeError::Malformed,
        DecodeError::UnknownSender,
    ] {
        let _ = writeln!(text, "{}: {reason}; {}", decode_error_label(reason), reason.help());
    }
    let [valid] = &encode_message(7, Slot(1), &Message::CatchUpRequest { incarnation: 9 })[..] else {
        panic!("the message needs one datagram")
    };
    let with_byte = |index: usize, value: u8| {
        let mut bytes = valid.to_vec();
        bytes[index] = value;
        bytes
    };
    let cases = [
        ("good", valid.to_vec()),
        ("empty", Vec::new()),
        ("short", valid[..16].to_vec()),
        ("long", vec![0x4d; 257]),
        ("version", with_byte(0, 0x53)),
        ("tier", with_byte(4, 8)),
        ("no parts", with_byte(16, 0)),
        ("25 parts", with_byte(16, 25)),
        ("part over parts", with_byte(15, 1)),
        ("short part", with_byte(16, 2)),
        ("digest", with_byte(8, 1)),
        ("kind", with_byte(17, 9)),
    ];
    for (name, bytes) in cases {
        let result = match MessageAssembler::default().add_datagram(7, &bytes) {
            Ok(Some((from, message))) => format!("{} of {}", message_kind(&message), from.0),
            Ok(None) => "a part".to_owned(),
            Err(reason) => format!("{} {reason}", decode_error_label(reason)),
        };
        let _ = writeln!(text, "{name} {}: {result}", encode_hex(&bytes[..bytes.len().min(30)]));
    }
    let mut replica = new_replica(0, PersistedVote::Lost);
    for from in [0, 1, 9] {
        let [datagram] = &encode_message(7, Slot(from), &Message::CatchUpRequest { incarnation: 9 })[..]
        else {
            panic!("the message needs one datagram")
        };
        let result =
            replica.handle_datagram(Duration::ZERO, datagram).err().map_or("heard", decode_error_label);
        let _ = writeln!(text, "of {from}: {result}");
    }
    assert_equals_fixture("unheard.txt", &text);
}

#[test]
fn rejections_and_violations_are_reported_as_in_the_fixture() {
    let mut text = String::new();
    for rejection in [
        ChangeRejected::InvalidText,
        ChangeRejected::QueueFull,
        ChangeRejected::AlreadyQueued,
        ChangeRejected::NotQueued,
        ChangeRejected::AlreadyOut,
        ChangeRejected::NotOut,
        ChangeRejected::Fenced,
        ChangeRejected::LimitReached,
        ChangeRejected::TooFewReady,
    ] {
        let _ = writeln!(text, "{rejection}; {}", rejection.help());
    }
    for violation in [
        Violation::TooManyOut { found: 2, names: "a, b".to_owned(), most: 1 },
        Violation::TooManyGranted { version: 1, found: 2, most: 1 },
        Violation::InvalidToken { version: 1, token: 5, last: 4 },
        Violation::DuplicateMachine { version: 1, name: "a".to_owned() },
        Violation::OverFull { what: "the table", found: 33, capacity: 32 },
        Violation::LeaseExpired { age: Duration::from_secs(7), lease: Duration::from_secs(6) },
        Violation::DivergentValues { version: 1 },
    ] {
        let _ = writeln!(text, "{violation}; {}", violation.help());
    }
    assert_equals_fixture("refusals.txt", &text);
}

/// Temporary folder, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(suffix: &str) -> Self {
        let name = format!("ashtide-maintenance-compatibility-{}-{suffix}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }

    fn file(&self, suffix: &str) -> PathBuf {
        self.0.join(format!("maintenance.n0.{suffix}"))
    }

    /// Replaces the files of the store; `None` removes a file.
    fn replace_files(&self, snapshot: Option<&[u8]>, log: Option<&[u8]>) {
        for (suffix, bytes) in [("snapshot", snapshot), ("log", log)] {
            match bytes {
                Some(bytes) => fs::write(self.file(suffix), bytes).expect("the file is written"),
                None => drop(fs::remove_file(self.file(suffix))),
            }
        }
        let _ = fs::remove_file(self.file("torn"));
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the state after the ballot that [`vote`] has promised was accepted.
fn later_vote() -> AcceptorState {
    AcceptorState { accepted: vote().promised, ..vote() }
}

/// Persists three votes: the first is stored in the snapshot, the others in the log.
#[test]
fn votes_are_stored_as_in_the_fixture() {
    let folder = Folder::new("written");
    let (mut store, persisted, problem) = Store::open(&folder.0, "n0").expect("the store opens");
    assert!(persisted == PersistedVote::Lost && problem.is_none());
    for vote in [vote(), AcceptorState::default(), later_vote()] {
        store.persist(&vote).expect("the vote is persisted");
    }
    let mut names: Vec<String> = fs::read_dir(&folder.0)
        .expect("the folder is created")
        .map(|entry| entry.expect("the folder is readable").file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    let (snapshot, log) = (fs::read(folder.file("snapshot")).unwrap(), fs::read(folder.file("log")).unwrap());
    let text = format!("{}\n{}\n{}\n", names.join(" "), encode_hex(&snapshot), encode_hex(&log));
    assert_equals_fixture("store.txt", &text);
}

#[test]
fn votes_and_file_defects_are_read_as_in_the_fixture() {
    let fixture = fixture_text("store.txt");
    let mut lines = fixture.lines().skip(1).map(decode_hex);
    let (snapshot, log) = (
        lines.next().expect("the fixture contains a snapshot"),
        lines.next().expect("the fixture contains a log"),
    );
    let folder = Folder::new("read");
    let read = |snapshot: Option<&[u8]>, log: Option<&[u8]>| {
        folder.replace_files(snapshot, log);
        let (_, persisted, problem) = Store::open(&folder.0, "n0").expect("the store opens");
        let problem = problem.map_or_else(String::new, |error| format!("{error}; {}", error.help()));
        let persisted = match persisted {
            PersistedVote::Stored(state) if state == vote() => "first",
            PersistedVote::Stored(state) if state == AcceptorState::default() => "second",
            PersistedVote::Stored(state) if state == later_vote() => "last",
            PersistedVote::Stored(_) => "another",
            PersistedVote::Lost => "lost",
        };
        format!("{persisted} {}\n", problem.replace(&folder.0.display().to_string(), "FOLDER"))
    };
    let with_flipped_bit = |bytes: &[u8], index: usize| {
        let mut bytes = bytes.to_vec();
        bytes[index] ^= 1;
        bytes
    };
    let first_record_len =
        24 + u32::from_be_bytes(log[..4].try_into().expect("the log contains a length")) as usize;
    let mut text = String::new();
    for (name, snapshot, log) in [
        ("whole", Some(snapshot.clone()), Some(log.clone())),
        ("no log", Some(snapshot.clone()), None),
        ("nothing", None, None),
        ("no snapshot", None, Some(log.clone())),
        ("cut log", Some(snapshot.clone()), Some(log[..log.len() - 1].to_vec())),
        ("first record", Some(snapshot.clone()), Some(log[..first_record_len].to_vec())),
        ("gap", Some(snapshot.clone()), Some(log[first_record_len..].to_vec())),
        ("log length", Some(snapshot.clone()), Some(with_flipped_bit(&log, 0))),
        ("log checksum", Some(snapshot.clone()), Some(with_flipped_bit(&log, 10))),
        ("log body", Some(snapshot.clone()), Some(with_flipped_bit(&log, first_record_len + 30))),
        ("head", Some(with_flipped_bit(&snapshot, 3)), Some(log.clone())),
        ("snapshot length", Some(with_flipped_bit(&snapshot, 22)), Some(log.clone())),
        ("snapshot body", Some(with_flipped_bit(&snapshot, 60)), Some(log.clone())),
        ("cut snapshot", Some(snapshot[..60].to_vec()), Some(log.clone())),
    ] {
        let _ = write!(text, "{name}: {}", read(snapshot.as_deref(), log.as_deref()));
    }
    let describe = |error: StoreError| format!("{error}; {}", error.help());
    let file = || PathBuf::from("FOLDER/file");
    let io = std::io::Error::other("no room");
    for error in [StoreError::Io(file(), io), StoreError::Busy(file()), StoreError::Failed(file())] {
        let _ = writeln!(text, "{}", describe(error));
    }
    assert_equals_fixture("store-read.txt", &text);
}

/// Returns a replica of a fleet with three gateways that are all acceptors.
fn new_replica(own: u16, persisted: PersistedVote) -> Replica {
    let slots: Vec<Slot> = (0..3).map(Slot).collect();
    let limits = Limits { max_servers_out: 1, max_gateways_out: 1, min_ready_servers: 1 };
    let timing = TimingConfig { max_work: Duration::from_secs(20), ..TimingConfig::default() };
    let config = ReplicaConfig {
        fleet_id: 7,
        own_slot: Slot(own),
        members: slots.clone(),
        acceptors: slots,
        limits,
        timing,
    };
    Replica::new(config, 1_000 + u64::from(own), persisted, Duration::ZERO)
}

fn outcome_text(outcome: RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Committed => "done".to_owned(),
        RequestOutcome::Rejected(reason) => format!("refused, {reason}"),
        RequestOutcome::Unknown => "unknown".to_owned(),
    }
}

/// Describes an action, `None` for a log line. Adds the datagram of [`Action::Send`] to `sent`.
fn action_text(action: Action, sent: &mut Vec<(Slot, Vec<u8>)>) -> Option<String> {
    let kind_text = |kind| match kind {
        MachineKind::Server => "server",
        MachineKind::Gateway => "gateway",
    };
    Some(match action {
        Action::Persist(vote) => {
            format!("persist {}", encode_hex(&postcard::to_allocvec(&vote).expect("bytes")))
        }
        Action::Send(to, datagram) => {
            let text = format!("send {} {}", to.0, encode_hex(&datagram));
            sent.push((to, datagram.to_vec()));
            text
        }
        Action::Drain { kind, name, token } => format!("drain {} {name} {token}", kind_text(kind)),
        Action::Return { kind, name } => format!("return {} {name}", kind_text(kind)),
        Action::Answer { request_id, outcome } => format!("answer {request_id} {}", outcome_text(outcome)),
        Action::Log(_) => return None,
    })
}

/// Simulates maintenance of servers and a gateway by three gateways, one of which starts without a persisted
/// state and is partitioned for a while.
#[test]
fn three_gateways_execute_the_actions_in_the_fixture() {
    let mut replicas: Vec<Replica> = (0..3)
        .map(|own| match own {
            2 => new_replica(own, PersistedVote::Lost),
            _ => new_replica(own, PersistedVote::Stored(AcceptorState::default())),
        })
        .collect();
    let servers: BTreeSet<String> = ["s-1", "s-2", "s-3"].map(str::to_owned).into();
    let present_gateways: BTreeSet<Slot> = (0..3).map(Slot).collect();
    let mut text = String::new();
    for step in 0..900_u64 {
        let now = Duration::from_millis(step * 50);
        for index in 0..replicas.len() {
            let open_connections = BTreeMap::from([("s-1".to_owned(), if step < 150 { 2 } else { 0 })]);
            replicas[index].set_observations(Observations {
                ready_servers: servers.clone(),
                open_connections,
                present_gateways: present_gateways.clone(),
            });
            let request_id = match (step, index) {
                (40, 0) => replicas[0].request(MachineKind::Server, "s-1", "a new disk", 5_000),
                (45, 1) => replicas[1].request(MachineKind::Server, "s-2", "", 5_001),
                (46, 2) => replicas[2].request(MachineKind::Gateway, "127.0.0.1:7947", "an upgrade", 5_002),
                (47, 0) => replicas[0].request(MachineKind::Server, "s-1", "again", 5_003),
                (60, 1) => replicas[1].cancel("s-9"),
                (260, 2) => replicas[2].complete("s-1"),
                (500, 0) => replicas[0].complete("127.0.0.1:7947"),
                (520, 1) => replicas[1].request(MachineKind::Server, "s-3", "late", 5_004),
                (530, 1) => replicas[1].cancel("s-3"),
                _ => None,
            };
            if let Some(request_id) = request_id {
                let _ = writeln!(text, "{} {index}: call {request_id}", now.as_millis());
            }
            replicas[index].advance_to(now);
            let mut sent = Vec::new();
            loop {
                while let Some(action) = replicas[index].next_action() {
                    if let Some(line) = action_text(action, &mut sent) {
                        let _ = writeln!(text, "{} {index}: {line}", now.as_millis());
                    }
                }
                if sent.is_empty() {
                    break;
                }
                for (to, datagram) in std::mem::take(&mut sent) {
                    let is_partitioned = (300..480).contains(&step) && (index == 2) != (to.0 == 2);
                    if !is_partitioned {
                        replicas[usize::from(to.0)]
                            .handle_datagram(now, &datagram)
                            .expect("the datagram is valid");
                    }
                }
            }
            if step % 100 == 99 {
                let (queue, has_lease) = replicas[index].queue();
                let metrics = replicas[index].metrics();
                let _ = writeln!(
                    text,
                    "{} {index}: version {} token {} {has_lease} votes {} rounds {} {} {} sent {} {} {} {}",
                    now.as_millis(),
                    queue.version,
                    queue.last_token,
                    replicas[index].is_voting(),
                    metrics.proposals,
                    metrics.chosen,
                    metrics.fenced,
                    metrics.sent.datagrams,
                    metrics.sent.bytes,
                    metrics.rejected_datagrams,
                    metrics.lease_lapses
                );
            }
            replicas[index].check().expect("all invariants hold");
        }
    }
    assert_equals_fixture("gateways.txt", &text);
}
