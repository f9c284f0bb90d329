//! The figures that operators fetch: their names, their counts and their text.
//!
//! Sessions raise counts where the thing happens and the core sets the gauges; whoever renders them
//! asks nobody and waits for nobody.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// What all names begin with.
pub(crate) const METRIC_PREFIX: &str = "router";
/// The label that names a class.
const CLASS_LABEL: &str = "category";
/// The line that ends the text.
pub const END_OF_RESPONSE: &str = "EOF\n";

/// What is counted by class, from 0 at the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Connections brought up: `UP` has been written to the client.
    Passed,
    /// Connections refused.
    Dropped,
    /// Connections failed.
    BadGateway,
    /// Attempts written whole to a server.
    #[strum(serialize = "upstream_tries")]
    Attempts,
}

/// Why a client was let go without what it came for, beside the refusals and failures that are counted by
/// class. All count from 0 at the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CloseReason {
    /// It had not asked yet and made room for another: told `BUSY`, and waited for.
    Displaced,
    /// The same while too many were waited for: told `BUSY` and closed at once. What it sent just then may
    /// turn that into a reset, which takes the line along.
    Hurried,
    /// It had not asked yet when this process ended: told `BUSY`.
    Stopped,
    /// It ended the connection, or its time to ask was up, without a byte that is owed an answer.
    Unasked,
    /// It ended the connection before its answer.
    Left,
    /// It did not read its last line in time.
    Unread,
    /// No answer came for it from the core: told `BUSY`. A fault of the program.
    Forgotten,
}

/// What is so now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Connections taken and not yet ended.
    InProgress,
    /// Servers on the list.
    #[strum(serialize = "known_reading_servers")]
    KnownServers,
    /// Servers on the list that are avoided, by hand or by choice.
    #[strum(serialize = "skipped_reading_servers")]
    SkippedServers,
    /// Probes sent since the start.
    #[strum(serialize = "probes_total")]
    Probes,
    /// Probes asked for since the start and not sent, for their price.
    #[strum(serialize = "probes_withheld_total")]
    ProbesWithheld,
    /// Broken invariants of requests since the start: a fault of the program.
    #[strum(serialize = "invariant_violations_total")]
    InvariantViolations,
}

/// The figures of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters_by_class: Vec<(String, [AtomicU64; Counter::COUNT])>,
    gauges: [AtomicU64; Gauge::COUNT],
    close_counts: [AtomicU64; CloseReason::COUNT],
}

impl Metrics {
    /// Figures for these classes, all at 0.
    pub fn new(classes: &[String]) -> Self {
        let classes = classes.iter().map(|class| (class.clone(), Default::default())).collect();
        Self { counters_by_class: classes, ..Self::default() }
    }

    /// Counts one. A class that the settings do not name has no count: names that clients make up
    /// must not grow the text.
    pub fn increment(&self, count: Counter, class: &str) {
        if let Some((_, counts)) = self.counters_by_class.iter().find(|(name, _)| name == class) {
            counts[count as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a client that was let go.
    pub fn record_close(&self, cause: CloseReason) {
        self.close_counts[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Sets what is so now.
    pub fn set_gauge(&self, gauge: Gauge, value: usize) {
        self.gauges[gauge as usize].store(value as u64, Ordering::Relaxed);
    }

    /// All figures, one a line, then those of `more`, lines too, and the line that ends them.
    pub fn render(&self, additional_lines: &str) -> String {
        let mut text = String::new();
        for count in Counter::iter() {
            let name: &str = count.into();
            for (class, counts) in &self.counters_by_class {
                let value = counts[count as usize].load(Ordering::Relaxed);
                let _ = writeln!(
                    text,
                    "{METRIC_PREFIX}_{name}_total{{{CLASS_LABEL}=\"{}\"}} {value}",
                    escape_label_value(class)
                );
            }
        }
        for (cause, count) in CloseReason::iter().zip(&self.close_counts) {
            let (cause, value): (&str, _) = (cause.into(), count.load(Ordering::Relaxed));
            let _ = writeln!(text, "{METRIC_PREFIX}_closed_{cause}_total {value}");
        }
        for (gauge, value) in Gauge::iter().zip(&self.gauges) {
            let (name, value): (&str, _) = (gauge.into(), value.load(Ordering::Relaxed));
            let _ = writeln!(text, "{METRIC_PREFIX}_{name} {value}");
        }
        text + additional_lines + END_OF_RESPONSE
    }
}

/// A label's value, with what would end it or the line escaped.
fn escape_label_value(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
