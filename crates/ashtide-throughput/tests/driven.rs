//! Random load and faults against a tier of cores, the check after every event; and broken variants that it finds.

use std::time::Duration;

use ashtide_throughput::{
    Broken, Event, GatewayId, Life, MAX_SAMPLES, Options, Server, ServerKey, Throughput, Violation, decode,
    encode,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct Tier {
    rng: ChaCha8Rng,
    now: Duration,
    gateways: Vec<Throughput>,
    lives: Vec<(Life, Option<Duration>)>,
    speeds: Vec<f64>,
    held: Vec<Vec<(u32, f64)>>,
    generations: Vec<u64>,
    mail: Vec<(usize, Vec<u8>)>,
    /// Gateways that hear nothing now.
    deaf: Vec<bool>,
    broken: Option<Broken>,
}

impl Tier {
    fn new(seed: u64, broken: Option<Broken>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (gateways, servers) = (rng.random_range(1..8), rng.random_range(2..8));
        let mut tier = Self {
            now: Duration::from_secs(100),
            gateways: Vec::new(),
            lives: vec![(Life(1), None); servers],
            speeds: (0..servers).map(|_| rng.random_range(0.2..2.0)).collect(),
            held: vec![vec![(0, 0.0); servers]; gateways],
            generations: vec![1; gateways],
            mail: Vec::new(),
            deaf: vec![false; gateways],
            rng,
            broken,
        };
        for gateway in 0..gateways {
            let core = tier.core(gateway);
            tier.gateways.push(core);
        }
        tier
    }

    fn core(&self, gateway: usize) -> Throughput {
        let options = Options { window: Duration::from_secs(60), ..Options::new(self.held.len() as u32) };
        let options = Options { trouble: Duration::from_secs(15), ..options };
        let own = GatewayId(gateway as u16);
        let mut core = Throughput::new(options, own, self.generations[gateway]).expect("usable");
        if let Some(broken) = self.broken {
            core.break_by(broken);
        }
        for server in 0..self.lives.len() {
            core.hear(self.now, Event::Listed(self.server(server)));
        }
        core
    }

    fn server(&self, at: usize) -> Server {
        let (life, started) = self.lives[at];
        let weight = [1.0, 0.5, 0.0][at % 3];
        Server { key: ServerKey(at as u32), kind: at as u32 % 2, weight, life, started }
    }

    /// One event at a random gateway. Says whose state is to be checked.
    fn step(&mut self) -> usize {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let server = self.rng.random_range(0..self.lives.len());
        let key = ServerKey(server as u32);
        self.now += Duration::from_millis(self.rng.random_range(0..50));
        let now = self.now;
        match self.rng.random_range(0..1000) {
            0..400 => {
                let load: f64 = self.held.iter().map(|it| it[server].1).sum();
                let free = (self.speeds[server] * 1e6 - load).max(5e4);
                let took = Duration::from_secs_f64(5000.0 / free * self.rng.random_range(0.5..2.0));
                let network = Duration::from_micros(self.rng.random_range(0..300));
                let out = self.rng.random_range(0..3);
                self.gateways[gateway].hear(now, Event::SetUp { server: key, took, network, out });
            }
            400..600 => {
                let connections = self.rng.random_range(0..9);
                let load = f64::from(connections) * self.rng.random_range(1e3..4e4);
                self.held[gateway][server] = (connections, load);
                self.gateways[gateway].hear(now, Event::Holds { server: key, connections, load });
            }
            600..620 => self.gateways[gateway].hear(now, Event::Strained(key)),
            620..800 => {
                if let Some(datagram) = self.gateways[gateway].turn(now) {
                    for to in 0..self.gateways.len() {
                        let copies = self.rng.random_range(0..3);
                        (0..copies).for_each(|_| self.mail.push((to, datagram.to_vec())));
                    }
                }
            }
            800..980 if !self.mail.is_empty() => {
                let at = self.rng.random_range(0..self.mail.len());
                let (to, datagram) = self.mail.swap_remove(at);
                if !self.deaf[to] {
                    let own = decode(&datagram).expect("of this version").0 == GatewayId(to as u16);
                    let heard = self.gateways[to].receive(now, &datagram);
                    assert_eq!(heard.is_err(), own, "{heard:?}");
                    return to;
                }
            }
            980..984 => {
                // A liar, in the name of another gateway and with all that fits.
                let name = GatewayId(self.rng.random_range(0..self.gateways.len() as u16));
                let mut said = Vec::new();
                for at in 0..self.lives.len() {
                    let mut bytes = [0u8; 27];
                    self.rng.fill(&mut bytes[4..]);
                    let mut datagram = encode(name, 1, &[]).to_vec();
                    datagram.extend(bytes);
                    datagram[12 + 12] = MAX_SAMPLES;
                    if let Ok((_, _, mut entries)) = decode(&datagram) {
                        entries[0].0 = ServerKey(at as u32);
                        entries[0].1.life = self.lives[at].0;
                        entries[0].1.version %= 1_000_000;
                        said.append(&mut entries);
                    }
                }
                self.mail
                    .push((gateway, encode(name, self.generations[usize::from(name.0)], &said).to_vec()));
            }
            984..988 => {
                // Another server under a known name; each gateway hears of it by and by.
                self.lives[server] = (Life(self.rng.random()), Some(now));
                self.speeds[server] = self.rng.random_range(0.2..2.0);
                let listed = Event::Listed(self.server(server));
                self.gateways[gateway].hear(now, listed);
            }
            988..994 => {
                let listed = Event::Listed(self.server(server));
                self.gateways[gateway].hear(now, listed);
            }
            994..995 => {
                self.gateways[gateway].hear(now, Event::Gone(key));
            }
            995..997 => self.deaf[gateway] = !self.deaf[gateway],
            997..998 => {
                self.generations[gateway] += 1;
                self.gateways[gateway] = self.core(gateway);
            }
            998..999 => self.now += Duration::from_secs(self.rng.random_range(0..90)),
            _ => {}
        }
        gateway
    }

    fn play(&mut self, events: usize) -> Result<(), Violation> {
        for _ in 0..events {
            let gateway = self.step();
            self.gateways[gateway].check(self.now)?;
        }
        Ok(())
    }
}

#[test]
fn every_invariant_holds_under_random_load_and_faults() {
    for seed in 0..50 {
        let found = Tier::new(seed, None).play(4_000);
        assert_eq!(found, Ok(()), "seed {seed}");
    }
}

#[test]
fn the_check_finds_broken_variants_by_name() {
    type Finds = fn(&Violation) -> bool;
    let variants: [(Broken, Finds); 8] = [
        (Broken::CapacityIsUse, |it| matches!(it, Violation::FollowsLoad { .. })),
        (Broken::MergeBySum, |it| matches!(it, Violation::Altered { .. })),
        (Broken::NoPooling, |it| matches!(it, Violation::NotPooled { .. })),
        (Broken::NoBound, |it| matches!(it, Violation::Jumped { .. })),
        (Broken::OtherLife, |it| matches!(it, Violation::OtherLife { .. })),
        (Broken::ColdWhole, |it| matches!(it, Violation::ColdWhole { .. })),
        (Broken::NoCap, |it| matches!(it, Violation::TooLoud { .. })),
        (Broken::MovesUnheard, |it| matches!(it, Violation::MovedUnheard { .. })),
    ];
    for (broken, finds) in variants {
        let found: Vec<Violation> =
            (0..12).filter_map(|seed| Tier::new(seed, Some(broken)).play(4_000).err()).collect();
        assert!(!found.is_empty() && found.iter().all(finds), "{broken:?}: {found:?}");
    }
}
