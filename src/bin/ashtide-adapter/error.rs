//! What can be wrong with the simulator's input.

use std::io;

/// Why the adapter stops early.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input or output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line does not follow the protocol's grammar.
    #[error("line {line}: {source}")]
    Line {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with it.
        source: LineError,
    },
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("not UTF-8")]
    NotUtf8,
    #[error("'{}' is not a name=value pair", shorten(.0))]
    NotAPair(String),
    #[error("'{}' is not a name:value pair", shorten(.0))]
    NotAReportPair(String),
    #[error("field '{0}' is missing")]
    MissingField(&'static str),
    #[error("field '{field}': '{}' is not a whole number", shorten(.value))]
    NotAnInteger { field: &'static str, value: String },
    #[error("field '{field}': '{}' is not a number", shorten(.value))]
    NotANumber { field: &'static str, value: String },
    #[error("field '{field}': {value} is out of range")]
    OutOfRange { field: &'static str, value: u64 },
    #[error("field '{field}': '{}' is neither 0 nor 1", shorten(.value))]
    NotAFlag { field: &'static str, value: String },
    #[error("'{}' is not a sequence of hex digits", shorten(.0))]
    NotHex(String),
    #[error("unknown state '{}'", shorten(.0))]
    UnknownState(String),
    #[error("unknown list update '{}'", shorten(.0))]
    UnknownListUpdate(String),
    #[error("unknown outcome '{}'", shorten(.0))]
    UnknownOutcome(String),
    #[error("unknown event '{}'", shorten(.0))]
    UnknownEvent(String),
    #[error("class '{}' is not in the settings", shorten(.0))]
    UnknownClass(String),
    #[error("no DIRECTORY {0}")]
    UnknownDirectory(u64),
    #[error("'{}' for gateway {gateway}, which was not started", shorten(.event))]
    UnknownGateway { event: String, gateway: u64 },
    #[error("field 'facts' cannot be read: {0}")]
    InvalidSettings(String),
    #[error("'{}' where a ROW was due", shorten(.0))]
    RowExpected(String),
    #[error("'{}' where a TURN was due", shorten(.0))]
    BatchStartExpected(String),
    #[error("the clock is not finite")]
    ClockNotFinite,
    #[error("the batch ends within a DIRECTORY")]
    IncompleteDirectory,
    #[error("the input ends within a batch")]
    IncompleteBatch,
}

fn shorten(text: &str) -> String {
    text.chars().take(40).collect()
}
