//! Outcomes of this gateway's own connection attempts by server, which are the evidence that it reports to
//! the others.

use std::collections::{BTreeMap, VecDeque};

use ashtide_fleet::state::EvidenceKind;

use crate::{Outcome, ServerId, Span, Time};

/// Duration for which the outcome of an attempt is evidence.
const OBSERVATION_WINDOW: Span = Span::from_micros(10_000_000);

/// Kinds of evidence that connection attempts provide.
pub const OBSERVED_KINDS: [EvidenceKind; 3] =
    [EvidenceKind::Failing, EvidenceKind::Silent, EvidenceKind::Overrun];

/// Numbers of attempts at one server, and of those on which each of [`OBSERVED_KINDS`] was observed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Number of attempts at the server.
    pub attempts: u32,
    /// Number of attempts on which each kind was observed, in the order of [`OBSERVED_KINDS`].
    pub observations: [u32; OBSERVED_KINDS.len()],
}

impl OutcomeReport {
    /// Checks whether there were attempts and all of them succeeded.
    fn all_succeeded(&self) -> bool {
        self.attempts > 0 && self.observations == [0; OBSERVED_KINDS.len()]
    }

    fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        for (sum, count) in self.observations.iter_mut().zip(other.observations) {
            *sum += count;
        }
    }
}

/// Collector of the outcomes of this gateway's own attempts within the last ten seconds, by server.
///
/// A failing server is ejected at once and then gets an attempt only every second or two, so its failures are
/// few compared with the successes before them. Therefore a failure clears earlier successes, and the first
/// success clears earlier failures.
#[derive(Debug, Clone, Default)]
pub struct OutcomeReporter {
    servers: BTreeMap<ServerId, RecentOutcomes>,
}

/// Outcomes at one server within the window.
#[derive(Debug, Clone, Default)]
struct RecentOutcomes {
    /// Outcomes since the last reports were taken.
    latest: OutcomeReport,
    /// Outcomes that earlier reports covered, oldest first.
    earlier: VecDeque<TimedReport>,
}

#[derive(Debug, Clone, Copy)]
struct TimedReport {
    taken_at: Time,
    report: OutcomeReport,
}

impl RecentOutcomes {
    fn record_success(&mut self) {
        *self = Self::default();
        self.latest.attempts = 1;
    }

    fn record_fault(&mut self, kind_index: usize) {
        if self.latest.all_succeeded() {
            *self = Self::default();
        }
        if self.earlier.iter().any(|timed| timed.report.all_succeeded()) {
            self.earlier.clear();
        }
        self.latest.attempts += 1;
        self.latest.observations[kind_index] += 1;
    }

    /// Returns the sum of all outcomes within the window; `None` if there are none since the last call.
    fn take_report(&mut self, now: Time) -> Option<OutcomeReport> {
        let is_updated = self.latest != OutcomeReport::default();
        if is_updated {
            let report = std::mem::take(&mut self.latest);
            self.earlier.push_back(TimedReport { taken_at: now, report });
        }
        while self.earlier.front().is_some_and(|timed| now.since(timed.taken_at) >= OBSERVATION_WINDOW) {
            self.earlier.pop_front();
        }
        is_updated.then(|| {
            let mut sum = OutcomeReport::default();
            for timed in &self.earlier {
                sum.add(timed.report);
            }
            sum
        })
    }
}

impl OutcomeReporter {
    /// Records an attempt at `server`, which succeeded if `fault` is `None`.
    pub fn record(&mut self, server: ServerId, fault: Option<EvidenceKind>) {
        let recent = self.servers.entry(server).or_default();
        match OBSERVED_KINDS.iter().position(|&kind| Some(kind) == fault) {
            Some(kind_index) => recent.record_fault(kind_index),
            None => recent.record_success(),
        }
    }

    /// Records the outcome of an attempt, or of an established connection. Outcomes that are no evidence
    /// about the server are ignored.
    pub fn record_end(&mut self, server: ServerId, established: bool, outcome: Outcome) {
        let fault = match outcome {
            Outcome::Failed | Outcome::ConnectError | Outcome::Reset => EvidenceKind::Failing,
            Outcome::TimedOut => EvidenceKind::Silent,
            Outcome::QueueFull if !established => EvidenceKind::Overrun,
            Outcome::QueueFull
            | Outcome::Ok
            | Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::LocalFailure => return,
        };
        self.record(server, Some(fault));
    }

    /// Returns the reports of the servers that have new outcomes since the last call.
    pub fn take_reports(&mut self, now: Time) -> Vec<(ServerId, OutcomeReport)> {
        let mut reports = Vec::new();
        self.servers.retain(|&server, recent| {
            if let Some(report) = recent.take_report(now) {
                reports.push((server, report));
            }
            !recent.earlier.is_empty()
        });
        reports
    }
}
