//! Wire compatibility of QUIC packets, connection ids and VRRP advertisements: encoded bytes and decoded
//! values are compared with recorded fixtures.

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

/// Client's first Destination Connection ID in the example of RFC 9001, appendix A.
const CLIENT_DESTINATION_ID: [u8; 8] = [0x83, 0x94, 0xc8, 0xf0, 0x3e, 0x51, 0x57, 0x08];

fn describe_header(parsed: Result<Header, HeaderError>) -> String {
    match parsed {
        Ok(Header::VersionNegotiation { destination_id, source_id }) => {
            format!("version negotiation to {} from {}", to_hex(&destination_id), to_hex(&source_id))
        }
        Ok(Header::OtherVersion { destination_id, source_id }) => {
            format!("other version to {} from {}", to_hex(&destination_id), to_hex(&source_id))
        }
        Ok(Header::Long { packet_type, destination_id, source_id }) => {
            let packet_type = match packet_type {
                LongPacketType::Initial => "initial",
                LongPacketType::ZeroRtt => "0-rtt",
                LongPacketType::Handshake => "handshake",
                LongPacketType::Retry => "retry",
            };
            format!("{packet_type} to {} from {}", to_hex(&destination_id), to_hex(&source_id))
        }
        Ok(Header::Short { destination_id }) => format!("short to {}", to_hex(&destination_id)),
        Err(error) => format!("error {error}"),
    }
}

/// Each input is the length of connection ids in short headers, followed by the datagram in hexadecimal
/// digits.
#[test]
fn headers_are_parsed() {
    assert_outcomes("quic_vrrp/headers.txt", 37, |input| {
        let (length, digits) = input.split_once(' ').expect("an id length and a datagram");
        describe_header(Header::parse(&from_hex(digits), length.parse().expect("a length")))
    });
}

#[test]
fn connection_ids_have_at_most_twenty_bytes() {
    for length in [0, 1, 8, 20] {
        let bytes = vec![7; length];
        assert_eq!(ConnectionId::new(&bytes).map(|id| id.to_vec()), Some(bytes));
    }
    assert!(ConnectionId::new(&[7; 21]).is_none());
    let id = ConnectionId::new(&[0x0a, 0xff]).expect("two bytes are a valid length");
    assert_eq!(format!("{id:?}"), "0aff", "Debug output, which is used in logs");
}

#[test]
fn routable_connection_ids_are_encoded_as_recorded() {
    let mut written = String::new();
    for name in ["", "s-0", "s-5be2a07c", "a server with a long name"] {
        let server = server_id_for_name(name);
        let _ = writeln!(written, "server [{name}] {}", to_hex(&server));
        for (rotation, length, nonce) in [
            (0, 12, 1),
            (6, 20, u64::MAX),
            (3, MIN_ROUTABLE_ID_LENGTH, 0x0102_0304_0506_0708),
            (1, 3, 7),
            (2, 40, 7),
            (7, 17, 7),
        ] {
            let id = encode_routable_id(rotation, server, length, nonce);
            let decoded = decode_server_id(&id, rotation).map(|server| to_hex(&server)).unwrap_or_default();
            let _ = writeln!(written, "{rotation} {length} {nonce}: {} {decoded}", to_hex(&id));
        }
    }
    assert_written("quic_vrrp/connection_ids.txt", written.as_bytes());
}

/// Each input is the config rotation, followed by the connection id in hexadecimal digits.
#[test]
fn server_ids_are_decoded_from_connection_ids() {
    assert_outcomes("quic_vrrp/servers_of_ids.txt", 12, |input| {
        let (rotation, digits) = input.split_once(' ').expect("a config rotation and a connection id");
        let server = decode_server_id(&from_hex(digits), rotation.parse().expect("a config rotation"));
        server.map_or("none".to_owned(), |server| to_hex(&server))
    });
}

#[test]
fn packets_are_encoded_as_recorded() {
    let mut written = String::new();
    let mut record = |kind: &str, bytes: &[u8]| {
        let _ = writeln!(written, "{kind} {}", to_hex(bytes));
    };
    for (destination_id, source_id, unused_bits) in
        [(&b"client"[..], &b"server"[..], 0), (b"", b"", 0x7f), (&[1; 20], &[2; 20], 5)]
    {
        record("version negotiation", &encode_version_negotiation(destination_id, source_id, unused_bits));
        let mut long = vec![9];
        write_long_header(&mut long, 0xe3, 0x0102_0304, destination_id, source_id);
        record("long header", &long);
    }
    for value in [0, 1, 0x3fff, 0x4000, u16::MAX] {
        let mut varint = Vec::new();
        write_two_byte_varint(&mut varint, value);
        record("varint", &varint);
    }
    for (code, reason) in [
        (CONNECTION_REFUSED, "BUSY 1000"),
        (INTERNAL_ERROR, "ERR"),
        (0x3fff, ""),
        (0, "a reason of more than sixty-four bytes, which is cut to that length, whatever is lost"),
    ] {
        let frames = initial::encode_connection_close(code, reason);
        record("close", &frames);
        for (side, packet_number, min_length) in
            [(Side::Server, 0, 0), (Side::Client, 7, 200), (Side::Server, u32::MAX, 1200)]
        {
            let packet = initial::seal(
                &CLIENT_DESTINATION_ID,
                side,
                b"client",
                &CLIENT_DESTINATION_ID,
                packet_number,
                &frames,
                min_length,
            );
            record("initial", &packet);
            let opened = initial::open(&packet, &CLIENT_DESTINATION_ID, side)
                .expect("decrypting the encrypted packet");
            assert_eq!(
                (&opened.destination_id[..], &opened.source_id[..]),
                (&b"client"[..], &CLIENT_DESTINATION_ID[..])
            );
            assert!(opened.frames.starts_with(&frames));
        }
    }
    record("initial", &initial::seal(b"", Side::Client, b"", b"", 1, b"", 0));
    assert_written("quic_vrrp/packets.txt", written.as_bytes());
}

/// Each input is the sending side, the client's first Destination Connection ID and the datagram.
#[test]
fn initial_packets_are_decrypted() {
    assert_outcomes("quic_vrrp/initials.txt", 12, |input| {
        let fields: Vec<&str> = input.split(' ').collect();
        let side = match fields[0] {
            "client" => Side::Client,
            "server" => Side::Server,
            other => panic!("unknown side {other}, expected client or server"),
        };
        match initial::open(&from_hex(fields[2]), &from_hex(fields[1]), side) {
            Some(opened) => {
                let (destination_id, source_id) = (to_hex(&opened.destination_id), to_hex(&opened.source_id));
                format!("to {destination_id} from {source_id}\nframes {}", to_hex(&opened.frames))
            }
            None => "none".to_owned(),
        }
    });
}

#[test]
fn connection_close_frames_are_found() {
    assert_outcomes("quic_vrrp/frames.txt", 26, |input| {
        match initial::find_connection_close(&from_hex(input)) {
            Some((code, reason)) => format!("code {code} reason {reason}"),
            None => "none".to_owned(),
        }
    });
    let sixty_four_frames = [vec![1; 63], from_hex("1c 02 00 00")].concat();
    assert_eq!(initial::find_connection_close(&sixty_four_frames), Some((2, String::new())));
    assert_eq!(initial::find_connection_close(&[vec![1; 64], from_hex("1c 02 00 00")].concat()), None);
}

#[test]
fn variable_length_integers_are_decoded() {
    assert_outcomes("quic_vrrp/varints.txt", 14, |input| {
        let bytes = from_hex(input);
        let mut remaining = &bytes[..];
        match read_varint(&mut remaining) {
            Some(value) => format!("{value} rest {}", to_hex(remaining)),
            None => format!("none rest {}", to_hex(remaining)),
        }
    });
}

#[test]
fn stateless_resets_are_encoded_as_recorded() {
    let mut written = String::new();
    for key in [&b""[..], &[7; 16], &[0xfe; 100]] {
        let key = ResetKey::new(key.to_vec());
        for id in [&b""[..], &CLIENT_DESTINATION_ID, &[3; 20]] {
            let token = key.token(id);
            let _ = writeln!(written, "token {}", to_hex(&token));
            let mut rng = ChaCha8Rng::seed_from_u64(42);
            for length in [0, 1, 21, 22, 23, 42, 43, 1200] {
                let reset = key.encode_reset(id, length, &mut rng);
                let digits = reset.as_ref().map_or("none".to_owned(), |reset| to_hex(reset));
                let _ = writeln!(written, "reset {length} {digits}");
                assert!(reset.is_none_or(|reset| is_reset(&reset, &token)));
            }
        }
    }
    assert_written("quic_vrrp/resets.txt", written.as_bytes());
    let token = ResetKey::new(vec![7; 16]).token(&CLIENT_DESTINATION_ID);
    assert!(is_reset(&[vec![0x40; 5], token.to_vec()].concat(), &token));
    assert!(
        !is_reset(&[vec![0x40; 4], token.to_vec()].concat(), &token),
        "the datagram is one byte too short for a reset"
    );
    assert!(
        !is_reset(&[vec![0x40; 5], token.to_vec(), vec![0]].concat(), &token),
        "the token is not at the end of the datagram"
    );
}

#[test]
fn advertisements_are_encoded_as_recorded() {
    let mut written = String::new();
    let address = |last_octet| Ipv4Addr::new(10, 0, 0, last_octet);
    for (virtual_router_id, priority, max_advertise_interval, addresses) in [
        (7, 200, 100, vec![address(1)]),
        (1, 0, 1, vec![]),
        (255, OWNER_PRIORITY, 4095, (0..16).map(address).collect()),
        (255, OWNER_PRIORITY, 0xffff, (0..20).map(address).collect()),
    ] {
        let advertisement = Advertisement { virtual_router_id, priority, max_advertise_interval, addresses };
        let _ = writeln!(written, "{}", to_hex(&advertisement.encode()));
    }
    assert_written("quic_vrrp/advertisements.txt", written.as_bytes());
    let first = text("quic_vrrp/advertisements.txt").lines().next().map(from_hex).expect("a packet");
    let decoded = Advertisement::decode(&first).expect("decoding the first recorded advertisement");
    assert_eq!((decoded.virtual_router_id, decoded.priority, decoded.max_advertise_interval), (7, 200, 100));
    assert_eq!(decoded.addresses, [address(1)]);
}

#[test]
fn advertisements_are_decoded() {
    assert_outcomes("quic_vrrp/received_advertisements.txt", 17, |input| {
        match Advertisement::decode(&from_hex(input)) {
            Ok(Advertisement { virtual_router_id, priority, max_advertise_interval, addresses }) => {
                let addresses: String = addresses.iter().map(|address| format!(" {address}")).collect();
                format!(
                    "router {virtual_router_id} priority {priority} interval {max_advertise_interval} \
                     addresses{addresses}"
                )
            }
            Err(error) => format!("error {error}"),
        }
    });
}
