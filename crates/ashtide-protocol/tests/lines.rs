//! Lines under random cuts, random garbage and every fault of a peer, from fixed seeds.

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
fn lines_are_the_same_however_they_are_cut() {
    check((vec("[ -~]{0,200}", 1..20), piece_sizes()), |(lines, cuts)| {
        let lines: Vec<String> = lines.into_iter().map(|line| line + "\r\n").collect();
        let items = feed(LineCodec::default(), lines.concat().as_bytes(), &cuts).unwrap();
        prop_assert_eq!(items, lines.into_iter().map(Bytes::from).collect::<Vec<_>>());
        Ok(())
    });
}

#[test]
fn the_longest_line_passes_and_a_longer_one_does_not() {
    for (length, fits) in [(MAX_LINE - 2, true), (MAX_LINE - 1, false), (3 * MAX_LINE, false)] {
        let line = [vec![b'x'; length], b"\r\n".to_vec()].concat();
        assert_eq!(feed(LineCodec::default(), &line, &[1, 4000, 90]).is_ok(), fits, "{length}");
    }
}

#[test]
fn garbage_breaks_no_line_parser() {
    check((random_bytes(), piece_sizes()), |(bytes, cuts)| {
        for line in feed(LineCodec::default(), &bytes, &cuts).unwrap_or_default() {
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
fn an_open_line_goes_on_unchanged_but_for_d() {
    check(("[a-z0-9]{1,16}", 1_u32..100_000, 1_u32..100_000, any::<bool>()), |(name, d, wait, first)| {
        let line = |d: String| {
            let pairs =
                if first { format!("d={d},c={name},x=d") } else { format!("c={name},dd=1,d={d},t=d=") };
            format!("OPEN 9b1f {name} {pairs}\r\n")
        };
        let open = Open::parse(Bytes::from(line(d.to_string()))).unwrap();
        prop_assert_eq!(open.client_timeout, Some(Duration::from_millis(u64::from(d))));
        prop_assert_eq!(
            open.forward(Duration::from_millis(u64::from(wait))),
            Bytes::from(line(wait.to_string()))
        );
        Ok(())
    });
}

#[test]
fn what_no_usual_client_says_is_no_open_line() {
    let read = |list: &str| Open::parse(Bytes::from(format!("OPEN 1 2 {list}\r\n"))).err();
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
        assert_eq!(read(list), error, "{list}");
    }
}

#[test]
fn before_the_answer_a_client_says_little_and_asks_once() {
    check((vec(1_usize..2000, 0..20), any::<bool>()), |(sizes, again)| {
        let mut side = ClientSide::default();
        prop_assert!(matches!(side.line(Bytes::from("OPEN 1 2 c=a,d=9\r\n")), ClientEvent::Open(_)));
        let mut kept = (0, 0);
        for size in sizes {
            match side.line(Bytes::from(vec![b'x'; size])) {
                ClientEvent::Forward(line) => kept = (kept.0 + 1, kept.1 + line.len()),
                other => {
                    prop_assert_eq!(other, ClientEvent::Invalid(OpenError::Early));
                    prop_assert!(kept.0 == 8 || kept.1 + size > MAX_LINE);
                }
            }
        }
        prop_assert!(kept.0 <= 8 && kept.1 <= MAX_LINE);
        let line = Bytes::from("OPEN 2 2 c=a,d=9\r\n");
        if again {
            prop_assert_eq!(side.line(line), ClientEvent::Invalid(OpenError::Early));
        } else {
            side.set_established();
            prop_assert_eq!(side.line(line.clone()), ClientEvent::Forward(line));
        }
        Ok(())
    });
}

#[test]
fn what_a_client_asks_is_what_a_gateway_reads() {
    let name = "[a-z0-9=-]{1,20}";
    let maybe = || prop::option::of(name);
    check((name, name, maybe(), maybe(), 1_u64..600_000, any::<(bool, bool)>()), |all| {
        let (key, class, tenant, group, ms, (retry, again)) = all;
        let asking = OpenParameters {
            key,
            class,
            tenant,
            group,
            expected_load: Some(0.25),
            is_retry: retry,
            is_reconnect: again,
        };
        let line = asking.line("77", Duration::from_millis(ms)).unwrap();
        let open = Open::parse(line.clone()).unwrap();
        prop_assert_eq!(
            (&open.class, &open.tenant, &open.group),
            (&asking.class, &asking.tenant, &asking.group)
        );
        prop_assert_eq!(
            (open.client_timeout, open.expected_load),
            (Some(Duration::from_millis(ms)), Some(0.25))
        );
        let said = String::from_utf8(line.to_vec()).unwrap();
        prop_assert_eq!((said.contains(",r=1"), said.contains(",again=1")), (retry, again));
        Ok(())
    });
}

#[test]
fn what_cannot_stand_in_a_line_is_named() {
    let good = || OpenParameters { key: "k".into(), class: "c".into(), ..OpenParameters::default() };
    let error = |asking: OpenParameters| asking.line("1", Duration::from_secs(1)).unwrap_err();
    assert_eq!(error(OpenParameters { key: String::new(), ..good() }), OpenParametersError::Empty("key"));
    let spaced = error(OpenParameters { key: "a b".into(), ..good() });
    assert_eq!(spaced, OpenParametersError::Character { field: "key", found: ' ' });
    let injected = error(OpenParameters { tenant: Some("t,d=1".into()), ..good() });
    assert_eq!(injected, OpenParametersError::Character { field: "tenant", found: ',' });
    let broken = error(OpenParameters { group: Some("g\r\nOPEN".into()), ..good() });
    assert_eq!(broken, OpenParametersError::Character { field: "group", found: '\r' });
    let long = error(OpenParameters { class: "c".repeat(127), ..good() });
    assert_eq!(long, OpenParametersError::TooLong { field: "class", length: 129 });
    assert!(matches!(
        error(OpenParameters { expected_load: Some(f64::NAN), ..good() }),
        OpenParametersError::Character { .. }
    ));
}

#[test]
fn every_fault_of_a_gateway_is_named_and_the_last_word_stays() {
    let line = |text: &'static str| Bytes::from_static(text.as_bytes());
    let mut early = GatewaySide::default();
    assert_eq!(early.line(line("UP x\r\n")), Err(PeerFault::Unasked));
    let mut twice = GatewaySide::default();
    twice.set_request_started();
    assert_eq!(twice.line(line("UP x\r\n")), Ok(GatewayEvent::Up(line("x"))));
    assert_eq!(twice.line(line("LOAD 3\r\n")), Ok(GatewayEvent::Line(line("LOAD 3\r\n"))));
    assert_eq!(twice.line(line("UP x\r\n")), Err(PeerFault::UpTwice));
    assert_eq!(twice.line(line("x\r\n")), Err(PeerFault::AfterEnd));
    for (said, heard) in [
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
        assert_eq!(side.line(line(said)), Ok(heard), "{said}");
        assert_eq!(side.line(line("UP late\r\n")), Err(PeerFault::AfterEnd), "{said}");
    }
    assert_eq!(&busy(Duration::from_micros(900))[..], b"BUSY\r\n");
    assert_eq!(&busy(Duration::from_micros(1900))[..], b"BUSY 1\r\n");
}
