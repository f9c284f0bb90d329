//! Random load and faults against a cluster of gateways with a check after every event, and broken variants that the
//! check finds.

use std::time::Duration;

use ashtide_throughput::{
    Broken, Event, GatewayId, Life, MAX_SAMPLES, Options, Server, ServerKey, Throughput, Violation, decode,
    encode,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A server's incarnation and when it started.
#[derive(Clone, Copy)]
struct Incarnation {
    life: Life,
    started: Option<Duration>,
}

struct Datagram {
    receiver: usize,
    bytes: Vec<u8>,
}

struct Cluster {
    rng: ChaCha8Rng,
    now: Duration,
    gateways: Vec<Throughput>,
    incarnations: Vec<Incarnation>,
    speeds: Vec<f64>,
    /// Load by gateway and server.
    loads: Vec<Vec<f64>>,
    generations: Vec<u64>,
    datagrams: Vec<Datagram>,
    /// Gateways that receive no datagrams.
    partitioned: Vec<bool>,
    broken: Option<Broken>,
}

impl Cluster {
    fn new(seed: u64, broken: Option<Broken>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = rng.random_range(1..8);
        let servers = rng.random_range(2..8);
        let mut cluster = Self {
            now: Duration::from_secs(100),
            gateways: Vec::new(),
            incarnations: vec![Incarnation { life: Life(1), started: None }; servers],
            speeds: (0..servers).map(|_| rng.random_range(0.2..2.0)).collect(),
            loads: vec![vec![0.0; servers]; gateways],
            generations: vec![1; gateways],
            datagrams: Vec::new(),
            partitioned: vec![false; gateways],
            rng,
            broken,
        };
        for gateway in 0..gateways {
            let core = cluster.core(gateway);
            cluster.gateways.push(core);
        }
        cluster
    }

    fn core(&self, gateway: usize) -> Throughput {
        let options = Options { window: Duration::from_secs(60), ..Options::new(self.loads.len() as u32) };
        let options = Options { trouble: Duration::from_secs(15), ..options };
        let own = GatewayId(gateway as u16);
        let mut core = Throughput::new(options, own, self.generations[gateway]).expect("usable");
        if let Some(broken) = self.broken {
            core.break_by(broken);
        }
        for server in 0..self.incarnations.len() {
            core.hear(self.now, Event::Listed(self.server(server)));
        }
        core
    }

    fn server(&self, index: usize) -> Server {
        let Incarnation { life, started } = self.incarnations[index];
        let weight = [1.0, 0.5, 0.0][index % 3];
        Server { key: ServerKey(index as u32), kind: index as u32 % 2, weight, life, started }
    }

    /// Applies a random event at a random gateway; returns the gateway whose state is to be checked.
    fn step(&mut self) -> usize {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let server = self.rng.random_range(0..self.incarnations.len());
        let key = ServerKey(server as u32);
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        let now = self.now;
        match self.rng.random_range(0..1000) {
            0..400 => self.set_up_connection(gateway, server),
            400..600 => self.change_load(gateway, server),
            600..620 => self.gateways[gateway].hear(now, Event::Strained(key)),
            620..800 => self.send_datagrams(gateway),
            800..980 if !self.datagrams.is_empty() => {
                if let Some(receiver) = self.receive_datagram() {
                    return receiver;
                }
            }
            980..984 => self.send_false_report(gateway),
            984..988 => self.replace_server(gateway, server),
            988..994 => {
                let listed = Event::Listed(self.server(server));
                self.gateways[gateway].hear(now, listed);
            }
            994..995 => {
                self.gateways[gateway].hear(now, Event::Gone(key));
            }
            995..997 => self.partitioned[gateway] = !self.partitioned[gateway],
            997..998 => {
                self.generations[gateway] += 1;
                self.gateways[gateway] = self.core(gateway);
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
        let free = (self.speeds[server] * 1e6 - load).max(5e4);
        let took = Duration::from_secs_f64(5000.0 / free * self.rng.random_range(0.5..2.0));
        let network = Duration::from_micros(self.rng.random_range(0..300));
        let out = self.rng.random_range(0..3);
        self.gateways[gateway].hear(now, Event::SetUp { server: key, took, network, out });
    }

    fn change_load(&mut self, gateway: usize, server: usize) {
        let now = self.now;
        let key = ServerKey(server as u32);
        let connections = self.rng.random_range(0..9);
        let load = f64::from(connections) * self.rng.random_range(1e3..4e4);
        self.loads[gateway][server] = load;
        self.gateways[gateway].hear(now, Event::Holds { server: key, connections, load });
    }

    /// Sends a gateway's report to all gateways, each up to two times.
    fn send_datagrams(&mut self, gateway: usize) {
        let now = self.now;
        if let Some(datagram) = self.gateways[gateway].turn(now) {
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
            let own = decode(&bytes).expect("of this version").0 == GatewayId(receiver as u16);
            let result = self.gateways[receiver].receive(now, &bytes);
            assert_eq!(result.is_err(), own, "{result:?}");
            return Some(receiver);
        }
        None
    }

    fn replace_server(&mut self, gateway: usize, server: usize) {
        let now = self.now;
        // A server is replaced under its name; the gateways are notified one after the other.
        self.incarnations[server] = Incarnation { life: Life(self.rng.random()), started: Some(now) };
        self.speeds[server] = self.rng.random_range(0.2..2.0);
        let listed = Event::Listed(self.server(server));
        self.gateways[gateway].hear(now, listed);
    }

    /// Sends a random report of the largest size in the name of another gateway.
    fn send_false_report(&mut self, gateway: usize) {
        let name = GatewayId(self.rng.random_range(0..self.gateways.len() as u16));
        let mut report = Vec::new();
        for index in 0..self.incarnations.len() {
            let mut bytes = [0u8; 27];
            self.rng.fill(&mut bytes[4..]);
            let mut datagram = encode(name, 1, &[]).to_vec();
            datagram.extend(bytes);
            datagram[12 + 12] = MAX_SAMPLES;
            if let Ok((_, _, mut entries)) = decode(&datagram) {
                entries[0].0 = ServerKey(index as u32);
                entries[0].1.life = self.incarnations[index].life;
                entries[0].1.version %= 1_000_000;
                report.append(&mut entries);
            }
        }
        let bytes = encode(name, self.generations[usize::from(name.0)], &report).to_vec();
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
        let found = Cluster::new(seed, None).run(4_000);
        assert_eq!(found, Ok(()), "seed {seed}");
    }
}

#[test]
fn the_check_finds_broken_variants_by_name() {
    type Finds = fn(&Violation) -> bool;
    let variants: [(Broken, Finds); 8] = [
        (Broken::CapacityIsUse, |violation| matches!(violation, Violation::FollowsLoad { .. })),
        (Broken::MergeBySum, |violation| matches!(violation, Violation::Altered { .. })),
        (Broken::NoPooling, |violation| matches!(violation, Violation::NotPooled { .. })),
        (Broken::NoBound, |violation| matches!(violation, Violation::Jumped { .. })),
        (Broken::OtherLife, |violation| matches!(violation, Violation::OtherLife { .. })),
        (Broken::ColdWhole, |violation| matches!(violation, Violation::ColdWhole { .. })),
        (Broken::NoCap, |violation| matches!(violation, Violation::TooLoud { .. })),
        (Broken::MovesUnheard, |violation| matches!(violation, Violation::MovedUnheard { .. })),
    ];
    for (broken, finds) in variants {
        let found: Vec<Violation> =
            (0..12).filter_map(|seed| Cluster::new(seed, Some(broken)).run(4_000).err()).collect();
        assert!(!found.is_empty() && found.iter().all(finds), "{broken:?}: {found:?}");
    }
}
