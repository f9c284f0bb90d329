//! Metrics for operators: their names, values and text format.
//!
//! Sessions increment the counters, and the event loop sets the gauges. Rendering takes no lock.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Prefix of all metric names.
pub(crate) const METRIC_PREFIX: &str = "router";
/// Label with the name of a class.
const CLASS_LABEL: &str = "category";
/// Last line of a response that consists of several lines.
pub const END_OF_RESPONSE: &str = "EOF\n";

/// Counters of events per class since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum Counter {
    /// Established connections, counted when `UP` has been written to the client.
    #[strum(serialize = "passed")]
    Established,
    /// Requests for a connection that were rejected.
    #[strum(serialize = "dropped")]
    Rejected,
    /// Requests for a connection that failed, including requests that were invalid.
    #[strum(serialize = "bad_gateway")]
    Failed,
    /// Attempts that wrote their request completely to a server.
    #[strum(serialize = "upstream_tries")]
    Attempts,
}

/// Reason for closing a client's connection without an answer that [`Counter`] counts. Each reason is counted
/// since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum CloseReason {
    /// The client was evicted for another client before its request. `BUSY` was sent, and the close was
    /// graceful.
    #[strum(serialize = "displaced")]
    Evicted,
    /// The client was evicted while too many graceful closes were in progress. `BUSY` was sent, and the
    /// connection was closed immediately. Bytes that the client sent at the same time may turn the close into
    /// a reset, which discards the line.
    #[strum(serialize = "hurried")]
    EvictedImmediately,
    /// The process stopped before the client's request. `BUSY` was sent.
    #[strum(serialize = "stopped")]
    ProcessStopped,
    /// The client closed the connection or timed out without sending a byte that requires an answer.
    #[strum(serialize = "unasked")]
    NoRequest,
    /// The client closed the connection before its answer.
    #[strum(serialize = "left")]
    ClientLeft,
    /// The client did not read its last line in time.
    #[strum(serialize = "unread")]
    AnswerUnread,
    /// The event loop sent no answer, which is a fault of the program. `BUSY` was sent.
    #[strum(serialize = "forgotten")]
    Unanswered,
}

/// Gauges of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum Gauge {
    /// Number of accepted connections that have not ended.
    #[strum(serialize = "in_progress")]
    InProgress,
    /// Number of servers on the endpoint list.
    #[strum(serialize = "known_reading_servers")]
    KnownServers,
    /// Number of servers on the endpoint list that are avoided, because of a cordon or a decision of the
    /// balancer.
    #[strum(serialize = "skipped_reading_servers")]
    SkippedServers,
    /// Number of health checks sent since the start.
    #[strum(serialize = "probes_total")]
    HealthChecks,
    /// Number of health checks since the start that were withheld because of their cost.
    #[strum(serialize = "probes_withheld_total")]
    HealthChecksWithheld,
    /// Number of violations of request invariants since the start. Each is a fault of the program.
    #[strum(serialize = "invariant_violations_total")]
    InvariantViolations,
}

/// Counters of one class, indexed by [`Counter`].
#[derive(Debug)]
struct ClassCounters {
    class: String,
    counters: [AtomicU64; Counter::COUNT],
}

/// Metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters_by_class: Vec<ClassCounters>,
    gauges: [AtomicU64; Gauge::COUNT],
    close_counts: [AtomicU64; CloseReason::COUNT],
}

impl Metrics {
    /// Creates metrics for these classes, all with value 0.
    pub fn new(classes: &[String]) -> Self {
        let new_counters =
            |class: &String| ClassCounters { class: class.clone(), counters: Default::default() };
        Self { counters_by_class: classes.iter().map(new_counters).collect(), ..Self::default() }
    }

    /// Increments a counter of a class. Classes that the settings do not define are not counted, because
    /// clients must not be able to add lines to the metrics.
    pub fn increment(&self, counter: Counter, class: &str) {
        if let Some(configured) = self.counters_by_class.iter().find(|configured| configured.class == class) {
            configured.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a closed connection.
    pub fn record_close(&self, reason: CloseReason) {
        self.close_counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, gauge: Gauge, value: usize) {
        self.gauges[gauge as usize].store(value as u64, Ordering::Relaxed);
    }

    /// Renders all metrics, one per line, followed by `additional_lines` and [`END_OF_RESPONSE`].
    pub fn render(&self, additional_lines: &str) -> String {
        let mut text = String::new();
        self.render_counters(&mut text);
        self.render_close_counts(&mut text);
        self.render_gauges(&mut text);
        text + additional_lines + END_OF_RESPONSE
    }

    fn render_counters(&self, text: &mut String) {
        for counter in Counter::iter() {
            let name: &str = counter.into();
            for ClassCounters { class, counters } in &self.counters_by_class {
                let value = counters[counter as usize].load(Ordering::Relaxed);
                let class = escape_label_value(class);
                let _ = writeln!(text, "{METRIC_PREFIX}_{name}_total{{{CLASS_LABEL}=\"{class}\"}} {value}");
            }
        }
    }

    fn render_close_counts(&self, text: &mut String) {
        for (reason, count) in CloseReason::iter().zip(&self.close_counts) {
            let name: &str = reason.into();
            let value = count.load(Ordering::Relaxed);
            let _ = writeln!(text, "{METRIC_PREFIX}_closed_{name}_total {value}");
        }
    }

    fn render_gauges(&self, text: &mut String) {
        for (gauge, value) in Gauge::iter().zip(&self.gauges) {
            let name: &str = gauge.into();
            let value = value.load(Ordering::Relaxed);
            let _ = writeln!(text, "{METRIC_PREFIX}_{name} {value}");
        }
    }
}

/// Escapes the characters that would end a label's value or its line.
fn escape_label_value(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
