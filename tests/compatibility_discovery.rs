//! Compatibility of the protocols between gateways and discovery, and of the datagrams between gateways about
//! permits for new servers, compared byte for byte with recorded fixtures.
//!
//! Each test writes the results of fixed inputs, one per line, and compares them with the recorded text. The
//! results are formatted by explicit matches instead of `Debug`, so that identifiers can be renamed.

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
/// Number of connections at which the server of a permit is full.
const CONNECTIONS_WHEN_FULL: f64 = 54.0;

/// Returns the time this many microseconds after the start of a test.
fn time_at(us: i64) -> Time {
    Time::from_micros(1_000_000_000 + us)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a write to a string succeeds");
        text
    })
}

/// Compares the lines with the recorded text, first one by one, so that a failure shows the first difference.
fn assert_recorded(lines: &[String], recorded: &str) {
    for (found, expected) in lines.iter().zip(recorded.lines()) {
        assert_eq!(found, expected);
    }
    assert_eq!(lines.len(), recorded.lines().count(), "number of lines");
    assert_eq!(format!("{}\n", lines.join("\n")), recorded);
}

// ---- Permit datagrams -----------------------------------------------------------------------

fn slow_start_config() -> SlowStartConfig {
    SlowStartConfig {
        overload_factor: 2.5,
        overload_window: Span::from_micros(2_000_000),
        initial_capacity_share: 0.13,
        warm_up_time: Span::from_micros(24_000_000),
    }
}

/// Returns the permits of a gateway whose endpoint list has one server, with this key.
fn gateway_permits(gateway: u32, key: u32) -> Permits {
    let mut permits = Permits::new(GatewayId(gateway), GATEWAYS, slow_start_config(), time_at(0));
    permits.update_servers(std::iter::once((key, time_at(0))));
    permits
}

fn format_reply(reply: PermitReply) -> String {
    match reply {
        PermitReply::Granted { expires_at, below_fair_share } => {
            format!("granted until {} below fair share {below_fair_share}", expires_at.as_micros())
        }
        PermitReply::Denied { retry_after, below_fair_share } => {
            format!("denied for {} below fair share {below_fair_share}", retry_after.as_micros())
        }
        PermitReply::NoReply => "no reply".to_owned(),
    }
}

fn format_step(step: PermitStep) -> String {
    match step {
        PermitStep::Send(datagram) => format!("send {} {}", datagram.to.0, hex(datagram.bytes())),
        PermitStep::SendTwice(datagram) => format!("send twice {} {}", datagram.to.0, hex(datagram.bytes())),
        PermitStep::AwaitReply { datagram, request_number: number } => {
            let (to, bytes) = (datagram.to.0, hex(datagram.bytes()));
            format!("request to {to} {bytes} number {number} key {:08x}", datagram.key())
        }
        PermitStep::Resolved { server: key, reply } => format!("resolved {key:08x} {}", format_reply(reply)),
    }
}

fn format_next_step(next: Option<PermitStep>) -> String {
    next.map_or("nothing".to_owned(), format_step)
}

/// Records 40 permit requests of the gateways in turn. Every fifth reply is lost, the others are received
/// twice.
fn record_permit_requests(key: u32, lines: &mut Vec<String>) {
    let mut gateways: Vec<Permits> = (0..GATEWAYS).map(|gateway| gateway_permits(gateway, key)).collect();
    let grantors = gateways[0].grantors(key);
    let grantors: Vec<String> = grantors.iter().map(|grantor| grantor.0.to_string()).collect();
    lines.push(format!("key {key:08x} grantors {}", grantors.join(" ")));
    for (round, now) in (0..40_i64).map(|round| (round, time_at(round * 170_000))) {
        let requester = (round as u32) % GATEWAYS;
        let request = gateways[requester as usize].request_permit(now, key, CONNECTIONS_WHEN_FULL);
        lines.push(format!("{round} of {requester}: {}", format_step(request)));
        let PermitStep::AwaitReply { datagram, request_number } = request else { continue };
        let received_at = now + Span::from_micros(20_000);
        let grantor = &mut gateways[datagram.to.0 as usize];
        let reply = grantor.handle_datagram(
            received_at,
            GatewayId(requester),
            datagram.bytes(),
            CONNECTIONS_WHEN_FULL,
        );
        let reply = reply.expect("a grantor accepts the request").expect("a request has a reply");
        lines.push(format!("{round} at {}: {}", datagram.to.0, format_step(reply)));
        let requester = &mut gateways[requester as usize];
        if round % 5 == 4 {
            let next = requester.handle_reply_timeout(now + REPLY_TIMEOUT, key, request_number);
            lines.push(format!("{round} timed out: {}", format_next_step(next)));
            if let Some(PermitStep::AwaitReply { request_number, .. }) = next {
                let second_timeout = now + REPLY_TIMEOUT + REPLY_TIMEOUT;
                let next = requester.handle_reply_timeout(second_timeout, key, request_number);
                lines.push(format!("{round} timed out again: {}", format_next_step(next)));
            }
            continue;
        }
        let (PermitStep::Send(reply) | PermitStep::SendTwice(reply)) = reply else {
            panic!("a reply is sent")
        };
        for _ in 0..2 {
            let received_at = now + Span::from_micros(40_000);
            let next =
                requester.handle_datagram(received_at, datagram.to, reply.bytes(), CONNECTIONS_WHEN_FULL);
            let next = next.expect("a reply to this request");
            lines.push(format!("{round} back: {}", format_next_step(next)));
        }
    }
    for (gateway, permits) in gateways.iter().enumerate() {
        let invariants = permits.check_invariants();
        let invariants = invariants.map_or_else(|error| error.to_string(), |()| "holds".to_owned());
        let last_granted = permits.last_granted_permit(key);
        lines.push(format!("last granted by {gateway}: {last_granted} {invariants}"));
    }
}

#[test]
fn permit_datagrams_are_written_and_read_as_recorded() {
    let mut lines = vec![format!(
        "request {REQUEST_LENGTH} longest {MAX_DATAGRAM_LENGTH} lifetime {} time-out {}",
        PERMIT_LIFETIME.as_micros(),
        REPLY_TIMEOUT.as_micros()
    )];
    for key in [0x5be2_a07c, 1, 0xffff_ffff, 0x0102_0304] {
        record_permit_requests(key, &mut lines);
    }
    let key = 0x5be2_a07c;
    let grantors = gateway_permits(0, key).grantors(key);
    let other = (0..GATEWAYS).map(GatewayId).find(|it| !grantors.contains(it)).expect("another gateway");
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
        (grantors[0].0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (grantors[1].0, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (GATEWAYS, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (u32::MAX, &[18, 0, 1, 0x5b, 0xe2, 0xa0, 0x7c]),
        (GATEWAYS, &[]),
    ];
    for (from, bytes) in inputs {
        let mut grantor = gateway_permits(grantors[0].0, key);
        let result = match grantor.handle_datagram(time_at(0), GatewayId(from), bytes, CONNECTIONS_WHEN_FULL)
        {
            Ok(next) => format_next_step(next),
            Err(error) => format!("error: {error}"),
        };
        lines.push(format!("from {from} {} -> {result}", hex(bytes)));
    }
    record_received_replies(key, &grantors, other, &mut lines);
    assert_recorded(&lines, include_str!("fixtures/compatibility/discovery/permits.txt"));
}

/// Records the handling of replies to a request, with all flags and the smallest and largest wait, from the
/// grantor that was requested and from another one, and with a right and a wrong request number.
fn record_received_replies(key: u32, grantors: &[GatewayId], other: GatewayId, lines: &mut Vec<String>) {
    for (flags, wait) in [(0, 0), (0, 1), (0, 255), (1, 0), (1, 7), (2, 3), (3, 0), (0xfc, 9), (0xff, 255)] {
        let mut requester = gateway_permits(other.0, key);
        let request = requester.request_permit(time_at(0), key, CONNECTIONS_WHEN_FULL);
        let PermitStep::AwaitReply { datagram: request, .. } = request else {
            panic!("a request is sent to a grantor")
        };
        let unrequested = *grantors.iter().find(|&&grantor| grantor != request.to).expect("two grantors");
        let mut bytes = request.bytes().to_vec();
        bytes[0] = 19;
        bytes.extend([flags, wait]);
        let senders = [(unrequested, 0), (request.to, 9), (request.to, 0), (request.to, 0)];
        for (from, number_change) in senders {
            let mut bytes = bytes.clone();
            bytes[1] ^= number_change;
            let result = match requester.handle_datagram(time_at(30_000), from, &bytes, CONNECTIONS_WHEN_FULL)
            {
                Ok(next) => format_next_step(next),
                Err(error) => format!("error: {error}"),
            };
            lines.push(format!("reply from {} {} -> {result}", from.0, hex(&bytes)));
        }
    }
}

// ---- Responses of discovery -----------------------------------------------------------------

fn status_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Serving => "serving",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Deleted => "deleted",
    }
}

fn format_endpoint(entry: &Endpoint) -> String {
    format!(
        "[{} | {} | {} | {} | {} | {} | {:016x} | {:016x}]",
        entry.name,
        entry.address,
        entry.zone.escape_default(),
        entry.kind,
        entry.cell,
        status_name(entry.status),
        entry.weight.to_bits(),
        entry.since_ms.to_bits()
    )
}

fn format_list(list: &EndpointList) -> String {
    let entries: Vec<String> = list.endpoints.iter().map(format_endpoint).collect();
    let applies = [0, 5, 6, u64::MAX].map(|version| list.applies_to(version).to_string()).join(" ");
    format!("list {} snapshot {} applies {applies} {}", list.index, list.snapshot, entries.concat())
}

fn watch_end_name(end: WatchEnd) -> &'static str {
    match end {
        WatchEnd::Closed => "closed",
        WatchEnd::ConnectionRefused => "refused",
        WatchEnd::Failed => "failed",
    }
}

fn format_watch_error(error: &WatchError) -> String {
    let [before, after] = [false, true].map(|synced| watch_end_name(error.watch_end(synced)));
    format!("error: {error}; before {before} after {after}")
}

/// Returns the events, and the error if there is one, that a watch decodes from these bytes if it receives
/// `chunk_length` of them at a time.
fn decode_watch(bytes: &[u8], chunk_length: usize) -> Vec<String> {
    let mut lines = Vec::new();
    let (mut codec, mut buffer) = (WatchCodec::default(), BytesMut::new());
    for chunk in bytes.chunks(chunk_length) {
        buffer.extend_from_slice(chunk);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(WatchEvent::List(list))) => lines.push(format_list(&list)),
                Ok(Some(WatchEvent::Heartbeat)) => lines.push("heartbeat".to_owned()),
                Ok(None) => break,
                Err(error) => {
                    lines.push(format_watch_error(&error));
                    return lines;
                }
            }
        }
    }
    lines.push(format!("{} bytes left", buffer.len()));
    lines
}

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a response with these chunks.
fn chunked_response(chunks: &[&str]) -> Vec<u8> {
    let mut text = RESPONSE_HEAD.to_owned();
    for chunk in chunks {
        write!(text, "{:x}\r\n{chunk}\r\n", chunk.len()).expect("a write to a string succeeds");
    }
    text.into_bytes()
}

/// Returns valid and invalid responses of discovery, with the names under which they are recorded.
fn responses() -> Vec<(&'static str, Vec<u8>)> {
    let full = r#"{"index":5,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","zone":"a","type":"m","group":1,"status":"DRAINING","weight":1.5,"since_ms":7}]}"#;
    let minimal = r#"{"endpoints":[{"name":"s-2","address":"[::1]:80","status":"SERVING"},{"name":"s-3","address":"10.0.0.1:1","status":"DELETED","extra":[1,{}]}]}"#;
    let braces =
        r#"{"index":6,"endpoints":[{"name":"s","address":"127.0.0.1:9","status":"SERVING","zone":"}\n{"}]}"#;
    let (first, rest) = full.split_at(40);
    let indented = "{\n  \"index\": 9,\n  \"endpoints\": [\n  ]\n}\n";
    let oversized = format!("{{\"index\":1,\"endpoints\":[],\"x\":\"{}", "x".repeat(1 << 20));
    vec![
        ("nothing", Vec::new()),
        ("head alone", RESPONSE_HEAD.into()),
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
        ("beats", chunked_response(&["\n", "\r\n", "\n\n", " \n"])),
        ("whole list", chunked_response(&[full, "\n"])),
        ("whole list on a line", chunked_response(&[&format!("{full}\n")])),
        ("least fields", chunked_response(&[minimal, "\n"])),
        ("braces in a name", chunked_response(&[braces, "\n\n"])),
        ("cut in two chunks", chunked_response(&[first, rest, "\n", "\n"])),
        ("two on a line", chunked_response(&[&format!("{full}{minimal}\n")])),
        ("indented", chunked_response(&[indented, "\n"])),
        ("no break at the end", chunked_response(&[full])),
        ("empty list", chunked_response(&["{\"endpoints\":[]}\n"])),
        ("end of chunks", [chunked_response(&[full, "\n"]), b"0\r\n\r\nmore".to_vec()].concat()),
        ("bad size", [RESPONSE_HEAD.as_bytes(), b"zz\r\n"].concat()),
        ("negative size", [RESPONSE_HEAD.as_bytes(), b"-1\r\n"].concat()),
        ("long size line", [RESPONSE_HEAD.as_bytes(), b"1;", &[b'x'; 300], b"\r\n\n\r\n"].concat()),
        ("size extension", [RESPONSE_HEAD.as_bytes(), b"1;a=b\r\n\n\r\n"].concat()),
        ("no break after data", [RESPONSE_HEAD.as_bytes(), b"1\r\n\nxx"].concat()),
        ("no json", chunked_response(&["hello\n"])),
        ("unfinished", chunked_response(&["{\"index\":1"])),
        ("unfinished line", chunked_response(&["{\"index\":1,\n", "\"endpoints\":[]}\n"])),
        ("array", chunked_response(&["[]\n"])),
        ("number", chunked_response(&["17\n"])),
        ("no endpoints", chunked_response(&["{\"index\":1}\n"])),
        (
            "unknown status",
            chunked_response(&[
                "{\"endpoints\":[{\"name\":\"s\",\"address\":\"127.0.0.1:9\",\"status\":\"UP\"}]}\n",
            ]),
        ),
        (
            "lower status",
            chunked_response(&[
                "{\"endpoints\":[{\"name\":\"s\",\"address\":\"127.0.0.1:9\",\"status\":\"serving\"}]}\n",
            ]),
        ),
        (
            "bad address",
            chunked_response(&[
                "{\"endpoints\":[{\"name\":\"s\",\"address\":\"host:9\",\"status\":\"SERVING\"}]}\n",
            ]),
        ),
        (
            "no name",
            chunked_response(&["{\"endpoints\":[{\"address\":\"127.0.0.1:9\",\"status\":\"SERVING\"}]}\n"]),
        ),
        ("negative index", chunked_response(&["{\"index\":-1,\"endpoints\":[]}\n"])),
        ("huge index", chunked_response(&["{\"index\":18446744073709551615,\"endpoints\":[]}\n"])),
        ("good, then bad", chunked_response(&[&format!("{full}\n"), "x\n", "\n"])),
        ("good and bad on a line", chunked_response(&[&format!("{full}x\n")])),
        ("invalid utf-8", [RESPONSE_HEAD.as_bytes(), b"3\r\n\xff\xfe\n\r\n"].concat()),
        ("over-long object", chunked_response(&[&oversized])),
    ]
}

#[test]
fn watch_requests_and_responses_are_as_recorded() {
    let mut lines = Vec::new();
    for (host, version) in [("127.0.0.1:80", 0), ("[::1]:9", 17), ("d", u64::MAX)] {
        lines.push(watch_request(host, version).escape_default().to_string());
    }
    for (name, bytes) in responses() {
        for chunk_length in [usize::MAX, 7, 1] {
            if chunk_length < 64 && bytes.len() > 100_000 {
                continue;
            }
            lines.push(format!("{name}, {chunk_length} at a time"));
            lines.extend(decode_watch(&bytes, chunk_length).into_iter().map(|line| format!("  {line}")));
        }
    }
    let io_errors = [
        io::ErrorKind::ConnectionRefused,
        io::ErrorKind::ConnectionReset,
        io::ErrorKind::TimedOut,
        io::ErrorKind::UnexpectedEof,
    ];
    let io_error = |kind| format_watch_error(&WatchError::Io(io::Error::new(kind, "by the test")));
    lines.extend(io_errors.map(io_error));
    lines.push(format_watch_error(&WatchError::Silent(Duration::from_millis(2_500))));
    lines.push(format_watch_error(&WatchError::StaleChanges { list_version: 7, changes_version: 3 }));
    assert_recorded(&lines, include_str!("fixtures/compatibility/discovery/watch.txt"));
}

#[test]
fn endpoint_entries_are_written_and_read_as_recorded() {
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
            Ok(endpoint) => {
                let written = serde_json::to_string(&endpoint).expect("the entry is serialized");
                format!("  {}\n  {written}", format_endpoint(&endpoint))
            }
            Err(error) => format!("  error: {error}"),
        });
    }
    let list = EndpointList { index: 3, snapshot: true, endpoints: Vec::new() };
    lines.push(serde_json::to_string(&list).expect("the list is serialized"));
    for status in [EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Deleted] {
        let state = match ServerState::from(status) {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
            ServerState::Removed => "gone",
        };
        let written = serde_json::to_string(&status).expect("the status is serialized");
        lines.push(format!("{written} is {state}"));
    }
    let lines: Vec<String> = lines.iter().flat_map(|it| it.lines()).map(str::to_owned).collect();
    assert_recorded(&lines, include_str!("fixtures/compatibility/discovery/endpoints.txt"));
}

// ---- Lease of the endpoint list, and start times --------------------------------------------

#[test]
fn list_lease_is_valid_for_as_long_as_recorded() {
    let mut lines = vec![format!(
        "heartbeat {} time-out {} call {} staleness {} wait {}",
        HEARTBEAT_INTERVAL.as_micros(),
        HEARTBEAT_TIMEOUT.as_micros(),
        CALL_TIMEOUT.as_micros(),
        MAX_LIST_STALENESS.as_micros(),
        MAX_POLL_WAIT.as_micros()
    )];
    // Each letter is an event, half a second after the previous one: `s` renews the lease; at the others the
    // watch is closed (`c`), refused (`r`) or fails (`f`).
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
        let mut lease = ListLease::new(time_at(0));
        let mut expiries = Vec::new();
        let mut now = time_at(0);
        for event in events.chars() {
            let last_synced = now;
            now = now + Span::from_micros(500_000);
            let expires_at = match event {
                's' => {
                    lease.renew();
                    None
                }
                'c' => lease.handle_watch_end(now, last_synced, WatchEnd::Closed),
                'r' => lease.handle_watch_end(now, last_synced, WatchEnd::ConnectionRefused),
                _ => lease.handle_watch_end(now, last_synced, WatchEnd::Failed),
            };
            let expires_at = expires_at.map(|time| time.since(time_at(0)).as_micros().to_string());
            expiries.push(format!("{event} {}", expires_at.unwrap_or_else(|| "-".to_owned())));
        }
        let validity: Vec<&str> = (0..30)
            .map(|half_seconds| if lease.is_valid(time_at(half_seconds * 500_000)) { "1" } else { "0" })
            .collect();
        lines.push(format!("{events}: {}; {}", expiries.join(", "), validity.concat()));
    }
    assert_recorded(&lines, include_str!("fixtures/compatibility/discovery/list_lease.txt"));
}

#[test]
fn start_times_of_servers_are_as_recorded() {
    let format_time =
        |time: Option<Time>| time.map_or("none".to_owned(), |time| time.as_micros().to_string());
    let mut lines = Vec::new();
    // `w`: the watch is synchronized; `n`: an update of the list; `e`: the watch has ended and was
    // synchronized until one second before; `-`: no event.
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
        lines.push(format!("{events}: {}", format_time(earliest)));
        let now_ms = now.as_micros() as f64 / 1e3;
        let listed_starts_ms = [
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
        for (number, since_ms) in listed_starts_ms.into_iter().enumerate() {
            let server = ServerId(number as u32);
            let first = times.start_time(now, server, since_ms, None);
            let other = times.start_time(now, ServerId(100 + number as u32), since_ms, earliest);
            let later = now + Span::from_micros(900_000);
            let again = times.start_time(later, server, since_ms, earliest);
            let changed = times.start_time(later, server, since_ms + 50.0, earliest);
            let [first, other, again, changed] = [first, other, again, changed].map(format_time);
            lines.push(format!("  {number}: {first} {other} {again} {changed}"));
        }
    }
    assert_recorded(&lines, include_str!("fixtures/compatibility/discovery/start_times.txt"));
}
