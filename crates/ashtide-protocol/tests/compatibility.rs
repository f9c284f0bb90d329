//! Compatibility of the line protocol, byte for byte: the values parsed from each line, the lines written,
//! and the texts of all errors are compared with recorded fixtures, which never change.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use ashtide_protocol::{
    ClientEvent, ClientSide, Ending, FAILED, GatewayEvent, GatewaySide, LineCodec, MAX_FIELD, MAX_LINE, MOVE,
    Open, OpenError, OpenParameters, PONG, PeerFault, ServerEvent, ServerSide, busy,
};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Compares a text with a fixture. If they differ, writes the text to the build's folder for temporary files
/// and panics with the first line that differs.
fn assert_fixture(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let found_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&found_file, found).expect("write to the build's temporary folder");
    let difference = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let difference = difference.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\nentire text found: {}",
        difference + 1,
        expected.lines().nth(difference),
        found.lines().nth(difference),
        found_file.display()
    );
}

/// Returns bytes as printable text. Runs of more than 16 equal bytes are written as the byte and their
/// number.
fn printable(bytes: &[u8]) -> String {
    let mut text = String::new();
    let mut rest = bytes;
    while let Some(&first) = rest.first() {
        let run = rest.iter().take_while(|&&byte| byte == first).count();
        let escaped = [first].escape_ascii().to_string();
        if run > 16 {
            let _ = write!(text, "<{escaped} {run} times>");
        } else {
            text += &escaped.repeat(run);
        }
        rest = &rest[run..];
    }
    text
}

fn format_optional(text: Option<&str>) -> String {
    text.map_or_else(|| "-".to_owned(), |text| format!("'{}'", printable(text.as_bytes())))
}

fn format_open_error(error: OpenError) -> String {
    let kind = match error {
        OpenError::Form => "form",
        OpenError::Value(_) => "value",
        OpenError::Missing(_) => "missing",
        OpenError::Twice => "twice",
        OpenError::Bounds => "bounds",
        OpenError::Early => "early",
    };
    format!("{kind}: {error}")
}

fn format_open(open: &Open) -> String {
    let timeout =
        open.client_timeout.map_or_else(|| "-".to_owned(), |timeout| format!("{} us", timeout.as_micros()));
    let load = open.expected_load.map_or_else(|| "-".to_owned(), |load| format!("{:016x}", load.to_bits()));
    let mut text = format!(
        "raw '{}' id '{}' class '{}' tenant {} group {} wait {timeout} load {load} at {} retry {} again {}",
        printable(&open.raw),
        printable(&open.id),
        printable(open.class.as_bytes()),
        format_optional(open.tenant.as_deref()),
        format_optional(open.group.as_deref()),
        format_optional(open.restored_server.as_deref()),
        open.is_retry,
        open.is_reconnect
    );
    for timeout in [Duration::ZERO, Duration::from_micros(1_999_999), Duration::from_secs(86_400)] {
        let _ = write!(text, "\n    forwarded '{}'", printable(&open.forward(timeout)));
    }
    text
}

/// Returns valid and invalid first lines of a client, without their CRLF.
fn first_lines() -> Vec<Vec<u8>> {
    let mut lines: Vec<Vec<u8>> = [
        "OPEN 1 2 c=meter,d=3000",
        "OPEN 9b1f03aa5c7e2d41 meter-77 c=resident-reading,t=north,d=2000,g=meter-77,h=12.5,r=1,again=1",
        "OPEN 1 2 d=3000,c=meter",
        "OPEN 1 2 c=meter,d=0",
        "OPEN 1 2 c=meter,d=0.4",
        "OPEN 1 2 c=meter,d=.5",
        "OPEN 1 2 c=meter,d=5.",
        "OPEN 1 2 c=meter,d=.",
        "OPEN 1 2 c=meter,d=",
        "OPEN 1 2 c=meter,d=-1",
        "OPEN 1 2 c=meter,d=+1",
        "OPEN 1 2 c=meter,d=1e3",
        "OPEN 1 2 c=meter,d=inf",
        "OPEN 1 2 c=meter,d=NaN",
        "OPEN 1 2 c=meter,d=600000",
        "OPEN 1 2 c=meter,d=600000.5",
        "OPEN 1 2 c=meter,d=600001",
        "OPEN 1 2 c=meter,d=1000000000000",
        "OPEN 1 2 c=meter,d=1000000000001",
        "OPEN 1 2 c=meter,d=0000000003000",
        "OPEN 1 2 c=meter,d=1.2.3",
        "OPEN 1 2 c=meter",
        "OPEN 1 2 d=3000",
        "OPEN 1 2 c=,d=3000",
        "OPEN 1 2 c=meter,at=s-1",
        "OPEN 1 2 c=meter,at=",
        "OPEN 1 2 c=meter,at=s-1,d=900000",
        "OPEN 1 2 c=meter,d=3000,at=s-1",
        "OPEN 1 2 c=meter,d=3000,h=0",
        "OPEN 1 2 c=meter,d=3000,h=1000000000000",
        "OPEN 1 2 c=meter,d=3000,h=1000000000000.1",
        "OPEN 1 2 c=meter,d=3000,h=-1",
        "OPEN 1 2 c=meter,d=3000,h=x",
        "OPEN 1 2 c=meter,d=3000,r=0,again=0",
        "OPEN 1 2 c=meter,d=3000,r=,again=yes",
        "OPEN 1 2 c=meter,d=3000,r=11,again=1",
        "OPEN 1 2 c=meter,d=3000,t=,g=",
        "OPEN 1 2 c=meter,d=3000,x=1,y=2,zz=three=3",
        "OPEN 1 2 c=meter,d=3000,c=meter",
        "OPEN 1 2 c=meter,d=3000,d=3000",
        "OPEN 1 2 c=meter,d=3000,x=1,x=1",
        "OPEN 1 2 c=meter,d=3000,",
        "OPEN 1 2 ,c=meter,d=3000",
        "OPEN 1 2 c=meter,,d=3000",
        "OPEN 1 2 c,d=3000",
        "OPEN 1 2 =meter,d=3000",
        "OPEN 1 2 C=meter,D=3000",
        "OPEN 1 2",
        "OPEN 1 2 ",
        "OPEN 1",
        "OPEN",
        "OPEN ",
        "open 1 2 c=meter,d=3000",
        "OPENS 1 2 c=meter,d=3000",
        " OPEN 1 2 c=meter,d=3000",
        "OPEN  1 2 c=meter,d=3000",
        "OPEN 1  2 c=meter,d=3000",
        "OPEN 1 2  c=meter,d=3000",
        "OPEN 1 2 c=meter,d=3000 ",
        "OPEN 1 2 c=meter,d=3000 x",
        "OPEN\t1\t2\tc=meter,d=3000",
        "OPEN 1 2 c=me\tter,d=3000",
        "OPEN 1 2 c=m\u{e9}ter,d=3000",
        "OPEN 1 2 c=meter\n,d=3000",
        "OPEN 1 2 c=meter\r,d=3000",
        "OPEN 1 2 c=meter\0,d=3000",
        "OPEN 1 2 c=meter\u{7f},d=3000",
        "OPEN 1 2 c=~,d=3000",
        "PING",
        "PING ",
        "ping",
        "PONG",
        "UP x",
        "",
        " ",
        "GET / HTTP/1.1",
    ]
    .iter()
    .map(|line| line.as_bytes().to_vec())
    .collect();
    lines.push(b"\x16\x03\x01\x02\x00\x01\x00".to_vec());
    lines.push(b"OPEN 1 2 c=\xff,d=3000".to_vec());
    for length in [MAX_FIELD - 1, MAX_FIELD, MAX_FIELD + 1] {
        let long = "k".repeat(length);
        lines.push(format!("OPEN {long} 2 c=meter,d=3000").into_bytes());
        lines.push(format!("OPEN 1 {long} c=meter,d=3000").into_bytes());
        lines.push(format!("OPEN 1 2 c={},d=3000", &long[2..]).into_bytes());
        lines.push(format!("OPEN 1 2 c=meter,d=3000,{long}=").into_bytes());
    }
    for names in [29, 30, 31] {
        let more: String = (0..names).map(|number| format!(",n{number}=x")).collect();
        lines.push(format!("OPEN 1 2 c=meter,d=3000{more}").into_bytes());
    }
    lines
}

/// Generator of pseudo-random cases (xorshift), independent of other crates so that none of their releases
/// changes the cases.
struct CaseGenerator(u64);

impl CaseGenerator {
    /// Returns a number below `limit`.
    fn next(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }

    fn pick<'a>(&mut self, choices: &[&'a str]) -> &'a str {
        choices[self.next(choices.len())]
    }

    fn open_line(&mut self) -> Vec<u8> {
        let mut line = String::from(self.pick(&["OPEN ", "OPEN ", "OPEN ", "OPEN ", "OPEN", "PING", ""]));
        line += self.pick(&["1", "00000000000000aa", "", "~!", "1 "]);
        line += self.pick(&[" ", " ", " ", "", ","]);
        line += self.pick(&["2", "meter-77", "", "k=v,w"]);
        line.push(' ');
        for number in 0..self.next(7) {
            if number > 0 {
                line.push(',');
            }
            line += self.pick(&["c", "c", "d", "d", "t", "g", "h", "at", "r", "again", "x", ""]);
            line += self.pick(&["=", "=", "=", "=", "=", "=", "", "=="]);
            line +=
                self.pick(&["meter", "3000", "1", "0", "12.5", "s-1", "", "1e9", "-1", "600000", "6000000"]);
        }
        line.into_bytes()
    }
}

#[test]
fn first_lines_are_parsed_as_recorded() {
    let mut generator = CaseGenerator(0x5eed);
    let generated = (0..600).map(|_| generator.open_line());
    let mut found = String::new();
    for mut line in first_lines().into_iter().chain(generated) {
        for end in ["\r\n", ""] {
            let length = line.len();
            line.extend_from_slice(end.as_bytes());
            let parsed = Open::parse(Bytes::copy_from_slice(&line));
            let outcome = match &parsed {
                Ok(open) => format_open(open),
                Err(error) => format_open_error(*error),
            };
            let _ = writeln!(found, "'{}' => {outcome}", printable(&line));
            line.truncate(length);
        }
    }
    assert_fixture("first_lines.txt", &found);
}

fn format_client_event(event: &ClientEvent) -> String {
    match event {
        ClientEvent::Ping => "ping".to_owned(),
        ClientEvent::Open(open) => format!("open '{}' of class '{}'", printable(&open.raw), open.class),
        ClientEvent::Forward(line) => format!("pass '{}'", printable(line)),
        ClientEvent::Invalid(error) => format!("bad, {}", format_open_error(*error)),
    }
}

#[test]
fn client_lines_are_interpreted_as_recorded() {
    const OPEN: &str = "OPEN 1 2 c=meter,d=3000\r\n";
    // Two lines of half the maximum length fill the buffer for early lines exactly; one byte more exceeds it.
    let half = format!("{}\r\n", "x".repeat(2046));
    let over_half = format!("{}\r\n", "x".repeat(2047));
    // `^` is no line: it marks the connection as established.
    let sequences: [&[&str]; 12] = [
        &["PING\r\n", "PING\r\n", OPEN, "PING\r\n", "a\r\n"],
        &["PING \r\n", OPEN],
        &["ping\r\n"],
        &[OPEN, OPEN],
        &[OPEN, "OPENING\r\n"],
        &[OPEN, "OPE\r\n", "\r\n"],
        &[OPEN, "1\r\n", "2\r\n", "3\r\n", "4\r\n", "5\r\n", "6\r\n", "7\r\n", "8\r\n", "9\r\n"],
        &[OPEN, &half, &half, "\r\n"],
        &[OPEN, &half, &over_half],
        &[OPEN, "a\r\n", "^", OPEN, "PING\r\n", "^", "b\r\n"],
        &["^", "PING\r\n", OPEN],
        &["a\r\n", OPEN, "b\r\n"],
    ];
    let mut found = String::new();
    for sequence in sequences {
        let mut side = ClientSide::default();
        found += "client\n";
        for &line in sequence {
            if line == "^" {
                side.set_established();
                found += "  is up\n";
                continue;
            }
            let event = side.line(Bytes::copy_from_slice(line.as_bytes()));
            let _ = writeln!(found, "  '{}' => {}", printable(line.as_bytes()), format_client_event(&event));
        }
    }
    assert_fixture("clients.txt", &found);
}

fn format_ending(ending: Ending) -> &'static str {
    match ending {
        Ending::Served => "served",
        Ending::Moved => "moved",
        Ending::Busy => "busy",
        Ending::Failed => "failed",
        Ending::Unreached => "unreached",
        Ending::Reset => "reset",
    }
}

fn format_server_event(event: &ServerEvent) -> String {
    match event {
        ServerEvent::Up(line) => format!("up '{}'", printable(line)),
        ServerEvent::AttemptEnded(ending) => format!("over, {}", format_ending(*ending)),
        ServerEvent::Forward(line) => format!("pass '{}'", printable(line)),
        ServerEvent::Load(line, load) => format!("load {:016x} '{}'", load.to_bits(), printable(line)),
        ServerEvent::FinalLine(line) => format!("last '{}'", printable(line)),
    }
}

/// Lines that a server or a gateway may send, valid and invalid.
const ANSWERS: [&[u8]; 38] = [
    b"UP receipt\r\n",
    b"UP a b c\r\n",
    b"UP \r\n",
    b"UP  \r\n",
    b"UP  x\r\n",
    b"UP\r\n",
    b"UPx\r\n",
    b"up x\r\n",
    b"UP a\nUP b\r\n",
    b"UP \x00\xff\r\n",
    b"UP \xc3\xa9\r\n",
    b"UP a\tb\r\n",
    b"BUSY\r\n",
    b"BUSY \r\n",
    b"BUSY 0\r\n",
    b"BUSY 400\r\n",
    b"BUSY 99999999999999999999\r\n",
    b"BUSY -1\r\n",
    b"BUSY 1.5\r\n",
    b"BUSY 1 2\r\n",
    b"BUSYUP x\r\n",
    b"ERR\r\n",
    b"ERR why\r\n",
    b"MOVE\r\n",
    b"MOVE \r\n",
    b"MOVE x\r\n",
    b"MOVED\r\n",
    b"BYE\r\n",
    b"BYE \r\n",
    b"BYE x\r\n",
    b"LOAD 12.5\r\n",
    b"LOAD  7 \r\n",
    b"LOAD -1\r\n",
    b"LOAD inf\r\n",
    b"LOAD\r\n",
    b"LOAD x\r\n",
    b"\r\n",
    b"some text of the application\r\n",
];

#[test]
fn server_lines_are_interpreted_as_recorded() {
    let mut found = String::new();
    for (state, written, established) in
        [("before the line", false, false), ("asked", true, false), ("up", true, true)]
    {
        for answer in ANSWERS {
            let mut side = ServerSide::default();
            if written {
                side.set_request_written();
            }
            if established {
                side.line(Bytes::from_static(b"UP receipt\r\n"));
            }
            let before = format_ending(side.ending());
            let event = format_server_event(&side.line(Bytes::from_static(answer)));
            let after = format_ending(side.ending());
            let second = format_server_event(&side.line(Bytes::from_static(b"BYE\r\n")));
            let third = format_ending(side.ending());
            let answer = printable(answer);
            let _ = writeln!(
                found,
                "{state}: {before}, '{answer}' => {event}, {after}; 'BYE\\r\\n' => {second}, {third}"
            );
        }
    }
    for answer in ANSWERS {
        let mut side = ServerSide::established();
        let event = format_server_event(&side.line(Bytes::from_static(answer)));
        let _ = writeln!(
            found,
            "stood before: '{}' => {event}, {}",
            printable(answer),
            format_ending(side.ending())
        );
    }
    assert_fixture("servers.txt", &found);
}

fn format_peer_fault(fault: PeerFault) -> String {
    let kind = match fault {
        PeerFault::Unasked => "unasked",
        PeerFault::TooLong => "too long",
        PeerFault::UpTwice => "up twice",
        PeerFault::AfterEnd => "after end",
        PeerFault::Torn => "torn",
        PeerFault::Stalled => "stalled",
    };
    format!("{kind}: {fault}")
}

fn format_gateway_event(event: &Result<GatewayEvent, PeerFault>) -> String {
    match event {
        Ok(GatewayEvent::Up(receipt)) => format!("up '{}'", printable(receipt)),
        Ok(GatewayEvent::Busy(None)) => "busy".to_owned(),
        Ok(GatewayEvent::Busy(Some(wait))) => format!("busy for {} us", wait.as_micros()),
        Ok(GatewayEvent::Failed(line)) => format!("failed '{}'", printable(line)),
        Ok(GatewayEvent::Line(line)) => format!("line '{}'", printable(line)),
        Ok(GatewayEvent::Move) => "move".to_owned(),
        Ok(GatewayEvent::Bye) => "bye".to_owned(),
        Err(fault) => format!("fault, {}", format_peer_fault(*fault)),
    }
}

#[test]
fn gateway_lines_are_interpreted_as_recorded() {
    let mut found = String::new();
    for (state, request_started, established) in
        [("unasked", false, false), ("asked", true, false), ("up", true, true)]
    {
        for answer in ANSWERS {
            let mut side = GatewaySide::default();
            if request_started {
                side.set_request_started();
            }
            if established {
                let _ = side.line(Bytes::from_static(b"UP receipt\r\n"));
            }
            let first = format_gateway_event(&side.line(Bytes::from_static(answer)));
            let is_established = side.is_established();
            side.set_request_started();
            let second = format_gateway_event(&side.line(Bytes::from_static(b"more\r\n")));
            let _ = writeln!(
                found,
                "{state}: '{}' => {first}, is up: {is_established}; then {second}",
                printable(answer)
            );
        }
    }
    for fault in [
        PeerFault::Unasked,
        PeerFault::TooLong,
        PeerFault::UpTwice,
        PeerFault::AfterEnd,
        PeerFault::Torn,
        PeerFault::Stalled,
    ] {
        let _ = writeln!(found, "fault {}", format_peer_fault(fault));
    }
    assert_fixture("gateways.txt", &found);
}

#[test]
fn streams_are_split_into_lines_as_recorded() {
    let line = |length: usize| [vec![b'x'; length - 2], b"\r\n".to_vec()].concat();
    let streams: Vec<Vec<u8>> = vec![
        b"".to_vec(),
        b"a\r\nb\r\n".to_vec(),
        b"a\nb\rc\r\n\r\n".to_vec(),
        b"\r\n\r\n\r".to_vec(),
        b"a\r\r\nb".to_vec(),
        b"without an end".to_vec(),
        line(MAX_LINE - 1),
        line(MAX_LINE),
        line(MAX_LINE + 1),
        [line(MAX_LINE), line(2), line(MAX_LINE)].concat(),
        vec![b'x'; MAX_LINE - 1],
        vec![b'x'; MAX_LINE],
        [&b"ok\r\n"[..], &[b'y'; 5000]].concat(),
    ];
    let mut found = String::new();
    for stream in streams {
        for chunk_size in [1, 7, 4095, usize::MAX] {
            let _ = writeln!(found, "'{}' by {chunk_size}", printable(&stream));
            let (mut codec, mut buffer) = (LineCodec::default(), BytesMut::new());
            let mut failed = false;
            for chunk in stream.chunks(chunk_size) {
                buffer.extend_from_slice(chunk);
                loop {
                    match codec.decode(&mut buffer) {
                        Ok(Some(line)) => _ = writeln!(found, "  '{}'", printable(&line)),
                        Ok(None) => break,
                        Err(error) => {
                            let _ = writeln!(found, "  {error}");
                            failed = true;
                            break;
                        }
                    }
                }
                if failed {
                    break;
                }
            }
            if !failed {
                match codec.decode_eof(&mut buffer) {
                    Ok(Some(line)) => _ = writeln!(found, "  at the end '{}'", printable(&line)),
                    Ok(None) => _ = writeln!(found, "  left '{}'", printable(&buffer)),
                    Err(error) => _ = writeln!(found, "  at the end {error}"),
                }
            }
        }
    }
    assert_fixture("streams.txt", &found);
}

#[test]
fn requests_are_written_as_recorded() {
    let minimal =
        || OpenParameters { class: "meter".into(), key: "meter-77".into(), ..OpenParameters::default() };
    let full = || OpenParameters {
        tenant: Some("north".into()),
        group: Some("meter-77".into()),
        expected_load: Some(12.5),
        is_retry: true,
        is_reconnect: true,
        ..minimal()
    };
    let mut cases = vec![minimal(), full()];
    for load in [0.0, 1e12, 1e13, -1.0, f64::NAN, f64::INFINITY, 0.1, 1e-7] {
        cases.push(OpenParameters { expected_load: Some(load), ..minimal() });
    }
    for text in ["", " ", "a b", "a,b", "a=b", "\u{e9}", "\r\n", "~"] {
        cases.push(OpenParameters { key: text.into(), ..minimal() });
        cases.push(OpenParameters { class: text.into(), ..minimal() });
        cases.push(OpenParameters { tenant: Some(text.into()), ..minimal() });
        cases.push(OpenParameters { group: Some(text.into()), ..minimal() });
    }
    for length in [MAX_FIELD - 2, MAX_FIELD - 1, MAX_FIELD, MAX_FIELD + 1] {
        let long = "k".repeat(length);
        cases.push(OpenParameters { key: long.clone(), ..minimal() });
        cases.push(OpenParameters { class: long.clone(), ..full() });
        cases.push(OpenParameters { tenant: Some(long.clone()), ..full() });
        cases.push(OpenParameters { group: Some(long), ..full() });
    }
    let timeouts =
        [0, 1, 999, 1000, 1999, 3_200_000, 600_000_000, 90_000_000_000_000].map(Duration::from_micros);
    let mut found = String::new();
    let mut record = |parameters: &OpenParameters, id: &str, timeout: Duration| {
        let line = match parameters.line(id, timeout) {
            Ok(line) => printable(&line),
            Err(error) => format!("error: {error}"),
        };
        let check =
            parameters.check().map_or_else(|error| error.to_string(), |()| "may be written".to_owned());
        let _ =
            writeln!(found, "id '{}', {} us: {line}; {check}", printable(id.as_bytes()), timeout.as_micros());
    };
    for parameters in &cases {
        record(parameters, "9b1f03aa5c7e2d41", timeouts[5]);
    }
    for timeout in timeouts {
        record(&full(), "9b1f03aa5c7e2d41", timeout);
    }
    let long = "i".repeat(MAX_FIELD);
    for id in ["", "a b", "a,b", "\u{e9}", &long, &format!("{long}i")] {
        record(&minimal(), id, timeouts[5]);
    }
    assert_fixture("requests.txt", &found);
}

#[test]
fn final_answers_are_written_as_recorded() {
    let mut found = String::new();
    for (name, line) in [("ping", PONG), ("failed", FAILED), ("moved", MOVE)] {
        let _ = writeln!(found, "{name}: '{}'", printable(line));
    }
    for micros in [0, 1, 999, 1000, 1999, 40_000, 1_000_000, 86_400_000_000] {
        let _ = writeln!(found, "busy {micros} us: '{}'", printable(&busy(Duration::from_micros(micros))));
    }
    let _ = writeln!(found, "longest line {MAX_LINE}, longest field {MAX_FIELD}");
    assert_fixture("answers.txt", &found);
}
