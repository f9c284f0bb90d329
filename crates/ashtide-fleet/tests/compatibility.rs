//! The bytes and texts that gateways of other builds and operators rely on, against stored ones.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_fleet::page::{PageEntry, PageHeader, PageRequest, decode, encode};
use ashtide_fleet::state::{
    Allocation, AllocationAgreement, AllocationVersion, BudgetKind, CounterKey, EvidenceKind,
    EvidenceMessage, Exchange, ExchangeConfig, InitialShare, LeaseConfig, LeaseGrant, LeaseRejected,
    LeaseRequest, OutlierLimits, Slot, StaleAllocation, StateMessage, VersionedCount, Violation,
    initial_shares, is_shared_state,
};
use ashtide_fleet::{DecodeError, Member, MemberState, Membership, ViewChange, ViewConfig};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len() / 2).map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).expect("hex")).collect()
}

fn stored(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(name);
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Compares with the stored text; the first line that differs is named.
fn same_as_stored(name: &str, found: &str) {
    let stored = stored(name);
    for (number, (found, stored)) in found.lines().zip(stored.lines()).enumerate() {
        assert_eq!(found, stored, "{name}, line {}", number + 1);
    }
    if found != stored {
        let aside = std::env::temp_dir().join(format!("ashtide-fleet-compatibility-{name}"));
        std::fs::write(&aside, found).expect("written aside");
        panic!("{name} has another length, see {}", aside.display());
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

fn change_text(change: &ViewChange) -> String {
    let member = |it: &Member| format!("{} {} {}", it.address, it.incarnation, it.leaving);
    match change {
        ViewChange::Up(it) => format!("up {}", member(it)),
        ViewChange::Left(it) => format!("left {}", member(it)),
        ViewChange::Dead(it) => format!("dead {}", member(it)),
        ViewChange::Rejoined(it) => format!("back {}", member(it)),
        ViewChange::Stalled(time) => format!("stalled {}", time.as_millis()),
    }
}

fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Left => "left",
        MemberState::Dead => "dead",
    }
}

/// Four members: one is cut off for a while, one stalls, one leaves. Everything that is sent, and what follows.
#[test]
fn members_send_the_same_datagrams() {
    let ms = Duration::from_millis;
    let mut text = String::new();
    let mut fleets: Vec<Membership> = (0..4)
        .map(|number| {
            let seeds = vec![address(0), address(1)];
            let options =
                ViewConfig { fleet_id: 7, expected_members: 4, datagrams_per_second: 24, burst: 48 };
            Membership::new(options, address(number), 1_000 + u64::from(number), seeds, number.into(), ms(0))
        })
        .collect();
    for step in 0..1_300_u64 {
        let now = ms(step * 20);
        for at in 0..fleets.len() {
            let stalled = at == 1 && (900..960).contains(&step);
            if !stalled && fleets[at].next_timeout().is_some_and(|due| due <= now) {
                fleets[at].handle_timeout(now);
            }
            if at == 2 && step == 1_200 {
                fleets[at].leave(now);
            }
            while let Some(change) = fleets[at].next_change() {
                let _ = writeln!(text, "{} {at}: {}", now.as_millis(), change_text(&change));
            }
            while let Some((to, datagram)) = fleets[at].next_datagram() {
                let _ = writeln!(text, "{} {at}>{}: {}", now.as_millis(), to.port() - 9_000, hex(&datagram));
                let to = usize::from(to.port() - 9_000);
                let cut = (200..700).contains(&step) && (at == 3) != (to == 3);
                if !cut && let Err(why) = fleets[to].handle_datagram(now, &datagram) {
                    let _ = writeln!(text, "{} {to}: not heard, {why}", now.as_millis());
                }
            }
        }
    }
    for (at, fleet) in fleets.iter().enumerate() {
        let own = fleet.own();
        let _ = writeln!(text, "{at} own {} {} digest {:x}", own.address, own.incarnation, fleet.digest());
        for row in fleet.members() {
            let (member, state) = (row.member, state_text(row.state));
            let _ = writeln!(
                text,
                "{at} {} {} {} {state} {} {}",
                member.address,
                member.incarnation,
                member.leaving,
                row.refutations,
                row.since.as_millis()
            );
        }
        let it = fleet.metrics();
        let _ = writeln!(
            text,
            "{at} sent {} {} heard {} {} unsent {} deaths {} false {} own {} stalls {}",
            it.sent.datagrams,
            it.sent.bytes,
            it.received.datagrams,
            it.received.bytes,
            it.dropped,
            it.deaths,
            it.false_deaths,
            it.own_deaths,
            it.stalls
        );
    }
    same_as_stored("members.txt", &text);
}

fn entries() -> Vec<PageEntry> {
    let entry = |address: &str, generation, leaving, incarnation, state| PageEntry {
        member: Member { address: address.parse().expect("an address"), incarnation: generation, leaving },
        refutations: incarnation,
        state,
    };
    vec![
        entry("10.0.0.1:7946", 1_700_000_000_000, false, 0, foca::State::Alive),
        entry("10.0.0.2:7946", 1_700_000_000_500, false, 3, foca::State::Suspect),
        entry("10.0.1.2:8000", 1_699_999_999_999, true, 0, foca::State::Down),
        entry("[2001:db8::1]:7946", u64::MAX, false, 65_535, foca::State::Alive),
    ]
}

#[test]
fn pages_are_written_and_read_the_same() {
    let entries = entries();
    let mut text = String::new();
    let mut pages = Vec::new();
    for (wants, after, last, room) in [
        (PageRequest::CompareDigests, None, true, 250),
        (PageRequest::NewerEntries, Some(entries[0].member.address), true, 250),
        (PageRequest::Nothing, Some(entries[3].member.address), false, 60),
    ] {
        let told = if wants == PageRequest::CompareDigests { &[] } else { &entries[..] };
        let head = PageHeader {
            sender: entries[1].member,
            refutations: 2,
            digest: 0x0123_4567_89ab_cdef,
            request: wants,
            after,
        };
        let (bytes, count) = encode(&head, told, last, room);
        let _ = writeln!(text, "{count} {}", hex(&bytes));
        pages.push((head, last && count == told.len(), told[..count].to_vec()));
    }
    same_as_stored("pages.txt", &text);
    for (line, (head, last, told)) in stored("pages.txt").lines().zip(pages) {
        let bytes = unhex(line.split(' ').nth(1).expect("bytes"));
        let page = decode(&bytes).expect("a page");
        assert_eq!((page.header, page.is_last, page.entries), (head, last, told), "{line}");
    }
    for bytes in ["", "00", "02", "0003"] {
        assert!(decode(&unhex(bytes)).is_none(), "{bytes}");
    }
}

fn unheard_text(why: DecodeError) -> &'static str {
    match why {
        DecodeError::Length => "length",
        DecodeError::Version => "version",
        DecodeError::OtherFleet => "tier",
        DecodeError::Malformed => "malformed",
        DecodeError::Own => "own",
        DecodeError::Full => "full",
        DecodeError::Foreign => "foreign",
    }
}

#[test]
fn why_a_datagram_is_not_heard_is_told_the_same() {
    let mut text = String::new();
    for why in [
        DecodeError::Length,
        DecodeError::Version,
        DecodeError::OtherFleet,
        DecodeError::Malformed,
        DecodeError::Own,
        DecodeError::Full,
        DecodeError::Foreign,
    ] {
        let _ = writeln!(text, "{}: {why}; {}", unheard_text(why), why.help());
    }
    let mut member =
        Membership::new(ViewConfig::new(7, 2), address(0), 5, vec![address(1)], 1, Duration::ZERO);
    member.handle_timeout(Duration::ZERO);
    let (_, own) = member.next_datagram().expect("it joins");
    let with = |at: usize, value: u8| {
        let mut bytes = own.to_vec();
        bytes[at] = value;
        bytes
    };
    let cases = [
        ("empty", Vec::new()),
        ("short", own[..5].to_vec()),
        ("long", vec![0x42; 257]),
        ("version", with(0, 0x41)),
        ("tier", with(4, 8)),
        ("kind", with(5, 2)),
        ("page", with(5, 1)),
        ("cut", own[..own.len() - 3].to_vec()),
        ("own", own.to_vec()),
    ];
    for (name, bytes) in cases {
        let told = match member.handle_datagram(Duration::ZERO, &bytes) {
            Ok(()) => "heard".to_owned(),
            Err(why) => format!("{} {why}", unheard_text(why)),
        };
        let _ = writeln!(text, "view {name} {}: {told}", hex(&bytes[..bytes.len().min(80)]));
    }
    let mut exchange = exchange(0, 3);
    let good = "530000000700010000000000000064";
    for (name, bytes) in [
        ("empty", String::new()),
        ("short", good[..28].to_owned()),
        ("long", "53".repeat(257)),
        ("version", good.replacen("53", "42", 1)),
        ("tier", good.replacen("07", "08", 1)),
        ("malformed", format!("{good}ff")),
        ("cut", format!("{good}06")),
        ("own", good.replacen("070001", "070000", 1)),
        ("full", good.replacen("070001", "070003", 1)),
        ("good", good.to_owned()),
    ] {
        let told = match exchange.handle_datagram(&unhex(&bytes)) {
            Ok(()) => "heard".to_owned(),
            Err(why) => format!("{} {why}", unheard_text(why)),
        };
        let _ = writeln!(text, "state {name} {}: {told}", &bytes[..bytes.len().min(80)]);
    }
    let foreign = exchange.handle_datagram_from(Some(Slot(2)), &unhex(good));
    let _ = writeln!(text, "state foreign: {}", foreign.err().map(unheard_text).unwrap_or("heard"));
    let known = exchange.handle_datagram_from(Some(Slot(1)), &unhex(good));
    let _ = writeln!(text, "state known: {}", known.err().map(unheard_text).unwrap_or("heard"));
    assert!(is_shared_state(&unhex(good)) && !is_shared_state(&own) && !is_shared_state(&[]));
    same_as_stored("unheard.txt", &text);
}

/// Every kind of item, with numbers whose encoding takes more than one byte.
fn items() -> Vec<StateMessage> {
    let ask = LeaseRequest {
        incarnation: 1_700_000_000_000,
        sequence: 300,
        wanted_units: 70_000,
        leased_units: 129,
    };
    let grant = LeaseGrant { incarnation: 1_700_000_000_001, sequence: 301, units: 70_001, spare_units: 130 };
    let cell = VersionedCount { version: 1_000, value: 77_777 };
    let told = |kind| EvidenceMessage {
        server: 0xdead_beef,
        kind,
        incarnation: 1_700_000_000_002,
        sequence: 302,
        observed: 200,
        attempts: 40_000,
        age_ms: 24_000,
    };
    let at = AllocationVersion {
        generation: 5,
        digest: u64::MAX,
        agreed: true,
        bitmap_part: 1,
        commitments: [1, 2, u64::MAX, 0],
    };
    vec![
        StateMessage::LeaseRequest(0x0102_0304, ask),
        StateMessage::LeaseGrant(0x0102_0305, grant),
        StateMessage::Evidence(told(EvidenceKind::Failing)),
        StateMessage::Evidence(told(EvidenceKind::Silent)),
        StateMessage::Evidence(told(EvidenceKind::Overrun)),
        StateMessage::Evidence(told(EvidenceKind::Slow)),
        StateMessage::Count(CounterKey::OpenOnServer(9), cell),
        StateMessage::Count(CounterKey::OpenForPartner(10), cell),
        StateMessage::Count(CounterKey::SentToServer(u32::MAX), cell),
        StateMessage::CountsDigest(303, 0x0123_4567_89ab_cdef),
        StateMessage::ResendCounts,
        StateMessage::TotalRequest(CounterKey::OpenOnServer(11)),
        StateMessage::Total(CounterKey::OpenForPartner(12), 99_999, 500, 10_000),
        StateMessage::SnapshotRequest,
        StateMessage::SnapshotCount(Slot(513), 1_700_000_000_003, CounterKey::OpenOnServer(13), cell),
        StateMessage::SnapshotEnd,
        StateMessage::AllocationVersion(at),
    ]
}

fn item_kind(item: &StateMessage) -> &'static str {
    match item {
        StateMessage::LeaseRequest(..) => "ask",
        StateMessage::LeaseGrant(..) => "grant",
        StateMessage::Evidence(_) => "evidence",
        StateMessage::Count(..) => "count",
        StateMessage::CountsDigest(..) => "same",
        StateMessage::ResendCounts => "lacks",
        StateMessage::TotalRequest(_) => "read",
        StateMessage::Total(..) => "sum",
        StateMessage::SnapshotRequest => "start",
        StateMessage::SnapshotCount(..) => "relayed",
        StateMessage::SnapshotEnd => "end",
        StateMessage::AllocationVersion(_) => "at",
    }
}

#[test]
fn items_of_shared_state_are_written_and_read_the_same() {
    let mut text = String::new();
    for item in items() {
        let bytes = postcard::to_allocvec(&item).expect("bytes");
        let _ = writeln!(text, "{} {}", item_kind(&item), hex(&bytes));
    }
    same_as_stored("items.txt", &text);
    for (line, item) in stored("items.txt").lines().zip(items()) {
        let bytes = unhex(line.split(' ').nth(1).expect("bytes"));
        assert_eq!(postcard::take_from_bytes::<StateMessage>(&bytes), Ok((item, &[][..])), "{line}");
    }
}

fn exchange(own: u16, slots: u16) -> Exchange {
    let setup = ExchangeConfig {
        fleet_id: 7,
        slot_count: slots,
        datagrams_per_second: 40,
        lease: LeaseConfig::default(),
        outlier_limits: OutlierLimits::default(),
    };
    Exchange::new(setup, Slot(own), 100 + u64::from(own), u64::from(own) + 1, Duration::ZERO)
}

/// Lets a tier of exchanges pass time and notes all that is sent; those at or over `gone` are silent.
fn pass(text: &mut String, tier: &mut [Exchange], steps: std::ops::Range<u64>, gone: usize) {
    for step in steps {
        let now = Duration::from_millis(step * 50);
        for at in 0..tier.len().min(gone) {
            tier[at].advance_to(now);
            while let Some((to, datagram)) = tier[at].next_datagram() {
                let _ = writeln!(text, "{} {at}>{}: {}", now.as_millis(), to.0, hex(&datagram));
                if usize::from(to.0) < gone {
                    tier[usize::from(to.0)].handle_datagram(&datagram).expect("sound");
                }
            }
        }
    }
}

fn readings(text: &mut String, tier: &mut [Exchange], ready: &[(u32, u64)]) {
    for (at, exchange) in tier.iter_mut().enumerate() {
        for key in [
            CounterKey::OpenOnServer(1),
            CounterKey::OpenOnServer(2),
            CounterKey::OpenForPartner(3),
            CounterKey::SentToServer(4),
        ] {
            let _ = match exchange.fleet_total(key) {
                Some(it) => {
                    writeln!(text, "{at} sum {} {} {}", it.sum, it.gateway_count, it.max_age.as_millis())
                }
                None => writeln!(text, "{at} sum unheard"),
            };
        }
        for (server, kind) in exchange.outlier_reports_mut().update_outliers(ready) {
            let against = exchange.outlier_reports().evidence_weight(server, kind);
            let _ = writeln!(text, "{at} out {server} {against}");
        }
        let budgets: Vec<_> = exchange.budgets().map(|(id, it)| (id, it.clone())).collect();
        for (id, it) in budgets {
            let escrow = it.escrow();
            let (rights, lent, held) = (escrow.usable_units(), escrow.lent_units(), escrow.leased_units());
            let _ = writeln!(text, "{at} budget {id} {rights} {lent} {held} {}", it.in_use());
        }
        let traffic = exchange.traffic();
        let _ = writeln!(
            text,
            "{at} sent {} {} {}",
            traffic.sent.datagrams, traffic.sent.bytes, traffic.dropped_messages
        );
    }
}

#[test]
fn exchanges_send_the_same_datagrams() {
    let mut text = String::new();
    let mut tier: Vec<Exchange> = (0..4).map(|own| exchange(own, 4)).collect();
    let (pace, held) = (initial_shares(1, 40_000, 4, 100), initial_shares(2, 100, 4, 250));
    for exchange in &mut tier {
        exchange.set_peers((0..4).map(Slot));
        exchange.add_budget(1, &pace, BudgetKind::Rate { burst: Duration::from_secs(1) }, false);
        exchange.add_budget(2, &held, BudgetKind::Concurrency, true);
    }
    let ready: Vec<(u32, u64)> = (1..=6).map(|server| (server, 1_000)).collect();
    pass(&mut text, &mut tier, 0..60, 4);
    for (at, exchange) in tier.iter_mut().enumerate() {
        let own = at as u32;
        exchange.set_count(CounterKey::OpenOnServer(1), 10 + own);
        exchange.set_count(CounterKey::OpenOnServer(2), own);
        exchange.set_count(CounterKey::OpenForPartner(3), 7);
        exchange.set_count(CounterKey::SentToServer(4), 1_000 * own);
        exchange.set_wanted_units(1, if at == 0 { 30_000 } else { 500 });
        exchange.set_wanted_units(2, if at == 3 { 60 } else { 1 });
        if at < 3 {
            exchange.outlier_reports_mut().record_observation(
                Duration::from_secs(3),
                1,
                EvidenceKind::Failing,
                4,
                4,
            );
            exchange.outlier_reports_mut().record_observation(
                Duration::from_secs(3),
                2,
                EvidenceKind::Slow,
                1,
                9,
            );
        }
    }
    pass(&mut text, &mut tier, 60..140, 4);
    readings(&mut text, &mut tier, &ready);
    // One goes silent, and another begins a later life.
    for exchange in &mut tier[..3] {
        exchange.set_peers((0..3).map(Slot));
    }
    tier[1].restart(900);
    tier[2].reset_counts(901);
    pass(&mut text, &mut tier, 140..320, 3);
    readings(&mut text, &mut tier[..3], &ready);
    let told = tier[0].piggyback_datagram(Slot(1), 100).map(|bytes| hex(&bytes)).unwrap_or_default();
    let _ = writeln!(text, "ride {told}");
    same_as_stored("exchanges.txt", &text);
}

fn split(generation: u32, total: u64) -> Allocation {
    let pace = BudgetKind::Rate { burst: Duration::from_millis(800) };
    let totals = [(1, (total, pace)), (2, (60, BudgetKind::Concurrency))].into();
    Allocation { generation, slot_count: 3, floor_permille: 100, totals }
}

#[test]
fn a_change_of_totals_is_told_the_same() {
    let mut text = String::new();
    let mut tier: Vec<Exchange> = (0..3).map(|own| exchange(own, 3)).collect();
    for (at, exchange) in tier.iter_mut().enumerate() {
        exchange.set_peers((0..3).map(Slot));
        let first = split(1, 9_000);
        let _ = writeln!(text, "digest {:x}", first.digest());
        exchange.set_agreement(
            AllocationAgreement::new(Slot(at as u16), first, None).expect("a first generation"),
        );
        exchange.with_agreement(AllocationAgreement::mark_persisted);
    }
    pass(&mut text, &mut tier, 0..60, 3);
    for (step, at) in [(60, 0), (80, 2), (100, 1)] {
        tier[at].update_allocation(split(2, 18_000)).expect("a later generation");
        tier[at].with_agreement(AllocationAgreement::mark_persisted);
        pass(&mut text, &mut tier, step..step + 20, 3);
    }
    pass(&mut text, &mut tier, 120..180, 3);
    for exchange in &mut tier {
        let agreement = exchange.agreement().expect("one");
        let kept = agreement.persisted();
        let _ = writeln!(
            text,
            "{} {} {:x} {} {} {}",
            agreement.is_agreed(),
            kept.generation,
            kept.digest,
            kept.slots,
            kept.listed,
            kept.active_shares
                .iter()
                .map(|(id, it)| format!("{id}:{}+{}", it.floor, it.lendable))
                .collect::<String>()
        );
    }
    for (why, what) in [
        (tier[0].update_allocation(split(1, 9_000)), "older"),
        (tier[0].update_allocation(split(2, 9_000)), "changed"),
        (tier[0].update_allocation(split(2, 18_000)), "same"),
    ] {
        let told =
            why.map_or_else(|it: StaleAllocation| format!("{it}; {}", it.help()), |()| "taken".to_owned());
        let _ = writeln!(text, "{what}: {told}");
    }
    same_as_stored("agreement.txt", &text);
}

/// What a log tells of a broken invariant, and why a lease is not had.
#[test]
fn broken_invariants_are_told_the_same() {
    let (slot, age) = (Slot(3), Duration::from_secs(11));
    let root = InitialShare { floor: 1, lendable: 2 };
    let all = [
        Violation::OwnRow { found: 1, expected: 2 },
        Violation::StaleRow { slot, age },
        Violation::MiscountedRow { slot, found: 1, expected: 2 },
        Violation::OverLent { lent: 2, lendable: 1 },
        Violation::LongLease { slot, remaining: age, longest: Duration::from_secs(2) },
        Violation::OverStored { stored: 5, capacity: 4 },
        Violation::OverTotal { usable: 6, total: 5 },
        Violation::OverSpent { spent: 7, most: 6, window: age },
        Violation::NoQuorum { server: 255, observers: 2, quorum: 3 },
        Violation::TooMuchEjected { ejected: 3, ready: 10, most: 2 },
        Violation::OverWeight { observer: slot, server: 255, weight: 1_001 },
        Violation::ShareMismatch { budget: 255, found: InitialShare::default(), expected: root },
        Violation::OverFull { table: "loans", found: 257, most: 256 },
    ];
    let mut text = String::new();
    for it in &all {
        // The parts of an A1 line are numbers; how a root is written between them is the log's.
        let told = it.to_string();
        let told = if it.invariant_id() == "A1" { "A1: of budget 0xff" } else { &told };
        let _ = writeln!(text, "{} {told}; {}", it.invariant_id(), it.help());
    }
    for it in
        [LeaseRejected::Duplicate, LeaseRejected::NotLendingYet, LeaseRejected::Full, LeaseRejected::Expired]
    {
        let _ = writeln!(text, "{it}; {}", it.help());
    }
    same_as_stored("violations.txt", &text);
    let by_slot: BTreeMap<Slot, InitialShare> = initial_shares(77, 10_007, 50, 100);
    let told: Vec<String> =
        by_slot.iter().map(|(slot, it)| format!("{} {} {}\n", slot.0, it.floor, it.lendable)).collect();
    same_as_stored("roots.txt", &told.concat());
}
