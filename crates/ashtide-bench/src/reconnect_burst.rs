//! Reconnect burst in virtual time: all connections break at the same time, and the deployment counts the
//! attempts by time.

use std::time::Duration;

use ashtide_client::{Address, Instant, PoolCommand, PoolEvent, SessionPool, SessionRequest, Settings};
use ashtide_protocol::GatewayEvent;
use bytes::Bytes;
use serde::Serialize;

use crate::simulation::{ClientBehavior, DeploymentModel, Fault, ORIGIN_US, Simulation, UserModel};

/// Duration of the slots in which attempts are counted, in microseconds.
const SLOT_US: u64 = 100_000;
/// Time at which all connections break, in microseconds. They have been established for long enough then that
/// the library doesn't treat the loss as a quick break.
const BREAK_AT_US: u64 = 10_000_000;

/// Measured reconnect burst.
#[derive(Debug, Clone, Serialize, PartialEq)]
pub struct ReconnectBurst {
    /// Number of sessions whose connection broke.
    pub sessions: usize,
    /// Number of attempts that reached the deployment, including retries.
    pub attempts: usize,
    /// Number of attempts that overlapped with an older attempt of the same session.
    pub overlaps: u64,
    /// Number of sessions established again.
    pub back: usize,
    /// Time from the first attempt to the last, in milliseconds.
    pub span_ms: f64,
    /// Duration that the middle nine tenths of the attempts cover, in milliseconds.
    pub middle_ms: f64,
    /// Maximum number of attempts in a slot of 100 ms.
    pub peak: usize,
    /// Mean number of attempts in a slot, from the slot of the first attempt to that of the last.
    pub mean: f64,
    /// Ratio of `peak` to `mean`, or 0 if there were no attempts.
    pub peak_to_mean: f64,
    /// Median, 99th percentile and maximum of the time from the break until a session was established again,
    /// in milliseconds.
    pub back_ms: [f64; 3],
    /// Number of attempts in each slot of 100 ms since the break.
    pub slots: Vec<usize>,
}

impl ReconnectBurst {
    /// Summarizes the times of the attempts and the reconnect times of the sessions, both in microseconds
    /// since the break.
    pub fn of(sessions: usize, mut arrivals: Vec<u64>, mut waits: Vec<u64>, overlaps: u64) -> Self {
        arrivals.sort_unstable();
        waits.sort_unstable();
        let quantile = |sorted: &[u64], part: f64| {
            let index = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
            sorted.get(index).copied().unwrap_or_default()
        };
        let ms = |microseconds: u64| microseconds as f64 / 1e3;
        let mut slots = vec![0; arrivals.last().map_or(0, |last| (last / SLOT_US) as usize + 1)];
        arrivals.iter().for_each(|arrival| slots[(arrival / SLOT_US) as usize] += 1);
        let first = slots.iter().position(|&count| count > 0).unwrap_or_default();
        let peak = slots.iter().copied().max().unwrap_or_default();
        let mean = arrivals.len() as f64 / (slots.len() - first).max(1) as f64;
        Self {
            sessions,
            attempts: arrivals.len(),
            overlaps,
            back: waits.len(),
            span_ms: ms(quantile(&arrivals, 1.0) - quantile(&arrivals, 0.0)),
            middle_ms: ms(quantile(&arrivals, 0.95) - quantile(&arrivals, 0.05)),
            peak,
            mean,
            peak_to_mean: if mean > 0.0 { peak as f64 / mean } else { 0.0 },
            back_ms: [0.5, 0.99, 1.0].map(|part| ms(quantile(&waits, part))),
            slots,
        }
    }

    /// Returns a bar chart of the slots, with a bar of `width` characters for the fullest.
    pub fn bar_chart(&self, width: usize) -> String {
        let mut text = String::new();
        for (slot, count) in self.slots.iter().enumerate() {
            let bar = "#".repeat(count * width / self.peak.max(1));
            text += &format!("{:5.1} s {count:7} {bar}\n", slot as f64 / 10.0);
        }
        text
    }
}

/// Simulates `sessions` devices with one session each. The deployment accepts `accepted_per_s` connections a
/// second and rejects the others with `BUSY 1000`.
pub fn simulate_devices(
    sessions: usize,
    behavior: ClientBehavior,
    accepted_per_s: f64,
    seed: u64,
) -> ReconnectBurst {
    let deployment = DeploymentModel {
        servers: 10,
        setups_per_s: accepted_per_s / 10.0,
        max_queue: (accepted_per_s / 10.0).ceil().max(1.0) as usize,
        rejection_cost: 0.0,
        retry_delay: Duration::from_secs(1),
        one_way_delay: Duration::from_millis(5),
    };
    let users = UserModel {
        arrivals_per_s: 0.0,
        mean_connection_s: 1e11,
        patience: Duration::from_secs(3600),
        reopen_delay: (Duration::from_secs(5), Duration::from_secs(15)),
    };
    let mut simulation =
        Simulation::new(behavior, deployment, users, vec![(BREAK_AT_US, Fault::BreakConnections(1.0))], seed);
    simulation.add_established_users(sessions);
    simulation.run(BREAK_AT_US + 300_000_000);
    let arrivals = simulation.measurements.arrivals.iter().map(|at| at.saturating_sub(BREAK_AT_US)).collect();
    let waits = simulation.measurements.waits.iter().map(|(waited, _)| *waited).collect();
    ReconnectBurst::of(sessions, arrivals, waits, simulation.measurements.overlaps)
}

/// Simulates `sessions` sessions in one process, such as a relay's. Every attempt succeeds at once.
pub fn simulate_process(sessions: usize, settings: Settings, seed: u64) -> ReconnectBurst {
    let settings = Settings { sessions: sessions.max(1), ..settings };
    let instant = |microseconds: u64| Instant::from_micros(ORIGIN_US + microseconds);
    // The caller passes valid settings.
    let mut pool = SessionPool::new(settings, seed).unwrap_or_else(|error| unreachable!("{error}"));
    let (mut out, mut ids) = (Vec::new(), Vec::new());
    pool.handle(
        instant(0),
        PoolEvent::AddressesChanged(vec![Address::new(([127, 0, 0, 1], 8443).into())]),
        &mut out,
    );
    for number in 0..sessions {
        let request =
            SessionRequest::new("resident-reading", format!("meter-{number}"), Duration::from_millis(3200));
        ids.push(pool.open(instant(0), request, &mut out));
    }
    let mut now = 0;
    let (mut arrivals, mut waits) = (Vec::new(), Vec::new());
    loop {
        for command in std::mem::take(&mut out) {
            if let PoolCommand::Connect { session, attempt, .. } = command {
                if now >= BREAK_AT_US {
                    arrivals.push(now - BREAK_AT_US);
                    waits.push(now - BREAK_AT_US);
                }
                pool.handle(instant(now), PoolEvent::Connected(session, attempt), &mut out);
                let established = Ok(GatewayEvent::Up(Bytes::new()));
                pool.handle(instant(now), PoolEvent::Received(session, attempt, established), &mut out);
            }
        }
        if now < BREAK_AT_US {
            now = BREAK_AT_US;
            for id in &ids {
                let attempt = pool.current_attempt(*id).unwrap_or_default();
                pool.handle(instant(now), PoolEvent::ConnectionEnded(*id, attempt, None), &mut out);
            }
        }
        let Some(wake) = pool.next_wake() else { break };
        now = wake.as_micros() - ORIGIN_US;
        pool.handle(wake, PoolEvent::TimerFired, &mut out);
    }
    ReconnectBurst::of(sessions, arrivals, waits, 0)
}
