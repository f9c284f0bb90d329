//! The bytes and texts that gateways of other builds and operators rely on, against stored ones.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_fleet::page::{Entry, Head, Wants, decode, encode};
use ashtide_fleet::state::{
    Agreement, Ask, At, Cell, Exchange, Grant, Item, Key, Kind, Root, Rules, Setup, Slot, Split, Stale,
    Terms, Told, Unused, Use, Violation, is_state, roots,
};
use ashtide_fleet::{Change, Fleet, Member, Options, State, Unheard};

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

fn change_text(change: &Change) -> String {
    let member = |it: &Member| format!("{} {} {}", it.address, it.generation, it.leaving);
    match change {
        Change::Up(it) => format!("up {}", member(it)),
        Change::Left(it) => format!("left {}", member(it)),
        Change::Dead(it) => format!("dead {}", member(it)),
        Change::Back(it) => format!("back {}", member(it)),
        Change::Stalled(time) => format!("stalled {}", time.as_millis()),
    }
}

fn state_text(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Left => "left",
        State::Dead => "dead",
    }
}

/// Four members: one is cut off for a while, one stalls, one leaves. Everything that is sent, and what follows.
#[test]
fn members_send_the_same_datagrams() {
    let ms = Duration::from_millis;
    let mut text = String::new();
    let mut fleets: Vec<Fleet> = (0..4)
        .map(|number| {
            let seeds = vec![address(0), address(1)];
            let options = Options { tier: 7, size: 4, messages: 24, burst: 48 };
            Fleet::new(options, address(number), 1_000 + u64::from(number), seeds, number.into(), ms(0))
        })
        .collect();
    for step in 0..1_300_u64 {
        let now = ms(step * 20);
        for at in 0..fleets.len() {
            let stalled = at == 1 && (900..960).contains(&step);
            if !stalled && fleets[at].due().is_some_and(|due| due <= now) {
                fleets[at].fire(now);
            }
            if at == 2 && step == 1_200 {
                fleets[at].leave(now);
            }
            while let Some(change) = fleets[at].change() {
                let _ = writeln!(text, "{} {at}: {}", now.as_millis(), change_text(&change));
            }
            while let Some((to, datagram)) = fleets[at].transmit() {
                let _ = writeln!(text, "{} {at}>{}: {}", now.as_millis(), to.port() - 9_000, hex(&datagram));
                let to = usize::from(to.port() - 9_000);
                let cut = (200..700).contains(&step) && (at == 3) != (to == 3);
                if !cut && let Err(why) = fleets[to].receive(now, &datagram) {
                    let _ = writeln!(text, "{} {to}: not heard, {why}", now.as_millis());
                }
            }
        }
    }
    for (at, fleet) in fleets.iter().enumerate() {
        let own = fleet.own();
        let _ = writeln!(text, "{at} own {} {} digest {:x}", own.address, own.generation, fleet.digest());
        for row in fleet.members() {
            let (member, state) = (row.member, state_text(row.state));
            let _ = writeln!(
                text,
                "{at} {} {} {} {state} {} {}",
                member.address,
                member.generation,
                member.leaving,
                row.incarnation,
                row.since.as_millis()
            );
        }
        let it = fleet.figures();
        let _ = writeln!(
            text,
            "{at} sent {} {} heard {} {} unsent {} deaths {} false {} own {} stalls {}",
            it.sent.0,
            it.sent.1,
            it.heard.0,
            it.heard.1,
            it.unsent,
            it.deaths,
            it.false_deaths,
            it.own_deaths,
            it.stalls
        );
    }
    same_as_stored("members.txt", &text);
}

fn entries() -> Vec<Entry> {
    let entry = |address: &str, generation, leaving, incarnation, state| Entry {
        member: Member { address: address.parse().expect("an address"), generation, leaving },
        incarnation,
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
        (Wants::Compare, None, true, 250),
        (Wants::Better, Some(entries[0].member.address), true, 250),
        (Wants::Nothing, Some(entries[3].member.address), false, 60),
    ] {
        let told = if wants == Wants::Compare { &[] } else { &entries[..] };
        let head =
            Head { from: entries[1].member, incarnation: 2, digest: 0x0123_4567_89ab_cdef, wants, after };
        let (bytes, count) = encode(&head, told, last, room);
        let _ = writeln!(text, "{count} {}", hex(&bytes));
        pages.push((head, last && count == told.len(), told[..count].to_vec()));
    }
    same_as_stored("pages.txt", &text);
    for (line, (head, last, told)) in stored("pages.txt").lines().zip(pages) {
        let bytes = unhex(line.split(' ').nth(1).expect("bytes"));
        let page = decode(&bytes).expect("a page");
        assert_eq!((page.head, page.last, page.entries), (head, last, told), "{line}");
    }
    for bytes in ["", "00", "02", "0003"] {
        assert!(decode(&unhex(bytes)).is_none(), "{bytes}");
    }
}

fn unheard_text(why: Unheard) -> &'static str {
    match why {
        Unheard::Length => "length",
        Unheard::Version => "version",
        Unheard::Tier => "tier",
        Unheard::Malformed => "malformed",
        Unheard::Own => "own",
        Unheard::Full => "full",
        Unheard::Foreign => "foreign",
    }
}

#[test]
fn why_a_datagram_is_not_heard_is_told_the_same() {
    let mut text = String::new();
    for why in [
        Unheard::Length,
        Unheard::Version,
        Unheard::Tier,
        Unheard::Malformed,
        Unheard::Own,
        Unheard::Full,
        Unheard::Foreign,
    ] {
        let _ = writeln!(text, "{}: {why}; {}", unheard_text(why), why.help());
    }
    let mut member = Fleet::new(Options::new(7, 2), address(0), 5, vec![address(1)], 1, Duration::ZERO);
    member.fire(Duration::ZERO);
    let (_, own) = member.transmit().expect("it joins");
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
        let told = match member.receive(Duration::ZERO, &bytes) {
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
        let told = match exchange.receive(&unhex(&bytes)) {
            Ok(()) => "heard".to_owned(),
            Err(why) => format!("{} {why}", unheard_text(why)),
        };
        let _ = writeln!(text, "state {name} {}: {told}", &bytes[..bytes.len().min(80)]);
    }
    let foreign = exchange.receive_from(Some(Slot(2)), &unhex(good));
    let _ = writeln!(text, "state foreign: {}", foreign.err().map(unheard_text).unwrap_or("heard"));
    let known = exchange.receive_from(Some(Slot(1)), &unhex(good));
    let _ = writeln!(text, "state known: {}", known.err().map(unheard_text).unwrap_or("heard"));
    assert!(is_state(&unhex(good)) && !is_state(&own) && !is_state(&[]));
    same_as_stored("unheard.txt", &text);
}

/// Every kind of item, with numbers whose encoding takes more than one byte.
fn items() -> Vec<Item> {
    let ask = Ask { generation: 1_700_000_000_000, number: 300, wants: 70_000, holds: 129 };
    let grant = Grant { generation: 1_700_000_000_001, number: 301, units: 70_001, spare: 130 };
    let cell = Cell { version: 1_000, value: 77_777 };
    let told = |kind| Told {
        server: 0xdead_beef,
        kind,
        generation: 1_700_000_000_002,
        number: 302,
        saw: 200,
        of: 40_000,
        age_ms: 24_000,
    };
    let at = At { generation: 5, digest: u64::MAX, agreed: true, part: 1, promised: [1, 2, u64::MAX, 0] };
    vec![
        Item::Ask(0x0102_0304, ask),
        Item::Grant(0x0102_0305, grant),
        Item::Evidence(told(Kind::Failing)),
        Item::Evidence(told(Kind::Silent)),
        Item::Evidence(told(Kind::Overrun)),
        Item::Evidence(told(Kind::Slow)),
        Item::Count(Key::OpenAt(9), cell),
        Item::Count(Key::OpenFor(10), cell),
        Item::Count(Key::SentTo(u32::MAX), cell),
        Item::Same(303, 0x0123_4567_89ab_cdef),
        Item::Lacks,
        Item::Read(Key::OpenAt(11)),
        Item::Sum(Key::OpenFor(12), 99_999, 500, 10_000),
        Item::Start,
        Item::Relayed(Slot(513), 1_700_000_000_003, Key::OpenAt(13), cell),
        Item::End,
        Item::At(at),
    ]
}

fn item_kind(item: &Item) -> &'static str {
    match item {
        Item::Ask(..) => "ask",
        Item::Grant(..) => "grant",
        Item::Evidence(_) => "evidence",
        Item::Count(..) => "count",
        Item::Same(..) => "same",
        Item::Lacks => "lacks",
        Item::Read(_) => "read",
        Item::Sum(..) => "sum",
        Item::Start => "start",
        Item::Relayed(..) => "relayed",
        Item::End => "end",
        Item::At(_) => "at",
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
        assert_eq!(postcard::take_from_bytes::<Item>(&bytes), Ok((item, &[][..])), "{line}");
    }
}

fn exchange(own: u16, slots: u16) -> Exchange {
    let setup = Setup { tier: 7, slots, datagrams: 40, terms: Terms::default(), rules: Rules::default() };
    Exchange::new(setup, Slot(own), 100 + u64::from(own), u64::from(own) + 1, Duration::ZERO)
}

/// Lets a tier of exchanges pass time and notes all that is sent; those at or over `gone` are silent.
fn pass(text: &mut String, tier: &mut [Exchange], steps: std::ops::Range<u64>, gone: usize) {
    for step in steps {
        let now = Duration::from_millis(step * 50);
        for at in 0..tier.len().min(gone) {
            tier[at].at(now);
            while let Some((to, datagram)) = tier[at].transmit() {
                let _ = writeln!(text, "{} {at}>{}: {}", now.as_millis(), to.0, hex(&datagram));
                if usize::from(to.0) < gone {
                    tier[usize::from(to.0)].receive(&datagram).expect("sound");
                }
            }
        }
    }
}

fn readings(text: &mut String, tier: &mut [Exchange], ready: &[(u32, u64)]) {
    for (at, exchange) in tier.iter_mut().enumerate() {
        for key in [Key::OpenAt(1), Key::OpenAt(2), Key::OpenFor(3), Key::SentTo(4)] {
            let _ = match exchange.read(key) {
                Some(it) => {
                    writeln!(text, "{at} sum {} {} {}", it.sum, it.gateways, it.oldest.as_millis())
                }
                None => writeln!(text, "{at} sum unheard"),
            };
        }
        for (server, kind) in exchange.judgements().decide(ready) {
            let against = exchange.judged().against(server, kind);
            let _ = writeln!(text, "{at} out {server} {against}");
        }
        let budgets: Vec<_> = exchange.budgets().map(|(id, it)| (id, it.clone())).collect();
        for (id, it) in budgets {
            let escrow = it.escrow();
            let (rights, lent, held) = (escrow.rights(), escrow.lent(), escrow.held());
            let _ = writeln!(text, "{at} budget {id} {rights} {lent} {held} {}", it.taken());
        }
        let traffic = exchange.traffic();
        let _ = writeln!(text, "{at} sent {} {} {}", traffic.sent.0, traffic.sent.1, traffic.dropped);
    }
}

#[test]
fn exchanges_send_the_same_datagrams() {
    let mut text = String::new();
    let mut tier: Vec<Exchange> = (0..4).map(|own| exchange(own, 4)).collect();
    let (pace, held) = (roots(1, 40_000, 4, 100), roots(2, 100, 4, 250));
    for exchange in &mut tier {
        exchange.set_peers((0..4).map(Slot));
        exchange.add_budget(1, &pace, Use::Pace { burst: Duration::from_secs(1) }, false);
        exchange.add_budget(2, &held, Use::Hold, true);
    }
    let ready: Vec<(u32, u64)> = (1..=6).map(|server| (server, 1_000)).collect();
    pass(&mut text, &mut tier, 0..60, 4);
    for (at, exchange) in tier.iter_mut().enumerate() {
        let own = at as u32;
        exchange.count(Key::OpenAt(1), 10 + own);
        exchange.count(Key::OpenAt(2), own);
        exchange.count(Key::OpenFor(3), 7);
        exchange.count(Key::SentTo(4), 1_000 * own);
        exchange.want(1, if at == 0 { 30_000 } else { 500 });
        exchange.want(2, if at == 3 { 60 } else { 1 });
        if at < 3 {
            exchange.judgements().saw(Duration::from_secs(3), 1, Kind::Failing, 4, 4);
            exchange.judgements().saw(Duration::from_secs(3), 2, Kind::Slow, 1, 9);
        }
    }
    pass(&mut text, &mut tier, 60..140, 4);
    readings(&mut text, &mut tier, &ready);
    // One goes silent, and another begins a later life.
    for exchange in &mut tier[..3] {
        exchange.set_peers((0..3).map(Slot));
    }
    tier[1].outdone(900);
    tier[2].forget(901);
    pass(&mut text, &mut tier, 140..320, 3);
    readings(&mut text, &mut tier[..3], &ready);
    let told = tier[0].ride(Slot(1), 100).map(|bytes| hex(&bytes)).unwrap_or_default();
    let _ = writeln!(text, "ride {told}");
    same_as_stored("exchanges.txt", &text);
}

fn split(generation: u32, total: u64) -> Split {
    let pace = Use::Pace { burst: Duration::from_millis(800) };
    let totals = [(1, (total, pace)), (2, (60, Use::Hold))].into();
    Split { generation, slots: 3, floors: 100, totals }
}

#[test]
fn a_change_of_totals_is_told_the_same() {
    let mut text = String::new();
    let mut tier: Vec<Exchange> = (0..3).map(|own| exchange(own, 3)).collect();
    for (at, exchange) in tier.iter_mut().enumerate() {
        exchange.set_peers((0..3).map(Slot));
        let first = split(1, 9_000);
        let _ = writeln!(text, "digest {:x}", first.digest());
        exchange.share(Agreement::new(Slot(at as u16), first, None).expect("a first generation"));
        exchange.with_agreement(Agreement::written);
    }
    pass(&mut text, &mut tier, 0..60, 3);
    for (step, at) in [(60, 0), (80, 2), (100, 1)] {
        tier[at].reread(split(2, 18_000)).expect("a later generation");
        tier[at].with_agreement(Agreement::written);
        pass(&mut text, &mut tier, step..step + 20, 3);
    }
    pass(&mut text, &mut tier, 120..180, 3);
    for exchange in &mut tier {
        let agreement = exchange.agreement().expect("one");
        let kept = agreement.kept();
        let _ = writeln!(
            text,
            "{} {} {:x} {} {} {}",
            agreement.agreed(),
            kept.generation,
            kept.digest,
            kept.slots,
            kept.listed,
            kept.roots
                .iter()
                .map(|(id, it)| format!("{id}:{}+{}", it.floor, it.lendable))
                .collect::<String>()
        );
    }
    for (why, what) in [
        (tier[0].reread(split(1, 9_000)), "older"),
        (tier[0].reread(split(2, 9_000)), "changed"),
        (tier[0].reread(split(2, 18_000)), "same"),
    ] {
        let told = why.map_or_else(|it: Stale| format!("{it}; {}", it.help()), |()| "taken".to_owned());
        let _ = writeln!(text, "{what}: {told}");
    }
    same_as_stored("agreement.txt", &text);
}

/// What a log tells of a broken invariant, and why a lease is not had.
#[test]
fn broken_invariants_are_told_the_same() {
    let (slot, age) = (Slot(3), Duration::from_secs(11));
    let root = Root { floor: 1, lendable: 2 };
    let all = [
        Violation::OwnRow { found: 1, expected: 2 },
        Violation::StaleRow { slot, age },
        Violation::Count { slot, found: 1, expected: 2 },
        Violation::OverLent { lent: 2, lendable: 1 },
        Violation::LongLease { slot, left: age, longest: Duration::from_secs(2) },
        Violation::OverStored { stored: 5, room: 4 },
        Violation::OverTotal { rights: 6, total: 5 },
        Violation::OverSpent { spent: 7, most: 6, window: age },
        Violation::NoQuorum { server: 255, observers: 2, quorum: 3 },
        Violation::OverOut { out: 3, ready: 10, most: 2 },
        Violation::OverWeight { observer: slot, server: 255, weight: 1_001 },
        Violation::OtherRoot { budget: 255, found: Root::default(), due: root },
        Violation::OverFull { table: "loans", found: 257, most: 256 },
    ];
    let mut text = String::new();
    for it in &all {
        // The parts of an A1 line are numbers; how a root is written between them is the log's.
        let told = it.to_string();
        let told = if it.number() == "A1" { "A1: of budget 0xff" } else { &told };
        let _ = writeln!(text, "{} {told}; {}", it.number(), it.help());
    }
    for it in [Unused::Repeated, Unused::Quiet, Unused::Full, Unused::Over] {
        let _ = writeln!(text, "{it}; {}", it.help());
    }
    same_as_stored("violations.txt", &text);
    let by_slot: BTreeMap<Slot, Root> = roots(77, 10_007, 50, 100);
    let told: Vec<String> =
        by_slot.iter().map(|(slot, it)| format!("{} {} {}\n", slot.0, it.floor, it.lendable)).collect();
    same_as_stored("roots.txt", &told.concat());
}
