//! Permits for new servers: no lost, late or repeated datagram, no restart and no clock creates one.

use ashtide::decision::slow_start::SlowStartConfig;
use ashtide::fleet::permits::{
    DecodeError, MAX_DATAGRAM_LENGTH, PERMIT_LIFETIME, PermitDatagram, PermitStep, Permits, REPLY_TIMEOUT,
    REQUEST_LENGTH,
};
use ashtide::{GatewayId, PermitReply, Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: u32 = 7;
const CONNECTIONS_WHEN_FULL: f64 = 54.0;
const KEY: u32 = 0x5be2_a07c;
const SECOND: i64 = 1_000_000;

fn at(us: i64) -> Time {
    Time::from_micros(1_000 * SECOND + us)
}

fn ramp() -> SlowStartConfig {
    SlowStartConfig {
        overload_factor: 2.5,
        overload_window: Span::from_micros(2 * SECOND),
        initial_capacity_share: 0.13,
        warm_up_time: Span::from_micros(24 * SECOND),
    }
}

/// All gateways of a fleet with a server that starts now, the grantors of this server, and another gateway.
fn gateways_and_grantors(key: u32) -> (Vec<Permits>, Vec<GatewayId>, GatewayId) {
    let mut all: Vec<Permits> =
        (0..GATEWAYS).map(|own| Permits::new(GatewayId(own), GATEWAYS, ramp(), at(0))).collect();
    all.iter_mut().for_each(|gateway| gateway.update_servers(std::iter::once((key, at(0)))));
    let grantors = all[0].grantors(key);
    let other = (0..GATEWAYS)
        .map(GatewayId)
        .find(|gateway| !grantors.contains(gateway))
        .expect("more gateways than grantors");
    (all, grantors, other)
}

fn awaited_request(step: PermitStep) -> (PermitDatagram, u16) {
    let PermitStep::AwaitReply { datagram, request_number } = step else { panic!("{step:?} is no request") };
    (datagram, request_number)
}

/// A reply; one that grants a permit is sent twice.
fn sent_reply(step: Result<Option<PermitStep>, DecodeError>) -> PermitDatagram {
    let (datagram, granted) = match step {
        Ok(Some(PermitStep::Send(datagram))) => (datagram, 0),
        Ok(Some(PermitStep::SendTwice(datagram))) => (datagram, 1),
        step => panic!("{step:?} is no reply"),
    };
    assert_eq!(datagram.bytes()[7] & 1, granted, "only a reply whose loss costs a permit is sent twice");
    datagram
}

fn is_granted(step: &PermitStep) -> bool {
    matches!(step, PermitStep::Resolved { reply: PermitReply::Granted { .. }, .. })
}

/// Permits that a grantor grants for so many requests, one every 10 ms from `start` on.
fn count_grants(grantor: &mut Permits, from: GatewayId, start: i64, asks: u16) -> usize {
    let one = |number: u16| {
        let request = [&[18][..], &number.to_be_bytes(), &KEY.to_be_bytes()].concat();
        let answer = sent_reply(grantor.handle_datagram(
            at(start + i64::from(number) * 10_000),
            from,
            &request,
            CONNECTIONS_WHEN_FULL,
        ));
        grantor.check_invariants().expect("no invariant is broken");
        usize::from(answer.bytes()[7] & 1)
    };
    (0..asks).map(one).sum()
}

#[test]
fn a_permit_is_granted_once_and_expires_a_lifetime_after_its_request() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let (request, _) =
        awaited_request(all[other.0 as usize].request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL));
    assert!(grantors.contains(&request.to) && request.bytes().len() == REQUEST_LENGTH);
    let answer = sent_reply(all[request.to.0 as usize].handle_datagram(
        at(30_000),
        other,
        request.bytes(),
        CONNECTIONS_WHEN_FULL,
    ));
    assert_eq!((answer.to, answer.bytes().len()), (other, MAX_DATAGRAM_LENGTH));
    let handled =
        all[other.0 as usize].handle_datagram(at(60_000), request.to, answer.bytes(), CONNECTIONS_WHEN_FULL);
    let lease = PermitReply::Granted { expires_at: at(0) + PERMIT_LIFETIME, below_fair_share: true };
    assert_eq!(
        handled,
        Ok(Some(PermitStep::Resolved { server: KEY, reply: lease })),
        "counted from the request, not from the grant"
    );
    let again =
        all[other.0 as usize].handle_datagram(at(61_000), request.to, answer.bytes(), CONNECTIONS_WHEN_FULL);
    assert_eq!(again, Ok(None), "the second copy is no second permit, and no error");
    // A repeated request uses permits that are due, and creates none.
    let repeated = sent_reply(all[request.to.0 as usize].handle_datagram(
        at(62_000),
        other,
        request.bytes(),
        CONNECTIONS_WHEN_FULL,
    ));
    assert_eq!(repeated.bytes()[7] & 1, 0, "one permit is due at the start");
    assert_eq!(
        all[other.0 as usize].handle_datagram(
            at(90_000),
            request.to,
            repeated.bytes(),
            CONNECTIONS_WHEN_FULL
        ),
        Ok(None),
        "the request is answered already"
    );
}

/// The most within any time of this length.
fn max_within(sent: &[i64], window: i64) -> usize {
    let from = |&start: &i64| sent.iter().filter(|at| (start..start + window).contains(at)).count();
    sent.iter().map(from).max().unwrap_or_default()
}

/// When these grantors grant a permit, if each is asked every 10 ms from the server's start on and restarted at this
/// interval.
fn grant_times(grantors: &[GatewayId], other: GatewayId, seconds: i64, anew_every: Option<i64>) -> Vec<i64> {
    let mut granted = Vec::new();
    for &grantor in grantors {
        let begin = |now: i64| {
            let mut grantor = Permits::new(grantor, GATEWAYS, ramp(), at(now));
            grantor.update_servers(std::iter::once((KEY, at(0))));
            grantor
        };
        let mut it = begin(0);
        for now in (0..seconds * SECOND).step_by(10_000) {
            if anew_every.is_some_and(|every| now % every == 0) {
                it = begin(now);
            }
            granted.extend((count_grants(&mut it, other, now, 1) == 1).then_some(now));
        }
    }
    granted.sort_unstable();
    granted
}

#[test]
fn grantors_together_respect_the_limit_and_a_restart_creates_no_permit() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let window = 2 * SECOND;
    // N + 2 x root of N + 2 as the page has it, N 2.5 x 0.13 x 54 / 24 x 2 at the start.
    let n: f64 = 2.5 * 0.13 * CONNECTIONS_WHEN_FULL / 24.0 * 2.0;
    let allowed = n + 2.0 * n.sqrt() + 2.0;
    let granted = grant_times(&grantors, other, 2, None);
    assert!(granted.len() >= 4 && granted.len() as f64 <= allowed, "{granted:?}, {allowed} push it over");
    // A permit may be used a lifetime late: a window also sees what was granted that long before it.
    let undisturbed = grant_times(&grantors, other, 40, None);
    for &from in &undisturbed {
        let n = 2.5 * (0.13 + 0.87 * (from as f64 / 24e6).min(1.0)) * CONNECTIONS_WHEN_FULL / 24.0 * 2.0;
        let seen = undisturbed
            .iter()
            .filter(|&&at| (from - PERMIT_LIFETIME.as_micros()..from + window).contains(&at));
        let seen = seen.count() as f64;
        assert!(seen <= n + 2.0 * n.sqrt() + 2.0, "{seen} that may be used within 2 s from {from}");
    }
    // Grantors that restart every 100 ms, with a list that names the server, grant no permit twice.
    let minted = grant_times(&grantors, other, 40, Some(100_000));
    assert!(minted.len() <= undisturbed.len(), "{} after {}", minted.len(), undisturbed.len());
    let most = [&undisturbed, &minted].map(|granted| max_within(granted, window));
    assert!(most[1] <= most[0], "{most:?} within a window");
    // A clock that is put back and on again makes none either.
    let grantor = &mut all[grantors[1].0 as usize];
    let before = count_grants(grantor, other, 2 * SECOND, 1);
    let jumps: usize = (0..50)
        .map(|_| count_grants(grantor, other, 0, 1) + count_grants(grantor, other, 2 * SECOND, 1))
        .sum();
    assert!(before <= 1 && jumps <= 1, "{jumps} of a clock that jumps");
}

#[test]
fn two_processes_of_a_grantor_grant_no_permit_twice() {
    let (_, grantors, other) = gateways_and_grantors(KEY);
    let process = || {
        let mut it = Permits::new(grantors[0], GATEWAYS, ramp(), at(0));
        it.update_servers(std::iter::once((KEY, at(0))));
        it
    };
    let mut one = process();
    let mut two = process();
    let mut alone = process();
    let mut both = 0;
    let mut single = 0;
    for now in (0..20 * SECOND).step_by(50_000) {
        single += count_grants(&mut alone, other, now, 1);
        both += count_grants(&mut one, other, now, 1);
        two.record_sibling_grants(at(now), KEY, one.last_granted_permit(KEY), CONNECTIONS_WHEN_FULL);
        both += count_grants(&mut two, other, now, 1);
        one.record_sibling_grants(at(now), KEY, two.last_granted_permit(KEY), CONNECTIONS_WHEN_FULL);
    }
    assert!(single > 10 && both == single, "{both} by two processes, {single} by one");
    // Permits of the server's previous start block none of this one.
    let mut fresh = process();
    fresh.record_sibling_grants(at(0), KEY, 500, CONNECTIONS_WHEN_FULL);
    assert_eq!(fresh.last_granted_permit(KEY), 0);
}

#[test]
fn a_request_without_reply_is_sent_to_the_other_grantor_and_then_given_up() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let requester = &mut all[other.0 as usize];
    let (first, number) = awaited_request(requester.request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL));
    let late = at(0) + REPLY_TIMEOUT;
    let (second, next) =
        awaited_request(requester.handle_reply_timeout(late, KEY, number).expect("another grantor"));
    assert!(first.to != second.to && grantors.contains(&second.to));
    assert_eq!(requester.handle_reply_timeout(late, KEY, number), None, "one time-out an request");
    let given_up = requester.handle_reply_timeout(late + REPLY_TIMEOUT, KEY, next);
    assert_eq!(given_up, Some(PermitStep::Resolved { server: KEY, reply: PermitReply::NoReply }));
    assert_eq!(
        requester.request_permit(late + REPLY_TIMEOUT, KEY, CONNECTIONS_WHEN_FULL),
        PermitStep::Resolved { server: KEY, reply: PermitReply::NoReply },
        "unreachable grantors are not asked"
    );
    awaited_request(requester.request_permit(at(5 * SECOND), KEY, CONNECTIONS_WHEN_FULL));
    // A reply that comes after that is no permit.
    let answer = sent_reply(all[first.to.0 as usize].handle_datagram(
        at(0),
        other,
        first.bytes(),
        CONNECTIONS_WHEN_FULL,
    ));
    let handled = all[other.0 as usize].handle_datagram(
        at(5 * SECOND),
        first.to,
        answer.bytes(),
        CONNECTIONS_WHEN_FULL,
    );
    assert!(handled == Err(DecodeError::UnexpectedReply), "{handled:?}");
    // A grantor needs no other gateway: it has a permit of its own in three seconds at this age at least.
    let grantor = &mut all[grantors[0].0 as usize];
    assert!((0..300).any(|step| is_granted(&grantor.request_permit(
        at(5 * SECOND + step * 10_000),
        KEY,
        CONNECTIONS_WHEN_FULL
    ))));
}

#[test]
fn datagrams_of_strangers_and_garbage_change_nothing() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let (request, _) =
        awaited_request(all[other.0 as usize].request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL));
    let grantor = &mut all[grantors[0].0 as usize];
    for from in [grantors[0], GatewayId(GATEWAYS), GatewayId(u32::MAX)] {
        assert_eq!(
            grantor.handle_datagram(at(0), from, request.bytes(), CONNECTIONS_WHEN_FULL),
            Err(DecodeError::UnknownSender)
        );
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..20_000 {
        let length = rng.random_range(0..2 * MAX_DATAGRAM_LENGTH);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(first) = bytes.first_mut().filter(|_| rng.random()) {
            *first = rng.random_range(18..20);
        }
        let handled = grantor.handle_datagram(at(0), other, &bytes, CONNECTIONS_WHEN_FULL);
        let answer = matches!(handled, Ok(Some(PermitStep::Resolved { .. })));
        assert!(!answer, "random bytes reply to no request: {handled:?}");
        grantor.check_invariants().expect("no invariant is broken");
    }
    assert!(
        is_granted(&grantor.request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL)),
        "none of these used the permit"
    );
    assert!(!all[other.0 as usize].grantors(KEY).contains(&other));
    let elsewhere =
        all[other.0 as usize].handle_datagram(at(0), grantors[0], request.bytes(), CONNECTIONS_WHEN_FULL);
    assert_eq!(elsewhere, Err(DecodeError::NotGrantor));
}
