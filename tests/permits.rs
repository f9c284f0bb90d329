//! Permits for new servers. Lost, delayed or repeated datagrams, restarts and clock steps create no permits.

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
/// Microseconds per second.
const SECOND: i64 = 1_000_000;

fn at(us: i64) -> Time {
    Time::from_micros(1_000 * SECOND + us)
}

fn slow_start_config() -> SlowStartConfig {
    SlowStartConfig {
        overload_factor: 2.5,
        overload_window: Span::from_micros(2 * SECOND),
        initial_capacity_share: 0.13,
        warm_up_time: Span::from_micros(24 * SECOND),
    }
}

/// Returns all gateways of a fleet with a server that starts now, the grantors of this server, and a gateway
/// that is not a grantor.
fn gateways_and_grantors(key: u32) -> (Vec<Permits>, Vec<GatewayId>, GatewayId) {
    let mut all: Vec<Permits> =
        (0..GATEWAYS).map(|own| Permits::new(GatewayId(own), GATEWAYS, slow_start_config(), at(0))).collect();
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

/// Returns the reply, and checks that it is sent twice if and only if it grants a permit.
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

/// Returns the number of permits that `grantor` grants for `request_count` requests, one every 10 ms from
/// `start` on, in microseconds.
fn count_grants(grantor: &mut Permits, from: GatewayId, start: i64, request_count: u16) -> usize {
    let grants_for = |number: u16| {
        let request = [&[18][..], &number.to_be_bytes(), &KEY.to_be_bytes()].concat();
        let reply = sent_reply(grantor.handle_datagram(
            at(start + i64::from(number) * 10_000),
            from,
            &request,
            CONNECTIONS_WHEN_FULL,
        ));
        grantor.check_invariants().expect("no invariant is broken");
        usize::from(reply.bytes()[7] & 1)
    };
    (0..request_count).map(grants_for).sum()
}

#[test]
fn a_permit_is_granted_once_and_expires_a_lifetime_after_its_request() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let (request, _) =
        awaited_request(all[other.0 as usize].request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL));
    assert!(grantors.contains(&request.to) && request.bytes().len() == REQUEST_LENGTH);
    let reply = sent_reply(all[request.to.0 as usize].handle_datagram(
        at(30_000),
        other,
        request.bytes(),
        CONNECTIONS_WHEN_FULL,
    ));
    assert_eq!((reply.to, reply.bytes().len()), (other, MAX_DATAGRAM_LENGTH));
    let handled =
        all[other.0 as usize].handle_datagram(at(60_000), request.to, reply.bytes(), CONNECTIONS_WHEN_FULL);
    let granted = PermitReply::Granted { expires_at: at(0) + PERMIT_LIFETIME, below_fair_share: true };
    assert_eq!(
        handled,
        Ok(Some(PermitStep::Resolved { server: KEY, reply: granted })),
        "the lifetime is counted from the request, not from the grant"
    );
    let second_copy =
        all[other.0 as usize].handle_datagram(at(61_000), request.to, reply.bytes(), CONNECTIONS_WHEN_FULL);
    assert_eq!(second_copy, Ok(None), "the second copy is neither a second permit nor an error");
    // A repeated request uses permits that are due, and creates none.
    let repeated = sent_reply(all[request.to.0 as usize].handle_datagram(
        at(62_000),
        other,
        request.bytes(),
        CONNECTIONS_WHEN_FULL,
    ));
    assert_eq!(repeated.bytes()[7] & 1, 0, "only one permit is due at the start");
    assert_eq!(
        all[other.0 as usize].handle_datagram(
            at(90_000),
            request.to,
            repeated.bytes(),
            CONNECTIONS_WHEN_FULL
        ),
        Ok(None),
        "the request was already answered"
    );
}

/// Returns the largest number of times that lie within one window of this length.
fn max_within(times: &[i64], window: i64) -> usize {
    let count_from = |&start: &i64| times.iter().filter(|at| (start..start + window).contains(at)).count();
    times.iter().map(count_from).max().unwrap_or_default()
}

/// Returns the times in microseconds at which these grantors grant a permit. Each gets a request every 10 ms
/// from the server's start on, and is restarted every `restart_interval` microseconds if that is set.
fn grant_times(
    grantors: &[GatewayId],
    other: GatewayId,
    seconds: i64,
    restart_interval: Option<i64>,
) -> Vec<i64> {
    let mut granted = Vec::new();
    for &grantor in grantors {
        let start_process = |now: i64| {
            let mut grantor = Permits::new(grantor, GATEWAYS, slow_start_config(), at(now));
            grantor.update_servers(std::iter::once((KEY, at(0))));
            grantor
        };
        let mut process = start_process(0);
        for now in (0..seconds * SECOND).step_by(10_000) {
            if restart_interval.is_some_and(|interval| now % interval == 0) {
                process = start_process(now);
            }
            granted.extend((count_grants(&mut process, other, now, 1) == 1).then_some(now));
        }
    }
    granted.sort_unstable();
    granted
}

#[test]
fn grantors_together_respect_the_limit_and_a_restart_creates_no_permit() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let window = 2 * SECOND;
    // The documented limit within a window is N + 2 sqrt(N) + 2, where N = 2.5 x 0.13 x 54 / 24 x 2 at the
    // server's start: overload factor x initial capacity share x connections when full / warm-up time x
    // window.
    let expected: f64 = 2.5 * 0.13 * CONNECTIONS_WHEN_FULL / 24.0 * 2.0;
    let allowed = expected + 2.0 * expected.sqrt() + 2.0;
    let granted = grant_times(&grantors, other, 2, None);
    assert!(granted.len() >= 4 && granted.len() as f64 <= allowed, "{granted:?}, the limit is {allowed}");
    // A permit may be used up to its lifetime after the grant, so a window also counts the permits that were
    // granted within one lifetime before it.
    let without_restarts = grant_times(&grantors, other, 40, None);
    for &from in &without_restarts {
        let expected =
            2.5 * (0.13 + 0.87 * (from as f64 / 24e6).min(1.0)) * CONNECTIONS_WHEN_FULL / 24.0 * 2.0;
        let usable = without_restarts
            .iter()
            .filter(|&&at| (from - PERMIT_LIFETIME.as_micros()..from + window).contains(&at));
        let usable = usable.count() as f64;
        assert!(
            usable <= expected + 2.0 * expected.sqrt() + 2.0,
            "{usable} permits may be used within 2 s from {from}"
        );
    }
    // Grantors that restart every 100 ms, with the server on their endpoint list, grant no permit twice.
    let with_restarts = grant_times(&grantors, other, 40, Some(100_000));
    assert!(
        with_restarts.len() <= without_restarts.len(),
        "{} with restarts, {} without",
        with_restarts.len(),
        without_restarts.len()
    );
    let [most_without, most_with] =
        [&without_restarts, &with_restarts].map(|granted| max_within(granted, window));
    assert!(most_with <= most_without, "within a window: {most_with} with restarts, {most_without} without");
    // Clock steps backward and forward create no permits either.
    let grantor = &mut all[grantors[1].0 as usize];
    let before = count_grants(grantor, other, 2 * SECOND, 1);
    let granted_by_steps: usize = (0..50)
        .map(|_| count_grants(grantor, other, 0, 1) + count_grants(grantor, other, 2 * SECOND, 1))
        .sum();
    assert!(before <= 1 && granted_by_steps <= 1, "{granted_by_steps} permits granted after clock steps");
}

#[test]
fn two_processes_of_a_grantor_grant_no_permit_twice() {
    let (_, grantors, other) = gateways_and_grantors(KEY);
    let start_process = || {
        let mut process = Permits::new(grantors[0], GATEWAYS, slow_start_config(), at(0));
        process.update_servers(std::iter::once((KEY, at(0))));
        process
    };
    let mut first = start_process();
    let mut second = start_process();
    let mut only = start_process();
    let mut granted_by_two = 0;
    let mut granted_by_one = 0;
    for now in (0..20 * SECOND).step_by(50_000) {
        granted_by_one += count_grants(&mut only, other, now, 1);
        granted_by_two += count_grants(&mut first, other, now, 1);
        second.record_sibling_grants(at(now), KEY, first.last_granted_permit(KEY), CONNECTIONS_WHEN_FULL);
        granted_by_two += count_grants(&mut second, other, now, 1);
        first.record_sibling_grants(at(now), KEY, second.last_granted_permit(KEY), CONNECTIONS_WHEN_FULL);
    }
    assert!(
        granted_by_one > 10 && granted_by_two == granted_by_one,
        "{granted_by_two} granted by two processes, {granted_by_one} by one"
    );
    // Permits of the server's previous incarnation use up none of the present one.
    let mut restarted = start_process();
    restarted.record_sibling_grants(at(0), KEY, 500, CONNECTIONS_WHEN_FULL);
    assert_eq!(restarted.last_granted_permit(KEY), 0);
}

#[test]
fn a_request_without_reply_is_sent_to_the_other_grantor_and_then_resolved_without_a_permit() {
    let (mut all, grantors, other) = gateways_and_grantors(KEY);
    let requester = &mut all[other.0 as usize];
    let (first, first_number) = awaited_request(requester.request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL));
    let first_timeout = at(0) + REPLY_TIMEOUT;
    let (second, second_number) = awaited_request(
        requester.handle_reply_timeout(first_timeout, KEY, first_number).expect("another grantor"),
    );
    assert!(first.to != second.to && grantors.contains(&second.to));
    assert_eq!(
        requester.handle_reply_timeout(first_timeout, KEY, first_number),
        None,
        "a request has one time-out"
    );
    let unanswered = requester.handle_reply_timeout(first_timeout + REPLY_TIMEOUT, KEY, second_number);
    assert_eq!(unanswered, Some(PermitStep::Resolved { server: KEY, reply: PermitReply::NoReply }));
    assert_eq!(
        requester.request_permit(first_timeout + REPLY_TIMEOUT, KEY, CONNECTIONS_WHEN_FULL),
        PermitStep::Resolved { server: KEY, reply: PermitReply::NoReply },
        "unreachable grantors get no request"
    );
    awaited_request(requester.request_permit(at(5 * SECOND), KEY, CONNECTIONS_WHEN_FULL));
    // A reply that arrives after the time-out is no permit.
    let reply = sent_reply(all[first.to.0 as usize].handle_datagram(
        at(0),
        other,
        first.bytes(),
        CONNECTIONS_WHEN_FULL,
    ));
    let handled =
        all[other.0 as usize].handle_datagram(at(5 * SECOND), first.to, reply.bytes(), CONNECTIONS_WHEN_FULL);
    assert!(handled == Err(DecodeError::UnexpectedReply), "{handled:?}");
    // A grantor grants itself permits without any other gateway: at this age of the server at least one
    // within three seconds.
    let grantor = &mut all[grantors[0].0 as usize];
    assert!((0..300).any(|step| is_granted(&grantor.request_permit(
        at(5 * SECOND + step * 10_000),
        KEY,
        CONNECTIONS_WHEN_FULL
    ))));
}

#[test]
fn datagrams_of_unknown_senders_and_random_bytes_change_nothing() {
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
        let is_reply = matches!(handled, Ok(Some(PermitStep::Resolved { .. })));
        assert!(!is_reply, "random bytes reply to no request: {handled:?}");
        grantor.check_invariants().expect("no invariant is broken");
    }
    assert!(
        is_granted(&grantor.request_permit(at(0), KEY, CONNECTIONS_WHEN_FULL)),
        "none of the datagrams used the permit"
    );
    assert!(!all[other.0 as usize].grantors(KEY).contains(&other));
    let at_other_gateway =
        all[other.0 as usize].handle_datagram(at(0), grantors[0], request.bytes(), CONNECTIONS_WHEN_FULL);
    assert_eq!(at_other_gateway, Err(DecodeError::NotGrantor));
}
