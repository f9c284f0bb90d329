//! Summary of a fault run, computed from its history alone.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::checks::{violations, worst_slow_start_window};
use crate::history::{Answer, Event, History};
use crate::mesh::Traffic;

/// Totals and figures of a fault run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The seed of the plan.
    pub seed: u64,
    /// The number of gateways in the plan.
    pub gateways: usize,
    /// The number of requests, by kind of answer.
    pub requests: BTreeMap<&'static str, u64>,
    /// The number of attempts that reached servers.
    pub attempts: u64,
    /// Time from a request to its `UP`, in milliseconds: the median and the 99th percentile.
    pub up_ms: [f64; 2],
    /// The largest part of its budget that a server in slow start was sent in one window.
    #[serde(rename = "cold_used")]
    pub slow_start_budget_used: f64,
    /// The sum of the delays of the harness, in milliseconds.
    #[serde(rename = "late_ms")]
    pub harness_delay_ms: u64,
    /// Time from the end of the load until admin endpoints and clients agreed, in milliseconds.
    pub settled_ms: f64,
    /// Datagrams between gateways, summed over all links.
    pub datagrams: Traffic,
    /// Bytes of datagrams for each gateway and second.
    #[serde(rename = "bytes_a_gateway_s")]
    pub bytes_per_gateway_s: f64,
    /// The number of violations, by name.
    pub violations: BTreeMap<&'static str, u64>,
}

impl Summary {
    /// Computes the summary of a history.
    pub fn of(history: &History) -> Self {
        let plan = history.plan().cloned().unwrap_or_default();
        let mut summary = Self { seed: plan.seed, gateways: plan.gateways, ..Self::default() };
        let (mut requested_at, mut up_times, mut load_stopped_at) = (BTreeMap::new(), Vec::new(), 0);
        let (mut started_at, mut attempts_at) = (BTreeMap::new(), BTreeMap::<&str, Vec<u64>>::new());
        for entry in &history.0 {
            match &entry.event {
                Event::Request { request, .. } => {
                    requested_at.insert(request.as_str(), entry.at_us);
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
                    *summary.requests.entry(name).or_default() += 1;
                    if let (Answer::Up { .. }, Some(at)) = (answer, requested_at.get(request.as_str())) {
                        up_times.push((entry.at_us - at) as f64 / 1e3);
                    }
                }
                Event::Attempt { server, .. } => {
                    summary.attempts += 1;
                    attempts_at.entry(server).or_default().push(entry.at_us);
                }
                Event::EndpointListed { server, cold: true, .. } => {
                    started_at.insert(server.as_str(), entry.at_us);
                }
                Event::LoadStopped { .. } => load_stopped_at = entry.at_us,
                Event::Settled { .. } => summary.settled_ms = (entry.at_us - load_stopped_at) as f64 / 1e3,
                Event::HarnessDelay { ms } => summary.harness_delay_ms = summary.harness_delay_ms.max(*ms),
                Event::LinkTraffic { traffic, .. } => {
                    summary.datagrams.sent += traffic.sent;
                    summary.datagrams.bytes += traffic.bytes;
                    summary.datagrams.lost += traffic.lost;
                    summary.datagrams.duplicated += traffic.duplicated;
                }
                _ => {}
            }
        }
        up_times.sort_by(f64::total_cmp);
        let quantile =
            |part: f64| up_times.get((up_times.len() as f64 * part) as usize).copied().unwrap_or_default();
        summary.up_ms = [quantile(0.5), quantile(0.99)];
        let budget_used = started_at.iter().filter_map(|(server, &start_us)| {
            let (_, used, most) = worst_slow_start_window(
                attempts_at.get(server)?,
                start_us,
                &plan.slow_start,
                plan.connections_when_full(),
            )?;
            Some(used as f64 / most)
        });
        summary.slow_start_budget_used = budget_used.fold(0.0, f64::max);
        summary.bytes_per_gateway_s = summary.datagrams.bytes as f64
            / plan.gateways.max(1) as f64
            / (plan.load_duration_ms.max(1) as f64 / 1e3);
        for violation in violations(history) {
            *summary.violations.entry(violation.name()).or_default() += 1;
        }
        summary
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Traffic { sent, lost, duplicated, .. } = self.datagrams;
        write!(
            f,
            "seed {}, {} gateways: requests {:?}, {} attempts, up in {:.1} ms (p99 {:.1}); \
             slow-start budget used {:.2}; settled in {:.0} ms; harness delayed for {} ms; \
             {sent} datagrams, {lost} lost, {duplicated} duplicated, {:.0} bytes per gateway and second; violations {:?}",
            self.seed,
            self.gateways,
            self.requests,
            self.attempts,
            self.up_ms[0],
            self.up_ms[1],
            self.slow_start_budget_used,
            self.settled_ms,
            self.harness_delay_ms,
            self.bytes_per_gateway_s,
            self.violations
        )
    }
}
