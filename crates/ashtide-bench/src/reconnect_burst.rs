//! A mass return in virtual time: all sessions are cut at one moment, and the site counts who comes when.

use std::time::Duration;

use ashtide_client::{Address, Instant, PoolCommand, PoolEvent, SessionPool, SessionRequest, Settings};
use ashtide_protocol::GatewayEvent;
use bytes::Bytes;
use serde::Serialize;

use crate::simulation::{ClientBehavior, DeploymentModel, Fault, ORIGIN, Simulation, UserModel};

/// Slots in which arrivals are counted, in microseconds.
const SLOT: u64 = 100_000;
/// All are cut at this microsecond: they have stood long enough for it to be no quick break.
const CUT: u64 = 10_000_000;

/// What a return looked like to the site.
#[derive(Debug, Clone, Serialize, PartialEq)]
pub struct ReconnectBurst {
    /// Sessions that were cut.
    pub sessions: usize,
    /// Attempts that reached the site, retries among them.
    pub attempts: usize,
    /// Attempts beside an older one of the same session.
    pub overlaps: u64,
    /// Sessions that stand again.
    pub back: usize,
    /// From the first arrival to the last, in milliseconds.
    pub span_ms: f64,
    /// The time in which the middle nine tenths of the attempts came, in milliseconds.
    pub middle_ms: f64,
    /// Most attempts in a slot of 100 ms.
    pub peak: usize,
    /// Mean of the slots from the first arrival to the last.
    pub mean: f64,
    /// `peak / mean`.
    pub peak_to_mean: f64,
    /// From the cut until a session stood again, in milliseconds: half of them, 99 of 100, all.
    pub back_ms: [f64; 3],
    /// Attempts by slot of 100 ms since the cut.
    pub slots: Vec<usize>,
}

impl ReconnectBurst {
    /// Sums up arrivals, and waits until sessions stood again, both in microseconds since the cut.
    pub fn of(sessions: usize, mut arrivals: Vec<u64>, mut waits: Vec<u64>, overlaps: u64) -> Self {
        arrivals.sort_unstable();
        waits.sort_unstable();
        let at = |all: &[u64], part: f64| {
            let index = ((all.len() as f64 * part).ceil() as usize).clamp(1, all.len().max(1)) - 1;
            all.get(index).copied().unwrap_or_default()
        };
        let ms = |micros: u64| micros as f64 / 1e3;
        let mut slots = vec![0; arrivals.last().map_or(0, |last| (last / SLOT) as usize + 1)];
        arrivals.iter().for_each(|arrival| slots[(arrival / SLOT) as usize] += 1);
        let first = slots.iter().position(|&count| count > 0).unwrap_or_default();
        let peak = slots.iter().copied().max().unwrap_or_default();
        let mean = arrivals.len() as f64 / (slots.len() - first).max(1) as f64;
        Self {
            sessions,
            attempts: arrivals.len(),
            overlaps,
            back: waits.len(),
            span_ms: ms(at(&arrivals, 1.0) - at(&arrivals, 0.0)),
            middle_ms: ms(at(&arrivals, 0.95) - at(&arrivals, 0.05)),
            peak,
            mean,
            peak_to_mean: if mean > 0.0 { peak as f64 / mean } else { 0.0 },
            back_ms: [0.5, 0.99, 1.0].map(|part| ms(at(&waits, part))),
            slots,
        }
    }

    /// A picture of the slots, `width` characters for the fullest.
    pub fn picture(&self, width: usize) -> String {
        let mut text = String::new();
        for (slot, count) in self.slots.iter().enumerate() {
            let bar = "#".repeat(count * width / self.peak.max(1));
            text += &format!("{:5.1} s {count:7} {bar}\n", slot as f64 / 10.0);
        }
        text
    }
}

/// So many devices with one session each; the site takes so many a second and refuses the others with
/// `BUSY 1000`.
pub fn devices(sessions: usize, behaviour: ClientBehavior, admits: f64, seed: u64) -> ReconnectBurst {
    let site = DeploymentModel {
        servers: 10,
        rate: admits / 10.0,
        queue: (admits / 10.0).ceil().max(1.0) as usize,
        refusal: 0.0,
        busy: Duration::from_secs(1),
        way: Duration::from_millis(5),
    };
    let people = UserModel {
        rate: 0.0,
        life: 1e11,
        patience: Duration::from_secs(3600),
        press: (Duration::from_secs(5), Duration::from_secs(15)),
    };
    let mut world = Simulation::new(behaviour, site, people, vec![(CUT, Fault::Cut(1.0))], seed);
    world.stand(sessions);
    world.run(CUT + 300_000_000);
    let arrivals = world.tally.arrivals.iter().map(|at| at.saturating_sub(CUT)).collect();
    let waits = world.tally.waits.iter().map(|(waited, _)| *waited).collect();
    ReconnectBurst::of(sessions, arrivals, waits, world.tally.overlaps)
}

/// So many sessions of one process, say a relay's; every attempt is answered at once.
pub fn process(sessions: usize, settings: Settings, seed: u64) -> ReconnectBurst {
    let settings = Settings { sessions: sessions.max(1), ..settings };
    let at = |micros: u64| Instant::from_micros(ORIGIN + micros);
    // The settings have been checked by whoever made them.
    let mut pool = SessionPool::new(settings, seed).unwrap_or_else(|error| unreachable!("{error}"));
    let (mut out, mut ids) = (Vec::new(), Vec::new());
    pool.handle(
        at(0),
        PoolEvent::AddressesChanged(vec![Address::new(([127, 0, 0, 1], 8443).into())]),
        &mut out,
    );
    for number in 0..sessions {
        let wish =
            SessionRequest::new("resident-reading", format!("meter-{number}"), Duration::from_millis(3200));
        ids.push(pool.open(at(0), wish, &mut out));
    }
    let mut now = 0;
    let (mut arrivals, mut waits) = (Vec::new(), Vec::new());
    loop {
        for effect in std::mem::take(&mut out) {
            if let PoolCommand::Connect { session, attempt, .. } = effect {
                if now >= CUT {
                    arrivals.push(now - CUT);
                    waits.push(now - CUT);
                }
                pool.handle(at(now), PoolEvent::Connected(session, attempt), &mut out);
                let up = Ok(GatewayEvent::Up(Bytes::new()));
                pool.handle(at(now), PoolEvent::Received(session, attempt, up), &mut out);
            }
        }
        if now < CUT {
            now = CUT;
            for id in &ids {
                let attempt = pool.current_attempt(*id).unwrap_or_default();
                pool.handle(at(now), PoolEvent::ConnectionEnded(*id, attempt, None), &mut out);
            }
        }
        let Some(wake) = pool.next_wake() else { break };
        now = wake.as_micros() - ORIGIN;
        pool.handle(wake, PoolEvent::TimerFired, &mut out);
    }
    ReconnectBurst::of(sessions, arrivals, waits, 0)
}
