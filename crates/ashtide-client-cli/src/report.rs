//! Output of the command: events as they occur, and the summary.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::time::Duration;

use ashtide_client::{ConnectionLoss, Metrics, SessionEvent};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Maximum value of the histograms in microseconds: one hour.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// An event of a session's task.
pub enum ReportEvent {
    /// An event of the client library.
    Session(SessionEvent),
    /// A line that was sent.
    Sent(String),
    /// The error because of which a line could not be sent.
    SendFailed(String),
    /// The command closed the session, as its time is over or it was interrupted.
    Closed,
}

/// Prints events, and collects the figures of the summary.
pub struct Report {
    /// Whether events and summary are printed as JSON lines.
    json: bool,
    /// Whether only the summary is printed.
    quiet: bool,
    /// Number of sessions that the command is to open.
    sessions: u32,
    /// Time since the start at which a session without a connection lost it. A session that is not listed has
    /// waited since the start.
    waiting_since: HashMap<u32, Duration>,
    /// Number of sessions that were established at least once.
    established: u32,
    /// Times to the first connection of a session, in microseconds.
    connect_times: Histogram<u64>,
    /// Times from the loss of a connection to the next, in microseconds.
    reconnect_times: Histogram<u64>,
    /// Number of sessions that ended, by the text of the reason.
    end_reasons: BTreeMap<String, u64>,
    lines_sent: u64,
    lines_received: u64,
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constant and valid.
    Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("histogram bounds are constant and valid"))
}

fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).min(MAX_TIME_US)
}

/// Returns a quantile of times in microseconds, in milliseconds.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

impl Report {
    pub fn new(json: bool, quiet: bool, sessions: u32) -> Self {
        Self {
            json,
            quiet,
            sessions,
            waiting_since: HashMap::new(),
            established: 0,
            connect_times: new_histogram(),
            reconnect_times: new_histogram(),
            end_reasons: BTreeMap::new(),
            lines_sent: 0,
            lines_received: 0,
        }
    }

    /// Returns whether every session was established at least once.
    pub fn all_established(&self) -> bool {
        self.established == self.sessions
    }

    /// Records an event, and prints it unless only the summary is wanted. `at` is the time since the start.
    pub fn record(&mut self, at: Duration, session: u32, event: &ReportEvent) {
        match event {
            ReportEvent::Session(SessionEvent::Connected { reconnected, .. }) => {
                let since = self.waiting_since.remove(&session).unwrap_or_default();
                let waited = to_micros(at.saturating_sub(since));
                if *reconnected {
                    self.reconnect_times.saturating_record(waited);
                } else {
                    self.established += 1;
                    self.connect_times.saturating_record(waited);
                }
            }
            ReportEvent::Session(SessionEvent::Migrated | SessionEvent::Disconnected { .. }) => {
                self.waiting_since.insert(session, at);
            }
            ReportEvent::Session(SessionEvent::Line(_)) => self.lines_received += 1,
            ReportEvent::Session(SessionEvent::Ended(reason)) => {
                *self.end_reasons.entry(reason.to_string()).or_default() += 1;
            }
            ReportEvent::Sent(_) => self.lines_sent += 1,
            _ => {}
        }
        if !self.quiet {
            self.print_event(at, session, event);
        }
    }

    fn print_event(&self, at: Duration, session: u32, event: &ReportEvent) {
        let (name, details) = describe(event);
        if self.json {
            let mut line = json!({"at_ms": at.as_millis() as u64, "session": session, "event": name});
            if let (Value::Object(line), Value::Object(details)) = (&mut line, details) {
                line.extend(details);
            }
            print_line(&line.to_string());
        } else {
            let details: Vec<String> = match &details {
                Value::Object(details) => {
                    details.iter().map(|(name, value)| format!("{name}={value}")).collect()
                }
                _ => Vec::new(),
            };
            print_line(&format!("{:10.3} s  {session}  {name} {}", at.as_secs_f64(), details.join(" ")));
        }
    }

    /// Prints the summary. `duration` is the time since the start.
    pub fn print_summary(&self, duration: Duration, metrics: &Metrics) {
        if self.json {
            print_line(&self.json_summary(duration, metrics).to_string());
        } else {
            self.print_text_summary(duration, metrics);
        }
    }

    fn json_summary(&self, duration: Duration, metrics: &Metrics) -> Value {
        let statistics = |times: &Histogram<u64>| {
            json!({"count": times.len(), "p50": quantile_ms(times, 0.5), "p90": quantile_ms(times, 0.9),
                   "p99": quantile_ms(times, 0.99), "max": times.max() as f64 / 1e3})
        };
        json!({
            "event": "summary", "took_ms": duration.as_millis() as u64,
            "sessions": self.sessions, "up": self.established,
            "time_to_up_ms": statistics(&self.connect_times),
            "time_to_return_ms": statistics(&self.reconnect_times),
            "lines": {"sent": self.lines_sent, "received": self.lines_received},
            "tries": {"first": metrics.first_attempts, "returns": metrics.reconnects,
                      "retries": metrics.retries},
            "outcomes": {"up": metrics.established, "refused": metrics.rejected, "failed": metrics.failed,
                         "unreached": metrics.connect_failures, "silent": metrics.timeouts,
                         "cut": metrics.lost_before_answer},
            "moved": metrics.moved, "broken": metrics.broken, "faults": metrics.protocol_violations,
            "ended": self.end_reasons,
        })
    }

    fn print_text_summary(&self, duration: Duration, metrics: &Metrics) {
        print_line(&format!(
            "\n{} of {} sessions came up in {:.1} s",
            self.established,
            self.sessions,
            duration.as_secs_f64()
        ));
        for (name, times) in
            [("time to connect", &self.connect_times), ("time to reconnect", &self.reconnect_times)]
        {
            if !times.is_empty() {
                print_line(&format!(
                    "{name}, ms: p50 {:.1}  p90 {:.1}  p99 {:.1}  max {:.1}  (n = {})",
                    quantile_ms(times, 0.5),
                    quantile_ms(times, 0.9),
                    quantile_ms(times, 0.99),
                    times.max() as f64 / 1e3,
                    times.len()
                ));
            }
        }
        print_line(&format!(
            "attempts: {} first, {} reconnects, {} retries",
            metrics.first_attempts, metrics.reconnects, metrics.retries
        ));
        print_line(&format!(
            "attempts without a connection: {} rejected, {} failed, {} unreachable, {} timed out, \
             {} lost before the answer",
            metrics.rejected,
            metrics.failed,
            metrics.connect_failures,
            metrics.timeouts,
            metrics.lost_before_answer
        ));
        print_line(&format!(
            "connections: {} moved, {} broken; lines: {} sent, {} received",
            metrics.moved, metrics.broken, self.lines_sent, self.lines_received
        ));
        for (reason, count) in &self.end_reasons {
            print_line(&format!("ended {count} times: {reason}"));
        }
    }
}

/// Returns the name of an event and its details, as they are printed.
fn describe(event: &ReportEvent) -> (&'static str, Value) {
    let ms = |time: &Duration| time.as_millis() as u64;
    match event {
        ReportEvent::Session(SessionEvent::Connected { gateway, attempts, reconnected, .. }) => {
            ("up", json!({"balancer": gateway.to_string(), "tries": attempts, "again": reconnected}))
        }
        ReportEvent::Session(SessionEvent::Line(line)) => {
            ("line", json!({"text": String::from_utf8_lossy(line)}))
        }
        ReportEvent::Session(SessionEvent::Migrated) => ("moved", json!({})),
        ReportEvent::Session(SessionEvent::Disconnected { reason, interrupted_line }) => {
            let line = interrupted_line.as_ref().map(|line| String::from_utf8_lossy(line));
            ("broken", json!({"why": loss_text(*reason), "cut": line}))
        }
        ReportEvent::Session(SessionEvent::Reconnecting(delay)) => {
            ("returning", json!({"after_ms": ms(delay)}))
        }
        ReportEvent::Session(SessionEvent::Retrying { last, delay }) => {
            ("retrying", json!({"last": last.to_string(), "after_ms": ms(delay)}))
        }
        ReportEvent::Session(SessionEvent::MissedNotifications(count)) => {
            ("missed", json!({"notices": count}))
        }
        ReportEvent::Session(SessionEvent::Ended(reason)) => ("ended", json!({"why": reason.to_string()})),
        ReportEvent::Sent(line) => ("sent", json!({"text": line})),
        ReportEvent::SendFailed(error) => ("unsent", json!({"why": error})),
        ReportEvent::Closed => ("left", json!({})),
    }
}

/// Returns the text of a connection loss in the output, which is independent of the names of the variants of
/// [`ConnectionLoss`].
fn loss_text(loss: ConnectionLoss) -> String {
    match loss {
        ConnectionLoss::Migrated => "Moved".to_owned(),
        ConnectionLoss::Broken(fault) => format!("Broke({fault:?})"),
        ConnectionLoss::Offline => "Offline".to_owned(),
    }
}

/// Prints a line to standard output. Errors are ignored, as the reader may have closed it.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}
