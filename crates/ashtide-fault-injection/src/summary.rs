//! A play in some lines, from its history alone.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::checks::{violations, worst_slow_start_window};
use crate::history::{Answer, Event, History};
use crate::mesh::Traffic;

/// What a play came to.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The plan's seed.
    pub seed: u64,
    /// Gateways on the list.
    pub gateways: usize,
    /// Requests, by what they got.
    pub requests: BTreeMap<&'static str, u64>,
    /// Attempts that reached servers.
    pub attempts: u64,
    /// Milliseconds from a request to its `UP`: the median, and the 99th of a hundred.
    pub up_ms: [f64; 2],
    /// The most that a cold server was sent in a window, as a part of its budget.
    pub cold_used: f64,
    /// How long the rig itself was late, in milliseconds.
    pub late_ms: u64,
    /// Milliseconds until doors and clients agreed at the end.
    pub settled_ms: f64,
    /// Datagrams between gateways, all together.
    pub datagrams: Traffic,
    /// Bytes a gateway and a second.
    pub bytes_a_gateway_s: f64,
    /// Violations, by name.
    pub violations: BTreeMap<&'static str, u64>,
}

impl Summary {
    /// Sums a history up.
    pub fn of(history: &History) -> Self {
        let plan = history.plan().cloned().unwrap_or_default();
        let mut sum = Self { seed: plan.seed, gateways: plan.gateways, ..Self::default() };
        let (mut asked, mut waits, mut still) = (BTreeMap::new(), Vec::new(), 0);
        let (mut cold, mut sends) = (BTreeMap::new(), BTreeMap::<&str, Vec<u64>>::new());
        for entry in &history.0 {
            match &entry.event {
                Event::Request { request, .. } => {
                    asked.insert(request.as_str(), entry.at_us);
                }
                Event::Answered { request, answer } => {
                    let name = match answer {
                        Answer::Up { .. } => "up",
                        Answer::Busy { .. } => "busy",
                        Answer::Failed { .. } => "failed",
                        Answer::NotSent => "untaken",
                        Answer::Ended => "ended",
                        Answer::TimedOut => "nothing",
                    };
                    *sum.requests.entry(name).or_default() += 1;
                    if let (Answer::Up { .. }, Some(at)) = (answer, asked.get(request.as_str())) {
                        waits.push((entry.at_us - at) as f64 / 1e3);
                    }
                }
                Event::Attempt { server, .. } => {
                    sum.attempts += 1;
                    sends.entry(server).or_default().push(entry.at_us);
                }
                Event::EndpointListed { server, cold: true, .. } => {
                    cold.insert(server.as_str(), entry.at_us);
                }
                Event::LoadStopped { .. } => still = entry.at_us,
                Event::Settled { .. } => sum.settled_ms = (entry.at_us - still) as f64 / 1e3,
                Event::HarnessDelay { ms } => sum.late_ms = sum.late_ms.max(*ms),
                Event::LinkTraffic { traffic, .. } => {
                    sum.datagrams.sent += traffic.sent;
                    sum.datagrams.bytes += traffic.bytes;
                    sum.datagrams.lost += traffic.lost;
                    sum.datagrams.doubled += traffic.doubled;
                }
                _ => {}
            }
        }
        waits.sort_by(f64::total_cmp);
        let at = |part: f64| waits.get((waits.len() as f64 * part) as usize).copied().unwrap_or_default();
        sum.up_ms = [at(0.5), at(0.99)];
        let used = cold.iter().filter_map(|(server, &began)| {
            let (_, used, most) = worst_slow_start_window(
                sends.get(server)?,
                began,
                &plan.slow_start,
                plan.connections_when_full(),
            )?;
            Some(used as f64 / most)
        });
        sum.cold_used = used.fold(0.0, f64::max);
        sum.bytes_a_gateway_s =
            sum.datagrams.bytes as f64 / plan.gateways.max(1) as f64 / (plan.last_ms.max(1) as f64 / 1e3);
        for violation in violations(history) {
            *sum.violations.entry(violation.name()).or_default() += 1;
        }
        sum
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Traffic { sent, lost, doubled, .. } = self.datagrams;
        write!(
            f,
            "seed {}, {} gateways: requests {:?}, {} attempts, up in {:.1} ms (99th {:.1}); cold budget used {:.2}; \
             settled in {:.0} ms; rig late for {} ms; \
             {sent} datagrams, {lost} lost, {doubled} doubled, {:.0} bytes a gateway and second; violations {:?}",
            self.seed,
            self.gateways,
            self.requests,
            self.attempts,
            self.up_ms[0],
            self.up_ms[1],
            self.cold_used,
            self.settled_ms,
            self.late_ms,
            self.bytes_a_gateway_s,
            self.violations
        )
    }
}
