//! QUIC packets and connection ids, and VRRP advertisements: written bytes, and what bytes are read as.

mod transcripts;

use std::fmt::Write as _;
use std::net::Ipv4Addr;

use ashtide::quic::header::{
    HeaderError, encode_version_negotiation, read_varint, write_long_header, write_two_byte_varint,
};
use ashtide::quic::initial::{self, CONNECTION_REFUSED, INTERNAL_ERROR, Side};
use ashtide::quic::load_balancing::{
    MIN_ROUTABLE_ID_LENGTH, decode_server_id, encode_routable_id, server_id_for_name,
};
use ashtide::quic::reset::{ResetKey, is_reset};
use ashtide::quic::{ConnectionId, Header, LongPacketType};
use ashtide::vrrp::{Advertisement, OWNER_PRIORITY};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use transcripts::{assert_outcomes, assert_written, from_hex, text, to_hex};

/// The first id of the example in RFC 9001, appendix A.
const FIRST_ID: [u8; 8] = [0x83, 0x94, 0xc8, 0xf0, 0x3e, 0x51, 0x57, 0x08];

fn encode_header(read: Result<Header, HeaderError>) -> String {
    match read {
        Ok(Header::VersionNegotiation { destination_id: to, source_id: from }) => {
            format!("version negotiation to {} from {}", to_hex(&to), to_hex(&from))
        }
        Ok(Header::OtherVersion { destination_id: to, source_id: from }) => {
            format!("other version to {} from {}", to_hex(&to), to_hex(&from))
        }
        Ok(Header::Long { packet_type: kind, destination_id: to, source_id: from }) => {
            let kind = match kind {
                LongPacketType::Initial => "initial",
                LongPacketType::ZeroRtt => "0-rtt",
                LongPacketType::Handshake => "handshake",
                LongPacketType::Retry => "retry",
            };
            format!("{kind} to {} from {}", to_hex(&to), to_hex(&from))
        }
        Ok(Header::Short { destination_id: to }) => format!("short to {}", to_hex(&to)),
        Err(error) => format!("error {error}"),
    }
}

/// The word before the hex digits is the length of ids on short headers.
#[test]
fn headers_are_read() {
    assert_outcomes("quic_vrrp/headers.txt", 37, |input| {
        let (length, digits) = input.split_once(' ').expect("a length and digits");
        encode_header(Header::parse(&from_hex(digits), length.parse().expect("a length")))
    });
}

#[test]
fn connection_ids_have_at_most_twenty_bytes() {
    for length in [0, 1, 8, 20] {
        let bytes = vec![7; length];
        assert_eq!(ConnectionId::new(&bytes).map(|id| id.to_vec()), Some(bytes));
    }
    assert!(ConnectionId::new(&[7; 21]).is_none());
    let id = ConnectionId::new(&[0x0a, 0xff]).expect("short");
    assert_eq!(format!("{id:?}"), "0aff", "its form in logs");
}

#[test]
fn connection_ids_that_tell_their_server_have_their_bytes() {
    let mut written = String::new();
    for name in ["", "s-0", "s-5be2a07c", "a server with a long name"] {
        let key = server_id_for_name(name);
        let _ = writeln!(written, "server [{name}] {}", to_hex(&key));
        for (rotation, length, nonce) in [
            (0, 12, 1),
            (6, 20, u64::MAX),
            (3, MIN_ROUTABLE_ID_LENGTH, 0x0102_0304_0506_0708),
            (1, 3, 7),
            (2, 40, 7),
            (7, 17, 7),
        ] {
            let id = encode_routable_id(rotation, key, length, nonce);
            let told = decode_server_id(&id, rotation).map(|key| to_hex(&key)).unwrap_or_default();
            let _ = writeln!(written, "{rotation} {length} {nonce}: {} {told}", to_hex(&id));
        }
    }
    assert_written("quic_vrrp/connection_ids.txt", written.as_bytes());
}

/// The word before the hex digits is the configuration's number.
#[test]
fn connection_ids_tell_their_server() {
    assert_outcomes("quic_vrrp/servers_of_ids.txt", 12, |input| {
        let (rotation, digits) = input.split_once(' ').expect("a number and digits");
        let server = decode_server_id(&from_hex(digits), rotation.parse().expect("a number"));
        server.map_or("none".to_owned(), |key| to_hex(&key))
    });
}

#[test]
fn packets_have_their_bytes() {
    let mut written = String::new();
    let mut put = |what: &str, bytes: &[u8]| {
        let _ = writeln!(written, "{what} {}", to_hex(bytes));
    };
    for (to, from, noise) in [(&b"client"[..], &b"server"[..], 0), (b"", b"", 0x7f), (&[1; 20], &[2; 20], 5)]
    {
        put("version negotiation", &encode_version_negotiation(to, from, noise));
        let mut long = vec![9];
        write_long_header(&mut long, 0xe3, 0x0102_0304, to, from);
        put("long header", &long);
    }
    for value in [0, 1, 0x3fff, 0x4000, u16::MAX] {
        let mut varint = Vec::new();
        write_two_byte_varint(&mut varint, value);
        put("varint", &varint);
    }
    for (code, reason) in [
        (CONNECTION_REFUSED, "BUSY 1000"),
        (INTERNAL_ERROR, "ERR"),
        (0x3fff, ""),
        (0, "a reason of more than sixty-four bytes, which is cut to that length, whatever is lost"),
    ] {
        let frames = initial::encode_connection_close(code, reason);
        put("close", &frames);
        for (side, number, at_least) in
            [(Side::Server, 0, 0), (Side::Client, 7, 200), (Side::Server, u32::MAX, 1200)]
        {
            let packet = initial::seal(&FIRST_ID, side, b"client", &FIRST_ID, number, &frames, at_least);
            put("initial", &packet);
            let opened = initial::open(&packet, &FIRST_ID, side).expect("opened");
            assert_eq!((&opened.destination_id[..], &opened.source_id[..]), (&b"client"[..], &FIRST_ID[..]));
            assert!(opened.frames.starts_with(&frames));
        }
    }
    put("initial", &initial::seal(b"", Side::Client, b"", b"", 1, b"", 0));
    assert_written("quic_vrrp/packets.txt", written.as_bytes());
}

/// `side, first id, datagram`.
#[test]
fn initials_are_opened() {
    assert_outcomes("quic_vrrp/initials.txt", 12, |input| {
        let words: Vec<&str> = input.split(' ').collect();
        let side = match words[0] {
            "client" => Side::Client,
            "server" => Side::Server,
            other => panic!("{other}"),
        };
        match initial::open(&from_hex(words[2]), &from_hex(words[1]), side) {
            Some(opened) => {
                let (to, from) = (to_hex(&opened.destination_id), to_hex(&opened.source_id));
                format!("to {to} from {from}\nframes {}", to_hex(&opened.frames))
            }
            None => "none".to_owned(),
        }
    });
}

#[test]
fn frames_that_close_a_connection_are_found() {
    assert_outcomes("quic_vrrp/frames.txt", 26, |input| {
        match initial::find_connection_close(&from_hex(input)) {
            Some((code, reason)) => format!("code {code} reason {reason}"),
            None => "none".to_owned(),
        }
    });
    let thirty_three = [vec![1; 63], from_hex("1c 02 00 00")].concat();
    assert_eq!(initial::find_connection_close(&thirty_three), Some((2, String::new())));
    assert_eq!(initial::find_connection_close(&[vec![1; 64], from_hex("1c 02 00 00")].concat()), None);
}

#[test]
fn variable_length_integers_are_read() {
    assert_outcomes("quic_vrrp/varints.txt", 14, |input| {
        let bytes = from_hex(input);
        let mut rest = &bytes[..];
        match read_varint(&mut rest) {
            Some(value) => format!("{value} rest {}", to_hex(rest)),
            None => format!("none rest {}", to_hex(rest)),
        }
    });
}

#[test]
fn stateless_resets_have_their_bytes() {
    let mut written = String::new();
    for key in [&b""[..], &[7; 16], &[0xfe; 100]] {
        let key = ResetKey::new(key.to_vec());
        for id in [&b""[..], &FIRST_ID, &[3; 20]] {
            let token = key.token(id);
            let _ = writeln!(written, "token {}", to_hex(&token));
            let mut rng = ChaCha8Rng::seed_from_u64(42);
            for length in [0, 1, 21, 22, 23, 42, 43, 1200] {
                let reset = key.encode_reset(id, length, &mut rng);
                let shown = reset.as_ref().map_or("none".to_owned(), |reset| to_hex(reset));
                let _ = writeln!(written, "reset {length} {shown}");
                assert!(reset.is_none_or(|reset| is_reset(&reset, &token)));
            }
        }
    }
    assert_written("quic_vrrp/resets.txt", written.as_bytes());
    let token = ResetKey::new(vec![7; 16]).token(&FIRST_ID);
    assert!(is_reset(&[vec![0x40; 5], token.to_vec()].concat(), &token));
    assert!(!is_reset(&[vec![0x40; 4], token.to_vec()].concat(), &token), "too short");
    assert!(!is_reset(&[vec![0x40; 5], token.to_vec(), vec![0]].concat(), &token), "not at the end");
}

#[test]
fn advertisements_have_their_bytes() {
    let mut written = String::new();
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    for (router, priority, interval, addresses) in [
        (7, 200, 100, vec![address(1)]),
        (1, 0, 1, vec![]),
        (255, OWNER_PRIORITY, 4095, (0..16).map(address).collect()),
        (255, OWNER_PRIORITY, 0xffff, (0..20).map(address).collect()),
    ] {
        let sent = Advertisement {
            virtual_router_id: router,
            priority,
            max_advertise_interval: interval,
            addresses,
        };
        let _ = writeln!(written, "{}", to_hex(&sent.encode()));
    }
    assert_written("quic_vrrp/advertisements.txt", written.as_bytes());
    let first = text("quic_vrrp/advertisements.txt").lines().next().map(from_hex).expect("a packet");
    let read = Advertisement::decode(&first).expect("read");
    assert_eq!((read.virtual_router_id, read.priority, read.max_advertise_interval), (7, 200, 100));
    assert_eq!(read.addresses, [address(1)]);
}

#[test]
fn advertisements_are_read() {
    assert_outcomes("quic_vrrp/received_advertisements.txt", 17, |input| {
        match Advertisement::decode(&from_hex(input)) {
            Ok(Advertisement {
                virtual_router_id: router,
                priority,
                max_advertise_interval: interval,
                addresses,
            }) => {
                let addresses: String = addresses.iter().map(|it| format!(" {it}")).collect();
                format!("router {router} priority {priority} interval {interval} addresses{addresses}")
            }
            Err(error) => format!("error {error}"),
        }
    });
}
