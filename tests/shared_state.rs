//! Shared state of gateways: settings, outcome reports, and simulated gateways that exchange datagrams
//! without sockets.

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

const SETTINGS_HEAD: &str = "listen = \"127.0.0.1:7946\"\ntier = 1\n[state]\n";

fn parse_error(rest: &str) -> String {
    let settings = Settings::parse(&format!("{SETTINGS_HEAD}{rest}"));
    let slots = settings.and_then(|settings| settings.gateway_slots(None));
    slots.err().map(|error| error.to_string()).unwrap_or_default()
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    for (text, expected) in [
        ("fanout = 3", "state.fanout: found an unknown key; expected gateways"),
        ("datagrams_per_s = 3", "state.datagrams_per_s: found 3; expected a whole number from 4 to 1000"),
        ("judgements = \"some\"", "state.judgements: found \"some\"; expected one of off, tell, use"),
        ("check = true", "state.check: found true; expected one of off, log"),
        ("counts = 1", "state.counts: found 1; expected true or false"),
        ("gateways = []", "state.gateways: found []; expected a list of 1 to"),
        ("gateways = [\"here\"]", "state.gateways: found \"here\"; expected an IP address and a port"),
        (
            "gateways = [\"127.0.0.2:7946\"]",
            "state.gateways: found no 127.0.0.1:7946; expected a list with this gateway's public address",
        ),
        (
            "gateways = [\"127.0.0.1:7946\", \"127.0.0.1:7946\"]",
            "state.gateways: found 127.0.0.1:7946 twice; expected each gateway once",
        ),
        ("", "state.gateways: found no 127.0.0.1:7946"),
    ] {
        assert!(parse_error(text).contains(expected), "{text}: {}", parse_error(text));
    }
    let settings = Settings::parse(SETTINGS_HEAD).expect("valid settings");
    let peers = ["127.0.0.2:1", "127.0.0.1:1"].map(|address| address.parse().expect("an address"));
    let slots = settings.gateway_slots(Some(&peers)).expect("the slots of the peers at the view's port");
    assert_eq!((slots.len(), slots.own().0), (2, 1));
    let without_state = Settings::parse("listen = \"127.0.0.1:7946\"\ntier = 1\n").expect("valid settings");
    assert_eq!(without_state.shared_state, None);
}

#[test]
fn the_schema_has_the_bounds_and_choices_of_the_parser() {
    let schema = schema();
    for choice in schema["properties"]["judgements"]["enum"].as_array().expect("an array") {
        let parsed = Settings::parse(&format!("{SETTINGS_HEAD}judgements = {choice}"));
        assert!(parsed.is_ok(), "{:?}", parsed.map_err(ViewError::with_help));
    }
    let rate = &schema["properties"]["datagrams_per_s"];
    for bound in ["minimum", "maximum"] {
        assert!(Settings::parse(&format!("{SETTINGS_HEAD}datagrams_per_s = {}", rate[bound])).is_ok());
    }
}

#[test]
fn failures_count_since_the_last_success() {
    let mut reporter = OutcomeReporter::default();
    let server = ServerId(3);
    let time_at = |ms: i64| Time::from_micros(ms * 1_000);
    let report = |attempts, failing, silent| OutcomeReport { attempts, observations: [failing, silent, 0] };
    for _ in 0..20 {
        reporter.record(server, None);
    }
    assert_eq!(reporter.take_reports(time_at(0)).len(), 1);
    reporter.record_end(server, false, Outcome::ConnectError);
    assert_eq!(reporter.take_reports(time_at(250)), [(server, report(1, 1, 0))]);
    assert_eq!(reporter.take_reports(time_at(500)), [], "no new outcomes");
    reporter.record_end(server, false, Outcome::TimedOut);
    // A cancelled attempt and a connection that ended normally are no evidence about the server.
    reporter.record_end(server, true, Outcome::Ok);
    reporter.record_end(server, false, Outcome::Cancelled);
    assert_eq!(reporter.take_reports(time_at(750)), [(server, report(2, 1, 1))]);
    reporter.record(server, None);
    assert_eq!(
        reporter.take_reports(time_at(1_000)),
        [(server, report(1, 0, 0))],
        "the first success clears the failures"
    );
    reporter.record_end(server, false, Outcome::Failed);
    assert_eq!(
        reporter.take_reports(time_at(12_000)),
        [(server, report(1, 1, 0))],
        "outcomes older than the window are dropped"
    );
}

/// Number of open connections from each gateway to a server.
struct OpenConnections<'a> {
    server: &'a str,
    count: u32,
}

fn open_to(server: &str, count: u32) -> OpenConnections<'_> {
    OpenConnections { server, count }
}

/// Simulated gateways whose datagrams arrive without delay.
struct Cluster {
    gateways: Vec<GatewayState>,
    addresses: Vec<SocketAddr>,
    now: Duration,
}

const SERVER_NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

impl Cluster {
    fn new(size: u16) -> Self {
        let addresses: Vec<SocketAddr> =
            (0..size).map(|number| SocketAddr::from(([127, 0, 0, 1], 9_000 + number))).collect();
        let settings = Settings::parse(&format!("{SETTINGS_HEAD}check = \"log\"\njudgements = \"use\""))
            .expect("valid settings");
        let state = settings.shared_state.expect("a table for the shared state");
        let gateways = addresses.iter().enumerate().map(|(index, &own)| {
            let slots = GatewaySlots::new(addresses.clone(), own).expect("the list has its own address");
            let mut gateway = GatewayState::new(state.clone(), 1, slots, 100, index as u64, Duration::ZERO);
            gateway.set_peers(addresses.iter().copied());
            gateway
        });
        Self { gateways: gateways.collect(), addresses: addresses.clone(), now: Duration::ZERO }
    }

    /// Advances the time by `ms`. The gateways `failing_at` report failures of server `a`, the others report
    /// nothing. Returns the decisions of the last observation, by gateway.
    fn advance(
        &mut self,
        ms: u64,
        failing_at: &[usize],
        open: &[OpenConnections<'_>],
    ) -> Vec<OutlierDecision> {
        let mut decisions = Vec::new();
        for step in 1..=ms / 50 {
            self.now += Duration::from_millis(50);
            for gateway in &mut self.gateways {
                gateway.advance_to(self.now);
            }
            for sender in 0..self.gateways.len() {
                while let Some((destination, datagram)) = self.gateways[sender].next_datagram() {
                    let receiver =
                        self.addresses.iter().position(|&address| address == destination).expect("a gateway");
                    self.gateways[receiver]
                        .handle_datagram(self.addresses[sender], &datagram)
                        .expect("a valid datagram");
                }
            }
            if step % 5 == 0 {
                decisions =
                    (0..self.gateways.len()).map(|index| self.observe(index, failing_at, open)).collect();
            }
        }
        decisions
    }

    fn observe(
        &mut self,
        gateway_index: usize,
        failing_at: &[usize],
        open: &[OpenConnections<'_>],
    ) -> OutlierDecision {
        let open_at =
            |name: &str| open.iter().find(|entry| entry.server == name).map_or(0, |entry| entry.count);
        let other_names = open.iter().map(|entry| entry.server).filter(|name| !SERVER_NAMES.contains(name));
        let servers = SERVER_NAMES.iter().copied().chain(other_names);
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
            outcome_reports: match failing_at.contains(&gateway_index) {
                true => vec![(name_hash("a"), OutcomeReport { attempts: 4, observations: [4, 0, 0] })],
                false => Vec::new(),
            },
        };
        let decision = self.gateways[gateway_index].observe(self.now, &observation);
        assert_eq!(decision.violation, None);
        decision
    }
}

#[test]
fn three_reporting_gateways_eject_a_server_everywhere_and_one_ejects_it_nowhere() {
    for (failing_at, ejected) in [(&[0, 1, 2][..], true), (&[0], false), (&[0, 4], false)] {
        let mut cluster = Cluster::new(5);
        let decisions = cluster.advance(6_000, failing_at, &[]);
        for decision in decisions {
            assert_eq!(
                decision.ejected.contains(&name_hash("a")),
                ejected,
                "failures reported by {failing_at:?}"
            );
        }
        // Without new attempts, the server is no longer ejected once the reports have expired.
        let decisions = cluster.advance(12_000, &[], &[]);
        assert!(decisions.iter().all(|decision| decision.ejected.is_empty()), "{decisions:?}");
    }
}

#[test]
fn evidence_of_an_overrun_ejects_no_server() {
    assert_eq!(OBSERVED_KINDS[2], EvidenceKind::Overrun);
    let mut cluster = Cluster::new(4);
    cluster.advance(3_000, &[], &[]);
    for gateway in &mut cluster.gateways {
        gateway.exchange().outlier_reports_mut().record_observation(
            cluster.now,
            name_hash("a"),
            EvidenceKind::Overrun,
            9,
            9,
        );
    }
    assert!(cluster.advance(1_000, &[], &[]).iter().all(|decision| decision.ejected.is_empty()));
}

#[test]
fn datagrams_from_another_address_than_the_senders_are_rejected() {
    let mut cluster = Cluster::new(3);
    for gateway in &mut cluster.gateways {
        gateway.advance_to(Duration::from_secs(1));
    }
    let (_, datagram) = cluster.gateways[0].next_datagram().expect("a datagram");
    let own = cluster.addresses[0];
    let other_gateway = cluster.addresses[2];
    let unknown_sender = "127.0.0.9:9000".parse().expect("an address");
    assert_eq!(cluster.gateways[1].handle_datagram(other_gateway, &datagram), Err(DecodeError::Foreign));
    assert_eq!(cluster.gateways[1].handle_datagram(unknown_sender, &datagram), Err(DecodeError::Foreign));
    assert_eq!(cluster.gateways[1].handle_datagram(own, &datagram), Ok(()));
    assert!(
        cluster.gateways[1]
            .metrics_text()
            .contains("router_state_unheard_datagrams_total{reason=\"foreign\"} 2")
    );
}

/// Returns the fleet-wide number of open connections to a server, as the status text shows it.
fn open_connections(gateway: &mut GatewayState, name: &str) -> Option<u32> {
    gateway.request_totals();
    let text = gateway.status_text();
    let line = text.lines().find(|line| line.starts_with(&format!("server {name} ")))?;
    line.split(' ').find_map(|field| field.strip_prefix("open=")?.parse().ok())
}

#[test]
fn a_superseded_process_continues_as_a_later_incarnation() {
    let mut cluster = Cluster::new(3);
    cluster.advance(4_000, &[], &[open_to("a", 4)]);
    assert_eq!(
        cluster.gateways[1].handle_new_incarnation(101),
        None,
        "the next incarnation is the same process, wrongly declared dead"
    );
    let line = cluster.gateways[1].handle_new_incarnation(500).expect("a line about another process");
    assert_eq!(
        line,
        "state: another process of this gateway ran meanwhile; restarted as generation 500, \
         lending nothing for one lease"
    );
    cluster.advance(4_000, &[], &[open_to("a", 7), open_to("b", 1)]);
    cluster.gateways.iter_mut().for_each(GatewayState::request_totals);
    cluster.advance(1_000, &[], &[open_to("a", 7), open_to("b", 1)]);
    for gateway in &mut cluster.gateways {
        assert_eq!((open_connections(gateway, "a"), open_connections(gateway, "b")), (Some(21), Some(3)));
    }
}

#[test]
fn removed_servers_free_capacity_for_others() {
    let mut cluster = Cluster::new(3);
    cluster.advance(3_000, &[], &[]);
    for number in 0..1_200 {
        let name = format!("s-{number}");
        cluster.advance(250, &[], &[open_to(&name, 2)]);
    }
    cluster.advance(4_000, &[], &[open_to("a", 5)]);
    cluster.gateways.iter_mut().for_each(GatewayState::request_totals);
    cluster.advance(1_000, &[], &[open_to("a", 5)]);
    for gateway in &mut cluster.gateways {
        assert_eq!(open_connections(gateway, "a"), Some(15));
    }
}
