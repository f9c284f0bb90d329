//! Parsers under random splits of valid messages and under random bytes, from fixed seeds; and errors of the
//! configuration.

#[path = "../crates/ashtide-protocol/tests/common/mod.rs"]
mod common;

use ashtide::config::{Config, FrontendConfig};
use ashtide::discovery::{WatchCodec, WatchEvent};
use ashtide::engine::open_ids::OpenIds;
use ashtide::quic::header::MAX_CONNECTION_ID_LENGTH;
use ashtide::quic::initial::{self, InitialKeys, Side};
use ashtide::quic::load_balancing::{
    MIN_ROUTABLE_ID_LENGTH, decode_server_id, encode_routable_id, server_id_for_name,
};
use ashtide::quic::{ConnectionId, Header};
use ashtide::vrrp::Advertisement;
use proptest::collection::vec;
use proptest::prelude::*;

use common::{check, feed, piece_sizes, random_bytes};

/// Encodes an HTTP response with a chunked body. `chunk_sizes` are the lengths of the first chunks in bytes.
fn chunked_response(lines: &[String], chunk_sizes: &[usize]) -> Vec<u8> {
    let body = lines.concat();
    let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let mut rest = body.as_bytes();
    let mut sizes = chunk_sizes.iter().copied().chain(std::iter::repeat(7));
    while !rest.is_empty() {
        let size = sizes.next().unwrap_or(1).min(rest.len());
        response.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        response.extend_from_slice(&rest[..size]);
        response.extend_from_slice(b"\r\n");
        rest = &rest[size..];
    }
    response
}

#[test]
fn a_watch_decodes_the_same_however_it_is_chunked_and_split() {
    check((vec(0_u64..3, 1..12), piece_sizes(), piece_sizes()), |(indices, chunk_sizes, split_sizes)| {
        let entry = concat!(
            r#"{"name":"s-1","address":"127.0.0.1:9","zone":"a","type":"m","group":1,"#,
            r#""status":"DRAINING","weight":1.5,"since_ms":7}"#
        );
        let line = |index: &u64| match index {
            0 => "\n".to_owned(),
            _ => format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entry}]}}\n"),
        };
        let bytes = chunked_response(&indices.iter().map(line).collect::<Vec<_>>(), &chunk_sizes);
        let events = feed(WatchCodec::default(), &bytes, &split_sizes).unwrap();
        let decoded_indices: Vec<u64> = events
            .iter()
            .map(|event| if let WatchEvent::List(list) = event { list.index } else { 0 })
            .collect();
        prop_assert_eq!(decoded_indices, indices);
        Ok(())
    });
}

#[test]
fn heartbeats_are_distinguished_from_line_breaks_of_an_indented_list() {
    check((vec(0_u64..4, 1..10), piece_sizes(), piece_sizes()), |(indices, chunk_sizes, split_sizes)| {
        let list = |index: &u64| {
            let entry = |name: &str| {
                serde_json::json!({"name": name, "address": "127.0.0.1:9",
                "status": "SERVING", "zone": "}\n{"})
            };
            let list = serde_json::json!({"index": index, "endpoints": [entry("s-1"), entry("s-2")]});
            match index {
                0 => "\r\n".to_owned(),
                1 => format!("{list:#}\n"),
                2 => format!("{list:#}{list}\n"),
                _ => format!("{list:#}\r\n"),
            }
        };
        let bytes = chunked_response(&indices.iter().map(list).collect::<Vec<_>>(), &chunk_sizes);
        let events = feed(WatchCodec::default(), &bytes, &split_sizes).unwrap();
        // Index and number of endpoints of each list; zeros for a heartbeat.
        let decoded = events.iter().map(|event| match event {
            WatchEvent::List(list) => (list.index, list.endpoints.len()),
            WatchEvent::Heartbeat => (0, 0),
        });
        let expected = indices.iter().flat_map(|&index| match index {
            0 => vec![(0, 0)],
            2 => vec![(2, 2); 2],
            _ => vec![(index, 2)],
        });
        prop_assert_eq!(decoded.collect::<Vec<_>>(), expected.collect::<Vec<_>>());
        Ok(())
    });
}

#[test]
fn random_bytes_do_not_panic_the_watch_decoder() {
    check((random_bytes(), piece_sizes()), |(bytes, sizes)| {
        let _ = feed(WatchCodec::default(), &bytes, &sizes);
        let response = chunked_response(&[String::from_utf8_lossy(&bytes).into_owned()], &sizes);
        let _ = feed(WatchCodec::default(), &response, &sizes);
        Ok(())
    });
}

#[test]
fn random_bytes_do_not_panic_the_datagram_parsers() {
    let inputs = (any::<bool>(), random_bytes(), 0_usize..=MAX_CONNECTION_ID_LENGTH);
    check(inputs, |(is_version_1, mut bytes, id_length)| {
        if is_version_1 {
            bytes.splice(0..bytes.len().min(5), [0xc3, 0, 0, 0, 1]);
        }
        let _ = Header::parse(&bytes, id_length);
        prop_assert_eq!(initial::open(&bytes, b"12345678", Side::Client), None);
        let _ = initial::find_connection_close(&bytes);
        let _ = Advertisement::decode(&bytes);
        let _ = FrontendConfig::parse(&String::from_utf8_lossy(&bytes));
        Ok(())
    });
}

#[test]
fn an_initial_is_decrypted_only_if_it_is_unchanged() {
    let inputs =
        (vec(any::<u8>(), 8..=20), vec(any::<u8>(), 0..=20), 0_u64..0x3fff, "[ -~]{0,30}", 0_usize..20_000);
    check(inputs, |(destination_id, source_id, code, reason, flipped_bit)| {
        let frames = initial::encode_connection_close(code, &reason);
        let packet = initial::seal(&destination_id, Side::Server, &destination_id, &source_id, 7, &frames, 0);
        let opened = initial::open(&packet, &destination_id, Side::Server).unwrap();
        prop_assert_eq!(
            (&opened.destination_id[..], &opened.source_id[..]),
            (&destination_id[..], &source_id[..])
        );
        prop_assert_eq!(initial::find_connection_close(&opened.frames), Some((code, reason)));
        prop_assert_eq!(initial::open(&packet, &destination_id, Side::Client), None);
        let mut corrupt = packet.clone();
        corrupt[flipped_bit / 8 % packet.len()] ^= 1 << (flipped_bit % 8);
        prop_assert_eq!(initial::open(&corrupt, &destination_id, Side::Server), None);
        Ok(())
    });
}

#[test]
fn the_server_is_decoded_from_a_routable_id() {
    check(
        (0_u8..7, "[a-z-]{1,12}", MIN_ROUTABLE_ID_LENGTH..=MAX_CONNECTION_ID_LENGTH, any::<u64>()),
        |(rotation, name, length, nonce)| {
            let id = encode_routable_id(rotation, server_id_for_name(&name), length, nonce);
            prop_assert_eq!(id.len(), length);
            prop_assert_eq!(decode_server_id(&id, rotation), Some(server_id_for_name(&name)));
            prop_assert_eq!(decode_server_id(&id, (rotation + 1) % 7), None);
            prop_assert_eq!(ConnectionId::new(&id), Some(id));
            Ok(())
        },
    );
}

#[test]
fn an_advertisement_round_trips_and_is_rejected_with_a_flipped_bit() {
    let fields = (1_u8.., any::<u8>(), 1_u16..4096, vec(any::<u32>(), 0..16), 0_usize..4096);
    check(fields, |(virtual_router_id, priority, interval, addresses, flipped_bit)| {
        let addresses = addresses.into_iter().map(Into::into).collect();
        let sent = Advertisement { virtual_router_id, priority, max_advertise_interval: interval, addresses };
        let mut packet = sent.encode();
        prop_assert_eq!(Advertisement::decode(&packet), Ok(sent));
        let flipped_byte = flipped_bit / 8 % packet.len();
        packet[flipped_byte] ^= 1 << (flipped_bit % 8);
        prop_assert!(Advertisement::decode(&packet).is_err());
        Ok(())
    });
}

#[test]
fn a_configuration_error_names_the_key() {
    let config_error = |text: &str| {
        let json = serde_json::from_str(text).unwrap();
        let variable =
            |name: &str| (name == "ROUTER_OPERATOR" && text.contains("door")).then(|| "door".to_owned());
        Config::from_json(json, variable).err().map(|error| error.to_string()).unwrap_or_default()
    };
    let required = r#""name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    for (text, key) in [
        (r#"{"listen":"127.0.0.1:1"}"#.to_owned(), "name"),
        (r#"{"name":"n","listen":"nowhere"}"#.to_owned(), "listen"),
        (format!(r#"{{{required},"seed":"xyz"}}"#), "seed"),
        (format!(r#"{{{required},"limits":{{"sockets":"many"}}}}"#), "limits.sockets: "),
        (format!(r#"{{{required},"known":{{"endpoints":7}}}}"#), "known.endpoints: "),
        (format!(r#"{{{required},"known":{{"endpoints":[{{"name":"s"}}]}}}}"#), "known.endpoints[0]: "),
        (format!("{{{required}}}"), "settings is missing"),
        (format!("{{{required},\"settings\":null}}"), "settings is missing"),
        (format!(r#"{{{required},"settings":{{"limits":{{"peers":1}}}}}}"#), "settings.limits.peers: "),
        (
            format!(r#"{{{required},"settings":{{"classes":[{{"name":"c","effect":"no"}}]}}}}"#),
            "settings.classes[0].effect: ",
        ),
        (
            format!(r#"{{{required},"settings":{{}},"peer_listen":"127.0.0.1:3","peers":["x"]}}"#),
            "peers[0]: ",
        ),
        (
            format!(r#"{{{required},"settings":{{"classes":[{{"name":"x"}},{{"name":"x"}}]}}}}"#),
            "settings.classes[1].name: 'x' occurs twice",
        ),
        (
            format!(
                r#"{{{required},"settings":{{"customers":[{{"name":"t"}},{{"name":""}},{{"name":"t"}}]}}}}"#
            ),
            "settings.customers[2].name: 't' occurs twice",
        ),
        // An error of a key that the environment overrides names the variable, regardless of the contents of
        // the file.
        (format!(r#"{{{required},"operator":"the door"}}"#), "ROUTER_OPERATOR: 'door'"),
        ("[]".to_owned(), "ROUTER_CONFIG: "),
    ] {
        assert!(config_error(&text).starts_with(key), "{text}: {}", config_error(&text));
    }
    for (text, key) in [
        ("[quic]\nlisten='127.0.0.1:1'\nclass='c'\ndeadline_ms=0", "quic.deadline_ms"),
        ("[quic]\nlisten='127.0.0.1:1'\nclass='c'\ndeadline_ms=1\nreset_key='12'", "quic.reset_key"),
        ("[quic]\nlisten='127.0.0.1:1'\nclass='c'\ndeadline_ms=1\nextra=1", "extra"),
        ("[vrrp]\nrouter=1\npriority=1\nlisten='127.0.0.1:1'\npeers=[]", "vrrp"),
    ] {
        let error = FrontendConfig::parse(text).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.contains(key), "{text}: {error}");
    }
    assert!(FrontendConfig::parse(include_str!("../deploy/quic.toml")).is_ok());
}

#[test]
fn on_a_reload_the_file_overrides_the_environment() {
    let config_json = |discovery: &str, sockets: u32| {
        let limits = serde_json::json!({"memory_mb": 32, "sockets": sockets});
        let keys = ["name", "listen", "discovery", "limits", "settings"];
        let values = ["n".into(), "127.0.0.1:1".into(), discovery.into(), limits, serde_json::json!({})];
        serde_json::Value::from_iter(keys.into_iter().zip(values))
    };
    let variable = |name: &str| (name == "ROUTER_DISCOVERY").then(|| "127.0.0.1:7".to_owned());
    let config = Config::from_json(config_json("127.0.0.1:2", 256), variable).unwrap();
    assert_eq!(config.discovery_address.port(), 7);
    let reload = |discovery: &str, sockets| {
        config.reload_baseline.reload_from_json(config_json(discovery, sockets), variable)
    };
    let outcome = reload("127.0.0.1:3", 256).unwrap();
    assert_eq!((outcome.discovery_address.port(), outcome.keys_needing_restart), (3, vec![]));
    assert!(reload("nowhere", 512).unwrap_err().to_string().starts_with("discovery: 'nowhere'"));
    // A failed reload does not change the baseline.
    let outcome = reload("127.0.0.1:4", 512).unwrap();
    assert_eq!((outcome.discovery_address.port(), outcome.keys_needing_restart), (4, vec!["limits"]));
    // The key is reported as long as the file differs from the baseline, and no longer after it is restored.
    assert_eq!(reload("127.0.0.1:4", 512).unwrap().keys_needing_restart, ["limits"]);
    assert!(reload("127.0.0.1:4", 256).unwrap().keys_needing_restart.is_empty());
}

#[test]
fn an_open_id_can_be_claimed_again_only_after_its_release() {
    let ids = OpenIds::default();
    let claim = ids.claim(b"1");
    assert!(claim.is_some() && ids.claim(b"1").is_none() && ids.claim(b"2").is_some());
    drop(claim);
    assert!(ids.claim(b"1").is_some());
}

/// Checks the derived keys against the example in RFC 9001, appendix A.1.
#[test]
fn initial_keys_match_the_example_of_rfc_9001() {
    let id = [0x83, 0x94, 0xc8, 0xf0, 0x3e, 0x51, 0x57, 0x08];
    let client = InitialKeys::derive(&id, Side::Client);
    assert_eq!(client.iv, [0xfa, 0x04, 0x4b, 0x2f, 0x42, 0xa3, 0xfd, 0x3b, 0x46, 0xfb, 0x25, 0x5c]);
    let server = InitialKeys::derive(&id, Side::Server);
    assert_eq!(server.iv, [0x0a, 0xc1, 0x49, 0x3c, 0xa1, 0x90, 0x58, 0x53, 0xb0, 0xbb, 0xa0, 0x3e]);
    // Appendix A.2: the sample of the client's Initial and the resulting header protection mask.
    let sample = 0xd1b1_c98d_d768_9fb8_ec11_d242_b123_dc9b_u128.to_be_bytes();
    assert_eq!(client.header_protection_mask(&sample), [0x43, 0x7b, 0x9a, 0xec, 0x36]);
}
