//! The bytes and texts that gateways of other builds, disks and operators rely on, against stored ones.

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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len() / 2).map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).expect("hex")).collect()
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name)
}

fn stored(name: &str) -> String {
    fs::read_to_string(fixture(name)).unwrap_or_default()
}

/// Compares with the stored text; the first line that differs is named.
fn same_as_stored(name: &str, found: &str) {
    let stored = stored(name);
    for (number, (found, stored)) in found.lines().zip(stored.lines()).enumerate() {
        assert_eq!(found, stored, "{name}, line {}", number + 1);
    }
    if found != stored {
        let aside = std::env::temp_dir().join(format!("ashtide-maintenance-compatibility-{name}"));
        fs::write(&aside, found).expect("written aside");
        panic!("{name} has another length, see {}", aside.display());
    }
}

fn row(kind: MachineKind, name: &str, call: u64, phase: Phase) -> MaintenanceEntry {
    let (name, reason) = (name.to_owned(), "a new disk".to_owned());
    MaintenanceEntry {
        kind,
        name,
        reason,
        requested_at_ms: 1_700_000_000_000,
        request_id: call,
        phase_version: 900 + call % 10,
        phase,
    }
}

/// One machine of each phase.
fn table() -> MaintenanceQueue {
    let rows = vec![
        row(MachineKind::Server, "s-1", 1, Phase::Queued),
        row(MachineKind::Gateway, "127.0.0.1:7947", 2, Phase::Draining { token: 500, holder: Slot(1) }),
        row(MachineKind::Server, "s-3", u64::MAX - 300, Phase::Out { token: 501, holder: Slot(300) }),
        row(MachineKind::Server, "s-4", 4, Phase::Released { token: 502 }),
    ];
    MaintenanceQueue {
        version: 1_000,
        last_token: 502,
        entries: rows,
        completed_requests: vec![1, 2, u64::MAX],
    }
}

fn vote() -> AcceptorState {
    AcceptorState {
        promised: Ballot { round: 300, slot: 2, incarnation: 1_700_000_000_000 },
        accepted: Ballot { round: 299, slot: 513, incarnation: 7 },
        queue: table(),
    }
}

fn messages() -> Vec<Message> {
    let AcceptorState { promised: ballot, accepted, queue: table } = vote();
    let incarnation = 1_700_000_000_001;
    let sequence = 70_000;
    vec![
        Message::Prepare { ballot },
        Message::Promise { ballot, accepted, queue: table.clone() },
        Message::Accept { ballot, queue: table.clone() },
        Message::Accepted { ballot },
        Message::Nack { ballot, promised: accepted },
        Message::ReadRequest {
            incarnation,
            sequence,
            known_ballot: accepted,
            acting_version: 1_000,
            open_connections: vec![(500, 3), (501, 70_000)],
        },
        Message::ReadReply { incarnation, sequence, accepted, queue: Some(table) },
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
fn messages_are_written_and_read_the_same() {
    let mut text = String::new();
    for message in messages() {
        let datagrams: Vec<String> =
            encode_message(7, Slot(513), &message).iter().map(|datagram| hex(datagram)).collect();
        let _ = writeln!(text, "{} {}", message_kind(&message), datagrams.join(" "));
    }
    same_as_stored("messages.txt", &text);
    for (line, message) in stored("messages.txt").lines().zip(messages()) {
        let mut halves = MessageAssembler::default();
        let mut datagrams: Vec<Vec<u8>> = line.split(' ').skip(1).map(unhex).collect();
        let last = datagrams.remove(0);
        // In any order: the first comes last.
        for datagram in datagrams.iter().rev() {
            assert_eq!(halves.add_datagram(7, datagram), Ok(None), "{line}");
        }
        assert_eq!(halves.add_datagram(7, &last), Ok(Some((Slot(513), message))), "{line}");
        assert!(halves.is_empty());
    }
}

fn unheard_text(why: DecodeError) -> &'static str {
    match why {
        DecodeError::Length => "length",
        DecodeError::Version => "version",
        DecodeError::OtherFleet => "tier",
        DecodeError::Malformed => "malformed",
        DecodeError::UnknownSender => "foreign",
    }
}

#[test]
fn why_a_datagram_is_not_heard_is_told_the_same() {
    let mut text = String::new();
    for why in [
        DecodeError::Length,
        DecodeError::Version,
        DecodeError::OtherFleet,
        DecodeError::Malformed,
        DecodeError::UnknownSender,
    ] {
        let _ = writeln!(text, "{}: {why}; {}", unheard_text(why), why.help());
    }
    let [good] = &encode_message(7, Slot(1), &Message::CatchUpRequest { incarnation: 9 })[..] else {
        panic!("one datagram")
    };
    let with = |at: usize, value: u8| {
        let mut bytes = good.to_vec();
        bytes[at] = value;
        bytes
    };
    let cases = [
        ("good", good.to_vec()),
        ("empty", Vec::new()),
        ("short", good[..16].to_vec()),
        ("long", vec![0x4d; 257]),
        ("version", with(0, 0x53)),
        ("tier", with(4, 8)),
        ("no parts", with(16, 0)),
        ("25 parts", with(16, 25)),
        ("part over parts", with(15, 1)),
        ("short part", with(16, 2)),
        ("digest", with(8, 1)),
        ("kind", with(17, 9)),
    ];
    for (name, bytes) in cases {
        let told = match MessageAssembler::default().add_datagram(7, &bytes) {
            Ok(Some((from, message))) => format!("{} of {}", message_kind(&message), from.0),
            Ok(None) => "a part".to_owned(),
            Err(why) => format!("{} {why}", unheard_text(why)),
        };
        let _ = writeln!(text, "{name} {}: {told}", hex(&bytes[..bytes.len().min(30)]));
    }
    let mut node = node(0, PersistedVote::Lost);
    for from in [0, 1, 9] {
        let [datagram] = &encode_message(7, Slot(from), &Message::CatchUpRequest { incarnation: 9 })[..]
        else {
            panic!("one")
        };
        let told = node.handle_datagram(Duration::ZERO, datagram).err().map_or("heard", unheard_text);
        let _ = writeln!(text, "of {from}: {told}");
    }
    same_as_stored("unheard.txt", &text);
}

#[test]
fn refusals_and_broken_invariants_are_told_the_same() {
    let mut text = String::new();
    for it in [
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
        let _ = writeln!(text, "{it}; {}", it.help());
    }
    for it in [
        Violation::TooManyOut { found: 2, names: "a, b".to_owned(), most: 1 },
        Violation::TooManyGranted { version: 1, found: 2, most: 1 },
        Violation::InvalidToken { version: 1, token: 5, last: 4 },
        Violation::DuplicateMachine { version: 1, name: "a".to_owned() },
        Violation::OverFull { what: "the table", found: 33, capacity: 32 },
        Violation::LeaseExpired { age: Duration::from_secs(7), lease: Duration::from_secs(6) },
        Violation::DivergentValues { version: 1 },
    ] {
        let _ = writeln!(text, "{it}; {}", it.help());
    }
    same_as_stored("refusals.txt", &text);
}

/// A folder of its own, gone at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(what: &str) -> Self {
        let name = format!("ashtide-maintenance-compatibility-{}-{what}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn file(&self, what: &str) -> PathBuf {
        self.0.join(format!("maintenance.n0.{what}"))
    }

    fn put(&self, snapshot: Option<&[u8]>, log: Option<&[u8]>) {
        for (what, bytes) in [("snapshot", snapshot), ("log", log)] {
            match bytes {
                Some(bytes) => fs::write(self.file(what), bytes).expect("written"),
                None => drop(fs::remove_file(self.file(what))),
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

fn later_vote() -> AcceptorState {
    AcceptorState { accepted: vote().promised, ..vote() }
}

/// A vote in a snapshot, and two that came after it in the log.
#[test]
fn a_vote_is_on_disk_the_same() {
    let folder = Folder::new("written");
    let (mut store, memory, wrong) = Store::open(&folder.0, "n0").expect("it opens");
    assert!(memory == PersistedVote::Lost && wrong.is_none());
    for vote in [vote(), AcceptorState::default(), later_vote()] {
        store.persist(&vote).expect("it is kept");
    }
    let mut names: Vec<String> = fs::read_dir(&folder.0)
        .expect("a folder")
        .map(|it| it.expect("a file").file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    let (snapshot, log) = (fs::read(folder.file("snapshot")).unwrap(), fs::read(folder.file("log")).unwrap());
    let text = format!("{}\n{}\n{}\n", names.join(" "), hex(&snapshot), hex(&log));
    same_as_stored("store.txt", &text);
}

#[test]
fn a_vote_is_read_and_what_is_wrong_is_told_the_same() {
    let fixture = stored("store.txt");
    let mut lines = fixture.lines().skip(1).map(unhex);
    let (snapshot, log) = (lines.next().expect("a snapshot"), lines.next().expect("a log"));
    let folder = Folder::new("read");
    let read = |snapshot: Option<&[u8]>, log: Option<&[u8]>| {
        folder.put(snapshot, log);
        let (_, memory, wrong) = Store::open(&folder.0, "n0").expect("it opens");
        let wrong = wrong.map_or_else(String::new, |it| format!("{it}; {}", it.help()));
        let memory = match memory {
            PersistedVote::Stored(kept) if kept == vote() => "first",
            PersistedVote::Stored(kept) if kept == AcceptorState::default() => "second",
            PersistedVote::Stored(kept) if kept == later_vote() => "last",
            PersistedVote::Stored(_) => "another",
            PersistedVote::Lost => "lost",
        };
        format!("{memory} {}\n", wrong.replace(&folder.0.display().to_string(), "FOLDER"))
    };
    let flipped = |bytes: &[u8], at: usize| {
        let mut bytes = bytes.to_vec();
        bytes[at] ^= 1;
        bytes
    };
    let first = 24 + u32::from_be_bytes(log[..4].try_into().expect("a length")) as usize;
    let mut text = String::new();
    for (name, snapshot, log) in [
        ("whole", Some(snapshot.clone()), Some(log.clone())),
        ("no log", Some(snapshot.clone()), None),
        ("nothing", None, None),
        ("no snapshot", None, Some(log.clone())),
        ("cut log", Some(snapshot.clone()), Some(log[..log.len() - 1].to_vec())),
        ("first record", Some(snapshot.clone()), Some(log[..first].to_vec())),
        ("gap", Some(snapshot.clone()), Some(log[first..].to_vec())),
        ("log length", Some(snapshot.clone()), Some(flipped(&log, 0))),
        ("log checksum", Some(snapshot.clone()), Some(flipped(&log, 10))),
        ("log body", Some(snapshot.clone()), Some(flipped(&log, first + 30))),
        ("head", Some(flipped(&snapshot, 3)), Some(log.clone())),
        ("snapshot length", Some(flipped(&snapshot, 22)), Some(log.clone())),
        ("snapshot body", Some(flipped(&snapshot, 60)), Some(log.clone())),
        ("cut snapshot", Some(snapshot[..60].to_vec()), Some(log.clone())),
    ] {
        let _ = write!(text, "{name}: {}", read(snapshot.as_deref(), log.as_deref()));
    }
    let told = |it: StoreError| format!("{it}; {}", it.help());
    let file = || PathBuf::from("FOLDER/file");
    let io = std::io::Error::other("no room");
    for it in [StoreError::Io(file(), io), StoreError::Busy(file()), StoreError::Failed(file())] {
        let _ = writeln!(text, "{}", told(it));
    }
    same_as_stored("store-read.txt", &text);
}

fn node(own: u16, memory: PersistedVote) -> Replica {
    let slots: Vec<Slot> = (0..3).map(Slot).collect();
    let rules = Limits { max_servers_out: 1, max_gateways_out: 1, min_ready_servers: 1 };
    let terms = TimingConfig { max_work: Duration::from_secs(20), ..TimingConfig::default() };
    let setup = ReplicaConfig {
        fleet_id: 7,
        own_slot: Slot(own),
        members: slots.clone(),
        acceptors: slots,
        limits: rules,
        timing: terms,
    };
    Replica::new(setup, 1_000 + u64::from(own), memory, Duration::ZERO)
}

fn outcome_text(outcome: RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Committed => "done".to_owned(),
        RequestOutcome::Rejected(why) => format!("refused, {why}"),
        RequestOutcome::Unknown => "unknown".to_owned(),
    }
}

/// What the driver is told, but for the lines of the log; datagrams go to `sent`.
fn action_text(action: Action, sent: &mut Vec<(Slot, Vec<u8>)>) -> Option<String> {
    let kind = |kind| match kind {
        MachineKind::Server => "server",
        MachineKind::Gateway => "gateway",
    };
    Some(match action {
        Action::Persist(vote) => format!("persist {}", hex(&postcard::to_allocvec(&vote).expect("bytes"))),
        Action::Send(to, datagram) => {
            let text = format!("send {} {}", to.0, hex(&datagram));
            sent.push((to, datagram.to_vec()));
            text
        }
        Action::Drain { kind: it, name, token } => format!("drain {} {name} {token}", kind(it)),
        Action::Return { kind: it, name } => format!("return {} {name}", kind(it)),
        Action::Answer { request_id: call, outcome } => format!("answer {call} {}", outcome_text(outcome)),
        Action::Log(_) => return None,
    })
}

/// Three gateways take machines out, one of them with an empty disk and cut off for a while.
#[test]
fn gateways_settle_the_same() {
    let mut nodes: Vec<Replica> = (0..3)
        .map(|own| {
            node(
                own,
                if own == 2 { PersistedVote::Lost } else { PersistedVote::Stored(AcceptorState::default()) },
            )
        })
        .collect();
    let servers: BTreeSet<String> = ["s-1", "s-2", "s-3"].map(str::to_owned).into();
    let there: BTreeSet<Slot> = (0..3).map(Slot).collect();
    let mut text = String::new();
    for step in 0..900_u64 {
        let now = Duration::from_millis(step * 50);
        for at in 0..nodes.len() {
            let open = BTreeMap::from([("s-1".to_owned(), if step < 150 { 2 } else { 0 })]);
            nodes[at].set_observations(Observations {
                ready_servers: servers.clone(),
                open_connections: open,
                present_gateways: there.clone(),
            });
            let call = match (step, at) {
                (40, 0) => nodes[0].request(MachineKind::Server, "s-1", "a new disk", 5_000),
                (45, 1) => nodes[1].request(MachineKind::Server, "s-2", "", 5_001),
                (46, 2) => nodes[2].request(MachineKind::Gateway, "127.0.0.1:7947", "an upgrade", 5_002),
                (47, 0) => nodes[0].request(MachineKind::Server, "s-1", "again", 5_003),
                (60, 1) => nodes[1].cancel("s-9"),
                (260, 2) => nodes[2].complete("s-1"),
                (500, 0) => nodes[0].complete("127.0.0.1:7947"),
                (520, 1) => nodes[1].request(MachineKind::Server, "s-3", "late", 5_004),
                (530, 1) => nodes[1].cancel("s-3"),
                _ => None,
            };
            if let Some(call) = call {
                let _ = writeln!(text, "{} {at}: call {call}", now.as_millis());
            }
            nodes[at].advance_to(now);
            let mut sent = Vec::new();
            loop {
                while let Some(action) = nodes[at].next_action() {
                    if let Some(line) = action_text(action, &mut sent) {
                        let _ = writeln!(text, "{} {at}: {line}", now.as_millis());
                    }
                }
                if sent.is_empty() {
                    break;
                }
                for (to, datagram) in std::mem::take(&mut sent) {
                    let cut = (300..480).contains(&step) && (at == 2) != (to.0 == 2);
                    if !cut {
                        nodes[usize::from(to.0)].handle_datagram(now, &datagram).expect("sound");
                    }
                }
            }
            if step % 100 == 99 {
                let (table, fresh) = nodes[at].queue();
                let it = nodes[at].metrics();
                let _ = writeln!(
                    text,
                    "{} {at}: version {} token {} {fresh} votes {} rounds {} {} {} sent {} {} {} {}",
                    now.as_millis(),
                    table.version,
                    table.last_token,
                    nodes[at].is_voting(),
                    it.proposals,
                    it.chosen,
                    it.fenced,
                    it.sent.datagrams,
                    it.sent.bytes,
                    it.rejected_datagrams,
                    it.lease_lapses
                );
            }
            nodes[at].check().expect("all invariants hold");
        }
    }
    same_as_stored("gateways.txt", &text);
}
