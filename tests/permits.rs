//! Rights to send to new servers: what no lost, late or repeated datagram, no restart and no clock may make.

use ashtide::decision::slow_start::SlowStartConfig;
use ashtide::fleet::permits::{
    DecodeError, MAX_DATAGRAM_LENGTH, PERMIT_LIFETIME, PermitDatagram, PermitStep, Permits, REPLY_TIMEOUT,
    REQUEST_LENGTH,
};
use ashtide::{GatewayId, PermitReply, Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: u32 = 7;
const FULL: f64 = 54.0;
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

/// All gateways of the tier, told of a server that begins now, and who keeps its allowance, and another.
fn gateways_and_grantors(key: u32) -> (Vec<Permits>, Vec<GatewayId>, GatewayId) {
    let mut all: Vec<Permits> =
        (0..GATEWAYS).map(|own| Permits::new(GatewayId(own), GATEWAYS, ramp(), at(0))).collect();
    all.iter_mut().for_each(|it| it.update_servers(std::iter::once((key, at(0)))));
    let owners = all[0].grantors(key);
    let other =
        (0..GATEWAYS).map(GatewayId).find(|it| !owners.contains(it)).expect("more gateways than owners");
    (all, owners, other)
}

fn awaited_request(step: PermitStep) -> (PermitDatagram, u16) {
    let PermitStep::AwaitReply { datagram, request_number } = step else { panic!("{step:?} is no request") };
    (datagram, request_number)
}

/// An answer, which is sent twice where it grants a right and else once.
fn sent_reply(step: Result<Option<PermitStep>, DecodeError>) -> PermitDatagram {
    let (datagram, granted) = match step {
        Ok(Some(PermitStep::Send(datagram))) => (datagram, 0),
        Ok(Some(PermitStep::SendTwice(datagram))) => (datagram, 1),
        step => panic!("{step:?} is no answer to be sent"),
    };
    assert_eq!(datagram.bytes()[7] & 1, granted, "only what costs a turn when lost is sent twice");
    datagram
}

fn is_granted(step: &PermitStep) -> bool {
    matches!(step, PermitStep::Resolved { reply: PermitReply::Granted { .. }, .. })
}

/// Rights that an owner grants in so many asks, one every 10 ms from then on.
fn count_grants(owner: &mut Permits, from: GatewayId, start: i64, asks: u16) -> usize {
    let one = |number: u16| {
        let ask = [&[18][..], &number.to_be_bytes(), &KEY.to_be_bytes()].concat();
        let answer =
            sent_reply(owner.handle_datagram(at(start + i64::from(number) * 10_000), from, &ask, FULL));
        owner.check_invariants().expect("no invariant is broken");
        usize::from(answer.bytes()[7] & 1)
    };
    (0..asks).map(one).sum()
}

#[test]
fn a_right_is_asked_of_an_owner_granted_once_and_lost_a_lease_after_the_ask() {
    let (mut all, owners, other) = gateways_and_grantors(KEY);
    let (ask, _) = awaited_request(all[other.0 as usize].request_permit(at(0), KEY, FULL));
    assert!(owners.contains(&ask.to) && ask.bytes().len() == REQUEST_LENGTH);
    let answer = sent_reply(all[ask.to.0 as usize].handle_datagram(at(30_000), other, ask.bytes(), FULL));
    assert_eq!((answer.to, answer.bytes().len()), (other, MAX_DATAGRAM_LENGTH));
    let heard = all[other.0 as usize].handle_datagram(at(60_000), ask.to, answer.bytes(), FULL);
    let lease = PermitReply::Granted { expires_at: at(0) + PERMIT_LIFETIME, below_fair_share: true };
    assert_eq!(
        heard,
        Ok(Some(PermitStep::Resolved { server: KEY, reply: lease })),
        "from the ask, not from the grant"
    );
    let again = all[other.0 as usize].handle_datagram(at(61_000), ask.to, answer.bytes(), FULL);
    assert_eq!(again, Ok(None), "the second copy is no second right, and nothing to complain of");
    // A repeated ask spends what is there, and makes nothing.
    let repeated = sent_reply(all[ask.to.0 as usize].handle_datagram(at(62_000), other, ask.bytes(), FULL));
    assert_eq!(repeated.bytes()[7] & 1, 0, "the bucket has one right at the start");
    assert_eq!(
        all[other.0 as usize].handle_datagram(at(90_000), ask.to, repeated.bytes(), FULL),
        Ok(None),
        "it had one"
    );
}

/// The most within any time of this length.
fn max_within(sent: &[i64], window: i64) -> usize {
    let from = |&start: &i64| sent.iter().filter(|at| (start..start + window).contains(at)).count();
    sent.iter().map(from).max().unwrap_or_default()
}

/// When these owners grant, each asked every 10 ms from the server's start on, and started anew every so often.
fn grant_times(owners: &[GatewayId], other: GatewayId, seconds: i64, anew_every: Option<i64>) -> Vec<i64> {
    let mut granted = Vec::new();
    for &owner in owners {
        let begin = |now: i64| {
            let mut owner = Permits::new(owner, GATEWAYS, ramp(), at(now));
            owner.update_servers(std::iter::once((KEY, at(0))));
            owner
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
fn owners_together_keep_under_the_rule_and_a_restart_mints_nothing() {
    let (mut all, owners, other) = gateways_and_grantors(KEY);
    let window = 2 * SECOND;
    // N + 2 x root of N + 2 as the page has it, N 2.5 x 0.13 x 54 / 24 x 2 at the start.
    let n: f64 = 2.5 * 0.13 * FULL / 24.0 * 2.0;
    let allowed = n + 2.0 * n.sqrt() + 2.0;
    let granted = grant_times(&owners, other, 2, None);
    assert!(granted.len() >= 4 && granted.len() as f64 <= allowed, "{granted:?}, {allowed} push it over");
    // A right may be used a lease late: a window sees what is granted a lease before it, too.
    let undisturbed = grant_times(&owners, other, 40, None);
    for &from in &undisturbed {
        let n = 2.5 * (0.13 + 0.87 * (from as f64 / 24e6).min(1.0)) * FULL / 24.0 * 2.0;
        let seen = undisturbed
            .iter()
            .filter(|&&at| (from - PERMIT_LIFETIME.as_micros()..from + window).contains(&at));
        let seen = seen.count() as f64;
        assert!(seen <= n + 2.0 * n.sqrt() + 2.0, "{seen} that may be used within 2 s from {from}");
    }
    // Owners that start anew every 100 ms, with a list that names the server, grant no turn twice.
    let minted = grant_times(&owners, other, 40, Some(100_000));
    assert!(minted.len() <= undisturbed.len(), "{} after {}", minted.len(), undisturbed.len());
    let most = [&undisturbed, &minted].map(|granted| max_within(granted, window));
    assert!(most[1] <= most[0], "{most:?} within a window");
    // A clock that is put back and on again makes none either.
    let owner = &mut all[owners[1].0 as usize];
    let before = count_grants(owner, other, 2 * SECOND, 1);
    let jumps: usize =
        (0..50).map(|_| count_grants(owner, other, 0, 1) + count_grants(owner, other, 2 * SECOND, 1)).sum();
    assert!(before <= 1 && jumps <= 1, "{jumps} of a clock that jumps");
}

#[test]
fn two_processes_of_an_owner_grant_no_turn_twice() {
    let (_, owners, other) = gateways_and_grantors(KEY);
    let process = || {
        let mut it = Permits::new(owners[0], GATEWAYS, ramp(), at(0));
        it.update_servers(std::iter::once((KEY, at(0))));
        it
    };
    let (mut one, mut two, mut alone) = (process(), process(), process());
    let (mut both, mut single) = (0, 0);
    for now in (0..20 * SECOND).step_by(50_000) {
        single += count_grants(&mut alone, other, now, 1);
        both += count_grants(&mut one, other, now, 1);
        two.record_sibling_grants(at(now), KEY, one.last_granted_permit(KEY), FULL);
        both += count_grants(&mut two, other, now, 1);
        one.record_sibling_grants(at(now), KEY, two.last_granted_permit(KEY), FULL);
    }
    assert!(single > 10 && both == single, "{both} by two processes, {single} by one");
    // What is told of the server's last life bars no turn of this one.
    let mut fresh = process();
    fresh.record_sibling_grants(at(0), KEY, 500, FULL);
    assert_eq!(fresh.last_granted_permit(KEY), 0);
}

#[test]
fn who_is_not_answered_asks_the_other_owner_and_then_goes_by_its_own_part() {
    let (mut all, owners, other) = gateways_and_grantors(KEY);
    let asker = &mut all[other.0 as usize];
    let (first, number) = awaited_request(asker.request_permit(at(0), KEY, FULL));
    let late = at(0) + REPLY_TIMEOUT;
    let (second, next) =
        awaited_request(asker.handle_reply_timeout(late, KEY, number).expect("another owner"));
    assert!(first.to != second.to && owners.contains(&second.to));
    assert_eq!(asker.handle_reply_timeout(late, KEY, number), None, "one time-out an ask");
    let given_up = asker.handle_reply_timeout(late + REPLY_TIMEOUT, KEY, next);
    assert_eq!(given_up, Some(PermitStep::Resolved { server: KEY, reply: PermitReply::NoReply }));
    assert_eq!(
        asker.request_permit(late + REPLY_TIMEOUT, KEY, FULL),
        PermitStep::Resolved { server: KEY, reply: PermitReply::NoReply },
        "not asked in vain"
    );
    awaited_request(asker.request_permit(at(5 * SECOND), KEY, FULL));
    // An answer that comes after that is no right.
    let answer = sent_reply(all[first.to.0 as usize].handle_datagram(at(0), other, first.bytes(), FULL));
    let heard = all[other.0 as usize].handle_datagram(at(5 * SECOND), first.to, answer.bytes(), FULL);
    assert!(heard == Err(DecodeError::UnexpectedReply), "{heard:?}");
    // An owner needs nobody, and has turns of its own: one in three seconds at this age at least.
    let owner = &mut all[owners[0].0 as usize];
    assert!((0..300).any(|step| is_granted(&owner.request_permit(
        at(5 * SECOND + step * 10_000),
        KEY,
        FULL
    ))));
}

#[test]
fn strangers_and_garbage_change_nothing() {
    let (mut all, owners, other) = gateways_and_grantors(KEY);
    let (ask, _) = awaited_request(all[other.0 as usize].request_permit(at(0), KEY, FULL));
    let owner = &mut all[owners[0].0 as usize];
    for from in [owners[0], GatewayId(GATEWAYS), GatewayId(u32::MAX)] {
        assert_eq!(owner.handle_datagram(at(0), from, ask.bytes(), FULL), Err(DecodeError::UnknownSender));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..20_000 {
        let length = rng.random_range(0..2 * MAX_DATAGRAM_LENGTH);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(first) = bytes.first_mut().filter(|_| rng.random()) {
            *first = rng.random_range(18..20);
        }
        let heard = owner.handle_datagram(at(0), other, &bytes, FULL);
        let answer = matches!(heard, Ok(Some(PermitStep::Resolved { .. })));
        assert!(!answer, "random bytes answer nothing asked: {heard:?}");
        owner.check_invariants().expect("no invariant is broken");
    }
    assert!(is_granted(&owner.request_permit(at(0), KEY, FULL)), "none of these used the right up");
    assert!(!all[other.0 as usize].grantors(KEY).contains(&other));
    let elsewhere = all[other.0 as usize].handle_datagram(at(0), owners[0], ask.bytes(), FULL);
    assert_eq!(elsewhere, Err(DecodeError::NotGrantor));
}
