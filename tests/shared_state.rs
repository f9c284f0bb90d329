//! What the gateways share, in the daemon: settings, what is seen, and hubs that tell each other without sockets.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide::fleet::shared_state::{
    GatewaySlots, GatewayState, LocalObservation, OBSERVED_KINDS, OutcomeReport, OutcomeReporter,
    OutlierDecision, ServerObservation, name_hash, schema,
};
use ashtide::fleet::view::{Settings, ViewError};
use ashtide::{Outcome, ServerId, Time};
use ashtide_fleet::DecodeError;
use ashtide_fleet::state::EvidenceKind;

const HEAD: &str = "listen = \"127.0.0.1:7946\"\ntier = 1\n[state]\n";

fn parse_problem(rest: &str) -> String {
    let settings = Settings::parse(&format!("{HEAD}{rest}"));
    settings.and_then(|it| it.gateway_slots(None)).err().map(|it| it.to_string()).unwrap_or_default()
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    for (text, problem) in [
        ("fanout = 3", "state.fanout: found an unknown key; expected gateways"),
        ("datagrams_per_s = 3", "state.datagrams_per_s: found 3; expected a whole number from 4 to 1000"),
        ("judgements = \"some\"", "state.judgements: found \"some\"; expected one of off, tell, use"),
        ("check = true", "state.check: found true; expected one of off, log"),
        ("counts = 1", "state.counts: found 1; expected true or false"),
        ("gateways = []", "state.gateways: found []; expected a list of 1 to"),
        ("gateways = [\"here\"]", "state.gateways: found \"here\"; expected an address"),
        (
            "gateways = [\"127.0.0.2:7946\"]",
            "state.gateways: found no 127.0.0.1:7946; expected a list that names",
        ),
        (
            "gateways = [\"127.0.0.1:7946\", \"127.0.0.1:7946\"]",
            "state.gateways: found 127.0.0.1:7946 twice; expected each gateway once",
        ),
        ("", "state.gateways: found no 127.0.0.1:7946"),
    ] {
        assert!(parse_problem(text).contains(problem), "{text}: {}", parse_problem(text));
    }
    let settings = Settings::parse(HEAD).expect("good");
    let peers = ["127.0.0.2:1", "127.0.0.1:1"].map(|it| it.parse().expect("an address"));
    let slots = settings.gateway_slots(Some(&peers)).expect("by the peers, at the view's port");
    assert_eq!((slots.len(), slots.own().0), (2, 1));
    let plain = Settings::parse("listen = \"127.0.0.1:7946\"\ntier = 1\n").expect("good");
    assert_eq!(plain.shared_state, None);
}

#[test]
fn the_schema_has_the_bounds_and_the_choices() {
    let schema = schema();
    for word in schema["properties"]["judgements"]["enum"].as_array().expect("words") {
        let parsed = Settings::parse(&format!("{HEAD}judgements = {word}"));
        assert!(parsed.is_ok(), "{:?}", parsed.map_err(ViewError::with_help));
    }
    let rate = &schema["properties"]["datagrams_per_s"];
    for bound in ["minimum", "maximum"] {
        assert!(Settings::parse(&format!("{HEAD}datagrams_per_s = {}", rate[bound])).is_ok());
    }
}

#[test]
fn what_fails_counts_since_it_last_went_well() {
    let mut witness = OutcomeReporter::default();
    let server = ServerId(3);
    let at = |ms: i64| Time::from_micros(ms * 1_000);
    let report = |of, failing, silent| OutcomeReport { attempts: of, observations: [failing, silent, 0] };
    for _ in 0..20 {
        witness.record(server, None);
    }
    assert_eq!(witness.take_reports(at(0)).len(), 1);
    witness.record_end(server, false, Outcome::ConnectError);
    assert_eq!(witness.take_reports(at(250)), [(server, report(1, 1, 0))]);
    assert_eq!(witness.take_reports(at(500)), [], "nothing new");
    witness.record_end(server, false, Outcome::TimedOut);
    // A client that left, or a connection that ended as they do, says nothing of the server.
    witness.record_end(server, true, Outcome::Ok);
    witness.record_end(server, false, Outcome::Cancelled);
    assert_eq!(witness.take_reports(at(750)), [(server, report(2, 1, 1))]);
    witness.record(server, None);
    assert_eq!(
        witness.take_reports(at(1_000)),
        [(server, report(1, 0, 0))],
        "well again at the first attempt"
    );
    witness.record_end(server, false, Outcome::Failed);
    assert_eq!(witness.take_reports(at(12_000)), [(server, report(1, 1, 0))], "and what is old is forgotten");
}

/// Hubs whose datagrams reach each other at once.
struct Cluster {
    hubs: Vec<GatewayState>,
    gateways: Vec<SocketAddr>,
    now: Duration,
}

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

impl Cluster {
    fn new(size: u16) -> Self {
        let gateways: Vec<SocketAddr> =
            (0..size).map(|it| SocketAddr::from(([127, 0, 0, 1], 9_000 + it))).collect();
        let settings =
            Settings::parse(&format!("{HEAD}check = \"log\"\njudgements = \"use\"")).expect("good");
        let state = settings.shared_state.expect("the table");
        let hubs = gateways.iter().enumerate().map(|(number, &own)| {
            let slots = GatewaySlots::new(gateways.clone(), own).expect("its own is among them");
            let mut hub = GatewayState::new(state.clone(), 1, slots, 100, number as u64, Duration::ZERO);
            hub.set_peers(gateways.iter().copied());
            hub
        });
        Self { hubs: hubs.collect(), gateways: gateways.clone(), now: Duration::ZERO }
    }

    /// Lets time pass; these see a server fail, all others see nothing of it.
    fn pass(&mut self, ms: u64, see: &[usize], open: &[(&str, u32)]) -> Vec<OutlierDecision> {
        let mut decisions = Vec::new();
        for step in 1..=ms / 50 {
            self.now += Duration::from_millis(50);
            for hub in &mut self.hubs {
                hub.advance_to(self.now);
            }
            for from in 0..self.hubs.len() {
                while let Some((to, datagram)) = self.hubs[from].next_datagram() {
                    let to = self.gateways.iter().position(|&it| it == to).expect("a gateway");
                    self.hubs[to].handle_datagram(self.gateways[from], &datagram).expect("sound");
                }
            }
            if step % 5 == 0 {
                decisions = (0..self.hubs.len()).map(|number| self.observation(number, see, open)).collect();
            }
        }
        decisions
    }

    fn observation(&mut self, number: usize, see: &[usize], open: &[(&str, u32)]) -> OutlierDecision {
        let open_at = |name: &str| open.iter().find(|it| it.0 == name).map_or(0, |it| it.1);
        let servers =
            NAMES.iter().copied().chain(open.iter().map(|it| it.0).filter(|it| !NAMES.contains(it)));
        let observation = LocalObservation {
            servers: servers
                .map(|name| ServerObservation {
                    key: name_hash(name),
                    name,
                    size: 1.0,
                    ready: true,
                    open_connections: open_at(name),
                })
                .collect(),
            tenants: vec![("north", 2)],
            outcome_reports: match see.contains(&number) {
                true => vec![(name_hash("a"), OutcomeReport { attempts: 4, observations: [4, 0, 0] })],
                false => Vec::new(),
            },
        };
        let decisions = self.hubs[number].observe(self.now, &observation);
        assert_eq!(decisions.violation, None);
        decisions
    }
}

#[test]
fn three_that_see_a_server_fail_take_it_from_all_and_one_from_nobody() {
    for (see, out) in [(&[0, 1, 2][..], true), (&[0], false), (&[0, 4], false)] {
        let mut cluster = Cluster::new(5);
        let decisions = cluster.pass(6_000, see, &[]);
        for decisions in decisions {
            assert_eq!(decisions.ejected.contains(&name_hash("a")), out, "seen by {see:?}");
        }
        // Nobody tries it any more: it is back once what was seen is old.
        let decisions = cluster.pass(12_000, &[], &[]);
        assert!(decisions.iter().all(|it| it.ejected.is_empty()), "{decisions:?}");
    }
}

#[test]
fn evidence_of_an_overrun_server_takes_it_from_nobody() {
    assert_eq!(OBSERVED_KINDS[2], EvidenceKind::Overrun);
    let mut cluster = Cluster::new(4);
    cluster.pass(3_000, &[], &[]);
    for hub in &mut cluster.hubs {
        hub.exchange().outlier_reports_mut().record_observation(
            cluster.now,
            name_hash("a"),
            EvidenceKind::Overrun,
            9,
            9,
        );
    }
    assert!(cluster.pass(1_000, &[], &[]).iter().all(|it| it.ejected.is_empty()));
}

#[test]
fn datagrams_from_another_address_than_the_senders_are_rejected() {
    let mut cluster = Cluster::new(3);
    for hub in &mut cluster.hubs {
        hub.advance_to(Duration::from_secs(1));
    }
    let (_, datagram) = cluster.hubs[0].next_datagram().expect("a word");
    let own = cluster.gateways[0];
    let another = cluster.gateways[2];
    let stranger = "127.0.0.9:9000".parse().expect("an address");
    assert_eq!(cluster.hubs[1].handle_datagram(another, &datagram), Err(DecodeError::Foreign));
    assert_eq!(cluster.hubs[1].handle_datagram(stranger, &datagram), Err(DecodeError::Foreign));
    assert_eq!(cluster.hubs[1].handle_datagram(own, &datagram), Ok(()));
    assert!(
        cluster.hubs[1].metrics_text().contains("router_state_unheard_datagrams_total{reason=\"foreign\"} 2")
    );
}

fn open(hub: &mut GatewayState, name: &str) -> Option<u32> {
    hub.request_totals();
    let text = hub.status_text();
    let line = text.lines().find(|line| line.starts_with(&format!("server {name} ")))?;
    line.split(' ').find_map(|word| word.strip_prefix("open=")?.parse().ok())
}

#[test]
fn a_superseded_process_goes_on_as_a_later_incarnation() {
    let mut cluster = Cluster::new(3);
    cluster.pass(4_000, &[], &[("a", 4)]);
    assert_eq!(cluster.hubs[1].handle_new_incarnation(101), None, "held dead by mistake: the same life");
    let line = cluster.hubs[1].handle_new_incarnation(500).expect("others know a later life");
    assert_eq!(
        line,
        "state: another process of this gateway was known; restarted as generation 500, lending nothing for one lease"
    );
    cluster.pass(4_000, &[], &[("a", 7), ("b", 1)]);
    cluster.hubs.iter_mut().for_each(GatewayState::request_totals);
    cluster.pass(1_000, &[], &[("a", 7), ("b", 1)]);
    for hub in &mut cluster.hubs {
        assert_eq!((open(hub, "a"), open(hub, "b")), (Some(21), Some(3)));
    }
}

#[test]
fn servers_that_came_and_went_make_room_for_others() {
    let mut cluster = Cluster::new(3);
    cluster.pass(3_000, &[], &[]);
    for number in 0..1_200 {
        let name = format!("s-{number}");
        cluster.pass(250, &[], &[(&name, 2)]);
    }
    cluster.pass(4_000, &[], &[("a", 5)]);
    cluster.hubs.iter_mut().for_each(GatewayState::request_totals);
    cluster.pass(1_000, &[], &[("a", 5)]);
    for hub in &mut cluster.hubs {
        assert_eq!(open(hub, "a"), Some(15));
    }
}
