//! Metrics that operators fetch: their names, their values and their text.
//!
//! Sessions increment counters where the event happens, and the event loop sets the gauges. Rendering takes no lock.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Beginning of all names.
pub(crate) const METRIC_PREFIX: &str = "router";
/// Label that names a class.
const CLASS_LABEL: &str = "category";
/// Last line of a response with several lines.
pub const END_OF_RESPONSE: &str = "EOF\n";

/// Events that are counted for each class since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum Counter {
    /// Connections established: `UP` has been written to the client.
    #[strum(serialize = "passed")]
    Established,
    /// Connections rejected.
    #[strum(serialize = "dropped")]
    Rejected,
    /// Connections failed.
    #[strum(serialize = "bad_gateway")]
    Failed,
    /// Attempts whose request was written completely to a server.
    #[strum(serialize = "upstream_tries")]
    Attempts,
}

/// Why the connection of a client was closed without an answer that [`Counter`] counts. All are counted since the start
/// of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum CloseReason {
    /// It was evicted for another client before its request: `BUSY` was sent, and the close was graceful.
    #[strum(serialize = "displaced")]
    Evicted,
    /// It was evicted while too many graceful closes were in progress: `BUSY` was sent, and the connection closed at once.
    /// Bytes that the client sent at the same time may turn the close into a reset, which discards the line.
    #[strum(serialize = "hurried")]
    EvictedImmediately,
    /// The process ended before its request: `BUSY` was sent.
    #[strum(serialize = "stopped")]
    ProcessStopped,
    /// It closed the connection, or was too slow, without a byte that is owed an answer.
    #[strum(serialize = "unasked")]
    NoRequest,
    /// It closed the connection before its answer.
    #[strum(serialize = "left")]
    ClientLeft,
    /// It did not read its last line in time.
    #[strum(serialize = "unread")]
    AnswerUnread,
    /// The event loop has sent no answer: `BUSY` was sent. A fault of the program.
    #[strum(serialize = "forgotten")]
    Unanswered,
}

/// Current values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum Gauge {
    /// Connections accepted and not yet ended.
    #[strum(serialize = "in_progress")]
    InProgress,
    /// Servers on the endpoint list.
    #[strum(serialize = "known_reading_servers")]
    KnownServers,
    /// Servers on the endpoint list that are avoided, as operators or the balancer have decided.
    #[strum(serialize = "skipped_reading_servers")]
    SkippedServers,
    /// Health checks sent since the start.
    #[strum(serialize = "probes_total")]
    HealthChecks,
    /// Health checks since the start that were withheld for their price.
    #[strum(serialize = "probes_withheld_total")]
    HealthChecksWithheld,
    /// Violations of request invariants since the start: a fault of the program.
    #[strum(serialize = "invariant_violations_total")]
    InvariantViolations,
}

/// The counters of one class.
#[derive(Debug)]
struct ClassCounters {
    class: String,
    counters: [AtomicU64; Counter::COUNT],
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters_by_class: Vec<ClassCounters>,
    gauges: [AtomicU64; Gauge::COUNT],
    close_counts: [AtomicU64; CloseReason::COUNT],
}

impl Metrics {
    /// Metrics for these classes, all at 0.
    pub fn new(classes: &[String]) -> Self {
        let new_counters =
            |class: &String| ClassCounters { class: class.clone(), counters: Default::default() };
        Self { counters_by_class: classes.iter().map(new_counters).collect(), ..Self::default() }
    }

    /// Increments a counter of a class. Classes that the settings do not define are not counted: clients must not be able
    /// to add lines.
    pub fn increment(&self, counter: Counter, class: &str) {
        if let Some(known) = self.counters_by_class.iter().find(|known| known.class == class) {
            known.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
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

    /// Renders all metrics, a line each, then `additional_lines` and the last line of the response.
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

/// Escapes what would end a label's value or its line.
fn escape_label_value(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
