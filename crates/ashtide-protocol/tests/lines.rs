//! The line protocol with streams split at random, random bytes and every protocol violation of a peer, from
//! fixed seeds.

mod common;

use std::time::Duration;

use ashtide_protocol::{
    ClientEvent, ClientSide, GatewayEvent, GatewaySide, LineCodec, MAX_LINE, Open, OpenError, OpenParameters,
    OpenParametersError, PeerFault, ServerSide, busy,
};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;

use common::{check, feed, piece_sizes, random_bytes};

#[test]
fn lines_decode_the_same_however_the_stream_is_split() {
    check((vec("[ -~]{0,200}", 1..20), piece_sizes()), |(lines, sizes)| {
        let lines: Vec<String> = lines.into_iter().map(|line| line + "\r\n").collect();
        let items = feed(LineCodec::default(), lines.concat().as_bytes(), &sizes).unwrap();
        prop_assert_eq!(items, lines.into_iter().map(Bytes::from).collect::<Vec<_>>());
        Ok(())
    });
}

#[test]
fn a_line_of_the_maximum_length_is_decoded_and_a_longer_one_is_an_error() {
    for (length, is_valid) in [(MAX_LINE - 2, true), (MAX_LINE - 1, false), (3 * MAX_LINE, false)] {
        let line = [vec![b'x'; length], b"\r\n".to_vec()].concat();
        assert_eq!(feed(LineCodec::default(), &line, &[1, 4000, 90]).is_ok(), is_valid, "{length}");
    }
}

#[test]
fn random_bytes_do_not_panic_the_line_parsers() {
    check((random_bytes(), piece_sizes()), |(bytes, sizes)| {
        for line in feed(LineCodec::default(), &bytes, &sizes).unwrap_or_default() {
            prop_assert!(line.len() <= MAX_LINE && line.ends_with(b"\r\n"));
            ClientSide::default().line(line.clone());
            ServerSide::default().line(line.clone());
            let mut gateway = GatewaySide::default();
            gateway.set_request_started();
            let _ = gateway.line(line);
        }
        let _ = Open::parse(Bytes::from([b"OPEN 1 2 ", &bytes[..], b"\r\n"].concat()));
        Ok(())
    });
}

#[test]
fn an_open_line_is_forwarded_unchanged_except_for_d() {
    check(
        ("[a-z0-9]{1,16}", 1_u32..100_000, 1_u32..100_000, any::<bool>()),
        |(name, client_ms, gateway_ms, d_is_first)| {
            let line = |d: u32| {
                let pairs = if d_is_first {
                    format!("d={d},c={name},x=d")
                } else {
                    format!("c={name},dd=1,d={d},t=d=")
                };
                format!("OPEN 9b1f {name} {pairs}\r\n")
            };
            let open = Open::parse(Bytes::from(line(client_ms))).unwrap();
            prop_assert_eq!(open.client_timeout, Some(Duration::from_millis(u64::from(client_ms))));
            prop_assert_eq!(
                open.forward(Duration::from_millis(u64::from(gateway_ms))),
                Bytes::from(line(gateway_ms))
            );
            Ok(())
        },
    );
}

#[test]
fn open_lines_with_invalid_or_oversized_lists_are_rejected() {
    let parse_error = |list: &str| Open::parse(Bytes::from(format!("OPEN 1 2 {list}\r\n"))).err();
    for (list, error) in [
        ("c=a,d=9,h=0.5,x=1", None),
        ("c=a,d=4294967,at=s-1", None),
        ("c=a,d=4294967", Some(OpenError::Value("d"))),
        ("c=a,d=inf", Some(OpenError::Value("d"))),
        ("c=a,d=1e3", Some(OpenError::Value("d"))),
        ("c=a,d=9,h=NaN", Some(OpenError::Value("h"))),
        ("c=a,d=9,h=-1", Some(OpenError::Value("h"))),
        ("c=a,d=9,c=b", Some(OpenError::Twice)),
        ("c=a,d=9,x=\u{7}", Some(OpenError::Form)),
        (&format!("c=a,d=9,g={}", "0".repeat(200)), Some(OpenError::Bounds)),
        (&(0..40).map(|name| format!("n{name}=1,")).collect::<String>(), Some(OpenError::Bounds)),
    ] {
        assert_eq!(parse_error(list), error, "{list}");
    }
}

#[test]
fn before_the_answer_a_client_may_send_few_lines_and_no_second_request() {
    check((vec(1_usize..2000, 0..20), any::<bool>()), |(sizes, sends_before_answer)| {
        let mut side = ClientSide::default();
        prop_assert!(matches!(side.line(Bytes::from("OPEN 1 2 c=a,d=9\r\n")), ClientEvent::Open(_)));
        let (mut forwarded_lines, mut forwarded_bytes) = (0, 0);
        for size in sizes {
            match side.line(Bytes::from(vec![b'x'; size])) {
                ClientEvent::Forward(line) => {
                    forwarded_lines += 1;
                    forwarded_bytes += line.len();
                }
                other => {
                    prop_assert_eq!(other, ClientEvent::Invalid(OpenError::Early));
                    prop_assert!(forwarded_lines == 8 || forwarded_bytes + size > MAX_LINE);
                }
            }
        }
        prop_assert!(forwarded_lines <= 8 && forwarded_bytes <= MAX_LINE);
        let line = Bytes::from("OPEN 2 2 c=a,d=9\r\n");
        if sends_before_answer {
            prop_assert_eq!(side.line(line), ClientEvent::Invalid(OpenError::Early));
        } else {
            side.set_established();
            prop_assert_eq!(side.line(line.clone()), ClientEvent::Forward(line));
        }
        Ok(())
    });
}

#[test]
fn a_gateway_parses_the_parameters_that_a_client_wrote() {
    let name = "[a-z0-9=-]{1,20}";
    let optional_name = || prop::option::of(name);
    check((name, name, optional_name(), optional_name(), 1_u64..600_000, any::<(bool, bool)>()), |all| {
        let (key, class, tenant, group, ms, (is_retry, is_reconnect)) = all;
        let parameters =
            OpenParameters { key, class, tenant, group, expected_load: Some(0.25), is_retry, is_reconnect };
        let line = parameters.line("77", Duration::from_millis(ms)).unwrap();
        let open = Open::parse(line.clone()).unwrap();
        prop_assert_eq!(
            (&open.class, &open.tenant, &open.group),
            (&parameters.class, &parameters.tenant, &parameters.group)
        );
        prop_assert_eq!(
            (open.client_timeout, open.expected_load),
            (Some(Duration::from_millis(ms)), Some(0.25))
        );
        let text = String::from_utf8(line.to_vec()).unwrap();
        prop_assert_eq!((text.contains(",r=1"), text.contains(",again=1")), (is_retry, is_reconnect));
        Ok(())
    });
}

#[test]
fn errors_name_the_field_that_a_line_cannot_carry() {
    let valid = || OpenParameters { key: "k".into(), class: "c".into(), ..OpenParameters::default() };
    let error = |parameters: OpenParameters| parameters.line("1", Duration::from_secs(1)).unwrap_err();
    assert_eq!(error(OpenParameters { key: String::new(), ..valid() }), OpenParametersError::Empty("key"));
    let spaced = error(OpenParameters { key: "a b".into(), ..valid() });
    assert_eq!(spaced, OpenParametersError::Character { field: "key", found: ' ' });
    let injected = error(OpenParameters { tenant: Some("t,d=1".into()), ..valid() });
    assert_eq!(injected, OpenParametersError::Character { field: "tenant", found: ',' });
    let broken = error(OpenParameters { group: Some("g\r\nOPEN".into()), ..valid() });
    assert_eq!(broken, OpenParametersError::Character { field: "group", found: '\r' });
    let long = error(OpenParameters { class: "c".repeat(127), ..valid() });
    assert_eq!(long, OpenParametersError::TooLong { field: "class", length: 129 });
    assert!(matches!(
        error(OpenParameters { expected_load: Some(f64::NAN), ..valid() }),
        OpenParametersError::Character { .. }
    ));
}

#[test]
fn each_gateway_fault_is_reported_and_no_line_is_accepted_after_the_final_one() {
    let line = |text: &'static str| Bytes::from_static(text.as_bytes());
    let mut before_request = GatewaySide::default();
    assert_eq!(before_request.line(line("UP x\r\n")), Err(PeerFault::Unasked));
    let mut established = GatewaySide::default();
    established.set_request_started();
    assert_eq!(established.line(line("UP x\r\n")), Ok(GatewayEvent::Up(line("x"))));
    assert_eq!(established.line(line("LOAD 3\r\n")), Ok(GatewayEvent::Line(line("LOAD 3\r\n"))));
    assert_eq!(established.line(line("UP x\r\n")), Err(PeerFault::UpTwice));
    assert_eq!(established.line(line("x\r\n")), Err(PeerFault::AfterEnd));
    for (answer, event) in [
        ("BUSY\r\n", GatewayEvent::Busy(None)),
        ("BUSY 250\r\n", GatewayEvent::Busy(Some(Duration::from_millis(250)))),
        ("BUSY -1\r\n", GatewayEvent::Busy(None)),
        ("BUSY 1e9\r\n", GatewayEvent::Busy(None)),
        (
            "BUSY 99999999999999999999999\r\n",
            GatewayEvent::Busy(Some(Duration::from_millis(u64::from(u32::MAX)))),
        ),
        ("ERR\r\n", GatewayEvent::Failed(line("ERR\r\n"))),
        ("HTTP/1.1 400 Bad Request\r\n", GatewayEvent::Failed(line("HTTP/1.1 400 Bad Request\r\n"))),
    ] {
        let mut side = GatewaySide::default();
        side.set_request_started();
        assert_eq!(side.line(line(answer)), Ok(event), "{answer}");
        assert_eq!(side.line(line("UP late\r\n")), Err(PeerFault::AfterEnd), "{answer}");
    }
    assert_eq!(&busy(Duration::from_micros(900))[..], b"BUSY\r\n");
    assert_eq!(&busy(Duration::from_micros(1900))[..], b"BUSY 1\r\n");
}
