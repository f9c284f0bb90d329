//! What goes between gateways and discovery, and between gateways about new servers, is what it was, byte for byte.
//!
//! Each test writes what came of fixed inputs, one a line, and compares that with the recorded text. Everything is
//! encoded by explicit matches, never by `Debug`, so that names may change and nothing else.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use ashtide::decision::slow_start::SlowStartConfig;
use ashtide::discovery::start_times::StartTimes;
use ashtide::discovery::{
    CALL_TIMEOUT, Endpoint, EndpointList, EndpointStatus, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT,
    MAX_LIST_STALENESS, MAX_POLL_WAIT, WatchCodec, WatchEnd, WatchError, WatchEvent, watch_request,
};
use ashtide::engine::ListLease;
use ashtide::fleet::permits::{
    MAX_DATAGRAM_LENGTH, PERMIT_LIFETIME, PermitStep, Permits, REPLY_TIMEOUT, REQUEST_LENGTH,
};
use ashtide::{GatewayId, PermitReply, ServerId, ServerState, Span, Time};
use bytes::BytesMut;
use tokio_util::codec::Decoder;

const GATEWAYS: u32 = 7;
const FULL: f64 = 54.0;

fn at(us: i64) -> Time {
    Time::from_micros(1_000_000_000 + us)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("written to a string");
        text
    })
}

/// Compares line by line first, so that the first difference shows.
fn compare(lines: &[String], recorded: &str) {
    for (is, was) in lines.iter().zip(recorded.lines()) {
        assert_eq!(is, was);
    }
    assert_eq!(lines.len(), recorded.lines().count(), "lines");
    assert_eq!(format!("{}\n", lines.join("\n")), recorded);
}

// ---- Datagrams about new servers ------------------------------------------------------------

fn ramp() -> SlowStartConfig {
    SlowStartConfig {
        overload_factor: 2.5,
        overload_window: Span::from_micros(2_000_000),
        initial_capacity_share: 0.13,
        warm_up_time: Span::from_micros(24_000_000),
    }
}

fn gateway(own: u32, key: u32) -> Permits {
    let mut rights = Permits::new(GatewayId(own), GATEWAYS, ramp(), at(0));
    rights.update_servers(std::iter::once((key, at(0))));
    rights
}

fn reply(right: PermitReply) -> String {
    match right {
        PermitReply::Granted { expires_at: until, below_fair_share: lacks } => {
            format!("granted until {} below fair share {lacks}", until.as_micros())
        }
        PermitReply::Denied { retry_after: wait, below_fair_share: lacks } => {
            format!("denied for {} below fair share {lacks}", wait.as_micros())
        }
        PermitReply::NoReply => "no reply".to_owned(),
    }
}

fn step(step: PermitStep) -> String {
    match step {
        PermitStep::Send(datagram) => format!("send {} {}", datagram.to.0, hex(datagram.bytes())),
        PermitStep::SendTwice(datagram) => format!("send twice {} {}", datagram.to.0, hex(datagram.bytes())),
        PermitStep::AwaitReply { datagram, request_number: number } => {
            let (to, bytes) = (datagram.to.0, hex(datagram.bytes()));
            format!("request to {to} {bytes} number {number} key {:08x}", datagram.key())
        }
        PermitStep::Resolved { server: key, reply: right } => format!("resolved {key:08x} {}", reply(right)),
    }
}

/// Gateways ask, answer, time out and grant by themselves.
fn exchange(key: u32, lines: &mut Vec<String>) {
    let mut all: Vec<Permits> = (0..GATEWAYS).map(|own| gateway(own, key)).collect();
    let owners = all[0].grantors(key);
    let names: Vec<String> = owners.iter().map(|owner| owner.0.to_string()).collect();
    lines.push(format!("key {key:08x} grantors {}", names.join(" ")));
    for (round, now) in (0..40_i64).map(|round| (round, at(round * 170_000))) {
        let asker = (round as u32) % GATEWAYS;
        let asked = all[asker as usize].request_permit(now, key, FULL);
        lines.push(format!("{round} of {asker}: {}", step(asked)));
        let PermitStep::AwaitReply { datagram, request_number: number } = asked else { continue };
        let later = now + Span::from_micros(20_000);
        let owner = &mut all[datagram.to.0 as usize];
        let answered = owner.handle_datagram(later, GatewayId(asker), datagram.bytes(), FULL);
        let answered = answered.expect("an owner answers").expect("an ask has an answer");
        lines.push(format!("{round} at {}: {}", datagram.to.0, step(answered)));
        if round % 5 == 4 {
            // The answer is lost.
            let next = all[asker as usize].handle_reply_timeout(now + REPLY_TIMEOUT, key, number);
            lines.push(format!("{round} timed out: {}", next.map_or("nothing".to_owned(), step)));
            if let Some(PermitStep::AwaitReply { request_number: number, .. }) = next {
                let next = all[asker as usize].handle_reply_timeout(
                    now + REPLY_TIMEOUT + REPLY_TIMEOUT,
                    key,
                    number,
                );
                lines.push(format!("{round} timed out again: {}", next.map_or("nothing".to_owned(), step)));
            }
            continue;
        }
        let (PermitStep::Send(answer) | PermitStep::SendTwice(answer)) = answered else {
            panic!("an answer is sent")
        };
        for _ in 0..2 {
            let later = now + Span::from_micros(40_000);
            let heard = all[asker as usize].handle_datagram(later, datagram.to, answer.bytes(), FULL);
            let heard = heard.expect("an answer to this ask").map_or("nothing".to_owned(), step);
            lines.push(format!("{round} back: {heard}"));
        }
    }
    for (own, rights) in all.iter().enumerate() {
        let held = rights.check_invariants().map_or_else(|error| error.to_string(), |()| "holds".to_owned());
        lines.push(format!("last granted by {own}: {} {held}", rights.last_granted_permit(key)));
    }
}

#[test]
fn datagrams_about_new_servers_are_written_and_read_as_recorded() {
    let mut lines = vec![format!(
        "request {REQUEST_LENGTH} longest {MAX_DATAGRAM_LENGTH} lifetime {} time-out {}",
        PERMIT_LIFETIME.as_micros(),
        REPLY_TIMEOUT.as_micros()
    )];
    for key in [0x5be2_a07c, 1, 0xffff_ffff, 0x0102_0304] {
        exchange(key, &mut lines);
    }
    let key = 0x5be2_a07c;
    let owners = gateway(0, key).grantors(key);
    let other = (0..GATEWAYS).map(GatewayId).find(|it| !owners.contains(it)).expect("another gateway");
    let inputs: [(u32, &[u8]); 22] = [
        (other.0, &[]),
        (other.0, &[18]),
        (other.0, &[18, 0, 1, 0x5b, 0xe2, 0xa0]),
        (other.0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (other.0, &[18, 0xff, 0xff, 0x5b, 0xe2, 0xa0, 0x7c]),
        (other.0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c, 0]),
        (other.0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c, 1, 0]),
        (other.0, &[17, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (other.0, &[20, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c, 1, 0]),
        (other.0, &[18, 0, 1, 0, 0, 0, 1]),
        (other.0, &[18, 0, 1, 0xff, 0xff, 0xff, 0xff]),
        (other.0, &[19, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (other.0, &[19, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c, 1]),
        (other.0, &[19, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c, 1, 0]),
        (other.0, &[19, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c, 1, 0, 0]),
        (other.0, &[0; 9]),
        (other.0, &[0xff; 64]),
        (owners[0].0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (owners[1].0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (GATEWAYS, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (u32::MAX, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (GATEWAYS, &[]),
    ];
    for (from, bytes) in inputs {
        let mut owner = gateway(owners[0].0, key);
        let heard = owner.handle_datagram(at(0), GatewayId(from), bytes, FULL);
        let heard = match heard {
            Ok(next) => next.map_or("nothing".to_owned(), step),
            Err(error) => format!("error: {error}"),
        };
        lines.push(format!("from {from} {} -> {heard}", hex(bytes)));
    }
    read_replies(key, &owners, other, &mut lines);
    compare(&lines, include_str!("fixtures/compatibility/discovery/permits.txt"));
}

/// Answers to a real ask: every flag and the ends of the wait, from the gateway asked and from another.
fn read_replies(key: u32, owners: &[GatewayId], other: GatewayId, lines: &mut Vec<String>) {
    for (flags, steps) in [(0, 0), (0, 1), (0, 255), (1, 0), (1, 7), (2, 3), (3, 0), (0xfc, 9), (0xff, 255)] {
        let mut asker = gateway(other.0, key);
        let PermitStep::AwaitReply { datagram: ask, .. } = asker.request_permit(at(0), key, FULL) else {
            panic!("it asks an owner")
        };
        let forged = *owners.iter().find(|&&owner| owner != ask.to).expect("two owners");
        let mut bytes = ask.bytes().to_vec();
        bytes[0] = 19;
        bytes.extend([flags, steps]);
        for (from, number) in [(forged, 0), (ask.to, 9), (ask.to, 0), (ask.to, 0)] {
            let mut bytes = bytes.clone();
            bytes[1] ^= number;
            let heard = match asker.handle_datagram(at(30_000), from, &bytes, FULL) {
                Ok(next) => next.map_or("nothing".to_owned(), step),
                Err(error) => format!("error: {error}"),
            };
            lines.push(format!("reply from {} {} -> {heard}", from.0, hex(&bytes)));
        }
    }
}

// ---- Discovery's answers --------------------------------------------------------------------

fn status(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Serving => "serving",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Deleted => "deleted",
    }
}

fn entry(entry: &Endpoint) -> String {
    format!(
        "[{} | {} | {} | {} | {} | {} | {:016x} | {:016x}]",
        entry.name,
        entry.address,
        entry.zone.escape_default(),
        entry.kind,
        entry.cell,
        status(entry.status),
        entry.weight.to_bits(),
        entry.since_ms.to_bits()
    )
}

fn news(news: &EndpointList) -> String {
    let entries: Vec<String> = news.endpoints.iter().map(entry).collect();
    let fits: Vec<String> = [0, 5, 6, u64::MAX].map(|version| news.applies_to(version).to_string()).to_vec();
    format!("list {} snapshot {} applies {} {}", news.index, news.snapshot, fits.join(" "), entries.concat())
}

fn end(end: WatchEnd) -> &'static str {
    match end {
        WatchEnd::Closed => "closed",
        WatchEnd::ConnectionRefused => "refused",
        WatchEnd::Failed => "failed",
    }
}

fn error(error: &WatchError) -> String {
    format!("error: {error}; before {} after {}", end(error.watch_end(false)), end(error.watch_end(true)))
}

/// What a watch makes of these bytes, given so many at a time.
fn watched(bytes: &[u8], part: usize) -> Vec<String> {
    let mut told = Vec::new();
    let (mut codec, mut buffer) = (WatchCodec::default(), BytesMut::new());
    for piece in bytes.chunks(part) {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(WatchEvent::List(list))) => told.push(news(&list)),
                Ok(Some(WatchEvent::Heartbeat)) => told.push("heartbeat".to_owned()),
                Ok(None) => break,
                Err(cause) => {
                    told.push(error(&cause));
                    return told;
                }
            }
        }
    }
    told.push(format!("{} bytes left", buffer.len()));
    told
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunked(pieces: &[&str]) -> Vec<u8> {
    let mut text = HEAD.to_owned();
    for piece in pieces {
        write!(text, "{:x}\r\n{piece}\r\n", piece.len()).expect("written to a string");
    }
    text.into_bytes()
}

/// Answers of discovery, sound and otherwise.
fn answers() -> Vec<(&'static str, Vec<u8>)> {
    let full = r#"{"index":5,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","zone":"a","type":"m","group":1,"status":"DRAINING","weight":1.5,"since_ms":7}]}"#;
    let least = r#"{"endpoints":[{"name":"s-2","address":"[::1]:80","status":"SERVING"},{"name":"s-3","address":"10.0.0.1:1","status":"DELETED","extra":[1,{}]}]}"#;
    let braces =
        r#"{"index":6,"endpoints":[{"name":"s","address":"127.0.0.1:9","status":"SERVING","zone":"}\n{"}]}"#;
    let (first, rest) = full.split_at(40);
    let indented = "{\n  \"index\": 9,\n  \"endpoints\": [\n  ]\n}\n";
    let long = format!("{{\"index\":1,\"endpoints\":[],\"x\":\"{}", "x".repeat(1 << 20));
    vec![
        ("nothing", Vec::new()),
        ("head alone", HEAD.into()),
        (
            "head with other headers",
            b"HTTP/1.1 200 Fine\r\nServer: x\r\ntransfer-encoding: Chunked\r\n\r\n1\r\n\n\r\n".to_vec(),
        ),
        ("http 1.0", b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n".to_vec()),
        ("status 503", b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()),
        ("status 204", b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()),
        ("no chunks", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n".to_vec()),
        ("gzip, chunked", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_vec()),
        ("no http", b"SSH-2.0-x\r\n\r\n".to_vec()),
        ("endless head", [&b"HTTP/1.1 200 OK\r\nX: "[..], &[b'x'; 9_000]].concat()),
        ("many headers", format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: b\r\n".repeat(40)).into_bytes()),
        ("beats", chunked(&["\n", "\r\n", "\n\n", " \n"])),
        ("whole list", chunked(&[full, "\n"])),
        ("whole list on a line", chunked(&[&format!("{full}\n")])),
        ("least fields", chunked(&[least, "\n"])),
        ("braces in a name", chunked(&[braces, "\n\n"])),
        ("cut in two chunks", chunked(&[first, rest, "\n", "\n"])),
        ("two on a line", chunked(&[&format!("{full}{least}\n")])),
        ("indented", chunked(&[indented, "\n"])),
        ("no break at the end", chunked(&[full])),
        ("empty list", chunked(&["{\"endpoints\":[]}\n"])),
        ("end of chunks", [chunked(&[full, "\n"]), b"0\r\n\r\nmore".to_vec()].concat()),
        ("bad size", [HEAD.as_bytes(), b"zz\r\n"].concat()),
        ("negative size", [HEAD.as_bytes(), b"-1\r\n"].concat()),
        ("long size line", [HEAD.as_bytes(), b"1;", &[b'x'; 300], b"\r\n\n\r\n"].concat()),
        ("size extension", [HEAD.as_bytes(), b"1;a=b\r\n\n\r\n"].concat()),
        ("no break after data", [HEAD.as_bytes(), b"1\r\n\nxx"].concat()),
        ("no json", chunked(&["hello\n"])),
        ("unfinished", chunked(&["{\"index\":1"])),
        ("unfinished line", chunked(&["{\"index\":1,\n", "\"endpoints\":[]}\n"])),
        ("array", chunked(&["[]\n"])),
        ("number", chunked(&["17\n"])),
        ("no endpoints", chunked(&["{\"index\":1}\n"])),
        (
            "unknown status",
            chunked(&["{\"endpoints\":[{\"name\":\"s\",\"address\":\"127.0.0.1:9\",\"status\":\"UP\"}]}\n"]),
        ),
        (
            "lower status",
            chunked(&[
                "{\"endpoints\":[{\"name\":\"s\",\"address\":\"127.0.0.1:9\",\"status\":\"serving\"}]}\n",
            ]),
        ),
        (
            "bad address",
            chunked(&["{\"endpoints\":[{\"name\":\"s\",\"address\":\"host:9\",\"status\":\"SERVING\"}]}\n"]),
        ),
        ("no name", chunked(&["{\"endpoints\":[{\"address\":\"127.0.0.1:9\",\"status\":\"SERVING\"}]}\n"])),
        ("negative index", chunked(&["{\"index\":-1,\"endpoints\":[]}\n"])),
        ("huge index", chunked(&["{\"index\":18446744073709551615,\"endpoints\":[]}\n"])),
        ("good, then bad", chunked(&[&format!("{full}\n"), "x\n", "\n"])),
        ("good and bad on a line", chunked(&[&format!("{full}x\n")])),
        ("invalid utf-8", [HEAD.as_bytes(), b"3\r\n\xff\xfe\n\r\n"].concat()),
        ("over-long object", chunked(&[&long])),
    ]
}

#[test]
fn a_watch_makes_of_an_answer_what_was_recorded() {
    let mut lines = Vec::new();
    for (host, after) in [("127.0.0.1:80", 0), ("[::1]:9", 17), ("d", u64::MAX)] {
        lines.push(watch_request(host, after).escape_default().to_string());
    }
    for (name, bytes) in answers() {
        for part in [usize::MAX, 7, 1] {
            if part < 64 && bytes.len() > 100_000 {
                continue;
            }
            lines.push(format!("{name}, {part} at a time"));
            lines.extend(watched(&bytes, part).into_iter().map(|line| format!("  {line}")));
        }
    }
    let io_errors = [
        io::ErrorKind::ConnectionRefused,
        io::ErrorKind::ConnectionReset,
        io::ErrorKind::TimedOut,
        io::ErrorKind::UnexpectedEof,
    ];
    lines.extend(io_errors.map(|kind| error(&WatchError::Io(io::Error::new(kind, "by the test")))));
    lines.push(error(&WatchError::Silent(Duration::from_millis(2_500))));
    lines.push(error(&WatchError::StaleChanges { list_version: 7, changes_version: 3 }));
    compare(&lines, include_str!("fixtures/compatibility/discovery/watch.txt"));
}

#[test]
fn entries_are_written_and_read_as_recorded() {
    let mut lines = Vec::new();
    let texts = [
        r#"{"name":"s-1","address":"127.0.0.1:9","status":"SERVING"}"#,
        r#"{"name":"","address":"[2001:db8::1]:65535","zone":"z","type":"big","group":4294967295,"status":"DELETED","weight":0,"since_ms":0}"#,
        r#"{"since_ms":1.7e12,"weight":-2.5,"status":"DRAINING","group":0,"type":"","zone":"ä","address":"0.0.0.0:0","name":"n\n"}"#,
        r#"{"name":"s","address":"127.0.0.1:9","status":"SERVING","kind":"ignored","other":null}"#,
        r#"{"name":"s","address":"127.0.0.1:9","status":"SERVING","group":-1}"#,
        r#"{"name":"s","address":"127.0.0.1:9","status":"SERVING","group":4294967296}"#,
        r#"{"name":"s","address":"127.0.0.1:9","status":"SERVING","weight":"1"}"#,
        r#"{"name":"s","address":"127.0.0.1:9","status":"SERVING","weight":null}"#,
        r#"{"name":"s","address":"127.0.0.1:9"}"#,
        r#"{"name":"s","status":"SERVING"}"#,
        r#"{"name":1,"address":"127.0.0.1:9","status":"SERVING"}"#,
        r#"{"name":"s","name":"t","address":"127.0.0.1:9","status":"SERVING"}"#,
        r#"["s","127.0.0.1:9","a","m",1,"SERVING",1.0,0]"#,
        r#"{}"#,
    ];
    for text in texts {
        lines.push(text.to_owned());
        lines.push(match serde_json::from_str::<Endpoint>(text) {
            Ok(read) => {
                let written = serde_json::to_string(&read).expect("an entry is written");
                format!("  {}\n  {written}", entry(&read))
            }
            Err(error) => format!("  error: {error}"),
        });
    }
    let list = EndpointList { index: 3, snapshot: true, endpoints: Vec::new() };
    lines.push(serde_json::to_string(&list).expect("a list is written"));
    for listed in [EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Deleted] {
        let state = match ServerState::from(listed) {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
            ServerState::Removed => "gone",
        };
        lines.push(format!("{} is {state}", serde_json::to_string(&listed).expect("a status is written")));
    }
    let lines: Vec<String> = lines.iter().flat_map(|it| it.lines()).map(str::to_owned).collect();
    compare(&lines, include_str!("fixtures/compatibility/discovery/endpoints.txt"));
}

// ---- How long the list stands ---------------------------------------------------------------

#[test]
fn the_list_stands_for_as_long_as_recorded() {
    let mut lines = vec![format!(
        "heartbeat {} time-out {} call {} staleness {} wait {}",
        HEARTBEAT_INTERVAL.as_micros(),
        HEARTBEAT_TIMEOUT.as_micros(),
        CALL_TIMEOUT.as_micros(),
        MAX_LIST_STALENESS.as_micros(),
        MAX_POLL_WAIT.as_micros()
    )];
    // Each word is one event, half a second after the one before: a letter for the end, or `s` for in step.
    let sequences = [
        "",
        "c",
        "r",
        "f",
        "sc",
        "sr",
        "sf",
        "scr",
        "scrrrr",
        "scfr",
        "sfrrr",
        "scrrrrrrrrrrrrrf",
        "rrrrfrrs",
        "ffffffffffffffffr",
        "crcrcrs",
    ];
    for events in sequences {
        let mut lease = ListLease::new(at(0));
        let mut told = Vec::new();
        let mut now = at(0);
        for event in events.chars() {
            let since = now;
            now = now + Span::from_micros(500_000);
            let until = match event {
                's' => {
                    lease.renew();
                    None
                }
                'c' => lease.handle_watch_end(now, since, WatchEnd::Closed),
                'r' => lease.handle_watch_end(now, since, WatchEnd::ConnectionRefused),
                _ => lease.handle_watch_end(now, since, WatchEnd::Failed),
            };
            let until = until.map_or("-".to_owned(), |until| until.since(at(0)).as_micros().to_string());
            told.push(format!("{event} {until}"));
        }
        let held: Vec<String> = (0..30)
            .map(|half| if lease.is_valid(at(half * 500_000)) { "1" } else { "0" }.to_owned())
            .collect();
        lines.push(format!("{events}: {}; {}", told.join(", "), held.concat()));
    }
    compare(&lines, include_str!("fixtures/compatibility/discovery/list_lease.txt"));
}

#[test]
fn starts_of_servers_are_what_was_recorded() {
    let text = |time: Option<Time>| time.map_or("none".to_owned(), |time| time.as_micros().to_string());
    let mut lines = Vec::new();
    // `w`: a watch is in step; `n`: news; `e`: the watch ended, in step a second before; `-`: nothing.
    for events in ["-", "n", "w", "wn", "wne", "we", "wee", "ene", "wnewn", "w---e--", "w------"] {
        let mut times = StartTimes::default();
        let mut now = Time::from_micros(1_800_000_000_000_000);
        for event in events.chars() {
            now = now + Span::from_micros(1_700_000);
            match event {
                'w' => times.record_watch_synced(now),
                'n' => times.record_update(now),
                'e' => times.record_watch_end(now - Span::from_micros(1_000_000)),
                _ => {}
            }
        }
        now = now + Span::from_micros(800_000);
        let earliest = times.earliest_new_start(now);
        lines.push(format!("{events}: {}", text(earliest)));
        let now_ms = now.as_micros() as f64 / 1e3;
        let starts = [
            0.0,
            -1.0,
            f64::NAN,
            0.25,
            now_ms - 100.0,
            now_ms - 7_000.0,
            now_ms - 3.6e6,
            now_ms + 3.6e6,
            f64::INFINITY,
        ];
        for (number, since_ms) in starts.into_iter().enumerate() {
            let server = ServerId(number as u32);
            let first = times.start_time(now, server, since_ms, None);
            let other = times.start_time(now, ServerId(100 + number as u32), since_ms, earliest);
            let later = now + Span::from_micros(900_000);
            let again = times.start_time(later, server, since_ms, earliest);
            let changed = times.start_time(later, server, since_ms + 50.0, earliest);
            let [first, other, again, changed] = [first, other, again, changed].map(text);
            lines.push(format!("  {number}: {first} {other} {again} {changed}"));
        }
    }
    compare(&lines, include_str!("fixtures/compatibility/discovery/start_times.txt"));
}
