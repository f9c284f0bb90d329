//! Errors in the simulator's input.

use std::io;

/// Error that ends the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A read from standard input or a write to standard output failed.
    #[error("reading standard input or writing standard output failed: {0}")]
    Io(#[from] io::Error),
    /// A line does not follow the protocol's grammar.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, counted from 1.
        line: u64,
        /// Violation of the grammar.
        source: LineError,
    },
}

/// Violation of the protocol's grammar in one line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("the line is not valid UTF-8")]
    NotUtf8,
    #[error("'{}' is not a name=value field", shorten(.0))]
    NotAPair(String),
    #[error("'{}' is not a name:value pair of a load report", shorten(.0))]
    NotAReportPair(String),
    #[error("field '{0}' is missing")]
    MissingField(&'static str),
    #[error("field '{field}': '{}' is not an unsigned 64-bit integer", shorten(.value))]
    NotAnInteger { field: &'static str, value: String },
    #[error("field '{field}': '{}' is not a number", shorten(.value))]
    NotANumber { field: &'static str, value: String },
    #[error("field '{field}': {value} exceeds the range of 32 bits")]
    OutOfRange { field: &'static str, value: u64 },
    #[error("field '{field}': '{}' is not a flag, expected 0 or 1", shorten(.value))]
    NotAFlag { field: &'static str, value: String },
    #[error("'{}' is not a hexadecimal string of full bytes", shorten(.0))]
    NotHex(String),
    #[error("unknown server state '{}'", shorten(.0))]
    UnknownState(String),
    #[error("unknown endpoint list update '{}'", shorten(.0))]
    UnknownListUpdate(String),
    #[error("unknown attempt outcome '{}'", shorten(.0))]
    UnknownOutcome(String),
    #[error("unknown event '{}'", shorten(.0))]
    UnknownEvent(String),
    #[error("request class '{}' is not configured in the settings", shorten(.0))]
    UnknownClass(String),
    #[error("slot {0} refers to no DIRECTORY")]
    UnknownDirectory(u64),
    #[error("event '{}' is for gateway {gateway}, which is not running", shorten(.event))]
    UnknownGateway { event: String, gateway: u64 },
    #[error("field 'facts' has no valid settings: {0}")]
    InvalidSettings(String),
    #[error("found '{}', expected a ROW of the open DIRECTORY", shorten(.0))]
    RowExpected(String),
    #[error("found '{}', expected a TURN", shorten(.0))]
    BatchStartExpected(String),
    #[error("field 'simTime' is not a finite number")]
    ClockNotFinite,
    #[error("the batch ends before the last ROW of a DIRECTORY")]
    IncompleteDirectory,
    #[error("the input ends before the EOB of a batch")]
    IncompleteBatch,
}

/// Returns the first 40 characters of a text.
fn shorten(text: &str) -> String {
    text.chars().take(40).collect()
}
