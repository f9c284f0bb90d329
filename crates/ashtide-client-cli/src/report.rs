//! What is printed: events as they come, and the summary.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::time::Duration;

use ashtide_client::{ConnectionLoss, Metrics, SessionEvent};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Times up to an hour, in microseconds, to three digits.
const LONGEST: u64 = 3_600_000_000;

/// What a session's task saw or did.
pub enum Seen {
    Event(SessionEvent),
    Sent(String),
    Unsent(String),
    /// It was asked to leave.
    Left,
}

/// Prints and sums up.
pub struct Report {
    json: bool,
    quiet: bool,
    sessions: u32,
    /// Since when a session waits: asked for, or dropped.
    waiting: HashMap<u32, Duration>,
    up: u32,
    first: Histogram<u64>,
    again: Histogram<u64>,
    ends: BTreeMap<String, u64>,
    lines: (u64, u64),
}

fn times() -> Histogram<u64> {
    // The bounds are constant and in range.
    Histogram::new_with_max(LONGEST, 3).unwrap_or_else(|_| unreachable!("bounds that cannot be"))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).min(LONGEST)
}

impl Report {
    pub fn new(json: bool, quiet: bool, sessions: u32) -> Self {
        Self {
            json,
            quiet,
            sessions,
            waiting: HashMap::new(),
            up: 0,
            first: times(),
            again: times(),
            ends: BTreeMap::new(),
            lines: (0, 0),
        }
    }

    /// Whether every session came up at least once.
    pub fn all_up(&self) -> bool {
        self.up == self.sessions
    }

    pub fn take(&mut self, at: Duration, (session, seen): (u32, Seen)) {
        match &seen {
            Seen::Event(SessionEvent::Connected { reconnected: again, .. }) => {
                let waited = micros(at.saturating_sub(self.waiting.remove(&session).unwrap_or_default()));
                if *again {
                    self.again.saturating_record(waited);
                } else {
                    self.up += 1;
                    self.first.saturating_record(waited);
                }
            }
            Seen::Event(SessionEvent::Migrated | SessionEvent::Disconnected { .. }) => {
                self.waiting.insert(session, at);
            }
            Seen::Event(SessionEvent::Line(_)) => self.lines.1 += 1,
            Seen::Event(SessionEvent::Ended(why)) => *self.ends.entry(why.to_string()).or_default() += 1,
            Seen::Sent(_) => self.lines.0 += 1,
            _ => {}
        }
        if !self.quiet {
            self.print(at, session, &seen);
        }
    }

    fn print(&self, at: Duration, session: u32, seen: &Seen) {
        let (what, more) = words(seen);
        if self.json {
            let mut line = json!({"at_ms": at.as_millis() as u64, "session": session, "event": what});
            if let (Value::Object(line), Value::Object(more)) = (&mut line, more) {
                line.extend(more);
            }
            say(&line.to_string());
        } else {
            let more: Vec<String> = match &more {
                Value::Object(more) => more.iter().map(|(name, value)| format!("{name}={value}")).collect(),
                _ => Vec::new(),
            };
            say(&format!("{:10.3} s  {session}  {what} {}", at.as_secs_f64(), more.join(" ")));
        }
    }

    pub fn summary(&self, took: Duration, figures: &Metrics) {
        let spread = |times: &Histogram<u64>| {
            let ms = |micros: u64| micros as f64 / 1e3;
            json!({"count": times.len(), "p50": ms(times.value_at_quantile(0.5)),
                   "p90": ms(times.value_at_quantile(0.9)), "p99": ms(times.value_at_quantile(0.99)),
                   "max": ms(times.max())})
        };
        if self.json {
            let summary = json!({
                "event": "summary", "took_ms": took.as_millis() as u64, "sessions": self.sessions, "up": self.up,
                "time_to_up_ms": spread(&self.first), "time_to_return_ms": spread(&self.again),
                "lines": {"sent": self.lines.0, "received": self.lines.1},
                "tries": {"first": figures.first_attempts, "returns": figures.reconnects, "retries": figures.retries},
                "outcomes": {"up": figures.established, "refused": figures.rejected, "failed": figures.failed,
                             "unreached": figures.connect_failures, "silent": figures.timeouts, "cut": figures.lost_before_answer},
                "moved": figures.moved, "broken": figures.broken, "faults": figures.protocol_violations, "ended": self.ends,
            });
            say(&summary.to_string());
            return;
        }
        say(&format!("\n{} of {} sessions came up in {:.1} s", self.up, self.sessions, took.as_secs_f64()));
        for (name, times) in [("time to UP", &self.first), ("time to return", &self.again)] {
            let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
            if !times.is_empty() {
                say(&format!(
                    "{name}, ms: p50 {:.1}  p90 {:.1}  p99 {:.1}  max {:.1}  ({} of them)",
                    ms(0.5),
                    ms(0.9),
                    ms(0.99),
                    times.max() as f64 / 1e3,
                    times.len()
                ));
            }
        }
        let Metrics {
            first_attempts: first_tries,
            reconnects: returns,
            retries,
            rejected: refused,
            failed,
            connect_failures: unreached,
            timeouts: silent,
            lost_before_answer: cut,
            ..
        } = figures;
        say(&format!("tries: {first_tries} first, {returns} returns, {retries} retries"));
        say(&format!(
            "came to nothing: {refused} refused, {failed} failed, {unreached} unreached, {silent} silent, {cut} cut"
        ));
        say(&format!(
            "moved {}, broken {}, lines {} out, {} in",
            figures.moved, figures.broken, self.lines.0, self.lines.1
        ));
        for (why, count) in &self.ends {
            say(&format!("ended {count} times: {why}"));
        }
    }
}

fn words(seen: &Seen) -> (&'static str, Value) {
    let ms = |time: &Duration| time.as_millis() as u64;
    match seen {
        Seen::Event(SessionEvent::Connected { gateway: at, attempts: tries, reconnected: again, .. }) => {
            ("up", json!({"balancer": at.to_string(), "tries": tries, "again": again}))
        }
        Seen::Event(SessionEvent::Line(line)) => ("line", json!({"text": String::from_utf8_lossy(line)})),
        Seen::Event(SessionEvent::Migrated) => ("moved", json!({})),
        Seen::Event(SessionEvent::Disconnected { reason: why, interrupted_line: cut }) => (
            "broken",
            json!({"why": loss_text(*why), "cut": cut.as_ref().map(|line| String::from_utf8_lossy(line))}),
        ),
        Seen::Event(SessionEvent::Reconnecting(after)) => ("returning", json!({"after_ms": ms(after)})),
        Seen::Event(SessionEvent::Retrying { last, delay: after }) => {
            ("retrying", json!({"last": last.to_string(), "after_ms": ms(after)}))
        }
        Seen::Event(SessionEvent::MissedNotifications(count)) => ("missed", json!({"notices": count})),
        Seen::Event(SessionEvent::Ended(why)) => ("ended", json!({"why": why.to_string()})),
        Seen::Sent(line) => ("sent", json!({"text": line})),
        Seen::Unsent(why) => ("unsent", json!({"why": why})),
        Seen::Left => ("left", json!({})),
    }
}

/// The text of a loss in the JSON output, which keeps its form whatever the library names its variants.
fn loss_text(loss: ConnectionLoss) -> String {
    match loss {
        ConnectionLoss::Migrated => "Moved".to_owned(),
        ConnectionLoss::Broken(fault) => format!("Broke({fault:?})"),
        ConnectionLoss::Offline => "Offline".to_owned(),
    }
}

/// Standard output may have been closed by whoever read it; there is nobody to tell then.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}
