//! Random load and faults in a cluster of gateways, with all invariants checked after every event, and
//! defects that the check must find.

use std::time::Duration;

use ashtide_throughput::{
    Defect, Event, GatewayId, Incarnation, MAX_SAMPLES, Options, Server, ServerKey, Throughput, Violation,
    decode, encode,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A server's present incarnation, its start time (`None` if long ago) and its speed.
#[derive(Clone, Copy)]
struct ServerState {
    incarnation: Incarnation,
    started: Option<Duration>,
    speed: f64,
}

struct Datagram {
    receiver: usize,
    bytes: Vec<u8>,
}

struct Cluster {
    rng: ChaCha8Rng,
    now: Duration,
    gateways: Vec<Throughput>,
    servers: Vec<ServerState>,
    /// Load by gateway and server.
    loads: Vec<Vec<f64>>,
    generations: Vec<u64>,
    datagrams: Vec<Datagram>,
    /// Gateways that receive no datagrams.
    partitioned: Vec<bool>,
    defect: Option<Defect>,
}

impl Cluster {
    fn new(seed: u64, defect: Option<Defect>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = rng.random_range(1..8);
        let servers: usize = rng.random_range(2..8);
        let mut cluster = Self {
            now: Duration::from_secs(100),
            gateways: Vec::new(),
            servers: (0..servers)
                .map(|_| ServerState {
                    incarnation: Incarnation(1),
                    started: None,
                    speed: rng.random_range(0.2..2.0),
                })
                .collect(),
            loads: vec![vec![0.0; servers]; gateways],
            generations: vec![1; gateways],
            datagrams: Vec::new(),
            partitioned: vec![false; gateways],
            rng,
            defect,
        };
        for gateway in 0..gateways {
            let throughput = cluster.start_gateway(gateway);
            cluster.gateways.push(throughput);
        }
        cluster
    }

    /// Returns the initial state of a gateway, with all servers listed.
    fn start_gateway(&self, gateway: usize) -> Throughput {
        let options = Options { window: Duration::from_secs(60), ..Options::new(self.loads.len() as u32) };
        let options = Options { max_fault: Duration::from_secs(15), ..options };
        let own = GatewayId(gateway as u16);
        let mut throughput = Throughput::new(options, own, self.generations[gateway]).expect("valid options");
        if let Some(defect) = self.defect {
            throughput.inject(defect);
        }
        for server in 0..self.servers.len() {
            throughput.handle(self.now, Event::ServerListed(self.server(server)));
        }
        throughput
    }

    fn server(&self, index: usize) -> Server {
        let ServerState { incarnation, started, .. } = self.servers[index];
        let weight = [1.0, 0.5, 0.0][index % 3];
        Server { key: ServerKey(index as u32), kind: index as u32 % 2, weight, incarnation, started }
    }

    /// Applies a random event at a random gateway; returns the gateway whose state is to be checked.
    fn step(&mut self) -> usize {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let server = self.rng.random_range(0..self.servers.len());
        let key = ServerKey(server as u32);
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        let now = self.now;
        match self.rng.random_range(0..1000) {
            0..400 => self.set_up_connection(gateway, server),
            400..600 => self.change_load(gateway, server),
            600..620 => self.gateways[gateway].handle(now, Event::ServerOverloaded(key)),
            620..800 => self.send_datagrams(gateway),
            800..980 if !self.datagrams.is_empty() => {
                if let Some(receiver) = self.receive_datagram() {
                    return receiver;
                }
            }
            980..984 => self.send_false_report(gateway),
            984..988 => self.replace_server(gateway, server),
            988..994 => {
                let listed = Event::ServerListed(self.server(server));
                self.gateways[gateway].handle(now, listed);
            }
            994..995 => {
                self.gateways[gateway].handle(now, Event::ServerRemoved(key));
            }
            995..997 => self.partitioned[gateway] = !self.partitioned[gateway],
            997..998 => {
                self.generations[gateway] += 1;
                self.gateways[gateway] = self.start_gateway(gateway);
            }
            998..999 => self.now += Duration::from_secs(self.rng.random_range(0..90)),
            _ => {}
        }
        gateway
    }

    fn set_up_connection(&mut self, gateway: usize, server: usize) {
        let now = self.now;
        let key = ServerKey(server as u32);
        let load: f64 = self.loads.iter().map(|by_server| by_server[server]).sum();
        let free = (self.servers[server].speed * 1e6 - load).max(5e4);
        let duration = Duration::from_secs_f64(5000.0 / free * self.rng.random_range(0.5..2.0));
        let network = Duration::from_micros(self.rng.random_range(0..300));
        let in_flight = self.rng.random_range(0..3);
        self.gateways[gateway].handle(now, Event::SetUp { server: key, duration, network, in_flight });
    }

    fn change_load(&mut self, gateway: usize, server: usize) {
        let now = self.now;
        let key = ServerKey(server as u32);
        let connections = self.rng.random_range(0..9);
        let load = f64::from(connections) * self.rng.random_range(1e3..4e4);
        self.loads[gateway][server] = load;
        self.gateways[gateway].handle(now, Event::LoadChanged { server: key, connections, load });
    }

    /// Sends a gateway's report to all gateways, each up to two times.
    fn send_datagrams(&mut self, gateway: usize) {
        let now = self.now;
        if let Some(datagram) = self.gateways[gateway].update(now) {
            for receiver in 0..self.gateways.len() {
                let copies = self.rng.random_range(0..3);
                (0..copies)
                    .for_each(|_| self.datagrams.push(Datagram { receiver, bytes: datagram.to_vec() }));
            }
        }
    }

    /// Delivers a random datagram; returns its receiver unless that is partitioned.
    fn receive_datagram(&mut self) -> Option<usize> {
        let now = self.now;
        let index = self.rng.random_range(0..self.datagrams.len());
        let Datagram { receiver, bytes } = self.datagrams.swap_remove(index);
        if !self.partitioned[receiver] {
            let sender = decode(&bytes).expect("a datagram of this version").gateway;
            let own = sender == GatewayId(receiver as u16);
            let result = self.gateways[receiver].receive(now, &bytes);
            assert_eq!(result.is_err(), own, "{result:?}");
            return Some(receiver);
        }
        None
    }

    fn replace_server(&mut self, gateway: usize, server: usize) {
        let now = self.now;
        // A server is replaced under its name; the gateways are notified one after the other.
        self.servers[server] = ServerState {
            incarnation: Incarnation(self.rng.random()),
            started: Some(now),
            speed: self.rng.random_range(0.2..2.0),
        };
        let listed = Event::ServerListed(self.server(server));
        self.gateways[gateway].handle(now, listed);
    }

    /// Sends a report with random values and the maximum number of set-ups in the name of a random gateway.
    fn send_false_report(&mut self, gateway: usize) {
        let sender = GatewayId(self.rng.random_range(0..self.gateways.len() as u16));
        let mut entries = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let mut entry_bytes = [0u8; 27];
            self.rng.fill(&mut entry_bytes[4..]);
            let mut datagram = encode(sender, 1, &[]).to_vec();
            datagram.extend(entry_bytes);
            // The number of set-ups is byte 12 of the entry, which follows a header of 12 bytes.
            datagram[12 + 12] = MAX_SAMPLES;
            if let Ok(mut report) = decode(&datagram) {
                let (key, entry) = &mut report.entries[0];
                *key = ServerKey(index as u32);
                entry.incarnation = server.incarnation;
                entry.version %= 1_000_000;
                entries.append(&mut report.entries);
            }
        }
        let bytes = encode(sender, self.generations[usize::from(sender.0)], &entries).to_vec();
        self.datagrams.push(Datagram { receiver: gateway, bytes });
    }

    fn run(&mut self, events: usize) -> Result<(), Violation> {
        for _ in 0..events {
            let gateway = self.step();
            self.gateways[gateway].check(self.now)?;
        }
        Ok(())
    }
}

#[test]
fn all_invariants_are_satisfied_under_random_load_and_faults() {
    for seed in 0..50 {
        let result = Cluster::new(seed, None).run(4_000);
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

#[test]
fn the_check_reports_each_defect_as_its_violation() {
    type Matches = fn(&Violation) -> bool;
    let defects: [(Defect, Matches); 8] = [
        (Defect::CapacityIsLoad, |violation| matches!(violation, Violation::FollowsLoad { .. })),
        (Defect::MergeBySum, |violation| matches!(violation, Violation::Altered { .. })),
        (Defect::NoPooling, |violation| matches!(violation, Violation::NotPooled { .. })),
        (Defect::NoRateLimit, |violation| matches!(violation, Violation::Jumped { .. })),
        (Defect::FormerIncarnation, |violation| matches!(violation, Violation::OtherLife { .. })),
        (Defect::NoRamp, |violation| matches!(violation, Violation::ColdWhole { .. })),
        (Defect::NoContributionLimit, |violation| matches!(violation, Violation::TooLoud { .. })),
        (Defect::NoQuorum, |violation| matches!(violation, Violation::MovedUnheard { .. })),
    ];
    for (defect, matches) in defects {
        let violations: Vec<Violation> =
            (0..12).filter_map(|seed| Cluster::new(seed, Some(defect)).run(4_000).err()).collect();
        assert!(!violations.is_empty() && violations.iter().all(matches), "{defect:?}: {violations:?}");
    }
}
